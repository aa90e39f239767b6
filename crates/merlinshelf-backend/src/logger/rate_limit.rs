//! The limit of log lines per second and part of the program.

use std::collections::BTreeMap;

/// The maximum number of lines that one part may write in a second. Further ones are dropped and
/// counted, so that a flood of malformed input neither fills the log nor uses the CPU to write it.
pub(super) const MAX_LINES_PER_SECOND: u32 = 20;

/// The counts of each part. The number of parts is limited by the number of modules.
#[derive(Default)]
pub(super) struct RateLimit {
    parts: BTreeMap<String, PartLines>,
}

#[derive(Default)]
struct PartLines {
    /// The current second since 1970.
    second: u64,
    /// The number of lines in that second so far.
    lines: u32,
    /// The number of lines dropped since the last one that was written.
    dropped: u64,
}

impl RateLimit {
    /// The number of this part's lines dropped before this one if it may write one more line in
    /// this second, else `None`.
    pub(super) fn admit(&mut self, part: &str, second: u64) -> Option<u64> {
        // The name is copied only for the first line of a part.
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
