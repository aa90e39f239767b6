//! How long each stage of a handover may take.

use std::time::Duration;

/// The limit of each stage. All are set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTimeouts {
    /// From the start of the successor's process until it is ready, its configuration read.
    pub ready: Duration,
    /// From the freeze until the successor has restored everything: nobody is served meanwhile.
    pub takeover: Duration,
    /// How long the successor is observed after it took over.
    pub probation: Duration,
    /// A successor without a heartbeat for so long hangs.
    pub heartbeat: Duration,
}

/// A successor that drains during its probation runs to its end, however long that takes. The limit
/// is only there so that a predecessor does not wait for ever.
const DRAINING_PROBATION_LIMIT: Duration = Duration::from_secs(24 * 3600);

impl StageTimeouts {
    /// How long a successor may stay on probation. One that sends heartbeats and never completes
    /// its probation has failed as well.
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
