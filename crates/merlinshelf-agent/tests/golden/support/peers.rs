//! Simulated other agents of the installation: each has a real replica of the log, and exchanges
//! messages with the agent under test over sockets, in the format that this module defines.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use merlinshelf_consensus::{Action, Membership, Message, Record, Replica};
use merlinshelf_policy::{Entry, HostLeaseRequest, HostLeaseResponse};
use merlinshelf_protocol::control::{self, ControlRequest, PROTOCOL_VERSION};
use serde::{Deserialize, Serialize};

use super::WAIT_TIMEOUT;

/// A message between agents, with the same variants as the private type of `merlinshelf-agent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Council(Message),
    Ask(HostLeaseRequest),
    Word(HostLeaseResponse),
    Propose(Entry),
    Remove(String),
    Standing(String),
}

/// Encodes a message with its sender for the wire.
pub fn encode(sender: &str, message: &PeerMessage) -> Vec<u8> {
    let body = rmp_serde::to_vec_named(&(sender, message)).expect("a message can be encoded");
    let mut bytes = Vec::new();
    control::write_request(&mut bytes, ControlRequest::Consensus, &body);
    bytes
}

/// Decodes a sender and its message; the bytes must contain nothing else.
pub fn decode(bytes: &[u8]) -> (String, PeerMessage) {
    let (frame, used) = control::read_consensus_request(bytes)
        .expect("a frame")
        .expect("a complete frame");
    assert_eq!((frame.version, used), (PROTOCOL_VERSION, bytes.len()));
    rmp_serde::from_slice(frame.body).expect("a message between agents")
}

/// A message that the agent under test has sent: its receiver and its bytes.
struct Incoming {
    receiver: String,
    bytes: Vec<u8>,
}

/// One of the other agents.
struct TestAgent {
    replica: Replica,
    disk: Vec<Record>,
}

/// The agent under test.
struct AgentUnderTest {
    name: String,
    /// The address that it listens on.
    address: String,
}

/// All other agents together.
pub struct Peers {
    agents: BTreeMap<String, TestAgent>,
    agent_under_test: AgentUnderTest,
    connection: Option<TcpStream>,
    /// The agent's messages, from the threads that read them.
    incoming: (Sender<Incoming>, Receiver<Incoming>),
    /// Its messages in order, except raft's.
    pub received: Vec<PeerMessage>,
    /// Which kinds of the log's own messages it sent.
    pub consensus_messages: BTreeSet<&'static str>,
    /// The entries applied by each agent, in the log's order.
    pub applied: BTreeMap<String, Vec<Vec<u8>>>,
    /// The replicated state for snapshots.
    state: Vec<u8>,
    tick: Duration,
    ticked_at: Instant,
}

impl Peers {
    /// Starts with no agents. `tick` is the duration of a tick, `state` the state in snapshots.
    pub fn new(agent: &str, address: &str, tick: Duration, state: Vec<u8>) -> Peers {
        Peers {
            agents: BTreeMap::new(),
            agent_under_test: AgentUnderTest {
                name: agent.to_owned(),
                address: address.to_owned(),
            },
            connection: None,
            incoming: channel(),
            received: Vec::new(),
            consensus_messages: BTreeSet::new(),
            applied: BTreeMap::new(),
            state,
            tick,
            ticked_at: Instant::now(),
        }
    }

    /// Starts an agent from its disk. `agents` are the agents in its fleet file.
    pub fn start(&mut self, name: &str, agents: &[&str], disk: Vec<Record>) {
        let agents: BTreeSet<String> = agents.iter().map(|name| (*name).to_owned()).collect();
        let boot_id = 1_000 + self.agents.len() as u64;
        let replica =
            Replica::start(name, &agents, boot_id, 0, &disk).expect("the disk can be used");
        self.agents
            .insert(name.to_owned(), TestAgent { replica, disk });
    }

    /// Stops an agent; returns the records on its disk.
    pub fn stop(&mut self, name: &str) -> Vec<Record> {
        self.agents.remove(name).expect("it runs").disk
    }

