//! Deadlines of invocations, and detection of invocations that miss their latency objective.

use crate::controller::{ANSWER_MARGIN_SECONDS, AdmissionController};
use crate::estimator::Operation;
use crate::samples::push;
use crate::{Invocation, InvocationState, Stage};

/// Upper bound of the fraction of its objective that a retry is assumed to have spent on earlier
/// attempts; the assumed fraction itself if the caller's timeout is unknown. Assuming 0 performs
/// worse.
const MAX_RETRY_SPENT_FRACTION: f64 = 0.4;
/// An unmarked arrival is taken for a retry if its caller's timeout is less than this fraction of
/// the longest recent timeout.
const RETRY_TIMEOUT_RATIO: f64 = 0.75;
/// Queued work is late if less than this fraction of its expected service time remains before its
/// objective.
const QUEUED_SERVICE_FRACTION: f64 = 0.7;

/// Deadlines of an invocation, in seconds of the controller's clock.
pub(crate) struct Deadlines {
    /// When its caller times out.
    pub due_at: f64,
    /// Until when an answer meets the latency objective.
    pub objective_deadline: f64,
}

/// Computes the deadlines of an arrival. The objective of a retry is shortened by the time that
/// earlier attempts are assumed to have taken; the caller's timeout can show that they took less.
pub(crate) fn deadlines_of(request: &Invocation, operation: &Operation, now: f64) -> Deadlines {
    let settings = &operation.settings;
    let arrived_at = now - request.age;
    let due_at = request
        .caller_timeout
        .map_or(arrived_at + settings.timeout, |timeout| now + timeout);
    let stretched =
        settings.objective + settings.objective_stretch * request.cost_hint.unwrap_or(0.0);
    let objective = stretched.min(settings.timeout);
    let max_spent = request.caller_timeout.map_or(objective, |timeout| {
        settings.timeout - timeout - request.age
    });
    let spent = if request.is_retry {
        max_spent.clamp(0.0, MAX_RETRY_SPENT_FRACTION * objective)
    } else {
        0.0
    };
    Deadlines {
        due_at,
        objective_deadline: (arrived_at + objective - spent).min(due_at),
    }
}

impl AdmissionController {
    /// Detects retries by their timeouts if callers don't mark them: first attempts have similar
    /// timeouts, retries only the remainder. Drawback: callers with shorter timeouts than others
    /// are taken for retries.
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
        request.is_retry = at_arrival < RETRY_TIMEOUT_RATIO * longest;
    }

    /// When an invocation must be answered: before its caller times out and before this process
    /// stops.
    pub(crate) fn due_at(&self, invocation: &InvocationState) -> f64 {
        self.shutdown.map_or(invocation.due_at, |shutdown| {
            invocation
                .due_at
                .min(shutdown.stop_at - ANSWER_MARGIN_SECONDS)
        })
    }

    /// The first unanswered invocation that must be answered now.
    pub(crate) fn find_due(&self) -> Option<usize> {
        self.invocations.first(|invocation| {
            !invocation.is_answered && self.now + ANSWER_MARGIN_SECONDS >= self.due_at(invocation)
        })
    }

    /// An arrival that can't meet its objective after the work in flight of at least its priority.
    ///
    /// While cores are idle, only first attempts are rejected, since other instances may be faster;
    /// drawback: the invocation is lost if none is. Even then an arrival is admitted if no run of
    /// its operation is in progress, to detect when the estimate no longer holds.
    pub(crate) fn find_arrival_missing_objective(&self) -> Option<usize> {
        let number = self.invocations.newly_read()?;
        let arrival = &self.invocations[number];
        let operation = &self.operations[arrival.request.operation];
        if operation.settings.is_switched_off() {
            return Some(number);
        }
        let cores_are_full = self.invocations.running() as f64 >= self.cores_for_runs();
        let runs_same_operation = |invocation: &InvocationState| {
            invocation.stage == Stage::Running
                && invocation.request.operation == arrival.request.operation
        };
        let may_reject = cores_are_full
            || !arrival.request.is_retry && self.invocations.first(runs_same_operation).is_some();
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

    /// Remaining core seconds of all runs, and of queued work with at least the priority of an
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

    /// Queued work that can no longer meet its objective. It is rejected if its answer has no value
    /// any more, or if other work is queued.
    pub(crate) fn find_queued_missing_objective(&self) -> Option<usize> {
        let queued = self
            .invocations
            .count(|invocation| invocation.stage == Stage::Queued);
        self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            let needed = QUEUED_SERVICE_FRACTION * self.expected_service(invocation);
            let is_late = self.now + needed > invocation.objective_deadline;
            let is_worthless =
                self.now > invocation.objective_deadline && settings.late_value == 0.0;
            invocation.stage == Stage::Queued && (is_late && queued > 1 || is_worthless)
        })
    }
}
