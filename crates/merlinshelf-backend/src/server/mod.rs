//! The side of the edge nodes: connections, the invocations read from them, the answers written back.

mod assembly;
mod connection;
mod fields;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::exchange::Shared;
use connection::Connection;

/// Connections that may wait to be accepted; more than a fleet of edge nodes opens at once.
const BACKLOG: u32 = 1024;
/// Descriptors kept back for the client side, the listener, signals and standard streams.
const KEPT_BACK: usize = 32;
/// After a failed accept, which mostly says that descriptors have run out.
const PAUSE: Duration = Duration::from_millis(10);

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes in connections until it is dropped. With all descriptors in use those that wait stay unaccepted,
/// and the ones in use are asked to close when idle.
pub async fn accept(listener: TcpListener, exchange: Shared, sockets: usize) {
    let most = sockets.saturating_sub(KEPT_BACK).max(sockets / 2).max(1);
    let full = Rc::new(Cell::new(false));
    loop {
        let open = exchange.borrow().doors_open();
        if open >= most {
            if !full.replace(true) {
                warn!("all {most} connections are in use; more wait unaccepted");
            }
            sleep(PAUSE).await;
            continue;
        }
        full.set(false);
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.set_nodelay(true);
                let connection = Connection::new(socket, &exchange);
                spawn_local(connection.serve());
            }
            Err(error) => {
                exchange.borrow_mut().counters.refused_connections += 1;
                warn!("no connection accepted: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}
