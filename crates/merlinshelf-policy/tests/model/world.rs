//! The simulated installation: agents, instances, their clocks, a log, and messages in flight.

use std::collections::{BTreeMap, BTreeSet};

use merlinshelf_policy::messages::{
    Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus,
};
use merlinshelf_policy::replicated_state::{Bootstrap, Entry, ReplicatedState};
use merlinshelf_policy::rollout_leader::{RolloutLeader, ServiceWatch};
use merlinshelf_policy::{HostLeaseManager, LeaseExpiryMode, LeaseHolder, Policy};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const LEASE_SECONDS: f64 = 2.0;
pub const DRIFT: f64 = 0.03;
pub const TICK_SECONDS: f64 = 0.01;
const NO_WATCH: ServiceWatch = ServiceWatch {
    window_seconds: 0.0,
    tolerated_loss: 1.0,
};

/// A deliberately seeded bug, to show that the checks detect it.
#[derive(Clone, Copy, PartialEq)]
pub enum SeededBug {
    None,
    /// An instance counts its lease from the arrival of the grant.
    LeaseFromArrival,
    /// A leader grants leases without a confirmation that it still leads.
    UnconfirmedLeader,
    /// An agent that starts assumes that no instance has a lease.
    ForgottenLeases,
}

/// Whether messages are lost or delayed and processes fail.
#[derive(Clone, Copy, PartialEq)]
pub enum Faults {
    Off,
    On,
}

pub enum Message {
    Heartbeat {
        agent: usize,
        instance: String,
        heartbeat: Heartbeat,
    },
    InstanceStatus {
        agent: usize,
        instance: String,
        status: InstanceStatus,
    },
    LeaseRequest {
        to: usize,
        request: HostLeaseRequest,
    },
    LeaseResponse {
        from: usize,
        to: usize,
        response: HostLeaseResponse,
    },
}

pub struct MessageInFlight {
    pub arrives_at: f64,
    pub message: Message,
}

/// A process's clock, which drifts from true time.
pub struct Clock {
    rate: f64,
    offset_seconds: f64,
}

impl Clock {
    pub fn read(&self, true_time: f64) -> f64 {
        self.offset_seconds + self.rate * true_time
    }
}

/// An agent's role while it believes that it leads.
pub struct Leadership {
    pub leader: RolloutLeader,
    /// The term in which it was elected.
    pub term: u64,
}

pub struct Agent {
    pub clock: Clock,
    pub is_up: bool,
    /// The number of log entries that it has applied.
    applied_entries: usize,
    pub state: ReplicatedState,
    pub lease_manager: HostLeaseManager,
    pub leadership: Option<Leadership>,
    pub is_partitioned: bool,
}

pub struct Instance {
    pub clock: Clock,
    pub lease_holder: LeaseHolder,
    pub is_stopped: bool,
    /// All versions that the instance acted on.
    pub effective_versions: BTreeSet<u64>,
}

pub struct World {
    pub rng: Pcg64Mcg,
    /// True time, in seconds.
    pub time: f64,
    pub seeded_bug: SeededBug,
    pub log: Vec<Entry>,
    /// The true term; only its leader's confirmations and proposals succeed.
    pub term: u64,
    pub leader: usize,
    pub agents: Vec<Agent>,
    pub instances: BTreeMap<String, Instance>,
    pub in_flight: Vec<MessageInFlight>,
    last_incarnation: u64,
    pub highest_effective_version: u64,
    pub proposed_changes: u64,
    pub violations: Vec<String>,
    /// Distinct states that were visited, as text.
    pub visited_states: BTreeSet<String>,
    pub longest_change_seconds: f64,
}

pub fn sample_policy(number: u64) -> Policy {
    Policy {
        note: format!("the {number}th"),
        call_share: Some(1.0 + number as f64),
        ..Policy::default()
    }
}

pub fn bootstrap() -> Bootstrap {
    Bootstrap {
        lease_ms: (LEASE_SECONDS * 1e3) as u64,
        base_fingerprint: Policy::default().fingerprint(),
    }
}

pub fn agent_name(agent: usize) -> String {
    format!("a{agent}")
}

fn random_clock(rng: &mut Pcg64Mcg) -> Clock {
    Clock {
        rate: 1.0 + rng.random_range(-0.01..0.01),
        offset_seconds: rng.random_range(0.0..1e6),
    }
}

fn new_lease_manager(agent: usize, incarnation: u64) -> HostLeaseManager {
    let base_fingerprint = Policy::default().fingerprint();
    HostLeaseManager::new(&agent_name(agent), incarnation, base_fingerprint, DRIFT)
}

fn new_lease_holder(incarnation: u64) -> LeaseHolder {
    LeaseHolder::new(
        incarnation,
        Policy::default(),
        LeaseExpiryMode::BasePolicy,
        DRIFT,
    )
}

