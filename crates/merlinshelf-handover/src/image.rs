//! An image of an instance: records by key, changed by atomic transactions, in a format that
//! different versions of the program can exchange.
//!
//! A transaction consists of `MSH1`, the length of its entries in bytes (u32, big endian) and the
//! entries. Each entry consists of its kind (u8), a name of 16 bytes, the length of its record (u32,
//! big endian) and the record in MessagePack; the length `u32::MAX` means that the record was
//! removed. Entries of an unknown kind are skipped.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

const MAGIC: [u8; 4] = *b"MSH1";
const TRANSACTION_HEADER_BYTES: usize = 8;
const NAME_BYTES: usize = 16;
const ENTRY_HEADER_BYTES: usize = 1 + NAME_BYTES + 4;
/// The length that marks a removal.
const REMOVED: u32 = u32::MAX;
/// An image with a full table of invocations of maximum size is a fraction of this.
const MAX_TRANSACTION_BYTES: usize = 256 * 1024 * 1024;

/// Identifies the object that a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The instance itself.
    Instance,
    /// The connection to the engine.
    EngineConnection,
    /// An edge node's connection, by its stream number.
    ClientConnection(u64),
    /// The responses queued for a client connection, by the same stream number.
    ResponseQueue(u64),
    /// A connection to the catalogue or a dependency, by its stream number.
    DownstreamConnection(u64),
    /// An invocation, by its id.
    Invocation([u8; 16]),
    /// A block of ids of invocations that were run, by its number.
    RecentRuns(u64),
    /// The process that journals goes on alone, and records nothing more.
    Detached,
}

impl Key {
    /// Encodes the key as kind and name.
    fn encode(self) -> (u8, [u8; NAME_BYTES]) {
        match self {
            Key::Instance => (1, [0; NAME_BYTES]),
            Key::EngineConnection => (2, [0; NAME_BYTES]),
            Key::ClientConnection(stream) => (3, encode_number(stream)),
            Key::ResponseQueue(stream) => (4, encode_number(stream)),
            Key::DownstreamConnection(stream) => (5, encode_number(stream)),
            Key::Invocation(id) => (6, id),
            Key::RecentRuns(number) => (7, encode_number(number)),
            Key::Detached => (8, [0; NAME_BYTES]),
        }
    }

    /// Decodes the key of an entry; `None` for a kind that this version does not know.
    fn decode(kind: u8, name: [u8; NAME_BYTES]) -> Option<Key> {
        let number = decode_number(name);
        match kind {
            1 => Some(Key::Instance),
            2 => Some(Key::EngineConnection),
            3 => Some(Key::ClientConnection(number)),
            4 => Some(Key::ResponseQueue(number)),
            5 => Some(Key::DownstreamConnection(number)),
            6 => Some(Key::Invocation(name)),
            7 => Some(Key::RecentRuns(number)),
            8 => Some(Key::Detached),
            _ => None,
        }
    }
}

/// Encodes the number of a stream or block into the last 8 bytes of a name.
fn encode_number(number: u64) -> [u8; NAME_BYTES] {
    let mut name = [0; NAME_BYTES];
    name[8..].copy_from_slice(&number.to_be_bytes());
    name
}

fn decode_number(name: [u8; NAME_BYTES]) -> u64 {
    let mut low = [0; 8];
    low.copy_from_slice(&name[8..]);
    u64::from_be_bytes(low)
}

/// Why bytes can't be decoded as an image.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes don't begin with the magic bytes of a transaction.
    #[error("missing magic bytes at the start of a transaction")]
    MissingMagic,
    /// The length in a transaction's header exceeds the maximum.
    #[error("transaction length of {bytes} bytes exceeds the maximum")]
    ExcessiveLength {
        /// The length in the header.
        bytes: usize,
    },
    /// A transaction ends within the header of an entry.
    #[error("truncated entry")]
    TruncatedEntry,
    /// A transaction ends within a record.
    #[error("truncated record")]
    TruncatedRecord,
    /// The bytes of a record don't decode to its type.
    #[error("the record of {key:?} can't be decoded: {reason}")]
    InvalidRecord {
        /// Which record.
        key: Key,
        /// The decoder's error.
        reason: String,
    },
}

/// Changes that are applied together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    bytes: Vec<u8>,
}

impl Transaction {
    /// Adds or replaces a record.
    pub fn put(&mut self, key: Key, record: &impl Serialize) {
        // Encoding a plain structure into memory can't fail. If it did, the former record would be
        // kept.
        if let Ok(record) = rmp_serde::to_vec_named(record) {
            self.push_entry(key, record.len() as u32, &record);
        }
    }

    /// Removes a record.
    pub fn remove(&mut self, key: Key) {
        self.push_entry(key, REMOVED, b"");
    }

