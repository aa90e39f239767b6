//! The exchange towards the engine: commands out, notices in.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use merlinshelf_admission::Outcome;
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::engine::End;
use tokio::sync::Notify;

use super::{Answer, Exchange, Wanting};

/// Gauges that may be older than this say nothing about now.
pub(super) const GAUGES_AGE: Duration = Duration::from_millis(100);

/// What the engine is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Run {
        id: CallId,
        operation: Rc<str>,
        body: Rc<[u8]>,
    },
    Feed {
        id: CallId,
        reply: Rc<[u8]>,
    },
    Skip {
        id: CallId,
        need: u64,
    },
}

impl Command {
    pub fn id(&self) -> CallId {
        match self {
            Command::Run { id, .. } | Command::Feed { id, .. } | Command::Skip { id, .. } => *id,
        }
    }
}

impl Exchange {
    pub fn commands_wake(&self) -> Rc<Notify> {
        self.commands.wake()
    }

    /// The next command, and how much had been heard of its invocation when it was given.
    pub fn next_command(&mut self) -> Option<(Command, u64)> {
        let (command, heard) = self.commands.pop()?;
        let one = self
            .hand
            .find(command.id())
            .and_then(|inv| self.hand.get(inv));
        if let Some((_, sent)) = one.and_then(|one| one.command.as_mut()) {
            *sent = true;
        }
        Some((command, heard))
    }

    /// The engine has read a command that was given when so much had been heard of its invocation.
    pub fn command_read(&mut self, command: &Command, heard: u64) {
        let one = self
            .hand
            .find(command.id())
            .and_then(|inv| self.hand.get(inv));
        if let Some(one) = one.filter(|one| one.heard == heard) {
            one.command = None;
        }
    }

    /// The one place where a command is given.
    pub(super) fn give(&mut self, inv: usize, command: Command) {
        let Some(one) = self.hand.get(inv) else {
            return;
        };
        one.command = Some((command.clone(), false));
        self.commands.push((command, one.heard));
    }

    /// The engine has said HELLO: the module starts, cold or warm as the engine did. Starts it anew where the
    /// engine has been started anew, whose runs are then all gone.
    pub fn engine_up(&mut self, warm: bool, up: f64, anew: bool) {
        if self.shedder.is_some() && !anew {
            return;
        }
        let name = "FamilyInfo.FreshStart";
        let fresh = if warm { "false" } else { "true" };
        if self
            .settings
            .insert(name.into(), fresh.into())
            .is_some_and(|told| told != fresh)
        {
            info!(
                "the engine started {}, other than {name} says",
                if warm { "warm" } else { "cold" }
            );
        }
        if anew {
            return self.start_over(up);
        }
        self.start(up);
    }

    /// A run is over.
    pub fn ended(&mut self, id: CallId, end: End, took: f64, result: &[u8]) {
        self.counters.done += 1;
        let Some(inv) = self.heard(id) else {
            return debug!("{id} is over, and not in hand");
        };
        match end {
            End::Succeeded => {
                let missing = self
                    .hand
                    .look(inv)
                    .map(|one| one.missing.join(", "))
                    .unwrap_or_default();
                let answer = match missing.is_empty() {
                    true => Answer::Succeeded(result.into()),
                    false => Answer::Partial(result.into(), missing.into()),
                };
                self.answer(inv, answer);
            }
            End::Errored => self.answer(inv, Answer::Errored),
            End::Stopped | End::Moot => {}
        }
        let outcome = Outcome {
            succeeded: end == End::Succeeded,
            never_ran: end == End::Moot,
            stopped: end == End::Stopped,
        };
        self.decide(|shedder, now| shedder.run_ended(now, inv, outcome, took));
    }

