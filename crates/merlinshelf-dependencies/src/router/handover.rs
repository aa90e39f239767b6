//! Stops all calls in an upgrade: the successor continues them with its own router.

use super::Router;
use crate::server::ServerOutcome;

impl Router {
    /// Drops all calls and actions without reporting them. The state of dependencies and servers is
    /// kept.
    pub fn discard_calls(&mut self) {
        for (call_id, call) in std::mem::take(&mut self.calls) {
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