    fn push_entry(&mut self, key: Key, length: u32, record: &[u8]) {
        if self.bytes.is_empty() {
            self.bytes.extend(MAGIC);
            self.bytes.extend([0; 4]); // the length, set in `take`
        }
        let (kind, name) = key.encode();
        self.bytes.push(kind);
        self.bytes.extend(name);
        self.bytes.extend(length.to_be_bytes());
        self.bytes.extend(record);
    }

    /// Whether it contains no change.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the encoded transaction, to be written at once, and leaves an empty one.
    pub fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if !bytes.is_empty() {
            let length = (bytes.len() - TRANSACTION_HEADER_BYTES) as u32;
            bytes[4..TRANSACTION_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        }
        bytes
    }
}

/// Records by key, each decoded on request. The keys of removed records are kept until
/// `take_removed`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    records: BTreeMap<Key, Option<Vec<u8>>>,
}

impl Image {
    /// Applies all complete transactions at the front of the bytes, and returns their total length.
    /// An incomplete transaction after them is ignored: its writer ended while writing it.
    ///
    /// # Errors
    /// The first invalid transaction; those before it were applied.
    pub fn apply(&mut self, bytes: &[u8]) -> Result<usize, DecodeError> {
        let mut applied_bytes = 0;
        while let Some((header, rest)) =
            bytes[applied_bytes..].split_at_checked(TRANSACTION_HEADER_BYTES)
        {
            if header[..4] != MAGIC {
                return Err(DecodeError::MissingMagic);
            }
            let length = decode_u32(&header[4..]) as usize;
            if length > MAX_TRANSACTION_BYTES {
                return Err(DecodeError::ExcessiveLength { bytes: length });
            }
            let Some(entries) = rest.get(..length) else {
                break;
            };
            self.apply_entries(entries)?;
            applied_bytes += TRANSACTION_HEADER_BYTES + length;
        }
        Ok(applied_bytes)
    }

    fn apply_entries(&mut self, mut entries: &[u8]) -> Result<(), DecodeError> {
        // All entries are decoded first, so that a corrupt transaction changes nothing.
        let mut changes = Vec::new();
        while !entries.is_empty() {
            let Some((header, rest)) = entries.split_at_checked(ENTRY_HEADER_BYTES) else {
                return Err(DecodeError::TruncatedEntry);
            };
            let mut name = [0; NAME_BYTES];
            name.copy_from_slice(&header[1..=NAME_BYTES]);
            let key = Key::decode(header[0], name);
            let length = decode_u32(&header[1 + NAME_BYTES..]);
            let record = match length {
                REMOVED => None,
                length => Some(
                    rest.get(..length as usize)
                        .ok_or(DecodeError::TruncatedRecord)?,
                ),
            };
            entries = &rest[record.map_or(0, <[u8]>::len)..];
            changes.extend(key.map(|key| (key, record.map(<[u8]>::to_vec))));
        }
        self.records.extend(changes);
        Ok(())
    }

    /// Decodes the record of a key; `None` if there is none.
    ///
    /// # Errors
    /// The record can't be decoded.
    pub fn decode<T: DeserializeOwned>(&self, key: Key) -> Result<Option<T>, DecodeError> {
        let Some(Some(bytes)) = self.records.get(&key) else {
            return Ok(None);
        };
        let invalid = |error: rmp_serde::decode::Error| DecodeError::InvalidRecord {
            key,
            reason: error.to_string(),
        };
        rmp_serde::from_slice(bytes).map(Some).map_err(invalid)
    }

    /// The record of a key, if it exists and can be decoded. Use `decode` to distinguish a missing
    /// record from an invalid one.
    pub fn get<T: DeserializeOwned>(&self, key: Key) -> Option<T> {
        self.decode(key).ok().flatten()
    }

    /// Whether there is a record of this key.
    pub fn contains(&self, key: Key) -> bool {
        self.records.get(&key).is_some_and(Option::is_some)
    }

    /// Whether the record was removed and `take_removed` was not called since.
    pub fn is_removed(&self, key: Key) -> bool {
        self.records.get(&key).is_some_and(Option::is_none)
    }

    /// The keys of all records, ordered by kind and name.
    pub fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.records
            .iter()
            .filter(|(_, record)| record.is_some())
            .map(|(key, _)| *key)
    }

    /// Returns the keys of removed records and forgets them. Call this once the objects that they
    /// described are known to be closed.
    pub fn take_removed(&mut self) -> Vec<Key> {
        let removed: Vec<Key> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_none())
            .map(|(key, _)| *key)
            .collect();
        for key in &removed {
            self.records.remove(key);
        }
        removed
    }

    /// The total size of all records, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.records.values().flatten().map(Vec::len).sum()
    }
}

/// Decodes the first four bytes as a big-endian number.
fn decode_u32(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .take(4)
        .fold(0, |number, byte| number << 8 | u32::from(*byte))
}
