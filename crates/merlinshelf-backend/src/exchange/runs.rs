//! The exchange's interface to the engine: commands to it and notifications from it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use merlinshelf_admission::Outcome;
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::engine::End;
use tokio::sync::Notify;

use super::{Answer, CallDemand, Exchange};

/// Gauges that may be older than this are ignored.
pub(super) const MAX_GAUGE_AGE: Duration = Duration::from_millis(100);

/// Start times of the engine that differ by no more than this mean the same start.
pub const START_TOLERANCE: Duration = Duration::from_secs(1);

/// A command to the engine.
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

    /// The next command, and how many notifications about its invocation had been received when it
    /// was queued.
    pub fn next_command(&mut self) -> Option<(Command, u64)> {
        let (command, notifications) = self.commands.pop()?;
        let invocation = self
            .invocations
            .find(command.id())
            .and_then(|index| self.invocations.get_mut(index));
        if let Some((_, sent)) = invocation.and_then(|invocation| invocation.command.as_mut()) {
            *sent = true;
        }
        Some((command, notifications))
    }

    /// The engine has read a command that was queued after this many notifications about its
    /// invocation.
    pub fn command_acknowledged(&mut self, command: &Command, notifications: u64) {
        let invocation = self
            .invocations
            .find(command.id())
            .and_then(|index| self.invocations.get_mut(index));
        if let Some(invocation) =
            invocation.filter(|invocation| invocation.notifications == notifications)
        {
            invocation.command = None;
        }
    }

    /// Queues a command. All commands pass through here.
    pub(super) fn send_command(&mut self, index: usize, command: Command) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        invocation.command = Some((command.clone(), false));
        self.commands.push((command, invocation.notifications));
    }

    /// The engine has sent HELLO, `uptime` seconds after its start: starts the admission controller,
    /// cold or warm as the engine started. A restarted engine has lost all runs, so the controller
    /// starts over.
    pub fn engine_up(&mut self, warm: bool, uptime: f64, restarted: bool) {
        if self.controller.is_some() && !restarted {
            return;
        }
        let name = "FamilyInfo.FreshStart";
        let fresh = if warm { "false" } else { "true" };
        if self
            .settings
            .insert(name.into(), fresh.into())
            .is_some_and(|configured| configured != fresh)
        {
            info!(
                "the engine started {}, which differs from {name}",
                if warm { "warm" } else { "cold" }
            );
        }
        if restarted {
            return self.start_over(uptime);
        }
        self.start_controller(uptime);
    }

    /// A run has ended after `duration` seconds.
    pub fn run_ended(&mut self, id: CallId, end: End, duration: f64, result: &[u8]) {
        self.counters.done += 1;
        let Some(index) = self.record_notification(id) else {
            return debug!("run of {id} ended, but the invocation is not in flight");
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
            End::Moot => self.record_never_ran(index),
            End::Stopped => {}
        }
        let outcome = Outcome {
            succeeded: end == End::Succeeded,
            never_ran: end == End::Moot,
            stopped: end == End::Stopped,
        };
        self.decide(|controller, now| controller.run_ended(now, index, outcome, duration));
    }

    /// The engine has not started the run of an invocation.
    fn record_never_ran(&mut self, index: usize) {
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.has_started = false;
        }
    }

    /// A run waits for a call with this body. It names the dependency if that was negotiated with the
    /// engine.
    pub fn call_requested(
        &mut self,
        id: CallId,
        number: u64,
        dependency: Option<&str>,
        body: &[u8],
    ) {
        self.counters.needs += 1;
        let Some(index) = self.record_notification(id) else {
            return debug!("run of {id} requests a call, but the invocation is not in flight");
        };
        self.abandon_call(index);
        if let Some(invocation) = self.invocations.get_mut(index) {
            self.makes_several_calls[invocation.operation] |= invocation.call_request.is_some();
            invocation.call_request = Some((number, body.into()));
            (invocation.named_dependency, invocation.calls_requested) =
                (dependency.map(Rc::from), invocation.calls_requested + 1);
        }
        self.record_call_demand();
        let demand = CallDemand {
            wants_call: true,
            wants_retry: false,
        };
        self.decide_with_demand(demand, |controller, now| {
            controller.call_requested(now, index)
        });
    }

    /// Counts a notification about an invocation, which also acknowledges its last command. The
    /// index, if the invocation is in flight.
    pub(super) fn record_notification(&mut self, id: CallId) -> Option<usize> {
        let index = self.invocations.find(id)?;
        let invocation = self.invocations.get_mut(index)?;
        (invocation.notifications, invocation.command) = (invocation.notifications + 1, None);
        Some(index)
    }

    /// The engine's gauges, in the order of the settings, requested `age` ago. The admission
    /// controller receives them at once, by firing its next timer early: it subtracts its own count
    /// of runs from the engine's, and by the time the timer is due runs have ended and begun.
    pub fn gauges_received(&mut self, values: &[f64], age: Duration) {
        self.counters.stats += 1;
        if age > MAX_GAUGE_AGE {
            return;
        }
        let gauges = self.named_gauges(values);
        if let Some(handle) = self.timers.take_next_admission() {
            self.fire_admission_timer(handle, &gauges);
        }
    }

    /// The gauges by the names in the settings, without values that are not finite.
    pub(super) fn named_gauges(&self, values: &[f64]) -> BTreeMap<String, f64> {
        let named = self.gauge_names.iter().cloned().zip(values.iter().copied());
        named.filter(|(_, value)| value.is_finite()).collect()
    }

    pub(super) fn fire_admission_timer(&mut self, handle: u64, gauges: &BTreeMap<String, f64>) {
        self.decide(|controller, now| controller.timer_fired(now, handle, gauges));
    }

    /// The engine has refused a command.
    pub fn command_refused(&mut self, word: &[u8], id: CallId) {
        self.counters.refused_commands += 1;
        warn!(
            "the engine refused the command {} {id}",
            word.escape_ascii()
        );
        if let (b"RUN", Some(index)) = (word, self.invocations.find(id)) {
            self.answer(index, Answer::Unknown);
            self.record_never_ran(index);
            let outcome = Outcome {
                never_ran: true,
                ..Outcome::default()
            };
            self.decide(|controller, now| controller.run_ended(now, index, outcome, 0.0));
        }
    }

    /// A command may have been lost with the engine connection, and all notifications since have been
    /// read. It is repeated where that is safe: the engine does not start a run twice, and SKIP names
    /// the notification that it refers to. FEED names nothing, but where runs make at most one call,
    /// a second FEED either finds the run waiting for it or is refused. Otherwise the admission
    /// controller decides about that call again.
    pub fn command_lost(&mut self, command: Command, notifications: u64) {
        let Some(index) = self.invocations.find(command.id()) else {
            return;
        };
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        if invocation.notifications != notifications {
            return;
        }
        let operation = invocation.operation;
        match command {
            // Runs of this operation make several calls: a second FEED might be taken as the reply
            // to the next one.
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
