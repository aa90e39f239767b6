//! Many gossip nodes and their network in virtual time. Measures the cost of a node, and how fast all nodes detect a crash.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use merlinshelf_admission::{LearnedOperation, LearnedState};
use merlinshelf_gossip::gossip_node::{Action, GossipNode, Settings};
use merlinshelf_gossip::{Message, Scope, State, membership};
use merlinshelf_protocol::gossip::{MessageKind, write_message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The results of the simulation of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetMetrics {
    /// Polls and answers per peer and second, after the nodes have met.
    pub messages: f64,
    /// Bytes of these messages per peer and second.
    pub bytes: f64,
    /// Seconds until all live nodes know that a node has crashed.
    pub known_s: f64,
    pub memory_kb: f64,
}

enum Event {
    Timeout(usize),
    Poll {
        from: usize,
        to: usize,
        message: Box<Message>,
    },
    Answer {
        to: usize,
        message: Box<Message>,
    },
}

/// The nodes and the network between them. Times are in seconds.
pub struct World {
    pub now: f64,
    pub nodes: Vec<Option<GossipNode>>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    /// Indexes in `events` that can be reused.
    free_indexes: Vec<usize>,
    rng: Pcg64Mcg,
    /// The network partition that each node belongs to. Nodes of different partitions can't exchange messages.
    pub partition: Vec<u8>,
    pub messages: u64,
    pub bytes: u64,
    /// The size of one in this many messages is measured; the total is extrapolated.
    size_sampling: u64,
}

pub fn scope() -> Scope {
    Scope {
        engine: "e".into(),
        dependency: "d".into(),
        operations: (0..8).map(|index| format!("operation-{index}")).collect(),
        keep_alive_seconds: Some(30),
    }
}

/// The state of an admission controller that has observed `runs` runs of each operation. Durations scale with `slowdown`.
pub fn learned_state(runs: usize, clock: f64, slowdown: f64) -> LearnedState {
    let samples = |value: f64| -> VecDeque<f64> { (0..runs.min(24)).map(|_| value).collect() };
    let operation = |index: usize| LearnedOperation {
        run_durations: samples(0.01 * slowdown * (index + 1) as f64),
        run_costs: samples(1.0),
        downstream_durations: samples(0.005),
        lowest_duration: 0.008 * slowdown,
        finishes_until_probe: 100.0,
    };
    LearnedState {
        operations: (0..8).map(operation).collect(),
        concurrency_limit: 16.0,
        last_progress_at: clock,
        calls: [(clock - 0.01, clock)].into(),
        call_durations: samples(0.004),
        lowest_call_mean: 0.003,
        call_limit: 4.0,
        retry_marks: samples(0.0),
        return_gaps: samples(1.0),
        ..LearnedState::default()
    }
}

pub fn settings(number: usize, seeds: &[usize]) -> Settings {
    Settings {
        name: format!("n{number}"),
        address: number.to_string(),
        seeds: seeds.iter().map(usize::to_string).collect(),
        scope: scope(),
        cpu_share: 0.01,
        membership: membership::Settings::default(),
    }
}

impl World {
    pub fn new(count: usize, seed: u64) -> World {
        let nodes =
            (0..count).map(|number| Some(GossipNode::new(0.0, 1, settings(number, &[0, 1, 2]))));
        let mut world = World {
            now: 0.0,
            nodes: nodes.collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_indexes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            partition: vec![0; count],
            messages: 0,
            bytes: 0,
            size_sampling: 1,
        };
        (0..count).for_each(|number| world.schedule(0.0, Event::Timeout(number)));
        world
    }

    /// Replaces a node by a new incarnation of it without state.
    pub fn restart_node(&mut self, number: usize, incarnation: u64) {
        self.nodes[number] = Some(GossipNode::new(
            self.now,
            incarnation,
            settings(number, &[0, 1, 2]),
        ));
    }

    fn schedule(&mut self, at: f64, event: Event) {
        let index = self.free_indexes.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[index] = Some(event);
        self.queue.push(Reverse(((at * 1e6) as u64, index)));
    }

    fn send(&mut self, from: usize, to: usize, kind: MessageKind, message: &Message, event: Event) {
        self.messages += 1;
        if self.messages.is_multiple_of(self.size_sampling) {
            let mut bytes: Vec<u8> = Vec::new();
            write_message(&mut bytes, kind, message);
            self.bytes += bytes.len() as u64 * self.size_sampling;
        }
        let delay = 0.001 + 0.004 * self.rng.random::<f64>();
        if self.nodes.get(to).is_some_and(Option::is_some)
            && self.partition[from] == self.partition[to]
        {
            self.schedule(self.now + delay, event);
        }
    }

    /// Processes all events until this time.
    pub fn run_until(&mut self, end: f64) {
        while let Some(&Reverse((at, index))) = self.queue.peek() {
            if at as f64 / 1e6 > end {
                break;
            }
            self.queue.pop();
            self.now = at as f64 / 1e6;
            self.free_indexes.push(index);
            match self.events[index].take() {
                Some(Event::Timeout(number)) => self.handle_timeout(number),
                Some(Event::Poll { from, to, message }) => {
                    let now = self.now;
                    let Some(node) = &mut self.nodes[to] else {
                        continue;
                    };
                    let Some(answer) = node.poll_received(now, &message) else {
                        continue;
                    };
                    node.charge_cpu_seconds(2e-5);
                    let event = Event::Answer {
                        to: from,
                        message: Box::new(answer.clone()),
                    };
                    self.send(to, from, MessageKind::Answer, &answer, event);
                }
                Some(Event::Answer { to, message }) => {
                    let now = self.now;
                    if let Some(node) = &mut self.nodes[to] {
                        node.answer_received(now, &message);
                    }
                }
                None => {}
            }
        }
        self.now = end;
    }

    fn handle_timeout(&mut self, number: usize) {
        let (now, rng) = (self.now, &mut self.rng);
        // A crashed node may be restarted later.
        let Some(node) = &mut self.nodes[number] else {
            return self.schedule(now + 1.0, Event::Timeout(number));
        };
        let actions = node.timer_expired(now, &mut || rng.random());
        let next_timeout = node.next_timeout().unwrap_or(now + 1.0);
        for Action::Poll { address, poll } in actions {
            let Ok(to) = address.parse() else { continue };
            let event = Event::Poll {
                from: number,
                to,
                message: Box::new(poll.clone()),
            };
            self.send(number, to, MessageKind::Poll, &poll, event);
        }
        self.schedule(next_timeout.max(now + 1e-4), Event::Timeout(number));
    }

    /// Records the samples of a steady admission controller on all nodes.
    pub fn record_samples_on_all(&mut self, runs: usize, slowdown: f64) {
        let (now, learned_state) = (self.now, learned_state(runs, self.now, slowdown));
        self.nodes
            .iter_mut()
            .flatten()
            .for_each(|node| node.record_own_samples(now, now, &learned_state));
    }

    /// Runs until the condition holds for all live nodes. Returns the time at which it did, or none after the timeout.
    pub fn run_until_all(
        &mut self,
        timeout: f64,
        condition: impl Fn(&GossipNode) -> bool,
    ) -> Option<f64> {
        let end = self.now + timeout;
        while self.now < end {
            let next = self.now + 0.5;
            self.run_until(next);
            if self.nodes.iter().flatten().all(&condition) {
                return Some(self.now);
            }
        }
        None
    }
}

fn memory_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("");
    line.trim()
        .split(' ')
        .next()
        .and_then(|kb| kb.parse().ok())
        .unwrap_or(0.0)
}

