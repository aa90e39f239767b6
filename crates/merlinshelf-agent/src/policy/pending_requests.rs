//! Changes and removals that an operator's tool waits for. Messages to the leader may be lost, and
//! the leader may change, so each request is resent until the replicated state shows its effect.

use merlinshelf_policy::Entry;
use merlinshelf_policy::replicated_state::{ChangeOutcome, CompletedChange};
use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};

use super::{PolicyAgent, rejection_reasons};
use crate::peer_transport::PeerMessage;
use crate::reply::ReplySender;

/// Time after which a request without an effect is resent, in seconds.
const RETRY_INTERVAL_SECONDS: f64 = 0.3;
/// Time beyond a lease after which a tool is told that the outcome is unknown, in seconds.
const REPLY_TIMEOUT_SECONDS: f64 = 4.0;

/// The stage of a change that a tool waits for.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum WaitFor {
    /// Until the change is in the log.
    Proposal,
    /// Until it is committed or rejected.
    Completion,
}

/// A change that a tool waits for.
pub(super) struct PendingChange {
    change_id: String,
    /// The entry to propose; `None` if the tool only requests the outcome.
    entry: Option<Entry>,
    reply: ReplySender,
    wait_for: WaitFor,
    requested_at: f64,
    sent_at: f64,
}

impl PendingChange {
    /// Creates a pending change, which is due to be sent to the leader immediately.
    pub fn new(
        now: f64,
        change_id: &str,
        entry: Option<Entry>,
        wait_for: WaitFor,
        reply: ReplySender,
    ) -> PendingChange {
        PendingChange {
            change_id: change_id.to_owned(),
            entry,
            reply,
            wait_for,
            requested_at: now,
            sent_at: f64::NEG_INFINITY,
        }
    }
}

/// A member whose removal a tool waits for.
pub(super) struct PendingRemoval {
    name: String,
    reply: ReplySender,
    requested_at: f64,
    sent_at: f64,
}

impl PendingRemoval {
    /// Creates a pending removal, which is due to be sent to the leader immediately.
    pub fn new(now: f64, name: String, reply: ReplySender) -> PendingRemoval {
        PendingRemoval {
            name,
            reply,
            requested_at: now,
            sent_at: f64::NEG_INFINITY,
        }
    }
}

impl PolicyAgent {
    /// Sends removals to the leader, and replies to those that are completed or timed out.
    pub(super) fn advance_pending_removals(&mut self, now: f64) {
        for mut removal in std::mem::take(&mut self.pending_removals) {
            let name = &removal.name;
            if !self.node.is_member(name) {
                removal.reply.done(json!({ "removed": name }));
                continue;
            }
            if now > removal.requested_at + REPLY_TIMEOUT_SECONDS {
                let text = format!(
                    "{name} is a member still: no majority of the others is reached, or the file of the agent that leads names it"
                );
                removal.reply.failed(json!({ "text": text }));
                continue;
            }
            if now >= removal.sent_at + RETRY_INTERVAL_SECONDS {
                removal.sent_at = now;
                self.send_to_leader(now, PeerMessage::RemoveMember(removal.name.clone()));
            }
            if !removal.reply.is_closed() {
                self.pending_removals.push(removal);
            }
        }
    }

    /// Sends changes to the leader, and replies to those that are completed or timed out.
    pub(super) fn advance_pending_changes(&mut self, now: f64, unix_seconds: f64) {
        for mut change in std::mem::take(&mut self.pending_changes) {
            if let Some((message, body)) = self.change_reply(now, &change) {
                change.reply.send(message, body);
                continue;
            }
            self.retry_proposal(now, unix_seconds, &mut change);
            if !change.reply.is_closed() {
                self.pending_changes.push(change);
            }
        }
    }

    /// The reply to a pending change, if its outcome is known or it has timed out.
    fn change_reply(&self, now: f64, pending: &PendingChange) -> Option<(ControlMessage, Value)> {
        let state = self.node.state();
        if let Some(completed) = state.outcome(&pending.change_id) {
            let message = match completed.outcome {
                ChangeOutcome::Committed => ControlMessage::Done,
                ChangeOutcome::Rejected(_) => ControlMessage::Failed,
            };
            return Some((message, completed_change_report(completed)));
        }
        let change = state
            .pending_change
            .as_ref()
            .filter(|change| change.change_id == pending.change_id);
        if let Some(change) = change
            && pending.wait_for == WaitFor::Proposal
        {
            let body =
                json!({ "number": change.version, "id": pending.change_id, "state": "proposed" });
            return Some((ControlMessage::Done, body));
        }
        let timeout_seconds = self.config.lease_ms as f64 / 1e3 + REPLY_TIMEOUT_SECONDS;
        if now > pending.requested_at + timeout_seconds {
            return Some((ControlMessage::Failed, self.unknown_outcome(pending)));
        }
        None
    }

    fn unknown_outcome(&self, pending: &PendingChange) -> Value {
        let change_id = &pending.change_id;
        let reason = if self.node.state().knows_change(change_id) {
            "it is under way"
        } else if self.node.leader().is_some() {
            "it has not come into the log yet"
        } else {
            "no majority of the agents is reached, and nothing changes without one"
        };
        let text = format!("{reason}; ask again with --id {change_id}, which is the same change");
        json!({ "text": text, "id": change_id, "state": "unknown" })
    }

    /// Proposes a change again if that is due; the change's id makes this idempotent.
    fn retry_proposal(&mut self, now: f64, unix_seconds: f64, pending: &mut PendingChange) {
        let is_due = now >= pending.sent_at + RETRY_INTERVAL_SECONDS;
        if !is_due || self.node.state().knows_change(&pending.change_id) {
            return;
        }
        pending.sent_at = now;
        if let Some(Entry::Propose { proposed_at, .. }) = &mut pending.entry {
            *proposed_at = unix_seconds;
        }
        if let Some(entry) = &pending.entry {
            self.send_to_leader(now, PeerMessage::Propose(entry.clone()));
        }
    }
}

/// A completed change, for replies.
pub(super) fn completed_change_report(change: &CompletedChange) -> Value {
    let state = match change.outcome {
        ChangeOutcome::Committed => "held",
        ChangeOutcome::Rejected(_) => "refused",
    };
    json!({
        "number": change.version,
        "id": change.change_id,
        "state": state,
        "why": rejection_reasons(&change.outcome),
        "by": change.proposed_by,
        "note": change.note,
        "at": change.proposed_at,
    })
}
