//! What the agents have decided together: entries of their log, applied in its order, the same on all of them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::document::Policy;

/// CompletedChange changes that are remembered, and that can be asked for by their id.
const ENDED_MOST: usize = 200;

/// What is agreed for the installation once and for all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bootstrap {
    /// How long a lease is, in milliseconds.
    pub lease_ms: u64,
    /// The fingerprint of the base policy.
    #[serde(rename = "base")]
    pub base_fingerprint: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Only the first one counts.
    #[serde(rename = "Found")]
    Bootstrap(Bootstrap),
    /// A change. `id` is whoever asks' own; one that is known already is the same change. `at` is Unix time, for reports.
    Propose {
        #[serde(rename = "id")]
        change_id: String,
        policy: Box<Policy>,
        #[serde(rename = "by")]
        proposed_by: String,
        #[serde(rename = "at")]
        proposed_at: f64,
    },
    /// The first one of a change counts.
    Decide {
        #[serde(rename = "number")]
        version: u64,
        #[serde(rename = "hold")]
        accepted: bool,
        #[serde(rename = "why")]
        rejections: Vec<(String, String)>,
    },
    /// Leases on it may be out.
    #[serde(rename = "Open")]
    Activate {
        #[serde(rename = "number")]
        version: u64,
    },
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    Preparing,
    /// It is decided that it holds; nothing acts on it yet.
    Fencing,
}

/// The change under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    #[serde(rename = "number")]
    pub version: u64,
    #[serde(rename = "id")]
    pub change_id: String,
    pub policy: Policy,
    #[serde(rename = "by")]
    pub proposed_by: String,
    #[serde(rename = "at")]
    pub proposed_at: f64,
    pub stage: Stage,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    #[serde(rename = "Held")]
    Committed,
    /// By whom and why.
    #[serde(rename = "Refused")]
    Rejected(Vec<(String, String)>),
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletedChange {
    #[serde(rename = "number")]
    pub version: u64,
    #[serde(rename = "id")]
    pub change_id: String,
    pub note: String,
    #[serde(rename = "by")]
    pub proposed_by: String,
    #[serde(rename = "at")]
    pub proposed_at: f64,
    #[serde(rename = "verdict")]
    pub outcome: ChangeOutcome,
}

/// What becomes known with an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicatedEvent {
    Bootstrapped(Bootstrap),
    Proposed(u64),
    /// It is decided that it holds, or that it does not.
    Decided(u64, bool),
    Committed(u64),
}

/// The state that all agents have in common.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicatedState {
    #[serde(rename = "founding")]
    pub bootstrap: Option<Bootstrap>,
    /// The highest number that was given to a change.
    #[serde(rename = "last")]
    pub last_version: u64,
    /// The number that holds, its document, and the one that held before it.
    #[serde(rename = "current")]
    pub current_version: u64,
    pub policy: Policy,
    #[serde(rename = "former")]
    pub previous: Option<(u64, Policy)>,
    #[serde(rename = "change")]
    pub pending_change: Option<Change>,
    #[serde(rename = "ended")]
    pub completed_changes: VecDeque<CompletedChange>,
}

impl ReplicatedState {
    /// Applies an entry. What it changes nothing by is no news.
    pub fn apply(&mut self, entry: Entry) -> Option<ReplicatedEvent> {
        match entry {
            Entry::Bootstrap(founding) => {
                if self.bootstrap.is_some() {
                    return None;
                }
                self.bootstrap = Some(founding.clone());
                Some(ReplicatedEvent::Bootstrapped(founding))
            }
            Entry::Propose {
                change_id: id,
                policy,
                proposed_by: by,
                proposed_at: at,
            } => {
                if self.bootstrap.is_none() || self.knows_change(&id) {
                    return None;
                }
                self.last_version += 1;
                let number = self.last_version;
                if let Some(other) = &self.pending_change {
                    let why = format!("change {} is under way", other.version);
                    let verdict = ChangeOutcome::Rejected(vec![(by.clone(), why)]);
                    self.end(CompletedChange {
                        version: number,
                        change_id: id,
                        note: policy.note,
                        proposed_by: by,
                        proposed_at: at,
                        outcome: verdict,
                    });
                    return Some(ReplicatedEvent::Decided(number, false));
                }
                self.pending_change = Some(Change {
                    version: number,
                    change_id: id,
                    policy: *policy,
                    proposed_by: by,
                    proposed_at: at,
                    stage: Stage::Preparing,
                });
                Some(ReplicatedEvent::Proposed(number))
            }
            Entry::Decide {
                version: number,
                accepted: hold,
                rejections: why,
            } => {
                let change = self.pending_change.take_if(|change| {
                    change.version == number && change.stage == Stage::Preparing
                })?;
                if hold {
                    self.pending_change = Some(Change {
                        stage: Stage::Fencing,
                        ..change
                    });
                } else {
                    self.over(change, ChangeOutcome::Rejected(why));
                }
                Some(ReplicatedEvent::Decided(number, hold))
            }
            Entry::Activate { version: number } => {
                let change = self
                    .pending_change
                    .take_if(|change| change.version == number && change.stage == Stage::Fencing)?;
                let before = std::mem::replace(&mut self.policy, change.policy.clone());
                self.previous =
                    Some((std::mem::replace(&mut self.current_version, number), before));
                self.over(change, ChangeOutcome::Committed);
                Some(ReplicatedEvent::Committed(number))
            }
        }
    }

    fn over(&mut self, change: Change, verdict: ChangeOutcome) {
        let Change {
            version: number,
            change_id: id,
            policy,
            proposed_by: by,
            proposed_at: at,
            ..
        } = change;
        self.end(CompletedChange {
            version: number,
            change_id: id,
            note: policy.note,
            proposed_by: by,
            proposed_at: at,
            outcome: verdict,
        });
    }

    fn end(&mut self, ended: CompletedChange) {
        if self.completed_changes.len() == ENDED_MOST {
            self.completed_changes.pop_front();
        }
        self.completed_changes.push_back(ended);
    }

    /// Whether a change with this id was ever proposed, as far as is remembered.
    pub fn knows_change(&self, id: &str) -> bool {
        self.pending_change
            .as_ref()
            .is_some_and(|change| change.change_id == id)
            || self.outcome(id).is_some()
    }

    /// How the change with this id ended.
    pub fn outcome(&self, id: &str) -> Option<&CompletedChange> {
        self.completed_changes
            .iter()
            .rev()
            .find(|ended| ended.change_id == id)
    }

    /// Nothing up to this number may be acted on any more.
    pub fn fence_version(&self) -> u64 {
        let fencing = self
            .pending_change
            .as_ref()
            .filter(|change| change.stage == Stage::Fencing);
        fencing
            .map_or(self.current_version, |change| change.version)
            .saturating_sub(1)
    }

    /// The document with this number, where leases on it may be out or come to be.
    pub fn policy_for_version(&self, number: u64) -> Option<&Policy> {
        let change = self
            .pending_change
            .as_ref()
            .filter(|change| change.version == number)
            .map(|change| &change.policy);
        change.or_else(|| (self.current_version == number && number > 0).then_some(&self.policy))
    }

    /// What instances should have: the document that is being changed to, else the one that holds.
    pub fn offered_policy(&self) -> Option<(u64, &Policy)> {
        let change = self
            .pending_change
            .as_ref()
            .map(|change| (change.version, &change.policy));
        change
            .or_else(|| (self.current_version > 0).then_some((self.current_version, &self.policy)))
    }
}
