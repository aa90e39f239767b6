//! Converts what the admission controller has learned to observations, and estimates of the store
//! to priors of the controller.

use std::collections::VecDeque;

use merlinshelf_admission::{LearnedOperation, LearnedState, PriorEstimate, PriorEstimates};

use crate::metric::Metric;
use crate::observation_store::ObservationStore;

/// Age assumed for samples of calls when the end of the latest call is unknown, seconds.
const UNKNOWN_CALL_AGE_SECONDS: f64 = 5.0;
/// Number of call samples from which the controller computes its lowest mean.
const MIN_CALLS_FOR_LOWEST: usize = 8;
/// Maximum sample count of a failure observation.
const MAX_FAILURE_SAMPLES: usize = 24;
/// Avoids division by zero.
const MIN_TOTAL_COST: f64 = 1e-9;

/// The servers and operations that an instance's samples belong to. Samples of an engine are valid
/// only for engines of the same kind, samples of a dependency for all instances that share it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Kind of the engine.
    pub engine: String,
    /// Name of the dependency.
    pub dependency: String,
    /// Names of the operations, in the order of the settings.
    pub operations: Vec<String>,
    /// How long callers keep a connection alive, seconds. A caller that calls again within this
    /// time counts as returning.
    pub keep_alive_seconds: Option<u64>,
}

/// One observation made from an instance's own samples.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnObservation {
    /// What was observed.
    pub metric: Metric,
    /// In the metric's unit.
    pub value: f64,
    /// Number of samples that it is based on.
    pub sample_count: u32,
    /// How long ago the newest sample was taken, seconds.
    pub age_seconds: f64,
}

impl OwnObservation {
    /// Returns `None` if there are no samples.
    fn from_samples(
        metric: Metric,
        value: f64,
        sample_count: usize,
        age_seconds: f64,
    ) -> Option<OwnObservation> {
        (sample_count > 0).then(|| OwnObservation {
            metric,
            value,
            sample_count: sample_count as u32,
            age_seconds: age_seconds.max(0.0),
        })
    }
}

fn mean(samples: &VecDeque<f64>) -> f64 {
    samples.iter().sum::<f64>() / samples.len().max(1) as f64
}

/// Number of runs that the controller has samples of, over all operations.
pub(crate) fn count_runs(learned: &LearnedState) -> usize {
    let counts = learned
        .operations
        .iter()
        .map(|operation| operation.run_durations.len());
    counts.sum()
}

impl Scope {
    fn run_recent(&self, operation: &str) -> Metric {
        Metric::RunRecent {
            engine: self.engine.clone(),
            operation: operation.to_owned(),
        }
    }

    fn run_lowest(&self, operation: &str) -> Metric {
        Metric::RunLowest {
            engine: self.engine.clone(),
            operation: operation.to_owned(),
        }
    }

    fn run_downstream(&self, operation: &str) -> Metric {
        Metric::RunDownstream {
            dependency: self.dependency.clone(),
            operation: operation.to_owned(),
        }
    }

    fn limit(&self) -> Metric {
        Metric::Limit {
            engine: self.engine.clone(),
        }
    }

    fn call_recent(&self) -> Metric {
        Metric::CallRecent {
            dependency: self.dependency.clone(),
        }
    }

    fn call_lowest(&self) -> Metric {
        Metric::CallLowest {
            dependency: self.dependency.clone(),
        }
    }

    fn call_limit(&self) -> Metric {
        Metric::CallLimit {
            dependency: self.dependency.clone(),
        }
    }

    fn call_failures(&self) -> Metric {
        Metric::CallFailures {
            dependency: self.dependency.clone(),
        }
    }

    /// The observations made from what the controller has learned; `now` is on the controller's
    /// clock.
    pub fn observations(&self, now: f64, learned: &LearnedState) -> Vec<OwnObservation> {
        let run_age_seconds = now - learned.last_progress_at;
        let mut observations = Vec::new();
        for (name, operation) in self.operations.iter().zip(&learned.operations) {
            observations.extend(self.run_observations(name, operation, run_age_seconds));
        }
        observations.extend(OwnObservation::from_samples(
            self.limit(),
            learned.concurrency_limit,
            count_runs(learned),
            run_age_seconds,
        ));
        observations.extend(self.call_observations(now, learned));
        observations.extend(self.caller_observations(run_age_seconds, learned));
        observations
    }

