//! Messages between the agents of a consensus group. Different versions of the program exchange
//! them, so the serialized names must not change.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A message from one agent to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// An agent that does not vote yet introduces itself.
    Hello {
        /// Identifies the sending process, so that it recognizes a slot assigned to it.
        #[serde(rename = "ticket")]
        boot_id: u64,
        /// The sender's slot according to its disk.
        #[serde(rename = "seat")]
        slot: Option<SlotIncarnation>,
    },
    /// The answer to a [`Message::Hello`].
    Welcome {
        /// The boot id of the `Hello`.
        #[serde(rename = "ticket")]
        boot_id: u64,
        /// The responder's own bootstrap state.
        state: BootstrapState,
        /// The responder's own slot.
        #[serde(rename = "own")]
        responder_slot: Option<u64>,
        /// What the responder knows about the slot in the `Hello`.
        #[serde(rename = "known")]
        progress: PeerProgress,
        /// The slot assigned to the process that sent the `Hello`.
        #[serde(rename = "seat")]
        reserved_slot: Option<u64>,
    },
    /// A message of the Raft protocol, in raft's own encoding.
    Raft(ByteBuf),
}

/// A voter slot and the incarnation of its replica, encoded as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct SlotIncarnation {
    /// Number of the slot.
    pub slot: u64,
    /// Counts the starts of the replica in this slot, from 1.
    pub incarnation: u64,
}

impl From<(u64, u64)> for SlotIncarnation {
    fn from((slot, incarnation): (u64, u64)) -> SlotIncarnation {
        SlotIncarnation { slot, incarnation }
    }
}

impl From<SlotIncarnation> for (u64, u64) {
    fn from(own: SlotIncarnation) -> (u64, u64) {
        (own.slot, own.incarnation)
    }
}

/// What one agent knows about the replica in another agent's slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProgress {
    /// The known incarnation of the replica, if it is not that of the requesting process.
    #[serde(rename = "life")]
    pub incarnation: Option<u64>,
    /// The highest term that the replica has acknowledged, as far as the responder remembers.
    pub term: u64,
    /// The highest log index that the replica has acknowledged, as far as the responder remembers.
    pub index: u64,
    /// The slot was removed from the membership.
    pub replaced: bool,
    /// The slot of the leader that the responder follows. The leader knows what each replica has
    /// acknowledged.
    pub leader: Option<u64>,
}

/// An agent's progress towards membership in a consensus group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootstrapState {
    /// Its disk holds no log.
    Empty,
    /// It has bootstrapped a group that has neither voted nor appended an entry yet.
    Fresh,
    /// It belongs to a group that has a history.
    #[serde(rename = "Seated")]
    Established,
}
