//! Tests of internal state: the caller history, the rules by name, settings, advertised values.

use super::*;
use crate::rules::Rule;

fn settings_from<'a>(settings: impl IntoIterator<Item = &'a (&'a str, &'a str)>) -> Settings {
    settings
        .into_iter()
        .map(|&(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn gauges(busy: f64) -> BTreeMap<String, f64> {
    [("cpu_busy".to_owned(), busy)].into()
}

#[test]
fn the_caller_history_stays_bounded_when_all_callers_are_new() {
    let settings = [
        ("Classes.count", "1"),
        ("FamilyInfo.CallerIdleUs", "30000000"),
    ];
    let (mut controller, _) =
        AdmissionController::start(0.0, 1, settings_from(&settings)).expect("valid settings");
    let mut max_remembered = 0;
    // Two new callers per millisecond for 8 seconds, then ten per second. Caller 0 returns all the
    // time and must stay in the history.
    for number in 0..20_000u32 {
        let now = if number < 16_000 {
            f64::from(number) / 2e3
        } else {
            f64::from(number - 16_000) / 10.0 + 8.0
        };
        let caller = if number % 100 == 0 {
            0
        } else {
            u64::from(number)
        };
        controller.invocation_arrived(
            now,
            0,
            Invocation {
                caller,
                caller_timeout: Some(0.0),
                ..Invocation::default()
            },
        );
        controller.timer_fired(now, 0, &BTreeMap::new());
        max_remembered = max_remembered.max(controller.callers.last_arrivals.len());
    }
    assert!(
        max_remembered <= 5_000 && controller.callers.last_arrivals.contains_key(&0),
        "{max_remembered}"
    );
    assert!(
        controller.callers.last_arrivals.len() <= 310,
        "{}",
        controller.callers.last_arrivals.len()
    );
}

fn start_controller(extra: &[(&str, &str)]) -> AdmissionController {
    let base = [
        ("Classes.count", "3"),
        ("Classes.0.Effect", "read_like"),
        ("Classes.1.Effect", "idempotency_key"),
        ("Classes.1.MemorySpanUs", "5000000"),
        ("Classes.2.Effect", "non_idempotent"),
        ("Classes.0.AimUs", "1000000"),
        ("Classes.1.AimUs", "1000000"),
        ("Classes.2.AimUs", "1000000"),
        ("Classes.0.DeadlineUs", "4000000"),
        ("Classes.1.DeadlineUs", "4000000"),
        ("Classes.2.DeadlineUs", "4000000"),
        ("FamilyInfo.Cores", "2"),
        ("FamilyInfo.HeapKb", "10000"),
        ("FamilyInfo.RunFactor", "4"),
        ("FamilyInfo.KeyKb", "100"),
        ("FamilyInfo.ClassCalls", "true,true,true"),
        ("FamilyInfo.ClassSkipWorth", "0,0,0"),
        ("Rules.FallMultiple", "4"),
        ("Rules.DrainGraceUs", "1000000"),
        ("Allowed.RetryAfter", "true"),
        ("Allowed.MaxRetryAfterUs", "1000000"),
    ];
    AdmissionController::start(0.0, 1, settings_from(base.iter().chain(extra)))
        .expect("valid settings")
        .0
}

fn invocation(operation: usize) -> Invocation {
    Invocation {
        operation,
        held_kilobytes: 50.0,
        rank: 0.5,
        ..Invocation::default()
    }
}

/// A controller with invocations 0 and 1 of the operation running on both cores, and `number`
/// queued behind them.
fn with_one_queued(operation: usize, number: usize) -> AdmissionController {
    let mut controller = start_controller(&[]);
    for running in 0..2 {
        controller.invocation_arrived(0.0, running, invocation(operation));
    }
    assert_eq!(
        controller
            .invocation_arrived(0.0, number, invocation(operation))
            .rejected,
        []
    );
    controller
}

/// A rule that rejects or fails an invocation must answer it in the same decisions: an invocation
/// that won't be served must not wait until shortly before its caller times out.
#[test]
#[expect(clippy::too_many_lines, reason = "a table with one scenario per rule")]
fn rules_that_reject_or_fail_an_invocation_answer_it_in_the_same_decisions() {
    type ScenarioFn = fn() -> (AdmissionController, Decisions);
    let scenarios: &[(&str, ScenarioFn)] = &[
        ("answer before the deadline", || {
            let mut controller = start_controller(&[("Classes.2.AimUs", "4000000")]);
            controller.invocation_arrived(0.0, 7, invocation(2));
            let decisions = controller.timer_fired(3.99, 0, &BTreeMap::new());
            (controller, decisions)
        }),
        ("stay within the memory limit", || {
            let mut controller = start_controller(&[("FamilyInfo.HeapKb", "100")]);
            let decisions = controller.invocation_arrived(
                0.0,
                7,
                Invocation {
                    held_kilobytes: 95.0,
                    ..invocation(0)
                },
            );
            (controller, decisions)
        }),
        ("reject arrivals after the shutdown grace", || {
            let mut controller = start_controller(&[]);
            controller.shutdown_requested(0.0, 5.0);
            let decisions = controller.invocation_arrived(1.5, 7, invocation(0));
            (controller, decisions)
        }),
        ("reject cohort groups above the threshold", || {
            let mut controller = start_controller(&[]);
            controller.timer_fired(0.0, 0, &gauges(1.0));
            for number in 0..2 {
                controller.invocation_arrived(0.0, number, invocation(0));
            }
            let decisions = controller.invocation_arrived(0.0, 7, invocation(0));
            (controller, decisions)
        }),
        ("reject arrivals that miss their objective", || {
            let mut controller = start_controller(&[]);
            controller.invocation_arrived(0.0, 0, invocation(0));
            controller.run_ended(
                0.9,
                0,
                Outcome {
                    succeeded: true,
                    ..Outcome::default()
                },
                0.9,
            );
            for number in 1..3 {
                controller.invocation_arrived(0.9, number, invocation(0));
            }
            let decisions = controller.invocation_arrived(0.9, 7, invocation(0));
            (controller, decisions)
        }),
        ("reject queued work that misses its objective", || {
            let mut controller = with_one_queued(0, 7);
            controller.timer_fired(0.99, 0, &BTreeMap::new());
            assert!(
                controller.invocation(7).is_some(),
                "stays queued until its objective"
            );
            let decisions = controller.timer_fired(1.01, 0, &BTreeMap::new());
            (controller, decisions)
        }),
        ("fail runs whose call can't succeed", || {
            let mut controller = start_controller(&[]);
            controller.invocation_arrived(0.0, 7, invocation(2));
            controller.call_requested(0.1, 7);
            let decisions = controller.call_ended(0.2, 7, Outcome::default());
            (controller, decisions)
        }),
    ];
    let serving_rules = [
        "stop abandoned runs",
        "join repeats to the first attempt",
        "raise the limit while cores are idle",
        "queue admitted arrivals",
        "continue without calls that are too late or blocked",
        "call downstream within the quota",
        "start the best queued work while cores are free",
        "advertise health and load",
    ];
    for Rule { name, .. } in RULES {
        let has_scenario = scenarios.iter().any(|(rule, _)| rule == name);
        assert!(
            has_scenario != serving_rules.contains(name),
            "{name}: must have a scenario or be listed as a serving rule, not both"
        );
    }
    for (name, run_scenario) in scenarios {
        let (controller, decisions) = run_scenario();
        let rejection = decisions
            .rejected
            .iter()
            .find(|rejection| rejection.invocation == 7);
        assert!(
            rejection.is_some() || decisions.failed.contains(&7),
            "{name}: {decisions:?}"
        );
        assert!(
            rejection.is_none_or(|rejection| rejection.retry_after_seconds > 0.0),
            "{name}: no retry time in {decisions:?}"
        );
        assert!(
            controller
                .invocation(7)
                .is_none_or(|state| state.is_answered),
            "{name}: invocation 7 is still unanswered"
        );
    }
}

#[test]
fn repeats_of_an_invocation_rejected_before_its_run_fail_in_the_same_decisions() {
    let mut controller = with_one_queued(1, 7);
    let repeat = Invocation {
        is_repeat: true,
        original: Some(7),
        ..invocation(1)
    };
    assert_eq!(
        controller.invocation_arrived(0.5, 8, repeat.clone()).joined,
        [8]
    );
    let decisions = controller.timer_fired(1.01, 0, &BTreeMap::new());
    assert_eq!(
        decisions
            .rejected
            .iter()
            .map(|rejection| rejection.invocation)
            .collect::<Vec<_>>(),
        [7]
    );
    assert_eq!((decisions.failed, decisions.evicted), (vec![8], vec![7]));
    // When a number is assigned again, a repeat that joined its previous invocation must not be
    // taken for a repeat of the new one.
    controller.invocation_arrived(
        1.1,
        9,
        Invocation {
            is_repeat: true,
            original: Some(0),
            ..invocation(1)
        },
    );
    controller.run_ended(
        1.2,
        0,
        Outcome {
            succeeded: true,
            ..Outcome::default()
        },
        1.2,
    );
    let rejected_arrival = controller.invocation_arrived(
        1.3,
        0,
        Invocation {
            held_kilobytes: 99_999.0,
            ..invocation(0)
        },
    );
    assert_eq!(
        (rejected_arrival.rejected.len(), rejected_arrival.failed),
        (1, vec![])
    );
}

#[test]
fn a_repeat_read_at_the_same_time_as_the_disconnect_of_the_first_caller_is_queued_itself() {
    let mut controller = with_one_queued(1, 7);
    assert_eq!(controller.caller_disconnected(0.5, 7).evicted, [7]);
    let decisions = controller.invocation_arrived(
        0.5,
        8,
        Invocation {
            is_repeat: true,
            original: Some(7),
            ..invocation(1)
        },
    );
    assert_eq!(
        (decisions.joined, decisions.cached.len()),
        (vec![], 1),
        "nothing has run, so the repeat is queued itself"
    );
}

#[test]
fn invalid_settings_of_at_most_once_execution_are_never_treated_as_permissive() {
    let start = |name: &str, value: &str| {
        let settings = [
            ("Classes.count", "1"),
            ("Classes.0.Effect", "idempotency_key"),
            (name, value),
        ];
        AdmissionController::start(0.0, 1, settings_from(&settings))
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default()
    };
    for (name, value) in [
        ("Classes.0.MemorySpanUs", "0"),
        ("Tenants.0.QuotaPerS", "many"),
        ("Rules.StartCapacity", "half"),
    ] {
        assert!(
            start(name, value).contains(name),
            "{name}={value}: {:?}",
            start(name, value)
        );
    }
    assert!(
        start("FamilyInfo.Cores", "2").contains("Classes.0.MemorySpanUs"),
        "no window for idempotency keys"
    );
    assert_eq!(start("Classes.0.MemorySpanUs", "5000000"), "");
    // Unknown words cause a warning at the start and are treated as the strictest value.
    let settings = [
        ("Classes.count", "1"),
        ("Classes.0.Effect", "idempotent-ish"),
        ("FamilyInfo.Halt", "kill"),
    ];
    let (mut controller, decisions) =
        AdmissionController::start(0.0, 1, settings_from(&settings)).expect("valid settings");
    for (note, name) in decisions
        .notes
        .iter()
        .zip(["Classes.0.Effect", "FamilyInfo.Halt"])
    {
        assert!(note.contains(name), "{note}");
    }
    assert_eq!(
        (
            decisions.notes.len(),
            controller.operations[0].settings.is_idempotent,
            controller.operations[0].settings.has_idempotency_key
        ),
        (2, false, false)
    );
    controller.invocation_arrived(0.0, 7, invocation(0));
    let after_disconnect = controller.caller_disconnected(0.1, 7);
    assert_eq!(
        (after_disconnect.stopped, controller.invocation(7).is_some()),
        (vec![], true),
        "the run is not stopped"
    );
}

#[test]
fn long_runs_on_busy_cores_are_not_taken_for_a_hang() {
    let mut controller = with_one_queued(0, 7);
    for (busy, healthy) in [(1.0, true), (0.1, false)] {
        controller.timer_fired(if healthy { 0.97 } else { 0.98 }, 0, &gauges(busy));
        assert_eq!(
            controller.advertisement.last.map(|last| last.is_healthy),
            Some(healthy),
            "{busy}"
        );
    }
}

#[test]
fn without_retry_marks_rejections_disable_failover_and_keep_connections_open() {
    let run_with_marks = |marks: &str| {
        let mut controller = start_controller(&[
            ("FamilyInfo.CallerIdleUs", "30000000"),
            ("Callers.MarksRetry", marks),
        ]);
        controller.timer_fired(0.0, 0, &gauges(1.0));
        controller.invocation_arrived(0.0, 0, invocation(0));
        controller.run_ended(
            0.3,
            0,
            Outcome {
                succeeded: true,
                ..Outcome::default()
            },
            0.3,
        );
        let mut no_failover = false;
        for number in 0..60 {
            let now = 0.31 + 0.01 * number as f64;
            controller.timer_fired(now, 0, &gauges(1.0));
            let caller = number as u64;
            let decisions = controller.invocation_arrived(
                now,
                number,
                Invocation {
                    caller,
                    ..invocation(0)
                },
            );
            no_failover = decisions
                .rejected
                .first()
                .map_or(no_failover, |rejection| rejection.no_failover);
        }
        (
            no_failover,
            controller.advertisement.last.map(|last| last.idle_timeout),
        )
    };
    assert_eq!(
        run_with_marks("false"),
        (true, Some(30.0)),
        "most arrivals are rejected: no failover, connections stay open"
    );
    assert_eq!(
        run_with_marks("true"),
        (false, Some(0.01)),
        "no attempt is marked as a retry: failover is allowed"
    );
}

#[test]
fn a_caller_timeout_well_below_the_longest_recent_one_indicates_a_retry() {
    let run_with_marks = |marks: &str| {
        let mut controller = start_controller(&[("Callers.MarksRetry", marks)]);
        let mut arrive = |number, timeout| {
            controller.invocation_arrived(
                0.0,
                number,
                Invocation {
                    caller_timeout: Some(timeout),
                    age: 0.1,
                    ..invocation(0)
                },
            );
            controller.invocations[number].request.is_retry
        };
        [
            arrive(0, 3.9),
            arrive(1, 2.95),
            arrive(2, 2.8),
            arrive(3, 1.9),
        ]
    };
    assert_eq!(run_with_marks("false"), [false, false, true, true]);
    assert_eq!(
        run_with_marks("true"),
        [false; 4],
        "if callers mark retries, only the mark counts"
    );
}

#[test]
fn an_allowance_is_divided_by_the_recent_callers() {
    let mut controller = start_controller(&[
        ("FamilyInfo.Say", "allowance"),
        ("FamilyInfo.HeededUs", "1000000"),
        ("FamilyInfo.ClientsTotal", "1000"),
    ]);
    for (now, callers, each) in [(0.0, 0..4, 1.0), (2.0, 4..6, 2.0)] {
        for caller in callers {
            controller.invocation_arrived(
                now,
                0,
                Invocation {
                    caller,
                    caller_timeout: Some(0.0),
                    ..invocation(0)
                },
            );
        }
        controller.timer_fired(now + 0.3, 0, &gauges(0.5));
        let value = Some(each * (1.0 - controller.advertisement.level));
        assert_eq!(
            controller.advertisement.last.and_then(|last| last.level),
            value,
            "twice the limit of 2, divided by the recent callers"
        );
    }
}
