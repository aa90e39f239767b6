//! The state of one call between its start and its end.

use crate::config::Call;
use crate::retry_budget::Effect;

/// How an attempt relates to the other attempts of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// The only one in flight.
    Sequential,
    /// A hedged request beside another attempt.
    Hedged,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) attempt_id: u64,
    pub(super) server: String,
    pub(super) started_at: f64,
    pub(super) kind: AttemptKind,
}

/// A call that has not ended.
#[derive(Clone, Debug)]
pub(super) struct CallState {
    /// Index of its operation.
    pub(super) operation: usize,
    pub(super) config: Call,
    /// Where it is made: the configured dependency, or one of its fallbacks.
    pub(super) dependency: String,
    pub(super) uses_fallback_dependency: bool,
    pub(super) deadline: f64,
    pub(super) effect: Effect,
    pub(super) payload: Vec<u8>,
    pub(super) attempts: Vec<Attempt>,
    /// Names of the servers that had an attempt, at the present dependency.
    pub(super) tried_servers: Vec<String>,
    pub(super) hedge_at: Option<f64>,
    /// It waits for capacity.
    pub(super) is_waiting: bool,
    /// An attempt may have taken effect.
    pub(super) may_have_run: bool,
}

impl CallState {
    /// When the router must act though nothing happens.
    pub(super) fn next_timeout(&self) -> f64 {
        self.hedge_at
            .map_or(self.deadline, |hedge_at| hedge_at.min(self.deadline))
    }

    pub(super) fn is_due(&self, now: f64) -> bool {
        now >= self.deadline || self.hedge_at.is_some_and(|hedge_at| now >= hedge_at)
    }

    /// Whether it may be made elsewhere: what may have taken effect is not repeated, and what has
    /// no time left is not begun.
    pub(super) fn can_use_fallback_dependency(&self, now: f64) -> bool {
        let is_safe = !self.may_have_run || self.effect == Effect::Idempotent;
        is_safe && now < self.deadline
    }

    /// Redirects it to a fallback dependency.
    pub(super) fn redirect(&mut self, dependency: String) {
        self.uses_fallback_dependency = true;
        self.dependency = dependency;
        self.tried_servers.clear();
        self.hedge_at = None;
    }

    /// The configured dependency, where a fallback dependency replied for it.
    pub(super) fn missing_dependency(&self) -> Option<String> {
        self.uses_fallback_dependency
            .then(|| self.config.dependency.clone())
    }
}
