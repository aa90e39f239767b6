//! Hosts and instances with clocks that run apart, messages that come late or never, keepers that change, processes that stand
//! still: in no second of true time do more calls arrive than the budget has, and what is needed is given.

use std::collections::{BTreeMap, BinaryHeap};

use merlinshelf_quota::{Allocator, LeaseTerms, QuotaGrant, QuotaLeaseHolder, QuotaRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 3;
const EACH: usize = 4;
const LEASE: LeaseTerms = LeaseTerms {
    lease_seconds: 2.0,
    drift: 0.02,
};
const ROUND: f64 = 0.125;

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A new keeper gives at once.
    AtOnce,
    /// A smaller share counts as heard when it is given.
    HeardAtOnce,
}

#[derive(Clone, Debug)]
enum Event {
    Round(usize, Option<usize>),
    Up(usize, QuotaRequest),
    Down(usize, QuotaGrant),
    HostUp(usize, usize, QuotaRequest),
    HostDown(usize, usize, QuotaGrant),
    Wants(usize, usize),
    Elected,
    /// An agent begins anew: another holder towards the leader, another keeper towards its instances.
    Begins(usize),
    Stands(usize, usize, f64),
    Dies(usize, usize),
    Budget(u32),
    /// Until then what a host is told lies on its way, or what it says is lost.
    Cut(usize, bool, f64),
}

struct Host {
    rate: f64,
    holder: QuotaLeaseHolder,
    keeper: Allocator,
    instances: Vec<(f64, QuotaLeaseHolder, f64, f64)>,
    /// Until when it hears nothing, and until when it is not heard.
    cut: (f64, f64),
}

struct Play {
    rng: Pcg64Mcg,
    planted: Planted,
    now: f64,
    queue: BinaryHeap<(std::cmp::Reverse<u64>, u64)>,
    events: BTreeMap<u64, Event>,
    count: u64,
    keeper: Allocator,
    keeper_rate: f64,
    hosts: Vec<Host>,
    /// When calls arrived, by true time.
    arrived: Vec<f64>,
    refused: u64,
    steps: u64,
    lives: u64,
}

impl Play {
    fn new(seed: u64, planted: Planted, budget: u32) -> Play {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut rate = || 1.0 + rng.random_range(-0.01..0.01);
        let hosts = (0..HOSTS).map(|host| Host {
            rate: rate(),
            holder: QuotaLeaseHolder::new(host as u64 + 1, LEASE),
            keeper: Allocator::first(0.0, LEASE, 0, 1),
            instances: (0..EACH)
                .map(|place| {
                    (
                        rate(),
                        QuotaLeaseHolder::new((host * EACH + place) as u64 + 1, LEASE),
                        0.0,
                        1.0,
                    )
                })
                .collect(),
            cut: (0.0, 0.0),
        });
        let (hosts, keeper_rate) = (hosts.collect(), 1.0);
        let keeper = Allocator::first(0.0, LEASE, budget, 1);
        let mut play = Play {
            rng,
            planted,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            keeper,
            keeper_rate,
            hosts,
            arrived: Vec::new(),
            refused: 0,
            steps: 0,
            lives: 100,
        };
        for host in 0..HOSTS {
            play.after(0.01, Event::Round(host, None));
            for place in 0..EACH {
                play.after(0.02, Event::Round(host, Some(place)));
            }
        }
        play
    }

    fn after(&mut self, pause: f64, event: Event) {
        self.count += 1;
        let at = ((self.now + pause) * 1e9) as u64;
        self.queue.push((std::cmp::Reverse(at), self.count));
        self.events.insert(self.count, event);
    }

    /// A message on its way: mostly soon, now and then late, or never.
    fn send(&mut self, event: Event) {
        match self.rng.random_range(0..20) {
            0 => {}
            1 | 2 => {
                let late = self.rng.random_range(0.0..2.5);
                self.after(late, event);
            }
            _ => {
                let soon = self.rng.random_range(0.0002..0.01);
                self.after(soon, event);
            }
        }
    }

