//! The operators' own file: what is switched on beside the platform's configuration. Without it all of this is off.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use garde::Validate;
use log::LevelFilter;
use merlinshelf_dependencies::Dependencies;
use merlinshelf_policy::{LeaseExpiryMode, Policy};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole file, in JSON5.
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
    /// Upgrades under load; absent: turned down.
    #[garde(dive)]
    pub upgrade: Option<Upgrade>,
    /// Learning from other instances and from one's own past; absent: off.
    #[garde(dive)]
    pub learning: Option<Learning>,
    /// Callers may speak uwsgi as well as FastCGI, on the same address.
    #[garde(skip)]
    pub uwsgi: bool,
    /// Several dependencies with several servers each, and which operation calls which; absent: all calls go to the platform's one
    /// catalogue. Read anew with SIGHUP.
    #[garde(inner(custom(holds_together)))]
    pub dependencies: Option<Dependencies>,
    /// One policy for all instances of an installation, changed in service by its agents; absent: off.
    #[garde(dive)]
    pub policy: Option<PolicySettings>,
}

/// How an instance takes part in the policy for all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "PolicyOf")]
pub struct PolicySettings {
    /// What is served by without a lease: the same for the whole installation, for good.
    #[garde(dive)]
    pub base: Policy,
    /// What is done without a lease.
    #[garde(skip)]
    pub without: LeaseExpiryMode,
    /// How much clocks of two processes may run apart, as a part: leases are held shorter by it, and waited for longer.
    #[garde(range(min = 0.0, max = 0.2))]
    #[schemars(range(min = 0.0, max = 0.2))]
    pub drift: f64,
    /// How long an instance that starts waits to hear which policy holds, before it serves without, in milliseconds.
    #[garde(range(max = 600_000))]
    #[schemars(range(max = 600_000))]
    pub wait_ms: u64,
    /// How long a share of a budget is held, in milliseconds: as long as the installation's lease on a policy.
    #[garde(range(min = 100, max = 600_000))]
    #[schemars(range(min = 100, max = 600_000))]
    pub lease_ms: u64,
    /// The folder that all instances of this host have in common, where it is kept what was spent of what the base policy's
    /// budgets set aside for the host; absent: nothing of it is spent here.
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
    /// The path of the Unix socket, at most 100 bytes; it is made with mode 0600.
    #[garde(custom(path_of_socket))]
    pub socket: PathBuf,
}

/// The log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// What is logged; where the variable MERLINSHELF_LOG names a level, that counts.
    #[garde(skip)]
    pub level: Option<Level>,
    /// The form of the lines.
    #[garde(skip)]
    pub format: Format,
}

/// From which level on lines are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    Info,
    Debug,
}

/// The form of the log's lines.
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
    pub fn level(&self) -> Option<LevelFilter> {
        self.level.map(|level| match level {
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
        })
    }
}

/// Upgrades under load: how long each stage may take, and what two processes together may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Upgrade {
    /// The program of the successor; absent: the file that this process was started from, as it is by then.
    #[garde(skip)]
    pub program: Option<PathBuf>,
    /// Until the successor has read its configuration and is ready, in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    #[schemars(range(min = 10, max = 600_000))]
    pub ready_ms: u64,
    /// Until it has taken everything, in milliseconds: nobody is served meanwhile.
    #[garde(range(min = 10, max = 10_000))]
    #[schemars(range(min = 10, max = 10_000))]
    pub taken_ms: u64,
    /// How long it is watched after it took over, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    #[schemars(range(min = 100, max = 3_600_000))]
    pub watched_ms: u64,
    /// After how long without a sign of it all is taken back, in milliseconds: under twice the usual beat of 50 would
    /// take back what is only busy.
    #[garde(range(min = 100, max = 60_000))]
    #[schemars(range(min = 100, max = 60_000))]
    pub silent_ms: u64,
    /// Descriptors that both processes together may hold; absent: the platform's limit for one.
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
    pub fn ready(&self) -> Duration {
        Duration::from_millis(self.ready_ms)
    }

    pub fn taken(&self) -> Duration {
        Duration::from_millis(self.taken_ms)
    }

    pub fn watched(&self) -> Duration {
        Duration::from_millis(self.watched_ms)
    }

    pub fn silent(&self) -> Duration {
        Duration::from_millis(self.silent_ms)
    }
}

