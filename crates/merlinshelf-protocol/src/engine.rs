//! The engine's connection: commands to it, notifications from it.

use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::AsChar;
use winnow::token::{rest, take_while};
use winnow::{ModalResult, Parser};

use crate::{
    Buffer, Bytes, CallId, Fault, MAX_BODY_BYTES, MAX_LINE_BYTES, Parsed, body, call_id, line,
    parse_front, parse_line, write_line, write_with_body,
};

/// The extension by which a `NEED` may name its dependency, with its version: offered in `ATTACH`,
/// agreed in `HELLO`.
pub const NAMES_EXTENSION: &str = "NAMES/1";
/// The longest name of a dependency, which begins with a letter.
pub const MAX_NAME_BYTES: usize = 64;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a result.
    Succeeded,
    /// With an error.
    Errored,
    /// It was stopped.
    Stopped,
    /// Nothing was started, as the invocation is over.
    Moot,
}

/// What the engine sends. Only `Done` and `Need` are numbered for acknowledgement.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineNotification<'a> {
    /// The first one of a connection.
    Hello {
        /// Whether the engine has warmed up.
        warm: bool,
        /// For how long it has been up, milliseconds.
        up_ms: f64,
        /// Whether calls may name their dependency ([`NAMES_EXTENSION`]), as was offered.
        names: bool,
    },
    /// A run has ended.
    Done {
        /// Its sequence number.
        number: u64,
        /// The attempt that ran.
        id: CallId,
        /// How it ended.
        end: End,
        /// Its duration, milliseconds.
        took_ms: f64,
        /// Its result.
        result: &'a [u8],
    },
    /// A run needs a downstream call.
    Need {
        /// Its sequence number.
        number: u64,
        /// The attempt that runs.
        id: CallId,
        /// The dependency to call, only where naming was agreed.
        named: Option<&'a [u8]>,
        /// The call's body.
        body: &'a [u8],
    },
    /// The answer to a `STAT`.
    Stats {
        /// The tag of the `STAT`.
        tag: u64,
        /// The engine's gauges.
        gauges: Vec<f64>,
    },
    /// A command was not carried out.
    No {
        /// The command; see [`parse_rejected_command`].
        what: &'a [u8],
    },
    /// A remark for the log.
    Note {
        /// Its number.
        number: u64,
        /// Its text.
        text: &'a [u8],
    },
}

impl EngineNotification<'_> {
    /// The sequence number, of what has one.
    pub fn number(&self) -> Option<u64> {
        match self {
            EngineNotification::Done { number, .. } | EngineNotification::Need { number, .. } => {
                Some(*number)
            }
            _ => None,
        }
    }
}

/// Reads one notification off the front.
///
/// # Errors
/// The bytes can't become a notification.
pub fn read_notification(input: &[u8]) -> Parsed<EngineNotification<'_>> {
    parse_front(
        input,
        MAX_LINE_BYTES + MAX_BODY_BYTES,
        Fault("unreadable notice"),
        notification,
    )
}

fn notification<'i>(input: &mut Bytes<'i>) -> ModalResult<EngineNotification<'i>> {
    let text = line(input)?;
    let (mut notification, body_length) = parse_line(text, notification_line)?;
    if let Some(length) = body_length {
        let bytes = body(length)(input)?;
        match &mut notification {
            EngineNotification::Done { result, .. } => *result = bytes,
            EngineNotification::Need { body, .. } => *body = bytes,
            _ => {}
        }
    }
    Ok(notification)
}

/// A notification without its body, and the length of the body that follows.
type NotificationLine<'i> = (EngineNotification<'i>, Option<usize>);

fn notification_line<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    alt((hello, done, need, stats, no, note)).parse_next(input)
}

/// A field and the space after it.
fn field<'i, T>(
    parser: impl Parser<&'i [u8], T, ErrMode<ContextError>>,
) -> impl Parser<&'i [u8], T, ErrMode<ContextError>> {
    terminated(parser, " ")
}

