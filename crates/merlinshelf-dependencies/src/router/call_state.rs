//! The state of one call between its start and its end.

use crate::config::Call;
use crate::retry_budget::Effect;

/// How an attempt relates to the other attempts of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// The only attempt in flight.
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
    /// The dependency it is sent to: the configured one, or one of its fallbacks.
    pub(super) dependency: String,
    pub(super) uses_fallback_dependency: bool,
    pub(super) deadline: f64,
    pub(super) effect: Effect,
    pub(super) payload: Vec<u8>,
    pub(super) attempts: Vec<Attempt>,
    /// Names of the servers of the present dependency that an attempt was sent to.
    pub(super) tried_servers: Vec<String>,
    pub(super) hedge_at: Option<f64>,
    /// Whether the call waits for capacity.
    pub(super) is_waiting: bool,
    /// Whether an attempt may have taken effect.
    pub(super) may_have_run: bool,
}

impl CallState {
    /// When the router must act on the call at the latest, without other events.
    pub(super) fn next_timeout(&self) -> f64 {
        self.hedge_at
            .map_or(self.deadline, |hedge_at| hedge_at.min(self.deadline))
    }

    pub(super) fn is_due(&self, now: f64) -> bool {
        now >= self.deadline || self.hedge_at.is_some_and(|hedge_at| now >= hedge_at)
    }

    /// Whether the call may be sent to a fallback dependency: not if it may have taken effect and
    /// is not idempotent, nor after its deadline.
    pub(super) fn can_use_fallback_dependency(&self, now: f64) -> bool {
        let is_safe = !self.may_have_run || self.effect == Effect::Idempotent;
        is_safe && now < self.deadline
    }

    /// Redirects the call to a fallback dependency.
    pub(super) fn redirect(&mut self, dependency: String) {
        self.uses_fallback_dependency = true;
        self.dependency = dependency;
        self.tried_servers.clear();
        self.hedge_at = None;
    }

    /// The configured dependency, if a fallback dependency replied in its place.
    pub(super) fn missing_dependency(&self) -> Option<String> {
        self.uses_fallback_dependency
            .then(|| self.config.dependency.clone())
    }
}
