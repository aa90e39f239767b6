//! The interface of the decision module: plain types and no decisions.
//!
//! A host makes one [`Shedder`] per backend process and tells it, with the clock in seconds, what
//! has happened; each call returns a [`Decided`], which the host carries out field by field in the
//! order in which the fields stand here. Invocations go by small numbers that the host hands out
//! and may hand out again once they are `released`.

mod shedder;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

pub use shedder::Shedder;

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
    pub budget: Option<f64>,
    /// How long ago it reached the machine.
    pub age: f64,
    /// Expected work in seconds of a standard core, where a hint is given.
    pub cost: Option<f64>,
    pub held_kb: f64,
    /// Its place among all invocations, 0 the least worth.
    pub rank: f64,
    /// A further try or a second copy, as far as callers mark them.
    pub again: bool,
    /// Whether it has a subject by which reads can be joined.
    pub has_subject: bool,
    /// It repeats an invocation that this backend keeps or has run.
    pub repeats: bool,
    /// Which one, while the host still knows its number.
    pub earlier: Option<usize>,
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
pub struct Decided {
    /// Turned away unrun: number, advised time to stay away, and the wish not to try elsewhere.
    pub throttled: Vec<(usize, f64, bool)>,
    pub errored: Vec<usize>,
    /// Running work to stop.
    pub stopped: Vec<usize>,
    /// Kept in the table of repeats for that long.
    pub kept: Vec<(usize, f64)>,
    pub forgotten: Vec<usize>,
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
    pub trim_after: Option<f64>,
    /// When to wake the instance, and the handle to wake it with.
    pub wake: Vec<(f64, u64)>,
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
    Held,
    Running,
    AtCall,
    Calling,
    Joined,
}

/// All that the module holds of one invocation. It is plain so that a host can pass it on to a successor
/// (see [`Shedder::invocation`] and [`Shedder::carry_on`]). Times are seconds of the module's clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Inv {
    pub told: Invocation,
    pub arrived: f64,
    pub due: f64,
    /// When its answer still makes the latency objective.
    pub by: f64,
    pub stage: Stage,
    pub since: f64,
    pub began: f64,
    /// Time since `began` that was not spent on the cores.
    pub away: f64,
    pub answered: bool,
    pub stopping: bool,
    pub ran: bool,
    pub entry: bool,
    pub over_share: bool,
    pub calls: u32,
    /// A call of it may have taken effect.
    pub unsure: bool,
}

/// What was learnt of one operation: the last few samples, the oldest first. Times are seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearntOfOperation {
    /// Durations of runs without calls.
    pub runs: VecDeque<f64>,
    /// Hinted costs of those runs, 1 where there are no hints.
    pub costs: VecDeque<f64>,
    /// Time at calls and waiting for them, by run.
    pub below: VecDeque<f64>,
    pub lowest: f64,
    pub until_probe: f64,
}

/// What an instance has learnt of the engine, of calls below and of its callers, in a form that another one can take
/// up. Times are seconds of the module's clock, durations seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Learnt {
    /// When the engine was started.
    pub born: f64,
    /// When the grace ends and when the process must be gone, once it leaves.
    pub leave_at: Option<(f64, f64)>,
    /// By operation, in the order of the settings.
    pub operations: Vec<LearntOfOperation>,
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
pub struct Believed {
    pub value: f64,
    /// How sure it is, 0 to 1.
    pub weight: f64,
}

/// What is believed of the servers behind and of callers on the word of others, where one's own samples are missing or
/// few. Durations are seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Beliefs {
    /// By operation: how long its runs take lately, by unit of cost.
    pub runs: Vec<Option<Believed>>,
    /// By operation: how long they take at the least, by unit of cost.
    pub lowest: Vec<Option<Believed>>,
    /// By operation: how long its runs spend at calls.
    pub below: Vec<Option<Believed>>,
    /// The limit of invocations in hand.
    pub limit: Option<Believed>,
    pub call_lowest: Option<Believed>,
    pub call_limit: Option<Believed>,
    /// Calls that failed in a row.
    pub call_failures: Option<Believed>,
    /// Share of the arrivals that are further tries, 0 to 1.
    pub again: Option<Believed>,
    /// Share of the callers that come back while their connection would be kept, 0 to 1.
    pub back: Option<Believed>,
}

/// What a fleet's budgets leave one to spend on calls below at this moment, and how the dependency fares for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spend {
    /// First calls, further ones, and calls while the dependency fails.
    pub left: [u32; 3],
    /// It fails for all.
    pub closed: bool,
    /// It has come back for all, after it failed.
    pub opens: bool,
}

/// Nothing is bounded.
impl Default for Spend {
    fn default() -> Spend {
        Spend {
            left: [u32::MAX; 3],
            closed: false,
            opens: false,
        }
    }
}
