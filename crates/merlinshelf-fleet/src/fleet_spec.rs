//! What the operators want: groups of like instances on a host with so much room. One file, in JSON5.

use std::collections::BTreeMap;
use std::path::PathBuf;

use garde::Validate;
use merlinshelf_policy::{LeaseExpiryMode, Policy};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(title = "The fleet's file of merlinshelf")]
pub struct FleetSpec {
    /// Where the agent keeps its files, and those of the instances.
    #[garde(skip)]
    pub folder: PathBuf,
    /// What there is for all instances together.
    #[garde(dive)]
    #[serde(default)]
    pub host: Host,
    /// How changes are made.
    #[garde(dive)]
    #[serde(default)]
    pub change: Change,
    /// How instances that end by themselves are started again.
    #[garde(dive)]
    #[serde(default)]
    pub restarts: Restarts,
    /// Other agents, with which this one decides on the policy for all; absent: there is none (docs/policy.md).
    #[garde(dive)]
    #[serde(default)]
    pub council: Option<ConsensusConfig>,
    /// The groups by name.
    #[garde(dive, custom(names))]
    pub groups: BTreeMap<String, Group>,
}

/// The agents that decide together, and what they agree on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ConsensusConfig {
    /// Which of the agents this one is.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Where this one listens to the others: on the loopback interface, since nothing is encrypted yet.
    #[garde(custom(loopback))]
    pub listen: String,
    /// All agents by name, this one among them, and where each is reached.
    #[garde(length(min = 1, max = 9), custom(all_loopback))]
    pub agents: BTreeMap<String, String>,
    /// How long a lease on a policy is, in milliseconds: a change waits so long for who does not answer, and who is cut off
    /// acts on the former policy for so long at the most. Agreed once for the installation.
    #[garde(range(min = 500, max = 600_000))]
    #[serde(default = "lease")]
    pub lease_ms: u64,
    /// How much clocks of two processes may run apart, as a part.
    #[garde(range(min = 0.0, max = 0.2))]
    #[serde(default = "drift")]
    pub drift: f64,
    /// Where this host stands: what fails for hosts of one zone is not taken to fail for those of another.
    #[garde(length(max = 40))]
    #[serde(default)]
    pub zone: String,
    /// What instances are served by without a lease. Agreed once for the installation.
    #[garde(dive)]
    #[serde(default)]
    pub base: Policy,
    /// What instances do without a lease.
    #[garde(skip)]
    #[serde(default)]
    pub without: LeaseExpiryMode,
    /// How long service is watched after a change and compared with before, in milliseconds; 0: not at all.
    #[garde(range(max = 60_000))]
    #[serde(default)]
    pub watch_ms: u64,
    /// By how much the served share may be worse; then the former policy is brought back.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "worse")]
    pub worse: f64,
}

fn lease() -> u64 {
    2_000
}

fn drift() -> f64 {
    0.02
}

fn worse() -> f64 {
    0.05
}

fn loopback(text: &str, (): &()) -> garde::Result {
    match text.parse::<std::net::SocketAddr>() {
        Ok(address) if address.ip().is_loopback() && address.port() > 0 => Ok(()),
        _ => Err(garde::Error::new(format!(
            "{text:?} is no loopback address with a port, like 127.0.0.1:7700"
        ))),
    }
}

fn all_loopback(agents: &BTreeMap<String, String>, (): &()) -> garde::Result {
    agents
        .values()
        .try_for_each(|address| loopback(address, &()))
}

/// Room for instances; nothing starts that does not fit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Host {
    /// Memory in MB.
    #[garde(range(min = 1))]
    pub memory_mb: u64,
    #[garde(range(min = 0.01))]
    pub cores: f64,
    #[garde(range(min = 1))]
    pub descriptors: u64,
}

impl Default for Host {
    fn default() -> Host {
        Host {
            memory_mb: 16 * 1024,
            cores: 64.0,
            descriptors: 65_536,
        }
    }
}

