//! An instance's quota for one dependency: what may be spent on it, by its phase and the grants of
//! the host.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::CallKind;
use crate::lease::LeaseTerms;
use crate::lease_holder::QuotaLeaseHolder;
use crate::messages::{DependencyGrant, DependencyRequest, QuotaGrant};
use crate::phase::{DependencyHealth, Phase, PhaseLease};
use crate::quota_client::{CallOutcome, Remaining};

/// First calls stay limited for this long after the dependency came back, where its phase is not
/// known, seconds.
const UNKNOWN_PHASE_LIMIT_SECONDS: f64 = 5.0;
/// A call that was drawn from the host's reserve must be made within this, seconds: it counts from
/// when it was drawn, and the time that calls take to arrive may vary by more.
const DRAWN_CALL_SECONDS: f64 = 0.02;

/// Times are seconds of the instance's clock. It is part of what is handed over in an upgrade, so
/// the names that older versions use are preserved by `#[serde(rename)]`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DependencyQuota {
    holders: BTreeMap<CallKind, QuotaLeaseHolder>,
    phase: Option<PhaseLease>,
    /// It has stopped failing for all, which was not reported yet.
    #[serde(rename = "opens")]
    has_reopened: bool,
    /// Whether it fails for this instance.
    #[serde(rename = "fails")]
    is_failing: bool,
    /// First calls are limited until then though the phase is not known.
    #[serde(rename = "alone_until")]
    limited_until: f64,
    /// No caller has asked for its remaining calls yet.
    #[serde(rename = "new")]
    is_new: bool,
    #[serde(rename = "good")]
    succeeded_calls: u32,
    #[serde(rename = "bad")]
    failed_calls: u32,
    #[serde(rename = "ended_at")]
    last_call_ended_at: Option<f64>,
    /// The first probe of a new quota is sent no sooner.
    probes_from: f64,
    /// When calls that were drawn from the host's reserve expire.
    #[serde(rename = "drawn")]
    drawn_calls: BTreeMap<CallKind, f64>,
}

impl DependencyQuota {
    /// The quota of a dependency that was not limited before: nothing is known of it, so it counts
    /// as one that recovers.
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

    /// The same without any grant or drawn call, for a process that has handed over.
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

    /// The phase, as far as it is known now.
    pub fn phase_at(&self, now: f64) -> Option<Phase> {
        self.phase.and_then(|phase| phase.phase_at(now))
    }

    /// What may be spent now.
    pub fn remaining(&mut self, now: f64) -> Remaining {
        if std::mem::take(&mut self.is_new) {
            self.limited_until = now + UNKNOWN_PHASE_LIMIT_SECONDS;
        }
        let phase = self.phase_at(now);
        let retries = self.remaining_of(now, CallKind::Retry);
        let probes = match phase {
            Some(Phase::Healthy) => u32::MAX,
            _ if now < self.probes_from => 0,
            _ => self.remaining_of(now, CallKind::Probe),
        };
        let first_calls = if self.limits_first_calls(now) {
            self.remaining_of(now, CallKind::FirstCall)
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

    /// Calls of a kind that may be made now; `u32::MAX` where they have no budget.
    pub fn remaining_of(&mut self, now: f64, kind: CallKind) -> u32 {
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

    /// First calls are limited while the dependency recovers, and for a while where its phase is
    /// not known any more.
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
            // Where it is healthy for all, the probes of one instance for which it fails are fewer
            // than its calls were.
            CallKind::Probe => self.phase_at(now) != Some(Phase::Healthy),
            CallKind::Retry | CallKind::NewConnection => true,
        };
        is_limited_now && self.holders.contains_key(&kind)
    }

    /// A call is needed, whether it can be made or not.
    pub fn record_demand(&mut self, now: f64, kind: CallKind, priority_weight: f64) {
        if !self.is_limited(now, kind) {
            return;
        }
        if let Some(holder) = self.holders.get_mut(&kind) {
            holder.record_demand(priority_weight);
        }
    }

    /// So many of the remaining calls were made.
    pub fn record_spent(&mut self, now: f64, kind: CallKind, calls: u32) {
        let has_drawn_call = calls > 0 && self.drawn_calls.remove(&kind).is_some();
        if let Some(holder) = self.holders.get_mut(&kind) {
            holder.record_spent(now, calls - u32::from(has_drawn_call));
        }
    }

    /// A call was drawn from the host's reserve.
    pub fn record_reserve_draw(&mut self, now: f64, kind: CallKind) {
        self.drawn_calls.insert(kind, now + DRAWN_CALL_SECONDS);
        if kind == CallKind::Probe {
            self.probes_from = 0.0;
        }
    }

    /// A call has ended.
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

    /// The request of a round. A dependency counts as called for this long after a call has ended.
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

    /// Handles a response of the host. `phase_expires_at` is until when its phase is valid;
    /// `probe_delay` draws the delay of the first probe of a new quota.
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
            // Instances that get their quota at the same moment do not all send their probe at the
            // same moment.
            self.probes_from = now + probe_delay();
        }
    }
}
