//! The agent of one host. It supervises the host's instances as `merlinshelf-fleet` decides, and
//! takes part in the consensus group of all agents if the fleet file configures one. Instances are
//! separate processes that keep running when the agent stops; the next agent adopts them.

mod agent;
mod consensus_log;
mod consensus_node;
pub mod control_client;
mod fleet_file;
mod instance_files;
mod peer_transport;
mod policy;
mod process;
mod reply;
mod store;

pub use agent::{AgentError, serve};
pub use fleet_file::{FleetFileError, load};

/// The JSON schema of the fleet file.
///
/// # Panics
/// Never: the schema is plain data.
pub fn schema() -> String {
    let schema = schemars::schema_for!(merlinshelf_fleet::FleetSpec);
    serde_json::to_string_pretty(&schema).expect("a schema is plain data") + "\n"
}
