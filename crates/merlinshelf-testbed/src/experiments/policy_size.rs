//! What one policy for all costs by size, in virtual time: the real state machines of agents, their common log and all instances, with
//! messages that take a millisecond and disks that take two.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use merlinshelf_consensus::{Action, Message as ReplicaMessage, Replica, TICK_MS};
use merlinshelf_policy::rollout_leader::{self, RolloutLeader, ServiceWatch};
use merlinshelf_policy::{
    Bootstrap, EffectivePolicy, Entry, Heartbeat, HostLeaseManager, HostLeaseRequest,
    HostLeaseResponse, InstanceStatus, LeaseExpiryMode, LeaseHolder, Policy, ReplicatedState,
};
use serde::Serialize;
use serde_json::{Value, json};

const STEP: f64 = 0.001;
const ON_THE_WAY: f64 = 0.001;
const KEPT_AFTER: f64 = 0.002;
const LEASE_MS: u64 = 2000;
const DRIFT: f64 = 0.02;
/// Time that passes before and while it is counted, seconds.
const SETTLED: f64 = 8.0;
const COUNTED: f64 = 10.0;

enum Message {
    Consensus(usize, usize, ReplicaMessage),
    LeaseRequest(usize, HostLeaseRequest),
    LeaseResponse(usize, HostLeaseResponse),
    Propose(usize, Entry),
    Heartbeat(usize, String, Heartbeat),
    InstanceStatus(usize, String, InstanceStatus),
    Persisted(usize),
}

struct Agent {
    council: Replica,
    warden: HostLeaseManager,
    conductor: Option<(RolloutLeader, u64)>,
    ledger: ReplicatedState,
    keeping: bool,
}

#[derive(Default)]
struct Count {
    /// Between agents, and between agents and their instances: messages and bytes.
    agents: (u64, u64),
    instances: (u64, u64),
}

struct World {
    t: f64,
    names: Vec<String>,
    agents: Vec<Agent>,
    instances: BTreeMap<String, LeaseHolder>,
    flying: VecDeque<(f64, Message)>,
    count: Count,
}

fn size(value: &impl Serialize) -> u64 {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len() as u64 + 20)
}

impl World {
    fn new(agents: usize, instances: usize) -> World {
        let names: Vec<String> = (0..agents).map(|place| format!("h{place}")).collect();
        let wanted: BTreeSet<String> = names.iter().cloned().collect();
        let base = Policy::default();
        let begin = |(place, name): (usize, &String)| Agent {
            council: Replica::start(name, &wanted, place as u64 + 1, place, &[])
                .unwrap_or_else(|why| unreachable!("{why}")),
            warden: HostLeaseManager::new(name, place as u64 + 1, base.fingerprint(), DRIFT),
            conductor: None,
            ledger: ReplicatedState::default(),
            keeping: false,
        };
        let all = names.iter().enumerate().map(begin).collect();
        let holder = |place: usize| {
            let name = format!("h{}.{}", place % agents, place / agents);
            (
                name,
                LeaseHolder::new(
                    1000 + place as u64,
                    base.clone(),
                    LeaseExpiryMode::BasePolicy,
                    DRIFT,
                ),
            )
        };
        let instances = (0..instances).map(holder).collect();
        World {
            t: 0.0,
            names,
            agents: all,
            instances,
            flying: VecDeque::new(),
            count: Count::default(),
        }
    }

    fn fly(&mut self, message: Message) {
        let between = match &message {
            Message::Consensus(_, _, word) => Some((true, size(word))),
            Message::LeaseRequest(_, ask) => Some((true, size(ask))),
            Message::LeaseResponse(_, word) => Some((true, size(word))),
            Message::Propose(_, entry) => Some((true, size(entry))),
            // These go as JSON.
            Message::Heartbeat(_, _, beat) => Some((
                false,
                serde_json::to_vec(beat).map_or(0, |bytes| bytes.len() as u64 + 20),
            )),
            Message::InstanceStatus(_, _, said) => Some((
                false,
                serde_json::to_vec(said).map_or(0, |bytes| bytes.len() as u64 + 20),
            )),
            Message::Persisted(_) => None,
        };
        if let Some((agents, bytes)) = between {
            let of = if agents {
                &mut self.count.agents
            } else {
                &mut self.count.instances
            };
            (of.0, of.1) = (of.0 + 1, of.1 + bytes);
        }
        let after = if between.is_some() {
            ON_THE_WAY
        } else {
            KEPT_AFTER
        };
        let at = self.t + after;
        let place = self.flying.partition_point(|(other, _)| *other <= at);
        self.flying.insert(place, (at, message));
    }

