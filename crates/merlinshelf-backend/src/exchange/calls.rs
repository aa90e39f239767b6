//! The exchange towards the catalogue: calls below, their time-outs and their ends.

use std::rc::Rc;
use std::time::Duration;

use merlinshelf_admission::Outcome;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::runs::Command;
use super::timers::Timer;
use super::{CallDemand, Exchange};

/// Which call of its invocation one is: the first is 1.
pub type CallNumber = usize;

/// What the catalogue is to be asked.
#[derive(Clone, Debug, PartialEq)]
pub enum CallCommand {
    Invoke {
        id: CallId,
        number: CallNumber,
        timeout_seconds: f64,
        body: Rc<[u8]>,
        context: CallContext,
    },
    Abandon {
        id: CallId,
        number: CallNumber,
    },
}

/// Whose call it is, as far as dependencies are told apart.
#[derive(Clone, Debug, PartialEq)]
pub struct CallContext {
    pub operation: Rc<str>,
    /// Which of the calls that its run wants it is, from 0.
    pub call_index: usize,
    /// The dependency that the run named.
    pub named_dependency: Option<Rc<str>>,
    /// Seconds that its caller still waits.
    pub caller_timeout: Option<f64>,
    pub is_idempotent: bool,
}

/// How a call below has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    Succeeded(Rc<[u8]>),
    /// A lesser answer, or nothing, in place of the reply of this dependency.
    Degraded {
        reply: Option<Rc<[u8]>>,
        missing: Rc<str>,
    },
    NeverRan,
    /// It may have had its effect.
    Failed,
}

impl Exchange {
    pub fn call_commands_waker(&self) -> Rc<Notify> {
        self.call_commands.waker()
    }

    pub fn next_call_command(&mut self) -> Option<CallCommand> {
        self.call_commands.pop()
    }

    /// Whether that call of that invocation is open.
    pub(super) fn is_call_open(&mut self, id: CallId, number: CallNumber) -> bool {
        let invocation = self
            .invocations
            .find(id)
            .and_then(|index| self.invocations.get_mut(index));
        invocation.is_some_and(|invocation| invocation.is_calling && invocation.calls == number)
    }

    /// A call has ended.
    pub fn call_ended(&mut self, id: CallId, number: CallNumber, called: CallOutcome) {
        let awaited = self.is_call_open(id, number);
        let Some(index) = self.invocations.find(id).filter(|_| awaited) else {
            self.counters.late_replies += 1;
            return;
        };
        let outcome = Outcome {
            // With a lesser answer the run goes on as with any other.
            succeeded: matches!(
                called,
                CallOutcome::Succeeded(_) | CallOutcome::Degraded { .. }
            ),
            never_ran: called == CallOutcome::NeverRan,
            stopped: false,
        };
        match &called {
            CallOutcome::Succeeded(_) => self.counters.calls_succeeded += 1,
            CallOutcome::Degraded { .. } => self.counters.calls_lesser += 1,
            CallOutcome::NeverRan => self.counters.calls_never_ran += 1,
            CallOutcome::Failed => self.counters.calls_failed += 1,
        }
        if let Some(invocation) = self.invocations.get_mut(index) {
            (invocation.is_calling, invocation.call_timeout_at) = (false, None);
        }
        match called {
            CallOutcome::Succeeded(reply) => {
                self.counters.feeds += 1;
                self.send_command(index, Command::Feed { id, reply });
            }
            CallOutcome::Degraded { reply, missing } => {
                self.note_missing(index, missing);
                match reply {
                    Some(reply) => {
                        self.counters.feeds += 1;
                        self.send_command(index, Command::Feed { id, reply });
                    }
                    None => self.skip_call(index),
                }
            }
            CallOutcome::NeverRan | CallOutcome::Failed => {}
        }
        self.finish_call(index, outcome);
    }

