//! An instance's quota for one dependency: which calls may be made, depending on its phase and the
//! grants of the host.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::CallKind;
use crate::lease::LeaseTerms;
use crate::lease_holder::QuotaLeaseHolder;
use crate::messages::{DependencyGrant, DependencyRequest, QuotaGrant};
use crate::phase::{DependencyHealth, Phase, PhaseLease};
use crate::quota_client::{CallOutcome, Remaining};

/// How long first calls stay limited after the dependency stopped failing while its phase is not
/// known, seconds.
const UNKNOWN_PHASE_LIMIT_SECONDS: f64 = 5.0;
/// How long a call that was drawn from the host's reserve may be made, seconds. The reserve counts
/// it from when it was drawn, so this must stay below the variation of the transit time of calls.
const DRAWN_CALL_SECONDS: f64 = 0.02;

/// The state for one dependency. Times are seconds of the instance's clock. It is handed over in an
/// upgrade, so the names that older versions use are preserved by `#[serde(rename)]`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DependencyQuota {
    holders: BTreeMap<CallKind, QuotaLeaseHolder>,
    phase: Option<PhaseLease>,
    /// The dependency has stopped failing for all instances, which was not reported to the caller
    /// yet.
    #[serde(rename = "opens")]
    has_reopened: bool,
    /// Whether the dependency fails for this instance.
    #[serde(rename = "fails")]
    is_failing: bool,
    /// First calls are limited until this time even if the phase is not known.
    #[serde(rename = "alone_until")]
    limited_until: f64,
    /// Whether the remaining calls were never queried.
    #[serde(rename = "new")]
    is_new: bool,
    #[serde(rename = "good")]
    succeeded_calls: u32,
    #[serde(rename = "bad")]
    failed_calls: u32,
    #[serde(rename = "ended_at")]
    last_call_ended_at: Option<f64>,
    /// No probe is sent before this time.
    probes_from: f64,
    /// The expiry of a call drawn from the host's reserve, by kind.
    #[serde(rename = "drawn")]
    drawn_calls: BTreeMap<CallKind, f64>,
}

impl DependencyQuota {
    /// Creates the quota of a dependency that was not limited before. Its state is unknown, so it
    /// is treated as recovering.
    pub fn newly_limited() -> DependencyQuota {
        DependencyQuota {
            is_new: true,
            ..DependencyQuota::default()
        }
    }

    /// Sets which kinds of calls are limited.
    pub fn set_kinds(
        &mut self,
        kinds: &BTreeMap<CallKind, u32>,
        incarnation: u64,
        terms: LeaseTerms,
    ) {
        self.holders.retain(|kind, _| kinds.contains_key(kind));
        for kind in kinds.keys() {
            self.holders
                .entry(*kind)
                .or_insert_with(|| QuotaLeaseHolder::new(incarnation, terms));
        }
    }

    /// A copy without grants or drawn calls, for a process that has handed over its quotas.
    pub fn without_grants(&self, incarnation: u64, terms: LeaseTerms) -> DependencyQuota {
        DependencyQuota {
            holders: self
                .holders
                .keys()
                .map(|kind| (*kind, QuotaLeaseHolder::new(incarnation, terms)))
                .collect(),
            drawn_calls: BTreeMap::new(),
            ..self.clone()
        }
    }

    /// The kinds of calls that are limited.
    pub fn kinds(&self) -> impl Iterator<Item = CallKind> {
        self.holders.keys().copied()
    }

    /// The phase; `None` if it is not known at `now`.
    pub fn phase_at(&self, now: f64) -> Option<Phase> {
        self.phase.and_then(|phase| phase.phase_at(now))
    }

    /// The calls that may be made now.
    pub fn remaining(&mut self, now: f64) -> Remaining {
        if std::mem::take(&mut self.is_new) {
            self.limited_until = now + UNKNOWN_PHASE_LIMIT_SECONDS;
        }
        let phase = self.phase_at(now);
        let retries = self.remaining_calls(now, CallKind::Retry);
        let probes = match phase {
            Some(Phase::Healthy) => u32::MAX,
            _ if now < self.probes_from => 0,
            _ => self.remaining_calls(now, CallKind::Probe),
        };
        let first_calls = if self.limits_first_calls(now) {
            self.remaining_calls(now, CallKind::FirstCall)
        } else {
            u32::MAX
        };
        Remaining {
            probes_only: phase == Some(Phase::Failing),
            reopened: std::mem::take(&mut self.has_reopened),
            retries,
            probes,
            first_calls,
        }
    }

    /// The calls of a kind that may be made now; `u32::MAX` if they have no budget.
    pub fn remaining_calls(&mut self, now: f64, kind: CallKind) -> u32 {
        let Some(holder) = self.holders.get_mut(&kind) else {
            return u32::MAX;
        };
        let has_drawn_call = self
            .drawn_calls
            .get(&kind)
            .is_some_and(|expires_at| now < *expires_at);
        if !has_drawn_call {
            self.drawn_calls.remove(&kind);
        }
        holder.remaining(now) + u32::from(has_drawn_call)
    }

