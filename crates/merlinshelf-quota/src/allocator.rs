//! The allocator of one budget: the sum of all grants that may still have an effect never exceeds
//! the budget.

use std::collections::BTreeMap;

use crate::allocation::{Claim, allocate};
use crate::lease::LeaseTerms;
use crate::messages::{Demand, QuotaGrant, QuotaRequest};

/// The weight of a claim that rejected no calls.
const MIN_WEIGHT: f64 = 1e-9;

/// A grant with the time at which it stops affecting the rate of arrivals. Times are seconds of the
/// allocator's clock.
#[derive(Clone, Copy, Debug)]
struct IssuedGrant {
    grant_number: u64,
    calls_per_second: u32,
    effect_ends_at: f64,
}

/// Identifies a process of a holder: for some time it and its successor may both be spending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderId {
    name: String,
    incarnation: u64,
}

/// The allocator's state for one holder.
#[derive(Clone, Debug, Default)]
struct HolderState {
    grants: Vec<IssuedGrant>,
    demand: Demand,
    requested_at: f64,
    /// When its last turn began; used if more holders need calls than the budget has.
    turn_started_at: Option<f64>,
}

impl HolderState {
    /// The maximum that it may be spending, in calls per second.
    fn outstanding(&self, now: f64) -> u32 {
        self.grants
            .iter()
            .filter(|grant| grant.effect_ends_at > now)
            .map(|grant| grant.calls_per_second)
            .max()
            .unwrap_or(0)
    }

    fn needs_calls(&self) -> bool {
        self.demand.calls_needed > 0
    }

    /// Records that the holder complies with this grant: the quota of earlier grants is no longer
    /// spent, and has no effect after `arrivals_end_at`.
    fn acknowledge(&mut self, now: f64, grant_number: u64, arrivals_end_at: f64) {
        for grant in &mut self.grants {
            if grant.grant_number < grant_number {
                grant.effect_ends_at = grant.effect_ends_at.min(arrivals_end_at);
            }
        }
        self.grants.retain(|grant| grant.effect_ends_at > now);
    }

    fn claim(&self) -> Claim {
        Claim {
            calls_needed: self.demand.calls_needed,
            weight: self.demand.priority_weight.max(MIN_WEIGHT),
            allocated: 0,
        }
    }
}

/// The grants out of one budget at one time, for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReport {
    /// The amount that can be granted, in calls per second.
    pub available: u32,
    /// The maximum that each holder may be spending, in calls per second.
    pub outstanding: BTreeMap<String, u32>,
}

/// How the part of a budget that no holder needs is distributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SparePolicy {
    /// All of it is spread over all holders.
    SpreadAll,
    /// Half of it is spread over all holders; the rest stays available for the next demand.
    SpreadHalf,
}

/// The state machine. `now` is in seconds of the allocator's own monotonic clock.
#[derive(Clone, Debug)]
pub struct Allocator {
    terms: LeaseTerms,
    budget: u32,
    /// Nothing is granted before this time, since grants of an earlier allocator may still have an
    /// effect.
    grants_from: f64,
    id: u64,
    spare_policy: SparePolicy,
    last_grant_number: u64,
    holders: BTreeMap<HolderId, HolderState>,
}

