//! Golden files of every form of this package that outlives a process or passes between two: the operators' settings of
//! dependencies (a section of their file, in JSON5), the report of how dependencies stand (JSON over the control socket), and
//! which servers an instance chooses, which all versions must choose alike.
//!
//! In an upgrade nothing of this package is handed over: of calls under way the names of dependencies, addresses of servers
//! and numbers pass in the records of `merlinshelf-handover`, and the successor begins with a new router.
//!
//! A report is encoded as the program encodes it and must give the bytes of its file under `tests/golden/`. No program
//! writes the operators' settings: kept files must be read as the expected values, whatever form a later version would write
//! them in. Every field of a sample has a value of its own that is not the default, so that a field that is lost by another
//! name shows. A test that fails here means that operators' files or tools of an earlier version are misunderstood.
//! `GOLDEN_WRITE=1` writes what the program encodes anew; without it a missing file is a failure.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use merlinshelf_dependencies::config::{Call, Dependency, Fallback, Operation, ServerConfig};
use merlinshelf_dependencies::counts::Counts;
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

/// The bytes of a golden file, which must be those that were encoded now.
fn assert_golden(name: &str, encoded: &[u8]) -> Vec<u8> {
    if std::env::var("GOLDEN_WRITE").as_deref() == Ok("1") {
        std::fs::write(golden_path(name), encoded).expect("a golden file is written");
    }
    let golden = read_golden(name);
    assert_eq!(
        encoded.escape_ascii().to_string(),
        golden.escape_ascii().to_string(),
        "{name}: the encoded form (left) is another than that of the golden file (right)"
    );
    golden
}

/// Operators' settings, which must be read as `expected`, and still after they were written and read once more.
fn assert_settings(name: &str, expected: &Dependencies) {
    let golden = String::from_utf8(read_golden(name)).expect("text");
    let decoded: Dependencies = json5::from_str(&golden).expect("the golden file is decoded");
    assert_eq!(decoded, *expected, "{name}");
    let encoded = serde_json::to_string(expected).expect("it is encoded");
    let decoded: Dependencies = json5::from_str(&encoded).expect("it is decoded again");
    assert_eq!(decoded, *expected, "{name}, written anew");
}

/// JSON as the control socket gives it.
fn assert_report(name: &str, reports: &[Report]) {
    let value = serde_json::to_value(reports).expect("a value");
    let golden = assert_golden(name, value.to_string().as_bytes());
    let decoded: Value = serde_json::from_slice(&golden).expect("JSON");
    assert_eq!(decoded.to_string(), value.to_string(), "{name}");
}

// The operators' settings.

#[test]
fn settings_with_every_field() {
    let server = |address: &str, zone: &str, weight: f64| ServerConfig {
        address: address.into(),
        zone: zone.into(),
        weight,
    };
    let call = |to: &str, share: f64, needed: bool, cost: f64, instead: Fallback| Call {
        to: to.into(),
        share: Some(share),
        needed,
        cost,
        instead,
    };
    let fixed = Fallback::Fixed("no picture".into());
    let expected = Dependencies {
        zone: "garching".into(),
        dependencies: BTreeMap::from([
            (
                "catalogue".into(),
                Dependency {
                    servers: vec![
                        server("127.0.0.1:5441", "garching", 1.5),
                        server("127.0.0.1:5442", "erlangen", 2.5),
                    ],
                    out_most: 0.375,
                    subset: Some(1),
                    instead: Some("thumbs".into()),
                },
            ),
            (
                "thumbs".into(),
                Dependency {
                    servers: vec![server("127.0.0.1:5451", "munich", 3.5)],
                    out_most: 0.625,
                    subset: Some(2),
                    instead: None,
                },
            ),
        ]),
        operations: BTreeMap::from([
            (
                "page".into(),
                Operation {
                    calls: vec![
                        call("catalogue", 0.25, true, 0.125, Fallback::Nothing),
                        call("thumbs", 0.3125, false, 0.1875, fixed),
                        call(
                            "thumbs",
                            0.4375,
                            false,
                            0.0625,
                            Fallback::Kept { within_s: 60.5 },
                        ),
                    ],
                    at_once: false,
                },
            ),
            (
                "search".into(),
                Operation {
                    calls: Vec::new(),
                    at_once: true, // read, though `check` turns it down up to now
                },
            ),
        ]),
    };
    assert_settings("settings_filled.json", &expected);
}