fn milliseconds(input: &mut &[u8]) -> ModalResult<f64> {
    float
        .verify(|time: &f64| time.is_finite() && *time >= 0.0)
        .parse_next(input)
}

fn hello<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    let warm = alt(("WARM".value(true), "COLD".value(false)));
    let names = opt(preceded(" ", NAMES_EXTENSION)).map(|names| names.is_some());
    let fields = (field(warm), milliseconds, names);
    let (warm, up_ms, names) = preceded("HELLO ", fields).parse_next(input)?;
    Ok((EngineNotification::Hello { warm, up_ms, names }, None))
}

fn done<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    let end = alt((
        "OK".value(End::Succeeded),
        "ERROR".value(End::Errored),
        "STOPPED".value(End::Stopped),
        "MOOT".value(End::Moot),
    ));
    let fields = (
        field(dec_uint),
        field(call_id),
        field(end),
        field(milliseconds),
        dec_uint,
    );
    let (number, id, end, took_ms, length) = preceded("DONE ", fields).parse_next(input)?;
    let notification = EngineNotification::Done {
        number,
        id,
        end,
        took_ms,
        result: b"",
    };
    Ok((notification, Some(length)))
}

fn need<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    // A name begins with no digit, so that none passes for a length.
    let name = (
        take_while(1, AsChar::is_alpha),
        take_while(0..MAX_NAME_BYTES, |byte: u8| byte.is_ascii_graphic()),
    );
    let fields = (
        field(dec_uint),
        field(call_id),
        opt(field(name.take())),
        dec_uint,
    );
    let (number, id, named, length) = preceded("NEED ", fields).parse_next(input)?;
    let notification = EngineNotification::Need {
        number,
        id,
        named,
        body: b"",
    };
    Ok((notification, Some(length)))
}

fn stats<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    let gauges = repeat(0.., preceded(" ", float::<_, f64, _>));
    let (tag, gauges) = preceded("STATS ", (dec_uint, gauges)).parse_next(input)?;
    Ok((EngineNotification::Stats { tag, gauges }, None))
}

fn no<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    let what = preceded("NO ", rest).parse_next(input)?;
    Ok((EngineNotification::No { what }, None))
}

fn note<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    let (number, text) = preceded("NOTE ", (dec_uint, rest)).parse_next(input)?;
    let text = text.trim_ascii_start();
    Ok((EngineNotification::Note { number, text }, None))
}

/// Of a `NO`: the command that was not carried out, and the id that it named.
pub fn parse_rejected_command(what: &[u8]) -> Option<(&[u8], CallId)> {
    let command = take_while(1.., AsChar::is_alpha);
    (field(command), call_id).parse(what).ok()
}

/// Writes the first command of a connection, which acknowledges notifications up to `last`. An
/// engine of the plain protocol closes a connection that offers an extension.
pub fn write_attach(out: &mut impl Buffer, last: u64, offered_extension: Option<&str>) {
    match offered_extension {
        Some(extension) => write_line(out, format_args!("ATTACH {last} {extension}\r\n")),
        None => write_line(out, format_args!("ATTACH {last}\r\n")),
    }
}

/// Writes the command to run an operation.
pub fn write_run(out: &mut impl Buffer, id: CallId, operation: &str, body: &[u8]) {
    let length = body.len();
    write_with_body(out, format_args!("RUN {id} {operation} {length}\r\n"), body);
}

/// Writes the reply to a call that a run needed.
pub fn write_feed(out: &mut impl Buffer, id: CallId, reply: &[u8]) {
    write_with_body(out, format_args!("FEED {id} {}\r\n", reply.len()), reply);
}

/// Writes the command to continue without the call that notification `need` asked for.
pub fn write_skip(out: &mut impl Buffer, id: CallId, need: u64) {
    write_line(out, format_args!("SKIP {id} {need}\r\n"));
}

/// Writes the request for statistics.
pub fn write_stat(out: &mut impl Buffer, tag: u64) {
    write_line(out, format_args!("STAT {tag}\r\n"));
}
