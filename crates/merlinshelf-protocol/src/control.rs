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
pub const FORM: u32 = 1;
/// The longest word of an agent to another: a snapshot of what they have decided.
pub const COUNCIL_MOST: usize = 4 * 1024 * 1024;

/// What may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
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
    Council,
}

/// How far what was asked for has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// More follows.
    More,
    Done,
    /// It was tried, and failed.
    Failed,
    /// It was not tried.
    Refused,
}

impl Question {
    fn name(self) -> &'static str {
        match self {
            Question::Status => "status",
            Question::Drain => "drain",
            Question::Upgrade => "upgrade",
            Question::Knowledge => "knowledge",
            Question::Forget => "forget",
            Question::Fleet => "fleet",
            Question::Policy => "policy",
            Question::Council => "council",
        }
    }
}

impl Word {
    fn name(self) -> &'static str {
        match self {
            Word::More => "more",
            Word::Done => "done",
            Word::Failed => "failed",
            Word::Refused => "refused",
        }
    }
}

/// Reads a question off the front: its form, the question and its body.
pub fn question(input: &[u8]) -> Front<(u32, Question, &[u8])> {
    let words = alt((
        "status".value(Question::Status),
        "drain".value(Question::Drain),
        "upgrade".value(Question::Upgrade),
        "knowledge".value(Question::Knowledge),
        "forget".value(Question::Forget),
        "fleet".value(Question::Fleet),
        "policy".value(Question::Policy),
        "council".value(Question::Council),
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
pub fn council(input: &[u8]) -> Front<(u32, Question, &[u8])> {
    message(
        input,
        "ask ",
        "council".value(Question::Council),
        COUNCIL_MOST,
        Fault("unreadable word of an agent"),
    )
}

/// Reads what is said off the front: its form, the word and its body.
pub fn word(input: &[u8]) -> Front<(u32, Word, &[u8])> {
    let words = alt((
        "more".value(Word::More),
        "done".value(Word::Done),
        "failed".value(Word::Failed),
        "refused".value(Word::Refused),
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

pub fn ask(out: &mut impl Buffer, question: Question, body: &[u8]) {
    put(
        out,
        format_args!("ask {FORM} {} {}\r\n", question.name(), body.len()),
        Some(body),
    );
}

pub fn say(out: &mut impl Buffer, word: Word, body: &[u8]) {
    put(
        out,
        format_args!("say {FORM} {} {}\r\n", word.name(), body.len()),
        Some(body),
    );
}
