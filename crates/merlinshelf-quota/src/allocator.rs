//! Who shares out: never more than the budget, counted over all that may still be spent.

use std::collections::BTreeMap;

use crate::LeaseTerms;
use crate::messages::{QuotaGrant, QuotaRequest};

/// A share that was given, and until when it may show in a second, by the keeper's clock.
#[derive(Clone, Copy, Debug)]
struct IssuedGrant {
    number: u64,
    calls: u32,
    over: f64,
}

/// One holder, as its keeper knows it.
#[derive(Clone, Debug, Default)]
struct HolderState {
    given: Vec<IssuedGrant>,
    need: u32,
    worth: f64,
    heard_at: f64,
    /// When its last turn began, where there are more holders than calls.
    turn_at: Option<f64>,
}

impl HolderState {
    /// By what its wishes count against others' beyond an even part.
    fn weight(&self) -> f64 {
        self.worth.max(1e-9)
    }

    /// The most that it may be spending.
    fn may(&self, now: f64) -> u32 {
        self.given
            .iter()
            .filter(|given| given.over > now)
            .map(|given| given.calls)
            .max()
            .unwrap_or(0)
    }
}

/// The state machine. `now` is the keeper's own clock in seconds.
#[derive(Clone, Debug)]
pub struct Allocator {
    lease: LeaseTerms,
    budget: u32,
    /// Nothing is given before: what an earlier keeper gave may be spent until then.
    from: f64,
    /// A number that no other keeper has.
    id: u64,
    /// Of what nobody needs half stays here, for whoever needs it next; else all of it is spread.
    holds_back: bool,
    number: u64,
    /// By name and life: a process and its successor may both be spending for a while.
    parts: BTreeMap<(String, u64), HolderState>,
}

/// Who a part is.
type Who = (String, u64);

impl Allocator {
    /// One that takes over at `now` from another one that may have given until then. `id` is a number that no other keeper has.
    pub fn taking_over(now: f64, lease: LeaseTerms, budget: u32, id: u64) -> Allocator {
        Allocator {
            lease,
            budget,
            from: lease.expired_by(now),
            id,
            holds_back: true,
            number: 0,
            parts: BTreeMap::new(),
        }
    }

    /// One that nobody was before, or whose forerunner shared out of another budget.
    pub fn first(now: f64, lease: LeaseTerms, budget: u32, id: u64) -> Allocator {
        Allocator {
            from: now,
            holds_back: false,
            ..Allocator::taking_over(now, lease, budget, id)
        }
    }

    /// What may be shared out from here on. Less takes hold as shares run out.
    pub fn set_budget(&mut self, budget: u32) {
        self.budget = budget;
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    pub fn budget(&self) -> u32 {
        self.budget
    }

    /// The most that all holders together may be spending.
    pub fn outstanding(&self, now: f64) -> u32 {
        self.parts.values().map(|part| part.may(now)).sum()
    }

    /// What each may be spending, by name; lives of one holder together.
    pub fn outstanding_by_holder(&self, now: f64) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for ((name, _), part) in &self.parts {
            *all.entry(name.clone()).or_default() += part.may(now);
        }
        all
    }

    /// What all of them need, and the mean worth of what they refused: what a host asks for.
    pub fn total_demand(&self) -> (u32, f64) {
        let need = self
            .parts
            .values()
            .fold(0_u32, |sum, part| sum.saturating_add(part.need));
        let refusing: Vec<f64> = self
            .parts
            .values()
            .map(|part| part.worth)
            .filter(|worth| *worth > 0.0)
            .collect();
        (
            need,
            refusing.iter().sum::<f64>() / refusing.len().max(1) as f64,
        )
    }

