//! Simulates a host and its instances in virtual time, with processes that crash, hang and are shut
//! down by others.

use std::collections::BTreeMap;

use merlinshelf_fleet::fleet_spec::{Change, Restarts};
use merlinshelf_fleet::history::Event;
use merlinshelf_fleet::{
    Action, Command, Fleet, FleetSpec, Group, Host, Identity, PlanState, Record, Report, Selector,
};

/// Virtual time between two ticks, in seconds.
const TICK_SECONDS: f64 = 0.05;
const HEALTH_CHECK_SECONDS: f64 = 0.25;
const HANDOVER_SECONDS: f64 = 0.5;
/// Time for a process to become healthy, in seconds.
const STARTUP_SECONDS: f64 = 0.3;
const INVOCATIONS_PER_TICK: f64 = 5.0;
const SHUTDOWN_TIMEOUT_SECONDS: f64 = 3.0;
const UNIX_SECONDS: f64 = 1e9;
const BACKOFF_JITTER: f64 = 0.5;

/// A handover in progress.
#[derive(Clone, Debug)]
pub struct Handover {
    ends_at: f64,
    program: String,
}

/// One simulated process.
#[derive(Clone, Debug)]
pub struct Process {
    pub pid: u32,
    predecessor: Option<u32>,
    pub program: String,
    started_at: f64,
    /// Time at which it exits, if it is to exit.
    pub exit_at: Option<f64>,
    /// Number of shutdown requests received.
    pub shutdown_requests: u32,
    pub is_hanging: bool,
    invocations: f64,
    succeeded: f64,
    handover: Option<Handover>,
    reported_at: f64,
}

impl Process {
    pub fn identity(&self) -> Identity {
        Identity {
            pid: self.pid,
            start_ticks: 1,
        }
    }

    fn is_identified_by(&self, known: &Identity) -> bool {
        known.pid == self.pid || self.predecessor == Some(known.pid)
    }
}

/// Host and instances in virtual time.
pub struct Simulation {
    pub now: f64,
    pub fleet: Fleet,
    /// By instance.
    pub processes: BTreeMap<String, Process>,
    last_pid: u32,
    /// Fraction of invocations that succeed, by program. Programs without an entry never become
    /// healthy.
    pub success_ratios: BTreeMap<String, f64>,
    /// Uptime after which a process crashes, in seconds, by program.
    pub crash_after: BTreeMap<String, f64>,
    pub drain_seconds: f64,
    pub upgrades_fail: bool,
    /// All actions, as text.
    pub trace: Vec<String>,
    pub max_shutdown_requests: u32,
    /// Whether the agent is stopped or suspended.
    pub is_agent_down: bool,
}

pub fn group(count: u32, port: u16) -> Group {
    Group {
        count,
        program: "/v1".into(),
        config: "/config.json".into(),
        is_gossiping: false,
        listen: format!("127.0.0.1:{port}"),
        engine: None,
        weight: 1.0,
        labels: BTreeMap::from([("tier".to_owned(), "front".to_owned())]),
        cores: 0.1,
        memory_mb: 64,
        descriptors: 384,
    }
}

pub fn spec(count: u32) -> FleetSpec {
    FleetSpec {
        folder: "/run/fleet".into(),
        host: Host::default(),
        change: Change {
            out_at_once: 2,
            floor: 0.75,
            warm_ms: 1000,
            warm_within_ms: 10_000,
            looked_ms: 2000,
            worse: 0.02,
        },
        restarts: Restarts::default(),
        council: None,
        groups: BTreeMap::from([("web".to_owned(), group(count, 7000))]),
    }
}

/// Selects all instances.
pub fn all() -> Selector {
    Selector::default()
}

pub fn upgrade() -> Command {
    Command::Upgrade {
        program: "/v2".into(),
    }
}

/// Creates a fleet and runs it until all its instances serve.
pub fn serving_fleet(count: u32) -> Simulation {
    let mut simulation = Simulation::new(spec(count));
    simulation.run_until(60.0, |simulation| {
        simulation.serving_count() == count as usize
    });
    simulation
}

