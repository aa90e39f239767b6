//! What is asked over the control socket.

use merlinshelf_handover::Successor;
use merlinshelf_handover::predecessor::{Action, Progress};
use merlinshelf_protocol::control::ControlMessage as ControlWord;
use serde_json::json;
use tokio::sync::mpsc::UnboundedSender;

use super::{Process, VERSION};
use crate::control::PendingRequest;
use crate::counters;
use crate::learning::Learning;

impl Process {
    pub(super) fn asked_for(&mut self, asked: PendingRequest) {
        match asked {
            PendingRequest::Status(reply) => _ = reply.send(self.status()),
            PendingRequest::Drain(reply) => {
                let before = self.leaving.is_some();
                let status = self.told_to_leave();
                let said = if before {
                    "it was leaving already"
                } else {
                    "told to leave"
                };
                let _ = reply.send(json!({
                    "told": !before, "text": said, "stop_ms": self.config.drain_timeout.as_millis() as u64, "status": status,
                }));
            }
            PendingRequest::Knowledge(reply) => {
                _ = reply.send(self.learning.as_ref().map(Learning::knowledge));
            }
            PendingRequest::Fleet(_, reply) => {
                _ = reply.send((
                    ControlWord::Refused,
                    json!({ "text": "an instance listens here, not an agent" }),
                ));
            }
            PendingRequest::Policy(beat, reply) => {
                let exchange = match (&self.instance, &self.waiting) {
                    (Some(instance), _) => Some(instance.exchange.clone()),
                    (None, Some(waiting)) => Some(waiting.exchange.clone()),
                    (None, None) => None,
                };
                if exchange.is_none() && self.operator.policy.is_some() {
                    return; // frozen for a successor: unanswered, which is no refusal
                }
                _ = reply.send(
                    exchange.and_then(|exchange| exchange.borrow_mut().handle_heartbeat(*beat)),
                );
            }
            PendingRequest::Forget(origin, reply) => {
                _ = reply.send(
                    self.learning
                        .as_mut()
                        .map(|learning| learning.forget(origin.as_deref())),
                );
            }
            PendingRequest::Upgrade(progress) => {
                let lacking = self.lacking();
                let before = self.asked.replace(progress);
                self.keeper.start_upgrade(self.now(), lacking);
                if let (true, Some(before)) = (self.guard.is_some(), before) {
                    // The one under way is still told; the new one hears that it is turned down.
                    self.refuse_second(before);
                }
            }
        }
    }

    /// Turns down who asked second, and goes on telling who asked first.
    fn refuse_second(&mut self, first: UnboundedSender<Progress>) {
        while let Some(step) = self.keeper.poll_action() {
            if let (Action::Report(progress), Some(second)) = (step, self.asked.take()) {
                let _ = second.send(progress);
            }
        }
        self.asked = Some(first);
    }

    /// Why there is no room for a second process beside this one, where there is none.
    fn lacking(&self) -> Option<String> {
        if self.waiting.is_some() {
            return Some("it waits to hear which policy holds".into());
        }
        let Some(upgrade) = &self.operator.upgrade else {
            return Some("upgrades are off: the operators' file has no `upgrade`".into());
        };
        if self.heir.as_ref().is_some_and(Successor::is_recording) {
            return Some("it has only just taken over and is still watched".into());
        }
        if self.leaving.is_some() {
            return Some("it is leaving".into());
        }
        let (memory_kb, open) = counters::in_use();
        let descriptors = upgrade.descriptors.unwrap_or(self.config.sockets as u64);
        let needed = 2 * open + 16;
        if needed > descriptors {
            return Some(format!(
                "two processes need {needed} descriptors, and {descriptors} may be used"
            ));
        }
        let memory_mb = upgrade.memory_mb.unwrap_or(self.config.memory_mb);
        // The second one, its image twice, and what is noted between two beats.
        let needed_mb = (2 * memory_kb + 8 * 1024) / 1024;
        if needed_mb > memory_mb {
            return Some(format!(
                "two processes need {needed_mb} MB, and {memory_mb} may be used"
            ));
        }
        None
    }

    fn status(&self) -> serde_json::Value {
        let (memory_kb, descriptors) = counters::in_use();
        let exchange = self
            .instance
            .as_ref()
            .map(|instance| instance.exchange.borrow());
        let state = match &self.heir {
            Some(heir) if heir.is_recording() => "watched",
            _ if self.leaving.is_some() => "leaving",
            _ if self.waiting.is_some() => "waiting",
            _ => self.keeper.state_name(),
        };
        json!({
            "name": self.config.name,
            "version": VERSION,
            "process": std::process::id(),
            "state": state,
            "predecessor": self.predecessor,
            "up_ms": self.began.elapsed().as_millis() as u64,
            "healthy": exchange.as_ref().map(|exchange| exchange.is_healthy()),
            "in_hand": exchange.as_ref().map(|exchange| exchange.in_flight()),
            "connections": exchange.as_ref().map(|exchange| exchange.open_connections()),
            "run_ms": exchange.as_ref().and_then(|exchange| exchange.run_ms()),
            "memory_kb": memory_kb,
            "descriptors": descriptors,
            "learning": self.learning.as_ref().map(Learning::status),
            "dependencies": self.routing.as_ref().map(|routing| routing.borrow().report()),
            "policy": exchange.as_ref().and_then(|exchange| exchange.policy_status()).map(|said| json!({
                "acts": said.effective_version, "left_s": said.lease_remaining_seconds, "fenced": said.fenced_version, "knows": said.known_versions,
                "unfit": said.rejected_version, "base": format!("{:016x}", said.base_fingerprint),
            })),
            "budgets": exchange.as_ref().and_then(|exchange| exchange.quota_report()),
            "counters": exchange.as_ref().map(|exchange| exchange.counters.by_name()),
        })
    }
}
