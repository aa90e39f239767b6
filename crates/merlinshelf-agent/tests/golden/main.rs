//! Golden files of the data that the agent stores and exchanges: its store, messages between
//! agents, entries and state of the replicated log, heartbeats to instances, replies on its control
//! socket and the files that it writes for instances. Each golden file must decode to the expected
//! values, and these must encode to the same bytes.
//!
//! Formats with private types are checked twice: `support::peers::PeerMessage` is compared with the
//! golden bytes, and a real agent in a separate process must decode and send the same bytes.
//!
//! The files are in this folder. `GOLDEN_WRITE=1 cargo test -p merlinshelf-agent --test golden`
//! writes them from the current code. Use it for a new format only: a changed file means that an
//! upgrade breaks.

mod follower;
mod forms;
mod installation;
mod leader;
mod store;
mod support;

use std::path::Path;

use support::agent::FLEET_FILE;

/// Runs the agent for the other tests, which start this test in a separate process. Without the
/// environment variable it does nothing.
#[test]
#[ignore = "started by the other tests in a separate process"]
fn agent_process() {
    if let Some(file) = std::env::var_os(FLEET_FILE) {
        merlinshelf_agent::serve(Path::new(&file)).expect("the agent serves");
    }
}