/// Starts all nodes at once, lets them meet, measures their messages for 10 s, and crashes one of them.
pub fn run(count: usize, seed: u64) -> FleetMetrics {
    let memory_before = memory_kb();
    let mut world = World::new(count, seed);
    world.size_sampling = if count > 1000 { 97 } else { 1 };
    world.record_samples_on_all(24, 1.0);
    // Waits for 90% of the members only, since the member tables of the largest fleets fill slowly.
    let has_met = |node: &GossipNode| node.members().count_alive() * 10 >= (count - 1) * 9;
    let _ = world.run_until_all(240.0, has_met);
    world.run_until(world.now + 10.0);
    let (measured_from, messages_before, bytes_before) = (world.now, world.messages, world.bytes);
    for _ in 0..10 {
        world.run_until(world.now + 1.0);
        world.record_samples_on_all(24, 1.0 + world.now / 1e6);
    }
    let node_seconds = (world.now - measured_from) * count as f64;
    let (messages, bytes) = (world.messages - messages_before, world.bytes - bytes_before);
    let memory = (memory_kb() - memory_before) / count as f64;
    let crashed = count / 2;
    world.nodes[crashed] = None;
    let (crashed_at, name) = (world.now, format!("n{crashed}"));
    let knows_of_crash = |node: &GossipNode| {
        node.members()
            .state_of(&name)
            .is_none_or(|state| state >= State::Left)
    };
    let known_s = world
        .run_until_all(300.0, knows_of_crash)
        .unwrap_or(f64::INFINITY)
        - crashed_at;
    FleetMetrics {
        messages: messages as f64 / node_seconds,
        bytes: bytes as f64 / node_seconds,
        known_s,
        memory_kb: memory,
    }
}
