//! The interface of the decision module: plain types and no decisions.
//!
//! A host makes one [`AdmissionController`] per backend process and tells it, with the clock in seconds, what
//! has happened; each call returns a [`Decisions`], which the host carries out field by field in the
//! order in which the fields stand here. Invocations go by small numbers that the host hands out
//! and may hand out again once they are `released`.

mod controller;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

pub use controller::AdmissionController;

/// The settings as they were handed over at the start: names and values, unread.
pub type Settings = BTreeMap<String, String>;

/// What is known of an invocation when it has been read. Times are seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Invocation {
    pub operation: usize,
    pub customer: usize,
    pub caller: u64,
    /// How long its caller still waits, where that is passed on.
    #[serde(rename = "budget")]
    pub caller_timeout: Option<f64>,
    /// How long ago it reached the machine.
    pub age: f64,
    /// Expected work in seconds of a standard core, where a hint is given.
    #[serde(rename = "cost")]
    pub cost_hint: Option<f64>,
    #[serde(rename = "held_kb")]
    pub held_kilobytes: f64,
    /// Its place among all invocations, 0 the least worth.
    pub rank: f64,
    /// A further try or a second copy, as far as callers mark them.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Whether it has a subject by which reads can be joined.
    pub has_subject: bool,
    /// It repeats an invocation that this backend keeps or has run.
    #[serde(rename = "repeats")]
    pub is_repeat: bool,
    /// Which one, while the host still knows its number.
    #[serde(rename = "earlier")]
    pub original: Option<usize>,
}

/// How a run or a call has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub succeeded: bool,
    /// Proof that nothing was run.
    pub never_ran: bool,
    /// Stopped on request.
    pub stopped: bool,
}

/// What to do now. Numbers are those of invocations, times are seconds from now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Turned away unrun: number, advised time to stay away, and the wish not to try elsewhere.
    pub rejected: Vec<(usize, f64, bool)>,
    pub failed: Vec<usize>,
    /// Running work to stop.
    pub stopped: Vec<usize>,
    /// Kept in the table of repeats for that long.
    pub cached: Vec<(usize, f64)>,
    pub evicted: Vec<usize>,
    /// Answered with the result of the invocation they repeat.
    pub joined: Vec<usize>,
    pub started: Vec<usize>,
    /// Calls below, each with its time-out.
    pub called: Vec<(usize, f64)>,
    /// Calls left out.
    pub degraded: Vec<usize>,
    /// Health good or not, always answered from store.
    pub health: Option<bool>,
    /// The free value that goes out with answers.
    pub level: Option<f64>,
    /// Idle time after which connections are closed.
    pub idle_timeout: Option<f64>,
    /// When to wake the instance, and the handle to wake it with.
    pub timers: Vec<(f64, u64)>,
    /// A line for the operators.
    pub notes: Vec<String>,
    /// Numbers that the module has done with.
    pub released: Vec<usize>,
}

/// How far an invocation has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    #[default]
    Read,
    #[serde(rename = "Held")]
    Queued,
    Running,
    AtCall,
    Calling,
    Joined,
}

/// All that the module holds of one invocation. It is plain so that a host can pass it on to a successor
/// (see [`AdmissionController::invocation`] and [`AdmissionController::carry_on`]). Times are seconds of the module's clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct InvocationState {
    #[serde(rename = "told")]
    pub request: Invocation,
    #[serde(rename = "arrived")]
    pub arrived_at: f64,
    #[serde(rename = "due")]
    pub due_at: f64,
    /// When its answer still makes the latency objective.
    #[serde(rename = "by")]
    pub objective_deadline: f64,
    pub stage: Stage,
    #[serde(rename = "since")]
    pub stage_entered_at: f64,
    #[serde(rename = "began")]
    pub started_at: f64,
    /// Time since `began` that was not spent on the cores.
    #[serde(rename = "away")]
    pub off_core_seconds: f64,
    #[serde(rename = "answered")]
    pub is_answered: bool,
    #[serde(rename = "stopping")]
    pub is_stopping: bool,
    #[serde(rename = "ran")]
    pub has_run: bool,
    #[serde(rename = "entry")]
    pub has_table_entry: bool,
    #[serde(rename = "over_share")]
    pub exceeds_quota: bool,
    pub calls: u32,
    /// A call of it may have taken effect.
    #[serde(rename = "unsure")]
    pub has_uncertain_call: bool,
}

