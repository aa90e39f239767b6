//! Simulates replicas with disks in virtual time. Replicas crash at any moment, also during a
//! write, are disconnected, restart without their disk or with an older one, and are replaced. All
//! replicas must apply the same entries in the same order.

use std::collections::{BTreeMap, BTreeSet};

use merlinshelf_consensus::{Action, Message, PeerProgress, Record, Replica, ReplicaStatus};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A fault of the simulated program that the checks must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeededBug {
    None,
    /// Disks report records as durable that are not.
    UnsyncedDisk,
    /// A replica whose disk is older than its acknowledgements passes verification.
    SkippedVerification,
}

/// Whether the replica crashes while it carries out its actions.
#[derive(Clone, Copy, PartialEq)]
enum Crash {
    None,
    DuringWrite,
}

#[derive(Clone, Copy, PartialEq)]
enum Faults {
    Injected,
    None,
}

struct Agent {
    /// `None` while the process is down.
    replica: Option<Replica>,
    disk: Vec<Record>,
    /// An earlier content of the disk, used to simulate a disk that is reset.
    old_disk: Vec<Record>,
    /// Tick.
    restart_at: u32,
    /// Entries by index, as this agent applied them.
    applied: Vec<(u64, Vec<u8>)>,
}

impl Agent {
    fn is_following(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| {
            replica.status() == ReplicaStatus::Active && replica.leader().is_some()
        })
    }
}

struct MessageInFlight {
    /// Tick.
    deliver_at: u32,
    from: String,
    to: String,
    message: Message,
}

struct Simulation {
    rng: Pcg64Mcg,
    names: Vec<String>,
    agents: BTreeMap<String, Agent>,
    in_flight: Vec<MessageInFlight>,
    /// Sender and receiver of each disconnected link.
    cut_links: BTreeSet<(String, String)>,
    tick: u32,
    last_boot_id: u64,
    bug: SeededBug,
    /// The agent whose disk was lost or reset and that is not active yet: no other agent crashes
    /// until it is.
    recovering: Option<String>,
    /// By index, the entry that was applied first.
    first_applied: BTreeMap<u64, Vec<u8>>,
    violations: Vec<String>,
    proposal_count: u64,
}

impl Simulation {
    fn new(seed: u64, agent_count: usize, bug: SeededBug) -> Simulation {
        let names: Vec<String> = (0..agent_count).map(|place| format!("a{place}")).collect();
        let mut simulation = Simulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            names: names.clone(),
            agents: BTreeMap::new(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            tick: 0,
            last_boot_id: 0,
            bug,
            recovering: None,
            first_applied: BTreeMap::new(),
            violations: Vec::new(),
            proposal_count: 0,
        };
        for name in &names {
            let agent = Agent {
                replica: None,
                disk: vec![],
                old_disk: vec![],
                restart_at: 0,
                applied: vec![],
            };
            simulation.agents.insert(name.clone(), agent);
            simulation.start(name);
        }
        simulation
    }

    fn start(&mut self, name: &str) {
        self.last_boot_id += 1;
        let configured: BTreeSet<String> = self.names.iter().cloned().collect();
        let election_jitter = self.rng.random_range(0..4);
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        agent.applied.clear();
        let replica = Replica::start(
            name,
            &configured,
            self.last_boot_id,
            election_jitter,
            &agent.disk,
        );
        agent.replica = Some(replica.expect("the disk can be started from"));
        self.carry_out_actions(name, Crash::None);
    }

    fn carry_out_actions(&mut self, name: &str, crash: Crash) {
        loop {
            let Some(agent) = self.agents.get_mut(name) else {
                return;
            };
            let Some(replica) = &mut agent.replica else {
                return;
            };
            if replica.needs_compaction() {
                replica.compact(encode_state(&agent.applied));
            }
            let Some(action) = replica.poll_action() else {
                return;
            };
            self.carry_out(name, action, crash);
        }
    }

    fn carry_out(&mut self, name: &str, action: Action, crash: Crash) {
        match action {
            Action::Append(records) => self.append(name, records, crash),
            Action::ReplaceLog(records) => {
                if crash == Crash::DuringWrite && self.rng.random_bool(0.5) {
                    return self.crash(name);
                }
                self.agent(name).disk = records;
            }
            Action::Send { to, message } => {
                let delay = 1 + u32::from(self.rng.random_bool(0.1)) * self.rng.random_range(0..20);
                if !self.rng.random_bool(0.03) {
                    self.in_flight.push(MessageInFlight {
                        deliver_at: self.tick + delay,
                        from: name.to_owned(),
                        to,
                        message,
                    });
                }
            }
            Action::Apply { index, data } => self.apply(name, index, data),
            Action::Restore { index, state } => self.restore(name, index, &state),
            Action::LeadershipConfirmed { .. } => {}
            Action::ReportDecodeError(error) => self.violations.push(format!("{name}: {error}")),
        }
    }

