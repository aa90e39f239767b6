//! Computes the health, load level and idle timeout that an instance advertises.

use crate::callers::MIN_IDLE_TIMEOUT_SECONDS;
use crate::controller::AdmissionController;

/// Seconds between updates of the advertised values: a quarter of the time for which callers use a
/// value.
const UPDATE_INTERVAL_SECONDS: f64 = 0.25;
/// Change of the advertised level at each update. The level rises faster than it falls.
const LEVEL_RISE: f64 = 0.05;
const LEVEL_FALL: f64 = -0.025;
/// Upper bound of the advertised level.
const MAX_LEVEL: f64 = 0.7;
/// The level rises while more than one in this many arrivals is rejected and the CPU load is high.
const OVERLOAD_REJECTION_DIVISOR: usize = 10;
/// Upper bound of an advertised priority floor. It stays below 1, so that callers always send the
/// invocations of highest priority.
const MAX_PRIORITY_FLOOR: f64 = 0.999;
/// Sum of the allowances of all callers, as a multiple of the concurrency limit.
const ALLOWANCE_FACTOR: f64 = 2.0;

/// The values that were last advertised.
#[derive(Clone, Copy)]
pub(crate) struct Advertised {
    pub is_healthy: bool,
    /// The level in the form that the settings select, if they select one.
    pub level: Option<f64>,
    /// Idle time after which connections are closed, in seconds.
    pub idle_timeout: f64,
}

/// The current level, its inputs, and the values last advertised.
#[derive(Default)]
pub(crate) struct Advertisement {
    /// For each arrival since the last update, whether it was rejected.
    pub arrivals_rejected: Vec<bool>,
    /// Fraction of their load that callers are asked to withhold, 0 to [`MAX_LEVEL`].
    pub level: f64,
    /// Time of the last update, in seconds of the controller's clock.
    level_updated_at: f64,
    pub last: Option<Advertised>,
}

impl AdmissionController {
    fn is_healthy(&self) -> bool {
        self.shutdown.is_none() && !self.is_hanging()
    }

    /// Returns `Some(0)` if an update is due or the health has changed. The number denotes no
    /// invocation.
    pub(crate) fn find_stale_advertisement(&self) -> Option<usize> {
        let is_due = self.now >= self.advertisement.level_updated_at + UPDATE_INTERVAL_SECONDS;
        let is_stale = is_due
            || self
                .advertisement
                .last
                .is_none_or(|last| last.is_healthy != self.is_healthy());
        is_stale.then_some(0)
    }

    /// Updates the advertised values and adds those that changed to the decisions.
    pub(crate) fn advertise(&mut self, _: usize) {
        self.update_level();
        let is_healthy = self.is_healthy();
        let level = if is_healthy {
            self.advertisement.level
        } else {
            1.0
        };
        let advertised = Advertised {
            is_healthy,
            level: self.level_for_callers(level),
            idle_timeout: self.idle_timeout(),
        };
        let last = self.advertisement.last.replace(advertised);
        let Advertised {
            level,
            idle_timeout,
            ..
        } = advertised;
        self.decisions.health =
            Some(is_healthy).filter(|_| last.is_none_or(|last| last.is_healthy != is_healthy));
        self.decisions.level = level.filter(|_| last.is_none_or(|last| last.level != level));
        self.decisions.idle_timeout = Some(idle_timeout).filter(|_| {
            idle_timeout >= MIN_IDLE_TIMEOUT_SECONDS
                && last.is_none_or(|last| last.idle_timeout != idle_timeout)
        });
    }

    fn update_level(&mut self) {
        let arrivals = &self.advertisement.arrivals_rejected;
        let rejected = arrivals.iter().filter(|&&rejected| rejected).count();
        let sheds_load = rejected * OVERLOAD_REJECTION_DIVISOR > arrivals.len()
            && self.cpu_load() > AdmissionController::REJECTION_LOAD;
        let step = if sheds_load { LEVEL_RISE } else { LEVEL_FALL };
        let advertisement = &mut self.advertisement;
        advertisement.level = (advertisement.level + step).clamp(0.0, MAX_LEVEL);
        advertisement.arrivals_rejected.clear();
        advertisement.level_updated_at = self.now;
    }

    /// Converts the level into the form that the settings select, if any.
    fn level_for_callers(&self, level: f64) -> Option<f64> {
        match self.settings.text("FamilyInfo.Say") {
            "floor" => Some(level.min(MAX_PRIORITY_FLOOR)),
            "weight" => Some(1.0 - level),
            "allowance" => {
                Some(ALLOWANCE_FACTOR * self.limit / self.recent_callers() * (1.0 - level))
            }
            _ => None,
        }
    }

    /// Number of callers whose last arrival is recent enough that they still use the advertised
    /// value. An allowance is divided by this number and not by all callers of the fleet, since a
    /// hundredth of it for each caller rejects those few that use this instance. Drawback: callers
    /// that return simultaneously may each use the full allowance.
    fn recent_callers(&self) -> f64 {
        let validity_seconds = self.settings.seconds("FamilyInfo.HeededUs", 1.0);
        self.callers.count_since(self.now - validity_seconds)
    }
}
