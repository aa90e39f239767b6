//! An instance's part: documents that it has, one lease, and what it acts on at a given moment.

use std::collections::BTreeMap;

use merlinshelf_admission::Settings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Drift;
use crate::document::Policy;
use crate::messages::{Heartbeat, InstanceStatus};

/// Documents that are kept: the one that is acted on, the next one, and one to spare.
const KNOWN_MOST: usize = 3;

/// What is done without a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LeaseExpiryMode {
    /// Served by the base policy.
    #[default]
    #[serde(rename = "base")]
    BasePolicy,
    /// Turned away, with when to come back.
    #[serde(rename = "turn_away")]
    RejectAll,
}

/// What an instance acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectivePolicy {
    Base,
    Leased(u64),
    RejectAll,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    #[serde(rename = "number")]
    version: u64,
    #[serde(rename = "until")]
    expires_at: f64,
}

/// What a successor goes on with: its clock is the same as its predecessor's.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    lease: Option<Lease>,
    #[serde(rename = "fenced")]
    fenced_version: u64,
    #[serde(rename = "known")]
    known_policies: BTreeMap<u64, Policy>,
}

/// The state machine. `now` is its own clock in seconds, which only goes forward.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    life: u64,
    drift: Drift,
    without: LeaseExpiryMode,
    base: Policy,
    known: BTreeMap<u64, Policy>,
    unfit: Option<(u64, String)>,
    fenced: u64,
    lease: Option<Lease>,
    /// Whether it ever had a lease, or is to wait for none any more.
    began: bool,
}

impl LeaseHolder {
    /// A process that begins, without a lease. `life` is a number that no other process of the instance has, not 0.
    pub fn new(life: u64, base: Policy, without: LeaseExpiryMode, drift: Drift) -> LeaseHolder {
        LeaseHolder {
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
    pub fn begin_handover(&mut self, life: u64) -> HandoverState {
        self.life = life;
        HandoverState {
            lease: self.lease.take(),
            fenced_version: self.fenced,
            known_policies: self.known.clone(),
        }
    }

    /// Goes on with what a predecessor passed.
    pub fn resume(&mut self, passed: HandoverState) {
        (self.lease, self.fenced, self.known) =
            (passed.lease, passed.fenced_version, passed.known_policies);
        self.began = true;
    }

    /// What it acts on. Asked before anything is decided, after what is decided on was read.
    pub fn effective_policy(&self, now: f64) -> EffectivePolicy {
        match (&self.lease, self.without) {
            (Some(lease), _) if now < lease.expires_at => EffectivePolicy::Leased(lease.version),
            (_, LeaseExpiryMode::BasePolicy) => EffectivePolicy::Base,
            (_, LeaseExpiryMode::RejectAll) => EffectivePolicy::RejectAll,
        }
    }

    /// Whether it has heard which policy holds, so that it may take its first invocation.
    pub fn is_ready(&self) -> bool {
        self.began
    }

    /// Nobody is waited for any more.
    pub fn stop_waiting(&mut self) {
        self.began = true;
    }

    /// The document that it acts on; the base policy where it acts on none.
    pub fn policy(&self, acting: EffectivePolicy) -> &Policy {
        match acting {
            EffectivePolicy::Leased(number) => self.known.get(&number).unwrap_or(&self.base),
            _ => &self.base,
        }
    }

    /// The base policy, of which each host has its part of budgets set aside.
    pub fn base_policy(&self) -> &Policy {
        &self.base
    }

    /// Settings under what it acts on.
    ///
    /// # Errors
    /// As of [`Policy::settings`]; what is held was found to fit before.
    pub fn settings(&self, acting: EffectivePolicy, base: &Settings) -> Result<Settings, String> {
        self.policy(acting).settings(base)
    }

    /// A beat of its agent, and what is said to it. `fits` is whether it can use a document.
    pub fn handle_heartbeat(
        &mut self,
        now: f64,
        beat: Heartbeat,
        fits: impl FnOnce(&Policy) -> Result<(), String>,
    ) -> InstanceStatus {
        if beat.incarnation == self.life {
            if let Some((number, policy)) = beat.offered_policy
                && self.known.get(&number) != Some(&policy)
            {
                match fits(&policy) {
                    Ok(()) => {
                        self.known.insert(number, policy);
                        self.unfit = self.unfit.take().filter(|(of, _)| *of != number);
                        let keep = self.lease.map(|lease| lease.version);
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
            self.fence(beat.fence_version);
            if let Some(grant) = beat.grant {
                // It counts from when it was asked for: one that lay somewhere may be over already.
                let until = grant.requested_at + grant.duration_seconds * (1.0 - self.drift);
                let known = grant.version > 0 && self.known.contains_key(&grant.version);
                if grant.version > self.fenced && known && grant.requested_at <= now {
                    self.fence(grant.version - 1);
                    let longer = self.lease.is_none_or(|lease| {
                        lease.version < grant.version || lease.expires_at < until
                    });
                    if longer && until > now {
                        self.lease = Some(Lease {
                            version: grant.version,
                            expires_at: until,
                        });
                        self.began = true;
                    }
                }
                // The base policy is what holds: nothing else has to be waited for.
                self.began |= grant.version == 0;
            }
        }
        self.status(now)
    }

    fn fence(&mut self, number: u64) {
        self.fenced = self.fenced.max(number);
        self.lease = self.lease.filter(|lease| lease.version > self.fenced);
    }

    pub fn status(&self, now: f64) -> InstanceStatus {
        let acting = self.effective_policy(now);
        InstanceStatus {
            incarnation: self.life,
            reported_at: now,
            fenced_version: self.fenced,
            known_versions: self.known.keys().copied().collect(),
            rejected_version: self.unfit.clone(),
            effective_version: match acting {
                EffectivePolicy::Base => Some(0),
                EffectivePolicy::Leased(number) => Some(number),
                EffectivePolicy::RejectAll => None,
            },
            lease_remaining_seconds: self
                .lease
                .map_or(0.0, |lease| (lease.expires_at - now).max(0.0)),
            base_fingerprint: self.base.fingerprint(),
            quota_requests: None,
        }
    }
}
