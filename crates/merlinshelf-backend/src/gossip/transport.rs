//! What a connection between instances is wrapped in. Nothing as yet, which is why only loopback
//! addresses are allowed; an encrypted transport is another implementor.

use std::io;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A way to secure connections, for both of their ends.
pub trait Transport {
    /// The secured connection.
    type Stream: AsyncRead + AsyncWrite + Unpin;

    /// The end that is polled.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>>;
    /// The end that polls, at this address.
    fn connect(
        &self,
        stream: TcpStream,
        address: &str,
    ) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// The connection as it is.
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
