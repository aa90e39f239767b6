//! The transport of connections between instances. It is not encrypted yet, which is why only
//! loopback addresses are allowed; an encrypted transport would be another implementation.

use std::io;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Secures connections, at both of their ends.
pub trait Transport {
    /// The secured connection.
    type Stream: AsyncRead + AsyncWrite + Unpin;

    /// Secures a connection at the end that is polled.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>>;
    /// Secures a connection at the end that polls this address.
    fn connect(
        &self,
        stream: TcpStream,
        address: &str,
    ) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Uses the connection without encryption.
pub struct Plain;

impl Transport for Plain {
    type Stream = TcpStream;

    async fn accept(&self, stream: TcpStream) -> io::Result<TcpStream> {
        Ok(stream)
    }

    async fn connect(&self, stream: TcpStream, _: &str) -> io::Result<TcpStream> {
        Ok(stream)
    }
}
