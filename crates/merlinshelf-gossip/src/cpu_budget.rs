//! A token bucket of CPU time for answering polls.

/// What an idle node may save up, seconds of CPU time.
const MAX_BUDGET_SECONDS: f64 = 0.05;

/// CPU time that answering may take now. It refills in proportion to the time that passes and may
/// be overdrawn by one answer.
#[derive(Clone, Debug)]
pub(crate) struct CpuBudget {
    share: f64,
    remaining_seconds: f64,
    refilled_at: f64,
}

impl CpuBudget {
    /// A full budget that refills with this share of one core.
    pub(crate) fn new(now: f64, share: f64) -> CpuBudget {
        CpuBudget {
            share,
            remaining_seconds: MAX_BUDGET_SECONDS,
            refilled_at: now,
        }
    }

    pub(crate) fn refill(&mut self, now: f64) {
        let elapsed_seconds = (now - self.refilled_at).max(0.0);
        let refilled = self.remaining_seconds + elapsed_seconds * self.share;
        self.remaining_seconds = refilled.min(MAX_BUDGET_SECONDS);
        self.refilled_at = now;
    }

    pub(crate) fn is_overdrawn(&self) -> bool {
        self.remaining_seconds < 0.0
    }

    pub(crate) fn charge(&mut self, seconds: f64) {
        self.remaining_seconds -= seconds;
    }
}
