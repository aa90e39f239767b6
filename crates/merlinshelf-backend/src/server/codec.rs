//! The protocol of a connection, FastCGI or uwsgi. Everything else about a connection is the same
//! for both.

use merlinshelf_protocol::Fault;
use merlinshelf_protocol::fastcgi::{self, Records, RecordsState, Status};
use merlinshelf_protocol::uwsgi::{self, Request};

use super::rejection::Rejection;
use crate::ring::Ring;

/// The id of the only request on a uwsgi connection.
pub const UWSGI_REQUEST_ID: u16 = 1;

/// A part of a request.
pub enum Fragment<'a> {
    FastCgi(fastcgi::Fragment<'a>),
    Uwsgi(uwsgi::Fragment<'a>),
}

/// The decoder and encoder of a connection's protocol.
#[derive(Debug)]
pub enum Codec {
    /// Nothing was received yet; the first byte determines the protocol.
    Undecided,
    FastCgi(Records),
    Uwsgi(Request),
}

/// A codec's state for a process that continues it: 0 for FastCGI, 1 for uwsgi, 2 for undecided,
/// and the position within a message.
pub type CodecState = (u8, (u8, u16, usize, usize));

impl Codec {
    /// A codec for FastCGI, and for uwsgi as well if `uwsgi` is set.
    pub fn new(uwsgi: bool) -> Codec {
        if uwsgi {
            Codec::Undecided
        } else {
            Codec::FastCgi(Records::default())
        }
    }

    /// Decodes the next fragment; returns how many bytes were consumed.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Fragment<'a>>), Fault> {
        if let (Codec::Undecided, Some(first)) = (&*self, input.first()) {
            *self = match uwsgi::is_first_byte(*first) {
                true => Codec::Uwsgi(Request::default()),
                false => Codec::FastCgi(Records::default()),
            };
        }
        match self {
            Codec::Undecided => Ok((0, None)),
            Codec::FastCgi(records) => records
                .next(input)
                .map(|(used, fragment)| (used, fragment.map(Fragment::FastCgi))),
            Codec::Uwsgi(request) => request
                .next(input)
                .map(|(used, fragment)| (used, fragment.map(Fragment::Uwsgi))),
        }
    }

    /// Whether the last message read is incomplete.
    pub fn is_partial(&self) -> bool {
        match self {
            Codec::Undecided => false,
            Codec::FastCgi(records) => records.is_partial(),
            Codec::Uwsgi(request) => request.is_partial(),
        }
    }

    /// Decodes the names and values of complete parameters.
    pub fn pairs<'a>(&self, bytes: &'a [u8]) -> Result<Vec<fastcgi::Pair<'a>>, Rejection> {
        let pairs = match self {
            Codec::Uwsgi(_) => uwsgi::pairs(bytes),
            _ => fastcgi::pairs(bytes),
        };
        pairs.map_err(|fault| Rejection::new(400, fault.to_string()))
    }

    /// Writes a complete answer. Returns whether the connection stays open after it.
    pub fn write_answer(
        &self,
        out: &mut Ring,
        id: u16,
        keeps_connection: bool,
        head: &str,
        body: &[u8],
    ) -> bool {
        match self {
            Codec::Uwsgi(_) => {
                uwsgi::write_answer(out, head, body);
                false
            }
            _ => {
                fastcgi::write_answer(out, id, head, body);
                keeps_connection
            }
        }
    }

    /// Rejects a request unparsed because the limit of invocations is reached. Returns whether the
    /// connection stays open.
    pub fn write_overloaded(&self, out: &mut Ring, id: u16, head: &str) -> bool {
        match self {
            Codec::Uwsgi(_) => self.write_answer(out, id, false, head, b""),
            _ => {
                fastcgi::write_end(out, id, Status::Overloaded);
                true
            }
        }
    }

    /// The state, for a process that continues the connection.
    pub fn state(&self) -> CodecState {
        match self {
            Codec::FastCgi(records) => {
                let state = records.state();
                let record = (
                    state.kind,
                    state.id,
                    state.content_bytes,
                    state.padding_bytes,
                );
                (0, record)
            }
            Codec::Uwsgi(request) => {
                let (kind, count) = request.state();
                (1, (kind, 0, count, 0))
            }
            Codec::Undecided => (2, Default::default()),
        }
    }

    /// A codec that continues from another one's state.
    pub fn resume((protocol, state): CodecState, uwsgi: bool) -> Codec {
        match protocol {
            1 => Codec::Uwsgi(Request::resume((state.0, state.2))),
            2 => Codec::new(uwsgi),
            _ => {
                let (kind, id, content_bytes, padding_bytes) = state;
                Codec::FastCgi(Records::resume(RecordsState {
                    kind,
                    id,
                    content_bytes,
                    padding_bytes,
                }))
            }
        }
    }
}
