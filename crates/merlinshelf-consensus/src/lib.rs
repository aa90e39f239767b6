//! The consensus group of an installation's agents: a replicated log.
//!
//! The `raft` crate brings leader election and log replication without input or output. This
//! package adds the bootstrap of an installation, membership changes, and the verification of a
//! restarted replica: one whose disk was lost, or was set back to an older state than the replica
//! has acknowledged, does not vote again. It joins under a new slot instead (docs/policy.md).
//!
//! A [`Replica`] is fed clock ticks and messages and is polled for [`Action`]s. The host carries
//! these out in order; when one fails, none of the later ones may be carried out.
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
