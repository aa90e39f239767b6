//! The gossip store's files in a folder on disk.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use merlinshelf_gossip::store::{Files, MAX_STORE_BYTES, Store, StoreContents};
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;

const LOCK_FILE: &str = "lock";

/// The files of a folder whose lock this process holds.
pub struct Disk {
    folder: PathBuf,
    _lock: File,
}

impl Disk {
    /// Locks the folder, which is created if it does not exist.
    ///
    /// # Errors
    /// Another process holds the lock, or the file system fails.
    pub fn lock(folder: &Path) -> io::Result<Disk> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|error| match error {
            Errno::WOULDBLOCK => io::Error::other("another process holds the folder"),
            error => error.into(),
        })?;
        Ok(Disk {
            folder: folder.to_path_buf(),
            _lock: lock,
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

impl Files for Disk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        read_file(&self.path(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        File::create(self.path(name)).map(|_| ())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new().append(true).open(self.path(name))?;
        file.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.path(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

/// Reads the gossip store of a folder, without its lock and without changing anything.
///
/// # Errors
/// The file system fails.
pub fn read_store(folder: &Path) -> io::Result<StoreContents> {
    let (_, found) = Store::open(&mut ReadOnlyFolder(folder))?;
    Ok(found)
}

struct ReadOnlyFolder<'a>(&'a Path);

impl Files for ReadOnlyFolder<'_> {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        read_file(&self.0.join(name))
    }

    fn create(&mut self, _: &str) -> io::Result<()> {
        Err(io::ErrorKind::ReadOnlyFilesystem.into())
    }

    fn append(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::ReadOnlyFilesystem.into())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Err(io::ErrorKind::ReadOnlyFilesystem.into())
    }

    fn rename(&mut self, _: &str, _: &str) -> io::Result<()> {
        Err(io::ErrorKind::ReadOnlyFilesystem.into())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::ReadOnlyFilesystem.into())
    }
}

fn read_file(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    // Reads one byte more than a store may have, which shows that the file is too large.
    file.take(MAX_STORE_BYTES as u64 + 1)
        .read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}
