//! Server pools in virtual time: servers that become slow, fail, hang and recover, and changes of
//! the list of servers.

use std::collections::BTreeMap;

use merlinshelf_dependencies::config::ServerConfig;
use merlinshelf_dependencies::{ServerHealth, ServerOutcome, ServerPool};

/// A seeded generator of numbers in [0, 1).
struct XorShift(u64);

impl XorShift {
    fn new(seed: u64) -> XorShift {
        XorShift(seed)
    }

    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Servers `s0`, `s1`, ... alternately in the zones `a` and `b`.
fn servers(count: usize) -> Vec<ServerConfig> {
    let zone = |index: usize| if index.is_multiple_of(2) { "a" } else { "b" };
    (0..count)
        .map(|index| ServerConfig {
            address: format!("s{index}"),
            zone: zone(index).to_owned(),
            weight: 1.0,
        })
        .collect()
}

/// Duration and outcome of a server's replies.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    duration_seconds: f64,
    outcome: ServerOutcome,
}

impl Behaviour {
    fn succeeds_after(duration_seconds: f64) -> Behaviour {
        Behaviour {
            duration_seconds,
            outcome: ServerOutcome::Succeeded,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    ends_at: f64,
    server: usize,
    started_at: f64,
}

/// Calls at a constant rate to servers in virtual time, with counts of the last run.
struct Simulation {
    now: f64,
    pool: ServerPool,
    random: XorShift,
    behaviours: Vec<Behaviour>,
    in_flight: Vec<CallInFlight>,
    calls_by_server: BTreeMap<usize, u32>,
    successes: u32,
    calls: u32,
}

impl Simulation {
    fn new(count: usize, zone: &str) -> Simulation {
        Simulation {
            now: 0.0,
            pool: ServerPool::new(0.0, &servers(count), zone, 0.5),
            random: XorShift::new(7),
            behaviours: vec![Behaviour::succeeds_after(0.010); count],
            in_flight: Vec::new(),
            calls_by_server: BTreeMap::new(),
            successes: 0,
            calls: 0,
        }
    }

    fn run_for(&mut self, seconds: f64) {
        self.calls_by_server.clear();
        self.successes = 0;
        self.calls = 0;
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.002;
            self.end_due_calls();
            self.start_call();
        }
    }

    fn end_due_calls(&mut self) {
        let now = self.now;
        let (ended, in_flight) = self
            .in_flight
            .iter()
            .partition::<Vec<CallInFlight>, _>(|call| call.ends_at <= now);
        self.in_flight = in_flight;
        for call in ended {
            let outcome = self.behaviours[call.server].outcome;
            self.successes += u32::from(outcome == ServerOutcome::Succeeded);
            self.pool
                .record_outcome(now, call.server, outcome, now - call.started_at);
        }
    }

    fn start_call(&mut self) {
        let random = &mut self.random;
        let picked = self.pool.pick(self.now, &[], &mut || random.next());
        if let Some(server) = picked {
            *self.calls_by_server.entry(server).or_default() += 1;
            self.calls += 1;
            self.in_flight.push(CallInFlight {
                ends_at: self.now + self.behaviours[server].duration_seconds,
                server,
                started_at: self.now,
            });
        }
    }

    /// The server's share of the calls in the last run.
    fn share(&self, server: usize) -> f64 {
        let calls = self.calls_by_server.get(&server).copied().unwrap_or(0);
        f64::from(calls) / f64::from(self.calls.max(1))
    }

    fn is_healthy(&self, server: usize) -> bool {
        self.pool.servers()[server].health == ServerHealth::Healthy
    }
}

#[test]
fn calls_spread_evenly_among_equal_servers() {
    let mut simulation = Simulation::new(5, "");
    simulation.run_for(10.0);
    for server in 0..5 {
        assert!(
            (0.15..0.25).contains(&simulation.share(server)),
            "{:?}",
            simulation.calls_by_server
        );
    }
}

#[test]
fn slow_failing_and_hanging_servers_are_ejected_and_readmitted_within_seconds() {
    let faults = [
        Behaviour::succeeds_after(0.100),
        Behaviour {
            duration_seconds: 0.0005,
            outcome: ServerOutcome::Failed,
        },
        Behaviour {
            duration_seconds: 0.5,
            outcome: ServerOutcome::TimedOut,
        },
    ];
    for fault in faults {
        let mut simulation = Simulation::new(5, "");
        simulation.run_for(3.0);
        simulation.behaviours[2] = fault;
        simulation.run_for(3.0);
        // Either ejected, or avoided because of its cost.
        assert!(
            !simulation.is_healthy(2) || simulation.share(2) < 0.1,
            "{fault:?}: {:?}",
            simulation.calls_by_server
        );
        simulation.run_for(4.0);
        assert!(
            simulation.share(2) < 0.05,
            "{fault:?}: {:?}",
            simulation.calls_by_server
        );
        assert!(
            f64::from(simulation.successes) > 0.98 * f64::from(simulation.calls),
            "{fault:?}: {} of {}",
            simulation.successes,
            simulation.calls
        );
        simulation.behaviours[2] = Behaviour::succeeds_after(0.010);
        simulation.run_for(10.0);
        assert!(
            simulation.is_healthy(2),
            "{fault:?}: {:?}",
            simulation.pool.servers()[2]
        );
        simulation.run_for(10.0);
        assert!(
            (0.12..0.28).contains(&simulation.share(2)),
            "{fault:?}: {:?}",
            simulation.calls_by_server
        );
    }
}

#[test]
fn no_server_is_ejected_if_all_are_slow_and_ejections_stay_within_the_limit() {
    let mut simulation = Simulation::new(6, "");
    simulation.run_for(3.0);
    simulation.behaviours = vec![Behaviour::succeeds_after(0.200); 6];
    simulation.run_for(5.0);
    assert!(
        (0..6).all(|server| simulation.is_healthy(server)),
        "{:?}",
        simulation.pool.servers()
    );
    // Five of six fail: at most half of the servers are ejected, but not the one that succeeds.
    let mut simulation = Simulation::new(6, "");
    simulation.run_for(3.0);
    for server in 1..6 {
        simulation.behaviours[server] = Behaviour {
            duration_seconds: 0.001,
            outcome: ServerOutcome::Failed,
        };
    }
    simulation.run_for(10.0);
    let ejected = (0..6)
        .filter(|server| !simulation.is_healthy(*server))
        .count();
    assert!(
        ejected <= 3 && simulation.is_healthy(0),
        "{ejected}: {:?}",
        simulation.pool.servers()
    );
    // The succeeding server gets most calls, although the failing ones reply faster.
    assert!(
        simulation.share(0) > 0.5,
        "{:?}",
        simulation.calls_by_server
    );
}

#[test]
fn own_zone_is_preferred_unless_its_servers_are_slow() {
    let mut simulation = Simulation::new(6, "a");
    simulation.run_for(5.0);
    let own_zone = |simulation: &Simulation| -> f64 {
        simulation.share(0) + simulation.share(2) + simulation.share(4)
    };
    assert!(
        own_zone(&simulation) > 0.8,
        "{:?}",
        simulation.calls_by_server
    );
    for server in [0, 2, 4] {
        simulation.behaviours[server] = Behaviour::succeeds_after(0.150);
    }
    simulation.run_for(3.0);
    simulation.run_for(5.0);
    assert!(
        own_zone(&simulation) < 0.5,
        "{:?}",
        simulation.calls_by_server
    );
}

#[test]
fn new_servers_warm_up_and_samples_of_others_are_kept() {
    let mut simulation = Simulation::new(4, "");
    simulation.run_for(5.0);
    simulation.behaviours.push(Behaviour::succeeds_after(0.010));
    let mean_before = simulation.pool.servers()[1].mean_seconds();
    let mut updated = servers(5);
    updated.swap(0, 3);
    simulation.in_flight.clear();
    simulation.pool.update_servers(simulation.now, &updated);
    assert_eq!(simulation.pool.index_of("s0"), Some(3));
    assert_eq!(simulation.pool.servers()[1].mean_seconds(), mean_before);
    simulation.run_for(1.0);
    assert!(
        simulation.share(4) < 0.15,
        "{:?}",
        simulation.calls_by_server
    );
    simulation.run_for(5.0);
    simulation.run_for(5.0);
    assert!(
        simulation.share(4) > 0.12,
        "{:?}",
        simulation.calls_by_server
    );
}

#[test]
fn pools_of_zero_one_and_ten_thousand_servers() {
    let mut random = XorShift::new(3);
    let mut empty = ServerPool::new(0.0, &[], "", 0.5);
    assert_eq!(empty.pick(0.0, &[], &mut || random.next()), None);
    let mut single = ServerPool::new(0.0, &servers(1), "", 0.5);
    for second in 0..100 {
        let now = f64::from(second);
        let server = single
            .pick(now, &[], &mut || random.next())
            .expect("a usable server");
        single.record_outcome(now, server, ServerOutcome::Failed, 0.01);
    }
    assert_eq!(
        single.servers()[0].health,
        ServerHealth::Healthy,
        "the only server is never ejected"
    );
    assert_eq!(
        single.pick(200.0, &[0], &mut || random.next()),
        None,
        "the only server is excluded"
    );
    let mut large = ServerPool::new(0.0, &servers(10_000), "", 0.1);
    for _ in 0..200 {
        let server = large
            .pick(1.0, &[], &mut || random.next())
            .expect("a usable server");
        large.record_outcome(1.0, server, ServerOutcome::Succeeded, 0.01);
    }
}
