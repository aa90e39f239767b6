//! Messages between agents: one listener, and one connection to each other agent, over which
//! messages are sent in one direction. Messages that can't be sent immediately are dropped; the
//! protocols above resend them.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use merlinshelf_consensus::Message;
use merlinshelf_policy::{Entry, HostLeaseRequest, HostLeaseResponse};
use merlinshelf_protocol::control::{self, ControlRequest, PROTOCOL_VERSION};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, UnboundedSender, channel};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Maximum number of messages queued for one agent.
const MAX_QUEUED_MESSAGES: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next attempt to connect or accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of connections from other agents.
const MAX_CONNECTIONS: usize = 64;

/// A message from one agent to another. Different versions of the program exchange it, so the
/// serialized names must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A message between the replicas of the log.
    #[serde(rename = "Council")]
    Consensus(Message),
    /// A host requests a lease from the leader.
    #[serde(rename = "Ask")]
    LeaseRequest(HostLeaseRequest),
    /// The leader's answer.
    #[serde(rename = "Word")]
    LeaseResponse(HostLeaseResponse),
    /// Asks the leader to propose an entry.
    Propose(Entry),
    /// Asks the leader to remove the agent of this name permanently.
    #[serde(rename = "Remove")]
    RemoveMember(String),
    /// Status of the sender's host, as JSON.
    #[serde(rename = "Standing")]
    HostStatus(String),
}

/// A received message and its sender.
pub(crate) struct ReceivedMessage {
    /// Name of the sender, as stated in the message.
    pub from: String,
    pub message: PeerMessage,
}

/// The connections to the other agents; dropping it closes them.
pub(crate) struct PeerTransport {
    name: String,
    queues: BTreeMap<String, Sender<Vec<u8>>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for PeerTransport {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl PeerTransport {
    /// Listens, and connects to each other agent once there is a message for it. Received messages
    /// are sent to `received`.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn open(
        name: &str,
        listen: &str,
        agents: &BTreeMap<String, String>,
        received: UnboundedSender<ReceivedMessage>,
    ) -> io::Result<PeerTransport> {
        let listener = TcpListener::bind(listen).await.map_err(|error| {
            io::Error::new(error.kind(), format!("council.listen: {listen}: {error}"))
        })?;
        let mut tasks = vec![spawn_local(accept(listener, received)).abort_handle()];
        let mut queues = BTreeMap::new();
        for (peer, address) in agents.iter().filter(|(peer, _)| *peer != name) {
            let (sender, queue) = channel(MAX_QUEUED_MESSAGES);
            tasks.push(spawn_local(send_queue(address.clone(), queue)).abort_handle());
            queues.insert(peer.clone(), sender);
        }
        Ok(PeerTransport {
            name: name.to_owned(),
            queues,
            tasks,
        })
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, to: &str, message: &PeerMessage) {
        let Some(queue) = self.queues.get(to) else {
            return;
        };
        let body = match rmp_serde::to_vec_named(&(&self.name, message)) {
            Ok(body) => body,
            Err(error) => {
                return warn!(error:% = error, agent = to; "message to {to} not encoded: {error}");
            }
        };
        let mut bytes = Vec::new();
        control::write_request(&mut bytes, ControlRequest::Consensus, &body);
        let _ = queue.try_send(bytes); // full if the peer is unreachable: the message is lost
    }

    /// Names of the other agents.
    pub fn peers(&self) -> impl Iterator<Item = &String> {
        self.queues.keys()
    }
}

/// Sends the messages queued for one agent, over a connection that is reopened after each failure.
async fn send_queue(address: String, mut queue: Receiver<Vec<u8>>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(bytes) = queue.recv().await {
        if connection.is_none() {
            connection = connect(&address).await;
        }
        let Some(stream) = &mut connection else {
            sleep(RETRY_DELAY).await;
            while queue.try_recv().is_ok() {} // queued messages are outdated by now
            continue;
        };
        let write = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(write, Ok(Ok(()))) {
            // Part of the message may have been sent, so the next one needs a new connection.
            connection = None;
        }
    }
}

async fn connect(address: &str) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true); // only an optimization
    Some(stream)
}

async fn accept(listener: TcpListener, received: UnboundedSender<ReceivedMessage>) {
    let connections = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&connections) <= MAX_CONNECTIONS => {
                let received = received.clone();
                let connection = connections.clone();
                spawn_local(async move {
                    let _connection = connection;
                    if let Err(error) = receive(stream, received).await {
                        debug!(error:% = error; "connection from an agent closed: {error}");
                    }
                });
            }
            Ok(_) => warn!(
                limit = MAX_CONNECTIONS;
                "connection from an agent rejected: {MAX_CONNECTIONS} are open"
            ),
            Err(error) => {
                warn!(error:% = error; "connection from an agent not accepted: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn receive(
    mut stream: TcpStream,
    received: UnboundedSender<ReceivedMessage>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        match decode(&buffer)? {
            Some((message, length)) => {
                if received.send(message).is_err() {
                    return Ok(()); // the agent is stopping
                }
                buffer.drain(..length);
            }
            None => {
                if stream.read_buf(&mut buffer).await? == 0 {
                    return Ok(());
                }
            }
        }
    }
}

/// Decodes a complete message at the start of the bytes; returns it with its length.
fn decode(bytes: &[u8]) -> io::Result<Option<(ReceivedMessage, usize)>> {
    let frame =
        control::read_consensus_request(bytes).map_err(|fault| io::Error::other(fault.0))?;
    let Some((frame, length)) = frame else {
        return Ok(None);
    };
    let version = frame.version;
    if version != PROTOCOL_VERSION {
        return Err(io::Error::other(format!(
            "protocol version {version} is not supported"
        )));
    }
    let (from, message) = rmp_serde::from_slice(frame.body).map_err(io::Error::other)?;
    Ok(Some((ReceivedMessage { from, message }, length)))
}
