//! Supervision of many instances on one host, without input or output: what the operators specify
//! ([`fleet_spec`]) against what is observed of each instance ([`instance`]), whether it fits the
//! host ([`capacity`]), and one plan at a time that changes several instances without taking too
//! much capacity out of service ([`plan`]). [`fleet`] puts these together and decides what to do;
//! [`record`] is what outlives the agent.
//!
//! Nothing here reads a clock, a process table or random numbers. Times are seconds of the agent's
//! monotonic clock, unless they say otherwise.

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
