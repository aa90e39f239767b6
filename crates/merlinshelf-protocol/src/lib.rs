//! What a backend speaks with its edge nodes, its engine, the catalogue below, the membership service, operators' tools and
//! other instances: parsers over bytes that may have come in part, and encoders into any buffer. No input or output here.

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

/// What can't be read, by a name for the log: the connection that it came on ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault(pub &'static str);

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.0)
    }
}

/// The id of one try: the 16 hex digits just as they came.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId([u8; 16]);

impl CallId {
    pub fn read(text: &[u8]) -> Option<CallId> {
        call_id.parse(text).ok()
    }

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
    let digits = take_while(16, AsChar::is_hex_digit).parse_next(input)?;
    let mut id = [0; 16];
    id.copy_from_slice(digits);
    Ok(CallId(id))
}

/// Where encoders put their bytes: a plain vector or a ring.
pub trait Buffer: for<'a> Extend<&'a u8> {}
impl<T: for<'a> Extend<&'a u8>> Buffer for T {}

/// The longest line, its end left out, and the longest body that any peer may send after one.
const LINE_MOST: usize = 1024;
const BODY_MOST: usize = 64 * 1024;

/// One message off the front of what has come, and its length; nothing until more has come.
pub type Front<T> = Result<Option<(T, usize)>, Fault>;

type Bytes<'i> = Partial<&'i [u8]>;

fn front<'i, T>(
    input: &'i [u8],
    most: usize,
    fault: Fault,
    mut parser: impl Parser<Bytes<'i>, T, ErrMode<ContextError>>,
) -> Front<T> {
    let mut rest = Partial::new(input);
    let start = rest.checkpoint();
    match parser.parse_next(&mut rest) {
        Ok(message) => Ok(Some((message, rest.offset_from(&start)))),
        Err(ErrMode::Incomplete(_)) if input.len() < most => Ok(None),
        Err(_) => Err(fault),
    }
}

/// One line of words without its CR LF. What has come without an end is judged as far as it goes.
fn line<'i>(input: &mut Bytes<'i>) -> ModalResult<&'i [u8]> {
    let come = &input[..input.len().min(LINE_MOST + 2)];
    let ended = come.windows(2).any(|two| two == b"\r\n");
    // A CR that came last may be half of the end; anything else that does not print is in no line.
    let odd = |byte: &u8| !matches!(byte, b' '..=b'~' | b'\t' | 0x80..);
    if !ended
        && (come.len() > LINE_MOST || come.strip_suffix(b"\r").unwrap_or(come).iter().any(odd))
    {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    terminated(take_until(0..=LINE_MOST, "\r\n"), "\r\n").parse_next(input)
}

/// Reads the words of one whole line; what does not fit can't become right by more bytes.
fn within<'i, T>(
    text: &'i [u8],
    mut words: impl Parser<&'i [u8], T, ErrMode<ContextError>>,
) -> ModalResult<T> {
    words
        .parse(text)
        .map_err(|error| ErrMode::Cut(error.into_inner()))
}

/// The bytes that a line's last word announced, and their CR LF.
fn body<'i>(length: usize) -> impl FnMut(&mut Bytes<'i>) -> ModalResult<&'i [u8]> {
    body_up_to(length, BODY_MOST)
}

/// The same, with another bound.
fn body_up_to<'i>(
    length: usize,
    most: usize,
) -> impl FnMut(&mut Bytes<'i>) -> ModalResult<&'i [u8]> {
    move |input| {
        if length > most {
            return Err(ErrMode::Cut(ContextError::new()));
        }
        terminated(take(length), "\r\n").parse_next(input)
    }
}

fn put(out: &mut impl Buffer, text: fmt::Arguments, body: Option<&[u8]>) {
    out.extend(text.to_string().as_bytes());
    if let Some(body) = body {
        out.extend(body);
        out.extend(b"\r\n");
    }
}
