//! One policy for all instances of an installation: what it may say, and who acts on which number when. Everything here
//! is fed with the time, with messages and with what is decided, and asked for what is to be done.
//!
//! An instance is a [`LeaseHolder`], a host's agent a [`HostLeaseManager`] of its instances, and the agent that leads a [`RolloutLeader`] as
//! well. What the agents have decided together is a [`ReplicatedState`], the same on all of them (docs/policy.md).

pub mod document;
mod fingerprint;
pub mod host_lease_manager;
pub mod lease_holder;
pub mod messages;
pub mod replicated_state;
pub mod rollout_leader;

pub use document::Policy;
pub use host_lease_manager::HostLeaseManager;
pub use lease_holder::{EffectivePolicy, LeaseExpiryMode, LeaseHolder};
pub use messages::{
    Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus, LeaseGrant, PrepareResult,
};
pub use replicated_state::{Bootstrap, ChangeOutcome, Entry, ReplicatedState};
pub use rollout_leader::RolloutLeader;

/// What the giver of a lease adds to it and its holder takes off, so that clocks which run that much apart agree on who
/// may act: a part of the lease, 0 to 0.2.
pub type Drift = f64;

/// When a lease that was given now is over for sure, by the giver's clock.
pub(crate) fn over_by(now: f64, lease_s: f64, drift: Drift) -> f64 {
    now + lease_s * (1.0 + drift)
}
