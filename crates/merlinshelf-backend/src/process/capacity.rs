//! Whether an upgrade can begin: the host must have resources for a second process.

use merlinshelf_handover::Successor;
use thiserror::Error;

use super::Process;
use crate::counters::ResourceUsage;

/// Descriptors that a successor needs in addition to copies of this process's descriptors.
const EXTRA_DESCRIPTORS: u64 = 16;
/// Memory for two copies of the image and for the journal records between two heartbeats.
const EXTRA_MEMORY_KB: u64 = 8 * 1024;

/// Why an upgrade can't begin now. The texts are sent on the control socket.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum UpgradeUnavailable {
    #[error("it waits to hear which policy holds")]
    AwaitingPolicy,
    #[error("upgrades are off: the operators' file has no `upgrade`")]
    Disabled,
    /// This process itself is a successor on probation.
    #[error("it has only just taken over and is still watched")]
    OnProbation,
    #[error("it is leaving")]
    Draining,
    #[error("two processes need {needed} descriptors, and {available} may be used")]
    InsufficientDescriptors { needed: u64, available: u64 },
    #[error("two processes need {needed_mb} MB, and {available_mb} may be used")]
    InsufficientMemory { needed_mb: u64, available_mb: u64 },
}

impl Process {
    /// Whether an upgrade can begin.
    pub(super) fn check_upgrade_available(&self) -> Result<(), UpgradeUnavailable> {
        if self.startup_wait.is_some() {
            return Err(UpgradeUnavailable::AwaitingPolicy);
        }
        let Some(upgrade) = &self.operator.upgrade else {
            return Err(UpgradeUnavailable::Disabled);
        };
        let successor = self.successor.as_ref().map(|role| &role.state);
        if successor.is_some_and(Successor::is_recording) {
            return Err(UpgradeUnavailable::OnProbation);
        }
        if self.drain.is_some() {
            return Err(UpgradeUnavailable::Draining);
        }
        let usage = ResourceUsage::now();
        let needed = 2 * usage.descriptors + EXTRA_DESCRIPTORS;
        let available = upgrade.descriptors.unwrap_or(self.config.sockets as u64);
        if needed > available {
            return Err(UpgradeUnavailable::InsufficientDescriptors { needed, available });
        }
        let needed_mb = (2 * usage.memory_kb + EXTRA_MEMORY_KB) / 1024;
        let available_mb = upgrade.memory_mb.unwrap_or(self.config.memory_mb);
        if needed_mb > available_mb {
            return Err(UpgradeUnavailable::InsufficientMemory {
                needed_mb,
                available_mb,
            });
        }
        Ok(())
    }
}
