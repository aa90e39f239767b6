//! The fleet's budgets in virtual time: the real state machines of whoever leads, of hosts and of instances, with messages that are late
//! or lost, clocks that run apart and processes that stand still, by seed. What it costs by size, and the worst second of each kind.

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
const ROUND: f64 = LEASE.lease_seconds / 8.0;
/// What a call takes, and how long it is on its way at the most.
const TAKES: f64 = 0.008;
const WAY: f64 = 0.04;
/// A run's failing calls after which it takes the catalogue to fail, and the pause between its probes, as the module's.
const FAILURES: u32 = 5;
const PAUSE: f64 = 0.5;

/// A fleet, and what happens to it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub hosts: usize,
    pub instances: usize,
    /// Calls that each instance wants, a second.
    pub rate: f64,
    pub seconds: f64,
    /// The catalogue is gone from and until then.
    pub outage: (f64, f64),
    /// Changes of who leads, hosts cut off, processes that stand still or die, over all of it.
    pub faults: usize,
    pub budgets: [(CallKind, u32); 3],
    pub reserved_calls: u32,
    /// What is wrong on purpose: whoever is elected gives at once.
    pub skips_lease_wait: bool,
}

impl Scenario {
    /// One with an outage in its midst.
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

    fn bounds(&self) -> Budgets {
        BTreeMap::from([(CATALOGUE.to_owned(), self.budgets.into_iter().collect())])
    }

    fn set_aside(&self) -> Budgets {
        let kinds = self
            .budgets
            .iter()
            .map(|(kind, _)| (*kind, self.reserved_calls))
            .collect();
        BTreeMap::from([(CATALOGUE.to_owned(), kinds)])
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// The worst second of each kind, wherever it begins.
    pub worst_second: BTreeMap<CallKind, usize>,
    /// Messages and bytes an instance and second: to and from its agent; and those between agents, a host and second.
    pub messages: (f64, f64),
    pub bytes: (f64, f64),
    /// Seconds from the catalogue's return until first calls are not bounded any more.
    pub unbounded_after: Option<f64>,
    /// Time on one core of whoever leads, of a host's agent and of an instance, milliseconds a second.
    pub cost_ms: (f64, f64, f64),
    pub calls: u64,
    pub probes: u64,
}

#[derive(Clone, Debug)]
enum Event {
    HostAsks(usize),
    Up(usize, QuotaRequestBatch),
    Down(usize, QuotaGrantBatch),
    Beat(usize),
    Said(usize, QuotaRequestBatch),
    Wants(usize),
    Ended(usize, u64, bool, bool),
    Trouble,
}

struct One {
    host: usize,
    rate: f64,
    spender: QuotaClient,
    given: Vec<QuotaGrantBatch>,
    stands_until: f64,
    life: u64,
    failures: u32,
    failed_at: f64,
    probing: bool,
}

struct Host {
    rate: f64,
    house: HostAllocator,
    purses: BTreeMap<CallKind, Vec<u8>>,
    deaf_until: f64,
    mute_until: f64,
}

struct World {
    size: Scenario,
    rng: Pcg64Mcg,
    now: f64,
    queue: BinaryHeap<(std::cmp::Reverse<u64>, std::cmp::Reverse<u64>)>,
    events: BTreeMap<u64, Event>,
    count: u64,
    bank: FleetAllocator,
    bank_rate: f64,
    /// It waits until what an earlier one gave is over.
    waits: bool,
    hosts: Vec<Host>,
    all: Vec<One>,
    arrived: BTreeMap<CallKind, Vec<f64>>,
    played: SimulationResult,
    sent: (u64, u64, u64, u64),
    spent: (f64, f64, f64),
}

fn length(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64 + 20)
}

