//! The log file: a header, then records. A record is its length (u32, little endian), the CRC-32 of
//! its bytes (u32), and its bytes: MessagePack with fields by position. Variant names are stored,
//! so the serialized names must not change.
//!
//! The observation store of `merlinshelf-gossip` uses the same framing, but encodes fields by
//! name, and treats a record of an impossible length as damage where this file treats it as an
//! unfinished write. Neither package depends on the other, and a package for the dozen shared
//! lines would cost more than it saves.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::encoding::encode_messagepack;

/// First bytes of a log file: magic number and format version.
pub const FILE_HEADER: &[u8; 8] = b"MSC1\x01\0\0\0";
/// Maximum length of a record. An entry holds at most one policy document; a snapshot holds a few
/// of them and a history.
const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;
/// Length of the frame header before each record: payload length and checksum.
const FRAME_HEADER_BYTES: usize = 8;

/// One record of the log file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The replica's own slot, written at each start.
    #[serde(rename = "Seat")]
    VoterSlot {
        /// Number of the slot.
        id: u64,
        /// The incarnation that is starting.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// The latest known incarnation of another replica. Two processes with the same incarnation
    /// show that a disk was copied or reset to an older state.
    #[serde(rename = "Met")]
    PeerSlot {
        /// Number of the slot.
        id: u64,
        /// Its latest incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The boot id of the process with this incarnation.
        #[serde(rename = "ticket")]
        boot_id: u64,
    },
    /// Raft's persistent state (Raft paper, figure 2).
    #[serde(rename = "Hard")]
    HardState {
        /// The current term.
        term: u64,
        /// The slot voted for in this term; 0 for none.
        vote: u64,
        /// The highest index known to be committed.
        commit: u64,
    },
    /// An entry of the log in raft's encoding. It replaces all entries from its index on.
    Entry(ByteBuf),
    /// A snapshot in raft's encoding. It replaces the entries that it includes.
    Snapshot(ByteBuf),
}

impl Record {
    /// Encodes the record with its length and checksum, as stored in the file.
    pub fn encode_frame(&self) -> Vec<u8> {
        let payload = encode_messagepack(self);
        let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
        frame.extend(crc32fast::hash(&payload).to_le_bytes());
        frame.extend(payload);
        frame
    }
}

/// Why a log file can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogFileError {
    /// The file has another header.
    #[error("the file was written by another program or a later version")]
    UnknownHeader,
    /// A record before the last one is damaged. The records after it were acknowledged and may be
    /// lost.
    #[error("a record before the last one is damaged")]
    CorruptRecord {
        /// Where the record begins, in bytes from the start of the file.
        offset_bytes: usize,
    },
}

/// The readable part of a log file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredLog {
    /// The complete records in order.
    pub records: Vec<Record>,
    /// Length of the header and these records. Any bytes after them belong to an unfinished write,
    /// which was never acknowledged.
    pub used_bytes: usize,
}

/// Reads a log file. An incomplete record at the end is skipped.
///
/// # Errors
/// [`LogFileError`]: the file has another header, or a record before its last one is damaged.
pub fn recover(bytes: &[u8]) -> Result<RecoveredLog, LogFileError> {
    if bytes.len() < FILE_HEADER.len() && FILE_HEADER.starts_with(bytes) {
        return Ok(RecoveredLog::default());
    }
    if !bytes.starts_with(FILE_HEADER) {
        return Err(LogFileError::UnknownHeader);
    }
    let mut log = RecoveredLog {
        records: Vec::new(),
        used_bytes: FILE_HEADER.len(),
    };
    while let Some(frame) = Frame::split_from(&bytes[log.used_bytes..]) {
        let end = log.used_bytes + FRAME_HEADER_BYTES + frame.payload.len();
        match frame.decode() {
            Some(record) => log.records.push(record),
            // The process may have died while the last record was being written.
            None if end >= bytes.len() => break,
            None => {
                return Err(LogFileError::CorruptRecord {
                    offset_bytes: log.used_bytes,
                });
            }
        }
        log.used_bytes = end;
    }
    Ok(log)
}

/// A record's bytes and the checksum stored before them.
struct Frame<'a> {
    checksum: u32,
    payload: &'a [u8],
}

impl<'a> Frame<'a> {
    /// The frame at the start of these bytes; `None` if it is incomplete or too long.
    fn split_from(bytes: &'a [u8]) -> Option<Frame<'a>> {
        let length = read_u32(bytes, 0)? as usize;
        let checksum = read_u32(bytes, 4)?;
        if length > MAX_RECORD_BYTES {
            return None;
        }
        let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)?;
        Some(Frame { checksum, payload })
    }

    /// The record; `None` if it is damaged.
    fn decode(&self) -> Option<Record> {
        if crc32fast::hash(self.payload) != self.checksum {
            return None;
        }
        rmp_serde::from_slice(self.payload).ok()
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let four = bytes.get(offset..offset + 4)?;
    four.try_into().ok().map(u32::from_le_bytes)
}
