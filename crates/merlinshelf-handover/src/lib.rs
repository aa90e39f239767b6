//! The handover of a serving instance to a successor process: the transferred state ([`records`],
//! [`image`]), its reconciliation with the kernel's byte counts ([`flow`]), the messages between the
//! two processes ([`messages`]), and the two state machines that determine which process owns the
//! connections at any time ([`predecessor`] in the old process, [`successor`] in the new one), and
//! which of them acts on the signals of a process that has both ([`signals`]).
//!
//! The crate performs no I/O, reads no clock and draws no random numbers. Callers pass the time as a
//! [`std::time::Duration`] since a fixed but arbitrary moment, carry out the returned actions and
//! report their results.

pub mod flow;
pub mod image;
pub mod messages;
pub mod predecessor;
pub mod records;
pub mod signals;
pub mod successor;

pub use flow::{ByteCountMismatch, Flow, KernelByteCounts, Reconciliation};
pub use image::{Image, Key, Transaction};
pub use messages::{Message, Role, SUPPORTED_FORMATS};
pub use predecessor::Predecessor;
pub use signals::SignalRole;
pub use successor::Successor;
