//! The leading agent's role: grants leases to hosts and drives each policy change from its proposal
//! to its outcome.
//!
//! All state that must outlive this agent is in the [`ReplicatedState`], from which the next leader
//! continues. A lease is granted only after a majority confirmed the leadership since the lease was
//! requested (the read-index rule of the Raft thesis, section 6.4), and a change is activated only
//! when every host has fenced the older versions or its lease has expired (Gray & Cheriton,
//! "Leases", 1989).

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_quota::lease;

use crate::Drift;
use crate::messages::{HostLeaseRequest, HostLeaseResponse, PrepareResult, Rejection};
use crate::replicated_state::{Bootstrap, ChangeOutcome, Entry, ReplicatedEvent, ReplicatedState};
use crate::service_history::{ServiceHistory, ServiceRatio};

/// How long the leader waits for hosts to report on a document, seconds.
const PREPARE_TIMEOUT_SECONDS: f64 = 0.9;
/// The time after which a proposal that was not applied as an entry, or a leadership confirmation
/// that was not received, is retried, seconds.
const RETRY_AFTER_SECONDS: f64 = 0.4;

/// The proposer of an automatic rollback to the previous policy. The text is stored with the change
/// and must not change.
pub const ROLLBACK_PROPOSER: &str = "the watch after a change";

/// An action that the caller is to carry out; actions must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Have a majority confirm that this agent still leads, and report it by
    /// [`RolloutLeader::leadership_confirmed`].
    ConfirmLeadership {
        /// The sequence number of the confirmation.
        confirmation_id: u64,
    },
    /// Append an entry to the log.
    Propose(Entry),
    /// Send a response to a host.
    Respond {
        /// The name of the host.
        host: String,
        /// The response to its last request.
        response: HostLeaseResponse,
    },
}

/// The parameters of the comparison of the service before and after a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceWatch {
    /// The length of the compared windows before and after the change, in seconds; 0 disables the
    /// comparison.
    pub window_seconds: f64,
    /// The maximum decrease of the ratio of succeeded invocations that does not cause a rollback, 0
    /// to 1.
    pub tolerated_loss: f64,
}

/// The state of a host, as known since this agent was elected.
#[derive(Clone, Debug, Default)]
struct Host {
    fenced_version: u64,
    prepare_result: Option<PrepareResult>,
    /// When the last lease that this agent granted has certainly expired.
    lease_expires_at: f64,
    unconfirmed_request: Option<UnconfirmedRequest>,
    /// The response to a request for which a majority has confirmed the leadership.
    confirmed_response: Option<HostLeaseResponse>,
}

impl Host {
    fn prepare_result_for(&self, version: u64) -> Option<&PrepareResult> {
        self.prepare_result
            .as_ref()
            .filter(|result| result.version == version)
    }
}

#[derive(Clone, Debug)]
struct UnconfirmedRequest {
    response: HostLeaseResponse,
    /// The first confirmation that was requested after this request arrived.
    confirmation_id: u64,
}

#[derive(Clone, Debug)]
struct PendingConfirmation {
    confirmation_id: u64,
    requested_at: f64,
}

#[derive(Clone, Copy, Debug)]
struct Preparation {
    version: u64,
    started_at: f64,
}

#[derive(Clone, Debug)]
struct Proposal {
    entry: Entry,
    proposed_at: f64,
}

/// A committed change whose service is compared with that before it.
#[derive(Clone, Copy, Debug)]
struct WatchedChange {
    version: u64,
    committed_at: f64,
    ratio_before: ServiceRatio,
}

/// The state machine. `now` is in seconds of the agent's own monotonic clock.
#[derive(Clone, Debug)]
pub struct RolloutLeader {
    bootstrap: Bootstrap,
    drift: Drift,
    watch: ServiceWatch,
    /// When all leases that earlier leaders granted have certainly expired.
    earlier_leases_expire_at: f64,
    hosts: BTreeMap<String, Host>,
    next_confirmation_id: u64,
    pending_confirmation: Option<PendingConfirmation>,
    /// The version whose activation this agent has proposed; 0 for none.
    activated_version: u64,
    preparation: Option<Preparation>,
    last_proposal: Option<Proposal>,
    service_history: ServiceHistory,
    watched_change: Option<WatchedChange>,
    actions: VecDeque<Action>,
}

