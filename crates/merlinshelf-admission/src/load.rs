//! How busy the engine's cores are, by the gauges that the platform brings.

use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::samples::mean;

/// A gauge older than this counts as one of full load, seconds.
const GAUGE_STALE_AFTER: f64 = 0.5;
/// Mean runs without progress that count as a hang, and bounds of such a mean run in seconds.
const HANG_RUNS: f64 = 3.0;
const HANG_RUN_SECONDS: (f64, f64) = (0.3, 1.5);
/// Part of the cores that stays for runs, whatever else needs them.
const LEAST_PART_FOR_RUNS: f64 = 0.5;

/// The last gauges, and when work last moved on.
#[derive(Default)]
pub(crate) struct LoadGauges {
    /// Part of the cores that were busy, 0 to 1, and when that was measured.
    pub busy: f64,
    pub busy_at: f64,
    /// What needed a core beside runs at the last ticks: reading, health checks, new connections.
    pub other_work: VecDeque<f64>,
    /// When a run last moved on.
    pub last_progress_at: f64,
}

impl LoadGauges {
    fn is_stale(&self, now: f64) -> bool {
        now - self.busy_at > GAUGE_STALE_AFTER
    }
}

impl AdmissionController {
    /// The part of the cores that is busy. All of them where the gauge is old, or falls because
    /// work has stopped while reading goes on: the threshold must not then admit everything.
    pub(crate) fn cpu_load(&self) -> f64 {
        if self.load.is_stale(self.now) || self.is_hanging() {
            1.0
        } else {
            self.load.busy
        }
    }

    /// Every core has a run, none has moved for three mean runs, and the gauge has fallen: two long
    /// runs on two cores move as little, but keep them busy. Harm: rejections through a long pause
    /// of the engine.
    pub(crate) fn is_hanging(&self) -> bool {
        let mean_runs = self
            .operations
            .iter()
            .map(|operation| mean(&operation.samples.run_durations));
        let longest = mean_runs.fold(0.0, f64::max);
        let (least, most) = HANG_RUN_SECONDS;
        let is_idle =
            self.load.is_stale(self.now) || self.load.busy <= AdmissionController::REJECTION_LOAD;
        let stands_still =
            self.now - self.load.last_progress_at > HANG_RUNS * longest.clamp(least, most);
        is_idle && stands_still && self.invocations.running() as f64 >= self.cores_for_runs()
    }

    /// Cores that reading and the like leave to runs. Past their number all runs slow each other
    /// down, so that this counts in what costs much to read, and floods of health checks and
    /// connections.
    pub(crate) fn cores_for_runs(&self) -> f64 {
        let cores = self.settings.cores();
        (cores - mean(&self.load.other_work)).max(LEAST_PART_FOR_RUNS * cores)
    }
}
