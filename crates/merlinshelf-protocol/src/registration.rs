//! Reports to the membership service, in the subset of HTTP/1.1 that they need.

use winnow::ascii::{Caseless, dec_uint, digit1, space0};
use winnow::combinator::{alt, delimited, preceded, terminated};
use winnow::token::{rest, take, take_until, take_while};
use winnow::{ModalResult, Parser};

use crate::{
    Buffer, Bytes, Fault, MAX_BODY_BYTES, MAX_LINE_BYTES, Parsed, line, parse_front, parse_line,
    write_line,
};

/// Maximum number of header lines in a response.
const MAX_HEADERS: usize = 64;
/// Responses with this status have no body, and neither do those below `FIRST_FINAL_STATUS`.
const NO_CONTENT: u16 = 204;
const FIRST_FINAL_STATUS: u16 = 200;

/// The phase that an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The instance accepts requests.
    Up,
    /// The instance is shutting down.
    Out,
}

/// Writes the report of an instance's phase.
pub fn write_report(out: &mut impl Buffer, host: &str, name: &str, phase: Phase) {
    let body = match phase {
        Phase::Up => r#"{"phase":"UP"}"#,
        Phase::Out => r#"{"phase":"OUT"}"#,
    };
    let length = body.len();
    let request = format_args!(
        "PUT /members/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    write_line(out, request);
}

/// The parts of a response that the caller needs; the body is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the connection can be used for the next report.
    pub is_reusable: bool,
}

/// Reads the response at the front of `input` and skips its body.
///
/// # Errors
/// The input is not a prefix of a valid response.
pub fn read_response(input: &[u8]) -> Parsed<Response> {
    parse_front(
        input,
        MAX_HEADERS * MAX_LINE_BYTES + MAX_BODY_BYTES,
        Fault("malformed HTTP response"),
        response,
    )
}

fn response(input: &mut Bytes) -> ModalResult<Response> {
    let (minor_version, status) = parse_line(line(input)?, status_line)?;
    let mut content_length = None;
    let mut is_chunked = false;
    let mut is_reusable = minor_version == b"1";
    for _ in 0..MAX_HEADERS {
        let text = line(input)?;
        if text.is_empty() {
            break;
        }
        match parse_line(text, header)? {
            Header::ContentLength(bytes) => content_length = Some(bytes),
            Header::Chunked => is_chunked = true,
            Header::Close => is_reusable = false,
            Header::Other => {}
        }
    }
    if is_chunked {
        is_reusable = false; // the chunked body is not read, so the connection cannot be reused
    } else if status != NO_CONTENT && status >= FIRST_FINAL_STATUS {
        let body_bytes = content_length.unwrap_or(0).min(MAX_BODY_BYTES);
        take(body_bytes).void().parse_next(input)?;
        is_reusable &= content_length.is_some_and(|length| length <= MAX_BODY_BYTES);
    }
    Ok(Response {
        status,
        is_reusable,
    })
}

/// Parses the minor HTTP version and the status code.
fn status_line<'i>(input: &mut &'i [u8]) -> ModalResult<(&'i [u8], u16)> {
    let minor_version = delimited("HTTP/1.", digit1, " ");
    let status = take_while(3, b'0'..=b'9').and_then(dec_uint::<_, u16, _>);
    terminated((minor_version, status), rest).parse_next(input)
}

#[derive(Clone)]
enum Header {
    ContentLength(usize),
    Chunked,
    Close,
    Other,
}

fn header(input: &mut &[u8]) -> ModalResult<Header> {
    let content_length = preceded(
        (Caseless("content-length:"), space0),
        terminated(dec_uint, space0),
    );
    let chunked = (Caseless("transfer-encoding:"), rest);
    let close = (Caseless("connection:"), space0, Caseless("close"), space0);
    alt((
        content_length.map(Header::ContentLength),
        chunked.value(Header::Chunked),
        close.value(Header::Close),
        (take_until(1.., ":"), rest).value(Header::Other),
    ))
    .parse_next(input)
}
