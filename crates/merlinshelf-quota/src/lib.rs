//! One budget of a fleet, calls a second, shared out among those who may spend it. Everything here is fed with the time and with
//! messages, and asked for what is to be done.
//!
//! Who shares out is a [`Allocator`], who spends a [`QuotaLeaseHolder`]; a host is a holder towards whoever leads and a keeper towards its
//! instances. For all dependencies and kinds together these are the [`FleetAllocator`] of whoever leads, the [`HostAllocator`] of a host's agent
//! and the [`QuotaClient`] of an instance (docs/shares.md).

use serde::{Deserialize, Serialize};

pub mod allocator;
pub mod budget;
pub mod fleet_allocator;
pub mod host_allocator;
pub mod lease;
pub mod lease_holder;
pub mod messages;
pub mod pending_requests;
pub mod quota_client;
pub mod recovery;
pub mod reserve;

pub use allocator::Allocator;
pub use budget::{Budgets, CALLERS, CATALOGUE, CallKind};
pub use fleet_allocator::FleetAllocator;
pub use host_allocator::HostAllocator;
pub use lease_holder::QuotaLeaseHolder;
pub use messages::{
    DependencyGrant, DependencyRequest, QuotaGrant, QuotaGrantBatch, QuotaRequest,
    QuotaRequestBatch,
};
pub use pending_requests::PendingRequests;
pub use quota_client::{QuotaClient, Remaining};
pub use recovery::{DependencyHealth, Phase, Recovery};

/// By how much the way to a dependency may differ from call to call, seconds: two that leave a second apart may arrive closer by it.
pub const WAY: f64 = 0.05;

/// How an installation's leases on shares run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// Seconds, by the keeper's clock.
    #[serde(rename = "lease_s")]
    pub lease_seconds: f64,
    /// By how much clocks may run apart: a part of a lease, 0 to 0.2.
    pub drift: f64,
}

impl LeaseTerms {
    /// In any time of this length, by its own clock, a holder makes no more calls than its share says: no two that are counted
    /// apart here may arrive within one second.
    pub fn window(&self) -> f64 {
        (1.0 + WAY) * (1.0 + self.drift)
    }

    /// When what was given at `now` can't be spent any more, by the giver's clock, and shows in no second any more.
    pub fn expired_by(&self, now: f64) -> f64 {
        now + self.lease_seconds * (1.0 + self.drift) + self.window() * (1.0 + self.drift)
    }

    /// How long it is held from its asking on, by the holder's clock.
    pub fn holder_duration(&self, for_s: f64) -> f64 {
        for_s * (1.0 - self.drift)
    }
}
