//! `experiment policy --sizes`: the cost of one shared policy by fleet size. Runs the real state machines of the agents, their
//! consensus log and all instances in virtual time, with a delay of 1 ms for each message and 2 ms for each disk write.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use merlinshelf_consensus::{Action, Message as ReplicaMessage, Replica, TICK_MS};
use merlinshelf_policy::rollout_leader::{self, RolloutLeader, ServiceWatch};
use merlinshelf_policy::{
    Bootstrap, EffectivePolicy, Entry, Heartbeat, HostLeaseManager, HostLeaseRequest,
    HostLeaseResponse, InstanceStatus, LeaseExpiryMode, LeaseHolder, Policy, ReplicatedState,
};
use serde::Serialize;
use serde_json::{Value, json};

const STEP_S: f64 = 0.001;
const MESSAGE_DELAY_S: f64 = 0.001;
const DISK_WRITE_S: f64 = 0.002;
const LEASE_MS: u64 = 2000;
const DRIFT: f64 = 0.02;
/// Virtual time before messages are counted, and while they are counted.
const WARM_UP_S: f64 = 8.0;
const MEASURED_S: f64 = 10.0;

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
    replica: Replica,
    lease_manager: HostLeaseManager,
    /// Present while this agent leads, with the term it leads in.
    rollout_leader: Option<(RolloutLeader, u64)>,
    state: ReplicatedState,
    /// A disk write is in progress; no further action is polled until it ends.
    is_writing: bool,
}

#[derive(Default)]
struct Traffic {
    /// Messages and bytes between agents, and between agents and their instances.
    agents: (u64, u64),
    instances: (u64, u64),
}

struct World {
    now: f64,
    names: Vec<String>,
    agents: Vec<Agent>,
    instances: BTreeMap<String, LeaseHolder>,
    in_flight: VecDeque<(f64, Message)>,
    traffic: Traffic,
}

fn size(value: &impl Serialize) -> u64 {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len() as u64 + 20)
}

impl World {
    fn new(agents: usize, instances: usize) -> World {
        let names: Vec<String> = (0..agents).map(|index| format!("h{index}")).collect();
        let voters: BTreeSet<String> = names.iter().cloned().collect();
        let base = Policy::default();
        let new_agent = |(index, name): (usize, &String)| Agent {
            replica: Replica::start(name, &voters, index as u64 + 1, index, &[])
                .unwrap_or_else(|error| unreachable!("an empty log is valid: {error}")),
            lease_manager: HostLeaseManager::new(name, index as u64 + 1, base.fingerprint(), DRIFT),
            rollout_leader: None,
            state: ReplicatedState::default(),
            is_writing: false,
        };
        let agents_by_index = names.iter().enumerate().map(new_agent).collect();
        let new_instance = |index: usize| {
            let name = format!("h{}.{}", index % agents, index / agents);
            (
                name,
                LeaseHolder::new(
                    1000 + index as u64,
                    base.clone(),
                    LeaseExpiryMode::BasePolicy,
                    DRIFT,
                ),
            )
        };
        let instances = (0..instances).map(new_instance).collect();
        World {
            now: 0.0,
            names,
            agents: agents_by_index,
            instances,
            in_flight: VecDeque::new(),
            traffic: Traffic::default(),
        }
    }

    fn send(&mut self, message: Message) {
        let counted = match &message {
            Message::Consensus(_, _, message) => Some((true, size(message))),
            Message::LeaseRequest(_, request) => Some((true, size(request))),
            Message::LeaseResponse(_, response) => Some((true, size(response))),
            Message::Propose(_, entry) => Some((true, size(entry))),
            // Agents and instances exchange JSON.
            Message::Heartbeat(_, _, heartbeat) => Some((
                false,
                serde_json::to_vec(heartbeat).map_or(0, |bytes| bytes.len() as u64 + 20),
            )),
            Message::InstanceStatus(_, _, status) => Some((
                false,
                serde_json::to_vec(status).map_or(0, |bytes| bytes.len() as u64 + 20),
            )),
            Message::Persisted(_) => None,
        };
        if let Some((is_between_agents, bytes)) = counted {
            let traffic = if is_between_agents {
                &mut self.traffic.agents
            } else {
                &mut self.traffic.instances
            };
            (traffic.0, traffic.1) = (traffic.0 + 1, traffic.1 + bytes);
        }
        let delay = if counted.is_some() {
            MESSAGE_DELAY_S
        } else {
            DISK_WRITE_S
        };
        let due = self.now + delay;
        let index = self.in_flight.partition_point(|(other, _)| *other <= due);
        self.in_flight.insert(index, (due, message));
    }

