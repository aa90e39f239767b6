//! Table of the invocations in flight, by the numbers that the host assigned.

use std::ops::{Index, IndexMut};

use crate::{InvocationState, Stage};

/// All invocations in flight, in order of arrival.
#[derive(Default)]
pub(crate) struct InvocationTable {
    states: Vec<InvocationState>,
    /// Numbers in use, in order of arrival.
    live: Vec<usize>,
}

impl InvocationTable {
    /// Adds an invocation as the last arrival, under an unused number.
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

    /// All invocations in flight, in order of arrival.
    pub fn all(&self) -> impl Iterator<Item = &InvocationState> {
        self.live.iter().map(|&number| &self.states[number])
    }

    /// The invocations that match, in order of arrival.
    pub fn matching(
        &self,
        predicate: impl Fn(&InvocationState) -> bool,
    ) -> impl Iterator<Item = &InvocationState> {
        self.all().filter(move |invocation| predicate(invocation))
    }

    /// Number of invocations that match.
    pub fn count(&self, predicate: impl Fn(&InvocationState) -> bool) -> usize {
        self.matching(predicate).count()
    }

    /// The number of the earliest arrival that matches.
    pub fn first(&self, predicate: impl Fn(&InvocationState) -> bool) -> Option<usize> {
        self.live
            .iter()
            .copied()
            .find(|&number| predicate(&self.states[number]))
    }

    /// The number of the matching invocation with the highest priority; among equal priorities, the
    /// one with the earliest objective deadline.
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

    /// The earliest arrival that is neither admitted nor rejected yet.
    pub fn newly_read(&self) -> Option<usize> {
        self.first(|invocation| invocation.stage == Stage::Read)
    }

    /// Number of runs on the cores.
    pub fn running(&self) -> usize {
        self.count(|invocation| invocation.stage == Stage::Running)
    }

    /// Number of invocations that count towards the concurrency limit.
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
