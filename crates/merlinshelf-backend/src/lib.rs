//! The backend as a library: it connects the admission controller to the sockets of edge nodes, of
//! the engine and of downstream dependencies. `process` runs it as a process: it starts an
//! instance, handles signals and control requests, hands over to a successor and exits.

mod client;
pub mod config;
pub mod control;
mod counters;
mod exchange;
pub mod fault;
pub mod gossip;
mod instance;
mod journal;
pub mod logger;
pub mod operator;
mod process;
mod ring;
mod routing;
mod server;
mod startup_wait;
mod upgrade;

pub use process::{
    InvalidSettings, LoadError, RestoreError, ServeError, Start, check_config, serve,
};
