//! The form in which a book is kept: a head, then records, each whole or not at all.
//!
//! The head is `MSK1` and the form's number (u32, little endian). A record is its length (u32), the CRC-32 of what follows,
//! and so many bytes of MessagePack. In form 1 they are a figure, its age as of a wall clock's moment; in form 2, the one
//! that is written, a figure or the number of a life that was begun. Whatever is torn, garbled or foreign is told and ends
//! the reading there; what came before it counts.

use serde::{Deserialize, Serialize};

use crate::observation::GossipedObservation;

const HEAD: [u8; 8] = *b"MSK1\x02\0\0\0";
const FIRST_FORM: [u8; 8] = *b"MSK1\x01\0\0\0";
/// A told figure is a fraction of it.
const RECORD_MOST: usize = 4096;

/// A figure as it is written: `at` is when, in seconds of Unix time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedObservation {
    pub at: f64,
    pub told: GossipedObservation,
}

/// What a record holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    #[serde(rename = "Figure")]
    Observation(PersistedObservation),
    /// A life of the instance was begun under this number.
    Life(u64),
}

/// Why reading ended before the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The file is of another program, or of a later form.
    Foreign,
    /// The last record was being written when its writer ended.
    Torn,
    /// A record's bytes are not what was written.
    Garbled,
}

/// What a file held: the records that can be read, how many bytes these are, and the flaw behind them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    pub records: Vec<Record>,
    pub used: usize,
    pub flaw: Option<FrameError>,
}

/// The head of a new file.
pub fn head() -> Vec<u8> {
    HEAD.to_vec()
}

/// One record.
pub fn record(record: &Record) -> Vec<u8> {
    framed(record)
}

/// Anything in the form of a record: its length, the CRC-32 of what follows, and so many bytes of MessagePack.
pub fn framed(value: &impl Serialize) -> Vec<u8> {
    let bytes = rmp_serde::to_vec_named(value).unwrap_or_default();
    let mut out = (bytes.len() as u32).to_le_bytes().to_vec();
    out.extend(crc32fast::hash(&bytes).to_le_bytes());
    out.extend(bytes);
    out
}

/// Reads a file as far as it can be read. An empty one is new, and no flaw.
pub fn recover(bytes: &[u8]) -> Recovered {
    let mut recovered = Recovered::default();
    if bytes.is_empty() {
        return recovered;
    }
    let first_form = bytes.starts_with(&FIRST_FORM);
    if !first_form && !bytes.starts_with(&HEAD) {
        let torn = HEAD.starts_with(bytes) || FIRST_FORM.starts_with(bytes);
        recovered.flaw = Some(if torn {
            FrameError::Torn
        } else {
            FrameError::Foreign
        });
        return recovered;
    }
    recovered.used = HEAD.len();
    while recovered.used < bytes.len() {
        match one(&bytes[recovered.used..], first_form) {
            Ok((record, count)) => {
                recovered.records.push(record);
                recovered.used += count;
            }
            Err(flaw) => {
                recovered.flaw = Some(flaw);
                break;
            }
        }
    }
    recovered
}

fn one(bytes: &[u8], first_form: bool) -> Result<(Record, usize), FrameError> {
    let (record, used) = unframed(bytes, RECORD_MOST)?;
    let record = if first_form {
        rmp_serde::from_slice(record).map(Record::Observation)
    } else {
        rmp_serde::from_slice(record)
    };
    Ok((record.map_err(|_| FrameError::Garbled)?, used))
}

/// The bytes of the record at the front, and how long it is with its frame.
///
/// # Errors
/// It is not whole, or not what was written.
pub fn unframed(bytes: &[u8], most: usize) -> Result<(&[u8], usize), FrameError> {
    let number = |at: usize| {
        let four = bytes.get(at..at + 4).and_then(|four| four.try_into().ok());
        four.map(u32::from_le_bytes).ok_or(FrameError::Torn)
    };
    let (length, sum) = (number(0)? as usize, number(4)?);
    if length == 0 || length > most {
        return Err(FrameError::Garbled);
    }
    let record = bytes.get(8..8 + length).ok_or(FrameError::Torn)?;
    if crc32fast::hash(record) != sum {
        return Err(FrameError::Garbled);
    }
    Ok((record, 8 + length))
}

impl PersistedObservation {
    /// The figure as a teacher of now would tell it: its age by the wall clock, where that makes sense. A clock that went
    /// back since makes it no younger than it was.
    pub fn told_at(self, unix: f64) -> GossipedObservation {
        let since = (unix - self.at).max(0.0);
        GossipedObservation {
            age: self.told.age + since,
            ..self.told
        }
    }
}
