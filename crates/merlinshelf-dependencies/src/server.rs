//! One server of a dependency: its health, its latest calls, and what a call to it is expected to
//! cost.

use std::collections::VecDeque;

use crate::config::ServerConfig;
use crate::samples::push_bounded;

/// The outcome of a call to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// It replied.
    Succeeded,
    /// It replied with an error or with something unreadable, or closed the connection.
    Failed,
    /// Its time passed.
    TimedOut,
    /// It was cancelled for another reason: it shows only how long the call took at the least.
    Cancelled,
}

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// A larger share of its calls fails.
    MoreFailures,
    /// Its mean duration is a multiple of its peers' median.
    Slower,
    /// A probe failed or was slow.
    ProbeFailed,
}

impl EjectionReason {
    /// The reason as reports show it.
    pub fn as_str(self) -> &'static str {
        match self {
            EjectionReason::MoreFailures => "fails more than its peers",
            EjectionReason::Slower => "slower than its peers",
            EjectionReason::ProbeFailed => "its trial failed",
        }
    }
}

/// Whether a server gets calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerHealth {
    /// It gets calls.
    Healthy,
    /// It gets none.
    Ejected {
        /// It is probed from then on.
        until: f64,
        /// How often in a row it was ejected.
        ejections: u32,
        /// Why.
        reason: EjectionReason,
    },
    /// It gets one call at a time.
    Probing {
        /// How often in a row it was ejected before.
        ejections: u32,
        /// Probes in a row that succeeded.
        successes: u32,
    },
}

impl ServerHealth {
    /// A server that was ejected `ejections` times in a row, the last time now.
    pub(crate) fn ejected(now: f64, ejections: u32, reason: EjectionReason) -> ServerHealth {
        let doublings = ejections.min(MAX_BACKOFF_DOUBLINGS) as i32 - 1;
        let backoff_seconds =
            (FIRST_EJECTION_SECONDS * 2_f64.powi(doublings)).min(MAX_EJECTION_SECONDS);
        ServerHealth::Ejected {
            until: now + backoff_seconds,
            ejections,
            reason,
        }
    }

    /// Whether probes find out if it has recovered.
    pub(crate) fn is_probing(&self) -> bool {
        matches!(self, ServerHealth::Probing { .. })
    }
}

/// The latest calls that are recorded of each server: few enough to be recent, and enough to be
/// steady.
const SAMPLE_WINDOW: usize = 24;
/// The first ejection's duration, and the longest one; doubled in between, so that a recovered
/// server is found within seconds.
const FIRST_EJECTION_SECONDS: f64 = 1.0;
const MAX_EJECTION_SECONDS: f64 = 8.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// After so long without a call what a server showed counts half.
const SAMPLE_HALF_LIFE_SECONDS: f64 = 1.0;
/// How long a new or recovered server warms up, and the part of its weight that it begins with.
pub(crate) const SLOW_START_SECONDS: f64 = 5.0;
const SLOW_START_SHARE: f64 = 0.1;
/// The least success rate that is assumed.
const MIN_SUCCESS_RATE: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
struct Sample {
    duration_seconds: f64,
    succeeded: bool,
}

/// One server, as one instance sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its address, which identifies it.
    pub name: String,
    /// Its zone; empty where none is configured.
    pub zone: String,
    /// Its capacity relative to the others'.
    pub weight: f64,
    /// Whether it gets calls.
    pub health: ServerHealth,
    /// Calls in flight.
    pub in_flight: u32,
    healthy_since: f64,
    samples: VecDeque<Sample>,
    last_sample_at: f64,
}

impl Server {
    pub(crate) fn new(config: &ServerConfig, healthy_since: f64) -> Server {
        Server {
            name: config.address.clone(),
            zone: config.zone.clone(),
            weight: effective_weight(config.weight),
            health: ServerHealth::Healthy,
            in_flight: 0,
            healthy_since,
            samples: VecDeque::new(),
            last_sample_at: healthy_since,
        }
    }

    /// Applies another zone and weight; what is known of the server stays.
    pub(crate) fn update_config(&mut self, config: &ServerConfig) {
        self.zone.clone_from(&config.zone);
        self.weight = effective_weight(config.weight);
    }

    pub(crate) fn record_sample(&mut self, now: f64, duration_seconds: f64, succeeded: bool) {
        let sample = Sample {
            duration_seconds,
            succeeded,
        };
        push_bounded(&mut self.samples, sample, SAMPLE_WINDOW);
        self.last_sample_at = now;
    }

    pub(crate) fn sample_count(&self) -> usize {
        self.samples.len()
    }

    /// The server has recovered: it warms up, and earlier calls no longer count.
    pub(crate) fn readmit(&mut self, now: f64) {
        self.samples.clear();
        self.healthy_since = now;
        self.health = ServerHealth::Healthy;
    }

    /// Mean duration of the latest calls, in seconds; `None` before the first one.
    pub fn mean_seconds(&self) -> Option<f64> {
        let sum: f64 = self
            .samples
            .iter()
            .map(|sample| sample.duration_seconds)
            .sum();
        (!self.samples.is_empty()).then(|| sum / self.samples.len() as f64)
    }

    /// Share of the latest calls that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        let failed = self
            .samples
            .iter()
            .filter(|sample| !sample.succeeded)
            .count();
        failed as f64 / self.samples.len().max(1) as f64
    }

    /// Expected cost of a call: its time behind the calls in flight, more where the server fails or
    /// warms up. `typical_seconds` is what a call takes with its peers.
    pub(crate) fn expected_cost(&self, now: f64, typical_seconds: f64) -> f64 {
        // Samples count less the older they are, so that an avoided server gets calls again.
        let age_seconds = (now - self.last_sample_at).max(0.0);
        let sample_weight = 0.5_f64.powf(age_seconds / SAMPLE_HALF_LIFE_SECONDS);
        let mean_seconds = self.mean_seconds().map_or(typical_seconds, |mean| {
            typical_seconds + (mean - typical_seconds) * sample_weight
        });
        // A server is not fast for replying its errors at once.
        let failure_rate = self.failure_rate();
        let floor_seconds = if failure_rate > 0.0 {
            typical_seconds
        } else {
            0.0
        };
        let healthy_seconds = now - self.healthy_since;
        let warmth = (healthy_seconds / SLOW_START_SECONDS).clamp(SLOW_START_SHARE, 1.0);
        let capacity = self.weight * warmth * (1.0 - failure_rate).max(MIN_SUCCESS_RATE);
        f64::from(self.in_flight + 1) * mean_seconds.max(floor_seconds) / capacity
    }
}

fn effective_weight(configured: f64) -> f64 {
    if configured > 0.0 { configured } else { 1.0 }
}
