//! Starts calls: deadline, admission, choice of a server, and waiting for capacity.

use super::call_state::{Attempt, AttemptKind, CallState};
use super::dependency_state::{Admission, DependencyState, Unavailable};
use super::fallback::FallbackCause;
use super::{Action, CallEnd, CallRequest, Router};
use crate::config::{Call, Fallback};
use crate::deadline::deadline_share;

/// Assumed duration of a call before any was measured: that of a call over a local network.
const UNMEASURED_SECONDS: f64 = 0.01;
/// Share of the time allowed by the admission controller within which a call ends, since that
/// controller's timeout would leave no time for a fallback.
const MAX_WAIT_SHARE: f64 = 0.95;
/// A call with a fallback is abandoned once it takes this multiple of the slowest of the latest
/// calls: a reply is then unlikely, and waiting would use up the run's remaining time. Probes of a
/// failing dependency are not limited by this.
const MAX_SLOWDOWN: f64 = 10.0;
/// Shortest timeout of an attempt, in seconds.
const MIN_TIMEOUT_SECONDS: f64 = 0.001;

impl Router {
    /// Whether a call is configured, so that [`start_call`](Router::start_call) can make it.
    pub fn routes_call(
        &self,
        operation: &str,
        call_index: usize,
        named_dependency: Option<&str>,
    ) -> bool {
        self.call_config(operation, call_index, named_dependency)
            .is_some()
    }

    /// Starts a call, and returns its number.
    pub fn start_call(
        &mut self,
        now: f64,
        request: &CallRequest<'_>,
        random: &mut dyn FnMut() -> f64,
    ) -> u64 {
        let call_id = self.ids.next();
        let config = self.call_config(
            request.operation,
            request.call_index,
            request.named_dependency,
        );
        let Some(config) = config.cloned() else {
            self.actions.push_back(Action::Complete {
                call_id,
                end: CallEnd::NeverRan,
            });
            return call_id;
        };
        let time_limit_seconds = self.time_limit_seconds(request, &config);
        let operation = self.operations.get(request.operation);
        let call = CallState {
            operation: operation.copied().unwrap_or(0),
            dependency: config.dependency.clone(),
            config,
            uses_fallback_dependency: false,
            deadline: now + time_limit_seconds.unwrap_or(0.0),
            effect: request.effect,
            payload: request.payload.to_vec(),
            attempts: Vec::new(),
            tried_servers: Vec::new(),
            hedge_at: None,
            is_waiting: false,
            may_have_run: false,
        };
        self.calls.insert(call_id, call);
        match time_limit_seconds {
            Some(_) => self.begin(now, call_id, random),
            None => self.fall_back(now, call_id, FallbackCause::NotMade, random),
        }
        call_id
    }

    /// Seconds that a call may take: its share of the remaining time, and no longer than the
    /// admission controller allows. `None` if there is no time for it.
    fn time_limit_seconds(&self, request: &CallRequest<'_>, config: &Call) -> Option<f64> {
        let remaining_seconds = request
            .remaining_seconds
            .unwrap_or(request.max_wait_seconds);
        let share_seconds = match config.deadline_share {
            Some(share) => (remaining_seconds > 0.0).then_some(remaining_seconds * share),
            None => self.measured_share_seconds(request, config, remaining_seconds),
        };
        share_seconds
            .map(|share| share.min(request.max_wait_seconds * MAX_WAIT_SHARE))
            .map(|limit| limit.min(self.abandon_after_seconds(config)))
            .filter(|limit| *limit > 0.0)
    }

    /// The share of the remaining time in proportion to the measured durations of this and later
    /// calls.
    fn measured_share_seconds(
        &self,
        request: &CallRequest<'_>,
        config: &Call,
        remaining_seconds: f64,
    ) -> Option<f64> {
        let operation = self.config.operations.get(request.operation);
        let calls = operation.map_or(&[][..], |operation| operation.calls.as_slice());
        let later_calls = calls.iter().skip(request.call_index + 1);
        let durations_seconds: Vec<f64> = std::iter::once(config)
            .chain(later_calls)
            .map(|call| self.expected_seconds(call))
            .collect();
        let lowest_seconds = self
            .states
            .get(&config.dependency)
            .map_or(0.0, |state| state.lowest_seconds);
        deadline_share(remaining_seconds, &durations_seconds, lowest_seconds)
    }

    fn expected_seconds(&self, call: &Call) -> f64 {
        self.states
            .get(&call.dependency)
            .and_then(DependencyState::mean_seconds)
            .unwrap_or(UNMEASURED_SECONDS)
    }

