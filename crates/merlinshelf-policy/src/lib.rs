//! One policy for all instances of an installation: the policy document, and the leases by which
//! instances may act on a version of it.
//!
//! All state machines here are sans-I/O: the caller passes in events and the time, and polls for
//! the actions to carry out. An instance has a [`LeaseHolder`], an agent has a [`HostLeaseManager`]
//! for its host's instances, and the leading agent also has a [`RolloutLeader`]. The agents agree
//! on the [`ReplicatedState`], which is the same on all of them (docs/policy.md).

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
