//! Agents with disks in virtual time: they die at every moment, also while something is being kept, are cut off, come back
//! without their disk or with an older one, and are replaced. What was applied anywhere must be applied everywhere, in the
//! same order, for ever.

use std::collections::{BTreeMap, BTreeSet};

use merlinshelf_consensus::{Action, Message, Record, Replica, ReplicaStatus};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    /// Disks say that they have kept what they have not.
    Unsynced,
    /// An agent whose disk is older than its promises is let in as if it remembered.
    Trusting,
}

struct Agent {
    council: Option<Replica>,
    disk: Vec<Record>,
    older: Vec<Record>,
    down_until: u32,
    /// Entries and their numbers, as this agent applied them.
    state: Vec<(u64, Vec<u8>)>,
}

struct World {
    rng: Pcg64Mcg,
    names: Vec<String>,
    agents: BTreeMap<String, Agent>,
    flying: Vec<(u32, String, String, Message)>,
    cut: BTreeSet<(String, String)>,
    tick: u32,
    ticket: u64,
    planted: Planted,
    /// One whose disk was lost or put back, and that does not sit yet: nobody else dies meanwhile.
    returning: Option<String>,
    /// What was applied first under each number.
    truth: BTreeMap<u64, Vec<u8>>,
    broken: Vec<String>,
    proposed: u64,
}

