//! Calls in an upgrade: their snapshots, from which a successor's router continues them, and the
//! end of this router's part in them.

use serde::{Deserialize, Serialize};

use super::call_state::{Attempt, AttemptKind, CallState};
use super::{CallRequest, Router};
use crate::config::{Call, Fallback};
use crate::server::ServerOutcome;

/// A call in progress, as one router passes it to another. Times are seconds of the routers' clock,
/// which must be the same for both. The names of the fields are part of a stored format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallSnapshot {
    /// The dependency that the settings of the operation name.
    pub dependency: String,
    /// The fallback dependency that is called in its place.
    pub fallback_dependency: Option<String>,
    /// When the call ends at the latest.
    pub deadline_at: f64,
    /// When a hedged request is due.
    pub hedge_at: Option<f64>,
    /// Servers of the present dependency that an attempt was sent to.
    pub tried_servers: Vec<String>,
    /// Attempts in flight; none if the call waits for capacity.
    pub attempts: Vec<AttemptSnapshot>,
    /// Whether an attempt that has ended may have taken effect.
    pub may_have_run: bool,
}

/// An attempt in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AttemptSnapshot {
    /// Its number, which it keeps in the successor.
    pub attempt_id: u64,
    /// The server's address.
    pub server: String,
    /// When it was sent.
    pub started_at: f64,
    /// Whether it was sent beside another attempt.
    pub is_hedged: bool,
}

impl CallSnapshot {
    /// Keeps only the attempts that were sent. The servers of the others count as not tried.
    pub fn retain_sent(&mut self, was_sent: impl Fn(u64) -> bool) {
        let (sent, unsent): (Vec<_>, Vec<_>) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|attempt| was_sent(attempt.attempt_id));
        self.attempts = sent;
        self.tried_servers
            .retain(|server| unsent.iter().all(|attempt| attempt.server != *server));
    }
}

impl Router {
    /// The calls in progress that may have changed since the last call of this method.
    pub fn take_changed_calls(&mut self) -> impl Iterator<Item = u64> + use<> {
        self.calls.take_changed().into_iter()
    }

    /// A call in progress, for a successor.
    pub fn call_snapshot(&self, call_id: u64) -> Option<CallSnapshot> {
        let call = self.calls.get(call_id)?;
        let attempts = call.attempts.iter().map(|attempt| AttemptSnapshot {
            attempt_id: attempt.attempt_id,
            server: attempt.server.clone(),
            started_at: attempt.started_at,
            is_hedged: attempt.kind == AttemptKind::Hedged,
        });
        Some(CallSnapshot {
            dependency: call.config.dependency.clone(),
            fallback_dependency: call
                .uses_fallback_dependency
                .then(|| call.dependency.clone()),
            deadline_at: call.deadline,
            hedge_at: call.hedge_at,
            tried_servers: call.tried_servers.clone(),
            attempts: attempts.collect(),
            may_have_run: call.may_have_run,
        })
    }

    /// Keeps the numbers up to `last_id` from being assigned. Must precede the restoration of calls
    /// whose attempts have these numbers.
    pub fn reserve_ids(&mut self, last_id: u64) {
        self.ids.skip_to(last_id);
    }

    /// Continues a call of another router, and returns its number. Its deadline and its attempts in
    /// flight, whose numbers must have been reserved, stay as they are; a call without attempts in
    /// flight is sent to its present dependency.
    pub fn restore_call(
        &mut self,
        now: f64,
        request: &CallRequest<'_>,
        snapshot: CallSnapshot,
        random: &mut dyn FnMut() -> f64,
    ) -> u64 {
        let call_id = self.ids.next();
        let config = self.restored_config(request, &snapshot.dependency);
        let operation = self.operations.get(request.operation);
        let uses_fallback_dependency = snapshot.fallback_dependency.is_some();
        let dependency = snapshot
            .fallback_dependency
            .unwrap_or_else(|| config.dependency.clone());
        let mut call = CallState {
            operation: operation.copied().unwrap_or(0),
            config,
            dependency,
            uses_fallback_dependency,
            deadline: snapshot.deadline_at,
            effect: request.effect,
            payload: request.payload.to_vec(),
            attempts: Vec::new(),
            tried_servers: snapshot.tried_servers,
            hedge_at: snapshot.hedge_at,
            is_waiting: false,
            may_have_run: snapshot.may_have_run,
        };
        for attempt in snapshot.attempts {
            self.call_by_attempt.insert(attempt.attempt_id, call_id);
            call.attempts.push(restored_attempt(attempt));
        }
        let is_in_flight = !call.attempts.is_empty();
        if let Some(state) = self.states.get_mut(&call.dependency)
            && is_in_flight
        {
            state.call_restored(&call);
        }
        self.calls.insert(call_id, call);
        if !is_in_flight {
            self.begin(now, call_id, random);
        }
        call_id
    }

    /// The settings of a restored call. If the present ones name another dependency or none for it,
    /// the call is required and has no degraded result.
    fn restored_config(&self, request: &CallRequest<'_>, dependency: &str) -> Call {
        let configured = self.call_config(
            request.operation,
            request.call_index,
            request.named_dependency,
        );
        let matching = configured.filter(|config| config.dependency == dependency);
        matching.cloned().unwrap_or_else(|| Call {
            dependency: dependency.to_owned(),
            deadline_share: None,
            is_required: true,
            value_loss: 0.0,
            fallback: Fallback::Nothing,
        })
    }

    /// Drops all calls and actions without reporting them. The state of dependencies and servers is
    /// kept.
    pub fn discard_calls(&mut self) {
        for (call_id, call) in self.calls.take_all() {
            let Some(state) = self.states.get_mut(&call.dependency) else {
                continue;
            };
            state.wait_queue.remove(call_id);
            if !call.is_waiting {
                state.wait_queue.call_ended(call.operation);
            }
            for attempt in call.attempts {
                state.in_flight = state.in_flight.saturating_sub(1);
                if let Some(server) = state.pool.index_of(&attempt.server) {
                    // A cancelled call with a duration of zero is not recorded as a sample.
                    let outcome = ServerOutcome::Cancelled;
                    state
                        .pool
                        .record_outcome(attempt.started_at, server, outcome, 0.0);
                }
            }
        }
        self.call_by_attempt.clear();
        self.actions.clear();
    }
}

fn restored_attempt(attempt: AttemptSnapshot) -> Attempt {
    Attempt {
        attempt_id: attempt.attempt_id,
        server: attempt.server,
        started_at: attempt.started_at,
        kind: if attempt.is_hedged {
            AttemptKind::Hedged
        } else {
            AttemptKind::Sequential
        },
    }
}
