//! The journal of a successor on probation: each change is written down before it shows, so that
//! the predecessor can recover everything if this process dies.

use merlinshelf_handover::Key;
use serde::Serialize;
use tokio::sync::mpsc;

use super::Exchange;
use super::snapshot::OpenedConnection;
use crate::journal::Journal;

impl Exchange {
    /// From here on every change is noted before it shows.
    pub fn start_journal(
        &mut self,
        journal: Journal,
        passing: mpsc::UnboundedSender<OpenedConnection>,
    ) {
        (self.journal, self.opened_connections) = (Some(journal), Some(passing));
        (self.invocations.unsaved, self.connections.unsaved) =
            (Some(Default::default()), Some(Default::default()));
    }

    /// Nobody watches any more.
    pub fn stop_journal(&mut self) {
        (self.journal, self.opened_connections) = (None, None);
        (self.invocations.unsaved, self.connections.unsaved) = (None, None);
    }

    pub fn is_journaling(&self) -> bool {
        self.journal.is_some()
    }

    /// Memory that notes take which the predecessor has not read, in bytes.
    pub fn unread_journal_bytes(&self) -> u64 {
        self.journal.as_ref().map_or(0, Journal::unread_bytes)
    }

    /// Puts a part's own record with what is noted next.
    pub fn journal_record(&mut self, key: Key, record: &impl Serialize) {
        if let Some(journal) = &mut self.journal {
            journal.put(key, record);
        }
    }

    /// What stood under these keys is gone.
    pub fn journal_removal(&mut self, keys: &[Key]) {
        if let Some(journal) = &mut self.journal {
            keys.iter().for_each(|key| journal.remove(*key));
        }
    }

    /// Notes all that has changed. Whatever shows outside comes after this.
    pub fn write_journal(&mut self) {
        let Some(mut journal) = self.journal.take() else {
            return;
        };
        if let Some((changed, gone)) = self.invocations.unsaved.replace(Default::default()) {
            for id in gone {
                let mut name = [0; 16];
                name.copy_from_slice(id.as_bytes());
                journal.remove(Key::Invocation(name));
            }
            for number in changed {
                if let Some((key, record)) = self.invocation_record(number) {
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
        journal.write();
        self.journal = Some(journal);
    }

    /// Notes the instance as a whole, without what was learnt.
    pub fn write_instance_to_journal(&mut self) {
        if self.is_journaling() {
            let instance = self.instance_record(false);
            self.journal_record(Key::Instance, &instance);
            self.write_journal();
        }
    }
}
