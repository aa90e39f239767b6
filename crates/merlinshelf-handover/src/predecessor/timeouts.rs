//! Time limits of the stages of a handover.

use std::time::Duration;

/// The time limit of each stage, set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTimeouts {
    /// From the start of the successor's process until it is ready, its configuration read.
    pub ready: Duration,
    /// From the freeze until the successor has restored everything; no process serves meanwhile.
    pub takeover: Duration,
    /// Duration of the observation after the successor took over.
    pub probation: Duration,
    /// Time without a heartbeat after which the successor counts as hanging.
    pub heartbeat: Duration,
}

/// A successor that drains during its probation is given all the time it needs; this limit only
/// keeps the predecessor from waiting forever.
const DRAINING_PROBATION_LIMIT: Duration = Duration::from_secs(24 * 3600);

impl StageTimeouts {
    /// Longest time that a successor may stay on probation. A successor that sends heartbeats but
    /// never completes its probation has failed too.
    pub(super) fn probation_limit(&self, drain: DrainStatus) -> Duration {
        match drain {
            DrainStatus::Draining => DRAINING_PROBATION_LIMIT,
            DrainStatus::Serving => self.probation * 2 + self.heartbeat,
        }
    }
}

/// Whether a successor on probation was notified to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainStatus {
    /// It serves.
    Serving,
    /// It shuts down.
    Draining,
}
