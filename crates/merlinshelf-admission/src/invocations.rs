//! The invocations in flight, by the numbers that the host gave them.

use std::ops::{Index, IndexMut};

use crate::{InvocationState, Stage};

/// All invocations in flight, in their order of arrival.
#[derive(Default)]
pub(crate) struct InvocationTable {
    states: Vec<InvocationState>,
    /// Numbers in use, in order of arrival.
    live: Vec<usize>,
}

impl InvocationTable {
    /// Adds an invocation as the last arrival, under a number that is free.
    pub fn insert(&mut self, number: usize, state: InvocationState) {
        let length = self.states.len().max(number + 1);
        self.states.resize_with(length, InvocationState::default);
        self.states[number] = state;
        self.live.push(number);
    }

    /// Frees a number.
    pub fn remove(&mut self, number: usize) {
        self.live.retain(|&other| other != number);
    }

    /// Whether a number is in use.
    pub fn contains(&self, number: usize) -> bool {
        self.live.contains(&number)
    }

    /// All in flight, by arrival.
    pub fn all(&self) -> impl Iterator<Item = &InvocationState> {
        self.live.iter().map(|&number| &self.states[number])
    }

    /// Those that match, by arrival.
    pub fn matching(
        &self,
        predicate: impl Fn(&InvocationState) -> bool,
    ) -> impl Iterator<Item = &InvocationState> {
        self.all().filter(move |invocation| predicate(invocation))
    }

    /// How many match.
    pub fn count(&self, predicate: impl Fn(&InvocationState) -> bool) -> usize {
        self.matching(predicate).count()
    }

    /// The number of the first one, by arrival, that matches.
    pub fn first(&self, predicate: impl Fn(&InvocationState) -> bool) -> Option<usize> {
        self.live
            .iter()
            .copied()
            .find(|&number| predicate(&self.states[number]))
    }

    /// The number of the one with the highest priority of those that match; of equals, the one
    /// whose objective comes first.
    pub fn highest(
        &self,
        predicate: impl Fn(&InvocationState) -> bool,
        priority: impl Fn(&InvocationState) -> f64,
    ) -> Option<usize> {
        let candidates = self
            .live
            .iter()
            .copied()
            .filter(|&number| predicate(&self.states[number]));
        candidates.max_by(|&first, &second| {
            let first = &self.states[first];
            let second = &self.states[second];
            let by_priority = priority(first).total_cmp(&priority(second));
            by_priority.then(
                second
                    .objective_deadline
                    .total_cmp(&first.objective_deadline),
            )
        })
    }

    /// The first one that was read and is not decided on yet.
    pub fn newly_read(&self) -> Option<usize> {
        self.first(|invocation| invocation.stage == Stage::Read)
    }

    /// Runs on the cores.
    pub fn running(&self) -> usize {
        self.count(|invocation| invocation.stage == Stage::Running)
    }

    /// Read, queued or running: what the limit counts.
    pub fn in_flight(&self) -> usize {
        self.count(|invocation| {
            matches!(
                invocation.stage,
                Stage::Read | Stage::Queued | Stage::Running
            )
        })
    }
}

impl Index<usize> for InvocationTable {
    type Output = InvocationState;

    fn index(&self, number: usize) -> &InvocationState {
        &self.states[number]
    }
}

impl IndexMut<usize> for InvocationTable {
    fn index_mut(&mut self, number: usize) -> &mut InvocationState {
        &mut self.states[number]
    }
}
