//! An instance's part for all budgets together: what may be spent on each dependency now, and what it says of it once a round.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::LeaseTerms;
use crate::budget::{Budgets, CallKind};
use crate::lease_holder::QuotaLeaseHolder;
use crate::messages::{DependencyRequest, QuotaGrantBatch, QuotaRequestBatch, RoundTracker};
use crate::recovery::{DependencyHealth, Phase, phase_at};

/// After a dependency has come back, first calls stay bounded for so long where nobody says how it fares for others, seconds.
const ALONE_S: f64 = 5.0;
/// A call that was drawn from what the host has set aside is made within this, or not at all, seconds: it counts from when it
/// was drawn, and the way there may differ by more.
const DRAWN_S: f64 = 0.02;

/// What may be spent on a dependency at this moment; `u32::MAX` where it is not bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// It fails for all: probes alone.
    pub probes_only: bool,
    /// It has come back for all: that it failed here counts no more. Said once.
    pub reopened: bool,
    pub retries: u32,
    pub probes: u32,
    pub first_calls: u32,
}

impl Remaining {
    /// Nothing is bounded.
    pub const ALL: Remaining = Remaining {
        probes_only: false,
        reopened: false,
        retries: u32::MAX,
        probes: u32::MAX,
        first_calls: u32::MAX,
    };
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Place {
    holders: BTreeMap<CallKind, QuotaLeaseHolder>,
    /// How it fares for all, and until when that counts.
    phase: Option<(Phase, f64)>,
    opens: bool,
    /// Whether it fails here.
    fails: bool,
    /// First calls are bounded until then though nobody says so; `new`: until so long after the first look.
    alone_until: f64,
    new: bool,
    good: u32,
    bad: u32,
    ended_at: Option<f64>,
    /// A first probe after a new share is made no sooner.
    probes_from: f64,
    /// Drawn from what the host has set aside, and until when it may be made.
    drawn: BTreeMap<CallKind, f64>,
}

/// The state machine. `now` is its own clock in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaClient {
    life: u64,
    lease: LeaseTerms,
    rounds: RoundTracker,
    places: BTreeMap<String, Place>,
}

impl QuotaClient {
    /// One that holds nothing. `life` is a number that no other process of the instance has.
    pub fn new(life: u64, lease: LeaseTerms) -> QuotaClient {
        QuotaClient {
            life,
            lease,
            rounds: RoundTracker::default(),
            places: BTreeMap::new(),
        }
    }

    /// What is bounded from here on, by the policy that is acted on. What is held of what stays is kept.
    pub fn set_budgets(&mut self, budgets: &Budgets) {
        self.places.retain(|name, _| budgets.contains_key(name));
        for (name, kinds) in budgets {
            // Of one that is new here nothing is known: it is taken for one that comes back.
            let place = self.places.entry(name.clone()).or_insert_with(|| Place {
                new: true,
                ..Place::default()
            });
            place.holders.retain(|kind, _| kinds.contains_key(kind));
            for kind in kinds.keys() {
                place
                    .holders
                    .entry(*kind)
                    .or_insert_with(|| QuotaLeaseHolder::new(self.life, self.lease));
            }
        }
    }

    /// What a successor goes on with. This one holds nothing from here on, also if it takes back; `life` is another number.
    pub fn begin_handover(&mut self, life: u64) -> QuotaClient {
        let left = std::mem::replace(self, QuotaClient::new(life, self.lease));
        let of = |place: &Place| Place {
            holders: place
                .holders
                .keys()
                .map(|kind| (*kind, QuotaLeaseHolder::new(life, left.lease)))
                .collect(),
            drawn: BTreeMap::new(),
            ..place.clone()
        };
        self.places = left
            .places
            .iter()
            .map(|(name, place)| (name.clone(), of(place)))
            .collect();
        left
    }

    /// Whether anything of it is bounded.
    pub fn has_budget(&self, name: &str) -> bool {
        self.places.contains_key(name)
    }

