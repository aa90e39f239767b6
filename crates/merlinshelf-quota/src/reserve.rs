//! The reserve of a host: calls per second that all its instances together may make without any
//! agent.
//!
//! It is one small file, which a process locks while it draws from it: the times of the last calls
//! by the host's monotonic clock, eight bytes each in little-endian order. A process that dies
//! while it draws leaves the file valid or longer.

use thiserror::Error;

use crate::lease::{Drift, rate_window_seconds};

/// The length of one time in the file.
const TIME_BYTES: usize = 8;

/// Why a call cannot be drawn.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DrawError {
    /// As many calls as are reserved were made within the window.
    #[error("the reserve is exhausted")]
    Exhausted,
    /// The file is not a list of times. All calls count as made just now.
    #[error("the file of the reserve is corrupt")]
    Corrupt {
        /// The new contents of the file.
        replacement: Vec<u8>,
    },
}

/// Draws one call at `now`, by the clock that all processes of the host have in common, in seconds;
/// the result is the new contents of the file. `calls_per_second` is the reserve.
///
/// # Errors
/// [`DrawError`], where the call must not be made.
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
    // A time later than now is from before the machine's last start.
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
