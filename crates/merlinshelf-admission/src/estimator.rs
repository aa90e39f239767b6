//! What runs are expected to take, by the last samples, hints and prior estimates.

use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::samples::{mean, weigh_prior};
use crate::settings::OperationSettings;
use crate::{InvocationState, PriorEstimate, Stage};

/// A prior estimate is dropped once own runs differ from it by this factor.
const PRIOR_DIFFERS_BY: f64 = 2.0;
/// A run that lasts longer than the expected duration by this factor counts though it has not
/// ended.
const OVERDUE_FACTOR: f64 = 2.0;
/// A hint is stretched by no more than this while the engine is warming up.
const LEAST_WARM_UP: f64 = 0.1;

/// One operation: its settings, and what its last runs took.
#[derive(Default)]
pub(crate) struct Operation {
    pub settings: OperationSettings,
    pub samples: OperationSamples,
}

/// The last samples of one operation. Times are seconds.
#[derive(Default)]
pub(crate) struct OperationSamples {
    /// Time on a core, without downstream calls.
    pub run_durations: VecDeque<f64>,
    /// Hinted costs of those runs, 1 where there are no hints.
    pub run_costs: VecDeque<f64>,
    /// Time at downstream calls and waiting for them, by run.
    pub downstream_durations: VecDeque<f64>,
    /// How long callers would wait, at arrival.
    pub caller_timeouts: VecDeque<f64>,
    /// The lowest duration by unit of cost, and how many more runs finish before it is measured
    /// anew.
    pub lowest_duration: f64,
    pub finishes_until_probe: f64,
}

impl AdmissionController {
    /// Measures anew what runs of each operation take by unit of cost; before each round of
    /// decisions.
    pub(crate) fn update_run_rates(&mut self) {
        self.run_rates = (0..self.operations.len())
            .map(|operation| self.run_rate(operation))
            .collect();
    }

    /// Expected duration of an operation's run by unit of cost. Runs that now last twice as long
    /// count too: sudden slowness shows before one of them ends. Harm: a long run by chance makes
    /// the next one look long.
    fn run_rate(&self, operation: usize) -> f64 {
        let samples = &self.operations[operation].samples;
        let prior = weigh_prior(samples.run_durations.len(), self.prior_run(operation));
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
            let lasts = self.core_seconds(invocation);
            let its_cost = invocation.request.cost_hint.unwrap_or(1.0);
            if lasts > overdue_after * its_cost {
                duration += lasts;
                cost += its_cost;
            }
        }
        duration / cost
    }

    /// Time that a run has had on a core so far.
    pub(crate) fn core_seconds(&self, invocation: &InvocationState) -> f64 {
        self.now - invocation.started_at - invocation.off_core_seconds
    }

    /// Expected time on a core. Without samples the hint counts, stretched while the engine is
    /// warming up: that keeps successors from taking more than they can do in a rush. Harm: fast
    /// ones reject.
    pub(crate) fn expected_run(&self, invocation: &InvocationState) -> f64 {
        let operation = invocation.request.operation;
        let samples = &self.operations[operation].samples;
        let is_unknown = samples.run_durations.is_empty() && self.prior_run(operation).is_none();
        let least = if is_unknown && invocation.request.cost_hint.is_some() {
            1.0 / self.warm_up_factor().max(LEAST_WARM_UP)
        } else {
            0.0
        };
        self.run_rates[operation].max(least) * invocation.request.cost_hint.unwrap_or(1.0)
    }

    /// Expected time until the answer, with downstream calls.
    pub(crate) fn expected_service(&self, invocation: &InvocationState) -> f64 {
        let samples = &self.operations[invocation.request.operation].samples;
        self.expected_run(invocation) + mean(&samples.downstream_durations)
    }

    /// What others say of an operation, as long as it counts: not once own runs differ from it by
    /// two, and of an operation not seen yet only while a run tries one of these. Else a lie would
    /// keep it from ever running.
    fn prior_run(&self, operation: usize) -> Option<PriorEstimate> {
        let prior = (*self.prior_estimates.run_durations.get(operation)?)?;
        let samples = &self.operations[operation].samples;
        let counts = if samples.run_durations.is_empty() {
            // As many runs as there are, of any operation without samples.
            let is_trial = |invocation: &InvocationState| {
                let samples = &self.operations[invocation.request.operation].samples;
                invocation.has_run && samples.run_durations.is_empty()
            };
            self.invocations.count(is_trial) > 0
        } else {
            let duration = samples.run_durations.iter().sum::<f64>();
            let cost = samples.run_costs.iter().sum::<f64>();
            let ratio = duration / cost / prior.value;
            (1.0 / PRIOR_DIFFERS_BY..PRIOR_DIFFERS_BY).contains(&ratio)
        };
        counts.then_some(prior)
    }
}
