//! Turns raft's `Ready` into actions, and orders them: some messages may be sent before the log is
//! durable, others only after.

use raft::prelude::{Entry, EntryType, Message as RaftMessage};
use raft::{ReadState, Ready};
use serde_bytes::ByteBuf;

use super::{Replica, ReplicaStatus};
use crate::action::Action;
use crate::encoding::encode_protobuf;
use crate::log_storage::{entry_record, hard_state_record, snapshot_record};
use crate::message::Message;
use crate::record::Record;

impl Replica {
    /// Queues the actions for everything that raft has ready.
    pub(super) fn process_ready(&mut self) {
        if self.status != ReplicaStatus::Active {
            return;
        }
        while let Some(node) = &mut self.node
            && node.has_ready()
        {
            let ready = node.ready();
            self.process_one_ready(ready);
        }
    }

    fn process_one_ready(&mut self, mut ready: Ready) {
        let snapshot = ready.snapshot().clone();
        let records = self.store_ready(&mut ready);
        self.queue_messages(ready.take_messages());
        if !records.is_empty() {
            self.actions.push_back(Action::Append(records));
        }
        // These messages acknowledge the records above, which must be durable first.
        self.queue_messages(ready.take_persisted_messages());
        if snapshot.get_metadata().index > 0 {
            self.restore(&snapshot);
        }
        self.apply_entries(ready.take_committed_entries());
        self.queue_confirmations(ready.take_read_states());
        self.advance(ready);
    }

    /// Stores snapshot, entries and persistent state in the in-memory log, and returns them as
    /// records.
    fn store_ready(&mut self, ready: &mut Ready) -> Vec<Record> {
        let Some(node) = &mut self.node else {
            return Vec::new();
        };
        let log = node.mut_store();
        let mut records = Vec::new();
        let snapshot = ready.snapshot();
        if snapshot.get_metadata().index > 0 {
            log.install_snapshot(snapshot.clone());
            records.push(snapshot_record(snapshot));
        }
        let entries = ready.take_entries();
        log.append(&entries);
        records.extend(entries.iter().map(entry_record));
        if let Some(hard_state) = ready.hs() {
            records.push(hard_state_record(hard_state));
            log.hard_state = hard_state.clone();
        }
        records
    }

    /// Reports the ready as processed, after which raft may have more messages and committed
    /// entries.
    fn advance(&mut self, ready: Ready) {
        // A committed change may have removed this replica.
        let Some(node) = &mut self.node else { return };
        let mut light_ready = node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            node.mut_store().hard_state.commit = commit;
        }
        self.queue_messages(light_ready.take_messages());
        self.apply_entries(light_ready.take_committed_entries());
        if let Some(node) = &mut self.node {
            node.advance_apply();
        }
    }

    fn queue_messages(&mut self, messages: Vec<RaftMessage>) {
        for message in messages {
            let member = self.membership.name_of(message.to);
            let sender = || self.senders.get(&message.to).map(String::as_str);
            let Some(to) = member.or_else(sender) else {
                continue; // raft resends it once the receiver is known
            };
            let to = to.to_owned();
            let message = Message::Raft(ByteBuf::from(encode_protobuf(&message)));
            self.actions.push_back(Action::Send { to, message });
        }
    }

    fn queue_confirmations(&mut self, read_states: Vec<ReadState>) {
        for read_state in read_states {
            // The context was set by `confirm_leadership`.
            if let Ok(request_id) = read_state.request_ctx.try_into() {
                self.actions.push_back(Action::LeadershipConfirmed {
                    request_id: u64::from_le_bytes(request_id),
                });
            }
        }
    }

    fn apply_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            // An earlier entry removed this replica if it has no node.
            if self.node.is_none() {
                return;
            }
            if entry.index <= self.applied_index {
                continue;
            }
            self.applied_index = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal {
                self.apply_membership_change(&entry);
            } else if !entry.data.is_empty() {
                // A leader appends an empty entry at the start of its term (Raft paper, section 8).
                self.actions.push_back(Action::Apply {
                    index: entry.index,
                    data: entry.data.to_vec(),
                });
            }
        }
    }
}
