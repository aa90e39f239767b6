//! Connections between agents: one listener, and one connection to each other agent over which words go one way. What can't be
//! sent at once is dropped; whoever needs it says it again.

use std::collections::BTreeMap;
use std::io;
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

/// Words that wait for one agent at the most.
const WAITING_MOST: usize = 256;
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const WRITE_WITHIN: Duration = Duration::from_millis(500);
const AGAIN_AFTER: Duration = Duration::from_millis(100);
/// Connections from other agents at the most.
const CALLERS_MOST: usize = 64;

/// What agents say to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Peer {
    Council(Message),
    Ask(HostLeaseRequest),
    Word(HostLeaseResponse),
    /// For whoever leads: an entry to be put into the log.
    Propose(Entry),
    /// For whoever leads: this agent is gone for good.
    Remove(String),
    /// How the instances of the sender stand, as JSON.
    Standing(String),
}

/// The way to the other agents.
pub struct Links {
    name: String,
    ways: BTreeMap<String, Sender<Vec<u8>>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Links {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Links {
    /// Listens, and connects to all others as words are to be sent. What comes goes to `heard`, with who says it.
    ///
    /// # Errors
    /// The address can't be had.
    pub async fn open(
        name: &str,
        listen: &str,
        agents: &BTreeMap<String, String>,
        heard: UnboundedSender<(String, Peer)>,
    ) -> io::Result<Links> {
        let named = |error: io::Error| {
            io::Error::new(error.kind(), format!("council.listen: {listen}: {error}"))
        };
        let listener = TcpListener::bind(listen).await.map_err(named)?;
        let mut tasks = vec![spawn_local(accept(listener, heard)).abort_handle()];
        let mut ways = BTreeMap::new();
        for (other, address) in agents.iter().filter(|(other, _)| *other != name) {
            let (sender, words) = channel(WAITING_MOST);
            tasks.push(spawn_local(tell(address.clone(), words)).abort_handle());
            ways.insert(other.clone(), sender);
        }
        Ok(Links {
            name: name.to_owned(),
            ways,
            tasks,
        })
    }

    pub fn send(&self, to: &str, word: &Peer) {
        let Some(way) = self.ways.get(to) else { return };
        let body = rmp_serde::to_vec_named(&(&self.name, word)).unwrap_or_default();
        let mut bytes = Vec::new();
        control::ask(&mut bytes, ControlRequest::Consensus, &body);
        let _ = way.try_send(bytes); // full: it is not reached
    }

    pub fn others(&self) -> impl Iterator<Item = &String> {
        self.ways.keys()
    }
}

async fn tell(address: String, mut words: Receiver<Vec<u8>>) {
    let mut stream: Option<TcpStream> = None;
    while let Some(bytes) = words.recv().await {
        if stream.is_none() {
            match timeout(CONNECT_WITHIN, TcpStream::connect(&address)).await {
                Ok(Ok(new)) => {
                    let _ = new.set_nodelay(true);
                    stream = Some(new);
                }
                _ => {
                    sleep(AGAIN_AFTER).await;
                    while words.try_recv().is_ok() {} // what waited is old by now
                    continue;
                }
            }
        }
        if let Some(open) = &mut stream
            && !matches!(
                timeout(WRITE_WITHIN, open.write_all(&bytes)).await,
                Ok(Ok(()))
            )
        {
            stream = None; // half a word may have gone: the connection ends with it
        }
    }
}

async fn accept(listener: TcpListener, heard: UnboundedSender<(String, Peer)>) {
    let callers = std::rc::Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if std::rc::Rc::strong_count(&callers) <= CALLERS_MOST => {
                let (heard, place) = (heard.clone(), callers.clone());
                spawn_local(async move {
                    let _place = place;
                    if let Err(error) = listen(stream, heard).await {
                        debug!("another agent is gone: {error}");
                    }
                });
            }
            Ok(_) => warn!("{CALLERS_MOST} agents are connected; one more is turned away"),
            Err(error) => {
                warn!("no agent is let in: {error}");
                sleep(AGAIN_AFTER).await;
            }
        }
    }
}

async fn listen(mut stream: TcpStream, heard: UnboundedSender<(String, Peer)>) -> io::Result<()> {
    let mut come = Vec::new();
    loop {
        let used = match control::council(&come) {
            Ok(Some(((form, _, body), used))) => {
                if form != PROTOCOL_VERSION {
                    return Err(io::Error::other(format!("form {form} is not spoken here")));
                }
                let said: (String, Peer) = rmp_serde::from_slice(body).map_err(io::Error::other)?;
                if heard.send(said).is_err() {
                    return Ok(());
                }
                used
            }
            Ok(None) => {
                if stream.read_buf(&mut come).await? == 0 {
                    return Ok(());
                }
                0
            }
            Err(fault) => return Err(io::Error::other(fault.0)),
        };
        come.drain(..used);
    }
}
