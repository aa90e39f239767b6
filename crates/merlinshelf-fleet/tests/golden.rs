//! Golden files of what this package's types are stored and read as: the record that outlives the agent, the operators' `fleet.json5`
//! and the words that the agent's replies name states by. Where the code encodes a form, its values encode to the golden bytes; each
//! golden file that is decoded decodes to the expected values.
//!
//! The files lie in `tests/golden`. `GOLDEN_WRITE=1 cargo test -p merlinshelf-fleet --test golden` writes those that the code encodes
//! as it stands: for a new form alone, since a changed file is a broken upgrade. Operators write `fleet.json5`, so that its golden
//! files are kept by hand.

use std::collections::BTreeMap;
use std::fmt::{Debug, Write as _};
use std::path::{Path, PathBuf};

use garde::Validate;
use merlinshelf_fleet::fleet_spec::{Change, ConsensusConfig, Restarts};
use merlinshelf_fleet::history::History;
use merlinshelf_fleet::plan::{Kind, Stage, Target};
use merlinshelf_fleet::record::InstanceRecord;
use merlinshelf_fleet::{FleetSpec, Group, Host, Identity, Plan, PlanState, Record, State};
use merlinshelf_policy::document::{DependencyPolicy, OperationPolicy};
use merlinshelf_policy::{LeaseExpiryMode, Policy};
use merlinshelf_quota as quota;
use serde_json::{Value, json};

fn golden_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file)
}

