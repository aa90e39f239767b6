//! The history of the service of all hosts, sampled at intervals, from which a change is judged.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::ServiceCounts;

/// The time between two samples, seconds.
const SAMPLE_INTERVAL_SECONDS: f64 = 0.25;
/// How many samples are stored: two minutes of them.
const MAX_SAMPLES: usize = 480;
/// Fewer invocations than these give no ratio.
const MIN_INVOCATIONS: u64 = 50;
/// Samples this close to the ends of a time range belong to it, seconds: it absorbs rounding.
const ROUNDING_SECONDS: f64 = 1e-9;

/// The ratio of succeeded invocations to all, 0 to 1.
pub type ServiceRatio = f64;

#[derive(Clone, Copy, Debug)]
struct Sample {
    sampled_at: f64,
    total: ServiceCounts,
}

/// Samples of the sum over all hosts. `now` is the agent's own monotonic clock in seconds.
#[derive(Clone, Debug, Default)]
pub struct ServiceHistory {
    hosts: BTreeMap<String, ServiceCounts>,
    samples: VecDeque<Sample>,
}

impl ServiceHistory {
    /// A host has reported its counts.
    pub fn update_host(&mut self, host: &str, counts: ServiceCounts) {
        self.hosts.insert(host.to_owned(), counts);
    }

    /// Takes a sample where one is due; whether it was.
    pub fn sample(&mut self, now: f64) -> bool {
        let is_due = self
            .samples
            .back()
            .is_none_or(|last| now >= last.sampled_at + SAMPLE_INTERVAL_SECONDS);
        if !is_due {
            return false;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            sampled_at: now,
            total: self.total(),
        });
        true
    }

    fn total(&self) -> ServiceCounts {
        ServiceCounts {
            invocations: self.hosts.values().map(|counts| counts.invocations).sum(),
            succeeded: self.hosts.values().map(|counts| counts.succeeded).sum(),
        }
    }

    /// The ratio of succeeded invocations between two times; `None` where there were too few, or
    /// where counts fell because an agent was started anew.
    pub fn success_ratio(&self, from: f64, until: f64) -> Option<ServiceRatio> {
        let range = from - ROUNDING_SECONDS..=until + ROUNDING_SECONDS;
        let mut within = self
            .samples
            .iter()
            .filter(|sample| range.contains(&sample.sampled_at));
        let first = within.next()?.total;
        let last = within.next_back().map_or(first, |sample| sample.total);
        let invocations = last.invocations.checked_sub(first.invocations)?;
        let succeeded = last.succeeded.checked_sub(first.succeeded)?;
        (invocations >= MIN_INVOCATIONS).then(|| succeeded as f64 / invocations as f64)
    }
}
