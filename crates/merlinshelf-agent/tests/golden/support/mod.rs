//! Shared code of the golden tests: the golden files, a real agent in a separate process, and the
//! agents and instances that it communicates with.

pub mod agent;
pub mod golden;
pub mod peers;
pub mod samples;

use std::time::{Duration, Instant};

/// Timeout of a condition, far longer than any takes even on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls until `find` returns a value.
pub fn wait_for<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(
            Instant::now() < until,
            "timed out after {WAIT_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Determines when a message that may have been lost is resent.
pub struct ResendTimer(Option<Instant>);

impl ResendTimer {
    pub fn new() -> ResendTimer {
        ResendTimer(None)
    }

    pub fn is_due(&mut self) -> bool {
        let due = self
            .0
            .is_none_or(|last| last.elapsed() >= Duration::from_millis(200));
        if due {
            self.0 = Some(Instant::now());
        }
        due
    }
}
