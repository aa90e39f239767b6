//! Downstream calls: `invoke` out, one reply for each call back. A call is given up by closing its
//! connection.

use winnow::ascii::dec_uint;
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

use crate::{
    Buffer, Bytes, CALL_ID_DIGITS, CallId, Fault, MAX_BODY_BYTES, MAX_LINE_BYTES, Parsed, body,
    call_id, has_line_end, line, parse_front, parse_line, write_with_body,
};

/// The longest line of a reply: an id, a word and a length.
const MAX_REPLY_LINE_BYTES: usize = 64;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// Its result.
    Succeeded(&'a [u8]),
    /// Rejected: it never ran.
    Overload,
    /// It may have had its effect.
    Internal,
    /// Its deadline passed, or its run has ended; it may have had its effect.
    Deadline,
    /// No run waits for it: it never ran.
    Stale,
}

/// Reads one reply off the front, with the id of its call.
///
/// # Errors
/// The bytes can't become a reply.
pub fn read_reply(input: &[u8]) -> Parsed<(CallId, Reply<'_>)> {
    parse_front(
        input,
        MAX_LINE_BYTES + MAX_BODY_BYTES,
        Fault("unreadable reply"),
        reply,
    )
}

fn reply<'i>(input: &mut Bytes<'i>) -> ModalResult<(CallId, Reply<'i>)> {
    // What begins with no id, or has no end where one must be, is not waited for.
    let received = &input[..input.len().min(MAX_REPLY_LINE_BYTES)];
    let id = &received[..received.len().min(CALL_ID_DIGITS)];
    let is_endless = received.len() == MAX_REPLY_LINE_BYTES && !has_line_end(received);
    if is_endless || !id.iter().all(u8::is_ascii_hexdigit) {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    let text = line(input)?;
    let (id, outcome) = parse_line(text, (terminated(call_id, " "), outcome))?;
    let reply = match outcome {
        Outcome::Succeeded { length } => Reply::Succeeded(body(length)(input)?),
        Outcome::Failed(reply) => reply,
    };
    Ok((id, reply))
}

/// What the line of a reply says.
#[derive(Clone)]
enum Outcome {
    /// A body of this length follows.
    Succeeded {
        length: usize,
    },
    Failed(Reply<'static>),
}

fn outcome(input: &mut &[u8]) -> ModalResult<Outcome> {
    alt((
        preceded("ok ", dec_uint).map(|length| Outcome::Succeeded { length }),
        "overload".value(Outcome::Failed(Reply::Overload)),
        "internal".value(Outcome::Failed(Reply::Internal)),
        "deadline".value(Outcome::Failed(Reply::Deadline)),
        "stale".value(Outcome::Failed(Reply::Stale)),
    ))
    .parse_next(input)
}

/// Writes a call that is answered within `wait_ms` milliseconds or not at all.
pub fn write_invoke(out: &mut impl Buffer, id: CallId, wait_ms: u64, body: &[u8]) {
    let length = body.len();
    write_with_body(
        out,
        format_args!("invoke {id} {wait_ms} {length}\r\n"),
        body,
    );
}
