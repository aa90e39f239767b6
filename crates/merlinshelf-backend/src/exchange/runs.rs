//! The exchange towards the engine: commands out, notices in.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use merlinshelf_admission::Outcome;
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::engine::End;
use tokio::sync::Notify;

use super::{Answer, CallDemand, Exchange};

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
    pub fn commands_waker(&self) -> Rc<Notify> {
        self.commands.waker()
    }

    /// The next command, and how much had been heard of its invocation when it was given.
    pub fn next_command(&mut self) -> Option<(Command, u64)> {
        let (command, heard) = self.commands.pop()?;
        let invocation = self
            .invocations
            .find(command.id())
            .and_then(|index| self.invocations.get_mut(index));
        if let Some((_, sent)) = invocation.and_then(|invocation| invocation.command.as_mut()) {
            *sent = true;
        }
        Some((command, heard))
    }

    /// The engine has read a command that was given when so much had been heard of its invocation.
    pub fn command_acknowledged(&mut self, command: &Command, heard: u64) {
        let invocation = self
            .invocations
            .find(command.id())
            .and_then(|index| self.invocations.get_mut(index));
        if let Some(invocation) = invocation.filter(|invocation| invocation.notifications == heard)
        {
            invocation.command = None;
        }
    }

    /// The one place where a command is given.
    pub(super) fn send_command(&mut self, index: usize, command: Command) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        invocation.command = Some((command.clone(), false));
        self.commands.push((command, invocation.notifications));
    }

    /// The engine has said HELLO: the module starts, cold or warm as the engine did. Starts it anew
    /// where the engine has been started anew, whose runs are then all gone.
    pub fn engine_up(&mut self, warm: bool, up: f64, anew: bool) {
        if self.controller.is_some() && !anew {
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
        self.start_controller(up);
    }

    /// A run is over.
    pub fn run_ended(&mut self, id: CallId, end: End, took: f64, result: &[u8]) {
        self.counters.done += 1;
        let Some(index) = self.record_notification(id) else {
            return debug!("{id} is over, and not in hand");
        };
        match end {
            End::Succeeded => {
                let missing = self
                    .invocations
                    .get(index)
                    .map(|invocation| invocation.missing_parts.join(", "))
                    .unwrap_or_default();
                let answer = match missing.is_empty() {
                    true => Answer::Succeeded(result.into()),
                    false => Answer::Partial(result.into(), missing.into()),
                };
                self.answer(index, answer);
            }
            End::Errored => self.answer(index, Answer::Failed),
            End::Stopped | End::Moot => {}
        }
        let outcome = Outcome {
            succeeded: end == End::Succeeded,
            never_ran: end == End::Moot,
            stopped: end == End::Stopped,
        };
        self.decide(|controller, now| controller.run_ended(now, index, outcome, took));
    }

    /// A run waits for a call with this body, of the dependency that it names where that was
    /// agreed.
    pub fn call_requested(&mut self, id: CallId, number: u64, named: Option<&str>, body: &[u8]) {
        self.counters.needs += 1;
        let Some(index) = self.record_notification(id) else {
            return debug!("{id} wants a call, and is not in hand");
        };
        self.abandon_call(index);
        if let Some(invocation) = self.invocations.get_mut(index) {
            self.makes_several_calls[invocation.operation] |= invocation.call_request.is_some();
            invocation.call_request = Some((number, body.into()));
            (invocation.named_dependency, invocation.calls_requested) =
                (named.map(Rc::from), invocation.calls_requested + 1);
        }
        self.record_call_demand();
        let wanting = CallDemand {
            wants_call: true,
            wants_retry: false,
        };
        self.decide_with_demand(wanting, |controller, now| {
            controller.call_requested(now, index)
        });
    }

    pub(super) fn record_notification(&mut self, id: CallId) -> Option<usize> {
        let index = self.invocations.find(id)?;
        let invocation = self.invocations.get_mut(index)?;
        (invocation.notifications, invocation.command) = (invocation.notifications + 1, None);
        Some(index)
    }

    /// The gauges, in the order of the settings, asked for so long ago. The module hears them at
    /// this moment, with its next wake brought forward: it takes what runs by its own count from
    /// what the engine counts, and by the time the wake was due runs would have ended and begun.
    pub fn gauges_received(&mut self, values: &[f64], age: Duration) {
        self.counters.stats += 1;
        if age > GAUGES_AGE {
            return;
        }
        let gauges = self.named_gauges(values);
        if let Some(handle) = self.timers.take_next_admission() {
            self.fire_admission_timer(handle, &gauges);
        }
    }

    /// By the names of the settings; what is no number is left out.
    pub(super) fn named_gauges(&self, values: &[f64]) -> BTreeMap<String, f64> {
        let named = self.gauge_names.iter().cloned().zip(values.iter().copied());
        named.filter(|(_, value)| value.is_finite()).collect()
    }

    pub(super) fn fire_admission_timer(&mut self, handle: u64, gauges: &BTreeMap<String, f64>) {
        self.decide(|controller, now| controller.timer_fired(now, handle, gauges));
    }

    /// The engine did not carry out a command.
    pub fn command_refused(&mut self, word: &[u8], id: CallId) {
        self.counters.refused_commands += 1;
        warn!("the engine refused {} {id}", word.escape_ascii());
        if let (b"RUN", Some(index)) = (word, self.invocations.find(id)) {
            self.answer(index, Answer::Unknown);
            let outcome = Outcome {
                never_ran: true,
                ..Outcome::default()
            };
            self.decide(|controller, now| controller.run_ended(now, index, outcome, 0.0));
        }
    }

    /// A command may have been lost with a link, and all notices since have been read. It is given
    /// again where that can do no harm: a run that goes on is not started twice, and a skip names
    /// its notice. A reply names neither, but where runs make one call at most a second FEED finds
    /// the run waiting for it or is refused. Elsewhere the module is asked about that call once
    /// more.
    pub fn command_lost(&mut self, command: Command, heard: u64) {
        let Some(index) = self.invocations.find(command.id()) else {
            return;
        };
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        if invocation.notifications != heard {
            return;
        }
        let operation = invocation.operation;
        match command {
            // A second one might reach the run's next call, where runs of this operation make more
            // than one.
            Command::Feed { .. } if self.makes_several_calls[operation] => {
                if self.idempotent[operation] {
                    self.decide(|controller, now| controller.call_requested(now, index));
                }
            }
            command => self.send_command(index, command),
        }
    }

    pub(super) fn start_run(&mut self, index: usize) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        invocation.has_started = true;
        let (id, operation, body) = (
            invocation.id,
            self.operation_names[invocation.operation].clone(),
            invocation.body.clone(),
        );
        self.counters.runs += 1;
        self.send_command(
            index,
            Command::Run {
                id,
                operation,
                body,
            },
        );
    }

    pub(super) fn skip_call(&mut self, index: usize) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        let Some((need, _)) = invocation.call_request else {
            return;
        };
        let id = invocation.id;
        self.counters.skips += 1;
        self.send_command(index, Command::Skip { id, need });
    }
}
