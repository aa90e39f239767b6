//! The handover of a serving instance to a successor: what is transferred ([`records`], [`image`]),
//! how much of it the kernel has seen ([`flow`]), the messages between the two processes
//! ([`messages`]), and the two state machines that determine who owns everything at any time
//! ([`predecessor`] in the old process, [`successor`] in the new one).
//!
//! Nothing here reads a clock or a descriptor or draws random numbers: time comes in as a
//! [`std::time::Duration`] since any fixed moment, and what is to be done goes out as actions that
//! a host carries out and reports on.

pub mod flow;
pub mod image;
pub mod messages;
pub mod predecessor;
pub mod records;
pub mod successor;

pub use flow::{ByteCountMismatch, Flow, KernelByteCounts, Reconciliation};
pub use image::{Image, Key, Transaction};
pub use messages::{Message, Role, SUPPORTED_FORMATS};
pub use predecessor::Predecessor;
pub use successor::Successor;
