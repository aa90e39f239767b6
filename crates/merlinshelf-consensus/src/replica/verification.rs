//! Verification of a restarted replica.
//!
//! Raft requires that a voter never forgets what it acknowledged. A disk that was lost, copied or
//! reset to an older state breaks this: the replica could vote twice in a term, or help to elect a
//! leader that lacks a committed entry. A restarted replica therefore asks the others first. Any
//! two majorities overlap, so a majority that includes this replica also includes one that knows what
//! this replica acknowledged. The leader, if there is one, knows most and must have answered.

use super::handshake::Welcome;
use super::{Replica, ReplicaStatus, StartError};
use crate::action::Action;
use crate::log_storage::LogStorage;
use crate::membership::Membership;
use crate::message::{PeerProgress, SlotIncarnation};
use crate::record::Record;

impl Replica {
    /// Starts the next incarnation of the replica, which is durable before the first hello is sent.
    pub(super) fn start_verification(
        &mut self,
        previous: SlotIncarnation,
        log: LogStorage,
    ) -> Result<(), StartError> {
        let SlotIncarnation { slot, incarnation } = previous;
        let incarnation = incarnation + 1;
        self.own_slot = Some(SlotIncarnation { slot, incarnation });
        self.actions
            .push_back(Action::Append(vec![Record::VoterSlot {
                id: slot,
                incarnation,
            }]));
        self.create_node(slot, log)?;
        self.status = ReplicaStatus::Verifying;
        self.try_finish_verification();
        Ok(())
    }

    /// Handles another agent's answer about this replica's slot.
    pub(super) fn verify(&mut self, from: &str, welcome: Welcome, progress: PeerProgress) {
        if self.has_forgotten(progress) {
            return self.abandon_slot();
        }
        self.welcomes.insert(from.to_owned(), welcome);
        self.try_finish_verification();
    }

    /// Whether the replica acknowledged more than its disk holds, or its slot was removed or is
    /// used by another process.
    fn has_forgotten(&self, progress: PeerProgress) -> bool {
        let is_older_incarnation = progress
            .incarnation
            .zip(self.own_slot)
            .is_some_and(|(known, own)| known >= own.incarnation);
        let log = self.node.as_ref().map(raft::RawNode::store);
        let stored_term = log.map_or(0, |log| log.hard_state.term);
        let stored_index = log.map_or(0, LogStorage::last_index);
        is_older_incarnation
            || progress.replaced
            || progress.term > stored_term
            || progress.index > stored_index
    }

    /// Activates the replica once enough others have confirmed that its disk lacks nothing.
    fn try_finish_verification(&mut self) {
        if !self.has_every_leader_answered() {
            return;
        }
        if self.membership.members.is_empty() {
            // It joined without receiving a snapshot: its disk names no members to count.
            if self.is_joined_group_confirmed() {
                self.activate();
            }
            return;
        }
        let majority = self.membership.majority();
        let confirmed = self.count_welcomes(|stored, answered| stored == Some(answered));
        // A replica in a new slot does not know what it received in its former one.
        let moved =
            self.count_welcomes(|stored, answered| stored.is_some_and(|slot| slot != answered));
        if confirmed + 1 >= majority {
            self.activate();
        } else if self.membership.members.len() - moved < majority {
            // Too many of the members on this disk were replaced, so a majority of them can never
            // answer.
            self.abandon_slot();
        }
    }

    fn activate(&mut self) {
        self.status = ReplicaStatus::Active;
        self.process_ready();
    }

    /// Whether each leader named in an answer is this replica or has answered itself.
    fn has_every_leader_answered(&self) -> bool {
        let own = self.slot();
        let has_answered = |slot: u64| {
            self.welcomes
                .values()
                .any(|welcome| welcome.responder_slot == Some(slot))
        };
        self.welcomes
            .values()
            .filter_map(|welcome| welcome.leader)
            .all(|leader| Some(leader) == own || has_answered(leader))
    }

    /// Whether a majority of the configured agents are in the group and a leader is known, so that
    /// they know what this replica was sent.
    fn is_joined_group_confirmed(&self) -> bool {
        let in_group = self
            .welcomes
            .values()
            .filter(|welcome| welcome.responder_slot.is_some())
            .count();
        let has_leader = self
            .welcomes
            .values()
            .any(|welcome| welcome.leader.is_some());
        in_group + 1 > self.configured_agents.len() / 2 && has_leader
    }

    /// Counts the answers for which `matches` accepts the sender's slot on this disk and its slot
    /// by its own answer.
    fn count_welcomes(&self, matches: impl Fn(Option<u64>, u64) -> bool) -> usize {
        let answers = self.welcomes.iter();
        answers
            .filter(|(name, welcome)| {
                welcome
                    .responder_slot
                    .is_some_and(|answered| matches(self.membership.slot_of(name), answered))
            })
            .count()
    }

    /// Abandons the slot permanently, since the disk lacks acknowledged data or the slot was
    /// removed. The replica rejoins in a new slot.
    pub(super) fn abandon_slot(&mut self) {
        self.own_slot = None;
        self.node = None;
        self.status = ReplicaStatus::Joining;
        self.membership = Membership::default();
        // A slot assigned to the old boot id may have been used already, and its acknowledgements
        // are now lost.
        self.boot_id = next_boot_id(self.boot_id);
        self.applied_index = 0;
        self.tick_count = 0;
        self.welcomes.clear();
        let records = self.peer_incarnation_records();
        self.actions.push_back(Action::ReplaceLog(records));
    }
}

/// The next number of a linear congruential generator: a new boot id without a source of random
/// numbers.
fn next_boot_id(boot_id: u64) -> u64 {
    boot_id
        .wrapping_mul(0x5851_F42D_4C95_7F2D)
        .wrapping_add(0x1405_7B7E_F767_814F)
}
