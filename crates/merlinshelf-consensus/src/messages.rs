//! What agents say to each other about the council, and who sits in it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A word from one agent to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Who begins says who it is. `ticket` is a number of its own by which a new seat is known to be meant for it.
    Hello {
        #[serde(rename = "ticket")]
        boot_id: u64,
        #[serde(rename = "seat")]
        slot: Option<(u64, u64)>,
    },
    /// The answer: how far the other one is itself and where it sits, what it knows of the asker's seat, and the seat that is
    /// kept for the asker's ticket.
    Welcome {
        #[serde(rename = "ticket")]
        boot_id: u64,
        state: BootstrapState,
        #[serde(rename = "own")]
        responder_slot: Option<u64>,
        #[serde(rename = "known")]
        progress: PeerProgress,
        #[serde(rename = "seat")]
        reserved_slot: Option<u64>,
    },
    Raft(ByteBuf),
}

/// What one agent knows of another one's seat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProgress {
    /// A life of it that is not the asker's own.
    #[serde(rename = "life")]
    pub incarnation: Option<u64>,
    /// The highest term and the highest entry that it has said to have kept, as far as is remembered.
    pub term: u64,
    pub index: u64,
    /// The seat is another's by now.
    pub replaced: bool,
    /// The seat of whoever leads, as far as the one that answers follows anybody: it hears what is kept.
    pub leader: Option<u64>,
}

/// How far an agent is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootstrapState {
    /// It remembers no council.
    Empty,
    /// It founds one, and nothing has happened there yet.
    Fresh,
    #[serde(rename = "Seated")]
    Established,
}

/// One seat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// The ticket that it was given for; 0 for those who founded.
    #[serde(rename = "ticket")]
    pub boot_id: u64,
}

/// All seats, by number. A number is given once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    pub members: BTreeMap<u64, Member>,
    #[serde(rename = "highest")]
    pub highest_slot: u64,
}

impl Membership {
    /// The seat of an agent.
    pub fn slot_of(&self, name: &str) -> Option<u64> {
        self.members
            .iter()
            .find(|(_, member)| member.name == name)
            .map(|(id, _)| *id)
    }

    pub fn name_of(&self, id: u64) -> Option<&str> {
        self.members.get(&id).map(|member| member.name.as_str())
    }
}
