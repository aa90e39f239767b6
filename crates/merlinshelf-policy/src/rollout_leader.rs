//! The leading agent's part: grants leases to hosts and takes a change from its proposal to its
//! end.
//!
//! Whatever must outlive this agent is in the [`ReplicatedState`]; the next leader continues from
//! there. A lease is granted only after a majority confirmed the leadership since the lease was
//! requested (the read-index rule of the Raft thesis, section 6.4), and a change is activated only
//! when every host has fenced the older versions or its lease has expired (Gray & Cheriton,
//! "Leases", 1989).

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_quota::lease;

use crate::Drift;
use crate::messages::{HostLeaseRequest, HostLeaseResponse, PrepareResult, Rejection};
use crate::replicated_state::{Bootstrap, ChangeOutcome, Entry, ReplicatedEvent, ReplicatedState};
use crate::service_history::{ServiceHistory, ServiceRatio};

/// Hosts that have not reported on a document by then are not waited for, seconds.
const PREPARE_TIMEOUT_SECONDS: f64 = 0.9;
/// A proposal that has not come back as an entry, and a confirmation that has not come back, is
/// retried after this, seconds.
const RETRY_AFTER_SECONDS: f64 = 0.4;

/// Who proposes a change that rolls back to the previous policy. It is stored with the change.
pub const ROLLBACK_PROPOSER: &str = "the watch after a change";

/// What the caller of the state machine is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Have a majority confirm that this agent still leads; reported by
    /// [`RolloutLeader::leadership_confirmed`].
    ConfirmLeadership {
        /// Identifies the confirmation; they are numbered in order.
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

/// How the service is compared before and after a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceWatch {
    /// The time that is looked at before and after the change, in seconds; 0 switches the
    /// comparison off.
    pub window_seconds: f64,
    /// By how much the ratio of succeeded invocations may fall before the change is rolled back, 0
    /// to 1.
    pub tolerated_loss: f64,
}

/// What is known of a host since this agent was elected.
#[derive(Clone, Debug, Default)]
struct Host {
    fenced_version: u64,
    prepare_result: Option<PrepareResult>,
    /// When the last lease that was granted here has expired for sure.
    lease_expires_at: f64,
    unconfirmed_request: Option<UnconfirmedRequest>,
    /// The response to a request that a majority has confirmed the leadership for.
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
    /// The first confirmation that was requested after this request came.
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

/// The state machine. `now` is the agent's own monotonic clock in seconds.
#[derive(Clone, Debug)]
pub struct RolloutLeader {
    bootstrap: Bootstrap,
    drift: Drift,
    watch: ServiceWatch,
    /// When every lease that an earlier leader granted has expired.
    earlier_leases_expire_at: f64,
    hosts: BTreeMap<String, Host>,
    next_confirmation_id: u64,
    pending_confirmation: Option<PendingConfirmation>,
    /// The version that this agent proposed to activate; 0 for none.
    activated_version: u64,
    preparation: Option<Preparation>,
    last_proposal: Option<Proposal>,
    service_history: ServiceHistory,
    watched_change: Option<WatchedChange>,
    actions: VecDeque<Action>,
}

impl RolloutLeader {
    /// Starts at the election, at `now`, with the hosts that may have leases.
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

    /// A host requests its lease and reports its progress.
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

    /// A majority has confirmed that this agent leads, after this confirmation was requested.
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

    /// An entry was applied.
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

    /// Time has passed.
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

    /// Proposes an entry, and retries where it was lost on its way into the log.
    fn propose(&mut self, now: f64, entry: Entry) {
        let is_under_way = self.last_proposal.as_ref().is_some_and(|proposal| {
            proposal.entry == entry && now < proposal.proposed_at + RETRY_AFTER_SECONDS
        });
        if is_under_way {
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

    /// Grants leases for all requests that the leadership was confirmed for. No lease is granted
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

    /// Samples the service, and rolls the last change back where it made the service worse.
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
        // The note and the id are stored and shown to operators: their text stays as it is.
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

/// Whether a change was itself a rollback, or is remembered no more: neither is rolled back.
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
