//! Repeats: the table of idempotency keys and of reads that others may join.

use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::{InvocationState, Stage};

/// Reads are kept for others to join only while the table takes less than the memory divided by
/// this.
const TABLE_MEMORY_DIVISOR: f64 = 5.0;
/// An entry outlives the last possible repeat by this, seconds.
const WINDOW_MARGIN: f64 = 0.001;

/// An invocation that repeats may join, or whose result they get.
pub(crate) struct RepeatEntry {
    /// Seconds of the controller's clock.
    pub expires_at: f64,
    pub invocation: usize,
}

/// What is remembered of invocations for the sake of repeats.
#[derive(Default)]
pub(crate) struct RepeatTable {
    pub entries: VecDeque<RepeatEntry>,
    /// Released without a run at this very time: a repeat read together with that news starts
    /// afresh.
    pub released_unrun: Vec<usize>,
}

impl RepeatTable {
    /// Forgets an invocation.
    pub fn remove(&mut self, invocation: usize) {
        self.entries.retain(|entry| entry.invocation != invocation);
    }

    /// Drops what no repeat can come for any more.
    pub fn expire(&mut self, now: f64) {
        self.entries.retain(|entry| entry.expires_at > now);
    }
}

impl AdmissionController {
    pub(crate) fn find_repeat(&self) -> Option<usize> {
        self.invocations
            .first(|invocation| invocation.stage == Stage::Read && invocation.request.is_repeat)
    }

    /// A repeat waits for the result of the invocation that it repeats.
    pub(crate) fn join_repeat(&mut self, number: usize) {
        self.invocations[number].stage = Stage::Joined;
        self.decisions.joined.push(number);
    }

    /// For how long an arrival is kept in the table, seconds: one with an idempotency key for its
    /// window, a read with a subject until due where answers may serve others and the table leaves
    /// most of the memory to work.
    pub(crate) fn table_span(&self, invocation: &InvocationState) -> f64 {
        let settings = &self.operations[invocation.request.operation].settings;
        if settings.has_idempotency_key {
            let ends_at = invocation.arrived_at + settings.idempotency_window;
            return (ends_at - self.now).max(0.0) + WINDOW_MARGIN;
        }
        let may_share = self.settings.seconds("FamilyInfo.ShareForUs", 0.0) > 0.0
            && invocation.request.has_subject;
        let table =
            (self.repeats.entries.len() + 1) as f64 * self.settings.number("FamilyInfo.KeyKb", 0.0);
        let memory = self.settings.number("FamilyInfo.HeapKb", 0.0);
        if settings.is_idempotent && may_share && table < memory / TABLE_MEMORY_DIVISOR {
            invocation.due_at - self.now
        } else {
            0.0
        }
    }

    /// Keeps an invocation, or its result, for repeats.
    pub(crate) fn remember(&mut self, number: usize, span: f64) {
        self.repeats.remove(number);
        self.repeats.entries.push_back(RepeatEntry {
            expires_at: self.now + span,
            invocation: number,
        });
        self.decisions.cached.push((number, span));
    }

    /// The controller has done with an invocation. What has not run leaves the table too, so that a
    /// later attempt of it starts afresh. Repeats that wait for its result are answered now if
    /// there is none; its number may be handed out again.
    pub(crate) fn release(&mut self, number: usize) {
        let invocation = &self.invocations[number];
        let is_unrun = !invocation.has_run && invocation.stage != Stage::Joined;
        let has_table_entry = invocation.has_table_entry;
        if is_unrun {
            self.repeats.released_unrun.push(number);
        }
        if has_table_entry && is_unrun {
            self.decisions.evicted.push(number);
            self.repeats.remove(number);
        }
        self.invocations.remove(number);
        self.decisions.released.push(number);
        let waits_for_it = |invocation: &InvocationState| {
            invocation.stage == Stage::Joined && invocation.request.original == Some(number)
        };
        while let Some(repeat) = self.invocations.first(waits_for_it) {
            self.invocations[repeat].request.original = None;
            if is_unrun {
                self.give_up(repeat);
            }
        }
    }
}
