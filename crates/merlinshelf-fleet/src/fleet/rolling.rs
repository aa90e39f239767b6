//! Rolling plans: a limited number of targets at a time is restarted or upgraded while the others
//! serve. The success ratio of each target is observed after its change; if it drops, an upgrade is
//! rolled back.

use super::rollout::{REMOVED, update_state};
use super::serving_capacity::Blocked;
use super::{Action, Fleet};
use crate::instance::{Instance, State};
use crate::plan::{Plan, PlanKind, PlanState, Stage, Target};

/// Minimum number of invocations for a meaningful success ratio.
const MIN_INVOCATIONS: u64 = 50;
/// Shortest observation before a change, in seconds.
const MIN_OBSERVATION_SECONDS: f64 = 1.0;
/// Why a target is shown as skipped after its rollback.
const ROLLED_BACK: &str = "put back";

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Forward,
    Rollback,
}

/// Progress of a target whose change has begun.
#[derive(Default)]
struct TargetUpdate {
    stage: Option<Stage>,
    /// The plan waits for it.
    is_waiting: bool,
    /// Reason for a rollback: its success ratio has dropped.
    degradation: Option<String>,
}

impl TargetUpdate {
    fn waiting() -> TargetUpdate {
        TargetUpdate {
            is_waiting: true,
            ..TargetUpdate::default()
        }
    }

    fn stage(stage: Stage) -> TargetUpdate {
        TargetUpdate {
            stage: Some(stage),
            ..TargetUpdate::default()
        }
    }
}

/// A change of one target that is to begin.
struct TargetChange {
    position: usize,
    name: String,
    /// The program to hand over to; `None` for a restart.
    program: Option<String>,
    direction: Direction,
}

impl Fleet {
    pub(super) fn advance_rolling(&mut self, now: f64, plan: &mut Plan) {
        let mut waiting = self.update_targets(now, plan);
        let direction = match &plan.state {
            PlanState::RollingBack(_) => Direction::Rollback,
            PlanState::Paused => return,
            _ => Direction::Forward,
        };
        if let Err(blocked) = self.begin_changes(now, plan, direction, &mut waiting) {
            if direction == Direction::Forward {
                // Waiting is useless if no instance can come back.
                let is_permanent = waiting.is_empty() && blocked.is_permanent();
                plan.state = if is_permanent {
                    PlanState::Stopped(blocked.to_string())
                } else {
                    PlanState::Waiting(blocked.to_string())
                };
            }
            return;
        }
        match &plan.state {
            PlanState::RollingBack(reason) if waiting.is_empty() => {
                plan.state = PlanState::Stopped(reason.clone());
            }
            PlanState::RollingBack(_) => {}
            _ => update_state(plan, &waiting, "to serve as before"),
        }
    }

    /// Advances changes in progress, in every state of the plan; returns the targets that the plan
    /// waits for.
    fn update_targets(&self, now: f64, plan: &mut Plan) -> Vec<String> {
        let is_rolling_back = matches!(plan.state, PlanState::RollingBack(_));
        let mut waiting = Vec::new();
        for target in &mut plan.targets {
            let update = match self.instances.get(&target.name) {
                Some(instance) => self.target_update(now, target, instance),
                None => TargetUpdate::stage(Stage::Skipped(REMOVED.into())),
            };
            if let Some(stage) = update.stage {
                target.stage = stage;
            }
            if update.is_waiting {
                waiting.push(target.name.clone());
            }
            if let Some(reason) = update.degradation.filter(|_| !is_rolling_back) {
                plan.state = PlanState::RollingBack(reason);
            }
        }
        waiting
    }

    fn target_update(&self, now: f64, target: &Target, instance: &Instance) -> TargetUpdate {
        let is_serving = instance.state == State::Serving;
        match &target.stage {
            // An upgrade requested by an earlier agent may have failed while no agent was running.
            Stage::InProgress { .. } if is_serving && !instance.runs_its_program() => {
                TargetUpdate::stage(Stage::Pending)
            }
            Stage::InProgress { program } if is_serving => TargetUpdate {
                stage: Some(Stage::Observing {
                    program: program.clone(),
                    started_at: now,
                }),
                ..TargetUpdate::waiting()
            },
            Stage::Observing {
                program,
                started_at,
            } if now >= started_at + self.observation_seconds() => TargetUpdate {
                degradation: self.degradation(target, instance, *started_at, now),
                ..TargetUpdate::stage(Stage::Done {
                    program: program.clone(),
                })
            },
            Stage::RollingBack if is_serving => {
                TargetUpdate::stage(Stage::Skipped(ROLLED_BACK.into()))
            }
            Stage::InProgress { .. } | Stage::Observing { .. } | Stage::RollingBack => {
                TargetUpdate::waiting()
            }
            Stage::Pending | Stage::Done { .. } | Stage::Skipped(_) => TargetUpdate::default(),
        }
    }

    fn observation_seconds(&self) -> f64 {
        self.spec.change.looked_ms as f64 / 1e3
    }

