//! Downstream calls to dependencies with several servers each.
//!
//! Outlier ejection and the choice of a server ([`server_pool`]), the subset of the servers that an
//! instance uses ([`mod@subset`]), concurrency limits ([`concurrency_limit`]) and the queue of
//! calls that wait for capacity ([`wait_queue`]), deadlines ([`deadline`]), retries and hedged
//! requests ([`retry_budget`]), fallbacks ([`fallback`]), and the router that combines them
//! ([`router`]).
//!
//! All modules are sans-I/O: the host passes in events and the time, in seconds of a monotonic
//! clock. The admission controller decides on the number and priority of calls and holds the
//! circuit breaker.

pub mod concurrency_limit;
pub mod config;
mod config_check;
pub mod counters;
pub mod deadline;
pub mod fallback;
pub mod report;
pub mod retry_budget;
pub mod router;
mod samples;
pub mod server;
pub mod server_pool;
pub mod subset;
pub mod wait_queue;

pub use concurrency_limit::ConcurrencyLimit;
pub use config::Dependencies;
pub use config_check::ConfigError;
pub use deadline::deadline_share;
pub use fallback::{CallResult, DegradedResult, MissingParts};
pub use report::Report;
pub use retry_budget::{AttemptOutcome, Effect, RetryBudget};
pub use router::{Action, AttemptSnapshot, CallEnd, CallRequest, CallSnapshot, Router};
pub use server::{EjectionReason, Server, ServerHealth, ServerOutcome};
pub use server_pool::ServerPool;
pub use subset::subset;
pub use wait_queue::WaitQueue;
