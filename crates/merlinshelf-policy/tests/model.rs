//! All parts together in virtual time, with faults by seed: instances that stand still, agents that die, messages that are
//! lost or late, leaders that are replaced and do not know, clocks that run apart. The promises are checked by what each
//! instance acts on, moment for moment, never by what anybody says.

use std::collections::{BTreeMap, BTreeSet};

use merlinshelf_policy::messages::{
    Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus,
};
use merlinshelf_policy::replicated_state::{
    Bootstrap, ChangeOutcome, Entry, ReplicatedEvent, ReplicatedState,
};
use merlinshelf_policy::rollout_leader::{Action, RolloutLeader, ServiceWatch};
use merlinshelf_policy::{EffectivePolicy, HostLeaseManager, LeaseExpiryMode, LeaseHolder, Policy};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: f64 = 0.01;
const LEASE: f64 = 2.0;
const DRIFT: f64 = 0.03;
const ROLLBACK_PROPOSER: ServiceWatch = ServiceWatch {
    window_seconds: 0.0,
    tolerated_loss: 1.0,
};

/// What is planted, to show that it is found.
#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// An instance counts its lease from when the grant came.
    FromArrival,
    /// A host's lease is granted by who has not been confirmed since it was asked.
    Unconfirmed,
    /// An agent that begins believes that nobody holds anything.
    Forgetful,
}

enum Message {
    Heartbeat(usize, String, Heartbeat),
    InstanceStatus(usize, String, InstanceStatus),
    Ask(usize, HostLeaseRequest),
    /// From whom, to whom.
    Word(usize, usize, HostLeaseResponse),
}

struct Clock {
    rate: f64,
    offset: f64,
}

impl Clock {
    fn at(&self, t: f64) -> f64 {
        self.offset + self.rate * t
    }
}

struct Agent {
    clock: Clock,
    up: bool,
    applied: usize,
    ledger: ReplicatedState,
    warden: HostLeaseManager,
    /// While it believes that it leads, with the term in which it was elected.
    conductor: Option<(RolloutLeader, u64)>,
    cut: bool,
}

struct Instance {
    clock: Clock,
    holder: LeaseHolder,
    stopped: bool,
    /// What it decided by last.
    acted: BTreeSet<u64>,
}

struct World {
    rng: Pcg64Mcg,
    t: f64,
    planted: Planted,
    log: Vec<Entry>,
    /// The true term; only its leader's words are confirmed and committed.
    term: u64,
    leader: usize,
    agents: Vec<Agent>,
    instances: BTreeMap<String, Instance>,
    flying: Vec<(f64, Message)>,
    life: u64,
    highest: u64,
    proposed: u64,
    broken: Vec<String>,
    states: BTreeSet<String>,
    worst_end: f64,
}

fn policy(number: u64) -> Policy {
    Policy {
        note: format!("the {number}th"),
        call_share: Some(1.0 + number as f64),
        ..Policy::default()
    }
}