impl Simulation {
    pub fn new(spec: FleetSpec) -> Simulation {
        Simulation {
            now: 0.0,
            fleet: Fleet::new(
                0.0,
                UNIX_SECONDS,
                spec,
                Record::default(),
                SHUTDOWN_TIMEOUT_SECONDS,
            ),
            processes: BTreeMap::new(),
            last_pid: 100,
            success_ratios: BTreeMap::from([("/v1".to_owned(), 0.99), ("/v2".to_owned(), 0.99)]),
            crash_after: BTreeMap::new(),
            drain_seconds: 1.0,
            upgrades_fail: false,
            trace: Vec::new(),
            max_shutdown_requests: 0,
            is_agent_down: false,
        }
    }

    fn start_process(&mut self, program: &str, predecessor: Option<u32>) -> Process {
        self.last_pid += 1;
        let crash_after = self.crash_after.get(program);
        Process {
            pid: self.last_pid,
            predecessor,
            program: program.into(),
            started_at: self.now,
            exit_at: crash_after.map(|seconds| self.now + seconds),
            shutdown_requests: 0,
            is_hanging: false,
            invocations: 0.0,
            succeeded: 0.0,
            handover: None,
            reported_at: self.now,
        }
    }

    /// Carries out the fleet's actions.
    pub fn carry_out_actions(&mut self) {
        while let Some(action) = self.fleet.poll_action() {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        self.trace.push(format!("{:.1} {action:?}", self.now));
        let now = self.now;
        match action {
            Action::Start { name, program } => {
                let process = self.start_process(&program, None);
                let identity = process.identity();
                self.processes.insert(name.clone(), process);
                self.fleet.process_started(now, &name, identity);
            }
            Action::Drain { name } | Action::Terminate { name } => self.request_shutdown(&name),
            Action::Kill { name } => {
                if let Some(process) = self.processes.get_mut(&name) {
                    process.exit_at = Some(now);
                }
            }
            Action::Upgrade { name, program } => {
                if let Some(process) = self.processes.get_mut(&name) {
                    let ends_at = now + HANDOVER_SECONDS;
                    process.handover = Some(Handover { ends_at, program });
                }
            }
        }
    }

    fn request_shutdown(&mut self, name: &str) {
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        process.shutdown_requests += 1;
        self.max_shutdown_requests = self.max_shutdown_requests.max(process.shutdown_requests);
        if !process.is_hanging {
            let exit_at = process.exit_at.unwrap_or(f64::MAX);
            process.exit_at = Some(exit_at.min(self.now + self.drain_seconds));
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK_SECONDS;
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            self.advance_process(&name);
        }
        if !self.is_agent_down {
            self.fleet.advance(self.now);
            self.carry_out_actions();
        }
    }

    fn advance_process(&mut self, name: &str) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        if process.exit_at.is_some_and(|exit_at| now >= exit_at) {
            return self.exit_process(name);
        }
        if process.is_hanging {
            return;
        }
        let success_ratio = self.success_ratios.get(&process.program);
        process.invocations += INVOCATIONS_PER_TICK;
        process.succeeded += INVOCATIONS_PER_TICK * success_ratio.copied().unwrap_or(0.0);
        let ended_handover = process.handover.take_if(|handover| now >= handover.ends_at);
        if let Some(handover) = ended_handover {
            return self.end_handover(name, &handover.program);
        }
        if now >= process.reported_at + HEALTH_CHECK_SECONDS {
            process.reported_at = now;
            self.report(name);
        }
    }

    fn exit_process(&mut self, name: &str) {
        let Some(process) = self.processes.remove(name) else {
            return;
        };
        let status = (process.shutdown_requests > 0).then_some(0);
        if !self.is_agent_down {
            self.fleet
                .process_exited(self.now, name, status, BACKOFF_JITTER);
        }
    }

    fn end_handover(&mut self, name: &str, program: &str) {
        if self.upgrades_fail {
            if !self.is_agent_down {
                self.fleet.upgrade_failed(self.now, name, "taken back");
            }
            return;
        }
        let Some(predecessor) = self.processes.get(name).cloned() else {
            return;
        };
        let successor = Process {
            invocations: predecessor.invocations,
            succeeded: predecessor.succeeded,
            ..self.start_process(program, Some(predecessor.pid))
        };
        self.processes.insert(name.to_owned(), successor);
        self.report(name);
        if !self.is_agent_down {
            self.fleet.upgrade_succeeded(self.now, name);
        }
    }