impl Allocator {
    /// Creates an allocator that takes over at `now` from another one, which may have issued grants
    /// until then. `id` identifies the new one among all allocators of the budget.
    pub fn take_over(now: f64, terms: LeaseTerms, budget: u32, id: u64) -> Allocator {
        Allocator {
            terms,
            budget,
            grants_from: terms.effect_ends_at(now, terms.lease_seconds),
            id,
            spare_policy: SparePolicy::SpreadHalf,
            last_grant_number: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Creates the first allocator of a budget, or one whose predecessor granted out of a different
    /// budget.
    pub fn new(now: f64, terms: LeaseTerms, budget: u32, id: u64) -> Allocator {
        Allocator {
            grants_from: now,
            spare_policy: SparePolicy::SpreadAll,
            ..Allocator::take_over(now, terms, budget, id)
        }
    }

    /// Sets the budget in calls per second. A reduction takes effect as leases expire.
    pub fn set_budget(&mut self, budget: u32) {
        self.budget = budget;
    }

    /// The id of this allocator among all allocators of the budget.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The budget in calls per second.
    pub fn budget(&self) -> u32 {
        self.budget
    }

    /// The maximum that all holders together may be spending, in calls per second.
    pub fn outstanding(&self, now: f64) -> u32 {
        self.holders
            .values()
            .map(|holder| holder.outstanding(now))
            .sum()
    }

    /// The maximum that each holder may be spending, in calls per second, summed over its
    /// incarnations.
    pub fn outstanding_by_holder(&self, now: f64) -> BTreeMap<String, u32> {
        let mut outstanding = BTreeMap::new();
        for (id, holder) in &self.holders {
            *outstanding.entry(id.name.clone()).or_default() += holder.outstanding(now);
        }
        outstanding
    }

    /// The demand of all holders together, which a host requests for its instances.
    pub fn total_demand(&self) -> Demand {
        let demands = self.holders.values().map(|holder| holder.demand);
        let calls_needed = demands
            .clone()
            .fold(0_u32, |sum, demand| sum.saturating_add(demand.calls_needed));
        let weights: Vec<f64> = demands
            .map(|demand| demand.priority_weight)
            .filter(|weight| *weight > 0.0)
            .collect();
        Demand {
            calls_needed,
            priority_weight: weights.iter().sum::<f64>() / weights.len().max(1) as f64,
        }
    }

    /// Handles a holder's request; returns its grant. `budget_expires_at` is when the budget itself
    /// expires, if it is leased.
    pub fn handle_request(
        &mut self,
        now: f64,
        name: &str,
        request: &QuotaRequest,
        budget_expires_at: Option<f64>,
    ) -> QuotaGrant {
        self.discard_silent_holders(now);
        let id = HolderId {
            name: name.to_owned(),
            incarnation: request.incarnation,
        };
        self.record_request(now, &id, request);
        let calls_per_second = self.target(now, &id).min(self.available_to(now, &id));
        let lease_seconds = self.terms.lease_seconds;
        let duration_seconds = budget_expires_at.map_or(lease_seconds, |expires_at| {
            (expires_at - now).clamp(0.0, lease_seconds)
        });
        self.last_grant_number += 1;
        self.record_grant(now, &id, calls_per_second, duration_seconds);
        QuotaGrant {
            incarnation: request.incarnation,
            request_id: request.request_id,
            allocator_id: self.id,
            grant_number: self.last_grant_number,
            calls_per_second,
            duration_seconds,
        }
    }

    fn discard_silent_holders(&mut self, now: f64) {
        let silence_seconds = self.terms.effect_ends_at(0.0, self.terms.lease_seconds);
        self.holders.retain(|_, holder| {
            holder.outstanding(now) > 0 || now < holder.requested_at + silence_seconds
        });
    }

    fn record_request(&mut self, now: f64, id: &HolderId, request: &QuotaRequest) {
        // An incarnation that was replaced by another one has no more demand.
        for (other, holder) in &mut self.holders {
            if other.name == id.name {
                holder.demand.calls_needed = 0;
            }
        }
        let holder = self.holders.entry(id.clone()).or_default();
        holder.demand = Demand {
            calls_needed: request.calls_needed,
            priority_weight: request.priority_weight,
        };
        holder.requested_at = now;
        let acknowledged = request.acknowledged_grant;
        let grant_number = if acknowledged.allocator_id == self.id {
            acknowledged.grant_number
        } else {
            0
        };
        holder.acknowledge(now, grant_number, self.terms.arrivals_end_at(now));
    }

    /// The part of the budget that is not outstanding to other holders.
    fn available_to(&self, now: f64, id: &HolderId) -> u32 {
        if now < self.grants_from {
            return 0;
        }
        let outstanding: u32 = self
            .holders
            .iter()
            .filter(|(other, _)| *other != id)
            .map(|(_, holder)| holder.outstanding(now))
            .sum();
        self.budget.saturating_sub(outstanding)
    }

    fn record_grant(
        &mut self,
        now: f64,
        id: &HolderId,
        calls_per_second: u32,
        duration_seconds: f64,
    ) {
        let grant = IssuedGrant {
            grant_number: self.last_grant_number,
            calls_per_second,
            effect_ends_at: self.terms.effect_ends_at(now, duration_seconds),
        };
        let Some(holder) = self.holders.get_mut(id) else {
            return;
        };
        if calls_per_second > 0 && holder.outstanding(now) == 0 {
            holder.turn_started_at = Some(now);
        }
        holder.grants.push(grant);
    }

    /// A holder's part of the whole budget, by the known demands of all holders. The part that no
    /// holder needs is spread over all of them, so that a sudden demand finds quota; otherwise
    /// there was none in its first second.
    fn target(&self, now: f64, id: &HolderId) -> u32 {
        let needing: Vec<(&HolderId, &HolderState)> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.needs_calls())
            .collect();
        if needing.len() as u64 > u64::from(self.budget) {
            return u32::from(self.has_turn(now, id, needing));
        }
        let mut claims: Vec<Claim> = needing.iter().map(|(_, holder)| holder.claim()).collect();
        let remaining = allocate(self.budget, &mut claims);
        let spare = match self.spare_policy {
            SparePolicy::SpreadAll => remaining,
            SparePolicy::SpreadHalf => remaining / 2,
        };
        let allocated = needing
            .iter()
            .zip(&claims)
            .find(|((other, _), _)| *other == id)
            .map_or(0, |(_, claim)| claim.allocated);
        spare / (self.holders.len() as u32).max(1) + allocated
    }

    /// Whether it is a holder's turn, if more holders need calls than the budget has. Holders that
    /// are within a turn, which lasts one lease, come first, then those that have waited longest.
    fn has_turn(
        &self,
        now: f64,
        id: &HolderId,
        mut needing: Vec<(&HolderId, &HolderState)>,
    ) -> bool {
        let is_within_turn = |holder: &HolderState| {
            holder.outstanding(now) > 0
                && holder
                    .turn_started_at
                    .is_some_and(|started_at| now < started_at + self.terms.lease_seconds)
        };
        needing.sort_by(|(_, left), (_, right)| {
            let last_turn =
                |holder: &HolderState| holder.turn_started_at.unwrap_or(f64::NEG_INFINITY);
            let by_turn = is_within_turn(right).cmp(&is_within_turn(left));
            by_turn.then(last_turn(left).total_cmp(&last_turn(right)))
        });
        needing
            .into_iter()
            .take(self.budget as usize)
            .any(|(other, _)| other == id)
    }
}
