//! The side of what a backend itself talks to: its engine, the catalogue below, the membership service.

pub mod catalogue;
pub mod engine;
pub mod members;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// On one machine or network a connection stands at once or hardly at all.
const CONNECT_MOST: Duration = Duration::from_secs(1);

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = timeout(CONNECT_MOST, TcpStream::connect(address)).await??;
    socket.set_nodelay(true)?;
    Ok(socket)
}
