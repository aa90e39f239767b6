//! Golden files of every form of this package that outlives a process or passes between two: what is asked of budgets and
//! given of them (JSON between an instance and its agent, MessagePack with field names between agents), the names of kinds and
//! phases, what a successor goes on with after an upgrade (MessagePack with field names), and the file of what a host has set
//! aside.
//!
//! Each sample is encoded as the program encodes it and must give the bytes of its file under `tests/golden/`; those bytes
//! are decoded as the program decodes them and must give the sample. Every field of a sample has a value of its own that is
//! not the default, so that a field that is lost by another name shows. The files are the form of versions that are in
//! service: a test that fails here means that two versions would misunderstand each other. `GOLDEN_WRITE=1` writes the
//! files anew; without it a missing file is a failure.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::{Path, PathBuf};

use merlinshelf_quota::{
    Budgets, CallKind, DependencyGrant, DependencyHealth, DependencyRequest, LeaseTerms, Phase,
    QuotaClient, QuotaGrant, QuotaGrantBatch, QuotaRequest, QuotaRequestBatch, Remaining, reserve,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Larger than what a JSON number holds as a 64-bit float: such numbers must come through whole.
const INSTANCE_LIFE: u64 = 7_201_234_567_890_123_457;

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

/// MessagePack with field names, as it passes between agents.
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

/// What is asked of budgets: all kinds of calls, all phases and none.
fn filled_request() -> QuotaRequestBatch {
    let claim = |token: u64| QuotaRequest {
        incarnation: INSTANCE_LIFE + token,
        request_id: token,
        calls_needed: 62,
        priority_weight: 6.25,
        acknowledged_grant: (63, 64),
        calls_spent: 65,
    };
    let place = |phase: Option<Phase>, number: u32| DependencyRequest {
        health: DependencyHealth {
            calling_instances: number,
            failing_instances: number + 1,
            succeeded_calls: number + 2,
            failed_calls: number + 3,
        },
        phase,
        requests: BTreeMap::from([(CallKind::FirstCall, claim(u64::from(number)))]),
    };
    let all_kinds = DependencyRequest {
        requests: BTreeMap::from([
            (CallKind::Retry, claim(71)),
            (CallKind::Probe, claim(72)),
            (CallKind::FirstCall, claim(73)),
            (CallKind::NewConnection, claim(74)),
        ]),
        ..place(Some(Phase::Recovering), 10)
    };
    QuotaRequestBatch {
        incarnation: INSTANCE_LIFE,
        request_id: 52,
        zone: "erlangen".into(),
        dependencies: BTreeMap::from([
            ("catalogue".into(), all_kinds),
            ("assets".into(), place(Some(Phase::Healthy), 20)),
            ("thumbs".into(), place(Some(Phase::Failing), 30)),
            ("unheard".into(), place(None, 40)),
        ]),
    }
}

/// The answer to it: all kinds of calls, all phases and none.
fn filled_response() -> QuotaGrantBatch {
    let share = |calls: u32| QuotaGrant {
        incarnation: INSTANCE_LIFE,
        request_id: 82,
        allocator_id: 83,
        grant_number: 84,
        calls_per_second: calls,
        duration_seconds: 1.75,
    };
    let place = |phase: Option<Phase>, calls: u32| DependencyGrant {
        phase,
        grants: BTreeMap::from([(CallKind::FirstCall, share(calls))]),
    };
    let all_kinds = DependencyGrant {
        phase: Some(Phase::Recovering),
        grants: BTreeMap::from([
            (CallKind::Retry, share(91)),
            (CallKind::Probe, share(92)),
            (CallKind::FirstCall, share(93)),
            (CallKind::NewConnection, share(94)),
        ]),
    };
    QuotaGrantBatch {
        incarnation: INSTANCE_LIFE,
        request_id: 87,
        dependencies: BTreeMap::from([
            ("catalogue".into(), all_kinds),
            ("assets".into(), place(Some(Phase::Healthy), 95)),
            ("thumbs".into(), place(Some(Phase::Failing), 96)),
            ("unheard".into(), place(None, 97)),
        ]),
    }
}

// Between instances, agents and the leader.

#[test]
fn request_for_quota() {
    assert_json("asked.json", &filled_request());
    assert_message_pack("asked.bin", &filled_request());
    assert_json("asked_empty.json", &QuotaRequestBatch::default());
    assert_message_pack("asked_empty.bin", &QuotaRequestBatch::default());
}

#[test]
fn grant_of_quota() {
    assert_json("given.json", &filled_response());
    assert_message_pack("given.bin", &filled_response());
    assert_json("given_empty.json", &QuotaGrantBatch::default());
    assert_message_pack("given_empty.bin", &QuotaGrantBatch::default());
}

/// What an older version does not know to say is taken as its default, and what a later one says beside it is passed over.
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
    assert_tolerant::<QuotaRequestBatch>("Asked");
    assert_tolerant::<DependencyRequest>("PlaceAsked");
    assert_tolerant::<QuotaGrantBatch>("Given");
    assert_tolerant::<DependencyGrant>("PlaceGiven");
    assert_tolerant::<DependencyHealth>("Sight");
}

