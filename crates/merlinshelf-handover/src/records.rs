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
    #[serde(rename = "clock")]
    pub clock_offset_seconds: f64,
    /// The operations by name, in the order in which invocations number them.
    pub operations: Vec<String>,
    pub next_stream: u64,
    #[serde(rename = "healthy")]
    pub is_healthy: bool,
    /// Idle time after which connections close, seconds.
    #[serde(rename = "trim_after")]
    pub idle_timeout_seconds: f64,
    /// When the process must be gone, once it leaves.
    #[serde(rename = "stop")]
    pub drain_deadline_at: Option<f64>,
    /// What the engine said of its start, other than the settings.
    pub fresh_start: Option<String>,
    /// By operation, whether a run was ever seen to make more than one call.
    #[serde(rename = "calls_again")]
    pub repeats_calls: Vec<bool>,
    pub counters: BTreeMap<String, u64>,
    /// None while the engine was never up.
    #[serde(rename = "learnt")]
    pub learned: Option<LearnedState>,
    /// What is known of the servers behind and from whom, in the format of its file (`merlinshelf-gossip`).
    #[serde(rename = "knowledge")]
    pub gossip: ByteBuf,
    /// The lease on a policy and the documents (`merlinshelf-policy`), for a successor alone: empty in what is noted.
    pub policy: ByteBuf,
    /// What is held of the fleet's budgets (`merlinshelf-quota`), for a successor alone as well.
    #[serde(rename = "shares")]
    pub quota: ByteBuf,
}

/// The engine's link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineConnectionRecord {
    /// The connection's number among those that passed; none where it is down.
    pub stream: Option<u64>,
    pub address: String,
    /// The number of the last notice that was read.
    #[serde(rename = "last")]
    pub last_notification: u64,
    /// The last question asked, and whether its answer is awaited.
    #[serde(rename = "tag")]
    pub last_request_tag: u64,
    #[serde(rename = "asked")]
    pub is_request_pending: bool,
    #[serde(rename = "hello")]
    pub is_greeted: bool,
    #[serde(rename = "caught_up")]
    pub is_caught_up: bool,
    /// Calls may name their dependency.
    #[serde(rename = "names")]
    pub names_dependencies: bool,
    /// When the engine was started, monotonic seconds.
    #[serde(rename = "born")]
    pub engine_started_at: Option<f64>,
    pub flow: Flow,
}

/// An invocation that is being read on an edge node's connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Partial {
    pub tag: u16,
    #[serde(rename = "keep")]
    pub keeps_connection: bool,
    pub params: ByteBuf,
    #[serde(rename = "params_done")]
    pub has_all_params: bool,
    pub body: ByteBuf,
}

/// An edge node's connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientConnectionRecord {
    pub flow: Flow,
    /// The record that has come in part: kind, id, bytes of content and of padding still to come.
    #[serde(rename = "record")]
    pub partial_record: (u8, u16, usize, usize),
    /// What it speaks: 0 FastCGI, 1 uwsgi, 2 nothing yet.
    #[serde(rename = "front")]
    pub protocol: u8,
    pub partials: Vec<Partial>,
    /// Read and not answered yet: its tag, and whether the connection is kept after it.
    #[serde(rename = "open")]
    pub unanswered: Vec<(u16, bool)>,
    #[serde(rename = "astray")]
    pub unassigned_bytes: usize,
    pub faults: u32,
    #[serde(rename = "said")]
    pub received_kind: u8,
    #[serde(rename = "read_closed")]
    pub is_read_closed: bool,
    #[serde(rename = "last_word")]
    pub closes_after_write: bool,
}

/// A final answer on its way to a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Succeeded(ByteBuf),
    /// Succeeded without these parts.
    Partial(ByteBuf, String),
    Throttled {
        #[serde(rename = "away")]
        retry_after_seconds: f64,
        #[serde(rename = "last")]
        forbids_failover: bool,
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
    #[serde(rename = "id")]
    pub invocation_id: ByteBuf,
    /// Which call of its invocation it is.
    #[serde(rename = "number")]
    pub call_index: usize,
    /// All invocations whose calls it has carried.
    #[serde(rename = "carried")]
    pub carried_invocation_ids: Vec<ByteBuf>,
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
    #[serde(rename = "reply")]
    pub response_target: Option<(u64, u16)>,
    /// The last notice that asked for a call: its number and the call's body.
    #[serde(rename = "need")]
    pub call_notification: Option<(u64, ByteBuf)>,
    /// The dependency that the last notice named, how many calls its run has wanted, and the parts its result is without.
    #[serde(rename = "named")]
    pub dependency: Option<String>,
    #[serde(rename = "wanted")]
    pub requested_calls: usize,
    #[serde(rename = "missing")]
    pub missing_parts: Vec<String>,
    #[serde(rename = "calls")]
    pub call_count: usize,
    /// When its open call is given up, monotonic seconds.
    #[serde(rename = "calling_until")]
    pub call_deadline_at: Option<f64>,
    #[serde(rename = "begun")]
    pub has_started: bool,
    #[serde(rename = "heard")]
    pub notification_count: u64,
    /// With the command, whether it was put on the link.
    pub command: Option<(Command, bool)>,
    /// In which order it came.
    #[serde(rename = "place")]
    pub arrival_order: u64,
    #[serde(rename = "inv")]
    pub state: InvocationState,
}
