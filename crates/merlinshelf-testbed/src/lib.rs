//! The project's testbed: fakes and scripted peers of all services that a backend talks to, load generators, checks of the
//! guarantees, and experiments. Everything binds to loopback addresses and ends by itself.

pub mod budgets;
pub mod demo;
pub mod disk;
pub mod experiments;
pub mod fakes;
pub mod fleet;
pub mod installation;
pub mod instance;
pub mod link;
pub mod load;
pub mod manual;
pub mod runtime;
pub mod script;
pub mod wire;
