//! Gossip in simulated fleets in virtual time: all nodes cold, half of them restarting together, a network partition with diverging
//! histories, and an unreachable node.

use merlinshelf_gossip::{SourceStatus, State};
use merlinshelf_testbed::experiments::learning::fleet::{World, learned_state};

#[test]
fn a_fleet_that_starts_cold_gives_low_weight_to_gossiped_priors() {
    let mut world = World::new(40, 3);
    world.run_until(1.0);
    world.record_samples_on_all(2, 1.0);
    world.run_until(6.0);
    for node in world.nodes.iter().flatten() {
        let estimates = node.prior_estimates(world.now);
        assert!(
            estimates
                .run_durations
                .iter()
                .flatten()
                .all(|estimate| estimate.weight < 0.06),
            "{:?}",
            estimates.run_durations
        );
        assert_ne!(node.status(), SourceStatus::Steady);
    }
    // Each node sends two messages per second, and a few more at the start.
    assert!(world.messages < 40 * (6 * 2 + 2 * 60), "{}", world.messages);
}

#[test]
fn half_a_fleet_that_restarts_learns_from_the_other_half_within_a_second() {
    let mut world = World::new(40, 5);
    world
        .run_until_all(60.0, |node| node.members().alive().count() == 39)
        .expect("all nodes know each other");
    world.run_until(20.0);
    world.record_samples_on_all(24, 1.0);
    for number in 20..40 {
        world.restart_node(number, 2);
    }
    world.run_until(world.now + 1.0);
    let now = world.now;
    for node in world.nodes[20..].iter().flatten() {
        let estimates = node.prior_estimates(now);
        assert!(
            estimates
                .run_durations
                .iter()
                .all(|estimate| estimate.is_some_and(|estimate| estimate.weight > 0.3)),
            "{:?}",
            estimates.run_durations
        );
        assert!(
            (estimates.run_durations[3]
                .expect("an estimate from peers")
                .value
                - 0.04)
                .abs()
                < 1e-9
        );
    }
    // The restarted nodes are known with their new incarnations, and no other member is lost.
    world
        .run_until_all(60.0, |node| node.members().alive().count() == 39)
        .expect("all nodes know each other again");
}

#[test]
fn after_a_partition_heals_fresh_observations_replace_stale_ones() {
    let mut world = World::new(30, 7);
    world
        .run_until_all(60.0, |node| node.members().alive().count() == 29)
        .expect("all nodes know each other");
    world.record_samples_on_all(24, 1.0);
    (15..30).for_each(|number| world.partition[number] = 1);
    world.run_until(world.now + 90.0);
    assert!(
        world.nodes[..15]
            .iter()
            .flatten()
            .all(|node| node.members().alive().count() == 14)
    );
    // On one side runs have become twice as slow; the other side has recorded nothing new.
    let (now, slow) = (world.now, learned_state(23, world.now, 2.0));
    world.nodes[..15]
        .iter_mut()
        .flatten()
        .for_each(|node| node.record_own_samples(now, now, &slow));
    world.partition.fill(0);
    world
        .run_until_all(60.0, |node| node.members().alive().count() == 29)
        .expect("all nodes know each other again");
    world.restart_node(29, 2);
    world.run_until(world.now + 3.0);
    let now = world.now;
    let estimate = world.nodes[29]
        .as_ref()
        .expect("the node is running")
        .prior_estimates(now)
        .run_durations[3]
        .expect("an estimate from peers");
    assert!((estimate.value - 0.08).abs() < 1e-9, "{estimate:?}");
}

#[test]
fn all_300_nodes_detect_an_unreachable_one_without_extra_messages() {
    let mut world = World::new(300, 11);
    world
        .run_until_all(120.0, |node| node.members().alive().count() == 299)
        .expect("all nodes know each other");
    let (from, before) = (world.now, world.messages);
    world.partition[150] = 1;
    let knows_it_is_gone = |node: &merlinshelf_gossip::GossipNode| {
        node.members().own().name == "n150"
            || node
                .members()
                .state_of("n150")
                .is_none_or(|state| state >= State::Left)
    };
    world
        .run_until_all(60.0, knows_it_is_gone)
        .expect("all nodes detect it");
    let rate = (world.messages - before) as f64 / (world.now - from) / 300.0;
    assert!(rate < 2.3, "{rate} messages per node and second");
}
