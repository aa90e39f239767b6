//! What outlives the agent: the fleet's record, in a file behind the lock that makes this agent the
//! only one. A thread of its own writes it, so that a disk that stalls does not stall the
//! supervision; what is lost then is what the next agent would know.
//!
//! The file is a header and one record in the framing of `merlinshelf_gossip::store_format`.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use log::{info, warn};
use merlinshelf_backend::gossip::disk::Disk;
use merlinshelf_fleet::Record;
use merlinshelf_gossip::Files;
use merlinshelf_gossip::store_format::{FrameError, decode_frame, encode_frame};

#[cfg(test)]
mod tests;

const FILE: &str = "fleet";
const NEW_FILE: &str = "fleet.new";
const ASIDE_FILE: &str = "fleet.aside";
const FILE_HEADER: &[u8; 8] = b"MSF1\x01\0\0\0";
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// Why a stored record can't be used.
#[derive(Debug, thiserror::Error)]
enum StoreError {
    #[error("it is of another program or of a later version")]
    UnknownHeader,
    #[error("{0:?}")]
    Frame(FrameError),
    #[error("{0}")]
    Record(#[from] rmp_serde::decode::Error),
}

/// The writing thread's end; dropping it ends the thread after the last record.
pub(crate) struct FleetStore {
    records: Sender<Record>,
}

impl FleetStore {
    /// Locks the folder and reads what an earlier agent stored. A file that can't be decoded is
    /// moved aside: the instances are supervised anew, which is better than no supervision.
    ///
    /// # Errors
    /// Another agent holds the folder, or it can't be created.
    pub fn open(folder: &Path) -> io::Result<(FleetStore, Record)> {
        let mut disk = Disk::lock(folder)?;
        let record = read_record(&mut disk);
        let (records, queue) = channel();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || run_writer(disk, &queue))?;
        Ok((FleetStore { records }, record))
    }

    /// Stores a record in place of the one before it.
    pub fn save(&self, record: Record) {
        let _ = self.records.send(record); // the thread ends with the process only
    }
}

fn read_record(disk: &mut Disk) -> Record {
    match disk.read(FILE) {
        Ok(None) => Record::default(),
        Ok(Some(bytes)) => decode(&bytes).unwrap_or_else(|error| {
            warn!(error:% = error; "fleet record unreadable: {error}; moved aside as {ASIDE_FILE}");
            if let Err(error) = disk.rename(FILE, ASIDE_FILE) {
                warn!(error:% = error; "fleet record not moved aside: {error}");
            }
            Record::default()
        }),
        Err(error) => {
            warn!(error:% = error; "fleet record unreadable: {error}");
            Record::default()
        }
    }
}

fn run_writer(mut disk: Disk, queue: &Receiver<Record>) {
    let mut is_failing = false;
    while let Ok(mut record) = queue.recv() {
        // Of several records only the latest counts.
        while let Ok(later) = queue.try_recv() {
            record = later;
        }
        match write(&mut disk, &record) {
            Ok(()) if is_failing => {
                is_failing = false;
                info!("fleet record stored again");
            }
            Ok(()) => {}
            Err(error) if !is_failing => {
                is_failing = true;
                warn!(error:% = error; "fleet record not stored: {error}");
            }
            Err(_) => {}
        }
    }
}

/// Replaces the file atomically and durably.
fn write(files: &mut dyn Files, record: &Record) -> io::Result<()> {
    let bytes = encode(record)?;
    files.create(NEW_FILE)?;
    files.append(NEW_FILE, &bytes)?;
    files.sync(NEW_FILE)?;
    files.rename(NEW_FILE, FILE)?;
    files.sync_folder()
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let frame = encode_frame(record).map_err(io::Error::other)?;
    Ok([FILE_HEADER.as_slice(), &frame].concat())
}

fn decode(bytes: &[u8]) -> Result<Record, StoreError> {
    let frame = bytes
        .strip_prefix(FILE_HEADER)
        .ok_or(StoreError::UnknownHeader)?;
    let (payload, _) = decode_frame(frame, MAX_RECORD_BYTES).map_err(StoreError::Frame)?;
    Ok(rmp_serde::from_slice(payload)?)
}
