//! Validation rules for the values of a policy document, called by `garde`, which prefixes each
//! message with the path of the field.

use std::collections::BTreeMap;

use merlinshelf_quota::{Budgets, budget};

/// Tolerance for rounding in the sum of the tenants' fractions.
const SUM_ROUNDING: f64 = 1e-9;

/// Requires a value from 0 to 1.
pub fn validate_ratio(value: &f64, (): &()) -> garde::Result {
    if (0.0..=1.0).contains(value) {
        Ok(())
    } else {
        Err(invalid(format_args!("{value} is not from 0 to 1")))
    }
}

/// Requires a finite value above 0.
pub fn validate_positive(value: &f64, (): &()) -> garde::Result {
    if value.is_finite() && *value > 0.0 {
        Ok(())
    } else {
        Err(invalid(format_args!("{value} is no number above 0")))
    }
}

/// Requires a finite value of at least 0.
pub fn validate_non_negative(value: &f64, (): &()) -> garde::Result {
    if value.is_finite() && *value >= 0.0 {
        Ok(())
    } else {
        Err(invalid(format_args!(
            "{value} is not a number of 0 or more"
        )))
    }
}

/// Requires valid budgets (see [`budget::validate`]).
pub fn validate_budgets(budgets: &Budgets, (): &()) -> garde::Result {
    budget::validate(budgets).map_err(invalid)
}

/// Requires fractions from 0 to 1 whose sum is at most 1.
pub fn validate_tenant_fractions(fractions: &BTreeMap<String, f64>, (): &()) -> garde::Result {
    for (tenant, fraction) in fractions {
        if !(0.0..=1.0).contains(fraction) {
            return Err(invalid(format_args!(
                "{tenant}: {fraction} is not from 0 to 1"
            )));
        }
    }
    let sum: f64 = fractions.values().sum();
    if sum > 1.0 + SUM_ROUNDING {
        return Err(invalid(format_args!(
            "shares are {sum:.3} together, over 1"
        )));
    }
    Ok(())
}

/// Requires fractions above 0 and at most 1.
pub fn validate_time_fractions(fractions: &BTreeMap<String, f64>, (): &()) -> garde::Result {
    for (dependency, fraction) in fractions {
        if !(*fraction > 0.0 && *fraction <= 1.0) {
            return Err(invalid(format_args!(
                "{dependency}: {fraction} is not above 0 and at most 1"
            )));
        }
    }
    Ok(())
}

fn invalid(reason: impl ToString) -> garde::Error {
    garde::Error::new(reason.to_string())
}
