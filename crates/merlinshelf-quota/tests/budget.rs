//! Validation of budgets.

use std::collections::BTreeMap;

use merlinshelf_quota::budget::{validate, validate_against_reserve};
use merlinshelf_quota::{Budgets, CATALOGUE, CallKind};

fn budget(kind: CallKind, calls_per_second: u32) -> Budgets {
    let kinds = BTreeMap::from([(kind, calls_per_second)]);
    BTreeMap::from([(CATALOGUE.to_owned(), kinds)])
}

#[test]
fn invalid_and_uncovered_budgets_are_reported() {
    assert_eq!(validate(&budget(CallKind::Probe, 5)), Ok(()));
    let mut lines = [0, 1_000_001]
        .map(|calls_per_second| {
            validate(&budget(CallKind::FirstCall, calls_per_second))
                .expect_err("it is out of range")
                .to_string()
        })
        .to_vec();
    let retries = budget(CallKind::Retry, 5);
    let no_reserve = validate_against_reserve(&retries, &Budgets::new(), None)
        .expect_err("the base policy has no reserve");
    lines.push(no_reserve.to_string());
    let exceeded = validate_against_reserve(&retries, &budget(CallKind::Retry, 2), Some(3))
        .expect_err("the reserves exceed the budget");
    lines.push(exceeded.to_string());
    insta::assert_snapshot!(lines.join("\n"));
}
