//! Divides the call budgets of a fleet, in calls per second, among its instances by leased quotas.
//!
//! All state machines here are sans-I/O: the caller passes in messages and the time, and polls for
//! the messages to send. For one budget an [`Allocator`] grants quotas to [`QuotaLeaseHolder`]s; a
//! host is a holder towards the leading agent and an allocator towards its instances. For all
//! dependencies and kinds of calls together these roles are the [`FleetAllocator`] of the leading
//! agent, the [`HostAllocator`] of a host's agent and the [`QuotaClient`] of an instance
//! (docs/shares.md).

mod allocation;
pub mod allocator;
pub mod budget;
mod dependency_quota;
pub mod fleet_allocator;
pub mod host_allocator;
pub mod lease;
pub mod lease_holder;
pub mod messages;
pub mod pending_requests;
pub mod phase;
pub mod quota_client;
pub mod recovery;
pub mod reserve;

pub use allocator::Allocator;
pub use budget::{Budgets, CALLERS, CATALOGUE, CallKind};
pub use fleet_allocator::FleetAllocator;
pub use host_allocator::HostAllocator;
pub use lease::LeaseTerms;
pub use lease_holder::QuotaLeaseHolder;
pub use messages::{
    Demand, DependencyGrant, DependencyRequest, GrantId, QuotaGrant, QuotaGrantBatch, QuotaRequest,
    QuotaRequestBatch,
};
pub use pending_requests::PendingRequests;
pub use phase::{DependencyHealth, Phase};
pub use quota_client::{CallOutcome, QuotaClient, Remaining};
pub use recovery::Recovery;
