//! The control socket: requests of operators' tools, one a connection, and the messages that answer
//! them; and the messages that agents send each other in the same framing.
//!
//! A frame is a line, the last field of which is a length, so many bytes of body, and CR LF:
//! `ask 1 status 2` and `{}`; `say 1 done 17` and the report. The number is the version of what
//! follows; another one is answered `failed`. A request may be answered by several `say more`
//! before the final message.

use winnow::ascii::dec_uint;
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

use crate::{
    Buffer, Bytes, Fault, MAX_BODY_BYTES, MAX_LINE_BYTES, Parsed, body_up_to, line, parse_front,
    parse_line, write_with_body,
};

/// The version that is spoken here.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest message between agents: a snapshot of their log.
pub const MAX_CONSENSUS_BYTES: usize = 4 * 1024 * 1024;

/// What may be requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// A report of the process.
    Status,
    /// A graceful shutdown.
    Drain,
    /// A handover to a new process.
    Upgrade,
    /// All observations, with their sources and ages.
    Knowledge,
    /// Removes gossiped observations: of the source that the body names, or of all.
    Forget,
    /// A request to the agent of a fleet, which the body holds.
    Fleet,
    /// A heartbeat of the host's agent: the policy in force, and for how long.
    Policy,
    /// A message of one agent to another, in MessagePack; it is not answered.
    Consensus,
}

/// An answer, and how far the request has come with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// More answers follow.
    More,
    /// It was carried out.
    Done,
    /// It was attempted and failed.
    Failed,
    /// It was not attempted.
    Refused,
}

/// One frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a, T> {
    /// Version of what the body holds.
    pub version: u32,
    /// The request or message.
    pub message: T,
    /// JSON, or MessagePack between agents.
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

/// Reads a request off the front.
///
/// # Errors
/// The bytes can't become a request.
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

/// Reads a message of another agent off the front; its body may hold a part of the agents' log.
///
/// # Errors
/// The bytes can't become such a message.
pub fn read_consensus_request(input: &[u8]) -> Parsed<Frame<'_, ControlRequest>> {
    let request = "council".value(ControlRequest::Consensus);
    let fault = Fault("unreadable word of an agent");
    read_frame(input, "ask ", request, MAX_CONSENSUS_BYTES, fault)
}

/// Reads an answer off the front.
///
/// # Errors
/// The bytes can't become an answer.
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
