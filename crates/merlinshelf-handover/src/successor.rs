//! The successor's side of a handover: it gets ready, restores the transferred state, serves once it
//! is activated, records all its changes during its probation, and is independent afterwards.

use std::collections::VecDeque;
use std::time::Duration;

use crate::messages::{Message, MonotonicSeconds, SUPPORTED_FORMATS};

/// Interval between the heartbeats of the main loop.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after its probation at which a successor that was not released detaches. Its predecessor is
/// suspended then, and the unread journal would fill the memory.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Actions that the successor's host carries out, in the order in which they are polled.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the predecessor.
    Send(Message),
    /// Restore everything that was transferred without using it yet; reported by
    /// `restore_completed` or `restore_failed`.
    Restore,
    /// Serve, and record every change before its effect is visible to others.
    Activate,
    /// Stop recording changes.
    StopRecording,
    /// Begin the graceful shutdown of this process.
    Drain {
        /// Time by which the process must have exited.
        deadline: MonotonicSeconds,
    },
    /// Reload the configuration.
    Reload,
    /// Exit; nothing was changed.
    Exit {
        /// The reason, as text for operators.
        reason: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// `Hello` was sent.
    Greeting,
    /// Descriptors are being received; counts those received so far.
    Receiving { descriptors: usize },
    /// The received state is being restored.
    Restoring { has_predecessor_exited: bool },
    /// Everything is restored, and `Activate` is awaited.
    AwaitingActivation,
    /// It serves, and records its changes.
    Probation(Probation),
    /// It serves without being observed.
    Independent,
    /// It can't take over.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Probation {
    activated_at: Duration,
    last_heartbeat_at: Duration,
    /// `ProbationCompleted` was sent.
    is_completed: bool,
}

/// The successor's state machine. It must be created only after the configuration is read, since its
/// first message tells the predecessor that this process could take over.
#[derive(Debug)]
pub struct Successor {
    /// Duration of the probation.
    probation: Duration,
    state: State,
    is_draining: bool,
    actions: VecDeque<Action>,
}

impl Successor {
    /// Creates a successor with this duration of probation. `program` is its name and version for
    /// the predecessor's log.
    pub fn new(probation: Duration, program: &str) -> Successor {
        let hello = Message::Hello {
            format_versions: SUPPORTED_FORMATS.to_vec(),
            program: program.to_owned(),
        };
        Successor {
            probation,
            state: State::Greeting,
            is_draining: false,
            actions: VecDeque::from([Action::Send(hello)]),
        }
    }

    /// The next action, if there is one.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Time at which `handle_timeout` must be called if no event occurs before.
    pub fn next_timeout(&self) -> Option<Duration> {
        match self.state {
            State::Probation(probation) => Some(probation.last_heartbeat_at + HEARTBEAT_INTERVAL),
            _ => None,
        }
    }

    /// Whether this process may use the connections, the engine and the catalogue.
    pub fn is_owner(&self) -> bool {
        matches!(self.state, State::Probation(_) | State::Independent)
    }

    /// Whether changes must be recorded before their effect is visible to others.
    pub fn is_recording(&self) -> bool {
        matches!(self.state, State::Probation(_))
    }

    /// Reports to the predecessor that this process can't take over, and exits. Has no effect once it
    /// is the owner.
    pub fn decline(&mut self, reason: &str) {
        if self.is_owner() {
            return;
        }
        self.state = State::Ended;
        let reason = reason.to_owned();
        self.actions.push_back(Action::Send(Message::Declined {
            reason: reason.clone(),
        }));
        self.actions.push_back(Action::Exit { reason });
    }

