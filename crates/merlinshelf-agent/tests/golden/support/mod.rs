//! What the golden tests share: the golden files themselves, a real agent in a process of its own,
//! and what it talks to.

pub mod agent;
pub mod golden;
pub mod peers;
pub mod samples;

use std::time::{Duration, Instant};

/// Far longer than anything here takes, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// Polls until there is a value.
pub fn wait_for<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(Instant::now() < until, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Tells when a message that may have been lost is sent again.
pub struct Pace(Option<Instant>);

impl Pace {
    pub fn new() -> Pace {
        Pace(None)
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
