//! The reasons why a policy cannot be used.

use merlinshelf_quota::budget::{BudgetError, ReserveError};
use thiserror::Error;

/// An entry of a policy that does not match an instance's settings or operators' file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Mismatch {
    /// No operation has this name.
    #[error("operations.{operation}: there is no such operation")]
    UnknownOperation {
        /// The name in the policy.
        operation: String,
    },
    /// No tenant has this name or number.
    #[error("tenants.{tenant}: there is no such tenant")]
    UnknownTenant {
        /// The name or number in the policy.
        tenant: String,
    },
    /// The operators' file has no such dependency.
    #[error("dependencies.{dependency}: there is no such dependency")]
    UnknownDependency {
        /// The name in the policy.
        dependency: String,
    },
    /// The policy has a budget for a dependency that the operators' file does not have.
    #[error("budgets.{dependency}: there is no such dependency")]
    UnknownBudgetDependency {
        /// The name in the policy.
        dependency: String,
    },
    /// An operation does not call this dependency.
    #[error("operations.{operation}.calls.{dependency}: the operation makes no such call")]
    UnknownCall {
        /// The calling operation.
        operation: String,
        /// The name in the policy.
        dependency: String,
    },
    /// The operators' dependencies are not consistent under the policy.
    #[error("{finding}")]
    InvalidDependencies {
        /// The finding of the dependency check.
        finding: String,
    },
}

/// All mismatches between a policy and an instance; there is at least one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join(mismatches))]
pub struct PolicyMismatch {
    /// All mismatches, in the order of the document.
    pub mismatches: Vec<Mismatch>,
}

impl PolicyMismatch {
    /// Returns an error if there are mismatches.
    pub(crate) fn check(mismatches: Vec<Mismatch>) -> Result<(), PolicyMismatch> {
        if mismatches.is_empty() {
            Ok(())
        } else {
            Err(PolicyMismatch { mismatches })
        }
    }
}

fn join(mismatches: &[Mismatch]) -> String {
    let lines: Vec<String> = mismatches.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// The reason why an instance cannot use a document. It is reported to the agents and to operators
/// as text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyRejection {
    /// The document does not match the instance's configuration.
    #[error(transparent)]
    Mismatch(#[from] PolicyMismatch),
    /// A budget is out of range.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// The budgets do not cover the reserves of the base policy.
    #[error(transparent)]
    Reserve(#[from] ReserveError),
    /// The instance rejected the document for a reason of its own.
    #[error("{reason}")]
    Instance {
        /// The instance's reason.
        reason: String,
    },
}

impl From<String> for PolicyRejection {
    fn from(reason: String) -> PolicyRejection {
        PolicyRejection::Instance { reason }
    }
}
