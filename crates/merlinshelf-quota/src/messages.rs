//! The messages that quota holders and their allocator exchange once per round.
//!
//! Fields are encoded by name; the names that older versions use are preserved by
//! `#[serde(rename)]`, pairs are arrays of two, and a missing field of a batch is its default.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::CallKind;
use crate::phase::{DependencyHealth, Phase};

/// Identifies a grant. Encoded as an array of two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct GrantId {
    /// The allocator that issued the grant; 0 if there is no grant.
    pub allocator_id: u64,
    /// The number of the grant within this allocator; numbers of different allocators are not
    /// comparable.
    pub grant_number: u64,
}

impl From<(u64, u64)> for GrantId {
    fn from((allocator_id, grant_number): (u64, u64)) -> GrantId {
        GrantId {
            allocator_id,
            grant_number,
        }
    }
}

impl From<GrantId> for (u64, u64) {
    fn from(id: GrantId) -> (u64, u64) {
        (id.allocator_id, id.grant_number)
    }
}

/// The demand of a holder, or of all holders of a host together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Calls per second.
    pub calls_needed: u32,
    /// The mean priority weight of the calls that were rejected; 0 if none were.
    pub priority_weight: f64,
}

/// A holder's request for quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Identifies this process among all processes of the holder.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Identifies the request within the incarnation; the grant repeats it.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// Calls per second that it has recently made or rejected, with a margin.
    #[serde(rename = "need")]
    pub calls_needed: u32,
    /// The mean priority weight of the calls that it rejected; 0 if none were.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The last grant that it complies with. A grant that is smaller than the previous one is
    /// acknowledged only once the holder, and the holders it granted parts of it to, spend no more
    /// than it allows.
    #[serde(rename = "heard")]
    pub acknowledged_grant: GrantId,
    /// Calls made under the quota since the last request, for reports.
    #[serde(default)]
    #[serde(rename = "spent")]
    pub calls_spent: u32,
}

/// The quota that a holder may spend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The incarnation of the request.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The request that this grant answers.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// Identifies the allocator among all allocators of this budget, including earlier ones.
    #[serde(rename = "keeper")]
    pub allocator_id: u64,
    /// Later grants of the allocator have higher numbers.
    #[serde(rename = "number")]
    pub grant_number: u64,
    /// The quota, in calls per second.
    #[serde(rename = "calls")]
    pub calls_per_second: u32,
    /// The duration of the lease in seconds, counted from when it was requested.
    #[serde(rename = "for_s")]
    pub duration_seconds: f64,
}

/// All requests of an instance to its host, or of a host to the leading agent, in one round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaRequestBatch {
    /// Identifies this process among all processes of the instance or the agent.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Identifies the round within the incarnation.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// The host's zone; empty in an instance's batch.
    pub zone: String,
    /// By the dependency's name.
    #[serde(rename = "places")]
    pub dependencies: BTreeMap<String, DependencyRequest>,
}

/// The requests for one dependency.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyRequest {
    /// Observations of the dependency.
    #[serde(rename = "sight")]
    pub health: DependencyHealth,
    /// The last received phase, even if it has expired: a new leader resumes from it.
    pub phase: Option<Phase>,
    /// By kind of calls.
    #[serde(rename = "claims")]
    pub requests: BTreeMap<CallKind, QuotaRequest>,
}

/// The response to a batch of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaGrantBatch {
    /// The incarnation of the batch of requests.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The round that this batch answers.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// By the dependency's name.
    #[serde(rename = "places")]
    pub dependencies: BTreeMap<String, DependencyGrant>,
}

/// The response for one dependency.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyGrant {
    /// The dependency's phase, if known.
    pub phase: Option<Phase>,
    /// By kind of calls.
    #[serde(rename = "shares")]
    pub grants: BTreeMap<CallKind, QuotaGrant>,
}
