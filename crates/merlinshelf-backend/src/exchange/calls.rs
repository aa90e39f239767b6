//! The exchange's interface to the dependencies: downstream calls, their timeouts and outcomes.

use std::rc::Rc;
use std::time::Duration;

use merlinshelf_admission::Outcome;
use merlinshelf_dependencies::CallSnapshot;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::runs::Command;
use super::timers::Timer;
use super::{CallDemand, Exchange};

/// Number of a call within its invocation, from 1; retries count.
pub type CallNumber = usize;

/// A command to the task that makes downstream calls.
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

/// A call that another process's router made and that this process's router continues.
#[derive(Clone, Debug, PartialEq)]
pub struct ResumedCall {
    pub id: CallId,
    pub number: CallNumber,
    pub timeout_seconds: f64,
    pub body: Rc<[u8]>,
    pub context: CallContext,
    /// The call, with the attempts that were sent.
    pub snapshot: CallSnapshot,
}

/// What routing to a dependency depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct CallContext {
    pub operation: Rc<str>,
    /// Index among the calls that the run has requested, from 0; retries do not count.
    pub call_index: usize,
    /// The dependency that the run named.
    pub named_dependency: Option<Rc<str>>,
    /// Seconds until the caller's timeout expires.
    pub caller_timeout: Option<f64>,
    pub is_idempotent: bool,
}

/// How a downstream call has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    Succeeded(Rc<[u8]>),
    /// A fallback, or nothing, in place of the reply of this dependency.
    Degraded {
        reply: Option<Rc<[u8]>>,
        missing: Rc<str>,
    },
    NeverRan,
    /// The call may have taken effect.
    Failed,
}

impl Exchange {
    pub fn call_commands_waker(&self) -> Rc<Notify> {
        self.call_commands.waker()
    }

    pub fn next_call_command(&mut self) -> Option<CallCommand> {
        self.call_commands.pop()
    }

    /// Whether this call of this invocation is open.
    pub(super) fn is_call_open(&mut self, id: CallId, number: CallNumber) -> bool {
        let invocation = self
            .invocations
            .find(id)
            .and_then(|index| self.invocations.get_mut(index));
        invocation.is_some_and(|invocation| invocation.is_calling && invocation.calls == number)
    }

    /// The router has changed its open call; an image of this process contains the change.
    pub fn set_call_snapshot(&mut self, id: CallId, number: CallNumber, snapshot: CallSnapshot) {
        let is_open = self.is_call_open(id, number);
        let index = self.invocations.find(id).filter(|_| is_open);
        if let Some(invocation) = index.and_then(|index| self.invocations.get_mut(index)) {
            invocation.routed_call = Some(snapshot);
        }
    }

    /// Calls of another process's router that are to be continued.
    pub fn take_resumed_calls(&mut self) -> Vec<ResumedCall> {
        std::mem::take(&mut self.resumed_calls)
    }

