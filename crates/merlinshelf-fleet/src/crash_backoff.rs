//! Exponential backoff before an instance is restarted after a crash, with jitter, so that instances
//! that crashed for the same reason do not restart simultaneously.

use serde::{Deserialize, Serialize};

use crate::fleet_spec::Restarts;

/// Limits the exponent. The backoff at this limit exceeds every maximum that can be specified.
const MAX_DOUBLINGS: u32 = 30;

/// The crashes of one instance that still count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashBackoff {
    /// Crashes without a steady run between them.
    #[serde(rename = "in_a_row")]
    pub crashes_in_a_row: u32,
    /// Earliest time of the next start.
    #[serde(rename = "not_before")]
    pub next_start_at: f64,
}

impl CrashBackoff {
    /// Counts a crash after a run of `uptime_seconds`. `jitter` is from 0 to below 1.
    pub fn record_crash(
        &mut self,
        now: f64,
        uptime_seconds: f64,
        restarts: &Restarts,
        jitter: f64,
    ) {
        if uptime_seconds * 1e3 >= restarts.steady_ms as f64 {
            self.crashes_in_a_row = 0;
        }
        self.crashes_in_a_row += 1;
        let doublings = self.crashes_in_a_row.min(MAX_DOUBLINGS) as i32 - 1;
        let doubled_ms = restarts.pause_ms as f64 * 2_f64.powi(doublings);
        let backoff_ms = doubled_ms.min(restarts.pause_most_ms as f64);
        self.next_start_at = now + backoff_ms * (0.75 + 0.5 * jitter) / 1e3;
    }

    /// Whether the backoff is over.
    pub fn may_start(&self, now: f64) -> bool {
        now >= self.next_start_at
    }

    /// Resets the count of crashes, after a start by operators or a requested shutdown.
    pub fn reset(&mut self) {
        *self = CrashBackoff::default();
    }
}
