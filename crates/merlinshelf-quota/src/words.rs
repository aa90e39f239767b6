//! What holders and their keeper say to each other, once a round.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::kinds::Kind;
use crate::recovery::{Phase, Sight};

/// A holder asks for its share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// A number that no other process of this holder has.
    pub life: u64,
    /// The number of this asking; answers bear it.
    pub token: u64,
    /// Calls a second that it has lately made or wanted to.
    pub need: u32,
    /// The worth of a call that it had to refuse, in the mean; 0 where it refused none.
    pub worth: f64,
    /// The last share that it goes by, and whose it was; smaller ones than it had are said here once it holds no more than they
    /// say. Numbers of one keeper say nothing to another.
    pub heard: (u64, u64),
    /// Calls made since the last asking, of shares alone; for reports.
    #[serde(default)]
    pub spent: u32,
}

/// What a holder may spend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub life: u64,
    pub token: u64,
    /// A number that no other keeper has, also none before it in the same place.
    pub keeper: u64,
    /// Later ones of this keeper have higher numbers.
    pub number: u64,
    /// Calls a second.
    pub calls: u32,
    /// Seconds from when it was asked for.
    pub for_s: f64,
}

/// All that an instance asks of its host, or a host of whoever leads, in one round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Asked {
    /// A number that no other process of this one has.
    pub life: u64,
    /// Which round it is.
    pub token: u64,
    /// Of a host: where it stands.
    pub zone: String,
    /// By dependency.
    pub places: BTreeMap<String, PlaceAsked>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlaceAsked {
    pub sight: Sight,
    /// What it was told last, however old: whoever begins to lead goes on from there.
    pub phase: Option<Phase>,
    pub claims: BTreeMap<Kind, Claim>,
}

/// The answer to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Given {
    pub life: u64,
    pub token: u64,
    pub places: BTreeMap<String, PlaceGiven>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlaceGiven {
    pub phase: Option<Phase>,
    pub shares: BTreeMap<Kind, Share>,
}

/// Rounds whose answers are waited for.
const ROUNDS_MOST: usize = 16;

/// The rounds of whoever asks: an answer counts from when its round was begun.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rounds {
    token: u64,
    open: std::collections::VecDeque<(u64, f64)>,
}

impl Rounds {
    /// A new round; its number.
    pub fn begin(&mut self, now: f64) -> u64 {
        self.token += 1;
        self.open.push_back((self.token, now));
        if self.open.len() > ROUNDS_MOST {
            self.open.pop_front();
        }
        self.token
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
