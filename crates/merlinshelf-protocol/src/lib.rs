//! The wire protocols between a backend and its edge nodes ([`fastcgi`], [`uwsgi`]), its engine
//! ([`engine`]), the catalogue ([`catalogue`]), the membership service ([`registration`]),
//! operators' tools ([`control`]) and other instances ([`gossip`]): incremental parsers, which
//! accept partially received messages, and encoders into any buffer. This crate does no I/O.

pub mod catalogue;
pub mod control;
pub mod engine;
pub mod fastcgi;
pub mod gossip;
pub mod registration;
pub mod uwsgi;

use std::fmt;

use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{AsChar, Offset, Stream as _};
use winnow::token::{take, take_until, take_while};
use winnow::{ModalResult, Parser, Partial};

/// Maximum length of a line, without its CR LF.
const MAX_LINE_BYTES: usize = 1024;
/// Length of CR LF.
const LINE_END_BYTES: usize = 2;
/// Maximum length of a body that follows a line.
const MAX_BODY_BYTES: usize = 64 * 1024;
const CALL_ID_DIGITS: usize = 16;

/// A parse error with its text for the log. The connection on which it occurred is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Fault(pub &'static str);

/// The id of one attempt: 16 hexadecimal digits, kept exactly as received.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId([u8; CALL_ID_DIGITS]);

impl CallId {
    /// Parses an id. Returns `None` unless `text` is exactly 16 hexadecimal digits.
    pub fn parse(text: &[u8]) -> Option<CallId> {
        call_id.parse(text).ok()
    }

    /// The hexadecimal digits.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(&String::from_utf8_lossy(&self.0))
    }
}

impl fmt::Debug for CallId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{self}")
    }
}

fn call_id(input: &mut &[u8]) -> ModalResult<CallId> {
    let digits = take_while(CALL_ID_DIGITS, AsChar::is_hex_digit).parse_next(input)?;
    let mut id = [0; CALL_ID_DIGITS];
    id.copy_from_slice(digits);
    Ok(CallId(id))
}

/// The output of encoders: a vector or a ring buffer.
pub trait Buffer: for<'a> Extend<&'a u8> {}
impl<T: for<'a> Extend<&'a u8>> Buffer for T {}

/// The first message of the input and its length in bytes, or `None` if more input is needed.
pub type Parsed<T> = Result<Option<(T, usize)>, Fault>;

type Bytes<'i> = Partial<&'i [u8]>;

/// Parses the message at the front of `input`. An incomplete message of `max_bytes` or more is a
/// fault.
fn parse_front<'i, T>(
    input: &'i [u8],
    max_bytes: usize,
    fault: Fault,
    mut parser: impl Parser<Bytes<'i>, T, ErrMode<ContextError>>,
) -> Parsed<T> {
    let mut rest = Partial::new(input);
    let start = rest.checkpoint();
    match parser.parse_next(&mut rest) {
        Ok(message) => Ok(Some((message, rest.offset_from(&start)))),
        Err(ErrMode::Incomplete(_)) if input.len() < max_bytes => Ok(None),
        Err(_) => Err(fault),
    }
}

/// Parses one line and strips its CR LF. An incomplete line is rejected as soon as it is too long
/// or contains a control character.
fn line<'i>(input: &mut Bytes<'i>) -> ModalResult<&'i [u8]> {
    let received = &input[..input.len().min(MAX_LINE_BYTES + LINE_END_BYTES)];
    if !has_line_end(received) && !may_become_line(received) {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    terminated(take_until(0..=MAX_LINE_BYTES, "\r\n"), "\r\n").parse_next(input)
}

fn has_line_end(bytes: &[u8]) -> bool {
    bytes.windows(LINE_END_BYTES).any(|pair| pair == b"\r\n")
}

fn may_become_line(received: &[u8]) -> bool {
    // A trailing CR may be the first half of CR LF; lines contain no other control characters.
    let text = received.strip_suffix(b"\r").unwrap_or(received);
    let is_printable = |byte: &u8| matches!(byte, b' '..=b'~' | b'\t' | 0x80..);
    received.len() <= MAX_LINE_BYTES && text.iter().all(is_printable)
}

/// Parses the whole text of a line. A mismatch is final, since more input cannot repair it.
fn parse_line<'i, T>(
    text: &'i [u8],
    mut fields: impl Parser<&'i [u8], T, ErrMode<ContextError>>,
) -> ModalResult<T> {
    fields
        .parse(text)
        .map_err(|error| ErrMode::Cut(error.into_inner()))
}

/// Parses the body whose length a line announced and strips its CR LF.
fn body<'i>(length: usize) -> impl FnMut(&mut Bytes<'i>) -> ModalResult<&'i [u8]> {
    body_up_to(length, MAX_BODY_BYTES)
}

/// Parses a body of at most `max_bytes`; see [`body`].
fn body_up_to<'i>(
    length: usize,
    max_bytes: usize,
) -> impl FnMut(&mut Bytes<'i>) -> ModalResult<&'i [u8]> {
    move |input| {
        if length > max_bytes {
            return Err(ErrMode::Cut(ContextError::new()));
        }
        terminated(take(length), "\r\n").parse_next(input)
    }
}

fn write_line(out: &mut impl Buffer, text: fmt::Arguments) {
    out.extend(text.to_string().as_bytes());
}

fn write_with_body(out: &mut impl Buffer, text: fmt::Arguments, body: &[u8]) {
    write_line(out, text);
    out.extend(body);
    out.extend(b"\r\n");
}
