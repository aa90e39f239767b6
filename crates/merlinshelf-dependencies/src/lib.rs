//! Calls to dependencies with several servers each: what of the caller's time a call may take ([`budget`]), which server gets it
//! ([`servers`]), which few of many servers an instance holds connections to ([`subset`]), and whether a call is made again or
//! twice ([`attempts`]).
//!
//! How many calls are made, in whose favour, and the breaker are the decision module's; nothing here decides that again. Nothing
//! here reads a clock or chance. Moments are seconds.

pub mod attempts;
pub mod budget;
pub mod config;
pub mod counts;
pub mod fallback;
pub mod limits;
pub mod report;
pub mod router;
pub mod servers;
pub mod subset;

pub use attempts::{AttemptOutcome, Effect, RetryBudget};
pub use budget::allowance;
pub use config::Dependencies;
pub use fallback::{CallResult, DegradedResult, Missing};
pub use limits::{ConcurrencyLimit, WaitQueue};
pub use report::Report;
pub use router::{Action, CallRequest, End, Router};
pub use servers::{Outcome, Pool, Server, ServerHealth};
pub use subset::subset;
