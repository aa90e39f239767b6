//! One policy for all instances of an installation: its document, and which instance may act on
//! which version when.
//!
//! All state machines here are sans-I/O: they are fed events and the time, and polled for what is
//! to be done. An instance is a [`LeaseHolder`], an agent is the [`HostLeaseManager`] of its host's
//! instances, and the leading agent is a [`RolloutLeader`] as well. What the agents have agreed is
//! the [`ReplicatedState`], the same on all of them (docs/policy.md).

pub mod document;
pub mod error;
mod fingerprint;
pub mod host_lease_manager;
mod instance_record;
pub mod lease_holder;
pub mod messages;
mod overlay;
pub mod replicated_state;
pub mod rollout_leader;
mod service_history;
mod validation;

pub use document::Policy;
pub use error::{Mismatch, PolicyMismatch, PolicyRejection};
pub use host_lease_manager::HostLeaseManager;
pub use lease_holder::{EffectivePolicy, LeaseExpiryMode, LeaseHolder};
pub use merlinshelf_quota::lease::Drift;
pub use messages::{
    Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus, LeaseGrant, PrepareResult,
    RejectedVersion, Rejection, ServiceCounts, VersionedPolicy,
};
pub use replicated_state::{Bootstrap, ChangeOutcome, Entry, ReplicatedState};
pub use rollout_leader::RolloutLeader;
