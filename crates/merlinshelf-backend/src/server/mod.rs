//! Serves edge nodes: accepts their connections, reads invocations and writes the answers.

mod assembly;
mod codec;
mod connection;
mod fields;
mod rejection;
mod table;
#[cfg(test)]
mod tests;

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use merlinshelf_handover::records;
use merlinshelf_quota::CALLERS;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{Shutdown, shutdown};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;
use tokio::{pin, select};

use crate::exchange::{ConnectionHandle, Shared};
use connection::Connection;
use table::Table;

/// Connections that may wait to be accepted: more than all edge nodes of a fleet open at once.
const BACKLOG: u32 = 1024;
/// Descriptors reserved for outgoing connections, the listener, signals and standard streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// Delay after a failed accept, mostly for lack of descriptors, and while all slots are in use.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How often it is checked whether the fleet's quota allows another connection: a hundred times in
/// a quota window.
const QUOTA_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The listening socket. Whether a connection is pending is asked of the kernel, since the
/// runtime's readiness may be out of date.
pub type Listener = AsyncFd<std::net::TcpListener>;

/// A socket that is bound to its address and does not listen yet.
pub struct BoundSocket {
    socket: TcpSocket,
    address: SocketAddr,
}

impl BoundSocket {
    /// Binds a socket to the address.
    ///
    /// # Errors
    /// The address is in use or not available.
    pub fn bind(address: SocketAddr) -> io::Result<BoundSocket> {
        let bind = || {
            let socket = if address.is_ipv4() {
                TcpSocket::new_v4()
            } else {
                TcpSocket::new_v6()
            }?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            Ok(BoundSocket { socket, address })
        };
        bind().map_err(|error| with_address(address, error))
    }

    /// Starts to listen.
    ///
    /// # Errors
    /// Another process listens there by now.
    pub fn listen(self) -> io::Result<Listener> {
        let BoundSocket { socket, address } = self;
        let listen = || register_listener(socket.listen(BACKLOG)?.into_std()?);
        listen().map_err(|error| with_address(address, error))
    }
}

/// Adds the address to the text of an error.
fn with_address(address: SocketAddr, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("listen: {address}: {error}"))
}

/// Registers a socket that listens already with the runtime.
pub fn register_listener(listener: std::net::TcpListener) -> io::Result<Listener> {
    // SAFETY: the listener owns its descriptor, and stays inside until the registration ends.
    Ok(unsafe { AsyncFd::register_with_interest(listener, Interest::READABLE) }?)
}

/// Waits until a connection is pending, without accepting it.
async fn wait_for_connection(listener: &Listener) -> io::Result<()> {
    loop {
        let mut guard = listener.readable().await?;
        let mut descriptors = [PollFd::new(listener.get_ref(), PollFlags::IN)];
        if poll(&mut descriptors, Some(&Timespec::default()))? > 0 {
            return Ok(());
        }
        guard.clear_ready();
    }
}

/// Accepts a pending connection.
fn accept_connection(listener: &Listener) -> io::Result<TcpStream> {
    let (socket, _) = listener.get_ref().accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket)
}

/// The maximum number of client connections: the descriptors that outgoing calls and the process's
/// own needs leave, at least half of all.
pub fn max_connections(sockets: usize, max_calls: usize) -> usize {
    sockets
        .saturating_sub(RESERVED_DESCRIPTORS + max_calls)
        .max(sockets / 2)
        .max(1)
}

/// Serves the connections of edge nodes.
#[derive(Clone)]
pub struct Server {
    exchange: Shared,
    table: Rc<Table>,
    max_connections: usize,
    /// Clients may use uwsgi as well as FastCGI.
    uwsgi: bool,
}

impl Server {
    pub fn new(exchange: Shared, max_connections: usize, uwsgi: bool) -> Server {
        Server {
            exchange,
            table: Rc::default(),
            max_connections,
            uwsgi,
        }
    }

    /// Continues a connection that another process served, with the handle that was opened for it.
    pub fn resume(
        &self,
        socket: TcpStream,
        handle: ConnectionHandle,
        record: records::ClientConnectionRecord,
    ) {
        let slot = self.table.add();
        let connection = Connection::resumed(
            socket,
            &self.exchange,
            slot,
            handle,
            (self.max_connections, self.uwsgi),
            record,
        );
        spawn_local(connection.serve());
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (slot, handle) = (self.table.add(), ConnectionHandle::open(&self.exchange));
        spawn_local(
            Connection::new(
                socket,
                &self.exchange,
                slot,
                handle,
                (self.max_connections, self.uwsgi),
            )
            .serve(),
        );
    }
}

/// Whether the fleet's quota allows another connection now. `is_waiting` is set while a pending
/// connection waits for it, so that its demand is noted once.
fn may_accept(exchange: &Shared, is_waiting: &mut bool) -> bool {
    let mut exchange = exchange.borrow_mut();
    if !std::mem::replace(is_waiting, true) {
        exchange.record_connection_demand(CALLERS);
    }
    let may_open = exchange.try_acquire_connection(CALLERS);
    *is_waiting = !may_open;
    may_open
}

/// Accepts connections until `close` is notified; those that are pending by then are accepted
/// first, since an edge node may have written to them already. When all slots are in use, a pending
/// connection makes the least important idle one close; only while all are busy does it wait.
pub async fn accept(listener: Rc<Listener>, server: Server, close: Rc<Notify>) {
    let Server {
        exchange,
        table,
        max_connections,
        ..
    } = &server;
    let max_connections = *max_connections;
    let closed = close.notified();
    pin!(closed);
    let (mut has_failed, mut is_full, mut is_waiting) = (false, false, false);
    loop {
        select! {
            biased;
            pending = wait_for_connection(&listener) => has_failed |= pending.is_err(),
            () = &mut closed => break,
        }
        if table.len() >= max_connections {
            let has_room = table.make_room();
            if !has_room && !is_full {
                warn!("all {max_connections} connections are in use; new ones wait to be accepted");
            }
            is_full = !has_room;
            select! {
                () = table.changed() => {}
                () = sleep(ACCEPT_RETRY_DELAY) => {}
                () = &mut closed => break,
            }
            continue;
        }
        if has_failed {
            select! {
                () = sleep(ACCEPT_RETRY_DELAY) => {}
                () = &mut closed => break,
            }
        }
        if !may_accept(exchange, &mut is_waiting) {
            select! {
                () = sleep(QUOTA_RETRY_DELAY) => {}
                () = &mut closed => break,
            }
            continue;
        }
        match accept_connection(&listener) {
            Ok(socket) => {
                has_failed = false;
                server.serve(socket);
            }
            // The client has closed the connection before it was accepted.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::ConnectionAborted
                ) => {}
            Err(error) => {
                // Mostly for lack of descriptors.
                warn!("connection not accepted: {error}");
                has_failed = true;
                table.make_room();
                exchange.borrow_mut().counters.refused_connections += 1;
            }
        }
        // Open connections are served between two accepts.
        yield_now().await;
    }
    while let Ok(socket) = accept_connection(&listener) {
        server.serve(socket);
    }
    if exchange.borrow().shares_descriptors() {
        // The predecessor's copy of the descriptor would keep the socket open.
        let _ = shutdown(listener.get_ref(), Shutdown::Both);
    }
}
