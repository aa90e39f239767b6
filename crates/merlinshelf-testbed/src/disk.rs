//! A simulated folder with fault injection, kept in memory. It can crash at a given operation, after which a random part of the
//! data not yet synced is lost, and it can be full, read-only or unreadable.

use std::collections::BTreeMap;
use std::io;

use merlinshelf_gossip::Files;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Debug, Default)]
struct Content {
    /// What is guaranteed to survive a crash.
    synced: Vec<u8>,
    current: Vec<u8>,
}

/// Faults of the folder other than a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    ReadOnly,
    /// This many more bytes can be written.
    Full(usize),
    Unreadable,
}

#[derive(Clone, Debug)]
pub struct Disk {
    /// File contents; `names` holds indices into this.
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    /// The names at the folder's last sync, and the changes since then in order.
    synced_names: BTreeMap<String, usize>,
    unsynced_changes: Vec<NameChange>,
    /// The number of the operation at which the folder crashes, if any.
    crash_at: Option<u32>,
    pub fault: Option<DiskFault>,
    pub operations: u32,
    rng: Pcg64Mcg,
}

#[derive(Clone, Debug)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String),
}

fn crashed() -> io::Error {
    io::Error::other("the machine has crashed")
}

impl Disk {
    pub fn new(rng: Pcg64Mcg) -> Disk {
        Disk {
            contents: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            unsynced_changes: Vec::new(),
            crash_at: None,
            fault: None,
            operations: 0,
            rng,
        }
    }

    /// Schedules a crash: the next `operations` operations succeed, the one after them is interrupted, and all later ones fail.
    pub fn crash_after(&mut self, operations: u32) {
        self.crash_at = Some(self.operations + operations);
    }

    /// Restarts the machine after a crash. Everything synced is there, and a random part of the rest.
    pub fn restart(&mut self) {
        self.crash_at = None;
        // A random prefix of the unsynced name changes survives.
        let count = self.rng.random_range(0..=self.unsynced_changes.len());
        let mut names = std::mem::take(&mut self.synced_names);
        for change in self.unsynced_changes.drain(..).take(count) {
            apply(&mut names, &change);
        }
        for content in &mut self.contents {
            // A random prefix of the unsynced bytes survives, and one bit of it may be flipped.
            let unsynced = content.current.len().saturating_sub(content.synced.len());
            let survived = self.rng.random_range(0..=unsynced);
            let mut bytes = content.current
                [..content.synced.len().min(content.current.len()) + survived]
                .to_vec();
            if survived > 0 && self.rng.random_bool(0.3) {
                let index = bytes.len() - 1 - self.rng.random_range(0..survived);
                bytes[index] ^= 1 << self.rng.random_range(0..8);
            }
            (content.synced, content.current) = (bytes.clone(), bytes);
        }
        (self.names, self.synced_names) = (names.clone(), names);
    }

    /// Adds a file that is already synced.
    pub fn insert_file(&mut self, name: &str, bytes: &[u8]) {
        self.contents.push(Content {
            synced: bytes.to_vec(),
            current: bytes.to_vec(),
        });
        self.names.insert(name.into(), self.contents.len() - 1);
        self.synced_names
            .insert(name.into(), self.contents.len() - 1);
    }

    pub fn contains(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// Counts an operation. Returns true if it succeeds, false if the crash interrupts it, and an error if it has no effect.
    fn next_operation(&mut self, writes: bool) -> io::Result<bool> {
        if let Some(crash_at) = self.crash_at {
            if self.operations > crash_at {
                return Err(crashed());
            }
            if self.operations == crash_at {
                self.operations += 1;
                return Ok(false);
            }
        }
        self.operations += 1;
        match self.fault {
            Some(DiskFault::ReadOnly) if writes => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            Some(DiskFault::Unreadable) if !writes => Err(io::Error::other("input/output error")),
            _ => Ok(true),
        }
    }

    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        let number = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.contents[number])
    }
}

fn apply(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Created(name, number) => _ = names.insert(name.clone(), *number),
        NameChange::Renamed(from, to) => {
            if let Some(number) = names.remove(from) {
                names.insert(to.clone(), number);
            }
        }
    }
}

impl Files for Disk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        if !self.next_operation(false)? {
            return Err(crashed());
        }
        Ok(self
            .names
            .get(name)
            .map(|number| self.contents[*number].current.clone()))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let complete = self.next_operation(true)?;
        if complete || self.rng.random() {
            self.contents.push(Content::default());
            let change = NameChange::Created(name.into(), self.contents.len() - 1);
            apply(&mut self.names, &change);
            self.unsynced_changes.push(change);
        }
        if complete { Ok(()) } else { Err(crashed()) }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let complete = self.next_operation(true)?;
        let mut written = if complete {
            bytes.len()
        } else {
            self.rng.random_range(0..=bytes.len())
        };
        if let Some(DiskFault::Full(bytes_left)) = &mut self.fault {
            written = written.min(*bytes_left);
            *bytes_left -= written;
        }
        self.content(name)?.current.extend(&bytes[..written]);
        match (complete, written == bytes.len()) {
            (true, true) => Ok(()),
            (true, false) => Err(io::ErrorKind::StorageFull.into()),
            (false, _) => Err(crashed()),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let complete = self.next_operation(true)?;
        let content = self.content(name)?;
        if complete {
            content.synced = content.current.clone();
        }
        if complete { Ok(()) } else { Err(crashed()) }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let complete = self.next_operation(true)?;
        if !self.names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        if complete || self.rng.random() {
            let change = NameChange::Renamed(from.into(), to.into());
            apply(&mut self.names, &change);
            self.unsynced_changes.push(change);
        }
        if complete { Ok(()) } else { Err(crashed()) }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if !self.next_operation(true)? {
            return Err(crashed());
        }
        self.unsynced_changes.clear();
        self.synced_names = self.names.clone();
        Ok(())
    }
}
