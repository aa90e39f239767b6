//! The members of the consensus group. Both types are stored in snapshots: fields are encoded by
//! position.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The agent that occupies one voter slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the agent.
    pub name: String,
    /// The boot id of the process that the slot was assigned to; 0 for the members of the
    /// bootstrap.
    #[serde(rename = "ticket")]
    pub boot_id: u64,
}

/// All voter slots. The number of a slot is assigned once: an agent that rejoins gets a new one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The members by slot number.
    pub members: BTreeMap<u64, Member>,
    /// The highest slot number that was ever assigned.
    #[serde(rename = "highest")]
    pub highest_slot: u64,
}

impl Membership {
    /// The slot of an agent.
    pub fn slot_of(&self, name: &str) -> Option<u64> {
        self.members
            .iter()
            .find(|(_, member)| member.name == name)
            .map(|(slot, _)| *slot)
    }

    /// The agent in a slot.
    pub fn name_of(&self, slot: u64) -> Option<&str> {
        self.members.get(&slot).map(|member| member.name.as_str())
    }

    /// The number of members that form a majority.
    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