    /// A message was received from the predecessor. An unexpected message is ignored.
    pub fn handle_message(&mut self, now: Duration, message: Message) {
        match (&mut self.state, message) {
            (State::Greeting, Message::FormatSelected { version })
                if SUPPORTED_FORMATS.contains(&version) =>
            {
                self.state = State::Receiving { descriptors: 0 };
                self.actions.push_back(Action::Send(Message::Ready));
            }
            (State::Greeting, Message::FormatSelected { version }) => {
                self.decline(&format!("form {version} is not spoken here"));
            }
            (State::Receiving { descriptors }, Message::Descriptors { roles }) => {
                *descriptors += roles.len();
            }
            (State::Receiving { descriptors }, Message::TransferCompleted { count }) => {
                if *descriptors == count {
                    self.state = State::Restoring {
                        has_predecessor_exited: false,
                    };
                    self.actions.push_back(Action::Restore);
                } else {
                    let reason = format!("{descriptors} of {count} descriptors have come");
                    self.decline(&reason);
                }
            }
            (State::AwaitingActivation, Message::Activate) => self.activate(now),
            (State::Probation(_), Message::Released) => self.stop_recording(),
            (State::Probation(_), Message::Drain { deadline }) if !self.is_draining => {
                self.is_draining = true;
                self.actions.push_back(Action::Drain { deadline });
            }
            (State::Probation(_), Message::Reload) => self.actions.push_back(Action::Reload),
            _ => {}
        }
    }

    /// Everything that was transferred has been restored.
    pub fn restore_completed(&mut self, now: Duration) {
        if let State::Restoring {
            has_predecessor_exited,
        } = self.state
        {
            self.state = State::AwaitingActivation;
            if has_predecessor_exited {
                return self.predecessor_exited(now);
            }
            self.actions.push_back(Action::Send(Message::Restored));
        }
    }

    /// The transferred state can't be restored.
    pub fn restore_failed(&mut self, reason: &str) {
        if matches!(self.state, State::Restoring { .. }) {
            self.decline(reason);
        }
    }

    /// The predecessor has exited, as observed by the end of the channel: before `Released` it closes
    /// the channel only by exiting.
    pub fn predecessor_exited(&mut self, now: Duration) {
        match self.state {
            // Everything is restored, and no other process can serve it.
            State::AwaitingActivation => {
                self.activate(now);
                self.stop_recording();
            }
            State::Probation(_) => self.stop_recording(),
            State::Independent | State::Ended => {}
            // Handled once it is known whether everything can be restored.
            State::Restoring { .. } => {
                self.state = State::Restoring {
                    has_predecessor_exited: true,
                };
            }
            State::Greeting | State::Receiving { .. } => {
                self.state = State::Ended;
                self.actions.push_back(Action::Exit {
                    reason: "the predecessor has exited".into(),
                });
            }
        }
    }

    /// This process itself was notified to shut down. The predecessor is informed before any client
    /// can observe it, so that the predecessor drains too if this process dies while draining.
    pub fn drain(&mut self, deadline: MonotonicSeconds) {
        if self.is_draining || !self.is_owner() {
            return;
        }
        self.is_draining = true;
        if self.is_recording() {
            self.actions
                .push_back(Action::Send(Message::Draining { deadline }));
        }
        self.actions.push_back(Action::Drain { deadline });
    }

    /// Sends the next heartbeat once it is due, and detaches if the release timed out.
    pub fn handle_timeout(&mut self, now: Duration) {
        let State::Probation(probation) = &mut self.state else {
            return;
        };
        if now < probation.last_heartbeat_at + HEARTBEAT_INTERVAL {
            return;
        }
        probation.last_heartbeat_at = now;
        let probation_end = probation.activated_at + self.probation;
        if now >= probation_end + RELEASE_TIMEOUT && !self.is_draining {
            return self.detach();
        }
        let message = if now >= probation_end && !probation.is_completed && !self.is_draining {
            probation.is_completed = true;
            Message::ProbationCompleted
        } else {
            Message::Heartbeat
        };
        self.actions.push_back(Action::Send(message));
    }

    /// Continues alone because the predecessor no longer reads the journal.
    pub fn detach(&mut self) {
        if self.is_recording() {
            self.actions.push_back(Action::Send(Message::Detached));
            self.stop_recording();
        }
    }

    fn activate(&mut self, now: Duration) {
        self.state = State::Probation(Probation {
            activated_at: now,
            last_heartbeat_at: now,
            is_completed: false,
        });
        self.actions.push_back(Action::Activate);
    }

    fn stop_recording(&mut self) {
        self.state = State::Independent;
        self.actions.push_back(Action::StopRecording);
    }
}
