//! One play: an instance, two dependencies, a fault for some seconds, and what of the billed value was served in its objective.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use super::Plan;
use crate::fakes::{Forward, ForwardMode, Server, ServerBehavior};
use crate::instance::{Instance, Setup};
use crate::load::{Load, LoadRecord, SentInvocation};

/// Servers that fail from a moment on: a dependency, which of its servers, and what they do.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub name: &'static str,
    pub parts: &'static [(&'static str, &'static [usize], ServerBehavior)],
    /// A dependency fails as a whole.
    pub whole: bool,
}

const ALL: &[usize] = &[0, 1, 2, 3, 4];

/// The first one is no fault. What happens to one server happens to the first, which the version before calls.
pub const FAULTS: [Fault; 11] = [
    Fault {
        name: "none",
        parts: &[],
        whole: false,
    },
    Fault {
        name: "1 catalogue 8 times as slow, assets fail",
        parts: &[
            ("catalogue", ALL, ServerBehavior::Slow(8.0)),
            ("assets", ALL, ServerBehavior::Errors),
        ],
        whole: true,
    },
    Fault {
        name: "2 one of five 40 times as slow",
        parts: &[("catalogue", &[0], ServerBehavior::Slow(40.0))],
        whole: false,
    },
    Fault {
        name: "3 one of five answers errors at once",
        parts: &[("catalogue", &[0], ServerBehavior::Errors)],
        whole: false,
    },
    Fault {
        name: "4 one of five never answers",
        parts: &[("catalogue", &[0], ServerBehavior::Hangs)],
        whole: false,
    },
    Fault {
        name: "5 four of five are gone",
        parts: &[("catalogue", &[0, 1, 2, 3], ServerBehavior::Unreachable)],
        whole: false,
    },
    Fault {
        name: "6 all slow alike, 8 times",
        parts: &[("catalogue", ALL, ServerBehavior::Slow(8.0))],
        whole: false,
    },
    Fault {
        name: "7 assets fail",
        parts: &[("assets", ALL, ServerBehavior::Errors)],
        whole: true,
    },
    Fault {
        name: "8 assets never answer",
        parts: &[("assets", ALL, ServerBehavior::Hangs)],
        whole: true,
    },
    Fault {
        name: "9 one of five 60 times as slow for one",
        parts: &[(
            "catalogue",
            &[0],
            ServerBehavior::SlowFor("thumbnail", 60.0),
        )],
        whole: false,
    },
    Fault {
        name: "10 every other call to catalogue breaks",
        parts: &[("catalogue", ALL, ServerBehavior::DropsConnections)],
        whole: false,
    },
];

/// Who chooses servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Routing {
    Routed,
    /// The version before: one address each.
    Before,
    Round,
}

impl Routing {
    pub const ALL: [Routing; 3] = [Routing::Routed, Routing::Before, Routing::Round];
}

#[derive(Clone, Debug)]
pub struct Outcome {
    /// Of the billed value that was asked for under the fault, what was served within its objective.
    pub share: f64,
    /// Calls that reached servers, by call that a run wanted of a dependency that fails.
    pub attempts: f64,
    /// Partial answers, as the program counts them and as clients saw them.
    pub partial_told: u64,
    pub partial_seen: u64,
    /// Calls a second that reached the failing servers, against before the fault.
    pub load: f64,
    pub broken_rules: u64,
}

/// Seconds of a play: until the fault, and under it.
const BEFORE: Duration = Duration::from_millis(2000);
const UNDER: Duration = Duration::from_millis(5000);
const CALL_TAKES: Duration = Duration::from_millis(5);
/// Billed value and objective of the operations, as in the example, and what of the value each part costs where it is missing.
const WORTH: [(&str, f64, f64); 3] = [
    ("thumbnail", 1.0, 1.7),
    ("transcript-search", 2.0, 2.3),
    ("playback-token", 3.0, 1.0),
];
const COSTS: [(&str, &str, f64); 3] = [
    ("thumbnail", "catalogue", 0.4),
    ("thumbnail", "assets", 0.2),
    ("playback-token", "assets", 0.1),
];

/// What the operators say of the two.
pub fn dependencies_config(servers: &BTreeMap<String, Vec<String>>) -> Value {
    let list = |name: &str| -> Vec<Value> {
        servers[name]
            .iter()
            .map(|address| json!({ "address": address }))
            .collect()
    };
    let call = |of: &str, to: &str, instead: Value| {
        let cost = COSTS
            .iter()
            .find(|(operation, part, _)| (*operation, *part) == (of, to))
            .map_or(1.0, |one| one.2);
        json!({ "to": to, "cost": cost, "needed": cost == 1.0, "instead": instead })
    };
    json!({
        "dependencies": { "catalogue": { "servers": list("catalogue") }, "assets": { "servers": list("assets") } },
        "operations": {
            "thumbnail": { "calls": [
                call("thumbnail", "catalogue", json!({ "fixed": "less" })), call("thumbnail", "assets", json!("nothing")),
            ] },
            "playback-token": { "calls": [
                call("playback-token", "catalogue", json!("nothing")), call("playback-token", "assets", json!({ "fixed": "less" })),
            ] },
        },
    })
}

