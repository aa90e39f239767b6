//! One observation: its value, how many samples it rests on, how old it is and who made it.
//!
//! Fields are stored by the names of the first version of the format, hence the `rename`s.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::metric::Metric;

/// Nothing older has any weight: several half-lives of the metric that changes slowest.
pub const MAX_AGE_SECONDS: f64 = 3600.0;
/// Observations are forwarded once: the source sends it to a peer, and that peer to others.
pub const MAX_HOPS: u8 = 2;
const MAX_SAMPLE_COUNT: u32 = 1_000_000;
const MAX_NAME_BYTES: usize = 64;
/// So many samples give an observation half of the weight that it can get.
const HALF_CONFIDENCE_SAMPLES: f64 = 8.0;

/// Who made an observation: one incarnation of an instance. A restart or an upgrade begins another.
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
    /// It serves and has samples of its own.
    #[default]
    Steady,
    /// Warming up, its breaker open, or back from a failed upgrade: it observes its own recovery.
    Recovering,
    /// It has what peers sent, and few samples of its own.
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

    /// The status as it stands on the wire and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            SourceStatus::Steady => "steady",
            SourceStatus::Recovering => "recovering",
            SourceStatus::RecentlySynced => "just-taught",
            SourceStatus::Leaving => "leaving",
        }
    }

    /// The status of an [`SourceStatus::as_str`].
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

/// An observation as an instance holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// In the metric's unit.
    pub value: f64,
    /// How many samples it rests on.
    #[serde(rename = "count")]
    pub sample_count: u32,
    /// When it was made, seconds of the holder's monotonic clock.
    #[serde(rename = "seen")]
    pub observed_at: f64,
    /// The source's own number of it; later observations of a source have higher ones.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Over how many instances it came: 0 was observed here.
    pub hops: u8,
    /// Status of its source.
    #[serde(rename = "standing")]
    pub status: SourceStatus,
}

impl Observation {
    /// How much the observation counts, 0 to 1: by its samples, age, hops and its source's status.
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

/// An observation as it passes between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipedObservation {
    /// What was observed.
    #[serde(rename = "subject")]
    pub metric: Metric,
    /// Who observed it.
    #[serde(rename = "origin")]
    pub source: Source,
    /// In the metric's unit.
    pub value: f64,
    /// How many samples it rests on.
    #[serde(rename = "count")]
    pub sample_count: u32,
    /// Seconds since it was made, by the clocks of all instances that it came over.
    #[serde(rename = "age")]
    pub age_seconds: f64,
    /// The source's own number of it; later observations of a source have higher ones.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Over how many instances it came, with the one that sends it.
    pub hops: u8,
    /// Status of its source.
    #[serde(rename = "standing")]
    pub status: SourceStatus,
}

impl GossipedObservation {
    /// How much the observation counts at its receiver, 0 to 1.
    pub fn weight(&self) -> f64 {
        weight(
            &self.metric,
            self.sample_count,
            self.age_seconds,
            self.hops,
            self.status,
        )
    }

    /// Whether the observation can be true at all, for a receiver that is this source itself.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
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
    // Each instance in between halves the weight; the source itself is the first hop.
    let hop_discount = 0.5_f64.powi(i32::from(hops.saturating_sub(1)));
    confidence * decay * hop_discount * status.trust(metric)
}

/// Why a gossiped observation is rejected; shown as what an observation had that can't be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum InvalidObservation {
    /// Not a number, or a value that the metric can't have.
    #[error("values that can't be")]
    Value,
    /// Not a number, in the future, or older than [`MAX_AGE_SECONDS`].
    #[error("ages that can't be")]
    Age,
    /// No samples, or more than any instance takes.
    #[error("counts that can't be")]
    Count,
    /// Over none or more than [`MAX_HOPS`] hops.
    #[error("too many hops")]
    Hops,
    /// The receiver's own observation, on its way back.
    #[error("its own echoes")]
    Echo,
    /// A name that is empty or too long.
    #[error("names that can't be")]
    Name,
}
