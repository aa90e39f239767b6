//! A scenario of one minute with changing demand and every kind of fault.

use rand::RngExt;

use crate::world::{Direction, Event, HOSTS, INSTANCES_PER_HOST, InstanceId, SeededBug, World};

const DURATION_SECONDS: f64 = 60.0;
const FAULTS: usize = 120;

/// The result of a simulation.
pub struct Outcome {
    /// The maximum number of calls that arrived within one second.
    pub max_calls_per_second: usize,
    pub calls: usize,
    pub steps: u64,
}

pub fn simulate(seed: u64, seeded_bug: SeededBug, budget: u32) -> Outcome {
    let mut world = World::new(seed, seeded_bug, budget);
    schedule_changing_demand(&mut world);
    for _ in 0..FAULTS {
        schedule_fault(&mut world, budget);
    }
    world.run(DURATION_SECONDS);
    Outcome {
        max_calls_per_second: world.max_calls_per_second(),
        calls: world.arrivals.len(),
        steps: world.steps,
    }
}

/// In each period of 10 s some random instances need more than the budget, and the others little.
fn schedule_changing_demand(world: &mut World) {
    for period in 0..6 {
        let from = f64::from(period) * 10.0;
        let until = from + 10.0;
        let (busy, idle): (Vec<InstanceId>, Vec<InstanceId>) = InstanceId::all()
            .into_iter()
            .partition(|_| world.rng.random_bool(0.4));
        world.schedule_calls(from, until, 150.0, &busy);
        world.schedule_calls(from, until, 0.3, &idle);
    }
}

fn schedule_fault(world: &mut World, budget: u32) {
    let due_at = world.rng.random_range(0.5..58.0);
    let host = world.rng.random_range(0..HOSTS);
    let slot = world.rng.random_range(0..INSTANCES_PER_HOST);
    let instance = InstanceId { host, slot };
    let event = match world.rng.random_range(0..6) {
        0 => Event::Election,
        1 => Event::InstanceStop {
            instance,
            until: due_at + world.rng.random_range(0.1..4.0),
        },
        2 => Event::InstanceRestart(instance),
        3 => partition(world, due_at, host),
        4 => Event::BudgetChange(if world.rng.random_bool(0.5) {
            budget
        } else {
            budget / 2
        }),
        _ => Event::AgentRestart { host },
    };
    world.schedule(due_at, event);
}

fn partition(world: &mut World, due_at: f64, host: usize) -> Event {
    let until = due_at + world.rng.random_range(0.3..6.0);
    let is_both_ways = world.rng.random_bool(0.6);
    if is_both_ways {
        // Grants for requests that were sent before the partition are delayed but still arrive.
        world.schedule(
            due_at + 0.25,
            Event::Partition {
                host,
                direction: Direction::FromHost,
                until,
            },
        );
    }
    let direction = if is_both_ways || world.rng.random_bool(0.5) {
        Direction::ToHost
    } else {
        Direction::FromHost
    };
    Event::Partition {
        host,
        direction,
        until,
    }
}
