//! All instances and the plan: everything that happens comes in here, and what is to be done goes out as steps.

use std::collections::{BTreeMap, VecDeque};

use crate::fit;
use crate::history::History;
use crate::instance::{Identity, Instance, Report, State};
use crate::plan::{Kind, Plan, PlanState, Stage};
use crate::record::{Kept, Record};
use crate::wanted::{Wanted, instance_name};

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Start its process; reported by `started` or `not_started`.
    Start {
        name: String,
        program: String,
    },
    /// Tell it to leave over its control socket, or by signal where it does not answer there.
    Drain {
        name: String,
    },
    /// Tell it by signal, one that stands still first set going again.
    Terminate {
        name: String,
    },
    Kill {
        name: String,
    },
    /// Ask it to hand over to this program; reported by `upgraded` or `not_upgraded`.
    Upgrade {
        name: String,
        program: String,
    },
}

/// Which instances are meant: all where nothing is named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    pub names: Vec<String>,
    pub groups: Vec<String>,
    pub labels: Vec<(String, String)>,
}

/// What the operators ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Start,
    Drain { slowest_first: bool, at_once: Option<u32> },
    Stop { within: f64 },
    Restart,
    Upgrade { program: String },
}

/// Why something was not begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub String);

/// Samples from which a served share is told.
const TOLD_FROM: u64 = 50;
/// What an instance that never answered is given to answer first, beside the time to get warm.
const STOP_MARGIN: f64 = 2.0;
/// Why a floor can't be met though all serve.
const NOBODY_DOWN: &str = "nobody is down";
/// A kill that shows no effect is made again after so long.
const KILL_AGAIN: f64 = 1.0;
/// What capacity is weighed by: served over the last so many seconds.
const RATE_OVER: f64 = 20.0;

#[derive(Debug)]
pub struct Fleet {
    wanted: Wanted,
    instances: BTreeMap<String, Instance>,
    plan: Option<Plan>,
    plans: u64,
    counts: BTreeMap<String, u32>,
    programs: BTreeMap<String, String>,
    pub history: History,
    /// How long an instance may take from the notice to its end, seconds.
    stop_within: f64,
    steps: VecDeque<Step>,
    /// Whether what outlives the agent has changed since it was taken.
    changed: bool,
    /// The wall clock, for the history.
    unix: f64,
}