    fn agent(&mut self, name: &str) -> &mut Agent {
        self.agents.get_mut(name).expect("the agent exists")
    }

    fn append(&mut self, name: &str, records: Vec<Record>, crash: Crash) {
        if crash == Crash::None {
            return self.agent(name).disk.extend(records);
        }
        let written = self.rng.random_range(0..=records.len());
        self.agent(name)
            .disk
            .extend(records.into_iter().take(written));
        self.crash(name);
    }

    /// State machine safety (Raft paper, figure 3): no two replicas apply different entries at the
    /// same index.
    fn apply(&mut self, name: &str, index: u64, data: Vec<u8>) {
        let agent = self.agent(name);
        let is_repeated = agent.applied.last().is_some_and(|(last, _)| *last >= index);
        agent.applied.push((index, data.clone()));
        if is_repeated {
            self.violations
                .push(format!("{name} applies {index} again"));
        }
        let first = self
            .first_applied
            .entry(index)
            .or_insert_with(|| data.clone());
        if *first != data {
            self.violations
                .push(format!("{name} applies another entry {index}"));
        }
    }

    fn restore(&mut self, name: &str, index: u64, state: &[u8]) {
        let applied = decode_state(state);
        let is_unknown = applied
            .iter()
            .any(|(index, data)| self.first_applied.get(index) != Some(data));
        let is_later = applied.last().is_some_and(|(last, _)| *last > index);
        self.agent(name).applied = applied;
        if is_unknown || is_later {
            self.violations
                .push(format!("{name} restores a state that no replica has had"));
        }
    }

    fn crash(&mut self, name: &str) {
        let downtime = self.rng.random_range(2..60);
        let lost_records = if self.bug == SeededBug::UnsyncedDisk {
            self.rng.random_range(0..6)
        } else {
            0
        };
        let restart_at = self.tick + downtime;
        let agent = self.agent(name);
        agent.replica = None;
        agent.restart_at = restart_at;
        for _ in 0..lost_records {
            let is_slot = matches!(agent.disk.last(), None | Some(Record::VoterSlot { .. }));
            if !is_slot && agent.disk.len() > 3 {
                agent.disk.pop();
            }
        }
    }