    /// A holder claims its share, and gets what it may spend. `until`: when what is shared out here ends itself.
    pub fn handle_request(
        &mut self,
        now: f64,
        who: &str,
        claim: &QuotaRequest,
        until: Option<f64>,
    ) -> QuotaGrant {
        let silent = self.lease.expired_by(0.0);
        self.parts
            .retain(|_, part| part.may(now) > 0 || now < part.heard_at + silent);
        let own: Who = (who.to_owned(), claim.incarnation);
        // A life that another one of the same holder came after needs nothing more.
        self.parts
            .iter_mut()
            .filter(|((name, _), _)| name == who)
            .for_each(|(_, part)| part.need = 0);
        let part = self.parts.entry(own.clone()).or_default();
        (part.need, part.worth, part.heard_at) = (claim.calls_needed, claim.priority_weight, now);
        // What came before the share that it goes by is spent no more, and shows for a while.
        let shows = now + self.lease.window() * (1.0 + self.lease.drift);
        let heard = if claim.acknowledged_grant.0 == self.id {
            claim.acknowledged_grant.1
        } else {
            0
        };
        for given in part.given.iter_mut().filter(|given| given.number < heard) {
            given.over = given.over.min(shows);
        }
        part.given.retain(|given| given.over > now);
        let others: u32 = self
            .parts
            .iter()
            .filter(|(of, _)| **of != own)
            .map(|(_, of)| of.may(now))
            .sum();
        let free = if now < self.from {
            0
        } else {
            self.budget.saturating_sub(others)
        };
        let calls = self.target(now, &own).min(free);
        self.number += 1;
        let number = self.number;
        let left = until.map_or(self.lease.lease_seconds, |until| {
            (until - now).clamp(0.0, self.lease.lease_seconds)
        });
        if let Some(part) = self.parts.get_mut(&own) {
            if calls > 0 && part.may(now) == 0 {
                part.turn_at = Some(now);
            }
            let over = LeaseTerms {
                lease_seconds: left,
                ..self.lease
            }
            .expired_by(now);
            part.given.push(IssuedGrant {
                number,
                calls,
                over,
            });
        }
        QuotaGrant {
            incarnation: claim.incarnation,
            request_id: claim.request_id,
            allocator_id: self.id,
            grant_number: number,
            calls_per_second: calls,
            duration_seconds: left,
        }
    }

    /// What a holder is to have of the whole budget, by all needs that are known: an even part first, then by worth. What nobody
    /// needs is spread over all, so that a need which comes all at once finds something: else the first second of each found nothing.
    fn target(&self, now: f64, who: &Who) -> u32 {
        let needing: Vec<(&Who, &HolderState)> = self
            .parts
            .iter()
            .filter(|(_, part)| part.need > 0)
            .collect();
        if needing.len() as u64 > u64::from(self.budget) {
            return u32::from(self.on_turn(now, needing).any(|name| name == who));
        }
        let even = self.budget / (needing.len() as u32).max(1);
        let mut parts: Vec<(&Who, &HolderState, u32)> = needing
            .iter()
            .map(|(name, part)| (*name, *part, part.need.min(even)))
            .collect();
        let mut left = self.budget - parts.iter().map(|(.., calls)| calls).sum::<u32>();
        // What is left goes by worth, to those that want more: in proportion first, what does not divide one by one.
        while left > 0 {
            let short: f64 = parts
                .iter()
                .filter(|(_, part, calls)| *calls < part.need)
                .map(|(_, part, _)| part.weight())
                .sum();
            let (of, before) = (f64::from(left), left);
            for (_, part, calls) in parts
                .iter_mut()
                .filter(|(_, part, calls)| *calls < part.need)
            {
                let more = (of * part.weight() / short) as u32;
                let more = more.min(part.need - *calls).min(left);
                (*calls, left) = (*calls + more, left - more);
            }
            if left < before {
                continue;
            }
            let short = parts
                .iter_mut()
                .filter(|(_, part, calls)| *calls < part.need);
            let most = short.max_by(|one, other| {
                let by = |of: &(&Who, &HolderState, u32)| of.1.weight() / f64::from(of.2 + 1);
                by(one).total_cmp(&by(other))
            });
            let Some((.., calls)) = most else { break };
            (*calls, left) = (*calls + 1, left - 1);
        }
        let spare =
            if self.holds_back { left / 2 } else { left } / (self.parts.len() as u32).max(1);
        spare
            + parts
                .iter()
                .find(|(name, ..)| *name == who)
                .map_or(0, |(.., calls)| *calls)
    }

    /// Whose turn it is, where more need something than there are calls: who is within a turn of one lease, then who waits longest.
    fn on_turn<'a>(
        &self,
        now: f64,
        mut needing: Vec<(&'a Who, &'a HolderState)>,
    ) -> impl Iterator<Item = &'a Who> {
        let within = |part: &HolderState| {
            part.may(now) > 0
                && part
                    .turn_at
                    .is_some_and(|at| now < at + self.lease.lease_seconds)
        };
        needing.sort_by(|(_, one), (_, other)| {
            let by =
                |part: &HolderState| (!within(part), part.turn_at.unwrap_or(f64::NEG_INFINITY));
            let (one, other) = (by(one), by(other));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        });
        needing
            .into_iter()
            .take(self.budget as usize)
            .map(|(name, _)| name)
    }
}
