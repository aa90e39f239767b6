//! The simulated fleet: one budget, its allocator, hosts with instances, and messages in flight.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use merlinshelf_quota::{
    Allocator, GrantId, LeaseTerms, QuotaGrant, QuotaLeaseHolder, QuotaRequest,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const HOSTS: usize = 3;
pub const INSTANCES_PER_HOST: usize = 4;
pub const TERMS: LeaseTerms = LeaseTerms {
    lease_seconds: 2.0,
    drift: 0.02,
};
pub const ROUND_SECONDS: f64 = 0.125;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Times closer than this count as equal, to absorb rounding.
const ROUNDING_SECONDS: f64 = 1e-6;

/// A deliberately seeded bug, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    None,
    /// A new allocator does not wait until earlier grants have expired.
    GrantsAtOnce,
    /// A smaller grant counts as acknowledged when it is sent.
    AcknowledgedAtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceId {
    pub host: usize,
    pub slot: usize,
}

impl InstanceId {
    pub fn all() -> Vec<InstanceId> {
        (0..HOSTS)
            .flat_map(|host| (0..INSTANCES_PER_HOST).map(move |slot| InstanceId { host, slot }))
            .collect()
    }

    pub fn flat_index(self) -> usize {
        self.host * INSTANCES_PER_HOST + self.slot
    }
}

/// The direction in which a partition blocks a host's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Grants are delayed until the partition ends.
    ToHost,
    /// Requests are lost.
    FromHost,
}

#[derive(Clone, Debug)]
pub enum Event {
    HostRound {
        host: usize,
    },
    InstanceRound(InstanceId),
    HostRequest {
        host: usize,
        request: QuotaRequest,
    },
    HostGrant {
        host: usize,
        grant: QuotaGrant,
    },
    InstanceRequest {
        instance: InstanceId,
        request: QuotaRequest,
    },
    InstanceGrant {
        instance: InstanceId,
        grant: QuotaGrant,
    },
    /// An instance attempts a call.
    Call(InstanceId),
    /// Another agent becomes leader, with a new allocator.
    Election,
    /// An agent restarts, with a new holder towards the leader and a new allocator towards its
    /// instances.
    AgentRestart {
        host: usize,
    },
    InstanceStop {
        instance: InstanceId,
        until: f64,
    },
    InstanceRestart(InstanceId),
    BudgetChange(u32),
    Partition {
        host: usize,
        direction: Direction,
        until: f64,
    },
}

pub struct Instance {
    clock_rate: f64,
    holder: QuotaLeaseHolder,
    stopped_until: f64,
}

struct Host {
    clock_rate: f64,
    holder: QuotaLeaseHolder,
    allocator: Allocator,
    instances: Vec<Instance>,
    /// Grants to it are delayed until this time.
    no_grants_until: f64,
    /// Its requests are lost until this time.
    no_requests_until: f64,
}

/// Ordered for a max-heap: the earliest event comes first, and of two at the same time the one that
/// was scheduled last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    due_at_nanoseconds: Reverse<u64>,
    event_id: u64,
}

pub struct World {
    pub rng: Pcg64Mcg,
    seeded_bug: SeededBug,
    /// True time, in seconds.
    pub now: f64,
    queue: BinaryHeap<ScheduledEvent>,
    events: BTreeMap<u64, Event>,
    last_event_id: u64,
    allocator: Allocator,
    allocator_clock_rate: f64,
    hosts: Vec<Host>,
    /// The arrival times of calls, in true time.
    pub arrivals: Vec<f64>,
    pub steps: u64,
    last_incarnation: u64,
}

