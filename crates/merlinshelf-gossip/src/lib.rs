//! Gossip between instances about the servers behind them.
//!
//! - [`metric`] and [`observation`]: what is measured, with its sample count, age and source;
//! - [`observation_store`]: the store of observations and the estimates made from it;
//! - [`own_samples`]: the exchange with the admission controller;
//! - [`membership`]: the other instances (epidemic membership with suspicion, as in SWIM);
//! - [`gossip_node`]: when to poll which peer, and what to accept from an answer;
//! - [`store_format`] and [`store`]: the file that keeps observations across restarts.
//!
//! All modules are sans-I/O: the host passes in the time and messages. A `now` is in seconds of the
//! local monotonic clock. Messages carry ages instead of times, so clocks need not be synchronized.

mod cpu_budget;
pub mod gossip_node;
pub mod membership;
pub mod metric;
pub mod observation;
pub mod observation_store;
pub mod own_samples;
mod peer_table;
pub mod store;
pub mod store_format;

pub use gossip_node::{GossipNode, Message};
pub use membership::{Members, MembershipUpdate, State};
pub use metric::{Metric, MetricLabels};
pub use observation::{GossipedObservation, InvalidObservation, Observation, Source, SourceStatus};
pub use observation_store::{Estimate, ObservationEntry, ObservationStore};
pub use own_samples::{OwnObservation, Scope};
pub use store::{Files, Store};
