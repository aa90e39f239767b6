//! The side of what a backend itself talks to: its engine, the catalogue below, the membership
//! service.

pub mod catalogue;
pub mod engine;
pub mod registration;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use merlinshelf_protocol::Fault;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::config::Peers;

/// Where the far ends are, and word of it when that changes.
pub type PeersReceiver = watch::Receiver<Peers>;

/// Of all descriptors an eighth may be connections to the catalogue; calls beyond wait for one.
pub fn max_calls(sockets: usize) -> usize {
    (sockets / 8).max(1)
}

/// On one machine or network a connection stands at once or hardly at all.
const CONNECT_MOST: Duration = Duration::from_secs(1);

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = timeout(CONNECT_MOST, TcpStream::connect(address)).await??;
    socket.set_nodelay(true)?;
    Ok(socket)
}

/// What a far end wrote is no message: the log says how it began, and the connection ends.
fn unreadable(fault: Fault, bytes: &[u8]) -> io::Error {
    warn!("{fault}: {}", bytes[..bytes.len().min(100)].escape_ascii());
    io::Error::new(io::ErrorKind::InvalidData, fault.0)
}
