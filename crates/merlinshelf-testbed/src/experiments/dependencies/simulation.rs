//! Many instances and servers in virtual time. Measures how evenly load is spread, how many servers an instance connects to,
//! how fast load moves away from a slow server, and how much the concurrency limits vary under steady load.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use merlinshelf_dependencies::config::ServerConfig;
use merlinshelf_dependencies::{Action, AttemptOutcome, CallRequest, Dependencies, Effect, Router};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Copy, Debug)]
pub struct SimulationResult {
    pub instances: usize,
    pub servers: usize,
    /// The most calls of any server divided by the mean of all servers.
    pub evenness: f64,
    /// Servers that an instance uses, on average.
    pub connections: f64,
    /// Time from the slowdown of a server until it receives less than half of its former calls.
    pub reaction_s: f64,
    /// Standard deviation of the concurrency limits divided by their mean, under steady load.
    pub swing: f64,
}

/// Calls that a server works on concurrently.
const SERVER_CONCURRENCY: usize = 16;
/// Mean duration of a call.
const MEAN_CALL_S: f64 = 0.005;
/// Calls per second of an instance.
const CALLS_PER_S: f64 = 40.0;
/// Servers in the subset of an instance.
const SUBSET: usize = 20;

enum Event {
    StartCall(usize),
    Timeout(usize),
    AttemptEnded { instance: usize, attempt: u64 },
}

struct World {
    now: f64,
    routers: Vec<Router>,
    /// When each instance next expects a timeout.
    timeouts: Vec<f64>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    rng: Pcg64Mcg,
    server_indexes: BTreeMap<String, usize>,
    /// When each concurrent slot of a server is free again.
    free_at: Vec<Vec<f64>>,
    /// Calls received by each server.
    calls: Vec<u64>,
    /// Factor by which the calls of each server take longer.
    slowdown: Vec<f64>,
}

impl World {
    fn schedule(&mut self, at: f64, event: Event) {
        self.queue
            .push(Reverse(((at * 1e6) as u64, self.events.len())));
        self.events.push(event);
    }

    /// Performs the pending actions of an instance and schedules its next timeout.
    fn run_actions(&mut self, instance: usize) {
        while let Some(action) = self.routers[instance].poll_action() {
            if let Action::Attempt {
                attempt_id, server, ..
            } = action
            {
                let server = self.server_indexes[&server];
                self.calls[server] += 1;
                // The call takes the slot that is free first. Durations are exponential, as for a mix of many kinds of calls.
                let free_at = &mut self.free_at[server];
                let slot = (0..free_at.len())
                    .min_by(|a, b| free_at[*a].total_cmp(&free_at[*b]))
                    .unwrap_or(0);
                let duration = -(self.rng.random::<f64>().max(1e-9)).ln()
                    * MEAN_CALL_S
                    * self.slowdown[server];
                let end = free_at[slot].max(self.now) + duration;
                free_at[slot] = end;
                self.schedule(
                    end + 0.0005,
                    Event::AttemptEnded {
                        instance,
                        attempt: attempt_id,
                    },
                );
            }
        }
        let timeout = self.routers[instance]
            .next_timeout()
            .unwrap_or(f64::INFINITY);
        if timeout < self.timeouts[instance] || self.timeouts[instance] <= self.now {
            self.timeouts[instance] = timeout;
            if timeout.is_finite() {
                self.schedule(timeout + 1e-6, Event::Timeout(instance));
            }
        }
    }

