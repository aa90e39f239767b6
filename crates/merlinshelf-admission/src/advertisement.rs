//! What this instance advertises to callers and health checks.

use crate::callers::LEAST_IDLE_TIMEOUT;
use crate::controller::AdmissionController;

/// Seconds between two looks: a quarter of how long callers keep a value.
const INTERVAL: f64 = 0.25;
/// The level rises fast and falls slowly, a step a look, up to its highest value.
const LEVEL_RISE: f64 = 0.05;
const LEVEL_FALL: f64 = -0.025;
const LEVEL_MOST: f64 = 0.7;
/// The level rises while more than one in this many arrivals is rejected.
const REJECTED_ONE_IN: usize = 10;
/// The highest priority floor: under it something is always welcome.
const FLOOR_MOST: f64 = 0.999;
/// An allowance is this multiple of the limit, divided by the callers.
const ALLOWANCE_FACTOR: f64 = 2.0;

/// What was advertised last.
#[derive(Clone, Copy)]
pub(crate) struct Advertised {
    pub is_healthy: bool,
    pub level: Option<f64>,
    pub idle_timeout: f64,
}

/// The advertised level, and what it follows.
#[derive(Default)]
pub(crate) struct Advertisement {
    /// The arrivals since the last look: whether each was rejected.
    pub arrivals_rejected: Vec<bool>,
    /// How much callers are asked to hold back, 0 to 0.7, and when that was last changed.
    pub level: f64,
    level_at: f64,
    pub last: Option<Advertised>,
}

impl AdmissionController {
    fn is_healthy(&self) -> bool {
        self.shutdown.is_none() && !self.is_hanging()
    }

    /// Whether it is time to look again, or health has changed. The number is of no invocation.
    pub(crate) fn find_stale_advertisement(&self) -> Option<usize> {
        let is_due = self.now >= self.advertisement.level_at + INTERVAL;
        let is_stale = is_due
            || self
                .advertisement
                .last
                .is_none_or(|last| last.is_healthy != self.is_healthy());
        is_stale.then_some(0)
    }

    /// Advertises what has changed since the last time.
    pub(crate) fn advertise(&mut self, _: usize) {
        self.update_level();
        let is_healthy = self.is_healthy();
        let level = if is_healthy {
            self.advertisement.level
        } else {
            1.0
        };
        let now_advertised = Advertised {
            is_healthy,
            level: self.level_for_callers(level),
            idle_timeout: self.idle_timeout(),
        };
        let last = self.advertisement.last.replace(now_advertised);
        let Advertised {
            level,
            idle_timeout,
            ..
        } = now_advertised;
        self.decisions.health =
            Some(is_healthy).filter(|_| last.is_none_or(|last| last.is_healthy != is_healthy));
        self.decisions.level = level.filter(|_| last.is_none_or(|last| last.level != level));
        self.decisions.idle_timeout = Some(idle_timeout).filter(|_| {
            idle_timeout >= LEAST_IDLE_TIMEOUT
                && last.is_none_or(|last| last.idle_timeout != idle_timeout)
        });
    }

    fn update_level(&mut self) {
        let arrivals = &self.advertisement.arrivals_rejected;
        let rejected = arrivals.iter().filter(|&&rejected| rejected).count();
        let sheds_load = rejected * REJECTED_ONE_IN > arrivals.len()
            && self.cpu_load() > AdmissionController::REJECTION_LOAD;
        let step = if sheds_load { LEVEL_RISE } else { LEVEL_FALL };
        let advertisement = &mut self.advertisement;
        advertisement.level = (advertisement.level + step).clamp(0.0, LEVEL_MOST);
        advertisement.arrivals_rejected.clear();
        advertisement.level_at = self.now;
    }

    /// The level in the form that the settings ask for, if any.
    fn level_for_callers(&self, level: f64) -> Option<f64> {
        match self.settings.text("FamilyInfo.Say") {
            "floor" => Some(level.min(FLOOR_MOST)),
            "weight" => Some(1.0 - level),
            "allowance" => {
                Some(ALLOWANCE_FACTOR * self.limit / self.heeding_callers() * (1.0 - level))
            }
            _ => None,
        }
    }

    /// Callers that came within the time for which they heed a value. Not all there are: a
    /// hundredth for each rejected just those who knew this instance. Harm: callers that come back
    /// all at once may each have that many.
    fn heeding_callers(&self) -> f64 {
        let heeded = self.settings.seconds("FamilyInfo.HeededUs", 1.0);
        self.callers.count_since(self.now - heeded)
    }
}
