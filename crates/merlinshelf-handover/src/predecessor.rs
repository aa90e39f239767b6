//! The old process's side: it starts a successor, hands over, watches it, and takes all back if it fails.
//!
//! Until `Go` is said the old process owns everything, and a successor that fails costs a freeze at most. From then
//! on the successor owns it, and the old process only once it is known to be dead: its end is waited for before
//! anything is touched.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use crate::messages::{Message, MonotonicSeconds, select_format};

/// How long each stage may take. All are the operator's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTimeouts {
    /// From the start of the successor until it is ready, its configuration read.
    pub ready: Duration,
    /// From the freeze until it has taken everything: nobody is served meanwhile.
    pub takeover: Duration,
    /// How long it is watched after it took over.
    pub probation: Duration,
    /// A successor whose main loop does not turn for so long hangs.
    pub heartbeat: Duration,
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the successor's process; reported by `started` or `not_started`.
    StartSuccessor,
    /// Say something to it.
    Send(Message),
    /// Stop serving and make the image; reported by `frozen` or `not_frozen`.
    Freeze,
    /// Hand over image and descriptors; reported by `passed` or `not_passed`.
    Transfer,
    /// Give up what only the owner may hold: the successor serves from now on.
    ReleaseOwnership,
    /// Kill the successor; reported by `died`.
    KillSuccessor,
    /// Serve again from the image as it was frozen.
    Resume,
    /// Serve again from the image and all that the dead successor noted.
    Recover,
    /// Tell who asked how it stands.
    Report(Progress),
    /// The notice to leave is heeded by this process itself.
    Drain { deadline: MonotonicSeconds },
    /// The configuration is read anew by this process itself.
    Reload,
    /// End this process: the successor has everything.
    Exit,
    /// End this process as the successor did, which was told to leave.
    ExitWithStatus { status: i32 },
}

/// How an upgrade stands, for who asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    Starting,
    Ready,
    Activated,
    Completed,
    /// Turned down before anything was touched.
    Rejected(String),
    /// Given up before the successor took over; nothing was lost.
    Aborted(String),
    /// The successor failed after it took over, and everything was taken back.
    Recovered(String),
}

impl fmt::Display for Progress {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Progress::Starting => out.write_str("the successor starts"),
            Progress::Ready => out.write_str("the successor is ready"),
            Progress::Activated => out.write_str("the successor serves and is watched"),
            Progress::Completed => out.write_str("done"),
            Progress::Rejected(why) => write!(out, "refused: {why}"),
            Progress::Aborted(why) => write!(out, "given up before the take-over: {why}"),
            Progress::Recovered(why) => write!(out, "taken back: {why}"),
        }
    }
}

impl Progress {
    /// Whether nothing more follows.
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            Progress::Starting | Progress::Ready | Progress::Activated
        )
    }
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// It serves, and no upgrade is under way.
    Serving,
    /// The successor's process is being started or gets ready, until then.
    Starting {
        greeted: bool,
        until: Duration,
    },
    /// Nobody serves: the image is made, then passed, then taken.
    Freezing {
        until: Duration,
    },
    Passing {
        until: Duration,
    },
    Taking {
        until: Duration,
    },
    /// The successor serves. It is watched until it says that it is steady.
    Watching {
        heard: Duration,
        since: Duration,
        leaves: Option<MonotonicSeconds>,
    },
    /// The successor was killed and is waited for: why, and from where to go on.
    Killing {
        why: String,
        held: Held,
    },
    /// The successor has everything.
    Ended,
}

/// What this process holds while it waits for a successor's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    /// It serves all along.
    Service,
    /// What it froze.
    Frozen,
    /// Copies only: what counts is what the successor noted.
    Copies,
}

/// The old process's state machine.
#[derive(Debug)]
pub struct Predecessor {
    patience: StageTimeouts,
    state: State,
    /// The notice to leave, where it came while this process could not heed it.
    leave: Option<MonotonicSeconds>,
    reload: bool,
    steps: VecDeque<Action>,
}

