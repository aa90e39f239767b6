//! The arithmetic of leases between two clocks that drift apart (Gray & Cheriton, "Leases: an
//! efficient fault-tolerant mechanism for distributed file cache consistency", 1989).
//!
//! Only durations are exchanged between processes, never times. The holder counts a lease from when
//! it sent the request and subtracts the drift; the grantor counts it from when it responded and
//! adds the drift. The holder therefore stops before the grantor assumes that it has stopped.

use serde::{Deserialize, Serialize};

/// The maximum drift between two clocks, as a fraction of the elapsed time, 0 to 0.2.
pub type Drift = f64;

/// The maximum variation of the transit time of calls to a dependency, seconds. Two calls that are
/// sent a second apart may arrive closer together by this much.
const TRANSIT_VARIATION_SECONDS: f64 = 0.05;

/// When a lease granted at `now` has certainly expired, by the grantor's clock in seconds.
pub fn grantor_expiry(now: f64, duration_seconds: f64, drift: Drift) -> f64 {
    now + duration_seconds * (1.0 + drift)
}

/// When a lease requested at `requested_at` expires, by the holder's clock in seconds.
pub fn holder_expiry(requested_at: f64, duration_seconds: f64, drift: Drift) -> f64 {
    requested_at + duration_seconds * (1.0 - drift)
}

/// The sliding window of a rate limit, in seconds: a holder with a rate of N calls per second makes
/// at most N calls in any window of this length by its own clock. It exceeds one second, so that
/// calls counted in different windows never arrive within the same second.
pub fn rate_window_seconds(drift: Drift) -> f64 {
    (1.0 + TRANSIT_VARIATION_SECONDS) * (1.0 + drift)
}

/// The parameters of an installation's quota leases.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// The longest duration of a lease, in seconds of the allocator's clock.
    #[serde(rename = "lease_s")]
    pub lease_seconds: f64,
    /// The maximum drift between clocks.
    pub drift: Drift,
}

impl LeaseTerms {
    /// The sliding window of a holder's rate, in seconds.
    pub(crate) fn window_seconds(&self) -> f64 {
        rate_window_seconds(self.drift)
    }

    /// When a holder that stops spending at `now` no longer affects the rate of arrivals, by the
    /// allocator's clock.
    pub(crate) fn arrivals_end_at(&self, now: f64) -> f64 {
        grantor_expiry(now, self.window_seconds(), self.drift)
    }

    /// When a grant of this duration no longer affects the rate of arrivals, by the allocator's
    /// clock: one window after the lease has expired.
    pub(crate) fn effect_ends_at(&self, granted_at: f64, duration_seconds: f64) -> f64 {
        self.arrivals_end_at(grantor_expiry(granted_at, duration_seconds, self.drift))
    }

    /// When a lease expires, by the holder's clock.
    pub(crate) fn holder_expiry(&self, requested_at: f64, duration_seconds: f64) -> f64 {
        holder_expiry(requested_at, duration_seconds, self.drift)
    }
}
