//! The application server's side of the uwsgi protocol, after its public description: a connection
//! carries one packet of variables, the request body that they announce, and one answer.
//!
//! A packet is a header of four bytes (modifier1, size of the variables as two little-endian bytes,
//! modifier2) and the variables. Each name and each value is preceded by its length as two
//! little-endian bytes. Both modifiers are 0 for the requests supported here. The description does
//! not define where the body ends: this parser uses CONTENT_LENGTH and assumes no body without it.

use winnow::binary::le_u16;
use winnow::combinator::repeat;
use winnow::token::take;
use winnow::{ModalResult, Parser};

use crate::fastcgi::Pair;
use crate::{Buffer, Fault};

const HEADER_BYTES: usize = 4;
/// Larger packets are forwarded in parts; the code that limits the size of parameters rejects them.
const MAX_VARIABLES_BYTES: usize = 4 * 1024;
/// Size of the two length fields of a variable.
const LENGTHS_BYTES: usize = 4;

/// A parsed part of a request. It has no id, since a connection carries a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fragment<'a> {
    /// The request begins.
    Begin,
    /// The complete variables.
    Variables {
        /// The variables, for [`pairs`].
        bytes: &'a [u8],
        /// Length of the body that the variables announce.
        body: usize,
    },
    /// A part of variables that exceed the size limit. No fragment marks their end.
    VariablesPart {
        /// The part.
        bytes: &'a [u8],
    },
    /// A part of the body.
    Body {
        /// The part.
        bytes: &'a [u8],
        /// Whether this is the last part of the body.
        last: bool,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Header,
    /// Waits for all variables; contains their size in bytes.
    Variables(usize),
    /// The variables exceed the limit; contains the number of bytes not yet received.
    LongVariables(usize),
    /// Contains the number of body bytes not yet received.
    Body(usize),
    /// The request is complete; further bytes are discarded.
    Ended,
}

/// Splits the bytes of a connection into fragments.
#[derive(Debug, Default)]
pub struct Request(State);

impl Request {
    /// Parses the next fragment. Returns the number of bytes consumed, which is 0 if more input is
    /// needed, and the fragment, if any.
    ///
    /// # Errors
    /// The input is not a supported uwsgi request.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Fragment<'a>>), Fault> {
        if input.is_empty() {
            return Ok((0, None));
        }
        match self.0 {
            State::Header => self.read_header(input),
            State::Variables(size) => Ok(self.read_variables(input, size)),
            State::LongVariables(remaining) => {
                let (bytes, remaining) = split_part(input, remaining);
                self.0 = match remaining {
                    0 => State::Ended,
                    _ => State::LongVariables(remaining),
                };
                Ok((bytes.len(), Some(Fragment::VariablesPart { bytes })))
            }
            State::Body(remaining) => {
                let (bytes, remaining) = split_part(input, remaining);
                let last = remaining == 0;
                self.0 = if last {
                    State::Ended
                } else {
                    State::Body(remaining)
                };
                Ok((bytes.len(), Some(Fragment::Body { bytes, last })))
            }
            State::Ended => Ok((input.len(), None)),
        }
    }

    fn read_header<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Fragment<'a>>), Fault> {
        let Some(header) = input.first_chunk::<HEADER_BYTES>() else {
            return Ok((0, None));
        };
        let [modifier1, size_low, size_high, modifier2] = *header;
        if (modifier1, modifier2) != (0, 0) {
            return Err(Fault("unsupported uwsgi modifiers"));
        }
        let size = usize::from(u16::from_le_bytes([size_low, size_high]));
        self.0 = if size > MAX_VARIABLES_BYTES {
            State::LongVariables(size)
        } else {
            State::Variables(size)
        };
        if size == 0 {
            return Err(Fault("uwsgi packet without variables"));
        }
        Ok((HEADER_BYTES, Some(Fragment::Begin)))
    }

    fn read_variables<'a>(
        &mut self,
        input: &'a [u8],
        size: usize,
    ) -> (usize, Option<Fragment<'a>>) {
        let Some(bytes) = input.get(..size) else {
            return (0, None);
        };
        // Malformed variables announce no body; the caller rejects them when it parses them.
        let variables = pairs(bytes).unwrap_or_else(|_| Vec::new());
        let body = content_length(&variables).unwrap_or(0);
        self.0 = if body > 0 {
            State::Body(body)
        } else {
            State::Ended
        };
        (size, Some(Fragment::Variables { bytes, body }))
    }

    /// Whether the request has begun and is not complete.
    pub fn is_partial(&self) -> bool {
        !matches!(self.0, State::Header | State::Ended)
    }

    /// The parser's state for a handover: a number for the current part of the request, and the
    /// number of its bytes that are expected.
    pub fn state(&self) -> (u8, usize) {
        match self.0 {
            State::Header => (0, 0),
            State::Variables(size) => (1, size),
            State::LongVariables(remaining) => (2, remaining),
            State::Body(remaining) => (3, remaining),
            State::Ended => (4, 0),
        }
    }

    /// Restores a parser from the result of [`Request::state`].
    pub fn resume((part, bytes): (u8, usize)) -> Request {
        Request(match part {
            0 => State::Header,
            1 => State::Variables(bytes),
            2 => State::LongVariables(bytes),
            3 => State::Body(bytes),
            _ => State::Ended,
        })
    }
}

