//! Execution of the plan: decides on the next change of each target.

use super::Fleet;
use crate::instance::State;
use crate::plan::{Plan, PlanKind, PlanState, Stage};

/// Maximum number of targets named in the text of what a plan waits for.
const MAX_NAMED_TARGETS: usize = 3;
/// Why a target is skipped after its instance was removed.
pub(super) const REMOVED: &str = "it is not there any more";

impl Fleet {
    pub(super) fn advance_plan(&mut self, now: f64) {
        // The plan is taken out of `self` while it changes the instances.
        let Some(mut plan) = self.plan.take() else {
            return;
        };
        if !plan.state.is_over() {
            let before = plan.clone();
            match plan.kind.clone() {
                PlanKind::Start => self.advance_start(&mut plan),
                PlanKind::Drain { timeout_seconds } => {
                    self.advance_drain(now, &mut plan, timeout_seconds);
                }
                PlanKind::Restart | PlanKind::Upgrade { .. } => {
                    self.advance_rolling(now, &mut plan);
                }
            }
            if plan != before {
                self.is_record_changed = true;
            }
            if plan.state.is_over() {
                let text = format!("plan {} is {}", plan.number, plan.state.text());
                self.add_event(None, text);
            }
        }
        self.plan = Some(plan);
    }

    fn advance_start(&mut self, plan: &mut Plan) {
        let mut waiting = Vec::new();
        for target in &mut plan.targets {
            let Some(instance) = self.instances.get_mut(&target.name) else {
                target.stage = Stage::Skipped(REMOVED.into());
                continue;
            };
            let program = instance.program.clone();
            match target.stage {
                Stage::Pending if plan.state == PlanState::Paused => {}
                Stage::Pending => {
                    instance.is_disabled = false;
                    instance.backoff.reset();
                    target.stage = Stage::InProgress { program };
                    self.is_record_changed = true;
                    waiting.push(target.name.clone());
                }
                Stage::InProgress { .. } if instance.state == State::Serving => {
                    target.stage = Stage::Done { program };
                }
                Stage::InProgress { .. } => waiting.push(target.name.clone()),
                _ => {}
            }
        }
        update_state(plan, &waiting, "to get warm");
    }

    fn advance_drain(&mut self, now: f64, plan: &mut Plan, timeout_seconds: Option<f64>) {
        let mut in_progress = plan.in_progress_count();
        let mut waiting = Vec::new();
        for target in &mut plan.targets {
            let name = target.name.clone();
            let Some(instance) = self.instances.get_mut(&name) else {
                let program = String::new();
                target.stage = Stage::Done { program };
                continue;
            };
            let has_process = instance.state.has_process();
            let program = instance.program.clone();
            let may_begin = in_progress < plan.max_in_progress as usize;
            match target.stage {
                Stage::Pending if plan.state == PlanState::Paused => {}
                Stage::Pending if may_begin || instance.is_shutdown_requested => {
                    instance.is_disabled = true;
                    self.is_record_changed = true;
                    if has_process {
                        in_progress += 1;
                        self.request_shutdown(now, &name, timeout_seconds);
                        target.stage = Stage::InProgress { program };
                        waiting.push(name);
                    } else {
                        target.stage = Stage::Done { program };
                    }
                }
                Stage::Pending => waiting.push(name),
                Stage::InProgress { .. } if !has_process => target.stage = Stage::Done { program },
                Stage::InProgress { .. } => waiting.push(name),
                _ => {}
            }
        }
        update_state(plan, &waiting, "to leave");
    }
}

/// Sets the state of the plan: done, or waiting for targets.
pub(super) fn update_state(plan: &mut Plan, waiting: &[String], condition: &str) {
    if matches!(plan.state, PlanState::Paused | PlanState::RollingBack(_)) {
        return;
    }
    let has_pending = plan
        .targets
        .iter()
        .any(|target| target.stage == Stage::Pending);
    plan.state = if waiting.is_empty() && !has_pending {
        PlanState::Done
    } else {
        PlanState::Waiting(format!("for {} {condition}", named_targets(waiting)))
    };
}

fn named_targets(names: &[String]) -> String {
    let named: Vec<&str> = names
        .iter()
        .take(MAX_NAMED_TARGETS)
        .map(String::as_str)
        .collect();
    let listed = named.join(", ");
    match names.len() - named.len() {
        0 => listed,
        more => format!("{listed} and {more} more"),
    }
}
