//! Rolling plans: targets are restarted or upgraded some at a time while the others serve. Service
//! is observed after each change; an upgrade that makes it worse is rolled back.

use super::rollout::{REMOVED, update_state};
use super::serving_capacity::Blocked;
use super::{Action, Fleet};
use crate::instance::{Instance, State};
use crate::plan::{Plan, PlanKind, PlanState, Stage, Target};

/// Invocations from which on a success ratio is meaningful.
const MIN_INVOCATIONS: u64 = 50;
/// Shortest observation before a change, in seconds.
const MIN_OBSERVATION_SECONDS: f64 = 1.0;
/// Why a target is skipped that runs its former program again.
const ROLLED_BACK: &str = "put back";

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Forward,
    Rollback,
}

/// What becomes of a target whose change is under way.
#[derive(Default)]
struct Settlement {
    stage: Option<Stage>,
    /// The plan waits for it.
    is_waiting: bool,
    /// It serves worse than before, which ends the plan.
    degradation: Option<String>,
}

impl Settlement {
    fn waiting() -> Settlement {
        Settlement {
            is_waiting: true,
            ..Settlement::default()
        }
    }

    fn stage(stage: Stage) -> Settlement {
        Settlement {
            stage: Some(stage),
            ..Settlement::default()
        }
    }
}

/// The change of one target that begins.
struct TargetChange {
    position: usize,
    name: String,
    /// The program to hand over to; none for a restart.
    program: Option<String>,
    direction: Direction,
}

impl Fleet {
    pub(super) fn advance_rolling(&mut self, now: f64, plan: &mut Plan) {
        let mut waiting = self.settle_targets(now, plan);
        let direction = match &plan.state {
            PlanState::RollingBack(_) => Direction::Rollback,
            PlanState::Paused => return,
            _ => Direction::Forward,
        };
        if let Err(blocked) = self.begin_changes(now, plan, direction, &mut waiting) {
            if direction == Direction::Forward {
                // Without instances that could come back there is nothing to wait for.
                let is_hopeless = waiting.is_empty() && blocked.is_permanent();
                plan.state = if is_hopeless {
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

    /// Carries changes that are under way to their ends, whatever the plan's state; returns the
    /// targets that are waited for.
    fn settle_targets(&self, now: f64, plan: &mut Plan) -> Vec<String> {
        let is_rolling_back = matches!(plan.state, PlanState::RollingBack(_));
        let mut waiting = Vec::new();
        for target in &mut plan.targets {
            let settlement = match self.instances.get(&target.name) {
                Some(instance) => self.settle_target(now, target, instance),
                None => Settlement::stage(Stage::Skipped(REMOVED.into())),
            };
            if let Some(stage) = settlement.stage {
                target.stage = stage;
            }
            if settlement.is_waiting {
                waiting.push(target.name.clone());
            }
            if let Some(reason) = settlement.degradation.filter(|_| !is_rolling_back) {
                plan.state = PlanState::RollingBack(reason);
            }
        }
        waiting
    }

    fn settle_target(&self, now: f64, target: &Target, instance: &Instance) -> Settlement {
        let is_serving = instance.state == State::Serving;
        match &target.stage {
            // An upgrade that an earlier agent has requested may have failed unobserved.
            Stage::InProgress { .. } if is_serving && !instance.runs_its_program() => {
                Settlement::stage(Stage::Pending)
            }
            Stage::InProgress { program } if is_serving => Settlement {
                stage: Some(Stage::Observing {
                    program: program.clone(),
                    started_at: now,
                }),
                ..Settlement::waiting()
            },
            Stage::Observing {
                program,
                started_at,
            } if now >= started_at + self.observation_seconds() => Settlement {
                degradation: self.degradation(target, instance, *started_at, now),
                ..Settlement::stage(Stage::Done {
                    program: program.clone(),
                })
            },
            Stage::RollingBack if is_serving => {
                Settlement::stage(Stage::Skipped(ROLLED_BACK.into()))
            }
            Stage::InProgress { .. } | Stage::Observing { .. } | Stage::RollingBack => {
                Settlement::waiting()
            }
            Stage::Pending | Stage::Done { .. } | Stage::Skipped(_) => Settlement::default(),
        }
    }

    fn observation_seconds(&self) -> f64 {
        self.spec.change.looked_ms as f64 / 1e3
    }

    /// Whether a target serves worse than before its change, as a reason to roll back.
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

    /// Begins changes as long as some more may be under way.
    fn begin_changes(
        &mut self,
        now: f64,
        plan: &mut Plan,
        direction: Direction,
        waiting: &mut Vec<String>,
    ) -> Result<(), Blocked> {
        let mut in_progress = match direction {
            Direction::Forward => plan.in_progress_count(),
            // A target whose upgrade is under way is to be rolled back itself.
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

    /// Begins the change of one target, or its rollback; whether it is under way now.
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

    /// An instance without a serving process runs the program at its next start.
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

/// Whether an instance has to reach another state before it is changed. A rollback does not wait
/// for it to get warm.
fn is_in_transition(state: State, direction: Direction) -> bool {
    match state {
        State::Starting | State::Adopted | State::Upgrading | State::Lost => true,
        State::Warming => direction == Direction::Forward,
        _ => false,
    }
}

/// The change that a target needs; where a plan is rolled back, targets that are not begun are
/// skipped.
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
