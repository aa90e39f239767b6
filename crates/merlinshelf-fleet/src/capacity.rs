//! Whether what is wanted fits the host: memory, cores, descriptors and ports, summed before anything starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::fleet_spec::FleetSpec;

/// What does not fit, each with its sum.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityError(pub Vec<String>);

impl std::fmt::Display for CapacityError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.write_str(&self.0.join("; "))
    }
}

/// The address of an instance: the group's port, and the next one for each further instance.
pub fn address(first: &str, number: u32) -> Option<SocketAddr> {
    let mut address: SocketAddr = first.parse().ok()?;
    address.set_port(u16::try_from(u32::from(address.port()) + number).ok()?);
    Some(address)
}

/// Whether all that is wanted fits, with a second process for each that is out at once.
///
/// # Errors
/// Every sum that is too large, and every address that two would have.
pub fn check(wanted: &FleetSpec) -> Result<(), CapacityError> {
    let mut whys = Vec::new();
    let (mut memory, mut cores, mut descriptors) = (0, 0.0, 0);
    let (mut largest_memory, mut largest_descriptors) = (0, 0);
    let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for (name, group) in &wanted.groups {
        let count = u64::from(group.count);
        memory += count * group.memory_mb;
        descriptors += count * group.descriptors;
        cores += f64::from(group.count) * group.cores;
        if group.count > 0 {
            largest_memory = largest_memory.max(group.memory_mb);
            largest_descriptors = largest_descriptors.max(group.descriptors);
        }
        for number in 0..group.count {
            let Some(address) = address(&group.listen, number) else {
                whys.push(format!(
                    "{name}: {} has no port for number {number}",
                    group.listen
                ));
                break;
            };
            let own = crate::fleet_spec::instance_name(name, number);
            if let Some(other) = addresses.insert(address, own.clone()) {
                whys.push(format!("{own} and {other} would both listen on {address}"));
                break;
            }
        }
    }
    if let Some(council) = &wanted.council
        && !council.agents.contains_key(&council.name)
    {
        whys.push(format!(
            "council.agents: {} itself is not among them",
            council.name
        ));
    }
    let second = u64::from(wanted.change.out_at_once);
    let (memory_all, descriptors_all) = (
        memory + second * largest_memory,
        descriptors + second * largest_descriptors,
    );
    let host = &wanted.host;
    if memory_all > host.memory_mb {
        whys.push(format!(
            "memory: {memory} MB and {} MB for second processes in a change are {memory_all} MB, of {} MB",
            memory_all - memory,
            host.memory_mb
        ));
    }
    if cores > host.cores {
        whys.push(format!("cores: {cores:.2} of {:.2}", host.cores));
    }
    if descriptors_all > host.descriptors {
        whys.push(format!(
            "descriptors: {descriptors} and {} for second processes in a change are {descriptors_all}, of {}",
            descriptors_all - descriptors,
            host.descriptors
        ));
    }
    if whys.is_empty() {
        Ok(())
    } else {
        Err(CapacityError(whys))
    }
}
