//! The mechanisms of an upgrade: the channel to the other process, the kernel's byte counts of
//! connections, and the predecessor's guard over its successor. `merlinshelf-handover` makes the
//! decisions.

pub mod channel;
pub mod kernel;
pub mod successor_guard;
