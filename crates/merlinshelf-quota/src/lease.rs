//! The arithmetic of leases between two clocks that drift apart (Gray & Cheriton, "Leases: an efficient fault-tolerant
//! mechanism for distributed file cache consistency", 1989).
//!
//! Only durations pass between processes. The holder counts a lease from when it sent the request and takes the drift off; the
//! grantor counts it from when it responded and adds the drift. So the holder stops before the grantor assumes that it did.

/// By how much two clocks may run apart, as a fraction of the time that passes, 0 to 0.2.
pub type Drift = f64;

/// When a lease that is granted at `now` has expired for sure, by the grantor's clock in seconds.
pub fn grantor_expiry(now: f64, duration_seconds: f64, drift: Drift) -> f64 {
    now + duration_seconds * (1.0 + drift)
}

/// When a lease that was requested at `requested_at` expires, by the holder's clock in seconds.
pub fn holder_expiry(requested_at: f64, duration_seconds: f64, drift: Drift) -> f64 {
    requested_at + duration_seconds * (1.0 - drift)
}
