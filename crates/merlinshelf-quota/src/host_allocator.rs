//! A host's role for all budgets: holds quotas granted by the leading agent and allocates them
//! among the host's instances.

use std::collections::BTreeMap;

use crate::allocator::{Allocator, GrantReport};
use crate::budget::{Budgets, CallKind};
use crate::lease::LeaseTerms;
use crate::lease_holder::QuotaLeaseHolder;
use crate::messages::{
    DependencyGrant, DependencyRequest, QuotaGrant, QuotaGrantBatch, QuotaRequest,
    QuotaRequestBatch,
};
use crate::pending_requests::RoundTracker;
use crate::phase::{DependencyHealth, HealthReports, Phase, PhaseLease};

/// The host's quota of one budget, with its allocator for the instances.
#[derive(Clone, Debug)]
struct HostQuota {
    holder: QuotaLeaseHolder,
    allocator: Allocator,
}

impl HostQuota {
    fn new(now: f64, incarnation: u64, terms: LeaseTerms) -> HostQuota {
        HostQuota {
            holder: QuotaLeaseHolder::new(incarnation, terms),
            allocator: Allocator::new(now, terms, 0, incarnation),
        }
    }

    fn grant(&mut self, now: f64, instance: &str, request: &QuotaRequest) -> QuotaGrant {
        let usable = self.holder.usable(now);
        self.allocator.set_budget(usable.calls_per_second);
        self.allocator
            .handle_request(now, instance, request, usable.expires_at)
    }

    fn request(&mut self, now: f64, calls_spent: u32) -> QuotaRequest {
        let demand = self.allocator.total_demand();
        let outstanding = self.allocator.outstanding(now);
        QuotaRequest {
            calls_spent,
            ..self.holder.request_for(now, demand, outstanding)
        }
    }
}

#[derive(Clone, Debug, Default)]
struct DependencyState {
    quotas: BTreeMap<CallKind, HostQuota>,
    phase: Option<PhaseLease>,
    /// By instance.
    reports: HealthReports,
    /// Calls that have ended since the last request.
    succeeded_calls: u32,
    failed_calls: u32,
    /// Spent calls that instances reported since the last request.
    spent_calls: BTreeMap<CallKind, u32>,
}

impl DependencyState {
    fn phase_at(&self, now: f64) -> Option<Phase> {
        self.phase.and_then(|phase| phase.phase_at(now))
    }

    /// Records an instance's request; returns whether a call succeeded although the dependency is
    /// known to fail.
    fn record_request(&mut self, now: f64, instance: &str, request: &DependencyRequest) -> bool {
        if let (None, Some(phase)) = (self.phase, request.phase) {
            // The phase was received by an earlier process of this agent. It is passed on to the
            // leader and counts as expired here.
            self.phase = Some(PhaseLease {
                phase,
                expires_at: f64::NEG_INFINITY,
            });
        }
        let health = request.health;
        self.succeeded_calls = self.succeeded_calls.saturating_add(health.succeeded_calls);
        self.failed_calls = self.failed_calls.saturating_add(health.failed_calls);
        self.reports.record(now, instance, health);
        for (kind, request) in &request.requests {
            *self.spent_calls.entry(*kind).or_default() += request.calls_spent;
        }
        health.succeeded_calls > 0 && self.phase_at(now) == Some(Phase::Failing)
    }

    fn grant(&mut self, now: f64, instance: &str, request: &DependencyRequest) -> DependencyGrant {
        let mut grants = BTreeMap::new();
        for (kind, request) in &request.requests {
            if let Some(quota) = self.quotas.get_mut(kind) {
                grants.insert(*kind, quota.grant(now, instance, request));
            }
        }
        DependencyGrant {
            phase: self.phase_at(now),
            grants,
        }
    }

    fn request(&mut self, now: f64, report_lifetime_seconds: f64) -> DependencyRequest {
        self.reports.discard_older(now, report_lifetime_seconds);
        let health = DependencyHealth {
            succeeded_calls: std::mem::take(&mut self.succeeded_calls),
            failed_calls: std::mem::take(&mut self.failed_calls),
            ..self.reports.sum()
        };
        let spent_calls = std::mem::take(&mut self.spent_calls);
        let mut requests = BTreeMap::new();
        for (kind, quota) in &mut self.quotas {
            let calls_spent = spent_calls.get(kind).copied().unwrap_or(0);
            requests.insert(*kind, quota.request(now, calls_spent));
        }
        DependencyRequest {
            health,
            phase: self.phase.map(|lease| lease.phase),
            requests,
        }
    }

    /// Handles the leading agent's grant; returns whether the phase has changed.
    fn handle_grant(&mut self, now: f64, phase_expires_at: f64, grant: &DependencyGrant) -> bool {
        for (kind, grant) in &grant.grants {
            if let Some(quota) = self.quotas.get_mut(kind) {
                quota.holder.handle_grant(grant);
            }
        }
        let Some(phase) = grant.phase.filter(|_| now < phase_expires_at) else {
            return false;
        };
        let previous = self.phase.replace(PhaseLease {
            phase,
            expires_at: phase_expires_at,
        });
        previous.is_none_or(|previous| previous.phase != phase)
    }
}

