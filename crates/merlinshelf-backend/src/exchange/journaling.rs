//! The journal of a successor on probation: each change is recorded before its effect is visible
//! outside, so that the predecessor can recover everything if this process dies.

use merlinshelf_handover::{Key, records};
use serde::Serialize;
use tokio::sync::mpsc;

use super::Exchange;
use super::snapshot::OpenedConnection;
use crate::journal::Journal;

impl Exchange {
    /// From now on, records every change before its effect is visible, and passes opened connections
    /// to `opened`.
    pub fn start_journal(
        &mut self,
        journal: Journal,
        opened: mpsc::UnboundedSender<OpenedConnection>,
    ) {
        (self.journal, self.opened_connections) = (Some(journal), Some(opened));
        (self.invocations.unsaved, self.connections.unsaved) =
            (Some(Default::default()), Some(Default::default()));
        self.recent_runs.start_journal();
    }

    /// Stops recording, since no predecessor observes this process any more.
    pub fn stop_journal(&mut self) {
        (self.journal, self.opened_connections) = (None, None);
        (self.invocations.unsaved, self.connections.unsaved) = (None, None);
        self.recent_runs.stop_journal();
    }

    pub fn is_journaling(&self) -> bool {
        self.journal.is_some()
    }

    /// Size of the records that the predecessor has not read, in bytes.
    pub fn unread_journal_bytes(&self) -> u64 {
        self.journal.as_ref().map_or(0, Journal::unread_bytes)
    }

    /// Adds the record of another component to the next write.
    pub fn journal_record(&mut self, key: Key, record: &impl Serialize) {
        if let Some(journal) = &mut self.journal {
            journal.put(key, record);
        }
    }

    /// Adds the removal of these keys to the next write.
    pub fn journal_removal(&mut self, keys: &[Key]) {
        if let Some(journal) = &mut self.journal {
            keys.iter().for_each(|key| journal.remove(*key));
        }
    }

    /// Writes all changes since the last write. Must precede every effect that is visible outside.
    pub fn write_journal(&mut self) {
        let Some(mut journal) = self.journal.take() else {
            return;
        };
        if let Some((changed, released)) = self.invocations.unsaved.replace(Default::default()) {
            for id in released {
                let mut key = [0; 16];
                key.copy_from_slice(id.as_bytes());
                journal.remove(Key::Invocation(key));
            }
            for index in changed {
                if let Some((key, record)) = self.invocation_record(index) {
                    journal.put(key, &record);
                }
            }
        }
        for number in self
            .connections
            .unsaved
            .replace(Default::default())
            .unwrap_or_default()
        {
            if let Some((stream, connection)) = self.response_queue(number) {
                journal.put(Key::ResponseQueue(stream), &connection);
            }
        }
        self.put_recent_runs(&mut journal);
        journal.write();
        self.journal = Some(journal);
    }

    /// Writes that this process goes on alone: later changes are not recorded.
    pub fn write_detachment_to_journal(&mut self) {
        self.journal_record(Key::Detached, &records::Detached::default());
        self.write_journal();
        self.is_detached = true;
    }

    /// Whether another process may hold copies of this one's connections, which would keep them open:
    /// a predecessor that observes this process, or one that it has detached from.
    pub fn shares_descriptors(&self) -> bool {
        self.is_journaling() || self.is_detached
    }

    fn put_recent_runs(&mut self, journal: &mut Journal) {
        let unsaved = self.recent_runs.take_unsaved();
        for number in unsaved.forgotten {
            journal.remove(Key::RecentRuns(number));
        }
        for number in unsaved.changed {
            if let Some(record) = self.recent_runs.record(number) {
                journal.put(Key::RecentRuns(number), &record);
            }
        }
    }

    /// Writes the record of the instance, without learned state and gossip observations.
    pub fn write_instance_to_journal(&mut self) {
        if self.is_journaling() {
            let instance = self.instance_record(false);
            self.journal_record(Key::Instance, &instance);
            self.write_journal();
        }
    }
}
