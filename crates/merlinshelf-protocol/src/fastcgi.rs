//! FastCGI 1.0 as a Responder sees it: records cut into pieces as they come, name-value pairs, answers.

use winnow::binary::{be_u16, be_u32, u8};
use winnow::combinator::{repeat, seq};
use winnow::token::take;
use winnow::{ModalResult, Parser};

use crate::{Buffer, Fault};

const VERSION: u8 = 1;
const BEGIN_REQUEST: u8 = 1;
const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

const HEADER: usize = 8;
/// Content of one record, padded to eights.
const CONTENT_MOST: usize = 65_528;
/// The names of all values that can be asked for fit into a fraction of this.
const VALUES_MOST: usize = 1024;

/// How an invocation's exchange has ended, in the protocol's own terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Complete = 0,
    Overloaded = 2,
    UnknownRole = 3,
}

/// What records bring, piece by piece. An empty `Params` or `Stdin` ends its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    Begin {
        id: u16,
        responder: bool,
        keep: bool,
    },
    Abort {
        id: u16,
    },
    Params {
        id: u16,
        bytes: &'a [u8],
    },
    Stdin {
        id: u16,
        bytes: &'a [u8],
    },
    GetValues {
        names: &'a [u8],
    },
    Unknown {
        kind: u8,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Header {
    kind: u8,
    id: u16,
    content: u16,
    padding: u8,
}

fn header(input: &mut &[u8]) -> ModalResult<Header> {
    seq!(Header {
        _: u8.verify(|version| *version == VERSION),
        kind: u8,
        id: be_u16,
        content: be_u16,
        padding: u8,
        _: u8,
    })
    .parse_next(input)
}

/// Cuts a stream of bytes into pieces. Long contents need not have come whole.
#[derive(Debug, Default)]
pub struct Records {
    header: Header,
    /// Bytes of the current record still to come, its padding apart.
    content: usize,
    padding: usize,
}

impl Records {
    /// Reads on: how many bytes are used up and what they brought; 0 bytes until more has come.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Piece<'a>>), Fault> {
        if self.content == 0 && self.padding > 0 {
            let used = self.padding.min(input.len());
            self.padding -= used;
            return Ok((used, None));
        }
        if self.content > 0 {
            return Ok(self.content(input));
        }
        let Some((mut head, rest)) = input.split_at_checked(HEADER) else {
            return Ok((0, None));
        };
        let read = header(&mut head).map_err(|_| Fault("no FastCGI 1.0 record"))?;
        let (length, padding) = (usize::from(read.content), usize::from(read.padding));
        // What must be seen whole: short ones, so that little is ever kept back.
        let whole = match read.kind {
            BEGIN_REQUEST if length != 8 => return Err(Fault("a begin of the wrong length")),
            BEGIN_REQUEST => true,
            GET_VALUES if length > VALUES_MOST => return Err(Fault("too many values asked for")),
            GET_VALUES => true,
            _ => false,
        };
        if whole && rest.len() < length {
            return Ok((0, None));
        }
        self.header = read;
        let id = read.id;
        if whole {
            self.padding = padding;
            let content = &rest[..length];
            let piece = match read.kind {
                GET_VALUES => Piece::GetValues { names: content },
                _ => {
                    let responder = content[..2] == [0, 1];
                    Piece::Begin {
                        id,
                        responder,
                        keep: content[2] & 1 == 1,
                    }
                }
            };
            return Ok((HEADER + length, Some(piece)));
        }
        (self.content, self.padding) = (length, padding);
        let piece = match read.kind {
            ABORT_REQUEST => Some(Piece::Abort { id }),
            PARAMS if length == 0 => Some(Piece::Params { id, bytes: b"" }),
            STDIN if length == 0 => Some(Piece::Stdin { id, bytes: b"" }),
            PARAMS | STDIN => None,
            kind if id == 0 => Some(Piece::Unknown { kind }),
            _ => None, // of an open invocation: passed over
        };
        Ok((HEADER, piece))
    }

    /// Where it stands: the current record's kind and id, and how many bytes of its content and of its padding are still
    /// to come.
    pub fn state(&self) -> (u8, u16, usize, usize) {
        (self.header.kind, self.header.id, self.content, self.padding)
    }

    /// One that goes on from where another stood.
    pub fn resumed((kind, id, content, padding): (u8, u16, usize, usize)) -> Records {
        Records {
            header: Header {
                kind,
                id,
                ..Header::default()
            },
            content,
            padding,
        }
    }

    /// Whether the current record has not come to its end.
    pub fn within(&self) -> bool {
        self.content > 0 || self.padding > 0
    }

    fn content<'a>(&mut self, input: &'a [u8]) -> (usize, Option<Piece<'a>>) {
        let used = self.content.min(input.len());
        self.content -= used;
        let (id, bytes) = (self.header.id, &input[..used]);
        let piece = match self.header.kind {
            _ if used == 0 => None,
            PARAMS => Some(Piece::Params { id, bytes }),
            STDIN => Some(Piece::Stdin { id, bytes }),
            _ => None,
        };
        (used, piece)
    }
}

fn length(input: &mut &[u8]) -> ModalResult<usize> {
    if input.first().is_some_and(|first| first & 0x80 != 0) {
        return be_u32
            .map(|long| (long & 0x7fff_ffff) as usize)
            .parse_next(input);
    }
    u8.map(usize::from).parse_next(input)
}

/// A name and its value.
pub type Pair<'a> = (&'a [u8], &'a [u8]);

fn pair<'i>(input: &mut &'i [u8]) -> ModalResult<Pair<'i>> {
    let (name, value) = (length, length).parse_next(input)?;
    (take(name), take(value)).parse_next(input)
}

/// The name-value pairs of a whole stream.
pub fn pairs(bytes: &[u8]) -> Result<Vec<Pair<'_>>, Fault> {
    repeat(0.., pair)
        .parse(bytes)
        .map_err(|_| Fault("name-value pairs that do not fit"))
}

fn record(out: &mut impl Buffer, kind: u8, id: u16, content: &[u8]) {
    let padding = content.len().wrapping_neg() % 8;
    let ([id1, id0], [long1, long0]) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    out.extend(&[VERSION, kind, id1, id0, long1, long0, padding as u8, 0]);
    out.extend(content);
    out.extend(&[0; 8][..padding]);
}

/// One whole answer: head and body on STDOUT, its end, and the end of the invocation.
pub fn answer(out: &mut impl Buffer, id: u16, head: &str, body: &[u8]) {
    let whole = [head.as_bytes(), body].concat();
    whole
        .chunks(CONTENT_MOST)
        .for_each(|part| record(out, STDOUT, id, part));
    record(out, STDOUT, id, b"");
    end(out, id, Status::Complete);
}

/// The end of an invocation that got no answer of its own.
pub fn end(out: &mut impl Buffer, id: u16, status: Status) {
    record(out, END_REQUEST, id, &[0, 0, 0, 0, status as u8, 0, 0, 0]);
}

pub fn unknown(out: &mut impl Buffer, kind: u8) {
    record(out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
}

/// Answers a GET_VALUES: of the names asked for, those that are known.
pub fn values(out: &mut impl Buffer, names: &[u8], known: &[(&str, String)]) -> Result<(), Fault> {
    let mut content = Vec::new();
    for (name, _) in pairs(names)? {
        if let Some((name, value)) = known.iter().find(|(known, _)| known.as_bytes() == name) {
            content.extend([name.len() as u8, value.len() as u8]);
            content.extend(name.as_bytes());
            content.extend(value.as_bytes());
        }
    }
    record(out, GET_VALUES_RESULT, 0, &content);
    Ok(())
}
