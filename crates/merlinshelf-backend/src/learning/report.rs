//! What is reported of learning: by whom, how old, and what of it still counts.

use merlinshelf_gossip::observation_store::weight;
use merlinshelf_gossip::{Metric, Observation, Source};
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
    let counting = learner.book().counting(now);
    let taught: Vec<Value> = learner
        .lessons()
        .iter()
        .map(|(name, of)| {
            json!({ "by": name, "ago_s": round(now - of.at), "times": of.times, "taken": of.taken,
                    "unbelievable": of.unbelievable })
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
        "standing": learner.standing().name(),
        "peers": learner.members().alive().count(),
        "taught_by": taught,
        "still_counts": counting,
        "questions_turned_away": learner.turned_away,
        "saved": saved,
    })
}

fn round(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

/// One figure, for reports.
pub fn figure(now: f64, subject: &Metric, origin: &Source, figure: &Observation) -> Value {
    let (server, operation) = subject.names();
    json!({
        "kind": subject.kind(), "server": server, "operation": operation, "value": figure.value, "count": figure.count,
        "age_s": round(now - figure.seen), "origin": origin.name, "life": origin.life, "hops": figure.hops,
        "standing": figure.standing.name(), "weight": (weight(now, subject, figure) * 1e3).round() / 1e3,
    })
}

pub fn pages(state: &State) -> Vec<Value> {
    let now = monotonic();
    let Some(learner) = &state.learner else {
        return Vec::new();
    };
    let own = learner.book().own();
    let all: Vec<Value> = learner
        .book()
        .figures()
        .map(|(subject, origin, of)| {
            let mut line = figure(now, subject, origin, of);
            line["own"] = json!(origin == own);
            line
        })
        .collect();
    all.chunks(PAGE)
        .map(|page| json!({ "figures": page }))
        .collect()
}