/// Learning: from whom, about what, and where it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Learning {
    /// The kind of the engine's machine: what is known of engines holds for those of one kind only. Absent: what was seen
    /// of the engine is this instance's own, for its own file alone.
    #[garde(inner(length(min = 1, max = 64)))]
    #[schemars(length(min = 1, max = 64))]
    pub engine: Option<String>,
    /// The name of the dependency below; what is known of it holds for all instances that name it alike.
    #[garde(length(min = 1, max = 64))]
    #[schemars(length(min = 1, max = 64))]
    pub dependency: String,
    /// The folder in which what is known outlives the process; absent: it does not.
    #[garde(skip)]
    pub folder: Option<PathBuf>,
    /// Between two savings, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    #[schemars(range(min = 100, max = 600_000))]
    pub save_ms: u64,
    /// Share of one core that teaching others may take.
    #[garde(range(min = 0.0, max = 0.5))]
    #[schemars(range(min = 0.0, max = 0.5))]
    pub share: f64,
    /// Who teaches whom; absent: nobody is asked and nobody is taught.
    #[garde(dive)]
    pub peers: Option<GossipPeers>,
}

/// Other instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "PeersOfLearning")]
pub struct GossipPeers {
    /// The address at which others ask this one: on the loopback interface, since nothing is encrypted yet.
    #[garde(custom(loopback))]
    pub listen: String,
    /// Addresses of some others, from which all are found.
    #[garde(length(max = 64), inner(custom(loopback)))]
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
    pub fn save_every(&self) -> Duration {
        Duration::from_millis(self.save_ms)
    }
}

fn holds_together(wanted: &Dependencies, (): &()) -> garde::Result {
    wanted
        .check()
        .map_err(|whys| garde::Error::new(whys.join("; ")))
}

fn loopback(text: &str, (): &()) -> garde::Result {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() && address.port() > 0 => Ok(()),
        Ok(address) if address.port() == 0 => {
            Err(garde::Error::new(format!("{text:?} names no port")))
        }
        Ok(_) => Err(garde::Error::new(format!(
            "{text:?} is no loopback address; what instances tell each other is not encrypted yet, and only these are allowed"
        ))),
        Err(_) => Err(garde::Error::new(format!(
            "{text:?} is no address with a port, like 127.0.0.1:7400"
        ))),
    }
}

fn path_of_socket(path: &Path, (): &()) -> garde::Result {
    let length = path.as_os_str().len();
    if length == 0 {
        return Err(garde::Error::new("is empty; name a path"));
    }
    if length > 100 {
        return Err(garde::Error::new(format!(
            "has {length} bytes; a socket's path has 100 at most"
        )));
    }
    Ok(())
}

/// The file is a page long; a far larger one is none of ours and is not read to its end.
const FILE_MOST: u64 = 1024 * 1024;

impl Operator {
    /// Reads the file, where one is named.
    ///
    /// # Errors
    /// What can't be used, with the file, the line, the field and what would be right.
    pub fn load(path: Option<&Path>) -> Result<Operator, String> {
        let Some(path) = path else {
            return Ok(Operator::default());
        };
        let mut text = String::new();
        let read = std::fs::File::open(path)
            .and_then(|file| io_read(file, &mut text))
            .map_err(|error| error.to_string());
        let whole = read.and_then(|()| Operator::parse(&text));
        whole.map_err(|why| format!("{}:{why}", path.display()))
    }

    /// Reads the text of the file.
    ///
    /// # Errors
    /// `LINE:COLUMN: FIELD: WHY` for what is no JSON5 or no such field, `LINE: FIELD: WHY` for what is out of range.
    pub fn parse(text: &str) -> Result<Operator, String> {
        parse_json5(text)
    }

