//! Runs an instance with two dependencies, makes servers fail for some seconds, and measures the share of the billed value that
//! was served within the latency objective.

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

/// A scripted fault: the servers that fail, and how they fail.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub name: &'static str,
    /// Dependency, indexes of its servers, and how they fail.
    pub parts: &'static [(&'static str, &'static [usize], ServerBehavior)],
    /// Whether a dependency fails completely, so that retries on another server can't help.
    pub fails_whole_dependency: bool,
}

const ALL: &[usize] = &[0, 1, 2, 3, 4];

/// The first entry is the baseline without a fault. A fault of a single server hits the first one, since the previous version
/// calls only that one.
pub const FAULTS: [Fault; 11] = [
    Fault {
        name: "none",
        parts: &[],
        fails_whole_dependency: false,
    },
    Fault {
        name: "1 catalogue 8 times as slow, assets fail",
        parts: &[
            ("catalogue", ALL, ServerBehavior::Slow(8.0)),
            ("assets", ALL, ServerBehavior::Errors),
        ],
        fails_whole_dependency: true,
    },
    Fault {
        name: "2 one of five 40 times as slow",
        parts: &[("catalogue", &[0], ServerBehavior::Slow(40.0))],
        fails_whole_dependency: false,
    },
    Fault {
        name: "3 one of five answers errors at once",
        parts: &[("catalogue", &[0], ServerBehavior::Errors)],
        fails_whole_dependency: false,
    },
    Fault {
        name: "4 one of five never answers",
        parts: &[("catalogue", &[0], ServerBehavior::Hangs)],
        fails_whole_dependency: false,
    },
    Fault {
        name: "5 four of five are gone",
        parts: &[("catalogue", &[0, 1, 2, 3], ServerBehavior::Unreachable)],
        fails_whole_dependency: false,
    },
    Fault {
        name: "6 all slow alike, 8 times",
        parts: &[("catalogue", ALL, ServerBehavior::Slow(8.0))],
        fails_whole_dependency: false,
    },
    Fault {
        name: "7 assets fail",
        parts: &[("assets", ALL, ServerBehavior::Errors)],
        fails_whole_dependency: true,
    },
    Fault {
        name: "8 assets never answer",
        parts: &[("assets", ALL, ServerBehavior::Hangs)],
        fails_whole_dependency: true,
    },
    Fault {
        name: "9 one of five 60 times as slow for one",
        parts: &[(
            "catalogue",
            &[0],
            ServerBehavior::SlowFor("thumbnail", 60.0),
        )],
        fails_whole_dependency: false,
    },
    Fault {
        name: "10 every other call to catalogue breaks",
        parts: &[("catalogue", ALL, ServerBehavior::DropsConnections)],
        fails_whole_dependency: false,
    },
];

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Routing {
    /// By the program itself.
    Routed,
    /// As the previous version does: one address for each dependency.
    Before,
    /// Round-robin with retries.
    Round,
}

impl Routing {
    pub const ALL: [Routing; 3] = [Routing::Routed, Routing::Before, Routing::Round];
}

#[derive(Clone, Debug)]
pub struct Outcome {
    /// Share of the billed value requested during the fault that was served within the latency objective.
    pub value_share: f64,
    /// Calls that reached servers during the fault, per call that the runs needed.
    pub attempts: f64,
    /// Partial answers, as the program counted them and as clients received them.
    pub partial_counted: u64,
    pub partial_seen: u64,
    /// Calls per second that reached the failing servers, relative to the rate before the fault.
    pub load: f64,
    pub broken_rules: u64,
}

const BEFORE_FAULT: Duration = Duration::from_millis(2000);
const FAULT_DURATION: Duration = Duration::from_millis(5000);
const CALL_DURATION: Duration = Duration::from_millis(5);
/// Operations with their billed value and latency objective in seconds, as in the example configuration.
const VALUES: [(&str, f64, f64); 3] = [
    ("thumbnail", 1.0, 1.7),
    ("transcript-search", 2.0, 2.3),
    ("playback-token", 3.0, 1.0),
];
/// Operations, the dependencies they call, and the share of the value that is lost without the result of that dependency.
const COSTS: [(&str, &str, f64); 3] = [
    ("thumbnail", "catalogue", 0.4),
    ("thumbnail", "assets", 0.2),
    ("playback-token", "assets", 0.1),
];

