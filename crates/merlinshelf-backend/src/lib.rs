//! The real backend as a library: the decisions of merlinshelf between the sockets of edge nodes and those of what
//! does the work. `process` runs it as a process: it starts the parts, heeds signals and control, hands over to a
//! successor and ends.

mod client;
pub mod config;
pub mod control;
mod counters;
mod exchange;
pub mod fault;
mod instance;
mod journal;
pub mod learning;
pub mod logger;
pub mod operator;
mod process;
mod ring;
mod routing;
mod server;
mod startup_wait;
mod upgrade;

pub use process::{LoadError, RestoreError, ServeError, Start, check_config, serve};
