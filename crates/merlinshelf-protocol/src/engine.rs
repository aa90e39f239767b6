//! The engine's link: commands to it, notices from it.

use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, opt, preceded, repeat, terminated};
use winnow::stream::AsChar;
use winnow::token::{rest, take_while};
use winnow::{ModalResult, Parser};

use crate::{
    BODY_MOST, Buffer, Bytes, CallId, Fault, Front, LINE_MOST, body, call_id, front, line, put,
    within,
};

/// The word by which it is offered in `ATTACH` and agreed in `HELLO` that a `NEED` may name its dependency, with the form's number.
pub const NAMES: &[u8] = b"NAMES/1";
/// A dependency's name has at most so many bytes, and begins with a letter.
pub const NAME_MOST: usize = 64;

/// How a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Succeeded,
    Errored,
    Stopped,
    /// Nothing was started, as the invocation is over.
    Moot,
}

/// What the engine says. Only `Done` and `Need` have numbers that count.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineNotification<'a> {
    /// `names`: calls may name their dependency (`NAMES`), as was offered.
    Hello {
        warm: bool,
        up_ms: f64,
        names: bool,
    },
    Done {
        number: u64,
        id: CallId,
        end: End,
        took_ms: f64,
        result: &'a [u8],
    },
    /// `named`: the dependency that is to be called, only where that was agreed.
    Need {
        number: u64,
        id: CallId,
        named: Option<&'a [u8]>,
        body: &'a [u8],
    },
    Stats {
        tag: u64,
        gauges: Vec<f64>,
    },
    No {
        what: &'a [u8],
    },
    Note {
        number: u64,
        text: &'a [u8],
    },
}

impl EngineNotification<'_> {
    pub fn number(&self) -> Option<u64> {
        match self {
            EngineNotification::Done { number, .. } | EngineNotification::Need { number, .. } => {
                Some(*number)
            }
            _ => None,
        }
    }
}

/// Reads one notice off the front: the notice and its length, or nothing until more has come.
pub fn notice(input: &[u8]) -> Front<EngineNotification<'_>> {
    front(
        input,
        LINE_MOST + BODY_MOST,
        Fault("unreadable notice"),
        whole,
    )
}

fn whole<'i>(input: &mut Bytes<'i>) -> ModalResult<EngineNotification<'i>> {
    let text = line(input)?;
    let (mut notice, length) = within(text, words)?;
    if let Some(length) = length {
        let bytes = body(length)(input)?;
        match &mut notice {
            EngineNotification::Done { result, .. } => *result = bytes,
            EngineNotification::Need { body, .. } => *body = bytes,
            _ => {}
        }
    }
    Ok(notice)
}

/// One line, and the length of the body that follows it.
fn words<'i>(input: &mut &'i [u8]) -> ModalResult<(EngineNotification<'i>, Option<usize>)> {
    alt((hello, done, need, stats, no, note)).parse_next(input)
}

/// A word and the space after it.
fn word<'i, T>(
    parser: impl Parser<&'i [u8], T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<&'i [u8], T, winnow::error::ErrMode<winnow::error::ContextError>> {
    terminated(parser, " ")
}

fn millis(input: &mut &[u8]) -> ModalResult<f64> {
    float
        .verify(|time: &f64| time.is_finite() && *time >= 0.0)
        .parse_next(input)
}

fn hello<'i>(input: &mut &'i [u8]) -> ModalResult<(EngineNotification<'i>, Option<usize>)> {
    let state = alt(("WARM".value(true), "COLD".value(false)));
    let names = opt(preceded(" ", NAMES)).map(|names| names.is_some());
    let (warm, up_ms, names) =
        preceded("HELLO ", (word(state), millis, names)).parse_next(input)?;
    Ok((EngineNotification::Hello { warm, up_ms, names }, None))
}

fn done<'i>(input: &mut &'i [u8]) -> ModalResult<(EngineNotification<'i>, Option<usize>)> {
    let end = alt((
        "OK".value(End::Succeeded),
        "ERROR".value(End::Errored),
        "STOPPED".value(End::Stopped),
        "MOOT".value(End::Moot),
    ));
    let fields = (
        word(dec_uint),
        word(call_id),
        word(end),
        word(millis),
        dec_uint,
    );
    let (number, id, end, took_ms, length) = preceded("DONE ", fields).parse_next(input)?;
    Ok((
        EngineNotification::Done {
            number,
            id,
            end,
            took_ms,
            result: b"",
        },
        Some(length),
    ))
}

fn need<'i>(input: &mut &'i [u8]) -> ModalResult<(EngineNotification<'i>, Option<usize>)> {
    // A name begins with no digit, so that none passes for a length.
    let name = (
        take_while(1, AsChar::is_alpha),
        take_while(0..NAME_MOST, |byte: u8| byte.is_ascii_graphic()),
    );
    let fields = (
        word(dec_uint),
        word(call_id),
        opt(word(name.take())),
        dec_uint,
    );
    let (number, id, named, length) = preceded("NEED ", fields).parse_next(input)?;
    Ok((
        EngineNotification::Need {
            number,
            id,
            named,
            body: b"",
        },
        Some(length),
    ))
}

fn stats<'i>(input: &mut &'i [u8]) -> ModalResult<(EngineNotification<'i>, Option<usize>)> {
    let gauges = repeat(0.., preceded(" ", float::<_, f64, _>));
    let (tag, gauges) = preceded("STATS ", (dec_uint, gauges)).parse_next(input)?;
    Ok((EngineNotification::Stats { tag, gauges }, None))
}

fn no<'i>(input: &mut &'i [u8]) -> ModalResult<(EngineNotification<'i>, Option<usize>)> {
    preceded("NO ", rest)
        .map(|what| (EngineNotification::No { what }, None))
        .parse_next(input)
}

fn note<'i>(input: &mut &'i [u8]) -> ModalResult<(EngineNotification<'i>, Option<usize>)> {
    let (number, text) = preceded("NOTE ", (dec_uint, rest)).parse_next(input)?;
    Ok((
        EngineNotification::Note {
            number,
            text: text.trim_ascii_start(),
        },
        None,
    ))
}

/// Of a `NO`: the command that was not carried out, and the id it named.
pub fn refused(what: &[u8]) -> Option<(&[u8], CallId)> {
    let command = take_while(1.., AsChar::is_alpha);
    (word(command), call_id).parse(what).ok()
}

/// `names` offers that calls may name their dependency; an engine of the plain protocol closes a link that begins so.
pub fn attach(out: &mut impl Buffer, last: u64, names: bool) {
    match names {
        true => put(
            out,
            format_args!("ATTACH {last} {}\r\n", NAMES.escape_ascii()),
            None,
        ),
        false => put(out, format_args!("ATTACH {last}\r\n"), None),
    }
}

pub fn run(out: &mut impl Buffer, id: CallId, operation: &str, body: &[u8]) {
    put(
        out,
        format_args!("RUN {id} {operation} {}\r\n", body.len()),
        Some(body),
    );
}

pub fn feed(out: &mut impl Buffer, id: CallId, reply: &[u8]) {
    put(
        out,
        format_args!("FEED {id} {}\r\n", reply.len()),
        Some(reply),
    );
}

/// Go on without the call that notice `need` asked for.
pub fn skip(out: &mut impl Buffer, id: CallId, need: u64) {
    put(out, format_args!("SKIP {id} {need}\r\n"), None);
}

pub fn stat(out: &mut impl Buffer, tag: u64) {
    put(out, format_args!("STAT {tag}\r\n"), None);
}
