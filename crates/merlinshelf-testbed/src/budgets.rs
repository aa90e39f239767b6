//! The checker of the fleet's budgets: it reads the records at the door of the catalogue alone, and never the word of a process
//! under trial.

use std::collections::HashSet;
use std::io;
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::fakes::Server;
use crate::installation::Installation;

/// Budgets of the trials, calls a second of the whole fleet.
pub const PROBE_BUDGET: usize = 8;
pub const FIRST_CALL_BUDGET: usize = 64;
pub const RETRY_BUDGET: usize = 24;
pub const CONNECTION_BUDGET: usize = 200;

/// The base policy's: what each host has set aside.
pub fn base_budgets() -> Value {
    json!({ "catalogue": { "again": 2, "probes": 1, "first": 4, "opened": 20 } })
}

/// A policy with the budgets of the trials, and figures of some other ones in their place.
pub fn budget_policy(other: &[(&str, usize)]) -> Value {
    let mut budgets = json!({ "again": RETRY_BUDGET, "probes": PROBE_BUDGET, "first": FIRST_CALL_BUDGET, "opened": CONNECTION_BUDGET });
    other
        .iter()
        .for_each(|(kind, calls)| budgets[*kind] = json!(calls));
    json!({ "note": "budgets", "budgets": { "catalogue": budgets } })
}

/// Has the policy hold for all.
///
/// # Errors
/// It does not come to hold.
pub async fn propose_until_committed(
    all: &Installation,
    policy: &Value,
    id: &str,
) -> io::Result<u64> {
    let ask = json!({ "policy": policy, "id": id, "wait": true });
    for _ in 0..20 {
        let (word, said) = all.hosts[0].policy_request("propose", ask.clone()).await?;
        match (word, said["number"].as_u64()) {
            (ControlMessage::Done, Some(number)) => return Ok(number),
            (_, Some(_)) => return Err(io::Error::other(said.to_string())),
            _ => {}
        }
        if word == ControlMessage::Refused {
            return Err(io::Error::other(said.to_string()));
        }
    }
    Err(io::Error::other("the change does not end"))
}

/// What reached the door, by kind as it shows from outside.
#[derive(Clone, Debug, Default)]
pub struct CatalogueTraffic {
    /// Every call.
    pub calls: Vec<Instant>,
    /// Those of an invocation that had called before.
    pub retries: Vec<Instant>,
    pub connections: Vec<Instant>,
}

impl CatalogueTraffic {
    /// What came in this time.
    pub fn between(server: &Server, from: Instant, until: Instant) -> CatalogueTraffic {
        let within = |at: &Instant| *at >= from && *at < until;
        let mut known = HashSet::new();
        let mut door = CatalogueTraffic::default();
        for (at, id) in server.arrivals.borrow().iter() {
            let again = !known.insert(id.clone());
            if within(at) {
                door.calls.push(*at);
                if again {
                    door.retries.push(*at);
                }
            }
        }
        door.connections = server
            .connections_opened
            .borrow()
            .iter()
            .copied()
            .filter(within)
            .collect();
        door
    }
}

/// The most in any second, wherever it begins.
pub fn max_in_a_second(moments: &[Instant]) -> usize {
    max_within(moments, Duration::from_secs(1))
}

/// The most in any time so long.
pub fn max_within(moments: &[Instant], span: Duration) -> usize {
    let (mut first, mut most) = (0, 0);
    for last in 0..moments.len() {
        while moments[last] - moments[first] >= span {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}

/// How many came in each second from a moment on.
pub fn counts_by_second(moments: &[Instant], from: Instant, seconds: usize) -> Vec<usize> {
    let mut counts = vec![0; seconds];
    for at in moments.iter().filter(|at| **at >= from) {
        if let Some(count) = counts.get_mut((*at - from).as_secs() as usize) {
            *count += 1;
        }
    }
    counts
}
