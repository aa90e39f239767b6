//! What outlives the agent, in a file behind the lock that makes it the only one. A thread of its own writes it: a disk that is
//! stuck costs what would be known after the agent's death, not the fleet.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use log::{info, warn};
use merlinshelf_backend::learning::folder::Disk;
use merlinshelf_fleet::Record;
use merlinshelf_gossip::Files;
use merlinshelf_gossip::store_format::{framed, unframed};

const FILE: &str = "fleet";
const NEXT: &str = "fleet.new";
const ASIDE: &str = "fleet.aside";
const HEAD: &[u8; 8] = b"MSF1\x01\0\0\0";
const LENGTH_MOST: usize = 64 * 1024 * 1024;

pub struct Store {
    records: Sender<Record>,
}

impl Store {
    /// Takes the folder, and what an earlier agent left there. A file that can't be read is set aside and told.
    ///
    /// # Errors
    /// Another agent holds the folder, or it can't be made.
    pub fn open(folder: &Path) -> io::Result<(Store, Record)> {
        let mut disk = Disk::lock(folder)?;
        let record = match disk.read(FILE) {
            Ok(None) => Record::default(),
            Ok(Some(bytes)) => read(&bytes).unwrap_or_else(|why| {
                warn!(
                    "what an earlier agent left can't be read: {why}; it is set aside as {ASIDE}"
                );
                let _ = disk.rename(FILE, ASIDE);
                Record::default()
            }),
            Err(error) => {
                warn!("what an earlier agent left can't be read: {error}");
                Record::default()
            }
        };
        let (records, work) = channel();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || keep(disk, &work))?;
        Ok((Store { records }, record))
    }

    pub fn save(&self, record: Record) {
        let _ = self.records.send(record); // the thread has ended with the process
    }
}

fn keep(mut disk: Disk, work: &Receiver<Record>) {
    let mut failing = false;
    while let Ok(mut record) = work.recv() {
        // Of several that wait only the last counts.
        while let Ok(later) = work.try_recv() {
            record = later;
        }
        match write(&mut disk, &record) {
            Ok(()) if failing => {
                failing = false;
                info!("the fleet's state is kept again");
            }
            Ok(()) => {}
            Err(error) if !failing => {
                failing = true;
                warn!("the fleet's state is not kept: {error}");
            }
            Err(_) => {}
        }
    }
}

fn write(files: &mut dyn Files, record: &Record) -> io::Result<()> {
    let mut bytes = HEAD.to_vec();
    bytes.extend(framed(record));
    files.create(NEXT)?;
    files.append(NEXT, &bytes)?;
    files.sync(NEXT)?;
    files.rename(NEXT, FILE)?;
    files.sync_folder()
}

fn read(bytes: &[u8]) -> Result<Record, String> {
    let rest = bytes
        .strip_prefix(HEAD)
        .ok_or("it is of another program or of a later version")?;
    let (record, _) = unframed(rest, LENGTH_MOST).map_err(|flaw| format!("{flaw:?}"))?;
    rmp_serde::from_slice(record).map_err(|error| error.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_kept_is_read_back_and_what_is_spoilt_is_named() {
        let mut record = Record {
            plans: 7,
            ..Record::default()
        };
        record.counts.insert("web".into(), 3);
        let mut bytes = HEAD.to_vec();
        bytes.extend(framed(&record));
        assert_eq!(read(&bytes), Ok(record));
        for cut in 0..bytes.len() {
            assert!(read(&bytes[..cut]).is_err());
        }
        bytes[20] ^= 1;
        assert!(read(&bytes).is_err());
    }
}
