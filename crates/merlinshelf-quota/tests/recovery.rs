//! Transitions between the phases of a dependency.

use merlinshelf_quota::{DependencyHealth, Phase, Recovery};

const REPORT_LIFETIME_SECONDS: f64 = 2.0;

/// A health report of one host; `now` is in seconds.
struct Step {
    label: &'static str,
    now: f64,
    health: DependencyHealth,
}

/// A report for four instances; the dependency fails for `failing` of them.
fn step(label: &'static str, now: f64, failing: u32, succeeded: u32, failed: u32) -> Step {
    Step {
        label,
        now,
        health: DependencyHealth {
            calling_instances: 4,
            failing_instances: failing,
            succeeded_calls: succeeded,
            failed_calls: failed,
        },
    }
}

const ANNOUNCED: &str = "announced as healthy by an earlier leader";

fn script() -> Vec<Step> {
    vec![
        step(ANNOUNCED, 0.1, 0, 9, 0),
        step("fails for one", 1.0, 1, 9, 3),
        step("fails for half", 1.3, 2, 5, 5),
        step("fails for most, half of the calls succeed", 1.55, 3, 5, 5),
        step("fails for most", 1.8, 3, 1, 9),
        step("probe fails", 2.0, 4, 0, 1),
        step("probe succeeds", 2.3, 3, 1, 0),
        step("before the end of the step", 2.4, 2, 4, 0),
        step("calls succeed", 2.6, 1, 4, 0),
        step("calls succeed", 2.9, 0, 9, 1),
        step("a third of the calls fail", 3.2, 0, 6, 3),
        step("calls succeed", 3.5, 0, 9, 0),
        step("nearly all calls fail", 3.8, 0, 1, 9),
        step("probe succeeds", 4.1, 3, 1, 0),
        step("calls succeed", 4.4, 0, 8, 0),
        step("calls succeed", 4.7, 0, 16, 0),
        step("calls succeed", 5.0, 0, 32, 0),
        step("calls succeed", 5.3, 0, 64, 0),
        step("fails for most", 6.0, 4, 0, 9),
        step("half of the calls succeed", 6.3, 3, 1, 1),
        step("half of the calls succeed", 6.6, 2, 9, 8),
        step("half as many calls, no better ratio", 6.9, 2, 5, 4),
        step("half of the calls succeed", 7.2, 2, 9, 9),
        step("half of the calls succeed", 7.5, 2, 9, 9),
        step("half of the calls succeed", 7.8, 2, 9, 9),
    ]
}

#[test]
fn a_dependency_that_fails_for_most_recovers_in_steps() {
    let first_call_budget = Some(64);
    let mut recovery = Recovery::new(0.0, REPORT_LIFETIME_SECONDS, first_call_budget);
    let mut steps = vec![Step {
        label: "state unknown",
        now: 0.0,
        health: DependencyHealth::default(),
    }];
    steps.extend(script());
    let mut lines = Vec::new();
    for Step { label, now, health } in steps {
        if label == ANNOUNCED {
            recovery.resume_from(now, Phase::Healthy, first_call_budget);
        }
        recovery.record_health(now, "one", health);
        recovery.advance(now, first_call_budget);
        lines.push(format!(
            "{now:>4} {label}: {:?} {}",
            recovery.phase(),
            recovery.calls_per_second()
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_dependency_without_calls_still_recovers() {
    let first_call_budget = Some(16);
    let mut recovery = Recovery::new(0.0, REPORT_LIFETIME_SECONDS, first_call_budget);
    let healthy_at = (1..200).find(|tick| {
        recovery.advance(f64::from(*tick) * 0.1, first_call_budget);
        recovery.phase() == Phase::Healthy
    });
    assert!(
        healthy_at.is_some_and(|tick| (20..80).contains(&tick)),
        "{healthy_at:?}"
    );
}
