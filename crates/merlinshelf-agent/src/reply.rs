//! Where the replies to a control request go.

use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;

/// The sender of the replies to one request. A client that has disconnected receives nothing, which
/// is no error here.
#[derive(Clone)]
pub(crate) struct ReplySender(UnboundedSender<(ControlMessage, Value)>);

impl ReplySender {
    /// Around the channel of a request.
    pub fn new(sender: UnboundedSender<(ControlMessage, Value)>) -> ReplySender {
        ReplySender(sender)
    }

    /// Whether the client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// A part of the reply.
    pub fn more(&self, body: Value) {
        self.send(ControlMessage::More, body);
    }

    /// The last reply: the request was carried out.
    pub fn done(&self, body: Value) {
        self.send(ControlMessage::Done, body);
    }

    /// The last reply: the request was begun and has failed.
    pub fn failed(&self, body: Value) {
        self.send(ControlMessage::Failed, body);
    }

    /// The last reply: the request was not begun.
    pub fn rejected(&self, text: impl Into<String>) {
        self.send(ControlMessage::Refused, json!({ "text": text.into() }));
    }

    /// Any reply.
    pub fn send(&self, message: ControlMessage, body: Value) {
        let _ = self.0.send((message, body));
    }
}
