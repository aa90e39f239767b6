//! What is remembered of callers and customers, and how long their idle connections stay open.

use std::collections::{BTreeMap, VecDeque};

use crate::controller::AdmissionController;
use crate::samples::{are_few, push};

/// Callers over which those that have not come lately are forgotten, and what "lately" is then, in
/// seconds.
const MANY_CALLERS: usize = 4096;
const MANY_CALLERS_IDLE: f64 = 1.0;
/// Idle connections stay for this part of the callers' own idle time while half of the callers come
/// back. A fifth measured: quiet days lose to connections opened anew.
const IDLE_DIVISOR: f64 = 3.0;
const RETURNING_PART: f64 = 0.5;
/// The shortest idle timeout, seconds.
pub(crate) const LEAST_IDLE_TIMEOUT: f64 = 0.01;

/// The expected work of an arrival.
pub(crate) struct OfferedWork {
    pub arrived_at: f64,
    pub core_seconds: f64,
}

/// The last arrivals, by who sent them. Times are seconds of the controller's clock.
#[derive(Default)]
pub(crate) struct CallerHistory {
    /// When each caller came last.
    pub last_arrivals: BTreeMap<u64, f64>,
    /// After how long the callers of the last arrivals had come back.
    pub return_gaps: VecDeque<f64>,
    /// 1 for each of the last arrivals that was a retry, else 0. Where callers mark none: 1 for
    /// each of the last decisions that was a rejection.
    pub retry_marks: VecDeque<f64>,
    pub arrivals_by_customer: BTreeMap<usize, VecDeque<f64>>,
    pub offered_work: VecDeque<OfferedWork>,
}

impl CallerHistory {
    /// Records when a caller comes.
    pub fn record_arrival(&mut self, now: f64, caller: u64) {
        let before = self
            .last_arrivals
            .insert(caller, now)
            .unwrap_or(f64::NEG_INFINITY);
        push(&mut self.return_gaps, now - before);
    }

    /// Forgets callers that came before `since`: a later arrival counts as new, as it would anyway.
    fn forget_before(&mut self, since: f64) {
        self.last_arrivals.retain(|_, &mut last| last >= since);
    }

    /// Callers that came since then, one at the least.
    pub fn count_since(&self, since: f64) -> f64 {
        let count = self
            .last_arrivals
            .values()
            .filter(|&&last| last >= since)
            .count();
        count.max(1) as f64
    }

    /// The part of the last arrivals whose callers had come within this time before.
    fn returning_part(&self, within: f64) -> f64 {
        let returning = self
            .return_gaps
            .iter()
            .filter(|&&gap| gap <= within)
            .count();
        returning as f64 / self.return_gaps.len().max(1) as f64
    }
}

impl AdmissionController {
    /// What the last arrivals ask for, as a part of what the cores can do, whatever is then
    /// decided.
    fn offered_load(&self) -> f64 {
        let offered = &self.callers.offered_work;
        let since = offered
            .front()
            .map_or(0.0, |work| self.now - work.arrived_at)
            .max(1e-9);
        let work = offered
            .iter()
            .rev()
            .map(|work| work.core_seconds)
            .sum::<f64>();
        work / (self.settings.cores() * since)
    }

    /// How long idle connections stay open, seconds: a third of the callers' own idle time while
    /// half of the last callers had come back within that time, else hardly at all. That keeps the
    /// table from filling with callers who don't come back; harm: a few busy ones open anew. All of
    /// it where arrivals ask for more than the cores can do and no mark tells retries: a full table
    /// rejects at no cost, while opening a connection takes a seventh of a run. Harm: lost in a
    /// short rush.
    pub(crate) fn idle_timeout(&mut self) -> f64 {
        let caller_idle = self.settings.seconds("FamilyInfo.CallerIdleUs", 0.0);
        let remembered = if self.callers.last_arrivals.len() > MANY_CALLERS {
            caller_idle.min(MANY_CALLERS_IDLE)
        } else {
            caller_idle
        };
        self.callers.forget_before(self.now - remembered);
        let returning = if are_few(&self.callers.return_gaps) {
            self.prior_estimates
                .returning_caller_share
                .map_or(1.0, |prior| prior.value)
        } else {
            self.callers.returning_part(caller_idle)
        };
        if !self.marks_retries && self.offered_load() > 1.0 {
            caller_idle
        } else if returning >= RETURNING_PART {
            caller_idle / IDLE_DIVISOR
        } else {
            caller_idle.min(LEAST_IDLE_TIMEOUT)
        }
    }
}
