//! Calls below. Each has a connection to itself while it is open, so that whatever spoils one costs no
//! other; connections are kept for the next call for a while.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use merlinshelf_dependencies::Action;
use merlinshelf_handover::{Flow, Key, Role, records};
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::catalogue::{self, Reply};
use merlinshelf_quota::CATALOGUE;
use rustix::net::{Shutdown, shutdown};
use serde_bytes::ByteBuf;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::select;
use tokio::task::{AbortHandle, JoinError, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Watched, connect, unreadable};
use crate::exchange::{CallCommand, CallNumber, CallOutcome, Shared, StoppedPart, pass};
use crate::fault;
use crate::ring::{IoProgress, Ring};
use crate::routing::{RoutedCall, SharedRouting};

/// How long a connection is kept idle. The far end closes or forgets idle ones, and a call that meets this has
/// an end that proves nothing; a new connection costs a fraction of a millisecond.
const IDLE_MOST: Duration = Duration::from_secs(1);
/// Calls on one connection, all of other invocations: a second copy of a reply that comes late names only its
/// invocation, and must not pass for the reply to that one's next call.
const CALLS_MOST: usize = 16;

/// A call that waits for a connection which may not be opened yet asks again after so long: a window holds a hundred.
const OPEN_AGAIN: Duration = Duration::from_millis(10);

/// One connection, with the invocations whose calls it has carried.
struct Line {
    socket: TcpStream,
    /// Its number among all connections, also of processes before this one.
    stream: u64,
    address: SocketAddr,
    coming: Ring,
    going: Ring,
    carried: Vec<CallId>,
    idle_since: Instant,
}

struct Call {
    id: CallId,
    number: CallNumber,
    wait: f64,
    body: Rc<[u8]>,
    /// The attempt, where dependencies are told apart; 0 for a plain call.
    attempt: u64,
}

/// How a call's task has ended.
enum Made {
    /// The line comes back where it may carry another call.
    Ended(CallOutcome, Option<Box<Line>>),
    /// The exchange knows already.
    Told,
    /// Everything stops where it stands: the line was handed in, or the call is made elsewhere.
    FrozenInstance,
}

/// Which attempt of which call: of a plain call there is one.
type Attempt = (CallId, CallNumber, u64);

/// What is open, waits or stands idle. Whatever ends a call, its line is given back in `ended`, or closed by
/// ending its task.
struct Calls {
    exchange: Shared,
    address: SocketAddr,
    tasks: JoinSet<(Attempt, Made)>,
    open: BTreeMap<Attempt, AbortHandle>,
    /// The calls that go to dependencies, where the operators name some.
    routing: Option<SharedRouting>,
    waiting: VecDeque<Call>,
    /// The first of them waits for a connection that may not be opened yet.
    held: bool,
    /// Attempts at dependencies that are told apart which wait so, with the call that each is of.
    held_attempts: VecDeque<(Rc<str>, Call, SocketAddr)>,
    /// The longest idle first.
    idle: VecDeque<Line>,
    most: usize,
}

/// A line that another process has opened, as it left it.
pub type Resumed = (TcpStream, u64, records::DownstreamConnectionRecord);

/// Makes calls until everything is to stop where it stands; goes on with those that another process has begun.
pub async fn serve(
    mut peers: Watched,
    exchange: Shared,
    most: usize,
    resumed: Rc<RefCell<Vec<Resumed>>>,
    routing: Option<SharedRouting>,
) {
    let wake = exchange.borrow().call_commands_waker();
    let mut freezing = exchange.borrow().freeze_notice();
    let address = peers.borrow_and_update().catalogue;
    let (tasks, open) = (JoinSet::new(), BTreeMap::new());
    let (waiting, idle) = (VecDeque::new(), VecDeque::new());
    let routed = routing
        .as_ref()
        .map_or_else(Rc::default, |routing| routing.borrow().waker());
    let mut calls = Calls {
        exchange,
        address,
        tasks,
        open,
        routing,
        waiting,
        held: false,
        held_attempts: VecDeque::new(),
        idle,
        most,
    };
    resumed
        .take()
        .into_iter()
        .for_each(|line| calls.resume(line));
    loop {
        calls.take_orders();
        calls.begin();
        let due = calls
            .routing
            .as_ref()
            .and_then(|routing| routing.borrow().next_timeout());
        let oldest = calls.idle.front().map(|line| line.idle_since + IDLE_MOST);
        select! {
            () = wake.notified() => {}
            () = routed.notified() => {}
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => calls.woken(),
            Some(ended) = calls.tasks.join_next() => calls.ended(ended),
            Ok(()) = peers.changed() => calls.move_to(peers.borrow_and_update().catalogue),
            () = sleep(OPEN_AGAIN), if calls.held || !calls.held_attempts.is_empty() => {}
            () = sleep_until(oldest.unwrap_or_else(Instant::now)), if oldest.is_some() => calls.trim(),
            Ok(_) = freezing.wait_for(|frozen| *frozen) => break,
        }
    }
    // Each hands in its line; what is given up meanwhile goes the usual way.
    calls.take_orders();
    while let Some(ended) = calls.tasks.join_next().await {
        calls.ended(ended);
    }
    if let Some(routing) = &calls.routing {
        routing.borrow_mut().discard_calls();
    }
}

