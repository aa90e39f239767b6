//! What is reported of learning: by whom, how old, and what of it still counts.

use merlinshelf_gossip::ObservationEntry;
use serde_json::{Value, json};

use super::State;
use crate::exchange::monotonic;

/// Figures in one answer of the control socket.
const PAGE: usize = 100;

pub fn status(state: &State) -> Value {
    let now = monotonic();
    let Some(learner) = &state.learner else {
        return json!({ "standing": "starting" });
    };
    let counting = learner.store().effective_counts(now);
    let taught: Vec<Value> = learner
        .peer_statistics()
        .iter()
        .map(|(name, of)| {
            json!({ "by": name, "ago_s": round(now - of.last_answer_at), "times": of.answers, "taken": of.accepted,
                    "unbelievable": of.rejected })
        })
        .collect();
    let counting: Vec<Value> = counting
        .into_iter()
        .map(|(of, count)| json!({ "origin": of.to_string(), "figures": count }))
        .collect();
    let saved = match &state.saved {
        None => json!(null),
        Some((at, Ok(()))) => json!({ "ago_s": round(now - at) }),
        Some((at, Err(why))) => json!({ "failed": why, "ago_s": round(now - at) }),
    };
    json!({
        "standing": learner.status().as_str(),
        "peers": learner.members().alive().count(),
        "taught_by": taught,
        "still_counts": counting,
        "questions_turned_away": learner.rejected_polls,
        "saved": saved,
    })
}

fn round(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

/// One figure, for reports.
pub fn figure(now: f64, entry: &ObservationEntry) -> Value {
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
    })
}

pub fn pages(state: &State) -> Vec<Value> {
    let now = monotonic();
    let Some(learner) = &state.learner else {
        return Vec::new();
    };
    let own = learner.store().own();
    let all: Vec<Value> = learner
        .store()
        .observations()
        .map(|entry| {
            let mut line = figure(now, &entry);
            line["own"] = json!(entry.source == own);
            line
        })
        .collect();
    all.chunks(PAGE)
        .map(|page| json!({ "figures": page }))
        .collect()
}
