//! SimulationResult instances and servers in virtual time: how even the load is, how many connections an instance needs, how fast a server that
//! slows is left, and how much a limit swings under steady load.

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
    /// Largest over mean of what servers get.
    pub evenness: f64,
    pub connections: f64,
    /// From a server's slowdown until it gets less than half of what it got.
    pub reaction_s: f64,
    /// Standard deviation of the limits over their mean, under steady load.
    pub swing: f64,
}

/// Calls that a server works on at one time, seconds of one, calls a second of an instance, and servers that an instance uses.
const AT_ONCE: usize = 16;
const TAKES: f64 = 0.005;
const RATE: f64 = 40.0;
const SUBSET: usize = 20;

enum What {
    Ask(usize),
    Wake(usize),
    Ends { instance: usize, attempt: u64 },
}

struct World {
    now: f64,
    routers: Vec<Router>,
    wakes: Vec<f64>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    what: Vec<What>,
    rng: Pcg64Mcg,
    places: BTreeMap<String, usize>,
    /// When each of a server's places is free again, calls by server, and how many times as slow it is.
    free: Vec<Vec<f64>>,
    calls: Vec<u64>,
    slow: Vec<f64>,
}

impl World {
    fn at(&mut self, at: f64, what: What) {
        self.queue
            .push(Reverse(((at * 1e6) as u64, self.what.len())));
        self.what.push(what);
    }

    fn steps(&mut self, instance: usize) {
        while let Some(step) = self.routers[instance].poll_action() {
            if let Action::Attempt {
                attempt_id, server, ..
            } = step
            {
                let place = self.places[&server];
                self.calls[place] += 1;
                // The place that is free first; exponential durations, as the calls of many kinds are.
                let free = &mut self.free[place];
                let first = (0..free.len())
                    .min_by(|a, b| free[*a].total_cmp(&free[*b]))
                    .unwrap_or(0);
                let took = -(self.rng.random::<f64>().max(1e-9)).ln() * TAKES * self.slow[place];
                let end = free[first].max(self.now) + took;
                free[first] = end;
                self.at(
                    end + 0.0005,
                    What::Ends {
                        instance,
                        attempt: attempt_id,
                    },
                );
            }
        }
        let wake = self.routers[instance]
            .next_timeout()
            .unwrap_or(f64::INFINITY);
        if wake < self.wakes[instance] || self.wakes[instance] <= self.now {
            self.wakes[instance] = wake;
            if wake.is_finite() {
                self.at(wake + 1e-6, What::Wake(instance));
            }
        }
    }

    fn until(&mut self, end: f64) {
        while let Some(&Reverse((at, place))) = self.queue.peek() {
            if at as f64 / 1e6 > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at as f64 / 1e6);
            let now = self.now;
            let what = std::mem::replace(&mut self.what[place], What::Wake(usize::MAX));
            let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
            let mut chance = || rng.random::<f64>();
            let instance = match what {
                What::Ask(instance) => {
                    let ask = CallRequest {
                        operation: "page",
                        call_index: 0,
                        named_dependency: None,
                        max_wait_seconds: 1.0,
                        remaining_seconds: Some(1.0),
                        effect: Effect::Idempotent,
                        payload: b"",
                    };
                    self.routers[instance].start_call(now, &ask, &mut chance);
                    let next = now - self.rng.random::<f64>().max(1e-9).ln() / RATE;
                    self.at(next, What::Ask(instance));
                    instance
                }
                What::Wake(usize::MAX) => continue,
                What::Wake(instance) => {
                    self.routers[instance].handle_timeout(now, &mut chance);
                    instance
                }
                What::Ends { instance, attempt } => {
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
            self.steps(instance);
        }
        self.now = end;
    }
}

/// Steady load, then one server becomes ten times as slow.
pub fn run(instances: usize, servers: usize, seed: u64) -> SimulationResult {
    let address = |place: usize| format!("127.0.{}.{}:5432", place / 250, 1 + place % 250);
    let list = (0..servers).map(|place| ServerConfig {
        address: address(place),
        zone: String::new(),
        weight: 1.0,
    });
    let text = format!(
        "{{\"dependencies\":{{\"a\":{{\"servers\":[],\"subset\":{SUBSET}}}}},\"operations\":{{\"page\":{{\"calls\":[{{\"to\":\"a\"}}]}}}}}}"
    );
    let mut wanted: Dependencies = serde_json::from_str(&text).unwrap_or_default();
    if let Some(of) = wanted.dependencies.get_mut("a") {
        of.servers = list.collect();
    }
    let routers =
        (0..instances).map(|number| Router::new(0.0, wanted.clone(), &format!("n{number}")));
    let mut world = World {
        now: 0.0,
        routers: routers.collect(),
        wakes: vec![f64::INFINITY; instances],
        queue: BinaryHeap::new(),
        what: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(seed),
        places: (0..servers).map(|place| (address(place), place)).collect(),
        free: vec![vec![0.0; AT_ONCE]; servers],
        calls: vec![0; servers],
        slow: vec![1.0; servers],
    };
    for instance in 0..instances {
        let at = world.rng.random::<f64>() / RATE;
        world.at(at, What::Ask(instance));
    }
    world.until(5.0);
    world.calls.fill(0);
    let mut limits: Vec<f64> = Vec::new();
    while world.now < 15.0 {
        world.until(world.now + 0.5);
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
        .map(|router| router.report().first().map_or(0, |of| of.servers.len()))
        .sum::<usize>();
    let mean_limit = limits.iter().sum::<f64>() / limits.len().max(1) as f64;
    let square = limits
        .iter()
        .map(|limit| (limit - mean_limit).powi(2))
        .sum::<f64>()
        / limits.len().max(1) as f64;
    // The first server becomes slow.
    let usual = world.calls[0] as f64 / 10.0;
    world.slow[0] = 10.0;
    let began = world.now;
    let mut reaction_s = f64::INFINITY;
    while world.now < began + 20.0 {
        let before = world.calls[0];
        world.until(world.now + 0.1);
        if ((world.calls[0] - before) as f64) < 0.5 * usual * 0.1 {
            reaction_s = world.now - began;
            break;
        }
    }
    SimulationResult {
        instances,
        servers,
        evenness,
        connections: connections as f64 / instances as f64,
        reaction_s,
        swing: square.sqrt() / mean_limit.max(1e-9),
    }
}
