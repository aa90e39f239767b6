//! Servers that slow, fail, hang and recover in virtual time; budgets of time and of attempts; lists that change.

use std::collections::BTreeMap;

use merlinshelf_dependencies::fallback::instead;
use merlinshelf_dependencies::{
    AttemptOutcome, CallResult, ConcurrencyLimit, DegradedResult, Dependencies, Effect, Missing,
    Outcome, Pool, RetryBudget, ServerHealth, WaitQueue, allowance, subset,
};

/// A small generator of chance, by seed.
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn list(count: usize) -> Vec<(String, String, f64)> {
    (0..count)
        .map(|place| {
            (
                format!("s{place}"),
                if place % 2 == 0 { "a" } else { "b" }.to_owned(),
                1.0,
            )
        })
        .collect()
}

/// How a server behaves: how long it takes, and how the call ends.
type Manner = (f64, Outcome);

/// Calls at a rate to servers in virtual time; how many each got, and when each call ended.
struct World {
    now: f64,
    pool: Pool,
    chance: Chance,
    manners: Vec<Manner>,
    open: Vec<(f64, usize, f64)>,
    got: BTreeMap<usize, u32>,
    well: u32,
    all: u32,
}

impl World {
    fn new(count: usize, zone: &str) -> World {
        World {
            now: 0.0,
            pool: Pool::new(0.0, &list(count), zone, 0.5),
            chance: Chance(7),
            manners: vec![(0.010, Outcome::Succeeded); count],
            open: Vec::new(),
            got: BTreeMap::new(),
            well: 0,
            all: 0,
        }
    }

    fn play(&mut self, seconds: f64) {
        (self.got, self.well, self.all) = (BTreeMap::new(), 0, 0);
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.002;
            let now = self.now;
            let mut ended: Vec<(f64, usize, f64)> = Vec::new();
            self.open.retain(|call| {
                let over = call.0 <= now;
                if over {
                    ended.push(*call);
                }
                !over
            });
            for (_, place, began) in ended {
                let outcome = self.manners[place].1;
                self.well += u32::from(outcome == Outcome::Succeeded);
                self.pool.ended(now, place, outcome, now - began);
            }
            let chance = &mut self.chance;
            if let Some(place) = self.pool.pick(now, &[], &mut || chance.next()) {
                *self.got.entry(place).or_default() += 1;
                self.all += 1;
                self.open.push((now + self.manners[place].0, place, now));
            }
        }
    }

    fn share(&self, place: usize) -> f64 {
        f64::from(self.got.get(&place).copied().unwrap_or(0)) / f64::from(self.all.max(1))
    }

    fn is_in(&self, place: usize) -> bool {
        self.pool.servers()[place].standing == ServerHealth::In
    }
}

#[test]
fn calls_spread_evenly_among_like_servers() {
    let mut world = World::new(5, "");
    world.play(10.0);
    for place in 0..5 {
        assert!(
            (0.15..0.25).contains(&world.share(place)),
            "{:?}",
            world.got
        );
    }
}

#[test]
fn a_slow_a_failing_and_a_hanging_server_are_taken_out_and_found_again_within_seconds() {
    let faults = [
        (0.100, Outcome::Succeeded),
        (0.0005, Outcome::Failed),
        (0.5, Outcome::TimedOut),
    ];
    for fault in faults {
        let mut world = World::new(5, "");
        world.play(3.0);
        world.manners[2] = fault;
        world.play(3.0);
        // Out, or by its cost alone as good as out.
        assert!(
            !world.is_in(2) || world.share(2) < 0.1,
            "{fault:?}: {:?}",
            world.got
        );
        world.play(4.0);
        assert!(world.share(2) < 0.05, "{fault:?}: {:?}", world.got);
        assert!(
            f64::from(world.well) > 0.98 * f64::from(world.all),
            "{fault:?}: {} of {}",
            world.well,
            world.all
        );
        world.manners[2] = (0.010, Outcome::Succeeded);
        world.play(10.0);
        assert!(world.is_in(2), "{fault:?}: {:?}", world.pool.servers()[2]);
        world.play(10.0);
        assert!(
            (0.12..0.28).contains(&world.share(2)),
            "{fault:?}: {:?}",
            world.got
        );
    }
}

