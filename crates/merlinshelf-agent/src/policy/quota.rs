//! The fleet's budgets on this host. The host's lease request carries the quota requests of its
//! instances to the leader; the lease carries the leader's grants to the host, and heartbeats carry
//! them to the instances.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use merlinshelf_fleet::fleet_spec::ConsensusConfig;
use merlinshelf_policy::HostLeaseRequest;
use merlinshelf_quota::budget::ReserveError;
use merlinshelf_quota::{
    Budgets, FleetAllocator, HostAllocator, LeaseTerms, QuotaGrantBatch, QuotaRequestBatch, budget,
};
use serde_json::{Value, json};

use super::PolicyAgent;

/// Maximum number of quota requests of one host whose leases are not granted yet.
const MAX_DEFERRED_REQUESTS: usize = 16;

/// A quota request that waits until its lease request is granted.
struct DeferredRequest {
    request_id: u64,
    quota: QuotaRequestBatch,
}

/// The leader's allocator and the term in which it leads.
struct LeaderQuota {
    allocator: FleetAllocator,
    term: u64,
}

/// The budgets' state on this host.
pub(super) struct HostQuota {
    lease: LeaseTerms,
    pub allocator: HostAllocator,
    /// Present while this agent leads.
    leader: Option<LeaderQuota>,
    /// By host.
    deferred_requests: BTreeMap<String, VecDeque<DeferredRequest>>,
    budgets: Budgets,
}

impl HostQuota {
    /// Has no budgets until the first [`PolicyAgent::update_budgets`].
    pub fn new(config: &ConsensusConfig, incarnation: u64) -> HostQuota {
        let lease = LeaseTerms {
            lease_seconds: config.lease_ms as f64 / 1e3,
            drift: config.drift,
        };
        HostQuota {
            lease,
            allocator: HostAllocator::new(incarnation, lease, &config.zone),
            leader: None,
            deferred_requests: BTreeMap::new(),
            budgets: Budgets::new(),
        }
    }

    /// Handles a change of leadership: `term` is the term in which this agent leads, if it does.
    pub fn leadership_changed(&mut self, term: Option<u64>) {
        self.deferred_requests.clear();
        self.leader = term.map(|term| LeaderQuota {
            allocator: FleetAllocator::elected(self.lease, term),
            term,
        });
    }

    /// This host's quota request; `None` without budgets.
    pub fn request(&mut self, now: f64) -> Option<QuotaRequestBatch> {
        (!self.budgets.is_empty()).then(|| self.allocator.request(now))
    }

    /// Moves the quota request out of a lease request until the lease is granted: only then is it
    /// certain that this agent leads, and that no other leader grants the same quota.
    pub fn defer_request(&mut self, request: &mut HostLeaseRequest) {
        let Some(quota) = request.quota_requests.take() else {
            return;
        };
        let deferred = self
            .deferred_requests
            .entry(request.host.clone())
            .or_default();
        deferred.push_back(DeferredRequest {
            request_id: request.request_id,
            quota,
        });
        if deferred.len() > MAX_DEFERRED_REQUESTS {
            deferred.pop_front();
        }
    }

    /// Grants the quota request that arrived with the lease request that is being granted.
    pub fn grant_deferred_request(
        &mut self,
        now: f64,
        host: &str,
        request_id: u64,
    ) -> Option<QuotaGrantBatch> {
        let deferred = self.deferred_requests.get_mut(host)?;
        let position = deferred
            .iter()
            .position(|request| request.request_id == request_id)?;
        // Earlier requests are superseded.
        let request = deferred.drain(..=position).next_back()?;
        let leader = self.leader.as_mut()?;
        Some(leader.allocator.handle_request(now, host, &request.quota))
    }

    /// Reports the quota of all hosts, if this agent leads.
    pub fn fleet_report(&self, now: f64) -> Option<Value> {
        let LeaderQuota { allocator, term } = self.leader.as_ref()?;
        let budgets: Vec<Value> = allocator
            .budgets()
            .map(|budget| {
                let grants = allocator.granted(now, budget.dependency, budget.kind);
                json!({
                    "dependency": budget.dependency,
                    "kind": budget.kind,
                    "budget": budget.calls_per_second,
                    "aside_each": budget.reserve_per_host,
                    "shared": grants.available,
                    "granted": grants.outstanding.values().sum::<u32>(),
                    "to": grants.outstanding,
                    "spent_s": allocator.spent_per_second(now, budget.dependency, budget.kind),
                    "fares": allocator.phases(budget.dependency),
                })
            })
            .collect();
        Some(json!({ "term": term, "budgets": budgets }))
    }

    /// Reports the quota granted to this host, and by it to its instances.
    fn host_report(&self, now: f64) -> Vec<Value> {
        let mut report = Vec::new();
        for (dependency, kinds) in &self.budgets {
            for kind in kinds.keys() {
                if let Some(grants) = self.allocator.granted(now, dependency, *kind) {
                    report.push(json!({
                        "dependency": dependency,
                        "kind": kind,
                        "held": grants.available,
                        "to": grants.outstanding,
                        "fares": self.allocator.phase(now, dependency),
                    }));
                }
            }
        }
        report
    }
}

impl PolicyAgent {
    /// The number of hosts with a reserve: all members, and all agents in the file.
    fn host_count(&self) -> u32 {
        let members = self.node.membership().members.into_values();
        let hosts: BTreeSet<String> = members
            .map(|member| member.name)
            .chain(self.config.agents.keys().cloned())
            .collect();
        hosts.len() as u32
    }

    /// Updates the budgets to those of the current policy.
    pub(super) fn update_budgets(&mut self, now: f64) {
        let state = self.node.state();
        let budgets = if state.current_version > 0 {
            &state.policy.budgets
        } else {
            &self.config.base.budgets
        };
        if *budgets != self.quota.budgets {
            self.quota.budgets = budgets.clone();
            self.quota.allocator.set_budgets(now, budgets);
        }
        if self.quota.leader.is_some() {
            let host_count = self.host_count();
            if let Some(leader) = &mut self.quota.leader {
                let reserve = &self.config.base.budgets;
                leader
                    .allocator
                    .set_budgets(&self.quota.budgets, reserve, host_count);
            }
        }
    }

    /// Checks that the budgets cover the reserves of all hosts.
    pub(super) fn validate_budgets(&self, budgets: &Budgets) -> Result<(), ReserveError> {
        let reserve = &self.config.base.budgets;
        budget::validate_against_reserve(budgets, reserve, Some(self.host_count()))
    }

    /// Reports all budgets to operators: from this agent if it leads, else from the leader's last
    /// status.
    pub(super) fn budgets_report(&self, now: f64) -> Value {
        let leader = self.node.leader();
        let leader_status = || {
            let peer = self.peer_statuses.get(leader?)?;
            Some((now - peer.received_at, peer.status["budgets"].clone()))
        };
        let own = self.quota.fleet_report(now).map(|report| (0.0, report));
        let (age_seconds, report) = own.or_else(leader_status).unwrap_or((0.0, Value::Null));
        json!({
            "agent": self.config.name,
            "leader": leader,
            "policy": self.node.state().current_version,
            "hosts": self.host_count(),
            "age_s": (age_seconds * 10.0).round() / 10.0,
            "budgets": report["budgets"],
            "here": self.quota.host_report(now),
        })
    }
}