impl Calls {
    fn take_orders(&mut self) {
        loop {
            let order = self.exchange.borrow_mut().next_call_command();
            match order {
                Some(CallCommand::Invoke {
                    id,
                    number,
                    timeout_seconds: wait,
                    body,
                    context: wanted,
                }) => match &self.routing {
                    Some(routing) if routing.borrow().routes_call(&wanted) => {
                        routing.borrow_mut().start_call(
                            &self.exchange,
                            (id, number),
                            wait,
                            &body,
                            &wanted,
                        );
                    }
                    _ => self.waiting.push_back(Call {
                        id,
                        number,
                        wait,
                        body,
                        attempt: 0,
                    }),
                },
                // Closing its connection gives a call up, with nothing of it left to come.
                Some(CallCommand::Abandon { id, number }) => {
                    if let Some(routing) = &self.routing {
                        routing
                            .borrow_mut()
                            .cancel_call(&self.exchange, (id, number));
                    }
                    self.waiting
                        .retain(|call| (call.id, call.number) != (id, number));
                    let open: Vec<Attempt> = self
                        .open
                        .range((id, number, 0)..=(id, number, u64::MAX))
                        .map(|(key, _)| *key)
                        .collect();
                    open.iter()
                        .filter_map(|key| self.open.remove(key))
                        .for_each(|task| task.abort());
                }
                None => return,
            }
        }
    }

    fn begin(&mut self) {
        self.make_held();
        self.take_steps();
        while self.tasks.len() < self.most {
            let Some(call) = self.waiting.pop_front() else {
                self.held = false;
                return;
            };
            let line = self.line(call.id, self.address);
            if line.is_none() {
                let mut exchange = self.exchange.borrow_mut();
                if !std::mem::take(&mut self.held) {
                    exchange.note_connection_demand(CATALOGUE);
                }
                if !exchange.may_open_connection(CATALOGUE) {
                    // It goes on waiting within its time; the module gives it up as it gives up any.
                    self.held = true;
                    return self.waiting.push_front(call);
                }
            }
            self.make(call, line, self.address);
        }
    }

    fn make(&mut self, call: Call, line: Option<Line>, address: SocketAddr) {
        let key = (call.id, call.number, call.attempt);
        let (exchange, routing) = (self.exchange.clone(), self.routing.clone());
        let task = async move {
            (
                key,
                make(call, line, address, &exchange, routing.as_ref()).await,
            )
        };
        self.open.insert(key, self.tasks.spawn_local(task));
    }

