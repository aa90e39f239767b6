//! What a host has set aside, so many calls a second, for all its instances together and without anybody's word: one small file
//! that whoever draws from it holds alone for a moment. It needs no agent, and a process that dies with it leaves it whole.

use crate::WAY;

/// Moments of the host's clock, each of eight bytes.
const EACH: usize = 8;

/// One call more at `now`, by the clock that all processes of the host have in common: the file's new bytes where it may be made.
/// `calls` is what is set aside, `drift` by how much clocks may run apart. Bytes that are no purse count as all spent just now.
pub fn draw(bytes: &[u8], now: f64, calls: u32, drift: f64) -> Result<Vec<u8>, Option<Vec<u8>>> {
    let window = (1.0 + WAY) * (1.0 + drift);
    let (whole, rest) = bytes.as_chunks::<EACH>();
    let moments: Vec<f64> = whole
        .iter()
        .map(|bytes| f64::from_le_bytes(*bytes))
        .collect();
    if !rest.is_empty() || moments.iter().any(|at| !at.is_finite()) {
        let spent = vec![now; calls as usize];
        return Err(Some(write(&spent)));
    }
    // Later than now is from before the machine's last start.
    let mut lately: Vec<f64> = moments
        .into_iter()
        .filter(|at| *at <= now && *at > now - window)
        .collect();
    if lately.len() >= calls as usize {
        return Err(None);
    }
    lately.push(now);
    Ok(write(&lately))
}

fn write(moments: &[f64]) -> Vec<u8> {
    moments.iter().flat_map(|at| at.to_le_bytes()).collect()
}
