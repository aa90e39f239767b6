//! Commands to the engine that may still be lost with the connection they were sent on.
//!
//! The response to a request proves that the engine has read every command sent before it. That is
//! not enough: a connection that breaks takes the commands of its last moments along, also those
//! that were read. A command is acknowledged once the connection has outlived its reading by that
//! time.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::exchange::Command;

/// Commands that the engine has read less than this before a break may be lost, by the protocol.
const LOSS_WINDOW: Duration = Duration::from_millis(50);

/// A command that was sent.
#[derive(Debug, PartialEq)]
pub struct SentCommand {
    pub command: Command,
    /// How many notifications of its invocation had been received when it was queued.
    pub received_notifications: u64,
}

#[derive(Debug)]
struct Entry {
    sent: SentCommand,
    /// The tag of the next request, whose response proves that the command was read.
    proof: u64,
    /// When that response was received.
    read_by: Option<Instant>,
}

/// The commands sent and not acknowledged, in the order in which they were sent.
#[derive(Debug, Default)]
pub struct UnacknowledgedCommands(VecDeque<Entry>);

impl UnacknowledgedCommands {
    /// Adds a command that is sent before the request with the tag `proof`.
    pub fn push(&mut self, sent: SentCommand, proof: u64) {
        let read_by = None;
        self.0.push_back(Entry {
            sent,
            proof,
            read_by,
        });
    }

    /// The request with this tag, sent at `requested_at`, was answered at `now`. Returns the
    /// commands that this acknowledges.
    pub fn request_answered(
        &mut self,
        tag: u64,
        requested_at: Instant,
        now: Instant,
    ) -> Vec<SentCommand> {
        let is_safe = |entry: &Entry| {
            entry
                .read_by
                .is_some_and(|read_by| requested_at >= read_by + LOSS_WINDOW)
        };
        let count = self.0.iter().take_while(|entry| is_safe(entry)).count();
        let acknowledged = self.0.drain(..count).map(|entry| entry.sent).collect();
        let read = self.0.iter_mut().take_while(|entry| entry.proof <= tag);
        for entry in read {
            entry.read_by.get_or_insert(now);
        }
        acknowledged
    }

    /// The connection has ended: removes and returns all of them.
    pub fn take_all(&mut self) -> Vec<SentCommand> {
        self.0.drain(..).map(|entry| entry.sent).collect()
    }

    /// Forgets all of them, since the engine has lost its runs.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
