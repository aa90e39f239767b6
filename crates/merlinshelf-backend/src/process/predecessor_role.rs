//! The upgrade in the role of the predecessor: actions towards a successor, and messages from it.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use log::{info, warn};
use merlinshelf_handover::predecessor::{Action, Progress, StageTimeouts};
use merlinshelf_handover::{Message, Predecessor};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

use super::error::{FreezeFailure, ServeError};
use super::{Flow, Process};
use crate::upgrade::channel::{Channel, ReceivedMessage};
use crate::upgrade::successor_guard::SuccessorGuard;

/// How long to wait for the exit of a successor whose channel has ended: the kernel closes the
/// channel shortly before it reports the exit.
const EXIT_TIMEOUT: Duration = Duration::from_millis(100);

/// State of a process towards its successor.
pub(super) struct PredecessorRole {
    /// The state machine that decides the actions.
    pub state: Predecessor,
    /// The successor, from its start to its end.
    pub guard: Option<SuccessorGuard>,
    /// Whether the channel to the successor has ended.
    is_channel_closed: bool,
    /// The client that requested the upgrade.
    pub upgrade_client: Option<UnboundedSender<Progress>>,
    transfer_timeout: Duration,
}

impl PredecessorRole {
    /// No upgrade is in progress.
    pub(super) fn new(timeouts: StageTimeouts) -> PredecessorRole {
        PredecessorRole {
            state: Predecessor::new(timeouts),
            guard: None,
            is_channel_closed: false,
            upgrade_client: None,
            transfer_timeout: timeouts.takeover,
        }
    }

    /// The channel to the successor, until it has ended.
    pub(super) fn open_channel(&self) -> Option<&Channel> {
        if self.is_channel_closed {
            return None;
        }
        self.guard.as_ref().map(|guard| &guard.channel)
    }

    fn successor_id(&self) -> u32 {
        self.guard.as_ref().map_or(0, SuccessorGuard::process_id)
    }

    async fn send(&self, message: &Message) {
        if let Some(guard) = &self.guard
            && let Err(error) = guard.channel.send(message, &[]).await
        {
            warn!(successor = guard.process_id(); "message to the successor not sent: {error}");
        }
    }

    async fn transfer(&self) -> io::Result<usize> {
        let Some(guard) = &self.guard else {
            return Err(io::Error::other("there is no successor"));
        };
        match timeout(self.transfer_timeout, guard.transfer()).await {
            Ok(result) => result,
            Err(elapsed) => Err(elapsed.into()),
        }
    }

    fn kill(&self) {
        if let Some(guard) = &self.guard {
            let successor = guard.process_id();
            warn!(successor = successor; "killing successor {successor}");
            guard.kill();
        }
    }

    fn report(&mut self, progress: Progress) {
        info!("upgrade: {progress}");
        let Some(client) = &self.upgrade_client else {
            return;
        };
        // After a completed upgrade the process exits, and keeps the sender until then to wait for
        // the client to read the result.
        let is_finished = progress.is_final() && progress != Progress::Completed;
        let _ = client.send(progress);
        if is_finished {
            self.upgrade_client = None;
        }
    }
}

impl Process {
    /// Carries out one action, and reports its result to the state machine.
    pub(super) async fn carry_out_as_predecessor(
        &mut self,
        action: Action,
    ) -> Result<Flow, ServeError> {
        match action {
            Action::StartSuccessor => self.start_successor(),
            Action::Send(message) => self.predecessor.send(&message).await,
            Action::Freeze => self.freeze().await,
            Action::Transfer => match self.predecessor.transfer().await {
                Ok(count) => self.predecessor.state.transfer_completed(count),
                Err(error) => self.predecessor.state.transfer_failed(&error.to_string()),
            },
            Action::ReleaseOwnership => {
                let successor = self.predecessor.successor_id();
                info!(successor = successor; "successor {successor} activated and on probation");
            }
            Action::KillSuccessor => self.predecessor.kill(),
            Action::Resume | Action::Recover => self.recover()?,
            Action::Report(progress) => self.predecessor.report(progress),
            Action::Drain { deadline } => self.start_drain(deadline),
            Action::Reload => self.reload(),
            Action::Exit => return Ok(Flow::Exit(0)),
            Action::ExitWithStatus { status } => return Ok(Flow::Exit(status)),
        }
        Ok(Flow::Continue)
    }