    fn step(&mut self) {
        self.now += STEP_S;
        while self
            .in_flight
            .front()
            .is_some_and(|(due, _)| *due <= self.now)
        {
            if let Some((_, message)) = self.in_flight.pop_front() {
                self.deliver(message);
            }
        }
        let is_tick = ((self.now * 1e3).round() as u64).is_multiple_of(TICK_MS);
        for index in 0..self.agents.len() {
            if is_tick {
                self.agents[index].replica.tick();
            }
            self.advance_agent(index, is_tick);
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Consensus(from, to, message) => {
                let from = self.names[from].clone();
                self.agents[to].replica.handle_message(&from, message);
                self.advance_agent(to, true);
            }
            Message::LeaseRequest(to, request) => {
                let agent = &mut self.agents[to];
                if let Some((rollout_leader, _)) = &mut agent.rollout_leader {
                    rollout_leader.handle_lease_request(now, request, &agent.state);
                }
                self.advance_agent(to, true);
            }
            Message::LeaseResponse(to, response) => self.agents[to]
                .lease_manager
                .handle_lease_response(now, &response),
            Message::Propose(to, entry) => {
                self.agents[to]
                    .replica
                    .propose(rmp_serde::to_vec_named(&entry).unwrap_or_default());
                self.advance_agent(to, true);
            }
            Message::Heartbeat(from, name, heartbeat) => {
                let Some(holder) = self.instances.get_mut(&name) else {
                    return;
                };
                let status = holder.handle_heartbeat(now, heartbeat, |_| Ok(()));
                self.send(Message::InstanceStatus(from, name, status));
            }
            Message::InstanceStatus(to, name, status) => self.agents[to]
                .lease_manager
                .instance_responded(&name, status),
            Message::Persisted(to) => {
                self.agents[to].is_writing = false;
                self.advance_agent(to, true);
            }
        }
    }

    /// Sends the heartbeats of an agent that are due. If `polls_all`, also runs its replica, rollout leader and lease manager
    /// until they are idle.
    fn advance_agent(&mut self, index: usize, polls_all: bool) {
        let now = self.now;
        let mut out = Vec::new();
        if polls_all {
            let names: Vec<String> = self.names.clone();
            let index_of = |name: &str| names.iter().position(|other| other == name).unwrap_or(0);
            let own_prefix = format!("h{index}.");
            let own_names: Vec<String> = self
                .instances
                .keys()
                .filter(|name| name.starts_with(&own_prefix))
                .cloned()
                .collect();
            let agent = &mut self.agents[index];
            agent.lease_manager.set_instances(now, own_names.iter());
            for _ in 0..16 {
                let mut is_idle = true;
                while !agent.is_writing {
                    if agent.replica.needs_compaction() {
                        agent
                            .replica
                            .compact(rmp_serde::to_vec_named(&agent.state).unwrap_or_default());
                    }
                    let Some(action) = agent.replica.poll_action() else {
                        break;
                    };
                    is_idle = false;
                    match action {
                        Action::Append(_) | Action::ReplaceLog(_) => {
                            agent.is_writing = true;
                            out.push(Message::Persisted(index));
                        }
                        Action::Send { to, message } => {
                            out.push(Message::Consensus(index, index_of(&to), message))
                        }
                        Action::Apply { data, .. } => {
                            if let Ok(entry) = rmp_serde::from_slice(&data)
                                && let Some(change) = agent.state.apply(entry)
                            {
                                agent.lease_manager.state_changed(now, &agent.state);
                                if let Some((rollout_leader, _)) = &mut agent.rollout_leader {
                                    rollout_leader.state_changed(now, &change, &agent.state);
                                }
                            }
                        }
                        Action::Restore { .. } | Action::ReportDecodeError(_) => {}
                        Action::LeadershipConfirmed { request_id } => {
                            if let Some((rollout_leader, _)) = &mut agent.rollout_leader {
                                rollout_leader.leadership_confirmed(now, request_id, &agent.state);
                            }
                        }
                    }
                }
                let term = agent.replica.leading_term();
                if agent.rollout_leader.as_ref().map(|(_, term)| *term) != term {
                    let bootstrap = Bootstrap {
                        lease_ms: LEASE_MS,
                        base_fingerprint: Policy::default().fingerprint(),
                    };
                    let watch = ServiceWatch {
                        window_seconds: 0.0,
                        tolerated_loss: 1.0,
                    };
                    agent.rollout_leader = term.map(|term| {
                        (
                            RolloutLeader::elected(
                                now,
                                bootstrap,
                                DRIFT,
                                watch,
                                names.iter().cloned(),
                            ),
                            term,
                        )
                    });
                }
                if let Some((rollout_leader, _)) = &mut agent.rollout_leader {
                    rollout_leader.advance(now, &agent.state);
                    while let Some(action) = rollout_leader.poll_action() {
                        is_idle = false;
                        match action {
                            rollout_leader::Action::ConfirmLeadership { confirmation_id } => {
                                agent.replica.confirm_leadership(confirmation_id)
                            }
                            rollout_leader::Action::Propose(entry) => {
                                agent
                                    .replica
                                    .propose(rmp_serde::to_vec_named(&entry).unwrap_or_default());
                            }
                            rollout_leader::Action::Respond { host, response } => {
                                let to = index_of(&host);
                                if to == index {
                                    agent.lease_manager.handle_lease_response(now, &response);
                                } else {
                                    out.push(Message::LeaseResponse(to, response));
                                }
                            }
                        }
                    }
                }
                if is_idle {
                    break;
                }
            }
            if let (Some(leader), Some(request)) = (
                agent.replica.leader().map(index_of),
                agent.lease_manager.poll_lease_request(now),
            ) {
                if leader == index {
                    if let Some((rollout_leader, _)) = &mut agent.rollout_leader {
                        rollout_leader.handle_lease_request(now, request, &agent.state);
                    }
                } else {
                    out.push(Message::LeaseRequest(leader, request));
                }
            }
        }
        let agent = &mut self.agents[index];
        while let Some((name, heartbeat)) = agent.lease_manager.poll_heartbeat(now) {
            out.push(Message::Heartbeat(index, name, heartbeat));
        }
        out.into_iter().for_each(|message| self.send(message));
    }