    fn run(&mut self, until: f64) {
        while let Some((std::cmp::Reverse(at), number)) = self.queue.peek().copied() {
            if at as f64 / 1e9 > until {
                break;
            }
            self.queue.pop();
            self.now = at as f64 / 1e9;
            self.steps += 1;
            if let Some(event) = self.events.remove(&number) {
                self.happens(event);
            }
        }
        self.now = until;
    }

    fn happens(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Round(host, None) => {
                let of = &mut self.hosts[host];
                let own = now * of.rate;
                let (need, worth) = of.keeper.total_demand();
                let held = of.keeper.outstanding(own);
                let claim = of.holder.request_for(own, need, worth, held);
                self.send(Event::Up(host, claim));
                self.after(ROUND, Event::Round(host, None));
            }
            Event::Round(host, Some(place)) => {
                let (rate, holder, stands_until, _) = &mut self.hosts[host].instances[place];
                if now >= *stands_until {
                    let claim = holder.request(now * *rate);
                    self.send(Event::HostUp(host, place, claim));
                }
                self.after(ROUND, Event::Round(host, Some(place)));
            }
            Event::Up(host, _) if now < self.hosts[host].cut.1 => {}
            Event::Down(host, _) if now + 1e-6 < self.hosts[host].cut.0 => {
                self.after(self.hosts[host].cut.0 - now, event); // it lies on its way, and comes
            }
            Event::Up(host, mut claim) => {
                if self.planted == Planted::HeardAtOnce {
                    claim.acknowledged_grant = (self.keeper.id(), u64::MAX);
                }
                let share = self.keeper.handle_request(
                    now * self.keeper_rate,
                    &format!("h{host}"),
                    &claim,
                    None,
                );
                self.send(Event::Down(host, share));
            }
            Event::Down(host, share) => {
                let of = &mut self.hosts[host];
                of.holder.handle_grant(&share);
            }
            Event::HostUp(host, place, claim) => {
                let of = &mut self.hosts[host];
                let own = now * of.rate;
                let (may, until) = of.holder.usable(own);
                of.keeper.set_budget(may);
                let share = of
                    .keeper
                    .handle_request(own, &format!("i{place}"), &claim, until);
                self.send(Event::HostDown(host, place, share));
            }
            Event::HostDown(host, place, share) => {
                let (_, holder, stands_until, _) = &mut self.hosts[host].instances[place];
                let pause = *stands_until - now;
                if pause > 1e-6 {
                    self.after(pause, Event::HostDown(host, place, share)); // it lies in its socket
                } else {
                    holder.handle_grant(&share);
                }
            }
            Event::Wants(host, place) => {
                let (rate, holder, stands_until, worth) = &mut self.hosts[host].instances[place];
                if now < *stands_until {
                    return;
                }
                if holder.try_spend(now * *rate, *worth) {
                    let way = self.rng.random_range(0.0..0.05);
                    self.arrived.push(now + way);
                } else {
                    self.refused += 1;
                }
            }
            Event::Elected => {
                let number = self.count << 20; // as a term in front of the number
                let budget = self.keeper.budget();
                self.keeper_rate = 1.0 + self.rng.random_range(-0.01..0.01);
                let own = now * self.keeper_rate;
                self.keeper = Allocator::taking_over(own, LEASE, budget, number);
                if self.planted == Planted::AtOnce {
                    self.keeper = Allocator::taking_over(own - 100.0, LEASE, budget, number);
                }
            }
            Event::Begins(host) => {
                self.lives += 1;
                let (lives, of) = (self.lives, &mut self.hosts[host]);
                of.holder = QuotaLeaseHolder::new(lives, LEASE);
                // What the one before gave is counted by the leader, as the part of that one's life: this one need not wait.
                of.keeper = Allocator::first(now * of.rate, LEASE, 0, lives);
            }
            Event::Stands(host, place, until) => self.hosts[host].instances[place].2 = until,
            Event::Dies(host, place) => {
                self.lives += 1;
                let (_, holder, ..) = &mut self.hosts[host].instances[place];
                *holder = QuotaLeaseHolder::new(self.lives, LEASE);
            }
            Event::Cut(host, true, until) => self.hosts[host].cut.0 = until,
            Event::Cut(host, false, until) => self.hosts[host].cut.1 = until,
            Event::Budget(calls) => self.keeper.set_budget(calls),
        }
    }

    /// Wishes to call, at random, `rate` a second each, by these instances.
    fn wishes(&mut self, from: f64, until: f64, rate: f64, who: &[(usize, usize)]) {
        for (host, place) in who {
            let mut at = from;
            loop {
                at += -self.rng.random::<f64>().max(1e-9).ln() / rate;
                if at >= until {
                    break;
                }
                self.after(at - self.now, Event::Wants(*host, *place));
            }
        }
    }

    /// The most that arrived in any second.
    fn worst_second(&mut self) -> usize {
        self.arrived.sort_by(f64::total_cmp);
        let arrived = &self.arrived;
        let (mut first, mut most) = (0, 0);
        for last in 0..arrived.len() {
            while arrived[last] - arrived[first] >= 1.0 {
                first += 1;
            }
            most = most.max(last - first + 1);
        }
        most
    }
}