    fn start_successor(&mut self) {
        let configured = self
            .operator
            .upgrade
            .as_ref()
            .and_then(|upgrade| upgrade.program.clone());
        let program = configured.map_or_else(own_program, Ok);
        match program.and_then(SuccessorGuard::start) {
            Ok(guard) => {
                let successor = guard.process_id();
                info!(successor = successor; "successor {successor} started");
                self.predecessor.guard = Some(guard);
                self.predecessor.is_channel_closed = false;
            }
            Err(error) => self.predecessor.state.start_failed(&error.to_string()),
        }
    }

    async fn freeze(&mut self) {
        // From here on the successor owns the control socket.
        self.control = None;
        match self.try_freeze().await {
            Ok(()) => {
                let now = self.now();
                self.predecessor.state.freeze_completed(now);
            }
            Err(error) => self.predecessor.state.freeze_failed(&error.to_string()),
        }
    }

    async fn try_freeze(&mut self) -> Result<(), FreezeFailure> {
        let instance = self.instance.take().ok_or(FreezeFailure::NotServing)?;
        if let Some(gossip) = &mut self.gossip {
            gossip.stop();
            instance.exchange.borrow_mut().gossip_state = gossip.export();
        }
        let frozen = instance.freeze().await?;
        let guard = self.predecessor.guard.as_mut();
        let guard = guard.ok_or(FreezeFailure::NoSuccessor)?;
        guard.retain(frozen)?;
        Ok(())
    }

    /// Handles a message of the successor, and reads what it has recorded by then.
    pub(super) fn handle_successor_message(&mut self, received: ReceivedMessage) {
        let now = self.now();
        let role = &mut self.predecessor;
        if let (Message::ConnectionOpened { role: opened }, Some(guard)) =
            (&received.message, &mut role.guard)
        {
            guard.retain_opened(*opened, received.descriptors);
        }
        role.state.handle_message(now, received.message);
        self.read_successor_journal();
    }

    /// Handles the messages of the successor that have arrived. After a suspension of this process
    /// they are older than the timeouts that have expired meanwhile, and must be known first.
    pub(super) fn handle_waiting_successor_messages(&mut self) {
        while let Some(received) = self
            .predecessor
            .open_channel()
            .and_then(Channel::try_receive)
        {
            self.handle_successor_message(received);
        }
        self.read_successor_journal();
    }

    /// Reads what the successor has recorded: also that it has detached, if the channel could not
    /// accept that message.
    fn read_successor_journal(&mut self) {
        let now = self.now();
        let role = &mut self.predecessor;
        let Some(guard) = &mut role.guard else {
            return;
        };
        match guard.read_journal() {
            Ok(()) if guard.has_detached() => role.state.handle_message(now, Message::Detached),
            Ok(()) => {}
            Err(error) => role
                .state
                .channel_failed(&format!("its notes can't be read: {error}")),
        }
    }

    /// The channel to the successor has ended. Usually its process exits at the same time; that event
    /// is awaited for a moment, since it carries the exit status.
    pub(super) async fn successor_channel_ended(&mut self, error: &io::Error) {
        self.predecessor.is_channel_closed = true;
        let has_exited = match &self.predecessor.guard {
            Some(guard) => timeout(EXIT_TIMEOUT, guard.wait_for_exit()).await.is_ok(),
            None => false,
        };
        // A successor that goes on alone closes the channel.
        self.read_successor_journal();
        if !has_exited {
            self.predecessor
                .state
                .channel_failed(&format!("the channel to the successor ended: {error}"));
        }
    }

    /// The process of the successor has ended. Messages that it sent before are handled first.
    pub(super) fn successor_exited(&mut self) {
        let now = self.now();
        let role = &mut self.predecessor;
        let was_serving = role.state.is_serving();
        let mut status = None;
        if let Some(guard) = &mut role.guard {
            status = guard.reap();
            for message in guard.last_messages() {
                role.state.handle_message(now, message);
            }
        }
        self.read_successor_journal();
        let role = &mut self.predecessor;
        if role.guard.is_some() {
            role.state.successor_exited(status);
        }
        if was_serving {
            // Nothing was frozen for this successor, so there is nothing to recover.
            role.guard = None;
        }
    }
}

/// The path of the program that this process was started from, even if the file was replaced since.
fn own_program() -> io::Result<PathBuf> {
    let path = std::env::current_exe()?;
    // The kernel appends this suffix to the path of a file that was removed or replaced.
    let text = path.to_string_lossy();
    Ok(match text.strip_suffix(" (deleted)") {
        Some(replaced) => PathBuf::from(replaced),
        None => path,
    })
}
