//! A holder of quota for one budget: decides locally whether a call may be made.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::lease::LeaseTerms;
use crate::messages::{Demand, GrantId, QuotaGrant, QuotaRequest};
use crate::pending_requests::PendingRequests;

/// A need below this counts as none, calls per second.
const NEGLIGIBLE_NEED: f64 = 0.05;
/// The margin that a holder requests on top of the mean of its calls, in standard deviations of a
/// Poisson distribution. Without a margin a third of the calls found no quota.
const NEED_DEVIATIONS: f64 = 2.0;

/// The grant in effect. Encoded as an array of three.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "((u64, u64), u32, f64)", into = "((u64, u64), u32, f64)")]
struct CurrentGrant {
    id: GrantId,
    calls_per_second: u32,
    /// By the holder's clock, in seconds.
    expires_at: f64,
}

impl From<((u64, u64), u32, f64)> for CurrentGrant {
    fn from((id, calls_per_second, expires_at): ((u64, u64), u32, f64)) -> CurrentGrant {
        CurrentGrant {
            id: id.into(),
            calls_per_second,
            expires_at,
        }
    }
}

impl From<CurrentGrant> for ((u64, u64), u32, f64) {
    fn from(grant: CurrentGrant) -> ((u64, u64), u32, f64) {
        (grant.id.into(), grant.calls_per_second, grant.expires_at)
    }
}

/// The demand of one round. Encoded as an array of two.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "(f64, u32)", into = "(f64, u32)")]
struct RoundDemand {
    ended_at: f64,
    calls: u32,
}

impl From<(f64, u32)> for RoundDemand {
    fn from((ended_at, calls): (f64, u32)) -> RoundDemand {
        RoundDemand { ended_at, calls }
    }
}

impl From<RoundDemand> for (f64, u32) {
    fn from(round: RoundDemand) -> (f64, u32) {
        (round.ended_at, round.calls)
    }
}

/// The quota that may be spent at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsableQuota {
    /// Calls per second; 0 if there is no quota.
    pub calls_per_second: u32,
    /// When the quota expires, by the holder's clock in seconds; `None` if there is no quota.
    pub expires_at: Option<f64>,
}

/// The state machine of one holder. `now` is in seconds of its own monotonic clock. The state is
/// handed over in an upgrade, so the names that older versions use are preserved by
/// `#[serde(rename)]`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaLeaseHolder {
    #[serde(rename = "life")]
    incarnation: u64,
    #[serde(rename = "lease")]
    terms: LeaseTerms,
    #[serde(rename = "share")]
    grant: CurrentGrant,
    /// The last acknowledged grant: neither this holder nor those it granted parts of it to spend
    /// more than it allows.
    #[serde(rename = "settled")]
    acknowledged_grant: GrantId,
    #[serde(rename = "token")]
    last_request_id: u64,
    #[serde(rename = "asks")]
    pending_requests: PendingRequests,
    /// The times of the calls made within the last window.
    #[serde(rename = "made")]
    recent_calls: VecDeque<f64>,
    /// Calls that were needed since the last request, whether or not they were made.
    #[serde(rename = "wanted")]
    demanded_calls: u32,
    /// Calls that were made since the last request.
    #[serde(rename = "spent")]
    spent_calls: u32,
    /// The sum of the priority weights of the calls that were needed.
    #[serde(rename = "worth")]
    demanded_weight: f64,
    /// The demand of each round within the last window.
    #[serde(rename = "lately")]
    recent_demand: VecDeque<RoundDemand>,
    #[serde(rename = "need")]
    smoothed_need: f64,
}

impl QuotaLeaseHolder {
    /// Creates a holder without a grant. `incarnation` identifies this process among all processes
    /// of the holder.
    pub fn new(incarnation: u64, terms: LeaseTerms) -> QuotaLeaseHolder {
        QuotaLeaseHolder {
            incarnation,
            terms,
            grant: CurrentGrant {
                id: GrantId::default(),
                calls_per_second: 0,
                expires_at: 0.0,
            },
            acknowledged_grant: GrantId::default(),
            last_request_id: 0,
            pending_requests: PendingRequests::default(),
            recent_calls: VecDeque::new(),
            demanded_calls: 0,
            spent_calls: 0,
            demanded_weight: 0.0,
            recent_demand: VecDeque::new(),
            smoothed_need: 0.0,
        }
    }

    /// The quota that may be spent now.
    pub fn usable(&self, now: f64) -> UsableQuota {
        let is_usable = now < self.grant.expires_at && self.grant.calls_per_second > 0;
        if is_usable {
            UsableQuota {
                calls_per_second: self.grant.calls_per_second,
                expires_at: Some(self.grant.expires_at),
            }
        } else {
            UsableQuota {
                calls_per_second: 0,
                expires_at: None,
            }
        }
    }

