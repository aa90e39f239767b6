//! `experiment shares --sizes`: the fleet's budgets in virtual time. Runs the real state machines of the leader, the hosts and
//! the instances with delayed and lost messages, drifting clocks and paused processes, all drawn by seed. Measures the cost by
//! fleet size and the number of calls in the worst second of each kind.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

use merlinshelf_quota::reserve::DrawError;
use merlinshelf_quota::{
    Budgets, CATALOGUE, CallKind, CallOutcome, FleetAllocator, HostAllocator, LeaseTerms, Phase,
    QuotaClient, QuotaGrantBatch, QuotaRequestBatch, reserve,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::{Value, json};

const LEASE: LeaseTerms = LeaseTerms {
    lease_seconds: 2.0,
    drift: 0.02,
};
/// Time between two requests of a host, and between two heartbeats to an instance.
const HEARTBEAT_S: f64 = LEASE.lease_seconds / 8.0;
const CALL_DURATION_S: f64 = 0.008;
const MAX_CALL_DELAY_S: f64 = 0.04;
/// Consecutive failures after which an instance considers the catalogue failing, and the pause after a failure before its
/// next probe. Both are as in the admission controller.
const FAILURE_THRESHOLD: u32 = 5;
const PROBE_PAUSE_S: f64 = 0.5;

/// A fleet, its budgets, and the faults that are injected.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub hosts: usize,
    pub instances: usize,
    /// Calls per second that each instance wants to make.
    pub rate: f64,
    pub seconds: f64,
    /// Start and end of the time in which the catalogue is unavailable.
    pub outage: (f64, f64),
    /// Number of faults: leader changes, disconnected hosts, and processes that pause or restart.
    pub faults: usize,
    pub budgets: [(CallKind, u32); 3],
    pub reserved_calls: u32,
    /// Plants a fault: a new leader grants shares at once, without waiting for the leases of its predecessor to end.
    pub skips_lease_wait: bool,
}

impl Scenario {
    /// A fleet whose catalogue is unavailable from second 5 to 14 of 22.
    pub fn with_outage(hosts: usize, instances: usize, faults: usize) -> Scenario {
        let budgets = [
            (CallKind::Retry, 24),
            (CallKind::Probe, 8.max(2 * hosts as u32)),
            (CallKind::FirstCall, 20 + instances as u32),
        ];
        let (seconds, outage, skips_lease_wait) = (22.0, (5.0, 14.0), false);
        Scenario {
            hosts,
            instances,
            rate: 4.0,
            seconds,
            outage,
            faults,
            budgets,
            reserved_calls: 1,
            skips_lease_wait,
        }
    }

    fn budgets(&self) -> Budgets {
        BTreeMap::from([(CATALOGUE.to_owned(), self.budgets.into_iter().collect())])
    }

    fn reserves(&self) -> Budgets {
        let kinds = self
            .budgets
            .iter()
            .map(|(kind, _)| (*kind, self.reserved_calls))
            .collect();
        BTreeMap::from([(CATALOGUE.to_owned(), kinds)])
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// Calls in the worst second of each kind, over all starting points.
    pub worst_second: BTreeMap<CallKind, usize>,
    /// Messages and bytes per second: between an instance and its agent, per instance; and between agents, per host.
    pub messages: (f64, f64),
    pub bytes: (f64, f64),
    /// Seconds from the end of the outage until first calls are no longer limited.
    pub unbounded_after: Option<f64>,
    /// CPU time of the leader, of the agent of a host and of an instance, in milliseconds per second.
    pub cost_ms: (f64, f64, f64),
    pub calls: u64,
    pub probes: u64,
}

#[derive(Clone, Debug)]
enum Event {
    HostRequestDue(usize),
    HostRequest(usize, QuotaRequestBatch),
    LeaderGrant(usize, QuotaGrantBatch),
    HeartbeatDue(usize),
    InstanceRequest(usize, QuotaRequestBatch),
    CallDue(usize),
    CallEnded {
        instance: usize,
        incarnation: u64,
        is_probe: bool,
        succeeded: bool,
    },
    Fault,
}

struct Instance {
    host: usize,
    clock_rate: f64,
    quota_client: QuotaClient,
    undelivered_grants: Vec<QuotaGrantBatch>,
    paused_until: f64,
    incarnation: u64,
    failures: u32,
    failed_at: f64,
    is_probing: bool,
}

struct Host {
    clock_rate: f64,
    allocator: HostAllocator,
    reserves: BTreeMap<CallKind, Vec<u8>>,
    receives_nothing_until: f64,
    sends_nothing_until: f64,
}

struct World {
    scenario: Scenario,
    rng: Pcg64Mcg,
    now: f64,
    queue: BinaryHeap<(std::cmp::Reverse<u64>, std::cmp::Reverse<u64>)>,
    events: BTreeMap<u64, Event>,
    event_count: u64,
    leader: FleetAllocator,
    leader_clock_rate: f64,
    /// Whether the leader waits until the leases that its predecessor granted have ended.
    leader_waits: bool,
    hosts: Vec<Host>,
    instances: Vec<Instance>,
    arrived: BTreeMap<CallKind, Vec<f64>>,
    result: SimulationResult,
    /// Messages and bytes between agents, then messages and bytes between agents and instances.
    traffic: (u64, u64, u64, u64),
    /// CPU seconds of the leader, of all hosts and of all instances.
    cpu_s: (f64, f64, f64),
}

fn message_size(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64 + 20)
}

