//! What is shared out: calls of a kind to a dependency, so many a second of the whole fleet.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What is spent beyond ordinary first calls.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Further attempts, and second calls beside a first one.
    #[serde(rename = "again")]
    Retry,
    /// Calls to a dependency that fails.
    #[serde(rename = "probes")]
    Probe,
    /// First calls while it comes back.
    #[serde(rename = "first")]
    FirstCall,
    /// Connections that are opened anew.
    #[serde(rename = "opened")]
    NewConnection,
}

impl CallKind {
    pub const ALL: [CallKind; 4] = [
        CallKind::Retry,
        CallKind::Probe,
        CallKind::FirstCall,
        CallKind::NewConnection,
    ];

    /// As the policy writes it.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Retry => "again",
            CallKind::Probe => "probes",
            CallKind::FirstCall => "first",
            CallKind::NewConnection => "opened",
        }
    }
}

/// By dependency and kind, calls a second. What is not named is not bounded.
pub type Budgets = BTreeMap<String, BTreeMap<CallKind, u32>>;

/// What a budget is; none: this kind is not bounded.
pub fn budget_of(budgets: &Budgets, name: &str, kind: CallKind) -> Option<u32> {
    budgets.get(name)?.get(&kind).copied()
}

/// The dependency that calls go to where the operators tell none apart.
pub const CATALOGUE: &str = "catalogue";

/// Not below but above: connections of callers, which are taken in by their budget of `opened`.
pub const CALLERS: &str = "callers";

/// More calls a second than any dependency bears.
pub const MAX_CALLS_PER_SECOND: u32 = 1_000_000;

/// # Errors
/// The first figure that can't be, with its place.
pub fn validate(budgets: &Budgets) -> Result<(), String> {
    for (name, kinds) in budgets {
        for (kind, calls) in kinds {
            if name == CALLERS && *kind != CallKind::NewConnection {
                return Err(format!(
                    "{name}.{}: of callers only what is opened has a budget",
                    kind.name()
                ));
            }
            if !(1..=MAX_CALLS_PER_SECOND).contains(calls) {
                return Err(format!(
                    "{name}.{}: {calls} is not from 1 to {MAX_CALLS_PER_SECOND} calls a second",
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
pub fn validate_against_reserve(
    budgets: &Budgets,
    base: &Budgets,
    hosts: Option<u32>,
) -> Result<(), String> {
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
