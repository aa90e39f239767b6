//! The events of the process and their handlers.

use std::io;

use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep_until};

use super::successor_role::SuccessorRole;
use super::{Drain, Flow, Process};
use crate::control::PendingRequest;
use crate::exchange::OpenedConnection;
use crate::upgrade::channel::{Channel, ReceivedMessage};
use crate::upgrade::successor_guard::SuccessorGuard;

/// The signals that the process handles.
pub(super) struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
    user_defined_1: Signal,
}

impl Signals {
    /// Replaces the default actions of these signals.
    pub(super) fn register() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user_defined_1: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Everything that can happen to the process.
pub(super) enum Event {
    /// SIGTERM or SIGINT.
    DrainRequested,
    /// The graceful shutdown is done.
    DrainCompleted,
    /// SIGHUP.
    ReloadRequested,
    /// SIGUSR1.
    CountersRequested,
    ControlRequest(PendingRequest),
    /// A message from the successor, or the end of its channel.
    FromSuccessor(io::Result<ReceivedMessage>),
    SuccessorExited,
    /// A message from the predecessor, or the end of its channel.
    FromPredecessor(io::Result<ReceivedMessage>),
    /// The channel to the predecessor may accept messages that wait.
    PredecessorWritable,
    /// The instance has opened a connection.
    ConnectionOpened(OpenedConnection),
    /// A timeout of a state machine has expired, or the wait for a policy lease is over.
    TimeoutReached,
}

impl Process {
    /// The next event. Pending events of different kinds are handled in the order below. The exit of
    /// the successor precedes its messages, since its handler reads the remaining ones.
    pub(super) async fn next_event(&mut self) -> Event {
        let timeout = self.next_timeout();
        let Process {
            drain,
            predecessor,
            successor,
            opened_connections,
            control_requests,
            signals,
            ..
        } = self;
        let guard = predecessor.guard.as_ref();
        let successor_channel = predecessor.open_channel();
        let predecessor_channel = successor.as_ref().and_then(|role| role.channel.as_ref());
        select! {
            biased;
            _ = signals.terminate.recv() => Event::DrainRequested,
            _ = signals.interrupt.recv() => Event::DrainRequested,
            () = exited(guard) => Event::SuccessorExited,
            received = receive(successor_channel) => Event::FromSuccessor(received),
            received = receive(predecessor_channel) => Event::FromPredecessor(received),
            () = writable(successor.as_ref()) => Event::PredecessorWritable,
            Some(opened) = opened_connections.receiver.recv() => Event::ConnectionOpened(opened),
            _ = signals.hangup.recv() => Event::ReloadRequested,
            _ = signals.user_defined_1.recv() => Event::CountersRequested,
            () = drained(drain) => Event::DrainCompleted,
            Some(request) = control_requests.receiver.recv() => Event::ControlRequest(request),
            () = reached(timeout) => Event::TimeoutReached,
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        let successor = self.successor.as_ref();
        let state_machines = [
            self.predecessor.state.next_timeout(),
            successor.and_then(|role| role.state.next_timeout()),
        ];
        let handover = state_machines
            .into_iter()
            .flatten()
            .map(|timeout| self.started_at + timeout);
        let startup_wait = self.startup_wait.as_ref().map(|wait| wait.deadline);
        handover.chain(startup_wait).min()
    }

    /// Handles one event. [`Process::carry_out_actions`] then carries out the resulting actions.
    pub(super) async fn handle_event(&mut self, event: Event) -> Flow {
        match event {
            Event::DrainRequested => return self.request_drain(),
            Event::DrainCompleted => return Flow::Exit(0),
            Event::ReloadRequested => self.request_reload(),
            Event::CountersRequested => self.log_counters("counters"),
            Event::ControlRequest(request) => self.handle_control_request(request),
            Event::FromSuccessor(Ok(received)) => self.handle_successor_message(received),
            Event::FromSuccessor(Err(error)) => self.successor_channel_ended(&error).await,
            Event::SuccessorExited => self.successor_exited(),
            Event::FromPredecessor(Ok(received)) => self.handle_predecessor_message(received),
            Event::FromPredecessor(Err(_)) => self.predecessor_exited(),
            Event::PredecessorWritable => self.flush_to_predecessor(),
            Event::ConnectionOpened(opened) => self.send_opened_connection(opened),
            Event::TimeoutReached => self.handle_timeout(),
        }
        Flow::Continue
    }

    /// Handles the timeouts that are due, whatever other events are pending.
    pub(super) fn handle_due_timeouts(&mut self) {
        if self
            .next_timeout()
            .is_some_and(|timeout| timeout <= Instant::now())
        {
            self.handle_timeout();
        }
    }

    fn handle_timeout(&mut self) {
        self.handle_waiting_successor_messages();
        let now = self.now();
        self.predecessor.state.handle_timeout(now);
        self.handle_successor_timeout(now);
    }

    /// Carries out the pending actions of both state machines.
    pub(super) async fn carry_out_actions(&mut self) -> Result<Flow, super::ServeError> {
        loop {
            if let Some(action) = self.predecessor.state.poll_action() {
                if let Flow::Exit(status) = self.carry_out_as_predecessor(action).await? {
                    return Ok(Flow::Exit(status));
                }
                continue;
            }
            let successor = self.successor.as_mut();
            match successor.and_then(|role| role.state.poll_action()) {
                Some(action) => self.carry_out_as_successor(action)?,
                None => return Ok(Flow::Continue),
            }
        }
    }
}

async fn exited(guard: Option<&SuccessorGuard>) {
    match guard {
        Some(guard) => guard.wait_for_exit().await,
        None => std::future::pending().await,
    }
}

async fn receive(channel: Option<&Channel>) -> io::Result<ReceivedMessage> {
    match channel {
        Some(channel) => channel.receive().await,
        None => std::future::pending().await,
    }
}

/// Waits until the channel to the predecessor may accept messages that wait.
async fn writable(role: Option<&SuccessorRole>) {
    match role.and_then(|role| role.channel.as_ref().filter(|_| !role.outbox.is_empty())) {
        Some(channel) => channel.writable().await,
        None => std::future::pending().await,
    }
}

async fn reached(timeout: Option<Instant>) {
    match timeout {
        Some(timeout) => sleep_until(timeout).await,
        None => std::future::pending().await,
    }
}

async fn drained(drain: &mut Option<Drain>) {
    match drain {
        Some(drain) => drain.await,
        None => std::future::pending().await,
    }
}