impl World {
    fn new(size: &Scenario, seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let budgets = size.bounds();
        let mut rate = || 1.0 + rng.random_range(-0.01..0.01);
        let hosts = (0..size.hosts).map(|host| {
            let mut house = HostAllocator::new(host as u64 + 1, LEASE, "");
            house.set_budgets(0.0, &budgets);
            Host {
                rate: rate(),
                house,
                purses: BTreeMap::new(),
                deaf_until: 0.0,
                mute_until: 0.0,
            }
        });
        let hosts = hosts.collect();
        let all = (0..size.instances).map(|place| {
            let life = 1000 + place as u64;
            let mut spender = QuotaClient::new(life, LEASE);
            spender.set_budgets(&budgets);
            One {
                host: place % size.hosts,
                rate: rate(),
                spender,
                given: Vec::new(),
                stands_until: 0.0,
                life,
                failures: 0,
                failed_at: f64::NEG_INFINITY,
                probing: false,
            }
        });
        let all = all.collect();
        let mut bank = FleetAllocator::elected(LEASE, 1);
        bank.set_budgets(&budgets, &size.set_aside(), size.hosts as u32);
        let mut world = World {
            size: size.clone(),
            rng,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            bank,
            bank_rate: 1.0,
            waits: true,
            hosts,
            all,
            arrived: BTreeMap::new(),
            played: SimulationResult::default(),
            sent: (0, 0, 0, 0),
            spent: (0.0, 0.0, 0.0),
        };
        for host in 0..size.hosts {
            let at = world.rng.random_range(0.0..ROUND);
            world.after(at, Event::HostAsks(host));
        }
        for place in 0..size.instances {
            let at = world.rng.random_range(0.0..ROUND);
            world.after(at, Event::Beat(place));
            world.wants(place);
        }
        for _ in 0..size.faults {
            let at = world.rng.random_range(1.0..size.seconds - 2.0);
            world.after(at, Event::Trouble);
        }
        world
    }

    fn after(&mut self, pause: f64, event: Event) {
        self.count += 1;
        let at = ((self.now + pause) * 1e9) as u64;
        self.queue
            .push((std::cmp::Reverse(at), std::cmp::Reverse(self.count)));
        self.events.insert(self.count, event);
    }

    fn wants(&mut self, place: usize) {
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / self.size.rate;
        self.after(pause, Event::Wants(place));
    }

    /// Mostly soon; where there are faults now and then late, or never.
    fn send(&mut self, event: Event) {
        let pause = match self.rng.random_range(0..40) {
            0 if self.size.faults > 0 => return,
            1 if self.size.faults > 0 => self.rng.random_range(0.0..2.5),
            _ => self.rng.random_range(0.0002..0.005),
        };
        self.after(pause, event);
    }

    fn run(mut self) -> SimulationResult {
        let until = self.size.seconds;
        while let Some((std::cmp::Reverse(at), std::cmp::Reverse(number))) = self.queue.pop() {
            self.now = at as f64 / 1e9;
            if self.now > until {
                break;
            }
            if let Some(event) = self.events.remove(&number) {
                self.happens(event);
            }
        }
        let span = until * self.size.instances as f64;
        let (up, up_bytes, beats, beat_bytes) = self.sent;
        self.played.messages = (
            beats as f64 / span,
            up as f64 / (until * self.size.hosts as f64),
        );
        self.played.bytes = (
            beat_bytes as f64 / span,
            up_bytes as f64 / (until * self.size.hosts as f64),
        );
        self.played.cost_ms = (
            self.spent.0 * 1e3 / until,
            self.spent.1 * 1e3 / (until * self.size.hosts as f64),
            self.spent.2 * 1e3 / span,
        );
        for (kind, moments) in &mut self.arrived {
            moments.sort_by(f64::total_cmp);
            let (mut first, mut most) = (0, 0);
            for last in 0..moments.len() {
                while moments[last] - moments[first] >= 1.0 {
                    first += 1;
                }
                most = most.max(last - first + 1);
            }
            self.played.worst_second.insert(*kind, most);
        }
        self.played
    }

