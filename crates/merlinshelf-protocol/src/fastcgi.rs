//! The Responder's side of FastCGI 1.0: an incremental parser that splits a stream of records into
//! fragments, a parser of name-value pairs, and encoders of answers.

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

const HEADER_BYTES: usize = 8;
const BEGIN_BODY_BYTES: usize = 8;
const RESPONDER_ROLE: [u8; 2] = [0, 1];
const KEEP_CONNECTION: u8 = 1;
/// Maximum content length of a written record, a multiple of `PADDING_BYTES`.
const MAX_CONTENT_BYTES: usize = 65_528;
/// Written records are padded to a multiple of this.
const PADDING_BYTES: usize = 8;
/// Maximum content length of an FCGI_GET_VALUES record; the names of all defined values need far
/// less.
const MAX_VALUES_BYTES: usize = 1024;

/// The protocol status with which an invocation ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The invocation was answered.
    Complete = 0,
    /// Rejected because too many invocations are in flight.
    Overloaded = 2,
    /// Rejected because only the Responder role is supported.
    UnknownRole = 3,
}

/// A parsed part of the record stream. An empty `Params` or `Stdin` ends its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fragment<'a> {
    /// An invocation begins.
    Begin {
        /// Id of the invocation on its connection.
        id: u16,
        /// Whether the requested role is Responder.
        responder: bool,
        /// Whether the connection stays open after the invocation.
        keep: bool,
    },
    /// The client aborted the invocation.
    Abort {
        /// Id of the invocation.
        id: u16,
    },
    /// A part of the parameters.
    Params {
        /// Id of the invocation.
        id: u16,
        /// The part.
        bytes: &'a [u8],
    },
    /// A part of the body.
    Stdin {
        /// Id of the invocation.
        id: u16,
        /// The part.
        bytes: &'a [u8],
    },
    /// A request for the server's configuration values.
    GetValues {
        /// Their names, as name-value pairs.
        names: &'a [u8],
    },
    /// A management record of another type.
    Unknown {
        /// The type.
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

/// The state of a parser, from which another process can continue after a handover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordsState {
    /// Type of the current record.
    pub kind: u8,
    /// Its invocation's id.
    pub id: u16,
    /// Number of its content bytes not yet received.
    pub content_bytes: usize,
    /// Number of its padding bytes not yet received.
    pub padding_bytes: usize,
}

/// Splits a stream of bytes into fragments. Contents of PARAMS and STDIN records are returned in
/// parts, as they are received.
#[derive(Debug, Default)]
pub struct Records {
    state: RecordsState,
}

impl Records {
    /// Parses the next fragment. Returns the number of bytes consumed, which is 0 if more input is
    /// needed, and the fragment, if any.
    ///
    /// # Errors
    /// The input is not valid FastCGI.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Fragment<'a>>), Fault> {
        if self.state.content_bytes > 0 {
            return Ok(self.read_content(input));
        }
        if self.state.padding_bytes > 0 {
            let used = self.state.padding_bytes.min(input.len());
            self.state.padding_bytes -= used;
            return Ok((used, None));
        }
        let Some((mut head, rest)) = input.split_at_checked(HEADER_BYTES) else {
            return Ok((0, None));
        };
        let header = header(&mut head).map_err(|_| Fault("not a FastCGI 1.0 record"))?;
        if needs_whole_content(header)? {
            let Some(content) = rest.get(..usize::from(header.content)) else {
                return Ok((0, None));
            };
            self.state = RecordsState {
                kind: header.kind,
                id: header.id,
                content_bytes: 0,
                padding_bytes: header.padding.into(),
            };
            let fragment = whole_fragment(header, content);
            return Ok((HEADER_BYTES + content.len(), Some(fragment)));
        }
        self.state = RecordsState {
            kind: header.kind,
            id: header.id,
            content_bytes: header.content.into(),
            padding_bytes: header.padding.into(),
        };
        Ok((HEADER_BYTES, header_fragment(header)))
    }

    /// The current state, for [`Records::resume`].
    pub fn state(&self) -> RecordsState {
        self.state
    }

    /// Restores a parser from the result of [`Records::state`].
    pub fn resume(state: RecordsState) -> Records {
        Records { state }
    }

    /// Whether the current record is incomplete.
    pub fn is_partial(&self) -> bool {
        self.state.content_bytes > 0 || self.state.padding_bytes > 0
    }

    fn read_content<'a>(&mut self, input: &'a [u8]) -> (usize, Option<Fragment<'a>>) {
        let used = self.state.content_bytes.min(input.len());
        self.state.content_bytes -= used;
        let id = self.state.id;
        let bytes = &input[..used];
        let fragment = match self.state.kind {
            _ if used == 0 => None,
            PARAMS => Some(Fragment::Params { id, bytes }),
            STDIN => Some(Fragment::Stdin { id, bytes }),
            _ => None,
        };
        (used, fragment)
    }
}

