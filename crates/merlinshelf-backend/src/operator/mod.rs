//! The operators' file: optional features in addition to the platform's configuration. Without the
//! file all of them are off.
//!
//! Field names are keys of the file and appear in errors, so they must not change. The doc comments
//! of the types are the descriptions in the published schema. `#[schemars(rename = "...")]` keeps
//! the names of definitions in the schema.

mod error;
mod json5;
#[cfg(test)]
mod tests;
mod validation;

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;

use garde::Validate;
use log::LevelFilter;
use merlinshelf_dependencies::Dependencies;
use merlinshelf_handover::predecessor::StageTimeouts;
use merlinshelf_policy::{LeaseExpiryMode, Policy};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use error::OperatorFileError;
pub use json5::{InvalidField, Json5Error, Position, parse_json5};
use validation::{validate_dependencies, validate_loopback, validate_socket_path};

/// The maximum number of bytes read. An operators' file is about a page long, so a far larger file
/// is a wrong path.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// The operators' file, in JSON5.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "The operators' file of merlinshelf")]
pub struct Operator {
    /// The control socket that `merlinshelf status`, `drain` and `upgrade` connect to; absent:
    /// none.
    #[garde(dive)]
    pub control: Option<Control>,
    /// The log's level and format.
    #[garde(dive)]
    pub log: Log,
    /// Upgrades under load; absent: rejected.
    #[garde(dive)]
    pub upgrade: Option<Upgrade>,
    /// Gossip with other instances, and stored observations of earlier processes; absent: off.
    #[garde(dive)]
    pub learning: Option<Learning>,
    /// Callers may speak uwsgi as well as FastCGI, on the same address.
    #[garde(skip)]
    pub uwsgi: bool,
    /// The downstream dependencies with their servers, and the calls that each operation makes to
    /// them; absent: all calls go to the platform's catalogue. Reloaded on SIGHUP.
    #[garde(inner(custom(validate_dependencies)))]
    pub dependencies: Option<Dependencies>,
    /// The policy that the installation's agents distribute to all instances and change at run
    /// time; absent: off.
    #[garde(dive)]
    pub policy: Option<PolicySettings>,
}

/// The instance's settings for the installation's policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "PolicyOf")]
pub struct PolicySettings {
    /// The policy that applies without a lease. Must be the same on all instances and never change.
    #[garde(dive)]
    pub base: Policy,
    /// The behaviour of the instance without a lease.
    #[garde(skip)]
    pub without: LeaseExpiryMode,
    /// The maximum difference between the clock rates of two processes, as a fraction. By this
    /// margin, leases expire earlier for their holder and later for their grantor.
    #[garde(range(min = 0.0, max = 0.2))]
    #[schemars(range(min = 0.0, max = 0.2))]
    pub drift: f64,
    /// How long a starting instance waits for a policy lease before it serves without one, in
    /// milliseconds.
    #[garde(range(max = 600_000))]
    #[schemars(range(max = 600_000))]
    pub wait_ms: u64,
    /// The duration of a quota lease, in milliseconds. Must equal that of the policy lease.
    #[garde(range(min = 100, max = 600_000))]
    #[schemars(range(min = 100, max = 600_000))]
    pub lease_ms: u64,
    /// The folder, shared by all instances of this host, in which they record how much of the
    /// host's quota reserve (set in the base policy) they have spent; absent: this instance does
    /// not use the reserve.
    #[garde(skip)]
    pub aside: Option<PathBuf>,
}

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        PolicySettings {
            base: Policy::default(),
            without: LeaseExpiryMode::default(),
            drift: 0.02,
            wait_ms: 5_000,
            lease_ms: 2_000,
            aside: None,
        }
    }
}

/// The control socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// The path of the Unix socket, at most 100 bytes. The socket is created with mode 0600.
    #[garde(custom(validate_socket_path))]
    pub socket: PathBuf,
}

/// The log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level that is logged. The environment variable MERLINSHELF_LOG takes
    /// precedence.
    #[garde(skip)]
    pub level: Option<Level>,
    /// The format of the lines.
    #[garde(skip)]
    pub format: Format,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[allow(
    missing_docs,
    reason = "comments on variants would change the shape of the published schema"
)]
pub enum Level {
    Error,
    Warn,
    Info,
    Debug,
}

/// The format of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Time, level, part and text.
    #[default]
    Text,
    /// One JSON object per line, with all key-value pairs.
    Json,
}

impl Log {
    /// The level as a filter of the `log` crate, if one is set.
    pub fn level(&self) -> Option<LevelFilter> {
        self.level.map(|level| match level {
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
        })
    }
}

