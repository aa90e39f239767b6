//! An instance's role for all budgets: tracks which calls may be made to each dependency, and sends
//! one request per round to the host.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::{Budgets, CallKind};
use crate::dependency_quota::DependencyQuota;
use crate::lease::LeaseTerms;
use crate::messages::{QuotaGrantBatch, QuotaRequestBatch};
use crate::pending_requests::RoundTracker;
use crate::phase::Phase;

/// The calls that may be made to a dependency at a given time; `u32::MAX` for calls that are not
/// limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// The dependency fails for all instances: only probes may be sent.
    pub probes_only: bool,
    /// The dependency has stopped failing for all instances, so earlier failures on this one no
    /// longer count. Reported once.
    pub reopened: bool,
    /// Retries and hedged requests.
    pub retries: u32,
    /// Probes.
    pub probes: u32,
    /// First calls.
    pub first_calls: u32,
}

impl Remaining {
    /// Nothing is limited.
    pub const UNLIMITED: Remaining = Remaining {
        probes_only: false,
        reopened: false,
        retries: u32::MAX,
        probes: u32::MAX,
        first_calls: u32::MAX,
    };
}

/// The outcome of a call to a dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The dependency served the call.
    Succeeded,
    /// The dependency did not serve the call.
    Failed,
}

/// The state machine. `now` is in seconds of the instance's own monotonic clock. It is handed over
/// in an upgrade, so the names that older versions use are preserved by `#[serde(rename)]`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaClient {
    #[serde(rename = "life")]
    incarnation: u64,
    #[serde(rename = "lease")]
    terms: LeaseTerms,
    rounds: RoundTracker,
    #[serde(rename = "places")]
    dependencies: BTreeMap<String, DependencyQuota>,
}

impl QuotaClient {
    /// Creates a client without quotas. `incarnation` identifies this process among all processes
    /// of the instance.
    pub fn new(incarnation: u64, terms: LeaseTerms) -> QuotaClient {
        QuotaClient {
            incarnation,
            terms,
            rounds: RoundTracker::default(),
            dependencies: BTreeMap::new(),
        }
    }

    /// Sets which calls are limited by the instance's effective policy. Quotas for calls that were
    /// limited before stay valid.
    pub fn set_budgets(&mut self, budgets: &Budgets) {
        self.dependencies
            .retain(|name, _| budgets.contains_key(name));
        for (name, kinds) in budgets {
            self.dependencies
                .entry(name.clone())
                .or_insert_with(DependencyQuota::newly_limited)
                .set_kinds(kinds, self.incarnation, self.terms);
        }
    }

    /// Hands over all quotas to a successor. This client continues without quotas as another
    /// incarnation, even if the handover is aborted.
    pub fn begin_handover(&mut self, next_incarnation: u64) -> QuotaClient {
        let handed_over = std::mem::replace(self, QuotaClient::new(next_incarnation, self.terms));
        self.dependencies = handed_over
            .dependencies
            .iter()
            .map(|(name, dependency)| {
                let dependency = dependency.without_grants(next_incarnation, self.terms);
                (name.clone(), dependency)
            })
            .collect();
        handed_over
    }

    /// Whether any calls to a dependency have a budget.
    pub fn has_budget(&self, dependency: &str) -> bool {
        self.dependencies.contains_key(dependency)
    }

    /// The calls that may be made now.
    pub fn remaining(&mut self, now: f64, dependency: &str) -> Remaining {
        self.dependencies
            .get_mut(dependency)
            .map_or(Remaining::UNLIMITED, |dependency| dependency.remaining(now))
    }

    /// The number of connections that may be opened now; `u32::MAX` if they are not limited.
    pub fn remaining_connections(&mut self, now: f64, dependency: &str) -> u32 {
        self.dependencies
            .get_mut(dependency)
            .map_or(u32::MAX, |dependency| {
                dependency.remaining_calls(now, CallKind::NewConnection)
            })
    }

    /// Whether calls of a kind are limited now.
    pub fn is_limited(&self, now: f64, dependency: &str, kind: CallKind) -> bool {
        self.dependencies
            .get(dependency)
            .is_some_and(|dependency| dependency.is_limited(now, kind))
    }

