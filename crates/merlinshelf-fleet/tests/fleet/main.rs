//! Tests of the fleet in virtual time, with simulated processes that crash, hang and are shut down by
//! operators.

mod commands;
mod processes;
mod random_events;
mod rollouts;
mod simulation;
