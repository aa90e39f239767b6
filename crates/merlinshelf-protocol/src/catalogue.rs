//! Calls below: `invoke` out, one reply for each call back. A call is given up by closing its connection.

use winnow::ascii::dec_uint;
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

use crate::{
    BODY_MOST, Buffer, Bytes, CallId, Fault, Front, LINE_MOST, body, call_id, front, line, put,
    within,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    Succeeded(&'a [u8]),
    /// Turned away: it never ran.
    Overload,
    /// It may have had its effect.
    Internal,
    /// Out of time, or its run has ended; it may have had its effect.
    Deadline,
    /// No run waits for it: it never ran.
    Stale,
}

/// Reads one reply off the front: whose it is and what it says, and its length.
pub fn reply(input: &[u8]) -> Front<(CallId, Reply<'_>)> {
    front(
        input,
        LINE_MOST + BODY_MOST,
        Fault("unreadable reply"),
        whole,
    )
}

/// The longest line of a reply is far shorter: an id, a word and a length.
const REPLY_LINE_MOST: usize = 64;

fn whole<'i>(input: &mut Bytes<'i>) -> ModalResult<(CallId, Reply<'i>)> {
    // What begins with no id, or has no end where one must be, is not waited for.
    let come = &input[..input.len().min(REPLY_LINE_MOST)];
    let id = &come[..come.len().min(16)];
    let endless = come.len() == REPLY_LINE_MOST && !come.windows(2).any(|two| two == b"\r\n");
    if endless || !id.iter().all(u8::is_ascii_hexdigit) {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    let text = line(input)?;
    let (id, word, length) = within(text, words)?;
    match length {
        Some(length) => Ok((id, Reply::Succeeded(body(length)(input)?))),
        None => Ok((id, word)),
    }
}

fn words<'i>(input: &mut &'i [u8]) -> ModalResult<(CallId, Reply<'i>, Option<usize>)> {
    let word = alt((
        preceded("ok ", dec_uint).map(|length| (Reply::Succeeded(b""), Some(length))),
        "overload".value((Reply::Overload, None)),
        "internal".value((Reply::Internal, None)),
        "deadline".value((Reply::Deadline, None)),
        "stale".value((Reply::Stale, None)),
    ));
    let (id, (reply, length)) = (terminated(call_id, " "), word).parse_next(input)?;
    Ok((id, reply, length))
}

pub fn invoke(out: &mut impl Buffer, id: CallId, wait_ms: u64, body: &[u8]) {
    put(
        out,
        format_args!("invoke {id} {wait_ms} {}\r\n", body.len()),
        Some(body),
    );
}
