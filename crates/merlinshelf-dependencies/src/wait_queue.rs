//! The queue of calls that wait for capacity at a dependency: fair between operations, and bounded
//! by the calls' deadlines.

use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
struct WaitingCall {
    call_id: u64,
    /// When the call stops waiting and is not made.
    expires_at: f64,
}

/// A call that was taken from the queue to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DequeuedCall {
    /// Index of its operation.
    pub operation: usize,
    /// The call.
    pub call_id: u64,
}

/// Calls that wait for capacity, by operation.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<usize, VecDeque<WaitingCall>>,
    in_flight: BTreeMap<usize, u32>,
}

impl WaitQueue {
    /// Adds a call of an operation, which waits until `expires_at` at most.
    pub fn enqueue(&mut self, operation: usize, call_id: u64, expires_at: f64) {
        self.queues
            .entry(operation)
            .or_default()
            .push_back(WaitingCall {
                call_id,
                expires_at,
            });
    }

    /// Removes and returns the calls whose waiting time has expired; they are not made.
    pub fn take_expired(&mut self, now: f64) -> Vec<u64> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|waiting| {
                let waits = now < waiting.expires_at;
                if !waits {
                    expired.push(waiting.call_id);
                }
                waits
            });
        }
        expired
    }

    /// Takes the next call, from the operation with the fewest calls in flight, so that a busy
    /// operation does not starve others. The call counts as in flight from now on.
    pub fn dequeue(&mut self) -> Option<DequeuedCall> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let in_flight = |operation: &usize| self.in_flight.get(operation).copied().unwrap_or(0);
        let operation = *waiting.min_by_key(|(operation, _)| in_flight(operation))?.0;
        let call_id = self.queues.get_mut(&operation)?.pop_front()?.call_id;
        self.call_started(operation);
        Some(DequeuedCall { operation, call_id })
    }

    /// Counts a call of the operation that was made without waiting.
    pub fn call_started(&mut self, operation: usize) {
        *self.in_flight.entry(operation).or_default() += 1;
    }

    /// Stops counting a call of the operation as in flight.
    pub fn call_ended(&mut self, operation: usize) {
        if let Some(in_flight) = self.in_flight.get_mut(&operation) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Removes a waiting call that was cancelled.
    pub fn remove(&mut self, call_id: u64) {
        for queue in self.queues.values_mut() {
            queue.retain(|waiting| waiting.call_id != call_id);
        }
    }

    /// How many calls wait.
    pub fn len(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