    /// A run waits for a call with this body, of the dependency that it names where that was agreed.
    pub fn wants_call(&mut self, id: CallId, number: u64, named: Option<&str>, body: &[u8]) {
        self.counters.needs += 1;
        let Some(inv) = self.heard(id) else {
            return debug!("{id} wants a call, and is not in hand");
        };
        self.drop_call(inv);
        if let Some(one) = self.hand.get(inv) {
            self.calls_again[one.operation] |= one.need.is_some();
            one.need = Some((number, body.into()));
            (one.named, one.wanted) = (named.map(Rc::from), one.wanted + 1);
        }
        self.note_wish();
        let wanting = Wanting {
            call: true,
            again: false,
        };
        self.decide_on(wanting, |shedder, now| shedder.call_requested(now, inv));
    }

    pub(super) fn heard(&mut self, id: CallId) -> Option<usize> {
        let inv = self.hand.find(id)?;
        let one = self.hand.get(inv)?;
        (one.heard, one.command) = (one.heard + 1, None);
        Some(inv)
    }

    /// The gauges, in the order of the settings, asked for so long ago. The module hears them at this moment,
    /// with its next wake brought forward: it takes what runs by its own count from what the engine counts,
    /// and by the time the wake was due runs would have ended and begun.
    pub fn gauges(&mut self, values: &[f64], age: Duration) {
        self.counters.stats += 1;
        if age > GAUGES_AGE {
            return;
        }
        let gauges = self.named(values);
        if let Some(handle) = self.alarms.pull_wake() {
            self.wake(handle, &gauges);
        }
    }

    /// By the names of the settings; what is no number is left out.
    pub(super) fn named(&self, values: &[f64]) -> BTreeMap<String, f64> {
        let named = self.meters.iter().cloned().zip(values.iter().copied());
        named.filter(|(_, value)| value.is_finite()).collect()
    }

    pub(super) fn wake(&mut self, handle: u64, gauges: &BTreeMap<String, f64>) {
        self.decide(|shedder, now| shedder.timer_fired(now, handle, gauges));
    }

    /// The engine did not carry out a command.
    pub fn command_refused(&mut self, word: &[u8], id: CallId) {
        self.counters.refused_commands += 1;
        warn!("the engine refused {} {id}", word.escape_ascii());
        if let (b"RUN", Some(inv)) = (word, self.hand.find(id)) {
            self.answer(inv, Answer::Unknown);
            let outcome = Outcome {
                never_ran: true,
                ..Outcome::default()
            };
            self.decide(|shedder, now| shedder.run_ended(now, inv, outcome, 0.0));
        }
    }

    /// A command may have been lost with a link, and all notices since have been read. It is given again
    /// where that can do no harm: a run that goes on is not started twice, and a skip names its notice. A
    /// reply names neither, but where runs make one call at most a second FEED finds the run waiting for
    /// it or is refused. Elsewhere the module is asked about that call once more.
    pub fn command_lost(&mut self, command: Command, heard: u64) {
        let Some(inv) = self.hand.find(command.id()) else {
            return;
        };
        let Some(one) = self.hand.get(inv) else {
            return;
        };
        if one.heard != heard {
            return;
        }
        let operation = one.operation;
        match command {
            // A second one might reach the run's next call, where runs of this operation make more than one.
            Command::Feed { .. } if self.calls_again[operation] => {
                if self.idempotent[operation] {
                    self.decide(|shedder, now| shedder.call_requested(now, inv));
                }
            }
            command => self.give(inv, command),
        }
    }

    pub(super) fn begin(&mut self, inv: usize) {
        let Some(one) = self.hand.get(inv) else {
            return;
        };
        one.begun = true;
        let (id, operation, body) = (one.id, self.names[one.operation].clone(), one.body.clone());
        self.counters.runs += 1;
        self.give(
            inv,
            Command::Run {
                id,
                operation,
                body,
            },
        );
    }

    pub(super) fn degrade(&mut self, inv: usize) {
        let Some(one) = self.hand.get(inv) else {
            return;
        };
        let Some((need, _)) = one.need else { return };
        let id = one.id;
        self.counters.skips += 1;
        self.give(inv, Command::Skip { id, need });
    }
}
