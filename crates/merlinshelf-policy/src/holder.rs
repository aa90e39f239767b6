//! An instance's part: documents that it has, one lease, and what it acts on at a given moment.

use std::collections::BTreeMap;

use merlinshelf_admission::Settings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Drift;
use crate::document::Policy;
use crate::words::{Beat, Said};

/// Documents that are kept: the one that is acted on, the next one, and one to spare.
const KNOWN_MOST: usize = 3;

/// What is done without a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Without {
    /// Served by the base policy.
    #[default]
    Base,
    /// Turned away, with when to come back.
    TurnAway,
}

/// What an instance acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acting {
    Base,
    Held(u64),
    Away,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    number: u64,
    until: f64,
}

/// What a successor goes on with: its clock is the same as its predecessor's.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Passed {
    lease: Option<Lease>,
    fenced: u64,
    known: BTreeMap<u64, Policy>,
}

/// The state machine. `now` is its own clock in seconds, which only goes forward.
#[derive(Clone, Debug)]
pub struct Holder {
    life: u64,
    drift: Drift,
    without: Without,
    base: Policy,
    known: BTreeMap<u64, Policy>,
    unfit: Option<(u64, String)>,
    fenced: u64,
    lease: Option<Lease>,
    /// Whether it ever had a lease, or is to wait for none any more.
    began: bool,
}

impl Holder {
    /// A process that begins, without a lease. `life` is a number that no other process of the instance has, not 0.
    pub fn new(life: u64, base: Policy, without: Without, drift: Drift) -> Holder {
        Holder {
            life,
            drift,
            without,
            base,
            known: BTreeMap::new(),
            unfit: None,
            fenced: 0,
            lease: None,
            began: false,
        }
    }

    /// What is passed to a successor. From here on this one acts on nothing that it held: it can only come back by
    /// taking back, when the successor may long have given its lease up.
    pub fn pass(&mut self, life: u64) -> Passed {
        self.life = life;
        Passed {
            lease: self.lease.take(),
            fenced: self.fenced,
            known: self.known.clone(),
        }
    }

    /// Goes on with what a predecessor passed.
    pub fn take(&mut self, passed: Passed) {
        (self.lease, self.fenced, self.known) = (passed.lease, passed.fenced, passed.known);
        self.began = true;
    }

    /// What it acts on. Asked before anything is decided, after what is decided on was read.
    pub fn acting(&self, now: f64) -> Acting {
        match (&self.lease, self.without) {
            (Some(lease), _) if now < lease.until => Acting::Held(lease.number),
            (_, Without::Base) => Acting::Base,
            (_, Without::TurnAway) => Acting::Away,
        }
    }

    /// Whether it has heard which policy holds, so that it may take its first invocation.
    pub fn began(&self) -> bool {
        self.began
    }

    /// Nobody is waited for any more.
    pub fn begin(&mut self) {
        self.began = true;
    }

    /// The document that it acts on; the base policy where it acts on none.
    pub fn policy(&self, acting: Acting) -> &Policy {
        match acting {
            Acting::Held(number) => self.known.get(&number).unwrap_or(&self.base),
            _ => &self.base,
        }
    }

    /// The base policy, of which each host has its part of budgets set aside.
    pub fn base(&self) -> &Policy {
        &self.base
    }

    /// Settings under what it acts on.
    ///
    /// # Errors
    /// As of [`Policy::settings`]; what is held was found to fit before.
    pub fn settings(&self, acting: Acting, base: &Settings) -> Result<Settings, String> {
        self.policy(acting).settings(base)
    }

    /// A beat of its agent, and what is said to it. `fits` is whether it can use a document.
    pub fn heard(
        &mut self,
        now: f64,
        beat: Beat,
        fits: impl FnOnce(&Policy) -> Result<(), String>,
    ) -> Said {
        if beat.life == self.life {
            if let Some((number, policy)) = beat.offer
                && self.known.get(&number) != Some(&policy)
            {
                match fits(&policy) {
                    Ok(()) => {
                        self.known.insert(number, policy);
                        self.unfit = self.unfit.take().filter(|(of, _)| *of != number);
                        let keep = self.lease.map(|lease| lease.number);
                        while self.known.len() > KNOWN_MOST {
                            let Some(oldest) =
                                self.known.keys().copied().find(|of| Some(*of) != keep)
                            else {
                                break;
                            };
                            self.known.remove(&oldest);
                        }
                    }
                    Err(why) => self.unfit = Some((number, why)),
                }
            }
            self.fence(beat.fence);
            if let Some(grant) = beat.grant {
                // It counts from when it was asked for: one that lay somewhere may be over already.
                let until = grant.asked + grant.for_s * (1.0 - self.drift);
                let known = grant.number > 0 && self.known.contains_key(&grant.number);
                if grant.number > self.fenced && known && grant.asked <= now {
                    self.fence(grant.number - 1);
                    let longer = self
                        .lease
                        .is_none_or(|lease| lease.number < grant.number || lease.until < until);
                    if longer && until > now {
                        self.lease = Some(Lease {
                            number: grant.number,
                            until,
                        });
                        self.began = true;
                    }
                }
                // The base policy is what holds: nothing else has to be waited for.
                self.began |= grant.number == 0;
            }
        }
        self.said(now)
    }

    fn fence(&mut self, number: u64) {
        self.fenced = self.fenced.max(number);
        self.lease = self.lease.filter(|lease| lease.number > self.fenced);
    }

    pub fn said(&self, now: f64) -> Said {
        let acting = self.acting(now);
        Said {
            life: self.life,
            asked: now,
            fenced: self.fenced,
            knows: self.known.keys().copied().collect(),
            unfit: self.unfit.clone(),
            acts: match acting {
                Acting::Base => Some(0),
                Acting::Held(number) => Some(number),
                Acting::Away => None,
            },
            left_s: self.lease.map_or(0.0, |lease| (lease.until - now).max(0.0)),
            base: self.base.fingerprint(),
            wishes: None,
        }
    }
}