impl Fleet {
    /// A fleet as it is wanted and as an earlier agent left it. Processes that are still there come in by `found`.
    pub fn new(now: f64, unix: f64, wanted: Wanted, record: Record, stop_within: f64) -> Fleet {
        let mut fleet = Fleet {
            wanted,
            instances: BTreeMap::new(),
            plan: record.plan,
            plans: record.plans,
            counts: record.counts,
            programs: record.programs,
            history: record.history,
            stop_within,
            steps: VecDeque::new(),
            changed: true,
            unix,
        };
        fleet.make_instances(now);
        for (name, kept) in record.instances {
            let group = name.rsplit_once('.').map(|(group, _)| group.to_owned());
            let Some(number) = name.rsplit_once('.').and_then(|(_, number)| number.parse().ok()) else {
                continue;
            };
            let one = fleet.instances.entry(name.clone()).or_insert_with(|| {
                Instance::new(name, group.unwrap_or_default(), number, kept.program.clone())
            });
            (one.down, one.told) = (kept.down, kept.told);
            one.crashes.in_a_row = kept.crashes_in_a_row;
            if !kept.program.is_empty() {
                one.program = kept.program;
            }
        }
        fleet
    }

    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    pub fn wanted(&self) -> &Wanted {
        &self.wanted
    }

    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// What outlives the agent, where it has changed.
    pub fn take_record(&mut self) -> Option<Record> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let kept = |one: &Instance| Kept {
            identity: one.identity.clone(),
            program: one.program.clone(),
            down: one.down,
            told: one.told,
            crashes_in_a_row: one.crashes.in_a_row,
        };
        Some(Record {
            instances: self.instances.values().map(|one| (one.name.clone(), kept(one))).collect(),
            counts: self.counts.clone(),
            programs: self.programs.clone(),
            plan: self.plan.clone(),
            plans: self.plans,
            history: self.history.clone(),
        })
    }

    /// The wall clock goes on; for the history alone.
    pub fn at(&mut self, unix: f64) {
        self.unix = unix;
    }

    fn note(&mut self, instance: Option<&str>, text: impl Into<String>) {
        self.changed = true;
        self.history.note(self.unix, instance, text);
    }

    fn count_of(&self, group: &str) -> u32 {
        let wanted = self.wanted.groups.get(group).map_or(0, |of| of.count);
        self.counts.get(group).copied().unwrap_or(wanted)
    }

    fn make_instances(&mut self, now: f64) {
        for (name, group) in &self.wanted.groups {
            let program = group.program.to_string_lossy().into_owned();
            let program = self.programs.get(name).cloned().unwrap_or(program);
            for number in 0..self.count_of(name) {
                let own = instance_name(name, number);
                self.instances.entry(own.clone()).or_insert_with(|| {
                    let mut one = Instance::new(own, name.clone(), number, program.clone());
                    one.since = now;
                    one
                });
            }
        }
    }

    fn is_wanted(&self, one: &Instance) -> bool {
        !one.down && one.number < self.count_of(&one.group)
    }

    // What is seen.

    /// A new agent found the process of an earlier one's instance, by all that it is known by.
    pub fn found(&mut self, now: f64, name: &str, identity: Identity) {
        let Some(one) = self.instances.get_mut(name) else { return };
        let told = one.told;
        one.begin(now, identity, if told { State::Draining } else { State::Adopted });
        one.told = told;
        if told {
            one.kill_at = Some(now + self.stop_within + STOP_MARGIN);
        }
        self.note(Some(name), "adopted");
    }

    pub fn started(&mut self, now: f64, name: &str, identity: Identity) {
        let Some(one) = self.instances.get_mut(name) else { return };
        let text = format!("started as process {}", identity.pid);
        one.begin(now, identity, State::Starting);
        self.note(Some(name), text);
    }

    pub fn not_started(&mut self, now: f64, name: &str, why: &str, chance: f64) {
        let Some(one) = self.instances.get_mut(name) else { return };
        one.gone(now, State::Failed);
        one.crashes.crashed(now, 0.0, &self.wanted.restarts, chance);
        self.note(Some(name), format!("not started: {why}"));
        self.step_failed(name, &format!("{name} does not start: {why}"));
    }

    /// Its process is gone, with this status where it is known. `lost` is what it had in hand when it was last heard of.
    pub fn ended(&mut self, now: f64, name: &str, status: Option<i32>, chance: f64) {
        let Some(one) = self.instances.get_mut(name) else { return };
        if !one.state.is_up() {
            return;
        }
        let how = status
            .map_or_else(|| "by a signal or unseen".to_owned(), |status| format!("with status {status}"));
        let (state, in_hand) = (one.state, one.report.as_ref().map_or(0, |report| report.in_hand));
        let asked_for = one.told || state.leaves();
        let killed = one.killed;
        let up = now - one.up_since;
        let text = if killed {
            format!("killed; {in_hand} were in hand when it was last heard of")
        } else if asked_for {
            format!("ended {how}")
        } else {
            format!("ended by itself {how} after {up:.1} s; {in_hand} were in hand when it was last heard of")
        };
        if asked_for && !killed {
            one.gone(now, State::Absent);
            one.crashes.forgive();
        } else if asked_for && one.down {
            one.gone(now, State::Absent);
        } else {
            one.gone(now, State::Failed);
            one.crashes.crashed(now, up, &self.wanted.restarts, chance);
        }
        self.note(Some(name), text);
        if !asked_for {
            self.step_failed(name, &format!("{name} ended by itself {how}"));
        }
    }

    /// It answered.
    pub fn reported(&mut self, now: f64, name: &str, report: Report) {
        let warm = self.wanted.change.warm_ms as f64 / 1e3;
        let Some(one) = self.instances.get_mut(name) else { return };
        let own = one.identity.as_ref().is_some_and(|known| *known == report.identity);
        let successor = one.identity.as_ref().is_some_and(|known| report.predecessor == Some(known.pid));
        if !own && !successor {
            // Whoever it is, it is nobody to signal.
            if one.state != State::Lost {
                let text =
                    format!("process {} answers in its place, and is not touched", report.identity.pid);
                one.turn(now, State::Lost);
                self.note(Some(name), text);
            }
            return;
        }
        let (pid, was) = (report.identity.pid, one.state);
        let (says, changed) = (report.state.clone(), !own);
        one.hear(now, report);
        let is_warm = one.is_warm(now, warm);
        let state = match (was, says.as_str()) {
            (State::Stopping, _) => State::Stopping,
            // By whomever it was told.
            (_, "leaving") => State::Draining,
            (State::Draining, _) if one.told => State::Draining,
            (State::Upgrading, _) if one.asked_upgrade => State::Upgrading,
            // By whomever it was begun: by an earlier agent, or by hand.
            (_, "starting" | "readying" | "freezing" | "passing" | "taking" | "watching" | "watched") => {
                State::Upgrading
            }
            (State::Absent | State::Failed, _) => was,
            _ if is_warm => State::Serving,
            // One that serves and whose health fails for a moment still does.
            (State::Serving, _) if one.report.as_ref().is_some_and(|of| of.healthy != Some(true)) => {
                State::Warming
            }
            (State::Serving, _) => State::Serving,
            _ => State::Warming,
        };
        if state == State::Draining && !one.told {
            (one.told, one.kill_at) = (true, Some(now + self.stop_within + STOP_MARGIN));
        }
        one.turn(now, state);
        if changed {
            self.note(Some(name), format!("process {pid} has taken over"));
        }
        if was != state && matches!(state, State::Serving | State::Draining) {
            self.note(Some(name), format!("is {}", state.name()));
        }
    }

    /// It has handed over to the program that was asked for.
    pub fn upgraded(&mut self, now: f64, name: &str) {
        let Some(one) = self.instances.get_mut(name) else { return };
        one.asked_upgrade = false;
        if one.state == State::Upgrading {
            one.turn(now, State::Warming);
            one.healthy_since = None;
        }
        self.note(Some(name), "upgraded");
    }

    /// It has not, and serves on as before.
    pub fn not_upgraded(&mut self, now: f64, name: &str, why: &str) {
        let Some(one) = self.instances.get_mut(name) else { return };
        one.asked_upgrade = false;
        if one.state == State::Upgrading {
            one.turn(now, State::Warming);
        }
        self.note(Some(name), format!("not upgraded: {why}"));
        let before = self.plan.as_ref().and_then(|plan| {
            let target = plan.targets.iter().find(|target| target.name == name)?;
            match &target.stage {
                Stage::Under { program } => Some(program.clone()),
                _ => None,
            }
        });
        if let (Some(before), Some(one)) = (before, self.instances.get_mut(name)) {
            one.program = before;
        }
        self.step_failed(name, &format!("{name} was not upgraded: {why}"));
    }

    /// A target's change has failed by what happened to it: no further one is made, and where service was changed already, it is
    /// put back.
    fn step_failed(&mut self, name: &str, why: &str) {
        let Some(plan) = &mut self.plan else { return };
        if plan.state.is_over() || !matches!(plan.kind, Kind::Restart | Kind::Upgrade { .. }) {
            return;
        }
        let Some(target) = plan.targets.iter_mut().find(|target| target.name == name) else { return };
        let upgrade = matches!(plan.kind, Kind::Upgrade { .. });
        // One that was done with crashes after a while: for as long as others are to follow that is the plan's, too.
        let hit = match target.stage {
            Stage::Under { .. } | Stage::Looking { .. } | Stage::Back => true,
            Stage::Done { .. } => upgrade,
            _ => false,
        };
        if !hit {
            return;
        }
        let down = self.instances.get(name).is_some_and(|one| !one.state.is_up());
        let before = match &target.stage {
            Stage::Under { program } | Stage::Looking { program, .. } | Stage::Done { program } => {
                Some(program.clone())
            }
            _ => None,
        };
        if down && upgrade {
            // Its next start is of the program before.
            if let (Some(before), Some(one)) = (before, self.instances.get_mut(name)) {
                one.program = before;
            }
        }
        if down || why.contains("not upgraded") {
            target.stage = Stage::Left(why.to_owned());
        }
        if !upgrade {
            plan.state = PlanState::Stopped(why.to_owned());
        } else if !matches!(plan.state, PlanState::GoingBack(_)) {
            plan.state = PlanState::GoingBack(why.to_owned());
        }
        self.changed = true;
    }

    // What the operators ask for.

    /// The instances that are meant, in order.
    ///
    /// # Errors
    /// Names, groups or labels that nobody has.
    pub fn select(&self, selector: &Selector) -> Result<Vec<String>, Refusal> {
        let Selector { names, groups, labels } = selector;
        if let Some(name) = names.iter().find(|name| !self.instances.contains_key(*name)) {
            return Err(Refusal(format!("there is no instance {name}")));
        }
        if let Some(group) = groups.iter().find(|group| !self.wanted.groups.contains_key(*group)) {
            return Err(Refusal(format!("there is no group {group}")));
        }
        let labelled = |one: &Instance| {
            let of = self.wanted.groups.get(&one.group).map(|group| &group.labels);
            labels.iter().all(|(key, value)| of.is_some_and(|of| of.get(key) == Some(value)))
        };
        let meant = |one: &&Instance| {
            (names.is_empty() || names.contains(&one.name))
                && (groups.is_empty() || groups.contains(&one.group))
                && labelled(one)
        };
        let mut all: Vec<&Instance> = self.instances.values().filter(meant).collect();
        all.sort_by_key(|one| (one.group.clone(), one.number));
        if all.is_empty() {
            return Err(Refusal("no instance is meant by this".into()));
        }
        Ok(all.into_iter().map(|one| one.name.clone()).collect())
    }

    /// The plan that a command would be, without beginning it.
    ///
    /// # Errors
    /// Why it can't be begun.
    pub fn plan_for(&self, selector: &Selector, command: &Command) -> Result<Plan, Refusal> {
        if let Some(plan) = self.plan.as_ref().filter(|plan| !plan.state.is_over()) {
            let (done, all) = plan.progress();
            let kind = plan.kind.name();
            return Err(Refusal(format!("plan {} ({kind}, {done} of {all}) is under way", plan.number)));
        }
        let mut names = self.select(selector)?;
        let count = names.len() as u32;
        let (kind, at_once) = match command {
            Command::Start => (Kind::Start, count),
            Command::Drain { slowest_first, at_once } => {
                if *slowest_first {
                    let slow = |name: &String| {
                        let report = self.instances.get(name).and_then(|one| one.report.as_ref());
                        report.and_then(|report| report.run_ms).unwrap_or(0.0)
                    };
                    names.sort_by(|a, b| slow(b).total_cmp(&slow(a)));
                }
                (Kind::Drain { within: None }, at_once.unwrap_or(count))
            }
            Command::Stop { within } => (Kind::Drain { within: Some(*within) }, count),
            Command::Restart => (Kind::Restart, self.wanted.change.out_at_once),
            Command::Upgrade { program } => {
                (Kind::Upgrade { program: program.clone() }, self.wanted.change.out_at_once)
            }
        };
        Ok(Plan::new(self.plans + 1, kind, names, at_once))
    }

    /// Begins a plan; its number.
    ///
    /// # Errors
    /// Why it can't be begun.
    pub fn command(&mut self, now: f64, selector: &Selector, command: &Command) -> Result<u64, Refusal> {
        let plan = self.plan_for(selector, command)?;
        let number = plan.number;
        self.plans = number;
        self.note(None, format!("plan {number}: {} of {} instances", plan.kind.name(), plan.targets.len()));
        self.plan = Some(plan);
        self.advance(now);
        Ok(number)
    }

    /// # Errors
    /// There is no plan that could be paused.
    pub fn pause(&mut self) -> Result<(), Refusal> {
        match &mut self.plan {
            Some(plan) if matches!(plan.state, PlanState::Running | PlanState::Waiting(_)) => {
                plan.state = PlanState::Paused;
                self.note(None, "the plan is paused");
                Ok(())
            }
            _ => Err(Refusal("no plan is running".into())),
        }
    }

    /// # Errors
    /// No plan is paused.
    pub fn resume(&mut self, now: f64) -> Result<(), Refusal> {
        match &mut self.plan {
            Some(plan) if plan.state == PlanState::Paused => {
                plan.state = PlanState::Running;
                self.note(None, "the plan goes on");
                self.advance(now);
                Ok(())
            }
            _ => Err(Refusal("no plan is paused".into())),
        }
    }

    /// Ends the plan where it stands: what is under way comes to its end, nothing further begins.
    ///
    /// # Errors
    /// There is no plan.
    pub fn abandon(&mut self) -> Result<(), Refusal> {
        match &mut self.plan {
            Some(plan) if !plan.state.is_over() => {
                plan.state = PlanState::Stopped("abandoned".into());
                self.note(None, "the plan is abandoned");
                Ok(())
            }
            _ => Err(Refusal("there is no plan under way".into())),
        }
    }

    /// Another count of a group: what is too many drains, what is too few starts.
    ///
    /// # Errors
    /// No such group, or no room for so many.
    pub fn scale(&mut self, now: f64, group: &str, count: u32) -> Result<(), Refusal> {
        let mut wanted = self.wanted.clone();
        let Some(of) = wanted.groups.get_mut(group) else {
            return Err(Refusal(format!("there is no group {group}")));
        };
        of.count = count;
        for (name, count) in &self.counts {
            if let Some(of) = wanted.groups.get_mut(name).filter(|_| name != group) {
                of.count = *count;
            }
        }
        fit::check(&wanted).map_err(|misfit| Refusal(misfit.to_string()))?;
        self.counts.insert(group.to_owned(), count);
        self.note(None, format!("{group} is to have {count}"));
        self.make_instances(now);
        Ok(())
    }

    /// Another file. What changed in it counts from here on; running plans go on by it.
    ///
    /// # Errors
    /// It does not fit.
    pub fn apply(&mut self, now: f64, wanted: Wanted) -> Result<(), Refusal> {
        fit::check(&wanted).map_err(|misfit| Refusal(misfit.to_string()))?;
        self.counts.clear();
        self.programs.clear();
        self.wanted = wanted;
        self.note(None, "another file counts");
        self.make_instances(now);
        for one in self.instances.values_mut().filter(|one| !one.state.is_up()) {
            if let Some(group) = self.wanted.groups.get(&one.group) {
                one.program = group.program.to_string_lossy().into_owned();
            }
        }
        Ok(())
    }

    // What is done.

    /// Time goes on.
    pub fn woken(&mut self, now: f64) {
        self.look_after(now);
        self.advance(now);
        self.start_wanted(now);
    }

    /// Hangs, those that never answer, and those whose time is over.
    fn look_after(&mut self, now: f64) {
        let (hangs, warm_within) =
            (self.wanted.restarts.hangs_ms as f64 / 1e3, self.wanted.change.warm_within_ms as f64 / 1e3);
        let stop_within = self.stop_within + STOP_MARGIN;
        let mut notes = Vec::new();
        // A target that does not get warm is a step that has failed; others may be cold for reasons of their engine's.
        let cold = |one: &&Instance| one.state == State::Warming && now - one.since > warm_within;
        let cold: Vec<String> = self.instances.values().filter(cold).map(|one| one.name.clone()).collect();
        for name in cold {
            self.step_failed(&name, &format!("{name} does not get warm within {warm_within:.1} s"));
        }
        for one in self.instances.values_mut() {
            let silent = now - one.heard;
            let name = one.name.clone();
            match one.state {
                State::Starting | State::Adopted if now - one.since > warm_within.max(hangs) => {
                    notes.push((name.clone(), format!("has not answered within {:.1} s", now - one.since)));
                    one.turn(now, State::Lost);
                    one.kill_at = Some(now + stop_within);
                    self.steps.push_back(Step::Terminate { name });
                }
                // One that hands over is silent for a moment, far shorter than a hang.
                State::Warming | State::Serving | State::Upgrading if silent > hangs => {
                    notes.push((name.clone(), format!("hangs: no answer for {silent:.1} s")));
                    one.turn(now, State::Lost);
                    one.kill_at = Some(now + stop_within);
                    self.steps.push_back(Step::Terminate { name });
                }
                _ => {}
            }
            if one.kill_at.is_some_and(|at| now >= at) && one.state.is_up() {
                if !std::mem::replace(&mut one.killed, true) {
                    notes.push((one.name.clone(), "its time is over: it is killed".into()));
                }
                one.kill_at = Some(now + KILL_AGAIN);
                self.steps.push_back(Step::Kill { name: one.name.clone() });
            }
        }
        let named = !notes.is_empty();
        for (name, text) in notes {
            self.note(Some(&name), text);
        }
        if named {
            self.changed = true;
        }
    }

    /// Starts what is wanted and down, a few at a time, and drains what is not wanted any more.
    fn start_wanted(&mut self, now: f64) {
        let under_way = |one: &&Instance| matches!(one.state, State::Starting);
        let mut room = (self.wanted.restarts.at_once as usize)
            .saturating_sub(self.instances.values().filter(under_way).count());
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for name in names {
            let Some(one) = self.instances.get(&name) else { continue };
            let wanted = self.is_wanted(one);
            match one.state {
                State::Absent | State::Failed if wanted && room > 0 && one.crashes.may_start(now) => {
                    room -= 1;
                    let program = one.program.clone();
                    if let Some(one) = self.instances.get_mut(&name) {
                        one.turn(now, State::Starting);
                        one.heard = now;
                    }
                    self.changed = true;
                    self.steps.push_back(Step::Start { name, program });
                }
                State::Warming | State::Serving if one.number >= self.count_of(&one.group) && !one.told => {
                    self.tell_to_leave(now, &name, None);
                }
                _ => {}
            }
        }
        // Who is neither wanted nor there is forgotten.
        let gone: Vec<String> = self
            .instances
            .values()
            .filter(|one| !one.state.is_up() && one.number >= self.count_of(&one.group))
            .map(|one| one.name.clone())
            .collect();
        for name in gone {
            self.instances.remove(&name);
            self.changed = true;
        }
    }

    /// Once, however often it is asked for: a second notice might shorten its time.
    fn tell_to_leave(&mut self, now: f64, name: &str, within: Option<f64>) {
        let stop_within = self.stop_within + STOP_MARGIN;
        let Some(one) = self.instances.get_mut(name) else { return };
        if !one.state.is_up() {
            return;
        }
        let until = now + within.unwrap_or(stop_within);
        let told = std::mem::replace(&mut one.told, true);
        // A limit that was named counts; a later one than is set already does not.
        one.kill_at = Some(one.kill_at.map_or(until, |at| if within.is_some() { at.min(until) } else { at }));
        let state = if within.is_some() { State::Stopping } else { State::Draining };
        if one.state != State::Lost {
            one.turn(now, state);
        }
        self.changed = true;
        if !told {
            self.steps.push_back(Step::Drain { name: name.to_owned() });
            self.note(Some(name), "told to leave");
        }
    }

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
    fn weight(&self, now: f64, one: &Instance) -> f64 {
        let by_file = |one: &Instance| self.wanted.groups.get(&one.group).map_or(1.0, |group| group.weight);
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
        if like.is_empty() { by_file(one) } else { like.iter().sum::<f64>() / like.len() as f64 }
    }

    /// Whether one more may be out by a change; else what is waited for.
    fn may_take_out(&self, now: f64, name: &str) -> Result<(), String> {
        let Some(one) = self.instances.get(name) else { return Ok(()) };
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
        let down = if down.is_empty() { NOBODY_DOWN.into() } else { format!("down: {}", down.join(", ")) };
        Err(format!(
            "without {name} {:.0}% of all capacity would serve, under the floor of {:.0}%; {down}",
            100.0 * left / whole.max(1e-9),
            100.0 * floor
        ))
    }

    fn advance(&mut self, now: f64) {
        let Some(mut plan) = self.plan.take() else { return };
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
                    target.stage = Stage::Under { program: one.program.clone() };
                    self.changed = true;
                    waits.push(target.name.clone());
                }
                Stage::Under { .. } if one.state == State::Serving => {
                    target.stage = Stage::Done { program: one.program.clone() };
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
                plan.targets[place].stage = Stage::Done { program: String::new() };
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
                    let worse = before.filter(|_| sent >= TOLD_FROM).map(|before| (before, before - share));
                    match worse {
                        Some((before, worse)) if worse > self.wanted.change.worse && !going_back => {
                            let text =
                                format!("{name} serves {share:.3} of what it is sent, {before:.3} before");
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
            Some(_) => plan.targets.iter().filter(|target| target.stage == Stage::Back).count(),
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
                    Stage::Done { program } | Stage::Looking { program, .. } | Stage::Under { program },
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
                        plan.state = if never { PlanState::Stopped(why) } else { PlanState::Waiting(why) };
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
        let Some(state) = self.instances.get(name).map(|one| one.state) else { return Ok(false) };
        let upgrade = to.is_some();
        let cold = state == State::Warming && !back;
        if cold || matches!(state, State::Starting | State::Adopted | State::Upgrading | State::Lost) {
            return if back { Ok(true) } else { Err(format!("{name} is {}", state.name())) };
        }
        if state.serves() && !upgrade {
            self.may_take_out(now, name)?;
        }
        let Some(one) = self.instances.get_mut(name) else { return Ok(false) };
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
        plan.targets[place].stage = if back { Stage::Back } else { Stage::Under { program: before } };
        match to {
            Some(program) => {
                one.program = program.clone();
                one.turn(now, State::Upgrading);
                one.asked_upgrade = true;
                self.steps.push_back(Step::Upgrade { name: name.to_owned(), program });
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
    let todo = plan.targets.iter().any(|target| target.stage == Stage::Todo);
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
