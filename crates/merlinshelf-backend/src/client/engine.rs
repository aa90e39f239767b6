//! The connection to the engine. It is kept open; after a failure a new one continues from the last
//! notification that was read.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use merlinshelf_handover::{Flow, Key, Role, records};
use merlinshelf_protocol::Fault;
use merlinshelf_protocol::engine::{self, EngineNotification};
use rustix::net::{Shutdown, shutdown};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{Instant, sleep, sleep_until};

use super::unacknowledged::{SentCommand, UnacknowledgedCommands};
use super::{PeersReceiver, connect, invalid_message};
use crate::exchange::{
    Command, FrozenConnection, START_TOLERANCE, Shared, monotonic_seconds, pass_to_predecessor,
};
use crate::fault;
use crate::ring::{IoProgress, Ring};

/// The minimum time between two attempts to connect. A connection that lasted longer is replaced at
/// once, since the engine's cores idle meanwhile.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of requests for the gauges: a little less than the controller's interval of 10 ms,
/// so that mostly the response triggers it rather than the timer.
const POLL_INTERVAL: Duration = Duration::from_millis(8);
/// A connection on which a request, or an ATTACH after the first HELLO, stays unanswered for this
/// long is dead and is replaced.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// With more than this unsent, commands wait in the exchange.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// The client of the engine: the state that outlives a connection.
struct Client {
    exchange: Shared,
    /// The number of the last notification that was read.
    last_notification: u64,
    /// Commands that may be lost if the connection ends.
    unacknowledged: UnacknowledgedCommands,
    last_request_tag: u64,
    /// Whether the next connection offers that calls name their dependency. An engine that does not
    /// know the extension closes such a connection.
    offers_names: bool,
    /// When the engine was started, as it reported.
    started_at: Option<Instant>,
}

/// A connection to the engine.
struct Connection {
    socket: TcpStream,
    /// Its number among all connections, also of earlier processes.
    stream: u64,
    address: SocketAddr,
    read_buffer: Ring,
    write_buffer: Ring,
    /// The engine has sent its HELLO.
    is_greeted: bool,
    /// All notifications that the previous connection missed have been read.
    is_caught_up: bool,
    /// Calls may name their dependency.
    names_dependencies: bool,
    /// When the pending request was sent.
    requested_at: Option<Instant>,
    poll_at: Instant,
}

/// The state of the connection of another process, and its socket unless it was down.
pub type ResumedEngineConnection = (records::EngineConnectionRecord, Option<TcpStream>);

/// Keeps a connection open until the instance freezes, starting with that of another process if
/// there is one.
pub async fn maintain_connection(
    mut peers: PeersReceiver,
    exchange: Shared,
    resumed: Rc<RefCell<Option<ResumedEngineConnection>>>,
) {
    let mut freeze_notice = exchange.borrow().freeze_notice();
    let offers_names = exchange.borrow().names_dependencies();
    let mut client = Client {
        exchange,
        last_notification: 0,
        unacknowledged: UnacknowledgedCommands::default(),
        last_request_tag: 0,
        offers_names,
        started_at: None,
    };
    let mut connection = resumed.take().and_then(|resumed| client.resume(resumed));
    let mut next_socket = None;
    loop {
        let tried_at = Instant::now();
        let address = peers.borrow_and_update().engine;
        let connected = match (connection.take(), next_socket.take()) {
            (Some(connection), _) => Ok(connection),
            (None, Some((socket, address))) => client.attach(socket, address).await,
            (None, None) => select! {
                socket = connect(address) => match socket {
                    Ok(socket) => client.attach(socket, address).await,
                    Err(error) => Err(error),
                },
                Ok(_) = freeze_notice.wait_for(|is_frozen| *is_frozen) => return client.hand_over(None),
            },
        };
        match connected {
            Ok(mut connection) => {
                // After a change of address the old connection serves until the new one is
                // established.
                let address = connection.address;
                let ended = {
                    let run = pin!(client.run(&mut connection));
                    let address_change = pin!(connect_to_new_address(&mut peers, address));
                    select! {
                        biased;
                        Ok(_) = freeze_notice.wait_for(|is_frozen| *is_frozen) => ConnectionEnd::Frozen,
                        reason = run => ConnectionEnd::Failed(reason.err().unwrap_or(io::ErrorKind::UnexpectedEof.into())),
                        socket = address_change => { next_socket = Some(socket); ConnectionEnd::Moved }
                    }
                };
                match ended {
                    ConnectionEnd::Frozen => return client.hand_over(Some(connection)),
                    ConnectionEnd::Failed(reason) => {
                        warn!(
                            "the connection to the engine failed after notification {}: {reason}",
                            client.last_notification
                        );
                        client.offers_names = client.exchange.borrow().names_dependencies()
                            && (connection.is_greeted || !client.offers_names);
                    }
                    ConnectionEnd::Moved => {
                        info!(
                            "the connection to the engine moves to another address after notification {}",
                            client.last_notification
                        )
                    }
                }
                client.close(&connection);
            }
            Err(error) => debug!("the engine can't be reached: {error}"),
        }
        if next_socket.is_none() {
            select! {
                () = sleep_until(tried_at + RECONNECT_INTERVAL) => {}
                Ok(_) = freeze_notice.wait_for(|is_frozen| *is_frozen) => return client.hand_over(None),
            }
        }
    }
}

