//! Reads the text protocol of the engine and the catalogue: lines of words, followed by a body if the last word is a length.

use std::io;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// A downstream call, as a server receives it.
pub struct Call {
    pub id: String,
    /// The caller's timeout in milliseconds, as text.
    pub timeout_ms: String,
    pub body: Vec<u8>,
    /// The whole first line.
    pub head: String,
}

pub struct LineReader<R>(BufReader<R>);

impl<R: AsyncRead + Unpin> LineReader<R> {
    pub fn new(stream: R) -> LineReader<R> {
        LineReader(BufReader::new(stream))
    }

    /// The underlying reader, to detect the end of the stream.
    pub fn inner(&mut self) -> &mut BufReader<R> {
        &mut self.0
    }

    /// Reads the next line without its line ending; `None` at the end of the stream.
    pub async fn read_line(&mut self) -> io::Result<Option<String>> {
        let mut text = String::new();
        let count = self.0.read_line(&mut text).await?;
        Ok((count > 0).then(|| text.trim_end().to_owned()))
    }

    /// Reads a body of `length` bytes and the line ending that follows it.
    pub async fn read_body(&mut self, length: &str) -> io::Result<Vec<u8>> {
        let length: usize = length.parse().map_err(io::Error::other)?;
        let mut bytes = vec![0; length + 2];
        self.0.read_exact(&mut bytes).await?;
        bytes.truncate(length);
        Ok(bytes)
    }

    /// Reads the next call with its body; `None` at the end of the stream.
    pub async fn read_call(&mut self) -> io::Result<Option<Call>> {
        let Some(line) = self.read_line().await? else {
            return Ok(None);
        };
        let ["invoke", id, timeout_ms, length] = line.split(' ').collect::<Vec<_>>()[..] else {
            return Err(io::Error::other(format!("not a call: {line:?}")));
        };
        let body = self.read_body(length).await?;
        Ok(Some(Call {
            id: id.to_owned(),
            timeout_ms: timeout_ms.to_owned(),
            body,
            head: line,
        }))
    }

    /// Reads exactly `length` bytes, without a line ending.
    pub async fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).await?;
        Ok(bytes)
    }
}
