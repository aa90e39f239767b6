//! `trial learning`: what being taught is worth, what bad teachers cost, what it costs a fleet, and what crashes leave.

pub mod crashes;
