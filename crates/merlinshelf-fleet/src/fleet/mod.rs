//! All instances and the plan: everything that happens comes in here, and what is to be done goes out as steps.

mod commands;
mod reconcile;
mod rollout;

use std::collections::{BTreeMap, VecDeque};

use crate::fleet_spec::{FleetSpec, instance_name};
use crate::history::History;
use crate::instance::{Identity, Instance, Report, State};
use crate::plan::{Kind, Plan, PlanState, Stage};
use crate::record::{InstanceRecord, Record};

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
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
    Drain {
        slowest_first: bool,
        at_once: Option<u32>,
    },
    Stop {
        within: f64,
    },
    Restart,
    Upgrade {
        program: String,
    },
}

/// Why something was not begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub String);

/// What an instance that never answered is given to answer first, beside the time to get warm.
const STOP_MARGIN: f64 = 2.0;

#[derive(Debug)]
pub struct Fleet {
    wanted: FleetSpec,
    instances: BTreeMap<String, Instance>,
    plan: Option<Plan>,
    plans: u64,
    counts: BTreeMap<String, u32>,
    programs: BTreeMap<String, String>,
    pub history: History,
    /// How long an instance may take from the notice to its end, seconds.
    stop_within: f64,
    steps: VecDeque<Action>,
    /// Whether what outlives the agent has changed since it was taken.
    changed: bool,
    /// The wall clock, for the history.
    unix: f64,
}

impl Fleet {
    /// A fleet as it is wanted and as an earlier agent left it. Processes that are still there come in by `found`.
    pub fn new(now: f64, unix: f64, wanted: FleetSpec, record: Record, stop_within: f64) -> Fleet {
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
            let Some(number) = name
                .rsplit_once('.')
                .and_then(|(_, number)| number.parse().ok())
            else {
                continue;
            };
            let one = fleet.instances.entry(name.clone()).or_insert_with(|| {
                Instance::new(
                    name,
                    group.unwrap_or_default(),
                    number,
                    kept.program.clone(),
                )
            });
            (one.down, one.told) = (kept.down, kept.told);
            one.crashes.in_a_row = kept.crashes_in_a_row;
            if !kept.program.is_empty() {
                one.program = kept.program;
            }
        }
        fleet
    }

    pub fn next_step(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    pub fn wanted(&self) -> &FleetSpec {
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
        let kept = |one: &Instance| InstanceRecord {
            identity: one.identity.clone(),
            program: one.program.clone(),
            down: one.down,
            told: one.told,
            crashes_in_a_row: one.crashes.in_a_row,
        };
        Some(Record {
            instances: self
                .instances
                .values()
                .map(|one| (one.name.clone(), kept(one)))
                .collect(),
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
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        let told = one.told;
        one.begin(
            now,
            identity,
            if told {
                State::Draining
            } else {
                State::Adopted
            },
        );
        one.told = told;
        if told {
            one.kill_at = Some(now + self.stop_within + STOP_MARGIN);
        }
        self.note(Some(name), "adopted");
    }

    pub fn started(&mut self, now: f64, name: &str, identity: Identity) {
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        let text = format!("started as process {}", identity.pid);
        one.begin(now, identity, State::Starting);
        self.note(Some(name), text);
    }

    pub fn not_started(&mut self, now: f64, name: &str, why: &str, chance: f64) {
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        one.gone(now, State::Failed);
        one.crashes.crashed(now, 0.0, &self.wanted.restarts, chance);
        self.note(Some(name), format!("not started: {why}"));
        self.step_failed(name, &format!("{name} does not start: {why}"));
    }

    /// Its process is gone, with this status where it is known. `lost` is what it had in hand when it was last heard of.
    pub fn ended(&mut self, now: f64, name: &str, status: Option<i32>, chance: f64) {
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        if !one.state.is_up() {
            return;
        }
        let how = status.map_or_else(
            || "by a signal or unseen".to_owned(),
            |status| format!("with status {status}"),
        );
        let (state, in_hand) = (
            one.state,
            one.report.as_ref().map_or(0, |report| report.in_hand),
        );
        let asked_for = one.told || state.leaves();
        let killed = one.killed;
        let up = now - one.up_since;
        let text = if killed {
            format!("killed; {in_hand} were in hand when it was last heard of")
        } else if asked_for {
            format!("ended {how}")
        } else {
            format!(
                "ended by itself {how} after {up:.1} s; {in_hand} were in hand when it was last heard of"
            )
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
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        let own = one
            .identity
            .as_ref()
            .is_some_and(|known| *known == report.identity);
        let successor = one
            .identity
            .as_ref()
            .is_some_and(|known| report.predecessor == Some(known.pid));
        if !own && !successor {
            // Whoever it is, it is nobody to signal.
            if one.state != State::Lost {
                let text = format!(
                    "process {} answers in its place, and is not touched",
                    report.identity.pid
                );
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
            (
                _,
                "starting" | "readying" | "freezing" | "passing" | "taking" | "watching"
                | "watched",
            ) => State::Upgrading,
            (State::Absent | State::Failed, _) => was,
            _ if is_warm => State::Serving,
            // One that serves and whose health fails for a moment still does.
            (State::Serving, _)
                if one
                    .report
                    .as_ref()
                    .is_some_and(|of| of.healthy != Some(true)) =>
            {
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
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        one.asked_upgrade = false;
        if one.state == State::Upgrading {
            one.turn(now, State::Warming);
            one.healthy_since = None;
        }
        self.note(Some(name), "upgraded");
    }

    /// It has not, and serves on as before.
    pub fn not_upgraded(&mut self, now: f64, name: &str, why: &str) {
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
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
        let Some(target) = plan.targets.iter_mut().find(|target| target.name == name) else {
            return;
        };
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
        let down = self
            .instances
            .get(name)
            .is_some_and(|one| !one.state.is_up());
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
}
