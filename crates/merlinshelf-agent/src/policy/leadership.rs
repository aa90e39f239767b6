//! This agent's work as the leader: it grants leases to hosts and drives changes of the policy.

use log::info;
use merlinshelf_policy::rollout_leader::{Action, ServiceWatch};
use merlinshelf_policy::{Entry, HostLeaseRequest, HostLeaseResponse, RolloutLeader};

use super::{PolicyAgent, reach_failure_point};
use crate::peer_transport::PeerMessage;

/// The leader's state machine, and the term in which it leads.
pub(super) struct Leadership {
    pub rollout: RolloutLeader,
    pub term: u64,
}

impl PolicyAgent {
    /// Follows changes of leadership, requests this host's lease, and carries out the actions of
    /// the leader's state machine; returns whether anything was done.
    pub(super) fn advance_leases(&mut self, now: f64) -> bool {
        self.follow_leadership(now);
        let has_requested = self.request_lease(now);
        let mut has_acted = false;
        while let Some(action) = self.poll_rollout_action() {
            has_acted = true;
            reach_action_failure_point(&action);
            self.carry_out_rollout_action(now, action);
        }
        has_requested || has_acted
    }

    fn poll_rollout_action(&mut self) -> Option<Action> {
        self.leadership.as_mut()?.rollout.poll_action()
    }

    fn follow_leadership(&mut self, now: f64) {
        let term = self.node.leading_term();
        if self.leadership.as_ref().map(|leadership| leadership.term) == term {
            return;
        }
        self.leadership = term.map(|term| {
            info!(term = term; "became leader in term {term}");
            self.begin_leadership(now, term)
        });
        self.quota.leadership_changed(term);
        self.update_budgets(now);
    }

    fn begin_leadership(&self, now: f64, term: u64) -> Leadership {
        let watch = ServiceWatch {
            window_seconds: self.config.watch_ms as f64 / 1e3,
            tolerated_loss: self.config.worse,
        };
        // Includes members that the file does not name: a replaced host may still hold a lease.
        let members = self.node.membership().members.into_values();
        let hosts = members
            .map(|member| member.name)
            .chain(self.config.agents.keys().cloned());
        let agreed = self.node.state().bootstrap.clone();
        let agreed = agreed.unwrap_or_else(|| self.bootstrap.clone());
        Leadership {
            rollout: RolloutLeader::elected(now, agreed, self.config.drift, watch, hosts),
            term,
        }
    }

    /// Requests this host's lease if that is due; the leader may be this agent.
    fn request_lease(&mut self, now: f64) -> bool {
        let Some(mut request) = self.lease_manager.poll_lease_request(now) else {
            return false;
        };
        request.quota_requests = self.quota.request(now);
        if self.leadership.is_some() {
            self.handle_lease_request(now, request);
        } else if let Some(leader) = self.node.leader() {
            self.transport
                .send(leader, &PeerMessage::LeaseRequest(request));
        }
        true
    }

    /// Handles a host's lease request, which is ignored unless this agent leads.
    pub(super) fn handle_lease_request(&mut self, now: f64, mut request: HostLeaseRequest) {
        if let Some(leadership) = &mut self.leadership {
            self.quota.defer_request(&mut request);
            let state = self.node.state();
            leadership.rollout.handle_lease_request(now, request, state);
        }
    }

    fn carry_out_rollout_action(&mut self, now: f64, action: Action) {
        match action {
            Action::ConfirmLeadership { confirmation_id } => {
                self.node.confirm_leadership(now, confirmation_id);
            }
            Action::Propose(entry) => self.node.propose(now, &entry),
            Action::Respond { host, response } => self.respond(now, &host, response),
        }
    }

    fn respond(&mut self, now: f64, host: &str, mut response: HostLeaseResponse) {
        response.quota_grants = self
            .quota
            .grant_deferred_request(now, host, response.request_id);
        if host == self.config.name {
            self.handle_lease_response(now, &response);
        } else {
            self.transport
                .send(host, &PeerMessage::LeaseResponse(response));
        }
    }
}

fn reach_action_failure_point(action: &Action) {
    match action {
        Action::Propose(Entry::Decide { version, .. }) => reach_failure_point("decides", *version),
        Action::Propose(Entry::Activate { version }) => reach_failure_point("opens", *version),
        Action::Respond { response, .. } => reach_failure_point("grants", response.granted_version),
        Action::ConfirmLeadership { .. } | Action::Propose(_) => {}
    }
}
