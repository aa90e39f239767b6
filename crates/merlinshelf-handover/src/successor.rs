//! The successor's side: it gets ready, takes what it is passed, serves when told to, notes all it does while it is
//! watched, and is on its own from then on.

use std::collections::VecDeque;
use std::time::Duration;

use crate::messages::{Message, Moment, SUPPORTED_FORMATS};

/// Between two words that its main loop turns.
const BEAT: Duration = Duration::from_millis(50);
/// An old process that does not release a steady successor for so long is asleep: notes that nobody reads would fill the
/// memory.
const RELEASED_WITHIN: Duration = Duration::from_secs(10);

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Say(Message),
    /// Make all live that was passed, touching nothing yet; reported by `taken` or `not_taken`.
    Take,
    /// Serve, and note every change before it shows.
    Serve,
    /// Nothing needs to be noted any more.
    Free,
    /// Leave by then.
    Leave {
        stop: Moment,
    },
    Reload,
    /// End without having touched anything.
    End {
        why: String,
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
            forms: SUPPORTED_FORMATS.to_vec(),
            program: program.to_owned(),
        };
        Successor {
            watched,
            state: State::Greeting,
            leaves: false,
            steps: VecDeque::from([Action::Say(hello)]),
        }
    }

    pub fn next_step(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    pub fn wake_at(&self) -> Option<Duration> {
        match self.state {
            State::Watched { beat, .. } => Some(beat + BEAT),
            _ => None,
        }
    }

    /// Whether this process may touch connections, engine and catalogue.
    pub fn owns(&self) -> bool {
        matches!(self.state, State::Watched { .. } | State::Free)
    }

    /// Whether changes must be noted before they show.
    pub fn notes(&self) -> bool {
        matches!(self.state, State::Watched { .. })
    }

    /// It can't take over.
    pub fn refuse(&mut self, why: &str) {
        if !self.owns() {
            self.state = State::Ended;
            self.steps.push_back(Action::Say(Message::Refuse {
                why: why.to_owned(),
            }));
            self.steps.push_back(Action::End {
                why: why.to_owned(),
            });
        }
    }

    pub fn heard(&mut self, now: Duration, word: Message) {
        match (&mut self.state, word) {
            (State::Greeting, Message::Form { form }) if SUPPORTED_FORMATS.contains(&form) => {
                self.state = State::Receiving { come: 0 };
                self.steps.push_back(Action::Say(Message::Ready));
            }
            (State::Greeting, Message::Form { form }) => {
                self.refuse(&format!("form {form} is not spoken here"));
            }
            (State::Receiving { come }, Message::Pass { roles }) => *come += roles.len(),
            (State::Receiving { come }, Message::Passed { count }) => {
                if *come == count {
                    self.state = State::Taking { alone: false };
                    self.steps.push_back(Action::Take);
                } else {
                    let why = format!("{come} of {count} descriptors have come");
                    self.refuse(&why);
                }
            }
            (State::Waiting, Message::Go) => self.serve(now),
            (State::Watched { .. }, Message::Released) => self.free(),
            (State::Watched { .. }, Message::Leave { stop }) if !self.leaves => {
                self.leaves = true;
                self.steps.push_back(Action::Leave { stop });
            }
            (State::Watched { .. }, Message::Reload) => self.steps.push_back(Action::Reload),
            _ => {}
        }
    }

    /// All that was passed is live.
    pub fn taken(&mut self, now: Duration) {
        if let State::Taking { alone } = self.state {
            self.state = State::Waiting;
            if alone {
                return self.alone(now);
            }
            self.steps.push_back(Action::Say(Message::Taken));
        }
    }

    pub fn not_taken(&mut self, why: &str) {
        if matches!(self.state, State::Taking { .. }) {
            self.refuse(why);
        }
    }

    /// The old process is gone: seen by the end of the channel, which it closes in no other way before `Released`.
    pub fn alone(&mut self, now: Duration) {
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
                self.steps.push_back(Action::End {
                    why: "the old process is gone".into(),
                });
            }
        }
    }

    /// This process itself was told to leave. The one who watches hears of it before anything else does: whoever saw this
    /// process leave finds it leaving after its death, too.
    pub fn left(&mut self, stop: Moment) {
        if !self.leaves && self.owns() {
            self.leaves = true;
            if matches!(self.state, State::Watched { .. }) {
                self.steps.push_back(Action::Say(Message::Leaves { stop }));
            }
            self.steps.push_back(Action::Leave { stop });
        }
    }

    pub fn woken(&mut self, now: Duration) {
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
                return self.unread();
            }
            let word = if now >= *since + self.watched && !*steady && !self.leaves {
                *steady = true;
                Message::Steady
            } else {
                Message::Beat
            };
            self.steps.push_back(Action::Say(word));
        }
    }

    /// Nobody reads its notes any more: it goes on alone.
    pub fn unread(&mut self) {
        if self.notes() {
            self.steps.push_back(Action::Say(Message::Unwatched));
            self.free();
        }
    }

    fn serve(&mut self, now: Duration) {
        self.state = State::Watched {
            since: now,
            beat: now,
            steady: false,
        };
        self.steps.push_back(Action::Serve);
    }

    fn free(&mut self) {
        self.state = State::Free;
        self.steps.push_back(Action::Free);
    }
}
