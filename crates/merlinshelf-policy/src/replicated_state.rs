//! The state that the agents replicate: the entries of their log, and the state machine that
//! applies them in order. The state is the same on every agent (a replicated state machine, as in
//! Ongaro's Raft thesis).
//!
//! Entries and snapshots are stored; the names that older versions use are preserved by
//! `#[serde(rename)]`.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::document::Policy;
use crate::messages::{Rejection, VersionedPolicy};

/// The maximum number of completed changes that are kept and can be looked up by their id.
const MAX_COMPLETED_CHANGES: usize = 200;

/// The parameters that the first log entry fixes for the installation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bootstrap {
    /// The duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// The fingerprint of the base policy.
    #[serde(rename = "base")]
    pub base_fingerprint: u64,
}

impl Bootstrap {
    /// The duration of a lease, in seconds.
    pub(crate) fn lease_seconds(&self) -> f64 {
        self.lease_ms as f64 / 1e3
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Bootstraps the installation. Only the first one takes effect.
    #[serde(rename = "Found")]
    Bootstrap(Bootstrap),
    /// Proposes a change of the policy.
    Propose {
        /// Set by the proposer; a proposal whose id is already known is a duplicate and has no
        /// effect.
        #[serde(rename = "id")]
        change_id: String,
        /// The new document.
        policy: Box<Policy>,
        /// The proposer, for reports.
        #[serde(rename = "by")]
        proposed_by: String,
        /// Unix time in seconds, for reports.
        #[serde(rename = "at")]
        proposed_at: f64,
    },
    /// Accepts or rejects the pending change. Only the first decision on a change takes effect.
    Decide {
        /// The version of the change.
        #[serde(rename = "number")]
        version: u64,
        /// Whether it will come into force.
        #[serde(rename = "hold")]
        accepted: bool,
        /// The reasons for a rejection.
        #[serde(rename = "why")]
        rejections: Vec<Rejection>,
    },
    /// Brings an accepted change into force: from this entry on, leases on it may be granted.
    #[serde(rename = "Open")]
    Activate {
        /// The version of the change.
        #[serde(rename = "number")]
        version: u64,
    },
}

/// The stage of a pending change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Instances validate and store the document.
    Preparing,
    /// The change is accepted; older versions are being fenced, and no instance acts on it yet.
    Fencing,
}

/// The pending change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the document.
    #[serde(rename = "number")]
    pub version: u64,
    /// The proposer's id of the change.
    #[serde(rename = "id")]
    pub change_id: String,
    /// The new document.
    pub policy: Policy,
    /// The proposer.
    #[serde(rename = "by")]
    pub proposed_by: String,
    /// Unix time in seconds.
    #[serde(rename = "at")]
    pub proposed_at: f64,
    /// The stage of the change.
    pub stage: Stage,
}

impl Change {
    fn complete(self, outcome: ChangeOutcome) -> CompletedChange {
        CompletedChange {
            version: self.version,
            change_id: self.change_id,
            note: self.policy.note,
            proposed_by: self.proposed_by,
            proposed_at: self.proposed_at,
            outcome,
        }
    }
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change came into force.
    #[serde(rename = "Held")]
    Committed,
    /// The change was rejected, for these reasons.
    #[serde(rename = "Refused")]
    Rejected(Vec<Rejection>),
}

/// A completed change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletedChange {
    /// The version of the document.
    #[serde(rename = "number")]
    pub version: u64,
    /// The proposer's id of the change.
    #[serde(rename = "id")]
    pub change_id: String,
    /// The note of the document.
    pub note: String,
    /// The proposer.
    #[serde(rename = "by")]
    pub proposed_by: String,
    /// Unix time in seconds.
    #[serde(rename = "at")]
    pub proposed_at: f64,
    /// The outcome of the change.
    #[serde(rename = "verdict")]
    pub outcome: ChangeOutcome,
}

/// The effect of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicatedEvent {
    /// The installation was bootstrapped.
    Bootstrapped(Bootstrap),
    /// A change is pending.
    Proposed {
        /// The version of the change.
        version: u64,
    },
    /// The pending change was accepted or rejected.
    Decided {
        /// The version of the change.
        version: u64,
        /// Whether it will come into force.
        accepted: bool,
    },
    /// A change came into force.
    Committed {
        /// The version that is now in force.
        version: u64,
    },
}

/// The state that all agents share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicatedState {
    /// The parameters of the installation; `None` before the first log entry.
    #[serde(rename = "founding")]
    pub bootstrap: Option<Bootstrap>,
    /// The highest version assigned to a change.
    #[serde(rename = "last")]
    pub last_version: u64,
    /// The version in force; 0 is the base policy.
    #[serde(rename = "current")]
    pub current_version: u64,
    /// The document in force.
    pub policy: Policy,
    /// The version that was in force before.
    #[serde(rename = "former")]
    pub previous: Option<VersionedPolicy>,
    /// The pending change; there is at most one.
    #[serde(rename = "change")]
    pub pending_change: Option<Change>,
    /// The last completed changes, oldest first.
    #[serde(rename = "ended")]
    pub completed_changes: VecDeque<CompletedChange>,
}

