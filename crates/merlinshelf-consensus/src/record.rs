//! What must outlive a member, as records of a file: each is its length, the CRC-32 of what follows, and so many bytes of
//! MessagePack, as in the store of what is known. What is torn at the end was never acted on.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// The head of a file and its form.
pub const FILE_HEADER: &[u8; 8] = b"MSC1\x01\0\0\0";
/// An entry holds a document at the most; a snapshot a few of them and a history.
const LENGTH_MOST: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The seat and which life of it begins.
    #[serde(rename = "Seat")]
    VoterSlot {
        id: u64,
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// The latest life of another's seat, and the ticket of the process that lived it: the same life twice is one too many.
    #[serde(rename = "Met")]
    PeerSlot {
        id: u64,
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "ticket")]
        boot_id: u64,
    },
    #[serde(rename = "Hard")]
    HardState { term: u64, vote: u64, commit: u64 },
    /// An entry of the log; one with the same or a lower number takes the place of all from there on.
    Entry(ByteBuf),
    /// Everything up to a point, in place of the entries.
    Snapshot(ByteBuf),
}

impl Record {
    pub fn encode_frame(&self) -> Vec<u8> {
        let bytes = rmp_serde::to_vec(self).unwrap_or_default();
        let mut out = (bytes.len() as u32).to_le_bytes().to_vec();
        out.extend(crc32fast::hash(&bytes).to_le_bytes());
        out.extend(bytes);
        out
    }
}

/// The records of a file as far as they can be read, and how many bytes these are. What is there is of another program
/// where no head is.
///
/// # Errors
/// The file is of another program or of a later form, or a record in its midst is not what was written: what came behind it
/// was promised, and can't be told.
pub fn recover(bytes: &[u8]) -> Result<(Vec<Record>, usize), &'static str> {
    if bytes.len() < FILE_HEADER.len() && FILE_HEADER.starts_with(bytes) {
        return Ok((Vec::new(), 0));
    }
    let mut used = FILE_HEADER.len();
    if !bytes.starts_with(FILE_HEADER) {
        return Err("it is of another program or of a later form");
    }
    let mut records = Vec::new();
    let number = |at: usize| {
        bytes
            .get(at..at + 4)
            .and_then(|four| four.try_into().ok())
            .map(u32::from_le_bytes)
    };
    while let (Some(length), Some(sum)) = (number(used), number(used + 4)) {
        let length = length as usize;
        let Some(record) = bytes
            .get(used + 8..used + 8 + length)
            .filter(|_| length <= LENGTH_MOST)
        else {
            break;
        };
        match rmp_serde::from_slice(record) {
            Ok(read) if crc32fast::hash(record) == sum => records.push(read),
            // The last one may have been under way when its writer died.
            _ if used + 8 + length >= bytes.len() => break,
            _ => return Err("a record in its midst is not what was written"),
        }
        used += 8 + length;
    }
    Ok((records, used))
}
