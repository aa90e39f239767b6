//! The queue of admitted invocations, and the choice of the next run to start.

use crate::controller::AdmissionController;
use crate::{InvocationState, Stage};

/// Number of runs waiting for a call that they need, as a fraction of the cores, from which no
/// further run that needs a call is started.
const BLOCKED_CORE_FRACTION: f64 = 0.5;

impl AdmissionController {
    pub(crate) fn find_newly_read(&self) -> Option<usize> {
        self.invocations.newly_read()
    }

    pub(crate) fn enqueue(&mut self, number: usize) {
        let span = self.retention_seconds(&self.invocations[number]);
        let invocation = &mut self.invocations[number];
        invocation.stage = Stage::Queued;
        invocation.has_table_entry = span > 0.0;
        if span > 0.0 {
            self.cache_for_repeats(number, span);
        }
    }

    /// The queued invocation of the highest priority that fits into memory, if a core is free.
    pub(crate) fn find_startable(&self) -> Option<usize> {
        let running = self.invocations.running();
        let at_calls = self
            .invocations
            .count(|invocation| matches!(invocation.stage, Stage::AwaitingCall | Stage::Calling));
        let cores_are_full = running as f64 >= self.cores_for_runs();
        let is_at_survivable_limit = (running + at_calls) as f64 >= self.survivable_concurrency();
        if cores_are_full || is_at_survivable_limit || self.is_hanging() {
            return None;
        }
        let run_factor = self.settings.number("FamilyInfo.RunFactor", 1.0);
        let free = self.free_kilobytes();
        let is_downstream_blocked = self.is_downstream_blocked();
        let fits = |invocation: &InvocationState| {
            let settings = &self.operations[invocation.request.operation].settings;
            let is_blocked = settings.needs_call() && is_downstream_blocked;
            invocation.stage == Stage::Queued
                && !is_blocked
                && invocation.request.held_kilobytes * (run_factor - 1.0) <= free
        };
        self.invocations
            .highest(fits, |invocation| self.priority_weight(invocation))
    }

    /// Whether starting another run that needs its call would only fill the memory.
    fn is_downstream_blocked(&self) -> bool {
        let waits_for_needed_call = |invocation: &InvocationState| {
            let settings = &self.operations[invocation.request.operation].settings;
            invocation.stage == Stage::AwaitingCall && settings.value_without_call == 0.0
        };
        self.is_breaker_open()
            || self.invocations.count(waits_for_needed_call) as f64
                >= BLOCKED_CORE_FRACTION * self.settings.cores()
    }

    pub(crate) fn start_run(&mut self, number: usize) {
        let now = self.now;
        if self.invocations.running() == 0 {
            self.load.last_progress_at = now;
        }
        let invocation = &mut self.invocations[number];
        invocation.stage = Stage::Running;
        invocation.started_at = now;
        invocation.stage_entered_at = now;
        invocation.has_run = true;
        self.decisions.started.push(number);
        self.record_decision(0.0);
    }
}
