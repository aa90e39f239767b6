//! The operators' fleet file in JSON5: groups of instances and the host's capacity. Its keys are
//! part of the interface. Validated fields must be named like their keys: `garde` reports the field
//! name in the path of an error, regardless of serde's `rename`, and operators look up that path in
//! their file. The doc comments of the types are the descriptions in the file's schema.

use std::collections::BTreeMap;
use std::path::PathBuf;

use garde::Validate;
use merlinshelf_policy::{LeaseExpiryMode, Policy};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The operators' fleet file, in JSON5.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(title = "The fleet's file of merlinshelf")]
pub struct FleetSpec {
    /// Folder for the files of the agent and of the instances.
    #[garde(skip)]
    pub folder: PathBuf,
    /// The host's capacity for all instances together.
    #[garde(dive)]
    #[serde(default)]
    pub host: Host,
    /// Limits and durations for changes of instances.
    #[garde(dive)]
    #[serde(default)]
    pub change: Change,
    /// How crashed and hanging instances are restarted.
    #[garde(dive)]
    #[serde(default)]
    pub restarts: Restarts,
    /// The consensus group of agents that decides on the policy; absent: no group
    /// (docs/policy.md).
    #[garde(dive)]
    #[serde(default)]
    pub council: Option<ConsensusConfig>,
    /// The groups by name.
    #[garde(dive, custom(check_group_names))]
    pub groups: BTreeMap<String, Group>,
}

/// The agents of a consensus group, and the parameters that they agree on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ConsensusConfig {
    /// The name of this agent.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Address on which this agent listens for the others. Must be a loopback address because the
    /// connections are not encrypted.
    #[garde(custom(check_loopback))]
    pub listen: String,
    /// The addresses of all agents by name, including this one.
    #[garde(length(min = 1, max = 9), custom(check_all_loopback))]
    pub agents: BTreeMap<String, String>,
    /// Duration of a policy lease, in milliseconds. It limits how long a change waits for an agent
    /// that does not answer, and how long a disconnected instance applies the previous policy.
    /// Agreed once for the installation.
    #[garde(range(min = 500, max = 600_000))]
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Maximum difference between the clock rates of two processes, as a fraction.
    #[garde(range(min = 0.0, max = 0.2))]
    #[serde(default = "default_drift")]
    pub drift: f64,
    /// Zone of this host: a dependency that fails in one zone is not assumed to fail in another.
    #[garde(length(max = 40))]
    #[serde(default)]
    pub zone: String,
    /// The base policy, which applies when there is no lease. Agreed once for the installation.
    #[garde(dive)]
    #[serde(default)]
    pub base: Policy,
    /// The behaviour of instances without a lease.
    #[garde(skip)]
    #[serde(default, rename = "without")]
    pub lease_expiry_mode: LeaseExpiryMode,
    /// Time after a policy change for which the success ratio is compared with that before the
    /// change, in milliseconds; 0: no comparison.
    #[garde(range(max = 60_000))]
    #[serde(default)]
    pub watch_ms: u64,
    /// Decrease of the success ratio above which the previous policy is restored.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "default_worse")]
    pub worse: f64,
}

fn default_lease_ms() -> u64 {
    2_000
}

fn default_drift() -> f64 {
    0.02
}

fn default_worse() -> f64 {
    0.05
}

fn check_loopback(text: &str, (): &()) -> garde::Result {
    match text.parse::<std::net::SocketAddr>() {
        Ok(address) if address.ip().is_loopback() && address.port() > 0 => Ok(()),
        _ => Err(garde::Error::new(format!(
            "{text:?} is not a loopback address with a port, like 127.0.0.1:7700"
        ))),
    }
}

fn check_all_loopback(agents: &BTreeMap<String, String>, (): &()) -> garde::Result {
    agents
        .values()
        .try_for_each(|address| check_loopback(address, &()))
}