fn everybody() -> Vec<(usize, usize)> {
    (0..HOSTS)
        .flat_map(|host| (0..EACH).map(move |place| (host, place)))
        .collect()
}

/// A minute with all that may happen: the worst second against the budget, and how much was made.
fn a_minute(seed: u64, planted: Planted, budget: u32) -> (usize, usize, u64) {
    let mut play = Play::new(seed, planted, budget);
    // Some always want everything, some little, and it changes.
    for part in 0..6 {
        let from = f64::from(part) * 10.0;
        let all = everybody();
        let greedy: Vec<_> = all
            .iter()
            .copied()
            .filter(|_| play.rng.random_bool(0.4))
            .collect();
        let modest: Vec<_> = all
            .into_iter()
            .filter(|one| !greedy.contains(one))
            .collect();
        play.wishes(from, from + 10.0, 150.0, &greedy);
        play.wishes(from, from + 10.0, 0.3, &modest);
    }
    for _ in 0..120 {
        let (at, host, place) = (
            play.rng.random_range(0.5..58.0),
            play.rng.random_range(0..HOSTS),
            play.rng.random_range(0..EACH),
        );
        let event = match play.rng.random_range(0..6) {
            0 => Event::Elected,
            5 => Event::Begins(host),
            1 => Event::Stands(host, place, at + play.rng.random_range(0.1..4.0)),
            2 => Event::Dies(host, place),
            3 => {
                let until = at + play.rng.random_range(0.3..6.0);
                let both = play.rng.random_bool(0.6);
                if both {
                    // What was on its way when nothing more could be asked lies, and comes.
                    play.after(at + 0.25, Event::Cut(host, false, until));
                }
                Event::Cut(host, both || play.rng.random_bool(0.5), until)
            }
            _ => {
                let most = budget;
                Event::Budget(if play.rng.random_bool(0.5) {
                    most
                } else {
                    most / 2
                })
            }
        };
        play.after(at, event);
    }
    play.run(60.0);
    (play.worst_second(), play.arrived.len(), play.steps)
}

#[test]
fn in_no_second_more_arrives_than_the_budget_has() {
    let mut steps = 0;
    for budget in [40, 7, 3, 2] {
        for seed in 0..20 {
            let (worst, made, of) = a_minute(seed, Planted::Nothing, budget);
            assert!(
                worst <= budget as usize,
                "seed {seed}: {worst} in a second, of {budget}"
            );
            assert!(made > 0, "seed {seed}: nothing is spent of {budget}");
            steps += of;
        }
    }
    println!("{steps} steps");
}

