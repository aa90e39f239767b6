//! Finds the process of an instance after a restart of the agent, after the exit of a process that
//! may have handed over, and when another process listens on the control socket of an instance that
//! is to be started.

use std::time::Duration;

use merlinshelf_fleet::Identity;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::health_checks::request_report;
use super::{Agent, AgentEvent};
use crate::instance_files::InstancePaths;
use crate::process;

/// A successor whose predecessor was killed during the handover opens its control socket within a
/// fraction of this time.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(600);
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// Why the agent searches for an instance's process.
#[derive(Debug)]
pub(super) enum SearchReason {
    /// The known process has exited; `status` is its exit status, if known.
    ProcessExited {
        identity: Identity,
        status: Option<i32>,
        /// During an upgrade the successor may open the socket slightly later.
        is_upgrading: bool,
    },
    /// Another process listens on the control socket of an instance that is to be started.
    SocketTaken,
}

impl SearchReason {
    fn exited_process(&self) -> Identity {
        match self {
            SearchReason::ProcessExited { identity, .. } => identity.clone(),
            SearchReason::SocketTaken => Identity::default(),
        }
    }

    fn timeout(&self) -> Duration {
        match self {
            SearchReason::ProcessExited {
                is_upgrading: true, ..
            } => SEARCH_TIMEOUT,
            _ => Duration::ZERO,
        }
    }
}

impl Agent {
    /// Finds the process of an earlier agent's instance: the known process, or its successor that
    /// answers on the control socket.
    pub(super) async fn adopt(&mut self, name: &str, known: Identity) {
        let now = self.now();
        if self.supervise(name, &known) {
            return self.process_adopted(now, name, known);
        }
        let control = self.paths(name).control;
        let Some(report) = request_report(&control).await else {
            return;
        };
        if report.predecessor == Some(known.pid) && self.supervise(name, &report.identity) {
            self.process_adopted(now, name, report.identity);
        }
    }

    fn process_adopted(&mut self, now: f64, name: &str, identity: Identity) {
        self.fleet.process_found(now, name, identity);
        let instance = self.fleet.get(name);
        // A record of an earlier version has no time for a graceful shutdown.
        if instance.is_some_and(|instance| instance.shutdown_timeout_seconds.is_none()) {
            self.read_shutdown_timeout(name);
        }
    }

    /// Searches, in a separate task, for a process that serves in place of one that has exited.
    ///
    /// A process that exits during an upgrade may have handed over, and after the exit of a
    /// successor its predecessor may serve again. A process belongs to the instance if it reports
    /// the exited process as its predecessor, or was started with the instance's files.
    pub(super) fn search_process(&self, name: String, reason: SearchReason) {
        let events = self.event_sender.clone();
        let paths = self.paths(&name);
        spawn_local(async move {
            let _ = events.send(search(name, &paths, reason).await);
        });
    }
}

async fn search(name: String, paths: &InstancePaths, reason: SearchReason) -> AgentEvent {
    let exited = reason.exited_process();
    let deadline = Instant::now() + reason.timeout();
    loop {
        let report = request_report(&paths.control)
            .await
            .filter(|report| report.identity != exited);
        if let Some(report) = report {
            if report.predecessor == Some(exited.pid) {
                let report = Box::new(report);
                return AgentEvent::HealthChecked { name, report };
            }
            if process::was_started_with(&report.identity, &paths.config) {
                let identity = report.identity;
                return AgentEvent::ProcessFound { name, identity };
            }
        }
        if Instant::now() >= deadline {
            return AgentEvent::ProcessNotFound { name, reason };
        }
        sleep(SEARCH_INTERVAL).await;
    }
}
