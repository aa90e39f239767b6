//! What is to happen at a time, soonest first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use merlinshelf_protocol::CallId;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    /// The module asked to be woken with this handle.
    Wake(u64),
    /// The time-out of an invocation's call of that number.
    Call(CallId, usize),
}

/// Times are counted from the exchange's start, on a clock that never goes back.
#[derive(Debug, Default)]
pub struct Alarms {
    all: BinaryHeap<Reverse<(Duration, Alarm)>>,
    /// The one wake of each handle that counts: the last that was asked for.
    wakes: BTreeMap<u64, Duration>,
}

impl Alarms {
    /// A wake takes the place of one with the same handle that has not rung yet.
    pub fn set(&mut self, at: Duration, alarm: Alarm) {
        if let Alarm::Wake(handle) = alarm {
            self.wakes.insert(handle, at);
        }
        self.all.push(Reverse((at, alarm)));
    }

    pub fn next(&self) -> Option<Duration> {
        self.all.peek().map(|Reverse((at, _))| *at)
    }

    pub fn take(&mut self, now: Duration) -> Option<Alarm> {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            match self.all.pop()?.0.1 {
                Alarm::Wake(handle) if self.wakes.get(&handle) != Some(&at) => {}
                Alarm::Wake(handle) => {
                    self.wakes.remove(&handle);
                    return Some(Alarm::Wake(handle));
                }
                alarm => return Some(alarm),
            }
        }
        None
    }

    /// Brings the soonest wake forward to this moment, and says its handle.
    pub fn pull_wake(&mut self) -> Option<u64> {
        let (handle, _) = self.wakes.iter().min_by_key(|(_, at)| **at)?;
        let handle = *handle;
        self.wakes.remove(&handle);
        Some(handle)
    }

    #[cfg(test)]
    pub fn wakes(&self) -> &BTreeMap<u64, Duration> {
        &self.wakes
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn clear(&mut self) {
        *self = Alarms::default();
    }
}
