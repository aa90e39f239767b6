//! Why a request of operators is not carried out.

use crate::capacity::CapacityError;

/// Why a command, or a change of the specification, is rejected. Nothing was changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FleetError {
    /// A selector names an instance that does not exist.
    #[error("there is no instance {name}")]
    UnknownInstance {
        /// Name of the instance.
        name: String,
    },
    /// A group that is not in the specification.
    #[error("there is no group {group}")]
    UnknownGroup {
        /// Name of the group.
        group: String,
    },
    /// No instance has all that the selector asks for.
    #[error("no instance is meant by this")]
    NothingSelected,
    /// Another plan is under way: there is one at a time.
    #[error("plan {number} ({kind}, {done} of {total}) is under way")]
    PlanUnderWay {
        /// Number of that plan.
        number: u64,
        /// What it does.
        kind: &'static str,
        /// Its targets that are done or skipped.
        done: usize,
        /// All its targets.
        total: usize,
    },
    /// There is no plan that could be paused.
    #[error("no plan is running")]
    NoRunningPlan,
    /// There is no plan that could be resumed.
    #[error("no plan is paused")]
    NoPausedPlan,
    /// There is no plan that could be abandoned.
    #[error("there is no plan under way")]
    NoPlan,
    /// The instances do not fit the host.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
}
