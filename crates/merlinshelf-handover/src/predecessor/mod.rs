//! The predecessor's side of a handover: it starts a successor, transfers everything, observes the
//! successor during its probation, and recovers everything if the successor fails.
//!
//! Until `Activate` is sent the predecessor owns everything, and a failure of the successor costs at
//! most one freeze. From then on the successor is the owner. The predecessor becomes the owner again
//! only after the successor's process has ended.

mod action;
mod failure;
mod progress;
mod state;
mod timeouts;

use std::collections::VecDeque;
use std::time::Duration;

pub use action::Action;
pub use progress::Progress;
pub use timeouts::StageTimeouts;

use crate::messages::{Message, MonotonicSeconds, select_format};
use failure::{Failure, Rejection};
use state::{Probation, RecoverySource, State};

/// The predecessor's state machine. The host reports events with their times, and polls for actions.
#[derive(Debug)]
pub struct Predecessor {
    timeouts: StageTimeouts,
    state: State,
    /// Time by which the serving process must have exited, once this one was notified to shut down.
    drain_deadline: Option<MonotonicSeconds>,
    /// SIGHUP arrived while no process served.
    is_reload_pending: bool,
    actions: VecDeque<Action>,
}

impl Predecessor {
    /// A process that serves, with no upgrade in progress.
    pub fn new(timeouts: StageTimeouts) -> Predecessor {
        Predecessor {
            timeouts,
            state: State::Serving,
            drain_deadline: None,
            is_reload_pending: false,
            actions: VecDeque::new(),
        }
    }

