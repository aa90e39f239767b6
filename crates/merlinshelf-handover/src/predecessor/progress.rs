//! The progress of an upgrade, reported to the client that requested it.

use std::fmt;

/// The progress of an upgrade. The texts are for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The successor's process is being started.
    Starting,
    /// The successor can take over; the predecessor freezes now.
    Ready,
    /// The successor serves and is on probation.
    Activated,
    /// The successor owns everything; the predecessor exits.
    Completed,
    /// The request was rejected before anything was changed; contains the reason.
    Rejected(String),
    /// The upgrade failed before the successor took over, without any loss; contains the reason.
    Aborted(String),
    /// The successor failed after it took over, and the predecessor recovered everything; contains
    /// the reason.
    Recovered(String),
}

impl fmt::Display for Progress {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Progress::Starting => formatter.write_str("the successor starts"),
            Progress::Ready => formatter.write_str("the successor is ready"),
            Progress::Activated => formatter.write_str("the successor serves and is watched"),
            Progress::Completed => formatter.write_str("done"),
            Progress::Rejected(reason) => write!(formatter, "refused: {reason}"),
            Progress::Aborted(reason) => {
                write!(formatter, "given up before the take-over: {reason}")
            }
            Progress::Recovered(reason) => write!(formatter, "taken back: {reason}"),
        }
    }
}

impl Progress {
    /// Whether this is the last report of the upgrade.
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            Progress::Starting | Progress::Ready | Progress::Activated
        )
    }
}