impl World {
    fn new(seed: u64, planted: Planted, agents: usize, each: usize) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut clock = || Clock {
            rate: 1.0 + rng.random_range(-0.01..0.01),
            offset: rng.random_range(0.0..1e6),
        };
        let all = (0..agents).map(|place| Agent {
            clock: clock(),
            up: true,
            applied: 0,
            ledger: ReplicatedState::default(),
            warden: HostLeaseManager::new(
                &format!("a{place}"),
                place as u64 + 1,
                Policy::default().fingerprint(),
                DRIFT,
            ),
            conductor: None,
            cut: false,
        });
        let all: Vec<Agent> = all.collect();
        let mut instances = BTreeMap::new();
        for place in 0..agents * each {
            let name = format!("a{}.{}", place / each, place % each);
            let holder = LeaseHolder::new(
                1000 + place as u64,
                Policy::default(),
                LeaseExpiryMode::BasePolicy,
                DRIFT,
            );
            instances.insert(
                name,
                Instance {
                    clock: clock(),
                    holder,
                    stopped: false,
                    acted: BTreeSet::new(),
                },
            );
        }
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            t: 0.0,
            planted,
            log: Vec::new(),
            term: 0,
            leader: 0,
            agents: all,
            instances,
            flying: Vec::new(),
            life: 5000,
            highest: 0,
            proposed: 0,
            broken: Vec::new(),
            states: BTreeSet::new(),
            worst_end: 0.0,
        };
        world.elect(0);
        world
    }

    fn founding() -> Bootstrap {
        Bootstrap {
            lease_ms: (LEASE * 1e3) as u64,
            base_fingerprint: Policy::default().fingerprint(),
        }
    }

    /// Another one leads. Who led before goes on believing that it does.
    fn elect(&mut self, place: usize) {
        (self.term, self.leader) = (self.term + 1, place);
        self.catch_up(place, usize::MAX);
        let names: Vec<String> = (0..self.agents.len()).map(|of| format!("a{of}")).collect();
        let agent = &mut self.agents[place];
        let now = agent.clock.at(self.t);
        let conductor = RolloutLeader::elected(
            now,
            Self::founding(),
            DRIFT,
            ROLLBACK_PROPOSER,
            names.into_iter(),
        );
        agent.conductor = Some((conductor, self.term));
    }

    fn catch_up(&mut self, place: usize, most: usize) {
        let agent = &mut self.agents[place];
        let now = agent.clock.at(self.t);
        let until = self.log.len().min(agent.applied.saturating_add(most));
        while agent.applied < until {
            let news = agent.ledger.apply(self.log[agent.applied].clone());
            agent.applied += 1;
            agent.warden.state_changed(now, &agent.ledger);
            if let (Some(news), Some((conductor, _))) = (news, &mut agent.conductor) {
                conductor.state_changed(now, &news, &agent.ledger);
            }
        }
    }

    fn fly(&mut self, message: Message, lossy: bool) {
        if lossy && self.rng.random_bool(0.05) {
            return;
        }
        let delay = if lossy && self.rng.random_bool(0.03) {
            self.rng.random_range(0.0..5.0)
        } else {
            self.rng.random_range(0.0..0.03)
        };
        self.flying.push((self.t + delay, message));
    }

    fn step(&mut self, faults: bool) {
        self.t += TICK;
        let due = |one: &(f64, Message)| one.0 <= self.t;
        let (now, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flying).into_iter().partition(due);
        self.flying = later;
        for (_, message) in now {
            self.arrive(message, faults);
        }
        for place in 0..self.agents.len() {
            self.turn(place, faults);
        }
        self.check();
        if faults {
            self.fault();
        }
    }

    fn arrive(&mut self, message: Message, faults: bool) {
        match message {
            Message::Heartbeat(place, name, mut beat) => {
                let Some(one) = self.instances.get_mut(&name) else {
                    return;
                };
                if one.stopped {
                    // It lies in the socket until it goes on.
                    return self
                        .flying
                        .push((self.t + TICK, Message::Heartbeat(place, name, beat)));
                }
                let now = one.clock.at(self.t);
                if let (Planted::FromArrival, Some(grant)) = (self.planted, &mut beat.grant) {
                    grant.requested_at = now;
                }
                let said = one.holder.handle_heartbeat(now, beat, |_| Ok(()));
                self.fly(Message::InstanceStatus(place, name, said), faults);
            }
            Message::InstanceStatus(place, name, said) => {
                let agent = &mut self.agents[place];
                agent
                    .warden
                    .instance_responded(agent.clock.at(self.t), &name, said);
            }
            Message::Ask(place, ask) => {
                let agent = &mut self.agents[place];
                let now = agent.clock.at(self.t);
                // Nobody is cut off from itself.
                let heard = agent.up && (!agent.cut || ask.host == format!("a{place}"));
                if let (true, Some((conductor, _))) = (heard, &mut agent.conductor) {
                    conductor.handle_lease_request(now, ask, &agent.ledger);
                }
            }
            Message::Word(from, place, word) => {
                let agent = &mut self.agents[place];
                if agent.up && (!agent.cut || from == place) {
                    agent
                        .warden
                        .handle_lease_response(agent.clock.at(self.t), &word);
                }
            }
        }
    }

    fn turn(&mut self, place: usize, faults: bool) {
        if !self.agents[place].up {
            return;
        }
        let cut = self.agents[place].cut;
        if !cut && self.rng.random_bool(0.5) {
            self.catch_up(place, 1 + usize::from(!faults) * 10);
        }
        let leader = self.leader;
        let agent = &mut self.agents[place];
        let now = agent.clock.at(self.t);
        let own = format!("a{place}.");
        agent.warden.set_instances(
            now,
            self.instances.keys().filter(|name| name.starts_with(&own)),
        );
        let mut out = Vec::new();
        while let Some((name, beat)) = agent.warden.poll_heartbeat(now) {
            out.push(Message::Heartbeat(place, name, beat));
        }
        let leads_alone = cut && agent.conductor.is_some();
        if let Some(ask) = agent.warden.poll_lease_request(now)
            && (!cut || leads_alone)
        {
            // To whom it believes to lead: now and then that is one who does not any more.
            let stale = (0..self.agents.len())
                .find(|of| *of != leader && self.agents[*of].conductor.is_some());
            let to = stale
                .filter(|_| self.rng.random_bool(0.3))
                .unwrap_or(leader);
            let to = if leads_alone { place } else { to };
            out.push(Message::Ask(to, ask));
        }
        let (mut steps, term) = (
            Vec::new(),
            self.agents[place].conductor.as_ref().map(|(_, term)| *term),
        );
        let agent = &mut self.agents[place];
        if let Some((conductor, _)) = &mut agent.conductor {
            conductor.advance(now, &agent.ledger);
            while let Some(step) = conductor.poll_action() {
                steps.push(step);
            }
        }
        let leads = term == Some(self.term) && !cut;
        for step in steps {
            match step {
                Action::ConfirmLeadership(number)
                    if leads || self.planted == Planted::Unconfirmed =>
                {
                    let agent = &mut self.agents[place];
                    if let Some((conductor, _)) = &mut agent.conductor {
                        conductor.leadership_confirmed(now, number, &agent.ledger);
                    }
                }
                Action::Propose(entry) if leads => self.log.push(entry),
                Action::Respond(host, word) => {
                    let to = host[1..].parse().unwrap_or(0);
                    out.push(Message::Word(place, to, word));
                }
                _ => {}
            }
        }
        for message in out {
            let lossy = faults;
            self.fly(message, lossy);
        }
        // Whoever is told of a later term knows that it does not lead any more, in time.
        if term.is_some() && !leads && !cut && self.rng.random_bool(0.01) {
            self.agents[place].conductor = None;
        }
        // In one process out of many a waiting beat that was lost is given up.
        if self.rng.random_bool(0.02) {
            let names: Vec<String> = self
                .instances
                .keys()
                .filter(|name| name.starts_with(&own))
                .cloned()
                .collect();
            names
                .iter()
                .for_each(|name| self.agents[place].warden.instance_unreachable(name, None));
        }
    }

    fn fault(&mut self) {
        let (agents, t) = (self.agents.len(), self.t);
        if self.rng.random_bool(0.004) {
            let to = self.rng.random_range(0..agents);
            if self.agents[to].up && !self.agents[to].cut {
                self.elect(to);
            }
        }
        if self.rng.random_bool(0.004) {
            let place = self.rng.random_range(0..agents);
            let agent = &mut self.agents[place];
            agent.cut = !agent.cut;
        }
        let place = self.rng.random_range(0..agents);
        // One that died is mostly back within its instances' leases.
        if self
            .rng
            .random_bool(if self.agents[place].up { 0.004 } else { 0.06 })
        {
            self.life += 1;
            let agent = &mut self.agents[place];
            if agent.up {
                agent.up = false;
                agent.conductor = None;
            } else {
                agent.up = true;
                agent.warden = HostLeaseManager::new(
                    &format!("a{place}"),
                    self.life,
                    Policy::default().fingerprint(),
                    DRIFT,
                );
                if self.planted == Planted::Forgetful {
                    // As if it and its instances had begun long ago.
                    let own = format!("a{place}.");
                    let names = self.instances.keys().filter(|name| name.starts_with(&own));
                    agent
                        .warden
                        .set_instances(agent.clock.at(t) - 3.0 * LEASE, names);
                }
                agent.warden.state_changed(agent.clock.at(t), &agent.ledger);
            }
        }
        let names: Vec<String> = self.instances.keys().cloned().collect();
        let name = &names[self.rng.random_range(0..names.len())];
        if let (true, Some(one)) = (self.rng.random_bool(0.02), self.instances.get_mut(name)) {
            one.stopped = !one.stopped;
        }
        if self.rng.random_bool(0.004) {
            self.life += 1;
            let life = self.life;
            if let Some(one) = self.instances.get_mut(name) {
                one.holder =
                    LeaseHolder::new(life, Policy::default(), LeaseExpiryMode::BasePolicy, DRIFT);
                one.stopped = false;
            }
        }
        if self.rng.random_bool(0.01) {
            self.propose();
        }
    }

    fn propose(&mut self) {
        self.proposed += 1;
        let number = self.proposed;
        let entry = Entry::Propose {
            change_id: format!("p{number}"),
            policy: Box::new(policy(number)),
            proposed_by: "operator".into(),
            proposed_at: 0.0,
        };
        self.log.push(entry);
    }

    /// Every instance that runs decides something at this very moment.
    fn check(&mut self) {
        let mut truth = ReplicatedState::default();
        for entry in &self.log {
            truth.apply(entry.clone());
        }
        let before = self.highest;
        for (name, one) in &mut self.instances {
            if one.stopped {
                continue;
            }
            let EffectivePolicy::Leased(number) = one.holder.effective_policy(one.clock.at(self.t))
            else {
                continue;
            };
            one.acted.insert(number);
            if number < before {
                self.broken.push(format!(
                    "{:.2} {name} acts on {number} after {before} was acted on",
                    self.t
                ));
            }
            self.highest = self.highest.max(number);
            let refused = truth
                .completed_changes
                .iter()
                .any(|of| of.version == number && matches!(of.outcome, ChangeOutcome::Rejected(_)));
            let decided = number <= truth.fence_version() + 1 && number <= truth.last_version;
            if refused || !decided {
                self.broken.push(format!(
                    "{:.2} {name} acts on {number}, which is not decided",
                    self.t
                ));
            }
        }
        let state: Vec<String> = self
            .instances
            .values()
            .map(|one| {
                format!(
                    "{:?}{}",
                    one.holder.effective_policy(one.clock.at(self.t)),
                    u8::from(one.stopped)
                )
            })
            .collect();
        let agents: Vec<String> = self
            .agents
            .iter()
            .map(|of| {
                format!(
                    "{}{}{}",
                    u8::from(of.up),
                    u8::from(of.cut),
                    u8::from(of.conductor.is_some())
                )
            })
            .collect();
        let stage = truth
            .pending_change
            .map(|change| format!("{:?}", change.stage));
        self.states.insert(format!(
            "{} {stage:?} {}",
            state.join(","),
            agents.join(",")
        ));
    }

    /// All is well again: whatever is under way ends in time, and then one more change.
    fn heal(&mut self) {
        self.agents.iter_mut().for_each(|agent| agent.cut = false);
        for place in 0..self.agents.len() {
            let agent = &mut self.agents[place];
            if !agent.up {
                self.life += 1;
                agent.up = true;
                agent.warden = HostLeaseManager::new(
                    &format!("a{place}"),
                    self.life,
                    Policy::default().fingerprint(),
                    DRIFT,
                );
                agent
                    .warden
                    .state_changed(agent.clock.at(self.t), &agent.ledger);
            }
        }
        self.instances
            .values_mut()
            .for_each(|one| one.stopped = false);
        self.agents
            .iter_mut()
            .for_each(|agent| agent.conductor = None);
        self.elect(0);
        for round in 0..2 {
            let began = self.t;
            while self.pending() && self.t < began + 2.0 * LEASE + 6.0 {
                self.step(false);
            }
            if self.pending() {
                self.broken.push(format!(
                    "a change does not end: {:?}",
                    self.agents[0].ledger.pending_change
                ));
            }
            self.worst_end = self.worst_end.max(self.t - began);
            if self.t - began > LEASE * (1.0 + DRIFT) + 2.0 {
                self.broken
                    .push(format!("a change ended after {:.2} s", self.t - began));
            }
            if round == 0 {
                self.propose();
            }
        }
        let until = self.t + 2.0 * LEASE;
        while self.t < until {
            self.step(false);
        }
        let current = self.agents[0].ledger.current_version;
        let all = |one: &Instance| {
            one.holder.effective_policy(one.clock.at(self.t)) == EffectivePolicy::Leased(current)
        };
        if current == 0 || !self.instances.values().all(all) {
            self.broken
                .push(format!("not all act on {current} in the end"));
        }
    }

    fn pending(&self) -> bool {
        let mut truth = ReplicatedState::default();
        self.log
            .iter()
            .for_each(|entry| _ = truth.apply(entry.clone()));
        truth.bootstrap.is_none() || truth.pending_change.is_some()
    }
}

