//! Golden files of every form of this package that outlives a process or passes between two: the replicated state and the
//! log entries (MessagePack with field names), the messages between an instance and its agent (JSON over the control socket)
//! and between agents (MessagePack with field names), the policy document, and what is handed over in an upgrade.
//!
//! Each sample is encoded as the program encodes it and must give the bytes of its file under `tests/golden/`; those bytes
//! are decoded as the program decodes them and must give the sample. Every field of a sample has a value of its own that is
//! not the default, so that a field that is lost by another name shows. The files are the form of versions that are in
//! service: a test that fails here means that two versions would misunderstand each other. `GOLDEN_WRITE=1` writes the
//! files anew; without it a missing file is a failure.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::path::{Path, PathBuf};

use merlinshelf_policy::document::{DependencyPolicy, OperationPolicy};
use merlinshelf_policy::lease_holder::HandoverState;
use merlinshelf_policy::replicated_state::{Change, CompletedChange, Stage};
use merlinshelf_policy::{
    Bootstrap, ChangeOutcome, EffectivePolicy, Entry, Heartbeat, HostLeaseRequest,
    HostLeaseResponse, InstanceStatus, LeaseExpiryMode, LeaseGrant, LeaseHolder, Policy,
    PrepareResult, ReplicatedState,
};
use merlinshelf_quota::{
    CallKind, DependencyGrant, DependencyHealth, DependencyRequest, Phase, QuotaGrant,
    QuotaGrantBatch, QuotaRequest, QuotaRequestBatch,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Larger than what a JSON number holds as a 64-bit float: such numbers must come through whole.
const INSTANCE_LIFE: u64 = 7_201_234_567_890_123_457;
const AGENT_LIFE: u64 = 7_301_234_567_890_123_459;
const BASE_FINGERPRINT: u64 = 0xFEDC_BA98_7654_3211;

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

/// JSON as it passes over the control socket: written by way of a `Value`, read straight by an instance and by way of a
/// `Value` by an agent.
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
    assert_eq!(decoded, *sample, "{name}, by way of a value");
}

/// MessagePack with field names, as it stands in the agents' log and passes between agents.
fn assert_message_pack<T>(name: &str, sample: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let encoded = rmp_serde::to_vec_named(sample).expect("it is encoded");
    let golden = assert_golden(name, &encoded);
    let decoded: T = rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(decoded, *sample, "{name}");
}

// Samples.

/// A document that names everything that a policy can name.
fn filled_policy() -> Policy {
    Policy {
        note: "exam evenings".into(),
        operations: BTreeMap::from([(
            "playback-token".into(),
            OperationPolicy {
                admit: Some(false),
                aim_ms: Some(1200.5),
                worth: Some(4.25),
                late: Some(0.125),
                calls: BTreeMap::from([("catalogue".into(), 0.75)]),
            },
        )]),
        tenants: BTreeMap::from([("garching".into(), 0.625)]),
        call_share: Some(5.5),
        dependencies: BTreeMap::from([(
            "thumbs".into(),
            DependencyPolicy {
                out_most: Some(0.375),
                subset: Some(3),
            },
        )]),
        budgets: BTreeMap::from([(
            "catalogue".into(),
            BTreeMap::from([
                (CallKind::Retry, 24),
                (CallKind::Probe, 8),
                (CallKind::FirstCall, 240),
                (CallKind::NewConnection, 200),
            ]),
        )]),
    }
}

/// Another document, told from others by its note and one figure; it has no budgets, so that their key is absent.
fn short_policy(note: &str, call_share: f64) -> Policy {
    Policy {
        note: note.into(),
        call_share: Some(call_share),
        ..Policy::default()
    }
}

/// What `deploy/policy.json5` says.
fn example_policy() -> Policy {
    Policy {
        note: "exam evenings: playback first".into(),
        operations: BTreeMap::from([
            (
                "playback-token".into(),
                OperationPolicy {
                    aim_ms: Some(1200.0),
                    worth: Some(4.0),
                    ..OperationPolicy::default()
                },
            ),
            (
                "transcript-search".into(),
                OperationPolicy {
                    worth: Some(1.0),
                    late: Some(0.1),
                    ..OperationPolicy::default()
                },
            ),
        ]),
        call_share: Some(5.0),
        ..Policy::default()
    }
}

