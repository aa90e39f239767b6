//! Golden files of what the agent stores and exchanges: its store, messages between agents, entries
//! and state of the replicated log, heartbeats to instances, replies on its control socket and the
//! files that it makes for instances. Each golden file decodes to the expected values, and these
//! encode to the same bytes.
//!
//! The forms whose types are private are pinned twice: `support::peers::PeerMessage` is compared
//! with the golden bytes, and a real agent in a process of its own must understand and send the
//! very same.
//!
//! The files lie beside this one. `GOLDEN_WRITE=1 cargo test -p merlinshelf-agent --test golden`
//! writes them from the code as it stands: for a new form alone, since a changed file is a broken
//! upgrade.

mod follower;
mod forms;
mod installation;
mod leader;
mod store;
mod support;

use std::path::Path;

use support::agent::FLEET_FILE;

/// The agent of the other tests, which start it as a process of its own. By itself it does nothing.
#[test]
#[ignore = "started by the other tests as a process of its own"]
fn agent_process() {
    if let Some(file) = std::env::var_os(FLEET_FILE) {
        merlinshelf_agent::serve(Path::new(&file)).expect("the agent serves");
    }
}
