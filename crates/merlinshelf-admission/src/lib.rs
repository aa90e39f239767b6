//! Admission control of one backend process: what is admitted, queued, run, called downstream and
//! rejected.
//!
//! The core is the load shedding guide of Quarkus: a concurrency limit by TCP Vegas, and over it a
//! rejection threshold for cohort groups that falls with the cube of the CPU load (docs/design.md).
//! A host makes one [`AdmissionController`] per backend process and feeds it events with the clock
//! in seconds; each event returns [`Decisions`], which the host carries out. Invocations go by
//! small numbers that the host hands out, and may hand out again once they are `released`.
//!
//! The order of all decisions stands in one place, the table in `rules`. Each module holds the
//! conditions and effects of one concern.

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