    /// A call has ended.
    pub fn call_ended(&mut self, id: CallId, number: CallNumber, call_outcome: CallOutcome) {
        let is_open = self.is_call_open(id, number);
        let Some(index) = self.invocations.find(id).filter(|_| is_open) else {
            self.counters.late_replies += 1;
            return;
        };
        let outcome = Outcome {
            // With a fallback the run continues as with a reply.
            succeeded: matches!(
                call_outcome,
                CallOutcome::Succeeded(_) | CallOutcome::Degraded { .. }
            ),
            never_ran: call_outcome == CallOutcome::NeverRan,
            stopped: false,
        };
        match &call_outcome {
            CallOutcome::Succeeded(_) => self.counters.calls_succeeded += 1,
            CallOutcome::Degraded { .. } => self.counters.calls_lesser += 1,
            CallOutcome::NeverRan => self.counters.calls_never_ran += 1,
            CallOutcome::Failed => self.counters.calls_failed += 1,
        }
        let snapshot = self
            .invocations
            .get_mut(index)
            .and_then(|invocation| invocation.close_call());
        match call_outcome {
            CallOutcome::Succeeded(reply) => {
                // A router reports the reply of a fallback dependency as degraded. A process
                // without one may have resumed the call.
                if let Some(call) = snapshot.filter(|call| call.fallback_dependency.is_some()) {
                    self.record_missing_part(index, call.dependency.into());
                }
                self.counters.feeds += 1;
                self.send_command(index, Command::Feed { id, reply });
            }
            CallOutcome::Degraded { reply, missing } => {
                self.record_missing_part(index, missing);
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

    /// The context of the call that this invocation's run requests now.
    pub(super) fn call_context(&mut self, index: usize) -> CallContext {
        let now = self.origin.elapsed();
        let Some(invocation) = self.invocations.get(index) else {
            unreachable!("a call without an invocation")
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

    /// The result will lack the reply of this dependency.
    fn record_missing_part(&mut self, index: usize, part: Rc<str>) {
        if let Some(invocation) = self
            .invocations
            .get_mut(index)
            .filter(|invocation| !invocation.missing_parts.contains(&part))
        {
            invocation.missing_parts.push(part);
        }
    }

    /// Sets, by operation, the names of the dependencies that its calls go to. A partial result names
    /// those that it lacks.
    pub fn set_dependency_names(&mut self, dependencies: impl Fn(&str) -> Vec<Rc<str>>) {
        self.dependency_names = Some(
            self.operation_names
                .iter()
                .map(|name| dependencies(name))
                .collect(),
        );
    }

    /// Whether runs may name the dependency of a call.
    pub fn names_dependencies(&self) -> bool {
        self.dependency_names.is_some()
    }

    /// The admission controller skips a call: the result will lack that reply.
    pub(super) fn record_skipped_call(&mut self, index: usize) {
        let Some(dependencies) = &self.dependency_names else {
            return;
        };
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let part = invocation.named_dependency.clone().or_else(|| {
            dependencies
                .get(invocation.operation)?
                .get(invocation.calls_requested.saturating_sub(1))
                .cloned()
        });
        if let Some(part) = part {
            self.record_missing_part(index, part);
        }
    }

    /// Abandons the open call of this invocation; false if it has none.
    pub(super) fn abandon_call(&mut self, index: usize) -> bool {
        let Some(invocation) = self
            .invocations
            .get_mut(index)
            .filter(|invocation| invocation.is_calling)
        else {
            return false;
        };
        invocation.close_call();
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
        // Only a call that may be repeated needs quota for a retry.
        let may_repeat = self
            .invocations
            .get(index)
            .is_some_and(|invocation| self.idempotent[invocation.operation])
            || outcome.never_ran;
        let wants_retry = !outcome.succeeded && may_repeat;
        self.record_call_end(outcome.succeeded, wants_retry);
        let demand = CallDemand {
            wants_call: false,
            wants_retry,
        };
        self.decide_with_demand(demand, |controller, now| {
            controller.call_ended(now, index, outcome)
        });
    }

    pub(super) fn start_call(&mut self, index: usize, timeout_seconds: f64) {
        self.abandon_call(index);
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        let Some((_, body)) = invocation.call_request.clone() else {
            return;
        };
        let timeout_at =
            self.origin.elapsed() + Duration::from_secs_f64(timeout_seconds.clamp(0.001, 3600.0));
        invocation.calls += 1;
        (invocation.is_calling, invocation.call_timeout_at) = (true, Some(timeout_at));
        let (id, number) = (invocation.id, invocation.calls);
        self.counters.calls += 1;
        let context = self.call_context(index);
        self.call_commands.push(CallCommand::Invoke {
            id,
            number,
            timeout_seconds,
            body,
            context,
        });
        self.set_timer(timeout_at, Timer::CallTimeout(id, number));
    }
}
