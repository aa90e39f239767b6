//! A plan on its way, one instance after the other, within what capacity allows.

use super::{Action, Fleet};
use crate::instance::{Instance, State};
use crate::plan::{Kind, Plan, PlanState, Stage};

/// Samples from which a served share is told.
const TOLD_FROM: u64 = 50;
/// Why a floor can't be met though all serve.
const NOBODY_DOWN: &str = "nobody is down";
/// What capacity is weighed by: served over the last so many seconds.
const RATE_OVER: f64 = 20.0;

impl Fleet {
    /// Capacity by weight: what serves now, and what there would be if all that is wanted served.
    pub fn capacity(&self, now: f64) -> (f64, f64) {
        let mut sums = (0.0, 0.0);
        for one in self.instances.values().filter(|one| self.is_wanted(one)) {
            let weight = self.weight(now, one);
            sums.0 += if one.state.serves() { weight } else { 0.0 };
            sums.1 += weight;
        }
        sums
    }

    /// What an instance counts: what it serves, or for as long as nothing is known of that, its group's figure.
    pub(super) fn weight(&self, now: f64, one: &Instance) -> f64 {
        let by_file = |one: &Instance| {
            self.wanted
                .groups
                .get(&one.group)
                .map_or(1.0, |group| group.weight)
        };
        // By what is served only where all that serve are known by it: else the two measures would be mixed.
        let serving = || self.instances.values().filter(|one| one.state.serves());
        let known = serving().all(|one| one.rate(now, RATE_OVER) > 0.0) && serving().count() > 0;
        if !known {
            return by_file(one);
        }
        let rate = one.rate(now, RATE_OVER);
        if rate > 0.0 {
            return rate;
        }
        // One that is down counts as much as its like.
        let like: Vec<f64> = serving()
            .filter(|other| other.group == one.group)
            .map(|other| other.rate(now, RATE_OVER))
            .collect();
        if like.is_empty() {
            by_file(one)
        } else {
            like.iter().sum::<f64>() / like.len() as f64
        }
    }

    /// Whether one more may be out by a change; else what is waited for.
    pub(super) fn may_take_out(&self, now: f64, name: &str) -> Result<(), String> {
        let Some(one) = self.instances.get(name) else {
            return Ok(());
        };
        if !one.state.serves() {
            return Ok(());
        }
        let ((serving, whole), floor) = (self.capacity(now), self.wanted.change.floor);
        let left = serving - self.weight(now, one);
        if left + 1e-9 >= floor * whole {
            return Ok(());
        }
        let down: Vec<&str> = self
            .instances
            .values()
            .filter(|one| self.is_wanted(one) && !one.state.serves())
            .map(|one| one.name.as_str())
            .collect();
        let down = if down.is_empty() {
            NOBODY_DOWN.into()
        } else {
            format!("down: {}", down.join(", "))
        };
        Err(format!(
            "without {name} {:.0}% of all capacity would serve, under the floor of {:.0}%; {down}",
            100.0 * left / whole.max(1e-9),
            100.0 * floor
        ))
    }

    pub(super) fn advance(&mut self, now: f64) {
        let Some(mut plan) = self.plan.take() else {
            return;
        };
        if !plan.state.is_over() {
            let before = plan.clone();
            match plan.kind.clone() {
                Kind::Start => self.advance_start(&mut plan),
                Kind::Drain { within } => self.advance_drain(now, &mut plan, within),
                Kind::Restart | Kind::Upgrade { .. } => self.advance_rolling(now, &mut plan),
            }
            if plan != before {
                self.changed = true;
            }
            if plan.state.is_over() {
                let (number, text) = (plan.number, plan.state.text());
                self.note(None, format!("plan {number} is {text}"));
            }
        }
        self.plan = Some(plan);
    }

    fn advance_start(&mut self, plan: &mut Plan) {
        let mut waits = Vec::new();
        for target in &mut plan.targets {
            let Some(one) = self.instances.get_mut(&target.name) else {
                target.stage = Stage::Left("it is not there any more".into());
                continue;
            };
            match target.stage {
                Stage::Todo if plan.state == PlanState::Paused => {}
                Stage::Todo => {
                    one.down = false;
                    one.crashes.forgive();
                    target.stage = Stage::Under {
                        program: one.program.clone(),
                    };
                    self.changed = true;
                    waits.push(target.name.clone());
                }
                Stage::Under { .. } if one.state == State::Serving => {
                    target.stage = Stage::Done {
                        program: one.program.clone(),
                    };
                }
                Stage::Under { .. } => waits.push(target.name.clone()),
                _ => {}
            }
        }
        finish(plan, &waits, "to get warm");
    }

