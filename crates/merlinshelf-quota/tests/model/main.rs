//! Simulation of an allocator, hosts and instances with drifting clocks, delayed and lost messages,
//! replaced allocators and stopped processes. Within any second of true time no more calls may
//! arrive than the budget allows, and holders that need quota must be granted it.

mod scenario;
mod world;

use merlinshelf_quota::{Allocator, Demand, QuotaGrant, QuotaLeaseHolder};
use scenario::simulate;
use world::{Direction, Event, InstanceId, ROUND_SECONDS, SeededBug, TERMS, World};

#[test]
fn no_second_exceeds_the_budget() {
    let mut steps = 0;
    for budget in [40, 7, 3, 2] {
        for seed in 0..20 {
            let outcome = simulate(seed, SeededBug::None, budget);
            assert!(
                outcome.max_calls_per_second <= budget as usize,
                "seed {seed}: {} calls in one second exceed the budget of {budget}",
                outcome.max_calls_per_second
            );
            assert!(
                outcome.calls > 0,
                "seed {seed}: no calls are made with a budget of {budget}"
            );
            steps += outcome.steps;
        }
    }
    println!("{steps} steps");
}

#[test]
fn the_simulation_detects_an_allocator_that_ignores_earlier_grants() {
    let exceeds_budget =
        |seed| simulate(seed, SeededBug::GrantsAtOnce, 40).max_calls_per_second > 40;
    assert!((0..60).any(exceeds_budget));
}

#[test]
fn a_reduced_grant_counts_until_it_is_acknowledged() {
    for seeded_bug in [SeededBug::None, SeededBug::AcknowledgedAtOnce] {
        let mut max_calls = 0;
        for seed in 0..10 {
            let mut world = World::new(seed, seeded_bug, 40);
            // One host spends the whole budget and is cut off from grants; then another host needs
            // as much.
            let first = InstanceId { host: 0, slot: 0 };
            let second = InstanceId { host: 1, slot: 0 };
            world.schedule_calls(0.0, 14.0, 200.0, &[first]);
            world.schedule_calls(10.0, 14.0, 200.0, &[second]);
            let partition = Event::Partition {
                host: 0,
                direction: Direction::ToHost,
                until: 13.0,
            };
            world.schedule(9.95, partition);
            world.run(14.0);
            max_calls = max_calls.max(world.max_calls_per_second());
        }
        assert_eq!(
            max_calls > 40,
            seeded_bug == SeededBug::AcknowledgedAtOnce,
            "{seeded_bug:?}: {max_calls}"
        );
    }
}

#[test]
fn a_single_busy_instance_gets_nine_tenths_of_the_budget() {
    let mut world = World::new(7, SeededBug::None, 40);
    world.schedule_calls(0.0, 5.0, 2.0, &InstanceId::all());
    let busy = InstanceId { host: 1, slot: 2 };
    world.schedule_calls(5.0, 20.0, 200.0, &[busy]);
    world.run(20.0);
    let calls = world
        .arrivals
        .iter()
        .filter(|arrived_at| (8.0..20.0).contains(*arrived_at))
        .count();
    let calls_per_second = calls as f64 / 12.0;
    assert!(calls_per_second >= 0.9 * 40.0, "{calls_per_second}");
}

#[test]
fn holders_take_turns_if_they_outnumber_the_calls() {
    let mut world = World::new(9, SeededBug::None, 2);
    let instances = InstanceId::all();
    world.schedule_calls(0.0, 60.0, 5.0, &instances);
    let mut had_quota = vec![false; instances.len()];
    for tenth in 0..600 {
        world.run(f64::from(tenth) / 10.0);
        for instance in &instances {
            had_quota[instance.flat_index()] |= world.has_quota(*instance);
        }
    }
    assert!(had_quota.iter().all(|had| *had), "{had_quota:?}");
    assert!(world.max_calls_per_second() <= 2);
}

const DEMAND: Demand = Demand {
    calls_needed: 10,
    priority_weight: 1.0,
};

/// Sends requests of the second holder until it is granted the whole budget; returns the time.
fn await_whole_budget(allocator: &mut Allocator, holder: &mut QuotaLeaseHolder) -> f64 {
    for round in 1..40 {
        let now = f64::from(round) * ROUND_SECONDS;
        let request = holder.request_for(now, DEMAND, 0);
        let grant = allocator.handle_request(now, "second", &request, None);
        holder.handle_grant(&grant);
        if grant.calls_per_second == 10 {
            return now;
        }
    }
    panic!("the second holder is never granted the whole budget");
}

/// The number of calls that both holders together can make at one time, if a delayed grant reaches
/// the first one after the second one was granted the whole budget.
fn calls_after_delayed_grant(delay: impl Fn(QuotaGrant, f64) -> QuotaGrant) -> usize {
    let mut allocator = Allocator::new(0.0, TERMS, 10, 1);
    let mut first = QuotaLeaseHolder::new(1, TERMS);
    let mut second = QuotaLeaseHolder::new(2, TERMS);
    let request = first.request_for(0.0, DEMAND, 0);
    let delayed = allocator.handle_request(0.01, "first", &request, None);
    assert_eq!(delayed.calls_per_second, 10);
    let now = await_whole_budget(&mut allocator, &mut second);
    assert!(
        now > 3.0,
        "the first holder's grant must count until it has expired: {now}"
    );
    first.handle_grant(&delay(delayed, now));
    let calls =
        |holder: &mut QuotaLeaseHolder| (0..20).filter(|_| holder.try_spend(now, 1.0)).count();
    calls(&mut first) + calls(&mut second)
}

#[test]
fn a_delayed_grant_has_expired_when_it_arrives() {
    assert_eq!(calls_after_delayed_grant(|grant, _| grant), 10);
}

#[test]
fn a_lease_counted_from_its_arrival_exceeds_the_budget() {
    let calls = calls_after_delayed_grant(|grant, arrived_at| QuotaGrant {
        duration_seconds: grant.duration_seconds + arrived_at,
        ..grant
    });
    assert_eq!(calls, 20);
}
