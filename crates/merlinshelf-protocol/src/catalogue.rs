//! Downstream calls to the catalogue: each `invoke` request receives one reply. Closing the
//! connection cancels its calls.

use winnow::ascii::dec_uint;
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

use crate::{
    Buffer, Bytes, CALL_ID_DIGITS, CallId, Fault, MAX_BODY_BYTES, MAX_LINE_BYTES, Parsed, body,
    call_id, has_line_end, line, parse_front, parse_line, write_with_body,
};

/// Maximum length of a reply line: an id, an outcome and a length.
const MAX_REPLY_LINE_BYTES: usize = 64;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// The call's result.
    Succeeded(&'a [u8]),
    /// The call was rejected and did not run.
    Overload,
    /// The call failed; it may have had side effects.
    Internal,
    /// The call's deadline passed or its run has ended; it may have had side effects.
    Deadline,
    /// No run waits for the call; it did not run.
    Stale,
}

/// Reads the reply at the front of `input` with the id of its call.
///
/// # Errors
/// The input is not a prefix of a valid reply.
pub fn read_reply(input: &[u8]) -> Parsed<(CallId, Reply<'_>)> {
    parse_front(
        input,
        MAX_LINE_BYTES + MAX_BODY_BYTES,
        Fault("malformed call reply"),
        reply,
    )
}

fn reply<'i>(input: &mut Bytes<'i>) -> ModalResult<(CallId, Reply<'i>)> {
    // Rejects input that does not start with an id, or a line that is too long, without waiting for
    // more input.
    let received = &input[..input.len().min(MAX_REPLY_LINE_BYTES)];
    let id = &received[..received.len().min(CALL_ID_DIGITS)];
    let is_too_long = received.len() == MAX_REPLY_LINE_BYTES && !has_line_end(received);
    if is_too_long || !id.iter().all(u8::is_ascii_hexdigit) {
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

/// The outcome in the line of a reply.
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

/// Writes a call that the catalogue answers within `wait_ms` milliseconds or not at all.
pub fn write_invoke(out: &mut impl Buffer, id: CallId, wait_ms: u64, body: &[u8]) {
    let length = body.len();
    write_with_body(
        out,
        format_args!("invoke {id} {wait_ms} {length}\r\n"),
        body,
    );
}
