//! Simple routing strategies for several dependency servers, as a baseline for comparison: always the first server, or
//! round-robin with a fixed timeout and a limited number of attempts. The forwarder takes the catalogue's place, and finds the
//! dependency in the last word of the call's body.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::time::timeout;

use super::line_reader::{Call, LineReader};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ForwardMode {
    /// The first server of each dependency, with the call's own timeout.
    FirstServer,
    /// Each attempt goes to the next server, with this timeout and at most this many attempts.
    RoundRobin {
        attempt_timeout: Duration,
        max_attempts: usize,
    },
}

pub struct Forward {
    mode: ForwardMode,
    servers: BTreeMap<String, Vec<String>>,
    next_server: Cell<usize>,
}

impl Forward {
    /// Accepts and forwards calls until its task is dropped.
    pub fn start(listener: TcpListener, mode: ForwardMode, servers: BTreeMap<String, Vec<String>>) {
        let forward = Rc::new(Forward {
            mode,
            servers,
            next_server: Cell::default(),
        });
        super::serve(listener, move |stream| {
            let forward = forward.clone();
            async move { forward.handle_connection(stream).await }
        });
    }

    async fn handle_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(Call {
            id,
            timeout_ms,
            body,
            head,
        }) = lines.read_call().await?
        {
            let call_timeout = Duration::from_millis(timeout_ms.parse().map_err(io::Error::other)?);
            let mut probe = [0; 1];
            let answer = select! {
                answer = self.call(&head, &body, call_timeout) => answer,
                // The caller closes its connection to cancel the call.
                _ = lines.inner().read(&mut probe) => return Ok(()),
            };
            let answer = answer.unwrap_or_else(|| format!("{id} internal\r\n").into_bytes());
            output.write_all(&answer).await?;
        }
        Ok(())
    }

    async fn call(&self, head: &str, body: &[u8], call_timeout: Duration) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(body).into_owned();
        let servers = self.servers.get(text.rsplit(' ').next()?)?;
        let (attempt_timeout, max_attempts) = match self.mode {
            ForwardMode::FirstServer => (call_timeout, 1),
            ForwardMode::RoundRobin {
                attempt_timeout,
                max_attempts,
            } => (attempt_timeout, max_attempts),
        };
        for _ in 0..max_attempts {
            let index = match self.mode {
                ForwardMode::FirstServer => 0,
                ForwardMode::RoundRobin { .. } => {
                    self.next_server.replace(self.next_server.get() + 1) % servers.len()
                }
            };
            if let Ok(Ok(answer)) =
                timeout(attempt_timeout, attempt(&servers[index], head, body)).await
            {
                return Some(answer);
            }
        }
        None
    }
}

/// Makes one attempt on a new connection. Any status other than `ok` is an error.
async fn attempt(server: &str, head: &str, body: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(server).await?;
    stream.set_nodelay(true)?;
    stream
        .write_all(&[head.as_bytes(), b"\r\n", body, b"\r\n"].concat())
        .await?;
    let mut lines = LineReader::new(stream);
    let reply_head = lines
        .read_line()
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let [_, "ok", length] = reply_head.split(' ').collect::<Vec<_>>()[..] else {
        return Err(io::Error::other(reply_head));
    };
    let reply = lines.read_body(length).await?;
    Ok([reply_head.as_bytes(), b"\r\n", &reply, b"\r\n"].concat())
}
