//! The log file of this agent's replica. A separate thread writes it: while the disk stalls, the
//! replica acknowledges nothing, and the rest of the agent keeps running.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};

use log::error;
use merlinshelf_backend::gossip::disk::Disk;
use merlinshelf_consensus::{FILE_HEADER, Record, recover};
use merlinshelf_gossip::Files;
use tokio::sync::mpsc::UnboundedSender;

const FILE: &str = "council";
const NEW_FILE: &str = "council.new";
const ASIDE_FILE: &str = "council.aside";

/// A failed write.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", file.display())]
pub(crate) struct LogWriteError {
    /// The log file.
    file: PathBuf,
    /// The error that the system reports.
    source: io::Error,
}

/// The result of one write, in the order of the writes.
#[derive(Debug)]
pub(crate) struct WriteResult {
    /// The start of the replica that requested the write. Results for an earlier start are ignored.
    pub generation: u64,
    pub result: Result<(), LogWriteError>,
}

enum Write {
    Append(Vec<Record>),
    Replace(Vec<Record>),
}

/// Handle of the writer thread; dropping it ends the thread after the last write.
pub(crate) struct LogWriter(Sender<Write>);

impl LogWriter {
    /// Starts the thread, which owns the disk from then on.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(
        disk: Disk,
        folder: &Path,
        generation: u64,
        results: UnboundedSender<WriteResult>,
    ) -> io::Result<LogWriter> {
        let (sender, queue) = channel();
        let file = folder.join(FILE);
        std::thread::Builder::new()
            .name("consensus-log".into())
            .spawn(move || run_writer(disk, &file, &queue, generation, &results))?;
        Ok(LogWriter(sender))
    }

    /// Appends records durably.
    pub fn append(&self, records: Vec<Record>) {
        // If the thread has ended, the missing result stops the replica.
        let _ = self.0.send(Write::Append(records));
    }

    /// Replaces the file with these records, atomically and durably.
    pub fn replace(&self, records: Vec<Record>) {
        let _ = self.0.send(Write::Replace(records));
    }
}

fn run_writer(
    mut disk: Disk,
    file: &Path,
    queue: &Receiver<Write>,
    generation: u64,
    results: &UnboundedSender<WriteResult>,
) {
    while let Ok(write) = queue.recv() {
        let result = match write {
            Write::Append(records) => append(&mut disk, &records),
            Write::Replace(records) => replace(&mut disk, &records),
        };
        let result = result.map_err(|source| LogWriteError {
            file: file.to_path_buf(),
            source,
        });
        if results.send(WriteResult { generation, result }).is_err() {
            return;
        }
    }
}

/// Locks the folder and reads the log. A damaged log is moved aside: the replica joins under a new
/// slot.
///
/// # Errors
/// Another process has locked the folder, or a file can't be read, written or renamed.
pub(crate) fn open(folder: &Path) -> io::Result<(Disk, Vec<Record>)> {
    let mut disk = Disk::lock(folder)?;
    let Some(bytes) = disk.read(FILE)? else {
        replace(&mut disk, &[])?;
        return Ok((disk, Vec::new()));
    };
    match recover(&bytes) {
        Ok(log) => {
            if log.used_bytes < bytes.len() || log.used_bytes == 0 {
                // Records must not be appended after an incomplete one.
                replace(&mut disk, &log.records)?;
            }
            Ok((disk, log.records))
        }
        Err(error) => {
            error!(
                error:% = error; "consensus log unusable: {error}; moved aside as {ASIDE_FILE}, joining under a new slot"
            );
            disk.rename(FILE, ASIDE_FILE)?;
            Ok((disk, Vec::new()))
        }
    }
}

fn append(disk: &mut Disk, records: &[Record]) -> io::Result<()> {
    let bytes: Vec<u8> = records.iter().flat_map(Record::encode_frame).collect();
    disk.append(FILE, &bytes)?;
    disk.sync(FILE)
}

fn replace(disk: &mut Disk, records: &[Record]) -> io::Result<()> {
    let mut bytes = FILE_HEADER.to_vec();
    bytes.extend(records.iter().flat_map(Record::encode_frame));
    disk.create(NEW_FILE)?;
    disk.append(NEW_FILE, &bytes)?;
    disk.sync(NEW_FILE)?;
    disk.rename(NEW_FILE, FILE)?;
    disk.sync_folder()
}
