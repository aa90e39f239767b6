//! Golden files of all formats of this package that are stored or exchanged between processes: the
//! replicated state and the log entries (MessagePack with field names), the messages between an
//! instance and its agent (JSON over the control socket) and between agents (MessagePack with field
//! names), the policy document, and the handover state of an instance.
//!
//! Each sample must encode to the bytes of its file under `tests/golden/`, and these bytes must
//! decode to the sample. Every field of a sample has a distinct value that is not the default, so
//! that a field lost by a renaming is detected. The files are the format of deployed versions: a
//! failure means that two versions would misinterpret each other's data. `GOLDEN_WRITE=1` rewrites
//! the files; without it a missing file is a failure.

mod golden_samples;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::{Path, PathBuf};

use golden_samples::{
    AGENT_INCARNATION, BASE_FINGERPRINT, INSTANCE_INCARNATION, example_policy, filled_policy,
    filled_prepare_result, filled_quota_grants, filled_quota_requests, filled_state, rejection,
    short_policy,
};
use merlinshelf_policy::lease_holder::HandoverState;
use merlinshelf_policy::replicated_state::Stage;
use merlinshelf_policy::{
    Bootstrap, EffectivePolicy, Entry, Heartbeat, HostLeaseRequest, HostLeaseResponse,
    InstanceStatus, LeaseExpiryMode, LeaseGrant, LeaseHolder, Policy, PrepareResult,
    ReplicatedState, ServiceCounts, VersionedPolicy,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

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

/// Asserts that `encoded` matches a golden file; returns the bytes of the file.
fn assert_golden(name: &str, encoded: &[u8]) -> Vec<u8> {
    if std::env::var("GOLDEN_WRITE").as_deref() == Ok("1") {
        std::fs::write(golden_path(name), encoded).expect("the golden file can be written");
    }
    let golden = read_golden(name);
    assert_eq!(
        encoded.escape_ascii().to_string(),
        golden.escape_ascii().to_string(),
        "{name}: the encoded form (left) differs from the golden file (right)"
    );
    golden
}

/// JSON as on the control socket: encoded through a `Value`, decoded directly by an instance and
/// through a `Value` by an agent.
fn assert_json<T>(name: &str, sample: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let encoded = serde_json::to_value(sample).expect("a value").to_string();
    let golden = assert_golden(name, encoded.as_bytes());
    let decoded: T = serde_json::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(decoded, *sample, "{name}");
    let value: serde_json::Value = serde_json::from_slice(&golden).expect("JSON");
    let decoded: T = serde_json::from_value(value).expect("the golden file is decoded");
    assert_eq!(decoded, *sample, "{name}, through a value");
}

/// MessagePack with field names, as in the agents' log and between agents.
fn assert_message_pack<T>(name: &str, sample: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let encoded = rmp_serde::to_vec_named(sample).expect("it is encoded");
    let golden = assert_golden(name, &encoded);
    let decoded: T = rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(decoded, *sample, "{name}");
}

// The agents' log.

#[test]
fn state_with_a_change_in_preparation_matches_golden_file() {
    assert_message_pack("ledger_preparing.bin", &filled_state(Stage::Preparing));
}

#[test]
fn state_with_a_change_in_fencing_matches_golden_file() {
    assert_message_pack("ledger_fencing.bin", &filled_state(Stage::Fencing));
}

#[test]
fn state_of_a_new_installation_matches_golden_file() {
    assert_message_pack("ledger_new.bin", &ReplicatedState::default());
}

#[test]
fn log_entries_match_golden_files() {
    assert_message_pack(
        "entry_found.bin",
        &Entry::Bootstrap(Bootstrap {
            lease_ms: 2500,
            base_fingerprint: BASE_FINGERPRINT,
        }),
    );
    assert_message_pack(
        "entry_propose.bin",
        &Entry::Propose {
            change_id: "change-of-tuesday".into(),
            policy: Box::new(filled_policy()),
            proposed_by: "operations".into(),
            proposed_at: 1_764_576_000.25,
        },
    );
    assert_message_pack(
        "entry_decide.bin",
        &Entry::Decide {
            version: 12,
            accepted: true,
            rejections: vec![rejection("n7", "no such tenant")],
        },
    );
    assert_message_pack("entry_open.bin", &Entry::Activate { version: 13 });
}

// Messages between an instance and its agent.

#[test]
fn heartbeats_match_golden_files() {
    let grant = LeaseGrant {
        version: 22,
        requested_at: 1021.5,
        duration_seconds: 1.625,
    };
    assert_json(
        "beat.json",
        &Heartbeat {
            incarnation: INSTANCE_INCARNATION,
            offered_policy: Some((23, filled_policy()).into()),
            fence_version: 21,
            grant: Some(grant),
            quota_grants: Some(filled_quota_grants()),
        },
    );
    assert_json("beat_empty.json", &Heartbeat::default());
}

#[test]
fn instance_statuses_match_golden_files() {
    assert_json(
        "said.json",
        &InstanceStatus {
            incarnation: INSTANCE_INCARNATION,
            reported_at: 1022.25,
            fenced_version: 21,
            known_versions: vec![22, 23],
            rejected_version: Some((24, "no such dependency".to_owned()).into()),
            effective_version: Some(22),
            lease_remaining_seconds: 1.375,
            base_fingerprint: BASE_FINGERPRINT,
            quota_requests: Some(filled_quota_requests()),
        },
    );
    assert_json("said_empty.json", &InstanceStatus::default());
}

// Messages between agents.

#[test]
fn host_lease_requests_match_golden_files() {
    assert_message_pack(
        "host_ask.bin",
        &HostLeaseRequest {
            host: "h2".into(),
            incarnation: AGENT_INCARNATION,
            request_id: 41,
            fenced_version: 42,
            prepare_result: Some(filled_prepare_result()),
            service_counts: ServiceCounts {
                invocations: 43,
                succeeded: 44,
            },
            quota_requests: Some(filled_quota_requests()),
        },
    );
    assert_message_pack("host_ask_empty.bin", &HostLeaseRequest::default());
}

#[test]
fn host_lease_responses_match_golden_files() {
    assert_message_pack(
        "host_word.bin",
        &HostLeaseResponse {
            incarnation: AGENT_INCARNATION,
            request_id: 45,
            granted_version: 46,
            quota_grants: Some(filled_quota_grants()),
        },
    );
    assert_message_pack("host_word_empty.bin", &HostLeaseResponse::default());
}

/// A field that an older version does not send is decoded as its default, and an unknown field of a
/// newer version is ignored.
#[test]
fn messages_tolerate_missing_and_unknown_fields() {
    fn assert_tolerant<T>(name: &str)
    where
        T: DeserializeOwned + Default + PartialEq + Debug,
    {
        let texts = ["{}", r#"{"of_a_later_version": [1, {"nested": true}]}"#];
        for text in texts {
            let decoded: T = serde_json::from_str(text).expect(name);
            assert_eq!(decoded, T::default(), "{name}");
            let value: serde_json::Value = serde_json::from_str(text).expect("JSON");
            let packed = rmp_serde::to_vec_named(&value).expect("MessagePack");
            let decoded: T = rmp_serde::from_slice(&packed).expect(name);
            assert_eq!(decoded, T::default(), "{name}");
        }
    }
    assert_tolerant::<Heartbeat>("Heartbeat");
    assert_tolerant::<LeaseGrant>("LeaseGrant");
    assert_tolerant::<InstanceStatus>("InstanceStatus");
    assert_tolerant::<HostLeaseRequest>("HostLeaseRequest");
    assert_tolerant::<PrepareResult>("PrepareResult");
    assert_tolerant::<HostLeaseResponse>("HostLeaseResponse");
    assert_tolerant::<ReplicatedState>("ReplicatedState");
    assert_tolerant::<HandoverState>("HandoverState");
}

// The policy document.

#[test]
fn policy_with_all_fields_matches_golden_file() {
    assert_json("policy_filled.json", &filled_policy());
    let text = String::from_utf8(read_golden("policy_filled.json")).expect("text");
    let decoded: Policy = json5::from_str(&text).expect("it is valid JSON5");
    assert_eq!(decoded, filled_policy());
}

#[test]
fn policy_without_budgets_matches_golden_file() {
    assert_json("policy_short.json", &short_policy("short", 6.5));
}

/// The example policy of earlier versions and that of this one must both be readable, since
/// operators base their documents on them.
#[test]
fn example_policies_of_all_versions_can_be_read() {
    let earlier = String::from_utf8(read_golden("policy_example.json5")).expect("text");
    let decoded: Policy = json5::from_str(&earlier).expect("the earlier example is read");
    assert_eq!(decoded, example_policy());
    let current = include_str!("../../../deploy/policy.json5");
    let decoded: Policy = json5::from_str(current).expect("the example is read");
    assert_eq!(decoded, example_policy());
}

/// Agents of different versions compare the fingerprints of their base policies, and the
/// fingerprint of the installation is stored in the log.
#[test]
fn policy_fingerprints_match_golden_file() {
    let without_budgets = Policy {
        budgets: BTreeMap::new(),
        ..filled_policy()
    };
    let fingerprints = [
        ("empty", Policy::default()),
        ("example", example_policy()),
        ("filled", filled_policy()),
        ("without_budgets", without_budgets),
    ]
    .map(|(name, policy)| (name, format!("{:016x}", policy.fingerprint())));
    let encoded = serde_json::to_string(&BTreeMap::from(fingerprints)).expect("JSON");
    assert_golden("policy_fingerprints.json", encoded.as_bytes());
}

/// The modes are used in the operators' file of an instance (`policy.without`).
#[test]
fn lease_expiry_modes_match_golden_file() {
    assert_json(
        "without.json",
        &vec![LeaseExpiryMode::BasePolicy, LeaseExpiryMode::RejectAll],
    );
}

// State that is handed over in an upgrade.

#[test]
fn handover_state_matches_golden_file() {
    let base = short_policy("base", 8.5);
    let other = short_policy("the next one", 9.5);
    let drift = 0.125;
    let mut holder = LeaseHolder::new(
        INSTANCE_INCARNATION,
        base.clone(),
        LeaseExpiryMode::BasePolicy,
        drift,
    );
    let offer = |version: u64, policy: Policy, grant: Option<LeaseGrant>| Heartbeat {
        incarnation: INSTANCE_INCARNATION,
        offered_policy: Some(VersionedPolicy { version, policy }),
        grant,
        ..Heartbeat::default()
    };
    let grant = LeaseGrant {
        version: 7,
        requested_at: 2.0,
        duration_seconds: 8.0,
    };
    holder.handle_heartbeat(1.0, offer(7, filled_policy(), None), |_| Ok(()));
    holder.handle_heartbeat(3.0, offer(9, other.clone(), Some(grant)), |_| Ok(()));
    let handover_state = holder.begin_handover(INSTANCE_INCARNATION + 1);
    assert_message_pack("passed.bin", &handover_state);
    assert_message_pack("passed_empty.bin", &HandoverState::default());

    let golden = read_golden("passed.bin");
    let decoded: HandoverState =
        rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    let mut successor = LeaseHolder::new(
        INSTANCE_INCARNATION + 2,
        base.clone(),
        LeaseExpiryMode::BasePolicy,
        drift,
    );
    successor.resume(decoded);
    let expected = InstanceStatus {
        incarnation: INSTANCE_INCARNATION + 2,
        reported_at: 4.0,
        fenced_version: 6,
        known_versions: vec![7, 9],
        rejected_version: None,
        effective_version: Some(7),
        lease_remaining_seconds: 5.0, // until 9.0: an eighth of the 8 s is subtracted for drift
        base_fingerprint: base.fingerprint(),
        quota_requests: None,
    };
    assert_eq!(successor.status(4.0), expected);
    assert_eq!(
        *successor.policy(EffectivePolicy::Leased(7)),
        filled_policy()
    );
    assert_eq!(*successor.policy(EffectivePolicy::Leased(9)), other);
}
