//! Graceful shutdown, and runs whose caller no longer waits.

use crate::controller::AdmissionController;
use crate::{InvocationState, Stage};

/// A graceful shutdown in progress. Times are seconds of the controller's clock.
#[derive(Clone, Copy)]
pub(crate) struct Shutdown {
    /// Arrivals after this time are not run.
    pub grace_ends_at: f64,
    /// When the process must have exited.
    pub stop_at: f64,
}

impl AdmissionController {
    /// An invocation that arrived after the grace and has not run.
    pub(crate) fn find_arrival_after_grace(&self) -> Option<usize> {
        let shutdown = self.shutdown?;
        self.invocations.first(|invocation| {
            matches!(invocation.stage, Stage::Read | Stage::Queued)
                && invocation.arrived_at > shutdown.grace_ends_at
        })
    }

    /// A run whose invocation is already answered, if the operation is idempotent and the settings
    /// allow runs to be stopped.
    pub(crate) fn find_abandoned_run(&self) -> Option<usize> {
        let is_abandoned = |invocation: &InvocationState| {
            invocation.is_answered && invocation.stage == Stage::Running && !invocation.is_stopping
        };
        let found = self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            is_abandoned(invocation) && settings.is_idempotent
        });
        found.filter(|_| matches!(self.settings.text("FamilyInfo.Halt"), "discard" | "freeze"))
    }

    pub(crate) fn stop_run(&mut self, number: usize) {
        self.invocations[number].is_stopping = true;
        self.decisions.stopped.push(number);
    }
}
