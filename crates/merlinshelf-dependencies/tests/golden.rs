//! Golden tests of the formats of this package that outlive a process or pass between processes:
//! the operators' settings of dependencies (a section of their file, in JSON5), the report of
//! dependencies (JSON over the control socket), and the subset of servers that an instance chooses,
//! which must be the same in all versions.
//!
//! An upgrade hands over no types of this package: the records of `merlinshelf-handover` carry the
//! names of dependencies, addresses of servers and numbers of calls in flight, and the successor
//! starts with a new router.
//!
//! An encoded report must match the bytes of its file under `tests/golden/`. Settings are only
//! read: stored files must be decoded to the expected values, whatever format a later version would
//! write. Every field of a sample has a distinct value other than its default, so that the tests
//! detect a field that is lost by a rename. A failing test means that operators' files or tools of
//! an earlier version would be misread. `GOLDEN_WRITE=1` rewrites the files; without it a missing
//! file is a failure.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use merlinshelf_dependencies::config::{Call, Dependency, Fallback, Operation, ServerConfig};
use merlinshelf_dependencies::counters::Counters;
use merlinshelf_dependencies::report::ServerReport;
use merlinshelf_dependencies::{
    Action, AttemptOutcome, CallRequest, Dependencies, Effect, Report, Router,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

// Reading, comparing and writing golden files.

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn read_golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("golden file {}: {error}", path.display()))
}

/// Asserts that the encoded bytes match the golden file, and returns its bytes.
fn assert_golden(name: &str, encoded: &[u8]) -> Vec<u8> {
    if std::env::var("GOLDEN_WRITE").as_deref() == Ok("1") {
        std::fs::write(golden_path(name), encoded).expect("a golden file is written");
    }
    let golden = read_golden(name);
    assert_eq!(
        encoded.escape_ascii().to_string(),
        golden.escape_ascii().to_string(),
        "{name}: the encoded bytes (left) differ from the golden file (right)"
    );
    golden
}

/// Asserts that the operators' settings are decoded to `expected`, also after re-encoding them.
fn assert_settings(name: &str, expected: &Dependencies) {
    let golden = String::from_utf8(read_golden(name)).expect("text");
    let decoded: Dependencies = json5::from_str(&golden).expect("the golden file is decoded");
    assert_eq!(decoded, *expected, "{name}");
    let encoded = serde_json::to_string(expected).expect("it is encoded");
    let decoded: Dependencies = json5::from_str(&encoded).expect("it is decoded again");
    assert_eq!(decoded, *expected, "{name}, re-encoded");
}

/// Asserts that the reports match the golden file, in JSON as on the control socket.
fn assert_report(name: &str, reports: &[Report]) {
    let value = serde_json::to_value(reports).expect("a value");
    let golden = assert_golden(name, value.to_string().as_bytes());
    let decoded: Value = serde_json::from_slice(&golden).expect("JSON");
    assert_eq!(decoded.to_string(), value.to_string(), "{name}");
}

// The operators' settings.

fn filled_dependencies() -> BTreeMap<String, Dependency> {
    let server = |address: &str, zone: &str, weight: f64| ServerConfig {
        address: address.into(),
        zone: zone.into(),
        weight,
    };
    let catalogue = Dependency {
        servers: vec![
            server("127.0.0.1:5441", "garching", 1.5),
            server("127.0.0.1:5442", "erlangen", 2.5),
        ],
        max_ejected_share: 0.375,
        subset_size: Some(1),
        fallback_dependency: Some("thumbs".into()),
    };
    let thumbs = Dependency {
        servers: vec![server("127.0.0.1:5451", "munich", 3.5)],
        max_ejected_share: 0.625,
        subset_size: Some(2),
        fallback_dependency: None,
    };
    BTreeMap::from([("catalogue".into(), catalogue), ("thumbs".into(), thumbs)])
}