    /// Whether first calls are limited: while the dependency recovers, and for some time after its
    /// phase became unknown.
    fn limits_first_calls(&self, now: f64) -> bool {
        if let Some(phase) = self.phase_at(now) {
            return phase == Phase::Recovering;
        }
        let was_unhealthy_lately = self.phase.is_some_and(|last| {
            last.phase != Phase::Healthy && now < last.expires_at + UNKNOWN_PHASE_LIMIT_SECONDS
        });
        was_unhealthy_lately || now < self.limited_until
    }

    /// Whether calls of a kind are limited now.
    pub fn is_limited(&self, now: f64, kind: CallKind) -> bool {
        let is_limited_now = match kind {
            CallKind::FirstCall => self.limits_first_calls(now),
            // If the dependency is healthy for the others, an instance for which it fails sends
            // fewer probes than it would send calls.
            CallKind::Probe => self.phase_at(now) != Some(Phase::Healthy),
            CallKind::Retry | CallKind::NewConnection => true,
        };
        is_limited_now && self.holders.contains_key(&kind)
    }

    /// Records that a call is needed, whether or not it can be made.
    pub fn record_demand(&mut self, now: f64, kind: CallKind, priority_weight: f64) {
        if !self.is_limited(now, kind) {
            return;
        }
        if let Some(holder) = self.holders.get_mut(&kind) {
            holder.record_demand(priority_weight);
        }
    }

    /// Records that `calls` of the remaining calls were made.
    pub fn record_spent(&mut self, now: f64, kind: CallKind, calls: u32) {
        let has_drawn_call = calls > 0 && self.drawn_calls.remove(&kind).is_some();
        if let Some(holder) = self.holders.get_mut(&kind) {
            holder.record_spent(now, calls - u32::from(has_drawn_call));
        }
    }

    /// Records that a call was drawn from the host's reserve.
    pub fn record_reserve_draw(&mut self, now: f64, kind: CallKind) {
        self.drawn_calls.insert(kind, now + DRAWN_CALL_SECONDS);
        if kind == CallKind::Probe {
            self.probes_from = 0.0;
        }
    }

    /// Records that a call has ended.
    pub fn record_call_end(&mut self, now: f64, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Succeeded => self.succeeded_calls += 1,
            CallOutcome::Failed => self.failed_calls += 1,
        }
        self.last_call_ended_at = Some(now);
    }

    /// Sets whether the dependency fails for this instance.
    pub fn set_failing(&mut self, now: f64, is_failing: bool) {
        if self.is_failing && !is_failing && self.phase_at(now).is_none() {
            self.limited_until = now + UNKNOWN_PHASE_LIMIT_SECONDS;
        }
        self.is_failing = is_failing;
    }

    /// The quota of a kind of calls, in calls per second.
    pub fn granted(&self, now: f64, kind: CallKind) -> Option<u32> {
        let holder = self.holders.get(&kind)?;
        Some(holder.usable(now).calls_per_second)
    }

    /// The request of a round. A dependency counts as called until `call_lifetime_seconds` after
    /// the end of its last call.
    pub fn request(&mut self, now: f64, call_lifetime_seconds: f64) -> DependencyRequest {
        let was_called = self
            .last_call_ended_at
            .is_some_and(|ended_at| now <= ended_at + call_lifetime_seconds);
        DependencyRequest {
            health: DependencyHealth {
                calling_instances: u32::from(was_called || self.is_failing),
                failing_instances: u32::from(self.is_failing),
                succeeded_calls: std::mem::take(&mut self.succeeded_calls),
                failed_calls: std::mem::take(&mut self.failed_calls),
            },
            phase: self.phase.map(|lease| lease.phase),
            requests: self
                .holders
                .iter_mut()
                .map(|(kind, holder)| (*kind, holder.request(now)))
                .collect(),
        }
    }

    /// Handles a response of the host. `phase_expires_at` is when the phase in it expires;
    /// `probe_delay` draws the delay before the first probe under a new quota.
    pub fn handle_grant(
        &mut self,
        now: f64,
        phase_expires_at: f64,
        grant: &DependencyGrant,
        probe_delay: &mut dyn FnMut() -> f64,
    ) {
        if let Some(phase) = grant.phase.filter(|_| now < phase_expires_at) {
            self.set_phase(PhaseLease {
                phase,
                expires_at: phase_expires_at,
            });
        }
        for (kind, grant) in &grant.grants {
            self.handle_kind_grant(now, *kind, grant, probe_delay);
        }
    }

    fn set_phase(&mut self, lease: PhaseLease) {
        let previous = self.phase.replace(lease);
        if lease.phase == Phase::Failing {
            self.has_reopened = false;
        } else {
            self.has_reopened |= previous.is_some_and(|previous| previous.phase == Phase::Failing);
        }
    }

    fn handle_kind_grant(
        &mut self,
        now: f64,
        kind: CallKind,
        grant: &QuotaGrant,
        probe_delay: &mut dyn FnMut() -> f64,
    ) {
        let Some(holder) = self.holders.get_mut(&kind) else {
            return;
        };
        let had_quota = holder.usable(now).calls_per_second > 0;
        holder.handle_grant(grant);
        let has_quota = holder.usable(now).calls_per_second > 0;
        if kind == CallKind::Probe && !had_quota && has_quota {
            // Instances that receive their quotas at the same time must not all send their first
            // probe at the same time.
            self.probes_from = now + probe_delay();
        }
    }
}
