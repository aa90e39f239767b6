//! Golden files of all formats of this package that are stored or exchanged between processes:
//! quota requests and grants (JSON between an instance and its agent, MessagePack with field names
//! between agents), the names of kinds and phases, the state that is handed over in an upgrade
//! (MessagePack with field names), and a host's reserve file.
//!
//! Each sample must encode to the bytes of its file under `tests/golden/`, and these bytes must
//! decode to the sample. Every field of a sample has a distinct value that is not the default, so
//! that a field lost by a renaming is detected. The files are the format of deployed versions: a
//! failure means that two versions would misinterpret each other's data. `GOLDEN_WRITE=1` rewrites
//! the files; without it a missing file is a failure.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::{Path, PathBuf};

use merlinshelf_quota::reserve::{self, DrawError};
use merlinshelf_quota::{
    Budgets, CallKind, CallOutcome, DependencyGrant, DependencyHealth, DependencyRequest, GrantId,
    LeaseTerms, Phase, QuotaClient, QuotaGrant, QuotaGrantBatch, QuotaRequest, QuotaRequestBatch,
    Remaining,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Cannot be represented exactly as a 64-bit float: such numbers must be decoded without loss.
const INSTANCE_INCARNATION: u64 = 7_201_234_567_890_123_457;

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

/// MessagePack with field names, as between agents.
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

/// Quota requests with all kinds of calls, with each phase and without a phase.
fn filled_request() -> QuotaRequestBatch {
    let request = |request_id: u64| QuotaRequest {
        incarnation: INSTANCE_INCARNATION + request_id,
        request_id,
        calls_needed: 62,
        priority_weight: 6.25,
        acknowledged_grant: GrantId {
            allocator_id: 63,
            grant_number: 64,
        },
        calls_spent: 65,
    };
    let dependency = |phase: Option<Phase>, number: u32| DependencyRequest {
        health: DependencyHealth {
            calling_instances: number,
            failing_instances: number + 1,
            succeeded_calls: number + 2,
            failed_calls: number + 3,
        },
        phase,
        requests: BTreeMap::from([(CallKind::FirstCall, request(u64::from(number)))]),
    };
    let all_kinds = DependencyRequest {
        requests: BTreeMap::from([
            (CallKind::Retry, request(71)),
            (CallKind::Probe, request(72)),
            (CallKind::FirstCall, request(73)),
            (CallKind::NewConnection, request(74)),
        ]),
        ..dependency(Some(Phase::Recovering), 10)
    };
    QuotaRequestBatch {
        incarnation: INSTANCE_INCARNATION,
        request_id: 52,
        zone: "erlangen".into(),
        dependencies: BTreeMap::from([
            ("catalogue".into(), all_kinds),
            ("assets".into(), dependency(Some(Phase::Healthy), 20)),
            ("thumbs".into(), dependency(Some(Phase::Failing), 30)),
            ("unheard".into(), dependency(None, 40)),
        ]),
    }
}

/// Quota grants with all kinds of calls, with each phase and without a phase.
fn filled_response() -> QuotaGrantBatch {
    let grant = |calls: u32| QuotaGrant {
        incarnation: INSTANCE_INCARNATION,
        request_id: 82,
        allocator_id: 83,
        grant_number: 84,
        calls_per_second: calls,
        duration_seconds: 1.75,
    };
    let dependency = |phase: Option<Phase>, calls: u32| DependencyGrant {
        phase,
        grants: BTreeMap::from([(CallKind::FirstCall, grant(calls))]),
    };
    let all_kinds = DependencyGrant {
        phase: Some(Phase::Recovering),
        grants: BTreeMap::from([
            (CallKind::Retry, grant(91)),
            (CallKind::Probe, grant(92)),
            (CallKind::FirstCall, grant(93)),
            (CallKind::NewConnection, grant(94)),
        ]),
    };
    QuotaGrantBatch {
        incarnation: INSTANCE_INCARNATION,
        request_id: 87,
        dependencies: BTreeMap::from([
            ("catalogue".into(), all_kinds),
            ("assets".into(), dependency(Some(Phase::Healthy), 95)),
            ("thumbs".into(), dependency(Some(Phase::Failing), 96)),
            ("unheard".into(), dependency(None, 97)),
        ]),
    }
}

// Messages between instances, agents and the leader.

#[test]
fn quota_requests_match_golden_files() {
    assert_json("asked.json", &filled_request());
    assert_message_pack("asked.bin", &filled_request());
    assert_json("asked_empty.json", &QuotaRequestBatch::default());
    assert_message_pack("asked_empty.bin", &QuotaRequestBatch::default());
}

#[test]
fn quota_grants_match_golden_files() {
    assert_json("given.json", &filled_response());
    assert_message_pack("given.bin", &filled_response());
    assert_json("given_empty.json", &QuotaGrantBatch::default());
    assert_message_pack("given_empty.bin", &QuotaGrantBatch::default());
}

/// A field that an older version does not send is decoded as its default, and an unknown field of a
/// newer version is ignored.
#[test]
fn messages_tolerate_missing_and_unknown_fields() {
    fn assert_tolerant<T>(name: &str)
    where
        T: DeserializeOwned + Default + PartialEq + Debug,
    {
        for text in ["{}", r#"{"of_a_later_version": [1, {"nested": true}]}"#] {
            let decoded: T = serde_json::from_str(text).expect(name);
            assert_eq!(decoded, T::default(), "{name}");
            let value: serde_json::Value = serde_json::from_str(text).expect("JSON");
            let packed = rmp_serde::to_vec_named(&value).expect("MessagePack");
            let decoded: T = rmp_serde::from_slice(&packed).expect(name);
            assert_eq!(decoded, T::default(), "{name}");
        }
    }
    assert_tolerant::<QuotaRequestBatch>("QuotaRequestBatch");
    assert_tolerant::<DependencyRequest>("DependencyRequest");
    assert_tolerant::<QuotaGrantBatch>("QuotaGrantBatch");
    assert_tolerant::<DependencyGrant>("DependencyGrant");
    assert_tolerant::<DependencyHealth>("DependencyHealth");
}

/// Agents of versions before the introduction of `calls_spent` do not send it.
#[test]
fn a_request_without_calls_spent_is_decoded_with_zero() {
    let request = QuotaRequest {
        incarnation: 11,
        request_id: 12,
        calls_needed: 13,
        priority_weight: 1.25,
        acknowledged_grant: GrantId {
            allocator_id: 14,
            grant_number: 15,
        },
        calls_spent: 0,
    };
    let golden = read_golden("claim_without_spent.json");
    let decoded: QuotaRequest =
        serde_json::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(decoded, request);
}

/// The names are used in messages, policies, reports and file names.
#[test]
fn kind_and_phase_names_match_golden_files() {
    assert_json("kinds.json", &CallKind::ALL.to_vec());
    assert_json(
        "phases.json",
        &vec![Phase::Healthy, Phase::Recovering, Phase::Failing],
    );
    let names: Vec<&str> = CallKind::ALL.into_iter().map(CallKind::name).collect();
    let golden: Vec<String> = serde_json::from_slice(&read_golden("kinds.json")).expect("names");
    assert_eq!(names, golden);
}

// State that is handed over in an upgrade.

/// A response of the host to a round, with a grant for each kind in `calls_per_second`.
fn sample_grants(
    request_id: u64,
    phase: Phase,
    calls_per_second: &[(CallKind, u32)],
) -> QuotaGrantBatch {
    let grant = |calls: u32| QuotaGrant {
        incarnation: INSTANCE_INCARNATION,
        request_id,
        allocator_id: 31,
        grant_number: 40 + u64::from(calls),
        calls_per_second: calls,
        duration_seconds: 1.5,
    };
    let dependency = DependencyGrant {
        phase: Some(phase),
        grants: calls_per_second
            .iter()
            .map(|(kind, calls)| (*kind, grant(*calls)))
            .collect(),
    };
    QuotaGrantBatch {
        incarnation: INSTANCE_INCARNATION,
        request_id,
        dependencies: BTreeMap::from([("catalogue".into(), dependency)]),
    }
}

/// A round after which the dependency fails for all instances and there is a grant of each kind.
fn run_failing_round(client: &mut QuotaClient) {
    assert_eq!(client.request(10.0).request_id, 1);
    let calls_per_second = [
        (CallKind::Retry, 7),
        (CallKind::Probe, 3),
        (CallKind::FirstCall, 11),
        (CallKind::NewConnection, 5),
    ];
    let grants = sample_grants(1, Phase::Failing, &calls_per_second);
    client.handle_grants(10.25, &grants, &mut || 0.5);
    let remaining = client.remaining(10.5, "catalogue");
    assert!(remaining.probes_only, "{remaining:?}");
    assert_eq!(remaining.retries, 7);
    client.set_failing(10.5, "catalogue", true);
    for kind in [CallKind::Retry, CallKind::NewConnection] {
        client.record_demand(10.5, "catalogue", kind, 1.25);
        client.record_spent(10.5, "catalogue", kind, 2);
    }
}

/// A round after which the dependency recovers, which was not reported yet; a further request is
/// unanswered.
fn run_recovering_round(client: &mut QuotaClient) {
    assert_eq!(client.request(10.75).request_id, 2);
    let grants = sample_grants(2, Phase::Recovering, &[]);
    client.handle_grants(10.875, &grants, &mut || 0.5);
    assert_eq!(client.request(11.0).request_id, 3);
    for kind in CallKind::ALL {
        client.record_demand(11.125, "catalogue", kind, 2.5);
        client.record_demand(11.125, "catalogue", kind, 3.0);
        client.record_spent(11.125, "catalogue", kind, 1);
    }
    for outcome in [
        CallOutcome::Succeeded,
        CallOutcome::Failed,
        CallOutcome::Failed,
    ] {
        client.record_call_end(11.25, "catalogue", outcome);
    }
    client.record_reserve_draw(11.25, "catalogue", CallKind::FirstCall);
}

/// A client with state to hand over in each of its fields.
fn filled_client() -> QuotaClient {
    let terms = LeaseTerms {
        lease_seconds: 2.0,
        drift: 0.0625,
    };
    let budgets = Budgets::from([
        (
            "catalogue".into(),
            CallKind::ALL.into_iter().zip([24, 8, 240, 200]).collect(),
        ),
        ("thumbs".into(), BTreeMap::from([(CallKind::FirstCall, 5)])),
    ]);
    let mut client = QuotaClient::new(INSTANCE_INCARNATION, terms);
    client.set_budgets(&budgets); // the remaining calls of `thumbs` are never queried, so it stays new
    run_failing_round(&mut client);
    run_recovering_round(&mut client);
    client
}

/// The type has no `PartialEq`: the test compares the `Debug` output, which shows every field, and
/// the bytes of the decoded client when it is encoded again.
#[test]
fn handed_over_quotas_match_golden_file() {
    let mut predecessor = filled_client();
    let mut handed_over = predecessor.begin_handover(INSTANCE_INCARNATION + 1);
    let encoded = rmp_serde::to_vec_named(&handed_over).expect("it is encoded");
    let golden = assert_golden("spender.bin", &encoded);
    let mut decoded: QuotaClient =
        rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(format!("{decoded:#?}"), format!("{handed_over:#?}"));
    let reencoded = rmp_serde::to_vec_named(&decoded).expect("it is encoded");
    assert_eq!(reencoded, golden);

    // The remaining calls: each quota minus the calls spent within the window, plus the call that
    // was drawn.
    let expected = Remaining {
        probes_only: false,
        reopened: true,
        retries: 7 - 2 - 1,
        probes: 3 - 1,
        first_calls: 11 - 1 + 1,
    };
    for client in [&mut decoded, &mut handed_over] {
        assert_eq!(client.remaining(11.26, "catalogue"), expected);
        assert_eq!(client.remaining_connections(11.26, "catalogue"), 5 - 2 - 1);
        assert_eq!(client.phase(11.26, "catalogue"), Some(Phase::Recovering));
        assert!(client.has_budget("thumbs"));
    }
    let request = rmp_serde::to_vec_named(&decoded.request(11.5)).expect("it is encoded");
    let expected = rmp_serde::to_vec_named(&handed_over.request(11.5)).expect("it is encoded");
    assert_eq!(request, expected);
}

#[test]
fn a_client_without_quotas_matches_golden_file() {
    let terms = LeaseTerms {
        lease_seconds: 3.0,
        drift: 0.125,
    };
    let client = QuotaClient::new(INSTANCE_INCARNATION, terms);
    let encoded = rmp_serde::to_vec_named(&client).expect("it is encoded");
    let golden = assert_golden("spender_new.bin", &encoded);
    let decoded: QuotaClient = rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(format!("{decoded:#?}"), format!("{client:#?}"));
}

// Files stored on a host.

/// Instances of two versions may draw from the same file, a list of times of the host's clock of
/// eight bytes each.
#[test]
fn reserve_file_matches_golden_file() {
    let (calls, drift) = (3, 0.0625);
    let first = reserve::draw(&[], 1012.5, calls, drift).expect("one may be made");
    let second = reserve::draw(&first, 1012.75, calls, drift).expect("another one may be made");
    let golden = assert_golden("purse.bin", &second);
    let times: Vec<u8> = [1012.5_f64, 1012.75]
        .into_iter()
        .flat_map(f64::to_le_bytes)
        .collect();
    assert_eq!(golden, times);
    let third = reserve::draw(&golden, 1013.0, calls, drift).expect("the last one may be made");
    assert_eq!(third, [&golden[..], &1013.0_f64.to_le_bytes()].concat());
    assert_eq!(
        reserve::draw(&third, 1013.25, calls, drift),
        Err(DrawError::Exhausted)
    );
}
