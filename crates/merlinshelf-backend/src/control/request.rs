//! Requests that a process or an agent answers.

use merlinshelf_handover::predecessor::Progress;
use merlinshelf_policy::{Heartbeat, InstanceStatus};
use merlinshelf_protocol::control::ControlMessage;
use serde_json::Value;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// A request, and where its response goes. A request that is dropped ends its connection without a
/// response.
pub enum PendingRequest {
    /// The status report.
    Status(oneshot::Sender<Value>),
    /// Begin the graceful shutdown.
    Drain(oneshot::Sender<Value>),
    /// Upgrade to a successor; the progress up to its end.
    Upgrade(UnboundedSender<Progress>),
    /// All observations, in pages; `None` where gossip is off.
    Knowledge(oneshot::Sender<Option<Vec<Value>>>),
    /// Forget the observations of this source, or all; how many these were, `None` where gossip is
    /// off.
    Forget(Option<String>, oneshot::Sender<Option<usize>>),
    /// A heartbeat of the host's agent; `None` where policies are off.
    Policy(Box<Heartbeat>, oneshot::Sender<Option<InstanceStatus>>),
    /// A request to an agent; its responses, of which all but the last are `More`.
    Fleet(Value, UnboundedSender<(ControlMessage, Value)>),
}