/// Agents of before there were counts of what was spent leave them out.
#[test]
fn claim_without_what_was_spent() {
    let claim = QuotaRequest {
        incarnation: 11,
        request_id: 12,
        calls_needed: 13,
        priority_weight: 1.25,
        acknowledged_grant: (14, 15),
        calls_spent: 0,
    };
    let golden = read_golden("claim_without_spent.json");
    let decoded: QuotaRequest =
        serde_json::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(decoded, claim);
}

/// As they stand in messages, policies, reports and names of files.
#[test]
fn names_of_kinds_and_phases() {
    assert_json("kinds.json", &CallKind::ALL.to_vec());
    assert_json(
        "phases.json",
        &vec![Phase::Healthy, Phase::Recovering, Phase::Failing],
    );
    let names: Vec<&str> = CallKind::ALL.into_iter().map(CallKind::name).collect();
    let golden: Vec<String> = serde_json::from_slice(&read_golden("kinds.json")).expect("names");
    assert_eq!(names, golden);
}

// Handed over in an upgrade.

/// Lets a client of budgets come by something to hand over in each of its fields.
fn filled_spender() -> QuotaClient {
    let lease = LeaseTerms {
        lease_seconds: 2.0,
        drift: 0.0625,
    };
    let kinds = [
        CallKind::Retry,
        CallKind::Probe,
        CallKind::FirstCall,
        CallKind::NewConnection,
    ];
    let budgets = Budgets::from([
        (
            "catalogue".into(),
            kinds.into_iter().zip([24, 8, 240, 200]).collect(),
        ),
        ("thumbs".into(), BTreeMap::from([(CallKind::FirstCall, 5)])),
    ]);
    let mut spender = QuotaClient::new(INSTANCE_LIFE, lease);
    spender.set_budgets(&budgets); // nobody looks at `thumbs`: it stays new

    // The first round: the dependency fails for all, and there is a share of each kind.
    assert_eq!(spender.request(10.0).request_id, 1);
    let share = |kind: CallKind, calls: u32| {
        let share = QuotaGrant {
            incarnation: INSTANCE_LIFE,
            request_id: 1,
            allocator_id: 31,
            grant_number: 40 + u64::from(calls),
            calls_per_second: calls,
            duration_seconds: 1.5,
        };
        (kind, share)
    };
    let given =
        |token: u64, phase: Phase, shares: BTreeMap<CallKind, QuotaGrant>| QuotaGrantBatch {
            incarnation: INSTANCE_LIFE,
            request_id: token,
            dependencies: BTreeMap::from([(
                "catalogue".into(),
                DependencyGrant {
                    phase: Some(phase),
                    grants: shares,
                },
            )]),
        };
    let shares = kinds.into_iter().zip([7, 3, 11, 5]);
    let shares = shares.map(|(kind, calls)| share(kind, calls)).collect();
    spender.handle_grants(10.25, &given(1, Phase::Failing, shares), &mut || 0.5);
    let left = spender.remaining(10.5, "catalogue");
    assert!(left.probes_only && left.retries == 7, "{left:?}");
    spender.set_failing(10.5, "catalogue", true);
    for kind in [CallKind::Retry, CallKind::NewConnection] {
        spender.record_demand(10.5, "catalogue", kind, 1.25);
        spender.record_spent(10.5, "catalogue", kind, 2);
    }

    // The second round: it returns, which nobody has looked at yet. The third one is not answered.
    assert_eq!(spender.request(10.75).request_id, 2);
    let returns = given(2, Phase::Recovering, BTreeMap::new());
    spender.handle_grants(10.875, &returns, &mut || 0.5);
    assert_eq!(spender.request(11.0).request_id, 3);
    for kind in kinds {
        spender.record_demand(11.125, "catalogue", kind, 2.5);
        spender.record_demand(11.125, "catalogue", kind, 3.0);
        spender.record_spent(11.125, "catalogue", kind, 1);
    }
    for well in [true, false, false] {
        spender.record_call_end(11.25, "catalogue", well);
    }
    spender.record_reserve_draw(11.25, "catalogue", CallKind::FirstCall);
    spender
}

