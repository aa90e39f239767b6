//! What a connection between instances is wrapped in. Nothing as yet, which is why only loopback addresses are allowed; a
//! layer with keys is another implementor.

use std::io;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A way to secure connections, for both of their ends.
pub trait Secure {
    type Stream: AsyncRead + AsyncWrite + Unpin;

    /// The end of the one who is asked.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>>;
    /// The end of the one who asks, at this address.
    fn connect(
        &self,
        stream: TcpStream,
        address: &str,
    ) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// As it comes.
pub struct Plain;

impl Secure for Plain {
    type Stream = TcpStream;

    async fn accept(&self, stream: TcpStream) -> io::Result<TcpStream> {
        Ok(stream)
    }

    async fn connect(&self, stream: TcpStream, _: &str) -> io::Result<TcpStream> {
        Ok(stream)
    }
}