impl World {
    fn new(scenario: &Scenario, seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let budgets = scenario.budgets();
        let mut clock_rate = || 1.0 + rng.random_range(-0.01..0.01);
        let hosts = (0..scenario.hosts).map(|host| {
            let mut allocator = HostAllocator::new(host as u64 + 1, LEASE, "");
            allocator.set_budgets(0.0, &budgets);
            Host {
                clock_rate: clock_rate(),
                allocator,
                reserves: BTreeMap::new(),
                receives_nothing_until: 0.0,
                sends_nothing_until: 0.0,
            }
        });
        let hosts = hosts.collect();
        let instances = (0..scenario.instances).map(|index| {
            let incarnation = 1000 + index as u64;
            let mut quota_client = QuotaClient::new(incarnation, LEASE);
            quota_client.set_budgets(&budgets);
            Instance {
                host: index % scenario.hosts,
                clock_rate: clock_rate(),
                quota_client,
                undelivered_grants: Vec::new(),
                paused_until: 0.0,
                incarnation,
                failures: 0,
                failed_at: f64::NEG_INFINITY,
                is_probing: false,
            }
        });
        let instances = instances.collect();
        let mut leader = FleetAllocator::elected(LEASE, 1);
        leader.set_budgets(&budgets, &scenario.reserves(), scenario.hosts as u32);
        let mut world = World {
            scenario: scenario.clone(),
            rng,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            leader,
            leader_clock_rate: 1.0,
            leader_waits: true,
            hosts,
            instances,
            arrived: BTreeMap::new(),
            result: SimulationResult::default(),
            traffic: (0, 0, 0, 0),
            cpu_s: (0.0, 0.0, 0.0),
        };
        for host in 0..scenario.hosts {
            let at = world.rng.random_range(0.0..HEARTBEAT_S);
            world.schedule(at, Event::HostRequestDue(host));
        }
        for index in 0..scenario.instances {
            let at = world.rng.random_range(0.0..HEARTBEAT_S);
            world.schedule(at, Event::HeartbeatDue(index));
            world.schedule_call(index);
        }
        for _ in 0..scenario.faults {
            let at = world.rng.random_range(1.0..scenario.seconds - 2.0);
            world.schedule(at, Event::Fault);
        }
        world
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        self.event_count += 1;
        let at = ((self.now + delay) * 1e9) as u64;
        self.queue
            .push((std::cmp::Reverse(at), std::cmp::Reverse(self.event_count)));
        self.events.insert(self.event_count, event);
    }

    fn schedule_call(&mut self, index: usize) {
        let delay = -self.rng.random::<f64>().max(1e-9).ln() / self.scenario.rate;
        self.schedule(delay, Event::CallDue(index));
    }

    /// Delivers a message after a short delay. With faults, a few messages are delayed by up to 2.5 s or lost.
    fn send(&mut self, event: Event) {
        let delay = match self.rng.random_range(0..40) {
            0 if self.scenario.faults > 0 => return,
            1 if self.scenario.faults > 0 => self.rng.random_range(0.0..2.5),
            _ => self.rng.random_range(0.0002..0.005),
        };
        self.schedule(delay, event);
    }

