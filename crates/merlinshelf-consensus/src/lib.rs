//! The agents' common log. Over `raft`, which brings elections and replication without input or output, this adds who sits in
//! the council, how one is founded, and who may not vote: a member whose disk is gone, or older than what it promised, does
//! not take up its seat again. It asks for a new one (docs/policy.md).
//!
//! A [`Replica`] is fed with ticks and words and asked for [`Action`]s; these are carried out in order, and none after one that
//! could not be.

mod log_storage;
mod messages;
mod record;
mod replica;

pub use messages::{BootstrapState, Member, Membership, Message, PeerProgress};
pub use record::{FILE_HEADER, Record, recover};
pub use replica::{Action, Replica, ReplicaStatus};

/// Between two ticks, in milliseconds. A leader is heard of every second one, and is given up after ten to twenty.
pub const TICK_MS: u64 = 50;
