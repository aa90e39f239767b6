//! The router in virtual time with scripted servers, and property tests of its invariants.

mod fallback;
mod handover;
mod invariants;
mod quota;
mod retries;
mod routing;
mod simulation;
