//! Many instances on one host: what the operators want of them ([`fleet_spec`]) against what is seen of each ([`instance`]), whether
//! it fits the host ([`capacity`]), and one plan at a time that changes several without taking too many out at once ([`plan`]).
//! [`fleet`] puts them together and says what to do; [`record`] is what outlives the agent.
//!
//! Nothing here reads a clock, a process table or chance. Moments are seconds of the agent's monotonic clock.

pub mod capacity;
pub mod crash_backoff;
pub mod fleet;
pub mod fleet_spec;
pub mod history;
pub mod instance;
pub mod plan;
pub mod record;

pub use fleet::{Action, Command, Fleet, Refusal, Selector};
pub use fleet_spec::{FleetSpec, Group, Host};
pub use instance::{Identity, Instance, Report, State};
pub use plan::{Plan, PlanState};
pub use record::Record;
