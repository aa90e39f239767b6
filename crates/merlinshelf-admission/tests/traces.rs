//! Each test plays a few moments of one backend and compares what was decided with a kept trace.

mod helpers;

use helpers::{LOST, OK, Play, UNSEEN, inv, play};
use merlinshelf_admission::{DownstreamQuota, Invocation, Outcome, PriorEstimate, PriorEstimates};

#[test]
fn over_the_limit_low_bands_are_cut_on_arrival() {
    let mut play = play(&[]);
    play.wake(0.0, 0.95);
    for number in 0..3 {
        play.arrive(0.01, number, inv(0));
    }
    // 640 x (1 - 0.95^3) is 91: only the top band can pass.
    play.arrive(
        0.02,
        3,
        Invocation {
            rank: 0.1,
            ..inv(0)
        },
    );
    play.arrive(
        0.02,
        4,
        Invocation {
            rank: 0.99,
            ..inv(2)
        },
    );
    play.wake(0.03, 0.7);
    play.arrive(
        0.04,
        5,
        Invocation {
            rank: 0.1,
            ..inv(0)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn an_old_gauge_or_a_hang_does_not_admit_everything() {
    let mut play = play(&[]);
    play.wake(0.0, 0.1);
    for number in 0..4 {
        play.arrive(0.01, number, inv(0));
    }
    play.wake(0.96, 0.0);
    play.arrive(0.97, 4, inv(0));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn answers_come_before_they_are_due() {
    let mut play = play(&[
        ("FamilyInfo.Halt", "freeze"),
        ("Classes.0.LateWorth", "0.2"),
    ]);
    play.arrive(
        0.0,
        0,
        Invocation {
            caller_timeout: Some(0.5),
            ..inv(0)
        },
    );
    play.arrive(0.0, 1, Invocation { age: 0.3, ..inv(2) });
    play.wants(0.1, 1);
    play.arrive(
        0.1,
        2,
        Invocation {
            caller_timeout: Some(0.3),
            ..inv(2)
        },
    );
    play.arrive(
        0.1,
        3,
        Invocation {
            caller_timeout: Some(0.3),
            ..inv(0)
        },
    );
    for beat in 0..170 {
        play.wake(0.1 + f64::from(beat) * 0.01, 0.5);
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
fn a_tokened_invocation_runs_once() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, inv(1));
    play.arrive(
        0.0,
        1,
        Invocation {
            is_repeat: true,
            original: Some(0),
            ..inv(1)
        },
    );
    play.end(0.3, 0, OK, 0.3);
    play.end(0.31, 1, OK, 0.01);
    // Run and no longer known by its number: its result is all that can be had, also when leaving.
    play.leave(0.4, 5.0);
    play.arrive(
        2.0,
        2,
        Invocation {
            is_repeat: true,
            ..inv(1)
        },
    );
    play.wake(3.99, 0.5);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_token_turned_away_unrun_starts_afresh_in_the_same_batch() {
    let mut play = play(&[("FamilyInfo.HeapKb", "1000")]);
    play.arrive(
        0.0,
        0,
        Invocation {
            held_kilobytes: 150.0,
            ..inv(0)
        },
    );
    play.arrive(
        0.0,
        1,
        Invocation {
            held_kilobytes: 250.0,
            ..inv(1)
        },
    );
    play.end(0.0, 0, OK, 0.1);
    play.arrive(
        0.0,
        2,
        Invocation {
            is_repeat: true,
            original: Some(1),
            ..inv(1)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_call_with_unknown_outcome_is_not_repeated_for_what_has_effects() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, inv(2));
    play.wants(0.1, 0);
    play.called(0.2, 0, UNSEEN);
    play.called(0.3, 0, LOST);
    play.end(
        0.31,
        0,
        Outcome {
            stopped: true,
            ..LOST
        },
        0.31,
    );
    play.arrive(0.4, 1, inv(0));
    play.wants(0.5, 1);
    play.called(0.6, 1, LOST);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn after_failures_in_a_row_calls_come_back_by_single_trials() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "20"),
        ("Classes.0.AimUs", "2000000"),
    ]);
    for number in 0..5 {
        let at = f64::from(number) * 0.02;
        let number = number as usize;
        play.arrive(at, number, inv(0));
        play.wants(at, number);
        play.called(at + 0.01, number, LOST);
        play.left(at + 0.01, number);
        play.end(
            at + 0.01,
            number,
            Outcome {
                stopped: true,
                ..LOST
            },
            0.01,
        );
    }
    play.arrive(0.2, 5, inv(0));
    play.wants(0.21, 5);
    play.wake(0.65, 0.5);
    play.arrive(0.7, 6, inv(0));
    play.arrive(0.7, 7, inv(0));
    play.wants(0.71, 6);
    play.wants(0.72, 7);
    play.called(0.73, 6, OK);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_broken_call_path_still_lets_one_start_for_the_trial() {
    let mut play = play(&[("FamilyInfo.CallShare", "20")]);
    for number in 0..5 {
        play.arrive(0.0, number, inv(2));
        play.wants(0.0, number);
        play.called(0.01, number, LOST);
        play.end(
            0.01,
            number,
            Outcome {
                stopped: true,
                ..LOST
            },
            0.01,
        );
    }
    play.arrive(0.1, 5, inv(2));
    play.arrive(0.1, 6, inv(2));
    play.wake(0.2, 0.5);
    play.wake(0.6, 0.5);
    play.wants(0.61, 5);
    play.trace = play.trace.lines().skip(21).collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(play.trace);
}

#[test]
fn what_costs_much_to_read_leaves_fewer_cores_to_runs() {
    let mut play = play(&[("FamilyInfo.Cores", "4")]);
    for beat in 0..24 {
        let gauges = [("cpu_busy".to_owned(), 0.5), ("runnable".to_owned(), 1.5)].into();
        play.shedder
            .timer_fired(100.0 + 0.01 * f64::from(beat), 0, &gauges);
    }
    for number in 0..4 {
        play.arrive(0.3, number, inv(0));
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_cold_start_shows_before_the_first_run_ends() {
    let mut play = play(&[("Classes.2.AimUs", "800000")]);
    play.arrive(0.0, 0, inv(2));
    play.arrive(0.0, 1, inv(2));
    play.wake(0.8, 0.5);
    play.arrive(0.85, 2, inv(2));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_cold_backend_judges_by_hints_before_its_first_sample() {
    for fresh in ["true", "false"] {
        let cold = [
            ("FamilyInfo.FreshStart", fresh),
            ("Rules.WarmUpUs", "10000000"),
            ("Rules.StartCapacity", "0.2"),
        ];
        let mut play = play(&cold);
        play.wake(0.1, 0.5);
        for number in 0..4 {
            play.arrive(
                0.1,
                number,
                Invocation {
                    cost_hint: Some(0.1),
                    ..inv(0)
                },
            );
        }
        insta::assert_snapshot!(format!("fresh_{fresh}"), play.trace);
    }
}

#[test]
fn a_first_try_too_long_for_this_machine_goes_elsewhere() {
    let mut play = play(&[]);
    play.arrive(
        0.0,
        0,
        Invocation {
            cost_hint: Some(0.2),
            ..inv(0)
        },
    );
    play.end(0.6, 0, OK, 0.6);
    play.arrive(
        1.0,
        1,
        Invocation {
            cost_hint: Some(0.4),
            ..inv(0)
        },
    );
    play.arrive(
        1.0,
        2,
        Invocation {
            cost_hint: Some(0.4),
            ..inv(0)
        },
    );
    play.arrive(
        1.0,
        3,
        Invocation {
            cost_hint: Some(0.4),
            is_retry: true,
            ..inv(0)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn calls_given_up_show_that_the_dependency_is_slow() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, inv(2));
    play.wants(0.0, 0);
    play.called(1.01, 0, LOST);
    play.end(
        1.01,
        0,
        Outcome {
            stopped: true,
            ..LOST
        },
        1.01,
    );
    play.arrive(1.1, 1, inv(2));
    play.arrive(1.2, 2, inv(2));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_flood_of_repeats_keeps_within_memory() {
    let mut play = play(&[("FamilyInfo.HeapKb", "600")]);
    play.arrive(0.0, 0, inv(1));
    for number in 1..7 {
        play.arrive(
            0.1,
            number,
            Invocation {
                is_repeat: true,
                original: Some(0),
                ..inv(1)
            },
        );
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn scarce_calls_go_to_what_loses_most_without_them() {
    let mut play = play(&[("FamilyInfo.CallShare", "1.2")]);
    play.arrive(0.0, 0, inv(0));
    play.arrive(0.0, 1, inv(0));
    play.wants(0.1, 0);
    play.wants(0.1, 1);
    play.arrive(0.2, 2, inv(2));
    play.wants(0.3, 2);
    play.called(0.4, 0, OK);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn abandoned_calls_count_while_they_stay_below() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "0.7"),
        ("FamilyInfo.DepWindowUs", "1000000"),
        ("Classes.2.AimUs", "2000000"),
    ]);
    play.arrive(0.0, 0, inv(2));
    play.wants(0.1, 0);
    play.left(0.15, 0);
    play.end(
        0.15,
        0,
        Outcome {
            stopped: true,
            ..LOST
        },
        0.15,
    );
    play.arrive(0.15, 1, inv(2));
    play.wants(0.16, 1);
    play.wake(0.25, 0.5);
    play.wake(1.6, 0.5);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn calls_slow_with_their_crowd_and_the_limit_on_them_sinks() {
    let mut play = play(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "12")]);
    let mut at = 0.0;
    for round in 0..40 {
        for number in 0..8 {
            play.arrive(at, number, inv(2));
            play.wants(at, number);
        }
        let took = if round < 4 { 0.02 } else { 0.08 };
        for number in 0..8 {
            play.called(at + took, number, OK);
            play.end(at + took, number, OK, took + 0.001);
        }
        at += 0.2;
    }
    let calls = |round: usize| {
        let from = format!("{:.2} ", round as f64 * 0.2);
        let lines = play
            .trace
            .lines()
            .filter(|line| line.starts_with(&from) && line.contains("wants"));
        lines.filter(|line| line.contains("called")).count()
    };
    insta::assert_snapshot!(format!(
        "calls at once: round 1 {}, round 30 {}",
        calls(1),
        calls(30)
    ));
}

#[test]
fn a_leaving_backend_runs_nothing_from_after_the_grace_and_answers_all() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, inv(0));
    play.arrive(0.0, 1, inv(2));
    play.leave(0.1, 1.5);
    play.arrive(
        0.9,
        2,
        Invocation {
            age: 0.05,
            ..inv(0)
        },
    );
    play.arrive(1.2, 3, inv(0));
    play.wake(1.59, 0.5);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn memory_and_crowd_hold_back_starts_sooner_while_cold() {
    let cold = [
        ("FamilyInfo.FreshStart", "true"),
        ("Rules.WarmUpUs", "10000000"),
        ("Rules.StartCapacity", "0.1"),
        ("FamilyInfo.CallShare", "100"),
    ];
    for at in [0.0, 12.0] {
        let mut play = play(&cold);
        play.wake(at, 0.5);
        for number in 0..9 {
            play.arrive(at, number, inv(2));
            play.wants(at, number);
        }
        let started = play.trace.matches("started").count();
        insta::assert_snapshot!(
            format!("crowd_at_{at}"),
            format!("started before any came back: {started}")
        );
    }
    let mut play = play(&[("FamilyInfo.HeapKb", "700")]);
    for number in 0..9 {
        play.arrive(0.0, number, inv(0));
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn customers_over_their_share_are_cut_first() {
    let shares = [
        ("Tenants.count", "2"),
        ("Tenants.0.QuotaPerS", "10"),
        ("Tenants.1.QuotaPerS", "900"),
        ("Servers", "2"),
    ];
    let mut play = play(&shares);
    play.wake(0.0, 0.85);
    for number in 0..40 {
        let at = 0.005 * number as f64;
        play.arrive(
            at,
            number,
            Invocation {
                customer: number % 2,
                rank: 0.7,
                ..inv(0)
            },
        );
    }
    let trace = &play.trace;
    let cut = |rest: usize| {
        (0..40).filter(move |n| n % 2 == rest && trace.contains(&format!("rejected: [({n},")))
    };
    insta::assert_snapshot!(format!(
        "cut: {} of the one over its share, {} of the other",
        cut(0).count(),
        cut(1).count()
    ));
}

#[test]
fn further_tries_wait_behind_first_ones() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, inv(0));
    play.arrive(0.0, 1, inv(0));
    play.arrive(
        0.1,
        2,
        Invocation {
            is_retry: true,
            ..inv(0)
        },
    );
    play.arrive(0.2, 3, inv(0));
    play.end(0.3, 0, OK, 0.3);
    play.end(0.31, 1, OK, 0.31);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn short_waits_of_callers_are_no_reason_to_turn_away_with_idle_cores() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, inv(0));
    play.end(0.6, 0, OK, 0.6);
    play.arrive(
        1.0,
        1,
        Invocation {
            caller_timeout: Some(0.4),
            is_retry: true,
            ..inv(0)
        },
    );
    insta::assert_snapshot!(play.trace);
}

#[test]
fn what_callers_are_told_follows_the_settings() {
    let mut shown = String::new();
    for say in ["silent", "floor", "allowance", "weight"] {
        let extra = [
            ("FamilyInfo.Say", say),
            ("FamilyInfo.CallerIdleUs", "30000000"),
            ("FamilyInfo.ClientsTotal", "2"),
        ];
        let mut play = play(&extra);
        play.leave(0.1, 1.0);
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
                    ..inv(0)
                },
            );
            play.end(at + 0.1, number, OK, 0.1);
        }
        let told = play
            .trace
            .lines()
            .filter(|line| line.contains("idle_timeout"))
            .collect::<Vec<_>>()
            .join("\n");
        insta::assert_snapshot!(format!("trim_with_{callers}_callers"), told);
    }
}

#[test]
fn in_a_storm_of_further_tries_callers_are_asked_not_to_go_on() {
    let mut play = play(&[]);
    let full = |number: usize| Invocation {
        is_retry: number % 4 == 3,
        held_kilobytes: 9000.0,
        ..inv(0)
    };
    (0..8).for_each(|number| play.arrive(0.1, number, full(number)));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_share_of_calls_below_one_is_spread_and_no_call_cut_short() {
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
                ..inv(2)
            },
        );
        play.wants(at + 0.01, number);
        play.called(at + 0.05, number, OK);
        play.end(at + 0.06, number, OK, 0.05);
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
fn under_a_tiny_share_backends_take_turns() {
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
                ..inv(2)
            },
        );
        play.wants(at + 0.01, number);
        play.called(at + 0.05, number, OK);
        play.end(at + 0.06, number, OK, 0.05);
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
fn half_of_the_calls_is_kept_for_what_cannot_do_without() {
    let mut play = play(&[
        ("FamilyInfo.CallShare", "0.3"),
        ("Classes.0.AimUs", "9000000"),
    ]);
    let wait = Invocation {
        caller_timeout: Some(9.0),
        ..inv(0)
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
        play.wants(at + 0.01, number);
        play.called(at + 0.05, number, OK);
        play.end(at + 0.06, number, OK, 0.05);
    }
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_further_try_whose_client_has_hardly_waited_has_its_whole_objective() {
    let mut play = play(&[]);
    play.arrive(0.0, 0, inv(0));
    play.end(0.5, 0, OK, 0.5);
    play.arrive(1.0, 1, inv(0));
    play.arrive(1.0, 2, inv(0));
    play.wake(1.15, 0.5);
    play.arrive(
        1.2,
        3,
        Invocation {
            is_retry: true,
            caller_timeout: Some(0.9),
            ..inv(0)
        },
    );
    play.arrive(
        1.2,
        4,
        Invocation {
            is_retry: true,
            caller_timeout: Some(1.95),
            ..inv(0)
        },
    );
    play.end(1.5, 1, OK, 0.5);
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

fn word(value: f64, weight: f64) -> Option<PriorEstimate> {
    Some(PriorEstimate { value, weight })
}

#[test]
fn told_of_an_outage_below_the_first_call_is_a_trial_at_once_and_ends_it_if_it_goes_well() {
    for (weight, outcome) in [(0.6, OK), (0.6, LOST), (0.1, OK)] {
        let mut play = play(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "8")]);
        play.shedder.set_prior_estimates(PriorEstimates {
            call_failures: word(9.0, weight),
            ..PriorEstimates::default()
        });
        for number in 0..3 {
            play.arrive(0.0, number, inv(0));
            play.wants(0.01, number);
        }
        play.called(0.03, 0, outcome);
        // Told again, it is no news any more.
        play.shedder.set_prior_estimates(PriorEstimates {
            call_failures: word(12.0, weight),
            ..PriorEstimates::default()
        });
        play.arrive(0.04, 3, inv(0));
        play.wants(0.05, 3);
        insta::assert_snapshot!(format!("told_{weight}_{}", outcome.succeeded), play.trace);
    }
}

#[test]
fn what_is_told_of_runs_is_heeded_while_one_tries_it_and_dropped_once_that_was_twice_as_fast() {
    let mut play = play(&[]);
    play.shedder.set_prior_estimates(PriorEstimates {
        run_durations: vec![None, None, word(5.0, 0.7)],
        ..PriorEstimates::default()
    });
    play.arrive(0.0, 0, inv(2));
    play.arrive(0.01, 1, inv(2)); // told to last 5 s, against an aim of 1 s: turned away
    play.end(0.05, 0, OK, 0.05);
    play.arrive(0.06, 2, inv(2)); // seen to last 50 ms: the word is dropped
    play.arrive(0.07, 3, inv(2));
    play.end(0.09, 2, OK, 0.03);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn limits_start_from_what_is_told_and_own_samples_move_them() {
    let told = PriorEstimates {
        concurrency_limit: word(6.0, 1.0),
        call_limit: word(1e6, 1.0),
        call_lowest: word(0.004, 0.7),
        lowest_durations: vec![word(0.02, 0.7); 3],
        ..PriorEstimates::default()
    };
    let mut play = play(&[("FamilyInfo.CallShare", "20"), ("FamilyInfo.Cores", "2")]);
    play.shedder.set_prior_estimates(told.clone());
    let learnt = play.shedder.learned_state();
    // Within what the settings allow, whatever is told.
    assert_eq!(
        (
            learnt.concurrency_limit,
            learnt.call_limit,
            learnt.lowest_call_mean
        ),
        (4.0, 8.0, 0.004)
    );
    // What is told is not passed on as seen.
    assert!(
        learnt
            .operations
            .iter()
            .all(|of| of.run_durations.is_empty())
            && learnt.call_durations.is_empty()
    );
    for number in 0..40 {
        let at = 0.1 * number as f64;
        play.arrive(at, number, inv(0));
        play.wants(at + 0.01, number);
        play.called(at + 0.03, number, OK);
        play.end(at + 0.05, number, OK, 0.05);
    }
    play.shedder.set_prior_estimates(told);
    let learnt = play.shedder.learned_state();
    assert!(
        (0.019..0.021).contains(&learnt.lowest_call_mean),
        "its own by now: {}",
        learnt.lowest_call_mean
    );
    assert!(
        (0.029..0.031).contains(&learnt.operations[0].lowest_duration),
        "{}",
        learnt.operations[0].lowest_duration
    );
    assert!(learnt.concurrency_limit >= 2.0);
}

#[test]
fn beside_eight_own_samples_nothing_that_was_told_counts() {
    let lie = PriorEstimates {
        run_durations: vec![word(0.06, 1.0); 3],
        downstream_durations: vec![word(500.0, 1.0); 3],
        retry_share: word(1.0, 1.0),
        returning_caller_share: word(0.0, 1.0),
        ..PriorEstimates::default()
    };
    let traces = [PriorEstimates::default(), lie].map(|beliefs| {
        let mut play = play(&[
            ("FamilyInfo.CallShare", "20"),
            ("FamilyInfo.CallerIdleUs", "30000000"),
        ]);
        for number in 0..10 {
            let at = 0.1 * number as f64;
            play.arrive(at, number, inv(0));
            play.wants(at + 0.01, number);
            play.called(at + 0.03, number, OK);
            play.end(at + 0.05, number, OK, 0.05);
        }
        play.shedder.set_prior_estimates(beliefs);
        play.trace.clear();
        for number in 10..20 {
            play.arrive(1.0, number, inv(0));
        }
        for number in 10..20 {
            play.wants(1.05, number);
            play.end(1.1, number, OK, 0.1);
        }
        play.wake(1.3, 0.9);
        play.trace
    });
    assert_eq!(traces[0], traces[1]);
}

#[test]
fn an_operation_whose_objective_is_nothing_is_turned_away_also_with_all_cores_free() {
    let mut play = play(&[("Classes.0.AimUs", "0"), ("Classes.0.LateWorth", "1")]);
    play.wake(0.0, 0.1);
    play.arrive(0.01, 0, inv(0));
    play.arrive(
        0.02,
        1,
        Invocation {
            is_retry: true,
            ..inv(0)
        },
    );
    play.arrive(0.03, 2, inv(2));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn what_a_fleet_has_left_bounds_calls_below() {
    let mut play = play(&[("FamilyInfo.CallShare", "50")]);
    let spend = |play: &mut Play, left: [u32; 3], closed: bool, opens: bool| {
        let [first_calls, retries, probes] = left;
        let usage = play.shedder.set_downstream_quota(DownstreamQuota {
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
            "left over {:?}, fails {}\n",
            unused.map(|calls| calls.min(99)),
            usage.is_failing
        ));
    };
    play.arrive(0.01, 0, inv(0));
    play.arrive(0.02, 1, inv(2));
    spend(&mut play, [1, 0, 0], false, false);
    play.wants(0.10, 0); // a first call, and the last of them
    play.wants(0.11, 1); // can't do without: waits
    spend(&mut play, [1, 0, 0], false, false);
    play.wake(0.12, 0.1); // its turn
    play.called(0.14, 0, LOST); // no further one is left: it does without
    spend(&mut play, [9, 1, 0], false, false);
    play.called(0.16, 1, UNSEEN); // a further one
    spend(&mut play, [9, 9, 0], true, false); // it fails for all
    play.called(0.20, 1, UNSEEN); // no probe is left
    spend(&mut play, [9, 9, 1], true, false);
    play.wake(0.80, 0.1); // the probe
    spend(&mut play, [9, 9, 0], false, true); // it is back for all
    play.called(0.90, 1, OK);
    spend(&mut play, [9, 9, 9], false, false);
    insta::assert_snapshot!(play.trace);
}
