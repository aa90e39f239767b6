//! Reads one gossip message from a connection.

use std::io;

use merlinshelf_gossip::Message;
use merlinshelf_protocol::gossip::{MAX_MESSAGE_BYTES, MessageKind, MessageReader};
use tokio::io::{AsyncRead, AsyncReadExt};

const READ_BYTES: usize = 4096;

/// Why a peer's message can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum MessageError {
    #[error("{0}")]
    Malformed(&'static str),
    #[error("the message is too long")]
    TooLong,
    #[error("a poll was received instead of an answer")]
    PollInsteadOfAnswer,
    #[error("an answer was received instead of a poll")]
    AnswerInsteadOfPoll,
}

impl From<MessageError> for io::Error {
    fn from(error: MessageError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Reads one message, without a timeout of its own.
///
/// # Errors
/// The connection fails, or the message is invalid.
pub(super) async fn read_message(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<(MessageKind, Message)> {
    let mut reader = MessageReader::default();
    let mut unread = Vec::new();
    let mut total_bytes = 0;
    loop {
        let mut buffer = [0; READ_BYTES];
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        unread.extend(&buffer[..count]);
        total_bytes += count;
        let read = reader.read(&unread);
        let (used, message) = read.map_err(|fault| MessageError::Malformed(fault.0))?;
        unread.drain(..used);
        if let Some(message) = message {
            return Ok(message);
        }
        if total_bytes > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong.into());
        }
    }
}
