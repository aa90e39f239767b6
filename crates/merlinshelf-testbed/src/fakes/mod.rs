//! Stand-ins that play by themselves, from the platform's protocol: an engine, a catalogue and a membership service. They
//! keep a record of all that was asked of them, for the checker.

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

/// How the stand-ins behave.
#[derive(Clone, Debug)]
pub struct FakeBehavior {
    /// How long a run takes on the cores.
    pub run_duration: Duration,
    /// Runs at once that the gauges call all of the cores.
    pub cores: f64,
    /// Operations whose runs make a call below.
    pub calling_operations: Vec<String>,
    /// Operations whose runs make several calls, one after the other, to these; they name them where that is agreed.
    pub called_dependencies: Vec<(String, Vec<String>)>,
    /// How long the catalogue takes.
    pub call_duration: Duration,
    /// Say on standard output what is asked.
    pub verbose: bool,
}

/// What was asked of the stand-ins, by invocation.
#[derive(Debug, Default)]
pub struct Records {
    /// Runs that were begun; a command to run what runs already begins nothing.
    pub runs: HashMap<String, u32>,
    /// Calls that reached the catalogue.
    pub calls: HashMap<String, u32>,
    /// Replies that reached a run which waited for none, or for another one.
    pub wrong_feeds: u32,
    /// Links that the engine was offered.
    pub engine_links: u32,
}

pub type SharedRecords = Rc<RefCell<Records>>;

/// Takes in connections for as long as its task lives, each with a task of its own.
fn serve<F: Future<Output = std::io::Result<()>> + 'static>(
    listener: TcpListener,
    attend: impl Fn(TcpStream) -> F + 'static,
) {
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let attending = attend(stream);
            spawn_local(async move {
                let _ = attending.await; // an end is how callers give up, and reporters come and go
            });
        }
    });
}

/// What a run of an invocation makes of its body.
pub fn run_result(id: &str, body: &[u8]) -> Vec<u8> {
    [b"done ", id.as_bytes(), b" ", body].concat()
}

/// What the catalogue replies to a call.
pub fn catalogue_reply(id: &str, body: &[u8]) -> Vec<u8> {
    [b"reply ", id.as_bytes(), b" ", body].concat()
}
