//! The record that the agent stores across restarts.

use std::collections::BTreeMap;

use merlinshelf_fleet::history::History;
use merlinshelf_fleet::plan::{PlanKind, Stage, Target};
use merlinshelf_fleet::record::InstanceRecord;
use merlinshelf_fleet::{Identity, Plan, PlanState, Record};

use crate::golden_file::check_encoding;

fn target(name: &str, stage: Stage, success_ratio_before: Option<f64>) -> Target {
    Target {
        name: name.into(),
        stage,
        success_ratio_before,
    }
}

fn plan(number: u64, kind: PlanKind, state: PlanState, max_in_progress: u32) -> Option<Plan> {
    let targets = vec![
        target("web.0", Stage::Pending, None),
        target(
            "web.1",
            Stage::InProgress {
                program: "/before/1".into(),
            },
            Some(0.91),
        ),
        target(
            "web.2",
            Stage::Observing {
                program: "/before/2".into(),
                started_at: 92.5,
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
        target("web.4", Stage::RollingBack, Some(0.95)),
        target("web.5", Stage::Skipped("it does not start".into()), None),
    ];
    Some(Plan {
        number,
        kind,
        targets,
        state,
        max_in_progress,
    })
}

/// A record with a value in every field.
fn complete_record() -> Record {
    let mut history = History::default();
    history.add(1_700_000_001.25, Some("web.0"), "started as process 31");
    history.add(1_700_000_002.5, None, "plan 41: upgrade of 6");
    Record {
        instances: BTreeMap::from([
            (
                "web.0".to_owned(),
                InstanceRecord {
                    identity: Some(Identity {
                        pid: 31,
                        start_ticks: 0x3200_0000_0032,
                    }),
                    program: "/programs/33".into(),
                    is_disabled: true,
                    is_shutdown_requested: false,
                    shutdown_timeout_seconds: None,
                    crashes_in_a_row: 34,
                },
            ),
            (
                "web.1".to_owned(),
                InstanceRecord {
                    identity: None,
                    program: "/programs/35".into(),
                    is_disabled: false,
                    is_shutdown_requested: true,
                    shutdown_timeout_seconds: None,
                    crashes_in_a_row: 36,
                },
            ),
        ]),
        group_counts: BTreeMap::from([("web".to_owned(), 37)]),
        group_programs: BTreeMap::from([("web".to_owned(), "/programs/38".to_owned())]),
        plan: plan(
            41,
            PlanKind::Upgrade {
                program: "/programs/42".into(),
            },
            PlanState::Running,
            43,
        ),
        last_plan_number: 44,
        history,
    }
}

/// Records with plans of every kind in every state.
fn labelled_records() -> Vec<(&'static str, Record)> {
    let with_plan = |plan| Record {
        plan,
        last_plan_number: 45,
        ..Record::default()
    };
    vec![
        ("every field; upgrade, running", complete_record()),
        (
            "start, waiting",
            with_plan(plan(
                51,
                PlanKind::Start,
                PlanState::Waiting("capacity".into()),
                52,
            )),
        ),
        (
            "drain, paused",
            with_plan(plan(
                53,
                PlanKind::Drain {
                    timeout_seconds: None,
                },
                PlanState::Paused,
                54,
            )),
        ),
        (
            "drain within a time, going back",
            with_plan(plan(
                55,
                PlanKind::Drain {
                    timeout_seconds: Some(56.5),
                },
                PlanState::RollingBack("worse".into()),
                57,
            )),
        ),
        (
            "restart, done",
            with_plan(plan(58, PlanKind::Restart, PlanState::Done, 59)),
        ),
        (
            "restart, stopped",
            with_plan(plan(
                60,
                PlanKind::Restart,
                PlanState::Stopped("abandoned".into()),
                61,
            )),
        ),
        ("no plan", with_plan(None)),
    ]
}

/// The time for a graceful shutdown is left out of the records above, as by earlier versions.
#[test]
fn stored_record_with_the_time_for_a_graceful_shutdown() {
    let instance = InstanceRecord {
        shutdown_timeout_seconds: Some(71.5),
        ..InstanceRecord::default()
    };
    let record = Record {
        instances: BTreeMap::from([("web.7".to_owned(), instance)]),
        ..Record::default()
    };
    let encode =
        |record: &Record| rmp_serde::to_vec_named(record).expect("a record can be encoded");
    let labelled = [("its process has reported it", record)];
    check_encoding(
        "record_with_shutdown_timeout.hex",
        &labelled,
        encode,
        |bytes| rmp_serde::from_slice(bytes).expect("a record"),
    );
}

#[test]
fn stored_record_of_the_agent() {
    // `merlinshelf-agent` stores these bytes inside its own frame.
    let encode =
        |record: &Record| rmp_serde::to_vec_named(record).expect("a record can be encoded");
    check_encoding("record.hex", &labelled_records(), encode, |bytes| {
        rmp_serde::from_slice(bytes).expect("a record")
    });
}
