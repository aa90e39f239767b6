//! The plain ways to several servers, to hold the program against: one fixed server each, or round-robin with a fixed time-out and
//! a few tries. It stands where the one catalogue stands, and knows the dependency by the last word of the question.

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
    /// The first server of each, as long as the call may wait.
    FirstServer,
    /// One after the other, each so long, so many at the most.
    RoundRobin { each: Duration, tries: usize },
}

pub struct Forward {
    mode: ForwardMode,
    servers: BTreeMap<String, Vec<String>>,
    next_server: Cell<usize>,
}

impl Forward {
    /// Takes calls for as long as its task lives.
    pub fn start(listener: TcpListener, way: ForwardMode, servers: BTreeMap<String, Vec<String>>) {
        let forward = Rc::new(Forward {
            mode: way,
            servers,
            next_server: Cell::default(),
        });
        super::serve(listener, move |stream| {
            let forward = forward.clone();
            async move { forward.attend(stream).await }
        });
    }

    async fn attend(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(Call {
            id,
            wait,
            body,
            line,
        }) = lines.read_call().await?
        {
            let wait = Duration::from_millis(wait.parse().map_err(io::Error::other)?);
            let mut gave_up = [0; 1];
            let answer = select! {
                answer = self.call(&line, &body, wait) => answer,
                // Whoever gives a call up closes its connection.
                _ = lines.inner().read(&mut gave_up) => return Ok(()),
            };
            let answer = answer.unwrap_or_else(|| format!("{id} internal\r\n").into_bytes());
            output.write_all(&answer).await?;
        }
        Ok(())
    }

    async fn call(&self, line: &str, body: &[u8], wait: Duration) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(body).into_owned();
        let servers = self.servers.get(text.rsplit(' ').next()?)?;
        let (each, tries) = match self.mode {
            ForwardMode::FirstServer => (wait, 1),
            ForwardMode::RoundRobin { each, tries } => (each, tries),
        };
        for _ in 0..tries {
            let place = match self.mode {
                ForwardMode::FirstServer => 0,
                ForwardMode::RoundRobin { .. } => {
                    self.next_server.replace(self.next_server.get() + 1) % servers.len()
                }
            };
            if let Ok(Ok(answer)) = timeout(each, once(&servers[place], line, body)).await {
                return Some(answer);
            }
        }
        None
    }
}

/// One try on a connection of its own; a word other than `ok` is an error.
async fn once(server: &str, line: &str, body: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(server).await?;
    stream.set_nodelay(true)?;
    stream
        .write_all(&[line.as_bytes(), b"\r\n", body, b"\r\n"].concat())
        .await?;
    let mut lines = LineReader::new(stream);
    let head = lines
        .read_line()
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let [_, "ok", length] = head.split(' ').collect::<Vec<_>>()[..] else {
        return Err(io::Error::other(head));
    };
    let reply = lines.read_body(length).await?;
    Ok([head.as_bytes(), b"\r\n", &reply, b"\r\n"].concat())
}
