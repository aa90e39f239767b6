//! Priority load shedding: cohort groups, the rejection threshold, quotas of customers, priority
//! weights.
//!
//! Source: the load shedding guide of Quarkus, 2.2 (docs/design.md).

use crate::InvocationState;
use crate::controller::AdmissionController;
use crate::samples::push;

/// Priority buckets, by rank; the lowest rank is in the last one.
const BUCKETS: f64 = 5.0;
/// Cohorts of callers in each bucket.
const COHORTS: f64 = 128.0;
/// Bits of a hash that number a cohort are its highest ones.
const COHORT_SHIFT: u32 = 57;
const SECONDS_PER_HOUR: f64 = 3600.0;
/// What a retry's priority weight is of a first attempt's: it keeps retries from taking the cores
/// of first attempts. Harm: one that was rejected at once waits longer. 0.2 measured: no better.
const RETRY_WEIGHT: f64 = 0.5;
/// A customer is over its quota once its rate is so many deviations above it: a few arrivals at one
/// of hundreds of backends say little.
const QUOTA_DEVIATIONS: f64 = 2.0;

impl AdmissionController {
    /// The CPU load up to which nothing is rejected by group; the guide's own.
    pub(crate) const REJECTION_LOAD: f64 = 0.8;

    /// An arrival over the limit, on busy cores, whose group is above the threshold.
    pub(crate) fn find_above_threshold(&self) -> Option<usize> {
        let load = self.cpu_load();
        let is_over = self.invocations.in_flight() as f64 > self.limit;
        let sheds = is_over && load > AdmissionController::REJECTION_LOAD;
        self.invocations
            .newly_read()
            .filter(|&number| sheds && self.cohort_group(number) > rejection_threshold(load))
    }

    /// The cohort group of an invocation, from 1. The instance's seed goes into the cohort, so that
    /// no caller is shut out on all servers for the same hour.
    fn cohort_group(&self, number: usize) -> f64 {
        let invocation = &self.invocations[number];
        let rank = if invocation.exceeds_quota {
            0.0
        } else {
            invocation.request.rank.clamp(0.0, 0.999)
        };
        let bucket = (BUCKETS - 1.0) - (rank * BUCKETS).floor();
        let hour = (self.now / SECONDS_PER_HOUR) as u64;
        let hash = (invocation.request.caller ^ self.seed.rotate_left(17) ^ hour.rotate_left(40))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        bucket * COHORTS + (hash >> COHORT_SHIFT) as f64 + 1.0
    }

    /// Billed value by second of core.
    pub(crate) fn priority_weight(&self, invocation: &InvocationState) -> f64 {
        let value = self.operations[invocation.request.operation].settings.value;
        let retry = if invocation.request.is_retry {
            RETRY_WEIGHT
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

    /// Records an arrival of a customer. Whether it is over the customer's quota: by chance, in
    /// proportion, once the customer clearly is over it here.
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
        let bound = quota * (1.0 + QUOTA_DEVIATIONS / count.sqrt());
        quota > 0.0 && rate > bound && self.random() < 1.0 - quota / rate
    }
}

/// Groups above this are rejected at a CPU load of 0 to 1.
fn rejection_threshold(load: f64) -> f64 {
    BUCKETS * COHORTS * (1.0 - load.powi(3))
}
