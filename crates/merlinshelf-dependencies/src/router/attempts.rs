//! The outcomes of attempts: replies, retries, hedged requests, deadlines and cancellation.

use super::call_state::{Attempt, AttemptKind};
use super::fallback::FallbackCause;
use super::{Action, CallEnd, Router};
use crate::config::Fallback;
use crate::retry_budget::AttemptOutcome;
use crate::server::ServerOutcome;

impl Router {
    /// Handles the end of an attempt, with its reply if it succeeded. Late outcomes of cancelled
    /// attempts are ignored.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        attempt_id: u64,
        outcome: AttemptOutcome,
        reply: &[u8],
        random: &mut dyn FnMut() -> f64,
    ) {
        let Some(call_id) = self.call_by_attempt.get(&attempt_id).copied() else {
            return;
        };
        let server_outcome = if outcome == AttemptOutcome::Succeeded {
            ServerOutcome::Succeeded
        } else {
            ServerOutcome::Failed
        };
        let attempt = self.close_attempt(now, attempt_id, server_outcome, outcome);
        let Some(attempt) = attempt else {
            return;
        };
        if outcome == AttemptOutcome::Succeeded {
            self.complete_with_reply(now, call_id, &attempt, reply, random);
        } else {
            self.retry_or_fall_back(now, call_id, outcome, random);
        }
    }

    fn complete_with_reply(
        &mut self,
        now: f64,
        call_id: u64,
        attempt: &Attempt,
        reply: &[u8],
        random: &mut dyn FnMut() -> f64,
    ) {
        let Some(call) = self.calls.get(call_id) else {
            return;
        };
        if let Some(state) = self.states.get_mut(&call.dependency) {
            let is_hedged = attempt.kind == AttemptKind::Hedged;
            let has_others = !call.attempts.is_empty();
            state.counters.succeeded += 1;
            state.counters.hedges_won += u64::from(is_hedged);
            state.counters.hedges_lost += u64::from(!is_hedged && has_others);
        }
        let is_cached = matches!(call.config.fallback, Fallback::Cached { .. });
        if is_cached && !call.uses_fallback_dependency {
            let dependency = &call.config.dependency;
            self.reply_cache
                .insert(now, dependency, &call.payload, reply);
        }
        let missing = call.missing_dependency();
        self.end_call(now, call_id, random);
        self.actions.push_back(Action::Complete {
            call_id,
            end: CallEnd::Reply { missing },
        });
    }

    fn retry_or_fall_back(
        &mut self,
        now: f64,
        call_id: u64,
        outcome: AttemptOutcome,
        random: &mut dyn FnMut() -> f64,
    ) {
        let Some(call) = self.calls.get_mut(call_id) else {
            return;
        };
        call.may_have_run |= outcome == AttemptOutcome::Unknown;
        if !call.attempts.is_empty() {
            return; // the other attempt may still succeed
        }
        let state = self.states.get_mut(&call.dependency);
        let may_retry = state.is_some_and(|state| {
            let has_time = now + state.mean_seconds().unwrap_or(0.0) < call.deadline;
            has_time
                && state.has_retry_quota()
                && state.retry_budget.try_retry(call.effect, outcome)
        });
        let is_retried = may_retry
            && self
                .send_attempt(now, call_id, AttemptKind::Sequential, random)
                .is_ok();
        if !is_retried {
            self.release_capacity(now, call_id, random);
            self.fall_back(now, call_id, FallbackCause::AttemptFailed, random);
        } else if let Some(state) = self.state_of_call(call_id) {
            state.counters.retries += 1;
        }
    }

    /// Removes an attempt that is no longer in flight, and records its outcome and duration.
    fn close_attempt(
        &mut self,
        now: f64,
        attempt_id: u64,
        server_outcome: ServerOutcome,
        outcome: AttemptOutcome,
    ) -> Option<Attempt> {
        let call_id = self.call_by_attempt.remove(&attempt_id)?;
        let call = self.calls.get_mut(call_id)?;
        let index = call
            .attempts
            .iter()
            .position(|attempt| attempt.attempt_id == attempt_id)?;
        let attempt = call.attempts.swap_remove(index);
        let duration_seconds = (now - attempt.started_at).max(0.0);
        if let Some(state) = self.states.get_mut(&call.dependency) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if let Some(server) = state.pool.index_of(&attempt.server) {
                state
                    .pool
                    .record_outcome(now, server, server_outcome, duration_seconds);
            }
            if server_outcome != ServerOutcome::Cancelled {
                state.retry_budget.record_attempt(outcome, duration_seconds);
            }
            if outcome == AttemptOutcome::Succeeded {
                state.record_success(now, &attempt.server, duration_seconds);
            }
        }
        Some(attempt)
    }

    fn cancel_attempts(&mut self, now: f64, call_id: u64, server_outcome: ServerOutcome) {
        let Some(call) = self.calls.get(call_id) else {
            return;
        };
        let attempts = call.attempts.iter().map(|attempt| attempt.attempt_id);
        let attempt_ids: Vec<u64> = attempts.collect();
        for attempt_id in attempt_ids {
            self.close_attempt(now, attempt_id, server_outcome, AttemptOutcome::Unknown);
            self.actions.push_back(Action::Cancel { attempt_id });
        }
    }

    /// Removes a call that needs no further attempts, and cancels those in flight.
    fn end_call(&mut self, now: f64, call_id: u64, random: &mut dyn FnMut() -> f64) {
        self.cancel_attempts(now, call_id, ServerOutcome::Cancelled);
        self.release_capacity(now, call_id, random);
        self.calls.remove(call_id);
    }

    /// Cancels a call whose result is no longer needed, with its attempts. It is not reported as
    /// complete.
    pub fn cancel_call(&mut self, now: f64, call_id: u64, random: &mut dyn FnMut() -> f64) {
        let Some(call) = self.calls.get(call_id) else {
            return;
        };
        if call.is_waiting {
            if let Some(state) = self.states.get_mut(&call.dependency) {
                state.wait_queue.remove(call_id);
            }
            self.calls.remove(call_id);
        } else {
            self.end_call(now, call_id, random);
        }
    }

    /// Handles the timeout of [`next_timeout`](Router::next_timeout): ends calls whose deadline has
    /// passed, and sends hedged requests that are due.
    pub fn handle_timeout(&mut self, now: f64, random: &mut dyn FnMut() -> f64) {
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_due(now))
            .map(|(call_id, _)| call_id)
            .collect();
        for call_id in due {
            let Some(call) = self.calls.get(call_id) else {
                continue;
            };
            if now >= call.deadline {
                self.deadline_passed(now, call_id, random);
            } else {
                self.hedge(now, call_id, random);
            }
        }
    }

    fn deadline_passed(&mut self, now: f64, call_id: u64, random: &mut dyn FnMut() -> f64) {
        let Some(call) = self.calls.get_mut(call_id) else {
            return;
        };
        if let Some(state) = self.states.get_mut(&call.dependency) {
            state.counters.timed_out += 1;
            state.wait_queue.remove(call_id);
        }
        call.may_have_run |= !call.attempts.is_empty();
        let cause = if call.is_waiting {
            FallbackCause::NotMade
        } else {
            FallbackCause::AttemptFailed
        };
        self.cancel_attempts(now, call_id, ServerOutcome::TimedOut);
        if cause == FallbackCause::AttemptFailed {
            self.release_capacity(now, call_id, random);
        }
        self.fall_back(now, call_id, cause, random);
    }

    /// Sends a hedged request if there is capacity, quota and budget for it.
    fn hedge(&mut self, now: f64, call_id: u64, random: &mut dyn FnMut() -> f64) {
        let Some(call) = self.calls.get_mut(call_id) else {
            return;
        };
        call.hedge_at = None;
        let effect = call.effect;
        let may_hedge = self.state_of_call(call_id).is_some_and(|state| {
            state.has_capacity() && state.has_retry_quota() && state.retry_budget.try_hedge(effect)
        });
        let is_hedged = may_hedge
            && self
                .send_attempt(now, call_id, AttemptKind::Hedged, random)
                .is_ok();
        if is_hedged && let Some(state) = self.state_of_call(call_id) {
            state.counters.hedges += 1;
        }
    }
}