/// What was learnt of one operation: the last few samples, the oldest first. Times are seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedOperation {
    /// Durations of runs without calls.
    #[serde(rename = "runs")]
    pub run_durations: VecDeque<f64>,
    /// Hinted costs of those runs, 1 where there are no hints.
    #[serde(rename = "costs")]
    pub run_costs: VecDeque<f64>,
    /// Time at calls and waiting for them, by run.
    #[serde(rename = "below")]
    pub downstream_durations: VecDeque<f64>,
    #[serde(rename = "lowest")]
    pub lowest_duration: f64,
    #[serde(rename = "until_probe")]
    pub finishes_until_probe: f64,
}

/// What an instance has learnt of the engine, of calls below and of its callers, in a form that another one can take
/// up. Times are seconds of the module's clock, durations seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedState {
    /// When the engine was started.
    pub born: f64,
    /// When the grace ends and when the process must be gone, once it leaves.
    pub leave_at: Option<(f64, f64)>,
    /// By operation, in the order of the settings.
    pub operations: Vec<LearnedOperation>,
    pub limit: f64,
    pub busy: f64,
    pub busy_at: f64,
    pub others: VecDeque<f64>,
    pub progress: f64,
    /// Start and end of the last calls below, of abandoned ones with their stay.
    pub calls: VecDeque<(f64, f64)>,
    pub call_times: VecDeque<f64>,
    pub call_lowest: f64,
    pub call_probe: u32,
    pub call_limit: f64,
    pub call_failures: u32,
    pub call_failed_at: f64,
    pub arrivals: BTreeMap<usize, VecDeque<f64>>,
    pub callers: BTreeMap<u64, f64>,
    pub gaps: VecDeque<f64>,
    pub agains: VecDeque<f64>,
}

/// A figure on the word of others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PriorEstimate {
    pub value: f64,
    /// How sure it is, 0 to 1.
    pub weight: f64,
}

/// What is believed of the servers behind and of callers on the word of others, where one's own samples are missing or
/// few. Durations are seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorEstimates {
    /// By operation: how long its runs take lately, by unit of cost.
    pub run_durations: Vec<Option<PriorEstimate>>,
    /// By operation: how long they take at the least, by unit of cost.
    pub lowest_durations: Vec<Option<PriorEstimate>>,
    /// By operation: how long its runs spend at calls.
    pub downstream_durations: Vec<Option<PriorEstimate>>,
    /// The limit of invocations in hand.
    pub concurrency_limit: Option<PriorEstimate>,
    pub call_lowest: Option<PriorEstimate>,
    pub call_limit: Option<PriorEstimate>,
    /// Calls that failed in a row.
    pub call_failures: Option<PriorEstimate>,
    /// Share of the arrivals that are further tries, 0 to 1.
    pub retry_share: Option<PriorEstimate>,
    /// Share of the callers that come back while their connection would be kept, 0 to 1.
    pub returning_caller_share: Option<PriorEstimate>,
}

/// What a fleet's budgets leave one to spend on calls below at this moment, and how the dependency fares for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamQuota {
    /// First calls, further ones, and calls while the dependency fails.
    pub left: [u32; 3],
    /// It fails for all.
    pub closed: bool,
    /// It has come back for all, after it failed.
    pub opens: bool,
}

/// Nothing is bounded.
impl Default for DownstreamQuota {
    fn default() -> DownstreamQuota {
        DownstreamQuota {
            left: [u32::MAX; 3],
            closed: false,
            opens: false,
        }
    }
}