impl World {
    pub fn new(
        seed: u64,
        seeded_bug: SeededBug,
        agent_count: usize,
        instances_per_agent: usize,
    ) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let agents = (0..agent_count)
            .map(|agent| Agent {
                clock: random_clock(&mut rng),
                is_up: true,
                applied_entries: 0,
                state: ReplicatedState::default(),
                lease_manager: new_lease_manager(agent, agent as u64 + 1),
                leadership: None,
                is_partitioned: false,
            })
            .collect();
        let instances = (0..agent_count * instances_per_agent)
            .map(|index| {
                let agent = index / instances_per_agent;
                let name = format!("{}.{}", agent_name(agent), index % instances_per_agent);
                let instance = Instance {
                    clock: random_clock(&mut rng),
                    lease_holder: new_lease_holder(1000 + index as u64),
                    is_stopped: false,
                    effective_versions: BTreeSet::new(),
                };
                (name, instance)
            })
            .collect();
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            time: 0.0,
            seeded_bug,
            log: Vec::new(),
            term: 0,
            leader: 0,
            agents,
            instances,
            in_flight: Vec::new(),
            last_incarnation: 5000,
            highest_effective_version: 0,
            proposed_changes: 0,
            violations: Vec::new(),
            visited_states: BTreeSet::new(),
            longest_change_seconds: 0.0,
        };
        world.elect(0);
        world
    }

    /// Elects a leader. The former leader still believes that it leads.
    pub fn elect(&mut self, agent: usize) {
        self.term += 1;
        self.leader = agent;
        self.apply_entries(agent, usize::MAX);
        let names = (0..self.agents.len()).map(agent_name);
        let elected = &mut self.agents[agent];
        let now = elected.clock.read(self.time);
        elected.leadership = Some(Leadership {
            leader: RolloutLeader::elected(now, bootstrap(), DRIFT, NO_WATCH, names),
            term: self.term,
        });
    }

    pub fn apply_entries(&mut self, agent: usize, max_entries: usize) {
        let agent = &mut self.agents[agent];
        let now = agent.clock.read(self.time);
        let until = self
            .log
            .len()
            .min(agent.applied_entries.saturating_add(max_entries));
        while agent.applied_entries < until {
            let event = agent.state.apply(self.log[agent.applied_entries].clone());
            agent.applied_entries += 1;
            agent.lease_manager.state_changed(now, &agent.state);
            if let (Some(event), Some(leadership)) = (event, &mut agent.leadership) {
                leadership.leader.state_changed(now, &event, &agent.state);
            }
        }
    }

    pub fn send(&mut self, message: Message, faults: Faults) {
        let has_faults = faults == Faults::On;
        if has_faults && self.rng.random_bool(0.05) {
            return;
        }
        let is_late = has_faults && self.rng.random_bool(0.03);
        let max_delay_seconds = if is_late { 5.0 } else { 0.03 };
        let delay_seconds = self.rng.random_range(0.0..max_delay_seconds);
        self.in_flight.push(MessageInFlight {
            arrives_at: self.time + delay_seconds,
            message,
        });
    }

    pub fn step(&mut self, faults: Faults) {
        self.time += TICK_SECONDS;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|in_flight| in_flight.arrives_at <= self.time);
        self.in_flight = later;
        for in_flight in due {
            self.deliver(in_flight.message, faults);
        }
        for agent in 0..self.agents.len() {
            self.drive_agent(agent, faults);
        }
        self.check_instances();
        if faults == Faults::On {
            self.inject_faults();
        }
    }

    pub fn next_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }

    pub fn stop_agent(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        agent.is_up = false;
        agent.leadership = None;
    }

    /// Restarts an agent; with [`SeededBug::ForgottenLeases`] it assumes that no instance has a
    /// lease.
    pub fn start_agent(&mut self, agent: usize, incarnation: u64, seeded_bug: SeededBug) {
        let names = self.instance_names(agent);
        let started = &mut self.agents[agent];
        let now = started.clock.read(self.time);
        started.is_up = true;
        started.lease_manager = new_lease_manager(agent, incarnation);
        if seeded_bug == SeededBug::ForgottenLeases {
            // As if the agent and its instances had started long ago.
            let long_ago = now - 3.0 * LEASE_SECONDS;
            started.lease_manager.set_instances(long_ago, names.iter());
        }
        started.lease_manager.state_changed(now, &started.state);
    }

    pub fn restart_instance(&mut self, name: &str) {
        let incarnation = self.next_incarnation();
        if let Some(instance) = self.instances.get_mut(name) {
            instance.lease_holder = new_lease_holder(incarnation);
            instance.is_stopped = false;
        }
    }

    pub fn propose_change(&mut self) {
        self.proposed_changes += 1;
        let number = self.proposed_changes;
        self.log.push(Entry::Propose {
            change_id: format!("p{number}"),
            policy: Box::new(sample_policy(number)),
            proposed_by: "operator".into(),
            proposed_at: 0.0,
        });
    }
}