    fn advance_drain(&mut self, now: f64, plan: &mut Plan, within: Option<f64>) {
        let mut out = plan.out();
        let mut waits = Vec::new();
        for place in 0..plan.targets.len() {
            let name = plan.targets[place].name.clone();
            let Some(one) = self.instances.get_mut(&name) else {
                plan.targets[place].stage = Stage::Done {
                    program: String::new(),
                };
                continue;
            };
            let (up, program) = (one.state.is_up(), one.program.clone());
            match plan.targets[place].stage {
                Stage::Todo if plan.state == PlanState::Paused => {}
                Stage::Todo if out < plan.at_once as usize || one.told => {
                    one.down = true;
                    self.changed = true;
                    if up {
                        out += 1;
                        self.tell_to_leave(now, &name, within);
                        plan.targets[place].stage = Stage::Under { program };
                        waits.push(name);
                    } else {
                        plan.targets[place].stage = Stage::Done { program };
                    }
                }
                Stage::Todo => waits.push(name),
                Stage::Under { .. } if !up => plan.targets[place].stage = Stage::Done { program },
                Stage::Under { .. } => waits.push(name),
                _ => {}
            }
        }
        finish(plan, &waits, "to leave");
    }

    fn advance_rolling(&mut self, now: f64, plan: &mut Plan) {
        let looked = self.wanted.change.looked_ms as f64 / 1e3;
        let program = match &plan.kind {
            Kind::Upgrade { program } => Some(program.clone()),
            _ => None,
        };
        let going_back = matches!(plan.state, PlanState::GoingBack(_));
        let mut waits = Vec::new();
        // What is under way comes to its end, whatever the plan's state.
        for place in 0..plan.targets.len() {
            let name = plan.targets[place].name.clone();
            let Some(one) = self.instances.get(&name) else {
                plan.targets[place].stage = Stage::Left("it is not there any more".into());
                continue;
            };
            let (serves, before) = (one.state == State::Serving, plan.targets[place].before);
            match plan.targets[place].stage.clone() {
                // An upgrade that an earlier agent has asked for may have come to nothing.
                Stage::Under { .. } if serves && !one.runs_its_program() => {
                    plan.targets[place].stage = Stage::Todo
                }
                Stage::Under { program } if serves => {
                    plan.targets[place].stage = Stage::Looking { program, from: now };
                    waits.push(name);
                }
                Stage::Under { .. } => waits.push(name),
                Stage::Looking { program, from } if now >= from + looked => {
                    let (sent, served) = one.served(from, now);
                    let share = served as f64 / sent.max(1) as f64;
                    let worse = before
                        .filter(|_| sent >= TOLD_FROM)
                        .map(|before| (before, before - share));
                    match worse {
                        Some((before, worse))
                            if worse > self.wanted.change.worse && !going_back =>
                        {
                            let text = format!(
                                "{name} serves {share:.3} of what it is sent, {before:.3} before"
                            );
                            plan.targets[place].stage = Stage::Done { program };
                            plan.state = PlanState::GoingBack(text);
                        }
                        _ => plan.targets[place].stage = Stage::Done { program },
                    }
                }
                Stage::Looking { .. } => waits.push(name),
                Stage::Back if serves => plan.targets[place].stage = Stage::Left("put back".into()),
                Stage::Back => waits.push(name),
                _ => {}
            }
        }
        let why_back = match &plan.state {
            PlanState::GoingBack(why) => Some(why.clone()),
            PlanState::Paused => return,
            _ => None,
        };
        let mut out = match &why_back {
            // What failed on its way counts for nothing here: it is to be put back itself.
            Some(_) => plan
                .targets
                .iter()
                .filter(|target| target.stage == Stage::Back)
                .count(),
            None => plan.out(),
        };
        for place in 0..plan.targets.len() {
            if out >= plan.at_once as usize {
                break;
            }
            let name = plan.targets[place].name.clone();
            let to = match (&plan.targets[place].stage, &why_back) {
                (Stage::Todo, None) => program.clone(),
                // Put back, the last one first would be as good; none is left behind.
                (
                    Stage::Done { program }
                    | Stage::Looking { program, .. }
                    | Stage::Under { program },
                    Some(_),
                ) if matches!(plan.kind, Kind::Upgrade { .. }) => Some(program.clone()),
                (Stage::Todo, Some(_)) => {
                    plan.targets[place].stage = Stage::Left("not begun".into());
                    continue;
                }
                _ => continue,
            };
            let back = why_back.is_some();
            match self.change_one(now, &name, to, plan, place, back) {
                Ok(true) => {
                    out += 1;
                    waits.push(name);
                }
                Ok(false) => {}
                Err(why) => {
                    // What nobody's return can change is not waited for.
                    let never = waits.is_empty() && why.ends_with(NOBODY_DOWN);
                    if !back {
                        plan.state = if never {
                            PlanState::Stopped(why)
                        } else {
                            PlanState::Waiting(why)
                        };
                    }
                    return;
                }
            }
        }
        match why_back {
            Some(why) if waits.is_empty() => plan.state = PlanState::Stopped(why),
            Some(_) => {}
            None => finish(plan, &waits, "to serve as before"),
        }
    }