    /// The next action, if there is one.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Time at which `handle_timeout` must be called if no event occurs before.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.state.next_timeout(&self.timeouts)
    }

    /// Whether this process may use the connections, the engine and the catalogue.
    pub fn is_owner(&self) -> bool {
        self.state.is_owner()
    }

    /// Whether this process serves: it owns everything and nothing is frozen.
    pub fn is_serving(&self) -> bool {
        self.state.is_serving()
    }

    /// Whether an upgrade is in progress or has completed.
    pub fn has_upgrade_in_progress(&self) -> bool {
        self.state != State::Serving
    }

    /// The name of the state in status reports.
    pub fn state_name(&self) -> &'static str {
        self.state.name()
    }

    /// An upgrade was requested. `unavailable` is the reason why the host can't run two processes, if
    /// it can't.
    pub fn start_upgrade(&mut self, now: Duration, unavailable: Option<String>) {
        let rejection = if self.state != State::Serving {
            Some(Rejection::UpgradeInProgress)
        } else if self.drain_deadline.is_some() {
            Some(Rejection::Draining)
        } else {
            unavailable.map(|reason| Rejection::Unavailable { reason })
        };
        if let Some(rejection) = rejection {
            return self.report(Progress::Rejected(rejection.to_string()));
        }
        self.state = State::Starting {
            is_greeted: false,
            deadline: now + self.timeouts.ready,
        };
        self.report(Progress::Starting);
        self.actions.push_back(Action::StartSuccessor);
    }

    /// The successor's process could not be started.
    pub fn start_failed(&mut self, reason: &str) {
        if matches!(self.state, State::Starting { .. }) {
            self.state = State::Serving;
            let reason = reason.to_owned();
            self.report(Progress::Aborted(
                Failure::StartFailed { reason }.to_string(),
            ));
        }
    }

    /// A message was received from the successor. A late, duplicate or unexpected message is ignored.
    pub fn handle_message(&mut self, now: Duration, message: Message) {
        match (&mut self.state, message) {
            (_, Message::Declined { reason }) => self.fail(Failure::Declined { reason }),
            (
                State::Starting {
                    is_greeted: false, ..
                },
                Message::Hello {
                    format_versions,
                    program,
                },
            ) => self.greet(program, format_versions),
            (
                State::Starting {
                    is_greeted: true, ..
                },
                Message::Ready,
            ) => self.freeze(now),
            (State::Restoring { .. }, Message::Restored) => self.activate(now),
            (State::Probation(probation), Message::Draining { deadline }) => {
                probation.last_heartbeat_at = now;
                // The earlier deadline applies.
                let deadline = match probation.drain_deadline {
                    Some(known) => f64::min(known, deadline),
                    None => deadline,
                };
                probation.drain_deadline = Some(deadline);
                self.drain_deadline = Some(deadline);
            }
            (State::Probation(probation), Message::ProbationCompleted)
                if probation.drain_deadline.is_none() =>
            {
                self.actions.push_back(Action::Send(Message::Released));
                self.complete();
            }
            // This process was suspended, and the successor has stopped recording: its changes since
            // then can't be recovered.
            (State::Probation(_), Message::Detached) => self.complete(),
            // A draining successor is observed until its process ends, even after its probation.
            (
                State::Probation(probation),
                Message::Heartbeat | Message::ConnectionOpened { .. } | Message::ProbationCompleted,
            ) => probation.last_heartbeat_at = now,
            _ => {}
        }
    }

    /// The image was created.
    pub fn freeze_completed(&mut self, now: Duration) {
        if let State::Freezing { deadline } = self.state {
            if now >= deadline {
                return self.fail(Failure::FreezeTimedOut);
            }
            self.state = State::Transferring { deadline };
            self.actions.push_back(Action::Transfer);
        }
    }

    /// The image could not be created.
    pub fn freeze_failed(&mut self, reason: &str) {
        if matches!(self.state, State::Freezing { .. }) {
            let reason = reason.to_owned();
            self.fail(Failure::FreezeFailed { reason });
        }
    }

    /// The image and all `count` descriptors were sent.
    pub fn transfer_completed(&mut self, count: usize) {
        if let State::Transferring { deadline } = self.state {
            self.state = State::Restoring { deadline };
            self.actions
                .push_back(Action::Send(Message::TransferCompleted { count }));
        }
    }

    /// Image and descriptors could not be sent.
    pub fn transfer_failed(&mut self, reason: &str) {
        if matches!(self.state, State::Transferring { .. }) {
            let reason = reason.to_owned();
            self.fail(Failure::TransferFailed { reason });
        }
    }

    /// The channel to the successor is broken: its process has ended or can't be observed any more.
    pub fn channel_failed(&mut self, reason: &str) {
        let reason = reason.to_owned();
        self.fail(Failure::ChannelFailed { reason });
    }

    /// The successor's process has ended, with this exit status or by a signal. The host observes
    /// this in the process table, so that the successor can't change anything any more.
    pub fn successor_exited(&mut self, status: Option<i32>) {
        match std::mem::replace(&mut self.state, State::Serving) {
            State::Serving => {}
            State::Ended => self.state = State::Ended,
            // It was notified to shut down and has shut down successfully.
            State::Probation(Probation {
                drain_deadline: Some(_),
                ..
            }) if status == Some(0) => {
                self.state = State::Ended;
                self.report(Progress::Completed);
                self.actions.push_back(Action::ExitWithStatus { status: 0 });
            }
            State::KillingSuccessor { failure, recovery } => self.recover(recovery, &failure),
            stage => {
                if let Some(recovery) = stage.recovery_source() {
                    self.recover(recovery, &Failure::of_exit(status));
                }
            }
        }
        if self.state == State::Serving {
            self.apply_pending_signals();
        }
    }

    /// This process was notified to shut down and must have exited by `deadline`. Later notifications
    /// are ignored.
    pub fn drain(&mut self, deadline: MonotonicSeconds) {
        if self.drain_deadline.is_some() {
            return;
        }
        self.drain_deadline = Some(deadline);
        match &self.state {
            State::Starting { .. } => {
                self.fail(Failure::DrainRequested);
                self.actions.push_back(Action::Drain { deadline });
            }
            State::Freezing { .. } | State::Transferring { .. } | State::Restoring { .. } => {
                self.fail(Failure::DrainRequested);
            }
            State::Probation(_) => self.forward_drain(deadline),
            state if state.is_serving() => self.actions.push_back(Action::Drain { deadline }),
            // Applied once the end of the successor's process is observed.
            State::Serving | State::KillingSuccessor { .. } | State::Ended => {}
        }
    }

    /// SIGHUP arrived at this process.
    pub fn reload(&mut self) {
        match &self.state {
            State::Probation(_) => self.actions.push_back(Action::Send(Message::Reload)),
            State::Ended => {}
            state if state.is_serving() => self.actions.push_back(Action::Reload),
            _ => self.is_reload_pending = true,
        }
    }

    /// Fails the upgrade if its current state has timed out. Does nothing before `next_timeout`.
    pub fn handle_timeout(&mut self, now: Duration) {
        let is_due = self.next_timeout().is_some_and(|timeout| now >= timeout);
        if !is_due {
            return;
        }
        if let Some(failure) = self.state.timeout_failure(now, &self.timeouts) {
            self.fail(failure);
        }
    }

    /// Answers the successor's first message.
    fn greet(&mut self, program: String, format_versions: Vec<u32>) {
        let Some(version) = select_format(&format_versions) else {
            return self.fail(Failure::IncompatibleFormats {
                program,
                format_versions,
            });
        };
        if let State::Starting { is_greeted, .. } = &mut self.state {
            *is_greeted = true;
        }
        self.actions
            .push_back(Action::Send(Message::FormatSelected { version }));
    }

    fn freeze(&mut self, now: Duration) {
        self.state = State::Freezing {
            deadline: now + self.timeouts.takeover,
        };
        self.report(Progress::Ready);
        self.actions.push_back(Action::Freeze);
    }

    /// Makes the successor the owner, and forwards signals that arrived while no process served.
    fn activate(&mut self, now: Duration) {
        self.state = State::Probation(Probation::new(now));
        self.actions.push_back(Action::ReleaseOwnership);
        self.actions.push_back(Action::Send(Message::Activate));
        self.report(Progress::Activated);
        if let Some(deadline) = self.drain_deadline {
            self.forward_drain(deadline);
        }
        if std::mem::take(&mut self.is_reload_pending) {
            self.actions.push_back(Action::Send(Message::Reload));
        }
    }

    fn forward_drain(&mut self, deadline: MonotonicSeconds) {
        if let State::Probation(probation) = &mut self.state {
            probation.drain_deadline = Some(deadline);
            self.actions
                .push_back(Action::Send(Message::Drain { deadline }));
        }
    }

    fn complete(&mut self) {
        self.state = State::Ended;
        self.report(Progress::Completed);
        self.actions.push_back(Action::Exit);
    }

    /// The upgrade failed. The successor's process must have ended before this process continues:
    /// two owners would send responses twice.
    fn fail(&mut self, failure: Failure) {
        if let Some(recovery) = self.state.recovery_source() {
            self.state = State::KillingSuccessor { failure, recovery };
            self.actions.push_back(Action::KillSuccessor);
        }
    }

    /// Serves again after the failed successor's process has ended.
    fn recover(&mut self, recovery: RecoverySource, failure: &Failure) {
        let reason = failure.to_string();
        match recovery {
            RecoverySource::Uninterrupted => self.report(Progress::Aborted(reason)),
            RecoverySource::FrozenImage => {
                self.actions.push_back(Action::Resume);
                self.report(Progress::Aborted(reason));
            }
            RecoverySource::Journal => {
                self.actions.push_back(Action::Recover);
                self.report(Progress::Recovered(reason));
            }
        }
    }

    /// Applies the signals that arrived while this process did not serve.
    fn apply_pending_signals(&mut self) {
        if let Some(deadline) = self.drain_deadline {
            self.actions.push_back(Action::Drain { deadline });
        }
        if std::mem::take(&mut self.is_reload_pending) {
            self.actions.push_back(Action::Reload);
        }
    }

    fn report(&mut self, progress: Progress) {
        self.actions.push_back(Action::Report(progress));
    }
}
