//! Priority load shedding: cohort groups, the rejection threshold, customer quotas and priority
//! weights.
//!
//! Source: the load shedding guide of Quarkus, 2.2 (docs/design.md).

use crate::InvocationState;
use crate::controller::AdmissionController;
use crate::samples::push;

/// Number of priority buckets. The lowest ranks are in the last bucket.
const PRIORITY_BUCKETS: f64 = 5.0;
/// Number of caller cohorts in each bucket.
const COHORTS_PER_BUCKET: f64 = 128.0;
/// Shift that reduces a 64-bit hash to a cohort number: its seven highest bits.
const COHORT_SHIFT: u32 = 57;
const SECONDS_PER_HOUR: f64 = 3600.0;
/// Priority weight of a retry relative to a first attempt. It keeps retries from displacing first
/// attempts on the cores. Drawback: a retry of an invocation that was rejected immediately waits
/// longer.
const RETRY_WEIGHT_FACTOR: f64 = 0.5;
/// A customer exceeds its quota once its rate is this many standard deviations above it, since a
/// few arrivals at one of hundreds of backends are weak evidence.
const QUOTA_DEVIATIONS: f64 = 2.0;

impl AdmissionController {
    /// CPU load above which cohort groups are rejected, from the guide.
    pub(crate) const REJECTION_LOAD: f64 = 0.8;

    /// An arrival above the limit whose group is above the rejection threshold, while the CPU load
    /// is high.
    pub(crate) fn find_above_threshold(&self) -> Option<usize> {
        let load = self.cpu_load();
        let exceeds_limit = self.invocations.in_flight() as f64 > self.limit;
        let sheds = exceeds_limit && load > AdmissionController::REJECTION_LOAD;
        self.invocations
            .newly_read()
            .filter(|&number| sheds && self.cohort_group(number) > rejection_threshold(load))
    }

    /// The cohort group of an invocation, from 1. The cohort depends on the instance's seed and the
    /// hour, so that no caller is rejected by all instances during the same hour.
    fn cohort_group(&self, number: usize) -> f64 {
        let invocation = &self.invocations[number];
        let rank = if invocation.exceeds_quota {
            0.0
        } else {
            invocation.request.rank.clamp(0.0, 0.999)
        };
        let bucket = (PRIORITY_BUCKETS - 1.0) - (rank * PRIORITY_BUCKETS).floor();
        let hour = (self.now / SECONDS_PER_HOUR) as u64;
        let hash = (invocation.request.caller ^ self.seed.rotate_left(17) ^ hour.rotate_left(40))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        bucket * COHORTS_PER_BUCKET + (hash >> COHORT_SHIFT) as f64 + 1.0
    }

    /// Billed value per core second.
    pub(crate) fn priority_weight(&self, invocation: &InvocationState) -> f64 {
        let value = self.operations[invocation.request.operation].settings.value;
        let retry = if invocation.request.is_retry {
            RETRY_WEIGHT_FACTOR
        } else {
            1.0
        };
        let quota = if invocation.exceeds_quota {
            self.settings.number("OverShareWorth", 1.0)
        } else {
            1.0
        };
        let work = if self.counts_value_by_work {
            1.0
        } else {
            self.expected_run(invocation).max(1e-3)
        };
        value * (retry * quota) / work
    }

    /// Records an arrival of a customer and returns whether it counts as above the customer's
    /// quota. Once the customer clearly exceeds the quota, this is drawn at random, with a
    /// probability equal to the excess fraction of its rate.
    pub(crate) fn record_customer_arrival(&mut self, customer: usize) -> bool {
        let setting = format!("Tenants.{customer}.QuotaPerS");
        let quota = self.settings.number(&setting, 0.0);
        let servers = self.settings.number("Servers", 1.0);
        let arrivals = self
            .callers
            .arrivals_by_customer
            .entry(customer)
            .or_default();
        push(arrivals, self.now);
        let count = arrivals.len() as f64;
        let rate = servers * (count - 1.0) / (self.now - arrivals[0]).max(0.5);
        let max_rate = quota * (1.0 + QUOTA_DEVIATIONS / count.sqrt());
        quota > 0.0 && rate > max_rate && self.random() < 1.0 - quota / rate
    }
}

/// The highest cohort group that is admitted at a CPU load from 0 to 1.
fn rejection_threshold(load: f64) -> f64 {
    PRIORITY_BUCKETS * COHORTS_PER_BUCKET * (1.0 - load.powi(3))
}
