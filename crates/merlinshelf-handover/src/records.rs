//! What an image holds, a record for each thing. Every field has a default, and unknown ones are passed over, so
//! that a later program can add to them.

use std::collections::BTreeMap;

use merlinshelf_admission::{InvocationState, LearnedState};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::flow::Flow;

/// The instance as a whole. Moments are seconds of the machine's monotonic clock, which both processes read alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// The module's clock less the monotonic one.
    pub clock: f64,
    /// The operations by name, in the order in which invocations number them.
    pub operations: Vec<String>,
    pub next_stream: u64,
    pub healthy: bool,
    /// Idle time after which connections close, seconds.
    pub trim_after: f64,
    /// When the process must be gone, once it leaves.
    pub stop: Option<f64>,
    /// What the engine said of its start, other than the settings.
    pub fresh_start: Option<String>,
    /// By operation, whether a run was ever seen to make more than one call.
    pub calls_again: Vec<bool>,
    pub counters: BTreeMap<String, u64>,
    /// None while the engine was never up.
    pub learnt: Option<LearnedState>,
    /// What is known of the servers behind and from whom, in the form of its file (`merlinshelf-gossip`).
    pub knowledge: ByteBuf,
    /// The lease on a policy and the documents (`merlinshelf-policy`), for a successor alone: empty in what is noted.
    pub policy: ByteBuf,
    /// What is held of the fleet's budgets (`merlinshelf-quota`), for a successor alone as well.
    pub shares: ByteBuf,
}

/// The engine's link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineConnectionRecord {
    /// The connection's number among those that passed; none where it is down.
    pub stream: Option<u64>,
    pub address: String,
    /// The number of the last notice that was read.
    pub last: u64,
    /// The last question asked, and whether its answer is awaited.
    pub tag: u64,
    pub asked: bool,
    pub hello: bool,
    pub caught_up: bool,
    /// Calls may name their dependency.
    pub names: bool,
    /// When the engine was started, monotonic seconds.
    pub born: Option<f64>,
    pub flow: Flow,
}

/// An invocation that is being read on an edge node's connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Partial {
    pub tag: u16,
    pub keep: bool,
    pub params: ByteBuf,
    pub params_done: bool,
    pub body: ByteBuf,
}

/// An edge node's connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientConnectionRecord {
    pub flow: Flow,
    /// The record that has come in part: kind, id, bytes of content and of padding still to come.
    pub record: (u8, u16, usize, usize),
    /// What it speaks: 0 FastCGI, 1 uwsgi, 2 nothing yet.
    pub front: u8,
    pub partials: Vec<Partial>,
    /// Read and not answered yet: its tag, and whether the connection is kept after it.
    pub open: Vec<(u16, bool)>,
    pub astray: usize,
    pub faults: u32,
    pub said: u8,
    pub read_closed: bool,
    pub last_word: bool,
}

/// A final answer on its way to a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Succeeded(ByteBuf),
    /// Succeeded without these parts.
    Partial(ByteBuf, String),
    Throttled {
        away: f64,
        last: bool,
    },
    Errored,
    Unknown,
}

/// Answers that wait for a connection to take them, by tag.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseQueueRecord {
    pub answers: Vec<(u16, Answer)>,
}

/// A connection to the catalogue with an open call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DownstreamConnectionRecord {
    pub address: String,
    pub id: ByteBuf,
    /// Which call of its invocation it is.
    pub number: usize,
    /// All invocations whose calls it has carried.
    pub carried: Vec<ByteBuf>,
    pub flow: Flow,
}

/// The last command given about an invocation, as long as the engine is not known to have read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Run,
    Feed(ByteBuf),
    Skip(u64),
}

/// An invocation in hand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Invocation {
    pub operation: usize,
    pub body: ByteBuf,
    /// The connection and the tag there that wait for its answer.
    pub reply: Option<(u64, u16)>,
    /// The last notice that asked for a call: its number and the call's body.
    pub need: Option<(u64, ByteBuf)>,
    /// The dependency that the last notice named, how many calls its run has wanted, and the parts its result is without.
    pub named: Option<String>,
    pub wanted: usize,
    pub missing: Vec<String>,
    pub calls: usize,
    /// When its open call is given up, monotonic seconds.
    pub calling_until: Option<f64>,
    pub begun: bool,
    pub heard: u64,
    /// With the command, whether it was put on the link.
    pub command: Option<(Command, bool)>,
    /// In which order it came.
    pub place: u64,
    pub inv: InvocationState,
}
