//! The file in which observations outlive crashes and power loss: which bytes are written when,
//! over primitive operations on files that the host carries out and the tests let fail. A failure
//! costs the saving, never the service.

use std::collections::BTreeMap;
use std::io;

use crate::metric::Metric;
use crate::observation::{GossipedObservation, Source};
use crate::store_format::{self, EncodeError, FrameError, PersistedObservation, Record, Recovered};

/// The store's file.
pub const STORE_FILE: &str = "knowledge";
/// The file that is written to take its place.
pub const TEMPORARY_STORE_FILE: &str = "knowledge.new";
/// Where a file that can't be read is moved aside.
pub const UNREADABLE_STORE_FILE: &str = "knowledge.aside";
/// A longer file was not written by this program.
pub const MAX_STORE_BYTES: usize = 8 * 1024 * 1024;

/// The file is rewritten once it has grown to so many times its size after the last rewriting, and
/// by so many bytes more.
const MAX_GROWTH: usize = 4;
const MIN_GROWTH_BYTES: usize = 64 * 1024;

/// Primitive operations on the files of one folder, each of which may fail or be cut short by a
/// crash. What was written and not synced may be there after a crash, in part, or not at all; for
/// names that holds until the folder is synced.
pub trait Files {
    /// Reads the whole file; none where there is none.
    ///
    /// # Errors
    /// The file system's.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates an empty file, in place of one of this name.
    ///
    /// # Errors
    /// The file system's.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Writes at the file's end.
    ///
    /// # Errors
    /// The file system's; a part may be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Waits until the file's content is durable.
    ///
    /// # Errors
    /// The file system's.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, in place of one of the new name.
    ///
    /// # Errors
    /// The file system's.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Waits until the folder's names are durable.
    ///
    /// # Errors
    /// The file system's.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// What was found at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreContents {
    /// The observations that can be read, in the order in which they were written.
    pub observations: Vec<PersistedObservation>,
    /// The highest number of an incarnation that began.
    pub incarnation: u64,
    /// What was wrong with the file.
    pub error: Option<FrameError>,
    /// Whether the file, or a copy of it, was moved aside for that.
    pub was_moved_aside: bool,
}

/// What tells the observations in the file apart.
type Key = (Metric, Source);

/// What changes when an observation must be written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Version {
    sequence: u64,
    hops: u8,
}

fn key_of(observation: &GossipedObservation) -> Key {
    (observation.metric.clone(), observation.source.clone())
}

fn version_of(observation: &GossipedObservation) -> Version {
    Version {
        sequence: observation.sequence,
        hops: observation.hops,
    }
}

/// The writing side.
#[derive(Debug, Default)]
pub struct Store {
    incarnation: u64,
    /// What the file holds last of each observation; none where that is not known, so that the next
    /// saving rewrites the file.
    written: Option<BTreeMap<Key, Version>>,
    /// Bytes in the file, and how many it had after the last rewriting.
    file_bytes: usize,
    rewritten_bytes: usize,
}

impl Store {
    /// Reads what is there. A file that can't be read is moved aside, as far as that can be done,
    /// and reported.
    ///
    /// # Errors
    /// The file system's: then nothing is known of the past, and saving may be tried all the same.
    pub fn open(files: &mut dyn Files) -> io::Result<(Store, StoreContents)> {
        let Some(bytes) = files.read(STORE_FILE)? else {
            return Ok((Store::default(), StoreContents::default()));
        };
        let mut found = found_in(recover(&bytes));
        found.was_moved_aside = match found.error {
            Some(FrameError::UnknownFormat) => move_aside(files).is_ok(),
            // What can be read of it counts until the next saving has taken its place.
            Some(FrameError::Corrupt) => copy_aside(files, &bytes).is_ok(),
            Some(FrameError::Torn) | None => false,
        };
        let store = Store {
            incarnation: found.incarnation,
            ..Store::default()
        };
        Ok((store, found))
    }

    /// Begins an incarnation. Its number is above all that began here and, by the wall clock in
    /// milliseconds of Unix time, above those whose records were lost.
    pub fn begin_incarnation(&mut self, unix_milliseconds: u64) -> u64 {
        self.incarnation = unix_milliseconds.max(self.incarnation + 1);
        self.incarnation
    }