/// What may be left out, and what stands for it.
#[test]
fn settings_with_required_fields_alone() {
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
                out_most: 0.5,
                subset: None,
                instead: None,
            },
        )]),
        operations: BTreeMap::from([(
            "page".into(),
            Operation {
                calls: vec![Call {
                    to: "catalogue".into(),
                    share: None,
                    needed: false,
                    cost: 0.0,
                    instead: Fallback::Nothing,
                }],
                at_once: false,
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
    let counts = Counts {
        calls: 101,
        attempts: 102,
        succeeded: 103,
        again: 104,
        hedges: 105,
        hedges_won: 106,
        hedges_lost: 107,
        lesser: 108,
        not_made: 109,
        out_of_time: 110,
    };
    let ejected = ServerReport {
        address: "127.0.0.1:5441".into(),
        zone: "garching".into(),
        state: "out",
        why: Some("slower than its peers"),
        open: 3,
        limit: Some(17.0),
        mean_ms: Some(12.375),
        failures: 0.125,
    };
    let unmeasured = ServerReport {
        address: "127.0.0.1:5442".into(),
        zone: "erlangen".into(),
        state: "in",
        why: None,
        open: 0,
        limit: None,
        mean_ms: None,
        failures: 0.0,
    };
    let report = Report {
        name: "catalogue".into(),
        fails: true,
        limit: 32.5,
        open: 21,
        waiting: 22,
        attempts_left: 9.25,
        counts,
        servers: vec![ejected, unmeasured],
    };
    assert_report("report.json", &[report]);
}

/// A report of a router that has made no call.
#[test]
fn report_of_a_new_router() {
    let text = "{zone: 'garching', dependencies: {
        catalogue: {servers: [{address: '127.0.0.1:5441', zone: 'garching'}, {address: '127.0.0.1:5442'}]},
        thumbs: {servers: [{address: '127.0.0.1:5451', zone: 'erlangen'}]},
    }}";
    let settings: Dependencies = json5::from_str(text).expect("settings");
    settings.check().expect("it holds together");
    let router = Router::new(0.0, settings, "n1");
    assert_report("report_new.json", &router.report());
}

/// Makes rounds of calls to servers of which two fail mostly, one is slow and the others do well, until those that are out
/// have been tried again; which states the reports gave, with their reasons.
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
    let (mut now, mut attempts, mut states) = (0.0, 0, BTreeSet::new());
    for _ in 0..200 {
        for _ in 0..24 {
            let ask = CallRequest {
                operation: "page",
                place: 0,
                named: None,
                wait: 10.0,
                left: Some(10.0),
                effect: Effect::NonIdempotent, // no hedged requests
                question: b"question",
            };
            router.ask(now, &ask, &mut || random.random());
        }
        while let Some(step) = router.next_step() {
            let Action::Attempt {
                attempt, server, ..
            } = step
            else {
                continue;
            };
            attempts += 1;
            let (took, ended) = match server.as_str() {
                "127.0.0.1:1" | "127.0.0.1:2" if attempts % 3 > 0 => (0.0, AttemptOutcome::Refused),
                "127.0.0.1:3" => (0.05, AttemptOutcome::Succeeded),
                _ => (0.0, AttemptOutcome::Succeeded),
            };
            // While the attempt is open a server that is tried again shows as such.
            states.extend(states_of(&router));
            let random = &mut || random.random();
            router.ended(now + 0.01 + took, attempt, ended, b"reply", random);
            states.extend(states_of(&router));
        }
        now += 0.1;
    }
    states
}

fn states_of(router: &Router) -> BTreeSet<(String, Option<String>)> {
    let servers = router.report().into_iter().flat_map(|of| of.servers);
    let state = |server: ServerReport| (server.state.into(), server.why.map(str::to_owned));
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
    let expected = expected.map(|(state, why)| (state.to_owned(), why.map(str::to_owned)));
    assert_eq!(decoded, BTreeSet::from(expected));
}

// Chosen alike by all versions.

/// Which few of many servers an instance uses follows from its name and their addresses alone: an upgrade that chose others
/// would shift load between servers.
#[test]
fn servers_that_an_instance_chooses() {
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
        let servers = router.report().into_iter().flat_map(|of| of.servers);
        servers.map(|server| server.address).collect::<Vec<_>>()
    };
    let all: BTreeMap<&str, Vec<String>> = ["n0", "n1", "n2", "workers-17"]
        .into_iter()
        .map(|instance| (instance, chosen(instance)))
        .collect();
    let encoded = serde_json::to_string(&all).expect("it is encoded");
    assert_golden("chosen_servers.json", encoded.as_bytes());
}
