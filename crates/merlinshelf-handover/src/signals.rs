//! Who acts on the signals of a process: a notice to shut down and a request to reload.
//!
//! A process has a state machine towards its predecessor if it was started by one, and another
//! towards a successor of its own. At any stage exactly one of them acts on a signal.

use crate::successor::Successor;

/// The role in which a process acts on its signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRole {
    /// No predecessor observes this process. Its [`Predecessor`](crate::Predecessor) acts: the
    /// process serves, or a successor of its own does and must be informed.
    Predecessor,
    /// This process serves and its predecessor observes it. Its [`Successor`] acts, and informs the
    /// predecessor.
    Successor,
    /// This process does not serve yet, and its predecessor does.
    NotServing,
}

impl SignalRole {
    /// The role of a process with this state towards its predecessor; `None` if it was not started
    /// by one.
    pub fn of(successor: Option<&Successor>) -> SignalRole {
        match successor {
            None => SignalRole::Predecessor,
            Some(successor) if successor.is_recording() => SignalRole::Successor,
            // Its own upgrade has ended, and another may be in progress.
            Some(successor) if successor.is_owner() => SignalRole::Predecessor,
            Some(_) => SignalRole::NotServing,
        }
    }
}