/// The state machine of one agent. `now` is in seconds of its own monotonic clock.
#[derive(Clone, Debug)]
pub struct HostAllocator {
    incarnation: u64,
    terms: LeaseTerms,
    zone: String,
    rounds: RoundTracker,
    dependencies: BTreeMap<String, DependencyState>,
    /// The last unanswered request of each instance.
    unanswered_requests: BTreeMap<String, QuotaRequestBatch>,
}

impl HostAllocator {
    /// Creates an allocator without quotas. `incarnation` identifies this process among all
    /// processes of the host's agent.
    pub fn new(incarnation: u64, terms: LeaseTerms, zone: &str) -> HostAllocator {
        HostAllocator {
            incarnation,
            terms,
            zone: zone.to_owned(),
            rounds: RoundTracker::default(),
            dependencies: BTreeMap::new(),
            unanswered_requests: BTreeMap::new(),
        }
    }

    /// Sets which calls are limited. Quotas for calls that were limited before stay valid.
    pub fn set_budgets(&mut self, now: f64, budgets: &Budgets) {
        self.dependencies
            .retain(|name, _| budgets.contains_key(name));
        for (name, kinds) in budgets {
            let dependency = self.dependencies.entry(name.clone()).or_default();
            dependency.quotas.retain(|kind, _| kinds.contains_key(kind));
            for kind in kinds.keys() {
                dependency
                    .quotas
                    .entry(*kind)
                    .or_insert_with(|| HostQuota::new(now, self.incarnation, self.terms));
            }
        }
    }

    /// Handles an instance's request for quotas. Returns whether the leading agent should be
    /// notified at once, because a call succeeded although the dependency is known to fail.
    pub fn handle_request(&mut self, now: f64, instance: &str, batch: QuotaRequestBatch) -> bool {
        let mut is_urgent = false;
        for (name, request) in &batch.dependencies {
            if let Some(dependency) = self.dependencies.get_mut(name) {
                is_urgent |= dependency.record_request(now, instance, request);
            }
        }
        self.unanswered_requests.insert(instance.to_owned(), batch);
        is_urgent
    }

    /// The response to an instance's last request, for the next heartbeat to it; `None` if there is
    /// no unanswered request.
    pub fn take_grants(&mut self, now: f64, instance: &str) -> Option<QuotaGrantBatch> {
        let batch = self.unanswered_requests.remove(instance)?;
        let mut grants = BTreeMap::new();
        for (name, request) in &batch.dependencies {
            if let Some(dependency) = self.dependencies.get_mut(name) {
                grants.insert(name.clone(), dependency.grant(now, instance, request));
            }
        }
        Some(QuotaGrantBatch {
            incarnation: batch.incarnation,
            request_id: batch.request_id,
            dependencies: grants,
        })
    }

    /// Begins a round; returns its request to the leading agent.
    pub fn request(&mut self, now: f64) -> QuotaRequestBatch {
        let report_lifetime_seconds = self.terms.lease_seconds;
        let requests = self
            .dependencies
            .iter_mut()
            .map(|(name, dependency)| {
                let request = dependency.request(now, report_lifetime_seconds);
                (name.clone(), request)
            })
            .collect();
        QuotaRequestBatch {
            incarnation: self.incarnation,
            request_id: self.rounds.begin(now),
            zone: self.zone.clone(),
            dependencies: requests,
        }
    }

    /// Handles the leading agent's response, which may be arbitrarily late. Returns whether
    /// instances should be notified at once, because a phase has changed.
    pub fn handle_grants(&mut self, now: f64, batch: &QuotaGrantBatch) -> bool {
        if batch.incarnation != self.incarnation {
            return false;
        }
        let Some(requested_at) = self.rounds.complete(batch.request_id) else {
            return false;
        };
        let phase_expires_at = self
            .terms
            .holder_expiry(requested_at, self.terms.lease_seconds);
        let mut has_changed = false;
        for (name, grant) in &batch.dependencies {
            if let Some(dependency) = self.dependencies.get_mut(name) {
                has_changed |= dependency.handle_grant(now, phase_expires_at, grant);
            }
        }
        has_changed
    }

    /// The phase of a dependency; `None` if it is not known here.
    pub fn phase(&self, now: f64, dependency: &str) -> Option<Phase> {
        self.dependencies.get(dependency)?.phase_at(now)
    }

    /// Whether any dependency is known to be unhealthy, which makes messages urgent.
    pub fn has_unhealthy_dependency(&self, now: f64) -> bool {
        self.dependencies.values().any(|dependency| {
            dependency
                .phase_at(now)
                .is_some_and(|phase| phase != Phase::Healthy)
        })
    }

    /// The host's quota of a budget and the grants to its instances, for reports.
    pub fn granted(&self, now: f64, dependency: &str, kind: CallKind) -> Option<GrantReport> {
        let quota = self.dependencies.get(dependency)?.quotas.get(&kind)?;
        Some(GrantReport {
            available: quota.holder.usable(now).calls_per_second,
            outstanding: quota.allocator.outstanding_by_holder(now),
        })
    }
}
