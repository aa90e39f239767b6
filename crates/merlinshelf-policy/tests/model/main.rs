//! All state machines together in virtual time, with faults by seed: instances that are stopped,
//! agents that die, messages that are lost or late, leaders that are replaced without learning of
//! it, clocks that drift apart. The guarantees are checked from what each instance acts on, at
//! every step, never from what a process reports.

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
fn versions_are_ordered_changes_are_atomic_and_every_change_ends() {
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
        "{changes} changes, {} states, longest end {longest_change_seconds:.2} s",
        visited_states.len()
    );
    assert!(changes > 500, "{changes}");
    assert!(effective_versions > 500, "{effective_versions}");
    assert!(visited_states.len() > 5_000, "{}", visited_states.len());
}

/// Whether a seeded bug makes some seed violate the order of versions.
fn finds_order_violation(seeded_bug: SeededBug) -> bool {
    (0..200).any(|seed| {
        simulate(seed, seeded_bug)
            .violations
            .iter()
            .any(|violation| violation.starts_with(ORDER_VIOLATION))
    })
}

#[test]
fn a_lease_that_counts_from_its_arrival_is_found() {
    assert!(finds_order_violation(SeededBug::LeaseFromArrival));
}

#[test]
fn a_lease_of_a_replaced_leader_is_found() {
    assert!(finds_order_violation(SeededBug::UnconfirmedLeader));
}

#[test]
fn an_agent_that_forgets_its_instances_leases_is_found() {
    assert!(finds_order_violation(SeededBug::ForgottenLeases));
}