    /// The schema that the file is held to, as JSON.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Operator);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}

/// Reads a file of the operators' in JSON5, whatever it holds.
///
/// # Errors
/// As of `Operator::read`.
pub fn parse_json5<T>(text: &str) -> Result<T, String>
where
    T: serde::de::DeserializeOwned + Validate,
    T::Context: Default,
{
    let mut reader = json5::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut reader);
    let operator: T = read.map_err(|error| {
        let (field, error) = (error.path().to_string(), error.into_inner());
        let why = error.to_string();
        let why = why.rsplit_once(" at ").map_or(why.as_str(), |(why, _)| why);
        let field = if field == "." {
            String::new()
        } else {
            format!(" {field}:")
        };
        match error.position() {
            Some(at) => format!("{}:{}:{field} {why}", at.line + 1, at.column + 1),
            None => format!("1:{field} {why}"),
        }
    })?;
    json5::from_str::<serde::de::IgnoredAny>(text).map_err(|error| format!("1: {error}"))?;
    operator.validate().map_err(|report| {
        let of = |(path, error): &(garde::Path, garde::Error)| {
            let field = path.to_string();
            format!("{}: {field}: {}", line_of(text, &field), error.message())
        };
        report.iter().map(of).collect::<Vec<_>>().join("; ")
    })?;
    Ok(operator)
}

fn io_read(file: std::fs::File, text: &mut String) -> std::io::Result<()> {
    std::io::Read::read_to_string(&mut std::io::Read::take(file, FILE_MOST), text).map(|_| ())
}

/// The line in which the last name of a dotted path stands behind the others.
fn line_of(text: &str, path: &str) -> usize {
    let mut from = 0;
    for name in path.split('.') {
        from += text[from..].find(name).unwrap_or(0);
    }
    text[..from].matches('\n').count() + 1
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = include_str!("../../../deploy/operator.json5");

    #[test]
    fn the_example_is_read_and_its_schema_is_the_one_that_is_kept() {
        let operator = Operator::parse(EXAMPLE).expect("the example can be read");
        let upgrade = operator.upgrade.expect("it switches upgrades on");
        assert_eq!((upgrade.watched_ms, upgrade.silent_ms), (2_000, 1_000));
        let learning = operator.learning.expect("it switches learning on");
        assert_eq!(learning.peers.expect("peers").seeds.len(), 2);
        assert_eq!(Operator::parse("{}"), Ok(Operator::default()));
        // `merlinshelf check --schema > deploy/operator.schema.json` makes it anew.
        assert_eq!(
            Operator::schema(),
            include_str!("../../../deploy/operator.schema.json")
        );
    }

    #[test]
    fn what_can_not_be_used_is_named_with_its_line_and_what_would_be_right() {
        let long = format!("{{control: {{socket: '/{}'}}}}", "x".repeat(100));
        let texts = [
            "{",
            "{control: 7}",
            "{\n  // one\n  controls: {socket: '/run/one'},\n}",
            "{\n  upgrade: {\n    watched_ms: -1,\n  },\n}",
            "{\n  upgrade: {\n    ready_ms: 20,\n    watched_ms: 5,\n    silent_ms: 70000,\n  },\n}",
            "{log: {format: 'xml'}}",
            "{log: {level: 3}}",
            &long,
            "{upgrade: {descriptors: 3}}",
            "{learning: {share: 0.9}}",
            "{learning: {engine: ''}}",
            "{learning: {peers: {listen: '10.0.0.1:7400'}}}",
            "{learning: {\n peers: {listen: '127.0.0.1:7400',\n seeds: ['localhost']}}}",
            "{learning: {peers: {listen: '127.0.0.1:0'}}}",
            "{dependencies: {dependencies: {a: {servers: [], instead: 'b'}}, operations: {page: {calls: [{to: 'x'}]}}}}",
            "{dependencies: {dependencys: {}}}",
            "{policy: {without: 'nothing'}}",
            "{policy: {drift: 0.5, base: {tenants: {a: 0.7, b: 0.7}}}}",
        ];
        let read = texts.map(|text| Operator::parse(text).err().unwrap_or_default());
        insta::assert_snapshot!(read.join("\n"));
    }
}
