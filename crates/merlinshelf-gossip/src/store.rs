//! The file that keeps observations across crashes and power loss. This module decides which bytes
//! are written when; the host provides the primitive file operations, so that tests can inject
//! failures. A failure affects only persistence, not the service.

use std::collections::BTreeMap;
use std::io;

use crate::metric::Metric;
use crate::observation::{GossipedObservation, Source};
use crate::store_format::{self, EncodeError, FrameError, PersistedObservation, Record, Recovered};

/// Name of the store file.
pub const STORE_FILE: &str = "knowledge";
/// File that is written first and then renamed to [`STORE_FILE`].
pub const TEMPORARY_STORE_FILE: &str = "knowledge.new";
/// Name under which an unreadable store file is kept.
pub const UNREADABLE_STORE_FILE: &str = "knowledge.aside";
/// A longer file was not written by this program.
pub const MAX_STORE_BYTES: usize = 8 * 1024 * 1024;

/// The file is rewritten once it has grown to `MAX_GROWTH` times its size after the last rewrite
/// plus `MIN_GROWTH_BYTES`.
const MAX_GROWTH: usize = 4;
const MIN_GROWTH_BYTES: usize = 64 * 1024;

/// Primitive operations on the files of one folder, each of which may fail or be interrupted by a
/// crash. After a crash, data that was not synced may be there completely, in part or not at all;
/// the same applies to file names until the folder is synced.
pub trait Files {
    /// Reads the whole file; `None` if it does not exist.
    ///
    /// # Errors
    /// The file system operation failed.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates an empty file, replacing one of this name.
    ///
    /// # Errors
    /// The file system operation failed.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the file.
    ///
    /// # Errors
    /// The file system operation failed; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Waits until the file's content is durable.
    ///
    /// # Errors
    /// The file system operation failed.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing one of the new name.
    ///
    /// # Errors
    /// The file system operation failed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Waits until the folder's entries are durable.
    ///
    /// # Errors
    /// The file system operation failed.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// The contents of the store file at startup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreContents {
    /// The readable observations, in the order in which they were written.
    pub observations: Vec<PersistedObservation>,
    /// The highest incarnation number in the file.
    pub incarnation: u64,
    /// Why the file could not be read to its end.
    pub error: Option<FrameError>,
    /// Whether the file, or a copy of it, was therefore kept as [`UNREADABLE_STORE_FILE`].
    pub was_moved_aside: bool,
}

/// Identifies an observation in the file.
type Key = (Metric, Source);

/// An observation is written again when one of these has changed.
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

/// Writes observations to the store file.
#[derive(Debug, Default)]
pub struct Store {
    incarnation: u64,
    /// The latest version of each observation in the file; `None` if unknown, so that the next save
    /// rewrites the file.
    written: Option<BTreeMap<Key, Version>>,
    /// Size of the file now and after the last rewrite.
    file_bytes: usize,
    rewritten_bytes: usize,
}

impl Store {
    /// Reads the store file. An unreadable file is reported and, if possible, kept as
    /// [`UNREADABLE_STORE_FILE`].
    ///
    /// # Errors
    /// The file can't be read. The caller may continue with an empty store and still save.
    pub fn open(files: &mut dyn Files) -> io::Result<(Store, StoreContents)> {
        let Some(bytes) = files.read(STORE_FILE)? else {
            return Ok((Store::default(), StoreContents::default()));
        };
        let mut contents = contents_of(recover(&bytes));
        contents.was_moved_aside = match contents.error {
            Some(FrameError::UnknownFormat) => move_aside(files).is_ok(),
            // A copy, since its readable records stay in use until the next save replaces it.
            Some(FrameError::Corrupt) => copy_aside(files, &bytes).is_ok(),
            Some(FrameError::Torn) | None => false,
        };
        let store = Store {
            incarnation: contents.incarnation,
            ..Store::default()
        };
        Ok((store, contents))
    }

    /// Starts an incarnation. Its number is higher than all previous ones in the file and at least
    /// the wall clock in milliseconds of Unix time, which exceeds numbers whose records were lost.
    pub fn begin_incarnation(&mut self, unix_milliseconds: u64) -> u64 {
        self.incarnation = unix_milliseconds.max(self.incarnation + 1);
        self.incarnation
    }

    /// Saves all observations: appends those that have changed, or rewrites the file if it has
    /// grown too large or may be incomplete. `unix_seconds` is the wall clock.
    ///
    /// # Errors
    /// A file system operation failed. The next save then rewrites the file.
    pub fn save(
        &mut self,
        files: &mut dyn Files,
        unix_seconds: f64,
        observations: &[GossipedObservation],
    ) -> io::Result<()> {
        // If anything below fails, the file may be incomplete and `written` stays `None`.
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

    /// Makes the next save rewrite the file, so that removed observations are also removed from it.
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

fn contents_of(recovered: Recovered) -> StoreContents {
    let mut contents = StoreContents {
        error: recovered.error,
        ..StoreContents::default()
    };
    for record in recovered.records {
        match record {
            Record::Observation(observation) => contents.observations.push(observation),
            Record::Incarnation(incarnation) => {
                contents.incarnation = contents.incarnation.max(incarnation);
            }
        }
    }
    contents
}

fn move_aside(files: &mut dyn Files) -> io::Result<()> {
    files.rename(STORE_FILE, UNREADABLE_STORE_FILE)?;
    files.sync_folder()
}

fn copy_aside(files: &mut dyn Files, bytes: &[u8]) -> io::Result<()> {
    files.create(UNREADABLE_STORE_FILE)?;
    files.append(UNREADABLE_STORE_FILE, bytes)
}

/// Encodes the observations that differ from those in `written`, and updates it.
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
