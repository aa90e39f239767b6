//! Expected durations of runs, from recent samples, cost hints and prior estimates.

use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::samples::{mean, weigh_prior};
use crate::settings::OperationSettings;
use crate::{InvocationState, PriorEstimate, Stage};

/// A prior estimate is ignored once the instance's own runs differ from it by this factor.
const MAX_PRIOR_RATIO: f64 = 2.0;
/// An unfinished run counts as a sample once it has lasted this multiple of the expected duration.
const OVERDUE_FACTOR: f64 = 2.0;
/// Lower bound of the warm-up factor by which a cost hint is divided while the engine is warming
/// up.
const MIN_WARM_UP_FACTOR: f64 = 0.1;

/// An operation's settings and recent samples.
#[derive(Default)]
pub(crate) struct Operation {
    pub settings: OperationSettings,
    pub samples: OperationSamples,
}

/// Recent samples of one operation. Times are seconds.
#[derive(Default)]
pub(crate) struct OperationSamples {
    /// Time on a core, without downstream calls.
    pub run_durations: VecDeque<f64>,
    /// Cost hints of those runs, 1 for a run without a hint.
    pub run_costs: VecDeque<f64>,
    /// Time that each run spent in downstream calls and waiting for them.
    pub downstream_durations: VecDeque<f64>,
    /// Timeouts of callers, counted from the arrival of the invocation at the machine.
    pub caller_timeouts: VecDeque<f64>,
    /// Lowest run duration per unit of cost.
    pub lowest_duration: f64,
    /// Number of runs that finish before the lowest duration is reset.
    pub finishes_until_probe: f64,
}

impl AdmissionController {
    /// Updates the expected run durations of all operations; called before each evaluation of the
    /// rules.
    pub(crate) fn update_core_seconds_per_cost(&mut self) {
        self.core_seconds_per_cost = (0..self.operations.len())
            .map(|operation| self.estimate_core_seconds_per_cost(operation))
            .collect();
    }

    /// Expected duration of an operation's runs per unit of cost. Unfinished runs that have already
    /// lasted twice the expected duration count too, so that a sudden slowdown is detected before
    /// one of them ends. Drawback: a single long run raises the estimate for the next ones.
    fn estimate_core_seconds_per_cost(&self, operation: usize) -> f64 {
        let samples = &self.operations[operation].samples;
        let prior = weigh_prior(
            samples.run_durations.len(),
            self.applicable_run_prior(operation),
        );
        let mean_cost = if samples.run_costs.is_empty() {
            1.0
        } else {
            mean(&samples.run_costs)
        };
        let prior_cost = prior.samples * mean_cost;
        let mut duration = samples.run_durations.iter().sum::<f64>() + prior.value * prior_cost;
        let mut cost = (samples.run_costs.iter().sum::<f64>() + prior_cost).max(1e-9);
        let overdue_after = OVERDUE_FACTOR * duration / cost;
        let running = self.invocations.matching(|invocation| {
            invocation.stage == Stage::Running && invocation.request.operation == operation
        });
        for invocation in running {
            let elapsed = self.core_seconds(invocation);
            let run_cost = invocation.request.cost_hint.unwrap_or(1.0);
            if elapsed > overdue_after * run_cost {
                duration += elapsed;
                cost += run_cost;
            }
        }
        duration / cost
    }

    /// Time that a run has spent on a core so far, in seconds.
    pub(crate) fn core_seconds(&self, invocation: &InvocationState) -> f64 {
        self.now - invocation.started_at - invocation.off_core_seconds
    }

    /// Expected time on a core, in seconds. Without samples or a prior estimate it is the cost
    /// hint, divided by the warm-up factor: this keeps a newly started successor from admitting
    /// more than it can run in a burst. Drawback: a successor that is fast from the start rejects
    /// too much.
    pub(crate) fn expected_run(&self, invocation: &InvocationState) -> f64 {
        let operation = invocation.request.operation;
        let samples = &self.operations[operation].samples;
        let is_unknown =
            samples.run_durations.is_empty() && self.applicable_run_prior(operation).is_none();
        let minimum = if is_unknown && invocation.request.cost_hint.is_some() {
            1.0 / self.warm_up_factor().max(MIN_WARM_UP_FACTOR)
        } else {
            0.0
        };
        self.core_seconds_per_cost[operation].max(minimum)
            * invocation.request.cost_hint.unwrap_or(1.0)
    }

    /// Expected time from the start of the run to the answer, including downstream calls, in
    /// seconds.
    pub(crate) fn expected_service(&self, invocation: &InvocationState) -> f64 {
        let samples = &self.operations[invocation.request.operation].samples;
        self.expected_run(invocation) + mean(&samples.downstream_durations)
    }

    /// The prior estimate of an operation's run durations, if it applies. It is ignored once the
    /// instance's own runs differ from it by a factor of two. For an operation without samples it
    /// applies only while an operation without samples is running: otherwise a wrong estimate could
    /// keep the operation from ever running.
    fn applicable_run_prior(&self, operation: usize) -> Option<PriorEstimate> {
        let prior = (*self.prior_estimates.run_durations.get(operation)?)?;
        let samples = &self.operations[operation].samples;
        let counts = if samples.run_durations.is_empty() {
            let is_trial = |invocation: &InvocationState| {
                let samples = &self.operations[invocation.request.operation].samples;
                invocation.has_run && samples.run_durations.is_empty()
            };
            self.invocations.count(is_trial) > 0
        } else {
            let duration = samples.run_durations.iter().sum::<f64>();
            let cost = samples.run_costs.iter().sum::<f64>();
            let ratio = duration / cost / prior.value;
            (1.0 / MAX_PRIOR_RATIO..MAX_PRIOR_RATIO).contains(&ratio)
        };
        counts.then_some(prior)
    }
}