impl Predecessor {
    pub fn new(patience: StageTimeouts) -> Predecessor {
        Predecessor {
            patience,
            state: State::Serving,
            leave: None,
            reload: false,
            steps: VecDeque::new(),
        }
    }

    /// The next thing to do, if there is one.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    /// When it wants to be woken though nothing happens.
    pub fn next_timeout(&self) -> Option<Duration> {
        match &self.state {
            State::Starting { until, .. }
            | State::Freezing { until }
            | State::Passing { until }
            | State::Taking { until } => Some(*until),
            State::Watching { heard, since, .. } => {
                Some((*heard + self.patience.heartbeat).min(*since + self.watched_most()))
            }
            State::Serving | State::Killing { .. } | State::Ended => None,
        }
    }

    /// Whether this process may touch connections, engine and catalogue.
    pub fn is_owner(&self) -> bool {
        match &self.state {
            State::Serving
            | State::Starting { .. }
            | State::Freezing { .. }
            | State::Passing { .. }
            | State::Taking { .. } => true,
            State::Killing { held, .. } => !matches!(held, Held::Copies),
            State::Watching { .. } | State::Ended => false,
        }
    }

    /// Whether this process serves: it owns all and nothing is frozen.
    pub fn is_serving(&self) -> bool {
        matches!(
            self.state,
            State::Serving
                | State::Starting { .. }
                | State::Killing {
                    held: Held::Service,
                    ..
                }
        )
    }

    /// Whether an upgrade is under way.
    pub fn has_upgrade_in_progress(&self) -> bool {
        self.state != State::Serving
    }

