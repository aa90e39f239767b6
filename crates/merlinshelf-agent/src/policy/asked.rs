//! What operators ask of policies, and what becomes of what they want.

use std::collections::BTreeMap;

use merlinshelf_policy::replicated_state::{ChangeOutcome, CompletedChange};
use merlinshelf_policy::{Entry, Policy, VersionedPolicy};
use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;

use super::{PolicyAgent, why};
use crate::links::Peer;

/// A proposal that is not in the log by then is put to whoever leads by now, seconds.
const PUT_AGAIN: f64 = 0.3;
/// Whoever asks is told after so long beyond a lease that nothing is known yet, seconds.
const TOLD_WITHIN: f64 = 4.0;

/// Where a tool's answers go.
type Reply = UnboundedSender<(ControlMessage, Value)>;

/// A change that somebody waits for.
pub(super) struct Pending {
    id: String,
    entry: Option<Entry>,
    reply: Reply,
    /// Until it has ended, else until it is in the log.
    wait: bool,
    since: f64,
    put_at: f64,
}

/// An agent that is to be a member no more, which somebody waits for.
pub(super) struct Parting {
    name: String,
    reply: Reply,
    since: f64,
    put_at: f64,
}

impl PolicyAgent {
    fn sits(&self, name: &str) -> bool {
        let council = self.seat.council();
        council.is_some_and(|council| {
            council
                .membership()
                .members
                .values()
                .any(|member| member.name == name)
        })
    }

    pub(super) fn put_parting(&mut self, now: f64) {
        for mut one in std::mem::take(&mut self.parting) {
            if !self.sits(&one.name) {
                let _ = one
                    .reply
                    .send((ControlMessage::Done, json!({ "removed": one.name })));
                continue;
            }
            if now > one.since + TOLD_WITHIN {
                let text = format!(
                    "{} is a member still: no majority of the others is reached, or the file of the agent that leads names it",
                    one.name
                );
                let _ = one
                    .reply
                    .send((ControlMessage::Failed, json!({ "text": text })));
                continue;
            }
            if now >= one.put_at + PUT_AGAIN {
                one.put_at = now;
                self.tell_leader(now, Peer::Remove(one.name.clone()));
            }
            if !one.reply.is_closed() {
                self.parting.push(one);
            }
        }
    }

    /// Puts what operators want to whoever leads, and tells them what becomes of it.
    pub(super) fn put_pending(&mut self, now: f64, unix: f64) {
        let patience = self.of.lease_ms as f64 / 1e3 + TOLD_WITHIN;
        for mut one in std::mem::take(&mut self.pending) {
            let ledger = &self.seat.ledger;
            if let Some(ended) = ledger.outcome(&one.id) {
                let held = ended.outcome == ChangeOutcome::Committed;
                let _ = one.reply.send((
                    if held {
                        ControlMessage::Done
                    } else {
                        ControlMessage::Failed
                    },
                    shown(ended),
                ));
                continue;
            }
            if let Some(change) = ledger
                .pending_change
                .as_ref()
                .filter(|change| change.change_id == one.id)
                && !one.wait
            {
                let report = json!({ "number": change.version, "id": one.id, "state": "proposed" });
                let _ = one.reply.send((ControlMessage::Done, report));
                continue;
            }
            if now > one.since + patience {
                let known = ledger.knows_change(&one.id);
                let leads = self.seat.leader().is_some();
                let why = match (known, leads) {
                    (true, _) => "it is under way",
                    (false, true) => "it has not come into the log yet",
                    (false, false) => {
                        "no majority of the agents is reached, and nothing changes without one"
                    }
                };
                let text = format!(
                    "{why}; ask again with --id {}, which is the same change",
                    one.id
                );
                let _ = one.reply.send((
                    ControlMessage::Failed,
                    json!({ "text": text, "id": one.id, "state": "unknown" }),
                ));
                continue;
            }
            if now >= one.put_at + PUT_AGAIN && !ledger.knows_change(&one.id) {
                one.put_at = now;
                if let Some(Entry::Propose {
                    proposed_at: at, ..
                }) = &mut one.entry
                {
                    *at = unix;
                }
                if let Some(entry) = &one.entry {
                    self.tell_leader(now, Peer::Propose(entry.clone()));
                }
            }
            if !one.reply.is_closed() {
                self.pending.push(one);
            }
        }
    }

