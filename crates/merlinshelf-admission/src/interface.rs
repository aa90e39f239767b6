//! The plain types that a host and the controller exchange.

use serde::{Deserialize, Serialize};

/// What is known of an invocation when it has been read. Times are seconds.
///
/// It is part of the handover image: a renamed field keeps its stored name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Invocation {
    /// Index of the operation in the settings.
    pub operation: usize,
    /// Index of the customer (tenant) in the settings.
    pub customer: usize,
    /// A number for who sends it.
    pub caller: u64,
    /// How long its caller still waits, where that is passed on.
    #[serde(rename = "budget")]
    pub caller_timeout: Option<f64>,
    /// How long ago it reached the machine.
    pub age: f64,
    /// Expected work in seconds of a standard core, where a hint is given.
    #[serde(rename = "cost")]
    pub cost_hint: Option<f64>,
    /// Memory that it takes until it is answered.
    #[serde(rename = "held_kb")]
    pub held_kilobytes: f64,
    /// Its place among all invocations, 0 to 1; 0 is the lowest priority.
    pub rank: f64,
    /// A retry or a hedged request, as far as callers mark them.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Whether it has a subject by which reads can be joined.
    pub has_subject: bool,
    /// It repeats an invocation that this backend keeps or has run.
    #[serde(rename = "repeats")]
    pub is_repeat: bool,
    /// The number of the invocation that it repeats, while the host still knows it.
    #[serde(rename = "earlier")]
    pub original: Option<usize>,
}

/// How a run or a downstream call has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// It ended well.
    pub succeeded: bool,
    /// Proof that nothing was run.
    pub never_ran: bool,
    /// Stopped on request.
    pub stopped: bool,
}

/// An invocation that is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Its number.
    pub invocation: usize,
    /// After how long its caller may come back, seconds; 0 where the settings allow no such advice.
    pub retry_after_seconds: f64,
    /// Its caller is asked not to try another server.
    pub no_failover: bool,
}

/// What a host carries out after an event, field by field in this order. Numbers are those of
/// invocations, times are seconds from now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Refused without having run.
    pub rejected: Vec<Rejection>,
    /// Answered with an error, having run or joined another.
    pub failed: Vec<usize>,
    /// Running work to stop.
    pub stopped: Vec<usize>,
    /// Kept in the table of repeats for that long.
    pub cached: Vec<(usize, f64)>,
    /// Dropped from the table of repeats.
    pub evicted: Vec<usize>,
    /// Answered with the result of the invocation they repeat.
    pub joined: Vec<usize>,
    /// Runs to start.
    pub started: Vec<usize>,
    /// Downstream calls to make, each with its timeout.
    pub called: Vec<(usize, f64)>,
    /// Runs that go on without their downstream call.
    pub degraded: Vec<usize>,
    /// Health, good or not, where it has changed; health checks are answered from what was last
    /// said here.
    pub health: Option<bool>,
    /// The load value that goes out with answers, where it has changed.
    pub level: Option<f64>,
    /// Idle time after which connections are closed, where it has changed.
    pub idle_timeout: Option<f64>,
    /// When to call [`timer_fired`](crate::AdmissionController::timer_fired), and the handle to
    /// pass.
    pub timers: Vec<(f64, u64)>,
    /// Lines for the operators' log.
    pub notes: Vec<String>,
    /// Numbers that the controller has done with; the host may hand them out again.
    pub released: Vec<usize>,
}

/// What the budgets of a fleet leave one instance for downstream calls at this moment, and how the
/// dependency fares for all. The default bounds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamQuota {
    /// First attempts.
    pub first_calls: u32,
    /// Further attempts.
    pub retries: u32,
    /// Trial calls while the breaker is open.
    pub probes: u32,
    /// It fails for all: trial calls alone.
    pub probes_only: bool,
    /// It has come back for all, after it failed.
    pub reopened: bool,
}

impl Default for DownstreamQuota {
    fn default() -> DownstreamQuota {
        DownstreamQuota {
            first_calls: u32::MAX,
            retries: u32::MAX,
            probes: u32::MAX,
            probes_only: false,
            reopened: false,
        }
    }
}

/// What became of the downstream quota that was set before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamUsage {
    /// What was not used of it.
    pub unused: DownstreamQuota,
    /// The dependency fails, as seen by this instance.
    pub is_failing: bool,
}
