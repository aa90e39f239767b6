//! Reading one gossip message from a connection.

use std::io;

use merlinshelf_gossip::Message;
use merlinshelf_protocol::gossip::{MAX_MESSAGE_BYTES, MessageKind, MessageReader};
use tokio::io::{AsyncRead, AsyncReadExt};

const READ_BYTES: usize = 4096;

/// What a peer sent wrongly.
#[derive(Debug, thiserror::Error)]
pub(super) enum MessageError {
    #[error("{0}")]
    Malformed(&'static str),
    #[error("it does not end")]
    TooLong,
    #[error("it asks instead of answering")]
    PollInsteadOfAnswer,
    #[error("it answers without being asked")]
    AnswerInsteadOfPoll,
}

impl From<MessageError> for io::Error {
    fn from(error: MessageError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Reads one message. The time that it may take is its caller's.
///
/// # Errors
/// The connection's, or what is wrong with the message.
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
