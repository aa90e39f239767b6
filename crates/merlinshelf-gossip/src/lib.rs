//! Gossip between instances about the servers behind them: observations with their count, age and
//! source ([`observation`]), the store of observations and the estimates made from it
//! ([`observation_store`]), the exchange with the admission controller ([`own_samples`]), the other
//! instances ([`membership`]), whom to poll when and what to take over ([`gossip_node`]), and the file
//! in which observations outlive a process ([`store_format`], [`store`]).
//!
//! Everything is fed with the time and with messages; nothing here does I/O. Times are seconds of the
//! reader's own monotonic clock. Between instances only ages pass, so that clocks need not agree.

pub mod gossip_node;
pub mod membership;
pub mod observation;
pub mod observation_store;
pub mod own_samples;
pub mod store;
pub mod store_format;

pub use gossip_node::{GossipNode, Message};
pub use membership::{Members, MembershipUpdate, State};
pub use observation::{
    GossipedObservation, InvalidObservation, Metric, Observation, Source, SourceStatus,
};
pub use observation_store::{Estimate, ObservationStore};
pub use own_samples::Scope;
pub use store::{Files, Store};
