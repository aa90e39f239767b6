//! An instance that is restored from an image or created fresh, and does not run yet.

use std::cell::RefCell;
use std::fmt;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use log::{error, warn};
use merlinshelf_admission::LearnedState;
use merlinshelf_handover::{Flow, Image, Key, Reconciliation, Role, records};
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};

use super::task::Task;
use super::{Instance, InstanceOptions, run_timers};
use crate::client;
use crate::client::catalogue::ResumedConnection;
use crate::exchange::{ConnectionHandle, Exchange, OpenedConnection, PassedDescriptors, Shared};
use crate::journal::Journal;
use crate::ring::discard;
use crate::routing::SharedRouting;
use crate::server::{self, Listener, Server};
use crate::upgrade::kernel::{self, OpenedBy};

/// An instance with its connections, before its tasks run.
pub struct RestoredInstance {
    exchange: Shared,
    listener: Rc<Listener>,
    client_connections: Vec<ClientConnection>,
    downstream_connections: Vec<DownstreamConnection>,
    engine_connection: Option<EngineConnection>,
    /// Client connections that can't be continued.
    pub lost_connections: usize,
}

struct ClientConnection {
    socket: TcpStream,
    response_queue: ConnectionHandle,
    record: records::ClientConnectionRecord,
    reconciliation: Reconciliation,
}

struct DownstreamConnection {
    stream: u64,
    record: records::DownstreamConnectionRecord,
    /// `None` if the connection can't be continued: its call may have taken effect.
    live: Option<(TcpStream, Reconciliation)>,
}

struct EngineConnection {
    record: records::EngineConnectionRecord,
    /// `None` if the connection was down or can't be continued; a new one is established then.
    live: Option<(TcpStream, Reconciliation)>,
}

/// The state that an instance is restored from.
pub struct RestoreSource<'a> {
    /// The image.
    pub image: &'a Image,
    /// The connections that belong to it.
    pub connections: PassedDescriptors,
    /// The estimates of the admission controller, used if the image has none.
    pub learned: Option<LearnedState>,
}

/// What a restored instance continues. `Display` formats it for the log.
#[derive(Clone, Copy, Debug)]
pub struct InstanceTotals {
    /// Connections of clients.
    pub client_connections: usize,
    /// Downstream calls in progress.
    pub downstream_calls: usize,
    /// Invocations in flight.
    pub invocations: usize,
}

impl fmt::Display for InstanceTotals {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{} client connections, {} downstream calls, {} invocations in flight",
            self.client_connections, self.downstream_calls, self.invocations
        )
    }
}

/// The image is of an instance with other settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct IncompatibleImage {
    reason: String,
}

impl RestoredInstance {
    /// An instance without any connections or invocations.
    pub fn fresh(exchange: Shared, listener: Listener) -> RestoredInstance {
        RestoredInstance {
            exchange,
            listener: Rc::new(listener),
            client_connections: Vec::new(),
            downstream_connections: Vec::new(),
            engine_connection: None,
            lost_connections: 0,
        }
    }

    /// Restores an instance. This does not read or write any connection, and closes only those that
    /// can't be continued: until the instance runs, another process may still continue the others.
    ///
    /// # Errors
    /// The image does not fit the exchange.
    pub fn restore(
        exchange: Exchange,
        listener: Listener,
        source: RestoreSource,
    ) -> Result<RestoredInstance, IncompatibleImage> {
        exchange
            .check_image(source.image)
            .map_err(|reason| IncompatibleImage { reason })?;
        let exchange = Rc::new(RefCell::new(exchange));
        let mut restored = RestoredInstance::fresh(exchange, listener);
        let mut connections = source.connections;
        restored.restore_engine_connection(source.image, &mut connections);
        for (role, socket) in connections {
            match role {
                Role::ClientConnection(stream) => {
                    restored.restore_client_connection(source.image, stream, socket);
                }
                Role::DownstreamConnection(stream) => {
                    let connection = downstream_connection(source.image, stream, socket);
                    restored.downstream_connections.extend(connection);
                }
                _ => {}
            }
        }
        let calls: Vec<records::DownstreamConnectionRecord> = restored
            .downstream_connections
            .iter()
            .map(|connection| connection.record.clone())
            .collect();
        restored
            .exchange
            .borrow_mut()
            .restore(source.image, &calls, source.learned);
        Ok(restored)
    }