fn filled_operations() -> BTreeMap<String, Operation> {
    let catalogue = Call {
        dependency: "catalogue".into(),
        deadline_share: Some(0.25),
        is_required: true,
        value_loss: 0.125,
        fallback: Fallback::Nothing,
    };
    let fixed = Call {
        dependency: "thumbs".into(),
        deadline_share: Some(0.3125),
        is_required: false,
        value_loss: 0.1875,
        fallback: Fallback::Fixed("no picture".into()),
    };
    let cached = Call {
        dependency: "thumbs".into(),
        deadline_share: Some(0.4375),
        is_required: false,
        value_loss: 0.0625,
        fallback: Fallback::Cached {
            max_age_seconds: 60.5,
        },
    };
    let page = Operation {
        calls: vec![catalogue, fixed, cached],
        is_concurrent: false,
    };
    let search = Operation {
        calls: Vec::new(),
        is_concurrent: true, // decoded, though `check` rejects it
    };
    BTreeMap::from([("page".into(), page), ("search".into(), search)])
}

#[test]
fn settings_with_every_field() {
    let expected = Dependencies {
        zone: "garching".into(),
        dependencies: filled_dependencies(),
        operations: filled_operations(),
    };
    assert_settings("settings_filled.json", &expected);
}

/// Omitted optional fields get their defaults.
#[test]
fn settings_with_only_required_fields() {
    let expected = Dependencies {
        zone: String::new(),
        dependencies: BTreeMap::from([(
            "catalogue".into(),
            Dependency {
                servers: vec![ServerConfig {
                    address: "127.0.0.1:5441".into(),
                    zone: String::new(),
                    weight: 1.0,
                }],
                max_ejected_share: 0.5,
                subset_size: None,
                fallback_dependency: None,
            },
        )]),
        operations: BTreeMap::from([(
            "page".into(),
            Operation {
                calls: vec![Call {
                    dependency: "catalogue".into(),
                    deadline_share: None,
                    is_required: false,
                    value_loss: 0.0,
                    fallback: Fallback::Nothing,
                }],
                is_concurrent: false,
            },
        )]),
    };
    assert_settings("settings_short.json5", &expected);
    let empty: Dependencies = json5::from_str("{}").expect("nothing is required");
    assert_eq!(empty, Dependencies::default());
}

// Reports.

#[test]
fn report_with_every_field() {
    let counters = Counters {
        calls: 101,
        attempts: 102,
        succeeded: 103,
        retries: 104,
        hedges: 105,
        hedges_won: 106,
        hedges_lost: 107,
        degraded: 108,
        not_made: 109,
        timed_out: 110,
    };
    let ejected = ServerReport {
        address: "127.0.0.1:5441".into(),
        zone: "garching".into(),
        health: "out",
        ejection_reason: Some("slower than its peers"),
        in_flight: 3,
        concurrency_limit: Some(17.0),
        mean_ms: Some(12.375),
        failure_rate: 0.125,
    };
    let unmeasured = ServerReport {
        address: "127.0.0.1:5442".into(),
        zone: "erlangen".into(),
        health: "in",
        ejection_reason: None,
        in_flight: 0,
        concurrency_limit: None,
        mean_ms: None,
        failure_rate: 0.0,
    };
    let report = Report {
        name: "catalogue".into(),
        is_failing: true,
        concurrency_limit: 32.5,
        in_flight: 21,
        waiting: 22,
        retry_tokens: 9.25,
        counters,
        servers: vec![ejected, unmeasured],
    };
    assert_report("report.json", &[report]);
}

/// The report of a router that has made no calls.
#[test]
fn report_of_a_new_router() {
    let text = "{zone: 'garching', dependencies: {
        catalogue: {servers: [{address: '127.0.0.1:5441', zone: 'garching'}, {address: '127.0.0.1:5442'}]},
        thumbs: {servers: [{address: '127.0.0.1:5451', zone: 'erlangen'}]},
    }}";
    let settings: Dependencies = json5::from_str(text).expect("settings");
    settings.check().expect("valid settings");
    let router = Router::new(0.0, settings, "n1");
    assert_report("report_new.json", &router.report());
}

