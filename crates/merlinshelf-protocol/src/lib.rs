//! What a backend speaks with its edge nodes ([`fastcgi`], [`uwsgi`]), its engine ([`engine`]), the
//! catalogue ([`catalogue`]), the membership service ([`registration`]), operators' tools
//! ([`control`]) and other instances ([`gossip`]): parsers over bytes that may have come in part,
//! and encoders into any buffer. Nothing here does I/O.

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

/// The longest line, without its end.
const MAX_LINE_BYTES: usize = 1024;
/// CR LF.
const LINE_END_BYTES: usize = 2;
/// The longest body that any peer may send after a line.
const MAX_BODY_BYTES: usize = 64 * 1024;
const CALL_ID_DIGITS: usize = 16;

/// What can't be parsed, named for the log. The connection that it came on ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Fault(pub &'static str);

/// The id of one attempt: its 16 hexadecimal digits just as they came.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId([u8; CALL_ID_DIGITS]);

impl CallId {
    /// The id of these digits; none where they are not 16 hexadecimal digits.
    pub fn parse(text: &[u8]) -> Option<CallId> {
        call_id.parse(text).ok()
    }

    /// The digits.
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

/// Where encoders put their bytes: a plain vector or a ring.
pub trait Buffer: for<'a> Extend<&'a u8> {}
impl<T: for<'a> Extend<&'a u8>> Buffer for T {}

/// One message off the front of the bytes, and its length; none until more bytes have come.
pub type Parsed<T> = Result<Option<(T, usize)>, Fault>;

type Bytes<'i> = Partial<&'i [u8]>;

/// Parses a message that is complete within `max_bytes` off the front.
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

/// One line without its CR LF. An incomplete one is judged as far as it goes.
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
    // A CR that came last may be half of the end; other control characters are in no line.
    let text = received.strip_suffix(b"\r").unwrap_or(received);
    let is_printable = |byte: &u8| matches!(byte, b' '..=b'~' | b'\t' | 0x80..);
    received.len() <= MAX_LINE_BYTES && text.iter().all(is_printable)
}

/// Parses the whole text of a line; one that does not fit can't be mended by more bytes.
fn parse_line<'i, T>(
    text: &'i [u8],
    mut fields: impl Parser<&'i [u8], T, ErrMode<ContextError>>,
) -> ModalResult<T> {
    fields
        .parse(text)
        .map_err(|error| ErrMode::Cut(error.into_inner()))
}

/// The body whose length a line announced, without its CR LF.
fn body<'i>(length: usize) -> impl FnMut(&mut Bytes<'i>) -> ModalResult<&'i [u8]> {
    body_up_to(length, MAX_BODY_BYTES)
}

/// The same, with another limit.
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
