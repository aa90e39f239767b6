//! History of callers and customers, and the idle timeout of connections derived from it.

use std::collections::{BTreeMap, VecDeque};

use crate::controller::AdmissionController;
use crate::samples::{lacks_samples, push};

/// Number of remembered callers above which entries are kept for only
/// [`PRUNED_CALLER_RETENTION_SECONDS`].
const CALLER_PRUNING_THRESHOLD: usize = 4096;
/// How long a caller is remembered while the history is above its threshold, in seconds.
const PRUNED_CALLER_RETENTION_SECONDS: f64 = 1.0;
/// Idle connections stay open for the callers' idle time divided by this, while enough callers
/// return. With a divisor of 5, reopened connections cost throughput on days with little load.
const IDLE_TIMEOUT_DIVISOR: f64 = 3.0;
/// Share of returning callers from which idle connections are kept open.
const MIN_RETURNING_SHARE: f64 = 0.5;
/// Lower bound of the idle timeout, in seconds.
pub(crate) const MIN_IDLE_TIMEOUT_SECONDS: f64 = 0.01;

/// The expected work of an arrival.
pub(crate) struct OfferedWork {
    /// Seconds of the controller's clock.
    pub arrived_at: f64,
    /// Expected time on a core, in seconds.
    pub core_seconds: f64,
}

/// History of recent arrivals by caller and customer. Times are seconds of the controller's clock.
#[derive(Default)]
pub(crate) struct CallerHistory {
    /// Time of each caller's last arrival.
    pub last_arrivals: BTreeMap<u64, f64>,
    /// For each recent arrival, the seconds since its caller's previous arrival; infinite for a new
    /// caller.
    pub return_gaps: VecDeque<f64>,
    /// For each recent arrival, 1 if it was a retry, else 0. If callers don't mark retries: for
    /// each recent decision, 1 if it was a rejection, else 0.
    pub retry_marks: VecDeque<f64>,
    /// Times of the recent arrivals of each customer, by its index in the settings.
    pub arrivals_by_customer: BTreeMap<usize, VecDeque<f64>>,
    /// Expected work of the recent arrivals, including rejected ones.
    pub offered_work: VecDeque<OfferedWork>,
}

impl CallerHistory {
    /// Records an arrival of a caller.
    pub fn record_arrival(&mut self, now: f64, caller: u64) {
        let previous = self
            .last_arrivals
            .insert(caller, now)
            .unwrap_or(f64::NEG_INFINITY);
        push(&mut self.return_gaps, now - previous);
    }

    /// Removes callers whose last arrival was before `since`. Their next arrival counts as that of
    /// a new caller, which its long gap would imply anyway.
    fn forget_before(&mut self, since: f64) {
        self.last_arrivals.retain(|_, &mut last| last >= since);
    }

    /// Number of callers with an arrival at or after `since`, at least 1.
    pub fn count_since(&self, since: f64) -> f64 {
        let count = self
            .last_arrivals
            .values()
            .filter(|&&last| last >= since)
            .count();
        count.max(1) as f64
    }

    /// Share of the recent arrivals whose caller's previous arrival was at most `within` seconds
    /// earlier.
    fn returning_share(&self, within: f64) -> f64 {
        let returning = self
            .return_gaps
            .iter()
            .filter(|&&gap| gap <= within)
            .count();
        returning as f64 / self.return_gaps.len().max(1) as f64
    }
}

impl AdmissionController {
    /// Expected work of the recent arrivals relative to the capacity of the cores in that time.
    /// Rejected arrivals count too.
    fn offered_load(&self) -> f64 {
        let offered = &self.callers.offered_work;
        let span = offered
            .front()
            .map_or(0.0, |work| self.now - work.arrived_at)
            .max(1e-9);
        let work = offered
            .iter()
            .rev()
            .map(|work| work.core_seconds)
            .sum::<f64>();
        work / (self.settings.cores() * span)
    }

    /// How long idle connections stay open, in seconds.
    ///
    /// It is a third of the callers' idle time while at least half of the recent callers returned
    /// within that time, else [`MIN_IDLE_TIMEOUT_SECONDS`]. This keeps connections of callers that
    /// don't return from filling the connection table. Drawback: a few busy callers must reconnect.
    ///
    /// If the offered load exceeds the capacity of the cores and callers don't mark retries, it is
    /// the callers' full idle time: a full connection table rejects at no cost, while opening a
    /// connection takes a seventh of a run. Drawback: work is lost in a short burst.
    pub(crate) fn idle_timeout(&mut self) -> f64 {
        let caller_idle = self.settings.seconds("FamilyInfo.CallerIdleUs", 0.0);
        let retention = if self.callers.last_arrivals.len() > CALLER_PRUNING_THRESHOLD {
            caller_idle.min(PRUNED_CALLER_RETENTION_SECONDS)
        } else {
            caller_idle
        };
        self.callers.forget_before(self.now - retention);
        let returning = if lacks_samples(&self.callers.return_gaps) {
            self.prior_estimates
                .returning_caller_share
                .map_or(1.0, |prior| prior.value)
        } else {
            self.callers.returning_share(caller_idle)
        };
        if !self.marks_retries && self.offered_load() > 1.0 {
            caller_idle
        } else if returning >= MIN_RETURNING_SHARE {
            caller_idle / IDLE_TIMEOUT_DIVISOR
        } else {
            caller_idle.min(MIN_IDLE_TIMEOUT_SECONDS)
        }
    }
}