    /// The number of calls that may be made at `now`.
    pub fn remaining(&mut self, now: f64) -> u32 {
        let window_starts_at = now - self.terms.window_seconds();
        while self
            .recent_calls
            .front()
            .is_some_and(|made_at| *made_at <= window_starts_at)
        {
            self.recent_calls.pop_front();
        }
        self.usable(now)
            .calls_per_second
            .saturating_sub(self.recent_calls.len() as u32)
    }

    /// Records that `calls` of the remaining calls were made.
    pub fn record_spent(&mut self, now: f64, calls: u32) {
        self.recent_calls.extend((0..calls).map(|_| now));
        self.spent_calls += calls;
    }

    /// Records that a call is needed, whether or not it can be made. `priority_weight` is the value
    /// that is lost if it cannot.
    pub fn record_demand(&mut self, priority_weight: f64) {
        self.demanded_calls += 1;
        self.demanded_weight += priority_weight;
    }

    /// Records that a call is needed; returns whether it may be made now, and if so counts it as
    /// made.
    pub fn try_spend(&mut self, now: f64, priority_weight: f64) -> bool {
        self.record_demand(priority_weight);
        let may_spend = self.remaining(now) > 0;
        if may_spend {
            self.record_spent(now, 1);
        }
        may_spend
    }

    /// The request of a round, based on the demand since the last one.
    pub fn request(&mut self, now: f64) -> QuotaRequest {
        let demand = self.take_demand(now);
        let spent_calls = std::mem::take(&mut self.spent_calls);
        QuotaRequest {
            calls_spent: spent_calls,
            ..self.request_for(now, demand, 0)
        }
    }

    fn take_demand(&mut self, now: f64) -> Demand {
        let demanded_calls = std::mem::take(&mut self.demanded_calls);
        let demanded_weight = std::mem::take(&mut self.demanded_weight);
        let has_rejected = demanded_calls > self.spent_calls;
        let calls_per_window = self.record_round(now, demanded_calls.max(self.spent_calls));
        // The need decays by at most half per round.
        let min_need = if has_rejected { 1.0 } else { 0.0 };
        self.smoothed_need = (calls_per_window + NEED_DEVIATIONS * calls_per_window.sqrt())
            .max(self.smoothed_need / 2.0)
            .max(min_need);
        let calls_needed = if self.smoothed_need < NEGLIGIBLE_NEED {
            0
        } else {
            self.smoothed_need.ceil() as u32
        };
        let priority_weight = if has_rejected {
            demanded_weight / f64::from(demanded_calls)
        } else {
            0.0
        };
        Demand {
            calls_needed,
            priority_weight,
        }
    }

    /// Records the demand of the round that ends now; returns the demand of all rounds within the
    /// window.
    fn record_round(&mut self, now: f64, calls: u32) -> f64 {
        self.recent_demand.push_back(RoundDemand {
            ended_at: now,
            calls,
        });
        let window_starts_at = now - self.terms.window_seconds();
        while self
            .recent_demand
            .front()
            .is_some_and(|round| round.ended_at <= window_starts_at)
        {
            self.recent_demand.pop_front();
        }
        let calls: u32 = self.recent_demand.iter().map(|round| round.calls).sum();
        f64::from(calls)
    }

    /// A request based on the demand of others, as a host sends it for its instances. `outstanding`
    /// is the maximum that they may be spending, in calls per second.
    pub fn request_for(&mut self, now: f64, demand: Demand, outstanding: u32) -> QuotaRequest {
        if outstanding <= self.usable(now).calls_per_second {
            self.acknowledged_grant = self.grant.id;
        }
        self.last_request_id += 1;
        self.pending_requests.record(self.last_request_id, now);
        QuotaRequest {
            incarnation: self.incarnation,
            request_id: self.last_request_id,
            calls_needed: demand.calls_needed,
            priority_weight: demand.priority_weight,
            acknowledged_grant: self.acknowledged_grant,
            calls_spent: 0,
        }
    }

    /// Handles a grant, which may be arbitrarily late. It has no effect if the grant for a later
    /// request was already handled.
    pub fn handle_grant(&mut self, grant: &QuotaGrant) {
        if grant.incarnation != self.incarnation {
            return;
        }
        let Some(requested_at) = self.pending_requests.sent_at(grant.request_id) else {
            return;
        };
        self.pending_requests.complete(grant.request_id);
        self.grant = CurrentGrant {
            id: GrantId {
                allocator_id: grant.allocator_id,
                grant_number: grant.grant_number,
            },
            calls_per_second: grant.calls_per_second,
            expires_at: self
                .terms
                .holder_expiry(requested_at, grant.duration_seconds),
        };
    }
}