/// Why a connection is no longer used.
enum ConnectionEnd {
    /// The instance froze.
    Frozen,
    /// It failed, or the engine closed it.
    Failed(io::Error),
    /// The engine has another address.
    Moved,
}

/// Waits until the engine has another address, and connects to it.
async fn connect_to_new_address(
    peers: &mut PeersReceiver,
    from: SocketAddr,
) -> (TcpStream, SocketAddr) {
    loop {
        let address = peers.borrow_and_update().engine;
        if address == from {
            if peers.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            continue;
        }
        match connect(address).await {
            Ok(socket) => return (socket, address),
            Err(error) => debug!("the engine's new address can't be reached yet: {error}"),
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

impl Client {
    /// Attaches on a new socket, which a watching predecessor knows before anything is sent on it.
    async fn attach(&mut self, socket: TcpStream, address: SocketAddr) -> io::Result<Connection> {
        let stream = {
            let mut exchange = self.exchange.borrow_mut();
            exchange.counters.engine_links += 1;
            exchange.next_stream()
        };
        pass_to_predecessor(&self.exchange, Role::EngineConnection(stream), &socket).await?;
        let now = Instant::now();
        let (read_buffer, write_buffer) = (Ring::default(), Ring::default());
        // The first HELLO may wait until the engine is up; later ones are subject to the timeout.
        let requested_at = self.started_at.map(|_| now);
        let (is_greeted, is_caught_up, poll_at) = (false, false, now);
        let names_dependencies = false;
        let mut connection = Connection {
            socket,
            stream,
            address,
            read_buffer,
            write_buffer,
            is_greeted,
            is_caught_up,
            names_dependencies,
            requested_at,
            poll_at,
        };
        let extension = self.offers_names.then_some(engine::NAMES_EXTENSION);
        engine::write_attach(
            &mut connection.write_buffer,
            self.last_notification,
            extension,
        );
        Ok(connection)
    }

    /// Continues the connection of another process.
    fn resume(&mut self, (record, socket): ResumedEngineConnection) -> Option<Connection> {
        let now = Instant::now();
        (self.last_notification, self.last_request_tag) =
            (record.last_notification, record.last_request_tag);
        let age = |started_at: f64| {
            Duration::from_secs_f64((monotonic_seconds() - started_at).clamp(0.0, 1e6))
        };
        self.started_at = record
            .engine_started_at
            .and_then(|started_at| now.checked_sub(age(started_at)));
        // The next response proves that they were read.
        let proof = self.last_request_tag + 1;
        let inherited = self.exchange.borrow_mut().take_inherited_commands();
        for (command, received_notifications) in inherited {
            let sent = SentCommand {
                command,
                received_notifications,
            };
            self.unacknowledged.push(sent, proof);
        }
        let (socket, stream, address) = (socket?, record.stream?, record.address.parse().ok()?);
        let Flow {
            read_bytes,
            written_bytes,
            read_buffer,
            write_buffer,
        } = record.flow;
        Some(Connection {
            socket,
            stream,
            address,
            read_buffer: Ring::restore(read_buffer, read_bytes),
            write_buffer: Ring::restore(write_buffer, written_bytes),
            is_greeted: record.is_greeted,
            is_caught_up: record.is_caught_up,
            names_dependencies: record.names_dependencies,
            requested_at: record.is_request_pending.then_some(now),
            poll_at: now,
        })
    }

    /// The state, for a process that continues the connection.
    fn record(&self, connection: Option<&Connection>) -> records::EngineConnectionRecord {
        let now = Instant::now();
        let flow = |connection: &Connection| Flow {
            read_bytes: connection.read_buffer.transferred_bytes(),
            written_bytes: connection.write_buffer.transferred_bytes(),
            read_buffer: connection.read_buffer.to_vec(),
            write_buffer: connection.write_buffer.to_vec(),
        };
        records::EngineConnectionRecord {
            stream: connection.map(|connection| connection.stream),
            address: connection
                .map(|connection| connection.address.to_string())
                .unwrap_or_default(),
            last_notification: self.last_notification,
            last_request_tag: self.last_request_tag,
            is_request_pending: connection
                .is_some_and(|connection| connection.requested_at.is_some()),
            is_greeted: connection.is_some_and(|connection| connection.is_greeted),
            is_caught_up: connection.is_some_and(|connection| connection.is_caught_up),
            names_dependencies: connection.is_some_and(|connection| connection.names_dependencies),
            engine_started_at: self.started_at.map(|started_at| {
                monotonic_seconds() - now.saturating_duration_since(started_at).as_secs_f64()
            }),
            flow: connection.map(flow).unwrap_or_default(),
        }
    }

    /// Journals the state for a watching predecessor, before anything of it takes effect.
    fn journal_state(&self, connection: Option<&Connection>) {
        let mut exchange = self.exchange.borrow_mut();
        if exchange.is_journaling() {
            exchange.journal_record(Key::EngineConnection, &self.record(connection));
            exchange.write_journal();
        }
    }

    /// Hands the connection over to the successor.
    fn hand_over(&self, connection: Option<Connection>) {
        let record = self.record(connection.as_ref());
        let socket = connection.and_then(|connection| connection.socket.into_std().ok());
        self.exchange
            .borrow_mut()
            .add_frozen_connection(FrozenConnection::Engine(record, socket));
    }

    /// Closes a connection also where a predecessor has a copy of the socket that would leave it
    /// open.
    fn close(&self, connection: &Connection) {
        self.journal_state(None);
        if self.exchange.borrow().shares_descriptors() {
            let _ = shutdown(&connection.socket, Shutdown::Both);
        }
    }

    /// Sends commands and handles notifications until the connection ends.
    async fn run(&mut self, connection: &mut Connection) -> io::Result<()> {
        let waker = self.exchange.borrow().commands_waker();
        loop {
            self.send_commands(connection);
            if !connection.write_buffer.is_empty() {
                self.journal_state(Some(connection));
            }
            let is_blocked =
                connection.write_buffer.drain(&connection.socket)? == IoProgress::Blocked;
            fault::injection_point("link.written");
            let interest = if is_blocked {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            let deadline = connection
                .requested_at
                .map_or(connection.poll_at, |requested_at| {
                    requested_at + RESPONSE_TIMEOUT
                });
            select! {
                biased;
                ready = connection.socket.ready(interest) => { ready?; }
                () = waker.notified() => {}
                () = sleep_until(deadline), if connection.is_greeted || connection.requested_at.is_some() => {}
            }
            let is_journaling = self.exchange.borrow().is_journaling();
            let fill = if is_journaling {
                Ring::peek
            } else {
                Ring::fill
            };
            let progress = fill(&mut connection.read_buffer, &connection.socket)?;
            if progress == IoProgress::Closed {
                return Ok(());
            }
            self.parse(connection)?;
            if is_journaling && progress == IoProgress::Advanced {
                self.journal_state(Some(connection));
                fault::injection_point("link.noted");
                connection.read_buffer.discard_peeked(&connection.socket)?;
            }
            self.poll_gauges(connection)?;
        }
    }

    /// Requests the gauges periodically, one request at a time.
    fn poll_gauges(&mut self, connection: &mut Connection) -> io::Result<()> {
        let now = Instant::now();
        match connection.requested_at {
            Some(requested_at) if now >= requested_at + RESPONSE_TIMEOUT => {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "no response in time",
                ));
            }
            None if connection.is_greeted && now >= connection.poll_at => {
                self.last_request_tag += 1;
                engine::write_stat(&mut connection.write_buffer, self.last_request_tag);
                (connection.requested_at, connection.poll_at) = (Some(now), now + POLL_INTERVAL);
            }
            _ => {}
        }
        Ok(())
    }

    /// Encodes the exchange's commands, as far as the write buffer takes them.
    fn send_commands(&mut self, connection: &mut Connection) {
        while connection.is_caught_up && connection.write_buffer.len() <= MAX_UNSENT_BYTES {
            let Some((command, received_notifications)) = self.exchange.borrow_mut().next_command()
            else {
                break;
            };
            match &command {
                Command::Run {
                    id,
                    operation,
                    body,
                } => engine::write_run(&mut connection.write_buffer, *id, operation, body),
                Command::Feed { id, reply } => {
                    engine::write_feed(&mut connection.write_buffer, *id, reply)
                }
                Command::Skip { id, need } => {
                    engine::write_skip(&mut connection.write_buffer, *id, *need)
                }
            }
            let sent = SentCommand {
                command,
                received_notifications,
            };
            self.unacknowledged.push(sent, self.last_request_tag + 1);
        }
    }

    /// Decodes and handles the notifications that were read.
    fn parse(&mut self, connection: &mut Connection) -> io::Result<()> {
        let mut read_buffer = std::mem::take(&mut connection.read_buffer);
        let result = read_buffer.read(|bytes| match engine::read_notification(bytes) {
            Ok(None) => Ok(0),
            // A name that was not negotiated must not be taken for something else.
            Ok(Some((EngineNotification::Need { named: Some(_), .. }, _)))
                if !connection.names_dependencies =>
            {
                Err(invalid_message(
                    Fault("a dependency name that was not negotiated"),
                    bytes,
                ))
            }
            Ok(Some((notification, count))) => {
                self.handle_notification(connection, &notification);
                Ok(count)
            }
            Err(fault) => Err(invalid_message(fault, bytes)),
        });
        connection.read_buffer = read_buffer;
        result
    }

    fn handle_notification(
        &mut self,
        connection: &mut Connection,
        notification: &EngineNotification,
    ) {
        // Numbers of notes are ignored: one ahead of the next notification's would make that one
        // count as repeated.
        if let Some(number) = notification.number() {
            if number <= self.last_notification {
                self.exchange.borrow_mut().counters.repeated += 1;
                return;
            }
            self.last_notification = number;
        }
        let mut exchange = self.exchange.borrow_mut();
        match *notification {
            EngineNotification::Hello { warm, up_ms, names } => {
                connection.names_dependencies = names && self.offers_names;
                info!(
                    "the engine is up, {} for {up_ms} ms",
                    if warm { "warm" } else { "cold" }
                );
                (connection.is_greeted, connection.requested_at) = (true, None);
                let uptime = Duration::from_secs_f64((up_ms / 1e3).clamp(0.0, 1e6));
                let started_at = Instant::now().checked_sub(uptime);
                let is_restarted = match (self.started_at, started_at) {
                    (Some(before), Some(now)) => now > before + START_TOLERANCE,
                    _ => false,
                };
                if is_restarted {
                    warn!("the engine was restarted; its runs are lost");
                    (self.last_notification, self.started_at) = (0, started_at);
                    self.unacknowledged.clear();
                }
                self.started_at = self.started_at.or(started_at);
                exchange.engine_up(warm, uptime.as_secs_f64(), is_restarted);
            }
            EngineNotification::Done {
                id,
                end,
                took_ms,
                result,
                ..
            } => exchange.run_ended(id, end, took_ms / 1e3, result),
            EngineNotification::Need {
                number,
                id,
                named,
                body,
            } => {
                let named = named.and_then(|name| std::str::from_utf8(name).ok());
                exchange.call_requested(id, number, named, body);
            }
            EngineNotification::No { what } => match engine::parse_rejected_command(what) {
                Some((word, id)) => exchange.command_refused(word, id),
                None => warn!("the engine refused {}", what.escape_ascii()),
            },
            EngineNotification::Note { text, .. } => {
                info!("the engine notes: {}", text.escape_ascii())
            }
            EngineNotification::Stats { tag, ref gauges } => {
                let requested_at = connection.requested_at.take();
                let age = requested_at.map_or(Duration::MAX, |requested_at| requested_at.elapsed());
                exchange.gauges_received(gauges, age);
                drop(exchange);
                match requested_at {
                    Some(requested_at) if connection.is_caught_up => {
                        self.acknowledge_commands(tag, requested_at);
                    }
                    _ => self.end_replay(connection),
                }
            }
        }
    }

    /// The request with this tag, sent at `requested_at`, was answered.
    fn acknowledge_commands(&mut self, tag: u64, requested_at: Instant) {
        let now = Instant::now();
        let acknowledged = self.unacknowledged.request_answered(tag, requested_at, now);
        let mut exchange = self.exchange.borrow_mut();
        for sent in acknowledged {
            exchange.command_acknowledged(&sent.command, sent.received_notifications);
        }
    }

    /// The first response on a connection ends the replay: commands sent on the previous connection
    /// that are still unacknowledged may be lost.
    fn end_replay(&mut self, connection: &mut Connection) {
        if std::mem::replace(&mut connection.is_caught_up, true) {
            return;
        }
        let mut exchange = self.exchange.borrow_mut();
        for sent in self.unacknowledged.take_all() {
            exchange.command_lost(sent.command, sent.received_notifications);
        }
    }
}
