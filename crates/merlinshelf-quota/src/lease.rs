//! The arithmetic of leases between two clocks that drift apart (Gray & Cheriton, "Leases: an
//! efficient fault-tolerant mechanism for distributed file cache consistency", 1989).
//!
//! Only durations pass between processes. The holder counts a lease from when it sent the request
//! and takes the drift off; the grantor counts it from when it responded and adds the drift. So the
//! holder stops before the grantor assumes that it did.

use serde::{Deserialize, Serialize};

/// By how much two clocks may run apart, as a fraction of the time that passes, 0 to 0.2.
pub type Drift = f64;

/// By how much the time that calls take to reach a dependency may vary, seconds: two calls that are
/// sent a second apart may arrive closer by this.
const TRANSIT_VARIATION_SECONDS: f64 = 0.05;

/// When a lease that is granted at `now` has expired for sure, by the grantor's clock in seconds.
pub fn grantor_expiry(now: f64, duration_seconds: f64, drift: Drift) -> f64 {
    now + duration_seconds * (1.0 + drift)
}

/// When a lease that was requested at `requested_at` expires, by the holder's clock in seconds.
pub fn holder_expiry(requested_at: f64, duration_seconds: f64, drift: Drift) -> f64 {
    requested_at + duration_seconds * (1.0 - drift)
}

/// The sliding window of a rate, in seconds: in any time of this length, by its own clock, a holder
/// makes no more calls than its rate per second. So no two calls that are counted in different
/// windows arrive within one second.
pub fn rate_window_seconds(drift: Drift) -> f64 {
    (1.0 + TRANSIT_VARIATION_SECONDS) * (1.0 + drift)
}

/// The terms of an installation's quota leases.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// The longest duration of a lease, in seconds of the allocator's clock.
    #[serde(rename = "lease_s")]
    pub lease_seconds: f64,
    /// By how much clocks may run apart.
    pub drift: Drift,
}

impl LeaseTerms {
    /// The sliding window of a holder's rate, in seconds.
    pub(crate) fn window_seconds(&self) -> f64 {
        rate_window_seconds(self.drift)
    }

    /// When a holder that stops spending at `now` has no effect on the rate of arrivals any more,
    /// by the allocator's clock.
    pub(crate) fn arrivals_end_at(&self, now: f64) -> f64 {
        grantor_expiry(now, self.window_seconds(), self.drift)
    }

    /// When a grant of this duration has no effect on the rate of arrivals any more, by the
    /// allocator's clock: the lease has expired, and then the window has passed.
    pub(crate) fn effect_ends_at(&self, granted_at: f64, duration_seconds: f64) -> f64 {
        self.arrivals_end_at(grantor_expiry(granted_at, duration_seconds, self.drift))
    }

    /// When a lease expires, by the holder's clock.
    pub(crate) fn holder_expiry(&self, requested_at: f64, duration_seconds: f64) -> f64 {
        holder_expiry(requested_at, duration_seconds, self.drift)
    }
}
