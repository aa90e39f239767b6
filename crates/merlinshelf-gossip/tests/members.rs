//! Many instances in virtual time: how fast all know of a change, and what it costs each, with a network that loses, parts
//! and heals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use merlinshelf_gossip::membership::{Action, Settings};
use merlinshelf_gossip::{Members, MembershipUpdate, State};

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

#[derive(Clone, Debug, PartialEq)]
enum What {
    Wake(usize),
    Question {
        from: usize,
        to: usize,
        own: MembershipUpdate,
        news: Vec<MembershipUpdate>,
    },
    Answer {
        to: usize,
        own: MembershipUpdate,
        news: Vec<MembershipUpdate>,
    },
}

/// All instances and the network between them. Times are in microseconds in the queue.
struct World {
    now: f64,
    members: Vec<Option<Members>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    what: Vec<What>,
    chance: Chance,
    /// To which part of a parted network each belongs.
    part: Vec<u8>,
    messages: u64,
    news: u64,
}

impl World {
    fn new(count: usize, seed: u64) -> World {
        let seeds: Vec<String> = (0..3).map(|seed| seed.to_string()).collect();
        let settings = Settings::default();
        let members = (0..count)
            .map(|number| {
                Some(Members::new(
                    0.0,
                    &format!("n{number}"),
                    &number.to_string(),
                    1,
                    &seeds,
                    settings,
                ))
            })
            .collect();
        let mut world = World {
            now: 0.0,
            members,
            queue: BinaryHeap::new(),
            what: Vec::new(),
            chance: Chance(seed | 1),
            part: vec![0; count],
            messages: 0,
            news: 0,
        };
        (0..count).for_each(|number| world.at(0.0, What::Wake(number)));
        world
    }

    fn at(&mut self, at: f64, what: What) {
        self.queue
            .push(Reverse(((at * 1e6) as u64, self.what.len() as u64)));
        self.what.push(what);
    }

    fn send(&mut self, from: usize, to: usize, news: usize, what: What) {
        self.messages += 1;
        self.news += news as u64;
        let delay = 0.001 + 0.004 * self.chance.next();
        if to < self.part.len() && self.part[from] == self.part[to] {
            self.at(self.now + delay, what);
        }
    }

