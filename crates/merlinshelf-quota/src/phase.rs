//! The health of a dependency: the observations of instances, and the phase that the leading agent
//! derives from them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The phase of a dependency, which applies to all instances of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// First calls are not limited.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// The dependency responds again; first calls are limited.
    #[serde(rename = "returns")]
    Recovering,
    /// Only probes are sent.
    #[serde(rename = "fails")]
    Failing,
}

/// A received phase with its expiry. Encoded as an array of two.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "(Phase, f64)", into = "(Phase, f64)")]
pub(crate) struct PhaseLease {
    pub phase: Phase,
    /// By the receiver's clock, in seconds.
    pub expires_at: f64,
}

impl PhaseLease {
    /// The phase, or `None` once it has expired.
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

/// Observations of a dependency, by one instance or summed over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyHealth {
    /// Instances that have called it recently.
    #[serde(rename = "instances")]
    pub calling_instances: u32,
    /// The calling instances for which it fails.
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
    /// Adds the observations of another instance or host.
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

/// The last report of each reporter that has not expired. Times are seconds of the receiver's
/// clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthReports {
    reports: BTreeMap<String, HealthReport>,
}

impl HealthReports {
    /// Stores a reporter's report, replacing its previous one.
    pub fn record(&mut self, now: f64, reporter: &str, health: DependencyHealth) {
        let report = HealthReport {
            reported_at: now,
            health,
        };
        self.reports.insert(reporter.to_owned(), report);
    }

    /// Discards reports older than `lifetime_seconds`.
    pub fn discard_older(&mut self, now: f64, lifetime_seconds: f64) {
        self.reports
            .retain(|_, report| now <= report.reported_at + lifetime_seconds);
    }

    /// Treats the dependency as not failing for any reporter until its next report.
    pub fn clear_failing(&mut self) {
        for report in self.reports.values_mut() {
            report.health.failing_instances = 0;
        }
    }

    /// The sum of all reports.
    pub fn sum(&self) -> DependencyHealth {
        let mut sum = DependencyHealth::default();
        for report in self.reports.values() {
            sum.add(&report.health);
        }
        sum
    }
}
