//! The messages between quota holders and their allocator, once a round.
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
    /// The allocator that granted; 0 where nothing was granted.
    pub allocator_id: u64,
    /// Numbers the grants of this allocator; those of different allocators are not comparable.
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

/// What a holder needs, or all holders of a host together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Calls per second.
    pub calls_needed: u32,
    /// The mean priority weight of the calls that it had to reject; 0 where it rejected none.
    pub priority_weight: f64,
}

/// A holder requests its quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Identifies this process among all processes of the holder.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Identifies the request within the incarnation; the grant has it as well.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// Calls per second that it has lately made or rejected.
    #[serde(rename = "need")]
    pub calls_needed: u32,
    /// The mean priority weight of a call that it had to reject; 0 where it rejected none.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The last grant that it acts on. A grant that is smaller than the one before is acknowledged
    /// only when the holder, and those to whom it granted of it, spend no more than it allows.
    #[serde(rename = "heard")]
    pub acknowledged_grant: GrantId,
    /// Calls that were made by quota since the last request, for reports.
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
    /// The request that is answered.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// Identifies the allocator among all of this budget, also earlier ones.
    #[serde(rename = "keeper")]
    pub allocator_id: u64,
    /// Later grants of the allocator have higher numbers.
    #[serde(rename = "number")]
    pub grant_number: u64,
    /// The quota.
    #[serde(rename = "calls")]
    pub calls_per_second: u32,
    /// The duration of the lease from when it was requested, in seconds.
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
    /// The host's zone; empty from an instance.
    pub zone: String,
    /// By the dependency's name.
    #[serde(rename = "places")]
    pub dependencies: BTreeMap<String, DependencyRequest>,
}

/// The requests for one dependency.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyRequest {
    /// What is observed of it.
    #[serde(rename = "sight")]
    pub health: DependencyHealth,
    /// The phase that was last received, however old: a new leader continues from it.
    pub phase: Option<Phase>,
    /// By the kind of calls.
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
    /// The round that is answered.
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
    /// The dependency's phase, where it is known.
    pub phase: Option<Phase>,
    /// By the kind of calls.
    #[serde(rename = "shares")]
    pub grants: BTreeMap<CallKind, QuotaGrant>,
}
