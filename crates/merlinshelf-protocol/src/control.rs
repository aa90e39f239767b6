//! The control socket: requests from operators' tools, one per connection, and the messages that
//! answer them. Agents use the same framing for messages to each other.
//!
//! A frame is a line whose last field is the length of the body, then the body and CR LF: for
//! example `ask 1 status 2` and `{}`, or `say 1 done 17` and the report. The first number is the
//! version of the body; an unsupported version is answered `failed`. Several `say more` messages
//! may precede the final message.

use winnow::ascii::dec_uint;
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

use crate::{
    Buffer, Bytes, Fault, MAX_BODY_BYTES, MAX_LINE_BYTES, Parsed, body_up_to, line, parse_front,
    parse_line, write_with_body,
};

/// The protocol version that this crate writes.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum body length of a message between agents, which may contain a snapshot of their log.
pub const MAX_CONSENSUS_BYTES: usize = 4 * 1024 * 1024;

/// A request on the control socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// Returns a status report of the process.
    Status,
    /// Starts a graceful shutdown.
    Drain,
    /// Starts a handover to a new process.
    Upgrade,
    /// Returns all observations with their sources and ages.
    Knowledge,
    /// Removes gossiped observations, either of the source named in the body or of all sources.
    Forget,
    /// A request to the agent of a fleet; the body contains it.
    Fleet,
    /// A heartbeat from the host's agent: the policy in force and how long it stays valid.
    Policy,
    /// A message from one agent to another, in MessagePack; it is not answered.
    Consensus,
}

/// The kind of an answer, which tells the progress of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// More answers follow.
    More,
    /// The request was carried out.
    Done,
    /// The request was attempted and failed.
    Failed,
    /// The request was not attempted.
    Refused,
}

/// A parsed frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a, T> {
    /// Version of the body.
    pub version: u32,
    /// The request or message.
    pub message: T,
    /// The payload: JSON, or MessagePack between agents.
    pub body: &'a [u8],
}

impl ControlRequest {
    fn name(self) -> &'static str {
        match self {
            ControlRequest::Status => "status",
            ControlRequest::Drain => "drain",
            ControlRequest::Upgrade => "upgrade",
            ControlRequest::Knowledge => "knowledge",
            ControlRequest::Forget => "forget",
            ControlRequest::Fleet => "fleet",
            ControlRequest::Policy => "policy",
            ControlRequest::Consensus => "council",
        }
    }
}

impl ControlMessage {
    fn name(self) -> &'static str {
        match self {
            ControlMessage::More => "more",
            ControlMessage::Done => "done",
            ControlMessage::Failed => "failed",
            ControlMessage::Refused => "refused",
        }
    }
}

/// Reads the request at the front of `input`.
///
/// # Errors
/// The input is not a prefix of a valid request.
pub fn read_request(input: &[u8]) -> Parsed<Frame<'_, ControlRequest>> {
    let request = alt((
        "status".value(ControlRequest::Status),
        "drain".value(ControlRequest::Drain),
        "upgrade".value(ControlRequest::Upgrade),
        "knowledge".value(ControlRequest::Knowledge),
        "forget".value(ControlRequest::Forget),
        "fleet".value(ControlRequest::Fleet),
        "policy".value(ControlRequest::Policy),
        "council".value(ControlRequest::Consensus),
    ));
    let fault = Fault("unreadable question");
    read_frame(input, "ask ", request, MAX_BODY_BYTES, fault)
}

/// Reads the consensus message at the front of `input`. Its body may be longer than that of other
/// requests, since it may contain a part of the agents' log.
///
/// # Errors
/// The input is not a prefix of a valid consensus message.
pub fn read_consensus_request(input: &[u8]) -> Parsed<Frame<'_, ControlRequest>> {
    let request = "council".value(ControlRequest::Consensus);
    let fault = Fault("malformed message of an agent");
    read_frame(input, "ask ", request, MAX_CONSENSUS_BYTES, fault)
}

/// Reads the answer at the front of `input`.
///
/// # Errors
/// The input is not a prefix of a valid answer.
pub fn read_message(input: &[u8]) -> Parsed<Frame<'_, ControlMessage>> {
    let message = alt((
        "more".value(ControlMessage::More),
        "done".value(ControlMessage::Done),
        "failed".value(ControlMessage::Failed),
        "refused".value(ControlMessage::Refused),
    ));
    let fault = Fault("unreadable answer");
    read_frame(input, "say ", message, MAX_BODY_BYTES, fault)
}

fn read_frame<'i, T>(
    input: &'i [u8],
    prefix: &'static str,
    mut message: impl Parser<&'i [u8], T, ErrMode<ContextError>>,
    max_body_bytes: usize,
    fault: Fault,
) -> Parsed<Frame<'i, T>> {
    let frame = |input: &mut Bytes<'i>| -> ModalResult<Frame<'i, T>> {
        let text = line(input)?;
        let mut fields = (
            preceded(prefix, terminated(dec_uint, " ")),
            terminated(message.by_ref(), " "),
            dec_uint::<_, usize, _>,
        );
        let (version, message, length) = parse_line(text, fields.by_ref())?;
        let body = body_up_to(length, max_body_bytes)(input)?;
        Ok(Frame {
            version,
            message,
            body,
        })
    };
    parse_front(input, MAX_LINE_BYTES + max_body_bytes, fault, frame)
}

/// Writes a request.
pub fn write_request(out: &mut impl Buffer, request: ControlRequest, body: &[u8]) {
    let name = request.name();
    let length = body.len();
    write_with_body(
        out,
        format_args!("ask {PROTOCOL_VERSION} {name} {length}\r\n"),
        body,
    );
}

/// Writes an answer.
pub fn write_message(out: &mut impl Buffer, message: ControlMessage, body: &[u8]) {
    let name = message.name();
    let length = body.len();
    write_with_body(
        out,
        format_args!("say {PROTOCOL_VERSION} {name} {length}\r\n"),
        body,
    );
}
