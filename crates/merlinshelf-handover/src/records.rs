//! The records of an image, one for each connection, invocation and so on.
//!
//! Different versions exchange records in MessagePack, with fields encoded by name. Every field has
//! a default and unknown fields are skipped, so that a later version can add fields. Names in
//! `#[serde(rename = "...")]` are part of the stored format and must not change. Points in time
//! (`..._at`) are seconds on the machine's monotonic clock, which is the same for both processes.

use std::collections::BTreeMap;

use merlinshelf_admission::{InvocationState, LearnedState};
use merlinshelf_dependencies::CallSnapshot;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::flow::Flow;

/// The instance itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// Offset of the admission controller's clock from the monotonic clock.
    #[serde(rename = "clock")]
    pub clock_offset_seconds: f64,
    /// The names of the operations; `Invocation::operation` is a position in this list.
    pub operations: Vec<String>,
    /// The number of the next connection.
    pub next_stream: u64,
    /// The result of the last health check.
    #[serde(rename = "healthy")]
    pub is_healthy: bool,
    /// Idle time after which client connections close, in seconds.
    #[serde(rename = "trim_after")]
    pub idle_timeout_seconds: f64,
    /// Time by which the process must have exited, while it shuts down.
    #[serde(rename = "stop")]
    pub drain_deadline_at: Option<f64>,
    /// The engine's `FamilyInfo.FreshStart`, if it differs from the settings.
    pub fresh_start: Option<String>,
    /// By operation, whether a run was ever observed to make more than one downstream call.
    #[serde(rename = "calls_again")]
    pub repeats_calls: Vec<bool>,
    /// The counters by name.
    pub counters: BTreeMap<String, u64>,
    /// The estimates of the admission controller; `None` before the engine was first connected.
    #[serde(rename = "learnt")]
    pub learned: Option<LearnedState>,
    /// The store of observations, in the format of its file (`merlinshelf-gossip`).
    #[serde(rename = "knowledge")]
    pub gossip: ByteBuf,
    /// The policy lease and the policies (`merlinshelf-policy`), transferred to a successor only.
    /// Empty in a journal: a recovery must not restore a lease that may have been fenced meanwhile.
    pub policy: ByteBuf,
    /// The quota leases (`merlinshelf-quota`), also transferred to a successor only.
    #[serde(rename = "shares")]
    pub quota: ByteBuf,
}

/// The connection to the engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineConnectionRecord {
    /// The connection's stream number; `None` while it is down.
    pub stream: Option<u64>,
    /// The engine's address.
    pub address: String,
    /// The number of the last notification read.
    #[serde(rename = "last")]
    pub last_notification: u64,
    /// The tag of the last request.
    #[serde(rename = "tag")]
    pub last_request_tag: u64,
    /// Whether the response to that request is still awaited.
    #[serde(rename = "asked")]
    pub is_request_pending: bool,
    /// Whether the engine has sent its greeting.
    #[serde(rename = "hello")]
    pub is_greeted: bool,
    /// Whether all notifications missed while disconnected have been received.
    #[serde(rename = "caught_up")]
    pub is_caught_up: bool,
    /// Whether the engine names the dependency of a call.
    #[serde(rename = "names")]
    pub names_dependencies: bool,
    /// When the engine was started.
    #[serde(rename = "born")]
    pub engine_started_at: Option<f64>,
    /// The bytes of the connection.
    pub flow: Flow,
}

/// An invocation that is being read on a client connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PartialInvocation {
    /// Its request id on the connection.
    pub tag: u16,
    /// Whether the connection stays open after the response.
    #[serde(rename = "keep")]
    pub keeps_connection: bool,
    /// The parameters received so far.
    pub params: ByteBuf,
    /// Whether all parameters were received.
    #[serde(rename = "params_done")]
    pub has_all_params: bool,
    /// The body received so far.
    pub body: ByteBuf,
}

/// A protocol record that has been received in part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PartialRecordFields", into = "PartialRecordFields")]
pub struct PartialRecord {
    /// Its kind.
    pub kind: u8,
    /// The request id that it belongs to.
    pub id: u16,
    /// Bytes of content still to be received.
    pub content_bytes: usize,
    /// Bytes of padding still to be received.
    pub padding_bytes: usize,
}

/// The stored form of a partial record, which is also the parser's: kind, id, bytes of content,
/// bytes of padding.
type PartialRecordFields = (u8, u16, usize, usize);

impl From<PartialRecordFields> for PartialRecord {
    fn from((kind, id, content_bytes, padding_bytes): PartialRecordFields) -> PartialRecord {
        PartialRecord {
            kind,
            id,
            content_bytes,
            padding_bytes,
        }
    }
}

impl From<PartialRecord> for PartialRecordFields {
    fn from(record: PartialRecord) -> PartialRecordFields {
        (
            record.kind,
            record.id,
            record.content_bytes,
            record.padding_bytes,
        )
    }
}

