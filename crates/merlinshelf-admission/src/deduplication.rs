//! Deduplication: the table of invocations whose results repeats may share.

use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::{InvocationState, Stage};

/// Reads are added to the table only while it takes less than the memory limit divided by this.
const TABLE_MEMORY_DIVISOR: f64 = 5.0;
/// How long an entry is kept after the last possible repeat, in seconds.
const WINDOW_MARGIN_SECONDS: f64 = 0.001;

/// An invocation that repeats may join while it runs, or whose cached result they receive.
pub(crate) struct RepeatEntry {
    /// Seconds of the controller's clock.
    pub expires_at: f64,
    /// The invocation's number.
    pub invocation: usize,
}

/// The invocations that repeats may join.
#[derive(Default)]
pub(crate) struct RepeatTable {
    pub entries: VecDeque<RepeatEntry>,
    /// Numbers of the invocations that were released without a run at the current time. A repeat of
    /// one of them that is read at the same time is handled as a first attempt.
    pub released_without_run: Vec<usize>,
}

impl RepeatTable {
    /// Removes the entry of an invocation.
    pub fn remove(&mut self, invocation: usize) {
        self.entries.retain(|entry| entry.invocation != invocation);
    }

    /// Removes entries whose window for repeats has ended.
    pub fn expire(&mut self, now: f64) {
        self.entries.retain(|entry| entry.expires_at > now);
    }
}

impl AdmissionController {
    pub(crate) fn find_repeat(&self) -> Option<usize> {
        self.invocations
            .first(|invocation| invocation.stage == Stage::Read && invocation.request.is_repeat)
    }

    /// Makes a repeat wait for the result of the invocation that it repeats.
    pub(crate) fn join_repeat(&mut self, number: usize) {
        self.invocations[number].stage = Stage::Joined;
        self.decisions.joined.push(number);
    }

    /// How long an arrival is kept in the table, in seconds; 0 if it is not added.
    ///
    /// An arrival with an idempotency key is kept for its window. A read with a subject is kept
    /// until its deadline if the settings allow sharing of results and the table is small enough.
    pub(crate) fn retention_seconds(&self, invocation: &InvocationState) -> f64 {
        let settings = &self.operations[invocation.request.operation].settings;
        if settings.has_idempotency_key {
            let ends_at = invocation.arrived_at + settings.idempotency_window;
            return (ends_at - self.now).max(0.0) + WINDOW_MARGIN_SECONDS;
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

    /// Adds an invocation, or its result, to the table for `span` seconds.
    pub(crate) fn cache_for_repeats(&mut self, number: usize, span: f64) {
        self.repeats.remove(number);
        self.repeats.entries.push_back(RepeatEntry {
            expires_at: self.now + span,
            invocation: number,
        });
        self.decisions.cached.push((number, span));
    }

    /// Removes an invocation, whose number the host may then assign again. If it has not run, its
    /// table entry is removed too, so that a later attempt can run, and the repeats that wait for
    /// its result are answered with a failure.
    pub(crate) fn release(&mut self, number: usize) {
        let invocation = &self.invocations[number];
        let is_without_run = !invocation.has_run && invocation.stage != Stage::Joined;
        let has_table_entry = invocation.has_table_entry;
        if is_without_run {
            self.repeats.released_without_run.push(number);
        }
        if has_table_entry && is_without_run {
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
            if is_without_run {
                self.reject_or_fail(repeat);
            }
        }
    }
}
