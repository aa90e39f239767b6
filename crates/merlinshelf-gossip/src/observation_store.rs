//! The observations that an instance stores, its own and those of others, and the estimates made
//! from them.

use std::collections::BTreeMap;

use crate::metric::Metric;
use crate::observation::{
    GossipedObservation, InvalidObservation, MAX_AGE_SECONDS, MAX_HOPS, Observation, Source,
    SourceStatus,
};
use crate::own_samples::OwnObservation;

/// Maximum number of sources stored per metric: enough to outvote a false one, and few enough that
/// the cost does not grow with the number of peers (3,000 cost no more than 8).
const MAX_SOURCES_PER_METRIC: usize = 8;
/// Maximum number of stored metrics: enough for the operations and dependencies of a large
/// installation.
const MAX_METRICS: usize = 512;
/// Observations with no more weight are left out of estimates.
const MIN_WEIGHT: f64 = 0.01;
/// Number of own samples at which an estimate of full weight contributes half of the result.
const BLENDING_SAMPLES: f64 = 3.0;

/// An estimate of a metric from the observations of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// In the metric's unit.
    pub value: f64,
    /// Confidence in the estimate, 0 to 1.
    pub weight: f64,
    /// The sources of the estimate, in descending order of weight.
    pub sources: Vec<Source>,
}

impl Estimate {
    /// The share of the estimate in a blend with this number of own samples, 0 to 1.
    pub fn share(&self, own_samples: usize) -> f64 {
        self.weight / (self.weight + own_samples as f64 / BLENDING_SAMPLES)
    }

    /// The weighted mean of the estimate and an own value.
    pub fn blend(&self, own_value: f64, own_samples: usize) -> f64 {
        if own_samples == 0 {
            return self.value;
        }
        let share = self.share(own_samples);
        self.value * share + own_value * (1.0 - share)
    }
}

/// One observation of the store with its metric and source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservationEntry<'a> {
    /// What was observed.
    pub metric: &'a Metric,
    /// The source of the observation.
    pub source: &'a Source,
    /// The observation.
    pub observation: &'a Observation,
}

/// The observations that one incarnation of an instance stores, the latest of each source.
#[derive(Clone, Debug)]
pub struct ObservationStore {
    own: Source,
    /// Sequence number of the latest own observation.
    own_sequence: u64,
    observations: BTreeMap<Metric, BTreeMap<Source, Observation>>,
}

impl ObservationStore {
    /// An empty store of this incarnation.
    pub fn new(own: Source) -> ObservationStore {
        ObservationStore {
            own,
            own_sequence: 0,
            observations: BTreeMap::new(),
        }
    }

    /// The incarnation that the store belongs to.
    pub fn own(&self) -> &Source {
        &self.own
    }

    /// Records an own observation. One with the same value and sample count as before is the
    /// previous observation repeated and is not recorded, so that without new samples it ages.
    pub fn record_own(&mut self, now: f64, own: OwnObservation, status: SourceStatus) {
        let known = self.get(&own.metric, &self.own);
        let is_repeated = known.is_some_and(|known| {
            known.value == own.value && known.sample_count == own.sample_count
        });
        // An implausible value is a clock or arithmetic error and must not be sent to peers.
        if is_repeated || !own.metric.is_plausible(own.value) {
            return;
        }
        let observed_at = now - own.age_seconds.max(0.0);
        self.own_sequence += 1;
        let observation = Observation {
            value: own.value,
            sample_count: own.sample_count,
            observed_at,
            sequence: self.own_sequence,
            hops: 0,
            status,
        };
        self.insert(observed_at, own.metric, self.own.clone(), observation);
    }

    /// Accepts an observation that a peer sent. The sequence number identifies an observation of a
    /// source: receiving it again, also over other peers, neither makes it younger nor gives it
    /// more samples.
    ///
    /// # Errors
    /// The observation is invalid, or this incarnation made it.
    pub fn accept(
        &mut self,
        now: f64,
        gossiped: GossipedObservation,
    ) -> Result<(), InvalidObservation> {
        gossiped.check(&self.own)?;
        let mut observation = Observation {
            value: gossiped.value,
            sample_count: gossiped.sample_count,
            observed_at: now - gossiped.age_seconds,
            sequence: gossiped.sequence,
            hops: gossiped.hops,
            status: gossiped.status,
        };
        if let Some(known) = self.get(&gossiped.metric, &gossiped.source) {
            if known.sequence > observation.sequence {
                return Ok(());
            }
            if known.sequence == observation.sequence {
                observation = Observation {
                    observed_at: known.observed_at.min(observation.observed_at),
                    hops: known.hops.min(observation.hops),
                    ..known.clone()
                };
            }
        }
        self.insert(now, gossiped.metric, gossiped.source, observation);
        Ok(())
    }

    fn get(&self, metric: &Metric, source: &Source) -> Option<&Observation> {
        self.observations.get(metric)?.get(source)
    }

