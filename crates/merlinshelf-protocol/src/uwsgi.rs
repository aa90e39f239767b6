//! uwsgi as an application server sees it, from the public description of the protocol: one packet
//! of variables, the body that these announce, one answer, and the end of the connection.
//!
//! A packet is a header of four bytes (modifier1, size of the variables, little-endian, modifier2)
//! and the variables, each a name and a value with their lengths in two bytes, little-endian.
//! Modifier1 is 0 for a request of this kind. The description leaves open how the body ends: here
//! CONTENT_LENGTH says so, and without it there is none.

use winnow::binary::le_u16;
use winnow::combinator::repeat;
use winnow::token::take;
use winnow::{ModalResult, Parser};

use crate::fastcgi::Pair;
use crate::{Buffer, Fault};

const HEADER_BYTES: usize = 4;
/// Longer variables are forwarded as they come, to be rejected where all parameters are.
const MAX_VARIABLES_BYTES: usize = 4 * 1024;
/// The lengths of one variable's name and value.
const LENGTHS_BYTES: usize = 4;

/// What a request brings. There is one on a connection, so that it needs no id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fragment<'a> {
    /// A request begins.
    Begin,
    /// All variables.
    Variables {
        /// The variables, for [`pairs`].
        bytes: &'a [u8],
        /// Length of the body that they announce.
        body: usize,
    },
    /// A part of variables that are too long; never the last.
    VariablesPart {
        /// The part.
        bytes: &'a [u8],
    },
    /// A part of the body.
    Body {
        /// The part.
        bytes: &'a [u8],
        /// Whether the body ends with it.
        last: bool,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Header,
    /// All variables are awaited; how many bytes they have.
    Variables(usize),
    /// Too long; how many bytes are still to come.
    LongVariables(usize),
    /// How many bytes are still to come.
    Body(usize),
    /// What comes now belongs to nothing.
    Ended,
}

/// Cuts what comes on a connection into fragments.
#[derive(Debug, Default)]
pub struct Request(State);

impl Request {
    /// Reads on. Returns how many bytes are consumed, 0 until more have come, and what they
    /// brought.
    ///
    /// # Errors
    /// The bytes are no such request.
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
            return Err(Fault("a uwsgi packet of another kind"));
        }
        let size = usize::from(u16::from_le_bytes([size_low, size_high]));
        self.0 = if size > MAX_VARIABLES_BYTES {
            State::LongVariables(size)
        } else {
            State::Variables(size)
        };
        if size == 0 {
            return Err(Fault("a uwsgi packet without variables"));
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
        // Variables that can't be read announce nothing, and are rejected by who parses them.
        let variables = pairs(bytes).unwrap_or_else(|_| Vec::new());
        let body = content_length(&variables).unwrap_or(0);
        self.0 = if body > 0 {
            State::Body(body)
        } else {
            State::Ended
        };
        (size, Some(Fragment::Variables { bytes, body }))
    }

    /// Whether the request has begun and not come to its end.
    pub fn is_partial(&self) -> bool {
        !matches!(self.0, State::Header | State::Ended)
    }

    /// Where it stands, for a process that continues it: a number for the part of the request, and
    /// how many of its bytes are awaited.
    pub fn state(&self) -> (u8, usize) {
        match self.0 {
            State::Header => (0, 0),
            State::Variables(size) => (1, size),
            State::LongVariables(remaining) => (2, remaining),
            State::Body(remaining) => (3, remaining),
            State::Ended => (4, 0),
        }
    }

    /// A parser that continues where another stood.
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

/// As much as has come of what remains, and how many bytes remain behind it.
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

/// The variables of a complete packet.
///
/// # Errors
/// A length does not fit.
pub fn pairs(bytes: &[u8]) -> Result<Vec<Pair<'_>>, Fault> {
    repeat(0.., pair)
        .parse(bytes)
        .map_err(|_| Fault("name-value pairs that do not fit"))
}

/// Writes a whole answer. A CGI head becomes that of an HTTP response, the end of which is given by
/// its length and by the connection's.
pub fn write_answer(out: &mut impl Buffer, head: &str, body: &[u8]) {
    let head = head.strip_prefix("Status: ").unwrap_or(head);
    let (status, fields) = head.split_once("\r\n").unwrap_or((head, "\r\n"));
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n{fields}");
    out.extend(head.as_bytes());
    out.extend(body);
}

/// Writes the packet of a request, as a front end does; the body follows.
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

/// Whether a connection that begins with this byte may carry uwsgi: FastCGI begins with its
/// version, 1, HTTP with a letter, TLS with 22.
pub fn is_first_byte(first: u8) -> bool {
    first == 0
}
