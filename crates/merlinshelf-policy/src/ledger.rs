//! What the agents have decided together: entries of their log, applied in its order, the same on all of them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::document::Policy;

/// Ended changes that are remembered, and that can be asked for by their id.
const ENDED_MOST: usize = 200;

/// What is agreed for the installation once and for all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Founding {
    /// How long a lease is, in milliseconds.
    pub lease_ms: u64,
    /// The fingerprint of the base policy.
    pub base: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Only the first one counts.
    Found(Founding),
    /// A change. `id` is whoever asks' own; one that is known already is the same change. `at` is Unix time, for reports.
    Propose {
        id: String,
        policy: Box<Policy>,
        by: String,
        at: f64,
    },
    /// The first one of a change counts.
    Decide {
        number: u64,
        hold: bool,
        why: Vec<(String, String)>,
    },
    /// Leases on it may be out.
    Open { number: u64 },
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
    pub number: u64,
    pub id: String,
    pub policy: Policy,
    pub by: String,
    pub at: f64,
    pub stage: Stage,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Held,
    /// By whom and why.
    Refused(Vec<(String, String)>),
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    pub number: u64,
    pub id: String,
    pub note: String,
    pub by: String,
    pub at: f64,
    pub verdict: Verdict,
}

/// What becomes known with an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Founded(Founding),
    Proposed(u64),
    /// It is decided that it holds, or that it does not.
    Decided(u64, bool),
    Held(u64),
}

/// The state that all agents have in common.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ledger {
    pub founding: Option<Founding>,
    /// The highest number that was given to a change.
    pub last: u64,
    /// The number that holds, its document, and the one that held before it.
    pub current: u64,
    pub policy: Policy,
    pub former: Option<(u64, Policy)>,
    pub change: Option<Change>,
    pub ended: VecDeque<Ended>,
}

impl Ledger {
    /// Applies an entry. What it changes nothing by is no news.
    pub fn apply(&mut self, entry: Entry) -> Option<News> {
        match entry {
            Entry::Found(founding) => {
                if self.founding.is_some() {
                    return None;
                }
                self.founding = Some(founding.clone());
                Some(News::Founded(founding))
            }
            Entry::Propose { id, policy, by, at } => {
                if self.founding.is_none() || self.knows(&id) {
                    return None;
                }
                self.last += 1;
                let number = self.last;
                if let Some(other) = &self.change {
                    let why = format!("change {} is under way", other.number);
                    let verdict = Verdict::Refused(vec![(by.clone(), why)]);
                    self.end(Ended {
                        number,
                        id,
                        note: policy.note,
                        by,
                        at,
                        verdict,
                    });
                    return Some(News::Decided(number, false));
                }
                self.change = Some(Change {
                    number,
                    id,
                    policy: *policy,
                    by,
                    at,
                    stage: Stage::Preparing,
                });
                Some(News::Proposed(number))
            }
            Entry::Decide { number, hold, why } => {
                let change = self.change.take_if(|change| {
                    change.number == number && change.stage == Stage::Preparing
                })?;
                if hold {
                    self.change = Some(Change {
                        stage: Stage::Fencing,
                        ..change
                    });
                } else {
                    self.over(change, Verdict::Refused(why));
                }
                Some(News::Decided(number, hold))
            }
            Entry::Open { number } => {
                let change = self
                    .change
                    .take_if(|change| change.number == number && change.stage == Stage::Fencing)?;
                let before = std::mem::replace(&mut self.policy, change.policy.clone());
                self.former = Some((std::mem::replace(&mut self.current, number), before));
                self.over(change, Verdict::Held);
                Some(News::Held(number))
            }
        }
    }

    fn over(&mut self, change: Change, verdict: Verdict) {
        let Change {
            number,
            id,
            policy,
            by,
            at,
            ..
        } = change;
        self.end(Ended {
            number,
            id,
            note: policy.note,
            by,
            at,
            verdict,
        });
    }

    fn end(&mut self, ended: Ended) {
        if self.ended.len() == ENDED_MOST {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }

    /// Whether a change with this id was ever proposed, as far as is remembered.
    pub fn knows(&self, id: &str) -> bool {
        self.change.as_ref().is_some_and(|change| change.id == id) || self.outcome(id).is_some()
    }

    /// How the change with this id ended.
    pub fn outcome(&self, id: &str) -> Option<&Ended> {
        self.ended.iter().rev().find(|ended| ended.id == id)
    }

    /// Nothing up to this number may be acted on any more.
    pub fn fence(&self) -> u64 {
        let fencing = self
            .change
            .as_ref()
            .filter(|change| change.stage == Stage::Fencing);
        fencing
            .map_or(self.current, |change| change.number)
            .saturating_sub(1)
    }

    /// The document with this number, where leases on it may be out or come to be.
    pub fn document(&self, number: u64) -> Option<&Policy> {
        let change = self
            .change
            .as_ref()
            .filter(|change| change.number == number)
            .map(|change| &change.policy);
        change.or_else(|| (self.current == number && number > 0).then_some(&self.policy))
    }

    /// What instances should have: the document that is being changed to, else the one that holds.
    pub fn offer(&self) -> Option<(u64, &Policy)> {
        let change = self
            .change
            .as_ref()
            .map(|change| (change.number, &change.policy));
        change.or_else(|| (self.current > 0).then_some((self.current, &self.policy)))
    }
}
