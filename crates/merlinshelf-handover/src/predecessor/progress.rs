//! The progress of an upgrade, reported to the client that requested it.

use std::fmt;

/// How an upgrade stands. The texts are for operators.
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
    /// The request was rejected before anything was touched: why.
    Rejected(String),
    /// The upgrade failed before the successor took over; nothing was lost: why.
    Aborted(String),
    /// The successor failed after it took over, and the predecessor recovered everything: why.
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
    /// Whether nothing more follows.
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            Progress::Starting | Progress::Ready | Progress::Activated
        )
    }
}
