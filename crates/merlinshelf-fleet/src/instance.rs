//! One instance: what is seen of it, and the state that this puts it into.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::crash_backoff::CrashBackoff;

/// Which process it is: never by its number alone, which another one may have by now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub pid: u32,
    /// When the kernel says that it was started, in its own ticks.
    pub started: u64,
}

/// What an instance says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub identity: Identity,
    /// From whom it took over, where it did.
    pub predecessor: Option<u32>,
    /// Its own word for how it stands.
    pub state: String,
    /// None before its engine was ever up.
    pub healthy: Option<bool>,
    pub in_hand: u64,
    /// Sums since its service began, upgrades included.
    pub invocations: u64,
    pub succeeded: u64,
    /// How long its runs take lately, ms.
    pub run_ms: Option<f64>,
    pub memory_kb: u64,
    /// The file that its process runs, where that can be told.
    pub program: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// No process.
    Absent,
    /// A process, and no answer yet.
    Starting,
    /// It answers, and is not in good health for long enough.
    Warming,
    Serving,
    /// A successor takes over.
    Upgrading,
    /// Told to leave; it answers what it has.
    Draining,
    /// Told to leave and to be gone by a moment.
    Stopping,
    /// It ended by itself, and is started again after a pause.
    Failed,
    /// Found by a new agent, and not heard of yet.
    Adopted,
    /// It hangs, or another process answers in its place: it was told to leave by signal, as far as it is known.
    Lost,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Absent => "absent",
            State::Starting => "starting",
            State::Warming => "warming",
            State::Serving => "serving",
            State::Upgrading => "upgrading",
            State::Draining => "draining",
            State::Stopping => "stopping",
            State::Failed => "failed",
            State::Adopted => "adopted",
            State::Lost => "lost",
        }
    }

    /// Whether there is a process.
    pub fn is_up(self) -> bool {
        !matches!(self, State::Absent | State::Failed)
    }

    /// Whether it counts as capacity: one that is being upgraded serves all along.
    pub fn serves(self) -> bool {
        matches!(self, State::Serving | State::Upgrading)
    }

    pub fn leaves(self) -> bool {
        matches!(self, State::Draining | State::Stopping)
    }
}

/// Looks at its sums that are kept: a minute at four a second.
const LOOKS: usize = 240;

#[derive(Clone, Debug)]
pub struct Instance {
    pub name: String,
    pub group: String,
    pub number: u32,
    pub state: State,
    /// Since when it is in this state.
    pub since: f64,
    pub identity: Option<Identity>,
    /// The program that it runs, and the one that its next start is to run.
    pub program: String,
    /// The operators want it down.
    pub down: bool,
    /// It was told to leave: never twice, which might shorten its time.
    pub told: bool,
    /// When what was told to leave is killed, and whether it was.
    pub kill_at: Option<f64>,
    pub killed: bool,
    /// This agent has asked for an upgrade that has not ended yet.
    pub asked_upgrade: bool,
    pub report: Option<Report>,
    /// When it last answered.
    pub heard: f64,
    /// Since when its health is good without a break.
    pub healthy_since: Option<f64>,
    /// When its process was started, or adopted.
    pub up_since: f64,
    pub crashes: CrashBackoff,
    looks: VecDeque<(f64, u64, u64)>,
}

impl Instance {
    pub fn new(name: String, group: String, number: u32, program: String) -> Instance {
        Instance {
            name,
            group,
            number,
            state: State::Absent,
            since: 0.0,
            identity: None,
            program,
            down: false,
            told: false,
            kill_at: None,
            killed: false,
            asked_upgrade: false,
            report: None,
            heard: 0.0,
            healthy_since: None,
            up_since: 0.0,
            crashes: CrashBackoff::default(),
            looks: VecDeque::new(),
        }
    }

    pub fn turn(&mut self, now: f64, state: State) {
        if self.state != state {
            (self.state, self.since) = (state, now);
        }
    }

    /// A process of it begins, or is found.
    pub fn begin(&mut self, now: f64, identity: Identity, state: State) {
        self.identity = Some(identity);
        (self.up_since, self.heard, self.told, self.kill_at) = (now, now, false, None);
        (
            self.report,
            self.healthy_since,
            self.killed,
            self.asked_upgrade,
        ) = (None, None, false, false);
        self.looks.clear();
        self.turn(now, state);
    }

    /// Its process is gone.
    pub fn gone(&mut self, now: f64, state: State) {
        self.identity = None;
        (self.told, self.kill_at, self.healthy_since) = (false, None, None);
        (self.killed, self.asked_upgrade) = (false, false);
        self.looks.clear();
        self.turn(now, state);
    }

    /// What it said of itself counts from here on.
    pub fn hear(&mut self, now: f64, report: Report) {
        self.heard = now;
        if report.healthy == Some(true) {
            self.healthy_since.get_or_insert(now);
        } else {
            self.healthy_since = None;
        }
        // Sums that went back are another process's.
        if self
            .looks
            .back()
            .is_some_and(|(_, invocations, _)| report.invocations < *invocations)
        {
            self.looks.clear();
        }
        if self.looks.len() == LOOKS {
            self.looks.pop_front();
        }
        self.looks
            .push_back((now, report.invocations, report.succeeded));
        self.identity = Some(report.identity.clone());
        self.report = Some(report);
    }

    pub fn is_warm(&self, now: f64, warm: f64) -> bool {
        self.healthy_since.is_some_and(|since| now >= since + warm)
    }

    /// Whether it runs the program that it is to run, as far as that can be told.
    pub fn runs_its_program(&self) -> bool {
        self.report
            .as_ref()
            .and_then(|report| report.program.as_ref())
            .is_none_or(|runs| *runs == self.program)
    }

    /// What it was sent and what it served, between two moments.
    pub fn served(&self, from: f64, until: f64) -> (u64, u64) {
        let within = || {
            self.looks
                .iter()
                .filter(|(at, ..)| (from..=until).contains(at))
        };
        match (within().next(), within().next_back()) {
            (Some((_, sent, served)), Some((_, sent_then, served_then))) => {
                (sent_then - sent, served_then - served)
            }
            _ => (0, 0),
        }
    }

    /// Served a second, over the last `span` seconds.
    pub fn rate(&self, now: f64, span: f64) -> f64 {
        let first = self.looks.iter().find(|(at, ..)| *at >= now - span);
        match (first, self.looks.back()) {
            (Some((from, _, served)), Some((until, _, then))) if until > from => {
                (then - served) as f64 / (until - from)
            }
            _ => 0.0,
        }
    }
}
