//! Starts, upgrades and stops the processes of instances.

use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use merlinshelf_backend::control;
use merlinshelf_fleet::{Action, Identity, State};
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use rand::RngExt;
use rustix::process::Signal;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::health_checks::STATUS_TIMEOUT;
use super::recovery::SearchReason;
use super::{Agent, AgentEvent, SupervisedProcess};
use crate::control_client::ControlClient;
use crate::fleet_file;
use crate::instance_files::{self, InstancePaths};
use crate::process::{self, Process};

/// Maximum duration of the upgrade of one instance.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(600);
/// Time for a successor to open the control socket after the connection to its predecessor closed.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(300);

/// Why an upgrade has failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum UpgradeError {
    #[error("{0}")]
    LinkProgram(io::Error),
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The instance reported a failure.
    #[error("{reason}")]
    Failed { reason: String },
}

impl Agent {
    /// Carries out an action that the fleet's state machine decided on.
    pub(super) fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { name, program } => self.start_instance(name, &program),
            Action::Drain { name } => self.drain_instance(&name),
            // A stopped process handles SIGTERM only after SIGCONT.
            Action::Terminate { name } => self.signal(&name, &[Signal::CONT, Signal::TERM]),
            Action::Kill { name } => self.signal(&name, &[Signal::KILL]),
            Action::Upgrade { name, program } => self.upgrade_instance(name, &program),
        }
    }

    fn start_instance(&mut self, name: String, program: &str) {
        let Some(instance) = self.fleet.get(&name) else {
            return;
        };
        // Its configuration may have changed without a new fleet file.
        let shutdown_timeout_seconds = fleet_file::shutdown_timeout_seconds(self.fleet.spec());
        let started = match instance_files::write_instance_files(self.fleet.spec(), instance) {
            Ok(paths) if control::is_taken(&paths.control) => {
                return self.search_process(name, SearchReason::SocketTaken);
            }
            Ok(paths) => process::start(Path::new(program), &paths),
            Err(error) => Err(error),
        };
        let now = self.now();
        self.fleet
            .extend_default_shutdown_timeout(shutdown_timeout_seconds);
        let supervised = started.and_then(|identity| {
            self.fleet.process_started(now, &name, identity.clone());
            self.read_shutdown_timeout(&name);
            if self.supervise(&name, &identity) {
                Ok(())
            } else {
                Err(io::Error::other("it ended at once"))
            }
        });
        if let Err(error) = supervised {
            let backoff_jitter = self.rng.random();
            self.fleet
                .start_failed(now, &name, &error.to_string(), backoff_jitter);
        }
    }

    /// Reads the time for a graceful shutdown from the configuration that the instance's process was
    /// started with.
    pub(super) fn read_shutdown_timeout(&mut self, name: &str) {
        if let Some(milliseconds) = fleet_file::stop_milliseconds(&self.paths(name).config) {
            self.fleet.set_shutdown_timeout(name, milliseconds / 1e3);
        }
    }

    /// Starts supervising a process; returns false if it has exited.
    pub(super) fn supervise(&mut self, name: &str, identity: &Identity) -> bool {
        let supervised = self.processes.get(name);
        if supervised.is_some_and(|supervised| supervised.identity == *identity) {
            return true;
        }
        let Ok(process) = Process::open(identity) else {
            return false;
        };
        let process = Rc::new(process);
        let supervised = SupervisedProcess {
            identity: identity.clone(),
            process: process.clone(),
        };
        self.processes.insert(name.to_owned(), supervised);
        let events = self.event_sender.clone();
        let name = name.to_owned();
        let identity = identity.clone();
        spawn_local(async move {
            let status = process.wait().await;
            let _ = events.send(AgentEvent::ProcessExited {
                name,
                identity,
                status,
            });
        });
        true
    }

    pub(super) fn process_exited(&mut self, name: String, identity: Identity, status: Option<i32>) {
        // A predecessor exits after its handover; only the currently supervised process matters.
        let is_current = self
            .processes
            .get(&name)
            .is_some_and(|supervised| supervised.identity == identity);
        if !is_current {
            return;
        }
        self.processes.remove(&name);
        // An instance that is shutting down has no successor.
        let instance = self
            .fleet
            .get(&name)
            .filter(|instance| !instance.is_shutdown_requested);
        if let Some(instance) = instance {
            let is_upgrading = instance.state == State::Upgrading;
            let reason = SearchReason::ProcessExited {
                identity,
                status,
                is_upgrading,
            };
            return self.search_process(name, reason);
        }
        let now = self.now();
        let backoff_jitter = self.rng.random();
        self.fleet
            .process_exited(now, &name, status, backoff_jitter);
    }

    /// Requests a graceful shutdown, by signal if the control socket does not answer.
    fn drain_instance(&self, name: &str) {
        let Some(supervised) = self.processes.get(name) else {
            return;
        };
        let control = self.paths(name).control;
        let process = supervised.process.clone();
        spawn_local(async move {
            let request =
                ControlClient::request_once(&control, ControlRequest::Drain, STATUS_TIMEOUT);
            if !matches!(request.await, Ok((ControlMessage::Done, _))) {
                process.signal(Signal::TERM);
            }
        });
    }

    fn signal(&self, name: &str, signals: &[Signal]) {
        if let Some(supervised) = self.processes.get(name) {
            for signal in signals {
                supervised.process.signal(*signal);
            }
        }
    }

    fn upgrade_instance(&self, name: String, program: &str) {
        let events = self.event_sender.clone();
        let paths = self.paths(&name);
        let linked = instance_files::link_program(&paths, program);
        spawn_local(async move {
            let result = match linked {
                Ok(()) => request_upgrade(&paths).await,
                Err(error) => Err(UpgradeError::LinkProgram(error)),
            };
            let _ = events.send(AgentEvent::UpgradeFinished { name, result });
        });
    }

    pub(super) fn upgrade_finished(&mut self, name: &str, result: Result<(), UpgradeError>) {
        let now = self.now();
        let Err(error) = result else {
            return self.fleet.upgrade_succeeded(now, name);
        };
        self.fleet.upgrade_failed(now, name, &error.to_string());
        // The link must point to the former program again, for the instance's next process.
        if let Some(instance) = self.fleet.get(name)
            && let Err(error) = instance_files::link_program(&self.paths(name), &instance.program)
        {
            warn!(error:% = error, instance:% = name; "program of {name} not linked: {error}");
        }
    }
}

/// Requests a handover from an instance and waits until it ends.
async fn request_upgrade(paths: &InstancePaths) -> Result<(), UpgradeError> {
    let mut client = ControlClient::request(
        &paths.control,
        ControlRequest::Upgrade,
        &json!({}),
        UPGRADE_TIMEOUT,
    )
    .await?;
    loop {
        match client.next_reply().await {
            Ok((ControlMessage::More, _)) => {}
            Ok((ControlMessage::Done, _)) => return Ok(()),
            Ok((_, report)) => {
                let reason = report["text"].as_str().unwrap_or("it failed").to_owned();
                return Err(UpgradeError::Failed { reason });
            }
            // The predecessor may exit before it has sent its last reply.
            Err(_) if is_successor_serving(&paths.control).await => return Ok(()),
            Err(error) => return Err(error.into()),
        }
    }
}

async fn is_successor_serving(control: &Path) -> bool {
    sleep(SUCCESSOR_DELAY).await;
    let request = ControlClient::request_once(control, ControlRequest::Status, STATUS_TIMEOUT);
    match timeout(STATUS_TIMEOUT, request).await {
        Ok(Ok((_, status))) => status["predecessor"].is_u64(),
        _ => false,
    }
}
