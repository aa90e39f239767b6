//! Downstream calls to several dependencies with several servers each.
//!
//! Health checks and the choice of a server ([`server_pool`]), the few of many servers that an
//! instance connects to ([`mod@subset`]), concurrency limits ([`concurrency_limit`]) and the queue
//! before them ([`wait_queue`]), deadlines ([`deadline`]), retries and hedged requests
//! ([`retry_budget`]), fallbacks ([`fallback`]), and the router that combines them ([`router`]).
//!
//! Everything is fed with events and the time, in seconds on one monotonic clock; nothing here does
//! I/O. How many calls are made, by which priority, and the circuit breaker are decided by the
//! admission controller.

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
pub use router::{Action, CallEnd, CallRequest, Router};
pub use server::{EjectionReason, Server, ServerHealth, ServerOutcome};
pub use server_pool::ServerPool;
pub use subset::subset;
pub use wait_queue::WaitQueue;
