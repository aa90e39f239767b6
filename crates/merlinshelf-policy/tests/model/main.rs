//! Simulation of all state machines together in virtual time, with seeded random faults: stopped
//! instances, crashed agents, lost and delayed messages, leaders that are replaced without
//! noticing, and drifting clocks. The invariants are checked at every step against the version that
//! each instance acts on, never against what a process reports.

mod faults;
mod invariants;
mod processes;
mod world;

use std::collections::BTreeSet;

use invariants::ORDER_VIOLATION;
use world::{Faults, SeededBug, World};

fn simulate(seed: u64, seeded_bug: SeededBug) -> World {
    let mut world = World::new(seed, seeded_bug, 3, 2);
    while world.time < 1.0 {
        world.step(Faults::Off);
    }
    while world.time < 30.0 {
        world.step(Faults::On);
    }
    world.recover();
    world
}

#[test]
fn no_older_or_rejected_version_is_acted_on_and_every_change_completes() {
    let mut changes = 0;
    let mut effective_versions = 0;
    let mut visited_states = BTreeSet::new();
    let mut longest_change_seconds = 0.0_f64;
    for seed in 0..40 {
        let world = simulate(seed, SeededBug::None);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:#?}",
            &world.violations[..world.violations.len().min(5)]
        );
        changes += world.proposed_changes;
        longest_change_seconds = longest_change_seconds.max(world.longest_change_seconds);
        effective_versions += world
            .instances
            .values()
            .map(|instance| instance.effective_versions.len())
            .sum::<usize>();
        visited_states.extend(world.visited_states);
    }
    println!(
        "{changes} changes, {} states, longest change {longest_change_seconds:.2} s",
        visited_states.len()
    );
    assert!(changes > 500, "{changes}");
    assert!(effective_versions > 500, "{effective_versions}");
    assert!(visited_states.len() > 5_000, "{}", visited_states.len());
}

/// Whether the order of versions is violated with a seeded bug, for some random seed.
fn finds_order_violation(seeded_bug: SeededBug) -> bool {
    (0..200).any(|seed| {
        simulate(seed, seeded_bug)
            .violations
            .iter()
            .any(|violation| violation.starts_with(ORDER_VIOLATION))
    })
}

#[test]
fn the_checks_detect_a_lease_counted_from_its_arrival() {
    assert!(finds_order_violation(SeededBug::LeaseFromArrival));
}

#[test]
fn the_checks_detect_a_lease_granted_by_a_replaced_leader() {
    assert!(finds_order_violation(SeededBug::UnconfirmedLeader));
}

#[test]
fn the_checks_detect_a_restarted_agent_that_ignores_earlier_leases() {
    assert!(finds_order_violation(SeededBug::ForgottenLeases));
}