    fn happens(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::HostAsks(host) => {
                let of = &mut self.hosts[host];
                let began = Instant::now();
                let asked = of.house.request(now * of.rate);
                self.spent.1 += began.elapsed().as_secs_f64();
                if now >= of.mute_until {
                    self.send(Event::Up(host, asked));
                }
                self.after(ROUND, Event::HostAsks(host));
            }
            Event::Up(host, asked) => {
                if !self.waits {
                    // The skips_lease_wait fault: it takes what an earlier one gave for long over.
                    self.bank.handle_request(
                        now * self.bank_rate - 100.0,
                        &format!("h{host}"),
                        &asked,
                    );
                }
                let began = Instant::now();
                let given =
                    self.bank
                        .handle_request(now * self.bank_rate, &format!("h{host}"), &asked);
                self.spent.0 += began.elapsed().as_secs_f64();
                self.sent.0 += 2;
                self.sent.1 += length(&asked) + length(&given);
                self.send(Event::Down(host, given));
                let open = self
                    .bank
                    .phases(CATALOGUE)
                    .values()
                    .all(|phase| *phase == Phase::Healthy);
                if open && now > self.size.outage.1 && self.played.unbounded_after.is_none() {
                    self.played.unbounded_after = Some(now - self.size.outage.1);
                }
            }
            Event::Down(host, given) => {
                let of = &mut self.hosts[host];
                if now < of.deaf_until {
                    let pause = of.deaf_until - now; // it lies on its way, and comes
                    return self.after(pause + 1e-6, Event::Down(host, given));
                }
                if of.house.handle_grants(now * of.rate, &given) {
                    // Something fares differently: its instances hear of it at once.
                    let of_host: Vec<usize> = (0..self.all.len())
                        .filter(|place| self.all[*place].host == host)
                        .collect();
                    of_host.into_iter().for_each(|place| self.beat(place));
                }
            }
            Event::Beat(place) => {
                self.after(ROUND, Event::Beat(place));
                self.beat(place);
            }
            Event::Said(place, asked) => {
                let host = self.all[place].host;
                let of = &mut self.hosts[host];
                let began = Instant::now();
                of.house
                    .handle_request(now * of.rate, &format!("i{place}"), asked);
                self.spent.1 += began.elapsed().as_secs_f64();
            }
            Event::Wants(place) => {
                self.wants(place);
                self.call(place);
            }
            Event::Ended(place, life, probe, well) => self.ended(place, life, probe, well),
            Event::Trouble => self.trouble(),
        }
    }

    /// The agent's beat: what was asked before is answered, and asked anew.
    fn beat(&mut self, place: usize) {
        let now = self.now;
        let one = &mut self.all[place];
        let host = &mut self.hosts[one.host];
        let began = Instant::now();
        let given = host
            .house
            .take_grants(now * host.rate, &format!("i{place}"));
        self.spent.1 += began.elapsed().as_secs_f64();
        self.sent.2 += 2;
        self.sent.3 += given.as_ref().map_or(0, length);
        one.given.extend(given);
        if now < one.stands_until {
            return; // it lies in its socket
        }
        let own = now * one.rate;
        let began = Instant::now();
        for given in std::mem::take(&mut one.given) {
            one.spender
                .handle_grants(own, &given, &mut || self.rng.random());
        }
        let asked = one.spender.request(own);
        self.spent.2 += began.elapsed().as_secs_f64();
        self.sent.3 += length(&asked);
        self.send(Event::Said(place, asked));
    }

    fn call(&mut self, place: usize) {
        let (now, aside) = (self.now, self.size.reserved_calls);
        let one = &mut self.all[place];
        if now < one.stands_until {
            return;
        }
        let own = now * one.rate;
        let fails = one.failures >= FAILURES;
        one.spender.set_failing(own, CATALOGUE, fails);
        let closed = one.spender.remaining(own, CATALOGUE).probes_only;
        let kind = if fails || closed {
            CallKind::Probe
        } else {
            CallKind::FirstCall
        };
        one.spender.record_demand(own, CATALOGUE, kind, 1.0);
        if one.spender.needs_reserve(own, CATALOGUE, kind) {
            let host = &mut self.hosts[one.host];
            let purse = host.purses.entry(kind).or_default();
            match reserve::draw(purse, now, aside, LEASE.drift) {
                Ok(next) => {
                    *purse = next;
                    one.spender.record_reserve_draw(own, CATALOGUE, kind);
                }
                Err(DrawError::Exhausted) => {}
                Err(DrawError::Corrupt { replacement }) => *purse = replacement,
            }
        }
        let left = one.spender.remaining(own, CATALOGUE);
        if left.reopened {
            one.failures = one.failures.min(FAILURES - 1);
        }
        let bounded = one.spender.is_limited(own, CATALOGUE, kind);
        let may = match kind {
            CallKind::Probe => left.probes > 0 && !one.probing && now >= one.failed_at + PAUSE,
            _ => left.first_calls > 0,
        };
        if !may {
            return;
        }
        if bounded {
            one.spender.record_spent(own, CATALOGUE, kind, 1);
        }
        one.probing |= kind == CallKind::Probe;
        let life = one.life;
        let way = self.rng.random_range(0.0..WAY);
        let (from, until) = self.size.outage;
        let well = !(now + way >= from && now + way < until);
        if bounded {
            self.arrived.entry(kind).or_default().push(now + way);
        }
        self.played.calls += 1;
        self.played.probes += u64::from(kind == CallKind::Probe && bounded);
        self.after(
            way + TAKES,
            Event::Ended(place, life, kind == CallKind::Probe, well),
        );
    }

    fn ended(&mut self, place: usize, life: u64, probe: bool, well: bool) {
        let now = self.now;
        let one = &mut self.all[place];
        if one.life != life {
            return;
        }
        one.probing &= !probe;
        let outcome = if well {
            CallOutcome::Succeeded
        } else {
            CallOutcome::Failed
        };
        one.spender
            .record_call_end(now * one.rate, CATALOGUE, outcome);
        one.failures = if well { 0 } else { one.failures + 1 };
        if !well {
            one.failed_at = now;
        }
    }

    fn trouble(&mut self) {
        let now = self.now;
        let place = self.rng.random_range(0..self.all.len());
        let host = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..5) {
            0 => {
                self.bank_rate = 1.0 + self.rng.random_range(-0.01..0.01);
                self.bank = FleetAllocator::elected(LEASE, self.count);
                self.waits = !self.size.skips_lease_wait;
                self.bank.set_budgets(
                    &self.size.bounds(),
                    &self.size.set_aside(),
                    self.size.hosts as u32,
                );
            }
            1 => self.all[place].stands_until = now + self.rng.random_range(0.2..4.0),
            2 => {
                let life = 1_000_000 + self.count;
                let mut spender = QuotaClient::new(life, LEASE);
                spender.set_budgets(&self.size.bounds());
                let one = &mut self.all[place];
                (one.spender, one.life, one.failures, one.probing) = (spender, life, 0, false);
                one.given.clear();
            }
            3 => {
                let until = now + self.rng.random_range(0.3..6.0);
                let both = self.rng.random_bool(0.6);
                self.hosts[host].deaf_until = until;
                if both {
                    self.hosts[host].mute_until = until;
                }
            }
            _ => {
                let mut house = HostAllocator::new(2_000_000 + self.count, LEASE, "");
                house.set_budgets(now * self.hosts[host].rate, &self.size.bounds());
                self.hosts[host].house = house;
            }
        }
    }
}

