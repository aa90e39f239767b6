//! What is shared out: calls of a kind to a dependency, so many a second of the whole fleet.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What is spent beyond ordinary first calls.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Further attempts, and second calls beside a first one.
    Again,
    /// Calls to a dependency that fails.
    Probes,
    /// First calls while it comes back.
    First,
    /// Connections that are opened anew.
    Opened,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Again, Kind::Probes, Kind::First, Kind::Opened];

    /// As the policy writes it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Again => "again",
            Kind::Probes => "probes",
            Kind::First => "first",
            Kind::Opened => "opened",
        }
    }
}

/// By dependency and kind, calls a second. What is not named is not bounded.
pub type Budgets = BTreeMap<String, BTreeMap<Kind, u32>>;

/// What a budget is; none: this kind is not bounded.
pub fn budget_of(budgets: &Budgets, name: &str, kind: Kind) -> Option<u32> {
    budgets.get(name)?.get(&kind).copied()
}

/// The dependency that calls go to where the operators tell none apart.
pub const CATALOGUE: &str = "catalogue";

/// Not below but above: connections of callers, which are taken in by their budget of `opened`.
pub const CALLERS: &str = "callers";

/// More calls a second than any dependency bears.
pub const MOST: u32 = 1_000_000;

/// # Errors
/// The first figure that can't be, with its place.
pub fn check(budgets: &Budgets) -> Result<(), String> {
    for (name, kinds) in budgets {
        for (kind, calls) in kinds {
            if name == CALLERS && *kind != Kind::Opened {
                return Err(format!(
                    "{name}.{}: of callers only what is opened has a budget",
                    kind.name()
                ));
            }
            if !(1..=MOST).contains(calls) {
                return Err(format!(
                    "{name}.{}: {calls} is not from 1 to {MOST} calls a second",
                    kind.name()
                ));
            }
        }
    }
    Ok(())
}

/// Whether a policy's budgets leave what each host has set aside by the base policy. `hosts` is how many there are, where
/// that is known.
///
/// # Errors
/// Each budget that does not.
pub fn check_against(budgets: &Budgets, base: &Budgets, hosts: Option<u32>) -> Result<(), String> {
    let mut whys = Vec::new();
    for (name, kinds) in budgets {
        for (kind, calls) in kinds {
            let aside = budget_of(base, name, *kind);
            let place = format!("budgets.{name}.{}", kind.name());
            match (aside, hosts) {
                (None, _) => whys.push(format!(
                    "{place}: the base policy has none, so that whoever is cut off would spend without bound"
                )),
                (Some(aside), Some(hosts)) if u64::from(aside) * u64::from(hosts) > u64::from(*calls) => {
                    whys.push(format!(
                        "{place}: {calls} a second are fewer than the {aside} that the base policy sets aside for each of \
                         {hosts} hosts"
                    ));
                }
                _ => {}
            }
        }
    }
    if whys.is_empty() {
        Ok(())
    } else {
        Err(whys.join("; "))
    }
}
