//! Errors of operators' requests.

use crate::capacity::CapacityError;

/// Why a command or a change of the specification was rejected. Nothing was changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FleetError {
    /// A selector names an instance that does not exist.
    #[error("there is no instance {name}")]
    UnknownInstance {
        /// Name of the instance.
        name: String,
    },
    /// A request names a group that is not in the specification.
    #[error("there is no group {group}")]
    UnknownGroup {
        /// Name of the group.
        group: String,
    },
    /// No instance matches the selector.
    #[error("no instance is meant by this")]
    NothingSelected,
    /// Another plan is in progress; only one can be at a time.
    #[error("plan {number} ({kind}, {done} of {total}) is under way")]
    PlanUnderWay {
        /// Number of that plan.
        number: u64,
        /// Its kind.
        kind: &'static str,
        /// Number of its targets that are done or skipped.
        done: usize,
        /// Number of all its targets.
        total: usize,
    },
    /// There is no running plan to pause.
    #[error("no plan is running")]
    NoRunningPlan,
    /// There is no paused plan to resume.
    #[error("no plan is paused")]
    NoPausedPlan,
    /// There is no plan to abandon.
    #[error("there is no plan under way")]
    NoPlan,
    /// The instances do not fit the host.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
}
