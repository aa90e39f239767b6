//! Downstream calls to several dependencies with several servers each: health checks and the choice
//! of a server ([`servers`]), the few of many servers that an instance connects to
//! ([`mod@subset`]), concurrency limits and queues ([`limits`]), deadlines ([`budget`]), retries and
//! hedged requests ([`attempts`]), fallbacks ([`fallback`]), and the router that holds it together
//! ([`router`]).
//!
//! Everything is fed with the time, in seconds, and with events; nothing here does I/O. How many calls
//! are made, in whose favour, and the circuit breaker are decided by the admission controller.

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
