//! The ids of invocations that were run for callers that have left. An id names one attempt, so one
//! that comes again must not be run a second time.

use std::collections::{HashMap, VecDeque};

use merlinshelf_protocol::CallId;

/// The number of ids remembered.
const MAX_IDS: usize = 8192;

/// The most recent of these ids; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct RecentRuns {
    /// The position of each id in the order of ends.
    positions: HashMap<CallId, u64>,
    order: VecDeque<(CallId, u64)>,
    next_position: u64,
}

impl RecentRuns {
    /// The run of this invocation has ended, and its caller has left.
    pub fn insert(&mut self, id: CallId) {
        self.positions.insert(id, self.next_position);
        self.order.push_back((id, self.next_position));
        self.next_position += 1;
        if self.order.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((id, position)) = self.order.pop_front() else {
            return;
        };
        if self.positions.get(&id) == Some(&position) {
            self.positions.remove(&id);
        }
    }

    pub fn contains(&self, id: CallId) -> bool {
        self.positions.contains_key(&id)
    }
}
