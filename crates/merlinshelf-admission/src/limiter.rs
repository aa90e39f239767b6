//! The concurrency limit: TCP Vegas on the duration of runs.
//!
//! Source: the load shedding guide of Quarkus, 2.1 (docs/design.md). The duration of each finished
//! run is compared with the lowest duration seen, and the excess is taken for queueing time. The
//! limit rises while the estimated queue is short and falls while it is long.

use crate::controller::AdmissionController;
use crate::samples::push;

/// The limit rises while the estimated queue is shorter than this multiple of log10 of the limit.
///
/// With the guide's bounds of 3 and 6, every run that is longer than the shortest one would count
/// as queued: run durations vary by more than half their mean, which alone makes seven tenths of
/// the limit appear to be queued.
const QUEUE_ALPHA: f64 = 8.0;
/// The limit falls while the estimated queue is longer than this multiple of log10 of the limit.
const QUEUE_BETA: f64 = 16.0;
/// Number of finished runs, as a multiple of the limit, after which the lowest duration is reset.
/// This is the guide's factor.
const PROBE_FACTOR: f64 = 30.0;
/// Fraction of the survivable concurrency that is used. The margin is needed because the platform
/// averages over finer steps than a tick.
const SURVIVABLE_FRACTION: f64 = 0.9;

/// A run that completed successfully. Times are seconds.
pub(crate) struct FinishedRun {
    /// Index of the operation in the settings.
    pub operation: usize,
    /// Time on a core, without downstream calls.
    pub duration: f64,
    /// Cost hint, 1 for a run without a hint.
    pub cost: f64,
    /// Time in downstream calls and waiting for them.
    pub downstream: f64,
}

impl AdmissionController {
    /// The Vegas update at the end of a run. The duration is divided by the cost hint, so that an
    /// expensive invocation is not mistaken for a queue.
    pub(crate) fn record_run(&mut self, run: &FinishedRun) {
        let limit = self.limit;
        let max_limit = self.survivable_concurrency();
        let samples = &mut self.operations[run.operation].samples;
        let duration = run.duration / run.cost;
        push(&mut samples.run_durations, run.duration);
        push(&mut samples.run_costs, run.cost);
        push(&mut samples.downstream_durations, run.downstream);
        samples.finishes_until_probe -= 1.0;
        if samples.finishes_until_probe <= 0.0 {
            samples.lowest_duration = duration;
            samples.finishes_until_probe = PROBE_FACTOR * limit;
        }
        samples.lowest_duration = samples.lowest_duration.min(duration);
        let queue = limit * (1.0 - samples.lowest_duration / duration);
        let log = limit.max(2.0).log10();
        let step = vegas_step(queue < QUEUE_ALPHA * log, queue > QUEUE_BETA * log);
        self.limit = (limit + step * log)
            .min(max_limit)
            .max(self.settings.cores());
    }

    /// An arrival above the limit while the cores have spare capacity.
    pub(crate) fn find_arrival_with_idle_cores(&self) -> Option<usize> {
        let exceeds_limit = self.invocations.in_flight() as f64 > self.limit;
        let may_rise = self.limit < self.survivable_concurrency();
        self.invocations.newly_read().filter(|_| {
            exceeds_limit && may_rise && self.cpu_load() <= AdmissionController::REJECTION_LOAD
        })
    }

    pub(crate) fn raise_limit(&mut self, _: usize) {
        let raised = self.limit + self.limit.max(2.0).log10();
        self.limit = raised.min(self.survivable_concurrency());
    }

    /// Maximum number of runs that are on the cores or will return to them from a call. It is the
    /// concurrency that the engine survives by its settings, and lower while it is warming up.
    pub(crate) fn survivable_concurrency(&self) -> f64 {
        let multiple = self.settings.number("Rules.FallMultiple", 2.0);
        let concurrency = self.settings.cores() * (1.0 + (multiple - 1.0) * self.warm_up_factor());
        (concurrency * SURVIVABLE_FRACTION).floor().max(1.0)
    }

    /// Current speed of the engine as a fraction of its full speed; 1 once it is warm.
    pub(crate) fn warm_up_factor(&self) -> f64 {
        let start = self.settings.number("Rules.StartCapacity", 0.0);
        let duration = self.settings.seconds("Rules.WarmUpUs", 0.0).max(1e-6);
        if self.settings.is_on("FamilyInfo.FreshStart") {
            (start + (1.0 - start) * (self.now - self.engine_started_at) / duration).min(1.0)
        } else {
            1.0
        }
    }
}

/// Direction of a Vegas step: 1 to rise, -1 to fall, else 0.
pub(crate) fn vegas_step(rises: bool, falls: bool) -> f64 {
    f64::from(u8::from(rises)) - f64::from(u8::from(falls))
}
