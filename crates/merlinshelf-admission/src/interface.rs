//! Data types that a host and the controller exchange.

use serde::{Deserialize, Serialize};

/// An invocation as it was read. Times are seconds.
///
/// It is part of the handover image: a renamed field keeps its stored name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Invocation {
    /// Index of the operation in the settings.
    pub operation: usize,
    /// Index of the customer (tenant) in the settings.
    pub customer: usize,
    /// Number that identifies its caller.
    pub caller: u64,
    /// How long its caller still waits, if the caller passes its timeout on.
    #[serde(rename = "budget")]
    pub caller_timeout: Option<f64>,
    /// Time since it reached the machine.
    pub age: f64,
    /// Expected work in seconds of a standard core, if a hint is given.
    #[serde(rename = "cost")]
    pub cost_hint: Option<f64>,
    /// Memory that it takes until it is answered, in kilobytes.
    #[serde(rename = "held_kb")]
    pub held_kilobytes: f64,
    /// Priority rank among all invocations, from 0 (lowest) to 1.
    pub rank: f64,
    /// Whether it is a retry or a hedged request, if its caller marks these.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Whether it has a subject by which concurrent reads can share one result.
    pub has_subject: bool,
    /// Whether it repeats an invocation that this backend has in its table or has run.
    #[serde(rename = "repeats")]
    pub is_repeat: bool,
    /// Number of the invocation that it repeats, if the host still knows it.
    #[serde(rename = "earlier")]
    pub original: Option<usize>,
}

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Whether it completed successfully.
    pub succeeded: bool,
    /// Whether it certainly was not executed, so that it can't have taken effect.
    pub never_ran: bool,
    /// Whether it was stopped on request.
    pub stopped: bool,
}

/// The rejection of an invocation that has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Number of the invocation.
    pub invocation: usize,
    /// Time after which its caller may retry, in seconds; 0 if the settings allow no such advice.
    pub retry_after_seconds: f64,
    /// Whether its caller is asked not to try another server.
    pub no_failover: bool,
}

/// Decisions that a host carries out after an event, in the order of the fields. Integers are
/// numbers of invocations, times are seconds from now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Invocations to reject; they have not run.
    pub rejected: Vec<Rejection>,
    /// Invocations to answer with an error; they have run or joined another invocation.
    pub failed: Vec<usize>,
    /// Runs to stop.
    pub stopped: Vec<usize>,
    /// Invocations to keep in the table of repeats, each with the time to keep it.
    pub cached: Vec<(usize, f64)>,
    /// Invocations to remove from the table of repeats.
    pub evicted: Vec<usize>,
    /// Repeats to answer with the result of the invocation that they repeat.
    pub joined: Vec<usize>,
    /// Runs to start.
    pub started: Vec<usize>,
    /// Downstream calls to make, each with its timeout.
    pub called: Vec<(usize, f64)>,
    /// Runs that continue without their downstream call, with a degraded result.
    pub degraded: Vec<usize>,
    /// Whether the instance is healthy, if that changed. Health checks are answered with the last
    /// value.
    pub health: Option<bool>,
    /// The advertised level to send with answers, if it changed.
    pub level: Option<f64>,
    /// Idle time after which connections are closed, if it changed.
    pub idle_timeout: Option<f64>,
    /// When to call [`timer_fired`](crate::AdmissionController::timer_fired), and the handle to
    /// pass.
    pub timers: Vec<(f64, u64)>,
    /// Messages for the operators' log.
    pub notes: Vec<String>,
    /// Numbers of finished invocations; the host may assign them again.
    pub released: Vec<usize>,
}

/// Downstream calls that the fleet's budgets currently leave to one instance, and the health of the
/// dependency as seen by the fleet. The default has no limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamQuota {
    /// Number of first attempts.
    pub first_calls: u32,
    /// Number of further attempts.
    pub retries: u32,
    /// Number of trial calls while the breaker is open.
    pub probes: u32,
    /// Whether the dependency fails for the whole fleet, so that only trial calls are allowed.
    pub probes_only: bool,
    /// Whether the dependency has recovered for the whole fleet since the previous quota.
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

/// Usage of the previous downstream quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamUsage {
    /// The part of the quota that was not used.
    pub unused: DownstreamQuota,
    /// Whether the dependency fails as seen by this instance.
    pub is_failing: bool,
}