impl World {
    fn new(seed: u64, count: usize, planted: Planted) -> World {
        let names: Vec<String> = (0..count).map(|place| format!("a{place}")).collect();
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            names: names.clone(),
            agents: BTreeMap::new(),
            flying: Vec::new(),
            cut: BTreeSet::new(),
            tick: 0,
            ticket: 0,
            planted,
            returning: None,
            truth: BTreeMap::new(),
            broken: Vec::new(),
            proposed: 0,
        };
        for name in &names {
            let agent = Agent {
                council: None,
                disk: vec![],
                older: vec![],
                down_until: 0,
                state: vec![],
            };
            world.agents.insert(name.clone(), agent);
            world.begin(name);
        }
        world
    }

    fn begin(&mut self, name: &str) {
        self.ticket += 1;
        let wanted: BTreeSet<String> = self.names.iter().cloned().collect();
        let chance = self.rng.random_range(0..4);
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        agent.state.clear();
        let council = Replica::start(name, &wanted, self.ticket, chance, &agent.disk);
        agent.council = Some(council.expect("what was kept can be gone on with"));
        self.carry_out(name, false);
    }

    /// All steps; where `dies` is set, it dies while keeping something.
    fn carry_out(&mut self, name: &str, dies: bool) {
        loop {
            let Some(agent) = self.agents.get_mut(name) else {
                return;
            };
            let Some(council) = &mut agent.council else {
                return;
            };
            if council.needs_compaction() {
                council.compact(serialized(&agent.state));
            }
            let Some(step) = council.poll_action() else {
                return;
            };
            match step {
                Action::Append(records) => {
                    let count = if dies {
                        self.rng.random_range(0..=records.len())
                    } else {
                        records.len()
                    };
                    agent.disk.extend(records.into_iter().take(count));
                    if dies {
                        return self.kill(name);
                    }
                }
                Action::ReplaceLog(records) => {
                    if dies && self.rng.random_bool(0.5) {
                        return self.kill(name);
                    }
                    agent.disk = records;
                }
                Action::Send(to, word) => {
                    let delay =
                        1 + u32::from(self.rng.random_bool(0.1)) * self.rng.random_range(0..20);
                    if !self.rng.random_bool(0.03) {
                        self.flying
                            .push((self.tick + delay, name.to_owned(), to, word));
                    }
                }
                Action::Apply(index, data) => {
                    if agent.state.last().is_some_and(|(last, _)| *last >= index) {
                        self.broken.push(format!("{name} applies {index} again"));
                    }
                    agent.state.push((index, data.clone()));
                    let known = self.truth.entry(index).or_insert_with(|| data.clone());
                    if *known != data {
                        self.broken
                            .push(format!("{name} applies another entry {index}"));
                    }
                }
                Action::Restore(index, state) => {
                    agent.state = state
                        .chunks(16)
                        .map(|pair| (number(&pair[..8]), pair[8..].to_vec()))
                        .collect();
                    let wrong = agent
                        .state
                        .iter()
                        .find(|(index, data)| self.truth.get(index) != Some(data));
                    if wrong.is_some() || agent.state.last().is_some_and(|(last, _)| *last > index)
                    {
                        self.broken
                            .push(format!("{name} is restored to what never was"));
                    }
                }
                Action::LeadershipConfirmed(_) => {}
            }
        }
    }

    fn kill(&mut self, name: &str) {
        let down = self.rng.random_range(2..60);
        let (tick, planted) = (self.tick, self.planted);
        let lost = if planted == Planted::Unsynced {
            self.rng.random_range(0..6)
        } else {
            0
        };
        if let Some(agent) = self.agents.get_mut(name) {
            agent.council = None;
            agent.down_until = tick + down;
            // The last ones were never there.
            let seat = |record: &Record| matches!(record, Record::VoterSlot { .. });
            for _ in 0..lost {
                if agent.disk.last().is_some_and(|record| !seat(record)) && agent.disk.len() > 3 {
                    agent.disk.pop();
                }
            }
        }
    }

    fn step(&mut self, faults: bool) {
        self.tick += 1;
        let tick = self.tick;
        let (now, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flying)
            .into_iter()
            .partition(|(at, ..)| *at <= tick);
        self.flying = later;
        for (_, from, to, mut word) in now {
            if let (
                Planted::Trusting,
                Message::Welcome {
                    progress: known, ..
                },
            ) = (self.planted, &mut word)
            {
                *known = Default::default();
            }
            if self.cut.contains(&(from.clone(), to.clone())) {
                continue;
            }
            let Some(council) = self
                .agents
                .get_mut(&to)
                .and_then(|agent| agent.council.as_mut())
            else {
                continue;
            };
            // raft gives up loudly where what it is told can't be: a sign as good as another.
            let told = std::panic::AssertUnwindSafe(|| council.handle_message(&from, word));
            if std::panic::catch_unwind(told).is_err() {
                self.broken.push(format!("{to} is told what can't be"));
                self.kill(&to);
                continue;
            }
            let dies = faults && self.returning.is_none() && self.rng.random_bool(0.002);
            self.carry_out(&to, dies);
        }
        for name in self.names.clone() {
            let Some(agent) = self.agents.get_mut(&name) else {
                continue;
            };
            match &mut agent.council {
                None if agent.down_until <= tick => self.begin(&name),
                None => continue,
                Some(council) => {
                    council.tick();
                    if council.leading_term().is_some() && self.rng.random_bool(0.3) {
                        self.proposed += 1;
                        council.propose(self.proposed.to_le_bytes().to_vec());
                    }
                }
            }
            let dies = faults && self.returning.is_none() && self.rng.random_bool(0.002);
            self.carry_out(&name, dies);
        }
        if faults {
            self.fault();
        }
    }

    fn fault(&mut self) {
        let name = self.names[self.rng.random_range(0..self.names.len())].clone();
        let other = self.names[self.rng.random_range(0..self.names.len())].clone();
        let sits = |name: &String| {
            let council = self
                .agents
                .get(name)
                .and_then(|agent| agent.council.as_ref());
            council.is_some_and(|of| *of.status() == ReplicaStatus::Active && of.leader().is_some())
        };
        if self.returning.as_ref().is_some_and(sits) {
            self.returning = None;
        }
        if self.returning.is_some() {
            return;
        }
        if self.rng.random_bool(0.01) {
            self.kill(&name);
        }
        if self.rng.random_bool(0.02) {
            let link = (name.clone(), other);
            if !self.cut.remove(&link) && link.0 != link.1 {
                self.cut.insert(link);
            }
        }
        // Disks are lost or put back only where all is well otherwise: with a majority gone nothing could be known.
        let well = self.cut.is_empty()
            && self.agents.values().all(|agent| {
                agent.council.as_ref().is_some_and(|of| {
                    *of.status() == ReplicaStatus::Active && of.leader().is_some()
                })
            });
        let Some(agent) = self.agents.get_mut(&name) else {
            return;
        };
        if self.rng.random_bool(0.01) {
            agent.older = agent.disk.clone();
        }
        let Some(agent) = self.agents.get_mut(&name) else {
            return;
        };
        if well && self.rng.random_bool(0.1) {
            agent.disk = if self.rng.random_bool(0.5) {
                agent.older.clone()
            } else {
                Vec::new()
            };
            self.kill(&name);
            self.returning = Some(name);
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        let before = self.truth.len();
        for _ in 0..400 {
            self.step(false);
        }
        if self.truth.len() < before + 10 {
            let standing: Vec<_> = self
                .agents
                .values()
                .map(|of| {
                    of.council
                        .as_ref()
                        .map(|of| (of.status().clone(), of.slot(), of.leading_term()))
                })
                .collect();
            self.broken
                .push(format!("nothing is decided any more: {standing:?}"));
        }
    }
}