pub fn called_dependencies() -> Vec<(String, Vec<String>)> {
    let both = || vec!["catalogue".to_owned(), "assets".to_owned()];
    vec![
        ("thumbnail".into(), both()),
        ("playback-token".into(), both()),
    ]
}

/// What an answer is worth: all of it in its objective, less what its missing parts cost.
fn worth(sent: &SentInvocation, poorer_parts: bool) -> (f64, f64) {
    let (_, whole, objective) = WORTH
        .iter()
        .find(|(name, ..)| *name == sent.operation)
        .copied()
        .unwrap_or(("", 0.0, 0.0));
    let served = sent.answers.first().is_some_and(|(at, status)| {
        *status == 200 && (*at - sent.sent_at).as_secs_f64() <= objective
    });
    let mut got = if served { whole } else { 0.0 };
    for (_, part, cost) in COSTS
        .iter()
        .filter(|(operation, ..)| *operation == sent.operation)
    {
        let named = sent
            .partial
            .as_ref()
            .is_some_and(|parts| parts.split(", ").any(|one| one == *part));
        // Without names one does not know which is missing: the cheaper one is taken, in favour of the plain ways.
        let unnamed = poorer_parts && sent.answered_without_call && *part == "assets";
        if named || unnamed {
            got *= 1.0 - cost;
        }
    }
    (got, whole)
}

fn calls(servers: &[Rc<Server>]) -> u64 {
    servers.iter().map(|server| server.calls.get()).sum()
}

/// # Errors
/// It can't be played.
pub async fn run(plan: &Plan, fault: &Fault, how: Routing, number: u8) -> io::Result<Outcome> {
    let mut all: BTreeMap<&str, Vec<Rc<Server>>> = BTreeMap::new();
    for name in ["catalogue", "assets"] {
        for _ in 0..5 {
            all.entry(name)
                .or_default()
                .push(Server::start(CALL_TAKES).await?);
        }
    }
    let addresses: BTreeMap<String, Vec<String>> = all
        .iter()
        .map(|(name, servers)| {
            (
                (*name).to_owned(),
                servers
                    .iter()
                    .map(|server| server.address.clone())
                    .collect(),
            )
        })
        .collect();
    let mut setup = Setup::small(&plan.program);
    setup.fakes.called_dependencies = called_dependencies();
    match how {
        Routing::Routed => setup.dependencies = Some(dependencies_config(&addresses)),
        Routing::Before | Routing::Round => {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            setup.catalogue = Some(listener.local_addr()?.to_string());
            let way = match how {
                Routing::Before => ForwardMode::FirstServer,
                _ => ForwardMode::RoundRobin {
                    attempt_timeout: Duration::from_millis(250),
                    max_attempts: 3,
                },
            };
            Forward::start(listener, way, addresses);
        }
    }
    let mut instance = Instance::start(&setup, number).await?;
    let load = Load::with_example_operations(&instance.address, 20, plan.rate, plan.seed);
    let playing = load.start().await?;
    sleep(BEFORE).await;
    let failing = || {
        fault
            .parts
            .iter()
            .flat_map(|(name, which, _)| which.iter().map(|place| all[name][*place].clone()))
    };
    let failing: Vec<Rc<Server>> = failing().collect();
    for (name, which, does) in fault.parts {
        which
            .iter()
            .for_each(|place| all[name][*place].set_behavior(*does));
    }
    let began = Instant::now();
    let (at_fault, whole_before) = (
        calls(&failing),
        calls(&all.values().flatten().cloned().collect::<Vec<_>>()),
    );
    sleep(UNDER).await;
    let until = Instant::now();
    let (under, whole_under) = (
        calls(&failing) - at_fault,
        calls(&all.values().flatten().cloned().collect::<Vec<_>>()) - whole_before,
    );
    all.values()
        .flatten()
        .for_each(|server| server.set_behavior(ServerBehavior::Normal));
    let seen = playing.stop().await;
    let report = instance.status().await?;
    let verdict = seen
        .borrow()
        .check(&instance.records.borrow(), load.patience);
    instance.kill_all().await;
    let seen: &LoadRecord = &seen.borrow();
    let (mut got, mut asked, mut wanted) = (0.0, 0.0, 0_u64);
    for sent in seen
        .sent
        .values()
        .filter(|sent| sent.sent_at >= began && sent.sent_at < until)
    {
        let (value, whole) = worth(sent, how != Routing::Routed);
        (got, asked) = (got + value, asked + whole);
        wanted += 2 * u64::from(sent.operation != "transcript-search");
    }
    let partial_seen = seen
        .sent
        .values()
        .filter(|sent| sent.partial.is_some())
        .count() as u64;
    let per_s = |calls: u64, time: Duration| calls as f64 / time.as_secs_f64();
    Ok(Outcome {
        share: got / f64::max(asked, 1e-9),
        attempts: whole_under as f64 / wanted.max(1) as f64,
        partial_told: report["counters"]["partial"].as_u64().unwrap_or(0),
        partial_seen,
        load: per_s(under, UNDER) / per_s(at_fault, BEFORE).max(1e-9),
        broken_rules: verdict.lost
            + verdict.doubled
            + verdict.spoilt
            + verdict.run_twice
            + verdict.wrong_feeds,
    })
}
