//! The observation store: which observations it accepts, and their weight in estimates.

use std::fmt::Write as _;

use insta::assert_snapshot;
use merlinshelf_gossip::observation::MAX_HOPS;
use merlinshelf_gossip::{
    GossipedObservation, InvalidObservation, Metric, ObservationStore, OwnObservation, Source,
    SourceStatus,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn source(name: &str) -> Source {
    Source {
        name: name.into(),
        incarnation: 1,
    }
}

fn calls() -> Metric {
    Metric::CallRecent {
        dependency: "catalogue".into(),
    }
}

fn gossiped(name: &str, value: f64, age_seconds: f64) -> GossipedObservation {
    GossipedObservation {
        metric: calls(),
        source: source(name),
        value,
        sample_count: 24,
        age_seconds,
        sequence: 1,
        hops: 1,
        status: SourceStatus::Steady,
    }
}

/// An own observation of [`calls`] with this sample count.
fn own_calls(sample_count: u32) -> OwnObservation {
    OwnObservation {
        metric: calls(),
        value: 0.01,
        sample_count,
        age_seconds: 0.0,
    }
}

/// A valid observation of a steady source with this change.
fn changed(change: impl FnOnce(&mut GossipedObservation)) -> GossipedObservation {
    let mut observation = gossiped("a", 0.010, 0.0);
    change(&mut observation);
    observation
}

#[test]
fn age_hops_samples_and_source_status_decide_the_weight() {
    let mut trace = String::new();
    let cases = [
        ("fresh, of 24 samples", changed(|_| {})),
        ("20 s old", changed(|valid| valid.age_seconds = 20.0)),
        (
            "two minutes old",
            changed(|valid| valid.age_seconds = 120.0),
        ),
        ("of two samples", changed(|valid| valid.sample_count = 2)),
        ("forwarded only once", changed(|valid| valid.hops = 2)),
        (
            "from a source that is recovering",
            changed(|valid| valid.status = SourceStatus::Recovering),
        ),
        (
            "from a source that recently synced",
            changed(|valid| valid.status = SourceStatus::RecentlySynced),
        ),
    ];
    for (description, observation) in cases {
        let mut store = ObservationStore::new(source("me"));
        store
            .accept(100.0, observation)
            .expect("a valid observation");
        let estimate = store.estimate(100.0, &calls());
        let line = estimate.map(|estimate| {
            let shares = [0, 1, 3, 10]
                .map(|own| format!("{:.2}", estimate.share(own)))
                .join(" ");
            format!(
                "weight {:.3}, beside 0, 1, 3 and 10 own samples {shares}",
                estimate.weight
            )
        });
        let _ = writeln!(
            trace,
            "{description}: {}",
            line.as_deref().unwrap_or("nothing")
        );
    }
    assert_snapshot!(trace);
}

#[test]
fn implausible_observations_are_rejected() {
    let limit = Metric::Limit { engine: "e".into() };
    let implausible_limit = GossipedObservation {
        metric: limit,
        ..changed(|valid| valid.value = 3e6)
    };
    let invalid_values = [
        changed(|valid| valid.value = f64::NAN),
        changed(|valid| valid.value = 0.0),
        changed(|valid| valid.value = f64::INFINITY),
        implausible_limit,
    ];
    assert_rejected(invalid_values, InvalidObservation::Value);
    let invalid_ages = [
        changed(|valid| valid.age_seconds = -3600.0),
        changed(|valid| valid.age_seconds = f64::NAN),
        changed(|valid| valid.age_seconds = 1e9),
    ];
    assert_rejected(invalid_ages, InvalidObservation::Age);
    let invalid_counts = [
        changed(|valid| valid.sample_count = 0),
        changed(|valid| valid.sample_count = u32::MAX),
    ];
    assert_rejected(invalid_counts, InvalidObservation::Count);
    let invalid_hops = [
        changed(|valid| valid.hops = 0),
        changed(|valid| valid.hops = MAX_HOPS + 1),
    ];
    assert_rejected(invalid_hops, InvalidObservation::Hops);
    let echo = changed(|valid| valid.source = source("me"));
    assert_rejected([echo], InvalidObservation::Echo);
    let invalid_names = [
        changed(|valid| valid.source = source("")),
        changed(|valid| valid.source = source(&"x".repeat(65))),
    ];
    assert_rejected(invalid_names, InvalidObservation::Name);
}

fn assert_rejected<const COUNT: usize>(
    observations: [GossipedObservation; COUNT],
    reason: InvalidObservation,
) {
    for observation in observations {
        let mut store = ObservationStore::new(source("me"));
        assert_eq!(
            store.accept(5.0, observation.clone()),
            Err(reason),
            "{observation:?}"
        );
        assert_eq!(store.observations().count(), 0);
    }
}

#[test]
fn one_false_source_of_three_moves_no_estimate_beyond_the_correct_values() {
    for false_value in [1e-5, 0.001, 0.5, 599.0] {
        let mut store = ObservationStore::new(source("me"));
        for observation in [
            gossiped("a", 0.010, 2.0),
            gossiped("b", 0.012, 4.0),
            gossiped("liar", false_value, 0.0),
        ] {
            store
                .accept(50.0, observation)
                .expect("a valid observation");
        }
        let estimate = store.estimate(50.0, &calls()).expect("three sources");
        assert!(
            (0.010..=0.012).contains(&estimate.value),
            "{false_value}: {estimate:?}"
        );
    }
    // A single false source determines the estimate, but own samples soon outweigh it.
    let mut store = ObservationStore::new(source("me"));
    store
        .accept(50.0, gossiped("liar", 0.5, 0.0))
        .expect("a valid observation");
    let estimate = store.estimate(50.0, &calls()).expect("one source");
    let blended = [0, 1, 3, 10, 24].map(|own| estimate.blend(0.010, own));
    assert!(
        blended.windows(2).all(|two| two[1] < two[0]) && blended[4] < 0.06,
        "{blended:?}"
    );
}

/// One instance sends all its observations to another.
#[derive(Clone, Debug)]
struct Exchange {
    from: usize,
    to: usize,
    elapsed_seconds: f64,
}

fn exchanges() -> impl Strategy<Value = Vec<Exchange>> {
    let parts = (0usize..5, 0usize..5, 0.0f64..3.0);
    let exchange = parts.prop_map(|(from, to, elapsed_seconds)| Exchange {
        from,
        to,
        elapsed_seconds,
    });
    proptest::collection::vec(exchange, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(18),
        ..ProptestConfig::default()
    })]

    /// An observation that is forwarded in cycles never gets younger or more samples than at its
    /// source, and is never forwarded as an own observation.
    #[test]
    fn forwarding_in_cycles_adds_no_confidence_and_reduces_no_age(exchanges in exchanges()) {
        let new_store = |number: usize| ObservationStore::new(source(&number.to_string()));
        let mut stores: Vec<ObservationStore> = (0..5).map(new_store).collect();
        let mut now = 1000.0;
        stores[0].record_own(now, own_calls(24), SourceStatus::Steady);
        for Exchange { from, to, elapsed_seconds } in exchanges {
            now += elapsed_seconds;
            for observation in stores[from].select_for_gossip(now, 1000) {
                let is_own = observation.source == source(&from.to_string());
                prop_assert!(observation.hops >= 1 && is_own == (observation.hops == 1));
                let _ = stores[to].accept(now, observation);
            }
            for (number, store) in stores.iter().enumerate() {
                for entry in store.observations() {
                    let observation = entry.observation;
                    prop_assert_eq!(entry.source, &source("0"));
                    let is_old_enough = observation.observed_at <= 1000.0 + 1e-6;
                    prop_assert!(is_old_enough, "too young: {observation:?}");
                    prop_assert_eq!(observation.sample_count, 24);
                    prop_assert_eq!(observation.hops == 0, number == 0);
                }
                if let Some(estimate) = store.estimate(now, &calls()) {
                    prop_assert!(estimate.weight <= 24.0 / 32.0 + 1e-9, "{estimate:?}");
                }
            }
        }
    }

    /// The store stays within its limits for any number of sources and keeps its own observations.
    #[test]
    fn the_store_is_bounded(names in proptest::collection::vec((0u32..400, 0u32..2000), 1..800)) {
        let mut store = ObservationStore::new(source("me"));
        store.record_own(0.0, own_calls(3), SourceStatus::Steady);
        for (name, operation) in names {
            let metric = match operation {
                0..1000 => calls(),
                _ => Metric::RunRecent { engine: "e".into(), operation: operation.to_string() },
            };
            let observation = gossiped(&name.to_string(), 0.02, 0.5);
            let _ = store.accept(1.0, GossipedObservation { metric, ..observation });
        }
        prop_assert!(store.observations().count() <= 512 * 8);
        let of_calls = store.observations().filter(|entry| *entry.metric == calls());
        let sources: Vec<_> = of_calls.map(|entry| entry.source.clone()).collect();
        prop_assert!(sources.len() <= 8 && sources.contains(&source("me")));
    }
}
