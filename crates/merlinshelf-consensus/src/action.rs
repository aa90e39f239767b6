//! The actions that a replica requests from its host.

use crate::encoding::DecodeError;
use crate::message::Message;
use crate::record::Record;

/// An operation that the host carries out, in the order in which
/// [`Replica::poll_action`](crate::Replica::poll_action) returns them.
///
/// After a failed action the host must not carry out any later one: it drops the replica and
/// restarts it from the records on its disk. Otherwise a message could acknowledge entries that
/// were never made durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append these records to the log file and make them durable before the next action.
    Append(Vec<Record>),
    /// Replace the log file with these records, atomically and durably, before the next action.
    ReplaceLog(Vec<Record>),
    /// Send a message to another agent. It may be lost.
    Send {
        /// Name of the receiving agent.
        to: String,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry to the replicated state.
    Apply {
        /// Index of the entry in the log.
        index: u64,
        /// The proposed data.
        data: Vec<u8>,
    },
    /// Replace the replicated state with that of a snapshot.
    Restore {
        /// Index of the last entry that the state includes.
        index: u64,
        /// The state passed to [`Replica::compact`](crate::Replica::compact); empty at the
        /// bootstrap.
        state: Vec<u8>,
    },
    /// A majority confirmed that this replica still led after the request (thesis, 6.4: read
    /// index).
    LeadershipConfirmed {
        /// The identifier given to
        /// [`Replica::confirm_leadership`](crate::Replica::confirm_leadership).
        request_id: u64,
    },
    /// Log that bytes could not be decoded and were skipped.
    ReportDecodeError(DecodeError),
}