/// Whether the record is parsed only once its whole content is received. This holds for short
/// records only, which bounds the unparsed input.
fn needs_whole_content(header: Header) -> Result<bool, Fault> {
    let content_bytes = usize::from(header.content);
    match header.kind {
        BEGIN_REQUEST if content_bytes != BEGIN_BODY_BYTES => {
            Err(Fault("FCGI_BEGIN_REQUEST record of the wrong length"))
        }
        GET_VALUES if content_bytes > MAX_VALUES_BYTES => {
            Err(Fault("FCGI_GET_VALUES record is too long"))
        }
        BEGIN_REQUEST | GET_VALUES => Ok(true),
        _ => Ok(false),
    }
}

fn whole_fragment(header: Header, content: &[u8]) -> Fragment<'_> {
    if header.kind == GET_VALUES {
        return Fragment::GetValues { names: content };
    }
    Fragment::Begin {
        id: header.id,
        responder: content[..2] == RESPONDER_ROLE,
        keep: content[2] & KEEP_CONNECTION != 0,
    }
}

/// The fragment for the header of a record whose content is not needed as a whole, if any.
fn header_fragment(header: Header) -> Option<Fragment<'static>> {
    let id = header.id;
    match header.kind {
        ABORT_REQUEST => Some(Fragment::Abort { id }),
        PARAMS if header.content == 0 => Some(Fragment::Params { id, bytes: b"" }),
        STDIN if header.content == 0 => Some(Fragment::Stdin { id, bytes: b"" }),
        PARAMS | STDIN => None,
        kind if id == 0 => Some(Fragment::Unknown { kind }),
        _ => None, // unknown record of an invocation: skipped
    }
}

fn length(input: &mut &[u8]) -> ModalResult<usize> {
    let has_long_form = input.first().is_some_and(|first| first & 0x80 != 0);
    if has_long_form {
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

/// Parses the name-value pairs of a complete stream.
///
/// # Errors
/// A name or a value extends beyond the stream.
pub fn pairs(bytes: &[u8]) -> Result<Vec<Pair<'_>>, Fault> {
    repeat(0.., pair)
        .parse(bytes)
        .map_err(|_| Fault("name or value extends beyond the FastCGI stream"))
}

fn write_record(out: &mut impl Buffer, kind: u8, id: u16, content: &[u8]) {
    let padding = content.len().wrapping_neg() % PADDING_BYTES;
    let [id_high, id_low] = id.to_be_bytes();
    let [length_high, length_low] = (content.len() as u16).to_be_bytes();
    out.extend(&[
        VERSION,
        kind,
        id_high,
        id_low,
        length_high,
        length_low,
        padding as u8,
        0,
    ]);
    out.extend(content);
    out.extend(&[0; PADDING_BYTES][..padding]);
}

/// Writes a complete answer: head and body on STDOUT, the end of the stream and the end of the
/// invocation.
pub fn write_answer(out: &mut impl Buffer, id: u16, head: &str, body: &[u8]) {
    let answer = [head.as_bytes(), body].concat();
    for part in answer.chunks(MAX_CONTENT_BYTES) {
        write_record(out, STDOUT, id, part);
    }
    write_record(out, STDOUT, id, b"");
    write_end(out, id, Status::Complete);
}

/// Writes the end of an invocation, also of one without an answer.
pub fn write_end(out: &mut impl Buffer, id: u16, status: Status) {
    let content = [0, 0, 0, 0, status as u8, 0, 0, 0];
    write_record(out, END_REQUEST, id, &content);
}

/// Writes an FCGI_UNKNOWN_TYPE record for a management record of type `kind`.
pub fn write_unknown(out: &mut impl Buffer, kind: u8) {
    write_record(out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
}

/// Writes the answer to FCGI_GET_VALUES, with the requested values that are in `known`.
///
/// # Errors
/// The names are malformed.
pub fn write_values(
    out: &mut impl Buffer,
    names: &[u8],
    known: &[(&str, String)],
) -> Result<(), Fault> {
    let mut content = Vec::new();
    for (name, _) in pairs(names)? {
        if let Some((name, value)) = known.iter().find(|(known, _)| known.as_bytes() == name) {
            content.extend([name.len() as u8, value.len() as u8]);
            content.extend(name.as_bytes());
            content.extend(value.as_bytes());
        }
    }
    write_record(out, GET_VALUES_RESULT, 0, &content);
    Ok(())
}
