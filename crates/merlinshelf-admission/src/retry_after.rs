//! Final answers to invocations that are not served: rejections with a retry time, and failures.

use crate::controller::{AdmissionController, TICK_SECONDS};
use crate::samples::{mean_with_prior, push};
use crate::{Rejection, Stage};

/// Share of retries among the recent arrivals above which callers are asked not to fail over, since
/// other instances are then likely to reject too. This keeps retry storms from growing. Drawback:
/// work is lost if other instances have capacity.
const RETRY_STORM_SHARE: f64 = 0.15;
/// Retry-After is drawn at random between this fraction of the expected time to finish the work in
/// flight and the sum of this fraction and [`RETRY_AFTER_FRACTION_SPREAD`].
const MIN_RETRY_AFTER_FRACTION: f64 = 0.25;
/// Width of the range from which the fraction for Retry-After is drawn.
const RETRY_AFTER_FRACTION_SPREAD: f64 = 0.5;

impl AdmissionController {
    /// Sends the final answer to an invocation that can't be served: a rejection if it has not run
    /// and is no repeat, else a failure.
    pub(crate) fn reject_or_fail(&mut self, number: usize) {
        let now = self.now;
        let invocation = &mut self.invocations[number];
        if matches!(invocation.stage, Stage::Read | Stage::Queued) && !invocation.request.is_repeat
        {
            return self.reject(number);
        }
        invocation.is_answered = true;
        if matches!(invocation.stage, Stage::AwaitingCall | Stage::Calling) {
            // Without its time in the call, the samples of a slow dependency would cover only the
            // calls that succeeded.
            let downstream = invocation.off_core_seconds + now - invocation.stage_entered_at;
            let operation = &mut self.operations[invocation.request.operation];
            push(&mut operation.samples.downstream_durations, downstream);
        }
        self.decisions.failed.push(number);
        self.release_if_not_run(number);
    }

    /// Rejects an invocation that has not run.
    pub(crate) fn reject(&mut self, number: usize) {
        let is_retry = self.invocations[number].request.is_retry;
        let operation = self.invocations[number].request.operation;
        let is_switched_off = self.operations[operation].settings.is_switched_off();
        let retry_after_seconds = self.retry_after(is_switched_off);
        let retry_share =
            mean_with_prior(&self.callers.retry_marks, self.prior_estimates.retry_share);
        let no_failover = is_switched_off || is_retry || retry_share > RETRY_STORM_SHARE;
        self.decisions.rejected.push(Rejection {
            invocation: number,
            retry_after_seconds,
            no_failover,
        });
        if let Some(last) = self.advertisement.arrivals_rejected.last_mut() {
            *last = true;
        }
        self.record_decision(1.0);
        self.release(number);
    }

    /// Time after which a rejected caller may retry, in seconds. It is drawn at random around half
    /// of the expected time to finish the work in flight, so that callers don't return all at once.
    /// If an earlier retry can't succeed, it is the maximum that the settings allow.
    fn retry_after(&mut self, is_switched_off: bool) -> f64 {
        let max_seconds = if self.settings.text("Allowed.RetryAfter") == "true" {
            self.settings.seconds("Allowed.MaxRetryAfterUs", 0.0)
        } else {
            0.0
        };
        let work: f64 = self
            .invocations
            .all()
            .map(|invocation| self.expected_run(invocation))
            .sum();
        let fraction = MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_FRACTION_SPREAD * self.random();
        let drawn = work / self.settings.cores() * fraction;
        if is_switched_off || self.shutdown.is_some() {
            max_seconds
        } else {
            drawn.max(TICK_SECONDS).min(max_seconds)
        }
    }

    /// Records a decision: 1 for a rejection, 0 for a start. If callers don't mark retries, the
    /// share of rejections is used in place of the share of retries.
    pub(crate) fn record_decision(&mut self, rejected: f64) {
        if !self.marks_retries {
            push(&mut self.callers.retry_marks, rejected);
        }
    }

    /// Releases an invocation that has not run, or that waits for another's result. A run is
    /// released when it ends.
    pub(crate) fn release_if_not_run(&mut self, number: usize) {
        let stage = self.invocations[number].stage;
        if matches!(stage, Stage::Read | Stage::Queued | Stage::Joined) {
            self.release(number);
        }
    }
}
