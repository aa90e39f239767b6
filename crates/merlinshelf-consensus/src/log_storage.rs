//! The log in memory, in the form that `raft` reads: a snapshot, the entries behind it, and what was promised.

use protobuf::Message as _;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde_bytes::ByteBuf;

use crate::record::Record;

#[derive(Clone, Default)]
pub struct LogStorage {
    pub hard: HardState,
    pub conf: ConfState,
    /// Its index is the last one that is not among the entries.
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl LogStorage {
    pub fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    pub fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    /// Puts entries behind those before them; from the first one's number on, others are gone.
    pub fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            if entry.index <= self.base() {
                continue;
            }
            let place = (entry.index - self.base() - 1) as usize;
            self.entries.truncate(place);
            if place == self.entries.len() {
                self.entries.push(entry.clone());
            }
        }
    }

    /// Takes a snapshot in the place of all up to its point.
    pub fn put(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        let keeps = self
            .term(index)
            .is_ok_and(|term| term == snapshot.get_metadata().term)
            && index >= self.base();
        let drop = (index.saturating_sub(self.base()) as usize).min(self.entries.len());
        if keeps {
            self.entries.drain(..drop);
        } else {
            self.entries.clear();
        }
        self.hard.commit = self.hard.commit.max(index);
        self.hard.term = self.hard.term.max(snapshot.get_metadata().term);
        self.conf = snapshot.get_metadata().get_conf_state().clone();
        self.snapshot = snapshot;
    }

    pub fn take(&mut self, record: &Record) {
        match record {
            Record::Entry(bytes) => {
                if let Ok(entry) = Entry::parse_from_bytes(bytes) {
                    self.append(&[entry]);
                }
            }
            Record::Snapshot(bytes) => {
                if let Ok(snapshot) = Snapshot::parse_from_bytes(bytes) {
                    self.put(snapshot);
                }
            }
            Record::HardState { term, vote, commit } => {
                (self.hard.term, self.hard.vote, self.hard.commit) = (*term, *vote, *commit);
            }
            Record::VoterSlot { .. } | Record::PeerSlot { .. } => {}
        }
    }

    /// All of it, for a new file.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![snapshot_record(&self.snapshot)];
        records.extend(self.entries.iter().map(entry_record));
        records.push(hard_record(&self.hard));
        records
    }
}

pub fn snapshot_record(snapshot: &Snapshot) -> Record {
    Record::Snapshot(ByteBuf::from(snapshot.write_to_bytes().unwrap_or_default()))
}

pub fn entry_record(entry: &Entry) -> Record {
    Record::Entry(ByteBuf::from(entry.write_to_bytes().unwrap_or_default()))
}

pub fn hard_record(hard: &HardState) -> Record {
    Record::HardState {
        term: hard.term,
        vote: hard.vote,
        commit: hard.commit,
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.base() - 1) as usize;
        let mut some = self.entries[from..(high - self.base() - 1) as usize].to_vec();
        raft::util::limit_size(&mut some, max_size.into());
        Ok(some)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.base() - 1) as usize);
        entry
            .map(|entry| entry.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.base() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<Snapshot> {
        if self.base() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
