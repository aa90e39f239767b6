//! The parts of the fleet's budgets by hand: how a dependency fares, what a host has set aside, and what an instance may spend.

use std::collections::BTreeMap;

use merlinshelf_quota::kinds::{check, check_against};
use merlinshelf_quota::{
    Bank, Budgets, CATALOGUE, House, Kind, Lease, Phase, Recovery, Sight, Spender, purse,
};

const LEASE: Lease = Lease {
    lease_s: 2.0,
    drift: 0.02,
};

fn sight(instances: u32, failing: u32, good: u32, bad: u32) -> Sight {
    Sight {
        instances,
        failing,
        good,
        bad,
    }
}

fn budgets(kinds: &[(Kind, u32)]) -> Budgets {
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
            fares.was(now, Phase::Well, most);
        }
        fares.heard(now, "one", sight);
        fares.advance(now, most);
        lines.push(format!(
            "{now:>4} {what}: {:?} {}",
            fares.phase(),
            fares.step()
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn what_nobody_calls_is_opened_all_the_same() {
    let mut fares = Recovery::new(0.0, 2.0, Some(16));
    let opened = (1..200).find(|tick| {
        fares.advance(f64::from(*tick) * 0.1, Some(16));
        fares.phase() == Phase::Well
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
        match purse::draw(&bytes, now, 3, 0.02) {
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
    let torn = purse::draw(&bytes[..bytes.len() - 3], 105.0, 3, 0.02).expect_err("torn");
    let torn = torn.expect("counted as spent");
    assert!(
        purse::draw(&torn, 105.5, 3, 0.02).is_err() && purse::draw(&torn, 106.1, 3, 0.02).is_ok()
    );
    // Later than now: from before the machine's last start.
    assert!(purse::draw(&1e9_f64.to_le_bytes(), 5.0, 1, 0.02).is_ok());
    assert!(purse::draw(&f64::NAN.to_le_bytes(), 5.0, 1, 0.02).is_err());
}

/// One leader, one host, one instance, a round at a time.
struct Three {
    bank: Bank,
    house: House,
    spender: Spender,
    now: f64,
}

impl Three {
    fn new(all: &Budgets, aside: &Budgets) -> Three {
        let mut bank = Bank::elected(LEASE, 1);
        bank.bound(all, aside, 1);
        let mut house = House::new(1, LEASE, "z");
        house.bound(0.0, all);
        let mut spender = Spender::new(7, LEASE);
        spender.bound(all);
        Three {
            bank,
            house,
            spender,
            now: 0.0,
        }
    }

    fn round(&mut self) {
        self.now += 0.25;
        if let Some(given) = self.house.answers(self.now, "i") {
            self.spender.given(self.now, &given, &mut || 0.0);
        }
        self.house.asked(self.now, "i", self.spender.asks(self.now));
        let asked = self.house.asks(self.now);
        let given = self.bank.asked(self.now, "h", &asked);
        self.house.given(self.now, &given);
    }
}

#[test]
fn an_instance_is_bounded_until_it_is_known_how_the_dependency_fares() {
    let all = budgets(&[(Kind::First, 16), (Kind::Probes, 3), (Kind::Again, 5)]);
    let mut three = Three::new(
        &all,
        &budgets(&[(Kind::First, 1), (Kind::Probes, 1), (Kind::Again, 1)]),
    );
    let left = three.spender.left(0.0, CATALOGUE);
    assert_eq!(
        (left.first, left.probes, left.again, left.closed),
        (0, 0, 0, false)
    );
    assert!(three.spender.lacks(0.0, CATALOGUE, Kind::First));
    three.spender.drew(0.0, CATALOGUE, Kind::First);
    assert_eq!(three.spender.left(0.01, CATALOGUE).first, 1);
    assert_eq!(
        three.spender.left(0.03, CATALOGUE).first,
        0,
        "what was drawn is made at once or not at all"
    );
    // Nobody else calls it: it is opened in steps, and then first calls are not bounded.
    (0..40).for_each(|_| three.round());
    assert_eq!(three.spender.phase(three.now, CATALOGUE), Some(Phase::Well));
    assert_eq!(three.spender.left(three.now, CATALOGUE).first, u32::MAX);
    // It fails here, and so for most of those who call it.
    three.spender.ended(three.now, CATALOGUE, false);
    three.spender.fails(three.now, CATALOGUE, true);
    for _ in 0..16 {
        three.spender.wants(three.now, CATALOGUE, Kind::Probes, 1.0);
        three.round();
    }
    let left = three.spender.left(three.now, CATALOGUE);
    assert!(left.closed && left.probes > 0, "{left:?}");
    three.spender.spent(three.now, CATALOGUE, Kind::Probes, 1);
    three.spender.ended(three.now, CATALOGUE, true);
    let before = three.spender.left(three.now, CATALOGUE).probes;
    assert_eq!(before + 1, left.probes);
    // The probe went well: it is said once that what failed here counts no more.
    (0..2).for_each(|_| three.round());
    assert!(
        three.spender.left(three.now, CATALOGUE).opens
            && !three.spender.left(three.now, CATALOGUE).opens
    );
    // Nobody says anything any more: a share is over after its lease.
    assert_eq!(three.spender.left(three.now + 2.1, CATALOGUE).probes, 0);
}

#[test]
fn a_successor_goes_on_with_what_is_held_and_its_predecessor_holds_nothing() {
    let all = budgets(&[(Kind::Again, 10)]);
    let mut three = Three::new(&all, &budgets(&[(Kind::Again, 1)]));
    for _ in 0..30 {
        (0..3).for_each(|_| three.spender.wants(three.now, CATALOGUE, Kind::Again, 1.0));
        three.round();
    }
    let before = three.spender.left(three.now, CATALOGUE).again;
    assert!(before >= 9, "{before}");
    three.spender.spent(three.now, CATALOGUE, Kind::Again, 4);
    let mut successor = three.spender.pass(8);
    assert_eq!(three.spender.left(three.now, CATALOGUE).again, 0);
    assert_eq!(
        successor.left(three.now, CATALOGUE).again,
        before - 4,
        "what was spent counts on"
    );
}

#[test]
fn figures_that_can_not_be_are_named() {
    assert_eq!(check(&budgets(&[(Kind::Probes, 5)])), Ok(()));
    let figures = [0, 1_000_001]
        .map(|calls| check(&budgets(&[(Kind::First, calls)])).expect_err("it can't be"));
    let none = check_against(&budgets(&[(Kind::Again, 5)]), &Budgets::new(), None)
        .expect_err("not in the base");
    let fewer = check_against(
        &budgets(&[(Kind::Again, 5)]),
        &budgets(&[(Kind::Again, 2)]),
        Some(3),
    );
    let lines = [
        figures[0].clone(),
        figures[1].clone(),
        none,
        fewer.expect_err("too few"),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
