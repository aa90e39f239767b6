//! The consensus group of an installation's agents: a replicated log.
//!
//! The `raft` crate implements leader election and log replication without I/O. This package adds
//! the bootstrap of an installation, membership changes, and the verification of a restarted
//! replica: a replica whose disk was lost, or was reset to an older state than the replica has
//! acknowledged, does not vote again. It joins under a new slot instead (docs/policy.md).
//!
//! The host feeds clock ticks and messages to a [`Replica`] and polls it for [`Action`]s. It
//! carries out the actions in order; after a failed action it must not carry out any later one.
//!
//! Sources: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (Raft),
//! and D. Ongaro's thesis "Consensus: Bridging Theory and Practice" (pre-vote: 9.6, check-quorum:
//! 6.2, read index: 6.4, membership changes: 4).

mod action;
mod encoding;
mod log_storage;
mod membership;
mod message;
mod record;
mod replica;

pub use action::Action;
pub use encoding::DecodeError;
pub use membership::{Member, Membership};
pub use message::{BootstrapState, Message, PeerProgress, SlotIncarnation};
pub use record::{FILE_HEADER, LogFileError, Record, RecoveredLog, recover};
pub use replica::{Replica, ReplicaStatus, StartError};

/// Time between two ticks, in milliseconds. A leader sends heartbeats every second tick; its
/// followers start an election after 10 to 20 ticks without one.
pub const TICK_MS: u64 = 50;
