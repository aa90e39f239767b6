//! A client's connection: one request and its responses.

use std::io;
use std::time::Duration;

use log::warn;
use merlinshelf_handover::predecessor::Progress;
use merlinshelf_protocol::control::{self, ControlMessage, ControlRequest, PROTOCOL_VERSION};
use serde_json::{Value, json};
use tokio::net::UnixStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::PendingRequest;

/// A request must be received complete, and a response be read, within this.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest upgrade has a probation of an hour.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(2 * 3600);
/// The longest request is a heartbeat with a policy.
const MAX_REQUEST_BYTES: usize = 48 * 1024;
/// The maximum size of one read.
const READ_CHUNK_BYTES: usize = 1024;

const POLICY_OFF: &str = "policies are off: the operators' file has no `policy`";
const GOSSIP_OFF: &str = "learning is off: the operators' file has no `learning`";

/// The connection of one client.
pub(super) struct Connection {
    stream: UnixStream,
    requests: UnboundedSender<PendingRequest>,
}

struct Request {
    version: u32,
    kind: ControlRequest,
    body: Vec<u8>,
}

impl Connection {
    /// A connection that was just accepted.
    pub(super) fn new(stream: UnixStream, requests: UnboundedSender<PendingRequest>) -> Connection {
        Connection { stream, requests }
    }