    fn restore_engine_connection(&mut self, image: &Image, connections: &mut PassedDescriptors) {
        let Some(mut record) =
            decode::<records::EngineConnectionRecord>(image, Key::EngineConnection)
        else {
            return;
        };
        let socket = record
            .stream
            .and_then(|stream| connections.remove(&Role::EngineConnection(stream)));
        let live = socket.and_then(|socket| {
            let reconciliation = reconcile(&socket, &mut record.flow, OpenedBy::Us)?;
            Some((into_stream(socket)?, reconciliation))
        });
        self.engine_connection = Some(EngineConnection { record, live });
    }

    fn restore_client_connection(&mut self, image: &Image, stream: u64, socket: OwnedFd) {
        let key = Key::ClientConnection(stream);
        if image.is_removed(key) {
            return;
        }
        // A connection without a record was accepted just before the freeze or failure.
        let mut record = decode::<records::ClientConnectionRecord>(image, key).unwrap_or_default();
        let reconciliation = reconcile(&socket, &mut record.flow, OpenedBy::Peer);
        let Some((reconciliation, socket)) = reconciliation.zip(into_stream(socket)) else {
            self.lost_connections += 1;
            return;
        };
        self.client_connections.push(ClientConnection {
            socket,
            response_queue: ConnectionHandle::reopen(&self.exchange, stream),
            record,
            reconciliation,
        });
    }

    /// From now on, records every change before its effect is visible, and sends opened connections
    /// to `opened`.
    pub fn start_recording(
        &self,
        journal: Journal,
        opened: mpsc::UnboundedSender<OpenedConnection>,
    ) {
        self.exchange.borrow_mut().start_journal(journal, opened);
    }

    /// What the instance continues.
    pub fn totals(&self) -> InstanceTotals {
        InstanceTotals {
            client_connections: self.client_connections.len(),
            downstream_calls: self
                .downstream_connections
                .iter()
                .filter(|connection| connection.live.is_some())
                .count(),
            invocations: self.exchange.borrow().in_flight(),
        }
    }

    /// Starts the tasks of the instance.
    pub fn run(self, options: InstanceOptions) -> Instance {
        if let Some(routing) = &options.routing {
            let dependencies =
                |operation: &str| routing.borrow().dependencies_of_operation(operation);
            self.exchange
                .borrow_mut()
                .set_dependency_names(dependencies);
        }
        let max_calls = client::max_calls(options.config.sockets);
        let max_connections = server::max_connections(options.config.sockets, max_calls);
        let server = Server::new(
            self.exchange.clone(),
            max_connections,
            options.accepts_uwsgi,
        );
        resume_client_connections(&server, self.client_connections);
        let engine_connection = self.engine_connection.map(resume_engine_connection);
        let downstream_connections = resume_downstream_connections(self.downstream_connections);

        let close_listener = Rc::new(Notify::new());
        let listener = Rc::downgrade(&self.listener);
        let accept_task = Task::spawn(server::accept(
            self.listener,
            server,
            close_listener.clone(),
        ));
        let (peers, watched_peers) = watch::channel(options.peers);
        let tasks = Tasks {
            exchange: self.exchange.clone(),
            peers: watched_peers,
        };
        let timers = tasks.timers();
        let engine = tasks.engine(engine_connection);
        let downstream = tasks.downstream(max_calls, downstream_connections, options.routing);
        let registration = tasks.registration(options.config.name.clone());
        Instance {
            exchange: self.exchange,
            peers,
            listener,
            close_listener,
            accept_task,
            depositing_tasks: vec![engine, downstream],
            _other_tasks: vec![timers, registration],
            drain_timeout: options.config.drain_timeout,
        }
    }
}

/// Starts the tasks of an instance, with what they share.
struct Tasks {
    exchange: Shared,
    peers: client::PeersReceiver,
}

impl Tasks {
    fn timers(&self) -> Task {
        let exchange = self.exchange.clone();
        Task::supervise("timers", move || run_timers(exchange.clone()))
    }

    fn engine(&self, connection: Option<client::engine::ResumedEngineConnection>) -> Task {
        let exchange = self.exchange.clone();
        let peers = self.peers.clone();
        let connection = Rc::new(RefCell::new(connection));
        Task::supervise("engine connection", move || {
            client::engine::maintain_connection(peers.clone(), exchange.clone(), connection.clone())
        })
    }