    fn run(mut self) -> SimulationResult {
        let until = self.scenario.seconds;
        while let Some((std::cmp::Reverse(at), std::cmp::Reverse(event_id))) = self.queue.pop() {
            self.now = at as f64 / 1e9;
            if self.now > until {
                break;
            }
            if let Some(event) = self.events.remove(&event_id) {
                self.handle_event(event);
            }
        }
        let instance_seconds = until * self.scenario.instances as f64;
        let (host_messages, host_bytes, instance_messages, instance_bytes) = self.traffic;
        self.result.messages = (
            instance_messages as f64 / instance_seconds,
            host_messages as f64 / (until * self.scenario.hosts as f64),
        );
        self.result.bytes = (
            instance_bytes as f64 / instance_seconds,
            host_bytes as f64 / (until * self.scenario.hosts as f64),
        );
        self.result.cost_ms = (
            self.cpu_s.0 * 1e3 / until,
            self.cpu_s.1 * 1e3 / (until * self.scenario.hosts as f64),
            self.cpu_s.2 * 1e3 / instance_seconds,
        );
        for (kind, moments) in &mut self.arrived {
            moments.sort_by(f64::total_cmp);
            let (mut first, mut worst) = (0, 0);
            for last in 0..moments.len() {
                while moments[last] - moments[first] >= 1.0 {
                    first += 1;
                }
                worst = worst.max(last - first + 1);
            }
            self.result.worst_second.insert(*kind, worst);
        }
        self.result
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::HostRequestDue(host) => {
                let host_state = &mut self.hosts[host];
                let started = Instant::now();
                let request = host_state.allocator.request(now * host_state.clock_rate);
                self.cpu_s.1 += started.elapsed().as_secs_f64();
                if now >= host_state.sends_nothing_until {
                    self.send(Event::HostRequest(host, request));
                }
                self.schedule(HEARTBEAT_S, Event::HostRequestDue(host));
            }
            Event::HostRequest(host, request) => {
                if !self.leader_waits {
                    // The planted fault: a request dated 100 s earlier makes the leader skip its wait for the leases of its predecessor.
                    self.leader.handle_request(
                        now * self.leader_clock_rate - 100.0,
                        &format!("h{host}"),
                        &request,
                    );
                }
                let started = Instant::now();
                let grants = self.leader.handle_request(
                    now * self.leader_clock_rate,
                    &format!("h{host}"),
                    &request,
                );
                self.cpu_s.0 += started.elapsed().as_secs_f64();
                self.traffic.0 += 2;
                self.traffic.1 += message_size(&request) + message_size(&grants);
                self.send(Event::LeaderGrant(host, grants));
                let is_healthy = self
                    .leader
                    .phases(CATALOGUE)
                    .values()
                    .all(|phase| *phase == Phase::Healthy);
                if is_healthy
                    && now > self.scenario.outage.1
                    && self.result.unbounded_after.is_none()
                {
                    self.result.unbounded_after = Some(now - self.scenario.outage.1);
                }
            }
            Event::LeaderGrant(host, grants) => {
                let host_state = &mut self.hosts[host];
                if now < host_state.receives_nothing_until {
                    let delay = host_state.receives_nothing_until - now; // delivered after the fault
                    return self.schedule(delay + 1e-6, Event::LeaderGrant(host, grants));
                }
                if host_state
                    .allocator
                    .handle_grants(now * host_state.clock_rate, &grants)
                {
                    // The health of a dependency changed: the instances of the host are notified at once.
                    let own_instances: Vec<usize> = (0..self.instances.len())
                        .filter(|index| self.instances[*index].host == host)
                        .collect();
                    own_instances
                        .into_iter()
                        .for_each(|index| self.heartbeat(index));
                }
            }
            Event::HeartbeatDue(index) => {
                self.schedule(HEARTBEAT_S, Event::HeartbeatDue(index));
                self.heartbeat(index);
            }
            Event::InstanceRequest(index, request) => {
                let host = self.instances[index].host;
                let host_state = &mut self.hosts[host];
                let started = Instant::now();
                host_state.allocator.handle_request(
                    now * host_state.clock_rate,
                    &format!("i{index}"),
                    request,
                );
                self.cpu_s.1 += started.elapsed().as_secs_f64();
            }
            Event::CallDue(index) => {
                self.schedule_call(index);
                self.call(index);
            }
            Event::CallEnded {
                instance,
                incarnation,
                is_probe,
                succeeded,
            } => self.call_ended(instance, incarnation, is_probe, succeeded),
            Event::Fault => self.inject_fault(),
        }
    }

    /// A heartbeat of the agent, which delivers grants for earlier requests of the instance and collects its next request.
    fn heartbeat(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        let host = &mut self.hosts[instance.host];
        let started = Instant::now();
        let grants = host
            .allocator
            .take_grants(now * host.clock_rate, &format!("i{index}"));
        self.cpu_s.1 += started.elapsed().as_secs_f64();
        self.traffic.2 += 2;
        self.traffic.3 += grants.as_ref().map_or(0, message_size);
        instance.undelivered_grants.extend(grants);
        if now < instance.paused_until {
            return; // the message waits in the socket of the paused process
        }
        let own_now = now * instance.clock_rate;
        let started = Instant::now();
        for grants in std::mem::take(&mut instance.undelivered_grants) {
            instance
                .quota_client
                .handle_grants(own_now, &grants, &mut || self.rng.random());
        }
        let request = instance.quota_client.request(own_now);
        self.cpu_s.2 += started.elapsed().as_secs_f64();
        self.traffic.3 += message_size(&request);
        self.send(Event::InstanceRequest(index, request));
    }

    fn call(&mut self, index: usize) {
        let (now, reserved_calls) = (self.now, self.scenario.reserved_calls);
        let instance = &mut self.instances[index];
        if now < instance.paused_until {
            return;
        }
        let own_now = now * instance.clock_rate;
        let is_failing = instance.failures >= FAILURE_THRESHOLD;
        instance
            .quota_client
            .set_failing(own_now, CATALOGUE, is_failing);
        let probes_only = instance
            .quota_client
            .remaining(own_now, CATALOGUE)
            .probes_only;
        let kind = if is_failing || probes_only {
            CallKind::Probe
        } else {
            CallKind::FirstCall
        };
        instance
            .quota_client
            .record_demand(own_now, CATALOGUE, kind, 1.0);
        if instance
            .quota_client
            .needs_reserve(own_now, CATALOGUE, kind)
        {
            let host = &mut self.hosts[instance.host];
            let stored_reserve = host.reserves.entry(kind).or_default();
            match reserve::draw(stored_reserve, now, reserved_calls, LEASE.drift) {
                Ok(next) => {
                    *stored_reserve = next;
                    instance
                        .quota_client
                        .record_reserve_draw(own_now, CATALOGUE, kind);
                }
                Err(DrawError::Exhausted) => {}
                Err(DrawError::Corrupt { replacement }) => *stored_reserve = replacement,
            }
        }
        let remaining = instance.quota_client.remaining(own_now, CATALOGUE);
        if remaining.reopened {
            instance.failures = instance.failures.min(FAILURE_THRESHOLD - 1);
        }
        let is_limited = instance.quota_client.is_limited(own_now, CATALOGUE, kind);
        let is_allowed = match kind {
            CallKind::Probe => {
                remaining.probes > 0
                    && !instance.is_probing
                    && now >= instance.failed_at + PROBE_PAUSE_S
            }
            _ => remaining.first_calls > 0,
        };
        if !is_allowed {
            return;
        }
        if is_limited {
            instance
                .quota_client
                .record_spent(own_now, CATALOGUE, kind, 1);
        }
        instance.is_probing |= kind == CallKind::Probe;
        let incarnation = instance.incarnation;
        let delay = self.rng.random_range(0.0..MAX_CALL_DELAY_S);
        let (from, until) = self.scenario.outage;
        let succeeded = !(now + delay >= from && now + delay < until);
        if is_limited {
            self.arrived.entry(kind).or_default().push(now + delay);
        }
        self.result.calls += 1;
        self.result.probes += u64::from(kind == CallKind::Probe && is_limited);
        self.schedule(
            delay + CALL_DURATION_S,
            Event::CallEnded {
                instance: index,
                incarnation,
                is_probe: kind == CallKind::Probe,
                succeeded,
            },
        );
    }

    fn call_ended(&mut self, index: usize, incarnation: u64, is_probe: bool, succeeded: bool) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.incarnation != incarnation {
            return;
        }
        instance.is_probing &= !is_probe;
        let outcome = if succeeded {
            CallOutcome::Succeeded
        } else {
            CallOutcome::Failed
        };
        instance
            .quota_client
            .record_call_end(now * instance.clock_rate, CATALOGUE, outcome);
        instance.failures = if succeeded { 0 } else { instance.failures + 1 };
        if !succeeded {
            instance.failed_at = now;
        }
    }

    /// Replaces the leader or a host allocator, pauses or restarts an instance, or disconnects a host.
    fn inject_fault(&mut self) {
        let now = self.now;
        let index = self.rng.random_range(0..self.instances.len());
        let host = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..5) {
            0 => {
                self.leader_clock_rate = 1.0 + self.rng.random_range(-0.01..0.01);
                self.leader = FleetAllocator::elected(LEASE, self.event_count);
                self.leader_waits = !self.scenario.skips_lease_wait;
                self.leader.set_budgets(
                    &self.scenario.budgets(),
                    &self.scenario.reserves(),
                    self.scenario.hosts as u32,
                );
            }
            1 => self.instances[index].paused_until = now + self.rng.random_range(0.2..4.0),
            2 => {
                let incarnation = 1_000_000 + self.event_count;
                let mut quota_client = QuotaClient::new(incarnation, LEASE);
                quota_client.set_budgets(&self.scenario.budgets());
                let instance = &mut self.instances[index];
                (
                    instance.quota_client,
                    instance.incarnation,
                    instance.failures,
                    instance.is_probing,
                ) = (quota_client, incarnation, 0, false);
                instance.undelivered_grants.clear();
            }
            3 => {
                let until = now + self.rng.random_range(0.3..6.0);
                let is_cut_both_ways = self.rng.random_bool(0.6);
                self.hosts[host].receives_nothing_until = until;
                if is_cut_both_ways {
                    self.hosts[host].sends_nothing_until = until;
                }
            }
            _ => {
                let mut allocator = HostAllocator::new(2_000_000 + self.event_count, LEASE, "");
                allocator.set_budgets(now * self.hosts[host].clock_rate, &self.scenario.budgets());
                self.hosts[host].allocator = allocator;
            }
        }
    }
}

