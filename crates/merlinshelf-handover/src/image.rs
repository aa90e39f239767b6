//! An image of an instance: records by key, changed by whole transactions, as bytes that two versions can share.
//!
//! A transaction is `MSH1`, the length of what follows (u32, big endian), then its entries. Each entry is its kind
//! (u8), 16 bytes of name, a length (u32), and so many bytes of a record in MessagePack; the length `u32::MAX` means that
//! the thing is gone. Entries of a kind that is not known are passed over.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;

const MAGIC: [u8; 4] = *b"MSH1";
const HEAD: usize = 8;
const ENTRY_HEAD: usize = 1 + 16 + 4;
const GONE: u32 = u32::MAX;
/// No transaction is longer: an image of a full table of invocations at their largest is a fraction of it.
const TRANSACTION_MOST: usize = 256 * 1024 * 1024;

/// What a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Instance,
    EngineConnection,
    /// An edge node's connection, and the answers that wait for it.
    ClientConnection(u64),
    ResponseQueue(u64),
    /// A connection to the catalogue.
    DownstreamConnection(u64),
    /// An invocation, by its id.
    Invocation([u8; 16]),
}

impl Key {
    fn parts(self) -> (u8, [u8; 16]) {
        let number = |number: u64| {
            let mut name = [0; 16];
            name[8..].copy_from_slice(&number.to_be_bytes());
            name
        };
        match self {
            Key::Instance => (1, [0; 16]),
            Key::EngineConnection => (2, [0; 16]),
            Key::ClientConnection(of) => (3, number(of)),
            Key::ResponseQueue(of) => (4, number(of)),
            Key::DownstreamConnection(of) => (5, number(of)),
            Key::Invocation(id) => (6, id),
        }
    }

    fn read(kind: u8, name: [u8; 16]) -> Option<Key> {
        let mut low = [0; 8];
        low.copy_from_slice(&name[8..]);
        let number = u64::from_be_bytes(low);
        Some(match kind {
            1 => Key::Instance,
            2 => Key::EngineConnection,
            3 => Key::ClientConnection(number),
            4 => Key::ResponseQueue(number),
            5 => Key::DownstreamConnection(number),
            6 => Key::Invocation(name),
            _ => return None,
        })
    }
}

/// Why bytes are no image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(pub &'static str);

impl std::fmt::Display for DecodeError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.write_str(self.0)
    }
}

/// Changes that count together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    bytes: Vec<u8>,
}

impl Transaction {
    pub fn put(&mut self, key: Key, record: &impl Serialize) {
        // A record is a plain structure; what can't be written would be a fault of this crate.
        if let Ok(record) = rmp_serde::to_vec_named(record) {
            self.entry(key, record.len() as u32, &record);
        }
    }

    pub fn remove(&mut self, key: Key) {
        self.entry(key, GONE, b"");
    }

    fn entry(&mut self, key: Key, length: u32, record: &[u8]) {
        if self.bytes.is_empty() {
            self.bytes.extend(MAGIC);
            self.bytes.extend([0; 4]);
        }
        let (kind, name) = key.parts();
        self.bytes.push(kind);
        self.bytes.extend(name);
        self.bytes.extend(length.to_be_bytes());
        self.bytes.extend(record);
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The whole transaction, to be written in one go. It is empty afterwards.
    pub fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if !bytes.is_empty() {
            let length = (bytes.len() - HEAD) as u32;
            bytes[4..HEAD].copy_from_slice(&length.to_be_bytes());
        }
        bytes
    }
}

/// Records by key, undecoded until asked for; of those that are gone the keys, as far as they were ever there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    records: BTreeMap<Key, Option<Vec<u8>>>,
}

impl Image {
    /// Applies all whole transactions at the front of the bytes and says how many bytes they are: what is behind
    /// them was being written when its writer ended, and never happened.
    pub fn apply(&mut self, bytes: &[u8]) -> Result<usize, DecodeError> {
        let mut used = 0;
        while let Some((head, rest)) = bytes[used..].split_at_checked(HEAD) {
            if head[..4] != MAGIC {
                return Err(DecodeError("no transaction where one must begin"));
            }
            let length = number(&head[4..]) as usize;
            if length > TRANSACTION_MOST {
                return Err(DecodeError("a transaction of an impossible length"));
            }
            let Some(entries) = rest.get(..length) else {
                break;
            };
            self.entries(entries)?;
            used += HEAD + length;
        }
        Ok(used)
    }

    fn entries(&mut self, mut entries: &[u8]) -> Result<(), DecodeError> {
        // First the whole of it is read, so that a spoilt one changes nothing.
        let mut changes = Vec::new();
        while !entries.is_empty() {
            let Some((head, rest)) = entries.split_at_checked(ENTRY_HEAD) else {
                return Err(DecodeError("an entry that is cut short"));
            };
            let mut name = [0; 16];
            name.copy_from_slice(&head[1..17]);
            let (key, length) = (Key::read(head[0], name), number(&head[17..]));
            let record = match length {
                GONE => None,
                length => Some(
                    rest.get(..length as usize)
                        .ok_or(DecodeError("a record that is cut short"))?,
                ),
            };
            entries = &rest[record.map_or(0, <[u8]>::len)..];
            changes.extend(key.map(|key| (key, record.map(<[u8]>::to_vec))));
        }
        self.records.extend(changes);
        Ok(())
    }

    /// The record under that key, if it is there and can be read.
    pub fn get<T: DeserializeOwned>(&self, key: Key) -> Option<T> {
        let bytes = self.records.get(&key)?.as_ref()?;
        rmp_serde::from_slice(bytes).ok()
    }

    /// Whether that thing was there and is gone.
    pub fn is_removed(&self, key: Key) -> bool {
        self.records.get(&key).is_some_and(Option::is_none)
    }

    /// What is there, in the order of kinds and names.
    pub fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.records
            .iter()
            .filter(|(_, record)| record.is_some())
            .map(|(key, _)| *key)
    }

    /// Takes out the keys that are gone: what they stood for is known to be closed.
    pub fn take_removed(&mut self) -> Vec<Key> {
        let gone: Vec<Key> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_none())
            .map(|(key, _)| *key)
            .collect();
        for key in &gone {
            self.records.remove(key);
        }
        gone
    }

    /// Bytes of all records.
    pub fn size_bytes(&self) -> usize {
        self.records.values().flatten().map(Vec::len).sum()
    }
}

fn number(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .take(4)
        .fold(0, |number, byte| number << 8 | u32::from(*byte))
}