    /// Makes and gives up the attempts that were decided on.
    fn take_steps(&mut self) {
        let Some(routing) = self.routing.clone() else {
            return;
        };
        loop {
            let step = routing.borrow_mut().poll_action();
            match step {
                Some(Action::Attempt {
                    call_id: ticket,
                    attempt_id: attempt,
                    server,
                    timeout_seconds: wait,
                }) => {
                    if self.tasks.len() >= self.most {
                        let step = Action::Attempt {
                            call_id: ticket,
                            attempt_id: attempt,
                            server,
                            timeout_seconds: wait,
                        };
                        return routing.borrow_mut().requeue_action(step);
                    }
                    let call = routing.borrow().call(ticket);
                    let Some(RoutedCall {
                        key: (id, number),
                        body,
                    }) = call
                    else {
                        continue;
                    };
                    match server.parse() {
                        Ok(address) => {
                            let name = routing.borrow().dependency_of_attempt(attempt);
                            self.exchange.borrow_mut().note_connection_demand(&name);
                            let call = Call {
                                id,
                                number,
                                wait,
                                body,
                                attempt,
                            };
                            self.held_attempts.push_back((name, call, address));
                            self.make_held();
                        }
                        Err(_) => routing.borrow_mut().attempt_ended(
                            &self.exchange,
                            attempt,
                            &CallOutcome::NeverRan,
                        ),
                    }
                }
                Some(Action::Cancel {
                    attempt_id: attempt,
                }) => {
                    self.held_attempts
                        .retain(|(_, call, _)| call.attempt != attempt);
                    let open = self
                        .open
                        .keys()
                        .find(|(_, _, one)| *one == attempt)
                        .copied();
                    if let Some(task) = open.and_then(|key| self.open.remove(&key)) {
                        task.abort();
                    }
                }
                Some(Action::Complete { .. }) => {}
                None => return,
            }
        }
    }

    /// Attempts whose connections may be opened, or need not be.
    fn make_held(&mut self) {
        for (name, call, address) in std::mem::take(&mut self.held_attempts) {
            let line = self.line(call.id, address);
            if line.is_some() || self.exchange.borrow_mut().may_open_connection(&name) {
                self.make(call, line, address);
            } else {
                self.held_attempts.push_back((name, call, address));
            }
        }
    }

    fn woken(&mut self) {
        if let Some(routing) = &self.routing {
            routing.borrow_mut().handle_timeout(&self.exchange);
        }
    }

    /// An attempt has ended and is told here.
    fn told(&self, (id, number, attempt): Attempt, called: CallOutcome) {
        tell(
            &self.exchange,
            self.routing.as_ref(),
            (id, number, attempt),
            called,
        );
    }

    /// Goes on with a call that another process has begun.
    fn resume(&mut self, (socket, stream, record): Resumed) {
        let (Some(id), Ok(address)) =
            (CallId::parse(&record.invocation_id), record.address.parse())
        else {
            return;
        };
        let Flow {
            read_bytes: taken,
            written_bytes: given,
            read_buffer: coming,
            write_buffer: going,
        } = record.flow;
        let line = Line {
            socket,
            stream,
            address,
            coming: Ring::restore(coming, taken),
            going: Ring::restore(going, given),
            carried: record
                .carried_invocation_ids
                .iter()
                .filter_map(|id| CallId::parse(id))
                .collect(),
            idle_since: Instant::now(),
        };
        // To whichever server it goes, its end is the call's.
        let (key, exchange) = ((id, record.call_index, 0), self.exchange.clone());
        let task = async move {
            (
                key,
                carry(line, key, &exchange, None, "a line of the predecessor").await,
            )
        };
        self.open.insert(key, self.tasks.spawn_local(task));
    }

    /// The line that was used last, of those that never carried a call of this invocation.
    fn line(&mut self, id: CallId, address: SocketAddr) -> Option<Line> {
        let usable = |line: &Line| line.address == address && !line.carried.contains(&id);
        while let Some(place) = self.idle.iter().rposition(usable) {
            let mut line = self.idle.remove(place)?;
            // What has come on it since belongs to no call, and its far end may have closed it.
            match line.coming.fill(&line.socket) {
                Ok(IoProgress::Blocked) => return Some(line),
                _ => debug!(
                    "an idle line is gone after {} ms",
                    line.idle_since.elapsed().as_millis()
                ),
            }
        }
        None
    }

    fn ended(&mut self, ended: Result<(Attempt, Made), JoinError>) {
        match ended {
            Ok((key, Made::FrozenInstance | Made::Told)) => _ = self.open.remove(&key),
            Ok((key, Made::Ended(called, line))) => {
                let awaited = self.open.remove(&key).is_some();
                self.idle.extend(
                    line.map(|line| *line)
                        .filter(|line| key.2 > 0 || line.address == self.address),
                );
                if awaited {
                    self.told(key, called);
                }
            }
            Err(error) if error.is_cancelled() => {}
            Err(error) => {
                let panicked = self.open.iter().find(|(_, task)| task.id() == error.id());
                if let Some(key) = panicked.map(|(key, _)| *key) {
                    self.open.remove(&key);
                    self.told(key, CallOutcome::Failed);
                }
            }
        }
    }