fn read_golden(file: &str) -> String {
    let path = golden_path(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn write_golden_where_wanted(file: &str, text: &str) {
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        std::fs::write(golden_path(file), text).expect("the golden file can be written");
    }
}

/// Bytes as lines of sixteen, in hexadecimal and as text.
fn hex_dump(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(16) {
        let hex: Vec<String> = line.iter().map(|byte| format!("{byte:02x}")).collect();
        let printable = |byte: &u8| {
            if byte.is_ascii_graphic() {
                char::from(*byte)
            } else {
                '.'
            }
        };
        let ascii: String = line.iter().map(printable).collect();
        let _ = writeln!(text, "{:<47}  |{ascii}|", hex.join(" "));
    }
    text
}

/// The bytes of a dump.
fn parse_hex_dump(text: &str) -> Vec<u8> {
    let columns = text.lines().filter_map(|line| line.split("  |").next());
    let words = columns.flat_map(str::split_whitespace);
    words
        .map(|word| u8::from_str_radix(word, 16).expect("a hexadecimal byte"))
        .collect()
}

/// Compares labelled values of a binary form with its golden file, both ways.
fn check_form<T: Debug + PartialEq>(
    file: &str,
    samples: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let sections = samples
        .iter()
        .map(|(label, value)| format!("# {label}\n{}", hex_dump(&encode(value))));
    write_golden_where_wanted(file, &sections.collect::<Vec<_>>().join("\n"));
    let text = read_golden(file);
    let sections: Vec<(&str, &str)> = text
        .split("# ")
        .skip(1)
        .map(|section| section.split_once('\n').expect("a label and a dump"))
        .collect();
    let labels: Vec<&str> = sections.iter().map(|(label, _)| *label).collect();
    let expected: Vec<&str> = samples.iter().map(|(label, _)| *label).collect();
    assert_eq!(labels, expected, "samples of {file}");
    for ((label, value), (_, dump)) in samples.iter().zip(sections) {
        assert_eq!(
            decode(&parse_hex_dump(dump)),
            *value,
            "{file}: decoding {label}"
        );
        assert_eq!(
            hex_dump(&encode(value)),
            dump.trim_end().to_owned() + "\n",
            "{file}: encoding {label}"
        );
    }
}

fn target(name: &str, stage: Stage, before: Option<f64>) -> Target {
    Target {
        name: name.into(),
        stage,
        before,
    }
}

fn plan(number: u64, kind: Kind, state: PlanState, at_once: u32) -> Option<Plan> {
    let targets = vec![
        target("web.0", Stage::Todo, None),
        target(
            "web.1",
            Stage::Under {
                program: "/before/1".into(),
            },
            Some(0.91),
        ),
        target(
            "web.2",
            Stage::Looking {
                program: "/before/2".into(),
                from: 92.5,
            },
            Some(0.93),
        ),
        target(
            "web.3",
            Stage::Done {
                program: "/before/3".into(),
            },
            Some(0.94),
        ),
        target("web.4", Stage::Back, Some(0.95)),
        target("web.5", Stage::Left("it does not start".into()), None),
    ];
    Some(Plan {
        number,
        kind,
        targets,
        state,
        at_once,
    })
}

#[test]
fn record_that_outlives_the_agent() {
    let mut history = History::default();
    history.note(1_700_000_001.25, Some("web.0"), "started as process 31");
    history.note(1_700_000_002.5, None, "plan 41: upgrade of 6");
    let complete = Record {
        instances: BTreeMap::from([
            (
                "web.0".to_owned(),
                InstanceRecord {
                    identity: Some(Identity {
                        pid: 31,
                        started: 0x3200_0000_0032,
                    }),
                    program: "/programs/33".into(),
                    down: true,
                    told: false,
                    crashes_in_a_row: 34,
                },
            ),
            (
                "web.1".to_owned(),
                InstanceRecord {
                    identity: None,
                    program: "/programs/35".into(),
                    down: false,
                    told: true,
                    crashes_in_a_row: 36,
                },
            ),
        ]),
        counts: BTreeMap::from([("web".to_owned(), 37)]),
        programs: BTreeMap::from([("web".to_owned(), "/programs/38".to_owned())]),
        plan: plan(
            41,
            Kind::Upgrade {
                program: "/programs/42".into(),
            },
            PlanState::Running,
            43,
        ),
        plans: 44,
        history,
    };
    let with_plan = |plan| Record {
        plan,
        plans: 45,
        ..Record::default()
    };
    let samples = [
        ("every field; upgrade, running", complete),
        (
            "start, waiting",
            with_plan(plan(
                51,
                Kind::Start,
                PlanState::Waiting("capacity".into()),
                52,
            )),
        ),
        (
            "drain, paused",
            with_plan(plan(
                53,
                Kind::Drain { within: None },
                PlanState::Paused,
                54,
            )),
        ),
        (
            "drain within a time, going back",
            with_plan(plan(
                55,
                Kind::Drain { within: Some(56.5) },
                PlanState::GoingBack("worse".into()),
                57,
            )),
        ),
        (
            "restart, done",
            with_plan(plan(58, Kind::Restart, PlanState::Done, 59)),
        ),
        (
            "restart, stopped",
            with_plan(plan(
                60,
                Kind::Restart,
                PlanState::Stopped("abandoned".into()),
                61,
            )),
        ),
        ("no plan", with_plan(None)),
    ];
    // As `merlinshelf-agent` keeps it, inside its own frame.
    let encode =
        |record: &Record| rmp_serde::to_vec_named(record).expect("a record can be encoded");
    check_form("record.hex", &samples, encode, |bytes| {
        rmp_serde::from_slice(bytes).expect("a record")
    });
}

/// Reads a golden `fleet.json5` as the agent does.
fn read_spec(file: &str) -> FleetSpec {
    let spec: FleetSpec =
        json5::from_str(&read_golden(file)).unwrap_or_else(|error| panic!("{file}: {error}"));
    spec.validate()
        .unwrap_or_else(|report| panic!("{file}: {report}"));
    spec
}

fn map<K: Ord, V, const N: usize>(entries: [(K, V); N]) -> BTreeMap<K, V> {
    BTreeMap::from(entries)
}

#[test]
fn fleet_spec_with_every_key() {
    let thumbnail = OperationPolicy {
        admit: Some(false),
        aim_ms: Some(1700.5),
        worth: Some(2.5),
        late: Some(0.25),
        calls: map([("catalogue".to_owned(), 0.75)]),
    };
    let catalogue = [
        (quota::CallKind::Retry, 21),
        (quota::CallKind::Probe, 22),
        (quota::CallKind::FirstCall, 23),
        (quota::CallKind::NewConnection, 24),
    ];
    let base = Policy {
        note: "the base policy".into(),
        operations: map([("thumbnail".to_owned(), thumbnail)]),
        tenants: map([("video".to_owned(), 0.4), ("17".to_owned(), 0.3)]),
        call_share: Some(6.25),
        dependencies: map([(
            "search".to_owned(),
            DependencyPolicy {
                out_most: Some(0.35),
                subset: Some(4),
            },
        )]),
        budgets: map([
            ("catalogue".to_owned(), map(catalogue)),
            (
                "callers".to_owned(),
                map([(quota::CallKind::NewConnection, 25)]),
            ),
        ]),
    };
    let council = ConsensusConfig {
        name: "b".into(),
        listen: "127.0.0.1:7701".into(),
        agents: map([
            ("a".to_owned(), "127.0.0.1:7700".to_owned()),
            ("b".to_owned(), "127.0.0.2:7701".to_owned()),
            ("c".to_owned(), "127.0.0.3:7702".to_owned()),
        ]),
        lease_ms: 2500,
        drift: 0.03,
        zone: "garching".into(),
        base,
        without: LeaseExpiryMode::RejectAll,
        watch_ms: 4400,
        worse: 0.06,
    };
    let web = Group {
        count: 12,
        program: "bin/merlinshelf".into(),
        config: "etc/web.json".into(),
        learning: true,
        listen: "127.0.0.1:6565".into(),
        engine: Some("127.0.0.1:9300".into()),
        weight: 1.5,
        labels: map([
            ("tier".to_owned(), "front".to_owned()),
            ("rack".to_owned(), "r7".to_owned()),
        ]),
        cores: 0.2,
        memory_mb: 65,
        descriptors: 385,
    };
    let expected = FleetSpec {
        folder: "run/fleet".into(),
        host: Host {
            memory_mb: 2048,
            cores: 12.5,
            descriptors: 9001,
        },
        change: Change {
            out_at_once: 3,
            floor: 0.625,
            warm_ms: 1100,
            warm_within_ms: 61_000,
            looked_ms: 3300,
            worse: 0.04,
        },
        restarts: Restarts {
            pause_ms: 510,
            pause_most_ms: 62_000,
            steady_ms: 63_000,
            at_once: 5,
            hangs_ms: 3400,
        },
        council: Some(council),
        groups: map([("web".to_owned(), web)]),
    };
    assert_eq!(read_spec("fleet_spec.json5"), expected);
}

#[test]
fn fleet_spec_with_defaults() {
    let council = ConsensusConfig {
        name: "a".into(),
        listen: "127.0.0.1:7700".into(),
        agents: map([("a".to_owned(), "127.0.0.1:7700".to_owned())]),
        lease_ms: 2000,
        drift: 0.02,
        zone: String::new(),
        base: Policy::default(),
        without: LeaseExpiryMode::BasePolicy,
        watch_ms: 0,
        worse: 0.05,
    };
    let web = Group {
        count: 2,
        program: "bin/merlinshelf".into(),
        config: "etc/web.json".into(),
        learning: false,
        listen: "127.0.0.1:6565".into(),
        engine: None,
        weight: 1.0,
        labels: BTreeMap::new(),
        cores: 0.1,
        memory_mb: 64,
        descriptors: 384,
    };
    let expected = FleetSpec {
        folder: "run/fleet".into(),
        host: Host {
            memory_mb: 16_384,
            cores: 64.0,
            descriptors: 65_536,
        },
        change: Change {
            out_at_once: 1,
            floor: 0.75,
            warm_ms: 1000,
            warm_within_ms: 60_000,
            looked_ms: 3000,
            worse: 0.02,
        },
        restarts: Restarts {
            pause_ms: 500,
            pause_most_ms: 60_000,
            steady_ms: 60_000,
            at_once: 4,
            hangs_ms: 3000,
        },
        council: Some(council),
        groups: map([("web".to_owned(), web)]),
    };
    assert_eq!(read_spec("fleet_spec_minimal.json5"), expected);
}

/// A key that nothing reads, as a renamed one would be to an operator's old file, is an error and no default.
#[test]
fn fleet_spec_with_an_unknown_key_is_refused() {
    let text = read_golden("fleet_spec.json5");
    let structs = [
        "memory_mb: 2048",
        "floor",
        "pause_ms",
        "zone",
        "note",
        "admit",
        "out_most",
        "probes",
        "weight",
        "folder",
    ];
    for key in structs {
        assert!(text.contains(key), "{key}");
        let renamed = text.replacen(key, &format!("unknown_{key}"), 1);
        assert!(
            json5::from_str::<FleetSpec>(&renamed).is_err(),
            "unknown_{key} is read"
        );
    }
}

/// The agent's replies on its control socket name states by these words, and tools compare them.
#[test]
fn words_of_the_replies() {
    let states = [
        State::Absent,
        State::Starting,
        State::Warming,
        State::Serving,
        State::Upgrading,
        State::Draining,
        State::Stopping,
        State::Failed,
        State::Adopted,
        State::Lost,
    ];
    let kinds = [
        Kind::Start,
        Kind::Drain { within: None },
        Kind::Drain { within: Some(1.5) },
        Kind::Restart,
        Kind::Upgrade {
            program: "/programs/1".into(),
        },
    ];
    let plan_states = [
        PlanState::Running,
        PlanState::Waiting("capacity".into()),
        PlanState::Paused,
        PlanState::GoingBack("worse".into()),
        PlanState::Done,
        PlanState::Stopped("abandoned".into()),
    ];
    let words = json!({
        "instance states": states.map(State::name),
        "plan kinds": kinds.each_ref().map(Kind::name),
        "plan states": plan_states.each_ref().map(PlanState::text),
        "plan states that are over": plan_states.each_ref().map(PlanState::is_over),
    });
    let file = "reply_words.json";
    write_golden_where_wanted(file, &format!("{words:#}\n"));
    let golden: Value = serde_json::from_str(&read_golden(file)).expect("JSON");
    assert_eq!(words, golden);
    // As serialized, a state of an instance has the same name.
    let serialized = serde_json::to_value(states).expect("states can be encoded");
    assert_eq!(serialized, golden["instance states"]);
    let read: Vec<State> = serde_json::from_value(serialized).expect("states");
    assert_eq!(read, states);
}
