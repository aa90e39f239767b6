//! Fleets of nodes in virtual time: all cold at once, half that restarts together, a parted network with two histories,
//! and one that answers nobody.

use merlinshelf_gossip::{SourceStatus, State};
use merlinshelf_testbed::experiments::learning::fleet::{World, learned_state};

#[test]
fn all_cold_at_once_teach_each_other_nothing_that_is_believed_much() {
    let mut world = World::new(40, 3);
    world.run_until(1.0);
    world.record_samples_on_all(2, 1.0);
    world.run_until(6.0);
    for one in world.nodes.iter().flatten() {
        let of = one.prior_estimates(world.now);
        assert!(
            of.run_durations.iter().flatten().all(|of| of.weight < 0.06),
            "{:?}",
            of.run_durations
        );
        assert_ne!(one.status(), SourceStatus::Steady);
    }
    // They met over it, at two messages a second each and a few at the start.
    assert!(world.messages < 40 * (6 * 2 + 2 * 60), "{}", world.messages);
}

#[test]
fn half_that_restarts_together_is_taught_by_the_other_half_within_a_second() {
    let mut world = World::new(40, 5);
    world
        .run_until_all(60.0, |one| one.members().alive().count() == 39)
        .expect("all meet");
    world.run_until(20.0);
    world.record_samples_on_all(24, 1.0);
    for number in 20..40 {
        world.restart_node(number, 2);
    }
    world.run_until(world.now + 1.0);
    let now = world.now;
    for one in world.nodes[20..].iter().flatten() {
        let of = one.prior_estimates(now);
        assert!(
            of.run_durations
                .iter()
                .all(|of| of.is_some_and(|of| of.weight > 0.3)),
            "{:?}",
            of.run_durations
        );
        assert!((of.run_durations[3].expect("it is told of").value - 0.04).abs() < 1e-9);
    }
    // Who was there before is known in its new life, and who has not restarted lost nothing.
    world
        .run_until_all(60.0, |one| one.members().alive().count() == 39)
        .expect("all meet again");
}

#[test]
fn a_parted_network_with_two_histories_heals_and_the_fresh_outlives_the_stale() {
    let mut world = World::new(30, 7);
    world
        .run_until_all(60.0, |one| one.members().alive().count() == 29)
        .expect("all meet");
    world.record_samples_on_all(24, 1.0);
    (15..30).for_each(|number| world.partition[number] = 1);
    world.run_until(world.now + 90.0);
    assert!(
        world.nodes[..15]
            .iter()
            .flatten()
            .all(|one| one.members().alive().count() == 14)
    );
    // On one side the servers are twice as slow by now; the other has seen nothing new.
    let (now, slow) = (world.now, learned_state(23, world.now, 2.0));
    world.nodes[..15]
        .iter_mut()
        .flatten()
        .for_each(|one| one.record_own_samples(now, now, &slow));
    world.partition.fill(0);
    world
        .run_until_all(60.0, |one| one.members().alive().count() == 29)
        .expect("all meet again");
    world.restart_node(29, 2);
    world.run_until(world.now + 3.0);
    let now = world.now;
    let of = world.nodes[29]
        .as_ref()
        .expect("it lives")
        .prior_estimates(now)
        .run_durations[3]
        .expect("it is told of");
    assert!((of.value - 0.08).abs() < 1e-9, "{of:?}");
}

#[test]
fn of_three_hundred_one_that_answers_nobody_is_gone_for_all_and_costs_nobody_more() {
    let mut world = World::new(300, 11);
    world
        .run_until_all(120.0, |one| one.members().alive().count() == 299)
        .expect("all meet");
    let (from, before) = (world.now, world.messages);
    world.partition[150] = 1;
    let gone = |one: &merlinshelf_gossip::GossipNode| {
        one.members().own().name == "n150"
            || one
                .members()
                .state_of("n150")
                .is_none_or(|state| state >= State::Left)
    };
    world.run_until_all(60.0, gone).expect("all know");
    let each = (world.messages - before) as f64 / (world.now - from) / 300.0;
    assert!(each < 2.3, "{each} messages a peer and second");
}
