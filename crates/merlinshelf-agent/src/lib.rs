//! The agent of a fleet: it carries out what `merlinshelf-fleet` decides. Instances are processes of their own that outlive it;
//! the next agent finds them again.

mod asked;
mod council;
mod files;
mod host;
mod links;
mod policy;
mod processes;
mod store;
pub mod talk;

pub use files::load;
pub use host::serve;

/// The schema of the fleet's file, as JSON.
pub fn schema() -> String {
    let schema = schemars::schema_for!(merlinshelf_fleet::FleetSpec);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
