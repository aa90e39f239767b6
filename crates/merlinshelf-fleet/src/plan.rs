//! One change of several instances: what is done to each, in which order, and how far it has come. What a plan does next is
//! decided by the fleet, which knows the instances.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Bring up what is down.
    Start,
    /// Tell to leave and keep down; by `within` seconds, where that is named, what is left is killed.
    Drain { within: Option<f64> },
    /// Drain and start, some at a time.
    Restart,
    /// Replace the program under load, some at a time; where that can't be had, drain and start.
    Upgrade { program: String },
}

impl Kind {
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Start => "start",
            Kind::Drain { within: None } => "drain",
            Kind::Drain { within: Some(_) } => "stop",
            Kind::Restart => "restart",
            Kind::Upgrade { .. } => "upgrade",
        }
    }
}

/// How far one instance has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Todo,
    /// The change is being made; `program` is the one before, to go back to.
    Under {
        program: String,
    },
    /// It is made, and service is looked at; from which moment on by the agent's clock.
    Looking {
        program: String,
        from: f64,
    },
    Done {
        program: String,
    },
    /// Its program before is being put back.
    Back,
    /// It stays as it is: why.
    Left(String),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub name: String,
    pub stage: Stage,
    /// Its served share before its change, where it served enough to tell.
    pub before: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanState {
    Running,
    /// It goes on once this is over.
    Waiting(String),
    Paused,
    /// It made service worse, and puts back what it changed: why.
    GoingBack(String),
    Done,
    /// It ended before its end: why.
    Stopped(String),
}

impl PlanState {
    pub fn is_over(&self) -> bool {
        matches!(self, PlanState::Done | PlanState::Stopped(_))
    }

    /// In one line.
    pub fn text(&self) -> String {
        match self {
            PlanState::Running => "running".into(),
            PlanState::Waiting(what) => format!("waiting: {what}"),
            PlanState::Paused => "paused".into(),
            PlanState::GoingBack(why) => format!("going back: {why}"),
            PlanState::Done => "done".into(),
            PlanState::Stopped(why) => format!("stopped: {why}"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub number: u64,
    pub kind: Kind,
    pub targets: Vec<Target>,
    pub state: PlanState,
    /// Targets that are under way at one time.
    pub at_once: u32,
}

impl Plan {
    pub fn new(number: u64, kind: Kind, names: Vec<String>, at_once: u32) -> Plan {
        let target = |name| Target {
            name,
            stage: Stage::Todo,
            before: None,
        };
        let targets = names.into_iter().map(target).collect();
        Plan {
            number,
            kind,
            targets,
            state: PlanState::Running,
            at_once: at_once.max(1),
        }
    }

    /// Targets that are out: under way, or being put back.
    pub fn out(&self) -> usize {
        let out = |target: &&Target| matches!(target.stage, Stage::Under { .. } | Stage::Back);
        self.targets.iter().filter(out).count()
    }

    /// Done and left of all.
    pub fn progress(&self) -> (usize, usize) {
        let over = |target: &&Target| matches!(target.stage, Stage::Done { .. } | Stage::Left(_));
        (self.targets.iter().filter(over).count(), self.targets.len())
    }
}
