//! One policy for all instances of an installation: what it may say, and who acts on which number when. Everything here
//! is fed with the time, with messages and with what is decided, and asked for what is to be done.
//!
//! An instance is a [`Holder`], a host's agent a [`Warden`] of its instances, and the agent that leads a [`Conductor`] as
//! well. What the agents have decided together is a [`Ledger`], the same on all of them (docs/policy.md).

pub mod conductor;
pub mod document;
pub mod holder;
pub mod ledger;
pub mod warden;
pub mod words;

pub use conductor::Conductor;
pub use document::Policy;
pub use holder::{Acting, Holder, Without};
pub use ledger::{Entry, Founding, Ledger, Verdict};
pub use warden::Warden;
pub use words::{Beat, Grant, HostAsk, HostWord, Prepared, Said};

/// What the giver of a lease adds to it and its holder takes off, so that clocks which run that much apart agree on who
/// may act: a part of the lease, 0 to 0.2.
pub type Drift = f64;

/// When a lease that was given now is over for sure, by the giver's clock.
pub(crate) fn over_by(now: f64, lease_s: f64, drift: Drift) -> f64 {
    now + lease_s * (1.0 + drift)
}
