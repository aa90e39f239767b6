//! Validation of the operators' settings of dependencies. Errors name the keys of the operators'
//! file.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::config::{Call, Dependencies, Dependency, Fallback, Operation, ServerConfig};

/// Longest name of a dependency, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Names are listed in a header field, separated by commas.
const FORBIDDEN_IN_NAMES: [char; 4] = [',', '\r', '\n', ' '];
/// Rounding error by which a sum of shares may exceed 1.
const SHARE_TOLERANCE: f64 = 1e-9;

/// An error in the settings of dependencies, with the key that is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A dependency's name is empty, too long, or has characters that are not allowed in a list.
    #[error(
        "dependencies.{dependency}: invalid name: must have 1 to 64 bytes without commas, spaces and line breaks"
    )]
    InvalidName {
        /// The name.
        dependency: String,
    },
    /// A dependency has no servers.
    #[error("dependencies.{dependency}.servers: must not be empty")]
    NoServers {
        /// The dependency's name.
        dependency: String,
    },
    /// A server's address is not an IP address with a port.
    #[error(
        "dependencies.{dependency}.servers[{index}].address: {address:?} is not an IP address with a port"
    )]
    InvalidAddress {
        /// The dependency's name.
        dependency: String,
        /// The server's index.
        index: usize,
        /// Its address.
        address: String,
    },
    /// Two servers of a dependency have the same address.
    #[error("dependencies.{dependency}.servers[{index}].address: {address} is a duplicate")]
    DuplicateAddress {
        /// The dependency's name.
        dependency: String,
        /// The second server's index.
        index: usize,
        /// Their address.
        address: String,
    },
    /// A server's weight is not a number above 0.
    #[error("dependencies.{dependency}.servers[{index}].weight: {weight} is not above 0")]
    InvalidWeight {
        /// The dependency's name.
        dependency: String,
        /// The server's index.
        index: usize,
        /// Its weight.
        weight: f64,
    },
    /// The share of servers that may be ejected is not from 0 to 1.
    #[error("dependencies.{dependency}.out_most: {share} is not from 0 to 1")]
    InvalidEjectedShare {
        /// The dependency's name.
        dependency: String,
        /// The share.
        share: f64,
    },
    /// The size of the subset is 0.
    #[error("dependencies.{dependency}.subset: must be at least 1")]
    EmptySubset {
        /// The dependency's name.
        dependency: String,
    },
    /// Fallback dependencies form a cycle.
    #[error("dependencies.{dependency}.instead: fallback cycle: {}", .cycle.join(", "))]
    FallbackCycle {
        /// The first name of the cycle in alphabetical order.
        dependency: String,
        /// All names of the cycle, in the order of the fallbacks.
        cycle: Vec<String>,
    },
    /// The fallback dependency does not exist.
    #[error("dependencies.{dependency}.instead: there is no dependency {fallback}")]
    UnknownFallback {
        /// The dependency's name.
        dependency: String,
        /// Its fallback's.
        fallback: String,
    },
    /// Concurrent calls are not supported.
    #[error("operations.{operation}.at_once: concurrent calls of one run are not supported yet")]
    ConcurrentCalls {
        /// The operation's name.
        operation: String,
    },
    /// A call is made to a dependency that does not exist.
    #[error("operations.{operation}.calls[{index}].to: there is no dependency {dependency}")]
    UnknownDependency {
        /// The operation's name.
        operation: String,
        /// The call's index.
        index: usize,
        /// The dependency's name.
        dependency: String,
    },
    /// A call's share of the remaining time is not above 0 and up to 1.
    #[error("operations.{operation}.calls[{index}].share: {share} is not above 0 and up to 1")]
    InvalidShare {
        /// The operation's name.
        operation: String,
        /// The call's index.
        index: usize,
        /// The share.
        share: f64,
    },
    /// The maximal age of a cached reply is not a number above 0.
    #[error(
        "operations.{operation}.calls[{index}].instead.kept.within_s: {max_age_seconds} is not above 0"
    )]
    InvalidMaxAge {
        /// The operation's name.
        operation: String,
        /// The call's index.
        index: usize,
        /// The age in seconds.
        max_age_seconds: f64,
    },
    /// The share of the value that is lost without a call is not from 0 to 1.
    #[error("operations.{operation}.calls[{index}].cost: {value_loss} is not from 0 to 1")]
    InvalidValueLoss {
        /// The operation's name.
        operation: String,
        /// The call's index.
        index: usize,
        /// The share of the value.
        value_loss: f64,
    },
    /// The shares of consecutive calls add up to more than the remaining time.
    #[error(
        "operations.{operation}.calls: shares of consecutive calls add up to {sum:.2}, above 1"
    )]
    SharesExceedTime {
        /// The operation's name.
        operation: String,
        /// The sum of their shares.
        sum: f64,
    },
}