fn play(seed: u64, planted: Planted) -> World {
    let mut world = World::new(seed, planted, 3, 2);
    while world.t < 1.0 {
        world.step(false);
    }
    while world.t < 30.0 {
        world.step(true);
    }
    world.heal();
    world
}

#[test]
fn no_order_is_broken_nothing_is_half_held_and_every_change_ends() {
    let (mut changes, mut states, mut held, mut worst) = (0, BTreeSet::new(), 0, 0.0_f64);
    for seed in 0..40 {
        let world = play(seed, Planted::Nothing);
        assert!(
            world.broken.is_empty(),
            "seed {seed}: {:#?}",
            &world.broken[..world.broken.len().min(5)]
        );
        (changes, worst) = (changes + world.proposed, worst.max(world.worst_end));
        held += world
            .instances
            .values()
            .map(|one| one.acted.len())
            .sum::<usize>();
        states.extend(world.states);
    }
    println!(
        "{changes} changes, {} states, longest end {worst:.2} s",
        states.len()
    );
    assert!(
        changes > 500 && held > 500 && states.len() > 5_000,
        "{changes} {held} {}",
        states.len()
    );
}

fn found(planted: Planted) -> Option<(u64, String)> {
    (0..200).find_map(|seed| {
        let world = play(seed, planted);
        let order = world.broken.iter().find(|line| line.contains("after"));
        order.map(|line| (seed, line.clone()))
    })
}

