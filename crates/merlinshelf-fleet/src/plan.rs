//! A plan: one change of several instances, a limited number at a time. [`Fleet`](crate::Fleet)
//! executes it. Plans are part of the stored record: serialized names must not change.

use serde::{Deserialize, Serialize};

/// What a plan does to each of its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanKind {
    /// Start instances that are down.
    Start,
    /// Shut down gracefully without a restart.
    Drain {
        /// Time after which a process is killed, in seconds.
        #[serde(rename = "within")]
        timeout_seconds: Option<f64>,
    },
    /// Shut down gracefully and start again, a limited number at a time.
    Restart,
    /// Hand over to another program while serving, a limited number at a time.
    Upgrade {
        /// Path of the program.
        program: String,
    },
}

impl PlanKind {
    /// The name of the kind in replies.
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

    /// Whether targets are changed a limited number at a time while the others serve.
    pub fn is_rolling(&self) -> bool {
        matches!(self, PlanKind::Restart | PlanKind::Upgrade { .. })
    }

    /// Whether targets are changed to another program.
    pub fn is_upgrade(&self) -> bool {
        matches!(self, PlanKind::Upgrade { .. })
    }
}

/// Progress of the change of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// The change has not begun.
    #[serde(rename = "todo")]
    Pending,
    /// The change is in progress.
    #[serde(rename = "under")]
    InProgress {
        /// The program before, for a rollback.
        program: String,
    },
    /// The change was made, and the target's success ratio is being observed.
    #[serde(rename = "looking")]
    Observing {
        /// The program before, for a rollback.
        program: String,
        /// When the observation began.
        #[serde(rename = "from")]
        started_at: f64,
    },
    /// The change was made.
    Done {
        /// The program before, for a rollback.
        program: String,
    },
    /// The former program is being restored.
    #[serde(rename = "back")]
    RollingBack,
    /// The target is not changed, for this reason.
    #[serde(rename = "left")]
    Skipped(String),
}

/// One instance that a plan changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the instance.
    pub name: String,
    /// Progress of its change.
    pub stage: Stage,
    /// Fraction of invocations that succeeded before the change, if there were enough invocations.
    #[serde(rename = "before")]
    pub success_ratio_before: Option<f64>,
}

/// The state of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanState {
    /// It has just started or was resumed.
    Running,
    /// It continues once this condition holds.
    Waiting(String),
    /// The operators have paused it.
    Paused,
    /// A change failed or made service worse, for this reason, and the former programs are being
    /// restored.
    #[serde(rename = "goingback")]
    RollingBack(String),
    /// All targets are done or skipped.
    Done,
    /// It ended early, for this reason.
    Stopped(String),
}

impl PlanState {
    /// Whether the plan has ended.
    pub fn is_over(&self) -> bool {
        matches!(self, PlanState::Done | PlanState::Stopped(_))
    }

    /// The state in replies, as one line of text.
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

/// The number of a plan's completed targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanProgress {
    /// Number of targets that are done or skipped.
    pub done: usize,
    /// Number of all targets.
    pub total: usize,
}

/// One change of several instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Number of the plan in this fleet, counted from 1.
    pub number: u64,
    /// What the plan does.
    pub kind: PlanKind,
    /// The instances, in the order of their changes.
    pub targets: Vec<Target>,
    /// Its state.
    pub state: PlanState,
    /// Maximum number of targets that are changed concurrently.
    #[serde(rename = "at_once")]
    pub max_in_progress: u32,
}

impl Plan {
    /// Creates a running plan with all targets pending.
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

    /// Number of targets that are being changed or rolled back.
    pub fn in_progress_count(&self) -> usize {
        let is_in_progress = |target: &&Target| {
            matches!(target.stage, Stage::InProgress { .. } | Stage::RollingBack)
        };
        self.targets.iter().filter(is_in_progress).count()
    }

    /// Number of completed targets.
    pub fn progress(&self) -> PlanProgress {
        let is_over =
            |target: &&Target| matches!(target.stage, Stage::Done { .. } | Stage::Skipped(_));
        PlanProgress {
            done: self.targets.iter().filter(is_over).count(),
            total: self.targets.len(),
        }
    }
}
