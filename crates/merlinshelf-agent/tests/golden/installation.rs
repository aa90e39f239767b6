//! An installation of a real agent and other agents that the tests simulate.

use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;

use merlinshelf_policy::{HostLeaseRequest, HostLeaseResponse};
use merlinshelf_quota::{
    DependencyGrant, DependencyRequest, Phase, QuotaGrant, QuotaGrantBatch, QuotaRequest,
};
use serde_json::{Value, json};

use crate::support::agent::{Folder, own_address};
use crate::support::peers::{PeerMessage, Peers};
use crate::support::samples::{LEASE_MS, host_status_of_a};

/// The fleet file of agent `name`. The group `web` has three instances whose program exits
/// immediately.
pub fn spec(folder: &Folder, name: &str, agents: &[(&str, String)]) -> Value {
    folder.write(
        "web.json",
        include_bytes!("../../../../examples/config.json"),
    );
    folder.write("program", b"#!/bin/sh\nexit 3\n");
    let executable = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(folder.path("program"), executable)
        .expect("it can be made executable");
    let agents: BTreeMap<&str, &String> = agents
        .iter()
        .map(|(name, address)| (*name, address))
        .collect();
    let catalogue = json!({ "again": 3, "probes": 4, "first": 5, "opened": 6 });
    let base = json!({ "note": "the base policy", "budgets": { "catalogue": catalogue, "callers": { "opened": 7 } } });
    json!({
        "folder": "run",
        "change": { "warm_ms": 200 },
        "restarts": { "pause_ms": 600_000, "pause_most_ms": 600_000 },
        "council": {
            "name": name, "listen": agents[name], "agents": agents, "lease_ms": LEASE_MS, "zone": "garching",
            "base": base, "without": "turn_away",
        },
        "groups": { "web": {
            "count": 3, "program": "program", "config": "web.json", "listen": own_address(6565),
            "engine": own_address(9300), "learning": true,
        } },
    })
}

/// Keys in replies whose numbers differ between runs.
pub const RUN_DEPENDENT_KEYS: [&str; 6] = [
    "since_s",
    "age_s",
    "left_s",
    "process",
    "served_per_s",
    "spent_s",
];

/// Returns the messages received from the agent under test since the last call. As the leader, `a`
/// responds to lease requests and sends the status of its host.
pub fn serve_as_leader(peers: &mut Peers) -> Vec<PeerMessage> {
    let received = std::mem::take(&mut peers.received);
    for message in &received {
        if let PeerMessage::Ask(request) = message {
            peers.send("a", &PeerMessage::Word(lease_response(request)));
            peers.send("a", &PeerMessage::Standing(host_status_of_a()));
        }
    }
    received
}

/// The leader's response to a request: a lease on policy 7, and quota if it was requested.
fn lease_response(request: &HostLeaseRequest) -> HostLeaseResponse {
    let grant = |request: &QuotaRequest| QuotaGrant {
        incarnation: request.incarnation,
        request_id: request.request_id,
        allocator_id: 3,
        grant_number: request.request_id,
        calls_per_second: 9,
        duration_seconds: 8.0,
    };
    let grant_dependency = |(name, dependency): (&String, &DependencyRequest)| {
        let grants = dependency
            .requests
            .iter()
            .map(|(kind, request)| (*kind, grant(request)))
            .collect();
        let phase = Some(Phase::Failing);
        (name.clone(), DependencyGrant { phase, grants })
    };
    let quota_grants = request
        .quota_requests
        .as_ref()
        .map(|batch| QuotaGrantBatch {
            incarnation: batch.incarnation,
            request_id: batch.request_id,
            dependencies: batch.dependencies.iter().map(grant_dependency).collect(),
        });
    HostLeaseResponse {
        incarnation: request.incarnation,
        request_id: request.request_id,
        granted_version: 7,
        quota_grants,
    }
}
