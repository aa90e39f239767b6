//! What the predecessor's host carries out.

use super::Progress;
use crate::messages::{Message, MonotonicSeconds};

/// One action; they are carried out in the order in which they are polled.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the successor's process. A failure is reported by `start_failed`.
    StartSuccessor,
    /// Send a message to the successor.
    Send(Message),
    /// Stop serving and make the image; reported by `freeze_completed` or `freeze_failed`.
    Freeze,
    /// Transfer the image and the descriptors; reported by `transfer_completed` or
    /// `transfer_failed`.
    Transfer,
    /// Give up what only the owner may have: the successor serves from now on.
    ReleaseOwnership,
    /// Kill the successor's process; its end is reported by `successor_exited`.
    KillSuccessor,
    /// Serve again from the image as it was frozen.
    Resume,
    /// Serve again from the image and all that the dead successor recorded in its journal.
    Recover,
    /// Report the progress to the client that requested the upgrade.
    Report(Progress),
    /// Begin the graceful shutdown of this process.
    Drain {
        /// When the process must have exited.
        deadline: MonotonicSeconds,
    },
    /// Reload the configuration of this process.
    Reload,
    /// Exit this process: the successor owns everything.
    Exit,
    /// Exit this process as the successor did, which was drained during its probation.
    ExitWithStatus {
        /// The successor's exit status.
        status: i32,
    },
}
