//! One attempt of a call: from its connection to its outcome.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

use log::warn;
use merlinshelf_protocol::CallId;
use tokio::select;

use super::connection::DownstreamConnection;
use crate::exchange::{CallNumber, CallOutcome, FrozenConnection, Shared};
use crate::routing::{RoutedCall, SharedRouting};

/// Number of the only attempt of a call that the router does not make; the router's begin at 1.
const UNROUTED: u64 = 0;

/// An attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) id: CallId,
    pub(super) number: CallNumber,
    /// The router's number of the attempt.
    pub(super) attempt_id: u64,
}

impl AttemptKey {
    /// The only attempt of a call that the router does not make.
    pub(super) fn unrouted(id: CallId, number: CallNumber) -> AttemptKey {
        AttemptKey {
            id,
            number,
            attempt_id: UNROUTED,
        }
    }

    /// Whether the router makes the call.
    pub(super) fn is_routed(&self) -> bool {
        self.attempt_id != UNROUTED
    }

    /// All attempts of a call.
    pub(super) fn range_of_call(id: CallId, number: CallNumber) -> RangeInclusive<AttemptKey> {
        let first = AttemptKey::unrouted(id, number);
        let last = AttemptKey {
            attempt_id: u64::MAX,
            ..first
        };
        first..=last
    }
}

/// What an attempt sends.
pub(super) struct Call {
    pub(super) key: AttemptKey,
    pub(super) timeout_seconds: f64,
    pub(super) body: Rc<[u8]>,
}

impl Call {
    /// An attempt of a call that the router makes.
    pub(super) fn routed(call: RoutedCall, attempt_id: u64, timeout_seconds: f64) -> Call {
        let (id, number) = call.key;
        Call {
            key: AttemptKey {
                id,
                number,
                attempt_id,
            },
            timeout_seconds,
            body: call.body,
        }
    }
}

/// How an attempt's task ended.
pub(super) enum AttemptResult {
    /// With an outcome, and with the connection if it can carry another call.
    Ended(CallOutcome, Option<Box<DownstreamConnection>>),
    /// With an outcome that was already reported.
    Reported,
    /// The instance froze: the connection was handed over, or the call is made by the successor.
    Frozen,
}

/// Makes an attempt, on a cached connection or on a new one.
pub(super) async fn make_attempt(
    call: Call,
    cached: Option<DownstreamConnection>,
    address: SocketAddr,
    exchange: &Shared,
    routing: Option<&SharedRouting>,
) -> AttemptResult {
    let mut freeze_notice = exchange.borrow().freeze_notice();
    let description = cached.as_ref().map_or_else(
        || "a new connection".to_owned(),
        |connection| {
            let idle_ms = connection.idle_since.elapsed().as_millis();
            format!("a connection cached for {idle_ms} ms")
        },
    );
    let mut connection = match cached {
        Some(connection) => connection,
        None => {
            let opened = select! {
                opened = DownstreamConnection::open(address, exchange) => opened,
                Ok(_) = freeze_notice.wait_for(|is_frozen| *is_frozen) => {
                    return AttemptResult::Frozen;
                }
            };
            match opened {
                Ok(connection) => connection,
                Err(error) => {
                    // A call whose connection was never established has not run.
                    warn!("downstream connection not established: {error}");
                    return AttemptResult::Ended(CallOutcome::NeverRan, None);
                }
            }
        }
    };
    connection.enqueue_request(call.key.id, call.timeout_seconds, &call.body);
    run_attempt(connection, call.key, exchange, routing, &description).await
}

/// The connection of an attempt. However the attempt ends, also by cancellation, the connection is
/// closed unless it is taken out.
struct ConnectionGuard {
    connection: Option<DownstreamConnection>,
    exchange: Shared,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close(&self.exchange);
        }
    }
}

/// Runs an attempt whose request is in the connection's buffer, until it ends or the instance
/// freezes.
pub(super) async fn run_attempt(
    connection: DownstreamConnection,
    key: AttemptKey,
    exchange: &Shared,
    routing: Option<&SharedRouting>,
    description: &str,
) -> AttemptResult {
    let mut guard = ConnectionGuard {
        connection: Some(connection),
        exchange: exchange.clone(),
    };
    let Some(connection) = guard.connection.as_mut() else {
        return AttemptResult::Frozen;
    };
    let result = connection.exchange_messages(key, exchange).await;
    if let Err(error) = &result {
        // The connection is lost; whether the call ran is unknown.
        warn!("{description} failed during a downstream call: {error}");
    }
    let is_intact = result.is_ok();
    let outcome = match result {
        Ok(None) => {
            if let Some(connection) = guard.connection.take() {
                hand_over(connection, key, exchange);
            }
            return AttemptResult::Frozen;
        }
        Ok(Some(outcome)) => outcome,
        Err(_) => CallOutcome::Failed,
    };
    if exchange.borrow().is_journaling() {
        // The reply's changes and the end of the connection are journaled together. No connection
        // is cached while journaling: the predecessor would have to track it.
        report_outcome(exchange, routing, key, outcome);
        return AttemptResult::Reported;
    }
    let mut reusable = guard
        .connection
        .take_if(|connection| is_intact && connection.is_reusable());
    if let Some(connection) = &mut reusable {
        connection.mark_idle();
    }
    AttemptResult::Ended(outcome, reusable.map(Box::new))
}

/// Gives a connection with its call to the successor.
fn hand_over(connection: DownstreamConnection, key: AttemptKey, exchange: &Shared) {
    let stream = connection.stream;
    let record = connection.record(key);
    match connection.into_socket() {
        Ok(socket) => exchange
            .borrow_mut()
            .add_frozen_connection(FrozenConnection::Downstream(stream, record, socket)),
        Err(error) => warn!("a downstream connection was not handed over: {error}"),
    }
}

/// Reports the outcome of an attempt to the router if that made it, else to the exchange.
pub(super) fn report_outcome(
    exchange: &Shared,
    routing: Option<&SharedRouting>,
    key: AttemptKey,
    outcome: CallOutcome,
) {
    match routing.filter(|_| key.is_routed()) {
        Some(routing) => {
            routing
                .borrow_mut()
                .attempt_ended(exchange, key.attempt_id, &outcome);
        }
        None => exchange
            .borrow_mut()
            .call_ended(key.id, key.number, outcome),
    }
}
