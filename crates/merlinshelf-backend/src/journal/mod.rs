//! The file in memory into which a successor records every change before its effect shows, and from
//! which its predecessor recovers everything if the successor dies.

#[cfg(test)]
mod tests;

use std::fs::File;
use std::io::{self, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::{FileExt, MetadataExt};

use merlinshelf_handover::{Image, Key, Transaction};
use rustix::fs::{FallocateFlags, MemfdFlags, fallocate, memfd_create};
use serde::Serialize;

/// The unit in which the system reports the size of a file.
const BLOCK_BYTES: u64 = 512;
/// The unit in which memory of the file is released.
const PAGE_BYTES: u64 = 4096;
/// Read at one time.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Creates a file that exists in memory alone.
///
/// # Errors
/// No descriptor or memory can be had.
pub fn memory_file(name: &str) -> io::Result<OwnedFd> {
    Ok(memfd_create(name, MemfdFlags::CLOEXEC)?)
}

/// The writing end. What is staged is recorded once it is written, all of it or nothing.
pub struct Journal {
    file: File,
    staged: Transaction,
}

impl Journal {
    /// A journal in this file.
    pub fn new(file: OwnedFd) -> Journal {
        Journal {
            file: file.into(),
            staged: Transaction::default(),
        }
    }

    /// Memory that is taken by records which nobody has read yet.
    pub fn unread_bytes(&self) -> u64 {
        // A file in memory always has metadata; without them nothing is known to be unread.
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

    /// Writes what is staged. An effect that can't be recorded must not show: without memory for
    /// the record this process aborts, and its predecessor recovers from the last one.
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
    /// Up to where complete transactions were read.
    offset: u64,
    chunk: Vec<u8>,
    /// Read and not applied yet.
    buffer: Vec<u8>,
}

impl JournalReader {
    /// A reader of this file from its start.
    pub fn new(file: OwnedFd) -> JournalReader {
        JournalReader {
            file: file.into(),
            offset: 0,
            chunk: vec![0; READ_CHUNK_BYTES],
            buffer: Vec::new(),
        }
    }

    /// Applies everything that was recorded since the last time, and releases its memory.
    ///
    /// # Errors
    /// The file can't be read, or contains what is no transaction.
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
        // An incomplete transaction is read again once it is complete.
        self.buffer.clear();
        self.release_memory(start);
        Ok(())
    }

    /// Releases the pages that were read since `start`.
    fn release_memory(&self, start: u64) {
        let first = start / PAGE_BYTES * PAGE_BYTES;
        let last = self.offset / PAGE_BYTES * PAGE_BYTES;
        if last > first {
            // A kernel that can't do this costs memory, no more.
            let _ = fallocate(
                self.file.as_fd(),
                FallocateFlags::PUNCH_HOLE | FallocateFlags::KEEP_SIZE,
                first,
                last - first,
            );
        }
    }
}
