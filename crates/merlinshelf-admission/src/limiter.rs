//! The concurrency limit: TCP Vegas on the duration of runs.
//!
//! Source: the load shedding guide of Quarkus, 2.1 (docs/design.md). Each finished run is held
//! against the lowest duration seen; the part by which it is longer is taken for time in a queue.
//! The limit rises while that queue is short and falls while it is long.

use crate::controller::AdmissionController;
use crate::samples::push;

/// Bounds of the queue, as multiples of log10 of the limit. The guide's 3 and 6 take every run
/// above the shortest for a queue; durations here vary by more than half their mean, which alone
/// makes seven tenths of the limit look queued.
const ALPHA: f64 = 8.0;
const BETA: f64 = 16.0;
/// Finished runs, as a multiple of the limit, after which the lowest duration is measured anew: the
/// guide's factor.
const PROBE_FACTOR: f64 = 30.0;
/// A tenth less than the settings allow, since the platform takes the mean over finer steps than a
/// tick.
const SURVIVABLE_PART: f64 = 0.9;

/// A run that has finished well. Times are seconds.
pub(crate) struct FinishedRun {
    pub operation: usize,
    /// Time on a core, without downstream calls.
    pub duration: f64,
    /// Hinted cost, 1 where there is no hint.
    pub cost: f64,
    /// Time at downstream calls and waiting for them.
    pub downstream: f64,
}

impl AdmissionController {
    /// The Vegas update at the end of a run. The duration is taken by unit of hinted cost, so that
    /// a long invocation does not read as a queue.
    pub(crate) fn record_run(&mut self, run: &FinishedRun) {
        let limit = self.limit;
        let most = self.survivable_concurrency();
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
        let step = vegas_step(queue < ALPHA * log, queue > BETA * log);
        self.limit = (limit + step * log).min(most).max(self.settings.cores());
    }

    /// An arrival over the limit while the cores have time for it.
    pub(crate) fn find_arrival_with_idle_cores(&self) -> Option<usize> {
        let is_over = self.invocations.in_flight() as f64 > self.limit;
        let may_rise = self.limit < self.survivable_concurrency();
        self.invocations.newly_read().filter(|_| {
            is_over && may_rise && self.cpu_load() <= AdmissionController::REJECTION_LOAD
        })
    }

    pub(crate) fn raise_limit(&mut self, _: usize) {
        let raised = self.limit + self.limit.max(2.0).log10();
        self.limit = raised.min(self.survivable_concurrency());
    }

    /// How many may be on the cores or about to come back to them: what the settings say that an
    /// engine survives, less while it is warming up.
    pub(crate) fn survivable_concurrency(&self) -> f64 {
        let multiple = self.settings.number("Rules.FallMultiple", 2.0);
        let crowd = self.settings.cores() * (1.0 + (multiple - 1.0) * self.warm_up_factor());
        (crowd * SURVIVABLE_PART).floor().max(1.0)
    }

    /// The part of its speed that a fresh engine has by now, 1 once it is warm.
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

/// Up, down, or neither.
pub(crate) fn vegas_step(rises: bool, falls: bool) -> f64 {
    f64::from(u8::from(rises)) - f64::from(u8::from(falls))
}