    /// What may be spent now.
    pub fn remaining(&mut self, now: f64, name: &str) -> Remaining {
        let Some(place) = self.places.get_mut(name) else {
            return Remaining::ALL;
        };
        if std::mem::take(&mut place.new) {
            place.alone_until = now + ALONE_S;
        }
        let phase = place.phase_at(now);
        let first = place.first_is_bounded(now);
        Remaining {
            probes_only: phase == Some(Phase::Failing),
            reopened: std::mem::take(&mut place.opens),
            retries: place.left(now, CallKind::Retry),
            probes: match phase {
                Some(Phase::Healthy) => u32::MAX,
                _ if now < place.probes_from => 0,
                _ => place.left(now, CallKind::Probe),
            },
            first_calls: if first {
                place.left(now, CallKind::FirstCall)
            } else {
                u32::MAX
            },
        }
    }

    /// Connections that may be opened now.
    pub fn remaining_connections(&mut self, now: f64, name: &str) -> u32 {
        self.places
            .get_mut(name)
            .map_or(u32::MAX, |place| place.left(now, CallKind::NewConnection))
    }

    /// Whether a call of this kind is bounded now.
    pub fn is_limited(&self, now: f64, name: &str, kind: CallKind) -> bool {
        self.places.get(name).is_some_and(|place| {
            let now_bounded = match kind {
                CallKind::FirstCall => place.first_is_bounded(now),
                // Where it is well for all, the trials of one to whom it fails are no storm, and fewer than its calls were.
                CallKind::Probe => place.phase_at(now) != Some(Phase::Healthy),
                CallKind::Retry | CallKind::NewConnection => true,
            };
            now_bounded && place.holders.contains_key(&kind)
        })
    }

    /// A call of this kind is wanted; `worth` is what is lost where it can't be made.
    pub fn record_demand(&mut self, now: f64, name: &str, kind: CallKind, worth: f64) {
        if self.is_limited(now, name, kind)
            && let Some(holder) = self.holder(name, kind)
        {
            holder.record_demand(worth);
        }
    }

    /// So many were made, of those that were left. What is not bounded is not counted.
    pub fn record_spent(&mut self, now: f64, name: &str, kind: CallKind, calls: u32) {
        let Some(place) = self.places.get_mut(name) else {
            return;
        };
        let drawn = u32::from(calls > 0 && place.drawn.remove(&kind).is_some());
        if let Some(holder) = place.holders.get_mut(&kind) {
            holder.record_spent(now, calls - drawn);
        }
    }

    /// Whether one is to be drawn from what the host has set aside, for a call that is wanted now.
    pub fn needs_reserve(&mut self, now: f64, name: &str, kind: CallKind) -> bool {
        self.is_limited(now, name, kind)
            && self
                .places
                .get_mut(name)
                .is_some_and(|place| place.left(now, kind) == 0)
    }

    /// One was drawn.
    pub fn record_reserve_draw(&mut self, now: f64, name: &str, kind: CallKind) {
        if let Some(place) = self.places.get_mut(name) {
            place.drawn.insert(kind, now + DRAWN_S);
            if kind == CallKind::Probe {
                place.probes_from = 0.0;
            }
        }
    }

    /// A call has ended.
    pub fn record_call_end(&mut self, now: f64, name: &str, well: bool) {
        if let Some(place) = self.places.get_mut(name) {
            (place.good, place.bad) = (place.good + u32::from(well), place.bad + u32::from(!well));
            place.ended_at = Some(now);
        }
    }

    /// Whether it fails, as this instance alone sees it.
    pub fn set_failing(&mut self, now: f64, name: &str, fails: bool) {
        if let Some(place) = self.places.get_mut(name) {
            if place.fails && !fails && place.phase_at(now).is_none() {
                place.alone_until = now + ALONE_S;
            }
            place.fails = fails;
        }
    }

    /// How it fares for all, as far as that is known now.
    pub fn phase(&self, now: f64, name: &str) -> Option<Phase> {
        self.places.get(name)?.phase_at(now)
    }