#[test]
fn where_all_are_slow_nobody_is_out_and_never_more_than_the_part_that_may_be() {
    let mut world = World::new(6, "");
    world.play(3.0);
    world.manners = vec![(0.200, Outcome::Succeeded); 6];
    world.play(5.0);
    assert!(
        (0..6).all(|place| world.is_in(place)),
        "{:?}",
        world.pool.servers()
    );
    // Five of six fail: half of all may be out at the most, and not the one that does well.
    let mut world = World::new(6, "");
    world.play(3.0);
    (1..6).for_each(|place| world.manners[place] = (0.001, Outcome::Failed));
    world.play(10.0);
    let out = (0..6).filter(|place| !world.is_in(*place)).count();
    assert!(
        out <= 3 && world.is_in(0),
        "{out}: {:?}",
        world.pool.servers()
    );
    // Who is left and well gets most of it, though the others answer faster.
    assert!(world.share(0) > 0.5, "{:?}", world.got);
}

#[test]
fn the_own_zone_is_preferred_and_yields_under_trouble() {
    let mut world = World::new(6, "a");
    world.play(5.0);
    let own = |world: &World| world.share(0) + world.share(2) + world.share(4);
    assert!(own(&world) > 0.8, "{:?}", world.got);
    for place in [0, 2, 4] {
        world.manners[place] = (0.150, Outcome::Succeeded);
    }
    world.play(3.0);
    world.play(5.0);
    assert!(own(&world) < 0.5, "{:?}", world.got);
}

#[test]
fn a_new_server_starts_slowly_and_who_stays_keeps_what_is_known() {
    let mut world = World::new(4, "");
    world.play(5.0);
    world.manners.push((0.010, Outcome::Succeeded));
    let known = world.pool.servers()[1].mean();
    let mut later = list(5);
    later.swap(0, 3);
    world.open.clear();
    let now = world.now;
    world.pool.replace(now, &later);
    assert_eq!(world.pool.place("s0"), Some(3));
    assert_eq!(world.pool.servers()[1].mean(), known);
    world.play(1.0);
    assert!(world.share(4) < 0.15, "{:?}", world.got);
    world.play(5.0);
    world.play(5.0);
    assert!(world.share(4) > 0.12, "{:?}", world.got);
}

#[test]
fn a_list_of_none_of_one_and_of_ten_thousand() {
    let mut chance = Chance(3);
    let mut none = Pool::new(0.0, &[], "", 0.5);
    assert_eq!(none.pick(0.0, &[], &mut || chance.next()), None);
    let mut one = Pool::new(0.0, &list(1), "", 0.5);
    for number in 0..100 {
        let place = one
            .pick(f64::from(number), &[], &mut || chance.next())
            .expect("there is one");
        one.ended(f64::from(number), place, Outcome::Failed, 0.01);
    }
    assert_eq!(
        one.servers()[0].standing,
        ServerHealth::In,
        "the last one is never taken out"
    );
    assert_eq!(
        one.pick(200.0, &[0], &mut || chance.next()),
        None,
        "it was tried already"
    );
    let mut many = Pool::new(0.0, &list(10_000), "", 0.1);
    for _ in 0..200 {
        let place = many
            .pick(1.0, &[], &mut || chance.next())
            .expect("there are many");
        many.ended(1.0, place, Outcome::Succeeded, 0.01);
    }
}

