//! Counters of one dependency. Renamed fields keep the JSON names that operators' tools read.

use serde::Serialize;

/// Events at one dependency since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Calls routed to the dependency, whether or not they were made.
    pub calls: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Retries among the attempts.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Hedged requests among the attempts.
    pub hedges: u64,
    /// Hedged requests that succeeded before the first attempt.
    pub hedges_won: u64,
    /// First attempts that succeeded while a hedged request was in flight.
    pub hedges_lost: u64,
    /// Calls that ended with a degraded result.
    #[serde(rename = "lesser")]
    pub degraded: u64,
    /// Calls not made: too little time, no capacity in time, no usable server, or a dependency that
    /// fails as a whole.
    pub not_made: u64,
    /// Calls whose deadline passed.
    #[serde(rename = "out_of_time")]
    pub timed_out: u64,
}