    /// Seconds after which a call is abandoned for its fallback.
    fn abandon_after_seconds(&self, config: &Call) -> f64 {
        let has_fallback = !config.is_required || config.fallback != Fallback::Nothing;
        let slowest_seconds = self
            .states
            .get(&config.dependency)
            .filter(|state| !state.retry_budget.is_failing())
            .map_or(0.0, DependencyState::slowest_seconds);
        if has_fallback && slowest_seconds > 0.0 {
            MAX_SLOWDOWN * slowest_seconds
        } else {
            f64::INFINITY
        }
    }

    /// Sends the first attempt to the call's dependency, or queues the call until there is
    /// capacity.
    pub(super) fn begin(&mut self, now: f64, call_id: u64, random: &mut dyn FnMut() -> f64) {
        let Some(call) = self.calls.get_mut(call_id) else {
            return;
        };
        let Some(state) = self.states.get_mut(&call.dependency) else {
            return self.fall_back(now, call_id, FallbackCause::NotMade, random);
        };
        state.counters.calls += 1;
        match state.admit(now) {
            Admission::Granted => state.wait_queue.call_started(call.operation),
            Admission::Deferred => return state.enqueue(call_id, call),
            Admission::Denied => {
                return self.fall_back(now, call_id, FallbackCause::NotMade, random);
            }
        }
        match self.send_attempt(now, call_id, AttemptKind::Sequential, random) {
            Ok(()) => {}
            Err(Unavailable::AllFull) => self.requeue(call_id),
            Err(Unavailable::NoServer) => {
                self.release_capacity(now, call_id, random);
                self.fall_back(now, call_id, FallbackCause::NotMade, random);
            }
        }
    }

    /// Queues a dequeued or admitted call again, since all servers are full.
    fn requeue(&mut self, call_id: u64) {
        let Some(call) = self.calls.get_mut(call_id) else {
            return;
        };
        if let Some(state) = self.states.get_mut(&call.dependency) {
            state.wait_queue.call_ended(call.operation);
            state.enqueue(call_id, call);
        }
    }

    /// Sends an attempt to a server that the call has not tried yet.
    pub(super) fn send_attempt(
        &mut self,
        now: f64,
        call_id: u64,
        kind: AttemptKind,
        random: &mut dyn FnMut() -> f64,
    ) -> Result<(), Unavailable> {
        let call = self.calls.get_mut(call_id).ok_or(Unavailable::NoServer)?;
        let state = self
            .states
            .get_mut(&call.dependency)
            .ok_or(Unavailable::NoServer)?;
        let server = state.pick_server(now, &call.tried_servers, random)?;
        let attempt_id = self.ids.next();
        state.attempt_started(call, kind);
        if kind == AttemptKind::Sequential {
            let hedge_delay = state.retry_budget.hedge_delay_seconds(call.effect);
            call.hedge_at = hedge_delay.map(|delay| now + delay);
        }
        call.attempts.push(Attempt {
            attempt_id,
            server: server.clone(),
            started_at: now,
            kind,
        });
        call.tried_servers.push(server.clone());
        self.call_by_attempt.insert(attempt_id, call_id);
        self.actions.push_back(Action::Attempt {
            call_id,
            attempt_id,
            server,
            timeout_seconds: (call.deadline - now).max(MIN_TIMEOUT_SECONDS),
        });
        Ok(())
    }

    /// Stops counting the call among its operation's calls in flight at its dependency.
    fn stop_counting(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(call_id) else {
            return;
        };
        if let Some(state) = self.states.get_mut(&call.dependency) {
            state.wait_queue.call_ended(call.operation);
        }
    }

    /// Releases the call's capacity at its dependency, and starts calls that wait there.
    pub(super) fn release_capacity(
        &mut self,
        now: f64,
        call_id: u64,
        random: &mut dyn FnMut() -> f64,
    ) {
        let Some(call) = self.calls.get(call_id) else {
            return;
        };
        let dependency = call.dependency.clone();
        self.stop_counting(call_id);
        while let Some(state) = self.states.get_mut(&dependency) {
            // No call waits for a dependency that fails as a whole or has no quota left.
            let is_unavailable = state.is_failing() || state.quota.first_calls == 0;
            if !is_unavailable && !state.has_capacity() {
                return;
            }
            let Some(next) = state.wait_queue.dequeue() else {
                return;
            };
            let Some(call) = self.calls.get_mut(next.call_id) else {
                continue;
            };
            call.is_waiting = false;
            let result = if is_unavailable {
                Err(Unavailable::NoServer)
            } else {
                self.send_attempt(now, next.call_id, AttemptKind::Sequential, random)
            };
            match result {
                Ok(()) => {}
                Err(Unavailable::AllFull) => return self.requeue(next.call_id),
                Err(Unavailable::NoServer) => {
                    self.stop_counting(next.call_id);
                    self.fall_back(now, next.call_id, FallbackCause::NotMade, random);
                }
            }
        }
    }
}