/// What is asked of budgets: all kinds of calls.
fn asked_of_budgets() -> QuotaRequestBatch {
    let claim = |token: u64| QuotaRequest {
        incarnation: 61,
        request_id: token,
        calls_needed: 62,
        priority_weight: 6.25,
        acknowledged_grant: (63, 64),
        calls_spent: 65,
    };
    QuotaRequestBatch {
        incarnation: 51,
        request_id: 52,
        zone: "erlangen".into(),
        dependencies: BTreeMap::from([(
            "catalogue".into(),
            DependencyRequest {
                health: DependencyHealth {
                    calling_instances: 53,
                    failing_instances: 54,
                    succeeded_calls: 55,
                    failed_calls: 56,
                },
                phase: Some(Phase::Recovering),
                requests: BTreeMap::from([
                    (CallKind::Retry, claim(71)),
                    (CallKind::Probe, claim(72)),
                    (CallKind::FirstCall, claim(73)),
                    (CallKind::NewConnection, claim(74)),
                ]),
            },
        )]),
    }
}

/// The answer to what is asked of budgets.
fn given_of_budgets() -> QuotaGrantBatch {
    let share = QuotaGrant {
        incarnation: 81,
        request_id: 82,
        allocator_id: 83,
        grant_number: 84,
        calls_per_second: 85,
        duration_seconds: 1.75,
    };
    QuotaGrantBatch {
        incarnation: 86,
        request_id: 87,
        dependencies: BTreeMap::from([(
            "catalogue".into(),
            DependencyGrant {
                phase: Some(Phase::Failing),
                grants: BTreeMap::from([(CallKind::Probe, share)]),
            },
        )]),
    }
}

fn filled_prepared() -> PrepareResult {
    PrepareResult {
        version: 31,
        ready_instances: 32,
        silent_instances: 33,
        rejections: vec![("n4".into(), "no such operation".into())],
    }
}

/// Replicated state with every field filled, and a change at this stage.
fn filled_ledger(stage: Stage) -> ReplicatedState {
    ReplicatedState {
        bootstrap: Some(Bootstrap {
            lease_ms: 2000,
            base_fingerprint: BASE_FINGERPRINT,
        }),
        last_version: 12,
        current_version: 11,
        policy: short_policy("the one that holds", 6.5),
        previous: Some((9, short_policy("the one before", 7.5))),
        pending_change: Some(Change {
            version: 12,
            change_id: "change-of-tuesday".into(),
            policy: filled_policy(),
            proposed_by: "operations".into(),
            proposed_at: 1_764_576_000.25,
            stage,
        }),
        completed_changes: VecDeque::from([
            CompletedChange {
                version: 10,
                change_id: "refused-one".into(),
                note: "too bold".into(),
                proposed_by: "somebody".into(),
                proposed_at: 1_764_400_000.5,
                outcome: ChangeOutcome::Rejected(vec![("n7".into(), "no such tenant".into())]),
            },
            CompletedChange {
                version: 11,
                change_id: "held-one".into(),
                note: "the one that holds".into(),
                proposed_by: "somebody else".into(),
                proposed_at: 1_764_500_000.75,
                outcome: ChangeOutcome::Committed,
            },
        ]),
    }
}

// The agents' log.

#[test]
fn replicated_state_with_a_change_that_is_judged() {
    assert_message_pack("ledger_preparing.bin", &filled_ledger(Stage::Preparing));
}

#[test]
fn replicated_state_with_a_change_that_is_fenced() {
    assert_message_pack("ledger_fencing.bin", &filled_ledger(Stage::Fencing));
}

#[test]
fn replicated_state_of_a_new_installation() {
    assert_message_pack("ledger_new.bin", &ReplicatedState::default());
}

#[test]
fn log_entries() {
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
            rejections: vec![("n7".into(), "no such tenant".into())],
        },
    );
    assert_message_pack("entry_open.bin", &Entry::Activate { version: 13 });
}

// Between an instance and its agent.

#[test]
fn heartbeat_from_an_agent_to_an_instance() {
    let grant = LeaseGrant {
        version: 22,
        requested_at: 1021.5,
        duration_seconds: 1.625,
    };
    assert_json(
        "beat.json",
        &Heartbeat {
            incarnation: INSTANCE_LIFE,
            offered_policy: Some((23, filled_policy())),
            fence_version: 21,
            grant: Some(grant),
            quota_grants: Some(given_of_budgets()),
        },
    );
    assert_json("beat_empty.json", &Heartbeat::default());
}

#[test]
fn answer_of_an_instance_to_a_heartbeat() {
    assert_json(
        "said.json",
        &InstanceStatus {
            incarnation: INSTANCE_LIFE,
            reported_at: 1022.25,
            fenced_version: 21,
            known_versions: vec![22, 23],
            rejected_version: Some((24, "no such dependency".into())),
            effective_version: Some(22),
            lease_remaining_seconds: 1.375,
            base_fingerprint: BASE_FINGERPRINT,
            quota_requests: Some(asked_of_budgets()),
        },
    );
    assert_json("said_empty.json", &InstanceStatus::default());
}

