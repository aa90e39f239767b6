//! Each test sends a short sequence of events to one controller and compares the trace of its
//! decisions with a snapshot.

mod helpers;

use helpers::{NEVER_RAN, SUCCEEDED, Scenario, UNKNOWN_OUTCOME, invocation, scenario};
use merlinshelf_admission::{DownstreamQuota, Invocation, Outcome, PriorEstimate, PriorEstimates};

#[test]
fn over_the_limit_low_priority_buckets_are_rejected_on_arrival() {
    let mut scenario = scenario(&[]);
    scenario.tick(0.0, 0.95);
    for number in 0..3 {
        scenario.arrive(0.01, number, invocation(0));
    }
    // The threshold is 640 x (1 - 0.95^3) = 91, so that only the highest bucket can pass.
    scenario.arrive(
        0.02,
        3,
        Invocation {
            rank: 0.1,
            ..invocation(0)
        },
    );
    scenario.arrive(
        0.02,
        4,
        Invocation {
            rank: 0.99,
            ..invocation(2)
        },
    );
    scenario.tick(0.03, 0.7);
    scenario.arrive(
        0.04,
        5,
        Invocation {
            rank: 0.1,
            ..invocation(0)
        },
    );
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_stale_gauge_or_a_hang_does_not_admit_everything() {
    let mut scenario = scenario(&[]);
    scenario.tick(0.0, 0.1);
    for number in 0..4 {
        scenario.arrive(0.01, number, invocation(0));
    }
    scenario.tick(0.96, 0.0);
    scenario.arrive(0.97, 4, invocation(0));
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn answers_are_sent_before_their_deadline() {
    let mut scenario = scenario(&[
        ("FamilyInfo.Halt", "freeze"),
        ("Classes.0.LateWorth", "0.2"),
    ]);
    scenario.arrive(
        0.0,
        0,
        Invocation {
            caller_timeout: Some(0.5),
            ..invocation(0)
        },
    );
    scenario.arrive(
        0.0,
        1,
        Invocation {
            age: 0.3,
            ..invocation(2)
        },
    );
    scenario.request_call(0.1, 1);
    scenario.arrive(
        0.1,
        2,
        Invocation {
            caller_timeout: Some(0.3),
            ..invocation(2)
        },
    );
    scenario.arrive(
        0.1,
        3,
        Invocation {
            caller_timeout: Some(0.3),
            ..invocation(0)
        },
    );
    for tick in 0..170 {
        scenario.tick(0.1 + f64::from(tick) * 0.01, 0.5);
    }
    scenario.trace = scenario
        .trace
        .lines()
        .filter(|line| !line.ends_with("->"))
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn an_invocation_with_an_idempotency_key_runs_once() {
    let mut scenario = scenario(&[]);
    scenario.arrive(0.0, 0, invocation(1));
    scenario.arrive(
        0.0,
        1,
        Invocation {
            is_repeat: true,
            original: Some(0),
            ..invocation(1)
        },
    );
    scenario.end_run(0.3, 0, SUCCEEDED, 0.3);
    scenario.end_run(0.31, 1, SUCCEEDED, 0.01);
    // The original has run and its number is no longer known: the repeat can only receive its
    // cached result, also during a shutdown.
    scenario.shut_down(0.4, 5.0);
    scenario.arrive(
        2.0,
        2,
        Invocation {
            is_repeat: true,
            ..invocation(1)
        },
    );
    scenario.tick(3.99, 0.5);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_repeat_of_an_invocation_rejected_at_the_same_time_runs() {
    let mut scenario = scenario(&[("FamilyInfo.HeapKb", "1000")]);
    scenario.arrive(
        0.0,
        0,
        Invocation {
            held_kilobytes: 150.0,
            ..invocation(0)
        },
    );
    scenario.arrive(
        0.0,
        1,
        Invocation {
            held_kilobytes: 250.0,
            ..invocation(1)
        },
    );
    scenario.end_run(0.0, 0, SUCCEEDED, 0.1);
    scenario.arrive(
        0.0,
        2,
        Invocation {
            is_repeat: true,
            original: Some(1),
            ..invocation(1)
        },
    );
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_call_with_unknown_outcome_is_not_retried_unless_idempotent() {
    let mut scenario = scenario(&[]);
    scenario.arrive(0.0, 0, invocation(2));
    scenario.request_call(0.1, 0);
    scenario.end_call(0.2, 0, NEVER_RAN);
    scenario.end_call(0.3, 0, UNKNOWN_OUTCOME);
    scenario.end_run(
        0.31,
        0,
        Outcome {
            stopped: true,
            ..UNKNOWN_OUTCOME
        },
        0.31,
    );
    scenario.arrive(0.4, 1, invocation(0));
    scenario.request_call(0.5, 1);
    scenario.end_call(0.6, 1, UNKNOWN_OUTCOME);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn after_consecutive_failures_the_breaker_allows_single_trial_calls() {
    let mut scenario = scenario(&[
        ("FamilyInfo.CallShare", "20"),
        ("Classes.0.AimUs", "2000000"),
    ]);
    for number in 0..5 {
        let now = f64::from(number) * 0.02;
        let number = number as usize;
        scenario.arrive(now, number, invocation(0));
        scenario.request_call(now, number);
        scenario.end_call(now + 0.01, number, UNKNOWN_OUTCOME);
        scenario.disconnect(now + 0.01, number);
        scenario.end_run(
            now + 0.01,
            number,
            Outcome {
                stopped: true,
                ..UNKNOWN_OUTCOME
            },
            0.01,
        );
    }
    scenario.arrive(0.2, 5, invocation(0));
    scenario.request_call(0.21, 5);
    scenario.tick(0.65, 0.5);
    scenario.arrive(0.7, 6, invocation(0));
    scenario.arrive(0.7, 7, invocation(0));
    scenario.request_call(0.71, 6);
    scenario.request_call(0.72, 7);
    scenario.end_call(0.73, 6, SUCCEEDED);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn after_the_breaker_pause_queued_runs_start_for_the_trial_call() {
    let mut scenario = scenario(&[("FamilyInfo.CallShare", "20")]);
    for number in 0..5 {
        scenario.arrive(0.0, number, invocation(2));
        scenario.request_call(0.0, number);
        scenario.end_call(0.01, number, UNKNOWN_OUTCOME);
        scenario.end_run(
            0.01,
            number,
            Outcome {
                stopped: true,
                ..UNKNOWN_OUTCOME
            },
            0.01,
        );
    }
    scenario.arrive(0.1, 5, invocation(2));
    scenario.arrive(0.1, 6, invocation(2));
    scenario.tick(0.2, 0.5);
    scenario.tick(0.6, 0.5);
    scenario.request_call(0.61, 5);
    scenario.trace = scenario
        .trace
        .lines()
        .skip(21)
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn work_other_than_runs_leaves_fewer_cores_for_runs() {
    let mut scenario = scenario(&[("FamilyInfo.Cores", "4")]);
    for tick in 0..24 {
        let gauges = [("cpu_busy".to_owned(), 0.5), ("runnable".to_owned(), 1.5)].into();
        scenario
            .controller
            .timer_fired(100.0 + 0.01 * f64::from(tick), 0, &gauges);
    }
    for number in 0..4 {
        scenario.arrive(0.3, number, invocation(0));
    }
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn overdue_runs_raise_the_expected_duration_before_the_first_run_ends() {
    let mut scenario = scenario(&[("Classes.2.AimUs", "800000")]);
    scenario.arrive(0.0, 0, invocation(2));
    scenario.arrive(0.0, 1, invocation(2));
    scenario.tick(0.8, 0.5);
    scenario.arrive(0.85, 2, invocation(2));
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn while_warming_up_cost_hints_are_used_until_the_first_sample() {
    for fresh in ["true", "false"] {
        let cold = [
            ("FamilyInfo.FreshStart", fresh),
            ("Rules.WarmUpUs", "10000000"),
            ("Rules.StartCapacity", "0.2"),
        ];
        let mut scenario = scenario(&cold);
        scenario.tick(0.1, 0.5);
        for number in 0..4 {
            scenario.arrive(
                0.1,
                number,
                Invocation {
                    cost_hint: Some(0.1),
                    ..invocation(0)
                },
            );
        }
        insta::assert_snapshot!(format!("fresh_{fresh}"), scenario.trace);
    }
}

#[test]
fn a_first_attempt_expected_to_miss_its_objective_is_rejected_with_idle_cores() {
    let mut scenario = scenario(&[]);
    scenario.arrive(
        0.0,
        0,
        Invocation {
            cost_hint: Some(0.2),
            ..invocation(0)
        },
    );
    scenario.end_run(0.6, 0, SUCCEEDED, 0.6);
    scenario.arrive(
        1.0,
        1,
        Invocation {
            cost_hint: Some(0.4),
            ..invocation(0)
        },
    );
    scenario.arrive(
        1.0,
        2,
        Invocation {
            cost_hint: Some(0.4),
            ..invocation(0)
        },
    );
    scenario.arrive(
        1.0,
        3,
        Invocation {
            cost_hint: Some(0.4),
            is_retry: true,
            ..invocation(0)
        },
    );
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn abandoned_calls_raise_the_expected_downstream_duration() {
    let mut scenario = scenario(&[]);
    scenario.arrive(0.0, 0, invocation(2));
    scenario.request_call(0.0, 0);
    scenario.end_call(1.01, 0, UNKNOWN_OUTCOME);
    scenario.end_run(
        1.01,
        0,
        Outcome {
            stopped: true,
            ..UNKNOWN_OUTCOME
        },
        1.01,
    );
    scenario.arrive(1.1, 1, invocation(2));
    scenario.arrive(1.2, 2, invocation(2));
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_flood_of_repeats_stays_within_the_memory_limit() {
    let mut scenario = scenario(&[("FamilyInfo.HeapKb", "600")]);
    scenario.arrive(0.0, 0, invocation(1));
    for number in 1..7 {
        scenario.arrive(
            0.1,
            number,
            Invocation {
                is_repeat: true,
                original: Some(0),
                ..invocation(1)
            },
        );
    }
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn scarce_calls_go_to_the_run_that_loses_the_most_value_without_one() {
    let mut scenario = scenario(&[("FamilyInfo.CallShare", "1.2")]);
    scenario.arrive(0.0, 0, invocation(0));
    scenario.arrive(0.0, 1, invocation(0));
    scenario.request_call(0.1, 0);
    scenario.request_call(0.1, 1);
    scenario.arrive(0.2, 2, invocation(2));
    scenario.request_call(0.3, 2);
    scenario.end_call(0.4, 0, SUCCEEDED);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn abandoned_calls_use_the_quota_while_the_dependency_processes_them() {
    let mut scenario = scenario(&[
        ("FamilyInfo.CallShare", "0.7"),
        ("FamilyInfo.DepWindowUs", "1000000"),
        ("Classes.2.AimUs", "2000000"),
    ]);
    scenario.arrive(0.0, 0, invocation(2));
    scenario.request_call(0.1, 0);
    scenario.disconnect(0.15, 0);
    scenario.end_run(
        0.15,
        0,
        Outcome {
            stopped: true,
            ..UNKNOWN_OUTCOME
        },
        0.15,
    );
    scenario.arrive(0.15, 1, invocation(2));
    scenario.request_call(0.16, 1);
    scenario.tick(0.25, 0.5);
    scenario.tick(1.6, 0.5);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn calls_that_slow_down_under_concurrency_lower_the_call_limit() {
    let mut scenario = scenario(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "12")]);
    let mut now = 0.0;
    for round in 0..40 {
        for number in 0..8 {
            scenario.arrive(now, number, invocation(2));
            scenario.request_call(now, number);
        }
        let call_duration = if round < 4 { 0.02 } else { 0.08 };
        for number in 0..8 {
            scenario.end_call(now + call_duration, number, SUCCEEDED);
            scenario.end_run(
                now + call_duration,
                number,
                SUCCEEDED,
                call_duration + 0.001,
            );
        }
        now += 0.2;
    }
    let calls = |round: usize| {
        let from = format!("{:.2} ", round as f64 * 0.2);
        let lines = scenario
            .trace
            .lines()
            .filter(|line| line.starts_with(&from) && line.contains("requests"));
        lines.filter(|line| line.contains("called")).count()
    };
    insta::assert_snapshot!(format!(
        "calls at once: round 1 {}, round 30 {}",
        calls(1),
        calls(30)
    ));
}

#[test]
fn during_shutdown_arrivals_after_the_grace_are_not_run_and_all_are_answered() {
    let mut scenario = scenario(&[]);
    scenario.arrive(0.0, 0, invocation(0));
    scenario.arrive(0.0, 1, invocation(2));
    scenario.shut_down(0.1, 1.5);
    scenario.arrive(
        0.9,
        2,
        Invocation {
            age: 0.05,
            ..invocation(0)
        },
    );
    scenario.arrive(1.2, 3, invocation(0));
    scenario.tick(1.59, 0.5);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn fewer_runs_start_while_warming_up_or_short_of_memory() {
    let cold = [
        ("FamilyInfo.FreshStart", "true"),
        ("Rules.WarmUpUs", "10000000"),
        ("Rules.StartCapacity", "0.1"),
        ("FamilyInfo.CallShare", "100"),
    ];
    for now in [0.0, 12.0] {
        let mut scenario = scenario(&cold);
        scenario.tick(now, 0.5);
        for number in 0..9 {
            scenario.arrive(now, number, invocation(2));
            scenario.request_call(now, number);
        }
        let started = scenario.trace.matches("started").count();
        insta::assert_snapshot!(
            format!("started_at_{now}"),
            format!("started before any came back: {started}")
        );
    }
    let mut scenario = scenario(&[("FamilyInfo.HeapKb", "700")]);
    for number in 0..9 {
        scenario.arrive(0.0, number, invocation(0));
    }
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn customers_over_their_quota_are_rejected_first() {
    let shares = [
        ("Tenants.count", "2"),
        ("Tenants.0.QuotaPerS", "10"),
        ("Tenants.1.QuotaPerS", "900"),
        ("Servers", "2"),
    ];
    let mut scenario = scenario(&shares);
    scenario.tick(0.0, 0.85);
    for number in 0..40 {
        let now = 0.005 * number as f64;
        scenario.arrive(
            now,
            number,
            Invocation {
                customer: number % 2,
                rank: 0.7,
                ..invocation(0)
            },
        );
    }
    let trace = &scenario.trace;
    let rejected = |rest: usize| {
        (0..40).filter(move |n| n % 2 == rest && trace.contains(&format!("rejected: [({n},")))
    };
    insta::assert_snapshot!(format!(
        "rejected: {} of the one over its quota, {} of the other",
        rejected(0).count(),
        rejected(1).count()
    ));
}

#[test]
fn retries_wait_behind_first_attempts() {
    let mut scenario = scenario(&[]);
    scenario.arrive(0.0, 0, invocation(0));
    scenario.arrive(0.0, 1, invocation(0));
    scenario.arrive(
        0.1,
        2,
        Invocation {
            is_retry: true,
            ..invocation(0)
        },
    );
    scenario.arrive(0.2, 3, invocation(0));
    scenario.end_run(0.3, 0, SUCCEEDED, 0.3);
    scenario.end_run(0.31, 1, SUCCEEDED, 0.31);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_retry_with_a_short_timeout_is_not_rejected_with_idle_cores() {
    let mut scenario = scenario(&[]);
    scenario.arrive(0.0, 0, invocation(0));
    scenario.end_run(0.6, 0, SUCCEEDED, 0.6);
    scenario.arrive(
        1.0,
        1,
        Invocation {
            caller_timeout: Some(0.4),
            is_retry: true,
            ..invocation(0)
        },
    );
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn the_advertised_value_has_the_form_selected_by_the_settings() {
    let mut shown = String::new();
    for say in ["silent", "floor", "allowance", "weight"] {
        let extra = [
            ("FamilyInfo.Say", say),
            ("FamilyInfo.CallerIdleUs", "30000000"),
            ("FamilyInfo.ClientsTotal", "2"),
        ];
        let mut scenario = scenario(&extra);
        scenario.shut_down(0.1, 1.0);
        shown.push_str(&format!("{say}:\n{}", scenario.trace));
    }
    insta::assert_snapshot!(shown);
}

#[test]
fn the_idle_timeout_is_short_when_few_callers_return() {
    for callers in [3, 900] {
        let mut scenario = scenario(&[("FamilyInfo.CallerIdleUs", "30000000")]);
        for number in 0..30 {
            let now = 0.2 * number as f64;
            scenario.arrive(
                now,
                number,
                Invocation {
                    caller: number as u64 % callers,
                    ..invocation(0)
                },
            );
            scenario.end_run(now + 0.1, number, SUCCEEDED, 0.1);
        }
        let lines = scenario
            .trace
            .lines()
            .filter(|line| line.contains("idle_timeout"))
            .collect::<Vec<_>>()
            .join("\n");
        insta::assert_snapshot!(format!("idle_timeout_with_{callers}_callers"), lines);
    }
}

#[test]
fn in_a_retry_storm_callers_are_asked_not_to_fail_over() {
    let mut scenario = scenario(&[]);
    let large_invocation = |number: usize| Invocation {
        is_retry: number % 4 == 3,
        held_kilobytes: 9000.0,
        ..invocation(0)
    };
    (0..8).for_each(|number| scenario.arrive(0.1, number, large_invocation(number)));
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn calls_under_a_quota_below_one_are_spread_and_have_full_timeouts() {
    let mut scenario = scenario(&[
        ("FamilyInfo.CallShare", "0.3"),
        ("Classes.2.AimUs", "9000000"),
    ]);
    for number in 0..24 {
        let now = 0.2 * number as f64;
        scenario.arrive(
            now,
            number,
            Invocation {
                caller_timeout: Some(9.0),
                ..invocation(2)
            },
        );
        scenario.request_call(now + 0.01, number);
        scenario.end_call(now + 0.05, number, SUCCEEDED);
        scenario.end_run(now + 0.06, number, SUCCEEDED, 0.05);
    }
    let calls = scenario
        .trace
        .lines()
        .filter(|line| line.contains("called:"))
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(calls);
}

#[test]
fn under_a_tiny_call_quota_backends_take_turns() {
    let mut scenario = scenario(&[
        ("FamilyInfo.CallShare", "0.03"),
        ("Classes.2.AimUs", "9000000"),
    ]);
    for number in 0..30 {
        let now = 2.0 * number as f64;
        scenario.arrive(
            now,
            number,
            Invocation {
                caller_timeout: Some(1.0),
                ..invocation(2)
            },
        );
        scenario.request_call(now + 0.01, number);
        scenario.end_call(now + 0.05, number, SUCCEEDED);
        scenario.end_run(now + 0.06, number, SUCCEEDED, 0.05);
    }
    let calls = scenario
        .trace
        .lines()
        .filter(|line| line.contains("called:"))
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(calls);
}

#[test]
fn half_of_the_calls_is_reserved_for_operations_that_need_them() {
    let mut scenario = scenario(&[
        ("FamilyInfo.CallShare", "0.3"),
        ("Classes.0.AimUs", "9000000"),
    ]);
    let wait = Invocation {
        caller_timeout: Some(9.0),
        ..invocation(0)
    };
    for (number, operation) in [2, 0, 0, 0, 2].into_iter().enumerate() {
        let now = 0.2 * number as f64;
        scenario.arrive(
            now,
            number,
            Invocation {
                operation,
                ..wait.clone()
            },
        );
        scenario.request_call(now + 0.01, number);
        scenario.end_call(now + 0.05, number, SUCCEEDED);
        scenario.end_run(now + 0.06, number, SUCCEEDED, 0.05);
    }
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_retry_whose_caller_has_waited_briefly_keeps_its_full_objective() {
    let mut scenario = scenario(&[]);
    scenario.arrive(0.0, 0, invocation(0));
    scenario.end_run(0.5, 0, SUCCEEDED, 0.5);
    scenario.arrive(1.0, 1, invocation(0));
    scenario.arrive(1.0, 2, invocation(0));
    scenario.tick(1.15, 0.5);
    scenario.arrive(
        1.2,
        3,
        Invocation {
            is_retry: true,
            caller_timeout: Some(0.9),
            ..invocation(0)
        },
    );
    scenario.arrive(
        1.2,
        4,
        Invocation {
            is_retry: true,
            caller_timeout: Some(1.95),
            ..invocation(0)
        },
    );
    scenario.end_run(1.5, 1, SUCCEEDED, 0.5);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn an_invalid_setting_is_named_in_the_error() {
    let settings = [("FamilyInfo.Cores".to_owned(), "six".to_owned())].into();
    insta::assert_snapshot!(
        merlinshelf_admission::AdmissionController::start(0.0, 1, settings)
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default()
    );
}

fn prior(value: f64, weight: f64) -> Option<PriorEstimate> {
    Some(PriorEstimate { value, weight })
}

#[test]
fn with_a_prior_estimate_of_an_outage_the_first_call_is_a_trial_that_can_close_the_breaker() {
    for (weight, outcome) in [(0.6, SUCCEEDED), (0.6, UNKNOWN_OUTCOME), (0.1, SUCCEEDED)] {
        let mut scenario = scenario(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "8")]);
        scenario.controller.set_prior_estimates(PriorEstimates {
            call_failures: prior(9.0, weight),
            ..PriorEstimates::default()
        });
        for number in 0..3 {
            scenario.arrive(0.0, number, invocation(0));
            scenario.request_call(0.01, number);
        }
        scenario.end_call(0.03, 0, outcome);
        // After the first call, another estimate has no effect.
        scenario.controller.set_prior_estimates(PriorEstimates {
            call_failures: prior(12.0, weight),
            ..PriorEstimates::default()
        });
        scenario.arrive(0.04, 3, invocation(0));
        scenario.request_call(0.05, 3);
        insta::assert_snapshot!(
            format!("prior_{weight}_{}", outcome.succeeded),
            scenario.trace
        );
    }
}

#[test]
fn prior_run_durations_apply_during_a_trial_and_are_ignored_if_it_is_twice_as_fast() {
    let mut scenario = scenario(&[]);
    scenario.controller.set_prior_estimates(PriorEstimates {
        run_durations: vec![None, None, prior(5.0, 0.7)],
        ..PriorEstimates::default()
    });
    scenario.arrive(0.0, 0, invocation(2));
    scenario.arrive(0.01, 1, invocation(2)); // expected to last 5 s with an objective of 1 s: rejected
    scenario.end_run(0.05, 0, SUCCEEDED, 0.05);
    scenario.arrive(0.06, 2, invocation(2)); // the trial lasted 50 ms: the estimate is ignored
    scenario.arrive(0.07, 3, invocation(2));
    scenario.end_run(0.09, 2, SUCCEEDED, 0.03);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn limits_start_from_prior_estimates_and_follow_own_samples() {
    let estimates = PriorEstimates {
        concurrency_limit: prior(6.0, 1.0),
        call_limit: prior(1e6, 1.0),
        lowest_call_mean: prior(0.004, 0.7),
        lowest_durations: vec![prior(0.02, 0.7); 3],
        ..PriorEstimates::default()
    };
    let mut scenario = scenario(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "2")]);
    scenario.controller.set_prior_estimates(estimates.clone());
    let learned = scenario.controller.learned_state();
    // Estimates are limited to the range that the settings allow.
    assert_eq!(
        (
            learned.concurrency_limit,
            learned.call_limit,
            learned.lowest_call_mean
        ),
        (4.0, 8.0, 0.004)
    );
    // Estimates are not passed on as samples.
    assert!(
        learned
            .operations
            .iter()
            .all(|operation| operation.run_durations.is_empty())
            && learned.call_durations.is_empty()
    );
    for number in 0..40 {
        let now = 0.1 * number as f64;
        scenario.arrive(now, number, invocation(0));
        scenario.request_call(now + 0.01, number);
        scenario.end_call(now + 0.03, number, SUCCEEDED);
        scenario.end_run(now + 0.05, number, SUCCEEDED, 0.05);
    }
    scenario.controller.set_prior_estimates(estimates);
    let learned = scenario.controller.learned_state();
    assert!(
        (0.019..0.021).contains(&learned.lowest_call_mean),
        "replaced by own samples: {}",
        learned.lowest_call_mean
    );
    assert!(
        (0.029..0.031).contains(&learned.operations[0].lowest_duration),
        "{}",
        learned.operations[0].lowest_duration
    );
    assert!(learned.concurrency_limit >= 2.0);
}

#[test]
fn prior_estimates_are_ignored_after_eight_own_samples() {
    let wrong_estimates = PriorEstimates {
        run_durations: vec![prior(0.06, 1.0); 3],
        downstream_durations: vec![prior(500.0, 1.0); 3],
        retry_share: prior(1.0, 1.0),
        returning_caller_share: prior(0.0, 1.0),
        ..PriorEstimates::default()
    };
    let traces = [PriorEstimates::default(), wrong_estimates].map(|prior_estimates| {
        let mut scenario = scenario(&[
            ("FamilyInfo.CallShare", "20"),
            ("FamilyInfo.CallerIdleUs", "30000000"),
        ]);
        for number in 0..10 {
            let now = 0.1 * number as f64;
            scenario.arrive(now, number, invocation(0));
            scenario.request_call(now + 0.01, number);
            scenario.end_call(now + 0.03, number, SUCCEEDED);
            scenario.end_run(now + 0.05, number, SUCCEEDED, 0.05);
        }
        scenario.controller.set_prior_estimates(prior_estimates);
        scenario.trace.clear();
        for number in 10..20 {
            scenario.arrive(1.0, number, invocation(0));
        }
        for number in 10..20 {
            scenario.request_call(1.05, number);
            scenario.end_run(1.1, number, SUCCEEDED, 0.1);
        }
        scenario.tick(1.3, 0.9);
        scenario.trace
    });
    assert_eq!(traces[0], traces[1]);
}

#[test]
fn an_operation_with_an_objective_of_zero_is_rejected_even_with_idle_cores() {
    let mut scenario = scenario(&[("Classes.0.AimUs", "0"), ("Classes.0.LateWorth", "1")]);
    scenario.tick(0.0, 0.1);
    scenario.arrive(0.01, 0, invocation(0));
    scenario.arrive(
        0.02,
        1,
        Invocation {
            is_retry: true,
            ..invocation(0)
        },
    );
    scenario.arrive(0.03, 2, invocation(2));
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_downstream_quota_limits_calls() {
    let mut scenario = scenario(&[("FamilyInfo.CallShare", "50")]);
    let set_quota =
        |scenario: &mut Scenario, remaining: [u32; 3], probes_only: bool, reopened: bool| {
            let [first_calls, retries, probes] = remaining;
            let usage = scenario.controller.set_downstream_quota(DownstreamQuota {
                first_calls,
                retries,
                probes,
                probes_only,
                reopened,
            });
            let unused = [
                usage.unused.first_calls,
                usage.unused.retries,
                usage.unused.probes,
            ];
            scenario.trace.push_str(&format!(
                "unused quota {:?}, failing {}\n",
                unused.map(|calls| calls.min(99)),
                usage.is_failing
            ));
        };
    scenario.arrive(0.01, 0, invocation(0));
    scenario.arrive(0.02, 1, invocation(2));
    set_quota(&mut scenario, [1, 0, 0], false, false);
    scenario.request_call(0.10, 0); // uses the only first call
    scenario.request_call(0.11, 1); // needs its call: waits
    set_quota(&mut scenario, [1, 0, 0], false, false);
    scenario.tick(0.12, 0.1); // starts its first call
    scenario.end_call(0.14, 0, UNKNOWN_OUTCOME); // no retry is left: it continues without its call
    set_quota(&mut scenario, [9, 1, 0], false, false);
    scenario.end_call(0.16, 1, NEVER_RAN); // starts a retry
    set_quota(&mut scenario, [9, 9, 0], true, false); // the dependency fails for the whole fleet
    scenario.end_call(0.20, 1, NEVER_RAN); // no trial call is left
    set_quota(&mut scenario, [9, 9, 1], true, false);
    scenario.tick(0.80, 0.1); // starts the trial call
    set_quota(&mut scenario, [9, 9, 0], false, true); // the dependency has recovered for the whole fleet
    scenario.end_call(0.90, 1, SUCCEEDED);
    set_quota(&mut scenario, [9, 9, 9], false, false);
    insta::assert_snapshot!(scenario.trace);
}
