//! The reserve of a host: calls per second that its instances together may make without
//! contacting an agent.
//!
//! It is stored in one small file, which a process locks while it draws a call. The file contains
//! the times of the recent calls by the host's monotonic clock, as eight little-endian bytes each.
//! A process that dies while drawing leaves the file valid or too long.

use thiserror::Error;

use crate::lease::{Drift, rate_window_seconds};

/// The encoded length of one time.
const TIME_BYTES: usize = 8;

/// The reason why a call cannot be drawn.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DrawError {
    /// The reserved number of calls was already made within the window.
    #[error("the reserve is exhausted")]
    Exhausted,
    /// The file is not a list of times. The whole reserve counts as spent at this moment.
    #[error("the reserve file is corrupt")]
    Corrupt {
        /// The new contents of the file.
        replacement: Vec<u8>,
    },
}

/// Draws one call and returns the new contents of the file. `now` is the time in seconds by the
/// clock that all processes of the host share; `calls_per_second` is the reserve.
///
/// # Errors
/// [`DrawError`] if the call must not be made.
pub fn draw(
    bytes: &[u8],
    now: f64,
    calls_per_second: u32,
    drift: Drift,
) -> Result<Vec<u8>, DrawError> {
    let Some(times) = decode(bytes) else {
        let all_spent = vec![now; calls_per_second as usize];
        return Err(DrawError::Corrupt {
            replacement: encode(&all_spent),
        });
    };
    let window_seconds = rate_window_seconds(drift);
    // A time later than now was written before the last reboot of the machine.
    let mut recent: Vec<f64> = times
        .into_iter()
        .filter(|time| *time <= now && *time > now - window_seconds)
        .collect();
    if recent.len() >= calls_per_second as usize {
        return Err(DrawError::Exhausted);
    }
    recent.push(now);
    Ok(encode(&recent))
}

fn decode(bytes: &[u8]) -> Option<Vec<f64>> {
    let (chunks, rest) = bytes.as_chunks::<TIME_BYTES>();
    let times: Vec<f64> = chunks
        .iter()
        .map(|chunk| f64::from_le_bytes(*chunk))
        .collect();
    let is_valid = rest.is_empty() && times.iter().all(|time| time.is_finite());
    is_valid.then_some(times)
}

fn encode(times: &[f64]) -> Vec<u8> {
    times.iter().flat_map(|time| time.to_le_bytes()).collect()
}
