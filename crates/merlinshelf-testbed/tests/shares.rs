//! Call budgets of a fleet in virtual time, with faults chosen by seed: no second exceeds a budget, and the check detects an
//! allocator that does not wait for earlier leases.

use merlinshelf_quota::CallKind;
use merlinshelf_testbed::experiments::shares_size::{Scenario, simulate};

fn scenario(instances: usize, probes: u32, first: u32) -> Scenario {
    let budgets = [
        (CallKind::Retry, 24),
        (CallKind::Probe, probes),
        (CallKind::FirstCall, first),
    ];
    Scenario {
        budgets,
        ..Scenario::with_outage(3, instances, 60)
    }
}

/// The maximum numbers of probes and of first calls in any second.
fn busiest_seconds(scenario: &Scenario, seed: u64) -> (usize, usize) {
    let outcome = simulate(scenario, seed);
    let busiest = |kind| outcome.worst_second.get(&kind).copied().unwrap_or(0);
    (busiest(CallKind::Probe), busiest(CallKind::FirstCall))
}

#[test]
fn no_second_exceeds_the_budgets_of_probes_and_first_calls() {
    for (instances, probes, first) in [(24, 8, 64), (24, 5, 16), (60, 12, 40)] {
        let scenario = scenario(instances, probes, first);
        for seed in 0..3 {
            let (probes_seen, first_calls_seen) = busiest_seconds(&scenario, seed);
            assert!(
                probes_seen <= probes as usize,
                "seed {seed}: {probes_seen} probes in a second, budget {probes}"
            );
            assert!(
                first_calls_seen <= first as usize,
                "seed {seed}: {first_calls_seen} first calls in a second, budget {first}"
            );
        }
    }
}

#[test]
fn an_allocator_that_does_not_wait_for_earlier_leases_is_detected() {
    // Many changes of leader, and more demand than the budget.
    let scenario = Scenario {
        skips_lease_wait: true,
        faults: 150,
        rate: 12.0,
        ..scenario(24, 24, 24)
    };
    assert!(
        (0..20)
            .any(|seed| matches!(busiest_seconds(&scenario, seed), (probes, first) if probes > 24 || first > 24))
    );
}

#[test]
fn a_seed_is_reproducible_and_calls_resume_soon_after_an_outage() {
    let scenario = Scenario::with_outage(3, 60, 0);
    let (first, second) = (simulate(&scenario, 4), simulate(&scenario, 4));
    assert_eq!(
        (first.calls, first.probes, &first.worst_second),
        (second.calls, second.probes, &second.worst_second)
    );
    assert!(
        first.unbounded_after.is_some_and(|after| after < 5.0),
        "{:?}",
        first.unbounded_after
    );
    // Some probes during the outage, and no more than a few per second.
    assert!((5..=8 * 9).contains(&first.probes), "{}", first.probes);
}
