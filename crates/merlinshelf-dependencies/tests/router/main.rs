//! Calls from request to result in virtual time, with scripted servers; and random walks that
//! assert the router's invariants.

mod fallback;
mod invariants;
mod quota;
mod retries;
mod routing;
mod simulation;
