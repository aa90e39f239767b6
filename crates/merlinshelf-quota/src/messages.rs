//! What holders and their keeper say to each other, once a round.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::CallKind;
use crate::recovery::{DependencyHealth, Phase};

/// A holder asks for its share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// A number that no other process of this holder has.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The number of this asking; answers bear it.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// Calls a second that it has lately made or wanted to.
    #[serde(rename = "need")]
    pub calls_needed: u32,
    /// The worth of a call that it had to refuse, in the mean; 0 where it refused none.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The last share that it goes by, and whose it was; smaller ones than it had are said here once it holds no more than they
    /// say. Numbers of one keeper say nothing to another.
    #[serde(rename = "heard")]
    pub acknowledged_grant: (u64, u64),
    /// Calls made since the last asking, of shares alone; for reports.
    #[serde(default)]
    #[serde(rename = "spent")]
    pub calls_spent: u32,
}

/// What a holder may spend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "token")]
    pub request_id: u64,
    /// A number that no other keeper has, also none before it in the same place.
    #[serde(rename = "keeper")]
    pub allocator_id: u64,
    /// Later ones of this keeper have higher numbers.
    #[serde(rename = "number")]
    pub grant_number: u64,
    /// Calls a second.
    #[serde(rename = "calls")]
    pub calls_per_second: u32,
    /// Seconds from when it was asked for.
    #[serde(rename = "for_s")]
    pub duration_seconds: f64,
}

/// All that an instance asks of its host, or a host of whoever leads, in one round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaRequestBatch {
    /// A number that no other process of this one has.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Which round it is.
    #[serde(rename = "token")]
    pub request_id: u64,
    /// Of a host: where it stands.
    pub zone: String,
    /// By dependency.
    #[serde(rename = "places")]
    pub dependencies: BTreeMap<String, DependencyRequest>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyRequest {
    #[serde(rename = "sight")]
    pub health: DependencyHealth,
    /// What it was told last, however old: whoever begins to lead goes on from there.
    pub phase: Option<Phase>,
    #[serde(rename = "claims")]
    pub requests: BTreeMap<CallKind, QuotaRequest>,
}

/// The answer to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaGrantBatch {
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "token")]
    pub request_id: u64,
    #[serde(rename = "places")]
    pub dependencies: BTreeMap<String, DependencyGrant>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyGrant {
    pub phase: Option<Phase>,
    #[serde(rename = "shares")]
    pub grants: BTreeMap<CallKind, QuotaGrant>,
}

/// RoundTracker whose answers are waited for.
const ROUNDS_MOST: usize = 16;

/// The rounds of whoever asks: an answer counts from when its round was begun.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RoundTracker {
    #[serde(rename = "token")]
    last_request_id: u64,
    open: std::collections::VecDeque<(u64, f64)>,
}

impl RoundTracker {
    /// A new round; its number.
    pub fn begin(&mut self, now: f64) -> u64 {
        self.last_request_id += 1;
        self.open.push_back((self.last_request_id, now));
        if self.open.len() > ROUNDS_MOST {
            self.open.pop_front();
        }
        self.last_request_id
    }

    /// When the round was begun that this answers; each and all before it are answered once.
    pub fn answered(&mut self, token: u64) -> Option<f64> {
        let at = self
            .open
            .iter()
            .find(|(of, _)| *of == token)
            .map(|(_, at)| *at)?;
        self.open.retain(|(of, _)| *of > token);
        Some(at)
    }
}