fn number(bytes: &[u8]) -> u64 {
    bytes.try_into().map(u64::from_le_bytes).unwrap_or(0)
}

fn serialized(state: &[(u64, Vec<u8>)]) -> Vec<u8> {
    state
        .iter()
        .flat_map(|(index, data)| [index.to_le_bytes().to_vec(), data.clone()].concat())
        .collect()
}

fn play(seed: u64, count: usize, planted: Planted) -> World {
    let mut world = World::new(seed, count, planted);
    for tick in 0..1500 {
        world.step(tick > 60);
        if !world.broken.is_empty() {
            return world;
        }
    }
    world.heal();
    world
}

#[test]
fn what_was_applied_once_is_applied_everywhere_through_deaths_cuts_and_lost_disks() {
    let (mut applied, mut replaced) = (0, 0);
    for seed in 0..60 {
        for count in [3, 5] {
            let world = play(seed, count, Planted::Nothing);
            assert!(
                world.broken.is_empty(),
                "seed {seed} of {count}: {:?}",
                world.broken
            );
            applied += world.truth.len();
            let highest = world
                .agents
                .values()
                .filter_map(|of| of.council.as_ref())
                .map(|of| of.membership().highest_slot)
                .max();
            replaced += highest.unwrap_or(0) - count as u64;
        }
    }
    println!("{applied} entries, {replaced} members replaced");
    assert!(applied > 5_000 && replaced > 20, "{applied} {replaced}");
}

#[test]
fn a_disk_that_lies_and_a_member_that_trusts_an_old_disk_are_found() {
    std::panic::set_hook(Box::new(|_| {}));
    for planted in [Planted::Unsynced, Planted::Trusting] {
        let found = (0..80).find_map(|seed| play(seed, 3, planted).broken.first().cloned());
        assert!(found.is_some(), "{planted:?} is not found");
    }
}

#[test]
fn what_is_torn_at_the_end_was_never_promised_and_what_is_spoilt_before_it_is_told() {
    use merlinshelf_consensus::recover;
    let records = [
        Record::VoterSlot {
            id: 1,
            incarnation: 2,
        },
        Record::HardState {
            term: 3,
            vote: 1,
            commit: 1,
        },
    ];
    let mut bytes = b"MSC1\x01\0\0\0".to_vec();
    let ends: Vec<usize> = records
        .iter()
        .map(|record| {
            bytes.extend(record.encode_frame());
            bytes.len()
        })
        .collect();
    for cut in 0..bytes.len() {
        let whole = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(
            recover(&bytes[..cut]).map(|(read, _)| read),
            Ok(records[..whole].to_vec()),
            "{cut}"
        );
    }
    assert_eq!(recover(&bytes), Ok((records.to_vec(), bytes.len())));
    bytes[18] ^= 1;
    assert!(recover(&bytes).is_err());
    assert!(recover(b"something else").is_err());
}