/// Capacity of the host. Instances that would exceed it are not started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Host {
    /// Memory in MB.
    #[garde(range(min = 1))]
    pub memory_mb: u64,
    /// Processor cores.
    #[garde(range(min = 0.01))]
    pub cores: f64,
    /// File descriptors.
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

/// Limits and durations for changes of instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Maximum number of instances that a change takes out of service at the same time.
    #[garde(range(min = 1))]
    pub out_at_once: u32,
    /// Minimum fraction of the serving capacity that stays in service, with each instance weighted
    /// by its rate of service.
    #[garde(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// Time for which an instance must be healthy to count as warm, in milliseconds.
    #[garde(range(min = 0, max = 3_600_000))]
    pub warm_ms: u64,
    /// Timeout for an instance to become warm, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub warm_within_ms: u64,
    /// Time for which service is observed before and after each instance's change, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub looked_ms: u64,
    /// Decrease of a changed instance's success ratio above which the change is rolled back.
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

/// How crashed and hanging instances are restarted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Restarts {
    /// Backoff before the restart after the first crash, in milliseconds. Each further crash
    /// doubles it.
    #[garde(range(min = 10, max = 600_000))]
    pub pause_ms: u64,
    /// Maximum backoff, in milliseconds.
    #[garde(range(min = 10, max = 3_600_000))]
    pub pause_most_ms: u64,
    /// Uptime after which earlier crashes no longer count, in milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub steady_ms: u64,
    /// Maximum number of instances that start at the same time.
    #[garde(range(min = 1))]
    pub at_once: u32,
    /// Time without a response after which an instance is considered to hang, in milliseconds.
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

/// Instances with the same program and configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Number of instances; they are named after the group, with numbers from 0.
    #[garde(range(max = 10_000))]
    pub count: u32,
    /// Path of the program.
    #[garde(skip)]
    pub program: PathBuf,
    /// Path of the platform's configuration, in which the agent sets name, listen and seed for each
    /// instance.
    #[garde(skip)]
    pub config: PathBuf,
    /// Whether the instances gossip about their observations and store them (docs/learning.md).
    #[garde(skip)]
    #[serde(default, rename = "learning")]
    pub is_gossiping: bool,
    /// Address of the first instance; each further one has the next port.
    #[garde(custom(check_address))]
    pub listen: String,
    /// Address of the first instance's engine; each further one has the next port. Absent: all
    /// instances use the configuration's engine.
    #[garde(inner(custom(check_address)))]
    #[serde(default)]
    pub engine: Option<String>,
    /// Weight of an instance in the serving capacity, until its rate of service is known.
    #[garde(range(min = 0.0))]
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Labels by which commands select instances.
    #[garde(skip)]
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// Processor cores of one instance.
    #[garde(range(min = 0.0))]
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory of one instance, in MB.
    #[garde(range(min = 1))]
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// File descriptors of one instance.
    #[garde(range(min = 1))]
    #[serde(default = "default_descriptors")]
    pub descriptors: u64,
}

fn default_weight() -> f64 {
    1.0
}

fn default_cores() -> f64 {
    0.1
}

fn default_memory_mb() -> u64 {
    64
}

fn default_descriptors() -> u64 {
    384
}

fn check_address(text: &str, (): &()) -> garde::Result {
    match text.parse::<std::net::SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        _ => Err(garde::Error::new(format!(
            "{text:?} is not an address with a port, like 127.0.0.1:6565"
        ))),
    }
}

fn check_group_names(groups: &BTreeMap<String, Group>, (): &()) -> garde::Result {
    for name in groups.keys() {
        let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if name.is_empty() || name.len() > 40 || !name.bytes().all(plain) {
            return Err(garde::Error::new(format!(
                "{name:?} is not a valid group name: use 1 to 40 lowercase letters, digits and hyphens"
            )));
        }
    }
    Ok(())
}

/// The name of an instance, from its group and its index in the group.
pub fn instance_name(group: &str, index: u32) -> String {
    format!("{group}.{index}")
}
