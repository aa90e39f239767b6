//! Each test plays a few moments of one backend and compares what was decided with a kept trace.

mod helpers;

use helpers::{LOST, OK, Play, UNSEEN, invocation, play};
use merlinshelf_admission::{DownstreamQuota, Invocation, Outcome, PriorEstimate, PriorEstimates};

#[test]
fn over_the_limit_low_priority_buckets_are_rejected_on_arrival() {
    let mut play = play(&[]);
    play.tick(0.0, 0.95);
    for number in 0..3 {
        play.arrive(0.01, number, invocation(0));
    }
    // 640 x (1 - 0.95^3) is 91: only the highest bucket can pass.
    play.arrive(
        0.02,
        3,
        Invocation {
            rank: 0.1,
            ..invocation(0)
        },
    );
    play.arrive(
        0.02,
        4,
        Invocation {
            rank: 0.99,
            ..invocation(2)
        },
    );
    play.tick(0.03, 0.7);
    play.arrive(
        0.04,
        5,
        Invocation {
            rank: 0.1,
            ..invocation(0)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_stale_gauge_or_a_hang_does_not_admit_everything() {
    let mut play = play(&[]);
    play.tick(0.0, 0.1);
    for number in 0..4 {
        play.arrive(0.01, number, invocation(0));
    }
    play.tick(0.96, 0.0);
    play.arrive(0.97, 4, invocation(0));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn answers_come_before_their_deadline() {
    let mut play = play(&[
        ("FamilyInfo.Halt", "freeze"),
        ("Classes.0.LateWorth", "0.2"),
    ]);
    play.arrive(
        0.0,
        0,
        Invocation {
            caller_timeout: Some(0.5),
            ..invocation(0)
        },
    );
    play.arrive(
        0.0,
        1,
        Invocation {
            age: 0.3,
            ..invocation(2)
        },
    );
    play.request_call(0.1, 1);
    play.arrive(
        0.1,
        2,
        Invocation {
            caller_timeout: Some(0.3),
            ..invocation(2)
        },
    );
    play.arrive(
        0.1,
        3,
        Invocation {
            caller_timeout: Some(0.3),
            ..invocation(0)
        },
    );
    for tick in 0..170 {
        play.tick(0.1 + f64::from(tick) * 0.01, 0.5);
    }
    play.trace = play
        .trace
        .lines()
        .filter(|line| !line.ends_with("->"))
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(play.trace);
}

#[test]
fn an_invocation_with_an_idempotency_key_runs_once() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, invocation(1));
    play.arrive(
        0.0,
        1,
        Invocation {
            is_repeat: true,
            original: Some(0),
            ..invocation(1)
        },
    );
    play.end_run(0.3, 0, OK, 0.3);
    play.end_run(0.31, 1, OK, 0.01);
    // Run and no longer known by its number: its result is all that can be had, also during a
    // shutdown.
    play.shut_down(0.4, 5.0);
    play.arrive(
        2.0,
        2,
        Invocation {
            is_repeat: true,
            ..invocation(1)
        },
    );
    play.tick(3.99, 0.5);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_key_rejected_before_its_run_starts_afresh_in_the_same_batch() {
    let mut play = play(&[("FamilyInfo.HeapKb", "1000")]);
    play.arrive(
        0.0,
        0,
        Invocation {
            held_kilobytes: 150.0,
            ..invocation(0)
        },
    );
    play.arrive(
        0.0,
        1,
        Invocation {
            held_kilobytes: 250.0,
            ..invocation(1)
        },
    );
    play.end_run(0.0, 0, OK, 0.1);
    play.arrive(
        0.0,
        2,
        Invocation {
            is_repeat: true,
            original: Some(1),
            ..invocation(1)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_call_with_unknown_outcome_is_not_retried_unless_idempotent() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, invocation(2));
    play.request_call(0.1, 0);
    play.end_call(0.2, 0, UNSEEN);
    play.end_call(0.3, 0, LOST);
    play.end_run(
        0.31,
        0,
        Outcome {
            stopped: true,
            ..LOST
        },
        0.31,
    );
    play.arrive(0.4, 1, invocation(0));
    play.request_call(0.5, 1);
    play.end_call(0.6, 1, LOST);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn after_consecutive_failures_the_breaker_lets_single_trials_through() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "20"),
        ("Classes.0.AimUs", "2000000"),
    ]);
    for number in 0..5 {
        let at = f64::from(number) * 0.02;
        let number = number as usize;
        play.arrive(at, number, invocation(0));
        play.request_call(at, number);
        play.end_call(at + 0.01, number, LOST);
        play.disconnect(at + 0.01, number);
        play.end_run(
            at + 0.01,
            number,
            Outcome {
                stopped: true,
                ..LOST
            },
            0.01,
        );
    }
    play.arrive(0.2, 5, invocation(0));
    play.request_call(0.21, 5);
    play.tick(0.65, 0.5);
    play.arrive(0.7, 6, invocation(0));
    play.arrive(0.7, 7, invocation(0));
    play.request_call(0.71, 6);
    play.request_call(0.72, 7);
    play.end_call(0.73, 6, OK);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn an_open_breaker_still_lets_one_run_start_for_the_trial() {
    let mut play = play(&[("FamilyInfo.CallShare", "20")]);
    for number in 0..5 {
        play.arrive(0.0, number, invocation(2));
        play.request_call(0.0, number);
        play.end_call(0.01, number, LOST);
        play.end_run(
            0.01,
            number,
            Outcome {
                stopped: true,
                ..LOST
            },
            0.01,
        );
    }
    play.arrive(0.1, 5, invocation(2));
    play.arrive(0.1, 6, invocation(2));
    play.tick(0.2, 0.5);
    play.tick(0.6, 0.5);
    play.request_call(0.61, 5);
    play.trace = play.trace.lines().skip(21).collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(play.trace);
}

#[test]
fn what_costs_much_to_read_leaves_fewer_cores_to_runs() {
    let mut play = play(&[("FamilyInfo.Cores", "4")]);
    for tick in 0..24 {
        let gauges = [("cpu_busy".to_owned(), 0.5), ("runnable".to_owned(), 1.5)].into();
        play.controller
            .timer_fired(100.0 + 0.01 * f64::from(tick), 0, &gauges);
    }
    for number in 0..4 {
        play.arrive(0.3, number, invocation(0));
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_slow_start_shows_before_the_first_run_ends() {
    let mut play = play(&[("Classes.2.AimUs", "800000")]);
    play.arrive(0.0, 0, invocation(2));
    play.arrive(0.0, 1, invocation(2));
    play.tick(0.8, 0.5);
    play.arrive(0.85, 2, invocation(2));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_backend_warming_up_judges_by_hints_before_its_first_sample() {
    for fresh in ["true", "false"] {
        let cold = [
            ("FamilyInfo.FreshStart", fresh),
            ("Rules.WarmUpUs", "10000000"),
            ("Rules.StartCapacity", "0.2"),
        ];
        let mut play = play(&cold);
        play.tick(0.1, 0.5);
        for number in 0..4 {
            play.arrive(
                0.1,
                number,
                Invocation {
                    cost_hint: Some(0.1),
                    ..invocation(0)
                },
            );
        }
        insta::assert_snapshot!(format!("fresh_{fresh}"), play.trace);
    }
}

#[test]
fn a_first_attempt_too_long_for_this_machine_goes_elsewhere() {
    let mut play = play(&[]);
    play.arrive(
        0.0,
        0,
        Invocation {
            cost_hint: Some(0.2),
            ..invocation(0)
        },
    );
    play.end_run(0.6, 0, OK, 0.6);
    play.arrive(
        1.0,
        1,
        Invocation {
            cost_hint: Some(0.4),
            ..invocation(0)
        },
    );
    play.arrive(
        1.0,
        2,
        Invocation {
            cost_hint: Some(0.4),
            ..invocation(0)
        },
    );
    play.arrive(
        1.0,
        3,
        Invocation {
            cost_hint: Some(0.4),
            is_retry: true,
            ..invocation(0)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn abandoned_calls_show_that_the_dependency_is_slow() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, invocation(2));
    play.request_call(0.0, 0);
    play.end_call(1.01, 0, LOST);
    play.end_run(
        1.01,
        0,
        Outcome {
            stopped: true,
            ..LOST
        },
        1.01,
    );
    play.arrive(1.1, 1, invocation(2));
    play.arrive(1.2, 2, invocation(2));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_flood_of_repeats_keeps_within_memory() {
    let mut play = play(&[("FamilyInfo.HeapKb", "600")]);
    play.arrive(0.0, 0, invocation(1));
    for number in 1..7 {
        play.arrive(
            0.1,
            number,
            Invocation {
                is_repeat: true,
                original: Some(0),
                ..invocation(1)
            },
        );
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn scarce_calls_go_to_what_loses_most_without_them() {
    let mut play = play(&[("FamilyInfo.CallShare", "1.2")]);
    play.arrive(0.0, 0, invocation(0));
    play.arrive(0.0, 1, invocation(0));
    play.request_call(0.1, 0);
    play.request_call(0.1, 1);
    play.arrive(0.2, 2, invocation(2));
    play.request_call(0.3, 2);
    play.end_call(0.4, 0, OK);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn abandoned_calls_count_while_they_stay_downstream() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "0.7"),
        ("FamilyInfo.DepWindowUs", "1000000"),
        ("Classes.2.AimUs", "2000000"),
    ]);
    play.arrive(0.0, 0, invocation(2));
    play.request_call(0.1, 0);
    play.disconnect(0.15, 0);
    play.end_run(
        0.15,
        0,
        Outcome {
            stopped: true,
            ..LOST
        },
        0.15,
    );
    play.arrive(0.15, 1, invocation(2));
    play.request_call(0.16, 1);
    play.tick(0.25, 0.5);
    play.tick(1.6, 0.5);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn calls_that_slow_down_with_their_number_lower_their_limit() {
    let mut play = play(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "12")]);
    let mut at = 0.0;
    for round in 0..40 {
        for number in 0..8 {
            play.arrive(at, number, invocation(2));
            play.request_call(at, number);
        }
        let took = if round < 4 { 0.02 } else { 0.08 };
        for number in 0..8 {
            play.end_call(at + took, number, OK);
            play.end_run(at + took, number, OK, took + 0.001);
        }
        at += 0.2;
    }
    let calls = |round: usize| {
        let from = format!("{:.2} ", round as f64 * 0.2);
        let lines = play
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
fn a_draining_backend_runs_nothing_from_after_the_grace_and_answers_all() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, invocation(0));
    play.arrive(0.0, 1, invocation(2));
    play.shut_down(0.1, 1.5);
    play.arrive(
        0.9,
        2,
        Invocation {
            age: 0.05,
            ..invocation(0)
        },
    );
    play.arrive(1.2, 3, invocation(0));
    play.tick(1.59, 0.5);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn memory_and_concurrency_delay_starts_sooner_while_warming_up() {
    let cold = [
        ("FamilyInfo.FreshStart", "true"),
        ("Rules.WarmUpUs", "10000000"),
        ("Rules.StartCapacity", "0.1"),
        ("FamilyInfo.CallShare", "100"),
    ];
    for at in [0.0, 12.0] {
        let mut play = play(&cold);
        play.tick(at, 0.5);
        for number in 0..9 {
            play.arrive(at, number, invocation(2));
            play.request_call(at, number);
        }
        let started = play.trace.matches("started").count();
        insta::assert_snapshot!(
            format!("started_at_{at}"),
            format!("started before any came back: {started}")
        );
    }
    let mut play = play(&[("FamilyInfo.HeapKb", "700")]);
    for number in 0..9 {
        play.arrive(0.0, number, invocation(0));
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn customers_over_their_quota_are_rejected_first() {
    let shares = [
        ("Tenants.count", "2"),
        ("Tenants.0.QuotaPerS", "10"),
        ("Tenants.1.QuotaPerS", "900"),
        ("Servers", "2"),
    ];
    let mut play = play(&shares);
    play.tick(0.0, 0.85);
    for number in 0..40 {
        let at = 0.005 * number as f64;
        play.arrive(
            at,
            number,
            Invocation {
                customer: number % 2,
                rank: 0.7,
                ..invocation(0)
            },
        );
    }
    let trace = &play.trace;
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
    let mut play = play(&[]);
    play.arrive(0.0, 0, invocation(0));
    play.arrive(0.0, 1, invocation(0));
    play.arrive(
        0.1,
        2,
        Invocation {
            is_retry: true,
            ..invocation(0)
        },
    );
    play.arrive(0.2, 3, invocation(0));
    play.end_run(0.3, 0, OK, 0.3);
    play.end_run(0.31, 1, OK, 0.31);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn short_caller_timeouts_are_no_reason_to_reject_with_idle_cores() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, invocation(0));
    play.end_run(0.6, 0, OK, 0.6);
    play.arrive(
        1.0,
        1,
        Invocation {
            caller_timeout: Some(0.4),
            is_retry: true,
            ..invocation(0)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn what_is_advertised_follows_the_settings() {
    let mut shown = String::new();
    for say in ["silent", "floor", "allowance", "weight"] {
        let extra = [
            ("FamilyInfo.Say", say),
            ("FamilyInfo.CallerIdleUs", "30000000"),
            ("FamilyInfo.ClientsTotal", "2"),
        ];
        let mut play = play(&extra);
        play.shut_down(0.1, 1.0);
        shown.push_str(&format!("{say}:\n{}", play.trace));
    }
    insta::assert_snapshot!(shown);
}

#[test]
fn idle_connections_close_where_callers_hardly_come_back() {
    for callers in [3, 900] {
        let mut play = play(&[("FamilyInfo.CallerIdleUs", "30000000")]);
        for number in 0..30 {
            let at = 0.2 * number as f64;
            play.arrive(
                at,
                number,
                Invocation {
                    caller: number as u64 % callers,
                    ..invocation(0)
                },
            );
            play.end_run(at + 0.1, number, OK, 0.1);
        }
        let lines = play
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
    let mut play = play(&[]);
    let full = |number: usize| Invocation {
        is_retry: number % 4 == 3,
        held_kilobytes: 9000.0,
        ..invocation(0)
    };
    (0..8).for_each(|number| play.arrive(0.1, number, full(number)));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_call_quota_below_one_is_spread_and_no_call_cut_short() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "0.3"),
        ("Classes.2.AimUs", "9000000"),
    ]);
    for number in 0..24 {
        let at = 0.2 * number as f64;
        play.arrive(
            at,
            number,
            Invocation {
                caller_timeout: Some(9.0),
                ..invocation(2)
            },
        );
        play.request_call(at + 0.01, number);
        play.end_call(at + 0.05, number, OK);
        play.end_run(at + 0.06, number, OK, 0.05);
    }
    let calls = play
        .trace
        .lines()
        .filter(|line| line.contains("called:"))
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(calls);
}

#[test]
fn under_a_tiny_call_quota_backends_take_turns() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "0.03"),
        ("Classes.2.AimUs", "9000000"),
    ]);
    for number in 0..30 {
        let at = 2.0 * number as f64;
        play.arrive(
            at,
            number,
            Invocation {
                caller_timeout: Some(1.0),
                ..invocation(2)
            },
        );
        play.request_call(at + 0.01, number);
        play.end_call(at + 0.05, number, OK);
        play.end_run(at + 0.06, number, OK, 0.05);
    }
    let calls = play
        .trace
        .lines()
        .filter(|line| line.contains("called:"))
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(calls);
}

#[test]
fn half_of_the_calls_is_reserved_for_what_needs_them() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "0.3"),
        ("Classes.0.AimUs", "9000000"),
    ]);
    let wait = Invocation {
        caller_timeout: Some(9.0),
        ..invocation(0)
    };
    for (number, operation) in [2, 0, 0, 0, 2].into_iter().enumerate() {
        let at = 0.2 * number as f64;
        play.arrive(
            at,
            number,
            Invocation {
                operation,
                ..wait.clone()
            },
        );
        play.request_call(at + 0.01, number);
        play.end_call(at + 0.05, number, OK);
        play.end_run(at + 0.06, number, OK, 0.05);
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_retry_whose_caller_has_hardly_waited_has_its_full_objective() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, invocation(0));
    play.end_run(0.5, 0, OK, 0.5);
    play.arrive(1.0, 1, invocation(0));
    play.arrive(1.0, 2, invocation(0));
    play.tick(1.15, 0.5);
    play.arrive(
        1.2,
        3,
        Invocation {
            is_retry: true,
            caller_timeout: Some(0.9),
            ..invocation(0)
        },
    );
    play.arrive(
        1.2,
        4,
        Invocation {
            is_retry: true,
            caller_timeout: Some(1.95),
            ..invocation(0)
        },
    );
    play.end_run(1.5, 1, OK, 0.5);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_setting_that_cannot_be_read_is_named() {
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
fn with_a_prior_estimate_of_an_outage_the_first_call_is_a_trial_that_may_end_it() {
    for (weight, outcome) in [(0.6, OK), (0.6, LOST), (0.1, OK)] {
        let mut play = play(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "8")]);
        play.controller.set_prior_estimates(PriorEstimates {
            call_failures: prior(9.0, weight),
            ..PriorEstimates::default()
        });
        for number in 0..3 {
            play.arrive(0.0, number, invocation(0));
            play.request_call(0.01, number);
        }
        play.end_call(0.03, 0, outcome);
        // Set again, it changes nothing any more.
        play.controller.set_prior_estimates(PriorEstimates {
            call_failures: prior(12.0, weight),
            ..PriorEstimates::default()
        });
        play.arrive(0.04, 3, invocation(0));
        play.request_call(0.05, 3);
        insta::assert_snapshot!(format!("prior_{weight}_{}", outcome.succeeded), play.trace);
    }
}

