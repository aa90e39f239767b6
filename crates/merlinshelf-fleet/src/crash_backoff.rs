//! Pauses before a start after crashes: each doubles the one before, with a part by chance, so that instances that died of one
//! cause do not come back together.

use serde::{Deserialize, Serialize};

use crate::fleet_spec::Restarts;

/// The crashes of one instance that still count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashBackoff {
    pub in_a_row: u32,
    /// No start before this moment.
    pub not_before: f64,
}

impl CrashBackoff {
    /// It ended by itself after it was up for so long. `chance` is from 0 to under 1.
    pub fn crashed(&mut self, now: f64, up: f64, restarts: &Restarts, chance: f64) {
        if up * 1e3 >= restarts.steady_ms as f64 {
            self.in_a_row = 0;
        }
        self.in_a_row += 1;
        let doubled = restarts.pause_ms as f64 * 2_f64.powi(self.in_a_row.min(30) as i32 - 1);
        let pause = doubled.min(restarts.pause_most_ms as f64);
        // Half of it by chance.
        self.not_before = now + pause * (0.75 + 0.5 * chance) / 1e3;
    }

    pub fn may_start(&self, now: f64) -> bool {
        now >= self.not_before
    }

    /// The operators start it: what was is over.
    pub fn forgive(&mut self) {
        *self = CrashBackoff::default();
    }
}