/// Upgrades under load: the timeout of each stage, and the combined resource limits of both
/// processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Upgrade {
    /// The path of the successor's program; absent: the path that this process was started from,
    /// with the file's content at the time of the upgrade.
    #[garde(skip)]
    pub program: Option<PathBuf>,
    /// The timeout for the successor to read its configuration and become ready, in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    #[schemars(range(min = 10, max = 600_000))]
    pub ready_ms: u64,
    /// The timeout from the freeze until the successor has restored all state, in milliseconds. No
    /// requests are served during this time.
    #[garde(range(min = 10, max = 10_000))]
    #[schemars(range(min = 10, max = 10_000))]
    pub taken_ms: u64,
    /// The duration of the successor's probation after the takeover, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    #[schemars(range(min = 100, max = 3_600_000))]
    pub watched_ms: u64,
    /// The time without a heartbeat after which the successor is killed and the predecessor
    /// recovers, in milliseconds. Heartbeats are usually 50 ms apart; less than twice that would
    /// kill a successor that is only busy.
    #[garde(range(min = 100, max = 60_000))]
    #[schemars(range(min = 100, max = 60_000))]
    pub silent_ms: u64,
    /// The maximum number of file descriptors that both processes together may have open; absent:
    /// the platform's limit for one process.
    #[garde(inner(range(min = 32)))]
    pub descriptors: Option<u64>,
    /// The maximum memory that both processes together may use, in MB; absent: the platform's limit
    /// for one process.
    #[garde(inner(range(min = 16)))]
    pub memory_mb: Option<u64>,
}

impl Default for Upgrade {
    fn default() -> Upgrade {
        Upgrade {
            program: None,
            ready_ms: 10_000,
            taken_ms: 1_000,
            watched_ms: 2_000,
            silent_ms: 1_000,
            descriptors: None,
            memory_mb: None,
        }
    }
}

impl Upgrade {
    /// The timeout of each stage of a handover.
    pub fn stage_timeouts(&self) -> StageTimeouts {
        StageTimeouts {
            ready: Duration::from_millis(self.ready_ms),
            takeover: Duration::from_millis(self.taken_ms),
            probation: Duration::from_millis(self.watched_ms),
            heartbeat: Duration::from_millis(self.silent_ms),
        }
    }
}

/// Gossip: its peers, the subjects of observations, and where observations are stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Learning {
    /// The type of the engine's machine: observations of an engine apply only to engines on
    /// machines of the same type. Absent: observations of the engine are stored for this instance
    /// only.
    #[garde(inner(length(min = 1, max = 64)))]
    #[schemars(length(min = 1, max = 64))]
    pub engine: Option<String>,
    /// The name of the downstream dependency. Observations of it apply to all instances that use
    /// the same name.
    #[garde(length(min = 1, max = 64))]
    #[schemars(length(min = 1, max = 64))]
    pub dependency: String,
    /// The folder in which observations are stored across restarts; absent: they are not stored.
    #[garde(skip)]
    pub folder: Option<PathBuf>,
    /// The interval between writes of the store, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    #[schemars(range(min = 100, max = 600_000))]
    pub save_ms: u64,
    /// The maximum fraction of one core that gossip may use.
    #[garde(range(min = 0.0, max = 0.5))]
    #[schemars(range(min = 0.0, max = 0.5))]
    pub share: f64,
    /// The instances to gossip with; absent: none.
    #[garde(dive)]
    pub peers: Option<GossipPeers>,
}

/// The instances to gossip with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "PeersOfLearning")]
pub struct GossipPeers {
    /// The address on which this instance listens for gossip. Must be a loopback address because
    /// gossip is not encrypted.
    #[garde(custom(validate_loopback))]
    pub listen: String,
    /// Addresses of some other instances, through which the rest are discovered.
    #[garde(length(max = 64), inner(custom(validate_loopback)))]
    #[schemars(length(max = 64))]
    #[serde(default)]
    pub seeds: Vec<String>,
}

impl Default for Learning {
    fn default() -> Learning {
        Learning {
            engine: None,
            dependency: "catalogue".into(),
            folder: None,
            save_ms: 5_000,
            share: 0.01,
            peers: None,
        }
    }
}

impl Learning {
    /// The interval at which the store is written.
    pub fn save_every(&self) -> Duration {
        Duration::from_millis(self.save_ms)
    }
}

impl Operator {
    /// Reads the file. Without a path, all features are off.
    ///
    /// # Errors
    /// The file can't be read or is invalid; the message names the file, the line, the field and
    /// the reason.
    pub fn load(path: Option<&Path>) -> Result<Operator, OperatorFileError> {
        let Some(path) = path else {
            return Ok(Operator::default());
        };
        let text = read_file(path).map_err(|source| OperatorFileError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Operator::parse(&text).map_err(|source| OperatorFileError::Invalid {
            path: path.to_owned(),
            source,
        })
    }

    /// Parses the text of the file.
    ///
    /// # Errors
    /// As [`parse_json5`].
    pub fn parse(text: &str) -> Result<Operator, Json5Error> {
        parse_json5(text)
    }

    /// The JSON schema of the file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Operator);
        // Encoding fails only for maps whose keys are not strings, and a schema has none.
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}

fn read_file(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_FILE_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}
