//! The side of the edge nodes: connections, the invocations read from them, the answers written back.

mod assembly;
mod bad;
mod codec;
mod connection;
mod fields;
mod table;

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

/// Connections that may wait to be accepted; more than a fleet of edge nodes opens at once.
const BACKLOG: u32 = 1024;
/// Descriptors kept back for the client side, the listener, signals and standard streams.
const KEPT_BACK: usize = 32;
/// After a failed accept, which mostly says that descriptors have run out.
const PAUSE: Duration = Duration::from_millis(10);
/// Between two looks whether a newcomer may be taken in by the fleet's budget: a window holds a hundred.
const PACE: Duration = Duration::from_millis(10);

/// The listening socket. Whether somebody stands at it is asked of the kernel, not of remembered readiness.
pub type Listener = AsyncFd<std::net::TcpListener>;

/// An address that is this process's own, and at which nobody can come in yet.
pub struct BoundSocket {
    socket: TcpSocket,
    address: SocketAddr,
}

impl BoundSocket {
    /// # Errors
    /// The address can't be had.
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
        bind().map_err(|error| at(address, error))
    }

    /// # Errors
    /// Somebody else listens there by now.
    pub fn listen(self) -> io::Result<Listener> {
        let BoundSocket { socket, address } = self;
        let listen = || register_listener(socket.listen(BACKLOG)?.into_std()?);
        listen().map_err(|error| at(address, error))
    }
}

fn at(address: SocketAddr, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("listen: {address}: {error}"))
}

/// A listening socket that is there already.
pub fn register_listener(listener: std::net::TcpListener) -> io::Result<Listener> {
    // SAFETY: the listener owns its descriptor, and stays inside until the registration ends.
    Ok(unsafe { AsyncFd::register_with_interest(listener, Interest::READABLE) }?)
}

/// Waits until somebody stands at the door, and takes nobody in.
async fn newcomer(listener: &Listener) -> io::Result<()> {
    loop {
        let mut guard = listener.readable().await?;
        let mut look = [PollFd::new(listener.get_ref(), PollFlags::IN)];
        if poll(&mut look, Some(&Timespec::default()))? > 0 {
            return Ok(());
        }
        guard.clear_ready();
    }
}

/// Who stands at the door, if anybody does.
fn take_in(listener: &Listener) -> io::Result<TcpStream> {
    let (socket, _) = listener.get_ref().accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket)
}

/// Of the descriptors told, those that are left for edge nodes.
pub fn max_connections(sockets: usize, calls_most: usize) -> usize {
    sockets
        .saturating_sub(KEPT_BACK + calls_most)
        .max(sockets / 2)
        .max(1)
}

/// The connections of the edge nodes.
#[derive(Clone)]
pub struct Server {
    exchange: Shared,
    table: Rc<Table>,
    most: usize,
    /// Callers may speak uwsgi, too.
    uwsgi: bool,
}

impl Server {
    pub fn new(exchange: Shared, most: usize, uwsgi: bool) -> Server {
        Server {
            exchange,
            table: Rc::default(),
            most,
            uwsgi,
        }
    }

    /// Carries on a connection that another process has served, behind the door that was opened for it.
    pub fn resume(
        &self,
        socket: TcpStream,
        door: ConnectionHandle,
        record: records::ClientConnectionRecord,
    ) {
        let seat = self.table.sit();
        let connection = Connection::resumed(
            socket,
            &self.exchange,
            seat,
            door,
            (self.most, self.uwsgi),
            record,
        );
        spawn_local(connection.serve());
    }

    fn begin(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (seat, door) = (self.table.sit(), ConnectionHandle::open(&self.exchange));
        spawn_local(
            Connection::new(socket, &self.exchange, seat, door, (self.most, self.uwsgi)).serve(),
        );
    }
}

/// Whether the fleet's budget lets a newcomer be taken in now; `paced`: who stands there was counted as wanting it.
fn may_take_in(exchange: &Shared, paced: &mut bool) -> bool {
    let mut exchange = exchange.borrow_mut();
    if !std::mem::replace(paced, true) {
        exchange.note_connection_demand(CALLERS);
    }
    let may = exchange.may_open_connection(CALLERS);
    *paced = !may;
    may
}

/// Takes in connections until it is told to close; those that stand by then are taken in first, since an
/// edge node may have written to them already. With a full table the one that has been idle for the longest
/// makes room for a newcomer, once there is one; only while all have something in hand do newcomers wait.
pub async fn accept(listener: Rc<Listener>, server: Server, close: Rc<Notify>) {
    let Server {
        exchange,
        table,
        most,
        ..
    } = &server;
    let most = *most;
    let closed = close.notified();
    pin!(closed);
    let (mut failing, mut crowded, mut paced) = (false, false, false);
    loop {
        select! {
            biased;
            come = newcomer(&listener) => failing |= come.is_err(),
            () = &mut closed => break,
        }
        if table.len() >= most {
            let room = table.make_room();
            if !room && !crowded {
                warn!("all {most} connections are in use; more wait unaccepted");
            }
            crowded = !room;
            select! {
                () = table.freed() => {}
                () = sleep(PAUSE) => {}
                () = &mut closed => break,
            }
            continue;
        }
        if failing {
            select! {
                () = sleep(PAUSE) => {}
                () = &mut closed => break,
            }
        }
        if !may_take_in(exchange, &mut paced) {
            select! {
                () = sleep(PACE) => {}
                () = &mut closed => break,
            }
            continue;
        }
        match take_in(&listener) {
            Ok(socket) => {
                failing = false;
                server.begin(socket);
            }
            // Who stood there has gone again.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::ConnectionAborted
                ) => {}
            Err(error) => {
                // Mostly descriptors have run out.
                warn!("no connection accepted: {error}");
                failing = true;
                table.make_room();
                exchange.borrow_mut().counters.refused_connections += 1;
            }
        }
        // One turn for each, so that those who are in are heard between newcomers.
        yield_now().await;
    }
    while let Ok(socket) = take_in(&listener) {
        server.begin(socket);
    }
    if exchange.borrow().is_journaling() {
        // The predecessor's copy would keep it open.
        let _ = shutdown(listener.get_ref(), Shutdown::Both);
    }
}