    fn downstream(
        &self,
        max_calls: usize,
        connections: Vec<ResumedConnection>,
        routing: Option<SharedRouting>,
    ) -> Task {
        let exchange = self.exchange.clone();
        let peers = self.peers.clone();
        let connections = Rc::new(RefCell::new(connections));
        Task::supervise("downstream calls", move || {
            client::catalogue::serve(
                peers.clone(),
                exchange.clone(),
                max_calls,
                connections.clone(),
                routing.clone(),
            )
        })
    }

    fn registration(&self, name: String) -> Task {
        let exchange = self.exchange.clone();
        let peers = self.peers.clone();
        Task::supervise("registration", move || {
            client::registration::report(peers.clone(), name.clone(), exchange.clone())
        })
    }
}

fn resume_client_connections(server: &Server, connections: Vec<ClientConnection>) {
    for connection in connections {
        let discard_bytes = connection.reconciliation.discard_bytes;
        match discard(&connection.socket, discard_bytes) {
            Ok(()) => server.resume(
                connection.socket,
                connection.response_queue,
                connection.record,
            ),
            Err(error) => warn!("client connection lost: {error}"),
        }
    }
}

fn resume_engine_connection(
    connection: EngineConnection,
) -> client::engine::ResumedEngineConnection {
    let socket = connection.live.and_then(|(socket, reconciliation)| {
        match discard(&socket, reconciliation.discard_bytes) {
            Ok(()) => Some(socket),
            Err(error) => {
                warn!("engine connection lost: {error}");
                None
            }
        }
    });
    (connection.record, socket)
}

fn resume_downstream_connections(connections: Vec<DownstreamConnection>) -> Vec<ResumedConnection> {
    let resumed = connections.into_iter().map(|connection| ResumedConnection {
        socket: connection.live.and_then(|(socket, reconciliation)| {
            match discard(&socket, reconciliation.discard_bytes) {
                Ok(()) => Some(socket),
                Err(error) => {
                    warn!("downstream connection lost: {error}");
                    None
                }
            }
        }),
        stream: connection.stream,
        record: connection.record,
    });
    resumed.collect()
}

/// A restored downstream connection. One without a record carries no call and need not continue.
fn downstream_connection(
    image: &Image,
    stream: u64,
    socket: OwnedFd,
) -> Option<DownstreamConnection> {
    let key = Key::DownstreamConnection(stream);
    let mut record = decode::<records::DownstreamConnectionRecord>(image, key)?;
    let reconciliation = reconcile(&socket, &mut record.flow, OpenedBy::Us);
    let live =
        reconciliation.and_then(|reconciliation| Some((into_stream(socket)?, reconciliation)));
    Some(DownstreamConnection {
        stream,
        record,
        live,
    })
}

/// The record with this key. A record that can't be decoded counts as missing: its connection is lost,
/// and the others continue.
fn decode<T: DeserializeOwned>(image: &Image, key: Key) -> Option<T> {
    match image.decode(key) {
        Ok(record) => record,
        Err(error) => {
            error!("record of the image ignored: {error}");
            None
        }
    }
}

/// Reconciles the recorded state of a connection with the kernel's byte counts; `None` if the
/// connection can't be continued.
fn reconcile(socket: &OwnedFd, flow: &mut Flow, opened_by: OpenedBy) -> Option<Reconciliation> {
    let counts = match kernel::byte_counts(socket, opened_by) {
        Ok(counts) => counts,
        Err(error) => {
            warn!("connection lost: {error}");
            return None;
        }
    };
    match flow.reconcile(counts) {
        Ok(reconciliation) => Some(reconciliation),
        Err(mismatch) => {
            error!("connection lost: {mismatch}");
            None
        }
    }
}

fn into_stream(socket: OwnedFd) -> Option<TcpStream> {
    let socket = std::net::TcpStream::from(socket);
    let stream = socket
        .set_nonblocking(true)
        .and_then(|()| TcpStream::from_std(socket));
    match stream {
        Ok(stream) => Some(stream),
        Err(error) => {
            warn!("connection lost: {error}");
            None
        }
    }
}
