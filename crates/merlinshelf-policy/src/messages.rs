//! What instances, agents and the agent that leads say to each other. Times are seconds of the sender's own clock, which
//! only goes forward; nothing is compared with another's clock.

use serde::{Deserialize, Serialize};

use merlinshelf_quota::{QuotaGrantBatch, QuotaRequestBatch};

use crate::document::Policy;

/// From an agent to one of its instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Heartbeat {
    /// The life of the process that it is meant for, as that process last said; 0 where none is known yet. Another one
    /// takes nothing from it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// A document to be checked and kept, with its number.
    #[serde(rename = "offer")]
    pub offered_policy: Option<(u64, Policy)>,
    /// Nothing up to this number is to be acted on any more.
    #[serde(rename = "fence")]
    pub fence_version: u64,
    pub grant: Option<LeaseGrant>,
    /// The answer to what the instance asked of budgets.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "given")]
    pub quota_grants: Option<QuotaGrantBatch>,
}

/// A lease for an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrant {
    #[serde(rename = "number")]
    pub version: u64,
    /// The moment of the instance's clock that it last told; the lease counts from there.
    #[serde(rename = "asked")]
    pub requested_at: f64,
    #[serde(rename = "for_s")]
    pub duration_seconds: f64,
}

/// From an instance to its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct InstanceStatus {
    /// A number that no other process of the instance has.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its clock.
    #[serde(rename = "asked")]
    pub reported_at: f64,
    /// It acts on nothing up to this number, and never will.
    #[serde(rename = "fenced")]
    pub fenced_version: u64,
    /// Numbers whose documents it has and can use.
    #[serde(rename = "knows")]
    pub known_versions: Vec<u64>,
    /// One that it can't use, and why.
    #[serde(rename = "unfit")]
    pub rejected_version: Option<(u64, String)>,
    /// What it acts on now; 0 is the base policy, none is turning away.
    #[serde(rename = "acts")]
    pub effective_version: Option<u64>,
    #[serde(rename = "left_s")]
    pub lease_remaining_seconds: f64,
    /// The fingerprint of its base policy.
    #[serde(rename = "base")]
    pub base_fingerprint: u64,
    /// What it asks of budgets; none where it knows none.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "wishes")]
    pub quota_requests: Option<QuotaRequestBatch>,
}

/// From an agent to the one that leads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostLeaseRequest {
    pub host: String,
    /// A number that no other process of the agent has.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Which question it is; the lease counts from when it was sent.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// Nothing on this host acts on a number up to this one.
    #[serde(rename = "fenced")]
    pub fenced_version: u64,
    #[serde(rename = "prepared")]
    pub prepare_result: Option<PrepareResult>,
    /// Invocations and how many of them succeeded, of all instances, since they were first seen.
    #[serde(rename = "service")]
    pub service_counts: (u64, u64),
    /// What it asks of budgets.
    #[serde(rename = "wishes")]
    pub quota_requests: Option<QuotaRequestBatch>,
}

/// What the instances of a host say to a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PrepareResult {
    #[serde(rename = "number")]
    pub version: u64,
    /// Who can use it, and who did not answer in time.
    #[serde(rename = "ready")]
    pub ready_instances: u32,
    #[serde(rename = "silent")]
    pub silent_instances: u32,
    /// Who can't, and why.
    #[serde(rename = "unfit")]
    pub rejections: Vec<(String, String)>,
}

/// From the agent that leads to another one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostLeaseResponse {
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "token")]
    pub request_id: u64,
    /// A lease on this number, as long as is agreed for the installation.
    #[serde(rename = "granted")]
    pub granted_version: u64,
    /// The answer to what this question asked of budgets.
    #[serde(rename = "given")]
    pub quota_grants: Option<QuotaGrantBatch>,
}