/// Runs one simulation of a fleet.
pub fn simulate(scenario: &Scenario, seed: u64) -> SimulationResult {
    World::new(scenario, seed).run()
}

/// Prints the table by fleet size. Returns the JSON object of the last line and whether every budget held.
pub fn run(seed: u64) -> (Value, bool) {
    println!(
        "{:>5} {:>9} {:>6} {:>12} {:>12} {:>12} {:>12} {:>9} {:>9} {:>9} {:>9}",
        "hosts",
        "instances",
        "faults",
        "msg/inst/s",
        "B/inst/s",
        "msg/host/s",
        "B/host/s",
        "probes",
        "first",
        "healthy s",
        "leader ms"
    );
    let (mut rows, mut clean) = (Vec::new(), true);
    for (hosts, instances, faults) in [
        (3, 30, 0),
        (3, 300, 0),
        (30, 3000, 0),
        (3, 30, 60),
        (3, 300, 60),
        (30, 3000, 60),
    ] {
        let scenario = Scenario::with_outage(hosts, instances, faults);
        let result = simulate(&scenario, seed);
        let worst = |kind: CallKind| {
            let budget = scenario
                .budgets
                .iter()
                .find(|(of, _)| *of == kind)
                .map_or(1, |(_, calls)| *calls);
            result.worst_second.get(&kind).copied().unwrap_or(0) as f64 / f64::from(budget)
        };
        clean &= worst(CallKind::Probe) <= 1.0 && worst(CallKind::FirstCall) <= 1.0;
        println!(
            "{hosts:>5} {instances:>9} {faults:>6} {:>12.2} {:>12.0} {:>12.1} {:>12.0} {:>9.2} {:>9.2} {:>9.1} {:>9.3}",
            result.messages.0,
            result.bytes.0,
            result.messages.1,
            result.bytes.1,
            worst(CallKind::Probe),
            worst(CallKind::FirstCall),
            result.unbounded_after.unwrap_or(f64::NAN),
            result.cost_ms.0,
        );
        rows.push(json!({
            "hosts": hosts, "instances": instances, "faults": faults, "messages": result.messages.0,
            "bytes": result.bytes.0, "worst_probes": worst(CallKind::Probe), "worst_first": worst(CallKind::FirstCall),
            "open_after_s": result.unbounded_after, "leader_ms_s": result.cost_ms.0, "host_ms_s": result.cost_ms.1,
        }));
    }
    let line = json!({ "trial": "shares-sizes", "seed": seed, "sizes": rows });
    println!("{line}");
    (line, clean)
}
