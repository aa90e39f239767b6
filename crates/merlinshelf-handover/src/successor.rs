//! The successor's side: it gets ready, takes what it is passed, serves when told to, notes all it does while it is
//! watched, and is on its own from then on.

use std::collections::VecDeque;
use std::time::Duration;

use crate::messages::{Message, MonotonicSeconds, SUPPORTED_FORMATS};

/// Between two words that its main loop turns.
const BEAT: Duration = Duration::from_millis(50);
/// An old process that does not release a steady successor for so long is asleep: notes that nobody reads would fill the
/// memory.
const RELEASED_WITHIN: Duration = Duration::from_secs(10);

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(Message),
    /// Make all live that was passed, touching nothing yet; reported by `taken` or `not_taken`.
    Restore,
    /// Serve, and note every change before it shows.
    Activate,
    /// Nothing needs to be noted any more.
    StopRecording,
    /// Leave by then.
    Drain {
        deadline: MonotonicSeconds,
    },
    Reload,
    /// End without having touched anything.
    Exit {
        reason: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Greeting,
    /// So many descriptors have come so far.
    Receiving {
        come: usize,
    },
    Taking {
        alone: bool,
    },
    /// All is taken; the word to go on is waited for.
    Waiting,
    Watched {
        since: Duration,
        beat: Duration,
        steady: bool,
    },
    Free,
    Ended,
}

/// The successor's state machine. It is made once its configuration is read: the first word says that it can go on.
#[derive(Debug)]
pub struct Successor {
    /// How long it is to be watched.
    watched: Duration,
    state: State,
    leaves: bool,
    steps: VecDeque<Action>,
}

impl Successor {
    pub fn new(watched: Duration, program: &str) -> Successor {
        let hello = Message::Hello {
            format_versions: SUPPORTED_FORMATS.to_vec(),
            program: program.to_owned(),
        };
        Successor {
            watched,
            state: State::Greeting,
            leaves: false,
            steps: VecDeque::from([Action::Send(hello)]),
        }
    }

    pub fn poll_action(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    pub fn next_timeout(&self) -> Option<Duration> {
        match self.state {
            State::Watched { beat, .. } => Some(beat + BEAT),
            _ => None,
        }
    }

    /// Whether this process may touch connections, engine and catalogue.
    pub fn is_owner(&self) -> bool {
        matches!(self.state, State::Watched { .. } | State::Free)
    }

    /// Whether changes must be noted before they show.
    pub fn is_recording(&self) -> bool {
        matches!(self.state, State::Watched { .. })
    }

    /// It can't take over.
    pub fn decline(&mut self, why: &str) {
        if !self.is_owner() {
            self.state = State::Ended;
            self.steps.push_back(Action::Send(Message::Declined {
                reason: why.to_owned(),
            }));
            self.steps.push_back(Action::Exit {
                reason: why.to_owned(),
            });
        }
    }

    pub fn handle_message(&mut self, now: Duration, word: Message) {
        match (&mut self.state, word) {
            (State::Greeting, Message::FormatSelected { version })
                if SUPPORTED_FORMATS.contains(&version) =>
            {
                self.state = State::Receiving { come: 0 };
                self.steps.push_back(Action::Send(Message::Ready));
            }
            (State::Greeting, Message::FormatSelected { version }) => {
                self.decline(&format!("form {version} is not spoken here"));
            }
            (State::Receiving { come }, Message::Descriptors { roles }) => *come += roles.len(),
            (State::Receiving { come }, Message::TransferCompleted { count }) => {
                if *come == count {
                    self.state = State::Taking { alone: false };
                    self.steps.push_back(Action::Restore);
                } else {
                    let why = format!("{come} of {count} descriptors have come");
                    self.decline(&why);
                }
            }
            (State::Waiting, Message::Activate) => self.serve(now),
            (State::Watched { .. }, Message::Released) => self.free(),
            (State::Watched { .. }, Message::Drain { deadline: stop }) if !self.leaves => {
                self.leaves = true;
                self.steps.push_back(Action::Drain { deadline: stop });
            }
            (State::Watched { .. }, Message::Reload) => self.steps.push_back(Action::Reload),
            _ => {}
        }
    }

    /// All that was passed is live.
    pub fn restore_completed(&mut self, now: Duration) {
        if let State::Taking { alone } = self.state {
            self.state = State::Waiting;
            if alone {
                return self.predecessor_exited(now);
            }
            self.steps.push_back(Action::Send(Message::Restored));
        }
    }

    pub fn restore_failed(&mut self, why: &str) {
        if matches!(self.state, State::Taking { .. }) {
            self.decline(why);
        }
    }

    /// The old process is gone: seen by the end of the channel, which it closes in no other way before `Released`.
    pub fn predecessor_exited(&mut self, now: Duration) {
        match self.state {
            // All is here, and nobody else can serve it.
            State::Waiting => {
                self.serve(now);
                self.free();
            }
            State::Watched { .. } => self.free(),
            State::Free | State::Ended => {}
            // Decided when it is known whether all can be taken.
            State::Taking { .. } => self.state = State::Taking { alone: true },
            State::Greeting | State::Receiving { .. } => {
                self.state = State::Ended;
                self.steps.push_back(Action::Exit {
                    reason: "the old process is gone".into(),
                });
            }
        }
    }

    /// This process itself was told to leave. The one who watches hears of it before anything else does: whoever saw this
    /// process leave finds it leaving after its death, too.
    pub fn drain(&mut self, stop: MonotonicSeconds) {
        if !self.leaves && self.is_owner() {
            self.leaves = true;
            if matches!(self.state, State::Watched { .. }) {
                self.steps
                    .push_back(Action::Send(Message::Draining { deadline: stop }));
            }
            self.steps.push_back(Action::Drain { deadline: stop });
        }
    }

    pub fn handle_timeout(&mut self, now: Duration) {
        if let State::Watched {
            since,
            beat,
            steady,
        } = &mut self.state
        {
            if now < *beat + BEAT {
                return;
            }
            *beat = now;
            if now >= *since + self.watched + RELEASED_WITHIN && !self.leaves {
                return self.detach();
            }
            let word = if now >= *since + self.watched && !*steady && !self.leaves {
                *steady = true;
                Message::ProbationCompleted
            } else {
                Message::Heartbeat
            };
            self.steps.push_back(Action::Send(word));
        }
    }

    /// Nobody reads its notes any more: it goes on alone.
    pub fn detach(&mut self) {
        if self.is_recording() {
            self.steps.push_back(Action::Send(Message::Detached));
            self.free();
        }
    }

    fn serve(&mut self, now: Duration) {
        self.state = State::Watched {
            since: now,
            beat: now,
            steady: false,
        };
        self.steps.push_back(Action::Activate);
    }

    fn free(&mut self) {
        self.state = State::Free;
        self.steps.push_back(Action::StopRecording);
    }
}