    /// Records that a call is needed, whether or not it can be made; `priority_weight` is the value
    /// that is lost if it cannot. Has no effect for calls that are not limited.
    pub fn record_demand(
        &mut self,
        now: f64,
        dependency: &str,
        kind: CallKind,
        priority_weight: f64,
    ) {
        if let Some(dependency) = self.dependencies.get_mut(dependency) {
            dependency.record_demand(now, kind, priority_weight);
        }
    }

    /// Records that `calls` of the remaining calls were made. Has no effect for calls without a
    /// budget.
    pub fn record_spent(&mut self, now: f64, dependency: &str, kind: CallKind, calls: u32) {
        if let Some(dependency) = self.dependencies.get_mut(dependency) {
            dependency.record_spent(now, kind, calls);
        }
    }

    /// Whether a call can be made now only by drawing it from the host's reserve (see
    /// [`reserve`](crate::reserve)).
    pub fn needs_reserve(&mut self, now: f64, dependency: &str, kind: CallKind) -> bool {
        self.dependencies
            .get_mut(dependency)
            .is_some_and(|dependency| {
                dependency.is_limited(now, kind) && dependency.remaining_calls(now, kind) == 0
            })
    }

    /// Records that a call was drawn from the host's reserve. The caller must make it at once.
    pub fn record_reserve_draw(&mut self, now: f64, dependency: &str, kind: CallKind) {
        if let Some(dependency) = self.dependencies.get_mut(dependency) {
            dependency.record_reserve_draw(now, kind);
        }
    }

    /// Records that a call has ended.
    pub fn record_call_end(&mut self, now: f64, dependency: &str, outcome: CallOutcome) {
        if let Some(dependency) = self.dependencies.get_mut(dependency) {
            dependency.record_call_end(now, outcome);
        }
    }

    /// Sets whether a dependency fails for this instance.
    pub fn set_failing(&mut self, now: f64, dependency: &str, is_failing: bool) {
        if let Some(dependency) = self.dependencies.get_mut(dependency) {
            dependency.set_failing(now, is_failing);
        }
    }

    /// The phase of a dependency; `None` if it is not known at `now`.
    pub fn phase(&self, now: f64, dependency: &str) -> Option<Phase> {
        self.dependencies.get(dependency)?.phase_at(now)
    }

    /// The quota of a kind of calls in calls per second, for reports.
    pub fn granted(&self, now: f64, dependency: &str, kind: CallKind) -> Option<u32> {
        self.dependencies.get(dependency)?.granted(now, kind)
    }

    /// Dependencies and kinds of calls that have a budget.
    pub fn limited_kinds(&self) -> impl Iterator<Item = (&String, CallKind)> {
        self.dependencies
            .iter()
            .flat_map(|(name, dependency)| dependency.kinds().map(move |kind| (name, kind)))
    }

    /// Begins a round; returns its request to the host.
    pub fn request(&mut self, now: f64) -> QuotaRequestBatch {
        let call_lifetime_seconds = self.terms.lease_seconds;
        let requests = self
            .dependencies
            .iter_mut()
            .map(|(name, dependency)| {
                let request = dependency.request(now, call_lifetime_seconds);
                (name.clone(), request)
            })
            .collect();
        QuotaRequestBatch {
            incarnation: self.incarnation,
            request_id: self.rounds.begin(now),
            zone: String::new(),
            dependencies: requests,
        }
    }

    /// Handles the host's response, which may be arbitrarily late. `random` draws a number from 0
    /// to 1.
    pub fn handle_grants(
        &mut self,
        now: f64,
        batch: &QuotaGrantBatch,
        random: &mut dyn FnMut() -> f64,
    ) {
        if batch.incarnation != self.incarnation {
            return;
        }
        let Some(requested_at) = self.rounds.complete(batch.request_id) else {
            return;
        };
        let phase_expires_at = self
            .terms
            .holder_expiry(requested_at, self.terms.lease_seconds);
        let window_seconds = self.terms.window_seconds();
        let mut probe_delay = || random() * window_seconds;
        for (name, grant) in &batch.dependencies {
            if let Some(dependency) = self.dependencies.get_mut(name) {
                dependency.handle_grant(now, phase_expires_at, grant, &mut probe_delay);
            }
        }
    }
}
