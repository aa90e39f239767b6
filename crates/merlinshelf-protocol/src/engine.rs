//! The connection to the engine: commands that the backend sends and notifications that it
//! receives.

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

/// Name and version of the extension that lets a `NEED` name its dependency. The backend offers it
/// in `ATTACH` and the engine accepts it in `HELLO`.
pub const NAMES_EXTENSION: &str = "NAMES/1";
/// Maximum length of a dependency name, which starts with a letter.
pub const MAX_NAME_BYTES: usize = 64;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The run returned a result.
    Succeeded,
    /// The run returned an error.
    Errored,
    /// The run was stopped.
    Stopped,
    /// The run was not started because the invocation had already ended.
    Moot,
}

/// A message from the engine. Only `Done` and `Need` have sequence numbers that are acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineNotification<'a> {
    /// The first notification of a connection.
    Hello {
        /// Whether the engine has warmed up.
        warm: bool,
        /// The engine's uptime in milliseconds.
        up_ms: f64,
        /// Whether the engine accepted [`NAMES_EXTENSION`], so that calls may name a dependency.
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
        /// Its duration in milliseconds.
        took_ms: f64,
        /// Its result.
        result: &'a [u8],
    },
    /// A run needs a downstream call.
    Need {
        /// Its sequence number.
        number: u64,
        /// The attempt that needs the call.
        id: CallId,
        /// The dependency to call, if [`NAMES_EXTENSION`] was negotiated and the run named one.
        named: Option<&'a [u8]>,
        /// The call's body.
        body: &'a [u8],
    },
    /// The response to a `STAT` command.
    Stats {
        /// The tag of the `STAT` command.
        tag: u64,
        /// The engine's gauges.
        gauges: Vec<f64>,
    },
    /// The engine did not carry out a command.
    No {
        /// The text of the command; see [`parse_rejected_command`].
        what: &'a [u8],
    },
    /// A message for the log.
    Note {
        /// Its number.
        number: u64,
        /// Its text.
        text: &'a [u8],
    },
}

impl EngineNotification<'_> {
    /// The sequence number, if this kind of notification is acknowledged.
    pub fn number(&self) -> Option<u64> {
        match self {
            EngineNotification::Done { number, .. } | EngineNotification::Need { number, .. } => {
                Some(*number)
            }
            _ => None,
        }
    }
}

/// Reads the notification at the front of `input`.
///
/// # Errors
/// The input is not a prefix of a valid notification.
pub fn read_notification(input: &[u8]) -> Parsed<EngineNotification<'_>> {
    parse_front(
        input,
        MAX_LINE_BYTES + MAX_BODY_BYTES,
        Fault("malformed engine notification"),
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

/// A notification whose body is still empty, and the length of the body that follows, if any.
type NotificationLine<'i> = (EngineNotification<'i>, Option<usize>);

fn notification_line<'i>(input: &mut &'i [u8]) -> ModalResult<NotificationLine<'i>> {
    alt((hello, done, need, stats, no, note)).parse_next(input)
}

/// Parses a field and the space after it.
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
    // A name starts with a letter, so that it cannot be mistaken for a length.
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

/// Parses the text of a `NO` into the name of the rejected command and the attempt id in it.
pub fn parse_rejected_command(what: &[u8]) -> Option<(&[u8], CallId)> {
    let command = take_while(1.., AsChar::is_alpha);
    (field(command), call_id).parse(what).ok()
}

/// Writes the first command of a connection, which acknowledges notifications up to `last`. An
/// engine that does not support extensions closes a connection that offers one.
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

/// Writes the reply to a downstream call that a run requested.
pub fn write_feed(out: &mut impl Buffer, id: CallId, reply: &[u8]) {
    write_with_body(out, format_args!("FEED {id} {}\r\n", reply.len()), reply);
}

/// Writes the command to continue without the call that notification number `need` requested.
pub fn write_skip(out: &mut impl Buffer, id: CallId, need: u64) {
    write_line(out, format_args!("SKIP {id} {need}\r\n"));
}

/// Writes the request for statistics; the response repeats `tag`.
pub fn write_stat(out: &mut impl Buffer, tag: u64) {
    write_line(out, format_args!("STAT {tag}\r\n"));
}
