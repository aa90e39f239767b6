//! Reports of dependencies and their servers for operators. Renamed fields keep the JSON names that
//! operators' tools read.

use serde::Serialize;

use crate::counters::Counters;
use crate::router::Router;
use crate::router::dependency_state::DependencyState;
use crate::server::{Server, ServerHealth};

/// The report of one server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerReport {
    /// IP address and port.
    pub address: String,
    /// Zone; empty if none is configured.
    pub zone: String,
    /// Health: `in`, `out` (ejected) or `on trial` (probing).
    #[serde(rename = "state")]
    pub health: &'static str,
    /// Reason of the ejection, while the server is ejected.
    #[serde(rename = "why")]
    pub ejection_reason: Option<&'static str>,
    /// Calls in flight.
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Concurrency limit; `None` before the first success.
    #[serde(rename = "limit")]
    pub concurrency_limit: Option<f64>,
    /// Mean duration of the latest calls in milliseconds; `None` before the first call.
    pub mean_ms: Option<f64>,
    /// Share of the latest calls that failed, 0 to 1.
    #[serde(rename = "failures")]
    pub failure_rate: f64,
}

/// The report of one dependency.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the dependency.
    pub name: String,
    /// Whether the dependency as a whole fails.
    #[serde(rename = "fails")]
    pub is_failing: bool,
    /// Concurrency limit.
    #[serde(rename = "limit")]
    pub concurrency_limit: f64,
    /// Attempts in flight.
    #[serde(rename = "open")]
    pub in_flight: usize,
    /// Calls that wait for capacity.
    pub waiting: usize,
    /// Tokens in the retry budget, for retries and hedged requests.
    #[serde(rename = "attempts_left")]
    pub retry_tokens: f64,
    /// Counters since the start of the process.
    #[serde(flatten)]
    pub counters: Counters,
    /// The servers.
    pub servers: Vec<ServerReport>,
}

impl Router {
    /// Reports of all dependencies, by name.
    pub fn report(&self) -> Vec<Report> {
        self.states
            .iter()
            .map(|(name, state)| report(name, state))
            .collect()
    }
}

fn report(name: &str, state: &DependencyState) -> Report {
    Report {
        name: name.to_owned(),
        is_failing: state.retry_budget.is_failing(),
        concurrency_limit: state.concurrency_limit.get(),
        in_flight: state.in_flight,
        waiting: state.wait_queue.len(),
        retry_tokens: state.retry_budget.tokens(),
        counters: state.counters,
        servers: state
            .pool
            .servers()
            .iter()
            .map(|server| server_report(state, server))
            .collect(),
    }
}

fn server_report(state: &DependencyState, server: &Server) -> ServerReport {
    let ejection_reason = match server.health {
        ServerHealth::Ejected { reason, .. } => Some(reason.as_str()),
        ServerHealth::Healthy | ServerHealth::Probing { .. } => None,
    };
    let health = match server.health {
        ServerHealth::Healthy => "in",
        ServerHealth::Ejected { .. } => "out",
        ServerHealth::Probing { .. } => "on trial",
    };
    ServerReport {
        address: server.name.clone(),
        zone: server.zone.clone(),
        health,
        ejection_reason,
        in_flight: server.in_flight,
        concurrency_limit: state
            .server_limits
            .get(&server.name)
            .map(|limit| limit.get().floor()),
        mean_ms: server
            .mean_seconds()
            .map(|mean_seconds| (mean_seconds * 1e6).round() / 1e3),
        failure_rate: (server.failure_rate() * 1e3).round() / 1e3,
    }
}
