//! Downstream calls to the catalogue and to dependencies.
//!
//! Each call has its own connection while it is in flight, so that a broken connection fails no
//! other call. Idle connections are cached for later calls for a short time.

mod attempt;
mod connection;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use merlinshelf_dependencies::Action;
use merlinshelf_handover::Key;
use merlinshelf_protocol::CallId;
use merlinshelf_quota::CATALOGUE;
use tokio::select;
use tokio::task::{AbortHandle, JoinError, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

pub use connection::ResumedConnection;

use super::PeersReceiver;
use crate::exchange::{CallCommand, CallNumber, CallOutcome, Shared};
use crate::ring::IoProgress;
use crate::routing::SharedRouting;
use attempt::{AttemptKey, AttemptResult, Call, make_attempt, report_outcome, run_attempt};
use connection::DownstreamConnection;

/// How long an idle connection is cached. Servers close or drop idle connections, and when that
/// makes a call fail, it is unknown whether the call ran; a new connection costs a fraction of a
/// millisecond.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// How often a call retries that waits for a connection which may not be opened yet: a hundred
/// times in a quota window.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// An attempt at a dependency that waits for a connection which may not be opened yet.
struct DeferredAttempt {
    dependency: Rc<str>,
    call: Call,
    address: SocketAddr,
}

/// Calls in flight, waiting calls and idle connections. However a call ends, its connection is
/// returned to `handle_result` or closed at the end of its task.
struct DownstreamClient {
    exchange: Shared,
    /// The catalogue's address.
    address: SocketAddr,
    tasks: JoinSet<(AttemptKey, AttemptResult)>,
    in_flight: BTreeMap<AttemptKey, AbortHandle>,
    /// The router of calls to dependencies, if the operators configure some.
    routing: Option<SharedRouting>,
    waiting: VecDeque<Call>,
    /// Whether the first waiting call waits for a connection that may not be opened yet.
    is_deferred: bool,
    deferred_attempts: VecDeque<DeferredAttempt>,
    /// Idle connections, the longest idle first.
    idle: VecDeque<DownstreamConnection>,
    max_calls: usize,
}

/// Makes calls until the instance freezes; continues those that a predecessor started.
pub async fn serve(
    mut peers: PeersReceiver,
    exchange: Shared,
    max_calls: usize,
    resumed: Rc<RefCell<Vec<ResumedConnection>>>,
    routing: Option<SharedRouting>,
) {
    let command_waker = exchange.borrow().call_commands_waker();
    let mut freeze_notice = exchange.borrow().freeze_notice();
    let address = peers.borrow_and_update().catalogue;
    let action_waker = routing
        .as_ref()
        .map_or_else(Rc::default, |routing| routing.borrow().waker());
    let mut client = DownstreamClient {
        exchange,
        address,
        tasks: JoinSet::new(),
        in_flight: BTreeMap::new(),
        routing,
        waiting: VecDeque::new(),
        is_deferred: false,
        deferred_attempts: VecDeque::new(),
        idle: VecDeque::new(),
        max_calls,
    };
    client.resume_calls();
    for connection in resumed.take() {
        client.resume_connection(connection);
    }
    loop {
        client.process_commands();
        client.start_calls();
        let timeout = client.next_timeout();
        let idle_until = client.next_idle_timeout();
        select! {
            () = command_waker.notified() => {}
            () = action_waker.notified() => {}
            () = sleep_until(timeout.unwrap_or_else(Instant::now)), if timeout.is_some() => {
                client.handle_timeout();
            }
            Some(result) = client.tasks.join_next() => client.handle_result(result),
            Ok(()) = peers.changed() => client.move_to(peers.borrow_and_update().catalogue),
            () = sleep(OPEN_RETRY_DELAY), if client.has_deferred() => {}
            () = sleep_until(idle_until.unwrap_or_else(Instant::now)), if idle_until.is_some() => {
                client.close_idle();
            }
            Ok(_) = freeze_notice.wait_for(|is_frozen| *is_frozen) => break,
        }
    }
    client.freeze().await;
}

impl DownstreamClient {
    fn next_timeout(&self) -> Option<Instant> {
        self.routing
            .as_ref()
            .and_then(|routing| routing.borrow().next_timeout())
    }

    fn next_idle_timeout(&self) -> Option<Instant> {
        let oldest = self.idle.front()?;
        Some(oldest.idle_since + MAX_IDLE)
    }

    fn has_deferred(&self) -> bool {
        self.is_deferred || !self.deferred_attempts.is_empty()
    }

    /// Waits until each task has handed over its connection. Calls cancelled meanwhile end as
    /// usual.
    async fn freeze(mut self) {
        self.process_commands();
        while let Some(result) = self.tasks.join_next().await {
            self.handle_result(result);
        }
        if let Some(routing) = &self.routing {
            routing.borrow_mut().discard_calls();
        }
    }

    fn process_commands(&mut self) {
        loop {
            let command = self.exchange.borrow_mut().next_call_command();
            match command {
                Some(CallCommand::Invoke {
                    id,
                    number,
                    timeout_seconds,
                    body,
                    context,
                }) => match &self.routing {
                    Some(routing) if routing.borrow().routes_call(&context) => {
                        routing.borrow_mut().start_call(
                            &self.exchange,
                            (id, number),
                            timeout_seconds,
                            &body,
                            &context,
                        );
                    }
                    _ => self.waiting.push_back(Call {
                        key: AttemptKey::unrouted(id, number),
                        timeout_seconds,
                        body,
                    }),
                },
                Some(CallCommand::Abandon { id, number }) => self.abandon(id, number),
                None => return,
            }
        }
    }

    /// Cancels a call by closing its connection, so that nothing of it arrives later.
    fn abandon(&mut self, id: CallId, number: CallNumber) {
        if let Some(routing) = &self.routing {
            routing
                .borrow_mut()
                .cancel_call(&self.exchange, (id, number));
        }
        self.waiting
            .retain(|call| (call.key.id, call.key.number) != (id, number));
        let attempts: Vec<AttemptKey> = self
            .in_flight
            .range(AttemptKey::range_of_call(id, number))
            .map(|(key, _)| *key)
            .collect();
        for key in attempts {
            if let Some(task) = self.in_flight.remove(&key) {
                task.abort();
            }
        }
    }

    fn start_calls(&mut self) {
        self.start_deferred_attempts();
        self.process_actions();
        while self.tasks.len() < self.max_calls {
            let Some(call) = self.waiting.pop_front() else {
                self.is_deferred = false;
                return;
            };
            let connection = self.take_idle(call.key.id, self.address);
            if connection.is_none() {
                let mut exchange = self.exchange.borrow_mut();
                if !std::mem::take(&mut self.is_deferred) {
                    exchange.record_connection_demand(CATALOGUE);
                }
                if !exchange.try_acquire_connection(CATALOGUE) {
                    // It waits within its time; the admission controller cancels it after that.
                    self.is_deferred = true;
                    return self.waiting.push_front(call);
                }
            }
            self.start_attempt(call, connection, self.address);
        }
    }

    fn start_attempt(
        &mut self,
        call: Call,
        connection: Option<DownstreamConnection>,
        address: SocketAddr,
    ) {
        let key = call.key;
        let exchange = self.exchange.clone();
        let routing = self.routing.clone();
        let task = async move {
            let result = make_attempt(call, connection, address, &exchange, routing.as_ref()).await;
            (key, result)
        };
        self.in_flight.insert(key, self.tasks.spawn_local(task));
    }

    /// Carries out what the router decided.
    fn process_actions(&mut self) {
        let Some(routing) = self.routing.clone() else {
            return;
        };
        loop {
            let action = routing.borrow_mut().poll_action();
            match action {
                Some(Action::Attempt { .. }) if self.tasks.len() >= self.max_calls => {
                    if let Some(action) = action {
                        routing.borrow_mut().requeue_action(action);
                    }
                    return;
                }
                Some(Action::Attempt {
                    call_id,
                    attempt_id,
                    server,
                    timeout_seconds,
                }) => {
                    let call = routing.borrow().call(call_id);
                    if let Some(call) = call {
                        let call = Call::routed(call, attempt_id, timeout_seconds);
                        self.start_routed(&routing, call, &server);
                    }
                }
                Some(Action::Cancel { attempt_id }) => self.cancel_attempt(attempt_id),
                Some(Action::Complete { .. }) => {}
                None => return,
            }
        }
    }

    fn start_routed(&mut self, routing: &SharedRouting, call: Call, server: &str) {
        let attempt_id = call.key.attempt_id;
        let Ok(address) = server.parse() else {
            let outcome = CallOutcome::NeverRan;
            return routing
                .borrow_mut()
                .attempt_ended(&self.exchange, attempt_id, &outcome);
        };
        let dependency = routing.borrow().dependency_of_attempt(attempt_id);
        self.exchange
            .borrow_mut()
            .record_connection_demand(&dependency);
        self.deferred_attempts.push_back(DeferredAttempt {
            dependency,
            call,
            address,
        });
        self.start_deferred_attempts();
    }

    fn cancel_attempt(&mut self, attempt_id: u64) {
        self.deferred_attempts
            .retain(|deferred| deferred.call.key.attempt_id != attempt_id);
        let in_flight = self
            .in_flight
            .keys()
            .find(|key| key.attempt_id == attempt_id)
            .copied();
        if let Some(task) = in_flight.and_then(|key| self.in_flight.remove(&key)) {
            task.abort();
        }
    }

    /// Starts attempts whose connections may be opened, or that find an idle one.
    fn start_deferred_attempts(&mut self) {
        for deferred in std::mem::take(&mut self.deferred_attempts) {
            let connection = self.take_idle(deferred.call.key.id, deferred.address);
            let may_start = connection.is_some()
                || self
                    .exchange
                    .borrow_mut()
                    .try_acquire_connection(&deferred.dependency);
            if may_start {
                self.start_attempt(deferred.call, connection, deferred.address);
            } else {
                self.deferred_attempts.push_back(deferred);
            }
        }
    }

    fn handle_timeout(&mut self) {
        if let Some(routing) = &self.routing {
            routing.borrow_mut().handle_timeout(&self.exchange);
        }
    }

    fn report(&self, key: AttemptKey, outcome: CallOutcome) {
        report_outcome(&self.exchange, self.routing.as_ref(), key, outcome);
    }

    /// Continues the calls that another process's router made. Without a router, those that were
    /// sent continue on their connections, and the others go to the catalogue.
    fn resume_calls(&mut self) {
        let calls = self.exchange.borrow_mut().take_resumed_calls();
        if let Some(routing) = &self.routing {
            return routing.borrow_mut().resume_calls(&self.exchange, &calls);
        }
        let unsent = calls
            .into_iter()
            .filter(|call| call.snapshot.attempts.is_empty());
        self.waiting.extend(unsent.map(|call| Call {
            key: AttemptKey::unrouted(call.id, call.number),
            timeout_seconds: call.timeout_seconds,
            body: call.body,
        }));
    }

    /// Continues an attempt that another process sent. One whose connection was lost may have taken
    /// effect.
    fn resume_connection(&mut self, resumed: ResumedConnection) {
        let Some(mut key) = resumed.key() else {
            return;
        };
        let is_cancelled = match &self.routing {
            Some(routing) => key.is_routed() && !routing.borrow().awaits_attempt(key.attempt_id),
            None => {
                key = AttemptKey::unrouted(key.id, key.number);
                false
            }
        };
        let stream = resumed.stream;
        let connection = match resumed.restore() {
            Some(connection) if is_cancelled => return connection.close(&self.exchange),
            Some(connection) => connection,
            None => {
                self.report(key, CallOutcome::Failed);
                let removed = [Key::DownstreamConnection(stream)];
                return self.exchange.borrow_mut().journal_removal(&removed);
            }
        };
        let exchange = self.exchange.clone();
        let routing = self.routing.clone();
        let task = async move {
            let result = run_attempt(
                connection,
                key,
                &exchange,
                routing.as_ref(),
                "a connection of another process",
            )
            .await;
            (key, result)
        };
        self.in_flight.insert(key, self.tasks.spawn_local(task));
    }

    /// Takes the most recently used idle connection to that address that never carried a call of
    /// this invocation.
    fn take_idle(&mut self, id: CallId, address: SocketAddr) -> Option<DownstreamConnection> {
        let is_usable = |connection: &DownstreamConnection| {
            connection.address == address && !connection.has_carried(id)
        };
        while let Some(index) = self.idle.iter().rposition(is_usable) {
            let mut connection = self.idle.remove(index)?;
            // Bytes received while it was idle belong to no call; otherwise the server has closed
            // it.
            match connection.check_idle() {
                Ok(IoProgress::Blocked) => return Some(connection),
                _ => debug!(
                    "an idle downstream connection became unusable after {} ms",
                    connection.idle_since.elapsed().as_millis()
                ),
            }
        }
        None
    }

    fn handle_result(&mut self, result: Result<(AttemptKey, AttemptResult), JoinError>) {
        match result {
            Ok((key, AttemptResult::Frozen | AttemptResult::Reported)) => {
                self.in_flight.remove(&key);
            }
            Ok((key, AttemptResult::Ended(outcome, connection))) => {
                let is_awaited = self.in_flight.remove(&key).is_some();
                let reusable = connection
                    .map(|connection| *connection)
                    .filter(|connection| key.is_routed() || connection.address == self.address);
                self.idle.extend(reusable);
                if is_awaited {
                    self.report(key, outcome);
                }
            }
            Err(error) if error.is_cancelled() => {}
            Err(error) => self.handle_panic(&error),
        }
    }

    /// Reports an attempt whose task panicked as failed, since it may have taken effect.
    fn handle_panic(&mut self, error: &JoinError) {
        let panicked = self
            .in_flight
            .iter()
            .find(|(_, task)| task.id() == error.id())
            .map(|(key, _)| *key);
        if let Some(key) = panicked {
            self.in_flight.remove(&key);
            self.report(key, CallOutcome::Failed);
        }
    }

    /// Closes connections that have been idle for too long.
    fn close_idle(&mut self) {
        while self
            .idle
            .front()
            .is_some_and(|connection| connection.idle_since.elapsed() >= MAX_IDLE)
        {
            self.idle.pop_front();
        }
    }

    /// The catalogue has another address: new calls go there, those in flight end where they are.
    fn move_to(&mut self, address: SocketAddr) {
        if address != self.address {
            let previous = std::mem::replace(&mut self.address, address);
            self.idle
                .retain(|connection| connection.address != previous);
        }
    }
}
