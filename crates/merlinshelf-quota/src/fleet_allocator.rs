//! The part of whoever leads, for all budgets together: it shares them out among the hosts, and says how dependencies fare.

use std::collections::{BTreeMap, VecDeque};

use crate::LeaseTerms;
use crate::allocator::Allocator;
use crate::budget::{Budgets, CallKind, budget_of};
use crate::messages::{DependencyGrant, QuotaGrantBatch, QuotaRequestBatch};
use crate::recovery::{Phase, Recovery};

/// The state machine. `now` is its own clock in seconds.
#[derive(Clone, Debug)]
pub struct FleetAllocator {
    lease: LeaseTerms,
    id: u64,
    budgets: Budgets,
    /// What each host has set aside.
    aside: Budgets,
    hosts: u32,
    keepers: BTreeMap<(String, CallKind), Allocator>,
    /// By dependency and zone.
    fares: BTreeMap<(String, String), Recovery>,
    /// What was spent of shares lately, as hosts said it: when, and how many; for reports.
    spent: BTreeMap<(String, CallKind), VecDeque<(f64, u32)>>,
}

/// Over how long it is said what was spent, seconds.
const SPENT_OVER: f64 = 5.0;

impl FleetAllocator {
    /// One that was just elected. `id` is a number that no other one has, such as its term.
    pub fn elected(lease: LeaseTerms, id: u64) -> FleetAllocator {
        FleetAllocator {
            lease,
            id,
            budgets: Budgets::new(),
            aside: Budgets::new(),
            hosts: 0,
            keepers: BTreeMap::new(),
            fares: BTreeMap::new(),
            spent: BTreeMap::new(),
        }
    }

    /// What holds from here on: `budgets` for all, of which `aside` is set aside for each of so many hosts. Less takes hold
    /// as shares run out.
    pub fn set_budgets(&mut self, budgets: &Budgets, aside: &Budgets, hosts: u32) {
        if (&self.budgets, &self.aside, self.hosts) == (budgets, aside, hosts) {
            return;
        }
        (self.budgets, self.aside, self.hosts) = (budgets.clone(), aside.clone(), hosts);
        // One that is bounded no more and then again: what was given in between may be spent, as if by an earlier one.
        self.keepers.retain(|(name, kind), _| {
            budgets
                .get(name)
                .is_some_and(|kinds| kinds.contains_key(kind))
        });
        self.fares.retain(|(name, _), _| budgets.contains_key(name));
    }

    /// What may be shared out of a budget: all of it but what is set aside.
    fn shared(&self, name: &str, kind: CallKind) -> u32 {
        let of = |all: &Budgets| budget_of(all, name, kind).unwrap_or(0);
        of(&self.budgets).saturating_sub(of(&self.aside).saturating_mul(self.hosts))
    }

    /// A host asks; the answer goes out once it is sure that this one still leads.
    pub fn handle_request(
        &mut self,
        now: f64,
        host: &str,
        asked: &QuotaRequestBatch,
    ) -> QuotaGrantBatch {
        for (name, of) in asked
            .dependencies
            .iter()
            .filter(|(name, _)| self.budgets.contains_key(*name))
        {
            let of_zone = (name.clone(), asked.zone.clone());
            let (lease, most) = (
                self.lease.lease_seconds,
                budget_of(&self.budgets, name, CallKind::FirstCall),
            );
            let fares = self
                .fares
                .entry(of_zone)
                .or_insert_with(|| Recovery::new(now, lease, most));
            if let Some(phase) = of.phase {
                fares.resume_from(now, phase, most);
            }
            fares.record_health(now, host, of.health);
        }
        self.advance(now);
        let mut places = BTreeMap::new();
        for (name, of) in &asked.dependencies {
            let Some(kinds) = self.budgets.get(name).cloned() else {
                continue;
            };
            let phase = self
                .fares
                .get(&(name.clone(), asked.zone.clone()))
                .map(Recovery::phase);
            let mut shares = BTreeMap::new();
            for (kind, claim) in of
                .requests
                .iter()
                .filter(|(kind, _)| kinds.contains_key(kind))
            {
                let spent = self.spent.entry((name.clone(), *kind)).or_default();
                spent.push_back((now, claim.calls_spent));
                while spent.front().is_some_and(|(at, _)| *at < now - SPENT_OVER) {
                    spent.pop_front();
                }
                let budget = self.budget(name, *kind);
                let (lease, id) = (self.lease, self.id);
                // A kind that is new here may have been shared out before: by an earlier leader, or under an earlier policy.
                let keeper = self
                    .keepers
                    .entry((name.clone(), *kind))
                    .or_insert_with(|| Allocator::taking_over(now, lease, budget, id));
                keeper.set_budget(budget);
                shares.insert(*kind, keeper.handle_request(now, host, claim, None));
            }
            places.insert(
                name.clone(),
                DependencyGrant {
                    phase,
                    grants: shares,
                },
            );
        }
        QuotaGrantBatch {
            incarnation: asked.incarnation,
            request_id: asked.request_id,
            dependencies: places,
        }
    }

    /// Calls a second that are shared out of a kind now.
    fn budget(&self, name: &str, kind: CallKind) -> u32 {
        let shared = self.shared(name, kind);
        if kind != CallKind::FirstCall {
            return shared;
        }
        let steps = self
            .fares
            .iter()
            .filter(|((of, _), _)| of == name)
            .map(|(_, fares)| fares.calls_per_second());
        shared.min(steps.fold(0, u32::saturating_add))
    }

    fn advance(&mut self, now: f64) {
        for ((name, _), fares) in &mut self.fares {
            fares.advance(now, budget_of(&self.budgets, name, CallKind::FirstCall));
        }
    }

    /// By zone, how a dependency fares; for reports.
    pub fn phases(&self, name: &str) -> BTreeMap<String, Phase> {
        let of = self.fares.iter().filter(|((of, _), _)| of == name);
        of.map(|((_, zone), fares)| (zone.clone(), fares.phase()))
            .collect()
    }

    /// What of a kind was spent a second lately, of shares alone; for reports.
    pub fn spent_per_second(&self, now: f64, name: &str, kind: CallKind) -> f64 {
        let spent = self
            .spent
            .get(&(name.to_owned(), kind))
            .into_iter()
            .flatten();
        let sum: u32 = spent
            .filter(|(at, _)| *at > now - SPENT_OVER)
            .map(|(_, calls)| calls)
            .sum();
        f64::from(sum) / SPENT_OVER
    }

    /// Dependencies, kinds and their budgets, with what each host has set aside of it.
    pub fn budgets(&self) -> impl Iterator<Item = (&String, CallKind, u32, u32)> {
        self.budgets.iter().flat_map(move |(name, kinds)| {
            kinds.iter().map(move |(kind, calls)| {
                let aside = budget_of(&self.aside, name, *kind).unwrap_or(0);
                (name, *kind, *calls, aside)
            })
        })
    }

    /// What is shared out of a kind now, and what of it each host may be spending; for reports.
    pub fn granted(&self, now: f64, name: &str, kind: CallKind) -> (u32, BTreeMap<String, u32>) {
        let keeper = self.keepers.get(&(name.to_owned(), kind));
        (
            self.budget(name, kind),
            keeper
                .map(|keeper| keeper.outstanding_by_holder(now))
                .unwrap_or_default(),
        )
    }
}
