//! Policies on this agent: it hosts the state machines of `merlinshelf-policy` and
//! `merlinshelf-quota`, carries out their actions, and forwards operators' requests to the leader.
//!
//! `leadership` is driven while this agent leads, `heartbeats` sends heartbeats to the instances,
//! `quota` distributes the fleet's budgets, `operator_requests` and `pending_requests` serve the
//! control socket.

mod heartbeats;
mod leadership;
mod operator_requests;
mod pending_requests;
mod quota;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use log::{info, warn};
use merlinshelf_backend::fault;
use merlinshelf_fleet::fleet_spec::ConsensusConfig;
use merlinshelf_policy::replicated_state::{ChangeOutcome, ReplicatedEvent};
use merlinshelf_policy::{Bootstrap, Entry, HostLeaseManager, HostLeaseResponse};
use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use self::heartbeats::{HeartbeatResult, ServiceCounts};
use self::leadership::Leadership;
use self::pending_requests::{PendingChange, PendingRemoval};
use self::quota::HostQuota;
use crate::consensus_log::WriteResult;
use crate::consensus_node::{ConsensusNode, NodeOutput};
use crate::peer_transport::{PeerMessage, PeerTransport, ReceivedMessage};

/// Time between two lease requests while a dependency is unhealthy, in seconds. It is short so that
/// a recovery is detected sooner.
const UNHEALTHY_REQUEST_INTERVAL_SECONDS: f64 = 0.1;
/// Time between two reports of this host's status to the other agents, in seconds.
const STATUS_INTERVAL_SECONDS: f64 = 1.0;
/// Maximum number of rounds of the state machines for one event. Each round may cause another one,
/// until nothing changes.
const MAX_ROUNDS: usize = 64;
/// Environment variable that sets the clock's rate, for tests of clock drift.
const CLOCK_RATE_VARIABLE: &str = "MERLINSHELF_CLOCK_RATE";

/// Events from outside of the state machines.
pub(crate) enum PolicyEvent {
    MessageReceived(ReceivedMessage),
    HeartbeatAnswered(HeartbeatResult),
    LogWritten(WriteResult),
}

/// The status of another agent's host.
pub(crate) struct PeerStatus {
    /// Time of receipt, in seconds of the policy's clock.
    received_at: f64,
    status: Value,
}

/// A [`PeerStatus`] for a report.
pub(crate) struct PeerStatusReport<'a> {
    pub agent: &'a str,
    pub age_seconds: f64,
    pub status: &'a Value,
}

/// The policy state of this agent. Times are seconds of the agent's monotonic clock.
pub(crate) struct PolicyAgent {
    config: ConsensusConfig,
    /// The parameters that are agreed once at the bootstrap, as set in this agent's file.
    bootstrap: Bootstrap,
    node: ConsensusNode,
    transport: PeerTransport,
    lease_manager: HostLeaseManager,
    /// Present while this agent leads.
    leadership: Option<Leadership>,
    quota: HostQuota,
    unhealthy_request_at: f64,
    pending_changes: Vec<PendingChange>,
    pending_removals: Vec<PendingRemoval>,
    peer_statuses: BTreeMap<String, PeerStatus>,
    status_sent_at: f64,
    ticked_at: f64,
    clock_rate: f64,
    service_counts: BTreeMap<String, ServiceCounts>,
    /// The agreed parameters for which a difference from the file was last logged.
    logged_difference: Option<Bootstrap>,
    heartbeat_sender: UnboundedSender<HeartbeatResult>,
    heartbeat_results: UnboundedReceiver<HeartbeatResult>,
    messages: UnboundedReceiver<ReceivedMessage>,
    write_results: UnboundedReceiver<WriteResult>,
}

