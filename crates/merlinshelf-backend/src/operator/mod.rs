//! The operators' file: optional features in addition to the platform's configuration. Without the
//! file all of them are off.
//!
//! The names of fields are keys of the file and appear in errors, so they must not change, and doc
//! comments of its types are part of the published schema. `#[schemars(rename = "...")]` keeps the
//! names of definitions in the schema.

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

/// The maximum size that is read. The file has about a page; a far larger one is not an operators'
/// file.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// The complete file, in JSON5.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "The operators' file of merlinshelf")]
pub struct Operator {
    /// Where `merlinshelf status`, `drain` and `upgrade` reach the instance; absent: nowhere.
    #[garde(dive)]
    pub control: Option<Control>,
    /// How it logs.
    #[garde(dive)]
    pub log: Log,
    /// Upgrades under load; absent: rejected.
    #[garde(dive)]
    pub upgrade: Option<Upgrade>,
    /// Gossip with other instances, and observations of this instance's past; absent: off.
    #[garde(dive)]
    pub learning: Option<Learning>,
    /// Callers may speak uwsgi as well as FastCGI, on the same address.
    #[garde(skip)]
    pub uwsgi: bool,
    /// Several dependencies with several servers each, and which operation calls which; absent: all
    /// calls go to the platform's one catalogue. Reloaded with SIGHUP.
    #[garde(inner(custom(validate_dependencies)))]
    pub dependencies: Option<Dependencies>,
    /// One policy for all instances of an installation, changed while they serve by its agents;
    /// absent: off.
    #[garde(dive)]
    pub policy: Option<PolicySettings>,
}

/// How an instance takes part in the installation's policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "PolicyOf")]
pub struct PolicySettings {
    /// The policy without a lease: the same for the installation at all times.
    #[garde(dive)]
    pub base: Policy,
    /// What an instance does without a lease.
    #[garde(skip)]
    pub without: LeaseExpiryMode,
    /// How much the clocks of two processes may differ in rate, as a fraction: leases end earlier
    /// for their holder by it, and later for their grantor.
    #[garde(range(min = 0.0, max = 0.2))]
    #[schemars(range(min = 0.0, max = 0.2))]
    pub drift: f64,
    /// How long an instance that starts waits for a policy lease before it serves without one, in
    /// milliseconds.
    #[garde(range(max = 600_000))]
    #[schemars(range(max = 600_000))]
    pub wait_ms: u64,
    /// How long a quota lease lasts, in milliseconds: as long as the installation's policy lease.
    #[garde(range(min = 100, max = 600_000))]
    #[schemars(range(min = 100, max = 600_000))]
    pub lease_ms: u64,
    /// The folder shared by all instances of this host, in which they record how much of the quota
    /// that the base policy reserves for the host is spent; absent: none of it is spent here.
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
    /// The path of the Unix socket, at most 100 bytes; it is created with mode 0600.
    #[garde(custom(validate_socket_path))]
    pub socket: PathBuf,
}

/// The log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least important level that is logged; the variable MERLINSHELF_LOG takes precedence.
    #[garde(skip)]
    pub level: Option<Level>,
    /// The format of the lines.
    #[garde(skip)]
    pub format: Format,
}

/// The least important level that is logged.
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
    /// One JSON object a line, with all key-values.
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

/// Upgrades under load: how long each stage may take, and the limits of two processes together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Upgrade {
    /// The successor's program; absent: the file that this process was started from, as it is by
    /// then.
    #[garde(skip)]
    pub program: Option<PathBuf>,
    /// Until the successor has read its configuration and is ready, in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    #[schemars(range(min = 10, max = 600_000))]
    pub ready_ms: u64,
    /// From the freeze until the successor has restored everything, in milliseconds: nobody is
    /// served meanwhile.
    #[garde(range(min = 10, max = 10_000))]
    #[schemars(range(min = 10, max = 10_000))]
    pub taken_ms: u64,
    /// The probation of the successor after it took over, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    #[schemars(range(min = 100, max = 3_600_000))]
    pub watched_ms: u64,
    /// After how long without a heartbeat the successor is killed and everything recovered, in
    /// milliseconds: less than twice the usual interval of 50 would kill one that is only busy.
    #[garde(range(min = 100, max = 60_000))]
    #[schemars(range(min = 100, max = 60_000))]
    pub silent_ms: u64,
    /// Descriptors that both processes together may have open; absent: the platform's limit for
    /// one.
    #[garde(inner(range(min = 32)))]
    pub descriptors: Option<u64>,
    /// Memory that both processes together may use, in MB; absent: the platform's limit for one.
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
    /// How long each stage of a handover may take.
    pub fn stage_timeouts(&self) -> StageTimeouts {
        StageTimeouts {
            ready: Duration::from_millis(self.ready_ms),
            takeover: Duration::from_millis(self.taken_ms),
            probation: Duration::from_millis(self.watched_ms),
            heartbeat: Duration::from_millis(self.silent_ms),
        }
    }
}

/// Gossip: with whom, about what, and where observations are stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Learning {
    /// The kind of the engine's machine: observations of engines hold for those of one kind only.
    /// Absent: observations of the engine are stored for this instance alone.
    #[garde(inner(length(min = 1, max = 64)))]
    #[schemars(length(min = 1, max = 64))]
    pub engine: Option<String>,
    /// The name of the downstream dependency; observations of it hold for all instances that name
    /// it alike.
    #[garde(length(min = 1, max = 64))]
    #[schemars(length(min = 1, max = 64))]
    pub dependency: String,
    /// The folder in which observations outlive the process; absent: they do not.
    #[garde(skip)]
    pub folder: Option<PathBuf>,
    /// Between two writes of the store, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    #[schemars(range(min = 100, max = 600_000))]
    pub save_ms: u64,
    /// The fraction of one core that gossip may take.
    #[garde(range(min = 0.0, max = 0.5))]
    #[schemars(range(min = 0.0, max = 0.5))]
    pub share: f64,
    /// The instances to gossip with; absent: none.
    #[garde(dive)]
    pub peers: Option<GossipPeers>,
}

/// Other instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "PeersOfLearning")]
pub struct GossipPeers {
    /// The address at which others reach this one: on the loopback interface, since nothing is
    /// encrypted yet.
    #[garde(custom(validate_loopback))]
    pub listen: String,
    /// Addresses of some others, from which all are discovered.
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
    /// Reads the file. Without a path everything is off.
    ///
    /// # Errors
    /// The file can't be read or used; the text names the file, the line, the field and the reason.
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
