//! Decoding and validation of the operators' `fleet.json5`.

use std::collections::BTreeMap;

use garde::Validate;
use merlinshelf_fleet::fleet_spec::{Change, ConsensusConfig, Restarts};
use merlinshelf_fleet::{FleetSpec, Group, Host};
use merlinshelf_policy::document::{DependencyPolicy, OperationPolicy};
use merlinshelf_policy::{LeaseExpiryMode, Policy};
use merlinshelf_quota::CallKind;

use crate::golden_file::read_golden;

/// Reads and validates a golden `fleet.json5` like the agent does.
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

/// The base policy in the golden file with every key.
fn base_policy() -> Policy {
    let thumbnail = OperationPolicy {
        admit: Some(false),
        aim_ms: Some(1700.5),
        worth: Some(2.5),
        late: Some(0.25),
        calls: map([("catalogue".to_owned(), 0.75)]),
    };
    let catalogue = [
        (CallKind::Retry, 21),
        (CallKind::Probe, 22),
        (CallKind::FirstCall, 23),
        (CallKind::NewConnection, 24),
    ];
    Policy {
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
            ("callers".to_owned(), map([(CallKind::NewConnection, 25)])),
        ]),
    }
}

/// The consensus group in the golden file with every key.
fn consensus_config() -> ConsensusConfig {
    ConsensusConfig {
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
        base: base_policy(),
        lease_expiry_mode: LeaseExpiryMode::RejectAll,
        watch_ms: 4400,
        worse: 0.06,
    }
}

#[test]
fn fleet_spec_with_every_key() {
    let web = Group {
        count: 12,
        program: "bin/merlinshelf".into(),
        config: "etc/web.json".into(),
        is_gossiping: true,
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
        council: Some(consensus_config()),
        groups: map([("web".to_owned(), web)]),
    };
    assert_eq!(read_spec("fleet_spec.json5"), expected);
}

#[test]
fn fleet_spec_with_defaults() {
    let consensus = ConsensusConfig {
        name: "a".into(),
        listen: "127.0.0.1:7700".into(),
        agents: map([("a".to_owned(), "127.0.0.1:7700".to_owned())]),
        lease_ms: 2000,
        drift: 0.02,
        zone: String::new(),
        base: Policy::default(),
        lease_expiry_mode: LeaseExpiryMode::BasePolicy,
        watch_ms: 0,
        worse: 0.05,
    };
    let web = Group {
        count: 2,
        program: "bin/merlinshelf".into(),
        config: "etc/web.json".into(),
        is_gossiping: false,
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
        council: Some(consensus),
        groups: map([("web".to_owned(), web)]),
    };
    assert_eq!(read_spec("fleet_spec_minimal.json5"), expected);
}

/// An unknown key is an error. If a key were renamed, the value in an operator's existing file would
/// otherwise be replaced by the default silently.
#[test]
fn fleet_spec_with_an_unknown_key_is_rejected() {
    let text = read_golden("fleet_spec.json5");
    let keys = [
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
    for key in keys {
        assert!(text.contains(key), "{key}");
        let renamed = text.replacen(key, &format!("unknown_{key}"), 1);
        assert!(
            json5::from_str::<FleetSpec>(&renamed).is_err(),
            "unknown_{key} is read"
        );
    }
}

/// Operators find a rejected value by the path in the error, which must consist of the file's keys.
#[test]
fn validation_errors_name_the_keys_of_the_file() {
    let text = read_golden("fleet_spec.json5");
    let values = [
        ("change.out_at_once", "out_at_once: 3", "out_at_once: 0"),
        ("change.worse", "worse: 0.04", "worse: 4"),
        ("council.worse", "worse: 0.06", "worse: 6"),
        ("restarts.at_once", "at_once: 5", "at_once: 0"),
        ("restarts.pause_ms", "pause_ms: 510", "pause_ms: 5"),
        ("groups.web.count", "count: 12", "count: 120000"),
    ];
    for (path, valid, invalid) in values {
        assert!(text.contains(valid), "{valid}");
        let spec: FleetSpec =
            json5::from_str(&text.replacen(valid, invalid, 1)).expect("a specification");
        let report = spec.validate().expect_err("an invalid value").to_string();
        assert!(report.starts_with(&format!("{path}: ")), "{report}");
    }
}