    fn step(&mut self, faults: Faults) {
        self.tick += 1;
        let tick = self.tick;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.deliver_at <= tick);
        self.in_flight = later;
        for message in due {
            self.deliver(message, faults);
        }
        for name in self.names.clone() {
            self.tick_agent(&name, faults);
        }
        if faults == Faults::Injected {
            self.inject_fault();
        }
    }

    fn deliver(&mut self, delivery: MessageInFlight, faults: Faults) {
        let MessageInFlight {
            from,
            to,
            mut message,
            ..
        } = delivery;
        if let (SeededBug::SkippedVerification, Message::Welcome { progress, .. }) =
            (self.bug, &mut message)
        {
            *progress = PeerProgress::default();
        }
        if self.cut_links.contains(&(from.clone(), to.clone())) {
            return;
        }
        let Some(replica) = &mut self.agent(&to).replica else {
            return;
        };
        // Raft panics on a message that contradicts the log, which is also a violation.
        let handle_message =
            std::panic::AssertUnwindSafe(|| replica.handle_message(&from, message));
        if std::panic::catch_unwind(handle_message).is_err() {
            self.violations
                .push(format!("{to} receives a message that contradicts its log"));
            return self.crash(&to);
        }
        let crash = self.draw_crash(faults);
        self.carry_out_actions(&to, crash);
    }

    fn tick_agent(&mut self, name: &str, faults: Faults) {
        let tick = self.tick;
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        match &mut agent.replica {
            None if agent.restart_at <= tick => self.start(name),
            None => return,
            Some(replica) => {
                replica.tick();
                if replica.leading_term().is_some() && self.rng.random_bool(0.3) {
                    self.proposal_count += 1;
                    replica.propose(self.proposal_count.to_le_bytes().to_vec());
                }
            }
        }
        let crash = self.draw_crash(faults);
        self.carry_out_actions(name, crash);
    }

    fn draw_crash(&mut self, faults: Faults) -> Crash {
        let crashes =
            faults == Faults::Injected && self.recovering.is_none() && self.rng.random_bool(0.002);
        if crashes {
            Crash::DuringWrite
        } else {
            Crash::None
        }
    }

    fn inject_fault(&mut self) {
        let name = self.names[self.rng.random_range(0..self.names.len())].clone();
        let other = self.names[self.rng.random_range(0..self.names.len())].clone();
        let has_recovered = |name: &String| self.agents.get(name).is_some_and(Agent::is_following);
        if self.recovering.as_ref().is_some_and(has_recovered) {
            self.recovering = None;
        }
        if self.recovering.is_some() {
            return;
        }
        if self.rng.random_bool(0.01) {
            self.crash(&name);
        }
        if self.rng.random_bool(0.02) {
            self.toggle_link(&name, other);
        }
        // Disks are lost or reset only while all other agents work: without a majority a replica
        // can't be verified.
        let is_healthy = self.cut_links.is_empty() && self.agents.values().all(Agent::is_following);
        if self.rng.random_bool(0.01) {
            let agent = self.agent(&name);
            agent.old_disk = agent.disk.clone();
        }
        if is_healthy && self.rng.random_bool(0.1) {
            let is_set_back = self.rng.random_bool(0.5);
            let agent = self.agent(&name);
            agent.disk = if is_set_back {
                agent.old_disk.clone()
            } else {
                Vec::new()
            };
            self.crash(&name);
            self.recovering = Some(name);
        }
    }

    fn toggle_link(&mut self, from: &str, to: String) {
        let link = (from.to_owned(), to);
        if !self.cut_links.remove(&link) && link.0 != link.1 {
            self.cut_links.insert(link);
        }
    }

    /// Ends all faults; the group must commit again.
    fn heal(&mut self) {
        self.cut_links.clear();
        let entries_before = self.first_applied.len();
        for _ in 0..400 {
            self.step(Faults::None);
        }
        if self.first_applied.len() < entries_before + 10 {
            let replicas: Vec<_> =
                self.agents
                    .values()
                    .map(|agent| {
                        agent.replica.as_ref().map(|replica| {
                            (replica.status(), replica.slot(), replica.leading_term())
                        })
                    })
                    .collect();
            self.violations.push(format!(
                "no entry is committed after all faults ended: {replicas:?}"
            ));
        }
    }

    /// The number of slots assigned after the bootstrap.
    fn replaced_member_count(&self) -> u64 {
        let highest_slot = self
            .agents
            .values()
            .filter_map(|agent| agent.replica.as_ref())
            .map(|replica| replica.membership().highest_slot)
            .max();
        highest_slot.unwrap_or(0) - self.names.len() as u64
    }
}

/// Indexes and data of the applied entries, eight bytes each.
fn encode_state(applied: &[(u64, Vec<u8>)]) -> Vec<u8> {
    applied
        .iter()
        .flat_map(|(index, data)| [index.to_le_bytes().to_vec(), data.clone()].concat())
        .collect()
}

fn decode_state(state: &[u8]) -> Vec<(u64, Vec<u8>)> {
    state
        .chunks(16)
        .map(|pair| {
            let index = pair[..8].try_into().map_or(0, u64::from_le_bytes);
            (index, pair[8..].to_vec())
        })
        .collect()
}

fn run_simulation(seed: u64, agent_count: usize, bug: SeededBug) -> Simulation {
    let mut simulation = Simulation::new(seed, agent_count, bug);
    for tick in 0..1500 {
        simulation.step(if tick > 60 {
            Faults::Injected
        } else {
            Faults::None
        });
        if !simulation.violations.is_empty() {
            return simulation;
        }
    }
    simulation.heal();
    simulation
}

#[test]
fn replicas_apply_the_same_entries_despite_crashes_disconnections_and_lost_disks() {
    let mut applied = 0;
    let mut replaced = 0;
    for seed in 0..60 {
        for agent_count in [3, 5] {
            let simulation = run_simulation(seed, agent_count, SeededBug::None);
            assert!(
                simulation.violations.is_empty(),
                "seed {seed} of {agent_count}: {:?}",
                simulation.violations
            );
            applied += simulation.first_applied.len();
            replaced += simulation.replaced_member_count();
        }
    }
    println!("{applied} entries, {replaced} members replaced");
    assert!(applied > 5_000 && replaced > 20, "{applied} {replaced}");
}

#[test]
fn unsynced_disks_and_skipped_verification_are_detected() {
    std::panic::set_hook(Box::new(|_| {}));
    for bug in [SeededBug::UnsyncedDisk, SeededBug::SkippedVerification] {
        let violation =
            (0..80).find_map(|seed| run_simulation(seed, 3, bug).violations.first().cloned());
        assert!(violation.is_some(), "{bug:?} is not detected");
    }
}
