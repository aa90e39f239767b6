//! The event loop: handles one event, then does all work that is due.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use merlinshelf_backend::control::{self, PendingRequest};
use merlinshelf_backend::logger;
use merlinshelf_backend::operator::Format;
use merlinshelf_fleet::{Fleet, FleetError, FleetSpec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::runtime::Builder;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::recovery::SearchReason;
use super::{Agent, AgentEvent, fleet_report, unix_seconds};
use crate::fleet_file::{self, FleetFileError};
use crate::instance_files;
use crate::policy::{PolicyAgent, PolicyEvent};
use crate::process;
use crate::store::FleetStore;

/// Maximum time between two iterations of the loop.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two rounds of health checks.
const MIN_HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time per instance in one round of health checks, which lengthens the rounds of many instances.
const HEALTH_CHECK_TIME_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Time between two checks of the sizes of the instances' logs.
const LOG_ROTATION_INTERVAL: Duration = Duration::from_secs(5);

/// Why the agent can't serve.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The fleet file can't be used.
    #[error(transparent)]
    FleetFile(#[from] FleetFileError),
    /// Another agent has locked the folder, or a socket, the folder or the runtime can't be opened.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why a reloaded fleet file is not applied.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApplyError {
    #[error(transparent)]
    FleetFile(#[from] FleetFileError),
    #[error("another folder is for another agent")]
    FolderChanged,
    #[error(transparent)]
    Rejected(#[from] FleetError),
}

/// Serves until SIGTERM or SIGINT; the instances keep running.
///
/// # Errors
/// [`AgentError`]: the file can't be used, another agent has locked the folder, or a socket can't
/// be opened.
pub fn serve(file: &Path) -> Result<(), AgentError> {
    let spec = fleet_file::load(file)?;
    logger::start(None, Format::Text);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, run(file.to_path_buf(), spec));
    logger::finish();
    Ok(result?)
}

/// The signals that the agent handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// The times at which periodic work was last done.
struct Schedule {
    health_checks_at: Instant,
    log_rotation_at: Instant,
}

async fn run(file: PathBuf, spec: FleetSpec) -> io::Result<()> {
    let (request_sender, mut requests) = unbounded_channel::<PendingRequest>();
    let socket = fleet_file::agent_socket(&spec);
    let (store, record) = FleetStore::open(&spec.folder).map_err(|error| {
        io::Error::new(error.kind(), format!("{}: {error}", spec.folder.display()))
    })?;
    process::adopt_orphans();
    // This agent has locked the folder, so no other agent listens on the socket.
    let _control = control::open(&socket, request_sender)?;
    let mut agent = Agent::open(file, spec, store, record).await?;
    let instance_count = agent.fleet.instances().count();
    let file = agent.file.display();
    info!(instances = instance_count; "supervising {instance_count} instances of {file}");
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut signals = Signals::install()?;
    let mut schedule = Schedule {
        health_checks_at: Instant::now(),
        log_rotation_at: Instant::now(),
    };
    loop {
        select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => agent.reload(),
            Some(event) = agent.events.recv() => agent.handle_event(event),
            Some(request) = requests.recv() => agent.handle_request(request),
            event = next_policy_event(&mut agent.policy) => agent.handle_policy_event(event),
            _ = ticks.tick() => {}
        }
        agent.advance();
        agent.run_scheduled(&mut schedule);
    }
    info!("agent stopping; the instances keep running");
    Ok(())
}

async fn next_policy_event(policy: &mut Option<PolicyAgent>) -> PolicyEvent {
    match policy {
        Some(policy) => policy.next_event().await,
        None => std::future::pending().await,
    }
}

impl Agent {
    /// Starts the agent's policy state machines and adopts the instances of an earlier agent.
    async fn open(
        file: PathBuf,
        spec: FleetSpec,
        store: FleetStore,
        record: merlinshelf_fleet::Record,
    ) -> io::Result<Agent> {
        let shutdown_timeout_seconds = fleet_file::shutdown_timeout_seconds(&spec);
        let process_id = u64::from(std::process::id());
        let incarnation = unix_seconds().to_bits() ^ process_id << 40;
        let policy = match &spec.council {
            Some(config) => Some(PolicyAgent::open(config, &spec.folder, incarnation).await?),
            None => None,
        };
        let known_instances = record.instances.clone();
        let started_at = Instant::now();
        let (event_sender, events) = unbounded_channel();
        let mut agent = Agent {
            file,
            fleet: Fleet::new(0.0, unix_seconds(), spec, record, shutdown_timeout_seconds),
            store,
            started_at,
            rng: Pcg64Mcg::seed_from_u64(unix_seconds().to_bits() ^ process_id),
            processes: std::collections::BTreeMap::new(),
            checks_in_flight: Rc::default(),
            health_check_rounds: 0,
            event_sender,
            events,
            plan_followers: Vec::new(),
            status_watchers: Vec::new(),
            policy,
        };
        for (name, instance) in known_instances {
            if let Some(identity) = instance.identity {
                agent.adopt(&name, identity).await;
            }
        }
        Ok(agent)
    }

    /// Reloads the fleet file after SIGHUP.
    fn reload(&mut self) {
        match self.apply_file() {
            Ok(()) => info!("fleet file applied"),
            Err(error) => warn!(error:% = error; "fleet file not applied: {error}"),
        }
    }

    pub(super) fn apply_file(&mut self) -> Result<(), ApplyError> {
        let spec = fleet_file::load(&self.file)?;
        if spec.folder != self.fleet.spec().folder {
            return Err(ApplyError::FolderChanged);
        }
        let now = self.now();
        let shutdown_timeout_seconds = fleet_file::shutdown_timeout_seconds(&spec);
        self.fleet.apply(now, spec)?;
        self.fleet
            .extend_default_shutdown_timeout(shutdown_timeout_seconds);
        Ok(())
    }

    fn handle_policy_event(&mut self, event: PolicyEvent) {
        let now = self.now();
        if let Some(policy) = &mut self.policy {
            policy.handle_event(now, event);
        }
    }

    fn handle_event(&mut self, event: AgentEvent) {
        let now = self.now();
        match event {
            AgentEvent::ProcessExited {
                name,
                identity,
                status,
            } => self.process_exited(name, identity, status),
            AgentEvent::ProcessFound { name, identity } => {
                if self.supervise(&name, &identity) {
                    self.fleet.process_found(now, &name, identity);
                }
            }
            AgentEvent::ProcessNotFound { name, reason } => self.process_not_found(&name, &reason),
            AgentEvent::HealthChecked { name, report } => self.health_checked(&name, *report),
            AgentEvent::UpgradeFinished { name, result } => self.upgrade_finished(&name, result),
        }
    }

    fn process_not_found(&mut self, name: &str, reason: &SearchReason) {
        let now = self.now();
        let backoff_jitter = self.rng.random();
        match reason {
            SearchReason::ProcessExited { status, .. } => {
                self.fleet
                    .process_exited(now, name, *status, backoff_jitter);
            }
            SearchReason::SocketTaken => {
                let reason = "another process listens on its control socket";
                self.fleet.start_failed(now, name, reason, backoff_jitter);
            }
        }
    }

    /// Does all work that is due.
    fn advance(&mut self) {
        self.fleet.set_wall_clock(unix_seconds());
        let now = self.now();
        self.fleet.advance(now);
        while let Some(action) = self.fleet.poll_action() {
            self.carry_out(action);
        }
        if let Some(record) = self.fleet.take_record() {
            self.store.save(record);
        }
        self.advance_policy();
        self.send_progress();
    }

    fn advance_policy(&mut self) {
        let now = self.now();
        // Taken out of the agent for the call, since its arguments borrow from the agent.
        let Some(mut policy) = self.policy.take() else {
            return;
        };
        // Includes an instance whose process has exited while its successor is searched for, since
        // the successor may hold a lease.
        let instances = self
            .fleet
            .instances()
            .filter(|instance| instance.identity.is_some())
            .map(|instance| {
                let control = self.paths(&instance.name).control;
                (instance.name.clone(), control)
            })
            .collect();
        let host_status = || {
            self.fleet
                .instances()
                .map(|instance| fleet_report::instance_report(now, instance))
                .collect()
        };
        policy.advance(now, unix_seconds(), &instances, host_status);
        self.policy = Some(policy);
    }

    fn run_scheduled(&mut self, schedule: &mut Schedule) {
        let process_count = self.processes.len() as u32;
        let health_check_interval =
            MIN_HEALTH_CHECK_INTERVAL.max(HEALTH_CHECK_TIME_PER_INSTANCE * process_count);
        if schedule.health_checks_at.elapsed() >= health_check_interval {
            schedule.health_checks_at = Instant::now();
            self.start_health_checks();
        }
        if schedule.log_rotation_at.elapsed() >= LOG_ROTATION_INTERVAL {
            schedule.log_rotation_at = Instant::now();
            for instance in self.fleet.instances() {
                instance_files::rotate_log(&self.paths(&instance.name).log);
            }
        }
    }
}
