//! One question over a control socket, and what is said to it.

use std::io;
use std::path::Path;
use std::time::Duration;

use merlinshelf_protocol::control::{self, ControlMessage, ControlRequest, PROTOCOL_VERSION};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::runtime::{Builder, Runtime};
use tokio::time::timeout;

/// Who listens takes a question at once, however long its answer takes.
const TAKEN_WITHIN: Duration = Duration::from_secs(10);

/// A question under way.
pub struct Talk {
    stream: UnixStream,
    come: Vec<u8>,
    patience: Duration,
}

impl Talk {
    /// Asks; each word is waited for as long as `patience`.
    ///
    /// # Errors
    /// Nobody listens there, or does not take the question.
    pub async fn ask(
        socket: &Path,
        question: ControlRequest,
        body: &Value,
        patience: Duration,
    ) -> io::Result<Talk> {
        let ask = async {
            let mut stream = UnixStream::connect(socket).await?;
            let mut bytes: Vec<u8> = Vec::new();
            control::ask(&mut bytes, question, body.to_string().as_bytes());
            stream.write_all(&bytes).await?;
            Ok::<_, io::Error>(stream)
        };
        let stream = timeout(patience.min(TAKEN_WITHIN), ask).await??;
        Ok(Talk {
            stream,
            come: Vec::new(),
            patience,
        })
    }

    /// The next word and its report.
    ///
    /// # Errors
    /// It ended, said nothing in time, or something else.
    pub async fn next(&mut self) -> io::Result<(ControlMessage, Value)> {
        loop {
            match control::word(&self.come) {
                Ok(Some(((form, word, body), count))) => {
                    if form != PROTOCOL_VERSION {
                        let text =
                            format!("it speaks form {form}, this program form {PROTOCOL_VERSION}");
                        return Err(io::Error::other(text));
                    }
                    let report = serde_json::from_slice(body)?;
                    self.come.drain(..count);
                    return Ok((word, report));
                }
                Ok(None) => {}
                Err(fault) => return Err(io::Error::other(fault.0)),
            }
            if timeout(self.patience, self.stream.read_buf(&mut self.come)).await?? == 0 {
                let text = "it closed the connection without its last word";
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
            }
        }
    }

    /// One question with one answer.
    ///
    /// # Errors
    /// As of `ask` and `next`.
    pub async fn once(
        socket: &Path,
        question: ControlRequest,
        patience: Duration,
    ) -> io::Result<(ControlMessage, Value)> {
        Talk::ask(socket, question, &json!({}), patience)
            .await?
            .next()
            .await
    }
}

/// The same where nothing else goes on meanwhile.
pub struct Blocking {
    runtime: Runtime,
    talk: Talk,
}

impl Blocking {
    /// # Errors
    /// As of [`Talk::ask`].
    pub fn ask(
        socket: &Path,
        question: ControlRequest,
        body: &Value,
        patience: Duration,
    ) -> io::Result<Blocking> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let talk = runtime.block_on(Talk::ask(socket, question, body, patience))?;
        Ok(Blocking { runtime, talk })
    }

    /// # Errors
    /// As of [`Talk::next`].
    pub fn hear(&mut self) -> io::Result<(ControlMessage, Value)> {
        self.runtime.block_on(self.talk.next())
    }
}
