//! Lines of words on a stream, with a body where the last word is a length.

use std::io;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// What somebody asks of a server below.
pub struct Call {
    pub id: String,
    /// How long it is waited for, milliseconds, as it was written.
    pub wait: String,
    pub body: Vec<u8>,
    /// Its whole first line.
    pub line: String,
}

pub struct LineReader<R>(BufReader<R>);

impl<R: AsyncRead + Unpin> LineReader<R> {
    pub fn new(stream: R) -> LineReader<R> {
        LineReader(BufReader::new(stream))
    }

    /// What carries the lines, to look for its end.
    pub fn inner(&mut self) -> &mut BufReader<R> {
        &mut self.0
    }

    /// The next line without its end; none at the end of the stream.
    pub async fn read_line(&mut self) -> io::Result<Option<String>> {
        let mut text = String::new();
        let count = self.0.read_line(&mut text).await?;
        Ok((count > 0).then(|| text.trim_end().to_owned()))
    }

    /// So many bytes, and the line end behind them.
    pub async fn read_body(&mut self, length: &str) -> io::Result<Vec<u8>> {
        let length: usize = length.parse().map_err(io::Error::other)?;
        let mut bytes = vec![0; length + 2];
        self.0.read_exact(&mut bytes).await?;
        bytes.truncate(length);
        Ok(bytes)
    }

    /// The next call with its body; none at the end of the stream.
    pub async fn read_call(&mut self) -> io::Result<Option<Call>> {
        let Some(line) = self.read_line().await? else {
            return Ok(None);
        };
        let ["invoke", id, wait, length] = line.split(' ').collect::<Vec<_>>()[..] else {
            return Err(io::Error::other(format!("no call: {line}")));
        };
        let body = self.read_body(length).await?;
        Ok(Some(Call {
            id: id.to_owned(),
            wait: wait.to_owned(),
            body,
            line,
        }))
    }

    /// So many bytes with nothing behind them.
    pub async fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).await?;
        Ok(bytes)
    }
}
