//! A budget for retries and hedged requests, which successes refill. A call is not repeated if its
//! effect might happen twice, nor while the dependency as a whole fails.
//!
//! Hedged requests follow J. Dean and L. A. Barroso, "The Tail at Scale" (CACM 56:2, 2013): a
//! second request is sent once the first one takes longer than the 95th percentile.

use std::collections::VecDeque;

use crate::samples::push_bounded;

/// The effect of making a call twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as making it once.
    Idempotent,
    /// Its effect may happen twice.
    NonIdempotent,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server replied.
    Succeeded,
    /// The attempt never reached the server: the connection was refused.
    NeverSent,
    /// The server replied that the call failed without any effect.
    Refused,
    /// Anything else: the attempt may have taken effect.
    Unknown,
}

/// Tokens added by each success: a tenth limits the attempts to 1.1 per call.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// Tokens of a full budget; it starts full.
const MAX_TOKENS: f64 = 10.0;
/// Number of latest attempts from which the health of the dependency as a whole is derived, the
/// fewest that suffice, and the share of failures from which it counts as failing. While more than
/// one in five attempts succeeds, blocking all calls would lose more than it saves.
const OUTCOME_WINDOW: usize = 50;
const MIN_OUTCOMES: usize = 10;
const FAILING_SHARE: f64 = 0.8;
/// Number of latest durations from which the delay of hedged requests is derived, the fewest that
/// suffice, and the percentile used.
const DURATION_WINDOW: usize = 100;
const MIN_DURATIONS: usize = DURATION_WINDOW / 5;
const HEDGE_PERCENTILE: f64 = 0.95;

/// The budget of one dependency.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    /// Whether each of the latest attempts succeeded.
    successes: VecDeque<bool>,
    durations_seconds: VecDeque<f64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            tokens: MAX_TOKENS,
            successes: VecDeque::new(),
            durations_seconds: VecDeque::new(),
        }
    }
}

impl RetryBudget {
    /// Records the outcome of an attempt and its duration.
    pub fn record_attempt(&mut self, outcome: AttemptOutcome, duration_seconds: f64) {
        let succeeded = outcome == AttemptOutcome::Succeeded;
        push_bounded(&mut self.successes, succeeded, OUTCOME_WINDOW);
        if succeeded {
            self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
            push_bounded(
                &mut self.durations_seconds,
                duration_seconds,
                DURATION_WINDOW,
            );
        }
    }

    /// Whether the dependency as a whole fails, so that retries would only add load.
    pub fn is_failing(&self) -> bool {
        let attempts = self.successes.len();
        let failures = self.successes.iter().filter(|success| !**success).count();
        attempts >= MIN_OUTCOMES && failures as f64 >= FAILING_SHARE * attempts as f64
    }

    /// Discards the recorded outcomes, after other instances have found that the dependency has
    /// recovered.
    pub fn clear_outcomes(&mut self) {
        self.successes.clear();
    }

    /// Whether a call may be retried after this outcome; takes a token if so.
    pub fn try_retry(&mut self, effect: Effect, outcome: AttemptOutcome) -> bool {
        let is_safe = match outcome {
            AttemptOutcome::Succeeded => false,
            AttemptOutcome::NeverSent | AttemptOutcome::Refused => true,
            AttemptOutcome::Unknown => effect == Effect::Idempotent,
        };
        is_safe && self.try_withdraw()
    }

    /// Seconds after which a hedged request may be sent; `None` if it may not be sent.
    pub fn hedge_delay_seconds(&self, effect: Effect) -> Option<f64> {
        if effect != Effect::Idempotent || self.durations_seconds.len() < MIN_DURATIONS {
            return None;
        }
        let mut sorted: Vec<f64> = self.durations_seconds.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let index = ((sorted.len() - 1) as f64 * HEDGE_PERCENTILE).ceil() as usize;
        sorted.get(index).copied()
    }

    /// Whether a hedged request may be sent now; takes a token if so.
    pub fn try_hedge(&mut self, effect: Effect) -> bool {
        effect == Effect::Idempotent && self.try_withdraw()
    }

    /// Tokens in the budget; a retry or hedged request takes one.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn try_withdraw(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0 && !self.is_failing();
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
