//! One budget of a fleet, calls a second, shared out among those who may spend it. Everything here is fed with the time and with
//! messages, and asked for what is to be done.
//!
//! Who shares out is a [`Keeper`], who spends a [`Holder`]; a host is a holder towards whoever leads and a keeper towards its
//! instances. For all dependencies and kinds together these are the [`Bank`] of whoever leads, the [`House`] of a host's agent
//! and the [`Spender`] of an instance (docs/shares.md).

use serde::{Deserialize, Serialize};

pub mod bank;
pub mod holder;
pub mod house;
pub mod keeper;
pub mod kinds;
pub mod purse;
pub mod recovery;
pub mod spender;
pub mod words;

pub use bank::Bank;
pub use holder::Holder;
pub use house::House;
pub use keeper::Keeper;
pub use kinds::{Budgets, CALLERS, CATALOGUE, Kind};
pub use recovery::{Phase, Recovery, Sight};
pub use spender::{Left, Spender};
pub use words::{Asked, Claim, Given, PlaceAsked, PlaceGiven, Share};

/// By how much the way to a dependency may differ from call to call, seconds: two that leave a second apart may arrive closer by it.
pub const WAY: f64 = 0.05;

/// How an installation's leases on shares run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Seconds, by the keeper's clock.
    pub lease_s: f64,
    /// By how much clocks may run apart: a part of a lease, 0 to 0.2.
    pub drift: f64,
}

impl Lease {
    /// In any time of this length, by its own clock, a holder makes no more calls than its share says: no two that are counted
    /// apart here may arrive within one second.
    pub fn window(&self) -> f64 {
        (1.0 + WAY) * (1.0 + self.drift)
    }

    /// When what was given at `now` can't be spent any more, by the giver's clock, and shows in no second any more.
    pub fn over_by(&self, now: f64) -> f64 {
        now + self.lease_s * (1.0 + self.drift) + self.window() * (1.0 + self.drift)
    }

    /// How long it is held from its asking on, by the holder's clock.
    pub fn held_for(&self, for_s: f64) -> f64 {
        for_s * (1.0 - self.drift)
    }
}
