//! Supervision of many instances on one host, without I/O. [`fleet_spec`] is the operators'
//! specification, [`instance`] the observed state of each instance, [`capacity`] checks that the
//! specified instances fit the host, and a [`plan`] changes several instances without taking too
//! much capacity out of service; one plan runs at a time. [`fleet`] reconciles the observed with the
//! specified state; [`record`] is the state that is stored across restarts of the agent.
//!
//! The crate reads no clock and no process table and draws no random numbers. Times are seconds on
//! the agent's monotonic clock unless documented otherwise.

pub mod capacity;
pub mod crash_backoff;
pub mod error;
pub mod fleet;
pub mod fleet_spec;
pub mod history;
pub mod instance;
pub mod plan;
pub mod record;

pub use error::FleetError;
pub use fleet::{Action, Command, Fleet, Selector, ServingCapacity};
pub use fleet_spec::{FleetSpec, Group, Host};
pub use instance::{Identity, Instance, Report, State};
pub use plan::{Plan, PlanState};
pub use record::Record;
