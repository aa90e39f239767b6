//! CPU load of the engine, from the gauges that the platform reports, and detection of hangs.

use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::samples::mean;

/// Age from which a gauge is ignored and full load is assumed, in seconds.
const GAUGE_STALE_AFTER_SECONDS: f64 = 0.5;
/// Time without progress that counts as a hang, in mean run durations.
const HANG_AFTER_MEAN_RUNS: f64 = 3.0;
/// Lower and upper bound of that mean run duration, in seconds.
const MEAN_RUN_BOUNDS_SECONDS: (f64, f64) = (0.3, 1.5);
/// Minimum fraction of the cores that is used for runs, regardless of other work.
const MIN_CORE_FRACTION_FOR_RUNS: f64 = 0.5;

/// The last gauges, and the time of the last progress. Times are seconds of the controller's clock.
#[derive(Default)]
pub(crate) struct LoadGauges {
    /// Fraction of the cores that was busy, 0 to 1.
    pub busy: f64,
    /// When `busy` was measured.
    pub busy_at: f64,
    /// Number of tasks other than runs that needed a core, at each recent tick: reading, health
    /// checks, new connections.
    pub other_work: VecDeque<f64>,
    /// When a run last made progress.
    pub last_progress_at: f64,
}

impl LoadGauges {
    fn is_stale(&self, now: f64) -> bool {
        now - self.busy_at > GAUGE_STALE_AFTER_SECONDS
    }
}

impl AdmissionController {
    /// Fraction of the cores that is busy. It is 1 if the gauge is stale, or if the engine hangs:
    /// the gauge falls then, and the rejection threshold must not admit everything.
    pub(crate) fn cpu_load(&self) -> f64 {
        if self.load.is_stale(self.now) || self.is_hanging() {
            1.0
        } else {
            self.load.busy
        }
    }

    /// Whether the engine hangs: every core has a run, none has made progress for three mean run
    /// durations, and the CPU gauge is low or stale. The gauge is needed because long runs on all
    /// cores make no progress either, but keep the cores busy. Drawback: a long pause of the engine
    /// causes rejections.
    pub(crate) fn is_hanging(&self) -> bool {
        let mean_runs = self
            .operations
            .iter()
            .map(|operation| mean(&operation.samples.run_durations));
        let longest = mean_runs.fold(0.0, f64::max);
        let (min, max) = MEAN_RUN_BOUNDS_SECONDS;
        let is_idle =
            self.load.is_stale(self.now) || self.load.busy <= AdmissionController::REJECTION_LOAD;
        let makes_no_progress =
            self.now - self.load.last_progress_at > HANG_AFTER_MEAN_RUNS * longest.clamp(min, max);
        is_idle && makes_no_progress && self.invocations.running() as f64 >= self.cores_for_runs()
    }

    /// Number of cores that other work leaves for runs. Beyond this number runs slow each other
    /// down. Other work includes reading of large invocations and floods of health checks and
    /// connections.
    pub(crate) fn cores_for_runs(&self) -> f64 {
        let cores = self.settings.cores();
        (cores - mean(&self.load.other_work)).max(MIN_CORE_FRACTION_FOR_RUNS * cores)
    }
}