    /// Processes all events until this time.
    fn run_until(&mut self, end: f64) {
        while let Some(&Reverse((at, index))) = self.queue.peek() {
            if at as f64 / 1e6 > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at as f64 / 1e6);
            let now = self.now;
            let event = std::mem::replace(&mut self.events[index], Event::Timeout(usize::MAX));
            let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
            let mut chance = || rng.random::<f64>();
            let instance = match event {
                Event::StartCall(instance) => {
                    let request = CallRequest {
                        operation: "page",
                        call_index: 0,
                        named_dependency: None,
                        max_wait_seconds: 1.0,
                        remaining_seconds: Some(1.0),
                        effect: Effect::Idempotent,
                        payload: b"",
                    };
                    self.routers[instance].start_call(now, &request, &mut chance);
                    let next = now - self.rng.random::<f64>().max(1e-9).ln() / CALLS_PER_S;
                    self.schedule(next, Event::StartCall(instance));
                    instance
                }
                Event::Timeout(usize::MAX) => continue,
                Event::Timeout(instance) => {
                    self.routers[instance].handle_timeout(now, &mut chance);
                    instance
                }
                Event::AttemptEnded { instance, attempt } => {
                    self.routers[instance].attempt_ended(
                        now,
                        attempt,
                        AttemptOutcome::Succeeded,
                        b"",
                        &mut chance,
                    );
                    instance
                }
            };
            self.run_actions(instance);
        }
        self.now = end;
    }
}

/// Applies steady load, then makes one server ten times as slow.
pub fn run(instances: usize, servers: usize, seed: u64) -> SimulationResult {
    let address = |index: usize| format!("127.0.{}.{}:5432", index / 250, 1 + index % 250);
    let server_configs = (0..servers).map(|index| ServerConfig {
        address: address(index),
        zone: String::new(),
        weight: 1.0,
    });
    let text = format!(
        "{{\"dependencies\":{{\"a\":{{\"servers\":[],\"subset\":{SUBSET}}}}},\"operations\":{{\"page\":{{\"calls\":[{{\"to\":\"a\"}}]}}}}}}"
    );
    let mut config: Dependencies = serde_json::from_str(&text).unwrap_or_default();
    if let Some(dependency) = config.dependencies.get_mut("a") {
        dependency.servers = server_configs.collect();
    }
    let routers =
        (0..instances).map(|number| Router::new(0.0, config.clone(), &format!("n{number}")));
    let mut world = World {
        now: 0.0,
        routers: routers.collect(),
        timeouts: vec![f64::INFINITY; instances],
        queue: BinaryHeap::new(),
        events: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(seed),
        server_indexes: (0..servers).map(|index| (address(index), index)).collect(),
        free_at: vec![vec![0.0; SERVER_CONCURRENCY]; servers],
        calls: vec![0; servers],
        slowdown: vec![1.0; servers],
    };
    for instance in 0..instances {
        let at = world.rng.random::<f64>() / CALLS_PER_S;
        world.schedule(at, Event::StartCall(instance));
    }
    world.run_until(5.0);
    world.calls.fill(0);
    let mut limits: Vec<f64> = Vec::new();
    while world.now < 15.0 {
        world.run_until(world.now + 0.5);
        limits.extend(
            world
                .routers
                .iter()
                .step_by(10)
                .filter_map(|router| Some(router.report().first()?.concurrency_limit)),
        );
    }
    let mean = world.calls.iter().sum::<u64>() as f64 / servers as f64;
    let evenness = world.calls.iter().copied().max().unwrap_or(0) as f64 / mean.max(1.0);
    let connections = world
        .routers
        .iter()
        .map(|router| {
            router
                .report()
                .first()
                .map_or(0, |dependency| dependency.servers.len())
        })
        .sum::<usize>();
    let mean_limit = limits.iter().sum::<f64>() / limits.len().max(1) as f64;
    let variance = limits
        .iter()
        .map(|limit| (limit - mean_limit).powi(2))
        .sum::<f64>()
        / limits.len().max(1) as f64;
    let calls_per_s_before = world.calls[0] as f64 / 10.0;
    world.slowdown[0] = 10.0;
    let slowdown_start = world.now;
    let mut reaction_s = f64::INFINITY;
    while world.now < slowdown_start + 20.0 {
        let calls_before = world.calls[0];
        world.run_until(world.now + 0.1);
        if ((world.calls[0] - calls_before) as f64) < 0.5 * calls_per_s_before * 0.1 {
            reaction_s = world.now - slowdown_start;
            break;
        }
    }
    SimulationResult {
        instances,
        servers,
        evenness,
        connections: connections as f64 / instances as f64,
        reaction_s,
        swing: variance.sqrt() / mean_limit.max(1e-9),
    }
}