    /// The reason to roll back if a target's success ratio has dropped since its change.
    fn degradation(
        &self,
        target: &Target,
        instance: &Instance,
        from: f64,
        until: f64,
    ) -> Option<String> {
        let counts = instance.service_between(from, until);
        if counts.invocations < MIN_INVOCATIONS {
            return None;
        }
        let before = target.success_ratio_before?;
        let after = counts.success_ratio();
        let name = &target.name;
        (before - after > self.spec.change.worse)
            .then(|| format!("{name} serves {after:.3} of what it is sent, {before:.3} before"))
    }

    /// Begins changes up to the maximum number in progress.
    fn begin_changes(
        &mut self,
        now: f64,
        plan: &mut Plan,
        direction: Direction,
        waiting: &mut Vec<String>,
    ) -> Result<(), Blocked> {
        let mut in_progress = match direction {
            Direction::Forward => plan.in_progress_count(),
            // Upgrades in progress do not count: they are to be rolled back themselves.
            Direction::Rollback => {
                let targets = plan.targets.iter();
                targets
                    .filter(|target| target.stage == Stage::RollingBack)
                    .count()
            }
        };
        for position in 0..plan.targets.len() {
            if in_progress >= plan.max_in_progress as usize {
                break;
            }
            let Some(change) = next_change(plan, position, direction) else {
                continue;
            };
            let name = change.name.clone();
            if self.begin_change(now, plan, change)? {
                in_progress += 1;
                waiting.push(name);
            }
        }
        Ok(())
    }

    /// Begins the change of one target, or its rollback; returns whether it is in progress now.
    fn begin_change(
        &mut self,
        now: f64,
        plan: &mut Plan,
        change: TargetChange,
    ) -> Result<bool, Blocked> {
        let is_rollback = change.direction == Direction::Rollback;
        let Some(instance) = self.instances.get(&change.name) else {
            return Ok(false);
        };
        let state = instance.state;
        if is_in_transition(state, change.direction) {
            if is_rollback {
                return Ok(true);
            }
            let name = change.name;
            return Err(Blocked::NotReady { name, state });
        }
        if state.is_serving() && change.program.is_none() {
            self.check_min_capacity(now, instance)?;
        }
        let target = &mut plan.targets[change.position];
        let former_program = instance.program.clone();
        let is_unchanged = change.program.as_ref() == Some(&former_program);
        if is_unchanged && instance.runs_its_program() && !is_rollback {
            target.stage = Stage::Skipped("it runs this program already".into());
            return Ok(false);
        }
        let observation_seconds = self.observation_seconds().max(MIN_OBSERVATION_SECONDS);
        let counts = instance.service_between(now - observation_seconds, now);
        let has_enough = counts.invocations >= MIN_INVOCATIONS;
        target.success_ratio_before = has_enough.then(|| counts.success_ratio());
        self.is_record_changed = true;
        if !state.has_process() || state.is_shutting_down() {
            target.stage = Stage::Skipped(if is_rollback {
                ROLLED_BACK.into()
            } else {
                format!("it is {}", state.name())
            });
            self.set_next_program(&change.name, change.program);
            return Ok(false);
        }
        target.stage = if is_rollback {
            Stage::RollingBack
        } else {
            Stage::InProgress {
                program: former_program,
            }
        };
        match change.program {
            Some(program) => self.request_upgrade(now, change.name, program),
            None => self.request_shutdown(now, &change.name, None),
        }
        Ok(true)
    }

    /// Sets the program that an instance runs at its next start.
    fn set_next_program(&mut self, name: &str, program: Option<String>) {
        if let (Some(instance), Some(program)) = (self.instances.get_mut(name), program) {
            instance.program = program;
        }
    }

    fn request_upgrade(&mut self, now: f64, name: String, program: String) {
        if let Some(instance) = self.instances.get_mut(&name) {
            instance.program.clone_from(&program);
            instance.enter_state(now, State::Upgrading);
            instance.is_upgrade_requested = true;
            self.actions.push_back(Action::Upgrade { name, program });
        }
    }
}

/// Whether an instance must reach another state before it can be changed. A rollback does not wait
/// until it is warm.
fn is_in_transition(state: State, direction: Direction) -> bool {
    match state {
        State::Starting | State::Adopted | State::Upgrading | State::Lost => true,
        State::Warming => direction == Direction::Forward,
        _ => false,
    }
}

/// The next change of a target. During a rollback, targets that were not begun are skipped.
fn next_change(plan: &mut Plan, position: usize, direction: Direction) -> Option<TargetChange> {
    let target = &mut plan.targets[position];
    let program = match (direction, &target.stage) {
        (Direction::Forward, Stage::Pending) => match &plan.kind {
            PlanKind::Upgrade { program } => Some(program.clone()),
            _ => None,
        },
        (Direction::Rollback, Stage::Pending) => {
            target.stage = Stage::Skipped("not begun".into());
            return None;
        }
        (
            Direction::Rollback,
            Stage::Done { program }
            | Stage::Observing { program, .. }
            | Stage::InProgress { program },
        ) if plan.kind.is_upgrade() => Some(program.clone()),
        _ => return None,
    };
    Some(TargetChange {
        position,
        name: target.name.clone(),
        program,
        direction,
    })
}