#[test]
fn subsets_are_even_and_hardly_change_when_either_side_does() {
    let servers: Vec<u64> = (0..100).map(|server| server * 7919 + 3).collect();
    let mut load = vec![0_u32; 100];
    let lists: Vec<Vec<usize>> = (0..300)
        .map(|instance| subset(instance, &servers, 20))
        .collect();
    lists.iter().flatten().for_each(|place| load[*place] += 1);
    let most = *load.iter().max().expect("some");
    assert!(most < 85, "largest over mean: {}", f64::from(most) / 60.0);
    assert!(lists.iter().all(|list| list.len() == 20));
    // One server less: each list that held it changes in one place, the others in none.
    let fewer: Vec<u64> = servers
        .iter()
        .copied()
        .filter(|server| *server != servers[42])
        .collect();
    for (instance, list) in lists.iter().enumerate() {
        let later = subset(instance as u64, &fewer, 20);
        let names =
            |list: &[usize], of: &[u64]| list.iter().map(|place| of[*place]).collect::<Vec<_>>();
        let (before, after) = (names(list, &servers), names(&later, &fewer));
        let kept = before.iter().filter(|name| after.contains(name)).count();
        assert_eq!(kept, if list.contains(&42) { 19 } else { 20 });
    }
    assert_eq!(subset(1, &servers, 500).len(), 100);
    assert!(subset(1, &[], 5).is_empty() && subset(1, &servers, 0).is_empty());
}

#[test]
fn what_is_left_of_the_time_is_divided_and_what_is_saved_is_spent_later() {
    // A call of 30 ms, another of 60 ms and a run of 10 ms to come, in 200 ms.
    let first = allowance(0.2, &[0.03, 0.06, 0.01], 0.01).expect("it can come");
    assert!((first - 0.06).abs() < 1e-9, "{first}");
    // It took only 20 of these: the second one may take more than its part of the whole would have been.
    let second = allowance(0.18, &[0.06, 0.01], 0.01).expect("it can come");
    assert!(second > 0.12 && second < 0.18, "{second}");
    // 40 ms left are too few, nothing is, and what can't be measured is not guessed at.
    assert_eq!(allowance(0.04, &[0.03, 0.06, 0.01], 0.02), None);
    assert_eq!(allowance(0.0, &[0.03], 0.001), None);
    assert_eq!(allowance(f64::NAN, &[0.03], 0.001), None);
    // The last part gets all that is left.
    assert_eq!(allowance(0.05, &[0.0], 0.0), Some(0.05));
}

#[test]
fn attempts_stay_within_a_tenth_and_stop_where_the_dependency_fails() {
    let mut attempts = RetryBudget::default();
    // One in twenty fails: each is tried again, and the budget stays full.
    let mut further = 0;
    for call in 0..2000 {
        let well = call % 20 != 0;
        attempts.ended(
            if well {
                AttemptOutcome::Succeeded
            } else {
                AttemptOutcome::Unknown
            },
            0.01,
        );
        if !well && attempts.again(Effect::Idempotent, AttemptOutcome::Unknown) {
            further += 1;
        }
    }
    assert_eq!(further, 100);
    assert!(attempts.left() > 5.0);
    // It fails as a whole: after a few there are no more.
    let (mut calls, mut further) = (0, 0);
    for _ in 0..500 {
        calls += 1;
        attempts.ended(AttemptOutcome::Unknown, 0.01);
        further += u32::from(attempts.again(Effect::Idempotent, AttemptOutcome::Unknown));
    }
    assert!(further <= 10, "{further} of {calls}");
    assert!(attempts.fails());
    // It recovers, and so does the budget.
    (0..200).for_each(|_| attempts.ended(AttemptOutcome::Succeeded, 0.01));
    assert!(!attempts.fails() && attempts.left() > 5.0);
}

