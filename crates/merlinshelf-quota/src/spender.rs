//! An instance's part for all budgets together: what may be spent on each dependency now, and what it says of it once a round.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Lease;
use crate::holder::Holder;
use crate::kinds::{Budgets, Kind};
use crate::recovery::{Phase, Sight, phase_at};
use crate::words::{Asked, Given, PlaceAsked, Rounds};

/// After a dependency has come back, first calls stay bounded for so long where nobody says how it fares for others, seconds.
const ALONE_S: f64 = 5.0;
/// A call that was drawn from what the host has set aside is made within this, or not at all, seconds: it counts from when it
/// was drawn, and the way there may differ by more.
const DRAWN_S: f64 = 0.02;

/// What may be spent on a dependency at this moment; `u32::MAX` where it is not bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left {
    /// It fails for all: probes alone.
    pub closed: bool,
    /// It has come back for all: that it failed here counts no more. Said once.
    pub opens: bool,
    pub again: u32,
    pub probes: u32,
    pub first: u32,
}

impl Left {
    /// Nothing is bounded.
    pub const ALL: Left = Left {
        closed: false,
        opens: false,
        again: u32::MAX,
        probes: u32::MAX,
        first: u32::MAX,
    };
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Place {
    holders: BTreeMap<Kind, Holder>,
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
    drawn: BTreeMap<Kind, f64>,
}

/// The state machine. `now` is its own clock in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spender {
    life: u64,
    lease: Lease,
    rounds: Rounds,
    places: BTreeMap<String, Place>,
}

impl Spender {
    /// One that holds nothing. `life` is a number that no other process of the instance has.
    pub fn new(life: u64, lease: Lease) -> Spender {
        Spender {
            life,
            lease,
            rounds: Rounds::default(),
            places: BTreeMap::new(),
        }
    }