impl RolloutLeader {
    /// Creates the leader at its election. `hosts` are the hosts that may have leases.
    pub fn elected(
        now: f64,
        bootstrap: Bootstrap,
        drift: Drift,
        watch: ServiceWatch,
        hosts: impl Iterator<Item = String>,
    ) -> RolloutLeader {
        RolloutLeader {
            earlier_leases_expire_at: lease::grantor_expiry(now, bootstrap.lease_seconds(), drift),
            bootstrap,
            drift,
            watch,
            hosts: hosts.map(|name| (name, Host::default())).collect(),
            next_confirmation_id: 1,
            pending_confirmation: None,
            activated_version: 0,
            preparation: None,
            last_proposal: None,
            service_history: ServiceHistory::default(),
            watched_change: None,
            actions: VecDeque::new(),
        }
    }

    /// The next action.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Handles a host's request for a lease, which also reports its progress.
    pub fn handle_lease_request(
        &mut self,
        now: f64,
        request: HostLeaseRequest,
        state: &ReplicatedState,
    ) {
        self.service_history
            .update_host(&request.host, request.service_counts);
        let host = self.hosts.entry(request.host).or_default();
        host.fenced_version = request.fenced_version;
        host.prepare_result = request.prepare_result;
        host.unconfirmed_request = Some(UnconfirmedRequest {
            response: HostLeaseResponse {
                incarnation: request.incarnation,
                request_id: request.request_id,
                ..HostLeaseResponse::default()
            },
            confirmation_id: self.next_confirmation_id,
        });
        self.advance(now, state);
    }

    /// Records that a majority has confirmed, after this confirmation was requested, that this
    /// agent leads.
    pub fn leadership_confirmed(
        &mut self,
        now: f64,
        confirmation_id: u64,
        state: &ReplicatedState,
    ) {
        self.pending_confirmation
            .take_if(|pending| pending.confirmation_id <= confirmation_id);
        for host in self.hosts.values_mut() {
            let confirmed = host
                .unconfirmed_request
                .take_if(|request| request.confirmation_id <= confirmation_id);
            if let Some(request) = confirmed {
                host.confirmed_response = Some(request.response);
            }
        }
        self.advance(now, state);
    }

    /// Handles the event of an entry that was applied.
    pub fn state_changed(&mut self, now: f64, event: &ReplicatedEvent, state: &ReplicatedState) {
        if let ReplicatedEvent::Committed { version } = event {
            let ratio_before = self
                .service_history
                .success_ratio(now - self.watch.window_seconds, now);
            self.watched_change = ratio_before.map(|ratio_before| WatchedChange {
                version: *version,
                committed_at: now,
                ratio_before,
            });
        }
        self.advance(now, state);
    }

    /// Carries out everything that is due at `now`.
    pub fn advance(&mut self, now: f64, state: &ReplicatedState) {
        self.request_confirmation(now);
        if state.bootstrap.is_none() {
            self.propose(now, Entry::Bootstrap(self.bootstrap.clone()));
            return;
        }
        if let Some(change) = state.preparing_change() {
            self.decide_when_prepared(now, change.version);
        }
        if let Some(change) = state.fencing_change() {
            self.activate_when_fenced(now, change.version, state.fence_version());
        }
        self.compare_service(now, state);
        self.grant_leases(now, state);
    }

    fn request_confirmation(&mut self, now: f64) {
        let is_needed = self
            .hosts
            .values()
            .any(|host| host.unconfirmed_request.is_some());
        let is_due = self
            .pending_confirmation
            .as_ref()
            .is_none_or(|pending| now >= pending.requested_at + RETRY_AFTER_SECONDS);
        if !is_needed || !is_due {
            return;
        }
        let confirmation_id = self.next_confirmation_id;
        self.next_confirmation_id += 1;
        self.actions
            .push_back(Action::ConfirmLeadership { confirmation_id });
        self.pending_confirmation = Some(PendingConfirmation {
            confirmation_id,
            requested_at: now,
        });
    }

    /// Proposes an entry, unless the same entry was proposed recently. Callers repeat the call, so
    /// that a lost proposal is retried.
    fn propose(&mut self, now: f64, entry: Entry) {
        let is_in_progress = self.last_proposal.as_ref().is_some_and(|proposal| {
            proposal.entry == entry && now < proposal.proposed_at + RETRY_AFTER_SECONDS
        });
        if is_in_progress {
            return;
        }
        self.last_proposal = Some(Proposal {
            entry: entry.clone(),
            proposed_at: now,
        });
        self.actions.push_back(Action::Propose(entry));
    }

