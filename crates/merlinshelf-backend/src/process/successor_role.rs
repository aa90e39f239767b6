//! The upgrade in the role of the successor: actions towards the predecessor, and messages from it.

use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::process::parent_id;
use std::time::Duration;

use log::{info, warn};
use merlinshelf_handover::{Message, Successor, successor::Action};

use super::error::ServeError;
use super::{Process, VERSION};
use crate::exchange::{OpenedConnection, PassedDescriptors};
use crate::fault;
use crate::instance::RestoredInstance;
use crate::upgrade::channel::{Channel, Outbox, ReceivedMessage, SEND_TIMEOUT};

/// With more unread journal bytes, the predecessor counts as hung: it reads the journal 20 times per
/// second otherwise.
const MAX_UNREAD_JOURNAL_BYTES: u64 = 32 * 1024 * 1024;

/// State of a process towards its predecessor.
pub(super) struct SuccessorRole {
    /// The state machine that decides the actions.
    pub state: Successor,
    /// The process id of the predecessor.
    pub predecessor_id: u32,
    /// `None` once the predecessor has exited or has released this process.
    pub channel: Option<Channel>,
    /// Messages to the predecessor that the channel has not accepted yet. The predecessor may be
    /// suspended, and this process must not wait for it.
    pub outbox: Outbox,
    /// Descriptors that the predecessor has transferred.
    pub received: PassedDescriptors,
    /// The restored instance until it is activated.
    restored: Option<RestoredInstance>,
}

impl SuccessorRole {
    /// The role of a process that was started with this end of a channel.
    pub(super) fn new(channel: OwnedFd, probation: Duration) -> io::Result<SuccessorRole> {
        Ok(SuccessorRole {
            state: Successor::new(probation, VERSION),
            predecessor_id: parent_id(),
            channel: Some(Channel::new(channel)?),
            outbox: Outbox::default(),
            received: PassedDescriptors::new(),
            restored: None,
        })
    }

    fn send(&mut self, message: Message) {
        match message {
            Message::Hello { .. } => fault::injection_point("successor.hello"),
            Message::Ready => fault::injection_point("successor.ready"),
            Message::Restored => fault::injection_point("successor.restored"),
            Message::Heartbeat => fault::injection_point("successor.heartbeat"),
            _ => {}
        }
        // A heartbeat tells nothing more than a message that waits.
        if message != Message::Heartbeat || self.outbox.is_empty() {
            self.outbox.push(message);
        }
        self.flush();
    }

    /// Sends the messages that the channel accepts now.
    pub(super) fn flush(&mut self) {
        match &self.channel {
            // An error means that the predecessor has exited, which is a separate event.
            Some(channel) => {
                let _ = self.outbox.flush(channel);
            }
            None => self.outbox.clear(),
        }
    }

    /// Nothing more is sent to the predecessor or received from it.
    fn close_channel(&mut self) {
        self.channel = None;
        self.outbox.clear();
    }
}

impl Process {
    /// Carries out one action, and reports its result to the state machine.
    pub(super) fn carry_out_as_successor(&mut self, action: Action) -> Result<(), ServeError> {
        match action {
            Action::Send(message) => self.send_to_predecessor(message),
            Action::Restore => self.restore(),
            Action::Activate => self.activate(),
            Action::StopRecording => self.stop_recording(),
            Action::Drain { deadline } => self.start_drain(deadline),
            Action::Reload => self.reload(),
            Action::Exit { reason } => return Err(ServeError::Declined { reason }),
        }
        Ok(())
    }

    fn send_to_predecessor(&mut self, message: Message) {
        if let (Message::Detached, Some(instance)) = (&message, &self.instance) {
            // The journal tells it also if the channel accepts nothing more.
            instance.exchange.borrow_mut().write_detachment_to_journal();
        }
        if let Some(role) = &mut self.successor {
            role.send(message);
        }
    }

    fn restore(&mut self) {
        let now = self.now();
        let result = self.restore_received();
        let Some(role) = &mut self.successor else {
            return;
        };
        match result {
            Ok(restored) => {
                role.restored = Some(restored);
                role.state.restore_completed(now);
            }
            Err(error) => role.state.restore_failed(&error.to_string()),
        }
    }

    fn activate(&mut self) {
        fault::injection_point("successor.activate");
        let restored = self
            .successor
            .as_mut()
            .and_then(|role| role.restored.take());
        if let Some(restored) = restored {
            let totals = restored.totals();
            info!(
                connections = totals.client_connections,
                calls = totals.downstream_calls,
                in_flight = totals.invocations;
                "{} resumed from its predecessor: {totals}", self.config.name
            );
            self.instance = Some(self.run_instance(restored));
            self.start_gossip();
        }
        self.try_open_control();
    }

    fn stop_recording(&mut self) {
        info!("no longer observed by the predecessor; recording stopped");
        if let Some(role) = &mut self.successor {
            role.close_channel();
        }
        if let Some(instance) = &self.instance {
            instance.exchange.borrow_mut().stop_journal();
        }
    }

    /// Handles a message of the predecessor, with the descriptors that it transfers.
    pub(super) fn handle_predecessor_message(&mut self, received: ReceivedMessage) {
        let now = self.now();
        let Some(role) = &mut self.successor else {
            return;
        };
        if let Message::Descriptors { roles } = &received.message {
            fault::injection_point("successor.descriptors");
            let roles = roles.iter().copied();
            role.received.extend(roles.zip(received.descriptors));
        }
        role.state.handle_message(now, received.message);
    }

    /// The channel to the predecessor has ended.
    pub(super) fn predecessor_exited(&mut self) {
        let now = self.now();
        if let Some(role) = &mut self.successor {
            role.close_channel();
            role.state.predecessor_exited(now);
        }
    }

    /// Sends a copy of a connection that the instance has opened. The instance waits for this before
    /// any byte passes on the connection: otherwise the predecessor could not recover the connection
    /// if this process died in between.
    pub(super) fn send_opened_connection(&mut self, opened: OpenedConnection) {
        let Some(role) = &mut self.successor else {
            // The task that opened it may have ended meanwhile.
            let _ = opened.acknowledged.send(());
            return;
        };
        let message = Message::ConnectionOpened { role: opened.role };
        role.outbox
            .push_descriptor(message, opened.descriptor, opened.acknowledged);
        role.flush();
    }

    /// Sends the messages that wait, as far as the channel accepts them.
    pub(super) fn flush_to_predecessor(&mut self) {
        if let Some(role) = &mut self.successor {
            role.flush();
        }
    }

    /// Passes the time to the state machine, and records the instance if a predecessor observes it.
    pub(super) fn handle_successor_timeout(&mut self, now: Duration) {
        let Some(role) = &mut self.successor else {
            return;
        };
        role.state.handle_timeout(now);
        let Some(instance) = &self.instance else {
            return;
        };
        if !role.state.is_recording() {
            return;
        }
        let mut exchange = instance.exchange.borrow_mut();
        exchange.write_instance_to_journal();
        let unread_bytes = exchange.unread_journal_bytes();
        let blocked_for = role.outbox.blocked_for();
        if unread_bytes > MAX_UNREAD_JOURNAL_BYTES {
            warn!(
                unread_bytes = unread_bytes;
                "predecessor does not read the journal; continuing without it"
            );
            role.state.detach();
        } else if blocked_for >= SEND_TIMEOUT {
            // Clients wait on connections that it has to know of first.
            let blocked_ms = blocked_for.as_millis() as u64;
            warn!(
                blocked_ms = blocked_ms;
                "predecessor does not read its messages; continuing without it"
            );
            role.state.detach();
        }
    }
}
