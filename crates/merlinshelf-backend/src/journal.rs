//! The file in memory into which a successor notes every change before it shows, and from which its predecessor
//! takes everything back if it dies.

use std::fs::File;
use std::io::{self, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::FileExt;

use merlinshelf_handover::{Image, Key, Transaction};
use rustix::fs::{FallocateFlags, MemfdFlags, fallocate, memfd_create};
use serde::Serialize;

/// A file that is nowhere but in memory.
pub fn memory_file(name: &str) -> io::Result<OwnedFd> {
    Ok(memfd_create(name, MemfdFlags::CLOEXEC)?)
}

/// The writing end. What is staged counts once it is written, all of it or nothing.
pub struct Journal {
    file: File,
    staged: Transaction,
}

impl Journal {
    pub fn new(file: OwnedFd) -> Journal {
        Journal {
            file: file.into(),
            staged: Transaction::default(),
        }
    }

    /// Memory that notes take which nobody has read yet, in bytes.
    pub fn unread_bytes(&self) -> u64 {
        self.file.metadata().map_or(0, |state| {
            std::os::unix::fs::MetadataExt::blocks(&state) * 512
        })
    }

    pub fn put(&mut self, key: Key, record: &impl Serialize) {
        self.staged.put(key, record);
    }

    pub fn remove(&mut self, key: Key) {
        self.staged.remove(key);
    }

    /// Writes what is staged. What can't be noted must not show: without memory for it this process ends, and its
    /// predecessor goes on from the last note.
    pub fn write(&mut self) {
        if self.staged.is_empty() {
            return;
        }
        if let Err(error) = self.file.write_all(&self.staged.take()) {
            eprintln!("merlinshelf: changes can't be noted, the predecessor takes back: {error}");
            std::process::abort();
        }
    }
}

/// The reading end.
pub struct JournalReader {
    file: File,
    /// Up to where whole transactions were read.
    read: u64,
    gulp: Vec<u8>,
    come: Vec<u8>,
}

/// Read at one go.
const GULP: usize = 64 * 1024;

impl JournalReader {
    pub fn new(file: OwnedFd) -> JournalReader {
        JournalReader {
            file: file.into(),
            read: 0,
            gulp: vec![0; GULP],
            come: Vec::new(),
        }
    }

    /// Applies all that was noted since the last time, and gives its memory back.
    pub fn follow(&mut self, image: &mut Image) -> io::Result<()> {
        let (from, mut end) = (self.read, self.read);
        loop {
            let count = self.file.read_at(&mut self.gulp, end)?;
            if count == 0 {
                break;
            }
            self.come.extend(&self.gulp[..count]);
            end += count as u64;
            let used = image
                .apply(&self.come)
                .map_err(|why| io::Error::other(why.to_string()))?;
            self.come.drain(..used);
            self.read += used as u64;
        }
        self.come.clear(); // what is not whole is read again
        let page = 4096;
        let (first, last) = (from / page * page, self.read / page * page);
        if last > first {
            // What stays is a page at most; a kernel that can't do it costs memory, no more.
            let _ = fallocate(
                self.file.as_fd(),
                FallocateFlags::PUNCH_HOLE | FallocateFlags::KEEP_SIZE,
                first,
                last - first,
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use merlinshelf_handover::records::ResponseQueueRecord;

    #[test]
    fn what_was_noted_is_read_back_and_its_memory_given_back() {
        let file = memory_file("test").expect("a file");
        let copy = file.try_clone().expect("a copy");
        let size = |file: &OwnedFd| rustix::fs::fstat(file).expect("a state").st_blocks;
        let (mut journal, mut image) = (Journal::new(file), Image::default());
        let mut follower = JournalReader::new(copy.try_clone().expect("a copy"));
        let answers = |count: usize| ResponseQueueRecord {
            answers: vec![(
                1,
                merlinshelf_handover::records::Answer::Succeeded(vec![7; count].into()),
            )],
        };
        for round in 0..100_u64 {
            journal.put(Key::ResponseQueue(round % 7), &answers(20_000));
            if round % 3 == 0 {
                journal.remove(Key::ResponseQueue((round + 1) % 7));
            }
            journal.write();
            follower.follow(&mut image).expect("it can be read");
            assert!(size(&copy) <= 16, "{} blocks", size(&copy));
        }
        assert_eq!(
            image.get::<ResponseQueueRecord>(Key::ResponseQueue(99 % 7)),
            Some(answers(20_000))
        );
        assert!(image.is_removed(Key::ResponseQueue(100 % 7)));
    }
}