#[test]
fn a_lease_that_counts_from_its_arrival_is_found() {
    assert!(found(Planted::FromArrival).is_some());
}

#[test]
fn a_lease_of_a_leader_that_was_replaced_is_found() {
    assert!(found(Planted::Unconfirmed).is_some());
}

#[test]
fn an_agent_that_forgets_what_its_instances_may_hold_is_found() {
    assert!(found(Planted::Forgetful).is_some());
}

#[test]
fn whoever_asks_twice_has_made_one_change_and_the_second_of_two_is_refused() {
    let mut ledger = ReplicatedState::default();
    let propose = |id: &str| Entry::Propose {
        change_id: id.into(),
        policy: Box::new(policy(1)),
        proposed_by: "a".into(),
        proposed_at: 0.0,
    };
    assert_eq!(
        ledger.apply(propose("early")),
        None,
        "nothing is proposed before it is founded"
    );
    assert!(matches!(
        ledger.apply(Entry::Bootstrap(World::founding())),
        Some(ReplicatedEvent::Bootstrapped(_))
    ));
    assert_eq!(ledger.apply(Entry::Bootstrap(Bootstrap::default())), None);
    assert_eq!(
        ledger.apply(propose("one")),
        Some(ReplicatedEvent::Proposed(1))
    );
    assert_eq!(ledger.apply(propose("one")), None);
    assert_eq!(
        ledger.apply(propose("two")),
        Some(ReplicatedEvent::Decided(2, false))
    );
    assert_eq!(ledger.fence_version(), 0);
    assert_eq!(
        ledger.apply(Entry::Decide {
            version: 1,
            accepted: true,
            rejections: vec![]
        }),
        Some(ReplicatedEvent::Decided(1, true))
    );
    assert_eq!(
        ledger.apply(Entry::Decide {
            version: 1,
            accepted: false,
            rejections: vec![]
        }),
        None,
        "the first counts"
    );
    assert_eq!(
        ledger.apply(Entry::Activate { version: 1 }),
        Some(ReplicatedEvent::Committed(1))
    );
    assert_eq!(
        (
            ledger.current_version,
            ledger.fence_version(),
            ledger.apply(Entry::Activate { version: 1 })
        ),
        (1, 0, None)
    );
    assert_eq!(ledger.outcome("two").map(|of| of.version), Some(2));
    assert_eq!(
        ledger.apply(propose("three")),
        Some(ReplicatedEvent::Proposed(3))
    );
    ledger.apply(Entry::Decide {
        version: 3,
        accepted: true,
        rejections: vec![],
    });
    assert_eq!(ledger.fence_version(), 2);
}
