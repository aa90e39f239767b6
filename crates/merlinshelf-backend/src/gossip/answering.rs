//! Answers polls of peers: each has a connection, which must be finished within a timeout.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use merlinshelf_gossip::Message;
use merlinshelf_protocol::gossip::{MessageKind, write_message};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Shared;
use super::messages::{MessageError, read_message};
use super::transport::{Plain, Transport};
use crate::exchange::monotonic_seconds;

/// The maximum number of peers that poll at the same time; further connections are closed at once.
const MAX_CONNECTIONS: usize = 16;
/// Within this time a poll must be received and its answer be read.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after a failed listen or accept.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Answers polls until the task is aborted.
pub(super) async fn run(address: String, state: Shared) {
    let listener = open_listener(&address).await;
    info!("gossip listening at {address}");
    let connection_count = Rc::new(Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!("gossip connection not accepted: {error}");
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if connection_count.get() >= MAX_CONNECTIONS {
            continue; // closed at once
        }
        let permit = ConnectionPermit::acquire(&connection_count);
        let state = state.clone();
        spawn_local(async move {
            let _permit = permit;
            match timeout(CONNECTION_TIMEOUT, answer(stream, state)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => debug!("poll not answered: {error}"),
                Err(_) => debug!("poll not answered in time"),
            }
        });
    }
}

/// Opens the listener, retrying until it succeeds; only the first failure is logged.
async fn open_listener(address: &str) -> TcpListener {
    let mut is_logged = false;
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(error) => {
                if !is_logged {
                    warn!("gossip listener not open: {address}: {error}");
                }
                is_logged = true;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Listens at an address, also if a predecessor has only just released it.
fn listen(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv6() {
        TcpSocket::new_v6()
    } else {
        TcpSocket::new_v4()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_CONNECTIONS as u32)
}

async fn answer(stream: TcpStream, state: Shared) -> io::Result<()> {
    let mut stream = Plain.accept(stream).await?;
    let (kind, poll) = read_message(&mut stream).await?;
    if kind != MessageKind::Poll {
        return Err(MessageError::AnswerInsteadOfPoll.into());
    }
    let Some(bytes) = encode_answer(&poll, &state) else {
        return Ok(());
    };
    stream.write_all(&bytes).await?;
    stream.shutdown().await
}

/// `None` before the node has started, and if the CPU time allowed for answers is used up.
fn encode_answer(poll: &Message, state: &Shared) -> Option<Vec<u8>> {
    let started_at = Instant::now();
    let mut state = state.borrow_mut();
    let node = state.node.as_mut()?;
    let answer = node.poll_received(monotonic_seconds(), poll)?;
    let mut bytes = Vec::new();
    write_message(&mut bytes, MessageKind::Answer, &answer);
    node.charge_cpu_seconds(started_at.elapsed().as_secs_f64());
    Some(bytes)
}

/// A permit for one of the concurrent connections, which only dropping it releases.
struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    fn acquire(connection_count: &Rc<Cell<usize>>) -> ConnectionPermit {
        connection_count.set(connection_count.get() + 1);
        ConnectionPermit(connection_count.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
