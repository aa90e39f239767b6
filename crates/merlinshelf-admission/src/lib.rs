//! Admission control and scheduling of one backend process. It decides which invocations are
//! admitted, queued, run or rejected, and which runs may call downstream.
//!
//! The algorithm follows the load shedding guide of Quarkus: a concurrency limit by TCP Vegas, and
//! above the limit a rejection threshold for cohort groups that falls with the cube of the CPU load
//! (docs/design.md). A host creates one [`AdmissionController`] per backend process and calls one
//! method for each event, with the clock in seconds. Each method returns [`Decisions`], which the
//! host carries out. Invocations are identified by small numbers that the host assigns, and may
//! assign again once they are `released`.
//!
//! The order of all decisions is defined by the table in `rules`. Each module holds the conditions
//! and effects of one concern.

mod advertisement;
mod callers;
mod controller;
mod deadline;
mod deduplication;
mod downstream;
mod drain;
mod estimator;
mod handover;
mod interface;
mod invocations;
mod limiter;
mod load;
mod memory;
mod prior;
mod priority;
mod queue;
mod retry_after;
mod rules;
mod samples;
mod settings;

pub use controller::AdmissionController;
pub use handover::{InvocationState, LearnedOperation, LearnedState, Stage};
pub use interface::{Decisions, DownstreamQuota, DownstreamUsage, Invocation, Outcome, Rejection};
pub use prior::{PriorEstimate, PriorEstimates};
pub use settings::{SettingError, Settings};
