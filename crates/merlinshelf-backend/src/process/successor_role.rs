//! The upgrade in the role of the successor: actions towards the predecessor, and messages from it.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::process::parent_id;
use std::time::Duration;

use log::{info, warn};
use merlinshelf_handover::{Message, Successor, successor::Action};

use super::error::ServeError;
use super::{Process, VERSION};
use crate::exchange::{OpenedConnection, PassedDescriptors};
use crate::fault;
use crate::instance::RestoredInstance;
use crate::upgrade::channel::{Channel, ReceivedMessage};

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
            received: PassedDescriptors::new(),
            restored: None,
        })
    }

    async fn send(&self, message: &Message) {
        match message {
            Message::Hello { .. } => fault::injection_point("successor.hello"),
            Message::Ready => fault::injection_point("successor.ready"),
            Message::Restored => fault::injection_point("successor.restored"),
            Message::Heartbeat => fault::injection_point("successor.heartbeat"),
            _ => {}
        }
        if let Some(channel) = &self.channel {
            // An error means that the predecessor has exited, which is a separate event.
            let _ = channel.send(message, &[]).await;
        }
    }
}

impl Process {
    /// Carries out one action, and reports its result to the state machine.
    pub(super) async fn carry_out_as_successor(
        &mut self,
        action: Action,
    ) -> Result<(), ServeError> {
        match action {
            Action::Send(message) => {
                if let Some(role) = &self.successor {
                    role.send(&message).await;
                }
            }
            Action::Restore => self.restore(),
            Action::Activate => self.activate(),
            Action::StopRecording => self.stop_recording(),
            Action::Drain { deadline } => self.start_drain(deadline),
            Action::Reload => self.reload(),
            Action::Exit { reason } => return Err(ServeError::Declined { reason }),
        }
        Ok(())
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
            role.channel = None;
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
            role.channel = None;
            role.state.predecessor_exited(now);
        }
    }

    /// Sends a copy of a connection that the instance has opened. The instance waits for this before
    /// any byte passes on the connection: otherwise the predecessor could not recover the connection
    /// if this process died in between.
    pub(super) async fn send_opened_connection(&self, opened: OpenedConnection) {
        let channel = self
            .successor
            .as_ref()
            .and_then(|role| role.channel.as_ref());
        if let Some(channel) = channel {
            let message = Message::ConnectionOpened { role: opened.role };
            // An error means that the predecessor has exited, which is a separate event.
            let _ = channel.send(&message, &[opened.descriptor.as_fd()]).await;
        }
        // The task that opened it may have ended meanwhile.
        let _ = opened.acknowledged.send(());
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
        if unread_bytes > MAX_UNREAD_JOURNAL_BYTES {
            warn!(
                unread_bytes = unread_bytes;
                "predecessor does not read the journal; continuing without it"
            );
            role.state.detach();
        }
    }
}
