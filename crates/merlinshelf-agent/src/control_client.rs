//! Client of the control sockets of instances and agents: sends one request and receives its
//! replies.

use std::io;
use std::path::Path;
use std::time::Duration;

use merlinshelf_protocol::control::{self, ControlMessage, ControlRequest, PROTOCOL_VERSION};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::runtime::{Builder, Runtime};
use tokio::time::timeout;

/// A server accepts a request immediately, even if processing it takes long.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// A request whose replies are being received.
pub struct ControlClient {
    stream: UnixStream,
    /// Bytes received but not decoded yet.
    buffer: Vec<u8>,
    reply_timeout: Duration,
}

impl ControlClient {
    /// Connects and sends a request. Each reply may take `reply_timeout`.
    ///
    /// # Errors
    /// No process listens on the socket, or the server does not accept the request in time.
    pub async fn request(
        socket: &Path,
        request: ControlRequest,
        body: &Value,
        reply_timeout: Duration,
    ) -> io::Result<ControlClient> {
        let send = async {
            let mut stream = UnixStream::connect(socket).await?;
            let mut bytes: Vec<u8> = Vec::new();
            control::write_request(&mut bytes, request, body.to_string().as_bytes());
            stream.write_all(&bytes).await?;
            Ok::<_, io::Error>(stream)
        };
        let stream = timeout(reply_timeout.min(ACCEPT_TIMEOUT), send).await??;
        Ok(ControlClient {
            stream,
            buffer: Vec::new(),
            reply_timeout,
        })
    }

    /// The next reply with its JSON body; all but the last one are [`ControlMessage::More`].
    ///
    /// # Errors
    /// The server closed the connection, did not reply in time, or sent something else.
    pub async fn next_reply(&mut self) -> io::Result<(ControlMessage, Value)> {
        loop {
            if let Some(reply) = self.decode_reply()? {
                return Ok(reply);
            }
            let read = self.stream.read_buf(&mut self.buffer);
            if timeout(self.reply_timeout, read).await?? == 0 {
                let text = "it closed the connection without its last word";
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
            }
        }
    }

    /// Takes a complete reply out of the buffer.
    fn decode_reply(&mut self) -> io::Result<Option<(ControlMessage, Value)>> {
        let frame =
            control::read_message(&self.buffer).map_err(|fault| io::Error::other(fault.0))?;
        let Some((frame, length)) = frame else {
            return Ok(None);
        };
        let version = frame.version;
        if version != PROTOCOL_VERSION {
            let text = format!("it speaks form {version}, this program form {PROTOCOL_VERSION}");
            return Err(io::Error::other(text));
        }
        let body = serde_json::from_slice(frame.body)?;
        let message = frame.message;
        self.buffer.drain(..length);
        Ok(Some((message, body)))
    }

    /// Sends a request without a body that has a single reply.
    ///
    /// # Errors
    /// As [`request`](ControlClient::request) and [`next_reply`](ControlClient::next_reply).
    pub async fn request_once(
        socket: &Path,
        request: ControlRequest,
        reply_timeout: Duration,
    ) -> io::Result<(ControlMessage, Value)> {
        ControlClient::request(socket, request, &json!({}), reply_timeout)
            .await?
            .next_reply()
            .await
    }
}

/// A blocking [`ControlClient`].
pub struct BlockingControlClient {
    runtime: Runtime,
    client: ControlClient,
}

impl BlockingControlClient {
    /// Connects and sends a request.
    ///
    /// # Errors
    /// As [`ControlClient::request`].
    pub fn request(
        socket: &Path,
        request: ControlRequest,
        body: &Value,
        reply_timeout: Duration,
    ) -> io::Result<BlockingControlClient> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let client =
            runtime.block_on(ControlClient::request(socket, request, body, reply_timeout))?;
        Ok(BlockingControlClient { runtime, client })
    }

    /// Waits for the next reply.
    ///
    /// # Errors
    /// As [`ControlClient::next_reply`].
    pub fn next_reply(&mut self) -> io::Result<(ControlMessage, Value)> {
        self.runtime.block_on(self.client.next_reply())
    }
}