    fn report(&mut self, name: &str) {
        let process = self.processes.get(name);
        let Some(process) = process.filter(|_| !self.is_agent_down) else {
            return;
        };
        let is_shutting_down = process.shutdown_requests > 0;
        let is_healthy = !is_shutting_down
            && self.now >= process.started_at + STARTUP_SECONDS
            && self.success_ratios.contains_key(&process.program);
        let state = if is_shutting_down {
            "leaving"
        } else {
            "serving"
        };
        let report = Report {
            identity: process.identity(),
            predecessor: process.predecessor,
            state: state.into(),
            healthy: Some(is_healthy),
            in_flight: 3,
            invocations: process.invocations as u64,
            succeeded: process.succeeded as u64,
            run_ms: Some(f64::from(process.pid)),
            memory_kb: 5000,
            program: Some(process.program.clone()),
        };
        self.fleet.report_received(self.now, name, report);
    }

    pub fn run_for(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a condition holds; returns the elapsed time in seconds.
    pub fn run_until(
        &mut self,
        timeout_seconds: f64,
        condition: impl Fn(&Simulation) -> bool,
    ) -> f64 {
        let started_at = self.now;
        while !condition(self) {
            assert!(
                self.now < started_at + timeout_seconds,
                "the condition was not reached in time: {:?}\n{}",
                self.fleet.plan(),
                self.events()
            );
            self.tick();
        }
        self.now - started_at
    }

    /// Begins the plan of a command for all instances.
    pub fn begin_plan(&mut self, command: &Command) {
        self.fleet
            .begin_plan(self.now, &all(), command)
            .expect("it begins");
    }

    pub fn serving_count(&self) -> usize {
        self.fleet
            .instances()
            .filter(|instance| instance.state.is_serving())
            .count()
    }

    pub fn plan_state(&self) -> &PlanState {
        &self.fleet.plan().expect("a plan").state
    }

    pub fn is_plan_over(&self) -> bool {
        self.plan_state().is_over()
    }

    pub fn programs(&self) -> Vec<&str> {
        self.processes
            .values()
            .map(|process| process.program.as_str())
            .collect()
    }

    /// Number of processes that run a program.
    pub fn program_count(&self, program: &str) -> usize {
        let programs = self.programs();
        programs.iter().filter(|other| **other == program).count()
    }

    /// The history, with one event per line.
    pub fn events(&self) -> String {
        let line = |event: &Event| {
            let instance = event.instance.as_deref().unwrap_or("-");
            format!("{instance} {}", event.text)
        };
        let lines: Vec<String> = self.fleet.history().events().map(line).collect();
        lines.join("\n")
    }

    /// The agent exits, and after some time another one starts from its record and finds the
    /// processes that still exist.
    pub fn restart_agent(&mut self, downtime_seconds: f64) {
        let record = self.fleet.take_record().expect("something has changed");
        self.is_agent_down = true;
        self.run_for(downtime_seconds);
        self.is_agent_down = false;
        let mut fleet = Fleet::new(
            self.now,
            UNIX_SECONDS,
            self.fleet.spec().clone(),
            record.clone(),
            SHUTDOWN_TIMEOUT_SECONDS,
        );
        for (name, instance) in record.instances {
            // The recorded process, or the successor that answers on its socket.
            let process = self.processes.get(&name).filter(|process| {
                let known = instance.identity.as_ref();
                known.is_some_and(|known| process.is_identified_by(known))
            });
            if let Some(process) = process {
                fleet.process_found(self.now, &name, process.identity());
            }
        }
        self.fleet = fleet;
    }

    /// Another agent starts at once and finds all processes; returns whether there was a record to
    /// start from.
    pub fn replace_agent(&mut self) -> bool {
        let Some(record) = self.fleet.take_record() else {
            return false;
        };
        let spec = self.fleet.spec().clone();
        self.fleet = Fleet::new(
            self.now,
            UNIX_SECONDS,
            spec,
            record,
            SHUTDOWN_TIMEOUT_SECONDS,
        );
        for (name, process) in &self.processes {
            self.fleet.process_found(self.now, name, process.identity());
        }
        true
    }
}