/// One play of a fleet.
pub fn simulate(size: &Scenario, seed: u64) -> SimulationResult {
    World::new(size, seed).run()
}

/// The table by size; whether every budget held.
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
        "open s",
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
        let size = Scenario::with_outage(hosts, instances, faults);
        let played = simulate(&size, seed);
        let worst = |kind: CallKind| {
            let budget = size
                .budgets
                .iter()
                .find(|(of, _)| *of == kind)
                .map_or(1, |(_, calls)| *calls);
            played.worst_second.get(&kind).copied().unwrap_or(0) as f64 / f64::from(budget)
        };
        clean &= worst(CallKind::Probe) <= 1.0 && worst(CallKind::FirstCall) <= 1.0;
        println!(
            "{hosts:>5} {instances:>9} {faults:>6} {:>12.2} {:>12.0} {:>12.1} {:>12.0} {:>9.2} {:>9.2} {:>9.1} {:>9.3}",
            played.messages.0,
            played.bytes.0,
            played.messages.1,
            played.bytes.1,
            worst(CallKind::Probe),
            worst(CallKind::FirstCall),
            played.unbounded_after.unwrap_or(f64::NAN),
            played.cost_ms.0,
        );
        rows.push(json!({
            "hosts": hosts, "instances": instances, "faults": faults, "messages": played.messages.0,
            "bytes": played.bytes.0, "worst_probes": worst(CallKind::Probe), "worst_first": worst(CallKind::FirstCall),
            "open_after_s": played.unbounded_after, "leader_ms_s": played.cost_ms.0, "host_ms_s": played.cost_ms.1,
        }));
    }
    let line = json!({ "trial": "shares-sizes", "seed": seed, "sizes": rows });
    println!("{line}");
    (line, clean)
}
