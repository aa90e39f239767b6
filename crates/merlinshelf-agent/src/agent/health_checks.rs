//! Health checks: the agent requests the status of instances over their control sockets, and in
//! some rounds also opens a connection as a client does.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use merlinshelf_fleet::Report;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Agent, AgentEvent};
use crate::control_client::ControlClient;
use crate::process;

/// An instance that does not answer within this time counts as unresponsive.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_millis(1000);
/// Every how many rounds of health checks one also opens a client connection.
const ROUNDS_PER_CONNECT_CHECK: u32 = 4;

impl Agent {
    /// Starts a check of each supervised instance that has no check in flight.
    pub(super) fn start_health_checks(&mut self) {
        self.health_check_rounds = self.health_check_rounds.wrapping_add(1);
        let checks_connect = self
            .health_check_rounds
            .is_multiple_of(ROUNDS_PER_CONNECT_CHECK);
        for name in self.processes.keys() {
            if !self.checks_in_flight.borrow_mut().insert(name.clone()) {
                continue;
            }
            let address = checks_connect.then(|| self.address(name)).flatten();
            let control = self.paths(name).control;
            let name = name.clone();
            let checks_in_flight = self.checks_in_flight.clone();
            let events = self.event_sender.clone();
            spawn_local(async move {
                let report = check_health(&control, address).await;
                checks_in_flight.borrow_mut().remove(&name);
                if let Some(report) = report {
                    let report = Box::new(report);
                    let _ = events.send(AgentEvent::HealthChecked { name, report });
                }
            });
        }
    }

    pub(super) fn health_checked(&mut self, name: &str, report: Report) {
        let now = self.now();
        let known = self
            .fleet
            .get(name)
            .and_then(|instance| instance.identity.as_ref());
        // A successor may report the known process as its predecessor before the end of the
        // handover is reported.
        let is_instance = known.is_some_and(|known| {
            *known == report.identity || report.predecessor == Some(known.pid)
        });
        if is_instance && !self.supervise(name, &report.identity) {
            return; // it has exited since the check
        }
        if let Some(policy) = &mut self.policy {
            policy.record_service_counts(name, report.invocations, report.succeeded);
        }
        self.fleet.report_received(now, name, report);
    }
}

/// Requests an instance's status; an instance that accepts no client connection is not healthy.
async fn check_health(control: &Path, address: Option<SocketAddr>) -> Option<Report> {
    let mut report = request_report(control).await?;
    if let Some(address) = address
        && report.healthy == Some(true)
    {
        let connection = timeout(STATUS_TIMEOUT, TcpStream::connect(address)).await;
        report.healthy = Some(matches!(connection, Ok(Ok(_))));
    }
    Some(report)
}

/// Requests the status of the process that listens on a control socket; `None` without an answer
/// in time.
pub(super) async fn request_report(control: &Path) -> Option<Report> {
    let request = ControlClient::request_once(control, ControlRequest::Status, STATUS_TIMEOUT);
    match request.await {
        Ok((ControlMessage::Done, status)) => decode_report(&status),
        _ => None,
    }
}

/// Decodes the status of a running process; `None` for anything else.
fn decode_report(status: &Value) -> Option<Report> {
    let pid = u32::try_from(status["process"].as_u64()?).ok()?;
    let counter = |name: &str| status["counters"][name].as_u64().unwrap_or(0);
    Some(Report {
        identity: process::identity(pid)?,
        predecessor: status["predecessor"]
            .as_u64()
            .and_then(|pid| u32::try_from(pid).ok()),
        state: status["state"].as_str()?.to_owned(),
        healthy: status["healthy"].as_bool(),
        in_flight: status["in_hand"].as_u64().unwrap_or(0),
        invocations: counter("invocations"),
        succeeded: counter("succeeded"),
        run_ms: status["run_ms"].as_f64(),
        memory_kb: status["memory_kb"].as_u64().unwrap_or(0),
        program: process::executable(pid),
    })
}
