//! What an instance knows, kept in a file through crashes and power loss: which bytes are written when, over primitive
//! operations on files that the host carries out and the tests let fail. Whatever happens to it costs the saving, never the
//! service.

use std::collections::BTreeMap;
use std::io;

use crate::observation::{GossipedObservation, Metric, Source};
use crate::store_format::{self, FrameError, PersistedObservation, Record};

/// Primitive operations on the files of one folder, each of which may fail or be cut short by a crash. What was written and
/// not synced may be there after a crash, in part, or not at all; of names that holds for the folder's sync.
pub trait Files {
    /// The whole file; none where there is none.
    ///
    /// # Errors
    /// The file system's.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Makes it anew and empty.
    ///
    /// # Errors
    /// The file system's.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Writes behind its end.
    ///
    /// # Errors
    /// The file system's; a part may be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Waits until its bytes are kept.
    ///
    /// # Errors
    /// The file system's.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives it another name, in place of what has that name.
    ///
    /// # Errors
    /// The file system's.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Waits until the names are kept.
    ///
    /// # Errors
    /// The file system's.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// The file, the one that is made to take its place, and where one that can't be read is set aside.
pub const STORE_FILE: &str = "knowledge";
pub const STORE_FILE_NEXT: &str = "knowledge.new";
pub const STORE_FILE_ASIDE: &str = "knowledge.aside";

/// A log is written anew once it has so many bytes more than what counts in it, and is many times as long.
const SPARE: usize = 64 * 1024;
const LONGER: usize = 4;
/// A file that is longer than this was not written here.
pub const MAX_STORE_BYTES: usize = 8 * 1024 * 1024;

fn copy(files: &mut dyn Files, bytes: &[u8]) -> io::Result<()> {
    files.create(STORE_FILE_ASIDE)?;
    files.append(STORE_FILE_ASIDE, bytes)
}

/// What was found at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    pub kept: Vec<PersistedObservation>,
    /// The highest life that was begun by this name.
    pub life: u64,
    /// What was wrong with the file, and whether it was set aside.
    pub flaw: Option<FrameError>,
    pub set_aside: bool,
}

/// The writing side.
#[derive(Debug, Default)]
pub struct Store {
    life: u64,
    /// What the log holds last of each figure, by its number and age's moment; nothing before the first writing.
    written: Option<BTreeMap<(Metric, Source), (u64, u8)>>,
    /// Bytes in the log, and of these what counted when it was made.
    length: usize,
    counted: usize,
}

impl Store {
    /// Reads what is there. A file that can't be read is set aside, as far as that can be done, and told.
    ///
    /// # Errors
    /// The file system's: then nothing is known of the past, and saving is tried all the same.
    pub fn open(files: &mut dyn Files) -> io::Result<(Store, Found)> {
        let Some(bytes) = files.read(STORE_FILE)? else {
            return Ok((Store::default(), Found::default()));
        };
        let recovered = if bytes.len() > MAX_STORE_BYTES {
            store_format::Recovered {
                flaw: Some(FrameError::Foreign),
                ..store_format::Recovered::default()
            }
        } else {
            store_format::recover(&bytes)
        };
        let mut found = Found {
            flaw: recovered.flaw,
            ..Found::default()
        };
        for record in recovered.records {
            match record {
                Record::Observation(kept) => found.kept.push(kept),
                Record::Life(life) => found.life = found.life.max(life),
            }
        }
        found.set_aside = match found.flaw {
            Some(FrameError::Foreign) => files
                .rename(STORE_FILE, STORE_FILE_ASIDE)
                .and_then(|()| files.sync_folder())
                .is_ok(),
            // What can be read of it counts until the next saving has taken its place: a copy is set aside.
            Some(FrameError::Garbled) => copy(files, &bytes).is_ok(),
            Some(FrameError::Torn) | None => false,
        };
        Ok((
            Store {
                life: found.life,
                ..Store::default()
            },
            found,
        ))
    }

    /// Begins a life: its number is above all that were begun and, by the wall clock, above those that were lost.
    pub fn begin(&mut self, unix_ms: u64) -> u64 {
        self.life = unix_ms.max(self.life + 1);
        self.life
    }

    /// Keeps all figures: what has changed is written behind the rest, or all anew where that is shorter or the file is not
    /// known to be whole. `unix` is the wall clock, seconds.
    ///
    /// # Errors
    /// The file system's. The next saving then writes all anew.
    pub fn save(
        &mut self,
        files: &mut dyn Files,
        unix: f64,
        all: &[GossipedObservation],
    ) -> io::Result<()> {
        let key = |told: &GossipedObservation| (told.subject.clone(), told.origin.clone());
        let state = |told: &GossipedObservation| (told.number, told.hops);
        let record = |told: &GossipedObservation| {
            store_format::record(&Record::Observation(PersistedObservation {
                at: unix,
                told: told.clone(),
            }))
        };
        // Whatever fails from here on, the file is not known to be whole.
        let written = self.written.take();
        if let Some(mut known) = written {
            let mut bytes = Vec::new();
            for told in all {
                if known.insert(key(told), state(told)) != Some(state(told)) {
                    bytes.extend(record(told));
                }
            }
            if bytes.is_empty() || self.length < LONGER * self.counted + SPARE {
                if !bytes.is_empty() {
                    files.append(STORE_FILE, &bytes)?;
                    files.sync(STORE_FILE)?;
                }
                self.length += bytes.len();
                self.written = Some(known);
                return Ok(());
            }
        }
        let mut bytes = store_format::head();
        bytes.extend(store_format::record(&Record::Life(self.life)));
        all.iter().for_each(|told| bytes.extend(record(told)));
        files.create(STORE_FILE_NEXT)?;
        files.append(STORE_FILE_NEXT, &bytes)?;
        files.sync(STORE_FILE_NEXT)?;
        files.rename(STORE_FILE_NEXT, STORE_FILE)?;
        files.sync_folder()?;
        (self.length, self.counted) = (bytes.len(), bytes.len());
        self.written = Some(all.iter().map(|told| (key(told), state(told))).collect());
        Ok(())
    }

    /// The next saving writes all anew: something was forgotten, and must be gone from the file, too.
    pub fn anew(&mut self) {
        self.written = None;
    }
}
