//! The log in memory, in the form that `raft` reads: a snapshot, the entries after it, and raft's
//! persistent state.

use protobuf::Message as _;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde_bytes::ByteBuf;

use crate::encoding::{DecodeError, encode_protobuf};
use crate::record::Record;

/// Snapshot, entries and persistent state of one replica.
#[derive(Clone, Default)]
pub(crate) struct LogStorage {
    pub hard_state: HardState,
    /// The voters as of the last applied membership change.
    pub conf_state: ConfState,
    /// The entries start after the index of this snapshot.
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl LogStorage {
    /// The index of the snapshot; the first entry has the next index.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// The index of the last entry, or of the snapshot if there are no entries.
    pub fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }

    /// Appends entries. Each entry replaces all stored entries from its index on (Raft paper, 5.3).
    pub fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            if entry.index <= self.snapshot_index() {
                continue;
            }
            let position = self.position(entry.index);
            self.entries.truncate(position);
            if position == self.entries.len() {
                self.entries.push(entry.clone());
            }
        }
    }

    /// Replaces everything up to the snapshot's index with the snapshot. Later entries are kept if
    /// they continue the snapshot's history (Raft paper, section 7).
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        let index = metadata.index;
        let is_same_history = self.term(index).is_ok_and(|term| term == metadata.term);
        if is_same_history && index >= self.snapshot_index() {
            let included = index.saturating_sub(self.snapshot_index()) as usize;
            self.entries.drain(..included.min(self.entries.len()));
        } else {
            self.entries.clear();
        }
        self.hard_state.commit = self.hard_state.commit.max(index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.conf_state = metadata.get_conf_state().clone();
        self.snapshot = snapshot;
    }

    /// Loads one record of the log file; records must be loaded in the file's order. Slot records
    /// are ignored, since they are not part of the log.
    ///
    /// # Errors
    /// The record can't be decoded; the log is unchanged.
    pub fn load_record(&mut self, record: &Record) -> std::result::Result<(), DecodeError> {
        match record {
            Record::Entry(bytes) => {
                let entry = Entry::parse_from_bytes(bytes).map_err(|error| DecodeError::Entry {
                    reason: error.to_string(),
                })?;
                self.append(&[entry]);
            }
            Record::Snapshot(bytes) => {
                let snapshot =
                    Snapshot::parse_from_bytes(bytes).map_err(|error| DecodeError::Snapshot {
                        reason: error.to_string(),
                    })?;
                self.install_snapshot(snapshot);
            }
            Record::HardState { term, vote, commit } => {
                self.hard_state.term = *term;
                self.hard_state.vote = *vote;
                self.hard_state.commit = *commit;
            }
            Record::VoterSlot { .. } | Record::PeerSlot { .. } => {}
        }
        Ok(())
    }

    /// The whole log as records, for a new log file.
    pub fn to_records(&self) -> Vec<Record> {
        let mut records = vec![snapshot_record(&self.snapshot)];
        records.extend(self.entries.iter().map(entry_record));
        records.push(hard_state_record(&self.hard_state));
        records
    }

    /// Position in `entries` of the entry with this index, which must be above the snapshot's.
    fn position(&self, index: u64) -> usize {
        (index - self.snapshot_index() - 1) as usize
    }
}

pub(crate) fn snapshot_record(snapshot: &Snapshot) -> Record {
    Record::Snapshot(ByteBuf::from(encode_protobuf(snapshot)))
}

pub(crate) fn entry_record(entry: &Entry) -> Record {
    Record::Entry(ByteBuf::from(encode_protobuf(entry)))
}

pub(crate) fn hard_state_record(hard_state: &HardState) -> Record {
    Record::HardState {
        term: hard_state.term,
        vote: hard_state.vote,
        commit: hard_state.commit,
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.conf_state.clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > LogStorage::last_index(self) + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let mut entries = self.entries[self.position(low)..self.position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.entries
            .get(self.position(index))
            .map(|entry| entry.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(LogStorage::last_index(self))
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<Snapshot> {
        if self.snapshot_index() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
