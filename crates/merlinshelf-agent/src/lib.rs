//! The agent of one host: it supervises the host's instances as `merlinshelf-fleet` decides, and
//! takes part in the consensus group of all agents where the fleet's file names one. Instances are
//! processes of their own that outlive the agent; the next agent adopts them.

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

/// The JSON schema of the fleet's file.
///
/// # Panics
/// Never: the schema is plain data.
pub fn schema() -> String {
    let schema = schemars::schema_for!(merlinshelf_fleet::FleetSpec);
    serde_json::to_string_pretty(&schema).expect("a schema is plain data") + "\n"
}