/// Makes calls to servers of which two mostly fail, one is slow and the others succeed, until
/// ejected servers have been probed. Returns the states in the reports with their reasons.
fn reported_states() -> BTreeSet<(String, Option<String>)> {
    let servers: Vec<String> = (1..=8)
        .map(|port| format!("{{address: '127.0.0.1:{port}'}}"))
        .collect();
    let text = format!(
        "{{dependencies: {{catalogue: {{servers: [{}]}}}}, operations: {{page: {{calls: [{{to: 'catalogue'}}]}}}}}}",
        servers.join(", ")
    );
    let settings: Dependencies = json5::from_str(&text).expect("settings");
    let mut router = Router::new(0.0, settings, "n1");
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut now = 0.0;
    let mut attempts = 0;
    let mut states = BTreeSet::new();
    for _ in 0..200 {
        for _ in 0..24 {
            let request = CallRequest {
                operation: "page",
                call_index: 0,
                named_dependency: None,
                max_wait_seconds: 10.0,
                remaining_seconds: Some(10.0),
                effect: Effect::NonIdempotent, // no hedged requests
                payload: b"request",
            };
            router.start_call(now, &request, &mut || random.random());
        }
        while let Some(action) = router.poll_action() {
            let Action::Attempt {
                attempt_id, server, ..
            } = action
            else {
                continue;
            };
            attempts += 1;
            let (delay_seconds, outcome) = match server.as_str() {
                "127.0.0.1:1" | "127.0.0.1:2" if attempts % 3 > 0 => (0.0, AttemptOutcome::Refused),
                "127.0.0.1:3" => (0.05, AttemptOutcome::Succeeded),
                _ => (0.0, AttemptOutcome::Succeeded),
            };
            // A server is reported as probing while the attempt is in flight.
            states.extend(states_of(&router));
            let random = &mut || random.random();
            router.attempt_ended(
                now + 0.01 + delay_seconds,
                attempt_id,
                outcome,
                b"reply",
                random,
            );
            states.extend(states_of(&router));
        }
        now += 0.1;
    }
    states
}

fn states_of(router: &Router) -> BTreeSet<(String, Option<String>)> {
    let servers = router
        .report()
        .into_iter()
        .flat_map(|report| report.servers);
    let state = |server: ServerReport| {
        (
            server.health.into(),
            server.ejection_reason.map(str::to_owned),
        )
    };
    servers.map(state).collect()
}

#[test]
fn names_of_server_states_and_reasons() {
    let states = serde_json::to_string(&reported_states()).expect("it is encoded");
    let golden = assert_golden("server_states.json", states.as_bytes());
    let decoded: BTreeSet<(String, Option<String>)> =
        serde_json::from_slice(&golden).expect("the golden file is decoded");
    let expected = [
        ("in", None),
        ("on trial", None),
        ("out", Some("fails more than its peers")),
        ("out", Some("its trial failed")),
        ("out", Some("slower than its peers")),
    ];
    let expected = expected.map(|(state, reason)| (state.to_owned(), reason.map(str::to_owned)));
    assert_eq!(decoded, BTreeSet::from(expected));
}

// Subsets, which must be the same in all versions.

/// The subset of an instance depends only on its name and the addresses. An upgrade that chose a
/// different subset would shift load between servers.
#[test]
fn subset_of_an_instance() {
    let servers: Vec<String> = (1..=9)
        .map(|port| format!("{{address: '10.0.0.1:{port}'}}"))
        .collect();
    let text = format!(
        "{{dependencies: {{catalogue: {{servers: [{}], subset: 3}}}}}}",
        servers.join(", ")
    );
    let settings: Dependencies = json5::from_str(&text).expect("settings");
    let chosen = |instance: &str| {
        let router = Router::new(0.0, settings.clone(), instance);
        let servers = router
            .report()
            .into_iter()
            .flat_map(|report| report.servers);
        servers.map(|server| server.address).collect::<Vec<_>>()
    };
    let all: BTreeMap<&str, Vec<String>> = ["n0", "n1", "n2", "workers-17"]
        .into_iter()
        .map(|instance| (instance, chosen(instance)))
        .collect();
    let encoded = serde_json::to_string(&all).expect("it is encoded");
    assert_golden("chosen_servers.json", encoded.as_bytes());
}