#[test]
fn what_may_have_taken_effect_is_never_made_again_where_that_matters() {
    let mut attempts = RetryBudget::default();
    assert!(!attempts.again(Effect::NonIdempotent, AttemptOutcome::Unknown));
    assert!(attempts.again(Effect::NonIdempotent, AttemptOutcome::NeverSent));
    assert!(attempts.again(Effect::NonIdempotent, AttemptOutcome::Refused));
    assert!(attempts.again(Effect::Idempotent, AttemptOutcome::Unknown));
    assert!(!attempts.again(Effect::Idempotent, AttemptOutcome::Succeeded));
    (0..100).for_each(|call| {
        attempts.ended(AttemptOutcome::Succeeded, 0.01 + 0.0001 * f64::from(call))
    });
    assert_eq!(attempts.hedge_after(Effect::NonIdempotent), None);
    assert!(!attempts.hedge(Effect::NonIdempotent));
    let after = attempts
        .hedge_after(Effect::Idempotent)
        .expect("enough is known");
    assert!((0.0190..0.0200).contains(&after), "{after}");
}

#[test]
fn where_all_slow_alike_there_is_no_wave_of_second_calls() {
    let mut attempts = RetryBudget::default();
    (0..100).for_each(|_| attempts.ended(AttemptOutcome::Succeeded, 0.010));
    // Every call is slow from one moment on: each would be hedged, and the budget says no after a few.
    let mut hedged = 0;
    for _ in 0..300 {
        if attempts
            .hedge_after(Effect::Idempotent)
            .is_some_and(|after| after < 0.1)
            && attempts.hedge(Effect::Idempotent)
        {
            hedged += 1;
        }
        attempts.ended(AttemptOutcome::Succeeded, 0.1);
    }
    assert!(hedged <= 20, "{hedged}");
}

/// A dependency that bears so many calls at once; with more all take longer in proportion.
fn under_load(limit: &mut ConcurrencyLimit, bears: f64, seconds: f64, swing: &mut (f64, f64)) {
    let (mut now, mut open): (f64, Vec<(f64, f64)>) = (0.0, Vec::new());
    while now < seconds {
        now += 0.001;
        let (ended, going): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|(until, _)| *until <= now);
        open = going;
        // Those that end together were all open when the first of them did.
        let beside = open.len() + ended.len().saturating_sub(1);
        for (_, took) in ended {
            limit.ended(took, beside);
            *swing = (swing.0.min(limit.get()), swing.1.max(limit.get()));
        }
        while limit.has_room(open.len()) {
            let took = 0.010 * ((open.len() + 1) as f64 / bears).max(1.0);
            open.push((now + took, took));
        }
    }
}

#[test]
fn a_limit_finds_what_a_dependency_bears_and_swings_little() {
    let mut limit = ConcurrencyLimit::new(2.0, 200.0);
    let mut swing = (f64::MAX, 0.0);
    under_load(&mut limit, 20.0, 20.0, &mut swing);
    // Between what is borne without a queue and three times that, where the queue can't be chance any more.
    assert!((20.0..65.0).contains(&limit.get()), "{}", limit.get());
    swing = (f64::MAX, 0.0);
    under_load(&mut limit, 20.0, 10.0, &mut swing);
    // Down to the quarter at which the lowest is taken anew.
    assert!(swing.1 / swing.0 < 5.5, "{swing:?}");
    // It shrinks to a quarter: the limit follows.
    under_load(&mut limit, 5.0, 10.0, &mut swing);
    assert!(limit.get() < 20.0, "{}", limit.get());
    // What is hardly used is not raised without end, and one call is always possible.
    let mut idle = ConcurrencyLimit::new(4.0, 1000.0);
    (0..5000).for_each(|_| idle.ended(0.01, 0));
    assert_eq!(idle.get(), 4.0);
    (0..5000).for_each(|number| idle.ended(if number < 8 { 0.001 } else { 0.5 }, 3));
    assert!(idle.has_room(0));
}

