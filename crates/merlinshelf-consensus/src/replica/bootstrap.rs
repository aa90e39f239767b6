//! How an agent without a log gets one: by bootstrapping a group together with all others, or by
//! joining an existing group in a new slot.
//!
//! Every agent derives the same group from its configuration, so no agent needs to go first. It
//! bootstraps only after all others have answered that they have no history: otherwise an agent
//! that missed the answer of an established one would form a second group.

use raft::prelude::{ConfState, HardState, Snapshot};

use super::compaction::SnapshotPayload;
use super::{Replica, ReplicaStatus};
use crate::action::Action;
use crate::log_storage::{LogStorage, hard_state_record, snapshot_record};
use crate::membership::{Member, Membership};
use crate::message::{BootstrapState, SlotIncarnation};
use crate::record::Record;

/// The index of the first snapshot. The log starts after it, so an agent that joins later
/// must be sent a snapshot.
pub(super) const BOOTSTRAP_INDEX: u64 = 1;
/// The term of the first snapshot.
const BOOTSTRAP_TERM: u64 = 1;
/// The incarnation of a replica that starts in its slot for the first time.
const FIRST_INCARNATION: u64 = 1;

impl Replica {
    /// Bootstraps the group if all other configured agents have answered that they have no
    /// history.
    pub(super) fn try_bootstrap(&mut self) {
        if self.status != ReplicaStatus::Joining || !self.is_bootstrap_safe() {
            return;
        }
        let membership = self.bootstrap_membership();
        let Some(slot) = membership.slot_of(&self.name) else {
            return;
        };
        let log = bootstrap_log(membership);
        self.own_slot = Some(SlotIncarnation {
            slot,
            incarnation: FIRST_INCARNATION,
        });
        let mut records = self.peer_incarnation_records();
        records.extend([
            Record::VoterSlot {
                id: slot,
                incarnation: FIRST_INCARNATION,
            },
            snapshot_record(&log.snapshot),
            hard_state_record(&log.hard_state),
        ]);
        self.actions.push_back(Action::ReplaceLog(records));
        self.activate_with(slot, log);
    }

    /// Starts an empty replica in the slot that the group assigned to this process; the leader
    /// sends it a snapshot.
    pub(super) fn join(&mut self, slot: u64) {
        self.own_slot = Some(SlotIncarnation {
            slot,
            incarnation: FIRST_INCARNATION,
        });
        let mut records = self.peer_incarnation_records();
        records.push(Record::VoterSlot {
            id: slot,
            incarnation: FIRST_INCARNATION,
        });
        self.actions.push_back(Action::ReplaceLog(records));
        self.activate_with(slot, LogStorage::default());
    }

    fn activate_with(&mut self, slot: u64, log: LogStorage) {
        // Raft accepts every new log; if it did not, the replica would stay out of the group.
        if self.create_node(slot, log).is_ok() {
            self.status = ReplicaStatus::Active;
        }
    }

    fn is_bootstrap_safe(&self) -> bool {
        self.configured_agents.contains(&self.name)
            && self
                .configured_agents
                .iter()
                .filter(|name| **name != self.name)
                .all(|name| self.has_no_history(name))
    }

    fn has_no_history(&self, agent: &str) -> bool {
        self.welcomes
            .get(agent)
            .is_some_and(|welcome| match welcome.state {
                BootstrapState::Empty | BootstrapState::Fresh => true,
                BootstrapState::Established => false,
            })
    }

    /// Assigns slots to all configured agents in the order of their names.
    fn bootstrap_membership(&self) -> Membership {
        let mut membership = Membership::default();
        for (slot, name) in (1..).zip(&self.configured_agents) {
            let member = Member {
                name: name.clone(),
                boot_id: 0,
            };
            membership.members.insert(slot, member);
            membership.highest_slot = slot;
        }
        membership
    }
}

/// The log that each member of a new group starts from.
fn bootstrap_log(membership: Membership) -> LogStorage {
    let voters = membership.members.keys().copied().collect();
    let mut snapshot = Snapshot::default();
    let payload = SnapshotPayload::new(membership, Vec::new());
    snapshot.set_data(payload.encode().into());
    let metadata = snapshot.mut_metadata();
    metadata.index = BOOTSTRAP_INDEX;
    metadata.term = BOOTSTRAP_TERM;
    metadata.set_conf_state(ConfState {
        voters,
        ..ConfState::default()
    });
    let mut log = LogStorage::default();
    log.install_snapshot(snapshot);
    log.hard_state = HardState {
        term: BOOTSTRAP_TERM,
        vote: 0,
        commit: BOOTSTRAP_INDEX,
        ..HardState::default()
    };
    log
}
