//! The limit of lines a second, by part of the program.

use std::collections::BTreeMap;

/// Lines that one part may write in a second. Those beyond are dropped and counted, so that a flood
/// of malformed input costs neither the log nor the CPU to write it.
pub(super) const MAX_LINES_PER_SECOND: u32 = 20;

/// The lines of each part. There are as many parts as the program has modules.
#[derive(Default)]
pub(super) struct RateLimit {
    parts: BTreeMap<String, PartLines>,
}

#[derive(Default)]
struct PartLines {
    /// The second, since 1970.
    second: u64,
    /// Lines in that second so far.
    lines: u32,
    /// Lines dropped since the last one that was written.
    dropped: u64,
}

impl RateLimit {
    /// Whether a part may write one more line in this second: the number of its lines that were
    /// dropped before it.
    pub(super) fn admit(&mut self, part: &str, second: u64) -> Option<u64> {
        // The name is copied for the first line of a part alone.
        if !self.parts.contains_key(part) {
            self.parts.insert(part.to_owned(), PartLines::default());
        }
        let part = self.parts.get_mut(part)?;
        if part.second != second {
            part.second = second;
            part.lines = 0;
        }
        part.lines += 1;
        if part.lines > MAX_LINES_PER_SECOND {
            part.dropped += 1;
            return None;
        }
        Some(std::mem::take(&mut part.dropped))
    }
}
