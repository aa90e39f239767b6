//! Snapshots: their content, and when one replaces a long log (Raft paper, section 7).

use raft::prelude::Snapshot;
use raft::{ProgressState, SnapshotStatus, Storage};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::Replica;
use crate::action::Action;
use crate::encoding::{DecodeError, encode_messagepack};
use crate::membership::Membership;
use crate::record::Record;

/// Maximum number of entries applied after a snapshot; beyond it a new snapshot is due.
const MAX_APPLIED_ENTRIES: u64 = 400;

/// The data of a snapshot: the membership and the host's replicated state. Stored with fields by
/// position.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct SnapshotPayload {
    #[serde(rename = "roll")]
    membership: Membership,
    state: ByteBuf,
}

impl SnapshotPayload {
    /// `state` is the host's replicated state.
    pub fn new(membership: Membership, state: Vec<u8>) -> SnapshotPayload {
        SnapshotPayload {
            membership,
            state: ByteBuf::from(state),
        }
    }

    /// Encodes the payload as the data of a raft snapshot.
    pub fn encode(&self) -> Vec<u8> {
        encode_messagepack(self)
    }
}

impl Replica {
    /// Replaces the log with a snapshot. `state` is the replicated state after all actions polled
    /// so far.
    pub fn compact(&mut self, state: Vec<u8>) {
        let (Some(own), Some(node)) = (self.own_slot, &mut self.node) else {
            return;
        };
        let conf_state = node.raft.prs().conf().to_conf_state();
        let log = node.mut_store();
        let Ok(term) = log.term(self.applied_index) else {
            return; // the log is already compacted up to this index
        };
        let payload = SnapshotPayload::new(self.membership.clone(), state);
        let mut snapshot = Snapshot::default();
        snapshot.set_data(payload.encode().into());
        let metadata = snapshot.mut_metadata();
        metadata.index = self.applied_index;
        metadata.term = term;
        metadata.set_conf_state(conf_state);
        log.install_snapshot(snapshot);
        let mut records = vec![Record::VoterSlot {
            id: own.slot,
            incarnation: own.incarnation,
        }];
        records.extend(log.to_records());
        records.extend(self.peer_incarnation_records());
        self.snapshot_lacks_member = false;
        self.actions.push_back(Action::ReplaceLog(records));
    }

    /// Whether [`compact`](Replica::compact) is due. It is not due while actions are queued, since
    /// the host's state matches the applied index only after all actions are polled.
    pub fn needs_compaction(&self) -> bool {
        let snapshot_index = self
            .node
            .as_ref()
            .map_or(self.applied_index, |node| node.store().snapshot_index());
        let entries = self.applied_index.saturating_sub(snapshot_index);
        let is_due = entries > MAX_APPLIED_ENTRIES || self.snapshot_lacks_member && entries > 0;
        self.actions.is_empty() && is_due
    }

    /// Restores membership and state from a snapshot.
    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        let index = snapshot.get_metadata().index;
        let payload = rmp_serde::from_slice(snapshot.get_data()).unwrap_or_else(|error| {
            let error = DecodeError::SnapshotPayload {
                index,
                reason: error.to_string(),
            };
            // The entries after it are still applied; the group's next snapshot restores the rest.
            self.actions.push_back(Action::ReportDecodeError(error));
            SnapshotPayload::default()
        });
        self.membership = payload.membership;
        self.applied_index = index;
        self.actions.push_back(Action::Restore {
            index,
            state: payload.state.into_vec(),
        });
    }

    /// Resends unacknowledged snapshots: the snapshot or its acknowledgement may have been lost.
    pub(super) fn retry_snapshots(&mut self) {
        let Some(node) = &mut self.node else { return };
        let unacknowledged: Vec<u64> = node
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in unacknowledged {
            node.report_snapshot(slot, SnapshotStatus::Failure);
        }
    }

    /// Records of all known incarnations, for a new log file.
    pub(super) fn peer_incarnation_records(&self) -> Vec<Record> {
        self.peer_incarnations
            .iter()
            .map(|(slot, peer)| Record::PeerSlot {
                id: *slot,
                incarnation: peer.incarnation,
                boot_id: peer.boot_id,
            })
            .collect()
    }
}
