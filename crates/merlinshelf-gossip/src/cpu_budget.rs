//! A token bucket of CPU time for answering polls.

/// Capacity of the bucket: what an idle node accumulates, seconds of CPU time.
const MAX_BUDGET_SECONDS: f64 = 0.05;

/// The CPU time available for answers. It refills in proportion to elapsed time, and one answer may
/// overdraw it.
#[derive(Clone, Debug)]
pub(crate) struct CpuBudget {
    share: f64,
    remaining_seconds: f64,
    refilled_at: f64,
}

impl CpuBudget {
    /// A full budget that refills at this share of one core.
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
