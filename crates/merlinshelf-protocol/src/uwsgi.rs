//! uwsgi as an application server sees it, from the public description of the protocol: one packet of variables, the body that these
//! announce, one answer, and the end of the connection.
//!
//! A packet is a head of four bytes (modifier1, size of the variables, little-endian, modifier2) and the variables, each a name and
//! a value with their lengths in two bytes, little-endian. Modifier1 is 0 for a request of this kind. The description leaves
//! open how the body ends: here CONTENT_LENGTH says so, and without it there is none.

use winnow::binary::le_u16;
use winnow::combinator::repeat;
use winnow::token::take;
use winnow::{ModalResult, Parser};

use crate::fastcgi::Pair;
use crate::{Buffer, Fault};

const HEAD: usize = 4;
/// Variables that are longer are handed on as they come, to be turned down where all parameters are.
const VARS_MOST: usize = 4 * 1024;

/// What a request brings. There is one on a connection, so that it needs no number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    Begin,
    /// All variables, and the length of the body that they announce.
    Vars {
        bytes: &'a [u8],
        body: usize,
    },
    /// A part of variables that are too long; never the last.
    Part {
        bytes: &'a [u8],
    },
    Body {
        bytes: &'a [u8],
        last: bool,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Head,
    Vars(usize),
    /// Too long: so much is still to come.
    Long(usize),
    Body(usize),
    /// What comes now belongs to nothing.
    Over,
}

/// Cuts what comes on a connection into pieces.
#[derive(Debug, Default)]
pub struct Request(State);

impl Request {
    /// Reads on: how many bytes are used up and what they brought; 0 bytes until more has come.
    ///
    /// # Errors
    /// What is no such request.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Piece<'a>>), Fault> {
        if input.is_empty() {
            return Ok((0, None));
        }
        match self.0 {
            State::Head => {
                let Some((head, _)) = input.split_at_checked(HEAD) else {
                    return Ok((0, None));
                };
                if (head[0], head[3]) != (0, 0) {
                    return Err(Fault("a uwsgi packet of another kind"));
                }
                let size = usize::from(u16::from_le_bytes([head[1], head[2]]));
                self.0 = if size > VARS_MOST {
                    State::Long(size)
                } else {
                    State::Vars(size)
                };
                if size == 0 {
                    return Err(Fault("a uwsgi packet without variables"));
                }
                Ok((HEAD, Some(Piece::Begin)))
            }
            State::Vars(size) => {
                let Some((bytes, _)) = input.split_at_checked(size) else {
                    return Ok((0, None));
                };
                // What can't be read announces nothing, and is turned down with the variables.
                let body = pairs(bytes)
                    .ok()
                    .and_then(|pairs| announced(&pairs))
                    .unwrap_or(0);
                self.0 = if body > 0 {
                    State::Body(body)
                } else {
                    State::Over
                };
                Ok((size, Some(Piece::Vars { bytes, body })))
            }
            State::Long(left) => {
                let used = left.min(input.len());
                self.0 = if used < left {
                    State::Long(left - used)
                } else {
                    State::Over
                };
                Ok((
                    used,
                    Some(Piece::Part {
                        bytes: &input[..used],
                    }),
                ))
            }
            State::Body(left) => {
                let used = left.min(input.len());
                self.0 = if used < left {
                    State::Body(left - used)
                } else {
                    State::Over
                };
                Ok((
                    used,
                    Some(Piece::Body {
                        bytes: &input[..used],
                        last: used == left,
                    }),
                ))
            }
            State::Over => Ok((input.len(), None)),
        }
    }

    /// Whether the request has begun and not come to its end.
    pub fn within(&self) -> bool {
        !matches!(self.0, State::Head | State::Over)
    }

    /// Where it stands, for a process that carries it on.
    pub fn state(&self) -> (u8, usize) {
        match self.0 {
            State::Head => (0, 0),
            State::Vars(size) => (1, size),
            State::Long(left) => (2, left),
            State::Body(left) => (3, left),
            State::Over => (4, 0),
        }
    }

    /// One that goes on from where another stood.
    pub fn resumed((kind, count): (u8, usize)) -> Request {
        Request(match kind {
            0 => State::Head,
            1 => State::Vars(count),
            2 => State::Long(count),
            3 => State::Body(count),
            _ => State::Over,
        })
    }
}

fn announced(pairs: &[Pair]) -> Option<usize> {
    let (_, text) = pairs.iter().find(|(name, _)| *name == b"CONTENT_LENGTH")?;
    std::str::from_utf8(text).ok()?.parse().ok()
}

fn text<'i>(input: &mut &'i [u8]) -> ModalResult<&'i [u8]> {
    let length = le_u16.parse_next(input)?;
    take(length).parse_next(input)
}

fn pair<'i>(input: &mut &'i [u8]) -> ModalResult<Pair<'i>> {
    (text, text).parse_next(input)
}

/// The variables of a whole packet.
///
/// # Errors
/// They do not fit into it.
pub fn pairs(bytes: &[u8]) -> Result<Vec<Pair<'_>>, Fault> {
    repeat(0.., pair)
        .parse(bytes)
        .map_err(|_| Fault("name-value pairs that do not fit"))
}

/// One whole answer: a CGI head becomes that of an HTTP response, whose end is told by its length and by the connection's.
pub fn answer(out: &mut impl Buffer, head: &str, body: &[u8]) {
    let head = head.strip_prefix("Status: ").unwrap_or(head);
    out.extend(b"HTTP/1.1 ");
    let (status, fields) = head.split_once("\r\n").unwrap_or((head, "\r\n"));
    out.extend(status.as_bytes());
    out.extend(
        format!(
            "\r\nContent-Length: {}\r\nConnection: close\r\n",
            body.len()
        )
        .as_bytes(),
    );
    out.extend(fields.as_bytes());
    out.extend(body);
}

/// The packet of a request, as a front end writes it; the body follows.
pub fn request(out: &mut impl Buffer, vars: &[(&str, &str)]) {
    let size: usize = vars
        .iter()
        .map(|(name, value)| 4 + name.len() + value.len())
        .sum();
    out.extend(&[0]);
    out.extend(&(size as u16).to_le_bytes());
    out.extend(&[0]);
    for text in vars.iter().flat_map(|(name, value)| [name, value]) {
        out.extend(&(text.len() as u16).to_le_bytes());
        out.extend(text.as_bytes());
    }
}

/// Whether a connection that begins with this byte may be one of these: FastCGI's begin with its version, 1, those of HTTP with a
/// letter, those of TLS with 22.
pub fn begins(first: u8) -> bool {
    first == 0
}
