//! How the simulated processes handle messages and drive their state machines.

use merlinshelf_policy::messages::{Heartbeat, HostLeaseRequest};
use merlinshelf_policy::rollout_leader::Action;
use rand::RngExt;

use crate::world::{Faults, Message, MessageInFlight, SeededBug, TICK_SECONDS, World, agent_name};

impl World {
    pub fn deliver(&mut self, message: Message, faults: Faults) {
        match message {
            Message::Heartbeat {
                agent,
                instance,
                heartbeat,
            } => self.deliver_heartbeat(agent, instance, heartbeat, faults),
            Message::InstanceStatus {
                agent,
                instance,
                status,
            } => self.agents[agent]
                .lease_manager
                .instance_responded(&instance, status),
            Message::LeaseRequest { to, request } => self.deliver_request(to, request),
            Message::LeaseResponse { from, to, response } => {
                let agent = &mut self.agents[to];
                let now = agent.clock.read(self.time);
                if agent.is_up && (!agent.is_partitioned || from == to) {
                    agent.lease_manager.handle_lease_response(now, &response);
                }
            }
        }
    }

    fn deliver_heartbeat(
        &mut self,
        agent: usize,
        name: String,
        mut heartbeat: Heartbeat,
        faults: Faults,
    ) {
        let Some(instance) = self.instances.get_mut(&name) else {
            return;
        };
        if instance.is_stopped {
            // The heartbeat stays in the socket until the instance resumes.
            self.in_flight.push(MessageInFlight {
                arrives_at: self.time + TICK_SECONDS,
                message: Message::Heartbeat {
                    agent,
                    instance: name,
                    heartbeat,
                },
            });
            return;
        }
        let now = instance.clock.read(self.time);
        if let (SeededBug::LeaseFromArrival, Some(grant)) = (self.seeded_bug, &mut heartbeat.grant)
        {
            grant.requested_at = now;
        }
        let status = instance
            .lease_holder
            .handle_heartbeat(now, heartbeat, |_| Ok(()));
        let response = Message::InstanceStatus {
            agent,
            instance: name,
            status,
        };
        self.send(response, faults);
    }

    fn deliver_request(&mut self, to: usize, request: HostLeaseRequest) {
        let agent = &mut self.agents[to];
        let now = agent.clock.read(self.time);
        // No agent is partitioned from itself.
        let is_reachable = !agent.is_partitioned || request.host == agent_name(to);
        if !agent.is_up || !is_reachable {
            return;
        }
        if let Some(leadership) = &mut agent.leadership {
            leadership
                .leader
                .handle_lease_request(now, request, &agent.state);
        }
    }

    pub fn drive_agent(&mut self, agent: usize, faults: Faults) {
        if !self.agents[agent].is_up {
            return;
        }
        let is_partitioned = self.agents[agent].is_partitioned;
        if !is_partitioned && self.rng.random_bool(0.5) {
            let max_entries = if faults == Faults::On { 1 } else { 11 };
            self.apply_entries(agent, max_entries);
        }
        let mut outgoing = self.poll_heartbeats(agent);
        outgoing.extend(self.poll_request(agent));
        outgoing.extend(self.drive_leader(agent));
        for message in outgoing {
            self.send(message, faults);
        }
        self.step_down_when_outdated(agent);
        // An agent's heartbeats time out occasionally.
        if self.rng.random_bool(0.02) {
            for name in self.instance_names(agent) {
                self.agents[agent]
                    .lease_manager
                    .instance_unreachable(&name, None);
            }
        }
    }

    pub fn instance_names(&self, agent: usize) -> Vec<String> {
        let prefix = format!("{}.", agent_name(agent));
        self.instances
            .keys()
            .filter(|name| name.starts_with(&prefix))
            .cloned()
            .collect()
    }

    fn poll_heartbeats(&mut self, agent: usize) -> Vec<Message> {
        let names = self.instance_names(agent);
        let driven = &mut self.agents[agent];
        let now = driven.clock.read(self.time);
        driven.lease_manager.set_instances(now, names.iter());
        std::iter::from_fn(|| driven.lease_manager.poll_heartbeat(now))
            .map(|(instance, heartbeat)| Message::Heartbeat {
                agent,
                instance,
                heartbeat,
            })
            .collect()
    }

    /// The agent's request, sent to the agent that it believes to lead, which is occasionally a
    /// former leader.
    fn poll_request(&mut self, agent: usize) -> Option<Message> {
        let leader = self.leader;
        let polled = &mut self.agents[agent];
        let now = polled.clock.read(self.time);
        let request = polled.lease_manager.poll_lease_request(now)?;
        let leads_partition = polled.is_partitioned && polled.leadership.is_some();
        if polled.is_partitioned && !leads_partition {
            return None;
        }
        let former_leader = (0..self.agents.len())
            .find(|other| *other != leader && self.agents[*other].leadership.is_some());
        let believed_leader = former_leader
            .filter(|_| self.rng.random_bool(0.3))
            .unwrap_or(leader);
        let to = if leads_partition {
            agent
        } else {
            believed_leader
        };
        Some(Message::LeaseRequest { to, request })
    }

    /// Carries out the actions of an agent that believes that it leads; returns its responses.
    fn drive_leader(&mut self, agent: usize) -> Vec<Message> {
        let truly_leads = self.truly_leads(agent);
        let driven = &mut self.agents[agent];
        let now = driven.clock.read(self.time);
        let Some(leadership) = &mut driven.leadership else {
            return Vec::new();
        };
        let leader = &mut leadership.leader;
        leader.advance(now, &driven.state);
        // Only the actions that are pending now: those that a confirmation adds are carried out in
        // the next step.
        let actions: Vec<Action> = std::iter::from_fn(|| leader.poll_action()).collect();
        let is_confirmed = truly_leads || self.seeded_bug == SeededBug::UnconfirmedLeader;
        let mut responses = Vec::new();
        for action in actions {
            match action {
                Action::ConfirmLeadership { confirmation_id } if is_confirmed => {
                    leader.leadership_confirmed(now, confirmation_id, &driven.state);
                }
                Action::Propose(entry) if truly_leads => self.log.push(entry),
                Action::Respond { host, response } => responses.push(Message::LeaseResponse {
                    from: agent,
                    to: host[1..].parse().expect("the number of an agent"),
                    response,
                }),
                Action::ConfirmLeadership { .. } | Action::Propose(_) => {}
            }
        }
        responses
    }

    fn truly_leads(&self, agent: usize) -> bool {
        let agent = &self.agents[agent];
        let is_current = agent
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.term == self.term);
        is_current && !agent.is_partitioned
    }

    /// Makes a reachable former leader step down after some time, when it learns of the later term.
    fn step_down_when_outdated(&mut self, agent: usize) {
        let is_outdated = self.agents[agent].leadership.is_some()
            && !self.truly_leads(agent)
            && !self.agents[agent].is_partitioned;
        if is_outdated && self.rng.random_bool(0.01) {
            self.agents[agent].leadership = None;
        }
    }
}
