//! Retries and hedged requests, out of a budget that successes fill: never where an effect might
//! happen twice, and not while the dependency as a whole fails.
//!
//! Hedged requests follow J. Dean and L. A. Barroso, "The Tail at Scale" (CACM 56:2, 2013): a
//! second request is sent once the first one takes longer than the 95th percentile.

use std::collections::VecDeque;

use crate::samples::push_bounded;

/// What happens if a call is made twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as if it is made once.
    Idempotent,
    /// Its effect may happen twice.
    NonIdempotent,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was replied to.
    Succeeded,
    /// It never reached the server: the connection was refused.
    NeverSent,
    /// The server replied that it failed and did nothing.
    Refused,
    /// Anything else: it may have taken effect.
    Unknown,
}

/// Tokens that each success adds: a tenth bounds all attempts to 1.1 a call.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// Tokens that a full budget has, as it does at the start.
const MAX_TOKENS: f64 = 10.0;
/// The latest attempts by which the dependency as a whole is judged, the fewest that suffice, and
/// the share of failures from which it fails: while more than one in five still succeeds, holding
/// all calls back loses more than it saves.
const OUTCOME_WINDOW: usize = 50;
const MIN_OUTCOMES: usize = 10;
const FAILING_SHARE: f64 = 0.8;
/// The latest durations, the fewest that suffice, and the percentile of a hedged request's delay.
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

    /// Whether the dependency as a whole fails: a retry does not help, and adds to its load.
    pub fn is_failing(&self) -> bool {
        let attempts = self.successes.len();
        let failures = self.successes.iter().filter(|success| !**success).count();
        attempts >= MIN_OUTCOMES && failures as f64 >= FAILING_SHARE * attempts as f64
    }

    /// Discards the recorded outcomes: others found that the dependency has recovered.
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

    /// Seconds after which a hedged request may be sent; `None` where it never may.
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

    /// Tokens in the budget: a retry or hedged request takes one.
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
