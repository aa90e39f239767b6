//! Degraded results and the list of missing parts.

use merlinshelf_dependencies::fallback::{CachedReply, degraded_result};
use merlinshelf_dependencies::{CallResult, DegradedResult, MissingParts};

fn cached(age_seconds: f64) -> CachedReply<'static> {
    CachedReply {
        bytes: b"old",
        age_seconds,
    }
}

#[test]
fn degraded_results_follow_the_settings() {
    assert_eq!(
        degraded_result(&DegradedResult::Required, Some(cached(0.0))),
        CallResult::Failed
    );
    assert_eq!(
        degraded_result(&DegradedResult::Nothing, None),
        CallResult::Degraded(None)
    );
    assert_eq!(
        degraded_result(&DegradedResult::Fixed(b"-".to_vec()), None),
        CallResult::Degraded(Some(b"-".to_vec()))
    );
    let fallback = DegradedResult::Cached {
        max_age_seconds: 10.0,
    };
    assert_eq!(
        degraded_result(&fallback, Some(cached(9.0))),
        CallResult::Degraded(Some(b"old".to_vec()))
    );
    let unusable = [
        Some(cached(10.5)),
        Some(cached(-1.0)),
        Some(cached(f64::NAN)),
        None,
    ];
    for reply in unusable {
        assert_eq!(
            degraded_result(&fallback, reply),
            CallResult::Failed,
            "{reply:?}"
        );
    }
}

#[test]
fn missing_parts_are_listed_once_and_reduce_the_expected_value() {
    let mut missing = MissingParts::default();
    assert!(!missing.is_partial());
    assert_eq!(missing.field_value(), None);
    for dependency in ["prices", "stock", "prices"] {
        missing.add(dependency);
    }
    assert_eq!(missing.field_value().as_deref(), Some("prices, stock"));
    let value_loss = |part: &str| if part == "prices" { 0.5 } else { 0.2 };
    assert!((missing.expected_value(10.0, value_loss) - 4.0).abs() < 1e-9);
}