impl World {
    pub fn new(seed: u64, seeded_bug: SeededBug, budget: u32) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|host| new_host(&mut rng, host)).collect();
        let mut world = World {
            rng,
            seeded_bug,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
            allocator: Allocator::new(0.0, TERMS, budget, 1),
            allocator_clock_rate: 1.0,
            hosts,
            arrivals: Vec::new(),
            steps: 0,
            last_incarnation: 100,
        };
        for host in 0..HOSTS {
            world.schedule(0.01, Event::HostRound { host });
            for slot in 0..INSTANCES_PER_HOST {
                world.schedule(0.02, Event::InstanceRound(InstanceId { host, slot }));
            }
        }
        world
    }

    pub fn schedule(&mut self, delay_seconds: f64, event: Event) {
        self.last_event_id += 1;
        let due_at = (self.now + delay_seconds) * NANOSECONDS_PER_SECOND;
        self.queue.push(ScheduledEvent {
            due_at_nanoseconds: Reverse(due_at as u64),
            event_id: self.last_event_id,
        });
        self.events.insert(self.last_event_id, event);
    }

    /// Sends a message, which arrives soon in most cases, and late or never in some.
    fn send(&mut self, event: Event) {
        let delay_seconds = match self.rng.random_range(0..20) {
            0 => return,
            1 | 2 => self.rng.random_range(0.0..2.5),
            _ => self.rng.random_range(0.0002..0.01),
        };
        self.schedule(delay_seconds, event);
    }

    pub fn run(&mut self, until: f64) {
        while let Some(scheduled) = self.queue.peek().copied() {
            let due_at = scheduled.due_at_nanoseconds.0 as f64 / NANOSECONDS_PER_SECOND;
            if due_at > until {
                break;
            }
            self.queue.pop();
            self.now = due_at;
            self.steps += 1;
            if let Some(event) = self.events.remove(&scheduled.event_id) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::HostRound { host } => self.begin_host_round(host),
            Event::InstanceRound(instance) => self.begin_instance_round(instance),
            Event::HostRequest { host, request } => self.handle_host_request(host, request),
            Event::HostGrant { host, grant } => self.handle_host_grant(host, grant),
            Event::InstanceRequest { instance, request } => {
                self.handle_instance_request(instance, &request);
            }
            Event::InstanceGrant { instance, grant } => self.handle_instance_grant(instance, grant),
            Event::Call(instance) => self.call(instance),
            Event::Election => self.elect(),
            Event::AgentRestart { host } => self.restart_agent(host),
            Event::InstanceStop { instance, until } => {
                self.instance_mut(instance).stopped_until = until;
            }
            Event::InstanceRestart(instance) => {
                self.last_incarnation += 1;
                let holder = QuotaLeaseHolder::new(self.last_incarnation, TERMS);
                self.instance_mut(instance).holder = holder;
            }
            Event::BudgetChange(calls_per_second) => self.allocator.set_budget(calls_per_second),
            Event::Partition {
                host,
                direction,
                until,
            } => match direction {
                Direction::ToHost => self.hosts[host].no_grants_until = until,
                Direction::FromHost => self.hosts[host].no_requests_until = until,
            },
        }
    }

    fn instance_mut(&mut self, instance: InstanceId) -> &mut Instance {
        &mut self.hosts[instance.host].instances[instance.slot]
    }

    fn begin_host_round(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let now = self.now * host.clock_rate;
        let demand = host.allocator.total_demand();
        let outstanding = host.allocator.outstanding(now);
        let request = host.holder.request_for(now, demand, outstanding);
        self.send(Event::HostRequest {
            host: index,
            request,
        });
        self.schedule(ROUND_SECONDS, Event::HostRound { host: index });
    }

    fn begin_instance_round(&mut self, id: InstanceId) {
        let true_now = self.now;
        let instance = self.instance_mut(id);
        if true_now >= instance.stopped_until {
            let request = instance.holder.request(true_now * instance.clock_rate);
            self.send(Event::InstanceRequest {
                instance: id,
                request,
            });
        }
        self.schedule(ROUND_SECONDS, Event::InstanceRound(id));
    }

    fn handle_host_request(&mut self, host: usize, mut request: QuotaRequest) {
        if self.now < self.hosts[host].no_requests_until {
            return;
        }
        if self.seeded_bug == SeededBug::AcknowledgedAtOnce {
            request.acknowledged_grant = GrantId {
                allocator_id: self.allocator.id(),
                grant_number: u64::MAX,
            };
        }
        let now = self.now * self.allocator_clock_rate;
        let grant = self
            .allocator
            .handle_request(now, &format!("h{host}"), &request, None);
        self.send(Event::HostGrant { host, grant });
    }

    fn handle_host_grant(&mut self, host: usize, grant: QuotaGrant) {
        let no_grants_until = self.hosts[host].no_grants_until;
        if self.now + ROUNDING_SECONDS < no_grants_until {
            // The grant is delayed until the partition ends.
            self.schedule(no_grants_until - self.now, Event::HostGrant { host, grant });
        } else {
            self.hosts[host].holder.handle_grant(&grant);
        }
    }

    fn handle_instance_request(&mut self, instance: InstanceId, request: &QuotaRequest) {
        let host = &mut self.hosts[instance.host];
        let now = self.now * host.clock_rate;
        let usable = host.holder.usable(now);
        host.allocator.set_budget(usable.calls_per_second);
        let name = format!("i{}", instance.slot);
        let grant = host
            .allocator
            .handle_request(now, &name, request, usable.expires_at);
        self.send(Event::InstanceGrant { instance, grant });
    }

    fn handle_instance_grant(&mut self, id: InstanceId, grant: QuotaGrant) {
        let true_now = self.now;
        let instance = self.instance_mut(id);
        let pause_seconds = instance.stopped_until - true_now;
        if pause_seconds > ROUNDING_SECONDS {
            // The grant stays in the socket until the instance resumes.
            let event = Event::InstanceGrant {
                instance: id,
                grant,
            };
            self.schedule(pause_seconds, event);
        } else {
            instance.holder.handle_grant(&grant);
        }
    }

    fn call(&mut self, id: InstanceId) {
        let true_now = self.now;
        let instance = self.instance_mut(id);
        if true_now < instance.stopped_until {
            return;
        }
        if instance
            .holder
            .try_spend(true_now * instance.clock_rate, 1.0)
        {
            let transit_seconds = self.rng.random_range(0.0..0.05);
            self.arrivals.push(true_now + transit_seconds);
        }
    }

    fn elect(&mut self) {
        // The event id, in the high bits, takes the place of a term.
        let id = self.last_event_id << 20;
        let budget = self.allocator.budget();
        self.allocator_clock_rate = 1.0 + self.rng.random_range(-0.01..0.01);
        let now = self.now * self.allocator_clock_rate;
        let taken_over_at = if self.seeded_bug == SeededBug::GrantsAtOnce {
            now - 100.0
        } else {
            now
        };
        self.allocator = Allocator::take_over(taken_over_at, TERMS, budget, id);
    }

    fn restart_agent(&mut self, host: usize) {
        self.last_incarnation += 1;
        let host = &mut self.hosts[host];
        let now = host.clock_rate * self.now;
        host.holder = QuotaLeaseHolder::new(self.last_incarnation, TERMS);
        // The leader still counts the grants of the previous incarnation separately, so the new
        // allocator need not wait for them.
        host.allocator = Allocator::new(now, TERMS, 0, self.last_incarnation);
    }

    /// Schedules calls of these instances at random times, `calls_per_second` on average for each.
    pub fn schedule_calls(
        &mut self,
        from: f64,
        until: f64,
        calls_per_second: f64,
        instances: &[InstanceId],
    ) {
        for instance in instances {
            let mut call_at = from;
            loop {
                call_at += -self.rng.random::<f64>().max(1e-9).ln() / calls_per_second;
                if call_at >= until {
                    break;
                }
                self.schedule(call_at - self.now, Event::Call(*instance));
            }
        }
    }

    /// Whether an instance has quota now.
    pub fn has_quota(&self, id: InstanceId) -> bool {
        let instance = &self.hosts[id.host].instances[id.slot];
        let usable = instance.holder.usable(self.now * instance.clock_rate);
        usable.calls_per_second > 0
    }

    /// The maximum number of calls that arrived within one second.
    pub fn max_calls_per_second(&mut self) -> usize {
        self.arrivals.sort_by(f64::total_cmp);
        let arrivals = &self.arrivals;
        let mut first = 0;
        let mut max_calls = 0;
        for last in 0..arrivals.len() {
            while arrivals[last] - arrivals[first] >= 1.0 {
                first += 1;
            }
            max_calls = max_calls.max(last - first + 1);
        }
        max_calls
    }
}

fn new_host(rng: &mut Pcg64Mcg, host: usize) -> Host {
    let mut random_rate = || 1.0 + rng.random_range(-0.01..0.01);
    Host {
        clock_rate: random_rate(),
        holder: QuotaLeaseHolder::new(host as u64 + 1, TERMS),
        allocator: Allocator::new(0.0, TERMS, 0, 1),
        instances: (0..INSTANCES_PER_HOST)
            .map(|slot| Instance {
                clock_rate: random_rate(),
                holder: QuotaLeaseHolder::new(
                    InstanceId { host, slot }.flat_index() as u64 + 1,
                    TERMS,
                ),
                stopped_until: 0.0,
            })
            .collect(),
        no_grants_until: 0.0,
        no_requests_until: 0.0,
    }
}
