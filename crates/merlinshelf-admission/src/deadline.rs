//! Deadlines: when a caller must have its answer, and what can't make its latency objective any
//! more.

use crate::controller::{ANSWER_MARGIN_SECONDS, AdmissionController};
use crate::estimator::Operation;
use crate::samples::push;
use crate::{Invocation, InvocationState, Stage};

/// The part of its objective that a retry has spent elsewhere, where no timeout tells. 0 measured:
/// worse.
const RETRY_SPENT_PART: f64 = 0.4;
/// An unmarked arrival whose caller waits less than this part of the longest wait lately is a
/// retry.
const RETRY_TIMEOUT_PART: f64 = 0.75;
/// The part of the expected service that queued work must still have. 1 measured: no better.
const QUEUED_SERVICE_PART: f64 = 0.7;

/// Times by which an invocation is answered, seconds of the controller's clock.
pub(crate) struct Deadlines {
    /// When its caller gives up.
    pub due_at: f64,
    /// Until when an answer makes the latency objective.
    pub objective: f64,
}

/// The deadlines of an arrival. A retry has spent a part of its objective elsewhere, less where its
/// caller's timeout shows so.
pub(crate) fn deadlines_of(request: &Invocation, operation: &Operation, now: f64) -> Deadlines {
    let settings = &operation.settings;
    let arrived_at = now - request.age;
    let due_at = request
        .caller_timeout
        .map_or(arrived_at + settings.timeout, |timeout| now + timeout);
    let stretched =
        settings.objective + settings.objective_stretch * request.cost_hint.unwrap_or(0.0);
    let objective = stretched.min(settings.timeout);
    let spent_at_most = request.caller_timeout.map_or(objective, |timeout| {
        settings.timeout - timeout - request.age
    });
    let spent = if request.is_retry {
        spent_at_most.clamp(0.0, RETRY_SPENT_PART * objective)
    } else {
        0.0
    };
    Deadlines {
        due_at,
        objective: (arrived_at + objective - spent).min(due_at),
    }
}

impl AdmissionController {
    /// Where callers do not mark retries, their timeouts tell: first attempts wait alike, retries
    /// with what remains. Harm: callers that wait less than others are taken for retries.
    pub(crate) fn detect_unmarked_retry(&mut self, request: &mut Invocation) {
        let Some(timeout) = request.caller_timeout.filter(|_| !self.marks_retries) else {
            return;
        };
        let timeouts = &mut self.operations[request.operation].samples.caller_timeouts;
        let at_arrival = timeout + request.age;
        push(timeouts, at_arrival);
        let longest = timeouts
            .iter()
            .fold(0.0, |longest: f64, &timeout| longest.max(timeout));
        request.is_retry = at_arrival < RETRY_TIMEOUT_PART * longest;
    }

    /// When an invocation must be answered: by its caller's deadline, and before this process
    /// stops.
    pub(crate) fn due_at(&self, invocation: &InvocationState) -> f64 {
        self.shutdown.map_or(invocation.due_at, |shutdown| {
            invocation
                .due_at
                .min(shutdown.stop_at - ANSWER_MARGIN_SECONDS)
        })
    }

    /// The first one that is owed an answer now.
    pub(crate) fn find_due(&self) -> Option<usize> {
        self.invocations.first(|invocation| {
            !invocation.is_answered && self.now + ANSWER_MARGIN_SECONDS >= self.due_at(invocation)
        })
    }

    /// An arrival that can't make its objective behind the better work in flight. A first attempt
    /// is rejected even with cores idle, since others may be faster (harm: else it is lost); one
    /// run of an operation stays, to see whether that still holds.
    pub(crate) fn find_too_late(&self) -> Option<usize> {
        let number = self.invocations.newly_read()?;
        let arrival = &self.invocations[number];
        let operation = &self.operations[arrival.request.operation];
        if operation.settings.is_switched_off() {
            return Some(number);
        }
        let cores_are_full = self.invocations.running() as f64 >= self.cores_for_runs();
        let runs_like_it = |invocation: &InvocationState| {
            invocation.stage == Stage::Running
                && invocation.request.operation == arrival.request.operation
        };
        let may_reject = cores_are_full
            || !arrival.request.is_retry && self.invocations.first(runs_like_it).is_some();
        if !may_reject {
            return None;
        }
        let wait = if cores_are_full {
            self.work_ahead_of(arrival) / self.cores_for_runs()
        } else {
            0.0
        };
        let ends_at = self.now + wait + self.expected_service(arrival);
        (ends_at > arrival.objective_deadline).then_some(number)
    }

    /// Core seconds that remain of runs, and of queued work with at least the priority of an
    /// arrival.
    fn work_ahead_of(&self, arrival: &InvocationState) -> f64 {
        let ahead = |invocation: &InvocationState| match invocation.stage {
            Stage::Running => {
                (self.expected_run(invocation) - self.core_seconds(invocation)).max(0.0)
            }
            Stage::Queued if self.priority_weight(invocation) >= self.priority_weight(arrival) => {
                self.expected_run(invocation)
            }
            _ => 0.0,
        };
        self.invocations.all().map(ahead).sum()
    }

    /// Queued work that can't make its objective any more: of no value, or of little while more is
    /// queued.
    pub(crate) fn find_misses_objective(&self) -> Option<usize> {
        let queued = self
            .invocations
            .count(|invocation| invocation.stage == Stage::Queued);
        self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            let needed = QUEUED_SERVICE_PART * self.expected_service(invocation);
            let is_late = self.now + needed > invocation.objective_deadline;
            let is_worthless =
                self.now > invocation.objective_deadline && settings.late_value == 0.0;
            invocation.stage == Stage::Queued && (is_late && queued > 1 || is_worthless)
        })
    }
}
