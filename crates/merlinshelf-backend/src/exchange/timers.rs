//! The exchange's pending timers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use merlinshelf_protocol::CallId;

/// A timer and what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The admission controller's timer with this handle.
    Admission(u64),
    /// The timeout of the invocation's call with this number.
    CallTimeout(CallId, usize),
}

/// Pending timers, ordered by time. Times are relative to the exchange's start, on a monotonic
/// clock.
#[derive(Debug, Default)]
pub struct TimerQueue {
    all: BinaryHeap<Reverse<(Duration, Timer)>>,
    /// By handle, the time that was set last. Earlier entries of the same handle in `all` are stale.
    admission_timers: BTreeMap<u64, Duration>,
}

impl TimerQueue {
    /// Sets a timer. An admission timer replaces a pending one with the same handle.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        if let Timer::Admission(handle) = timer {
            self.admission_timers.insert(handle, at);
        }
        self.all.push(Reverse((at, timer)));
    }

    pub fn next(&self) -> Option<Duration> {
        self.all.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the next timer that is due, skipping replaced ones.
    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            match self.all.pop()?.0.1 {
                Timer::Admission(handle) if self.admission_timers.get(&handle) != Some(&at) => {}
                Timer::Admission(handle) => {
                    self.admission_timers.remove(&handle);
                    return Some(Timer::Admission(handle));
                }
                timer => return Some(timer),
            }
        }
        None
    }

    /// Removes the earliest admission timer, which the caller fires now, and returns its handle.
    pub fn take_next_admission(&mut self) -> Option<u64> {
        let (handle, _) = self.admission_timers.iter().min_by_key(|(_, at)| **at)?;
        let handle = *handle;
        self.admission_timers.remove(&handle);
        Some(handle)
    }

    #[cfg(test)]
    pub fn admission_timers(&self) -> &BTreeMap<u64, Duration> {
        &self.admission_timers
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn clear(&mut self) {
        *self = TimerQueue::default();
    }
}
