//! Sender of the replies to a control request.

use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;

/// Sends the replies to one request. Replies to a client that has disconnected are dropped without
/// an error.
#[derive(Clone)]
pub(crate) struct ReplySender(UnboundedSender<(ControlMessage, Value)>);

impl ReplySender {
    /// Wraps the channel of a request.
    pub fn new(sender: UnboundedSender<(ControlMessage, Value)>) -> ReplySender {
        ReplySender(sender)
    }

    /// Whether the client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends a part of the reply.
    pub fn more(&self, body: Value) {
        self.send(ControlMessage::More, body);
    }

    /// Sends the last reply: the request was carried out.
    pub fn done(&self, body: Value) {
        self.send(ControlMessage::Done, body);
    }

    /// Sends the last reply: the request was started and has failed.
    pub fn failed(&self, body: Value) {
        self.send(ControlMessage::Failed, body);
    }

    /// Sends the last reply: the request was not started.
    pub fn rejected(&self, text: impl Into<String>) {
        self.send(ControlMessage::Refused, json!({ "text": text.into() }));
    }

    /// Sends a reply of any kind.
    pub fn send(&self, message: ControlMessage, body: Value) {
        let _ = self.0.send((message, body));
    }
}
