//! Calls below: `invoke` and `cancel` out, one reply for each call back.

use winnow::ascii::dec_uint;
use winnow::combinator::{alt, preceded, terminated};
use winnow::{ModalResult, Parser};

use crate::{
    BODY_MOST, Buffer, Bytes, CallId, Fault, Front, LINE_MOST, body, call_id, front, line, put, within,
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
    front(input, LINE_MOST + BODY_MOST, Fault("unreadable reply"), whole)
}

fn whole<'i>(input: &mut Bytes<'i>) -> ModalResult<(CallId, Reply<'i>)> {
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
    put(out, format_args!("invoke {id} {wait_ms} {}\r\n", body.len()), Some(body));
}

pub fn cancel(out: &mut impl Buffer, id: CallId) {
    put(out, format_args!("cancel {id}\r\n"), None);
}
