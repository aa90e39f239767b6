//! Reports of gossip: who has sent observations, how old they are, and which still have weight.
//! The keys are those of the control socket's first version.

use merlinshelf_gossip::{ObservationEntry, Source};
use serde_json::{Value, json};

use super::{SaveOutcome, State};
use crate::exchange::monotonic_seconds;

/// The number of observations in one message of the control socket.
const PAGE_LENGTH: usize = 100;

/// The part of the instance's status report.
pub(super) fn status(state: &State) -> Value {
    let now = monotonic_seconds();
    let Some(node) = &state.node else {
        return json!({ "standing": "starting" });
    };
    let statistics = node.peer_statistics().iter();
    let senders: Vec<Value> = statistics
        .map(|(name, statistics)| {
            json!({
                "by": name,
                "ago_s": round(now - statistics.last_answer_at),
                "times": statistics.answers,
                "taken": statistics.accepted,
                "unbelievable": statistics.rejected,
            })
        })
        .collect();
    let effective_counts = node.store().effective_counts(now).into_iter();
    let effective_counts: Vec<Value> = effective_counts
        .map(|(source, count)| json!({ "origin": source.to_string(), "figures": count }))
        .collect();
    json!({
        "standing": node.status().as_str(),
        "peers": node.members().alive().count(),
        "taught_by": senders,
        "still_counts": effective_counts,
        "questions_turned_away": node.rejected_polls,
        "saved": state.save_outcome.as_ref().map(|outcome| save_report(now, outcome)),
    })
}

fn save_report(now: f64, outcome: &SaveOutcome) -> Value {
    let age_seconds = round(now - outcome.ended_at);
    match &outcome.error {
        None => json!({ "ago_s": age_seconds }),
        Some(error) => json!({ "failed": error, "ago_s": age_seconds }),
    }
}

fn round(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

fn observation_report(now: f64, own_source: &Source, entry: &ObservationEntry) -> Value {
    let ObservationEntry {
        metric,
        source,
        observation,
    } = *entry;
    let labels = metric.labels();
    let weight = observation.weight(now, metric);
    json!({
        "kind": metric.kind(),
        "server": labels.server,
        "operation": labels.operation,
        "value": observation.value,
        "count": observation.sample_count,
        "age_s": round(now - observation.observed_at),
        "origin": source.name,
        "life": source.incarnation,
        "hops": observation.hops,
        "standing": observation.status.as_str(),
        "weight": (weight * 1e3).round() / 1e3,
        "own": source == own_source,
    })
}

/// All observations, in pages that each fit one message of the control socket.
pub(super) fn observation_pages(state: &State) -> Vec<Value> {
    let now = monotonic_seconds();
    let Some(node) = &state.node else {
        return Vec::new();
    };
    let store = node.store();
    let reports: Vec<Value> = store
        .observations()
        .map(|entry| observation_report(now, store.own(), &entry))
        .collect();
    reports
        .chunks(PAGE_LENGTH)
        .map(|page| json!({ "figures": page }))
        .collect()
}
