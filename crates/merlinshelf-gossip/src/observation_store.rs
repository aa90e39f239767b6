//! All observations that an instance holds, its own and those of others, and the estimates from
//! them.

use std::collections::BTreeMap;

use crate::metric::Metric;
use crate::observation::{
    GossipedObservation, InvalidObservation, MAX_AGE_SECONDS, MAX_HOPS, Observation, Source,
    SourceStatus,
};
use crate::own_samples::OwnObservation;

/// Sources that are held for one metric: enough that a lying one is outvoted, few enough that 3,000
/// peers cost no more than 8.
const MAX_SOURCES_PER_METRIC: usize = 8;
/// Metrics that are held: operations and dependencies of a large installation.
const MAX_METRICS: usize = 512;
/// An observation of less weight is left out of estimates.
const MIN_WEIGHT: f64 = 0.01;
/// Own samples beside which an estimate of full weight has half of the result.
const BLENDING_SAMPLES: f64 = 3.0;

/// An estimate of a metric from what others have observed.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// In the metric's unit.
    pub value: f64,
    /// How sure it is, 0 to 1.
    pub weight: f64,
    /// The sources that it rests on, the one of most weight first.
    pub sources: Vec<Source>,
}

impl Estimate {
    /// The part that the estimate has beside so many own samples, 0 to 1.
    pub fn share(&self, own_samples: usize) -> f64 {
        self.weight / (self.weight + own_samples as f64 / BLENDING_SAMPLES)
    }

    /// The estimate blended with an own value, each by its part.
    pub fn blend(&self, own_value: f64, own_samples: usize) -> f64 {
        if own_samples == 0 {
            return self.value;
        }
        let share = self.share(own_samples);
        self.value * share + own_value * (1.0 - share)
    }
}

/// One observation of the store with what it is of and who made it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservationEntry<'a> {
    /// What was observed.
    pub metric: &'a Metric,
    /// Who observed it.
    pub source: &'a Source,
    /// The observation.
    pub observation: &'a Observation,
}

/// The observations that one incarnation of an instance holds, the latest of each source.
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

    /// Records an own observation. The same value from as many samples as before is the earlier
    /// observation again: where nothing happens, it ages.
    pub fn record_own(&mut self, now: f64, own: OwnObservation, status: SourceStatus) {
        let known = self.get(&own.metric, &self.own);
        let is_repeated = known.is_some_and(|known| {
            known.value == own.value && known.sample_count == own.sample_count
        });
        // An implausible value is a fault of a clock or a sum, and is not sent to others either.
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

    /// Takes an observation that a peer sent. The same sequence number of the same source is the
    /// same observation, however often and over whatever peers it comes: it gets neither younger
    /// nor surer by that.
    ///
    /// # Errors
    /// It can't be true, or is an own one.
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
            // Own observations stay, whatever their weight.
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

    /// Makes place by removing the metric whose latest observation is the oldest.
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

    /// What may be sent to a peer. Of more than `max_count`, own observations go first, and of each
    /// kind those of most weight.
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

    /// All observations that may be sent or persisted: own ones, and those of others that were sent
    /// by their source.
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

    /// An estimate of the metric from what others have observed: the weighted median, so that no
    /// single liar moves it past what an honest source says where there are two of those.
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
            // As sure as the surest source: many echoes of a guess are still a guess.
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
