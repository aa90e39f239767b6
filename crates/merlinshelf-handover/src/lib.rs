//! The handover of a serving instance to a successor: what passes ([`records`], [`image`]), how much of it the
//! kernel has seen ([`flow`]), what the two processes say to each other ([`words`]), and the two state machines that
//! settle who owns it all at any time ([`keeper`] in the old process, [`heir`] in the new one).
//!
//! Nothing here reads a clock, a descriptor or chance: time comes in as a [`std::time::Duration`] since any fixed
//! moment, and what is to be done goes out as steps that a host carries out and reports on.

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