/// How changes of several instances are made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Most instances that are out at one time by a change.
    #[garde(range(min = 1))]
    pub out_at_once: u32,
    /// The part of all capacity that stays in service, weighted by what each instance serves.
    #[garde(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// How long one must have been in good health to be warm, in milliseconds.
    #[garde(range(min = 0, max = 3_600_000))]
    pub warm_ms: u64,
    /// How long one may take to get warm, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub warm_within_ms: u64,
    /// How long service is looked at before and after each step, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub looked_ms: u64,
    /// By how much the served share of a changed instance may be worse than before.
    #[garde(range(min = 0.0, max = 1.0))]
    pub worse: f64,
}

impl Default for Change {
    fn default() -> Change {
        Change {
            out_at_once: 1,
            floor: 0.75,
            warm_ms: 1_000,
            warm_within_ms: 60_000,
            looked_ms: 3_000,
            worse: 0.02,
        }
    }
}

/// How instances are started again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Restarts {
    /// The pause before the first start after a crash, in milliseconds; each further one doubles it.
    #[garde(range(min = 10, max = 600_000))]
    pub pause_ms: u64,
    /// The longest pause, in milliseconds.
    #[garde(range(min = 10, max = 3_600_000))]
    pub pause_most_ms: u64,
    /// One that was up for so long has no crashes behind it, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub steady_ms: u64,
    /// Starts under way at one time, so that a common cause is no storm.
    #[garde(range(min = 1))]
    pub at_once: u32,
    /// After how long without an answer an instance hangs, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub hangs_ms: u64,
}

impl Default for Restarts {
    fn default() -> Restarts {
        Restarts {
            pause_ms: 500,
            pause_most_ms: 60_000,
            steady_ms: 60_000,
            at_once: 4,
            hangs_ms: 3_000,
        }
    }
}

/// Instances of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// How many; they are named after the group, with numbers from 0.
    #[garde(range(max = 10_000))]
    pub count: u32,
    /// The program that serves.
    #[garde(skip)]
    pub program: PathBuf,
    /// The platform's configuration of the first one; name, listen and seed are made for each.
    #[garde(skip)]
    pub config: PathBuf,
    /// Whether they teach each other, and keep what they know (docs/learning.md).
    #[garde(skip)]
    #[serde(default)]
    pub learning: bool,
    /// The address of the first one; each further one has the next port.
    #[garde(custom(address))]
    pub listen: String,
    /// The address of the first one's engine; each further one has the next port. Absent: the configuration's for all.
    #[garde(inner(custom(address)))]
    #[serde(default)]
    pub engine: Option<String>,
    /// What an instance counts for as long as nothing is known of what it serves.
    #[garde(range(min = 0.0))]
    #[serde(default = "one")]
    pub weight: f64,
    #[garde(skip)]
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// Cores that one needs, beside the memory and descriptors of its configuration's limits.
    #[garde(range(min = 0.0))]
    #[serde(default = "part")]
    pub cores: f64,
    /// Memory of one, in MB.
    #[garde(range(min = 1))]
    #[serde(default = "memory")]
    pub memory_mb: u64,
    /// Descriptors of one.
    #[garde(range(min = 1))]
    #[serde(default = "descriptors")]
    pub descriptors: u64,
}

fn one() -> f64 {
    1.0
}

fn part() -> f64 {
    0.1
}

fn memory() -> u64 {
    64
}

fn descriptors() -> u64 {
    384
}

fn address(text: &str, (): &()) -> garde::Result {
    match text.parse::<std::net::SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        _ => Err(garde::Error::new(format!(
            "{text:?} is no address with a port, like 127.0.0.1:6565"
        ))),
    }
}

fn names(groups: &BTreeMap<String, Group>, (): &()) -> garde::Result {
    for name in groups.keys() {
        let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if name.is_empty() || name.len() > 40 || !name.bytes().all(plain) {
            return Err(garde::Error::new(format!(
                "{name:?} is no name of a group: up to 40 small letters, digits and hyphens"
            )));
        }
    }
    Ok(())
}

impl FleetSpec {
    /// All instances that are wanted, by name, with their group and number.
    pub fn instances(&self) -> impl Iterator<Item = (String, &str, u32)> {
        self.groups.iter().flat_map(|(name, group)| {
            (0..group.count).map(move |number| (instance_name(name, number), name.as_str(), number))
        })
    }
}

/// The name of an instance.
pub fn instance_name(group: &str, number: u32) -> String {
    format!("{group}.{number}")
}