impl PolicyAgent {
    /// Listens for other agents; the replica starts with the first [`PolicyAgent::advance`].
    ///
    /// # Errors
    /// The address for other agents can't be listened on.
    pub async fn open(
        config: &ConsensusConfig,
        folder: &Path,
        incarnation: u64,
    ) -> std::io::Result<PolicyAgent> {
        let (message_sender, messages) = unbounded_channel();
        let (write_sender, write_results) = unbounded_channel();
        let (heartbeat_sender, heartbeat_results) = unbounded_channel();
        let transport =
            PeerTransport::open(&config.name, &config.listen, &config.agents, message_sender)
                .await?;
        let bootstrap = Bootstrap {
            lease_ms: config.lease_ms,
            base_fingerprint: config.base.fingerprint(),
        };
        let node = ConsensusNode::new(
            &config.name,
            &config.agents,
            folder,
            incarnation,
            write_sender,
        );
        let lease_manager = HostLeaseManager::new(
            &config.name,
            incarnation,
            bootstrap.base_fingerprint,
            config.drift,
        );
        Ok(PolicyAgent {
            bootstrap,
            node,
            transport,
            lease_manager,
            leadership: None,
            quota: HostQuota::new(config, incarnation),
            unhealthy_request_at: 0.0,
            pending_changes: Vec::new(),
            pending_removals: Vec::new(),
            peer_statuses: BTreeMap::new(),
            status_sent_at: 0.0,
            ticked_at: 0.0,
            clock_rate: clock_rate(),
            service_counts: BTreeMap::new(),
            logged_difference: None,
            heartbeat_sender,
            heartbeat_results,
            messages,
            write_results,
            config: config.clone(),
        })
    }

    /// Waits for the next event.
    pub async fn next_event(&mut self) -> PolicyEvent {
        tokio::select! {
            Some(message) = self.messages.recv() => PolicyEvent::MessageReceived(message),
            Some(write) = self.write_results.recv() => PolicyEvent::LogWritten(write),
            Some(result) = self.heartbeat_results.recv() => PolicyEvent::HeartbeatAnswered(result),
            else => std::future::pending().await,
        }
    }

    /// Handles an event; [`PolicyAgent::advance`] then does the resulting work.
    pub fn handle_event(&mut self, agent_now: f64, event: PolicyEvent) {
        let now = agent_now * self.clock_rate;
        match event {
            PolicyEvent::MessageReceived(received) => self.handle_message(now, received),
            PolicyEvent::LogWritten(write) => self.node.write_finished(now, write),
            PolicyEvent::HeartbeatAnswered(answer) => self.handle_heartbeat_result(now, answer),
        }
    }

    fn handle_message(&mut self, now: f64, received: ReceivedMessage) {
        let ReceivedMessage { from, message } = received;
        if !self.config.agents.contains_key(&from) {
            warn!(agent = from.as_str(); "message from unknown agent {from} ignored");
            return;
        }
        match message {
            PeerMessage::Consensus(message) => self.node.handle_message(now, &from, message),
            PeerMessage::LeaseRequest(request) => self.handle_lease_request(now, request),
            PeerMessage::LeaseResponse(response) => self.handle_lease_response(now, &response),
            PeerMessage::Propose(entry) => self.propose_for_operator(now, &entry),
            PeerMessage::RemoveMember(name) => self.remove_member_as_leader(now, &name),
            PeerMessage::HostStatus(text) => match serde_json::from_str(&text) {
                Ok(status) => {
                    let status = PeerStatus {
                        received_at: now,
                        status,
                    };
                    self.peer_statuses.insert(from, status);
                }
                // The status is used in reports only, and the next one arrives within a second.
                Err(error) => {
                    warn!(error:% = error, agent = from.as_str(); "status of {from} not decoded: {error}");
                }
            },
        }
    }

