//! State that a host can pass on to a successor: the invocations in flight, and the learned state.
//!
//! It is written into the handover image by field name. A renamed field keeps its stored name by
//! `#[serde(rename)]`; tests/golden.rs checks the bytes. See
//! [`AdmissionController::learned_state`], [`AdmissionController::restore_learned_state`],
//! [`AdmissionController::invocation`] and [`AdmissionController::restore_invocation`].

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Invocation;
use crate::controller::AdmissionController;
use crate::downstream::CallSpan;
use crate::drain::Shutdown;
use crate::estimator::Operation;

/// Processing stage of an invocation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Read, and not yet admitted or rejected.
    #[default]
    Read,
    /// Queued until a core of the engine is free.
    #[serde(rename = "Held")]
    Queued,
    /// On a core of the engine, or about to be scheduled there.
    Running,
    /// Its run is waiting for permission to make a downstream call.
    #[serde(rename = "AtCall")]
    AwaitingCall,
    /// Its downstream call is open.
    Calling,
    /// Waiting for the result of the invocation that it repeats.
    Joined,
}

/// State that the controller keeps of one invocation. All fields are public so that a host can pass
/// them on to a successor. Times are seconds of the controller's clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct InvocationState {
    /// The invocation as it was read.
    #[serde(rename = "told")]
    pub request: Invocation,
    /// When it reached the machine.
    #[serde(rename = "arrived")]
    pub arrived_at: f64,
    /// When its caller times out.
    #[serde(rename = "due")]
    pub due_at: f64,
    /// Until when its answer meets the latency objective.
    #[serde(rename = "by")]
    pub objective_deadline: f64,
    /// Current stage.
    pub stage: Stage,
    /// When it entered that stage.
    #[serde(rename = "since")]
    pub stage_entered_at: f64,
    /// When its run was started.
    #[serde(rename = "began")]
    pub started_at: f64,
    /// Seconds since `started_at` that were not spent on the cores.
    #[serde(rename = "away")]
    pub off_core_seconds: f64,
    /// Its final answer was sent, or its caller disconnected.
    #[serde(rename = "answered")]
    pub is_answered: bool,
    /// The host was told to stop its run.
    #[serde(rename = "stopping")]
    pub is_stopping: bool,
    /// Its run was started.
    #[serde(rename = "ran")]
    pub has_run: bool,
    /// It was added to the table of repeats.
    #[serde(rename = "entry")]
    pub has_table_entry: bool,
    /// It arrived while its customer exceeded its quota.
    #[serde(rename = "over_share")]
    pub exceeds_quota: bool,
    /// Number of attempts of its downstream call.
    pub calls: u32,
    /// A failed call may have taken effect.
    #[serde(rename = "unsure")]
    pub has_uncertain_call: bool,
}

/// Learned state of one operation: its recent samples, oldest first. Times are seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedOperation {
    /// Run durations without downstream calls.
    #[serde(rename = "runs")]
    pub run_durations: VecDeque<f64>,
    /// Cost hints of those runs, 1 for a run without a hint.
    #[serde(rename = "costs")]
    pub run_costs: VecDeque<f64>,
    /// Time that each run spent in downstream calls and waiting for them.
    #[serde(rename = "below")]
    pub downstream_durations: VecDeque<f64>,
    /// Lowest run duration per unit of cost.
    #[serde(rename = "lowest")]
    pub lowest_duration: f64,
    /// Number of runs that finish before the lowest duration is reset.
    #[serde(rename = "until_probe")]
    pub finishes_until_probe: f64,
}

/// What an instance has learned about the engine, downstream calls and callers. Times are seconds
/// of the controller's clock, durations are seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedState {
    /// When the engine was started.
    #[serde(rename = "born")]
    pub engine_started_at: f64,
    /// During a graceful shutdown: when the grace ends, and when the process must have exited.
    #[serde(rename = "leave_at")]
    pub shutdown_at: Option<(f64, f64)>,
    /// Learned state of each operation, by its index in the settings.
    pub operations: Vec<LearnedOperation>,
    /// Limit of invocations in flight.
    #[serde(rename = "limit")]
    pub concurrency_limit: f64,
    /// Fraction of the cores that was busy, 0 to 1.
    pub busy: f64,
    /// When `busy` was measured.
    pub busy_at: f64,
    /// Number of tasks other than runs that needed a core, at each recent tick.
    #[serde(rename = "others")]
    pub other_work: VecDeque<f64>,
    /// When a run last made progress.
    #[serde(rename = "progress")]
    pub last_progress_at: f64,
    /// Start and end of the recent downstream calls; for an abandoned call, the end includes the
    /// time for which the dependency keeps processing it.
    pub calls: VecDeque<(f64, f64)>,
    /// Durations of the recent downstream calls.
    #[serde(rename = "call_times")]
    pub call_durations: VecDeque<f64>,
    /// Lowest mean of those durations.
    #[serde(rename = "call_lowest")]
    pub lowest_call_mean: f64,
    /// Number of calls that end before the lowest mean is reset.
    #[serde(rename = "call_probe")]
    pub calls_until_probe: u32,
    /// Limit of the mean number of concurrent downstream calls.
    pub call_limit: f64,
    /// Number of consecutive failed downstream calls.
    pub call_failures: u32,
    /// When the last downstream call failed.
    pub call_failed_at: f64,
    /// Times of the recent arrivals of each customer, by its index in the settings.
    #[serde(rename = "arrivals")]
    pub arrivals_by_customer: BTreeMap<usize, VecDeque<f64>>,
    /// Time of each caller's last arrival, by caller.
    #[serde(rename = "callers")]
    pub last_arrivals: BTreeMap<u64, f64>,
    /// For each recent arrival, the seconds since its caller's previous arrival.
    #[serde(rename = "gaps")]
    pub return_gaps: VecDeque<f64>,
    /// For each recent arrival, 1 if it was a retry, else 0. If callers don't mark retries: for
    /// each recent decision, 1 if it was a rejection, else 0.
    #[serde(rename = "agains")]
    pub retry_marks: VecDeque<f64>,
}