    /// Whose call the one is that this invocation's run wants now.
    pub(super) fn call_context(&mut self, index: usize) -> CallContext {
        let now = self.origin.elapsed();
        let Some(invocation) = self.invocations.get(index) else {
            unreachable!("a call of nobody")
        };
        CallContext {
            operation: self.operation_names[invocation.operation].clone(),
            call_index: invocation.calls_requested.saturating_sub(1),
            named_dependency: invocation.named_dependency.clone(),
            caller_timeout: invocation
                .due_at
                .map(|due| due.saturating_sub(now).as_secs_f64()),
            is_idempotent: self.idempotent[invocation.operation],
        }
    }

    /// The result will be without this part.
    fn note_missing(&mut self, index: usize, part: Rc<str>) {
        if let Some(invocation) = self
            .invocations
            .get_mut(index)
            .filter(|invocation| !invocation.missing_parts.contains(&part))
        {
            invocation.missing_parts.push(part);
        }
    }

    /// By operation, what its calls are called where dependencies are told apart; a result that is
    /// without one says so.
    pub fn set_dependency_names(&mut self, parts: impl Fn(&str) -> Vec<Rc<str>>) {
        self.dependency_names = Some(
            self.operation_names
                .iter()
                .map(|name| parts(name))
                .collect(),
        );
    }

    /// Whether runs may name the dependencies of their calls.
    pub fn names_dependencies(&self) -> bool {
        self.dependency_names.is_some()
    }

    /// The module leaves a call out: the result is without that part.
    pub(super) fn note_skipped_call(&mut self, index: usize) {
        let Some(parts) = &self.dependency_names else {
            return;
        };
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let part = invocation.named_dependency.clone().or_else(|| {
            parts
                .get(invocation.operation)?
                .get(invocation.calls_requested.saturating_sub(1))
                .cloned()
        });
        if let Some(part) = part {
            self.note_missing(index, part);
        }
    }

    /// Gives up an open call of this invocation.
    pub(super) fn abandon_call(&mut self, index: usize) -> bool {
        let Some(invocation) = self
            .invocations
            .get_mut(index)
            .filter(|invocation| invocation.is_calling)
        else {
            return false;
        };
        (invocation.is_calling, invocation.call_timeout_at) = (false, None);
        self.counters.cancels += 1;
        let (id, number) = (invocation.id, invocation.calls);
        self.call_commands.push(CallCommand::Abandon { id, number });
        true
    }

    pub(super) fn call_timed_out(&mut self, id: CallId, number: CallNumber) {
        let Some(index) = self.invocations.find(id) else {
            return;
        };
        if self
            .invocations
            .get_mut(index)
            .is_some_and(|invocation| invocation.calls == number)
            && self.abandon_call(index)
        {
            self.counters.calls_timed_out += 1;
            self.finish_call(index, Outcome::default());
        }
    }

    fn finish_call(&mut self, index: usize, outcome: Outcome) {
        // Only what may be called again spends a further call.
        let repeats = self
            .invocations
            .get(index)
            .is_some_and(|invocation| self.idempotent[invocation.operation])
            || outcome.never_ran;
        let again = !outcome.succeeded && repeats;
        self.note_call_end(outcome.succeeded, again);
        let wanting = CallDemand {
            wants_call: false,
            wants_retry: again,
        };
        self.decide_with_demand(wanting, |controller, now| {
            controller.call_ended(now, index, outcome)
        });
    }

    pub(super) fn start_call(&mut self, index: usize, wait: f64) {
        self.abandon_call(index);
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        let Some((_, body)) = invocation.call_request.clone() else {
            return;
        };
        let at = self.origin.elapsed() + Duration::from_secs_f64(wait.clamp(0.001, 3600.0));
        invocation.calls += 1;
        (invocation.is_calling, invocation.call_timeout_at) = (true, Some(at));
        let (id, number) = (invocation.id, invocation.calls);
        self.counters.calls += 1;
        let wanted = self.call_context(index);
        self.call_commands.push(CallCommand::Invoke {
            id,
            number,
            timeout_seconds: wait,
            body,
            context: wanted,
        });
        self.set_timer(at, Timer::CallTimeout(id, number));
    }
}