    /// Listens at the address on which the agent under test reaches this agent.
    pub fn listen(&self, name: &str, address: &str) {
        let listener = TcpListener::bind(address).expect("an address of the test's own");
        let (name, messages) = (name.to_owned(), self.incoming.0.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, messages) = (name.clone(), messages.clone());
                std::thread::spawn(move || read_messages(stream, &name, &messages));
            }
        });
    }

    pub fn leader(&self) -> Option<&str> {
        let is_leading = |agent: &TestAgent| agent.replica.leading_term().is_some();
        self.agents
            .iter()
            .find(|(_, agent)| is_leading(agent))
            .map(|(name, _)| name.as_str())
    }

    /// The leader that the named agent follows.
    pub fn leader_of(&self, name: &str) -> Option<&str> {
        self.agents[name].replica.leader()
    }

    pub fn membership(&self, name: &str) -> &Membership {
        self.agents[name].replica.membership()
    }

    /// Delivers a message to the named agent, as if it were from another agent.
    pub fn deliver(&mut self, name: &str, from: &str, message: Message) {
        self.agents
            .get_mut(name)
            .expect("it runs")
            .replica
            .handle_message(from, message);
    }

    /// Sends bytes to the agent under test; as for all messages between agents, they may be lost.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        if self.connection.is_none() {
            self.connection = TcpStream::connect(&self.agent_under_test.address).ok();
        }
        if self
            .connection
            .as_mut()
            .is_some_and(|stream| stream.write_all(bytes).is_err())
        {
            self.connection = None;
        }
    }

    pub fn send(&mut self, from: &str, message: &PeerMessage) {
        self.send_bytes(&encode(from, message));
    }

    /// Handles the received messages, and advances the clocks by a tick if one is due.
    pub fn advance(&mut self) {
        while let Ok(Incoming { receiver, bytes }) = self.incoming.1.try_recv() {
            let (from, message) = decode(&bytes);
            assert_eq!(from, self.agent_under_test.name, "who sends it");
            assert_eq!(
                encode(&from, &message),
                bytes,
                "{message:?} is encoded otherwise by the agent"
            );
            match message {
                PeerMessage::Council(message) => {
                    self.consensus_messages.insert(match &message {
                        Message::Hello { .. } => "hello",
                        Message::Welcome { .. } => "welcome",
                        Message::Raft(_) => "raft",
                    });
                    if let Some(agent) = self.agents.get_mut(&receiver) {
                        agent.replica.handle_message(&from, message);
                    }
                }
                other => self.received.push(other),
            }
        }
        if self.ticked_at.elapsed() >= self.tick {
            self.ticked_at = Instant::now();
            self.agents
                .values_mut()
                .for_each(|agent| agent.replica.tick());
        }
        self.carry_out_actions();
        std::thread::sleep(Duration::from_millis(2));
    }

    /// Carries out the actions of all agents until there are none left.
    fn carry_out_actions(&mut self) {
        loop {
            let mut sent = Vec::new();
            for (name, agent) in &mut self.agents {
                if agent.replica.needs_compaction() {
                    agent.replica.compact(self.state.clone());
                }
                while let Some(action) = agent.replica.poll_action() {
                    match action {
                        Action::Append(records) => agent.disk.extend(records),
                        Action::ReplaceLog(records) => agent.disk = records,
                        Action::Send { to, message } => sent.push((name.clone(), to, message)),
                        Action::Apply { data: entry, .. } => {
                            self.applied.entry(name.clone()).or_default().push(entry);
                        }
                        Action::Restore { .. } | Action::LeadershipConfirmed { .. } => {}
                        Action::ReportDecodeError(error) => panic!("{name}: {error}"),
                    }
                }
            }
            if sent.is_empty() {
                return;
            }
            for (from, to, message) in sent {
                if to == self.agent_under_test.name {
                    self.send(&from, &PeerMessage::Council(message));
                } else if let Some(agent) = self.agents.get_mut(&to) {
                    agent.replica.handle_message(&from, message);
                }
            }
        }
    }

    /// Advances until `find` returns a value, and returns it.
    pub fn run_until<T>(&mut self, what: &str, mut find: impl FnMut(&mut Peers) -> Option<T>) -> T {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(found) = find(self) {
                return found;
            }
            assert!(
                Instant::now() < until,
                "timed out after {WAIT_TIMEOUT:?}: {what}; {} messages were received, the last one is {:?}",
                self.received.len(),
                self.received.last()
            );
            self.advance();
        }
    }
}

/// Reads messages off a connection of the agent under test until it ends.
fn read_messages(mut stream: TcpStream, name: &str, messages: &Sender<Incoming>) {
    let (mut bytes, mut part) = (Vec::new(), [0; 65536]);
    while let Ok(count @ 1..) = stream.read(&mut part) {
        bytes.extend(&part[..count]);
        while let Ok(Some((_, used))) = control::read_consensus_request(&bytes) {
            let message = Incoming {
                receiver: name.to_owned(),
                bytes: bytes.drain(..used).collect(),
            };
            if messages.send(message).is_err() {
                return; // the test is over
            }
        }
    }
}