#[test]
fn waiting_is_fair_between_operations_and_bounded_by_time() {
    let mut waiting = WaitQueue::default();
    (0..50).for_each(|call| waiting.wait(0, call, 1.0));
    (50..53).for_each(|call| waiting.wait(1, call, 1.0));
    let order: Vec<usize> = (0..8)
        .filter_map(|_| waiting.take())
        .map(|(operation, _)| operation)
        .collect();
    assert_eq!(
        order,
        [0, 1, 0, 1, 0, 1, 0, 0],
        "the busy one does not keep out the other"
    );
    waiting.ended(1);
    waiting.wait(1, 60, 5.0);
    assert_eq!(waiting.late(2.0).len(), 45);
    assert_eq!((waiting.len(), waiting.take()), (1, Some((1, 60))));
    assert!(waiting.is_empty() && waiting.take().is_none());
}

#[test]
fn a_part_that_is_missing_is_told_and_costs_what_it_was_said_to() {
    assert_eq!(
        instead(&DegradedResult::Needed, Some((b"x", 0.0))),
        CallResult::Failed
    );
    assert_eq!(
        instead(&DegradedResult::Nothing, None),
        CallResult::Degraded(None)
    );
    assert_eq!(
        instead(&DegradedResult::Fixed(b"-".to_vec()), None),
        CallResult::Degraded(Some(b"-".to_vec()))
    );
    let kept = DegradedResult::Kept { within: 10.0 };
    assert_eq!(
        instead(&kept, Some((b"old", 9.0))),
        CallResult::Degraded(Some(b"old".to_vec()))
    );
    for too_old in [
        Some((b"old".as_slice(), 10.5)),
        Some((b"old".as_slice(), -1.0)),
        Some((b"old".as_slice(), f64::NAN)),
        None,
    ] {
        assert_eq!(instead(&kept, too_old), CallResult::Failed, "{too_old:?}");
    }
    let mut missing = Missing::default();
    assert_eq!((missing.is_partial(), missing.field()), (false, None));
    ["prices", "stock", "prices"]
        .into_iter()
        .for_each(|name| missing.note(name));
    assert_eq!(missing.field().as_deref(), Some("prices, stock"));
    let cost = |part: &str| if part == "prices" { 0.5 } else { 0.2 };
    assert!((missing.worth(10.0, cost) - 4.0).abs() < 1e-9);
}

#[test]
fn what_the_operators_say_is_held_together_as_a_whole() {
    let good = r#"{
        dependencies: {
            prices: { servers: [{ address: "127.0.0.1:1" }, { address: "127.0.0.1:2", zone: "a", weight: 2 }], subset: 2 },
            stock: { servers: [{ address: "127.0.0.1:3" }], instead: "prices" },
        },
        operations: { page: { calls: [{ to: "prices", share: 0.5, needed: true }, { to: "stock", share: 0.5, cost: 0.3 }] } },
    }"#;
    let read = |text: &str| json5::from_str::<Dependencies>(text).expect("it can be read");
    assert_eq!(read(good).check(), Ok(()));
    assert_eq!(Dependencies::default().check(), Ok(()));
    let bad = r#"{
        dependencies: {
            a: { servers: [], instead: "b" },
            b: { servers: [{ address: "nowhere" }, { address: "127.0.0.1:1", weight: 0 }, { address: "127.0.0.1:1" }], instead: "c" },
            c: { servers: [{ address: "127.0.0.1:1" }], instead: "a", out_most: 1.5, subset: 0 },
            "d, e": { servers: [{ address: "127.0.0.1:1" }], instead: "nobody" },
        },
        operations: {
            page: { calls: [{ to: "a", share: 0.7 }, { to: "x", share: 0.6, cost: 2 }, { to: "b", share: 0 }] },
            all: { at_once: true, calls: [{ to: "a", share: 0.7 }, { to: "b", share: 0.7 }] },
        },
    }"#;
    insta::assert_snapshot!(read(bad).check().expect_err("much is wrong").join("\n"));
    assert!(json5::from_str::<Dependencies>("{ dependancies: {} }").is_err());
}
