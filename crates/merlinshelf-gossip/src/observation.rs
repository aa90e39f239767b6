//! One observation: its value, sample count, age and source.
//!
//! Fields are stored under their names in the first version of the format, hence the `rename`s.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::metric::Metric;

/// Older observations are rejected; six half-lives of the metric that changes most slowly.
pub const MAX_AGE_SECONDS: f64 = 3600.0;
/// Observations are forwarded once: from the source to a peer, and from that peer to others.
pub const MAX_HOPS: u8 = 2;
const MAX_SAMPLE_COUNT: u32 = 1_000_000;
const MAX_NAME_BYTES: usize = 64;
/// Number of samples that give an observation half of its maximum weight.
const HALF_CONFIDENCE_SAMPLES: f64 = 8.0;

/// The source of an observation: one incarnation of an instance. A restart or an upgrade starts a
/// new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// Name of the instance.
    pub name: String,
    /// Number of its incarnation; later ones are higher.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl fmt::Display for Source {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}/{}", self.name, self.incarnation)
    }
}

/// The status of a source when it made an observation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SourceStatus {
    /// It serves and has enough samples of its own.
    #[default]
    Steady,
    /// It is warming up, its breaker is open, or its upgrade was rolled back: its samples show the
    /// recovery rather than the steady state.
    Recovering,
    /// It has observations of peers and few samples of its own.
    #[serde(rename = "JustTaught")]
    RecentlySynced,
    /// It is shutting down.
    Leaving,
}

impl SourceStatus {
    const ALL: [SourceStatus; 4] = [
        SourceStatus::Steady,
        SourceStatus::Recovering,
        SourceStatus::RecentlySynced,
        SourceStatus::Leaving,
    ];

    /// The status as written on the wire and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            SourceStatus::Steady => "steady",
            SourceStatus::Recovering => "recovering",
            SourceStatus::RecentlySynced => "just-taught",
            SourceStatus::Leaving => "leaving",
        }
    }

    /// The status whose [`SourceStatus::as_str`] is `text`.
    pub fn parse(text: &str) -> Option<SourceStatus> {
        let mut statuses = SourceStatus::ALL.into_iter();
        statuses.find(|status| status.as_str() == text)
    }

    /// Which part of an observation's weight counts, 0 to 1. Shutting down does not devalue earlier
    /// observations, and a source that recovers from failing calls observes them at first hand.
    pub fn trust(self, metric: &Metric) -> f64 {
        match self {
            SourceStatus::Steady | SourceStatus::Leaving => 1.0,
            SourceStatus::Recovering if matches!(metric, Metric::CallFailures { .. }) => 1.0,
            SourceStatus::Recovering => 0.25,
            SourceStatus::RecentlySynced => 0.1,
        }
    }
}

/// An observation as an instance stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// In the metric's unit.
    pub value: f64,
    /// Number of samples that it is based on.
    #[serde(rename = "count")]
    pub sample_count: u32,
    /// When it was made, in seconds of the local monotonic clock.
    #[serde(rename = "seen")]
    pub observed_at: f64,
    /// Sequence number assigned by the source, increasing with each of its observations.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// How many instances sent it on its way here; 0 for an own observation.
    pub hops: u8,
    /// Status of its source.
    #[serde(rename = "standing")]
    pub status: SourceStatus,
}

impl Observation {
    /// Weight of the observation, 0 to 1, from its samples, age, hops and its source's status.
    pub fn weight(&self, now: f64, metric: &Metric) -> f64 {
        let age_seconds = (now - self.observed_at).max(0.0);
        weight(
            metric,
            self.sample_count,
            age_seconds,
            self.hops,
            self.status,
        )
    }
}

/// An observation as sent between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipedObservation {
    /// What was observed.
    #[serde(rename = "subject")]
    pub metric: Metric,
    /// The source of the observation.
    #[serde(rename = "origin")]
    pub source: Source,
    /// In the metric's unit.
    pub value: f64,
    /// Number of samples that it is based on.
    #[serde(rename = "count")]
    pub sample_count: u32,
    /// Seconds since it was made, added up by the clocks of all instances that forwarded it.
    #[serde(rename = "age")]
    pub age_seconds: f64,
    /// Sequence number assigned by the source, increasing with each of its observations.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// How many instances have sent it, including the present sender.
    pub hops: u8,
    /// Status of its source.
    #[serde(rename = "standing")]
    pub status: SourceStatus,
}

impl GossipedObservation {
    /// Weight of the observation at its receiver, 0 to 1.
    pub fn weight(&self) -> f64 {
        weight(
            &self.metric,
            self.sample_count,
            self.age_seconds,
            self.hops,
            self.status,
        )
    }

    /// Validates an observation that the incarnation `own` has received.
    ///
    /// # Errors
    /// The first reason for which the observation is invalid.
    pub fn check(&self, own: &Source) -> Result<(), InvalidObservation> {
        if !self.metric.is_plausible(self.value) {
            Err(InvalidObservation::Value)
        } else if !(0.0..=MAX_AGE_SECONDS).contains(&self.age_seconds) {
            Err(InvalidObservation::Age)
        } else if !(1..=MAX_SAMPLE_COUNT).contains(&self.sample_count) {
            Err(InvalidObservation::Count)
        } else if !(1..=MAX_HOPS).contains(&self.hops) {
            Err(InvalidObservation::Hops)
        } else if self.source == *own {
            Err(InvalidObservation::Echo)
        } else if !self.has_valid_names() {
            Err(InvalidObservation::Name)
        } else {
            Ok(())
        }
    }

    fn has_valid_names(&self) -> bool {
        let labels = self.metric.labels();
        let names = [
            Some(self.source.name.as_str()),
            labels.server,
            labels.operation,
        ];
        names
            .into_iter()
            .flatten()
            .all(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES)
    }
}

fn weight(
    metric: &Metric,
    sample_count: u32,
    age_seconds: f64,
    hops: u8,
    status: SourceStatus,
) -> f64 {
    let samples = f64::from(sample_count);
    let confidence = samples / (samples + HALF_CONFIDENCE_SAMPLES);
    let decay = 0.5_f64.powf(age_seconds / metric.half_life_seconds());
    // Each forwarding instance halves the weight; the first hop is from the source itself.
    let hop_discount = 0.5_f64.powi(i32::from(hops.saturating_sub(1)));
    confidence * decay * hop_discount * status.trust(metric)
}

/// Why a gossiped observation is rejected. The text completes "rejected observations: ...".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum InvalidObservation {
    /// The value is not a number, or not one that the metric can have.
    #[error("implausible values")]
    Value,
    /// The age is not a number, negative, or above [`MAX_AGE_SECONDS`].
    #[error("implausible ages")]
    Age,
    /// The sample count is zero, or higher than any instance counts.
    #[error("implausible sample counts")]
    Count,
    /// The hop count is zero or above [`MAX_HOPS`].
    #[error("invalid hop counts")]
    Hops,
    /// The observation is the receiver's own, sent back to it.
    #[error("the receiver's own observations")]
    Echo,
    /// A name is empty or too long.
    #[error("invalid names")]
    Name,
}