    /// Does all work that is due. `instances` maps the instances that have a process to their
    /// control sockets; `host_status` lists all instances.
    pub fn advance(
        &mut self,
        agent_now: f64,
        unix_seconds: f64,
        instances: &BTreeMap<String, PathBuf>,
        host_status: impl FnOnce() -> Vec<Value>,
    ) {
        let now = agent_now * self.clock_rate;
        self.tick(agent_now, now);
        if agent_now >= self.status_sent_at + STATUS_INTERVAL_SECONDS {
            self.status_sent_at = agent_now;
            self.send_host_status(now, &host_status());
        }
        self.lease_manager.set_instances(now, instances.keys());
        self.update_budgets(now);
        self.expedite_recovery(now);
        for _ in 0..MAX_ROUNDS {
            let is_busy = self.advance_leases(now);
            let outputs = self.node.take_outputs();
            if outputs.is_empty() && !is_busy {
                break;
            }
            for output in outputs {
                self.handle_node_output(now, output);
            }
        }
        self.send_heartbeats(now, instances);
        self.advance_pending_changes(now, unix_seconds);
        self.advance_pending_removals(now);
    }

    /// Ticks follow the agent's clock; lease times follow the policy's clock.
    fn tick(&mut self, agent_now: f64, now: f64) {
        let interval_seconds = merlinshelf_consensus::TICK_MS as f64 / 1e3;
        if agent_now < self.ticked_at + interval_seconds {
            return;
        }
        self.ticked_at = agent_now;
        self.node.tick(now);
        if let Some(leadership) = &mut self.leadership {
            leadership.rollout.advance(now, self.node.state());
        }
    }

    fn send_host_status(&self, now: f64, instances: &[Value]) {
        let status = json!({
            "instances": instances,
            "council": self.node.status_text(),
            "budgets": self.quota.fleet_report(now),
        });
        let message = PeerMessage::HostStatus(status.to_string());
        for peer in self.transport.peers() {
            self.transport.send(peer, &message);
        }
    }

    fn expedite_recovery(&mut self, now: f64) {
        let is_due = now >= self.unhealthy_request_at + UNHEALTHY_REQUEST_INTERVAL_SECONDS;
        if is_due && self.quota.allocator.has_unhealthy_dependency(now) {
            self.unhealthy_request_at = now;
            self.lease_manager.expedite_request();
            self.lease_manager.expedite_heartbeats();
        }
    }

    /// Sends a message to the leader, if one is known; the leader may be this agent.
    fn send_to_leader(&mut self, now: f64, message: PeerMessage) {
        let Some(leader) = self.node.leader().map(str::to_owned) else {
            return;
        };
        if leader != self.config.name {
            return self.transport.send(&leader, &message);
        }
        match message {
            PeerMessage::Propose(entry) => self.propose_for_operator(now, &entry),
            PeerMessage::RemoveMember(name) => self.remove_member_as_leader(now, &name),
            _ => {}
        }
    }

    /// Proposes a change for an operator. Other entries may only come from the leader itself.
    fn propose_for_operator(&mut self, now: f64, entry: &Entry) {
        if matches!(entry, Entry::Propose { .. }) {
            self.node.propose(now, entry);
        }
    }

    /// Removes an agent's slot, but only if this agent's file no longer names that agent.
    fn remove_member_as_leader(&mut self, now: f64, name: &str) {
        if self.node.leading_term().is_some() && !self.config.agents.contains_key(name) {
            self.node.remove_member(now, name);
        }
    }

    /// Handles the leader's response: a lease on the current policy, and quota.
    fn handle_lease_response(&mut self, now: f64, response: &HostLeaseResponse) {
        self.lease_manager.handle_lease_response(now, response);
        if let Some(grants) = &response.quota_grants
            && self.quota.allocator.handle_grants(now, grants)
        {
            self.lease_manager.expedite_heartbeats();
        }
    }

    fn handle_node_output(&mut self, now: f64, output: NodeOutput) {
        match output {
            NodeOutput::Send { to, message } => {
                self.transport.send(&to, &PeerMessage::Consensus(message));
            }
            NodeOutput::Applied(event) => {
                self.log_event(&event);
                reach_event_failure_point(&event);
                self.handle_state_change(now, Some(event));
            }
            NodeOutput::StateReplaced => self.handle_state_change(now, None),
            NodeOutput::LeadershipConfirmed { request_id } => {
                if let Some(leadership) = &mut self.leadership {
                    let state = self.node.state();
                    leadership
                        .rollout
                        .leadership_confirmed(now, request_id, state);
                }
            }
        }
    }

