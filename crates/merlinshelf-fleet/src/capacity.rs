//! Checks before any start that the specified instances fit the host: memory, cores, descriptors
//! and ports.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::fleet_spec::{FleetSpec, Host, instance_name};

/// One reason why the instances do not fit.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Shortage {
    /// The ports of a group exceed the highest port number.
    #[error("{group}: {listen} has no port for number {index}")]
    NoPort {
        /// Name of the group.
        group: String,
        /// Address of its first instance.
        listen: String,
        /// The instance without a port.
        index: u32,
    },
    /// Two instances have the same address.
    #[error("{first} and {second} would both listen on {address}")]
    AddressConflict {
        /// Name of one instance.
        first: String,
        /// Name of the other instance.
        second: String,
        /// Their address.
        address: SocketAddr,
    },
    /// The agent itself is not among the agents of the consensus group.
    #[error("council.agents: {name} itself is not among them")]
    AgentNotListed {
        /// Name of the agent.
        name: String,
    },
    /// The instances need more memory than the host has.
    #[error(
        "memory: {instances_mb} MB and {upgrades_mb} MB for second processes in a change are {} MB, of {host_mb} MB",
        instances_mb + upgrades_mb
    )]
    Memory {
        /// For all instances.
        instances_mb: u64,
        /// For second processes during upgrades.
        upgrades_mb: u64,
        /// What the host has.
        host_mb: u64,
    },
    /// The instances need more cores than the host has.
    #[error("cores: {instances:.2} of {host:.2}")]
    Cores {
        /// For all instances.
        instances: f64,
        /// What the host has.
        host: f64,
    },
    /// The instances need more file descriptors than the host has.
    #[error(
        "descriptors: {instances} and {upgrades} for second processes in a change are {}, of {host}",
        instances + upgrades
    )]
    Descriptors {
        /// For all instances.
        instances: u64,
        /// For second processes during upgrades.
        upgrades: u64,
        /// What the host has.
        host: u64,
    },
}

/// All resources and addresses that do not fit.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}", join(shortages))]
pub struct CapacityError {
    /// The reasons; never empty.
    pub shortages: Vec<Shortage>,
}

fn join(shortages: &[Shortage]) -> String {
    let texts: Vec<String> = shortages.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// The address of an instance: the port of the group's first instance plus `index`. `None` if there
/// is no such port.
pub fn address(first: &str, index: u32) -> Option<SocketAddr> {
    let mut address: SocketAddr = first.parse().ok()?;
    address.set_port(u16::try_from(u32::from(address.port()) + index).ok()?);
    Some(address)
}

/// Checks that all instances fit the host, including second processes for the largest number of
/// concurrent upgrades.
///
/// # Errors
/// [`CapacityError`], with every exceeded resource and every address conflict.
pub fn check(spec: &FleetSpec) -> Result<(), CapacityError> {
    let mut shortages = address_shortages(spec);
    if let Some(consensus) = &spec.council
        && !consensus.agents.contains_key(&consensus.name)
    {
        shortages.push(Shortage::AgentNotListed {
            name: consensus.name.clone(),
        });
    }
    shortages.extend(Demand::of(spec).shortages(&spec.host));
    if shortages.is_empty() {
        return Ok(());
    }
    Err(CapacityError { shortages })
}

fn address_shortages(spec: &FleetSpec) -> Vec<Shortage> {
    let mut shortages = Vec::new();
    let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for (group_name, group) in &spec.groups {
        for index in 0..group.count {
            let Some(address) = address(&group.listen, index) else {
                shortages.push(Shortage::NoPort {
                    group: group_name.clone(),
                    listen: group.listen.clone(),
                    index,
                });
                break;
            };
            let first = instance_name(group_name, index);
            if let Some(second) = addresses.insert(address, first.clone()) {
                shortages.push(Shortage::AddressConflict {
                    first,
                    second,
                    address,
                });
                break;
            }
        }
    }
    shortages
}

/// The resources that all instances need.
#[derive(Default)]
struct Demand {
    memory_mb: u64,
    cores: f64,
    descriptors: u64,
    /// For second processes during upgrades.
    upgrade_memory_mb: u64,
    upgrade_descriptors: u64,
}

impl Demand {
    fn of(spec: &FleetSpec) -> Demand {
        let mut demand = Demand::default();
        let upgrades = u64::from(spec.change.out_at_once);
        for group in spec.groups.values().filter(|group| group.count > 0) {
            let count = u64::from(group.count);
            demand.memory_mb += count * group.memory_mb;
            demand.descriptors += count * group.descriptors;
            demand.cores += f64::from(group.count) * group.cores;
            demand.upgrade_memory_mb = demand.upgrade_memory_mb.max(upgrades * group.memory_mb);
            demand.upgrade_descriptors =
                demand.upgrade_descriptors.max(upgrades * group.descriptors);
        }
        demand
    }

    fn shortages(&self, host: &Host) -> Vec<Shortage> {
        let mut shortages = Vec::new();
        if self.memory_mb + self.upgrade_memory_mb > host.memory_mb {
            shortages.push(Shortage::Memory {
                instances_mb: self.memory_mb,
                upgrades_mb: self.upgrade_memory_mb,
                host_mb: host.memory_mb,
            });
        }
        if self.cores > host.cores {
            shortages.push(Shortage::Cores {
                instances: self.cores,
                host: host.cores,
            });
        }
        if self.descriptors + self.upgrade_descriptors > host.descriptors {
            shortages.push(Shortage::Descriptors {
                instances: self.descriptors,
                upgrades: self.upgrade_descriptors,
                host: host.descriptors,
            });
        }
        shortages
    }
}