    fn step(&mut self) {
        self.t += STEP;
        while self.flying.front().is_some_and(|(at, _)| *at <= self.t) {
            if let Some((_, message)) = self.flying.pop_front() {
                self.arrive(message);
            }
        }
        let ticks = ((self.t * 1e3).round() as u64).is_multiple_of(TICK_MS);
        for place in 0..self.agents.len() {
            if ticks {
                self.agents[place].council.tick();
            }
            self.turn(place, ticks);
        }
    }

    fn arrive(&mut self, message: Message) {
        let now = self.t;
        match message {
            Message::Consensus(from, to, word) => {
                let from = self.names[from].clone();
                self.agents[to].council.handle_message(&from, word);
                self.turn(to, true);
            }
            Message::LeaseRequest(to, ask) => {
                let agent = &mut self.agents[to];
                if let Some((conductor, _)) = &mut agent.conductor {
                    conductor.handle_lease_request(now, ask, &agent.ledger);
                }
                self.turn(to, true);
            }
            Message::LeaseResponse(to, word) => {
                self.agents[to].warden.handle_lease_response(now, &word)
            }
            Message::Propose(to, entry) => {
                self.agents[to]
                    .council
                    .propose(rmp_serde::to_vec_named(&entry).unwrap_or_default());
                self.turn(to, true);
            }
            Message::Heartbeat(from, name, beat) => {
                let Some(holder) = self.instances.get_mut(&name) else {
                    return;
                };
                let said = holder.handle_heartbeat(now, beat, |_| Ok(()));
                self.fly(Message::InstanceStatus(from, name, said));
            }
            Message::InstanceStatus(to, name, said) => {
                self.agents[to].warden.instance_responded(&name, said)
            }
            Message::Persisted(to) => {
                self.agents[to].keeping = false;
                self.turn(to, true);
            }
        }
    }

    fn turn(&mut self, place: usize, whole: bool) {
        let now = self.t;
        let mut out = Vec::new();
        if whole {
            let names: Vec<String> = self.names.clone();
            let number = |name: &str| names.iter().position(|of| of == name).unwrap_or(0);
            let own = format!("h{place}.");
            let own_names: Vec<String> = self
                .instances
                .keys()
                .filter(|name| name.starts_with(&own))
                .cloned()
                .collect();
            let agent = &mut self.agents[place];
            agent.warden.set_instances(now, own_names.iter());
            for _ in 0..16 {
                let mut idle = true;
                while !agent.keeping {
                    if agent.council.needs_compaction() {
                        agent
                            .council
                            .compact(rmp_serde::to_vec_named(&agent.ledger).unwrap_or_default());
                    }
                    let Some(step) = agent.council.poll_action() else {
                        break;
                    };
                    idle = false;
                    match step {
                        Action::Append(_) | Action::ReplaceLog(_) => {
                            agent.keeping = true;
                            out.push(Message::Persisted(place));
                        }
                        Action::Send { to, message } => {
                            out.push(Message::Consensus(place, number(&to), message))
                        }
                        Action::Apply { data, .. } => {
                            if let Ok(entry) = rmp_serde::from_slice(&data)
                                && let Some(news) = agent.ledger.apply(entry)
                            {
                                agent.warden.state_changed(now, &agent.ledger);
                                if let Some((conductor, _)) = &mut agent.conductor {
                                    conductor.state_changed(now, &news, &agent.ledger);
                                }
                            }
                        }
                        Action::Restore { .. } | Action::ReportDecodeError(_) => {}
                        Action::LeadershipConfirmed { request_id } => {
                            if let Some((conductor, _)) = &mut agent.conductor {
                                conductor.leadership_confirmed(now, request_id, &agent.ledger);
                            }
                        }
                    }
                }
                let term = agent.council.leading_term();
                if agent.conductor.as_ref().map(|(_, term)| *term) != term {
                    let founding = Bootstrap {
                        lease_ms: LEASE_MS,
                        base_fingerprint: Policy::default().fingerprint(),
                    };
                    let watch = ServiceWatch {
                        window_seconds: 0.0,
                        tolerated_loss: 1.0,
                    };
                    agent.conductor = term.map(|term| {
                        (
                            RolloutLeader::elected(
                                now,
                                founding,
                                DRIFT,
                                watch,
                                names.iter().cloned(),
                            ),
                            term,
                        )
                    });
                }
                if let Some((conductor, _)) = &mut agent.conductor {
                    conductor.advance(now, &agent.ledger);
                    while let Some(step) = conductor.poll_action() {
                        idle = false;
                        match step {
                            rollout_leader::Action::ConfirmLeadership {
                                confirmation_id: number,
                            } => agent.council.confirm_leadership(number),
                            rollout_leader::Action::Propose(entry) => {
                                agent
                                    .council
                                    .propose(rmp_serde::to_vec_named(&entry).unwrap_or_default());
                            }
                            rollout_leader::Action::Respond {
                                host,
                                response: word,
                            } => {
                                let to = number(&host);
                                if to == place {
                                    agent.warden.handle_lease_response(now, &word);
                                } else {
                                    out.push(Message::LeaseResponse(to, word));
                                }
                            }
                        }
                    }
                }
                if idle {
                    break;
                }
            }
            if let (Some(leader), Some(ask)) = (
                agent.council.leader().map(number),
                agent.warden.poll_lease_request(now),
            ) {
                if leader == place {
                    if let Some((conductor, _)) = &mut agent.conductor {
                        conductor.handle_lease_request(now, ask, &agent.ledger);
                    }
                } else {
                    out.push(Message::LeaseRequest(leader, ask));
                }
            }
        }
        let agent = &mut self.agents[place];
        while let Some((name, beat)) = agent.warden.poll_heartbeat(now) {
            out.push(Message::Heartbeat(place, name, beat));
        }
        out.into_iter().for_each(|message| self.fly(message));
    }

