//! One instance: its state and the observations that determine it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::crash_backoff::CrashBackoff;

/// Maximum number of stored samples of the service counters: one minute at four per second.
const MAX_SAMPLES: usize = 240;

/// Identifies a process. The pid alone is not unique, since the kernel reuses pids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Process id.
    pub pid: u32,
    /// Start time of the process, in clock ticks since boot.
    #[serde(rename = "started")]
    pub start_ticks: u64,
}

/// The status with which an instance answers a health check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The process that answered.
    pub identity: Identity,
    /// Process id of its predecessor, if it took over from one.
    pub predecessor: Option<u32>,
    /// Name of its state in the instance's own reports.
    pub state: String,
    /// Whether it is healthy; `None` until its engine was first connected.
    pub healthy: Option<bool>,
    /// Invocations in flight.
    pub in_flight: u64,
    /// Invocations since the start of service, including those of predecessors.
    pub invocations: u64,
    /// Those that succeeded.
    pub succeeded: u64,
    /// Recent duration of its runs, in milliseconds.
    pub run_ms: Option<f64>,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// The program file that its process executes, if known.
    pub program: Option<String>,
}

/// The state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It has no process.
    Absent,
    /// Its process has not answered yet.
    Starting,
    /// It answers, but has not been healthy for long enough yet.
    Warming,
    /// It is warm.
    Serving,
    /// It hands over to a successor.
    Upgrading,
    /// A graceful shutdown is under way.
    Draining,
    /// A graceful shutdown with a time limit is under way.
    Stopping,
    /// It has crashed or could not be started; it is restarted after a backoff.
    Failed,
    /// Its process was found by a new agent and has not answered yet.
    Adopted,
    /// It hangs and was requested to terminate by signal, or another process answers on its socket.
    Lost,
}

impl State {
    /// The name of the state in replies.
    pub fn name(self) -> &'static str {
        match self {
            State::Absent => "absent",
            State::Starting => "starting",
            State::Warming => "warming",
            State::Serving => "serving",
            State::Upgrading => "upgrading",
            State::Draining => "draining",
            State::Stopping => "stopping",
            State::Failed => "failed",
            State::Adopted => "adopted",
            State::Lost => "lost",
        }
    }

    /// Whether there is a process.
    pub fn has_process(self) -> bool {
        !matches!(self, State::Absent | State::Failed)
    }

    /// Whether it counts as capacity: an instance serves throughout its upgrade.
    pub fn is_serving(self) -> bool {
        matches!(self, State::Serving | State::Upgrading)
    }

    /// Whether a graceful shutdown is under way.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, State::Draining | State::Stopping)
    }
}

/// Invocations of an instance during an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// Invocations that it received.
    pub invocations: u64,
    /// Invocations that succeeded.
    pub succeeded: u64,
}

impl ServiceCounts {
    /// The share that succeeded.
    pub fn success_ratio(self) -> f64 {
        self.succeeded as f64 / self.invocations.max(1) as f64
    }
}

/// The service counters at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    taken_at: f64,
    counts: ServiceCounts,
}

/// One instance of the fleet.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Name, unique on the host.
    pub name: String,
    /// Name of its group.
    pub group: String,
    /// Its index in the group, from 0.
    pub index: u32,
    /// Its state.
    pub state: State,
    /// When it entered the state.
    pub state_entered_at: f64,
    /// Its process, if there is one.
    pub identity: Option<Identity>,
    /// The program that it runs, or that its next start runs.
    pub program: String,
    /// The operators have shut it down.
    pub is_disabled: bool,
    /// A graceful shutdown was requested. A second request might shorten the time for it.
    pub is_shutdown_requested: bool,
    /// The time that its process has for a graceful shutdown, in seconds, by the configuration that
    /// it was started with; `None` if that is unknown.
    pub shutdown_timeout_seconds: Option<f64>,
    /// Time at which its process is killed.
    pub kill_at: Option<f64>,
    /// A kill of its process was requested.
    pub is_kill_sent: bool,
    /// This agent has requested an upgrade that has not ended yet.
    pub is_upgrade_requested: bool,
    /// Its last answer to a health check.
    pub report: Option<Report>,
    /// Time of its last answer, or of its process's start if it has not answered since.
    pub answered_at: f64,
    /// Start of its current uninterrupted time of being healthy.
    pub healthy_since: Option<f64>,
    /// When its process was started or adopted.
    pub process_started_at: f64,
    /// Backoff before its next start.
    pub backoff: CrashBackoff,
    samples: VecDeque<Sample>,
}

