//! The health of a dependency: what instances observe, and the phase that the fleet agrees on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The phase of a dependency for all instances of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Instances call it without a limit on first calls.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// It responds again, and first calls are limited.
    #[serde(rename = "returns")]
    Recovering,
    /// Only probes are sent.
    #[serde(rename = "fails")]
    Failing,
}

/// A phase that was received, and until when it is valid. Encoded as an array of two.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "(Phase, f64)", into = "(Phase, f64)")]
pub(crate) struct PhaseLease {
    pub phase: Phase,
    /// By the receiver's clock, in seconds.
    pub expires_at: f64,
}

impl PhaseLease {
    /// The phase while it is valid.
    pub fn phase_at(&self, now: f64) -> Option<Phase> {
        (now < self.expires_at).then_some(self.phase)
    }
}

impl From<(Phase, f64)> for PhaseLease {
    fn from((phase, expires_at): (Phase, f64)) -> PhaseLease {
        PhaseLease { phase, expires_at }
    }
}

impl From<PhaseLease> for (Phase, f64) {
    fn from(lease: PhaseLease) -> (Phase, f64) {
        (lease.phase, lease.expires_at)
    }
}

/// What is observed of a dependency, by one instance or added up for several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyHealth {
    /// Instances that have called it lately.
    #[serde(rename = "instances")]
    pub calling_instances: u32,
    /// Those of them for which it fails.
    #[serde(rename = "failing")]
    pub failing_instances: u32,
    /// Calls that have succeeded since the last report.
    #[serde(rename = "good")]
    pub succeeded_calls: u32,
    /// Calls that have failed since the last report.
    #[serde(rename = "bad")]
    pub failed_calls: u32,
}

impl DependencyHealth {
    /// Adds what another one observes.
    pub fn add(&mut self, other: &DependencyHealth) {
        self.calling_instances += other.calling_instances;
        self.failing_instances += other.failing_instances;
        self.succeeded_calls = self.succeeded_calls.saturating_add(other.succeeded_calls);
        self.failed_calls = self.failed_calls.saturating_add(other.failed_calls);
    }
}

#[derive(Clone, Copy, Debug)]
struct HealthReport {
    reported_at: f64,
    health: DependencyHealth,
}

/// The last report of each reporter, for as long as it counts. Times are seconds of the receiver's
/// clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthReports {
    reports: BTreeMap<String, HealthReport>,
}

impl HealthReports {
    /// A reporter has reported.
    pub fn record(&mut self, now: f64, reporter: &str, health: DependencyHealth) {
        let report = HealthReport {
            reported_at: now,
            health,
        };
        self.reports.insert(reporter.to_owned(), report);
    }

    /// Discards reports that are older than this.
    pub fn discard_older(&mut self, now: f64, lifetime_seconds: f64) {
        self.reports
            .retain(|_, report| now <= report.reported_at + lifetime_seconds);
    }

    /// Until a reporter reports anew, the dependency does not fail for it.
    pub fn clear_failing(&mut self) {
        for report in self.reports.values_mut() {
            report.health.failing_instances = 0;
        }
    }

    /// All reports added up.
    pub fn sum(&self) -> DependencyHealth {
        let mut sum = DependencyHealth::default();
        for report in self.reports.values() {
            sum.add(&report.health);
        }
        sum
    }
}
