//! Requests on the control socket that a process or an agent answers.

use merlinshelf_handover::predecessor::Progress;
use merlinshelf_policy::{Heartbeat, InstanceStatus};
use merlinshelf_protocol::control::ControlMessage;
use serde_json::Value;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// A request, and the channel for its response. Dropping it closes its connection without a
/// response.
pub enum PendingRequest {
    /// The status report.
    Status(oneshot::Sender<Value>),
    /// Begin the graceful shutdown.
    Drain(oneshot::Sender<Value>),
    /// Upgrade to a successor; the responses are its progress up to the end.
    Upgrade(UnboundedSender<Progress>),
    /// All observations, in pages; `None` if gossip is off.
    Knowledge(oneshot::Sender<Option<Vec<Value>>>),
    /// Forget the observations of this source, or all; the response is their number, `None` if
    /// gossip is off.
    Forget(Option<String>, oneshot::Sender<Option<usize>>),
    /// A heartbeat of the host's agent; the response is `None` if policies are off.
    Policy(Box<Heartbeat>, oneshot::Sender<Option<InstanceStatus>>),
    /// A request to an agent; all its responses but the last are `More`.
    Fleet(Value, UnboundedSender<(ControlMessage, Value)>),
}
