//! What tells the fronts' protocols apart on a connection; everything else about a connection is the same for both.

use merlinshelf_protocol::Fault;
use merlinshelf_protocol::fastcgi::{self, Records, RecordsState, Status};
use merlinshelf_protocol::uwsgi::{self, Request};

use super::bad::Bad;
use crate::ring::Ring;

/// The id of the one request on a connection of uwsgi.
pub const ONLY: u16 = 1;

/// What has come.
pub enum Piece<'a> {
    FastCgi(fastcgi::Fragment<'a>),
    Uwsgi(uwsgi::Fragment<'a>),
}

#[derive(Debug)]
pub enum Codec {
    /// Nothing has come: the first byte decides.
    Undecided,
    FastCgi(Records),
    Uwsgi(Request),
}

/// Where a codec stands, for a process that carries it on: which it is, and its state.
pub type State = (u8, (u8, u16, usize, usize));

impl Codec {
    /// One that heeds uwsgi, too, or not.
    pub fn new(uwsgi: bool) -> Codec {
        if uwsgi {
            Codec::Undecided
        } else {
            Codec::FastCgi(Records::default())
        }
    }

    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Piece<'a>>), Fault> {
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
                .map(|(used, piece)| (used, piece.map(Piece::FastCgi))),
            Codec::Uwsgi(request) => request
                .next(input)
                .map(|(used, piece)| (used, piece.map(Piece::Uwsgi))),
        }
    }

    /// Whether something has begun and not come to its end.
    pub fn within(&self) -> bool {
        match self {
            Codec::Undecided => false,
            Codec::FastCgi(records) => records.is_partial(),
            Codec::Uwsgi(request) => request.is_partial(),
        }
    }

    pub fn pairs<'a>(&self, bytes: &'a [u8]) -> Result<Vec<fastcgi::Pair<'a>>, Bad> {
        let pairs = match self {
            Codec::Uwsgi(_) => uwsgi::pairs(bytes),
            _ => fastcgi::pairs(bytes),
        };
        pairs.map_err(|fault| Bad::new(400, fault.to_string()))
    }

    /// Writes one whole answer; whether the connection is kept after it.
    pub fn answer(&self, out: &mut Ring, id: u16, keep: bool, head: &str, body: &[u8]) -> bool {
        match self {
            Codec::Uwsgi(_) => {
                uwsgi::write_answer(out, head, body);
                false
            }
            _ => {
                fastcgi::write_answer(out, id, head, body);
                keep
            }
        }
    }

    /// Turns one away before anything of it is looked at: as many are in hand as there may be. Whether the connection is kept.
    pub fn overloaded(&self, out: &mut Ring, id: u16, head: &str) -> bool {
        match self {
            Codec::Uwsgi(_) => self.answer(out, id, false, head, b""),
            _ => {
                fastcgi::write_end(out, id, Status::Overloaded);
                true
            }
        }
    }

    pub fn state(&self) -> State {
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

    /// One that goes on from where another stood.
    pub fn resumed((front, state): State, uwsgi: bool) -> Codec {
        match front {
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
