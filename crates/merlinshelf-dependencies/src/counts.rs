//! What is counted of a dependency.

use serde::Serialize;

/// What happened at a dependency since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub calls: u64,
    pub attempts: u64,
    pub succeeded: u64,
    pub again: u64,
    pub hedges: u64,
    pub hedges_won: u64,
    pub hedges_lost: u64,
    /// DegradedResult answers, by whatever reason.
    pub lesser: u64,
    /// Calls not made: no time, no room in time, nobody to ask, or the whole of it fails.
    pub not_made: u64,
    pub out_of_time: u64,
}
