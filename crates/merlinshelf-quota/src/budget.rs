//! Budgets: limits on each kind of calls to a dependency, in calls per second of the whole fleet.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The kinds of calls that are limited. The encoded names are those of the policy document.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Retries and hedged requests.
    #[serde(rename = "again")]
    Retry,
    /// Calls to a dependency that fails.
    #[serde(rename = "probes")]
    Probe,
    /// First calls while the dependency recovers.
    #[serde(rename = "first")]
    FirstCall,
    /// New connections.
    #[serde(rename = "opened")]
    NewConnection,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 4] = [
        CallKind::Retry,
        CallKind::Probe,
        CallKind::FirstCall,
        CallKind::NewConnection,
    ];

    /// The name in the policy document.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Retry => "again",
            CallKind::Probe => "probes",
            CallKind::FirstCall => "first",
            CallKind::NewConnection => "opened",
        }
    }
}

/// Budgets in calls per second, by dependency name and kind of calls. Calls without a budget are
/// not limited.
pub type Budgets = BTreeMap<String, BTreeMap<CallKind, u32>>;

/// The budget of a kind of calls in calls per second; `None` if it is not limited.
pub fn find_budget(budgets: &Budgets, dependency: &str, kind: CallKind) -> Option<u32> {
    budgets.get(dependency)?.get(&kind).copied()
}

/// The dependency of all calls that the operators' file does not assign to another one.
pub const CATALOGUE: &str = "catalogue";

/// The budget name of the callers, which are not a dependency: a budget of
/// [`CallKind::NewConnection`] under this name limits the connections that are accepted from them.
pub const CALLERS: &str = "callers";

/// The highest budget, in calls per second.
pub const MAX_CALLS_PER_SECOND: u32 = 1_000_000;

/// An invalid budget.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// [`CALLERS`] has a budget for a kind other than connections.
    #[error("{CALLERS}.{}: callers can have a budget only for `opened`", kind.name())]
    NotForCallers {
        /// The kind that has a budget.
        kind: CallKind,
    },
    /// The rate is 0 or higher than [`MAX_CALLS_PER_SECOND`].
    #[error(
        "{dependency}.{}: {calls_per_second} is not from 1 to {MAX_CALLS_PER_SECOND} \
         calls a second",
        kind.name()
    )]
    OutOfRange {
        /// The dependency's name.
        dependency: String,
        /// The kind of calls.
        kind: CallKind,
        /// The rate.
        calls_per_second: u32,
    },
}

/// Validates each budget on its own.
///
/// # Errors
/// The first invalid budget.
pub fn validate(budgets: &Budgets) -> Result<(), BudgetError> {
    for (dependency, kinds) in budgets {
        for (kind, calls_per_second) in kinds {
            if dependency == CALLERS && *kind != CallKind::NewConnection {
                return Err(BudgetError::NotForCallers { kind: *kind });
            }
            if !(1..=MAX_CALLS_PER_SECOND).contains(calls_per_second) {
                return Err(BudgetError::OutOfRange {
                    dependency: dependency.clone(),
                    kind: *kind,
                    calls_per_second: *calls_per_second,
                });
            }
        }
    }
    Ok(())
}

/// A budget that does not cover the reserves of the base policy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UncoveredReserve {
    /// The base policy reserves nothing of this kind.
    #[error(
        "budgets.{dependency}.{}: the base policy has none, so an instance that falls back \
         to it would have no limit",
        kind.name()
    )]
    NoReserve {
        /// The dependency's name.
        dependency: String,
        /// The kind of calls.
        kind: CallKind,
    },
    /// The reserves of all hosts together exceed the budget.
    #[error(
        "budgets.{dependency}.{}: {calls_per_second} a second are fewer than the \
         {reserve_per_host} that the base policy reserves for each of {hosts} hosts",
        kind.name()
    )]
    ExceedsBudget {
        /// The dependency's name.
        dependency: String,
        /// The kind of calls.
        kind: CallKind,
        /// The budget.
        calls_per_second: u32,
        /// The reserve of each host in the base policy, calls per second.
        reserve_per_host: u32,
        /// The number of hosts.
        hosts: u32,
    },
}

/// All budgets that do not cover the reserves of the base policy; there is at least one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join(uncovered))]
pub struct ReserveError {
    /// The budgets, in the order of the document.
    pub uncovered: Vec<UncoveredReserve>,
}

fn join(uncovered: &[UncoveredReserve]) -> String {
    let lines: Vec<String> = uncovered.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Validates that budgets cover the reserves of all hosts, as set by the base policy. `hosts` is
/// the number of hosts, if known.
///
/// # Errors
/// All budgets that do not.
pub fn validate_against_reserve(
    budgets: &Budgets,
    base: &Budgets,
    hosts: Option<u32>,
) -> Result<(), ReserveError> {
    let uncovered: Vec<UncoveredReserve> = budgets
        .iter()
        .flat_map(|(dependency, kinds)| {
            kinds.iter().filter_map(move |(kind, calls_per_second)| {
                find_uncovered(base, hosts, dependency, *kind, *calls_per_second)
            })
        })
        .collect();
    if uncovered.is_empty() {
        Ok(())
    } else {
        Err(ReserveError { uncovered })
    }
}

fn find_uncovered(
    base: &Budgets,
    hosts: Option<u32>,
    dependency: &str,
    kind: CallKind,
    calls_per_second: u32,
) -> Option<UncoveredReserve> {
    let Some(reserve_per_host) = find_budget(base, dependency, kind) else {
        return Some(UncoveredReserve::NoReserve {
            dependency: dependency.to_owned(),
            kind,
        });
    };
    let hosts = hosts?;
    let reserved = u64::from(reserve_per_host) * u64::from(hosts);
    (reserved > u64::from(calls_per_second)).then(|| UncoveredReserve::ExceedsBudget {
        dependency: dependency.to_owned(),
        kind,
        calls_per_second,
        reserve_per_host,
        hosts,
    })
}
