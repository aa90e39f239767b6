//! Fakes of the services a backend talks to: an engine, a catalogue, dependency servers and a membership service. They
//! speak the platform's protocol and record every request they receive, so that a load can be checked afterwards.

mod catalogue;
mod dependency;
mod engine;
mod forward;
mod line_reader;
mod registration;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

pub use catalogue::Catalogue;
pub use dependency::{Server, ServerBehavior};
pub use engine::Engine;
pub use forward::{Forward, ForwardMode};
pub use registration::MembershipService;

/// Settings of the fakes.
#[derive(Clone, Debug)]
pub struct FakeBehavior {
    /// How long a run occupies a core.
    pub run_duration: Duration,
    /// Number of concurrent runs at which the gauges report full utilization of the cores.
    pub cores: f64,
    /// Operations whose runs make a downstream call.
    pub calling_operations: Vec<String>,
    /// Operations whose runs call several dependencies in sequence, with those dependencies. The calls name their dependency
    /// if this was agreed on the link.
    pub called_dependencies: Vec<(String, Vec<String>)>,
    /// How long the catalogue takes to answer a call.
    pub call_duration: Duration,
    /// Print each request to standard output.
    pub verbose: bool,
}

/// Requests that the fakes received, by invocation.
#[derive(Debug, Default)]
pub struct Records {
    /// Runs that were started. A `RUN` command for an invocation that is already running starts nothing.
    pub runs: HashMap<String, u32>,
    /// Calls that reached the catalogue.
    pub calls: HashMap<String, u32>,
    /// Replies that were passed to a run that was not waiting for one, or was waiting for a different one.
    pub wrong_feeds: u32,
    /// Links that were opened to the engine.
    pub engine_links: u32,
}

pub type SharedRecords = Rc<RefCell<Records>>;

/// Accepts connections until its task is dropped, and serves each in its own task.
fn serve<F: Future<Output = std::io::Result<()>> + 'static>(
    listener: TcpListener,
    handle: impl Fn(TcpStream) -> F + 'static,
) {
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handling = handle(stream);
            spawn_local(async move {
                let _ = handling.await; // peers may disconnect at any time: callers do so to cancel a call
            });
        }
    });
}

/// The result of a run, computed from the body of its invocation.
pub fn run_result(id: &str, body: &[u8]) -> Vec<u8> {
    [b"done ", id.as_bytes(), b" ", body].concat()
}

/// The catalogue's reply to a call.
pub fn catalogue_reply(id: &str, body: &[u8]) -> Vec<u8> {
    [b"reply ", id.as_bytes(), b" ", body].concat()
}
