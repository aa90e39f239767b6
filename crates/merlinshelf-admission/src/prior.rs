//! Prior estimates: what others say of the servers behind and of callers, where own samples are
//! missing or few.
//!
//! Limits start from them and move by own samples alone; durations count beside the first few own
//! samples (see `samples`). Without them, and so on the platform, nothing here acts
//! (docs/design.md).

use crate::controller::AdmissionController;
use crate::downstream::{BREAKER_FAILURES, BREAKER_PAUSE, START_PART, call_limit_floor};
use crate::samples::WINDOW;

/// Calls that fail in a row for others are heeded over this weight.
const FAILURES_WEIGHT: f64 = 0.2;
/// The limit starts at no more than this multiple of the cores.
const LIMIT_CORES: f64 = 2.0;
/// Own runs after which the lowest duration is measured anew.
const PROBE_AFTER_RUNS: f64 = 8.0;

/// An estimate made by others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PriorEstimate {
    /// What is estimated, in the unit of the field that it stands in.
    pub value: f64,
    /// How sure it is, 0 to 1.
    pub weight: f64,
}

impl PriorEstimate {
    /// From an own value towards the estimate, by its weight.
    fn shift(self, own: f64) -> f64 {
        own + (self.value - own) * self.weight.clamp(0.0, 1.0)
    }
}

/// What others estimate of the servers behind and of callers. Durations are seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorEstimates {
    /// By operation: how long its runs take lately, by unit of cost.
    pub run_durations: Vec<Option<PriorEstimate>>,
    /// By operation: how long they take at the least, by unit of cost.
    pub lowest_durations: Vec<Option<PriorEstimate>>,
    /// By operation: how long its runs spend at downstream calls.
    pub downstream_durations: Vec<Option<PriorEstimate>>,
    /// The limit of invocations in flight.
    pub concurrency_limit: Option<PriorEstimate>,
    /// The lowest mean duration of downstream calls.
    pub lowest_call_mean: Option<PriorEstimate>,
    /// The limit of downstream calls at once.
    pub call_limit: Option<PriorEstimate>,
    /// Downstream calls that failed in a row.
    pub call_failures: Option<PriorEstimate>,
    /// Part of the arrivals that are retries, 0 to 1.
    pub retry_share: Option<PriorEstimate>,
    /// Part of the callers that come back while their connection would be kept, 0 to 1.
    pub returning_caller_share: Option<PriorEstimate>,
}

impl AdmissionController {
    /// Takes what others estimate, as often as it changes.
    pub fn set_prior_estimates(&mut self, priors: PriorEstimates) {
        let has_called = !self.downstream.durations.is_empty();
        if !has_called && self.downstream.consecutive_failures == 0 {
            self.start_calls_from(&priors);
        }
        self.start_limit_from(&priors);
        for (operation, prior) in self.operations.iter_mut().zip(&priors.lowest_durations) {
            let samples = &mut operation.samples;
            if let Some(prior) = prior.filter(|_| samples.run_durations.is_empty()) {
                samples.lowest_duration = prior.value;
                samples.finishes_until_probe = PROBE_AFTER_RUNS;
            }
        }
        self.prior_estimates = priors;
    }

    /// Before the first own call.
    fn start_calls_from(&mut self, priors: &PriorEstimates) {
        let quota = self.settings.call_quota();
        let start = START_PART * quota;
        let state = &mut self.downstream;
        if let Some(prior) = priors.call_limit.filter(|_| quota.is_finite()) {
            state.limit = prior.shift(start).clamp(call_limit_floor(quota), start);
        }
        if let Some(prior) = priors.lowest_call_mean {
            // Measured anew from a window of own calls.
            state.lowest_mean = prior.value;
            state.calls_until_probe = WINDOW as u32;
        }
        let fails_for_others = priors.call_failures.is_some_and(|prior| {
            prior.value >= f64::from(BREAKER_FAILURES) && prior.weight > FAILURES_WEIGHT
        });
        if fails_for_others {
            // The first own call is a trial, at once.
            state.consecutive_failures = BREAKER_FAILURES;
            state.last_failure_at = self.now - BREAKER_PAUSE;
        }
    }

    /// Before the first own run.
    fn start_limit_from(&mut self, priors: &PriorEstimates) {
        let has_run = self
            .operations
            .iter()
            .any(|operation| !operation.samples.run_durations.is_empty());
        if let Some(prior) = priors.concurrency_limit.filter(|_| !has_run) {
            let cores = self.settings.cores();
            let most = self.survivable_concurrency().min(LIMIT_CORES * cores);
            self.limit = prior.shift(cores).min(most).max(cores);
        }
    }
}
