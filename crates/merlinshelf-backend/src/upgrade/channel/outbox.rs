//! Messages that are sent without waiting for the other process to read.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::time::Duration;

use merlinshelf_handover::Message;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Channel;

/// Messages that the channel has not accepted yet, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: VecDeque<OutgoingMessage>,
    /// Since when the channel has accepted nothing.
    blocked_since: Option<Instant>,
}

#[derive(Debug)]
struct OutgoingMessage {
    message: Message,
    descriptor: Option<OwnedFd>,
    /// Notified once the message is sent, or never will be.
    handled: Option<oneshot::Sender<()>>,
}

impl Outbox {
    /// Adds a message.
    pub fn push(&mut self, message: Message) {
        self.messages.push_back(OutgoingMessage {
            message,
            descriptor: None,
            handled: None,
        });
    }

    /// Adds a message with a descriptor. `handled` is notified once it is sent, or never will be.
    pub fn push_descriptor(
        &mut self,
        message: Message,
        descriptor: OwnedFd,
        handled: oneshot::Sender<()>,
    ) {
        self.messages.push_back(OutgoingMessage {
            message,
            descriptor: Some(descriptor),
            handled: Some(handled),
        });
    }

    /// Whether all messages are sent.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// How long the channel has accepted nothing, though messages wait.
    pub fn blocked_for(&self) -> Duration {
        self.blocked_since
            .map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Sends as many messages as the channel accepts.
    ///
    /// # Errors
    /// The channel has ended. All messages are dropped.
    pub fn flush(&mut self, channel: &Channel) -> io::Result<()> {
        while let Some(first) = self.messages.front() {
            let descriptors: Vec<BorrowedFd> = first.descriptor.iter().map(AsFd::as_fd).collect();
            match channel.try_send(&first.message, &descriptors) {
                Ok(()) => {
                    self.blocked_since = None;
                    self.remove_first();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.blocked_since.get_or_insert_with(Instant::now);
                    return Ok(());
                }
                Err(error) => {
                    self.clear();
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Drops all messages, since nobody reads them.
    pub fn clear(&mut self) {
        while !self.messages.is_empty() {
            self.remove_first();
        }
        self.blocked_since = None;
    }

    fn remove_first(&mut self) {
        let handled = self.messages.pop_front().and_then(|first| first.handled);
        if let Some(handled) = handled {
            // Whoever waited may have ended meanwhile.
            let _ = handled.send(());
        }
    }
}