    fn until(&mut self, until: f64, is: impl Fn(&World) -> bool) -> bool {
        while self.t < until {
            self.step();
            if is(self) {
                return true;
            }
        }
        false
    }
}

/// One size: what it costs a second, and how long a change takes to hold and to be acted on by all.
fn one(agents: usize, instances: usize) -> Value {
    let mut world = World::new(agents, instances);
    world.until(SETTLED, |_| false);
    world.count = Count::default();
    world.until(SETTLED + COUNTED, |_| false);
    let count = std::mem::take(&mut world.count);
    let began = world.t;
    let policy = Policy {
        note: "one".into(),
        call_share: Some(4.0),
        ..Policy::default()
    };
    let entry = Entry::Propose {
        change_id: "one".into(),
        policy: Box::new(policy),
        proposed_by: "operator".into(),
        proposed_at: 0.0,
    };
    let leader = world
        .agents
        .iter()
        .position(|agent| agent.council.leading_term().is_some())
        .unwrap_or(0);
    world.fly(Message::Propose(leader, entry));
    let held = world.until(began + 30.0, |world| {
        world
            .agents
            .iter()
            .all(|agent| agent.ledger.current_version == 1)
    });
    let held_ms = (world.t - began) * 1e3;
    let all = world.until(began + 30.0, |world| {
        world
            .instances
            .values()
            .all(|holder| holder.effective_policy(world.t) == EffectivePolicy::Leased(1))
    });
    let of =
        |(messages, bytes): (u64, u64)| (messages as f64 / COUNTED, bytes as f64 / COUNTED / 1e3);
    let (between, below) = (of(count.agents), of(count.instances));
    println!(
        "{agents} agents, {instances} instances: {:.0} messages and {:.1} KB a second between agents, {:.0} and {:.1} KB with instances; \
         held after {held_ms:.0} ms ({held}), acted on by all after {:.0} ms ({all})",
        between.0,
        between.1,
        below.0,
        below.1,
        (world.t - began) * 1e3
    );
    json!({
        "agents": agents, "instances": instances, "between_agents": { "messages_s": between.0, "kb_s": between.1 },
        "with_instances": { "messages_s": below.0, "kb_s": below.1 }, "held_ms": held_ms, "all_ms": (world.t - began) * 1e3,
        "held": held && all,
    })
}

/// All sizes; the last line, and whether every change held.
pub fn run() -> (Value, bool) {
    let sizes = [
        (3, 12),
        (3, 300),
        (5, 300),
        (7, 300),
        (3, 3000),
        (5, 3000),
        (7, 3000),
    ];
    let all: Vec<Value> = sizes
        .iter()
        .map(|(agents, instances)| one(*agents, *instances))
        .collect();
    let held = all.iter().all(|one| one["held"] == true);
    let line = json!({ "trial": "policy", "lease_ms": LEASE_MS, "sizes": all });
    println!("{line}");
    (line, held)
}
