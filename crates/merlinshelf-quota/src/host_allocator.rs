//! A host's part for all budgets together: it holds shares of whoever leads, and shares them out among its instances.

use std::collections::BTreeMap;

use crate::LeaseTerms;
use crate::allocator::Allocator;
use crate::budget::{Budgets, CallKind};
use crate::lease_holder::QuotaLeaseHolder;
use crate::messages::{
    DependencyGrant, DependencyRequest, QuotaGrantBatch, QuotaRequest, QuotaRequestBatch,
    RoundTracker,
};
use crate::recovery::{DependencyHealth, Phase, phase_at};

#[derive(Clone, Debug, Default)]
struct Place {
    kinds: BTreeMap<CallKind, (QuotaLeaseHolder, Allocator)>,
    phase: Option<(Phase, f64)>,
    /// By instance: when it was heard, and what it sees.
    sights: BTreeMap<String, (f64, DependencyHealth)>,
    good: u32,
    bad: u32,
    /// Calls made since the last word of them.
    spent: BTreeMap<CallKind, u32>,
}

/// The state machine of one agent. `now` is its own clock in seconds.
#[derive(Clone, Debug)]
pub struct HostAllocator {
    life: u64,
    lease: LeaseTerms,
    zone: String,
    rounds: RoundTracker,
    places: BTreeMap<String, Place>,
    /// What each instance asked last, and was not yet answered.
    asked: BTreeMap<String, QuotaRequestBatch>,
}

impl HostAllocator {
    /// One that holds nothing. `life` is a number that no other agent of this host has.
    pub fn new(life: u64, lease: LeaseTerms, zone: &str) -> HostAllocator {
        HostAllocator {
            life,
            lease,
            zone: zone.to_owned(),
            rounds: RoundTracker::default(),
            places: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// What is bounded from here on. What is held of what stays is kept.
    pub fn set_budgets(&mut self, now: f64, budgets: &Budgets) {
        let (life, lease) = (self.life, self.lease);
        self.places.retain(|name, _| budgets.contains_key(name));
        for (name, kinds) in budgets {
            let place = self.places.entry(name.clone()).or_default();
            place.kinds.retain(|kind, _| kinds.contains_key(kind));
            for kind in kinds.keys() {
                place.kinds.entry(*kind).or_insert_with(|| {
                    (
                        QuotaLeaseHolder::new(life, lease),
                        Allocator::first(now, lease, 0, life),
                    )
                });
            }
        }
    }

    /// An instance asks. Whether whoever leads should hear of it at once: a call went well where all are told that they fail.
    pub fn handle_request(&mut self, now: f64, instance: &str, asked: QuotaRequestBatch) -> bool {
        let mut news = false;
        for (name, of) in &asked.dependencies {
            if let Some(place) = self.places.get_mut(name) {
                if let (None, Some(phase)) = (place.phase, of.phase) {
                    // Told by an agent before this one: it is said on, and counts for nothing here.
                    place.phase = Some((phase, f64::NEG_INFINITY));
                }
                news |= of.health.succeeded_calls > 0
                    && phase_at(place.phase, now) == Some(Phase::Failing);
                place.good = place.good.saturating_add(of.health.succeeded_calls);
                place.bad = place.bad.saturating_add(of.health.failed_calls);
                place.sights.insert(instance.to_owned(), (now, of.health));
                for (kind, claim) in &of.requests {
                    *place.spent.entry(*kind).or_default() += claim.calls_spent;
                }
            }
        }
        self.asked.insert(instance.to_owned(), asked);
        news
    }

    /// The answer to what an instance asked last, with the next beat to it.
    pub fn take_grants(&mut self, now: f64, instance: &str) -> Option<QuotaGrantBatch> {
        let asked = self.asked.remove(instance)?;
        let places = asked.dependencies.iter().filter_map(|(name, of)| {
            let place = self.places.get_mut(name)?;
            let phase = phase_at(place.phase, now);
            let mut shares = BTreeMap::new();
            for (kind, claim) in &of.requests {
                let Some((holder, keeper)) = place.kinds.get_mut(kind) else {
                    continue;
                };
                let (may, until) = holder.usable(now);
                keeper.set_budget(may);
                shares.insert(*kind, keeper.handle_request(now, instance, claim, until));
            }
            Some((
                name.clone(),
                DependencyGrant {
                    phase,
                    grants: shares,
                },
            ))
        });
        Some(QuotaGrantBatch {
            incarnation: asked.incarnation,
            request_id: asked.request_id,
            dependencies: places.collect(),
        })
    }

    /// A round: what is asked of whoever leads.
    pub fn request(&mut self, now: f64) -> QuotaRequestBatch {
        let lately = self.lease.lease_seconds;
        let places = self.places.iter_mut().map(|(name, place)| {
            place.sights.retain(|_, (at, _)| now <= *at + lately);
            let mut sight = DependencyHealth::default();
            place.sights.values().for_each(|(_, of)| sight.add(of));
            (sight.succeeded_calls, sight.failed_calls) = (
                std::mem::take(&mut place.good),
                std::mem::take(&mut place.bad),
            );
            let phase = place.phase.map(|(phase, _)| phase);
            let spent = std::mem::take(&mut place.spent);
            let claims = place.kinds.iter_mut().map(|(kind, (holder, keeper))| {
                let ((need, worth), spent) =
                    (keeper.total_demand(), spent.get(kind).copied().unwrap_or(0));
                (
                    *kind,
                    QuotaRequest {
                        calls_spent: spent,
                        ..holder.request_for(now, need, worth, keeper.outstanding(now))
                    },
                )
            });
            let claims = claims.collect();
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
            zone: self.zone.clone(),
            dependencies: places,
        }
    }

    /// The answer of whoever leads, however late. Whether instances should hear of it at once: something fares differently.
    pub fn handle_grants(&mut self, now: f64, given: &QuotaGrantBatch) -> bool {
        let asked = if given.incarnation == self.life {
            self.rounds.answered(given.request_id)
        } else {
            None
        };
        let Some(asked) = asked else { return false };
        let mut news = false;
        let until = asked + self.lease.holder_duration(self.lease.lease_seconds);
        for (name, of) in &given.dependencies {
            let Some(place) = self.places.get_mut(name) else {
                continue;
            };
            if let Some(phase) = of.phase.filter(|_| now < until) {
                news |= place
                    .phase
                    .replace((phase, until))
                    .is_none_or(|(before, _)| before != phase);
            }
            for (kind, share) in &of.grants {
                if let Some((holder, _)) = place.kinds.get_mut(kind) {
                    holder.handle_grant(share);
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
    pub fn has_unhealthy_dependency(&self, now: f64) -> bool {
        self.places
            .values()
            .any(|place| phase_at(place.phase, now).is_some_and(|phase| phase != Phase::Healthy))
    }

    /// What is held of a kind, calls a second, and what of it each instance may be spending; for reports.
    pub fn granted(
        &self,
        now: f64,
        name: &str,
        kind: CallKind,
    ) -> Option<(u32, BTreeMap<String, u32>)> {
        let (holder, keeper) = self.places.get(name)?.kinds.get(&kind)?;
        Some((holder.usable(now).0, keeper.outstanding_by_holder(now)))
    }
}
