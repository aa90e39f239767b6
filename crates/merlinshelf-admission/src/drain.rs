//! Graceful shutdown, and runs that nobody waits for any more.

use crate::controller::AdmissionController;
use crate::{InvocationState, Stage};

/// Both are times of the controller's clock, in seconds.
#[derive(Clone, Copy)]
pub(crate) struct Shutdown {
    /// What arrived after it is not run.
    pub grace_ends_at: f64,
    /// The process must be gone.
    pub stop_at: f64,
}

impl AdmissionController {
    /// What arrived after the grace and has not run.
    pub(crate) fn find_after_grace(&self) -> Option<usize> {
        let shutdown = self.shutdown?;
        self.invocations.first(|invocation| {
            matches!(invocation.stage, Stage::Read | Stage::Queued)
                && invocation.arrived_at > shutdown.grace_ends_at
        })
    }

    /// A run whose caller has its answer, where it may be stopped and run again without harm.
    pub(crate) fn find_abandoned_run(&self) -> Option<usize> {
        let is_wasted = |invocation: &InvocationState| {
            invocation.is_answered && invocation.stage == Stage::Running && !invocation.is_stopping
        };
        let found = self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            is_wasted(invocation) && settings.is_idempotent
        });
        found.filter(|_| matches!(self.settings.text("FamilyInfo.Halt"), "discard" | "freeze"))
    }

    pub(crate) fn stop_run(&mut self, number: usize) {
        self.invocations[number].is_stopping = true;
        self.decisions.stopped.push(number);
    }
}
