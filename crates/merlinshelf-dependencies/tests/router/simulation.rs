//! A simulation of a router and its servers in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use merlinshelf_dependencies::{
    Action, AttemptOutcome, CallEnd, CallRequest, Dependencies, Effect, Router,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded generator of numbers in [0, 1).
pub struct Random(Pcg64Mcg);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    pub fn next(&mut self) -> f64 {
        self.0.random()
    }
}

/// Settings of an operation `page` with these calls and of dependencies `a`, `b` and `c`, each with
/// five servers at ports starting from 1, 11 and 21. `b` is the fallback of `c`.
pub fn settings(calls: &str) -> Dependencies {
    let servers = |first_port: u16| {
        let addresses: Vec<String> = (first_port..first_port + 5)
            .map(|port| format!("{{address: '127.0.0.1:{port}'}}"))
            .collect();
        addresses.join(", ")
    };
    let text = format!(
        "{{dependencies: {{a: {{servers: [{}]}}, b: {{servers: [{}]}}, c: {{servers: [{}], \
         instead: 'b'}}}}, operations: {{page: {{calls: [{calls}]}}}}}}",
        servers(1),
        servers(11),
        servers(21)
    );
    let settings: Dependencies = json5::from_str(&text).expect("decodable settings");
    settings.check().expect("valid settings");
    settings
}

/// Duration and outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ServerReply {
    pub duration_seconds: f64,
    pub outcome: AttemptOutcome,
}

impl ServerReply {
    pub fn success(duration_seconds: f64) -> ServerReply {
        ServerReply {
            duration_seconds,
            outcome: AttemptOutcome::Succeeded,
        }
    }
}

/// The reply of a server to an attempt that is sent now; `None` if it never replies.
pub type Behaviour = fn(now: f64, server: &str) -> Option<ServerReply>;

/// Succeeds. Durations differ between servers, so that some are the slowest tenth.
pub fn succeeds(_: f64, server: &str) -> Option<ServerReply> {
    Some(ServerReply::success(0.004 + 0.0001 * server.len() as f64))
}

/// Succeeds, 20 times more slowly after the fifth second.
pub fn becomes_slow(now: f64, server: &str) -> Option<ServerReply> {
    let slowdown = if now > 5.0 { 20.0 } else { 1.0 };
    succeeds(now, server).map(|reply| ServerReply::success(slowdown * reply.duration_seconds))
}

struct PendingReply {
    arrives_at: f64,
    attempt_id: u64,
    outcome: AttemptOutcome,
}

/// The number of calls, and of those with a complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    pub complete: usize,
    pub calls: usize,
}

impl Completion {
    /// Whether at least this percentage of the calls got a complete reply.
    pub fn is_at_least(&self, percent: usize) -> bool {
        self.complete * 100 >= self.calls * percent
    }
}

pub struct Simulation {
    pub now: f64,
    pub router: Router,
    random: Random,
    pub behaviour: Behaviour,
    pending_replies: Vec<PendingReply>,
    pub ends: BTreeMap<u64, CallEnd>,
    pub attempts_by_server: BTreeMap<String, u32>,
}

impl Simulation {
    pub fn new(calls: &str, behaviour: Behaviour) -> Simulation {
        Simulation {
            now: 0.0,
            router: Router::new(0.0, settings(calls), "n1"),
            random: Random::new(7),
            behaviour,
            pending_replies: Vec::new(),
            ends: BTreeMap::new(),
            attempts_by_server: BTreeMap::new(),
        }
    }

    /// Starts the operation's first call, with one second remaining.
    pub fn start_call(&mut self) -> u64 {
        self.start_call_at(0, Some(1.0))
    }

    /// Starts the idempotent call with this index.
    pub fn start_call_at(&mut self, call_index: usize, remaining_seconds: Option<f64>) -> u64 {
        let request = CallRequest {
            operation: "page",
            call_index,
            named_dependency: None,
            max_wait_seconds: 1.0,
            remaining_seconds,
            effect: Effect::Idempotent,
            payload: b"q",
        };
        let random = &mut self.random;
        let call_id = self
            .router
            .start_call(self.now, &request, &mut || random.next());
        self.run_actions();
        call_id
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.router.poll_action() {
            match action {
                Action::Attempt {
                    attempt_id, server, ..
                } => self.send_attempt(attempt_id, server),
                Action::Cancel { attempt_id } => self
                    .pending_replies
                    .retain(|reply| reply.attempt_id != attempt_id),
                Action::Complete { call_id, end } => {
                    let previous = self.ends.insert(call_id, end);
                    assert!(previous.is_none(), "{call_id} ended twice");
                }
            }
        }
    }

    fn send_attempt(&mut self, attempt_id: u64, server: String) {
        if let Some(reply) = (self.behaviour)(self.now, &server) {
            self.pending_replies.push(PendingReply {
                arrives_at: self.now + reply.duration_seconds,
                attempt_id,
                outcome: reply.outcome,
            });
        }
        *self.attempts_by_server.entry(server).or_default() += 1;
    }

    pub fn run_until(&mut self, end: f64) {
        loop {
            let next_reply = self
                .pending_replies
                .iter()
                .map(|reply| reply.arrives_at)
                .fold(f64::INFINITY, f64::min);
            let next_timeout = self.router.next_timeout().unwrap_or(f64::INFINITY);
            let next = next_reply.min(next_timeout);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next.max(self.now);
            if next_reply <= next_timeout {
                self.deliver_reply(next_reply);
            } else {
                let random = &mut self.random;
                self.router.handle_timeout(self.now, &mut || random.next());
            }
            self.run_actions();
        }
    }

    pub fn run_for(&mut self, seconds: f64) {
        self.run_until(self.now + seconds);
    }

    fn deliver_reply(&mut self, arrives_at: f64) {
        let index = self
            .pending_replies
            .iter()
            .position(|reply| reply.arrives_at == arrives_at)
            .expect("a pending reply");
        let reply = self.pending_replies.swap_remove(index);
        let random = &mut self.random;
        self.router.attempt_ended(
            self.now,
            reply.attempt_id,
            reply.outcome,
            b"good",
            &mut || random.next(),
        );
    }

    /// Starts calls at this rate until `end`, and waits until all have ended.
    pub fn run_load(&mut self, calls_per_second: f64, end: f64) -> Completion {
        let mut calls = BTreeSet::new();
        while self.now < end {
            calls.insert(self.start_call());
            self.run_for(1.0 / calls_per_second);
        }
        self.run_until(end + 2.0);
        let complete = calls
            .iter()
            .filter(|call_id| self.ends.get(call_id) == Some(&CallEnd::Reply { missing: None }))
            .count();
        Completion {
            complete,
            calls: calls.len(),
        }
    }

    pub fn attempts(&self) -> u32 {
        self.attempts_by_server.values().sum()
    }
}