    fn trim(&mut self) {
        while self
            .idle
            .front()
            .is_some_and(|line| line.idle_since.elapsed() >= IDLE_MOST)
        {
            self.idle.pop_front();
        }
    }

    /// New calls go to another address; those that are open end where they are.
    fn move_to(&mut self, address: SocketAddr) {
        if address != self.address {
            let before = std::mem::replace(&mut self.address, address);
            self.idle.retain(|line| line.address != before);
        }
    }
}

/// Makes one call.
async fn make(
    call: Call,
    kept: Option<Line>,
    address: SocketAddr,
    exchange: &Shared,
    routing: Option<&SharedRouting>,
) -> Made {
    let (reused, mut freezing) = (kept.is_some(), exchange.borrow().freeze_notice());
    let mut line = match kept {
        Some(line) => line,
        None => {
            let connected = select! {
                connected = open(address, exchange) => connected,
                Ok(_) = freezing.wait_for(|frozen| *frozen) => return Made::FrozenInstance,
            };
            match connected {
                Ok(line) => line,
                Err(error) => {
                    // Nothing that waited for a connection that never stood has run.
                    warn!("the catalogue can't be reached: {error}");
                    return Made::Ended(CallOutcome::NeverRan, None);
                }
            }
        }
    };
    let kind = match (reused, line.idle_since.elapsed().as_millis()) {
        (true, idle) => format!("a line kept for {idle} ms"),
        (false, _) => "a new line".into(),
    };
    line.carried.push(call.id);
    catalogue::write_invoke(
        &mut line.going,
        call.id,
        (call.wait * 1e3).ceil() as u64,
        &call.body,
    );
    carry(
        line,
        (call.id, call.number, call.attempt),
        exchange,
        routing,
        &kind,
    )
    .await
}

/// A new line, known to a predecessor that watches before anything goes over it.
async fn open(address: SocketAddr, exchange: &Shared) -> io::Result<Line> {
    let socket = connect(address).await?;
    let stream = exchange.borrow_mut().next_stream();
    pass(exchange, Role::DownstreamConnection(stream), &socket).await?;
    let (coming, going, carried) = Default::default();
    Ok(Line {
        socket,
        stream,
        address,
        coming,
        going,
        carried,
        idle_since: Instant::now(),
    })
}

/// A line under a call. However that ends, also by giving the call up, the line is closed where it is not kept.
struct Held {
    line: Option<Line>,
    exchange: Shared,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(line) = self.line.take() {
            line.close(&self.exchange);
        }
    }
}

/// Carries a call whose question is in the line's ring, to its end or until everything stops where it stands.
async fn carry(
    line: Line,
    call: Attempt,
    exchange: &Shared,
    routing: Option<&SharedRouting>,
    kind: &str,
) -> Made {
    let mut held = Held {
        line: Some(line),
        exchange: exchange.clone(),
    };
    let Some(line) = held.line.as_mut() else {
        return Made::FrozenInstance;
    };
    let ended = line.call(call, exchange).await;
    if let Err(error) = &ended {
        // The connection is gone. That proves nothing of what was sent on it.
        warn!("{kind} to the catalogue broke under a call: {error}");
    }
    match ended {
        Ok(None) => {
            let Some(line) = held.line.take() else {
                return Made::FrozenInstance;
            };
            let (stream, record) = (line.stream, line.record(call));
            match line.socket.into_std() {
                Ok(socket) => exchange
                    .borrow_mut()
                    .add_stopped_part(StoppedPart::Downstream(stream, record, socket)),
                Err(error) => warn!("a line to the catalogue can't be handed in: {error}"),
            }
            Made::FrozenInstance
        }
        ended => {
            let whole = ended.is_ok();
            let called = ended.ok().flatten().unwrap_or(CallOutcome::Failed);
            if exchange.borrow().is_journaling() {
                // What the reply changes and that its line is gone are noted together. None is kept idle meanwhile:
                // the predecessor would have to follow it.
                tell(exchange, routing, call, called);
                return Made::Told;
            }
            let usable = |line: &Line| line.coming.is_empty() && line.carried.len() < CALLS_MOST;
            let mut kept = held.line.take_if(|line| whole && usable(line));
            if let Some(line) = &mut kept {
                line.idle_since = Instant::now();
            }
            Made::Ended(called, kept.map(Box::new))
        }
    }
}

