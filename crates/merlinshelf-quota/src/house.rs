//! A host's part for all budgets together: it holds shares of whoever leads, and shares them out among its instances.

use std::collections::BTreeMap;

use crate::Lease;
use crate::holder::Holder;
use crate::keeper::Keeper;
use crate::kinds::{Budgets, Kind};
use crate::recovery::{Phase, Sight, phase_at};
use crate::words::{Asked, Claim, Given, PlaceAsked, PlaceGiven, Rounds};

#[derive(Clone, Debug, Default)]
struct Place {
    kinds: BTreeMap<Kind, (Holder, Keeper)>,
    phase: Option<(Phase, f64)>,
    /// By instance: when it was heard, and what it sees.
    sights: BTreeMap<String, (f64, Sight)>,
    good: u32,
    bad: u32,
    /// Calls made since the last word of them.
    spent: BTreeMap<Kind, u32>,
}

/// The state machine of one agent. `now` is its own clock in seconds.
#[derive(Clone, Debug)]
pub struct House {
    life: u64,
    lease: Lease,
    zone: String,
    rounds: Rounds,
    places: BTreeMap<String, Place>,
    /// What each instance asked last, and was not yet answered.
    asked: BTreeMap<String, Asked>,
}

impl House {
    /// One that holds nothing. `life` is a number that no other agent of this host has.
    pub fn new(life: u64, lease: Lease, zone: &str) -> House {
        House {
            life,
            lease,
            zone: zone.to_owned(),
            rounds: Rounds::default(),
            places: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// What is bounded from here on. What is held of what stays is kept.
    pub fn bound(&mut self, now: f64, budgets: &Budgets) {
        let (life, lease) = (self.life, self.lease);
        self.places.retain(|name, _| budgets.contains_key(name));
        for (name, kinds) in budgets {
            let place = self.places.entry(name.clone()).or_default();
            place.kinds.retain(|kind, _| kinds.contains_key(kind));
            for kind in kinds.keys() {
                place.kinds.entry(*kind).or_insert_with(|| {
                    (Holder::new(life, lease), Keeper::first(now, lease, 0, life))
                });
            }
        }
    }

    /// An instance asks. Whether whoever leads should hear of it at once: a call went well where all are told that they fail.
    pub fn asked(&mut self, now: f64, instance: &str, asked: Asked) -> bool {
        let mut news = false;
        for (name, of) in &asked.places {
            if let Some(place) = self.places.get_mut(name) {
                if let (None, Some(phase)) = (place.phase, of.phase) {
                    // Told by an agent before this one: it is said on, and counts for nothing here.
                    place.phase = Some((phase, f64::NEG_INFINITY));
                }
                news |= of.sight.good > 0 && phase_at(place.phase, now) == Some(Phase::Fails);
                place.good = place.good.saturating_add(of.sight.good);
                place.bad = place.bad.saturating_add(of.sight.bad);
                place.sights.insert(instance.to_owned(), (now, of.sight));
                for (kind, claim) in &of.claims {
                    *place.spent.entry(*kind).or_default() += claim.spent;
                }
            }
        }
        self.asked.insert(instance.to_owned(), asked);
        news
    }

    /// The answer to what an instance asked last, with the next beat to it.
    pub fn answers(&mut self, now: f64, instance: &str) -> Option<Given> {
        let asked = self.asked.remove(instance)?;
        let places = asked.places.iter().filter_map(|(name, of)| {
            let place = self.places.get_mut(name)?;
            let phase = phase_at(place.phase, now);
            let mut shares = BTreeMap::new();
            for (kind, claim) in &of.claims {
                let Some((holder, keeper)) = place.kinds.get_mut(kind) else {
                    continue;
                };
                let (may, until) = holder.may(now);
                keeper.set_budget(may);
                shares.insert(*kind, keeper.claimed(now, instance, claim, until));
            }
            Some((name.clone(), PlaceGiven { phase, shares }))
        });
        Some(Given {
            life: asked.life,
            token: asked.token,
            places: places.collect(),
        })
    }

    /// A round: what is asked of whoever leads.
    pub fn asks(&mut self, now: f64) -> Asked {
        let lately = self.lease.lease_s;
        let places = self.places.iter_mut().map(|(name, place)| {
            place.sights.retain(|_, (at, _)| now <= *at + lately);
            let mut sight = Sight::default();
            place.sights.values().for_each(|(_, of)| sight.add(of));
            (sight.good, sight.bad) = (
                std::mem::take(&mut place.good),
                std::mem::take(&mut place.bad),
            );
            let phase = place.phase.map(|(phase, _)| phase);
            let spent = std::mem::take(&mut place.spent);
            let claims = place.kinds.iter_mut().map(|(kind, (holder, keeper))| {
                let ((need, worth), spent) =
                    (keeper.needs(), spent.get(kind).copied().unwrap_or(0));
                (
                    *kind,
                    Claim {
                        spent,
                        ..holder.claim_for(now, need, worth, keeper.held(now))
                    },
                )
            });
            let claims = claims.collect();
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
            zone: self.zone.clone(),
            places,
        }
    }

    /// The answer of whoever leads, however late. Whether instances should hear of it at once: something fares differently.
    pub fn given(&mut self, now: f64, given: &Given) -> bool {
        let asked = if given.life == self.life {
            self.rounds.answered(given.token)
        } else {
            None
        };
        let Some(asked) = asked else { return false };
        let mut news = false;
        let until = asked + self.lease.held_for(self.lease.lease_s);
        for (name, of) in &given.places {
            let Some(place) = self.places.get_mut(name) else {
                continue;
            };
            if let Some(phase) = of.phase.filter(|_| now < until) {
                news |= place
                    .phase
                    .replace((phase, until))
                    .is_none_or(|(before, _)| before != phase);
            }
            for (kind, share) in &of.shares {
                if let Some((holder, _)) = place.kinds.get_mut(kind) {
                    holder.granted(share);
                }
            }
        }
        news
    }

    /// How a dependency fares, as far as it is known here.
    pub fn phase(&self, now: f64, name: &str) -> Option<Phase> {
        phase_at(self.places.get(name)?.phase, now)
    }

    /// Whether something does not fare well, as far as it is known: words of it are worth more than usual.
    pub fn is_busy(&self, now: f64) -> bool {
        self.places
            .values()
            .any(|place| phase_at(place.phase, now).is_some_and(|phase| phase != Phase::Well))
    }

    /// What is held of a kind, calls a second, and what of it each instance may be spending; for reports.
    pub fn held(&self, now: f64, name: &str, kind: Kind) -> Option<(u32, BTreeMap<String, u32>)> {
        let (holder, keeper) = self.places.get(name)?.kinds.get(&kind)?;
        Some((holder.may(now).0, keeper.parts(now)))
    }
}