impl Dependencies {
    /// Validates the settings as a whole.
    ///
    /// # Errors
    /// All errors, in the order of the settings.
    pub fn check(&self) -> Result<(), Vec<ConfigError>> {
        let mut errors = Vec::new();
        for (name, dependency) in &self.dependencies {
            check_dependency(name, dependency, &mut errors);
            self.check_fallback_dependency(name, dependency, &mut errors);
        }
        for (name, operation) in &self.operations {
            self.check_operation(name, operation, &mut errors);
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_fallback_dependency(
        &self,
        name: &str,
        dependency: &Dependency,
        errors: &mut Vec<ConfigError>,
    ) {
        if let Some(cycle) = self.fallback_cycle(name)
            // Each cycle is reported once, at its first name.
            && cycle.iter().min() == Some(&name)
        {
            errors.push(ConfigError::FallbackCycle {
                dependency: name.to_owned(),
                cycle: cycle.into_iter().map(str::to_owned).collect(),
            });
        }
        if let Some(fallback) = &dependency.fallback_dependency
            && !self.dependencies.contains_key(fallback)
        {
            errors.push(ConfigError::UnknownFallback {
                dependency: name.to_owned(),
                fallback: fallback.clone(),
            });
        }
    }

    /// The names of the fallback cycle that includes `start`; `None` if there is no such cycle.
    fn fallback_cycle<'a>(&'a self, start: &'a str) -> Option<Vec<&'a str>> {
        let mut path = vec![start];
        let mut current = start;
        loop {
            let dependency = self.dependencies.get(current)?;
            current = dependency.fallback_dependency.as_deref()?;
            if current == start {
                return Some(path);
            }
            if path.contains(&current) {
                return None; // a cycle that does not include the start
            }
            path.push(current);
        }
    }

    fn check_operation(&self, name: &str, operation: &Operation, errors: &mut Vec<ConfigError>) {
        if operation.is_concurrent {
            errors.push(ConfigError::ConcurrentCalls {
                operation: name.to_owned(),
            });
        }
        for (index, call) in operation.calls.iter().enumerate() {
            self.check_call(name, index, call, errors);
        }
        let shares = operation
            .calls
            .iter()
            .filter_map(|call| call.deadline_share);
        let sum = shares.fold(0.0, |sum, share| sum + share);
        if !operation.is_concurrent && sum > 1.0 + SHARE_TOLERANCE {
            errors.push(ConfigError::SharesExceedTime {
                operation: name.to_owned(),
                sum,
            });
        }
    }

    fn check_call(
        &self,
        operation: &str,
        index: usize,
        call: &Call,
        errors: &mut Vec<ConfigError>,
    ) {
        if !self.dependencies.contains_key(&call.dependency) {
            errors.push(ConfigError::UnknownDependency {
                operation: operation.to_owned(),
                index,
                dependency: call.dependency.clone(),
            });
        }
        if let Some(share) = call.deadline_share
            && (!is_share(share) || share == 0.0)
        {
            errors.push(ConfigError::InvalidShare {
                operation: operation.to_owned(),
                index,
                share,
            });
        }
        if let Fallback::Cached { max_age_seconds } = call.fallback
            && !is_positive(max_age_seconds)
        {
            errors.push(ConfigError::InvalidMaxAge {
                operation: operation.to_owned(),
                index,
                max_age_seconds,
            });
        }
        if !is_share(call.value_loss) {
            errors.push(ConfigError::InvalidValueLoss {
                operation: operation.to_owned(),
                index,
                value_loss: call.value_loss,
            });
        }
    }
}

fn check_dependency(name: &str, dependency: &Dependency, errors: &mut Vec<ConfigError>) {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(FORBIDDEN_IN_NAMES) {
        errors.push(ConfigError::InvalidName {
            dependency: name.to_owned(),
        });
    }
    if dependency.servers.is_empty() {
        errors.push(ConfigError::NoServers {
            dependency: name.to_owned(),
        });
    }
    check_servers(name, &dependency.servers, errors);
    if !is_share(dependency.max_ejected_share) {
        errors.push(ConfigError::InvalidEjectedShare {
            dependency: name.to_owned(),
            share: dependency.max_ejected_share,
        });
    }
    if dependency.subset_size == Some(0) {
        errors.push(ConfigError::EmptySubset {
            dependency: name.to_owned(),
        });
    }
}

fn check_servers(dependency: &str, servers: &[ServerConfig], errors: &mut Vec<ConfigError>) {
    let mut addresses = BTreeSet::new();
    for (index, server) in servers.iter().enumerate() {
        if server.address.parse::<SocketAddr>().is_err() {
            errors.push(ConfigError::InvalidAddress {
                dependency: dependency.to_owned(),
                index,
                address: server.address.clone(),
            });
        } else if !addresses.insert(&server.address) {
            errors.push(ConfigError::DuplicateAddress {
                dependency: dependency.to_owned(),
                index,
                address: server.address.clone(),
            });
        }
        if !is_positive(server.weight) {
            errors.push(ConfigError::InvalidWeight {
                dependency: dependency.to_owned(),
                index,
                weight: server.weight,
            });
        }
    }
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}