/// Tells how an attempt has ended: those of a dependency to what decides on further ones.
fn tell(
    exchange: &Shared,
    routing: Option<&SharedRouting>,
    (id, number, attempt): Attempt,
    called: CallOutcome,
) {
    match routing.filter(|_| attempt > 0) {
        Some(routing) => routing
            .borrow_mut()
            .attempt_ended(exchange, attempt, &called),
        None => exchange.borrow_mut().call_ended(id, number, called),
    }
}

impl Line {
    /// How it stands, for a process that carries it on.
    fn record(&self, (id, number, _): Attempt) -> records::DownstreamConnectionRecord {
        records::DownstreamConnectionRecord {
            address: self.address.to_string(),
            invocation_id: ByteBuf::from(id.as_bytes()),
            call_index: number,
            carried_invocation_ids: self
                .carried
                .iter()
                .map(|id| ByteBuf::from(id.as_bytes()))
                .collect(),
            flow: Flow {
                read_bytes: self.coming.transferred_bytes(),
                written_bytes: self.going.transferred_bytes(),
                read_buffer: self.coming.to_vec(),
                write_buffer: self.going.to_vec(),
            },
        }
    }

    /// Notes how it stands, where a predecessor watches: before anything of it shows.
    fn secure(&self, call: Attempt, exchange: &Shared) {
        let mut exchange = exchange.borrow_mut();
        if exchange.is_journaling() {
            exchange.journal_record(Key::DownstreamConnection(self.stream), &self.record(call));
            exchange.write_journal();
        }
    }

    /// Closes it where a predecessor has a copy that would keep it open.
    fn close(&self, exchange: &Shared) {
        let mut exchange = exchange.borrow_mut();
        if exchange.is_journaling() {
            exchange.journal_removal(&[Key::DownstreamConnection(self.stream)]);
            exchange.write_journal();
            let _ = shutdown(&self.socket, Shutdown::Both);
        }
    }

    /// The end of a call; none where everything stops where it stands.
    async fn call(&mut self, call: Attempt, exchange: &Shared) -> io::Result<Option<CallOutcome>> {
        let mut freezing = exchange.borrow().freeze_notice();
        loop {
            if !self.going.is_empty() {
                self.secure(call, exchange);
            }
            let blocked = self.going.drain(&self.socket)? == IoProgress::Blocked;
            fault::injection_point("line.written");
            let interest = if blocked {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            select! {
                biased;
                Ok(_) = freezing.wait_for(|frozen| *frozen) => return Ok(None),
                ready = self.socket.ready(interest) => { ready?; }
            }
            let noted = exchange.borrow().is_journaling();
            let fill = if noted { Ring::peek } else { Ring::fill };
            if fill(&mut self.coming, &self.socket)? == IoProgress::Closed {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(called) = self.take_in(call.0, exchange)? {
                return Ok(Some(called));
            }
            if noted {
                self.secure(call, exchange);
                fault::injection_point("line.noted");
                self.coming.discard_peeked(&self.socket)?;
            }
        }
    }

    /// The reply to this invocation's call, if it has come; others are copies or nobody's.
    fn take_in(&mut self, expected: CallId, exchange: &Shared) -> io::Result<Option<CallOutcome>> {
        let mut called = None;
        self.coming
            .read(|bytes| match catalogue::read_reply(bytes) {
                _ if called.is_some() => Ok(0),
                Ok(None) => Ok(0),
                Ok(Some(((id, reply), count))) => {
                    if id == expected {
                        called = Some(match reply {
                            Reply::Succeeded(body) => CallOutcome::Succeeded(body.into()),
                            Reply::Overload | Reply::Stale => CallOutcome::NeverRan,
                            Reply::Internal | Reply::Deadline => CallOutcome::Failed,
                        });
                    } else {
                        exchange.borrow_mut().counters.late_replies += 1;
                    }
                    Ok(count)
                }
                Err(fault) => Err(unreadable(fault, bytes)),
            })?;
        Ok(called)
    }
}