    fn decide_when_prepared(&mut self, now: f64, version: u64) {
        let started_at = self.preparation_started_at(now, version);
        let rejections: Vec<Rejection> = self
            .hosts
            .values()
            .filter_map(|host| host.prepare_result_for(version))
            .flat_map(|result| result.rejections.clone())
            .collect();
        let accepted = rejections.is_empty();
        let is_complete = self
            .hosts
            .values()
            .all(|host| host.prepare_result_for(version).is_some());
        if accepted && !is_complete && now < started_at + PREPARE_TIMEOUT_SECONDS {
            return;
        }
        self.propose(
            now,
            Entry::Decide {
                version,
                accepted,
                rejections,
            },
        );
    }

    fn preparation_started_at(&mut self, now: f64, version: u64) -> f64 {
        let current = self
            .preparation
            .filter(|preparation| preparation.version == version);
        let preparation = current.unwrap_or(Preparation {
            version,
            started_at: now,
        });
        self.preparation = Some(preparation);
        preparation.started_at
    }

    fn activate_when_fenced(&mut self, now: f64, version: u64, fence_version: u64) {
        let earlier_leases_expire_at = self.earlier_leases_expire_at;
        let is_fenced = |host: &Host| {
            host.fenced_version >= fence_version
                || now >= host.lease_expires_at.max(earlier_leases_expire_at)
        };
        if self.activated_version == version || self.hosts.values().all(is_fenced) {
            self.activated_version = version;
            self.propose(now, Entry::Activate { version });
        }
    }

    /// Grants leases for all requests for which the leadership was confirmed. No lease is granted
    /// while hosts are being fenced.
    fn grant_leases(&mut self, now: f64, state: &ReplicatedState) {
        let granted_version = match state.fencing_change() {
            Some(change) if change.version != self.activated_version => return,
            Some(change) => change.version,
            None => state.current_version,
        };
        let expires_at = lease::grantor_expiry(now, self.bootstrap.lease_seconds(), self.drift);
        for (name, host) in &mut self.hosts {
            let Some(response) = host.confirmed_response.take() else {
                continue;
            };
            host.lease_expires_at = expires_at;
            self.actions.push_back(Action::Respond {
                host: name.clone(),
                response: HostLeaseResponse {
                    granted_version,
                    ..response
                },
            });
        }
    }

    /// Samples the service, and proposes to roll back the last change if the service got worse.
    fn compare_service(&mut self, now: f64, state: &ReplicatedState) {
        if !self.service_history.sample(now) || self.watch.window_seconds <= 0.0 {
            return;
        }
        let window_seconds = self.watch.window_seconds;
        let due = self
            .watched_change
            .take_if(|watched| now >= watched.committed_at + window_seconds);
        let Some(watched) = due else {
            return;
        };
        let ratio_after = self
            .service_history
            .success_ratio(watched.committed_at, now);
        let Some(ratio_after) = ratio_after else {
            return;
        };
        let is_worse = ratio_after + self.watch.tolerated_loss < watched.ratio_before;
        if is_worse && state.current_version == watched.version && !is_rollback(watched, state) {
            self.propose_rollback(now, watched, ratio_after, state);
        }
    }

    fn propose_rollback(
        &mut self,
        now: f64,
        watched: WatchedChange,
        ratio_after: ServiceRatio,
        state: &ReplicatedState,
    ) {
        let Some(previous) = &state.previous else {
            return;
        };
        let WatchedChange {
            version,
            ratio_before,
            ..
        } = watched;
        // The note and the id are stored and shown to operators: their format must not change.
        let mut policy = previous.policy.clone();
        policy.note =
            format!("back from {version}: served {ratio_after:.3}, before it {ratio_before:.3}");
        self.propose(
            now,
            Entry::Propose {
                change_id: format!("back-from-{version}"),
                policy: Box::new(policy),
                proposed_by: ROLLBACK_PROPOSER.to_owned(),
                proposed_at: 0.0,
            },
        );
    }
}

/// Whether a change is itself a rollback, or is no longer kept and so might be one: neither is
/// rolled back.
fn is_rollback(watched: WatchedChange, state: &ReplicatedState) -> bool {
    state
        .completed_changes
        .iter()
        .rev()
        .find(|completed| {
            completed.version == watched.version && completed.outcome == ChangeOutcome::Committed
        })
        .is_none_or(|completed| completed.proposed_by == ROLLBACK_PROPOSER)
}