// Between agents.

#[test]
fn lease_request_of_a_host() {
    assert_message_pack(
        "host_ask.bin",
        &HostLeaseRequest {
            host: "h2".into(),
            incarnation: AGENT_LIFE,
            request_id: 41,
            fenced_version: 42,
            prepare_result: Some(filled_prepared()),
            service_counts: (43, 44),
            quota_requests: Some(asked_of_budgets()),
        },
    );
    assert_message_pack("host_ask_empty.bin", &HostLeaseRequest::default());
}

#[test]
fn lease_response_of_the_leader() {
    assert_message_pack(
        "host_word.bin",
        &HostLeaseResponse {
            incarnation: AGENT_LIFE,
            request_id: 45,
            granted_version: 46,
            quota_grants: Some(given_of_budgets()),
        },
    );
    assert_message_pack("host_word_empty.bin", &HostLeaseResponse::default());
}

/// What an older version does not know to say is taken as its default, and what a later one says beside it is passed over.
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
    assert_tolerant::<Heartbeat>("Beat");
    assert_tolerant::<LeaseGrant>("Grant");
    assert_tolerant::<InstanceStatus>("Said");
    assert_tolerant::<HostLeaseRequest>("HostAsk");
    assert_tolerant::<PrepareResult>("PrepareResult");
    assert_tolerant::<HostLeaseResponse>("HostWord");
    assert_tolerant::<ReplicatedState>("Ledger");
    assert_tolerant::<HandoverState>("Passed");
}

// The policy document.

#[test]
fn policy_document_with_every_field() {
    assert_json("policy_filled.json", &filled_policy());
    let text = String::from_utf8(read_golden("policy_filled.json")).expect("text");
    let read: Policy = json5::from_str(&text).expect("operators' form");
    assert_eq!(read, filled_policy());
}

#[test]
fn policy_document_without_budgets() {
    assert_json("policy_short.json", &short_policy("short", 6.5));
}

/// The file as it was given to operators up to now: documents that they wrote after it must still be read.
#[test]
fn policy_document_of_the_example() {
    let kept = String::from_utf8(read_golden("policy_example.json5")).expect("text");
    let read: Policy = json5::from_str(&kept).expect("the kept example is read");
    assert_eq!(read, example_policy());
    let shown = include_str!("../../../deploy/policy.json5");
    let read: Policy = json5::from_str(shown).expect("the example is read");
    assert_eq!(read, example_policy());
}

/// Agents of two versions compare the fingerprints of their base policies, and the log holds that of the installation.
#[test]
fn fingerprint_of_a_policy() {
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

/// As the operators' file of an instance writes it (`policy.without`).
#[test]
fn what_is_done_without_a_lease() {
    assert_json(
        "without.json",
        &vec![LeaseExpiryMode::BasePolicy, LeaseExpiryMode::RejectAll],
    );
}

// Handed over in an upgrade.

#[test]
fn lease_and_documents_that_a_successor_goes_on_with() {
    let base = short_policy("base", 8.5);
    let (drift, other) = (0.125, short_policy("the next one", 9.5));
    let mut holder = LeaseHolder::new(
        INSTANCE_LIFE,
        base.clone(),
        LeaseExpiryMode::BasePolicy,
        drift,
    );
    let offers = |number: u64, policy: Policy, grant: Option<LeaseGrant>| Heartbeat {
        incarnation: INSTANCE_LIFE,
        offered_policy: Some((number, policy)),
        grant,
        ..Heartbeat::default()
    };
    let grant = LeaseGrant {
        version: 7,
        requested_at: 2.0,
        duration_seconds: 8.0,
    };
    holder.handle_heartbeat(1.0, offers(7, filled_policy(), None), |_| Ok(()));
    holder.handle_heartbeat(3.0, offers(9, other.clone(), Some(grant)), |_| Ok(()));
    let handed_over = holder.begin_handover(INSTANCE_LIFE + 1);
    assert_message_pack("passed.bin", &handed_over);
    assert_message_pack("passed_empty.bin", &HandoverState::default());

    let golden = read_golden("passed.bin");
    let decoded: HandoverState =
        rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    let mut successor = LeaseHolder::new(
        INSTANCE_LIFE + 2,
        base.clone(),
        LeaseExpiryMode::BasePolicy,
        drift,
    );
    successor.resume(decoded);
    let expected = InstanceStatus {
        incarnation: INSTANCE_LIFE + 2,
        reported_at: 4.0,
        fenced_version: 6,
        known_versions: vec![7, 9],
        rejected_version: None,
        effective_version: Some(7),
        lease_remaining_seconds: 5.0, // until 9.0: an eighth of eight seconds is held back for drift
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
