//! Failures of a plan's targets: no further target is changed, and upgrades are rolled back.

use super::Fleet;
use crate::plan::{PlanState, Stage};

/// How the change of a target has failed, with the reason for operators.
pub(super) enum TargetFailure {
    /// Its process did not start, has exited, or did not get warm in time.
    Process(String),
    /// Its upgrade has failed; it continues to serve with the former program.
    Upgrade(String),
}

impl TargetFailure {
    fn reason(&self) -> &str {
        match self {
            TargetFailure::Process(reason) | TargetFailure::Upgrade(reason) => reason,
        }
    }
}

impl Fleet {
    /// Ends a rolling plan whose target has failed. An upgrade is rolled back first.
    pub(super) fn fail_target(&mut self, name: &str, failure: &TargetFailure) {
        let Some(plan) = &mut self.plan else { return };
        if plan.state.is_over() || !plan.kind.is_rolling() {
            return;
        }
        let is_upgrade = plan.kind.is_upgrade();
        let Some(target) = plan.targets.iter_mut().find(|target| target.name == name) else {
            return;
        };
        // While the plan is in progress, a crash after the target's upgrade is attributed to the
        // upgrade.
        let is_affected = match target.stage {
            Stage::InProgress { .. } | Stage::Observing { .. } | Stage::RollingBack => true,
            Stage::Done { .. } => is_upgrade,
            Stage::Pending | Stage::Skipped(_) => false,
        };
        if !is_affected {
            return;
        }
        let former_program = match &target.stage {
            Stage::InProgress { program }
            | Stage::Observing { program, .. }
            | Stage::Done { program } => Some(program.clone()),
            Stage::Pending | Stage::RollingBack | Stage::Skipped(_) => None,
        };
        let instance = self.instances.get_mut(name);
        let down_instance = instance.filter(|instance| !instance.state.has_process());
        let reason = failure.reason().to_owned();
        if down_instance.is_some() || matches!(failure, TargetFailure::Upgrade(_)) {
            target.stage = Stage::Skipped(reason.clone());
        }
        if let (true, Some(program), Some(instance)) = (is_upgrade, former_program, down_instance) {
            instance.program = program;
        }
        if !is_upgrade {
            plan.state = PlanState::Stopped(reason);
        } else if !matches!(plan.state, PlanState::RollingBack(_)) {
            plan.state = PlanState::RollingBack(reason);
        }
        self.is_record_changed = true;
    }
}
