//! The messages between instances, agents and the leading agent.
//!
//! All times are in seconds of the sender's own monotonic clock and are never compared with another
//! clock: a receiver only sends them back. Fields are encoded by name; the names that older
//! versions use are preserved by `#[serde(rename)]`, pairs are arrays of two, and a missing field
//! has its default value.

use serde::{Deserialize, Serialize, Serializer};

use merlinshelf_quota::{QuotaGrantBatch, QuotaRequestBatch};

use crate::document::Policy;

/// From an agent to one of its instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Heartbeat {
    /// The incarnation of the receiving process, as last reported by the instance; 0 while it is
    /// unknown. A process of another incarnation ignores the contents.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// A document to validate and store.
    #[serde(rename = "offer")]
    pub offered_policy: Option<VersionedPolicy>,
    /// The instance must no longer act on versions up to this one.
    #[serde(rename = "fence")]
    pub fence_version: u64,
    /// A new or renewed lease.
    pub grant: Option<LeaseGrant>,
    /// The response to the instance's quota requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "given")]
    pub quota_grants: Option<QuotaGrantBatch>,
}

/// A policy document with its version. Encoded as an array of two.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "(u64, Policy)")]
pub struct VersionedPolicy {
    /// The version; 0 is the base policy.
    pub version: u64,
    /// The document.
    pub policy: Policy,
}

impl From<(u64, Policy)> for VersionedPolicy {
    fn from((version, policy): (u64, Policy)) -> VersionedPolicy {
        VersionedPolicy { version, policy }
    }
}

impl Serialize for VersionedPolicy {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.version, &self.policy).serialize(serializer)
    }
}

/// A lease for an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrant {
    /// The policy version that the instance may act on; 0 is the base policy.
    #[serde(rename = "number")]
    pub version: u64,
    /// The instance's clock in its last status, in seconds; the lease starts there.
    #[serde(rename = "asked")]
    pub requested_at: f64,
    /// How long the lease lasts from `requested_at`, in seconds.
    #[serde(rename = "for_s")]
    pub duration_seconds: f64,
}

/// From an instance to its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct InstanceStatus {
    /// Identifies this process among all processes of the instance.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The instance's clock when it reported, in seconds.
    #[serde(rename = "asked")]
    pub reported_at: f64,
    /// The instance does not act on versions up to this one, and never will again.
    #[serde(rename = "fenced")]
    pub fenced_version: u64,
    /// The versions whose documents the instance has validated and stored.
    #[serde(rename = "knows")]
    pub known_versions: Vec<u64>,
    /// The last version that the instance rejected.
    #[serde(rename = "unfit")]
    pub rejected_version: Option<RejectedVersion>,
    /// The version that the instance acts on: 0 is the base policy, `None` means that it rejects
    /// all invocations.
    #[serde(rename = "acts")]
    pub effective_version: Option<u64>,
    /// The remaining duration of its lease, in seconds; 0 without a lease.
    #[serde(rename = "left_s")]
    pub lease_remaining_seconds: f64,
    /// The fingerprint of its base policy.
    #[serde(rename = "base")]
    pub base_fingerprint: u64,
    /// Its quota requests; `None` if there are no budgets.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "wishes")]
    pub quota_requests: Option<QuotaRequestBatch>,
}

/// A version that an instance cannot use. Encoded as an array of two.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
pub struct RejectedVersion {
    /// The version.
    pub version: u64,
    /// The reason, for operators.
    pub reason: String,
}

impl From<(u64, String)> for RejectedVersion {
    fn from((version, reason): (u64, String)) -> RejectedVersion {
        RejectedVersion { version, reason }
    }
}

impl From<RejectedVersion> for (u64, String) {
    fn from(rejected: RejectedVersion) -> (u64, String) {
        (rejected.version, rejected.reason)
    }
}

/// From an agent to the leading agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostLeaseRequest {
    /// The name of the requesting agent's host.
    pub host: String,
    /// Identifies this process among all processes of the agent.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Identifies this request within the incarnation; the lease starts when it was sent.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// No instance of this host acts on versions up to this one.
    #[serde(rename = "fenced")]
    pub fenced_version: u64,
    /// The result of the host's instances for the pending document, once it is complete.
    #[serde(rename = "prepared")]
    pub prepare_result: Option<PrepareResult>,
    /// The invocations served by all instances of the host.
    #[serde(rename = "service")]
    pub service_counts: ServiceCounts,
    /// The host's quota requests.
    #[serde(rename = "wishes")]
    pub quota_requests: Option<QuotaRequestBatch>,
}

/// Counts of served invocations, since the agent first saw each instance. Encoded as an array of
/// two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ServiceCounts {
    /// All invocations.
    pub invocations: u64,
    /// The invocations that succeeded.
    pub succeeded: u64,
}

impl From<(u64, u64)> for ServiceCounts {
    fn from((invocations, succeeded): (u64, u64)) -> ServiceCounts {
        ServiceCounts {
            invocations,
            succeeded,
        }
    }
}

impl From<ServiceCounts> for (u64, u64) {
    fn from(counts: ServiceCounts) -> (u64, u64) {
        (counts.invocations, counts.succeeded)
    }
}

/// The result of validating a document on a host's instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PrepareResult {
    /// The version of the document.
    #[serde(rename = "number")]
    pub version: u64,
    /// The number of instances that have validated and stored it.
    #[serde(rename = "ready")]
    pub ready_instances: u32,
    /// The number of instances that did not respond in time.
    #[serde(rename = "silent")]
    pub silent_instances: u32,
    /// The instances that cannot use it.
    #[serde(rename = "unfit")]
    pub rejections: Vec<Rejection>,
}

/// The rejection of a document. Encoded as an array of two.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct Rejection {
    /// The instance that cannot use the document, or the proposer of a change that was proposed
    /// while another one was pending.
    pub rejected_by: String,
    /// The reason, for operators.
    pub reason: String,
}

impl From<(String, String)> for Rejection {
    fn from((rejected_by, reason): (String, String)) -> Rejection {
        Rejection {
            rejected_by,
            reason,
        }
    }
}

impl From<Rejection> for (String, String) {
    fn from(rejection: Rejection) -> (String, String) {
        (rejection.rejected_by, rejection.reason)
    }
}

/// From the leading agent to another agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostLeaseResponse {
    /// The incarnation of the request.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The request that this response answers.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// The version that the host's lease is on. The duration of the lease is set for the
    /// installation, see [`Bootstrap`](crate::Bootstrap).
    #[serde(rename = "granted")]
    pub granted_version: u64,
    /// The response to the request's quota requests.
    #[serde(rename = "given")]
    pub quota_grants: Option<QuotaGrantBatch>,
}
