//! The parts of the fleet's budgets by hand: how a dependency fares, what a host has set aside, and what an instance may spend.

use std::collections::BTreeMap;

use merlinshelf_quota::budget::{validate, validate_against_reserve};
use merlinshelf_quota::{
    Budgets, CATALOGUE, CallKind, DependencyHealth, FleetAllocator, HostAllocator, LeaseTerms,
    Phase, QuotaClient, Recovery, reserve,
};

const LEASE: LeaseTerms = LeaseTerms {
    lease_seconds: 2.0,
    drift: 0.02,
};

fn sight(instances: u32, failing: u32, good: u32, bad: u32) -> DependencyHealth {
    DependencyHealth {
        calling_instances: instances,
        failing_instances: failing,
        succeeded_calls: good,
        failed_calls: bad,
    }
}

fn budgets(kinds: &[(CallKind, u32)]) -> Budgets {
    BTreeMap::from([(CATALOGUE.to_owned(), kinds.iter().copied().collect())])
}

#[test]
fn a_dependency_fails_for_most_and_is_opened_in_steps() {
    let most = Some(64);
    let mut fares = Recovery::new(0.0, 2.0, most);
    let mut lines = Vec::new();
    let script = [
        ("nothing is known", 0.0, sight(0, 0, 0, 0)),
        ("told as well before", 0.1, sight(4, 0, 9, 0)),
        ("one says that it fails", 1.0, sight(4, 1, 9, 3)),
        ("half", 1.3, sight(4, 2, 5, 5)),
        ("most, while half goes well", 1.55, sight(4, 3, 5, 5)),
        ("most", 1.8, sight(4, 3, 1, 9)),
        ("a probe that fails", 2.0, sight(4, 4, 0, 1)),
        ("a probe that goes well", 2.3, sight(4, 3, 1, 0)),
        ("before a step is over", 2.4, sight(4, 2, 4, 0)),
        ("all good", 2.6, sight(4, 1, 4, 0)),
        ("all good", 2.9, sight(4, 0, 9, 1)),
        ("a third is not", 3.2, sight(4, 0, 6, 3)),
        ("all good", 3.5, sight(4, 0, 9, 0)),
        ("nearly all are not", 3.8, sight(4, 0, 1, 9)),
        ("a probe that goes well", 4.1, sight(4, 3, 1, 0)),
        ("all good", 4.4, sight(4, 0, 8, 0)),
        ("all good", 4.7, sight(4, 0, 16, 0)),
        ("all good", 5.0, sight(4, 0, 32, 0)),
        ("all good", 5.3, sight(4, 0, 64, 0)),
        ("most", 6.0, sight(4, 4, 0, 9)),
        ("half goes well", 6.3, sight(4, 3, 1, 1)),
        ("half", 6.6, sight(4, 2, 9, 8)),
        ("half as many, and no better", 6.9, sight(4, 2, 5, 4)),
        ("half", 7.2, sight(4, 2, 9, 9)),
        ("half", 7.5, sight(4, 2, 9, 9)),
        ("half", 7.8, sight(4, 2, 9, 9)),
    ];
    for (what, now, sight) in script {
        if what == "told as well before" {
            fares.resume_from(now, Phase::Healthy, most);
        }
        fares.record_health(now, "one", sight);
        fares.advance(now, most);
        lines.push(format!(
            "{now:>4} {what}: {:?} {}",
            fares.phase(),
            fares.calls_per_second()
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn what_nobody_calls_is_opened_all_the_same() {
    let mut fares = Recovery::new(0.0, 2.0, Some(16));
    let opened = (1..200).find(|tick| {
        fares.advance(f64::from(*tick) * 0.1, Some(16));
        fares.phase() == Phase::Healthy
    });
    assert!(
        opened.is_some_and(|tick| (20..80).contains(&tick)),
        "{opened:?}"
    );
}

#[test]
fn a_purse_gives_so_many_in_any_second_and_counts_what_is_torn_as_spent() {
    let (mut bytes, mut drawn) = (Vec::new(), Vec::new());
    for tick in 0..500 {
        let now = 100.0 + f64::from(tick) * 0.01;
        match reserve::draw(&bytes, now, 3, 0.02) {
            Ok(next) => {
                bytes = next;
                drawn.push(now);
            }
            Err(next) => bytes = next.unwrap_or(bytes),
        }
    }
    assert!(
        drawn.windows(4).all(|four| four[3] - four[0] > 1.05),
        "{drawn:?}"
    );
    assert!(drawn.len() >= 12, "{drawn:?}");
    let torn = reserve::draw(&bytes[..bytes.len() - 3], 105.0, 3, 0.02).expect_err("torn");
    let torn = torn.expect("counted as spent");
    assert!(
        reserve::draw(&torn, 105.5, 3, 0.02).is_err()
            && reserve::draw(&torn, 106.1, 3, 0.02).is_ok()
    );
    // Later than now: from before the machine's last start.
    assert!(reserve::draw(&1e9_f64.to_le_bytes(), 5.0, 1, 0.02).is_ok());
    assert!(reserve::draw(&f64::NAN.to_le_bytes(), 5.0, 1, 0.02).is_err());
}

/// One leader, one host, one instance, a round at a time.
struct Three {
    bank: FleetAllocator,
    house: HostAllocator,
    spender: QuotaClient,
    now: f64,
}

impl Three {
    fn new(all: &Budgets, aside: &Budgets) -> Three {
        let mut bank = FleetAllocator::elected(LEASE, 1);
        bank.set_budgets(all, aside, 1);
        let mut house = HostAllocator::new(1, LEASE, "z");
        house.set_budgets(0.0, all);
        let mut spender = QuotaClient::new(7, LEASE);
        spender.set_budgets(all);
        Three {
            bank,
            house,
            spender,
            now: 0.0,
        }
    }

    fn round(&mut self) {
        self.now += 0.25;
        if let Some(given) = self.house.take_grants(self.now, "i") {
            self.spender.handle_grants(self.now, &given, &mut || 0.0);
        }
        self.house
            .handle_request(self.now, "i", self.spender.request(self.now));
        let asked = self.house.request(self.now);
        let given = self.bank.handle_request(self.now, "h", &asked);
        self.house.handle_grants(self.now, &given);
    }
}

#[test]
fn an_instance_is_bounded_until_it_is_known_how_the_dependency_fares() {
    let all = budgets(&[
        (CallKind::FirstCall, 16),
        (CallKind::Probe, 3),
        (CallKind::Retry, 5),
    ]);
    let mut three = Three::new(
        &all,
        &budgets(&[
            (CallKind::FirstCall, 1),
            (CallKind::Probe, 1),
            (CallKind::Retry, 1),
        ]),
    );
    let left = three.spender.remaining(0.0, CATALOGUE);
    assert_eq!(
        (
            left.first_calls,
            left.probes,
            left.retries,
            left.probes_only
        ),
        (0, 0, 0, false)
    );
    assert!(
        three
            .spender
            .needs_reserve(0.0, CATALOGUE, CallKind::FirstCall)
    );
    three
        .spender
        .record_reserve_draw(0.0, CATALOGUE, CallKind::FirstCall);
    assert_eq!(three.spender.remaining(0.01, CATALOGUE).first_calls, 1);
    assert_eq!(
        three.spender.remaining(0.03, CATALOGUE).first_calls,
        0,
        "what was drawn is made at once or not at all"
    );
    // Nobody else calls it: it is opened in steps, and then first calls are not bounded.
    (0..40).for_each(|_| three.round());
    assert_eq!(
        three.spender.phase(three.now, CATALOGUE),
        Some(Phase::Healthy)
    );
    assert_eq!(
        three.spender.remaining(three.now, CATALOGUE).first_calls,
        u32::MAX
    );
    // It fails here, and so for most of those who call it.
    three.spender.record_call_end(three.now, CATALOGUE, false);
    three.spender.set_failing(three.now, CATALOGUE, true);
    for _ in 0..16 {
        three
            .spender
            .record_demand(three.now, CATALOGUE, CallKind::Probe, 1.0);
        three.round();
    }
    let left = three.spender.remaining(three.now, CATALOGUE);
    assert!(left.probes_only && left.probes > 0, "{left:?}");
    three
        .spender
        .record_spent(three.now, CATALOGUE, CallKind::Probe, 1);
    three.spender.record_call_end(three.now, CATALOGUE, true);
    let before = three.spender.remaining(three.now, CATALOGUE).probes;
    assert_eq!(before + 1, left.probes);
    // The probe went well: it is said once that what failed here counts no more.
    (0..2).for_each(|_| three.round());
    assert!(
        three.spender.remaining(three.now, CATALOGUE).reopened
            && !three.spender.remaining(three.now, CATALOGUE).reopened
    );
    // Nobody says anything any more: a share is over after its lease.
    assert_eq!(
        three.spender.remaining(three.now + 2.1, CATALOGUE).probes,
        0
    );
}

#[test]
fn a_successor_goes_on_with_what_is_held_and_its_predecessor_holds_nothing() {
    let all = budgets(&[(CallKind::Retry, 10)]);
    let mut three = Three::new(&all, &budgets(&[(CallKind::Retry, 1)]));
    for _ in 0..30 {
        (0..3).for_each(|_| {
            three
                .spender
                .record_demand(three.now, CATALOGUE, CallKind::Retry, 1.0)
        });
        three.round();
    }
    let before = three.spender.remaining(three.now, CATALOGUE).retries;
    assert!(before >= 9, "{before}");
    three
        .spender
        .record_spent(three.now, CATALOGUE, CallKind::Retry, 4);
    let mut successor = three.spender.begin_handover(8);
    assert_eq!(three.spender.remaining(three.now, CATALOGUE).retries, 0);
    assert_eq!(
        successor.remaining(three.now, CATALOGUE).retries,
        before - 4,
        "what was spent counts on"
    );
}

#[test]
fn figures_that_can_not_be_are_named() {
    assert_eq!(validate(&budgets(&[(CallKind::Probe, 5)])), Ok(()));
    let figures = [0, 1_000_001]
        .map(|calls| validate(&budgets(&[(CallKind::FirstCall, calls)])).expect_err("it can't be"));
    let none = validate_against_reserve(&budgets(&[(CallKind::Retry, 5)]), &Budgets::new(), None)
        .expect_err("not in the base");
    let fewer = validate_against_reserve(
        &budgets(&[(CallKind::Retry, 5)]),
        &budgets(&[(CallKind::Retry, 2)]),
        Some(3),
    );
    let lines = [
        figures[0].to_string(),
        figures[1].to_string(),
        none.to_string(),
        fewer.expect_err("too few").to_string(),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
