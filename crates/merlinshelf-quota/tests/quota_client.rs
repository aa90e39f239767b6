//! The calls that an instance may make, with one leading agent, one host and one instance.

use std::collections::BTreeMap;

use merlinshelf_quota::{
    Budgets, CATALOGUE, CallKind, CallOutcome, FleetAllocator, HostAllocator, LeaseTerms, Phase,
    QuotaClient, Remaining,
};

const TERMS: LeaseTerms = LeaseTerms {
    lease_seconds: 2.0,
    drift: 0.02,
};
const INCARNATION: u64 = 7;

fn budgets(kinds: &[(CallKind, u32)]) -> Budgets {
    BTreeMap::from([(CATALOGUE.to_owned(), kinds.iter().copied().collect())])
}

/// One leading agent, one host and one instance, driven round by round.
struct Fleet {
    fleet_allocator: FleetAllocator,
    host_allocator: HostAllocator,
    client: QuotaClient,
    now: f64,
}

impl Fleet {
    fn new(budgets: &Budgets, reserve: &Budgets) -> Fleet {
        let mut fleet_allocator = FleetAllocator::elected(TERMS, 1);
        fleet_allocator.set_budgets(budgets, reserve, 1);
        let mut host_allocator = HostAllocator::new(1, TERMS, "z");
        host_allocator.set_budgets(0.0, budgets);
        let mut client = QuotaClient::new(INCARNATION, TERMS);
        client.set_budgets(budgets);
        Fleet {
            fleet_allocator,
            host_allocator,
            client,
            now: 0.0,
        }
    }

    fn run_round(&mut self) {
        self.now += 0.25;
        if let Some(grants) = self.host_allocator.take_grants(self.now, "i") {
            self.client.handle_grants(self.now, &grants, &mut || 0.0);
        }
        let request = self.client.request(self.now);
        self.host_allocator.handle_request(self.now, "i", request);
        let request = self.host_allocator.request(self.now);
        let grants = self.fleet_allocator.handle_request(self.now, "h", &request);
        self.host_allocator.handle_grants(self.now, &grants);
    }

    fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.run_round();
        }
    }

    fn remaining(&mut self) -> Remaining {
        self.client.remaining(self.now, CATALOGUE)
    }

    fn record_demand(&mut self, kind: CallKind) {
        self.client.record_demand(self.now, CATALOGUE, kind, 1.0);
    }

    fn record_spent(&mut self, kind: CallKind, calls: u32) {
        self.client.record_spent(self.now, CATALOGUE, kind, calls);
    }

    fn record_call_end(&mut self, outcome: CallOutcome) {
        self.client.record_call_end(self.now, CATALOGUE, outcome);
    }

    /// Makes the dependency fail for this instance, which is the only one that calls it.
    fn fail(&mut self) {
        self.record_call_end(CallOutcome::Failed);
        self.client.set_failing(self.now, CATALOGUE, true);
        for _ in 0..16 {
            self.record_demand(CallKind::Probe);
            self.run_round();
        }
    }
}

fn fleet_with_all_limits() -> Fleet {
    Fleet::new(
        &budgets(&[
            (CallKind::FirstCall, 16),
            (CallKind::Probe, 3),
            (CallKind::Retry, 5),
        ]),
        &budgets(&[
            (CallKind::FirstCall, 1),
            (CallKind::Probe, 1),
            (CallKind::Retry, 1),
        ]),
    )
}

/// A fleet in which the dependency is known to be healthy.
fn fleet_with_healthy_dependency() -> Fleet {
    let mut fleet = fleet_with_all_limits();
    assert_eq!(fleet.remaining().first_calls, 0);
    // Without calls to observe, the dependency recovers in steps.
    fleet.run_rounds(40);
    fleet
}

#[test]
fn without_a_grant_a_call_drawn_from_the_reserve_must_be_made_immediately() {
    let mut fleet = fleet_with_all_limits();
    let expected = Remaining {
        probes_only: false,
        reopened: false,
        retries: 0,
        probes: 0,
        first_calls: 0,
    };
    assert_eq!(fleet.remaining(), expected);
    let client = &mut fleet.client;
    assert!(client.needs_reserve(0.0, CATALOGUE, CallKind::FirstCall));
    client.record_reserve_draw(0.0, CATALOGUE, CallKind::FirstCall);
    assert_eq!(client.remaining(0.01, CATALOGUE).first_calls, 1);
    assert_eq!(
        client.remaining(0.03, CATALOGUE).first_calls,
        0,
        "a drawn call must be made immediately or not at all"
    );
}

#[test]
fn first_calls_are_limited_until_the_dependency_is_known_to_be_healthy() {
    let mut fleet = fleet_with_healthy_dependency();
    assert_eq!(
        fleet.client.phase(fleet.now, CATALOGUE),
        Some(Phase::Healthy)
    );
    assert_eq!(fleet.remaining().first_calls, u32::MAX);
}

#[test]
fn a_failing_dependency_gets_only_probes_until_one_succeeds() {
    let mut fleet = fleet_with_healthy_dependency();
    fleet.fail();
    let remaining = fleet.remaining();
    assert!(remaining.probes_only, "{remaining:?}");
    assert!(remaining.probes > 0, "{remaining:?}");
    fleet.record_spent(CallKind::Probe, 1);
    fleet.record_call_end(CallOutcome::Succeeded);
    assert_eq!(fleet.remaining().probes + 1, remaining.probes);
    // After the probe succeeded, it is reported once that earlier failures no longer count.
    fleet.run_rounds(2);
    assert!(fleet.remaining().reopened);
    assert!(!fleet.remaining().reopened);
    // Without further responses the quota expires with its lease.
    fleet.now += 2.1;
    assert_eq!(fleet.remaining().probes, 0);
}

#[test]
fn a_handover_moves_the_quotas_to_the_successor() {
    let mut fleet = Fleet::new(
        &budgets(&[(CallKind::Retry, 10)]),
        &budgets(&[(CallKind::Retry, 1)]),
    );
    for _ in 0..30 {
        for _ in 0..3 {
            fleet.record_demand(CallKind::Retry);
        }
        fleet.run_round();
    }
    let before = fleet.remaining().retries;
    assert!(before >= 9, "{before}");
    fleet.record_spent(CallKind::Retry, 4);
    let mut successor = fleet.client.begin_handover(INCARNATION + 1);
    assert_eq!(fleet.remaining().retries, 0);
    assert_eq!(
        successor.remaining(fleet.now, CATALOGUE).retries,
        before - 4,
        "spent calls still count"
    );
}
