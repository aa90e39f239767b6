//! Reports to the membership service: HTTP/1.1, as far as one kind of call needs it.

use winnow::ascii::{Caseless, dec_uint, digit1, space0};
use winnow::combinator::{alt, delimited, preceded, terminated};
use winnow::token::{rest, take, take_until, take_while};
use winnow::{ModalResult, Parser};

use crate::{BODY_MOST, Buffer, Bytes, Fault, Front, LINE_MOST, front, line, put, within};

/// More header lines than this are no answer of this service.
const HEADERS_MOST: usize = 64;

pub fn report(out: &mut impl Buffer, host: &str, name: &str, up: bool) {
    let body = if up {
        r#"{"phase":"UP"}"#
    } else {
        r#"{"phase":"OUT"}"#
    };
    let length = body.len();
    let head = format_args!(
        "PUT /members/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    put(out, head, None);
}

/// What came back: the status, and whether the connection may carry the next report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub keep: bool,
}

/// Reads one answer off the front, its body passed over.
pub fn answer(input: &[u8]) -> Front<Answer> {
    front(
        input,
        HEADERS_MOST * LINE_MOST + BODY_MOST,
        Fault("unreadable answer"),
        whole,
    )
}

fn whole(input: &mut Bytes) -> ModalResult<Answer> {
    let (minor, status) = within(line(input)?, status_line)?;
    let (mut length, mut chunked, mut keep) = (None, false, minor == b"1");
    for _ in 0..HEADERS_MOST {
        let text = line(input)?;
        if text.is_empty() {
            break;
        }
        match within(text, header)? {
            Header::Length(bytes) => length = Some(bytes),
            Header::Chunked => chunked = true,
            Header::Close => keep = false,
            Header::Other => {}
        }
    }
    if chunked {
        keep = false; // the rest of it is left unread with the connection
    } else if status != 204 && status >= 200 {
        take(length.unwrap_or(0).min(BODY_MOST))
            .void()
            .parse_next(input)?;
        keep &= length.is_some_and(|length| length <= BODY_MOST);
    }
    Ok(Answer { status, keep })
}

fn status_line<'i>(input: &mut &'i [u8]) -> ModalResult<(&'i [u8], u16)> {
    let minor = delimited("HTTP/1.", digit1, " ");
    let status = take_while(3, b'0'..=b'9').and_then(dec_uint::<_, u16, _>);
    terminated((minor, status), rest).parse_next(input)
}

#[derive(Clone)]
enum Header {
    Length(usize),
    Chunked,
    Close,
    Other,
}

fn header(input: &mut &[u8]) -> ModalResult<Header> {
    let length = preceded(
        (Caseless("content-length:"), space0),
        terminated(dec_uint, space0),
    );
    let chunked = (Caseless("transfer-encoding:"), rest);
    let close = (Caseless("connection:"), space0, Caseless("close"), space0);
    alt((
        length.map(Header::Length),
        chunked.value(Header::Chunked),
        close.value(Header::Close),
        (take_until(1.., ":"), rest).value(Header::Other),
    ))
    .parse_next(input)
}