    /// Answers one request.
    ///
    /// # Errors
    /// The client has disconnected or hangs, or the process ends.
    pub(super) async fn serve(&self) -> io::Result<()> {
        let request = match timeout(MESSAGE_TIMEOUT, self.read_request()).await? {
            Ok(request) => request,
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                return self.fail(&error.to_string()).await;
            }
            Err(error) => return Err(error),
        };
        if request.version != PROTOCOL_VERSION {
            let version = request.version;
            let text = format!("form {version} is not spoken here, form {PROTOCOL_VERSION} is");
            return self.fail(&text).await;
        }
        match request.kind {
            ControlRequest::Status => self.respond_once(PendingRequest::Status).await,
            ControlRequest::Drain => self.respond_once(PendingRequest::Drain).await,
            ControlRequest::Knowledge => self.knowledge().await,
            ControlRequest::Fleet => self.fleet(&request.body).await,
            ControlRequest::Policy => self.policy(&request.body).await,
            // Agents exchange these messages on their own listener only.
            ControlRequest::Consensus => self.refuse("no agent listens here").await,
            ControlRequest::Forget => self.forget(&request.body).await,
            ControlRequest::Upgrade => self.upgrade().await,
        }
    }

    /// Passes the request on and waits for its response.
    async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> PendingRequest,
    ) -> io::Result<T> {
        let (sender, response) = oneshot::channel();
        self.submit(request(sender))?;
        response.await.map_err(|_| process_ends())
    }

    fn submit(&self, request: PendingRequest) -> io::Result<()> {
        self.requests.send(request).map_err(|_| process_ends())
    }

    async fn respond_once(
        &self,
        request: impl FnOnce(oneshot::Sender<Value>) -> PendingRequest,
    ) -> io::Result<()> {
        let response = self.request(request).await?;
        self.send(ControlMessage::Done, &response).await
    }

    async fn knowledge(&self) -> io::Result<()> {
        let Some(pages) = self.request(PendingRequest::Knowledge).await? else {
            return self.refuse(GOSSIP_OFF).await;
        };
        for page in &pages {
            self.send(ControlMessage::More, page).await?;
        }
        let summary = json!({ "pages": pages.len() });
        self.send(ControlMessage::Done, &summary).await
    }

    async fn fleet(&self, body: &[u8]) -> io::Result<()> {
        let body = decode_body(body);
        let (sender, responses) = unbounded_channel();
        self.submit(PendingRequest::Fleet(body, sender))?;
        timeout(UPGRADE_TIMEOUT, self.forward(responses)).await?
    }

    /// Forwards all responses of an agent up to the last one.
    async fn forward(
        &self,
        mut responses: UnboundedReceiver<(ControlMessage, Value)>,
    ) -> io::Result<()> {
        while let Some((message, response)) = responses.recv().await {
            self.send(message, &response).await?;
            if message != ControlMessage::More {
                return Ok(());
            }
        }
        Err(process_ends())
    }

    async fn policy(&self, body: &[u8]) -> io::Result<()> {
        let heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.fail(&error.to_string()).await,
        };
        let request = |sender| PendingRequest::Policy(heartbeat, sender);
        match self.request(request).await? {
            Some(status) => {
                let status = serde_json::to_value(&status)?;
                self.send(ControlMessage::Done, &status).await
            }
            None => self.refuse(POLICY_OFF).await,
        }
    }

    async fn forget(&self, body: &[u8]) -> io::Result<()> {
        let source = decode_body(body)["origin"].as_str().map(str::to_owned);
        let request = |sender| PendingRequest::Forget(source, sender);
        match self.request(request).await? {
            Some(count) => {
                let summary = json!({ "forgotten": count });
                self.send(ControlMessage::Done, &summary).await
            }
            None => self.refuse(GOSSIP_OFF).await,
        }
    }

    async fn upgrade(&self) -> io::Result<()> {
        let (sender, progress) = unbounded_channel();
        self.submit(PendingRequest::Upgrade(sender))?;
        timeout(UPGRADE_TIMEOUT, self.report_progress(progress)).await?
    }

    async fn report_progress(&self, mut reports: UnboundedReceiver<Progress>) -> io::Result<()> {
        while let Some(progress) = reports.recv().await {
            let (message, stage) = encode_progress(&progress);
            let report = json!({ "stage": stage, "text": progress.to_string() });
            self.send(message, &report).await?;
            if progress.is_final() {
                break;
            }
        }
        Ok(())
    }

    async fn fail(&self, text: &str) -> io::Result<()> {
        self.send(ControlMessage::Failed, &json!({ "text": text }))
            .await
    }

    async fn refuse(&self, text: &str) -> io::Result<()> {
        self.send(ControlMessage::Refused, &json!({ "text": text }))
            .await
    }

    /// Reads until the request is complete.
    async fn read_request(&self) -> io::Result<Request> {
        let mut received = Vec::new();
        loop {
            match control::read_request(&received) {
                Ok(Some((frame, _))) => {
                    return Ok(Request {
                        version: frame.version,
                        kind: frame.message,
                        body: frame.body.to_vec(),
                    });
                }
                Ok(None) if received.len() <= MAX_REQUEST_BYTES => {}
                Ok(None) => return Err(invalid("the question is too long")),
                Err(fault) => return Err(invalid(fault.0)),
            }
            self.stream.readable().await?;
            let mut chunk = [0; READ_CHUNK_BYTES];
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => received.extend(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    async fn send(&self, message: ControlMessage, report: &Value) -> io::Result<()> {
        let mut bytes: Vec<u8> = Vec::new();
        control::write_message(&mut bytes, message, report.to_string().as_bytes());
        timeout(MESSAGE_TIMEOUT, self.write_all(&bytes)).await?
    }

    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// The kind of message of a progress report, and the name of its stage. Tools read these names, so
/// they must not change.
fn encode_progress(progress: &Progress) -> (ControlMessage, &'static str) {
    match progress {
        Progress::Starting => (ControlMessage::More, "starting"),
        Progress::Ready => (ControlMessage::More, "ready"),
        Progress::Activated => (ControlMessage::More, "took_over"),
        Progress::Completed => (ControlMessage::Done, "done"),
        Progress::Rejected(_) => (ControlMessage::Refused, "refused"),
        Progress::Aborted(_) => (ControlMessage::Failed, "given_up"),
        Progress::Recovered(_) => (ControlMessage::Failed, "taken_back"),
    }
}

/// The body of a request as JSON, `null` if it is empty. A body that can't be decoded counts as
/// empty, as in all versions of the protocol.
fn decode_body(body: &[u8]) -> Value {
    if body.is_empty() {
        return Value::Null;
    }
    match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => {
            warn!("body of a control request ignored: {error}");
            Value::Null
        }
    }
}

fn invalid(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn process_ends() -> io::Error {
    io::Error::other("the process ends")
}