    /// Saves all observations. What has changed is appended, or the file is rewritten where it has
    /// grown too long or is not known to be complete. `unix_seconds` is the wall clock.
    ///
    /// # Errors
    /// The file system's. The next saving then rewrites the file.
    pub fn save(
        &mut self,
        files: &mut dyn Files,
        unix_seconds: f64,
        observations: &[GossipedObservation],
    ) -> io::Result<()> {
        // Whatever fails from here on, the file is not known to be complete.
        let Some(mut written) = self.written.take() else {
            return self.rewrite(files, unix_seconds, observations);
        };
        let changes = encode_changes(&mut written, unix_seconds, observations)?;
        let is_short = self.file_bytes < MAX_GROWTH * self.rewritten_bytes + MIN_GROWTH_BYTES;
        if !changes.is_empty() && !is_short {
            return self.rewrite(files, unix_seconds, observations);
        }
        if !changes.is_empty() {
            files.append(STORE_FILE, &changes)?;
            files.sync(STORE_FILE)?;
        }
        self.file_bytes += changes.len();
        self.written = Some(written);
        Ok(())
    }

    /// Replaces the file atomically and durably.
    fn rewrite(
        &mut self,
        files: &mut dyn Files,
        unix_seconds: f64,
        observations: &[GossipedObservation],
    ) -> io::Result<()> {
        let mut bytes = store_format::header();
        let incarnation = Record::Incarnation(self.incarnation);
        bytes.extend(store_format::encode_record(&incarnation).map_err(invalid_data)?);
        for observation in observations {
            bytes.extend(encode(unix_seconds, observation)?);
        }
        files.create(TEMPORARY_STORE_FILE)?;
        files.append(TEMPORARY_STORE_FILE, &bytes)?;
        files.sync(TEMPORARY_STORE_FILE)?;
        files.rename(TEMPORARY_STORE_FILE, STORE_FILE)?;
        files.sync_folder()?;
        self.file_bytes = bytes.len();
        self.rewritten_bytes = bytes.len();
        let written = observations
            .iter()
            .map(|observation| (key_of(observation), version_of(observation)));
        self.written = Some(written.collect());
        Ok(())
    }

    /// Makes the next saving rewrite the file: observations were removed and must be gone from the
    /// file, too.
    pub fn invalidate(&mut self) {
        self.written = None;
    }
}

fn recover(bytes: &[u8]) -> Recovered {
    if bytes.len() > MAX_STORE_BYTES {
        return Recovered {
            error: Some(FrameError::UnknownFormat),
            ..Recovered::default()
        };
    }
    store_format::recover(bytes)
}

fn found_in(recovered: Recovered) -> StoreContents {
    let mut found = StoreContents {
        error: recovered.error,
        ..StoreContents::default()
    };
    for record in recovered.records {
        match record {
            Record::Observation(observation) => found.observations.push(observation),
            Record::Incarnation(incarnation) => {
                found.incarnation = found.incarnation.max(incarnation);
            }
        }
    }
    found
}

fn move_aside(files: &mut dyn Files) -> io::Result<()> {
    files.rename(STORE_FILE, UNREADABLE_STORE_FILE)?;
    files.sync_folder()
}

fn copy_aside(files: &mut dyn Files, bytes: &[u8]) -> io::Result<()> {
    files.create(UNREADABLE_STORE_FILE)?;
    files.append(UNREADABLE_STORE_FILE, bytes)
}

/// Records of what differs from what was written, which is brought up to date.
fn encode_changes(
    written: &mut BTreeMap<Key, Version>,
    unix_seconds: f64,
    observations: &[GossipedObservation],
) -> io::Result<Vec<u8>> {
    let mut changes = Vec::new();
    for observation in observations {
        let version = version_of(observation);
        if written.insert(key_of(observation), version) != Some(version) {
            changes.extend(encode(unix_seconds, observation)?);
        }
    }
    Ok(changes)
}

fn encode(unix_seconds: f64, observation: &GossipedObservation) -> io::Result<Vec<u8>> {
    let record = Record::Observation(PersistedObservation {
        saved_at: unix_seconds,
        observation: observation.clone(),
    });
    store_format::encode_record(&record).map_err(invalid_data)
}

fn invalid_data(error: EncodeError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
