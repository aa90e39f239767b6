//! The real program between peers that a test plays by hand, message by message.

mod engine;
mod peer;
mod rig;

use std::time::Duration;

pub use engine::{ask_until_stalled, serve_all};
pub use peer::Peer;
pub use rig::{EXAMPLE, Rig, bind, configuration, free_address, program};

/// How long a peer waits for what must come.
pub const PATIENCE: Duration = Duration::from_secs(5);

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}
