//! Restores the downstream calls in progress of invocations from a handover image.

use std::collections::HashSet;
use std::time::Duration;

use merlinshelf_handover::records::DownstreamConnectionRecord;
use merlinshelf_protocol::CallId;

use super::timers::Timer;
use super::{CallCommand, CallNumber, Exchange, ResumedCall};

/// The attempts whose requests another process has passed to a connection. Only these may have
/// taken effect.
pub(super) struct SentAttempts<'a> {
    attempts: HashSet<SentAttempt<'a>>,
}

#[derive(PartialEq, Eq, Hash)]
struct SentAttempt<'a> {
    invocation_id: &'a [u8],
    number: CallNumber,
    /// The router's number; `None` for a call that the router does not make.
    attempt_id: Option<u64>,
}

impl SentAttempts<'_> {
    pub(super) fn new(connections: &[DownstreamConnectionRecord]) -> SentAttempts<'_> {
        let attempts = connections.iter().map(|connection| SentAttempt {
            invocation_id: &connection.invocation_id,
            number: connection.call_index,
            attempt_id: connection.attempt_id,
        });
        SentAttempts {
            attempts: attempts.collect(),
        }
    }

    fn contains(&self, id: CallId, number: CallNumber, attempt_id: Option<u64>) -> bool {
        self.attempts.contains(&SentAttempt {
            invocation_id: id.as_bytes(),
            number,
            attempt_id,
        })
    }
}

impl Exchange {
    /// Continues the open call of a restored invocation: by the router if that made it, on its
    /// connection if it was sent, or else from its start.
    pub(super) fn restore_call(
        &mut self,
        index: usize,
        timeout: Duration,
        sent_attempts: &SentAttempts,
    ) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        let (id, number) = (invocation.id, invocation.calls);
        let was_sent_unrouted = sent_attempts.contains(id, number, None);
        let snapshot = invocation
            .routed_call
            .as_mut()
            .filter(|_| !was_sent_unrouted)
            .map(|call| {
                call.retain_sent(|attempt_id| sent_attempts.contains(id, number, Some(attempt_id)));
                call.clone()
            });
        let body = invocation
            .call_request
            .as_ref()
            .map(|(_, body)| body.clone());
        let timeout_at = self.origin.elapsed() + timeout;
        self.set_timer(timeout_at, Timer::CallTimeout(id, number));
        let Some(body) = body else {
            return;
        };
        let context = self.call_context(index);
        let timeout_seconds = timeout.as_secs_f64();
        match snapshot {
            Some(snapshot) => self.resumed_calls.push(ResumedCall {
                id,
                number,
                timeout_seconds,
                body,
                context,
                snapshot,
            }),
            None if was_sent_unrouted => {}
            // The call was decided on but not sent.
            None => self.call_commands.push(CallCommand::Invoke {
                id,
                number,
                timeout_seconds,
                body,
                context,
            }),
        }
    }
}
