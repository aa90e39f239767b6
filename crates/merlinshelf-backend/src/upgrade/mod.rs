//! The upgrade as a process carries it out: the channel to the other one, what the kernel counts, and the guard that
//! an old process keeps over its successor. What is decided stands in `merlinshelf-handover`.

pub mod channel;
pub mod kernel;
pub mod successor_guard;