/// It has no comparison of its own: what it prints shows every field, and encoded again it gives the same bytes.
#[test]
fn quota_that_a_successor_goes_on_with() {
    let mut predecessor = filled_spender();
    let mut handed_over = predecessor.begin_handover(INSTANCE_LIFE + 1);
    let encoded = rmp_serde::to_vec_named(&handed_over).expect("it is encoded");
    let golden = assert_golden("spender.bin", &encoded);
    let mut decoded: QuotaClient =
        rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(format!("{decoded:#?}"), format!("{handed_over:#?}"));
    let again = rmp_serde::to_vec_named(&decoded).expect("it is encoded");
    assert_eq!(again, golden);

    // What it may still spend: of each share less what was spent within the last second or so, and the one call drawn.
    let expected = Remaining {
        probes_only: false,
        reopened: true,
        retries: 7 - 2 - 1,
        probes: 3 - 1,
        first_calls: 11 - 1 + 1,
    };
    for spender in [&mut decoded, &mut handed_over] {
        assert_eq!(spender.remaining(11.26, "catalogue"), expected);
        assert_eq!(spender.remaining_connections(11.26, "catalogue"), 5 - 2 - 1);
        assert_eq!(spender.phase(11.26, "catalogue"), Some(Phase::Recovering));
        assert!(spender.has_budget("thumbs"));
    }
    let asked = rmp_serde::to_vec_named(&decoded.request(11.5)).expect("it is encoded");
    let expected = rmp_serde::to_vec_named(&handed_over.request(11.5)).expect("it is encoded");
    assert_eq!(asked, expected);
}

/// Of a spender that holds nothing yet.
#[test]
fn quota_of_a_new_instance() {
    let lease = LeaseTerms {
        lease_seconds: 3.0,
        drift: 0.125,
    };
    let spender = QuotaClient::new(INSTANCE_LIFE, lease);
    let encoded = rmp_serde::to_vec_named(&spender).expect("it is encoded");
    let golden = assert_golden("spender_new.bin", &encoded);
    let decoded: QuotaClient = rmp_serde::from_slice(&golden).expect("the golden file is decoded");
    assert_eq!(format!("{decoded:#?}"), format!("{spender:#?}"));
}

// Kept by a host.

/// Instances of two versions draw from the same file: moments of the host's clock, eight bytes each.
#[test]
fn file_of_what_a_host_has_set_aside() {
    let (calls, drift) = (3, 0.0625);
    let first = reserve::draw(&[], 1012.5, calls, drift).expect("one may be made");
    let second = reserve::draw(&first, 1012.75, calls, drift).expect("another one may be made");
    let golden = assert_golden("purse.bin", &second);
    let moments: Vec<u8> = [1012.5_f64, 1012.75]
        .into_iter()
        .flat_map(f64::to_le_bytes)
        .collect();
    assert_eq!(golden, moments);
    let third = reserve::draw(&golden, 1013.0, calls, drift).expect("the last one may be made");
    assert_eq!(third, [&golden[..], &1013.0_f64.to_le_bytes()].concat());
    assert_eq!(reserve::draw(&third, 1013.25, calls, drift), Err(None));
}
