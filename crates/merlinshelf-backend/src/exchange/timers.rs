//! What is to happen at a time, soonest first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use merlinshelf_protocol::CallId;

/// What fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The controller asked for a timer with this handle.
    Admission(u64),
    /// The timeout of an invocation's call of that number.
    CallTimeout(CallId, usize),
}

/// Pending timers, the soonest first. Times are counted from the exchange's start, on a monotonic
/// clock.
#[derive(Debug, Default)]
pub struct TimerQueue {
    all: BinaryHeap<Reverse<(Duration, Timer)>>,
    /// The one timer of each handle that counts: the last that was set.
    admission_timers: BTreeMap<u64, Duration>,
}

impl TimerQueue {
    /// An admission timer replaces one with the same handle that has not fired yet.
    pub fn set(&mut self, at: Duration, alarm: Timer) {
        if let Timer::Admission(handle) = alarm {
            self.admission_timers.insert(handle, at);
        }
        self.all.push(Reverse((at, alarm)));
    }

    pub fn next(&self) -> Option<Duration> {
        self.all.peek().map(|Reverse((at, _))| *at)
    }

    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            match self.all.pop()?.0.1 {
                Timer::Admission(handle) if self.admission_timers.get(&handle) != Some(&at) => {}
                Timer::Admission(handle) => {
                    self.admission_timers.remove(&handle);
                    return Some(Timer::Admission(handle));
                }
                alarm => return Some(alarm),
            }
        }
        None
    }

    /// Takes the soonest admission timer, to be fired now, and returns its handle.
    pub fn take_next_admission(&mut self) -> Option<u64> {
        let (handle, _) = self.admission_timers.iter().min_by_key(|(_, at)| **at)?;
        let handle = *handle;
        self.admission_timers.remove(&handle);
        Some(handle)
    }

    #[cfg(test)]
    pub fn wakes(&self) -> &BTreeMap<u64, Duration> {
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
