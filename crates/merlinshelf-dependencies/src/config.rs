//! The operators' settings of dependencies: their servers, the calls that operations make to them,
//! the share of time that each call may take, and the fallbacks. [`Dependencies::check`] validates
//! all settings before any of them takes effect.
//!
//! `#[serde(rename = "...")]` keeps the keys of the operators' file where a field has another name.
//! The doc comments are the descriptions in the file's schema.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Downstream dependencies, and the calls that operations make to them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Dependencies {
    /// The zone of this instance. Servers in the same zone are preferred unless their cost is more
    /// than twice that of other servers.
    pub zone: String,
    /// The dependencies by name.
    pub dependencies: BTreeMap<String, Dependency>,
    /// The calls that the runs of each operation make, by the operation's name in the platform's
    /// settings. Calls of operations that are not listed go to the platform's catalogue.
    pub operations: BTreeMap<String, Operation>,
}

/// A service with one or more servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    /// The servers of the service.
    pub servers: Vec<ServerConfig>,
    /// The maximum share of the servers that may be ejected at the same time, 0 to 1.
    #[serde(rename = "out_most", default = "default_max_ejected_share")]
    pub max_ejected_share: f64,
    /// The number of servers that one instance uses; absent: all.
    #[serde(rename = "subset", default)]
    pub subset_size: Option<usize>,
    /// The dependency that is called when this one can't be called; absent: none.
    #[serde(rename = "instead", default)]
    pub fallback_dependency: Option<String>,
}

/// One server of a dependency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// IP address and port.
    pub address: String,
    /// The zone of the server; empty: none.
    #[serde(default)]
    pub zone: String,
    /// The capacity relative to that of the other servers, above 0.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// The calls that each run of an operation makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The calls, in the order in which they are made.
    pub calls: Vec<Call>,
    /// Whether all calls are made concurrently instead of one after the other; not supported yet.
    #[serde(rename = "at_once", default)]
    pub is_concurrent: bool,
}

/// One call of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The dependency that is called.
    #[serde(rename = "to")]
    pub dependency: String,
    /// The share of the caller's remaining time that the call may take, 0 to 1; absent: derived
    /// from measured durations.
    #[serde(rename = "share", default)]
    pub deadline_share: Option<f64>,
    /// Whether the run fails without the call.
    #[serde(rename = "needed", default)]
    pub is_required: bool,
    /// The fraction of the billed value that is lost without the call, 0 to 1.
    #[serde(rename = "cost", default)]
    pub value_loss: f64,
    /// The result that is used when the call can't be made. The run's result is then marked as
    /// partial.
    #[serde(rename = "instead", default)]
    pub fallback: Fallback,
}

/// The result that replaces the reply to a call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Fallback {
    /// No result: the run continues without the call, or fails if the call is required.
    #[default]
    Nothing,
    /// The given text.
    Fixed(String),
    /// The last successful reply to the same request, up to a maximum age; as `nothing` if there is
    /// none.
    #[serde(rename = "kept")]
    Cached {
        /// The maximum age of the reply in seconds, above 0.
        #[serde(rename = "within_s")]
        max_age_seconds: f64,
    },
}

fn default_max_ejected_share() -> f64 {
    0.5
}

fn default_weight() -> f64 {
    1.0
}
