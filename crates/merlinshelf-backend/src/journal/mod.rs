//! The journal of a successor: a file in memory to which it writes every change before the change
//! takes effect, and from which its predecessor recovers everything if the successor dies.

#[cfg(test)]
mod tests;

use std::fs::File;
use std::io::{self, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::{FileExt, MetadataExt};

use merlinshelf_handover::{Image, Key, Transaction};
use rustix::fs::{FallocateFlags, MemfdFlags, fallocate, memfd_create};
use serde::Serialize;

/// The unit in which the system reports the allocated size of a file.
const BLOCK_BYTES: u64 = 512;
/// The unit in which the file's memory is released.
const PAGE_BYTES: u64 = 4096;
/// The maximum size of one read.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Creates a file that exists only in memory.
///
/// # Errors
/// No descriptor or memory is available.
pub fn memory_file(name: &str) -> io::Result<OwnedFd> {
    Ok(memfd_create(name, MemfdFlags::CLOEXEC)?)
}

/// The writing end. Staged records are written together as one transaction.
pub struct Journal {
    file: File,
    staged: Transaction,
}

impl Journal {
    /// A journal that is written to this file.
    pub fn new(file: OwnedFd) -> Journal {
        Journal {
            file: file.into(),
            staged: Transaction::default(),
        }
    }

    /// The memory used by records that have not been read yet.
    pub fn unread_bytes(&self) -> u64 {
        // The metadata of a file in memory can always be read; if not, no record counts as unread.
        self.file
            .metadata()
            .map_or(0, |metadata| metadata.blocks() * BLOCK_BYTES)
    }

    /// Stages a record.
    pub fn put(&mut self, key: Key, record: &impl Serialize) {
        self.staged.put(key, record);
    }

    /// Stages the removal of a record.
    pub fn remove(&mut self, key: Key) {
        self.staged.remove(key);
    }

    /// Writes the staged records. A change that can't be journaled must not take effect: without
    /// memory for the records this process aborts, and its predecessor recovers from the last
    /// transaction.
    pub fn write(&mut self) {
        if self.staged.is_empty() {
            return;
        }
        if let Err(error) = self.file.write_all(&self.staged.take()) {
            eprintln!("merlinshelf: journal not written, the predecessor recovers: {error}");
            std::process::abort();
        }
    }
}

/// The reading end.
pub struct JournalReader {
    file: File,
    /// The end of the last complete transaction that was read.
    offset: u64,
    chunk: Vec<u8>,
    /// Bytes read and not applied yet.
    buffer: Vec<u8>,
}

impl JournalReader {
    /// A reader that starts at the beginning of this file.
    pub fn new(file: OwnedFd) -> JournalReader {
        JournalReader {
            file: file.into(),
            offset: 0,
            chunk: vec![0; READ_CHUNK_BYTES],
            buffer: Vec::new(),
        }
    }

    /// Applies everything that was written since the last call, and releases its memory.
    ///
    /// # Errors
    /// The file can't be read, or contains an invalid transaction.
    pub fn read(&mut self, image: &mut Image) -> io::Result<()> {
        let start = self.offset;
        let mut end = self.offset;
        loop {
            let count = self.file.read_at(&mut self.chunk, end)?;
            if count == 0 {
                break;
            }
            self.buffer.extend(&self.chunk[..count]);
            end += count as u64;
            let applied = image.apply(&self.buffer).map_err(io::Error::other)?;
            self.buffer.drain(..applied);
            self.offset += applied as u64;
        }
        // An incomplete transaction is read again when it is complete.
        self.buffer.clear();
        self.release_memory(start);
        Ok(())
    }

    /// Releases the pages that were read since `start`.
    fn release_memory(&self, start: u64) {
        let first = start / PAGE_BYTES * PAGE_BYTES;
        let last = self.offset / PAGE_BYTES * PAGE_BYTES;
        if last > first {
            // If the kernel does not support this, only memory is wasted.
            let _ = fallocate(
                self.file.as_fd(),
                FallocateFlags::PUNCH_HOLE | FallocateFlags::KEEP_SIZE,
                first,
                last - first,
            );
        }
    }
}
