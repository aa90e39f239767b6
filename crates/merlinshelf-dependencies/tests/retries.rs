//! Deadlines, retries and hedged requests.

use merlinshelf_dependencies::{AttemptOutcome, Effect, RetryBudget, deadline_share};

#[test]
fn remaining_time_is_divided_and_saved_time_goes_to_later_calls() {
    // Calls of 30, 60 and 10 ms, with 200 ms remaining.
    let first = deadline_share(0.2, &[0.03, 0.06, 0.01], 0.01).expect("it can finish");
    assert!((first - 0.06).abs() < 1e-9, "{first}");
    // The first call took only 20 ms, so that the second one gets more than 120 ms, its share of
    // the initial 200 ms.
    let second = deadline_share(0.18, &[0.06, 0.01], 0.01).expect("it can finish");
    assert!(second > 0.12 && second < 0.18, "{second}");
    // 40 and 0 ms are too little time, and an undefined time is rejected.
    assert_eq!(deadline_share(0.04, &[0.03, 0.06, 0.01], 0.02), None);
    assert_eq!(deadline_share(0.0, &[0.03], 0.001), None);
    assert_eq!(deadline_share(f64::NAN, &[0.03], 0.001), None);
    // The last call gets all that remains.
    assert_eq!(deadline_share(0.05, &[0.0], 0.0), Some(0.05));
}

#[test]
fn retries_stay_within_a_tenth_and_stop_when_the_dependency_fails() {
    let mut budget = RetryBudget::default();
    // One in twenty calls fails: each is retried, and the budget stays nearly full.
    let mut retries = 0;
    for call in 0..2000 {
        let outcome = if call % 20 == 0 {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::Succeeded
        };
        budget.record_attempt(outcome, 0.01);
        let failed = outcome == AttemptOutcome::Unknown;
        if failed && budget.try_retry(Effect::Idempotent, AttemptOutcome::Unknown) {
            retries += 1;
        }
    }
    assert_eq!(retries, 100);
    assert!(budget.tokens() > 5.0);
    // The dependency as a whole fails: retries stop after a few.
    let mut retries = 0;
    for _ in 0..500 {
        budget.record_attempt(AttemptOutcome::Unknown, 0.01);
        retries += u32::from(budget.try_retry(Effect::Idempotent, AttemptOutcome::Unknown));
    }
    assert!(retries <= 10, "{retries} of 500");
    assert!(budget.is_failing());
    // The dependency recovers, and the budget refills.
    for _ in 0..200 {
        budget.record_attempt(AttemptOutcome::Succeeded, 0.01);
    }
    assert!(!budget.is_failing() && budget.tokens() > 5.0);
}

#[test]
fn calls_that_may_have_taken_effect_are_never_repeated_unless_idempotent() {
    let mut budget = RetryBudget::default();
    assert!(!budget.try_retry(Effect::NonIdempotent, AttemptOutcome::Unknown));
    assert!(budget.try_retry(Effect::NonIdempotent, AttemptOutcome::NeverSent));
    assert!(budget.try_retry(Effect::NonIdempotent, AttemptOutcome::Refused));
    assert!(budget.try_retry(Effect::Idempotent, AttemptOutcome::Unknown));
    assert!(!budget.try_retry(Effect::Idempotent, AttemptOutcome::Succeeded));
    for call in 0..100 {
        let duration_seconds = 0.01 + 0.0001 * f64::from(call);
        budget.record_attempt(AttemptOutcome::Succeeded, duration_seconds);
    }
    assert_eq!(budget.hedge_delay_seconds(Effect::NonIdempotent), None);
    assert!(!budget.try_hedge(Effect::NonIdempotent));
    let delay_seconds = budget
        .hedge_delay_seconds(Effect::Idempotent)
        .expect("enough durations are known");
    assert!((0.0190..0.0200).contains(&delay_seconds), "{delay_seconds}");
}

#[test]
fn hedged_requests_stay_few_when_all_calls_become_slow() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_attempt(AttemptOutcome::Succeeded, 0.010);
    }
    // All calls become slow at once: each would be hedged, which the budget soon stops.
    let mut hedged = 0;
    for _ in 0..300 {
        let is_due = budget
            .hedge_delay_seconds(Effect::Idempotent)
            .is_some_and(|delay_seconds| delay_seconds < 0.1);
        if is_due && budget.try_hedge(Effect::Idempotent) {
            hedged += 1;
        }
        budget.record_attempt(AttemptOutcome::Succeeded, 0.1);
    }
    assert!(hedged <= 20, "{hedged}");
}