    fn run_observations(
        &self,
        name: &str,
        operation: &LearnedOperation,
        age_seconds: f64,
    ) -> impl Iterator<Item = OwnObservation> {
        let run_count = operation.run_durations.len();
        let total_seconds = operation.run_durations.iter().sum::<f64>();
        let total_cost = operation.run_costs.iter().sum::<f64>();
        let downstream = &operation.downstream_durations;
        let calls_downstream = downstream.iter().any(|seconds| *seconds > 0.0);
        let observations = [
            OwnObservation::from_samples(
                self.run_recent(name),
                total_seconds / total_cost.max(MIN_TOTAL_COST),
                run_count,
                age_seconds,
            ),
            OwnObservation::from_samples(
                self.run_lowest(name),
                operation.lowest_duration,
                run_count,
                age_seconds,
            ),
            OwnObservation::from_samples(
                self.run_downstream(name),
                mean(downstream),
                downstream.len(),
                age_seconds,
            )
            .filter(|_| calls_downstream),
        ];
        observations.into_iter().flatten()
    }

    fn call_observations(
        &self,
        now: f64,
        learned: &LearnedState,
    ) -> impl Iterator<Item = OwnObservation> {
        let last_call = learned.calls.back();
        let age_seconds =
            last_call.map_or(UNKNOWN_CALL_AGE_SECONDS, |(_, ended_at)| now - ended_at);
        let call_count = learned.call_durations.len();
        let has_lowest = learned.lowest_call_mean > 0.0 && call_count >= MIN_CALLS_FOR_LOWEST;
        let observations = [
            OwnObservation::from_samples(
                self.call_recent(),
                mean(&learned.call_durations),
                call_count,
                age_seconds,
            ),
            OwnObservation::from_samples(
                self.call_lowest(),
                learned.lowest_call_mean,
                call_count,
                age_seconds,
            )
            .filter(|_| has_lowest),
            OwnObservation::from_samples(
                self.call_limit(),
                learned.call_limit,
                call_count,
                age_seconds,
            )
            .filter(|_| has_lowest),
            self.failure_observation(now, learned, age_seconds),
        ];
        observations.into_iter().flatten()
    }

    /// Zero failures are also observed, once there were calls.
    fn failure_observation(
        &self,
        now: f64,
        learned: &LearnedState,
        call_age_seconds: f64,
    ) -> Option<OwnObservation> {
        let failures = learned.call_failures;
        let age_seconds = if failures > 0 {
            now - learned.call_failed_at
        } else {
            call_age_seconds
        };
        let sample_count = learned.call_durations.len().max(failures as usize);
        OwnObservation::from_samples(
            self.call_failures(),
            f64::from(failures),
            sample_count.min(MAX_FAILURE_SAMPLES),
            age_seconds,
        )
    }

    fn caller_observations(
        &self,
        age_seconds: f64,
        learned: &LearnedState,
    ) -> impl Iterator<Item = OwnObservation> {
        let gaps = &learned.return_gaps;
        let returning = self.keep_alive_seconds.and_then(|keep_alive_seconds| {
            let returned = gaps.iter().filter(|gap| **gap <= keep_alive_seconds as f64);
            OwnObservation::from_samples(
                Metric::ReturningCallerShare,
                returned.count() as f64 / gaps.len().max(1) as f64,
                gaps.len(),
                age_seconds,
            )
        });
        let retries = OwnObservation::from_samples(
            Metric::RetryShare,
            mean(&learned.retry_marks),
            learned.retry_marks.len(),
            age_seconds,
        );
        [retries, returning].into_iter().flatten()
    }

    /// Priors for the controller, estimated from the observations of others.
    pub fn prior_estimates(&self, now: f64, store: &ObservationStore) -> PriorEstimates {
        let prior = |metric: Metric| {
            let estimate = store.estimate(now, &metric)?;
            Some(PriorEstimate {
                value: estimate.value,
                weight: estimate.weight,
            })
        };
        let priors_by_operation = |metric: fn(&Scope, &str) -> Metric| {
            let names = self.operations.iter();
            names.map(|name| prior(metric(self, name))).collect()
        };
        PriorEstimates {
            run_durations: priors_by_operation(Scope::run_recent),
            lowest_durations: priors_by_operation(Scope::run_lowest),
            downstream_durations: priors_by_operation(Scope::run_downstream),
            concurrency_limit: prior(self.limit()),
            lowest_call_mean: prior(self.call_lowest()),
            call_limit: prior(self.call_limit()),
            call_failures: prior(self.call_failures()),
            retry_share: prior(Metric::RetryShare),
            returning_caller_share: prior(Metric::ReturningCallerShare),
        }
    }
}