/// Returns the received part of the remaining bytes, and how many bytes remain after it.
fn split_part(input: &[u8], remaining: usize) -> (&[u8], usize) {
    let count = remaining.min(input.len());
    (&input[..count], remaining - count)
}

fn content_length(variables: &[Pair]) -> Option<usize> {
    let (_, text) = variables
        .iter()
        .find(|(name, _)| *name == b"CONTENT_LENGTH")?;
    std::str::from_utf8(text).ok()?.parse().ok()
}

fn text<'i>(input: &mut &'i [u8]) -> ModalResult<&'i [u8]> {
    let length = le_u16.parse_next(input)?;
    take(length).parse_next(input)
}

fn pair<'i>(input: &mut &'i [u8]) -> ModalResult<Pair<'i>> {
    (text, text).parse_next(input)
}

/// Parses the variables of a complete packet.
///
/// # Errors
/// A name or a value extends beyond the packet.
pub fn pairs(bytes: &[u8]) -> Result<Vec<Pair<'_>>, Fault> {
    repeat(0.., pair)
        .parse(bytes)
        .map_err(|_| Fault("name or value extends beyond the uwsgi packet"))
}

/// Writes a complete answer. Converts the CGI head to that of an HTTP response with a
/// Content-Length, on a connection that is closed afterwards.
pub fn write_answer(out: &mut impl Buffer, head: &str, body: &[u8]) {
    let head = head.strip_prefix("Status: ").unwrap_or(head);
    let (status, fields) = head.split_once("\r\n").unwrap_or((head, "\r\n"));
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n{fields}");
    out.extend(head.as_bytes());
    out.extend(body);
}

/// Writes the packet of a request, as a front-end server does. The caller appends the body.
pub fn write_request(out: &mut impl Buffer, variables: &[(&str, &str)]) {
    let sizes = variables
        .iter()
        .map(|(name, value)| LENGTHS_BYTES + name.len() + value.len());
    let size: usize = sizes.sum();
    out.extend(&[0]);
    out.extend(&(size as u16).to_le_bytes());
    out.extend(&[0]);
    for text in variables.iter().flat_map(|(name, value)| [name, value]) {
        out.extend(&(text.len() as u16).to_le_bytes());
        out.extend(text.as_bytes());
    }
}

/// Whether a connection whose first byte is `first` can be uwsgi. FastCGI starts with its version,
/// 1, HTTP with a letter and TLS with 22.
pub fn is_first_byte(first: u8) -> bool {
    first == 0
}