    /// What is bounded from here on, by the policy that is acted on. What is held of what stays is kept.
    pub fn bound(&mut self, budgets: &Budgets) {
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
                    .or_insert_with(|| Holder::new(self.life, self.lease));
            }
        }
    }

    /// What a successor goes on with. This one holds nothing from here on, also if it takes back; `life` is another number.
    pub fn pass(&mut self, life: u64) -> Spender {
        let left = std::mem::replace(self, Spender::new(life, self.lease));
        let of = |place: &Place| Place {
            holders: place
                .holders
                .keys()
                .map(|kind| (*kind, Holder::new(life, left.lease)))
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
    pub fn bounds(&self, name: &str) -> bool {
        self.places.contains_key(name)
    }

    /// What may be spent now.
    pub fn left(&mut self, now: f64, name: &str) -> Left {
        let Some(place) = self.places.get_mut(name) else {
            return Left::ALL;
        };
        if std::mem::take(&mut place.new) {
            place.alone_until = now + ALONE_S;
        }
        let phase = place.phase_at(now);
        let first = place.first_is_bounded(now);
        Left {
            closed: phase == Some(Phase::Fails),
            opens: std::mem::take(&mut place.opens),
            again: place.left(now, Kind::Again),
            probes: match phase {
                Some(Phase::Well) => u32::MAX,
                _ if now < place.probes_from => 0,
                _ => place.left(now, Kind::Probes),
            },
            first: if first {
                place.left(now, Kind::First)
            } else {
                u32::MAX
            },
        }
    }

    /// Connections that may be opened now.
    pub fn may_open(&mut self, now: f64, name: &str) -> u32 {
        self.places
            .get_mut(name)
            .map_or(u32::MAX, |place| place.left(now, Kind::Opened))
    }

    /// Whether a call of this kind is bounded now.
    pub fn is_bounded(&self, now: f64, name: &str, kind: Kind) -> bool {
        self.places.get(name).is_some_and(|place| {
            let now_bounded = match kind {
                Kind::First => place.first_is_bounded(now),
                // Where it is well for all, the trials of one to whom it fails are no storm, and fewer than its calls were.
                Kind::Probes => place.phase_at(now) != Some(Phase::Well),
                Kind::Again | Kind::Opened => true,
            };
            now_bounded && place.holders.contains_key(&kind)
        })
    }

    /// A call of this kind is wanted; `worth` is what is lost where it can't be made.
    pub fn wants(&mut self, now: f64, name: &str, kind: Kind, worth: f64) {
        if self.is_bounded(now, name, kind)
            && let Some(holder) = self.holder(name, kind)
        {
            holder.wants(worth);
        }
    }

    /// So many were made, of those that were left. What is not bounded is not counted.
    pub fn spent(&mut self, now: f64, name: &str, kind: Kind, calls: u32) {
        let Some(place) = self.places.get_mut(name) else {
            return;
        };
        let drawn = u32::from(calls > 0 && place.drawn.remove(&kind).is_some());
        if let Some(holder) = place.holders.get_mut(&kind) {
            holder.spent(now, calls - drawn);
        }
    }

    /// Whether one is to be drawn from what the host has set aside, for a call that is wanted now.
    pub fn lacks(&mut self, now: f64, name: &str, kind: Kind) -> bool {
        self.is_bounded(now, name, kind)
            && self
                .places
                .get_mut(name)
                .is_some_and(|place| place.left(now, kind) == 0)
    }

    /// One was drawn.
    pub fn drew(&mut self, now: f64, name: &str, kind: Kind) {
        if let Some(place) = self.places.get_mut(name) {
            place.drawn.insert(kind, now + DRAWN_S);
            if kind == Kind::Probes {
                place.probes_from = 0.0;
            }
        }
    }

    /// A call has ended.
    pub fn ended(&mut self, now: f64, name: &str, well: bool) {
        if let Some(place) = self.places.get_mut(name) {
            (place.good, place.bad) = (place.good + u32::from(well), place.bad + u32::from(!well));
            place.ended_at = Some(now);
        }
    }

    /// Whether it fails, as this instance alone sees it.
    pub fn fails(&mut self, now: f64, name: &str, fails: bool) {
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
    pub fn share(&self, now: f64, name: &str, kind: Kind) -> Option<u32> {
        Some(self.places.get(name)?.holders.get(&kind)?.may(now).0)
    }

    /// Dependencies and kinds that are bounded.
    pub fn kinds(&self) -> impl Iterator<Item = (&String, Kind)> {
        self.places
            .iter()
            .flat_map(|(name, place)| place.holders.keys().map(move |kind| (name, *kind)))
    }

    /// A round: what is asked of the host.
    pub fn asks(&mut self, now: f64) -> Asked {
        let lately = self.lease.lease_s;
        let places = self.places.iter_mut().map(|(name, place)| {
            let called = place.ended_at.is_some_and(|at| now <= at + lately);
            let sight = Sight {
                instances: u32::from(called || place.fails),
                failing: u32::from(place.fails),
                good: std::mem::take(&mut place.good),
                bad: std::mem::take(&mut place.bad),
            };
            let phase = place.phase.map(|(phase, _)| phase);
            let claims = place
                .holders
                .iter_mut()
                .map(|(kind, holder)| (*kind, holder.claim(now)))
                .collect();
            (
                name.clone(),
                PlaceAsked {
                    sight,
                    phase,
                    claims,
                },
            )
        });
        let places = places.collect();
        Asked {
            life: self.life,
            token: self.rounds.begin(now),
            zone: String::new(),
            places,
        }
    }

    /// The host's answer, however late.
    pub fn given(&mut self, now: f64, given: &Given, chance: &mut dyn FnMut() -> f64) {
        if given.life != self.life {
            return;
        }
        let Some(asked) = self.rounds.answered(given.token) else {
            return;
        };
        let until = asked + self.lease.held_for(self.lease.lease_s);
        for (name, of) in &given.places {
            let Some(place) = self.places.get_mut(name) else {
                continue;
            };
            if let Some(phase) = of.phase.filter(|_| now < until) {
                let before = place.phase.replace((phase, until)).map(|(phase, _)| phase);
                place.opens |= before == Some(Phase::Fails) && phase != Phase::Fails;
                if phase == Phase::Fails {
                    place.opens = false;
                }
            }
            for (kind, share) in &of.shares {
                let Some(holder) = place.holders.get_mut(kind) else {
                    continue;
                };
                let before = holder.may(now).0;
                holder.granted(share);
                if *kind == Kind::Probes && before == 0 && holder.may(now).0 > 0 {
                    // Those who get their share in the same moment do not all call in the same moment.
                    place.probes_from = now + chance() * self.lease.window();
                }
            }
        }
    }

    fn holder(&mut self, name: &str, kind: Kind) -> Option<&mut Holder> {
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
            (Some(phase), _) => phase == Phase::Returns,
            (None, Some((before, until))) if before != Phase::Well && now < until + ALONE_S => true,
            (None, _) => now < self.alone_until,
        }
    }

    fn left(&mut self, now: f64, kind: Kind) -> u32 {
        let Some(holder) = self.holders.get_mut(&kind) else {
            return u32::MAX;
        };
        let drawn = self.drawn.get(&kind).is_some_and(|until| now < *until);
        if !drawn {
            self.drawn.remove(&kind);
        }
        holder.left(now) + u32::from(drawn)
    }
}
