//! The interface of the decision module: plain types and no decisions.
//!
//! A host makes one [`Shedder`] per backend process and tells it, with the clock in seconds, what
//! has happened; each call returns a [`Decided`], which the host carries out field by field in the
//! order in which the fields stand here. Invocations go by small numbers that the host hands out
//! and may hand out again once they are `released`.

mod shedder;

pub use shedder::Shedder;

/// The settings as they were handed over at the start: names and values, unread.
pub type Settings = std::collections::BTreeMap<String, String>;

/// What is known of an invocation when it has been read. Times are seconds.
#[derive(Clone, Debug, Default)]
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