    /// What a tool asks of policies.
    pub fn asked(&mut self, now: f64, body: &Value, reply: Reply) {
        let now = now * self.clock_rate;
        let say = |word: ControlMessage, report: Value| _ = reply.send((word, report));
        let ledger = &self.seat.ledger;
        match body["what"].as_str().unwrap_or("") {
            "show" => say(ControlMessage::Done, self.show(now)),
            "budgets" => say(ControlMessage::Done, self.show_budgets(now)),
            "history" => {
                for ended in &ledger.completed_changes {
                    say(ControlMessage::More, shown(ended));
                }
                say(
                    ControlMessage::Done,
                    json!({ "current": ledger.current_version, "under_way": ledger.pending_change.as_ref().map(|of| of.version) }),
                );
            }
            "document" => say(
                ControlMessage::Done,
                json!({ "number": ledger.current_version, "policy": ledger.policy, "base": self.of.base }),
            ),
            what @ ("propose" | "undo") => {
                let policy = match (what, &ledger.previous) {
                    ("propose", _) => {
                        match serde_json::from_value::<Policy>(body["policy"].clone()) {
                            Ok(policy) => policy,
                            Err(error) => {
                                return say(
                                    ControlMessage::Refused,
                                    json!({ "text": format!("no policy: {error}") }),
                                );
                            }
                        }
                    }
                    (_, Some(VersionedPolicy { version: 0, .. })) => Policy {
                        note: "undone: the base policy".into(),
                        ..self.of.base.clone()
                    },
                    (_, Some(former)) => Policy {
                        note: format!("undone: back to {}", former.version),
                        ..former.policy.clone()
                    },
                    (_, None) => {
                        return say(
                            ControlMessage::Refused,
                            json!({ "text": "nothing was changed yet" }),
                        );
                    }
                };
                let length = serde_json::to_vec(&policy).map_or(0, |bytes| bytes.len());
                if length > merlinshelf_policy::document::MAX_DOCUMENT_BYTES {
                    let most = merlinshelf_policy::document::MAX_DOCUMENT_BYTES;
                    let text = format!(
                        "the document has {length} bytes, and {most} at the most are taken"
                    );
                    return say(ControlMessage::Refused, json!({ "text": text }));
                }
                if let Err(report) = garde::Validate::validate(&policy) {
                    return say(
                        ControlMessage::Refused,
                        json!({ "text": report.to_string().trim() }),
                    );
                }
                if let Err(why) = self.budgets_fit(&policy.budgets) {
                    return say(ControlMessage::Refused, json!({ "text": why }));
                }
                if body["dry_run"] == true {
                    let change = ledger.pending_change.as_ref().map(|of| of.version);
                    return say(
                        ControlMessage::Done,
                        json!({
                            "would_be": ledger.last_version + 1, "in_place_of": ledger.current_version, "under_way": change,
                            "same": policy.fingerprint() == ledger.policy.fingerprint() && ledger.current_version > 0,
                        }),
                    );
                }
                let Some(id) = body["id"]
                    .as_str()
                    .filter(|id| !id.is_empty() && id.len() <= 64)
                else {
                    return say(
                        ControlMessage::Refused,
                        json!({ "text": "a change needs an id of up to 64 characters" }),
                    );
                };
                let by = body["by"].as_str().unwrap_or(&self.of.name).to_owned();
                let entry = Entry::Propose {
                    change_id: id.to_owned(),
                    policy: Box::new(policy),
                    proposed_by: by,
                    proposed_at: 0.0,
                };
                self.wait_for(now, id, Some(entry), body["wait"] == true, reply);
            }
            "outcome" => {
                let id = body["id"].as_str().unwrap_or("").to_owned();
                if !ledger.knows_change(&id) && self.seat.leader().is_some() && body["wait"] != true
                {
                    return say(
                        ControlMessage::Refused,
                        json!({ "text": format!("no change with id {id} is known"), "id": id }),
                    );
                }
                self.wait_for(now, &id, None, body["wait"] == true, reply);
            }
            "remove" => {
                let name = body["name"].as_str().unwrap_or("").to_owned();
                if self.of.agents.contains_key(&name) {
                    let text = format!(
                        "{name} stands in this agent's file: take it out of every agent's file, and start them anew, first"
                    );
                    return say(ControlMessage::Refused, json!({ "text": text }));
                }
                if !self.sits(&name) {
                    return say(
                        ControlMessage::Refused,
                        json!({ "text": format!("{name} is no member") }),
                    );
                }
                self.parting.push(Parting {
                    name,
                    reply,
                    since: now,
                    put_at: f64::NEG_INFINITY,
                });
            }
            other => say(
                ControlMessage::Refused,
                json!({ "text": format!("{other:?} is nothing that is done with policies") }),
            ),
        }
    }

    fn wait_for(&mut self, now: f64, id: &str, entry: Option<Entry>, wait: bool, reply: Reply) {
        self.pending.push(Pending {
            id: id.to_owned(),
            entry,
            reply,
            wait,
            since: now,
            put_at: f64::NEG_INFINITY,
        });
    }

    fn show(&self, now: f64) -> Value {
        let ledger = &self.seat.ledger;
        let lease = self.warden.lease(now);
        let change = ledger.pending_change.as_ref().map(|of| {
            json!({ "number": of.version, "id": of.change_id, "by": of.proposed_by, "stage": format!("{:?}", of.stage).to_lowercase() })
        });
        let roll = self
            .seat
            .council()
            .map(|council| council.membership().clone())
            .unwrap_or_default();
        let members: BTreeMap<String, u64> = roll
            .members
            .iter()
            .map(|(id, member)| (member.name.clone(), *id))
            .collect();
        let instances: Vec<Value> = self
            .last_counts
            .keys()
            .filter_map(|name| {
                let said = self.warden.instance_status(name)?;
                Some(json!({ "name": name, "acts": said.effective_version, "left_s": said.lease_remaining_seconds, "unfit": said.rejected_version }))
            })
            .collect();
        json!({
            "agent": self.of.name, "council": self.seat.standing(), "leader": self.seat.leader(), "members": members,
            "current": ledger.current_version, "note": ledger.policy.note, "under_way": change,
            "lease": lease.map(|lease| json!({ "number": lease.version, "left_s": lease.remaining_seconds })),
            "lease_ms": ledger.bootstrap.as_ref().map(|of| of.lease_ms), "instances": instances,
        })
    }
}

/// An ended change, for reports.
fn shown(ended: &CompletedChange) -> Value {
    let state = if ended.outcome == ChangeOutcome::Committed {
        "held"
    } else {
        "refused"
    };
    json!({
        "number": ended.version, "id": ended.change_id, "state": state, "why": why(&ended.outcome), "by": ended.proposed_by,
        "note": ended.note, "at": ended.proposed_at,
    })
}
