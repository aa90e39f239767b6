//! The control socket: questions of operators' tools, one a connection, and what is said to them.
//!
//! Both are a line of words, the last of them a length, so many bytes of JSON, and CR LF:
//! `ask 1 status 2` and `{}`; `say 1 done 17` and the report. The number is the form of what follows; another one is
//! answered `failed` and never guessed at. A question may be followed by several `say more` before its last word.

use winnow::ascii::dec_uint;
use winnow::combinator::{alt, preceded, terminated};
use winnow::{ModalResult, Parser};

use crate::{
    BODY_MOST, Buffer, Bytes, Fault, Front, LINE_MOST, body_up_to, front, line, put, within,
};

/// The form that is spoken here.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest word of an agent to another: a snapshot of what they have decided.
pub const MAX_CONSENSUS_BYTES: usize = 4 * 1024 * 1024;

/// What may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    Status,
    Drain,
    Upgrade,
    /// What is known, from whom and how old.
    Knowledge,
    /// Forget what was told: by the `origin` that the body names, or by all.
    Forget,
    /// What the body says is for the agent of a fleet.
    Fleet,
    /// A beat of the host's agent: what to act on, and how long (`merlinshelf-policy`).
    Policy,
    /// What one agent says to another, in MessagePack; nothing is said to it on the same connection.
    Consensus,
}

/// How far what was asked for has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// More follows.
    More,
    Done,
    /// It was tried, and failed.
    Failed,
    /// It was not tried.
    Refused,
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

/// Reads a question off the front: its form, the question and its body.
pub fn question(input: &[u8]) -> Front<(u32, ControlRequest, &[u8])> {
    let words = alt((
        "status".value(ControlRequest::Status),
        "drain".value(ControlRequest::Drain),
        "upgrade".value(ControlRequest::Upgrade),
        "knowledge".value(ControlRequest::Knowledge),
        "forget".value(ControlRequest::Forget),
        "fleet".value(ControlRequest::Fleet),
        "policy".value(ControlRequest::Policy),
        "council".value(ControlRequest::Consensus),
    ));
    message(
        input,
        "ask ",
        words,
        BODY_MOST,
        Fault("unreadable question"),
    )
}

/// Reads a question that one agent sends another off the front; its body may hold a part of their log.
pub fn council(input: &[u8]) -> Front<(u32, ControlRequest, &[u8])> {
    message(
        input,
        "ask ",
        "council".value(ControlRequest::Consensus),
        MAX_CONSENSUS_BYTES,
        Fault("unreadable word of an agent"),
    )
}

/// Reads what is said off the front: its form, the word and its body.
pub fn word(input: &[u8]) -> Front<(u32, ControlMessage, &[u8])> {
    let words = alt((
        "more".value(ControlMessage::More),
        "done".value(ControlMessage::Done),
        "failed".value(ControlMessage::Failed),
        "refused".value(ControlMessage::Refused),
    ));
    message(input, "say ", words, BODY_MOST, Fault("unreadable answer"))
}

fn message<'i, T>(
    input: &'i [u8],
    first: &'static str,
    mut words: impl Parser<&'i [u8], T, winnow::error::ErrMode<winnow::error::ContextError>>,
    most: usize,
    fault: Fault,
) -> Front<(u32, T, &'i [u8])> {
    let whole = |input: &mut Bytes<'i>| -> ModalResult<(u32, T, &'i [u8])> {
        let text = line(input)?;
        let mut fields = (
            preceded(first, terminated(dec_uint, " ")),
            terminated(words.by_ref(), " "),
            dec_uint::<_, usize, _>,
        );
        let (form, word, length) = within(text, fields.by_ref())?;
        Ok((form, word, body_up_to(length, most)(input)?))
    };
    front(input, LINE_MOST + most, fault, whole)
}

pub fn ask(out: &mut impl Buffer, question: ControlRequest, body: &[u8]) {
    put(
        out,
        format_args!(
            "ask {PROTOCOL_VERSION} {} {}\r\n",
            question.name(),
            body.len()
        ),
        Some(body),
    );
}

pub fn say(out: &mut impl Buffer, word: ControlMessage, body: &[u8]) {
    put(
        out,
        format_args!("say {PROTOCOL_VERSION} {} {}\r\n", word.name(), body.len()),
        Some(body),
    );
}
