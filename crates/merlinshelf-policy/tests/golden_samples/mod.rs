//! The samples that are compared with the golden files.

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_policy::document::{DependencyPolicy, OperationPolicy};
use merlinshelf_policy::replicated_state::{Change, CompletedChange, Stage};
use merlinshelf_policy::{
    Bootstrap, ChangeOutcome, Policy, PrepareResult, Rejection, ReplicatedState,
};
use merlinshelf_quota::{
    CallKind, DependencyGrant, DependencyHealth, DependencyRequest, GrantId, Phase, QuotaGrant,
    QuotaGrantBatch, QuotaRequest, QuotaRequestBatch,
};

/// Cannot be represented exactly as a 64-bit float: such numbers must be decoded without loss.
pub const INSTANCE_INCARNATION: u64 = 7_201_234_567_890_123_457;
pub const AGENT_INCARNATION: u64 = 7_301_234_567_890_123_459;
pub const BASE_FINGERPRINT: u64 = 0xFEDC_BA98_7654_3211;

pub fn rejection(rejected_by: &str, reason: &str) -> Rejection {
    Rejection {
        rejected_by: rejected_by.into(),
        reason: reason.into(),
    }
}

/// A document with all fields set.
pub fn filled_policy() -> Policy {
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

/// A document with a note and one value. Without budgets their key is absent when encoded.
pub fn short_policy(note: &str, call_share: f64) -> Policy {
    Policy {
        note: note.into(),
        call_share: Some(call_share),
        ..Policy::default()
    }
}

/// The document in `deploy/policy.json5`.
pub fn example_policy() -> Policy {
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

/// Quota requests for all kinds of calls.
pub fn filled_quota_requests() -> QuotaRequestBatch {
    let request = |request_id: u64| QuotaRequest {
        incarnation: 61,
        request_id,
        calls_needed: 62,
        priority_weight: 6.25,
        acknowledged_grant: GrantId {
            allocator_id: 63,
            grant_number: 64,
        },
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
                    (CallKind::Retry, request(71)),
                    (CallKind::Probe, request(72)),
                    (CallKind::FirstCall, request(73)),
                    (CallKind::NewConnection, request(74)),
                ]),
            },
        )]),
    }
}

/// A response to quota requests.
pub fn filled_quota_grants() -> QuotaGrantBatch {
    let grant = QuotaGrant {
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
                grants: BTreeMap::from([(CallKind::Probe, grant)]),
            },
        )]),
    }
}

pub fn filled_prepare_result() -> PrepareResult {
    PrepareResult {
        version: 31,
        ready_instances: 32,
        silent_instances: 33,
        rejections: vec![rejection("n4", "no such operation")],
    }
}

/// Replicated state with all fields set, and a pending change in this stage.
pub fn filled_state(stage: Stage) -> ReplicatedState {
    ReplicatedState {
        bootstrap: Some(Bootstrap {
            lease_ms: 2000,
            base_fingerprint: BASE_FINGERPRINT,
        }),
        last_version: 12,
        current_version: 11,
        policy: short_policy("the one that holds", 6.5),
        previous: Some((9, short_policy("the one before", 7.5)).into()),
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
                outcome: ChangeOutcome::Rejected(vec![rejection("n7", "no such tenant")]),
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
