//! The format of the store file: a header, then checksummed records.
//!
//! The header is `MSK1` and the format's version (u32, little endian). A record is its length
//! (u32), the CRC-32 of its payload, and the payload in MessagePack. In version 1 the
//! payload is an observation with the wall-clock time at which it was saved; in version 2, which is
//! the version written, it is an observation or the number of an incarnation. Reading stops at the
//! first record that is torn or corrupt and reports it; the records before it are used.
//!
//! MessagePack maps carry field names, and unknown fields are skipped. Renamed fields and variants
//! keep their stored names by `#[serde(rename)]`.

use serde::{Deserialize, Serialize};

use crate::observation::GossipedObservation;

const HEADER: [u8; 8] = *b"MSK1\x02\0\0\0";
const HEADER_VERSION_1: [u8; 8] = *b"MSK1\x01\0\0\0";
/// Observations are far smaller.
const MAX_RECORD_BYTES: usize = 4096;
/// Length and checksum, 4 bytes each.
const FRAME_HEADER_BYTES: usize = 8;

/// An observation as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedObservation {
    /// When it was written, seconds of Unix time.
    #[serde(rename = "at")]
    pub saved_at: f64,
    /// The observation, with its age at that time.
    #[serde(rename = "told")]
    pub observation: GossipedObservation,
}

impl PersistedObservation {
    /// The observation with its age at this Unix time in seconds. A wall clock that was set back
    /// does not reduce the age.
    pub fn aged_to(self, unix_seconds: f64) -> GossipedObservation {
        let elapsed_seconds = (unix_seconds - self.saved_at).max(0.0);
        GossipedObservation {
            age_seconds: self.observation.age_seconds + elapsed_seconds,
            ..self.observation
        }
    }
}

/// What a record holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// An observation; a later one of the same metric and source replaces it.
    #[serde(rename = "Figure")]
    Observation(PersistedObservation),
    /// An incarnation of the instance started with this number.
    #[serde(rename = "Life")]
    Incarnation(u64),
}

/// A value can't be encoded as MessagePack.
#[derive(Debug, thiserror::Error)]
#[error("failed to encode a record: {0}")]
pub struct EncodeError(#[from] rmp_serde::encode::Error);

/// Why reading stopped before the end of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The header is not that of a known version.
    #[error("unknown format: written by another program or a later version")]
    UnknownFormat,
    /// The last record is incomplete.
    #[error("the last record is incomplete: the process or machine stopped while writing it")]
    Torn,
    /// A record's checksum does not match, or its payload can't be decoded.
    #[error("a record is corrupt")]
    Corrupt,
}

/// What was read from a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The records before the first unreadable one.
    pub records: Vec<Record>,
    /// Size of the header and these records.
    pub valid_bytes: usize,
    /// Why reading stopped there; `None` at the end of the file.
    pub error: Option<FrameError>,
}

/// The header of a new file.
pub fn header() -> Vec<u8> {
    HEADER.to_vec()
}

/// Encodes one record in its frame.
///
/// # Errors
/// The value can't be encoded.
pub fn encode_record(record: &Record) -> Result<Vec<u8>, EncodeError> {
    encode_frame(record)
}

/// Encodes any value in the frame of a record: length, CRC-32, and the value in MessagePack.
///
/// # Errors
/// The value can't be encoded.
pub fn encode_frame(value: &impl Serialize) -> Result<Vec<u8>, EncodeError> {
    let payload = rmp_serde::to_vec_named(value)?;
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// Reads a file up to the first unreadable record. An empty file is a new one, not an error.
pub fn recover(bytes: &[u8]) -> Recovered {
    let mut recovered = Recovered::default();
    if bytes.is_empty() {
        return recovered;
    }
    let is_version_1 = bytes.starts_with(&HEADER_VERSION_1);
    if !is_version_1 && !bytes.starts_with(&HEADER) {
        let is_torn = HEADER.starts_with(bytes) || HEADER_VERSION_1.starts_with(bytes);
        recovered.error = Some(if is_torn {
            FrameError::Torn
        } else {
            FrameError::UnknownFormat
        });
        return recovered;
    }
    let read_payload = if is_version_1 {
        read_version_1
    } else {
        read_version_2
    };
    recovered.valid_bytes = HEADER.len();
    while recovered.valid_bytes < bytes.len() {
        let rest = &bytes[recovered.valid_bytes..];
        let read = decode_frame(rest, MAX_RECORD_BYTES)
            .and_then(|(payload, frame_bytes)| Ok((read_payload(payload)?, frame_bytes)));
        match read {
            Ok((record, frame_bytes)) => {
                recovered.records.push(record);
                recovered.valid_bytes += frame_bytes;
            }
            Err(error) => {
                recovered.error = Some(error);
                break;
            }
        }
    }
    recovered
}

fn read_version_1(payload: &[u8]) -> Result<Record, FrameError> {
    let observation = rmp_serde::from_slice(payload).map_err(|_| FrameError::Corrupt)?;
    Ok(Record::Observation(observation))
}

fn read_version_2(payload: &[u8]) -> Result<Record, FrameError> {
    rmp_serde::from_slice(payload).map_err(|_| FrameError::Corrupt)
}

/// The payload of the frame at the start of `bytes`, and the size of the whole frame.
///
/// # Errors
/// The frame is incomplete, has no payload or one of more than `max_bytes`, or its checksum does
/// not match.
pub fn decode_frame(bytes: &[u8], max_bytes: usize) -> Result<(&[u8], usize), FrameError> {
    let length = read_u32(bytes, 0)? as usize;
    let checksum = read_u32(bytes, 4)?;
    if length == 0 || length > max_bytes {
        return Err(FrameError::Corrupt);
    }
    let frame_bytes = FRAME_HEADER_BYTES + length;
    let payload = bytes
        .get(FRAME_HEADER_BYTES..frame_bytes)
        .ok_or(FrameError::Torn)?;
    if crc32fast::hash(payload) != checksum {
        return Err(FrameError::Corrupt);
    }
    Ok((payload, frame_bytes))
}

fn read_u32(bytes: &[u8], offset: usize) -> Result<u32, FrameError> {
    let encoded = bytes.get(offset..offset + 4).ok_or(FrameError::Torn)?;
    let encoded = encoded.try_into().map_err(|_| FrameError::Torn)?;
    Ok(u32::from_le_bytes(encoded))
}
