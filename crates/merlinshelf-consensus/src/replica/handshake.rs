//! Hello and welcome messages: agents exchange their bootstrap state before they take part in the
//! group.

use std::collections::BTreeSet;

use raft::prelude::{Message as RaftMessage, MessageType};

use super::bootstrap::BOOTSTRAP_INDEX;
use super::{PeerIncarnation, Replica, ReplicaStatus};
use crate::action::Action;
use crate::message::{BootstrapState, Message, PeerProgress, SlotIncarnation};
use crate::record::Record;

/// An agent's answer about its own state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Welcome {
    pub state: BootstrapState,
    pub responder_slot: Option<u64>,
    /// The slot of the leader that the agent follows.
    pub leader: Option<u64>,
}

impl Replica {
    /// Sends a hello to all other agents, and bootstraps if their earlier answers allow it.
    pub(super) fn send_hello(&mut self) {
        for to in self.other_agents() {
            let message = Message::Hello {
                boot_id: self.boot_id,
                slot: self.own_slot,
            };
            self.actions.push_back(Action::Send { to, message });
        }
        self.try_bootstrap();
    }

    /// The other agents of the configuration and of the membership.
    fn other_agents(&self) -> BTreeSet<String> {
        let members = self.membership.members.values().map(|member| &member.name);
        self.configured_agents
            .iter()
            .chain(members)
            .filter(|name| **name != self.name)
            .cloned()
            .collect()
    }

    pub(super) fn handle_hello(&mut self, from: &str, boot_id: u64, slot: Option<SlotIncarnation>) {
        let mut progress = PeerProgress::default();
        match slot {
            Some(asking) => {
                self.join_requests.remove(from);
                progress = self.progress_of(asking, boot_id);
                self.record_incarnation(asking, boot_id);
            }
            None if self.bootstrap_state() == BootstrapState::Established => {
                self.join_requests.insert(from.to_owned(), boot_id);
            }
            None => {}
        }
        let reserved = self
            .membership
            .members
            .iter()
            .find(|(_, member)| member.name == from && member.boot_id == boot_id);
        let message = Message::Welcome {
            boot_id,
            state: self.bootstrap_state(),
            responder_slot: self.slot(),
            progress,
            reserved_slot: reserved.map(|(slot, _)| *slot),
        };
        let to = from.to_owned();
        self.actions.push_back(Action::Send { to, message });
    }

    /// What this replica knows about the requesting one.
    fn progress_of(&self, asking: SlotIncarnation, boot_id: u64) -> PeerProgress {
        let slot = asking.slot;
        let known = self.peer_incarnations.get(&slot);
        // Two processes with the same incarnation started from the same disk: one of them has lost
        // what the other acknowledged.
        let other = known
            .filter(|known| known.incarnation != asking.incarnation || known.boot_id != boot_id);
        let is_removed =
            !self.membership.members.contains_key(&slot) && self.membership.highest_slot >= slot;
        PeerProgress {
            incarnation: other.map(|known| known.incarnation),
            replaced: self.status == ReplicaStatus::Active && is_removed,
            leader: self.leader_slot(),
            ..self.peer_progress.get(&slot).copied().unwrap_or_default()
        }
    }

    /// Records a later incarnation durably before the answer is sent.
    fn record_incarnation(&mut self, asking: SlotIncarnation, boot_id: u64) {
        let SlotIncarnation { slot, incarnation } = asking;
        let known = self.peer_incarnations.get(&slot);
        if known.is_some_and(|known| incarnation <= known.incarnation) {
            return;
        }
        let peer = PeerIncarnation {
            incarnation,
            boot_id,
        };
        self.peer_incarnations.insert(slot, peer);
        self.actions
            .push_back(Action::Append(vec![Record::PeerSlot {
                id: slot,
                incarnation,
                boot_id,
            }]));
    }

    pub(super) fn handle_welcome(
        &mut self,
        from: &str,
        welcome: Welcome,
        progress: PeerProgress,
        reserved_slot: Option<u64>,
    ) {
        match self.status {
            ReplicaStatus::Joining => match reserved_slot {
                Some(slot) => self.join(slot),
                None => {
                    self.welcomes.insert(from.to_owned(), welcome);
                    self.try_bootstrap();
                }
            },
            ReplicaStatus::Verifying => self.verify(from, welcome, progress),
            // The replica was removed while it was disconnected, and did not receive the entry.
            ReplicaStatus::Active if progress.replaced => self.abandon_slot(),
            ReplicaStatus::Active => {}
        }
    }

    /// This agent's bootstrap state.
    fn bootstrap_state(&self) -> BootstrapState {
        let Some(node) = &self.node else {
            return BootstrapState::Empty;
        };
        let log = node.store();
        let has_voted = log.hard_state.vote != 0;
        let has_entries = log.last_index() != BOOTSTRAP_INDEX;
        if has_voted || has_entries || node.raft.term > 1 {
            BootstrapState::Established
        } else {
            BootstrapState::Fresh
        }
    }

    /// Records the term and index that the sender must have made durable before it sent this
    /// message.
    pub(super) fn observe_progress(&mut self, message: &RaftMessage) {
        let index = match message.get_msg_type() {
            MessageType::MsgAppendResponse if !message.reject => message.index,
            MessageType::MsgAppend | MessageType::MsgHeartbeat => message.commit,
            MessageType::MsgHeartbeatResponse | MessageType::MsgRequestVote => 0,
            MessageType::MsgRequestVoteResponse if !message.reject => 0,
            _ => return,
        };
        let progress = self.peer_progress.entry(message.from).or_default();
        progress.term = progress.term.max(message.term);
        progress.index = progress.index.max(index);
    }
}
