//! Messages between agents: one listener, and one connection to each other agent, over which
//! messages go one way. What can't be sent at once is dropped; the protocols above send again.

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

/// Most messages that wait for one agent.
const MAX_QUEUED_MESSAGES: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the next attempt to connect or accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most connections from other agents.
const MAX_CONNECTIONS: usize = 64;

/// A message from one agent to another. It passes between versions of the program: the serialized
/// names stay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Between the replicas of the log.
    #[serde(rename = "Council")]
    Consensus(Message),
    /// A host asks the leader for a lease.
    #[serde(rename = "Ask")]
    LeaseRequest(HostLeaseRequest),
    /// The leader's answer.
    #[serde(rename = "Word")]
    LeaseResponse(HostLeaseResponse),
    /// For the leader: an entry to propose.
    Propose(Entry),
    /// For the leader: the agent of this name is gone for good.
    #[serde(rename = "Remove")]
    RemoveMember(String),
    /// Status of the sender's host, as JSON.
    #[serde(rename = "Standing")]
    HostStatus(String),
}

/// A message that was received.
pub(crate) struct ReceivedMessage {
    /// Name of the agent that sent it, by its own account.
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
    /// Listens, and connects to each other agent once there is a message for it. What is received
    /// goes to `received`.
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
        let _ = queue.try_send(bytes); // full where the peer is not reached: the message is lost
    }

    /// Names of the other agents.
    pub fn peers(&self) -> impl Iterator<Item = &String> {
        self.queues.keys()
    }
}

/// Sends what is queued for one agent, over a connection that is opened anew after each failure.
async fn send_queue(address: String, mut queue: Receiver<Vec<u8>>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(bytes) = queue.recv().await {
        if connection.is_none() {
            connection = connect(&address).await;
        }
        let Some(stream) = &mut connection else {
            sleep(RETRY_DELAY).await;
            while queue.try_recv().is_ok() {} // what waited is outdated by now
            continue;
        };
        let write = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(write, Ok(Ok(()))) {
            connection = None; // part of the message may have been sent: the next one needs a new connection
        }
    }
}

async fn connect(address: &str) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true); // it works without, only slower
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
                    return Ok(()); // the agent ends
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

/// A complete message at the start of the bytes, and its length.
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
