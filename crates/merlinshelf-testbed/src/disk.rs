//! A folder that fails: between the store and files that are nowhere but in memory. It crashes at a chosen operation, loses
//! what was not synced as chance has it, and refuses when it is full or may only be read.

use std::collections::BTreeMap;
use std::io;

use merlinshelf_gossip::Files;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Debug, Default)]
struct Content {
    /// What a crash leaves for certain.
    kept: Vec<u8>,
    now: Vec<u8>,
}

/// How the folder fails, other than by a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    ReadOnly,
    /// So many bytes more can be written.
    Full(usize),
    Unreadable,
}

#[derive(Clone, Debug)]
pub struct Disk {
    /// Contents by number; names point at them.
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    /// Names as they were at the folder's last sync, and each change since, in order.
    synced_names: BTreeMap<String, usize>,
    changes: Vec<Change>,
    /// Operations that go well until the crash; none: it never comes.
    crash_after: Option<u32>,
    pub fault: Option<DiskFault>,
    pub operations: u32,
    rng: Pcg64Mcg,
}

#[derive(Clone, Debug)]
enum Change {
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
            changes: Vec::new(),
            crash_after: None,
            fault: None,
            operations: 0,
            rng,
        }
    }

    /// The operation after so many is cut short by a crash, and none after it does anything.
    pub fn crash_after(&mut self, operations: u32) {
        self.crash_after = Some(self.operations + operations);
    }

    /// The machine is up again: what was synced is there, of the rest as much as chance has it.
    pub fn restart(&mut self) {
        self.crash_after = None;
        // Of the changes of names some first ones are kept.
        let count = self.rng.random_range(0..=self.changes.len());
        let mut names = std::mem::take(&mut self.synced_names);
        for change in self.changes.drain(..).take(count) {
            apply(&mut names, &change);
        }
        for content in &mut self.contents {
            // What is behind the synced part is there up to some byte; of that a byte may be another.
            let more = content.now.len().saturating_sub(content.kept.len());
            let more = self.rng.random_range(0..=more);
            let mut bytes =
                content.now[..content.kept.len().min(content.now.len()) + more].to_vec();
            if more > 0 && self.rng.random_bool(0.3) {
                let place = bytes.len() - 1 - self.rng.random_range(0..more);
                bytes[place] ^= 1 << self.rng.random_range(0..8);
            }
            (content.kept, content.now) = (bytes.clone(), bytes);
        }
        (self.names, self.synced_names) = (names.clone(), names);
    }

    /// Puts a file there as if it had always been.
    pub fn insert_file(&mut self, name: &str, bytes: &[u8]) {
        self.contents.push(Content {
            kept: bytes.to_vec(),
            now: bytes.to_vec(),
        });
        self.names.insert(name.into(), self.contents.len() - 1);
        self.synced_names
            .insert(name.into(), self.contents.len() - 1);
    }

    pub fn contains(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// Whether an operation is to go well, be cut short, or do nothing.
    fn next_operation(&mut self, writes: bool) -> io::Result<bool> {
        if let Some(after) = self.crash_after {
            if self.operations > after {
                return Err(crashed());
            }
            if self.operations == after {
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

fn apply(names: &mut BTreeMap<String, usize>, change: &Change) {
    match change {
        Change::Created(name, number) => _ = names.insert(name.clone(), *number),
        Change::Renamed(from, to) => {
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
            .map(|number| self.contents[*number].now.clone()))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let whole = self.next_operation(true)?;
        if whole || self.rng.random() {
            self.contents.push(Content::default());
            let change = Change::Created(name.into(), self.contents.len() - 1);
            apply(&mut self.names, &change);
            self.changes.push(change);
        }
        if whole { Ok(()) } else { Err(crashed()) }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let whole = self.next_operation(true)?;
        let mut most = if whole {
            bytes.len()
        } else {
            self.rng.random_range(0..=bytes.len())
        };
        if let Some(DiskFault::Full(left)) = &mut self.fault {
            most = most.min(*left);
            *left -= most;
        }
        self.content(name)?.now.extend(&bytes[..most]);
        match (whole, most == bytes.len()) {
            (true, true) => Ok(()),
            (true, false) => Err(io::ErrorKind::StorageFull.into()),
            (false, _) => Err(crashed()),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let whole = self.next_operation(true)?;
        let content = self.content(name)?;
        if whole {
            content.kept = content.now.clone();
        }
        if whole { Ok(()) } else { Err(crashed()) }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let whole = self.next_operation(true)?;
        if !self.names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        if whole || self.rng.random() {
            let change = Change::Renamed(from.into(), to.into());
            apply(&mut self.names, &change);
            self.changes.push(change);
        }
        if whole { Ok(()) } else { Err(crashed()) }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if !self.next_operation(true)? {
            return Err(crashed());
        }
        self.changes.clear();
        self.synced_names = self.names.clone();
        Ok(())
    }
}
