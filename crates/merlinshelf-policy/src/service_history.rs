//! The history of served invocations on all hosts, sampled at intervals, to compare the service
//! before and after a change.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::ServiceCounts;

/// The time between two samples, seconds.
const SAMPLE_INTERVAL_SECONDS: f64 = 0.25;
/// The maximum number of stored samples, which cover two minutes.
const MAX_SAMPLES: usize = 480;
/// The minimum number of invocations for a meaningful ratio.
const MIN_INVOCATIONS: u64 = 50;
/// Tolerance for rounding at the ends of a time range, seconds.
const ROUNDING_SECONDS: f64 = 1e-9;

/// The ratio of succeeded invocations to all invocations, 0 to 1.
pub type ServiceRatio = f64;

#[derive(Clone, Copy, Debug)]
struct Sample {
    sampled_at: f64,
    total: ServiceCounts,
}

/// Samples of the counts summed over all hosts. `now` is in seconds of the agent's own monotonic
/// clock.
#[derive(Clone, Debug, Default)]
pub struct ServiceHistory {
    hosts: BTreeMap<String, ServiceCounts>,
    samples: VecDeque<Sample>,
}

impl ServiceHistory {
    /// Stores the counts that a host reported.
    pub fn update_host(&mut self, host: &str, counts: ServiceCounts) {
        self.hosts.insert(host.to_owned(), counts);
    }

    /// Takes a sample if one is due; returns whether it was.
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

    /// The ratio of succeeded invocations between two times; `None` if there were too few
    /// invocations, or if the counts decreased because an agent restarted.
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
