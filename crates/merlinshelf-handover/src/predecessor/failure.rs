//! Why an upgrade was rejected or failed. The texts reach operators in
//! [`Progress`](super::Progress).

use thiserror::Error;

/// Why a requested upgrade is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum Rejection {
    /// The host can't run two processes now.
    #[error("{reason}")]
    Unavailable { reason: String },
    #[error("it is leaving")]
    Draining,
    #[error("an upgrade is under way")]
    UpgradeInProgress,
}

/// Why a started upgrade failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum Failure {
    #[error("{reason}")]
    StartFailed { reason: String },
    #[error("{program} speaks only forms {format_versions:?}")]
    IncompatibleFormats {
        program: String,
        format_versions: Vec<u32>,
    },
    /// The successor reported that it can't take over.
    #[error("{reason}")]
    Declined { reason: String },
    #[error("{reason}")]
    FreezeFailed { reason: String },
    #[error("freezing took too long")]
    FreezeTimedOut,
    #[error("{reason}")]
    TransferFailed { reason: String },
    #[error("{reason}")]
    ChannelFailed { reason: String },
    #[error("the successor does not get ready in its time")]
    ReadyTimedOut,
    #[error("the successor does not take over in its time")]
    TakeoverTimedOut,
    #[error("the successor hangs")]
    HeartbeatLost,
    #[error("the successor does not become steady")]
    ProbationTimedOut,
    /// This process must shut down and might exit before the handover is complete.
    #[error("the notice to leave came")]
    DrainRequested,
    #[error("the successor ended with status {status}")]
    SuccessorExited { status: i32 },
    /// A signal ended the successor's process.
    #[error("the successor was killed")]
    SuccessorKilled,
}

impl Failure {
    /// The failure for an exit of the successor's process; `status` is `None` if a signal ended it.
    pub(super) fn of_exit(status: Option<i32>) -> Failure {
        match status {
            Some(status) => Failure::SuccessorExited { status },
            None => Failure::SuccessorKilled,
        }
    }
}
