//! Many nodes in virtual time, with a network between them: what one costs, and how fast all know of a change.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use merlinshelf_admission::{LearnedOperation, LearnedState};
use merlinshelf_gossip::gossip_node::{Action, GossipNode, Settings};
use merlinshelf_gossip::{Message, Scope, State, membership};
use merlinshelf_protocol::gossip::{MessageKind, write_message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What a fleet came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetMetrics {
    /// Questions and answers, and their bytes, a peer and second, once all know each other.
    pub messages: f64,
    pub bytes: f64,
    /// Until all that live know that one has died without a word.
    pub known_s: f64,
    pub memory_kb: f64,
}

enum What {
    Wake(usize),
    Question {
        from: usize,
        to: usize,
        message: Box<Message>,
    },
    Answer {
        to: usize,
        message: Box<Message>,
    },
}

/// Learners and the network between them; moments in seconds.
pub struct World {
    pub now: f64,
    pub nodes: Vec<Option<GossipNode>>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    what: Vec<Option<What>>,
    free: Vec<usize>,
    rng: Pcg64Mcg,
    /// To which part of a parted network each belongs.
    pub partition: Vec<u8>,
    pub messages: u64,
    pub bytes: u64,
    /// Every so many messages are measured.
    measured: u64,
}

pub fn scope() -> Scope {
    Scope {
        engine: "e".into(),
        dependency: "d".into(),
        operations: (0..8).map(|place| format!("operation-{place}")).collect(),
        keep_alive_seconds: Some(30),
    }
}

/// What a module has learned_state that has seen so many runs of each operation, at this speed.
pub fn learned_state(runs: usize, clock: f64, speed: f64) -> LearnedState {
    let samples = |value: f64| -> VecDeque<f64> { (0..runs.min(24)).map(|_| value).collect() };
    let of = |place: usize| LearnedOperation {
        run_durations: samples(0.01 * speed * (place + 1) as f64),
        run_costs: samples(1.0),
        downstream_durations: samples(0.005),
        lowest_duration: 0.008 * speed,
        finishes_until_probe: 100.0,
    };
    LearnedState {
        operations: (0..8).map(of).collect(),
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
            what: Vec::new(),
            free: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            partition: vec![0; count],
            messages: 0,
            bytes: 0,
            measured: 1,
        };
        (0..count).for_each(|number| world.at(0.0, What::Wake(number)));
        world
    }

    /// Another life begins in this place.
    pub fn restart_node(&mut self, number: usize, life: u64) {
        self.nodes[number] = Some(GossipNode::new(
            self.now,
            life,
            settings(number, &[0, 1, 2]),
        ));
    }

    fn at(&mut self, at: f64, what: What) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.what.push(None);
            self.what.len() - 1
        });
        self.what[place] = Some(what);
        self.queue.push(Reverse(((at * 1e6) as u64, place)));
    }

    fn send(&mut self, from: usize, to: usize, kind: MessageKind, message: &Message, what: What) {
        self.messages += 1;
        if self.messages.is_multiple_of(self.measured) {
            let mut bytes: Vec<u8> = Vec::new();
            write_message(&mut bytes, kind, message);
            self.bytes += bytes.len() as u64 * self.measured;
        }
        let delay = 0.001 + 0.004 * self.rng.random::<f64>();
        if self.nodes.get(to).is_some_and(Option::is_some)
            && self.partition[from] == self.partition[to]
        {
            self.at(self.now + delay, what);
        }
    }

    /// Lets everything happen until then.
    pub fn run_until(&mut self, end: f64) {
        while let Some(&Reverse((at, place))) = self.queue.peek() {
            if at as f64 / 1e6 > end {
                break;
            }
            self.queue.pop();
            self.now = at as f64 / 1e6;
            self.free.push(place);
            match self.what[place].take() {
                Some(What::Wake(number)) => self.wake(number),
                Some(What::Question { from, to, message }) => {
                    let now = self.now;
                    let Some(one) = &mut self.nodes[to] else {
                        continue;
                    };
                    let Some(answer) = one.poll_received(now, &message) else {
                        continue;
                    };
                    one.charge_cpu_seconds(2e-5);
                    let what = What::Answer {
                        to: from,
                        message: Box::new(answer.clone()),
                    };
                    self.send(to, from, MessageKind::Answer, &answer, what);
                }
                Some(What::Answer { to, message }) => {
                    let now = self.now;
                    if let Some(one) = &mut self.nodes[to] {
                        one.answer_received(now, &message);
                    }
                }
                None => {}
            }
        }
        self.now = end;
    }

    fn wake(&mut self, number: usize) {
        let (now, rng) = (self.now, &mut self.rng);
        // One that is gone may come back.
        let Some(one) = &mut self.nodes[number] else {
            return self.at(now + 1.0, What::Wake(number));
        };
        let steps = one.timer_expired(now, &mut || rng.random());
        let wake = one.next_timeout().unwrap_or(now + 1.0);
        for Action::Poll {
            address,
            poll: question,
        } in steps
        {
            let Ok(to) = address.parse() else { continue };
            let what = What::Question {
                from: number,
                to,
                message: Box::new(question.clone()),
            };
            self.send(number, to, MessageKind::Poll, &question, what);
        }
        self.at(wake.max(now + 1e-4), What::Wake(number));
    }

    /// All see what a steady module has learned_state.
    pub fn record_samples_on_all(&mut self, runs: usize, speed: f64) {
        let (now, learned_state) = (self.now, learned_state(runs, self.now, speed));
        self.nodes
            .iter_mut()
            .flatten()
            .for_each(|one| one.record_own_samples(now, now, &learned_state));
    }

    /// Goes on until all that live say so, at most so long; when that was.
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

/// All start at once, meet, go on for a while, and one dies.
pub fn run(count: usize, seed: u64) -> FleetMetrics {
    let before = memory_kb();
    let mut world = World::new(count, seed);
    world.measured = if count > 1000 { 97 } else { 1 };
    world.record_samples_on_all(24, 1.0);
    // Half of all know nearly all: the tables of the largest fleets fill slowly, and no figure waits for that.
    let met = |one: &GossipNode| one.members().count_alive() * 10 >= (count - 1) * 9;
    let _ = world.run_until_all(240.0, met);
    world.run_until(world.now + 10.0);
    let (from, messages, bytes) = (world.now, world.messages, world.bytes);
    for _ in 0..10 {
        world.run_until(world.now + 1.0);
        world.record_samples_on_all(24, 1.0 + world.now / 1e6);
    }
    let seconds = (world.now - from) * count as f64;
    let (messages, bytes) = (world.messages - messages, world.bytes - bytes);
    let memory = (memory_kb() - before) / count as f64;
    let dead = count / 2;
    world.nodes[dead] = None;
    let (began, name) = (world.now, format!("n{dead}"));
    let knows = |one: &GossipNode| {
        one.members()
            .state_of(&name)
            .is_none_or(|state| state >= State::Left)
    };
    let known = world.run_until_all(300.0, knows).unwrap_or(f64::INFINITY) - began;
    FleetMetrics {
        messages: messages as f64 / seconds,
        bytes: bytes as f64 / seconds,
        known_s: known,
        memory_kb: memory,
    }
}