    /// What is held of a kind, calls a second; for reports.
    pub fn granted(&self, now: f64, name: &str, kind: CallKind) -> Option<u32> {
        Some(self.places.get(name)?.holders.get(&kind)?.usable(now).0)
    }

    /// Dependencies and kinds that are bounded.
    pub fn limited_kinds(&self) -> impl Iterator<Item = (&String, CallKind)> {
        self.places
            .iter()
            .flat_map(|(name, place)| place.holders.keys().map(move |kind| (name, *kind)))
    }

    /// A round: what is asked of the host.
    pub fn request(&mut self, now: f64) -> QuotaRequestBatch {
        let lately = self.lease.lease_seconds;
        let places = self.places.iter_mut().map(|(name, place)| {
            let called = place.ended_at.is_some_and(|at| now <= at + lately);
            let sight = DependencyHealth {
                calling_instances: u32::from(called || place.fails),
                failing_instances: u32::from(place.fails),
                succeeded_calls: std::mem::take(&mut place.good),
                failed_calls: std::mem::take(&mut place.bad),
            };
            let phase = place.phase.map(|(phase, _)| phase);
            let claims = place
                .holders
                .iter_mut()
                .map(|(kind, holder)| (*kind, holder.request(now)))
                .collect();
            (
                name.clone(),
                DependencyRequest {
                    health: sight,
                    phase,
                    requests: claims,
                },
            )
        });
        let places = places.collect();
        QuotaRequestBatch {
            incarnation: self.life,
            request_id: self.rounds.begin(now),
            zone: String::new(),
            dependencies: places,
        }
    }

    /// The host's answer, however late.
    pub fn handle_grants(
        &mut self,
        now: f64,
        given: &QuotaGrantBatch,
        chance: &mut dyn FnMut() -> f64,
    ) {
        if given.incarnation != self.life {
            return;
        }
        let Some(asked) = self.rounds.answered(given.request_id) else {
            return;
        };
        let until = asked + self.lease.holder_duration(self.lease.lease_seconds);
        for (name, of) in &given.dependencies {
            let Some(place) = self.places.get_mut(name) else {
                continue;
            };
            if let Some(phase) = of.phase.filter(|_| now < until) {
                let before = place.phase.replace((phase, until)).map(|(phase, _)| phase);
                place.opens |= before == Some(Phase::Failing) && phase != Phase::Failing;
                if phase == Phase::Failing {
                    place.opens = false;
                }
            }
            for (kind, share) in &of.grants {
                let Some(holder) = place.holders.get_mut(kind) else {
                    continue;
                };
                let before = holder.usable(now).0;
                holder.handle_grant(share);
                if *kind == CallKind::Probe && before == 0 && holder.usable(now).0 > 0 {
                    // Those who get their share in the same moment do not all call in the same moment.
                    place.probes_from = now + chance() * self.lease.window();
                }
            }
        }
    }

    fn holder(&mut self, name: &str, kind: CallKind) -> Option<&mut QuotaLeaseHolder> {
        self.places.get_mut(name)?.holders.get_mut(&kind)
    }
}

impl Place {
    fn phase_at(&self, now: f64) -> Option<Phase> {
        phase_at(self.phase, now)
    }

    /// First calls are bounded while it returns, and for a while where it is not known any more how it fares.
    fn first_is_bounded(&self, now: f64) -> bool {
        match (self.phase_at(now), self.phase) {
            (Some(phase), _) => phase == Phase::Recovering,
            (None, Some((before, until))) if before != Phase::Healthy && now < until + ALONE_S => {
                true
            }
            (None, _) => now < self.alone_until,
        }
    }

    fn left(&mut self, now: f64, kind: CallKind) -> u32 {
        let Some(holder) = self.holders.get_mut(&kind) else {
            return u32::MAX;
        };
        let drawn = self.drawn.get(&kind).is_some_and(|until| now < *until);
        if !drawn {
            self.drawn.remove(&kind);
        }
        holder.remaining(now) + u32::from(drawn)
    }
}