    /// The state in one word, for reports.
    pub fn state_name(&self) -> &'static str {
        match &self.state {
            State::Serving => "serving",
            State::Starting { greeted: false, .. } => "starting",
            State::Starting { greeted: true, .. } => "readying",
            State::Freezing { .. } => "freezing",
            State::Passing { .. } => "passing",
            State::Taking { .. } => "taking",
            State::Watching { .. } => "watching",
            State::Killing { .. } => "killing",
            State::Ended => "ended",
        }
    }

    /// An upgrade is asked for. `lacking` says why there is no room for two processes, where there is none.
    pub fn start_upgrade(&mut self, now: Duration, lacking: Option<String>) {
        let refusal = match (&self.state, self.leave, lacking) {
            (State::Serving, None, None) => None,
            (State::Serving, None, Some(lacking)) => Some(lacking),
            (State::Serving, Some(_), _) => Some("it is leaving".to_owned()),
            _ => Some("an upgrade is under way".to_owned()),
        };
        if let Some(why) = refusal {
            return self.tell(Progress::Rejected(why));
        }
        self.state = State::Starting {
            greeted: false,
            until: now + self.patience.ready,
        };
        self.tell(Progress::Starting);
        self.steps.push_back(Action::StartSuccessor);
    }

    /// The successor's process could not be started.
    pub fn start_failed(&mut self, why: &str) {
        if matches!(self.state, State::Starting { .. }) {
            self.state = State::Serving;
            self.tell(Progress::Aborted(why.to_owned()));
        }
    }

    /// The successor said something.
    pub fn handle_message(&mut self, now: Duration, word: Message) {
        match (&mut self.state, word) {
            (
                State::Starting { greeted, until: _ },
                Message::Hello {
                    format_versions: forms,
                    program,
                },
            ) if !*greeted => match select_format(&forms) {
                Some(version) => {
                    *greeted = true;
                    self.steps
                        .push_back(Action::Send(Message::FormatSelected { version }));
                }
                None => self.fail(
                    format!("{program} speaks only forms {forms:?}"),
                    Held::Service,
                ),
            },
            (State::Starting { greeted: true, .. }, Message::Ready) => {
                self.state = State::Freezing {
                    until: now + self.patience.takeover,
                };
                self.tell(Progress::Ready);
                self.steps.push_back(Action::Freeze);
            }
            (State::Taking { .. }, Message::Restored) => {
                self.state = State::Watching {
                    heard: now,
                    since: now,
                    leaves: None,
                };
                self.steps
                    .extend([Action::ReleaseOwnership, Action::Send(Message::Activate)]);
                self.tell(Progress::Activated);
                if let Some(stop) = self.leave {
                    self.pass_on_leave(stop);
                }
                if std::mem::take(&mut self.reload) {
                    self.steps.push_back(Action::Send(Message::Reload));
                }
            }
            (
                State::Watching { heard, .. },
                Message::Heartbeat | Message::ConnectionOpened { .. },
            ) => *heard = now,
            (State::Watching { heard, leaves, .. }, Message::Draining { deadline: stop }) => {
                *heard = now;
                // The first notice counts.
                let stop = leaves.map_or(stop, |known: f64| known.min(stop));
                *leaves = Some(stop);
                self.leave = Some(stop);
            }
            (State::Watching { leaves: None, .. }, Message::ProbationCompleted) => {
                self.state = State::Ended;
                self.steps.push_back(Action::Send(Message::Released));
                self.tell(Progress::Completed);
                self.steps.push_back(Action::Exit);
            }
            // This process was asleep; nothing here can be gone on with.
            (State::Watching { .. }, Message::Detached) => {
                self.state = State::Ended;
                self.tell(Progress::Completed);
                self.steps.push_back(Action::Exit);
            }
            // One that leaves is watched to its end.
            (State::Watching { heard, .. }, Message::ProbationCompleted) => *heard = now,
            (_, Message::Declined { reason: why }) => self.failed(why),
            // Late, doubled or out of place: it says nothing that counts now.
            _ => {}
        }
    }

    /// The image is made.
    pub fn freeze_completed(&mut self, now: Duration) {
        if let State::Freezing { until } = self.state {
            if now >= until {
                return self.fail("freezing took too long".into(), Held::Frozen);
            }
            self.state = State::Passing { until };
            self.steps.push_back(Action::Transfer);
        }
    }

    /// It could not be made; service goes on.
    pub fn freeze_failed(&mut self, why: &str) {
        if matches!(self.state, State::Freezing { .. }) {
            self.fail(why.to_owned(), Held::Frozen);
        }
    }

    /// Image and descriptors were handed over.
    pub fn transfer_completed(&mut self, count: usize) {
        if let State::Passing { until } = self.state {
            self.state = State::Taking { until };
            self.steps
                .push_back(Action::Send(Message::TransferCompleted { count }));
        }
    }

    pub fn transfer_failed(&mut self, why: &str) {
        if matches!(self.state, State::Passing { .. }) {
            self.fail(why.to_owned(), Held::Frozen);
        }
    }

    /// The channel to the successor is broken: it has ended or is about to.
    pub fn channel_failed(&mut self, why: &str) {
        self.failed(why.to_owned());
    }

    /// The successor's process has ended, by itself or killed; seen in the process table, so that it touches nothing
    /// any more.
    pub fn successor_exited(&mut self, status: Option<i32>) {
        let ended = match status {
            Some(status) => format!("the successor ended with status {status}"),
            None => "the successor was killed".to_owned(),
        };
        match std::mem::replace(&mut self.state, State::Serving) {
            State::Ended => self.state = State::Ended,
            State::Serving => {}
            State::Starting { .. } => self.tell(Progress::Aborted(ended)),
            State::Freezing { .. } | State::Passing { .. } | State::Taking { .. } => {
                self.steps.push_back(Action::Resume);
                self.tell(Progress::Aborted(ended));
            }
            // It was told to leave, and did as it was told.
            State::Watching {
                leaves: Some(_), ..
            } if status == Some(0) => {
                self.state = State::Ended;
                self.tell(Progress::Completed);
                self.steps.push_back(Action::ExitWithStatus { status: 0 });
            }
            State::Watching { .. } => {
                self.steps.push_back(Action::Recover);
                self.tell(Progress::Recovered(ended));
            }
            State::Killing { why, held } => match held {
                Held::Service => self.tell(Progress::Aborted(why)),
                Held::Frozen => {
                    self.steps.push_back(Action::Resume);
                    self.tell(Progress::Aborted(why));
                }
                Held::Copies => {
                    self.steps.push_back(Action::Recover);
                    self.tell(Progress::Recovered(why));
                }
            },
        }
        if self.state == State::Serving {
            if let Some(stop) = self.leave {
                self.steps.push_back(Action::Drain { deadline: stop });
            }
            if std::mem::take(&mut self.reload) {
                self.steps.push_back(Action::Reload);
            }
        }
    }

    /// The notice to leave came to this process, which must be gone by then. The first one counts.
    pub fn drain(&mut self, stop: MonotonicSeconds) {
        if self.leave.is_some() {
            return;
        }
        self.leave = Some(stop);
        match &self.state {
            State::Serving => self.steps.push_back(Action::Drain { deadline: stop }),
            State::Starting { .. } => {
                self.fail("the notice to leave came".into(), Held::Service);
                self.steps.push_back(Action::Drain { deadline: stop });
            }
            State::Freezing { .. } | State::Passing { .. } | State::Taking { .. } => {
                self.fail("the notice to leave came".into(), Held::Frozen);
            }
            State::Watching { .. } => self.pass_on_leave(stop),
            State::Killing {
                held: Held::Service,
                ..
            } => self.steps.push_back(Action::Drain { deadline: stop }),
            State::Killing { .. } | State::Ended => {}
        }
    }

    fn pass_on_leave(&mut self, stop: MonotonicSeconds) {
        if let State::Watching { leaves, .. } = &mut self.state {
            *leaves = Some(stop);
            self.steps
                .push_back(Action::Send(Message::Drain { deadline: stop }));
        }
    }

    /// SIGHUP came to this process.
    pub fn reload(&mut self) {
        match &self.state {
            State::Serving
            | State::Starting { .. }
            | State::Killing {
                held: Held::Service,
                ..
            } => {
                self.steps.push_back(Action::Reload);
            }
            State::Watching { .. } => self.steps.push_back(Action::Send(Message::Reload)),
            State::Freezing { .. }
            | State::Passing { .. }
            | State::Taking { .. }
            | State::Killing { .. } => self.reload = true,
            State::Ended => {}
        }
    }

    /// A moment that it asked for has come.
    pub fn handle_timeout(&mut self, now: Duration) {
        let due = self.next_timeout().is_some_and(|at| now >= at);
        if !due {
            return;
        }
        match &self.state {
            State::Starting { .. } => {
                self.fail(
                    "the successor does not get ready in its time".into(),
                    Held::Service,
                );
            }
            State::Freezing { .. } | State::Passing { .. } | State::Taking { .. } => {
                self.fail(
                    "the successor does not take over in its time".into(),
                    Held::Frozen,
                );
            }
            State::Watching { heard, .. } => {
                let why = if now >= *heard + self.patience.heartbeat {
                    "the successor hangs"
                } else {
                    "the successor does not become steady"
                };
                self.failed(why.to_owned());
            }
            State::Serving | State::Killing { .. } | State::Ended => {}
        }
    }

    /// Long enough for a successor that leaves meanwhile; one that is only slow to say `Steady` is no good either.
    fn watched_most(&self) -> Duration {
        match &self.state {
            State::Watching {
                leaves: Some(_), ..
            } => Duration::from_secs(24 * 3600),
            _ => self.patience.probation * 2 + self.patience.heartbeat,
        }
    }

    /// It failed in whatever state.
    fn failed(&mut self, why: String) {
        match &self.state {
            State::Starting { .. } => self.fail(why, Held::Service),
            State::Freezing { .. } | State::Passing { .. } | State::Taking { .. } => {
                self.fail(why, Held::Frozen);
            }
            State::Watching { .. } => self.fail(why, Held::Copies),
            State::Serving | State::Killing { .. } | State::Ended => {}
        }
    }

    /// It must be gone before anything else happens.
    fn fail(&mut self, why: String, held: Held) {
        self.state = State::Killing { why, held };
        self.steps.push_back(Action::KillSuccessor);
    }

    fn tell(&mut self, progress: Progress) {
        self.steps.push_back(Action::Report(progress));
    }
}