impl Instance {
    /// An instance without a process.
    pub fn new(name: String, group: String, index: u32, program: String) -> Instance {
        Instance {
            name,
            group,
            index,
            state: State::Absent,
            state_entered_at: 0.0,
            identity: None,
            program,
            is_disabled: false,
            is_shutdown_requested: false,
            shutdown_timeout_seconds: None,
            kill_at: None,
            is_kill_sent: false,
            is_upgrade_requested: false,
            report: None,
            answered_at: 0.0,
            healthy_since: None,
            process_started_at: 0.0,
            backoff: CrashBackoff::default(),
            samples: VecDeque::new(),
        }
    }

    /// Enters a state; has no effect if it is already in that state.
    pub fn enter_state(&mut self, now: f64, state: State) {
        if self.state != state {
            self.state = state;
            self.state_entered_at = now;
        }
    }

    /// Its process was started or found.
    pub fn process_started(&mut self, now: f64, identity: Identity, state: State) {
        self.clear_process();
        self.identity = Some(identity);
        self.process_started_at = now;
        self.answered_at = now;
        self.report = None;
        self.enter_state(now, state);
    }

    /// Its process has exited.
    pub fn process_exited(&mut self, now: f64, state: State) {
        self.clear_process();
        self.enter_state(now, state);
    }

    /// Clears the state that belongs to the former process.
    fn clear_process(&mut self) {
        self.identity = None;
        self.is_shutdown_requested = false;
        self.shutdown_timeout_seconds = None;
        self.kill_at = None;
        self.is_kill_sent = false;
        self.is_upgrade_requested = false;
        self.healthy_since = None;
        self.samples.clear();
    }

    /// Records the answer to a health check.
    pub fn record_report(&mut self, now: f64, report: Report) {
        self.answered_at = now;
        if report.healthy == Some(true) {
            self.healthy_since.get_or_insert(now);
        } else {
            self.healthy_since = None;
        }
        let counts = ServiceCounts {
            invocations: report.invocations,
            succeeded: report.succeeded,
        };
        // Decreased counters belong to another process.
        let last = self.samples.back();
        if last.is_some_and(|last| counts.invocations < last.counts.invocations) {
            self.samples.clear();
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            taken_at: now,
            counts,
        });
        self.identity = Some(report.identity.clone());
        self.report = Some(report);
    }

    /// The agent was suspended for this time, and observed nothing.
    pub fn discount_suspension(&mut self, now: f64, gap_seconds: f64) {
        let shifted = |at: f64| (at + gap_seconds).min(now);
        self.answered_at = shifted(self.answered_at);
        self.state_entered_at = shifted(self.state_entered_at);
        self.healthy_since = self.healthy_since.map(shifted);
    }

    /// Whether it has been healthy for `warm_seconds`.
    pub fn is_warm(&self, now: f64, warm_seconds: f64) -> bool {
        self.healthy_since
            .is_some_and(|since| now >= since + warm_seconds)
    }

    /// Whether its process executes its program; `true` if that is unknown.
    pub fn runs_its_program(&self) -> bool {
        self.report
            .as_ref()
            .and_then(|report| report.program.as_ref())
            .is_none_or(|program| *program == self.program)
    }

    /// Its invocations between two points in time.
    pub fn service_between(&self, from: f64, until: f64) -> ServiceCounts {
        let mut within = self
            .samples
            .iter()
            .filter(|sample| (from..=until).contains(&sample.taken_at));
        let Some(first) = within.next() else {
            return ServiceCounts::default();
        };
        let last = within.next_back().unwrap_or(first);
        ServiceCounts {
            invocations: last.counts.invocations - first.counts.invocations,
            succeeded: last.counts.succeeded - first.counts.succeeded,
        }
    }

    /// Successful invocations per second over the last `window_seconds`.
    pub fn success_rate(&self, now: f64, window_seconds: f64) -> f64 {
        let first = self
            .samples
            .iter()
            .find(|sample| sample.taken_at >= now - window_seconds);
        match (first, self.samples.back()) {
            (Some(first), Some(last)) if last.taken_at > first.taken_at => {
                let succeeded = last.counts.succeeded - first.counts.succeeded;
                succeeded as f64 / (last.taken_at - first.taken_at)
            }
            _ => 0.0,
        }
    }
}
