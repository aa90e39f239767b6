//! The fleet's budgets, as this agent has its part in them: what its instances ask goes up with its own asking for a lease, what
//! whoever leads gives comes down with that lease, and from there with the beats.

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_fleet::fleet_spec::ConsensusConfig;
use merlinshelf_policy::HostLeaseRequest;
use merlinshelf_quota::allocator::GrantReport;
use merlinshelf_quota::fleet_allocator::BudgetReport;
use merlinshelf_quota::{
    Budgets, CallKind, FleetAllocator, HostAllocator, LeaseTerms, QuotaGrantBatch,
    QuotaRequestBatch, budget,
};
use serde_json::{Value, json};

use super::PolicyAgent;

/// Askings of one host whose leases are not granted yet.
const WISHES_MOST: usize = 16;

pub(super) struct Budgeting {
    lease: LeaseTerms,
    pub house: HostAllocator,
    /// Where this agent leads, and in which term.
    bank: Option<(FleetAllocator, u64)>,
    /// By host, what came with its askings: by the number of each.
    wishes: BTreeMap<String, VecDeque<(u64, QuotaRequestBatch)>>,
    bound: Budgets,
}

impl Budgeting {
    pub fn new(of: &ConsensusConfig, life: u64) -> Budgeting {
        let lease = LeaseTerms {
            lease_seconds: of.lease_ms as f64 / 1e3,
            drift: of.drift,
        };
        let house = HostAllocator::new(life, lease, &of.zone);
        Budgeting {
            lease,
            house,
            bank: None,
            wishes: BTreeMap::new(),
            bound: Budgets::new(),
        }
    }

    /// This agent leads from now on, or does not any more.
    pub fn leads(&mut self, term: Option<u64>) {
        self.wishes.clear();
        self.bank = term.map(|term| (FleetAllocator::elected(self.lease, term), term));
    }

    /// What this host asks; none where nothing is bounded.
    pub fn asks(&mut self, now: f64) -> Option<QuotaRequestBatch> {
        (!self.bound.is_empty()).then(|| self.house.request(now))
    }

    /// What came with a host's asking: kept until its lease is granted, since only then it is sure that this agent leads.
    pub fn wished(&mut self, ask: &mut HostLeaseRequest) {
        let Some(wishes) = ask.quota_requests.take() else {
            return;
        };
        let of = self.wishes.entry(ask.host.clone()).or_default();
        of.push_back((ask.request_id, wishes));
        if of.len() > WISHES_MOST {
            of.pop_front();
        }
    }

    /// The lease that a host asked for by this number is granted.
    pub fn granted(&mut self, now: f64, host: &str, token: u64) -> Option<QuotaGrantBatch> {
        let of = self.wishes.get_mut(host)?;
        let place = of.iter().position(|(number, _)| *number == token)?;
        // Older ones are answered by nothing any more.
        let (_, wishes) = of.drain(..=place).next_back()?;
        let (bank, _) = self.bank.as_mut()?;
        Some(bank.handle_request(now, host, &wishes))
    }

    /// What is shared out among all, where this agent leads.
    pub fn shared_out(&self, now: f64) -> Option<Value> {
        let (bank, term) = self.bank.as_ref()?;
        let of = |budget: BudgetReport| {
            let (name, kind) = (budget.dependency, budget.kind);
            let GrantReport {
                available: shared,
                outstanding: to,
            } = bank.granted(now, name, kind);
            json!({
                "dependency": name, "kind": kind, "budget": budget.calls_per_second, "aside_each": budget.reserve_per_host, "shared": shared,
                "granted": to.values().sum::<u32>(), "to": to, "spent_s": bank.spent_per_second(now, name, kind),
                "fares": bank.phases(name),
            })
        };
        let all: Vec<Value> = bank.budgets().map(of).collect();
        Some(json!({ "term": term, "budgets": all }))
    }

    /// What this host holds, and to whom it gave of it.
    fn held(&self, now: f64) -> Vec<Value> {
        let all = self
            .bound
            .iter()
            .flat_map(|(name, kinds)| kinds.keys().map(move |kind| (name, *kind)));
        let of = |(name, kind): (&String, CallKind)| {
            let GrantReport {
                available: held,
                outstanding: to,
            } = self.house.granted(now, name, kind)?;
            let fares = self.house.phase(now, name);
            Some(
                json!({ "dependency": name, "kind": kind, "held": held, "to": to, "fares": fares }),
            )
        };
        all.filter_map(of).collect()
    }
}

impl PolicyAgent {
    /// Hosts that have something set aside: all that sit or are named.
    fn hosts(&self) -> u32 {
        let roll = self
            .seat
            .council()
            .map(|council| council.membership().clone())
            .unwrap_or_default();
        let members = roll.members.into_values().map(|member| member.name);
        let all: std::collections::BTreeSet<String> =
            members.chain(self.of.agents.keys().cloned()).collect();
        all.len() as u32
    }

    /// Budgets by what holds.
    pub(super) fn bound_budgets(&mut self, now: f64) {
        let ledger = &self.seat.ledger;
        let budgets = if ledger.current_version > 0 {
            &ledger.policy.budgets
        } else {
            &self.of.base.budgets
        };
        if *budgets != self.budgeting.bound {
            self.budgeting.bound = budgets.clone();
            self.budgeting.house.set_budgets(now, budgets);
        }
        if self.budgeting.bank.is_some() {
            let hosts = self.hosts();
            if let Some((bank, _)) = &mut self.budgeting.bank {
                bank.set_budgets(&self.budgeting.bound, &self.of.base.budgets, hosts);
            }
        }
    }

    /// # Errors
    /// Budgets that leave less than each host has set aside.
    pub(super) fn budgets_fit(&self, budgets: &Budgets) -> Result<(), String> {
        budget::validate_against_reserve(budgets, &self.of.base.budgets, Some(self.hosts()))
            .map_err(|error| error.to_string())
    }

    /// All of it, for operators.
    pub(super) fn show_budgets(&self, now: f64) -> Value {
        let leader = self.seat.leader();
        let own = self.budgeting.shared_out(now).map(|all| (0.0, all));
        let told = || {
            let (at, said) = self.standings.get(leader?)?;
            Some((now - at, said["budgets"].clone()))
        };
        let (age, all) = own.or_else(told).unwrap_or((0.0, Value::Null));
        json!({
            "agent": self.of.name, "leader": leader, "policy": self.seat.ledger.current_version, "hosts": self.hosts(),
            "age_s": (age * 10.0).round() / 10.0, "budgets": all["budgets"], "here": self.budgeting.held(now),
        })
    }
}