/// The dependencies section of the configuration for these servers.
pub fn dependencies_config(servers: &BTreeMap<String, Vec<String>>) -> Value {
    let server_list = |name: &str| -> Vec<Value> {
        servers[name]
            .iter()
            .map(|address| json!({ "address": address }))
            .collect()
    };
    let call = |operation: &str, to: &str, instead: Value| {
        let cost = COSTS
            .iter()
            .find(|(name, dependency, _)| (*name, *dependency) == (operation, to))
            .map_or(1.0, |(.., cost)| *cost);
        json!({ "to": to, "cost": cost, "needed": cost == 1.0, "instead": instead })
    };
    json!({
        "dependencies": { "catalogue": { "servers": server_list("catalogue") }, "assets": { "servers": server_list("assets") } },
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

/// The dependencies that a run of each operation calls.
pub fn called_dependencies() -> Vec<(String, Vec<String>)> {
    let both = || vec!["catalogue".to_owned(), "assets".to_owned()];
    vec![
        ("thumbnail".into(), both()),
        ("playback-token".into(), both()),
    ]
}

/// The served and the full billed value of an invocation. An answer within the objective has the full value, less the costs of
/// its missing parts.
fn value(sent: &SentInvocation, infers_missing_parts: bool) -> (f64, f64) {
    let (_, full_value, objective_s) = VALUES
        .iter()
        .find(|(name, ..)| *name == sent.operation)
        .copied()
        .unwrap_or(("", 0.0, 0.0));
    let served = sent.answers.first().is_some_and(|(at, status)| {
        *status == 200 && (*at - sent.sent_at).as_secs_f64() <= objective_s
    });
    let mut served_value = if served { full_value } else { 0.0 };
    for (_, dependency, cost) in COSTS
        .iter()
        .filter(|(operation, ..)| *operation == sent.operation)
    {
        let is_named = sent
            .partial
            .as_ref()
            .is_some_and(|parts| parts.split(", ").any(|part| part == *dependency));
        // The two baselines do not name the missing parts. Assuming the cheaper one favours the baselines.
        let is_inferred =
            infers_missing_parts && sent.answered_without_call && *dependency == "assets";
        if is_named || is_inferred {
            served_value *= 1.0 - cost;
        }
    }
    (served_value, full_value)
}

fn calls(servers: &[Rc<Server>]) -> u64 {
    servers.iter().map(|server| server.calls.get()).sum()
}

/// Runs one fault with one way of choosing servers.
///
/// # Errors
/// Fails if the servers, the instance or its load can't be started, or the instance reports no status.
pub async fn run(
    plan: &Plan,
    fault: &Fault,
    routing: Routing,
    address_number: u8,
) -> io::Result<Outcome> {
    let mut servers_by_dependency: BTreeMap<&str, Vec<Rc<Server>>> = BTreeMap::new();
    for name in ["catalogue", "assets"] {
        for _ in 0..5 {
            servers_by_dependency
                .entry(name)
                .or_default()
                .push(Server::start(CALL_DURATION).await?);
        }
    }
    let addresses: BTreeMap<String, Vec<String>> = servers_by_dependency
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
    match routing {
        Routing::Routed => setup.dependencies = Some(dependencies_config(&addresses)),
        Routing::Before | Routing::Round => {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            setup.catalogue = Some(listener.local_addr()?.to_string());
            let way = match routing {
                Routing::Before => ForwardMode::FirstServer,
                _ => ForwardMode::RoundRobin {
                    attempt_timeout: Duration::from_millis(250),
                    max_attempts: 3,
                },
            };
            Forward::start(listener, way, addresses);
        }
    }
    let mut instance = Instance::start(&setup, address_number).await?;
    let load = Load::with_example_operations(&instance.address, 20, plan.rate, plan.seed);
    let running_load = load.start().await?;
    sleep(BEFORE_FAULT).await;
    let failing_servers = || {
        fault.parts.iter().flat_map(|(name, indexes, _)| {
            indexes
                .iter()
                .map(|index| servers_by_dependency[name][*index].clone())
        })
    };
    let failing_servers: Vec<Rc<Server>> = failing_servers().collect();
    for (name, indexes, failure) in fault.parts {
        indexes
            .iter()
            .for_each(|index| servers_by_dependency[name][*index].set_behavior(*failure));
    }
    let fault_start = Instant::now();
    let (calls_before, total_before) = (
        calls(&failing_servers),
        calls(
            &servers_by_dependency
                .values()
                .flatten()
                .cloned()
                .collect::<Vec<_>>(),
        ),
    );
    sleep(FAULT_DURATION).await;
    let fault_end = Instant::now();
    let (calls_during, total_during) = (
        calls(&failing_servers) - calls_before,
        calls(
            &servers_by_dependency
                .values()
                .flatten()
                .cloned()
                .collect::<Vec<_>>(),
        ) - total_before,
    );
    servers_by_dependency
        .values()
        .flatten()
        .for_each(|server| server.set_behavior(ServerBehavior::Normal));
    let seen = running_load.stop().await;
    let report = instance.status().await?;
    let verdict = seen
        .borrow()
        .check(&instance.records.borrow(), load.patience);
    instance.kill_all().await;
    let seen: &LoadRecord = &seen.borrow();
    let (mut served_value, mut requested_value, mut needed_calls) = (0.0, 0.0, 0_u64);
    for sent in seen
        .sent
        .values()
        .filter(|sent| sent.sent_at >= fault_start && sent.sent_at < fault_end)
    {
        let (served, requested) = value(sent, routing != Routing::Routed);
        (served_value, requested_value) = (served_value + served, requested_value + requested);
        needed_calls += 2 * u64::from(sent.operation != "transcript-search");
    }
    let partial_seen = seen
        .sent
        .values()
        .filter(|sent| sent.partial.is_some())
        .count() as u64;
    let per_s = |calls: u64, time: Duration| calls as f64 / time.as_secs_f64();
    Ok(Outcome {
        value_share: served_value / f64::max(requested_value, 1e-9),
        attempts: total_during as f64 / needed_calls.max(1) as f64,
        partial_counted: report["counters"]["partial"].as_u64().unwrap_or(0),
        partial_seen,
        load: per_s(calls_during, FAULT_DURATION) / per_s(calls_before, BEFORE_FAULT).max(1e-9),
        broken_rules: verdict.lost
            + verdict.doubled
            + verdict.spoilt
            + verdict.run_twice
            + verdict.wrong_feeds,
    })
}
