//! Prior estimates: values estimated by other instances, used until this instance has enough
//! samples of its own.
//!
//! Limits start from them and are then adjusted by the instance's own samples only. Durations are
//! averaged with the first few samples (see `samples`). If the host sets no estimates, as on the
//! platform, this module has no effect (docs/design.md).

use crate::controller::AdmissionController;
use crate::downstream::{
    BREAKER_FAILURES, BREAKER_PAUSE_SECONDS, INITIAL_LIMIT_FRACTION, min_call_limit,
};
use crate::samples::WINDOW;

/// An estimate of consecutive call failures is used only above this weight.
const MIN_FAILURES_WEIGHT: f64 = 0.2;
/// Upper bound of the initial concurrency limit, as a multiple of the cores.
const MAX_INITIAL_LIMIT_PER_CORE: f64 = 2.0;
/// Number of own runs after which the lowest duration from a prior estimate is reset.
const FIRST_PROBE_AFTER_RUNS: f64 = 8.0;

/// An estimate made by other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PriorEstimate {
    /// The estimated value, in the unit of the field that holds the estimate.
    pub value: f64,
    /// Confidence, 0 to 1.
    pub weight: f64,
}

impl PriorEstimate {
    /// Interpolates between the instance's own value and the estimate, by its weight.
    fn blend_with(self, own: f64) -> f64 {
        own + (self.value - own) * self.weight.clamp(0.0, 1.0)
    }
}

/// Estimates by other instances of the engine, the dependency and the callers. Durations are
/// seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorEstimates {
    /// Recent run durations per unit of cost, by operation.
    pub run_durations: Vec<Option<PriorEstimate>>,
    /// Lowest run durations per unit of cost, by operation.
    pub lowest_durations: Vec<Option<PriorEstimate>>,
    /// Time that runs spend in downstream calls, by operation.
    pub downstream_durations: Vec<Option<PriorEstimate>>,
    /// Limit of invocations in flight.
    pub concurrency_limit: Option<PriorEstimate>,
    /// Lowest mean duration of downstream calls.
    pub lowest_call_mean: Option<PriorEstimate>,
    /// Limit of the mean number of concurrent downstream calls.
    pub call_limit: Option<PriorEstimate>,
    /// Number of consecutive failed downstream calls.
    pub call_failures: Option<PriorEstimate>,
    /// Fraction of the arrivals that are retries, 0 to 1.
    pub retry_share: Option<PriorEstimate>,
    /// Fraction of the callers that return while their connection would still be open, 0 to 1.
    pub returning_caller_share: Option<PriorEstimate>,
}

impl AdmissionController {
    /// Sets the estimates made by other instances. To be called whenever they change.
    pub fn set_prior_estimates(&mut self, priors: PriorEstimates) {
        let has_called = !self.downstream.durations.is_empty();
        if !has_called && self.downstream.consecutive_failures == 0 {
            self.initialize_call_state(&priors);
        }
        self.initialize_concurrency_limit(&priors);
        for (operation, prior) in self.operations.iter_mut().zip(&priors.lowest_durations) {
            let samples = &mut operation.samples;
            if let Some(prior) = prior.filter(|_| samples.run_durations.is_empty()) {
                samples.lowest_duration = prior.value;
                samples.finishes_until_probe = FIRST_PROBE_AFTER_RUNS;
            }
        }
        self.prior_estimates = priors;
    }

    /// Sets the initial state of downstream calls; called before the first own call.
    fn initialize_call_state(&mut self, priors: &PriorEstimates) {
        let quota = self.settings.call_quota();
        let start = INITIAL_LIMIT_FRACTION * quota;
        let state = &mut self.downstream;
        if let Some(prior) = priors.call_limit.filter(|_| quota.is_finite()) {
            state.limit = prior.blend_with(start).clamp(min_call_limit(quota), start);
        }
        if let Some(prior) = priors.lowest_call_mean {
            // Reset after a full window of own calls.
            state.lowest_mean = prior.value;
            state.calls_until_probe = WINDOW as u32;
        }
        let others_report_outage = priors.call_failures.is_some_and(|prior| {
            prior.value >= f64::from(BREAKER_FAILURES) && prior.weight > MIN_FAILURES_WEIGHT
        });
        if others_report_outage {
            // The first own call is a trial call, without a pause.
            state.consecutive_failures = BREAKER_FAILURES;
            state.last_failure_at = self.now - BREAKER_PAUSE_SECONDS;
        }
    }

    /// Sets the initial concurrency limit, unless a run has already finished.
    fn initialize_concurrency_limit(&mut self, priors: &PriorEstimates) {
        let has_run = self
            .operations
            .iter()
            .any(|operation| !operation.samples.run_durations.is_empty());
        if let Some(prior) = priors.concurrency_limit.filter(|_| !has_run) {
            let cores = self.settings.cores();
            let max_limit = self
                .survivable_concurrency()
                .min(MAX_INITIAL_LIMIT_PER_CORE * cores);
            self.limit = prior.blend_with(cores).min(max_limit).max(cores);
        }
    }
}
