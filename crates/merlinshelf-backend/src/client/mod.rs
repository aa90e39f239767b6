//! Outgoing connections of a backend: to its engine, to the catalogue and other downstream
//! dependencies, and to the registration service.

pub mod catalogue;
pub mod engine;
pub mod registration;
mod unacknowledged;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use merlinshelf_protocol::Fault;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::config::Peers;

/// The addresses of these servers, and notifications of their changes.
pub type PeersReceiver = watch::Receiver<Peers>;

/// The maximum number of downstream calls in flight: an eighth of all descriptors. Further calls
/// wait.
pub fn max_calls(sockets: usize) -> usize {
    (sockets / 8).max(1)
}

/// Within one machine or network a connection is established at once or hardly ever.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    socket.set_nodelay(true)?;
    Ok(socket)
}

/// Logs the start of a message that a peer sent and that can't be parsed. The error closes the
/// connection.
fn invalid_message(fault: Fault, bytes: &[u8]) -> io::Error {
    warn!("{fault}: {}", bytes[..bytes.len().min(100)].escape_ascii());
    io::Error::new(io::ErrorKind::InvalidData, fault.0)
}
