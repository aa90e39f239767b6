//! Requests on the control socket. A client that disconnects before its response is not an error.

use merlinshelf_handover::predecessor::{Action, Progress};
use merlinshelf_policy::{Heartbeat, InstanceStatus};
use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::{Flow, Process};
use crate::control::PendingRequest;
use crate::exchange::Shared;
use crate::gossip::Gossip;

impl Process {
    /// Responds to a request, at once or during an upgrade.
    pub(super) fn handle_control_request(&mut self, request: PendingRequest) {
        match request {
            PendingRequest::Status(response) => {
                let _ = response.send(self.status());
            }
            PendingRequest::Drain(response) => {
                let _ = response.send(self.drain_requested());
            }
            PendingRequest::Knowledge(response) => {
                let _ = response.send(self.gossip.as_ref().map(Gossip::observation_pages));
            }
            PendingRequest::Fleet(_, response) => {
                let text = "an instance listens here, not an agent";
                let _ = response.send((ControlMessage::Refused, json!({ "text": text })));
            }
            PendingRequest::Policy(heartbeat, response) => {
                self.policy_heartbeat(*heartbeat, response);
            }
            PendingRequest::Forget(source, response) => {
                let gossip = self.gossip.as_mut();
                let _ = response
                    .send(gossip.map(|gossip| gossip.remove_observations(source.as_deref())));
            }
            PendingRequest::Upgrade(client) => self.upgrade_requested(client),
        }
    }

    /// Begins the graceful shutdown as SIGTERM does, and returns the response.
    fn drain_requested(&mut self) -> Value {
        let was_draining = self.drain.is_some();
        let status = match self.request_drain() {
            Flow::Continue => None,
            Flow::Exit(status) => Some(status),
        };
        let text = if was_draining {
            "it was leaving already"
        } else {
            "told to leave"
        };
        json!({
            "told": !was_draining,
            "text": text,
            "stop_ms": self.config.drain_timeout.as_millis() as u64,
            "status": status,
        })
    }

    /// Handles a heartbeat of the host's agent.
    fn policy_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        response: oneshot::Sender<Option<InstanceStatus>>,
    ) {
        let exchange = self.exchange();
        if exchange.is_none() && self.operator.policy.is_some() {
            // The instance is frozen for a successor. Without a response the agent retries; a refusal
            // would mean that policies are disabled.
            return;
        }
        let status =
            exchange.and_then(|exchange| exchange.borrow_mut().handle_heartbeat(heartbeat));
        let _ = response.send(status);
    }

    /// The exchange, even if the instance does not listen yet.
    fn exchange(&self) -> Option<Shared> {
        match (&self.instance, &self.startup_wait) {
            (Some(instance), _) => Some(instance.exchange.clone()),
            (None, Some(wait)) => Some(wait.exchange.clone()),
            (None, None) => None,
        }
    }

    fn upgrade_requested(&mut self, client: UnboundedSender<Progress>) {
        let unavailable = self.check_upgrade_available().err();
        let now = self.now();
        let previous_client = self.predecessor.upgrade_client.replace(client);
        self.predecessor
            .state
            .start_upgrade(now, unavailable.map(|reason| reason.to_string()));
        if let (true, Some(first)) = (self.predecessor.guard.is_some(), previous_client) {
            self.reject_second_client(first);
        }
    }

    /// An upgrade is in progress: the new client receives its rejection, and the first one all
    /// further progress.
    fn reject_second_client(&mut self, first: UnboundedSender<Progress>) {
        while let Some(action) = self.predecessor.state.poll_action() {
            let second = self.predecessor.upgrade_client.take();
            if let (Action::Report(progress), Some(second)) = (action, second) {
                let _ = second.send(progress);
            }
        }
        self.predecessor.upgrade_client = Some(first);
    }
}