#[test]
fn a_keeper_that_gives_at_once_is_found() {
    assert!((0..60).any(|seed| a_minute(seed, Planted::AtOnce, 40).0 > 40));
}

#[test]
fn a_share_that_shrinks_counts_until_its_holder_says_that_it_heard() {
    for planted in [Planted::Nothing, Planted::HeardAtOnce] {
        let mut worst = 0;
        for seed in 0..10 {
            let mut play = Play::new(seed, planted, 40);
            // One host spends all, hears nothing more, and another one begins to need as much.
            play.wishes(0.0, 14.0, 200.0, &[(0, 0)]);
            play.wishes(10.0, 14.0, 200.0, &[(1, 0)]);
            play.after(9.95, Event::Cut(0, true, 13.0));
            play.run(14.0);
            worst = worst.max(play.worst_second());
        }
        assert_eq!(
            worst > 40,
            planted == Planted::HeardAtOnce,
            "{planted:?}: {worst}"
        );
    }
}

#[test]
fn a_tenth_that_needs_all_of_it_has_nine_tenths_and_what_is_not_spent_goes_round() {
    let mut play = Play::new(7, Planted::Nothing, 40);
    play.wishes(0.0, 5.0, 2.0, &everybody());
    play.wishes(5.0, 20.0, 200.0, &[(1, 2)]);
    play.run(20.0);
    let within = |from: f64, until: f64| {
        play.arrived
            .iter()
            .filter(|at| **at >= from && **at < until)
            .count() as f64
            / (until - from)
    };
    assert!(within(8.0, 20.0) >= 0.9 * 40.0, "{}", within(8.0, 20.0));
}

#[test]
fn more_than_there_are_calls_take_turns_and_nobody_is_forgotten() {
    let mut play = Play::new(9, Planted::Nothing, 2);
    play.wishes(0.0, 60.0, 5.0, &everybody());
    let mut had = vec![false; HOSTS * EACH];
    for tenth in 0..600 {
        play.run(f64::from(tenth) / 10.0);
        for (host, place) in everybody() {
            let (rate, holder, ..) = &play.hosts[host].instances[place];
            had[host * EACH + place] |= holder.usable(play.now * *rate).0 > 0;
        }
    }
    assert!(had.iter().all(|had| *had), "{had:?}");
    assert!(play.worst_second() <= 2);
}

#[test]
fn a_share_that_lay_on_its_way_is_over_when_it_comes() {
    for counts_from_arrival in [false, true] {
        let mut keeper = Allocator::first(0.0, LEASE, 10, 1);
        let (mut one, mut other) = (
            QuotaLeaseHolder::new(1, LEASE),
            QuotaLeaseHolder::new(2, LEASE),
        );
        let claim = one.request_for(0.0, 10, 1.0, 0);
        let mut lies = keeper.handle_request(0.01, "one", &claim, None);
        assert_eq!(lies.calls_per_second, 10);
        let mut given_at = 0.0;
        for round in 1..40 {
            let now = f64::from(round) * ROUND;
            let share =
                keeper.handle_request(now, "other", &other.request_for(now, 10, 1.0, 0), None);
            other.handle_grant(&share);
            if share.calls_per_second == 10 {
                given_at = now;
                break;
            }
        }
        assert!(
            given_at > 3.0,
            "the first one's is counted until then: {given_at}"
        );
        if counts_from_arrival {
            lies.duration_seconds += given_at; // the planted fault
        }
        one.handle_grant(&lies);
        let made = (0..20).filter(|_| one.try_spend(given_at, 1.0)).count()
            + (0..20).filter(|_| other.try_spend(given_at, 1.0)).count();
        assert_eq!(made, if counts_from_arrival { 20 } else { 10 });
    }
}
