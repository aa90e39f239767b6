//! The memory limit of the engine, in kilobytes.

use crate::controller::AdmissionController;
use crate::{InvocationState, Stage};

/// Fraction of the memory limit that is used. The rest is for invocations that are read before they
/// can be answered.
const USABLE_FRACTION: f64 = 0.9;

impl AdmissionController {
    /// An arrival that, with its entry in the table of repeats, exceeds the memory limit.
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

    /// Unused memory in kilobytes; negative if the limit is exceeded.
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
        USABLE_FRACTION * self.settings.number("FamilyInfo.HeapKb", f64::INFINITY) - used
    }
}