/// The connection of an edge node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientConnectionRecord {
    /// The bytes of the connection.
    pub flow: Flow,
    /// The protocol record that is being received.
    #[serde(rename = "record")]
    pub partial_record: PartialRecord,
    /// The protocol: 0 FastCGI, 1 uwsgi, 2 not detected yet.
    #[serde(rename = "front")]
    pub protocol: u8,
    /// The invocations that are being read.
    pub partials: Vec<PartialInvocation>,
    /// Invocations read and not answered yet: the request id, and whether the connection stays open
    /// after the response.
    #[serde(rename = "open")]
    pub unanswered: Vec<(u16, bool)>,
    /// Bytes received since the last complete invocation that belong to no invocation.
    #[serde(rename = "astray")]
    pub unassigned_bytes: usize,
    /// Protocol errors since the last success.
    pub faults: u32,
    /// The highest kind of request received completely: 0 none, 1 a health check, 2 an invocation.
    #[serde(rename = "said")]
    pub received_kind: u8,
    /// The client has closed its direction.
    #[serde(rename = "read_closed")]
    pub is_read_closed: bool,
    /// The connection closes once everything is written.
    #[serde(rename = "last_word")]
    pub closes_after_write: bool,
}

/// A final response that is queued for a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The result.
    Succeeded(ByteBuf),
    /// The degraded result, and a list of the parts that are missing from it.
    Partial(ByteBuf, String),
    /// Rejected under load.
    Throttled {
        /// Time after which the caller should retry; 0 without a recommendation.
        #[serde(rename = "away")]
        retry_after_seconds: f64,
        /// The caller should not try another server.
        #[serde(rename = "last")]
        forbids_failover: bool,
    },
    /// The invocation failed.
    Errored,
    /// The engine knows no such invocation.
    Unknown,
}

/// Responses queued for a client connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseQueueRecord {
    /// Each with its request id.
    pub answers: Vec<(u16, Answer)>,
}

/// A connection to the catalogue or a dependency, with a call in progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DownstreamConnectionRecord {
    /// The server's address.
    pub address: String,
    /// The invocation that makes the call.
    #[serde(rename = "id")]
    pub invocation_id: ByteBuf,
    /// Position of the call among the calls of its invocation, from 1.
    #[serde(rename = "number")]
    pub call_index: usize,
    /// The router's number of the attempt; `None` if the router does not make the call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt_id: Option<u64>,
    /// All invocations whose calls were made over this connection.
    #[serde(rename = "carried")]
    pub carried_invocation_ids: Vec<ByteBuf>,
    /// The bytes of the connection.
    pub flow: Flow,
}

/// The last command to the engine about an invocation, kept until the engine is known to have read
/// it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Run the invocation.
    Run,
    /// Continue the run with the response of a call.
    Feed(ByteBuf),
    /// Continue the run without the call of this number.
    Skip(u64),
}

/// An invocation in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Invocation {
    /// Its operation, by position in `Instance::operations`.
    pub operation: usize,
    /// Its body.
    pub body: ByteBuf,
    /// The stream number and the request id to which its response is sent; `None` once it was
    /// answered.
    #[serde(rename = "reply")]
    pub response_target: Option<(u64, u16)>,
    /// The last notification that requested a downstream call: its number and the call's body.
    #[serde(rename = "need")]
    pub call_notification: Option<(u64, ByteBuf)>,
    /// The dependency that this notification named.
    #[serde(rename = "named")]
    pub dependency: Option<String>,
    /// Number of calls that its run has requested.
    #[serde(rename = "wanted")]
    pub requested_calls: usize,
    /// The parts that are missing from its result.
    #[serde(rename = "missing")]
    pub missing_parts: Vec<String>,
    /// Number of calls that were made.
    #[serde(rename = "calls")]
    pub call_count: usize,
    /// Time at which its call in progress is abandoned; `None` without a call in progress.
    #[serde(rename = "calling_until")]
    pub call_deadline_at: Option<f64>,
    /// When its caller's timeout expires; `None` if the caller waits for any time.
    #[serde(rename = "caller_until", skip_serializing_if = "Option::is_none")]
    pub due_at: Option<f64>,
    /// The call in progress as its router knows it; `None` if the router does not make it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub routed_call: Option<CallSnapshot>,
    /// Whether a run was ever started.
    #[serde(rename = "begun")]
    pub has_started: bool,
    /// Number of notifications received from the engine about it.
    #[serde(rename = "heard")]
    pub notification_count: u64,
    /// The last command, and whether it was written to the engine connection.
    pub command: Option<(Command, bool)>,
    /// Its position in the order of arrival.
    #[serde(rename = "place")]
    pub arrival_order: u64,
    /// Its state in the admission controller.
    #[serde(rename = "inv")]
    pub state: InvocationState,
}

/// Ids of invocations that were run, which must not be run again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecentRuns {
    /// The ids one after another, of [`ID_BYTES`](RecentRuns::ID_BYTES) each.
    pub ids: ByteBuf,
}

impl RecentRuns {
    /// The size of an id: its hexadecimal digits as text.
    pub const ID_BYTES: usize = 16;
}

/// The process that journals goes on alone, since its predecessor reads nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Detached {}