    fn until(&mut self, end: f64) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at as f64 / 1e6 > end {
                self.queue.push(Reverse((at, number)));
                break;
            }
            self.now = at as f64 / 1e6;
            let what = std::mem::replace(&mut self.what[number as usize], What::Wake(usize::MAX));
            let now = self.now;
            match what {
                What::Wake(number) => {
                    let chance = &mut self.chance;
                    let Some(Some(one)) = self.members.get_mut(number) else {
                        continue;
                    };
                    one.woken(now, false, &mut || chance.next());
                    let (mut asks, own, wake) = (Vec::new(), one.own().clone(), one.wake_at());
                    while let Some(Action::Ask { address, news }) = one.next_step() {
                        asks.push((address, news));
                    }
                    for (address, news) in asks {
                        let to = address.parse().expect("a number");
                        let count = news.len();
                        self.send(
                            number,
                            to,
                            count,
                            What::Question {
                                from: number,
                                to,
                                own: own.clone(),
                                news,
                            },
                        );
                    }
                    self.at(wake.max(now + 1e-4), What::Wake(number));
                }
                What::Question {
                    from,
                    to,
                    own,
                    news,
                } => {
                    let Some(one) = &mut self.members[to] else {
                        continue;
                    };
                    let news = one.asked(now, &own, &news);
                    let (own, count) = (one.own().clone(), news.len());
                    self.send(
                        to,
                        from,
                        count,
                        What::Answer {
                            to: from,
                            own,
                            news,
                        },
                    );
                }
                What::Answer { to, own, news } => {
                    if let Some(one) = &mut self.members[to] {
                        one.answered(now, &own, &news);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Runs on until all that live say so; when that was.
    fn when(&mut self, most: f64, all: impl Fn(&Members) -> bool) -> Option<f64> {
        let end = self.now + most;
        while self.now < end {
            let next = self.now + 0.25;
            self.until(next);
            if self.members.iter().flatten().all(&all) {
                return Some(self.now);
            }
        }
        None
    }
}

#[test]
fn all_find_each_other_from_a_cold_start_at_once_and_a_change_reaches_all() {
    let mut costs = Vec::new();
    for count in [16, 120] {
        let mut world = World::new(count, 7);
        let met = world
            .when(120.0, |one| one.alive().count() == count - 1)
            .expect("all meet");
        let (from, before) = (world.now, world.messages);
        world.until(from + 20.0);
        costs.push((world.messages - before) as f64 / 20.0 / count as f64);
        // One dies without a word, one says that it leaves.
        world.members[count / 2] = None;
        world.members[count / 3].as_mut().expect("it lives").leave();
        let (dead, left) = (format!("n{}", count / 2), format!("n{}", count / 3));
        let began = world.now;
        let knows = |name: String, state: State| {
            move |one: &Members| {
                one.own().name == name || one.state_of(&name).is_none_or(|of| of >= state)
            }
        };
        let told = world
            .when(60.0, knows(left, State::Left))
            .expect("all know that it left")
            - began;
        world
            .when(60.0, knows(dead, State::Gone))
            .expect("all know that it is gone");
        let gone = world.now - began;
        assert!(
            met < 60.0 && told < 20.0 && gone < 40.0,
            "{count}: met {met}, told {told}, gone {gone}"
        );
        // Nobody else was lost over it.
        assert!(
            world
                .members
                .iter()
                .flatten()
                .all(|one| one.alive().count() >= count - 3)
        );
    }
    // A question and an answer a second each, whatever the size.
    assert!(
        costs[0] < 2.5 && costs[1] < 2.5 && (costs[0] - costs[1]).abs() < 0.3,
        "{costs:?}"
    );
}

#[test]
fn a_parted_network_heals() {
    let count = 40;
    let mut world = World::new(count, 11);
    world
        .when(60.0, |one| one.alive().count() == count - 1)
        .expect("all meet");
    // The seeds are all on one side.
    (20..count).for_each(|number| world.part[number] = 1);
    world.until(world.now + 90.0);
    assert!(
        world
            .members
            .iter()
            .flatten()
            .all(|one| one.alive().count() == 19),
        "each side knows its own"
    );
    world.part.fill(0);
    world
        .when(60.0, |one| one.alive().count() == count - 1)
        .expect("all meet again");
}

#[test]
fn one_that_answers_nobody_is_gone_for_all_and_one_that_was_only_slow_says_otherwise() {
    let count = 30;
    let mut world = World::new(count, 13);
    world
        .when(60.0, |one| one.alive().count() == count - 1)
        .expect("all meet");
    // It hears and says nothing for a while that is shorter than the suspicion.
    world.part[9] = 1;
    world.until(world.now + 3.0);
    world.part[9] = 0;
    world.until(world.now + 20.0);
    assert!(
        world
            .members
            .iter()
            .flatten()
            .all(|one| one.alive().count() == count - 1),
        "it is back for all"
    );
    world.part[9] = 1;
    let others = |one: &Members| {
        one.own().name == "n9" || one.state_of("n9").is_none_or(|of| of == State::Gone)
    };
    world.when(60.0, others).expect("it is gone for all");
    // Another life of it under the same name is another one.
    world.part[9] = 0;
    let seeds = ["0".to_owned()];
    world.members[9] = Some(Members::new(
        world.now,
        "n9",
        "9",
        2,
        &seeds,
        Settings::default(),
    ));
    world
        .when(60.0, |one| one.alive().count() == count - 1)
        .expect("it is back in its next life");
}

#[test]
fn a_table_is_bounded_and_what_is_no_name_is_passed_over() {
    let settings = Settings {
        peers_most: 50,
        ..Settings::default()
    };
    let mut one = Members::new(0.0, "me", "0", 1, &[], settings);
    let news = |name: &str| MembershipUpdate {
        name: name.into(),
        address: "1".into(),
        life: 1,
        turn: 0,
        state: State::Alive,
    };
    for number in 0..1000 {
        let answer = one.asked(
            1.0,
            &news(&format!("n{number}")),
            &[news(""), news("@x"), news(&"y".repeat(65))],
        );
        assert!(answer.len() <= settings.news_most);
    }
    assert_eq!(one.len(), 50);
    assert!(one.alive().all(|(name, _)| name.starts_with('n')));
}