    /// Begins the change of one target, or its way back; whether it is out now.
    fn change_one(
        &mut self,
        now: f64,
        name: &str,
        to: Option<String>,
        plan: &mut Plan,
        place: usize,
        back: bool,
    ) -> Result<bool, String> {
        let looked = self.wanted.change.looked_ms as f64 / 1e3;
        let Some(state) = self.instances.get(name).map(|one| one.state) else {
            return Ok(false);
        };
        let upgrade = to.is_some();
        let cold = state == State::Warming && !back;
        if cold
            || matches!(
                state,
                State::Starting | State::Adopted | State::Upgrading | State::Lost
            )
        {
            return if back {
                Ok(true)
            } else {
                Err(format!("{name} is {}", state.name()))
            };
        }
        if state.serves() && !upgrade {
            self.may_take_out(now, name)?;
        }
        let Some(one) = self.instances.get_mut(name) else {
            return Ok(false);
        };
        let before = one.program.clone();
        if to.as_ref() == Some(&before) && one.runs_its_program() && !back {
            plan.targets[place].stage = Stage::Left("it runs this program already".into());
            return Ok(false);
        }
        let (sent, served) = one.served(now - looked.max(1.0), now);
        plan.targets[place].before = (sent >= TOLD_FROM).then(|| served as f64 / sent as f64);
        self.changed = true;
        if !state.is_up() || state.leaves() {
            // Whenever it starts, it runs that program.
            one.program = to.unwrap_or(before);
            plan.targets[place].stage = if back {
                Stage::Left("put back".into())
            } else {
                Stage::Left(format!("it is {}", state.name()))
            };
            return Ok(false);
        }
        plan.targets[place].stage = if back {
            Stage::Back
        } else {
            Stage::Under { program: before }
        };
        match to {
            Some(program) => {
                one.program = program.clone();
                one.turn(now, State::Upgrading);
                one.asked_upgrade = true;
                self.steps.push_back(Action::Upgrade {
                    name: name.to_owned(),
                    program,
                });
            }
            None => self.tell_to_leave(now, name, None),
        }
        Ok(true)
    }
}

/// What a plan waits for, or that it is done.
fn finish(plan: &mut Plan, waits: &[String], what: &str) {
    if matches!(plan.state, PlanState::Paused | PlanState::GoingBack(_)) {
        return;
    }
    let todo = plan
        .targets
        .iter()
        .any(|target| target.stage == Stage::Todo);
    plan.state = if waits.is_empty() && !todo {
        PlanState::Done
    } else {
        let few: Vec<&str> = waits.iter().take(3).map(String::as_str).collect();
        let more = if waits.len() > few.len() {
            format!(" and {} more", waits.len() - few.len())
        } else {
            String::new()
        };
        PlanState::Waiting(format!("for {}{more} {what}", few.join(", ")))
    };
}
