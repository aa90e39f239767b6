//! Values of the types in the golden files. Each field of each type has a distinct value other than
//! its default in at least one sample, so that a lost or misplaced field is detected.

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_fleet::history::History;
use merlinshelf_fleet::plan::{PlanKind, Stage as TargetStage, Target};
use merlinshelf_fleet::record::InstanceRecord;
use merlinshelf_fleet::{Identity, Plan, PlanState, Record};
use merlinshelf_policy::document::{DependencyPolicy, OperationPolicy};
use merlinshelf_policy::replicated_state::{Change, CompletedChange, Stage};
use merlinshelf_policy::{
    Bootstrap, ChangeOutcome, Entry, HostLeaseRequest, InstanceStatus, Policy, PrepareResult,
    ReplicatedState,
};
use merlinshelf_quota::{
    CallKind, DependencyGrant, DependencyHealth, DependencyRequest, Phase, QuotaGrant,
    QuotaGrantBatch, QuotaRequest, QuotaRequestBatch,
};
use serde_json::json;

pub fn map<K: Ord, V, const N: usize>(entries: [(K, V); N]) -> BTreeMap<K, V> {
    BTreeMap::from(entries)
}

pub fn by_name<V, const N: usize>(entries: [(&str, V); N]) -> BTreeMap<String, V> {
    entries
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

/// A completed plan with a target in every stage.
fn completed_plan() -> Plan {
    let target = |name: &str, stage, success_ratio_before| Target {
        name: name.into(),
        stage,
        success_ratio_before,
    };
    Plan {
        number: 41,
        kind: PlanKind::Upgrade {
            program: "/programs/42".into(),
        },
        targets: vec![
            target("web.0", TargetStage::Pending, None),
            target(
                "web.1",
                TargetStage::InProgress {
                    program: "/before/1".into(),
                },
                Some(0.91),
            ),
            target(
                "web.2",
                TargetStage::Observing {
                    program: "/before/2".into(),
                    started_at: 92.5,
                },
                Some(0.93),
            ),
            target(
                "web.3",
                TargetStage::Done {
                    program: "/before/3".into(),
                },
                Some(0.94),
            ),
            target("web.4", TargetStage::RollingBack, Some(0.95)),
            target(
                "web.5",
                TargetStage::Skipped("it does not start".into()),
                None,
            ),
        ],
        state: PlanState::Stopped("abandoned".into()),
        max_in_progress: 43,
    }
}

/// The record of an agent whose instances are down and whose plan is completed, so that the next
/// agent does not change it.
pub fn store_record() -> Record {
    let mut history = History::default();
    history.add(1_700_000_001.25, Some("web.0"), "started as process 31");
    history.add(1_700_000_002.5, None, "plan 41: upgrade of 6");
    let first = InstanceRecord {
        // Higher than any PID.
        identity: Some(Identity {
            pid: 4_194_999,
            start_ticks: 0x3200_0000_0032,
        }),
        program: "/programs/33".into(),
        is_disabled: true,
        is_shutdown_requested: false,
        shutdown_timeout_seconds: None,
        crashes_in_a_row: 34,
    };
    let second = InstanceRecord {
        identity: None,
        program: "/programs/35".into(),
        is_disabled: true,
        is_shutdown_requested: true,
        shutdown_timeout_seconds: None,
        crashes_in_a_row: 36,
    };
    Record {
        instances: by_name([("web.0", first), ("web.1", second)]),
        group_counts: by_name([("web", 2)]),
        group_programs: by_name([("web", "/programs/38".to_owned())]),
        plan: Some(completed_plan()),
        last_plan_number: 44,
        history,
    }
}

pub fn policy(note: &str, seed: u32) -> Policy {
    let number = f64::from(seed);
    let operation = OperationPolicy {
        admit: Some(false),
        aim_ms: Some(1700.5 + number),
        worth: Some(2.5 + number),
        late: Some(0.25),
        calls: by_name([("catalogue", 0.75)]),
    };
    let budgets = [
        (CallKind::Retry, 121 + seed),
        (CallKind::Probe, 122 + seed),
        (CallKind::FirstCall, 123 + seed),
        (CallKind::NewConnection, 124 + seed),
    ];
    Policy {
        note: note.into(),
        operations: by_name([("thumbnail", operation)]),
        tenants: by_name([("video", 0.4), ("17", 0.3)]),
        call_share: Some(6.25 + number),
        dependencies: by_name([(
            "search",
            DependencyPolicy {
                out_most: Some(0.35),
                subset: Some(4),
            },
        )]),
        budgets: by_name([
            ("catalogue", map(budgets)),
            ("callers", map([(CallKind::NewConnection, 125 + seed)])),
        ]),
    }
}

/// Long enough that no lease expires during a test on a busy machine.
pub const LEASE_MS: u64 = 30_000;
pub const BASE_FINGERPRINT: u64 = 0xBA5E_BA5E_BA5E_BA52;

/// The replicated state with policy 7 in force and change 8 in progress.
pub fn replicated_state(stage: Stage) -> ReplicatedState {
    let ended = |number, id: &str, verdict| CompletedChange {
        version: number,
        change_id: id.into(),
        note: format!("note of {number}"),
        proposed_by: format!("operator of {number}"),
        proposed_at: 1_700_000_000.5 + number as f64,
        outcome: verdict,
    };
    let refusals = vec![
        ("host-1".to_owned(), "unfit".to_owned()),
        ("web.3".to_owned(), "too old".to_owned()),
    ];
    ReplicatedState {
        bootstrap: Some(Bootstrap {
            lease_ms: LEASE_MS,
            base_fingerprint: BASE_FINGERPRINT,
        }),
        last_version: 9,
        current_version: 7,
        policy: policy("the policy that holds", 100),
        previous: Some((5, policy("the policy before it", 200)).into()),
        pending_change: Some(Change {
            version: 8,
            change_id: "change-8".into(),
            policy: policy("the policy that comes", 300),
            proposed_by: "operator of 8".into(),
            proposed_at: 1_700_000_008.5,
            stage,
        }),
        completed_changes: VecDeque::from([
            ended(
                6,
                "change-6",
                ChangeOutcome::Rejected(refusals.into_iter().map(Into::into).collect()),
            ),
            ended(7, "change-7", ChangeOutcome::Committed),
        ]),
    }
}

pub fn proposal() -> Entry {
    Entry::Propose {
        change_id: "change-61".into(),
        policy: Box::new(policy("a proposed policy", 400)),
        proposed_by: "operator of 61".into(),
        proposed_at: 1_700_000_061.5,
    }
}

pub fn claim(seed: u32) -> QuotaRequest {
    QuotaRequest {
        incarnation: 0x7100_0000_0000 + u64::from(seed),
        request_id: 72 + u64::from(seed),
        calls_needed: 73 + seed,
        priority_weight: 74.5 + f64::from(seed),
        acknowledged_grant: (75 + u64::from(seed), 76 + u64::from(seed)).into(),
        calls_spent: 77 + seed,
    }
}

/// A quota request of every kind and phase.
pub fn quota_request(zone: &str) -> QuotaRequestBatch {
    let sight = |seed: u32| DependencyHealth {
        calling_instances: 81 + seed,
        failing_instances: 82 + seed,
        succeeded_calls: 83 + seed,
        failed_calls: 84 + seed,
    };
    let place = |seed, phase, claims| DependencyRequest {
        health: sight(seed),
        phase,
        requests: claims,
    };
    let claims = CallKind::ALL
        .iter()
        .zip(1..)
        .map(|(kind, place)| (*kind, claim(place * 100)))
        .collect();
    QuotaRequestBatch {
        incarnation: 0x7800_0000_0078,
        request_id: 79,
        zone: zone.into(),
        dependencies: by_name([
            (
                "callers",
                place(
                    20,
                    Some(Phase::Healthy),
                    map([(CallKind::NewConnection, claim(10))]),
                ),
            ),
            ("catalogue", place(0, Some(Phase::Failing), claims)),
            (
                "search",
                place(30, Some(Phase::Recovering), BTreeMap::new()),
            ),
            ("index", place(40, None, BTreeMap::new())),
        ]),
    }
}

pub fn quota_grant() -> QuotaGrantBatch {
    let share = |seed: u32| QuotaGrant {
        incarnation: 0x9100_0000_0000 + u64::from(seed),
        request_id: 92 + u64::from(seed),
        allocator_id: 93 + u64::from(seed),
        grant_number: 94 + u64::from(seed),
        calls_per_second: 95 + seed,
        duration_seconds: 96.5 + f64::from(seed),
    };
    let grants = CallKind::ALL
        .iter()
        .zip(1..)
        .map(|(kind, place)| (*kind, share(place * 100)))
        .collect();
    QuotaGrantBatch {
        incarnation: 0x9700_0000_0097,
        request_id: 98,
        dependencies: by_name([
            (
                "catalogue",
                DependencyGrant {
                    phase: Some(Phase::Recovering),
                    grants,
                },
            ),
            (
                "search",
                DependencyGrant {
                    phase: None,
                    grants: BTreeMap::new(),
                },
            ),
        ]),
    }
}

/// A lease request from host `b` to the leader.
pub fn lease_request() -> HostLeaseRequest {
    HostLeaseRequest {
        host: "b".into(),
        incarnation: 0x1010_1010_1010_1010,
        request_id: 102,
        fenced_version: 103,
        prepare_result: Some(PrepareResult {
            version: 104,
            ready_instances: 105,
            silent_instances: 106,
            rejections: vec![("web.1".to_owned(), "it knows no policies".to_owned()).into()],
        }),
        service_counts: (107, 108).into(),
        quota_requests: Some(quota_request("garching")),
    }
}

/// The status of the host of agent `a`.
pub fn host_status_of_a() -> String {
    let budget = json!({
        "dependency": "catalogue", "kind": "again", "budget": 21, "aside_each": 3, "shared": 12, "granted": 9,
        "to": { "c": 9 }, "spent_s": 1.5, "fares": { "garching": "fails" },
    });
    json!({
        "instances": [{ "name": "web.0", "state": "serving" }], "council": "sits",
        "budgets": { "term": 3, "budgets": [budget] },
    })
    .to_string()
}

pub fn instance_status() -> InstanceStatus {
    InstanceStatus {
        incarnation: 0x2121_2121_2121,
        reported_at: 122.5,
        fenced_version: 6,
        known_versions: vec![4, 5],
        rejected_version: Some((8, "it has no such operation".to_owned()).into()),
        effective_version: Some(5),
        lease_remaining_seconds: 123.5,
        base_fingerprint: BASE_FINGERPRINT,
        quota_requests: Some(quota_request("")),
    }
}
