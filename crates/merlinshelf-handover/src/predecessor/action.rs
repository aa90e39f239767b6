//! Actions that the predecessor's host carries out.

use super::Progress;
use crate::messages::{Message, MonotonicSeconds};

/// An action for the host. Actions must be carried out in the order in which they are polled.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the successor's process. A failure is reported by `start_failed`.
    StartSuccessor,
    /// Send a message to the successor.
    Send(Message),
    /// Stop serving and create the image; reported by `freeze_completed` or `freeze_failed`.
    Freeze,
    /// Transfer the image and the descriptors; reported by `transfer_completed` or
    /// `transfer_failed`.
    Transfer,
    /// Release the resources that only the owner may hold: the successor serves from now on.
    ReleaseOwnership,
    /// Kill the successor's process; its end is reported by `successor_exited`.
    KillSuccessor,
    /// Serve again from the frozen image.
    Resume,
    /// Serve again from the image and the journal of the dead successor.
    Recover,
    /// Report the progress to the client that requested the upgrade.
    Report(Progress),
    /// Begin the graceful shutdown of this process.
    Drain {
        /// Time by which the process must have exited.
        deadline: MonotonicSeconds,
    },
    /// Reload the configuration of this process.
    Reload,
    /// Exit this process: the successor owns everything.
    Exit,
    /// Exit with the status of the successor, which was drained during its probation.
    ExitWithStatus {
        /// The successor's exit status.
        status: i32,
    },
}
