//! What is known of the servers behind an instance: figures with their count, age and origin ([`fact`]), the book that keeps
//! them and says what to believe ([`book`]), the way from the decision module and back ([`lesson`]), who else is there to ask
//! ([`members`]), whom to ask when, what to tell and what to take ([`learner`]), and the form and the file in which a book
//! outlives its process ([`log`], [`store`]).
//!
//! Nothing here reads a clock, a file or chance. Moments are seconds of the reader's own monotonic clock: between instances
//! only ages pass, so that clocks that disagree by an hour disagree about nothing here.

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
