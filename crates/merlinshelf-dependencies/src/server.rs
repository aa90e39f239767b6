//! One server of a dependency: its health, its latest calls, and what a call to it is expected to
//! cost.

use std::collections::VecDeque;

use crate::config::ServerConfig;
use crate::samples::push_bounded;

/// The outcome of a call to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server replied.
    Succeeded,
    /// The server replied with an error or an unreadable reply, or closed the connection.
    Failed,
    /// The call timed out.
    TimedOut,
    /// The call was cancelled for another reason: its duration is only a lower bound.
    Cancelled,
}

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// A larger share of its calls fails than of its peers'.
    MoreFailures,
    /// Its mean duration is a multiple of its peers' median.
    Slower,
    /// A probe failed or was slow.
    ProbeFailed,
}

impl EjectionReason {
    /// The reason as shown in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            EjectionReason::MoreFailures => "fails more than its peers",
            EjectionReason::Slower => "slower than its peers",
            EjectionReason::ProbeFailed => "its trial failed",
        }
    }
}

/// The health of a server, which decides whether it gets calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerHealth {
    /// The server gets calls.
    Healthy,
    /// The server gets no calls.
    Ejected {
        /// When probing starts.
        until: f64,
        /// Number of consecutive ejections.
        ejections: u32,
        /// Reason of the latest ejection.
        reason: EjectionReason,
    },
    /// The server gets one call at a time, as a probe.
    Probing {
        /// Number of consecutive ejections before.
        ejections: u32,
        /// Number of consecutive successful probes.
        successes: u32,
    },
}

impl ServerHealth {
    /// The health of a server that is ejected now, for the `ejections`th consecutive time.
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

    /// Whether the server is being probed for recovery.
    pub(crate) fn is_probing(&self) -> bool {
        matches!(self, ServerHealth::Probing { .. })
    }
}

/// Number of latest calls that are recorded per server: few enough to be recent, and enough for a
/// stable mean.
const SAMPLE_WINDOW: usize = 24;
/// Duration of the first ejection, which doubles up to the maximum. The maximum is short, so that a
/// recovered server is detected within seconds.
const FIRST_EJECTION_SECONDS: f64 = 1.0;
const MAX_EJECTION_SECONDS: f64 = 8.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// Time without a call after which the samples of a server have half of their weight.
const SAMPLE_HALF_LIFE_SECONDS: f64 = 1.0;
/// Duration of the slow start of a new or recovered server, and the share of its weight at the
/// start.
pub(crate) const SLOW_START_SECONDS: f64 = 5.0;
const SLOW_START_SHARE: f64 = 0.1;
/// Lowest success rate that the expected cost assumes; avoids division by zero.
const MIN_SUCCESS_RATE: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
struct Sample {
    duration_seconds: f64,
    succeeded: bool,
}

/// One server as seen by this instance.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address of the server, which identifies it.
    pub name: String,
    /// Zone of the server; empty if none is configured.
    pub zone: String,
    /// Capacity relative to the other servers.
    pub weight: f64,
    /// Whether the server gets calls.
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

    /// Applies a new zone and weight; samples and health are kept.
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

    /// Readmits a recovered server: it warms up, and earlier samples are dropped.
    pub(crate) fn readmit(&mut self, now: f64) {
        self.samples.clear();
        self.healthy_since = now;
        self.health = ServerHealth::Healthy;
    }

    /// Mean duration of the latest calls in seconds; `None` before the first call.
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

    /// Expected cost of a call: its duration after the calls in flight, increased while the server
    /// fails or warms up. `typical_seconds` is the typical duration of a call to its peers.
    pub(crate) fn expected_cost(&self, now: f64, typical_seconds: f64) -> f64 {
        // Samples lose weight with age, so that an avoided server eventually gets calls again.
        let age_seconds = (now - self.last_sample_at).max(0.0);
        let sample_weight = 0.5_f64.powf(age_seconds / SAMPLE_HALF_LIFE_SECONDS);
        let mean_seconds = self.mean_seconds().map_or(typical_seconds, |mean| {
            typical_seconds + (mean - typical_seconds) * sample_weight
        });
        // A server that fails quickly must not appear fast.
        let failure_rate = self.failure_rate();
        let floor_seconds = if failure_rate > 0.0 {
            typical_seconds
        } else {
            0.0
        };
        let healthy_seconds = now - self.healthy_since;
        let warm_up_share = (healthy_seconds / SLOW_START_SECONDS).clamp(SLOW_START_SHARE, 1.0);
        let capacity = self.weight * warm_up_share * (1.0 - failure_rate).max(MIN_SUCCESS_RATE);
        f64::from(self.in_flight + 1) * mean_seconds.max(floor_seconds) / capacity
    }
}

fn effective_weight(configured: f64) -> f64 {
    if configured > 0.0 { configured } else { 1.0 }
}
