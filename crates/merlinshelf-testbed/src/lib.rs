//! The project's own laboratory: stand-ins of all that a backend talks to, played by hand or by themselves, load, the
//! checker of the rules, and trials. Everything binds to loopback addresses and ends by itself.

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
