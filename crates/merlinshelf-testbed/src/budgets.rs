//! Checks the call budgets of a fleet. Only the calls that arrive at the catalogue count as evidence, never what a process under
//! test reports.

use std::collections::HashSet;
use std::io;
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::fakes::Server;
use crate::installation::Installation;

/// Budgets of the experiments, in calls per second for the whole fleet.
pub const PROBE_BUDGET: usize = 8;
pub const FIRST_CALL_BUDGET: usize = 64;
pub const RETRY_BUDGET: usize = 24;
pub const CONNECTION_BUDGET: usize = 200;

/// The budgets of the base policy: each host's reserve.
pub fn base_budgets() -> Value {
    json!({ "catalogue": { "again": 2, "probes": 1, "first": 4, "opened": 20 } })
}

/// A policy with the budgets of the experiments, some of them overridden.
pub fn budget_policy(overrides: &[(&str, usize)]) -> Value {
    let mut budgets = json!({ "again": RETRY_BUDGET, "probes": PROBE_BUDGET, "first": FIRST_CALL_BUDGET, "opened": CONNECTION_BUDGET });
    overrides
        .iter()
        .for_each(|(kind, calls)| budgets[*kind] = json!(calls));
    json!({ "note": "budgets", "budgets": { "catalogue": budgets } })
}

/// Proposes a policy for all instances and waits until it is committed; returns its number.
///
/// # Errors
/// Returns an error if the proposal is refused, or is not decided after 20 requests.
pub async fn propose_until_committed(
    installation: &Installation,
    policy: &Value,
    id: &str,
) -> io::Result<u64> {
    let request = json!({ "policy": policy, "id": id, "wait": true });
    for _ in 0..20 {
        let (status, reply) = installation.hosts[0]
            .policy_request("propose", request.clone())
            .await?;
        match (status, reply["number"].as_u64()) {
            (ControlMessage::Done, Some(number)) => return Ok(number),
            (_, Some(_)) => return Err(io::Error::other(reply.to_string())),
            _ => {}
        }
        if status == ControlMessage::Refused {
            return Err(io::Error::other(reply.to_string()));
        }
    }
    Err(io::Error::other("the proposal is still undecided"))
}

/// Calls and connections that reached the catalogue, classified by what is visible there.
#[derive(Clone, Debug, Default)]
pub struct CatalogueTraffic {
    /// All calls.
    pub calls: Vec<Instant>,
    /// Calls of an invocation that had made a call before.
    pub retries: Vec<Instant>,
    pub connections: Vec<Instant>,
}

impl CatalogueTraffic {
    /// What arrived from `from` until before `until`.
    pub fn between(server: &Server, from: Instant, until: Instant) -> CatalogueTraffic {
        let in_range = |at: &Instant| *at >= from && *at < until;
        let mut seen_ids = HashSet::new();
        let mut traffic = CatalogueTraffic::default();
        for (at, id) in server.arrivals.borrow().iter() {
            let is_retry = !seen_ids.insert(id.clone());
            if in_range(at) {
                traffic.calls.push(*at);
                if is_retry {
                    traffic.retries.push(*at);
                }
            }
        }
        traffic.connections = server
            .connections_opened
            .borrow()
            .iter()
            .copied()
            .filter(in_range)
            .collect();
        traffic
    }
}

/// The maximum number of events within any second, wherever it begins.
pub fn max_in_a_second(moments: &[Instant]) -> usize {
    max_within(moments, Duration::from_secs(1))
}

/// The maximum number of events within any interval of length `span`.
pub fn max_within(moments: &[Instant], span: Duration) -> usize {
    let (mut first, mut max) = (0, 0);
    for last in 0..moments.len() {
        while moments[last] - moments[first] >= span {
            first += 1;
        }
        max = max.max(last - first + 1);
    }
    max
}

/// The number of events in each second, counted from `from`.
pub fn counts_by_second(moments: &[Instant], from: Instant, seconds: usize) -> Vec<usize> {
    let mut counts = vec![0; seconds];
    for at in moments.iter().filter(|at| **at >= from) {
        if let Some(count) = counts.get_mut((*at - from).as_secs() as usize) {
            *count += 1;
        }
    }
    counts
}
