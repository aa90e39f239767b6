//! The leading agent's role for all budgets: allocates them among the hosts and decides the phase
//! of each dependency.

use std::collections::{BTreeMap, VecDeque};

use crate::allocator::{Allocator, GrantReport};
use crate::budget::{Budgets, CallKind, find_budget};
use crate::lease::LeaseTerms;
use crate::messages::{
    DependencyGrant, DependencyRequest, QuotaGrant, QuotaGrantBatch, QuotaRequest,
    QuotaRequestBatch,
};
use crate::phase::Phase;
use crate::recovery::Recovery;

/// The window over which the reported rate of spent calls is averaged, seconds.
const SPENDING_WINDOW_SECONDS: f64 = 5.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BudgetKey {
    dependency: String,
    kind: CallKind,
}

impl BudgetKey {
    fn new(dependency: &str, kind: CallKind) -> BudgetKey {
        BudgetKey {
            dependency: dependency.to_owned(),
            kind,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneKey {
    dependency: String,
    zone: String,
}

/// A host's report of spent calls.
#[derive(Clone, Copy, Debug)]
struct SpentCalls {
    reported_at: f64,
    calls: u32,
}

/// A budget with the reserve of each host, for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetReport<'a> {
    /// The dependency's name.
    pub dependency: &'a str,
    /// The kind of calls.
    pub kind: CallKind,
    /// The budget of the fleet.
    pub calls_per_second: u32,
    /// The reserve of each host, in calls per second.
    pub reserve_per_host: u32,
}

/// The state machine. `now` is in seconds of the agent's own monotonic clock.
#[derive(Clone, Debug)]
pub struct FleetAllocator {
    terms: LeaseTerms,
    id: u64,
    budgets: Budgets,
    /// The reserve of each host.
    reserve: Budgets,
    host_count: u32,
    allocators: BTreeMap<BudgetKey, Allocator>,
    recoveries: BTreeMap<ZoneKey, Recovery>,
    spent_calls: BTreeMap<BudgetKey, VecDeque<SpentCalls>>,
}

impl FleetAllocator {
    /// Creates the allocator of a newly elected agent. `id` identifies it among all elected agents,
    /// as a term does.
    pub fn elected(terms: LeaseTerms, id: u64) -> FleetAllocator {
        FleetAllocator {
            terms,
            id,
            budgets: Budgets::new(),
            reserve: Budgets::new(),
            host_count: 0,
            allocators: BTreeMap::new(),
            recoveries: BTreeMap::new(),
            spent_calls: BTreeMap::new(),
        }
    }

    /// Sets the budgets of the fleet, the reserve that each host has out of them, and the number of
    /// hosts. Reductions take effect as leases expire.
    pub fn set_budgets(&mut self, budgets: &Budgets, reserve: &Budgets, host_count: u32) {
        if self.budgets == *budgets && self.reserve == *reserve && self.host_count == host_count {
            return;
        }
        self.budgets = budgets.clone();
        self.reserve = reserve.clone();
        self.host_count = host_count;
        // Calls to a dependency whose budget was removed are not limited. If the budget is restored
        // later, its new allocator therefore takes over as from an earlier allocator.
        self.allocators
            .retain(|key, _| find_budget(budgets, &key.dependency, key.kind).is_some());
        self.recoveries
            .retain(|key, _| budgets.contains_key(&key.dependency));
    }

    /// Handles a host's request for quotas. The response may be sent only after it is confirmed
    /// that this agent still leads.
    pub fn handle_request(
        &mut self,
        now: f64,
        host: &str,
        batch: &QuotaRequestBatch,
    ) -> QuotaGrantBatch {
        let limited: Vec<(&String, &DependencyRequest)> = batch
            .dependencies
            .iter()
            .filter(|(dependency, _)| self.budgets.contains_key(*dependency))
            .collect();
        for (dependency, request) in &limited {
            self.record_health(now, host, &batch.zone, dependency, request);
        }
        self.advance(now);
        let grants = limited
            .into_iter()
            .map(|(dependency, request)| {
                let grant = self.grant(now, host, &batch.zone, dependency, request);
                (dependency.clone(), grant)
            })
            .collect();
        QuotaGrantBatch {
            incarnation: batch.incarnation,
            request_id: batch.request_id,
            dependencies: grants,
        }
    }

    fn record_health(
        &mut self,
        now: f64,
        host: &str,
        zone: &str,
        dependency: &str,
        request: &DependencyRequest,
    ) {
        let first_call_budget = find_budget(&self.budgets, dependency, CallKind::FirstCall);
        let lease_seconds = self.terms.lease_seconds;
        let key = ZoneKey {
            dependency: dependency.to_owned(),
            zone: zone.to_owned(),
        };
        let recovery = self
            .recoveries
            .entry(key)
            .or_insert_with(|| Recovery::new(now, lease_seconds, first_call_budget));
        if let Some(phase) = request.phase {
            recovery.resume_from(now, phase, first_call_budget);
        }
        recovery.record_health(now, host, request.health);
    }

    fn advance(&mut self, now: f64) {
        for (key, recovery) in &mut self.recoveries {
            let first_call_budget =
                find_budget(&self.budgets, &key.dependency, CallKind::FirstCall);
            recovery.advance(now, first_call_budget);
        }
    }

    fn grant(
        &mut self,
        now: f64,
        host: &str,
        zone: &str,
        dependency: &str,
        request: &DependencyRequest,
    ) -> DependencyGrant {
        let key = ZoneKey {
            dependency: dependency.to_owned(),
            zone: zone.to_owned(),
        };
        let phase = self.recoveries.get(&key).map(Recovery::phase);
        let mut grants = BTreeMap::new();
        for (kind, request) in &request.requests {
            if find_budget(&self.budgets, dependency, *kind).is_some() {
                let grant = self.grant_kind(now, host, dependency, *kind, request);
                grants.insert(*kind, grant);
            }
        }
        DependencyGrant { phase, grants }
    }

    fn grant_kind(
        &mut self,
        now: f64,
        host: &str,
        dependency: &str,
        kind: CallKind,
        request: &QuotaRequest,
    ) -> QuotaGrant {
        let key = BudgetKey::new(dependency, kind);
        self.record_spent(now, &key, request.calls_spent);
        let available = self.available(dependency, kind);
        // An earlier leader, or this one under an earlier policy, may have issued grants for a kind
        // that has no allocator yet.
        let allocator = self
            .allocators
            .entry(key)
            .or_insert_with(|| Allocator::take_over(now, self.terms, available, self.id));
        allocator.set_budget(available);
        allocator.handle_request(now, host, request, None)
    }

    fn record_spent(&mut self, now: f64, key: &BudgetKey, calls: u32) {
        let spent = self.spent_calls.entry(key.clone()).or_default();
        spent.push_back(SpentCalls {
            reported_at: now,
            calls,
        });
        while spent
            .front()
            .is_some_and(|oldest| oldest.reported_at < now - SPENDING_WINDOW_SECONDS)
        {
            spent.pop_front();
        }
    }

    /// The part of a budget that can be granted now, in calls per second: the part that is not
    /// reserved, and for first calls at most the sum of the limits of the zones in which the
    /// dependency recovers.
    fn available(&self, dependency: &str, kind: CallKind) -> u32 {
        let budget = find_budget(&self.budgets, dependency, kind).unwrap_or(0);
        let reserve_per_host = find_budget(&self.reserve, dependency, kind).unwrap_or(0);
        let unreserved = budget.saturating_sub(reserve_per_host.saturating_mul(self.host_count));
        if kind != CallKind::FirstCall {
            return unreserved;
        }
        let recovering = self
            .recoveries
            .iter()
            .filter(|(key, _)| key.dependency == dependency)
            .map(|(_, recovery)| recovery.calls_per_second())
            .fold(0, u32::saturating_add);
        unreserved.min(recovering)
    }

    /// The phase of a dependency by zone, for reports.
    pub fn phases(&self, dependency: &str) -> BTreeMap<String, Phase> {
        self.recoveries
            .iter()
            .filter(|(key, _)| key.dependency == dependency)
            .map(|(key, recovery)| (key.zone.clone(), recovery.phase()))
            .collect()
    }

    /// The recent rate of calls of a kind made under quotas, without those drawn from reserves, for
    /// reports.
    pub fn spent_per_second(&self, now: f64, dependency: &str, kind: CallKind) -> f64 {
        let calls: u32 = self
            .spent_calls
            .get(&BudgetKey::new(dependency, kind))
            .into_iter()
            .flatten()
            .filter(|spent| spent.reported_at > now - SPENDING_WINDOW_SECONDS)
            .map(|spent| spent.calls)
            .sum();
        f64::from(calls) / SPENDING_WINDOW_SECONDS
    }

    /// All budgets, for reports.
    pub fn budgets(&self) -> impl Iterator<Item = BudgetReport<'_>> {
        self.budgets.iter().flat_map(|(dependency, kinds)| {
            kinds.iter().map(|(kind, calls_per_second)| BudgetReport {
                dependency,
                kind: *kind,
                calls_per_second: *calls_per_second,
                reserve_per_host: find_budget(&self.reserve, dependency, *kind).unwrap_or(0),
            })
        })
    }

    /// The grants to hosts, for reports.
    pub fn granted(&self, now: f64, dependency: &str, kind: CallKind) -> GrantReport {
        let allocator = self.allocators.get(&BudgetKey::new(dependency, kind));
        GrantReport {
            available: self.available(dependency, kind),
            outstanding: allocator
                .map(|allocator| allocator.outstanding_by_holder(now))
                .unwrap_or_default(),
        }
    }
}
