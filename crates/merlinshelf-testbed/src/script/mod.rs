//! The real program between peers that a test scripts message by message.

mod engine;
mod peer;
mod program;
mod upgradable;

use std::time::Duration;

pub use engine::{complete_all_runs, send_until_stalled};
pub use peer::Peer;
pub use program::{
    EXAMPLE_CONFIG, ProgramUnderTest, bind_loopback, spawn_program, unique_address, write_config,
};
pub use upgradable::{Upgradable, UpgradableOptions};

/// How long to wait for an expected message or event.
pub const TIMEOUT: Duration = Duration::from_secs(5);

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}
