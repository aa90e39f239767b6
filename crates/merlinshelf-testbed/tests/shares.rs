//! The fleet's budgets in virtual time, with faults by seed: in no second more arrives than the budget has, and the check finds a
//! keeper that does not wait.

use merlinshelf_quota::CallKind;
use merlinshelf_testbed::experiments::shares_size::{Scenario, simulate};

fn size(instances: usize, probes: u32, first: u32) -> Scenario {
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

/// The worst seconds of probes and of first calls.
fn worst(size: &Scenario, seed: u64) -> (usize, usize) {
    let played = simulate(size, seed);
    let of = |kind| played.worst_second.get(&kind).copied().unwrap_or(0);
    (of(CallKind::Probe), of(CallKind::FirstCall))
}

#[test]
fn in_no_second_more_probes_or_first_calls_arrive_than_all_may_spend() {
    for (instances, probes, first) in [(24, 8, 64), (24, 5, 16), (60, 12, 40)] {
        let size = size(instances, probes, first);
        for seed in 0..3 {
            let (probed, called) = worst(&size, seed);
            assert!(
                probed <= probes as usize,
                "seed {seed}: {probed} probes in a second, of {probes}"
            );
            assert!(
                called <= first as usize,
                "seed {seed}: {called} first calls in a second, of {first}"
            );
        }
    }
}

#[test]
fn a_keeper_that_does_not_wait_for_the_leases_of_an_earlier_one_is_found() {
    // Many changes of whoever leads, and wishes for more than there is.
    let size = Scenario {
        skips_lease_wait: true,
        faults: 150,
        rate: 12.0,
        ..size(24, 24, 24)
    };
    assert!(
        (0..20)
            .any(|seed| matches!(worst(&size, seed), (probes, first) if probes > 24 || first > 24))
    );
}

#[test]
fn the_same_seed_is_the_same_play_and_all_is_open_soon_after_its_return() {
    let size = Scenario::with_outage(3, 60, 0);
    let (one, other) = (simulate(&size, 4), simulate(&size, 4));
    assert_eq!(
        (one.calls, one.probes, &one.worst_second),
        (other.calls, other.probes, &other.worst_second)
    );
    assert!(
        one.unbounded_after.is_some_and(|after| after < 5.0),
        "{:?}",
        one.unbounded_after
    );
    // Probes a second while it is gone: some, and no more than a few.
    assert!((5..=8 * 9).contains(&one.probes), "{}", one.probes);
}
