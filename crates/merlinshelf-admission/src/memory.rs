//! The memory limit of the engine, in kilobytes.

use crate::controller::AdmissionController;
use crate::{InvocationState, Stage};

/// A tenth stays free for what is read before an answer can be given.
const USABLE_PART: f64 = 0.9;

impl AdmissionController {
    /// An arrival whose entry in the table of repeats does not fit any more.
    pub(crate) fn find_exceeding_memory(&self) -> Option<usize> {
        let number = self.invocations.newly_read()?;
        let operation = self.invocations[number].request.operation;
        let entry = if self.operations[operation].settings.has_idempotency_key {
            self.settings.number("FamilyInfo.KeyKb", 0.0)
        } else {
            0.0
        };
        (entry > self.free_kilobytes()).then_some(number)
    }

    /// Memory that is not in use; below 0 where the limit is exceeded.
    pub(crate) fn free_kilobytes(&self) -> f64 {
        let factor = self.settings.number("FamilyInfo.RunFactor", 1.0);
        let needs = |invocation: &InvocationState| match invocation.stage {
            Stage::Read | Stage::Queued | Stage::Joined => invocation.request.held_kilobytes,
            Stage::Running | Stage::AwaitingCall | Stage::Calling => {
                invocation.request.held_kilobytes * factor
            }
        };
        let in_flight: f64 = self.invocations.all().map(needs).sum();
        let table =
            self.repeats.entries.len() as f64 * self.settings.number("FamilyInfo.KeyKb", 0.0);
        let used = in_flight + table;
        USABLE_PART * self.settings.number("FamilyInfo.HeapKb", f64::INFINITY) - used
    }
}