#[test]
fn prior_run_durations_count_during_a_trial_and_are_dropped_once_it_was_twice_as_fast() {
    let mut play = play(&[]);
    play.controller.set_prior_estimates(PriorEstimates {
        run_durations: vec![None, None, prior(5.0, 0.7)],
        ..PriorEstimates::default()
    });
    play.arrive(0.0, 0, invocation(2));
    play.arrive(0.01, 1, invocation(2)); // estimated to last 5 s, against an objective of 1 s: rejected
    play.end_run(0.05, 0, OK, 0.05);
    play.arrive(0.06, 2, invocation(2)); // seen to last 50 ms: the estimate is dropped
    play.arrive(0.07, 3, invocation(2));
    play.end_run(0.09, 2, OK, 0.03);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn limits_start_from_prior_estimates_and_own_samples_move_them() {
    let estimates = PriorEstimates {
        concurrency_limit: prior(6.0, 1.0),
        call_limit: prior(1e6, 1.0),
        lowest_call_mean: prior(0.004, 0.7),
        lowest_durations: vec![prior(0.02, 0.7); 3],
        ..PriorEstimates::default()
    };
    let mut play = play(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "2")]);
    play.controller.set_prior_estimates(estimates.clone());
    let learned = play.controller.learned_state();
    // Within what the settings allow, whatever is estimated.
    assert_eq!(
        (
            learned.concurrency_limit,
            learned.call_limit,
            learned.lowest_call_mean
        ),
        (4.0, 8.0, 0.004)
    );
    // An estimate is not passed on as a sample.
    assert!(
        learned
            .operations
            .iter()
            .all(|operation| operation.run_durations.is_empty())
            && learned.call_durations.is_empty()
    );
    for number in 0..40 {
        let at = 0.1 * number as f64;
        play.arrive(at, number, invocation(0));
        play.request_call(at + 0.01, number);
        play.end_call(at + 0.03, number, OK);
        play.end_run(at + 0.05, number, OK, 0.05);
    }
    play.controller.set_prior_estimates(estimates);
    let learned = play.controller.learned_state();
    assert!(
        (0.019..0.021).contains(&learned.lowest_call_mean),
        "its own by now: {}",
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
fn beside_eight_own_samples_no_prior_estimate_counts() {
    let lie = PriorEstimates {
        run_durations: vec![prior(0.06, 1.0); 3],
        downstream_durations: vec![prior(500.0, 1.0); 3],
        retry_share: prior(1.0, 1.0),
        returning_caller_share: prior(0.0, 1.0),
        ..PriorEstimates::default()
    };
    let traces = [PriorEstimates::default(), lie].map(|prior_estimates| {
        let mut play = play(&[
            ("FamilyInfo.CallShare", "20"),
            ("FamilyInfo.CallerIdleUs", "30000000"),
        ]);
        for number in 0..10 {
            let at = 0.1 * number as f64;
            play.arrive(at, number, invocation(0));
            play.request_call(at + 0.01, number);
            play.end_call(at + 0.03, number, OK);
            play.end_run(at + 0.05, number, OK, 0.05);
        }
        play.controller.set_prior_estimates(prior_estimates);
        play.trace.clear();
        for number in 10..20 {
            play.arrive(1.0, number, invocation(0));
        }
        for number in 10..20 {
            play.request_call(1.05, number);
            play.end_run(1.1, number, OK, 0.1);
        }
        play.tick(1.3, 0.9);
        play.trace
    });
    assert_eq!(traces[0], traces[1]);
}

#[test]
fn an_operation_with_an_objective_of_zero_is_rejected_also_with_all_cores_free() {
    let mut play = play(&[("Classes.0.AimUs", "0"), ("Classes.0.LateWorth", "1")]);
    play.tick(0.0, 0.1);
    play.arrive(0.01, 0, invocation(0));
    play.arrive(
        0.02,
        1,
        Invocation {
            is_retry: true,
            ..invocation(0)
        },
    );
    play.arrive(0.03, 2, invocation(2));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_downstream_quota_limits_calls() {
    let mut play = play(&[("FamilyInfo.CallShare", "50")]);
    let set_quota = |play: &mut Play, left: [u32; 3], closed: bool, opens: bool| {
        let [first_calls, retries, probes] = left;
        let usage = play.controller.set_downstream_quota(DownstreamQuota {
            first_calls,
            retries,
            probes,
            probes_only: closed,
            reopened: opens,
        });
        let unused = [
            usage.unused.first_calls,
            usage.unused.retries,
            usage.unused.probes,
        ];
        play.trace.push_str(&format!(
            "unused quota {:?}, failing {}\n",
            unused.map(|calls| calls.min(99)),
            usage.is_failing
        ));
    };
    play.arrive(0.01, 0, invocation(0));
    play.arrive(0.02, 1, invocation(2));
    set_quota(&mut play, [1, 0, 0], false, false);
    play.request_call(0.10, 0); // a first call, and the last of them
    play.request_call(0.11, 1); // can't do without: waits
    set_quota(&mut play, [1, 0, 0], false, false);
    play.tick(0.12, 0.1); // its turn
    play.end_call(0.14, 0, LOST); // no retry is left: it does without
    set_quota(&mut play, [9, 1, 0], false, false);
    play.end_call(0.16, 1, UNSEEN); // a retry
    set_quota(&mut play, [9, 9, 0], true, false); // it fails for all
    play.end_call(0.20, 1, UNSEEN); // no probe is left
    set_quota(&mut play, [9, 9, 1], true, false);
    play.tick(0.80, 0.1); // the probe
    set_quota(&mut play, [9, 9, 0], false, true); // it is back for all
    play.end_call(0.90, 1, OK);
    set_quota(&mut play, [9, 9, 9], false, false);
    insta::assert_snapshot!(play.trace);
}