    /// Runs until the condition holds or the deadline has passed, and returns whether it holds.
    fn run_until(&mut self, deadline: f64, condition: impl Fn(&World) -> bool) -> bool {
        while self.now < deadline {
            self.step();
            if condition(self) {
                return true;
            }
        }
        false
    }
}

/// Measures one fleet size: messages per second, and how long a policy change takes until it holds and until all instances
/// apply it.
fn measure_size(agents: usize, instances: usize) -> Value {
    let mut world = World::new(agents, instances);
    world.run_until(WARM_UP_S, |_| false);
    world.traffic = Traffic::default();
    world.run_until(WARM_UP_S + MEASURED_S, |_| false);
    let traffic = std::mem::take(&mut world.traffic);
    let proposed = world.now;
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
        .position(|agent| agent.replica.leading_term().is_some())
        .unwrap_or(0);
    world.send(Message::Propose(leader, entry));
    let held = world.run_until(proposed + 30.0, |world| {
        world
            .agents
            .iter()
            .all(|agent| agent.state.current_version == 1)
    });
    let held_ms = (world.now - proposed) * 1e3;
    let all_applied = world.run_until(proposed + 30.0, |world| {
        world
            .instances
            .values()
            .all(|holder| holder.effective_policy(world.now) == EffectivePolicy::Leased(1))
    });
    let per_second = |(messages, bytes): (u64, u64)| {
        (
            messages as f64 / MEASURED_S,
            bytes as f64 / MEASURED_S / 1e3,
        )
    };
    let (between_agents, with_instances) =
        (per_second(traffic.agents), per_second(traffic.instances));
    println!(
        "{agents} agents, {instances} instances: {:.0} messages and {:.1} KB per second between agents, {:.0} and {:.1} KB with instances; \
         held after {held_ms:.0} ms ({held}), applied by all after {:.0} ms ({all_applied})",
        between_agents.0,
        between_agents.1,
        with_instances.0,
        with_instances.1,
        (world.now - proposed) * 1e3
    );
    json!({
        "agents": agents, "instances": instances, "between_agents": { "messages_s": between_agents.0, "kb_s": between_agents.1 },
        "with_instances": { "messages_s": with_instances.0, "kb_s": with_instances.1 }, "held_ms": held_ms, "all_ms": (world.now - proposed) * 1e3,
        "held": held && all_applied,
    })
}

/// Measures all sizes and returns the JSON object of the last line and whether every change held.
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
    let results: Vec<Value> = sizes
        .iter()
        .map(|(agents, instances)| measure_size(*agents, *instances))
        .collect();
    let held = results.iter().all(|result| result["held"] == true);
    let line = json!({ "trial": "policy", "lease_ms": LEASE_MS, "sizes": results });
    println!("{line}");
    (line, held)
}