    fn insert(&mut self, now: f64, metric: Metric, source: Source, observation: Observation) {
        if !self.observations.contains_key(&metric) && self.observations.len() >= MAX_METRICS {
            self.remove_stalest_metric();
        }
        let by_source = self.observations.entry(metric.clone()).or_default();
        by_source.insert(source, observation);
        while by_source.len() > MAX_SOURCES_PER_METRIC {
            // Own observations are never removed here, whatever their weight.
            let others = by_source.iter().filter(|(source, _)| **source != self.own);
            let weights =
                others.map(|(source, observation)| (observation.weight(now, &metric), source));
            let lightest = weights.min_by(|left, right| left.0.total_cmp(&right.0));
            let Some(source) = lightest.map(|(_, source)| source.clone()) else {
                break;
            };
            by_source.remove(&source);
        }
    }

    /// Removes the metric whose latest observation is the oldest.
    fn remove_stalest_metric(&mut self) {
        let latest = |by_source: &BTreeMap<Source, Observation>| {
            let times = by_source
                .values()
                .map(|observation| observation.observed_at);
            times.fold(f64::MIN, f64::max)
        };
        let stalest = self
            .observations
            .iter()
            .min_by(|left, right| latest(left.1).total_cmp(&latest(right.1)));
        if let Some(metric) = stalest.map(|(metric, _)| metric.clone()) {
            self.observations.remove(&metric);
        }
    }

    /// The observations to send to a peer. If there are more than `max_count`, own ones take
    /// precedence over those of others, and higher weights over lower ones.
    pub fn select_for_gossip(&self, now: f64, max_count: usize) -> Vec<GossipedObservation> {
        let mut selected = self.export(now);
        if selected.len() > max_count {
            let rank = |gossiped: &GossipedObservation| {
                gossiped.weight() + f64::from(u8::from(gossiped.source == self.own))
            };
            selected.sort_by(|left, right| rank(right).total_cmp(&rank(left)));
            selected.truncate(max_count);
        }
        selected
    }

    /// All observations that may be sent or persisted: own ones, and those of others that came
    /// directly from their source.
    pub fn export(&self, now: f64) -> Vec<GossipedObservation> {
        let gossiped = self.observations().map(|entry| GossipedObservation {
            metric: entry.metric.clone(),
            source: entry.source.clone(),
            value: entry.observation.value,
            sample_count: entry.observation.sample_count,
            age_seconds: (now - entry.observation.observed_at).max(0.0),
            sequence: entry.observation.sequence,
            hops: entry.observation.hops + 1,
            status: entry.observation.status,
        });
        gossiped
            .filter(|gossiped| gossiped.hops <= MAX_HOPS && gossiped.age_seconds <= MAX_AGE_SECONDS)
            .collect()
    }

    /// Estimates the metric from the observations of others by their weighted median: with two
    /// correct sources, a single false one can't move it beyond their values.
    pub fn estimate(&self, now: f64, metric: &Metric) -> Option<Estimate> {
        struct WeightedValue<'a> {
            value: f64,
            weight: f64,
            source: &'a Source,
        }
        let by_source = self.observations.get(metric)?;
        let others = by_source.iter().filter(|(source, _)| **source != self.own);
        let mut weighted: Vec<WeightedValue> = others
            .map(|(source, observation)| WeightedValue {
                value: observation.value,
                weight: observation.weight(now, metric),
                source,
            })
            .filter(|weighted| weighted.weight > MIN_WEIGHT)
            .collect();
        weighted.sort_by(|left, right| left.value.total_cmp(&right.value));
        let total_weight: f64 = weighted.iter().map(|weighted| weighted.weight).sum();
        let mut cumulative_weight = 0.0;
        let median = weighted.iter().find(|weighted| {
            cumulative_weight += weighted.weight;
            cumulative_weight >= total_weight / 2.0
        });
        let value = median?.value;
        weighted.sort_by(|left, right| right.weight.total_cmp(&left.weight));
        Some(Estimate {
            value,
            // The highest weight, not the sum: many copies of one guess add no confidence.
            weight: weighted.first()?.weight,
            sources: weighted
                .into_iter()
                .map(|weighted| weighted.source.clone())
                .collect(),
        })
    }

    /// All observations, by metric and source.
    pub fn observations(&self) -> impl Iterator<Item = ObservationEntry<'_>> {
        self.observations.iter().flat_map(|(metric, by_source)| {
            by_source
                .iter()
                .map(move |(source, observation)| ObservationEntry {
                    metric,
                    source,
                    observation,
                })
        })
    }

    /// How many observations of each other source still have enough weight for an estimate.
    pub fn effective_counts(&self, now: f64) -> BTreeMap<&Source, usize> {
        let mut counts = BTreeMap::new();
        for entry in self.observations() {
            let weight = entry.observation.weight(now, entry.metric);
            if *entry.source != self.own && weight > MIN_WEIGHT {
                *counts.entry(entry.source).or_default() += 1;
            }
        }
        counts
    }

    /// Removes all observations of others.
    pub fn remove_gossiped(&mut self) {
        let own = self.own.clone();
        self.retain_sources(|source| *source == own);
    }

    /// Removes all observations of the source of this name, in every incarnation.
    pub fn remove_source(&mut self, name: &str) {
        self.retain_sources(|source| source.name != name);
    }

    fn retain_sources(&mut self, is_retained: impl Fn(&Source) -> bool) {
        for by_source in self.observations.values_mut() {
            by_source.retain(|source, _| is_retained(source));
        }
        self.observations
            .retain(|_, by_source| !by_source.is_empty());
    }
}
