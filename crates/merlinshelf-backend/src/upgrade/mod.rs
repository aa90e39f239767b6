//! The upgrade as a process carries it out: the channel to the other process, what the kernel
//! counts of connections, and the guard of a predecessor over its successor. The decisions are in
//! `merlinshelf-handover`.

pub mod channel;
pub mod kernel;
pub mod successor_guard;
