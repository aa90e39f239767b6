//! Final answers to what is not served: rejections with a time to come back, and failures.

use crate::controller::{AdmissionController, TICK_SECONDS};
use crate::samples::{mean_with_prior, push};
use crate::{Rejection, Stage};

/// Part of retries among the last arrivals over which callers are asked not to try elsewhere: all
/// reject then. It keeps storms of retries from growing. Harm: work is lost where other servers
/// have room.
const RETRY_STORM_PART: f64 = 0.15;
/// Retry-After is drawn between a quarter and three quarters of the time that the work in flight
/// takes.
const RETRY_AFTER_LEAST_PART: f64 = 0.25;
const RETRY_AFTER_SPREAD: f64 = 0.5;

impl AdmissionController {
    /// The final answer to what can't be served: rejected if it has not run, else failed, as is a
    /// repeat.
    pub(crate) fn give_up(&mut self, number: usize) {
        let now = self.now;
        let invocation = &mut self.invocations[number];
        if matches!(invocation.stage, Stage::Read | Stage::Queued) && !invocation.request.is_repeat
        {
            return self.reject(number);
        }
        invocation.is_answered = true;
        if matches!(invocation.stage, Stage::AwaitingCall | Stage::Calling) {
            // Its time at the call counts, else a slow dependency shows only in the calls that it
            // let through.
            let downstream = invocation.off_core_seconds + now - invocation.stage_entered_at;
            let operation = &mut self.operations[invocation.request.operation];
            push(&mut operation.samples.downstream_durations, downstream);
        }
        self.decisions.failed.push(number);
        self.release_if_not_run(number);
    }

    /// Rejects what has not run.
    pub(crate) fn reject(&mut self, number: usize) {
        let is_retry = self.invocations[number].request.is_retry;
        let operation = self.invocations[number].request.operation;
        let is_switched_off = self.operations[operation].settings.is_switched_off();
        let retry_after_seconds = self.retry_after(is_switched_off);
        let retry_share =
            mean_with_prior(&self.callers.retry_marks, self.prior_estimates.retry_share);
        let no_failover = is_switched_off || is_retry || retry_share > RETRY_STORM_PART;
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

    /// After how long a caller may come back: about half the time that the work in flight takes,
    /// drawn, so that callers do not return in a wave; as late as settings allow where no sooner
    /// return could help.
    fn retry_after(&mut self, is_switched_off: bool) -> f64 {
        let most = if self.settings.text("Allowed.RetryAfter") == "true" {
            self.settings.seconds("Allowed.MaxRetryAfterUs", 0.0)
        } else {
            0.0
        };
        let work: f64 = self
            .invocations
            .all()
            .map(|invocation| self.expected_run(invocation))
            .sum();
        let part = RETRY_AFTER_LEAST_PART + RETRY_AFTER_SPREAD * self.random();
        let drawn = work / self.settings.cores() * part;
        if is_switched_off || self.shutdown.is_some() {
            most
        } else {
            drawn.max(TICK_SECONDS).min(most)
        }
    }

    /// Where callers do not mark retries, the part of decisions that were rejections stands in for
    /// that of retries.
    pub(crate) fn record_decision(&mut self, rejected: f64) {
        if !self.marks_retries {
            push(&mut self.callers.retry_marks, rejected);
        }
    }

    /// Releases what has not run or waits for another's result; a run is released at its end.
    pub(crate) fn release_if_not_run(&mut self, number: usize) {
        let stage = self.invocations[number].stage;
        if matches!(stage, Stage::Read | Stage::Queued | Stage::Joined) {
            self.release(number);
        }
    }
}
