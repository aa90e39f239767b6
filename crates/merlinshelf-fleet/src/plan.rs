//! A plan: one change of several instances, some at a time. What it does next is decided by
//! [`Fleet`](crate::Fleet), which knows the instances. Plans are part of the stored record:
//! serialized names stay.

use serde::{Deserialize, Serialize};

/// What a plan does to each of its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanKind {
    /// Start what is down.
    Start,
    /// Shut down gracefully, and leave down.
    Drain {
        /// Time after which a process is killed, in seconds.
        #[serde(rename = "within")]
        timeout_seconds: Option<f64>,
    },
    /// Shut down gracefully and start, some at a time.
    Restart,
    /// Hand over to another program under load, some at a time.
    Upgrade {
        /// Path of the program.
        program: String,
    },
}

impl PlanKind {
    /// The kind as replies spell it.
    pub fn name(&self) -> &'static str {
        match self {
            PlanKind::Start => "start",
            PlanKind::Drain {
                timeout_seconds: None,
            } => "drain",
            PlanKind::Drain {
                timeout_seconds: Some(_),
            } => "stop",
            PlanKind::Restart => "restart",
            PlanKind::Upgrade { .. } => "upgrade",
        }
    }

    /// Whether targets are changed some at a time while they serve.
    pub fn is_rolling(&self) -> bool {
        matches!(self, PlanKind::Restart | PlanKind::Upgrade { .. })
    }

    /// Whether targets get another program.
    pub fn is_upgrade(&self) -> bool {
        matches!(self, PlanKind::Upgrade { .. })
    }
}

/// How far the change of one target is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// It is not begun.
    #[serde(rename = "todo")]
    Pending,
    /// It is under way.
    #[serde(rename = "under")]
    InProgress {
        /// The program before, for a rollback.
        program: String,
    },
    /// It is made, and the target's service is observed.
    #[serde(rename = "looking")]
    Observing {
        /// The program before, for a rollback.
        program: String,
        /// When the observation began.
        #[serde(rename = "from")]
        started_at: f64,
    },
    /// It is made.
    Done {
        /// The program before, for a rollback.
        program: String,
    },
    /// The program before is being restored.
    #[serde(rename = "back")]
    RollingBack,
    /// The target stays as it is, for this reason.
    #[serde(rename = "left")]
    Skipped(String),
}

/// One instance that a plan changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the instance.
    pub name: String,
    /// How far its change is.
    pub stage: Stage,
    /// Share of invocations that succeeded before the change, where there were enough to tell.
    #[serde(rename = "before")]
    pub success_ratio_before: Option<f64>,
}

/// How a plan stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanState {
    /// It was just begun or resumed.
    Running,
    /// It goes on once this is the case.
    Waiting(String),
    /// The operators have paused it.
    Paused,
    /// It made service worse, for this reason, and restores the programs before.
    #[serde(rename = "goingback")]
    RollingBack(String),
    /// All targets are done or skipped.
    Done,
    /// It ended early, for this reason.
    Stopped(String),
}

impl PlanState {
    /// Whether nothing more is done.
    pub fn is_over(&self) -> bool {
        matches!(self, PlanState::Done | PlanState::Stopped(_))
    }

    /// The state as replies spell it, in one line.
    pub fn text(&self) -> String {
        match self {
            PlanState::Running => "running".into(),
            PlanState::Waiting(condition) => format!("waiting: {condition}"),
            PlanState::Paused => "paused".into(),
            PlanState::RollingBack(reason) => format!("going back: {reason}"),
            PlanState::Done => "done".into(),
            PlanState::Stopped(reason) => format!("stopped: {reason}"),
        }
    }
}

/// How many of a plan's targets are done or skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanProgress {
    /// Targets that are done or skipped.
    pub done: usize,
    /// All targets.
    pub total: usize,
}

/// One change of several instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Counts the plans of this fleet, from 1.
    pub number: u64,
    /// What is done.
    pub kind: PlanKind,
    /// The instances, in the order of their changes.
    pub targets: Vec<Target>,
    /// How it stands.
    pub state: PlanState,
    /// Most targets that are changed at one time.
    #[serde(rename = "at_once")]
    pub max_in_progress: u32,
}

impl Plan {
    /// A plan that begins.
    pub fn new(number: u64, kind: PlanKind, names: Vec<String>, max_in_progress: u32) -> Plan {
        let pending_target = |name| Target {
            name,
            stage: Stage::Pending,
            success_ratio_before: None,
        };
        Plan {
            number,
            kind,
            targets: names.into_iter().map(pending_target).collect(),
            state: PlanState::Running,
            max_in_progress: max_in_progress.max(1),
        }
    }

    /// How many targets are being changed or rolled back.
    pub fn in_progress_count(&self) -> usize {
        let is_in_progress = |target: &&Target| {
            matches!(target.stage, Stage::InProgress { .. } | Stage::RollingBack)
        };
        self.targets.iter().filter(is_in_progress).count()
    }

    /// How many targets are done or skipped.
    pub fn progress(&self) -> PlanProgress {
        let is_over =
            |target: &&Target| matches!(target.stage, Stage::Done { .. } | Stage::Skipped(_));
        PlanProgress {
            done: self.targets.iter().filter(is_over).count(),
            total: self.targets.len(),
        }
    }
}