impl AdmissionController {
    /// Returns the learned state, for a successor on the same engine and clock.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            engine_started_at: self.engine_started_at,
            shutdown_at: self
                .shutdown
                .map(|shutdown| (shutdown.grace_ends_at, shutdown.stop_at)),
            operations: self.operations.iter().map(learned_operation).collect(),
            concurrency_limit: self.limit,
            busy: self.load.busy,
            busy_at: self.load.busy_at,
            other_work: self.load.other_work.clone(),
            last_progress_at: self.load.last_progress_at,
            calls: self
                .downstream
                .calls
                .iter()
                .map(|call| (call.started_at, call.ended_at))
                .collect(),
            call_durations: self.downstream.durations.clone(),
            lowest_call_mean: self.downstream.lowest_mean,
            calls_until_probe: self.downstream.calls_until_probe,
            call_limit: self.downstream.limit,
            call_failures: self.downstream.consecutive_failures,
            call_failed_at: self.downstream.last_failure_at,
            arrivals_by_customer: self.callers.arrivals_by_customer.clone(),
            last_arrivals: self.callers.last_arrivals.clone(),
            return_gaps: self.callers.return_gaps.clone(),
            retry_marks: self.callers.retry_marks.clone(),
        }
    }

    /// Restores the learned state of a predecessor on the same engine and clock. To be called right
    /// after [`AdmissionController::start`].
    pub fn restore_learned_state(&mut self, learned: LearnedState) {
        for (operation, learned) in self.operations.iter_mut().zip(learned.operations) {
            restore_operation(operation, learned);
        }
        self.engine_started_at = learned.engine_started_at;
        self.shutdown = learned
            .shutdown_at
            .map(|(grace_ends_at, stop_at)| Shutdown {
                grace_ends_at,
                stop_at,
            });
        self.limit = learned.concurrency_limit.max(self.settings.cores());
        self.load.busy = learned.busy;
        self.load.busy_at = learned.busy_at;
        self.load.other_work = learned.other_work;
        self.load.last_progress_at = learned.last_progress_at;
        let calls = learned.calls.into_iter();
        self.downstream.calls = calls
            .map(|(started_at, ended_at)| CallSpan {
                started_at,
                ended_at,
            })
            .collect();
        self.downstream.durations = learned.call_durations;
        self.downstream.lowest_mean = learned.lowest_call_mean;
        self.downstream.calls_until_probe = learned.calls_until_probe;
        self.downstream.limit = learned.call_limit;
        self.downstream.consecutive_failures = learned.call_failures;
        self.downstream.last_failure_at = learned.call_failed_at;
        self.callers.arrivals_by_customer = learned.arrivals_by_customer;
        self.callers.last_arrivals = learned.last_arrivals;
        self.callers.return_gaps = learned.return_gaps;
        self.callers.retry_marks = learned.retry_marks;
    }

    /// Returns the state of an invocation in flight.
    pub fn invocation(&self, number: usize) -> Option<&InvocationState> {
        self.invocations
            .contains(number)
            .then(|| &self.invocations[number])
    }

    /// Restores an invocation of a predecessor. Invocations must be restored in order of arrival.
    /// Decisions on them are made at the next event.
    pub fn restore_invocation(&mut self, number: usize, mut state: InvocationState) {
        state.request.operation = state.request.operation.min(self.operations.len() - 1);
        self.invocations.insert(number, state);
    }
}

fn learned_operation(operation: &Operation) -> LearnedOperation {
    let samples = &operation.samples;
    LearnedOperation {
        run_durations: samples.run_durations.clone(),
        run_costs: samples.run_costs.clone(),
        downstream_durations: samples.downstream_durations.clone(),
        lowest_duration: samples.lowest_duration,
        finishes_until_probe: samples.finishes_until_probe,
    }
}

fn restore_operation(operation: &mut Operation, learned: LearnedOperation) {
    let samples = &mut operation.samples;
    samples.run_durations = learned.run_durations;
    samples.run_costs = learned.run_costs;
    samples.downstream_durations = learned.downstream_durations;
    samples.lowest_duration = learned.lowest_duration;
    samples.finishes_until_probe = learned.finishes_until_probe;
}
