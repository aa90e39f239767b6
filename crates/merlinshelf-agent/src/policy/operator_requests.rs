//! Requests of operators' tools about policies.

use std::collections::BTreeMap;

use merlinshelf_policy::document::MAX_DOCUMENT_BYTES;
use merlinshelf_policy::{Entry, Policy, VersionedPolicy};
use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};

use super::PolicyAgent;
use super::pending_requests::{PendingChange, PendingRemoval, WaitFor, completed_change_report};
use crate::reply::ReplySender;
use merlinshelf_quota::budget::ReserveError;

/// Maximum length of the id of a change.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Why a change is not proposed.
#[derive(Debug, thiserror::Error)]
enum ProposalError {
    #[error("no policy: {0}")]
    NoPolicy(#[from] serde_json::Error),
    #[error("nothing was changed yet")]
    NothingToUndo,
    #[error(
        "the document has {length_bytes} bytes, and {MAX_DOCUMENT_BYTES} at the most are taken"
    )]
    TooLong { length_bytes: usize },
    #[error("{}", .0.to_string().trim())]
    Invalid(#[from] garde::Report),
    #[error("{0}")]
    Budgets(#[from] ReserveError),
    #[error("a change needs an id of up to 64 characters")]
    InvalidId,
}

/// Whether the tool waits for the completion of a change.
fn wait_for(body: &Value) -> WaitFor {
    if body["wait"] == true {
        WaitFor::Completion
    } else {
        WaitFor::Proposal
    }
}

impl PolicyAgent {
    /// Handles a request; replies may come later.
    pub fn handle_request(&mut self, agent_now: f64, body: &Value, reply: ReplySender) {
        let now = agent_now * self.clock_rate;
        match body["what"].as_str().unwrap_or("") {
            "show" => reply.done(self.policy_report(now)),
            "budgets" => reply.done(self.budgets_report(now)),
            "history" => self.send_history(&reply),
            "document" => {
                let state = self.node.state();
                reply.done(json!({
                    "number": state.current_version,
                    "policy": state.policy,
                    "base": self.config.base,
                }));
            }
            "propose" => {
                let policy = serde_json::from_value(body["policy"].clone());
                self.handle_proposal(now, body, policy.map_err(ProposalError::from), reply);
            }
            "undo" => {
                let policy = self.previous_policy();
                self.handle_proposal(now, body, policy, reply);
            }
            "outcome" => self.handle_outcome_request(now, body, reply),
            "remove" => self.handle_removal(now, body, reply),
            other => reply.rejected(format!("{other:?} is nothing that is done with policies")),
        }
    }

    fn send_history(&self, reply: &ReplySender) {
        let state = self.node.state();
        for change in &state.completed_changes {
            reply.more(completed_change_report(change));
        }
        let pending = state.pending_change.as_ref();
        reply.done(json!({
            "current": state.current_version,
            "under_way": pending.map(|change| change.version),
        }));
    }

    /// The previous policy as a new document.
    fn previous_policy(&self) -> Result<Policy, ProposalError> {
        match &self.node.state().previous {
            None => Err(ProposalError::NothingToUndo),
            Some(VersionedPolicy { version: 0, .. }) => Ok(Policy {
                note: "undone: the base policy".into(),
                ..self.config.base.clone()
            }),
            Some(previous) => Ok(Policy {
                note: format!("undone: back to {}", previous.version),
                ..previous.policy.clone()
            }),
        }
    }

    fn handle_proposal(
        &mut self,
        now: f64,
        body: &Value,
        policy: Result<Policy, ProposalError>,
        reply: ReplySender,
    ) {
        let policy = policy.and_then(|policy| {
            self.validate_proposal(&policy)?;
            Ok(policy)
        });
        let policy = match policy {
            Ok(policy) => policy,
            Err(error) => return reply.rejected(error.to_string()),
        };
        if body["dry_run"] == true {
            return reply.done(self.dry_run_report(&policy));
        }
        let Some(change_id) = body["id"]
            .as_str()
            .filter(|id| !id.is_empty() && id.len() <= MAX_CHANGE_ID_BYTES)
        else {
            return reply.rejected(ProposalError::InvalidId.to_string());
        };
        let proposed_by = body["by"].as_str().unwrap_or(&self.config.name);
        let entry = Entry::Propose {
            change_id: change_id.to_owned(),
            policy: Box::new(policy),
            proposed_by: proposed_by.to_owned(),
            // Set each time the change is sent to the leader.
            proposed_at: 0.0,
        };
        let change = PendingChange::new(now, change_id, Some(entry), wait_for(body), reply);
        self.pending_changes.push(change);
    }

    fn validate_proposal(&self, policy: &Policy) -> Result<(), ProposalError> {
        let length_bytes = serde_json::to_vec(policy)?.len();
        if length_bytes > MAX_DOCUMENT_BYTES {
            return Err(ProposalError::TooLong { length_bytes });
        }
        garde::Validate::validate(policy)?;
        self.validate_budgets(&policy.budgets)?;
        Ok(())
    }

    fn dry_run_report(&self, policy: &Policy) -> Value {
        let state = self.node.state();
        let pending = state.pending_change.as_ref();
        let is_unchanged =
            policy.fingerprint() == state.policy.fingerprint() && state.current_version > 0;
        json!({
            "would_be": state.last_version + 1,
            "in_place_of": state.current_version,
            "under_way": pending.map(|change| change.version),
            "same": is_unchanged,
        })
    }

    fn handle_outcome_request(&mut self, now: f64, body: &Value, reply: ReplySender) {
        let change_id = body["id"].as_str().unwrap_or("");
        let is_known = self.node.state().knows_change(change_id);
        let wait_for = wait_for(body);
        // Without a leader this agent's state may be outdated.
        if !is_known && self.node.leader().is_some() && wait_for == WaitFor::Proposal {
            let text = format!("no change with id {change_id} is known");
            return reply.send(
                ControlMessage::Refused,
                json!({ "text": text, "id": change_id }),
            );
        }
        let change = PendingChange::new(now, change_id, None, wait_for, reply);
        self.pending_changes.push(change);
    }

    fn handle_removal(&mut self, now: f64, body: &Value, reply: ReplySender) {
        let name = body["name"].as_str().unwrap_or("").to_owned();
        if self.config.agents.contains_key(&name) {
            return reply.rejected(format!(
                "{name} stands in this agent's file: take it out of every agent's file, and start them anew, first"
            ));
        }
        if !self.node.is_member(&name) {
            return reply.rejected(format!("{name} is no member"));
        }
        self.pending_removals
            .push(PendingRemoval::new(now, name, reply));
    }

    fn policy_report(&self, now: f64) -> Value {
        let state = self.node.state();
        let change = state.pending_change.as_ref().map(|change| {
            json!({
                "number": change.version,
                "id": change.change_id,
                "by": change.proposed_by,
                "stage": format!("{:?}", change.stage).to_lowercase(),
            })
        });
        let members: BTreeMap<String, u64> = self
            .node
            .membership()
            .members
            .into_iter()
            .map(|(slot, member)| (member.name, slot))
            .collect();
        let lease = self.lease_manager.lease(now);
        let lease = lease
            .map(|lease| json!({ "number": lease.version, "left_s": lease.remaining_seconds }));
        json!({
            "agent": self.config.name,
            "council": self.node.status_text(),
            "leader": self.node.leader(),
            "members": members,
            "current": state.current_version,
            "note": state.policy.note,
            "under_way": change,
            "lease": lease,
            "lease_ms": state.bootstrap.as_ref().map(|bootstrap| bootstrap.lease_ms),
            "instances": self.instance_reports(),
        })
    }

    fn instance_reports(&self) -> Vec<Value> {
        self.service_counts
            .keys()
            .filter_map(|name| {
                let status = self.lease_manager.instance_status(name)?;
                Some(json!({
                    "name": name,
                    "acts": status.effective_version,
                    "left_s": status.lease_remaining_seconds,
                    "unfit": status.rejected_version,
                }))
            })
            .collect()
    }
}
