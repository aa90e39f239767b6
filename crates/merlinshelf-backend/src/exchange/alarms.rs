//! What is to happen at a time, soonest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
pub struct Alarms(BinaryHeap<Reverse<(Duration, Alarm)>>);

impl Alarms {
    pub fn set(&mut self, at: Duration, alarm: Alarm) {
        self.0.push(Reverse((at, alarm)));
    }

    pub fn next(&self) -> Option<Duration> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    pub fn take(&mut self, now: Duration) -> Option<Alarm> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, alarm))| alarm)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}
