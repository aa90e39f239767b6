//! Fleets in virtual time: instances that obey, fail, hang and are shut down by others, and what a
//! plan makes of it.

mod commands;
mod processes;
mod random_events;
mod rollouts;
mod simulation;