    fn handle_state_change(&mut self, now: f64, event: Option<ReplicatedEvent>) {
        self.lease_manager.state_changed(now, self.node.state());
        if let (Some(event), Some(leadership)) = (event, &mut self.leadership) {
            let state = self.node.state();
            leadership.rollout.state_changed(now, &event, state);
        }
        self.check_agreed_parameters();
    }

    /// Logs once if this agent's file differs from the parameters that the installation agreed on.
    fn check_agreed_parameters(&mut self) {
        let agreed = self.node.state().bootstrap.clone();
        let Some(agreed) = agreed.filter(|agreed| *agreed != self.bootstrap) else {
            return;
        };
        if self.logged_difference.as_ref() != Some(&agreed) {
            warn!(
                "lease_ms or base policy in this agent's file differ from the installation's: {:?} instead of {agreed:?}; \
                 instances started with this file get no lease",
                self.bootstrap
            );
            self.logged_difference = Some(agreed);
        }
    }

    fn log_event(&self, event: &ReplicatedEvent) {
        match event {
            ReplicatedEvent::Bootstrapped(bootstrap) => {
                let lease_ms = bootstrap.lease_ms;
                info!(lease_ms = lease_ms; "installation bootstrapped with leases of {lease_ms} ms");
            }
            ReplicatedEvent::Proposed { version } => {
                info!(policy_version = version; "policy {version} proposed");
            }
            ReplicatedEvent::Decided {
                version,
                accepted: true,
            } => {
                info!(policy_version = version; "policy {version} accepted");
            }
            ReplicatedEvent::Decided {
                version,
                accepted: false,
            } => {
                let completed = &self.node.state().completed_changes;
                let change = completed
                    .iter()
                    .rev()
                    .find(|change| change.version == *version);
                let reasons = change.map(|change| rejection_reasons(&change.outcome));
                let reasons = reasons.unwrap_or_default();
                info!(policy_version = version; "policy {version} rejected: {reasons}");
            }
            ReplicatedEvent::Committed { version } => {
                info!(policy_version = version; "policy {version} committed");
            }
        }
    }

    /// The latest status of each other agent's host.
    pub fn peer_status_reports(&self, agent_now: f64) -> Vec<PeerStatusReport<'_>> {
        let now = agent_now * self.clock_rate;
        self.peer_statuses
            .iter()
            .map(|(agent, peer)| PeerStatusReport {
                agent,
                age_seconds: now - peer.received_at,
                status: &peer.status,
            })
            .collect()
    }
}

fn clock_rate() -> f64 {
    std::env::var(CLOCK_RATE_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|rate| (0.9..1.1).contains(rate))
        .unwrap_or(1.0)
}

fn reach_event_failure_point(event: &ReplicatedEvent) {
    match event {
        ReplicatedEvent::Bootstrapped(_) => {}
        ReplicatedEvent::Proposed { version } => reach_failure_point("proposed", *version),
        ReplicatedEvent::Decided { version, .. } => reach_failure_point("decided", *version),
        ReplicatedEvent::Committed { version } => reach_failure_point("held", *version),
    }
}

/// A failure point at which tests crash an agent, named by its next action and policy version.
fn reach_failure_point(name: &str, version: u64) {
    if cfg!(debug_assertions) {
        fault::injection_point_in_any_process(&format!("agent.{name}.{version}"));
    }
}

/// The rejections of a change, each with its origin and reason; empty if there are none.
fn rejection_reasons(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Committed => String::new(),
        ChangeOutcome::Rejected(rejections) => rejections
            .iter()
            .map(|rejection| format!("{}: {}", rejection.rejected_by, rejection.reason))
            .collect::<Vec<_>>()
            .join("; "),
    }
}