impl ReplicatedState {
    /// Applies an entry; returns `None` if it has no effect.
    pub fn apply(&mut self, entry: Entry) -> Option<ReplicatedEvent> {
        match entry {
            Entry::Bootstrap(bootstrap) => self.apply_bootstrap(bootstrap),
            Entry::Propose {
                change_id,
                policy,
                proposed_by,
                proposed_at,
            } => self.apply_proposal(Change {
                version: self.last_version + 1,
                change_id,
                policy: *policy,
                proposed_by,
                proposed_at,
                stage: Stage::Preparing,
            }),
            Entry::Decide {
                version,
                accepted: true,
                ..
            } => self.apply_acceptance(version),
            Entry::Decide {
                version,
                accepted: false,
                rejections,
            } => self.apply_rejection(version, rejections),
            Entry::Activate { version } => self.apply_activation(version),
        }
    }

    fn apply_bootstrap(&mut self, bootstrap: Bootstrap) -> Option<ReplicatedEvent> {
        if self.bootstrap.is_some() {
            return None;
        }
        self.bootstrap = Some(bootstrap.clone());
        Some(ReplicatedEvent::Bootstrapped(bootstrap))
    }

    fn apply_proposal(&mut self, change: Change) -> Option<ReplicatedEvent> {
        if self.bootstrap.is_none() || self.knows_change(&change.change_id) {
            return None;
        }
        let version = change.version;
        self.last_version = version;
        if let Some(pending) = &self.pending_change {
            let rejection = Rejection {
                rejected_by: change.proposed_by.clone(),
                reason: format!("change {} is under way", pending.version),
            };
            self.record_completed(change.complete(ChangeOutcome::Rejected(vec![rejection])));
            return Some(ReplicatedEvent::Decided {
                version,
                accepted: false,
            });
        }
        self.pending_change = Some(change);
        Some(ReplicatedEvent::Proposed { version })
    }

    fn apply_acceptance(&mut self, version: u64) -> Option<ReplicatedEvent> {
        let change = self.take_pending(version, Stage::Preparing)?;
        self.pending_change = Some(Change {
            stage: Stage::Fencing,
            ..change
        });
        Some(ReplicatedEvent::Decided {
            version,
            accepted: true,
        })
    }

    fn apply_rejection(
        &mut self,
        version: u64,
        rejections: Vec<Rejection>,
    ) -> Option<ReplicatedEvent> {
        let change = self.take_pending(version, Stage::Preparing)?;
        self.record_completed(change.complete(ChangeOutcome::Rejected(rejections)));
        Some(ReplicatedEvent::Decided {
            version,
            accepted: false,
        })
    }

    fn apply_activation(&mut self, version: u64) -> Option<ReplicatedEvent> {
        let change = self.take_pending(version, Stage::Fencing)?;
        let previous_policy = std::mem::replace(&mut self.policy, change.policy.clone());
        let previous_version = std::mem::replace(&mut self.current_version, version);
        self.previous = Some(VersionedPolicy {
            version: previous_version,
            policy: previous_policy,
        });
        self.record_completed(change.complete(ChangeOutcome::Committed));
        Some(ReplicatedEvent::Committed { version })
    }

    fn take_pending(&mut self, version: u64, stage: Stage) -> Option<Change> {
        self.pending_change
            .take_if(|change| change.version == version && change.stage == stage)
    }

    fn record_completed(&mut self, completed: CompletedChange) {
        if self.completed_changes.len() == MAX_COMPLETED_CHANGES {
            self.completed_changes.pop_front();
        }
        self.completed_changes.push_back(completed);
    }

    fn pending_in(&self, stage: Stage) -> Option<&Change> {
        self.pending_change
            .as_ref()
            .filter(|change| change.stage == stage)
    }

    /// The pending change, if instances are still validating it.
    pub(crate) fn preparing_change(&self) -> Option<&Change> {
        self.pending_in(Stage::Preparing)
    }

    /// The pending change, if it is accepted and older versions are being fenced.
    pub(crate) fn fencing_change(&self) -> Option<&Change> {
        self.pending_in(Stage::Fencing)
    }

    /// Whether a change with this id is pending or among the kept completed changes.
    pub fn knows_change(&self, change_id: &str) -> bool {
        self.pending_change
            .as_ref()
            .is_some_and(|change| change.change_id == change_id)
            || self.outcome(change_id).is_some()
    }

    /// The completed change with this id.
    pub fn outcome(&self, change_id: &str) -> Option<&CompletedChange> {
        self.completed_changes
            .iter()
            .rev()
            .find(|completed| completed.change_id == change_id)
    }

    /// The highest version that must no longer be acted on, like all lower ones; 0 if there is none.
    pub fn fence_version(&self) -> u64 {
        self.fencing_change()
            .map_or(self.current_version, |change| change.version)
            .saturating_sub(1)
    }

    /// The document of the current or the pending version, on which leases are or may soon be
    /// granted; `None` for other versions and for 0.
    pub(crate) fn policy_for_version(&self, version: u64) -> Option<&Policy> {
        let pending = self
            .pending_change
            .as_ref()
            .filter(|change| change.version == version);
        match pending {
            Some(change) => Some(&change.policy),
            None => (self.current_version == version && version > 0).then_some(&self.policy),
        }
    }
}
