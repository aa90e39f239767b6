//! The operators' settings of dependencies: their servers, which operation calls which, with which
//! share of its time, and the fallbacks. [`Dependencies::check`] validates them as a whole before
//! any of them applies.
//!
//! Keys of the operators' file stay what they were before the fields were renamed.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Downstream dependencies, and the calls that operations make to them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Dependencies {
    /// The zone of this instance; servers in it are preferred unless they cost more than twice what
    /// others do.
    pub zone: String,
    /// By name.
    pub dependencies: BTreeMap<String, Dependency>,
    /// By the operation's name in the platform's settings: the calls that its runs make. Calls of
    /// other operations go to the platform's catalogue.
    pub operations: BTreeMap<String, Operation>,
}

/// A service with one or more servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    /// Its servers.
    pub servers: Vec<ServerConfig>,
    /// The share of the servers that may be ejected at one time, 0 to 1.
    #[serde(rename = "out_most", default = "default_max_ejected_share")]
    pub max_ejected_share: f64,
    /// How many of the servers one instance uses; absent: all.
    #[serde(rename = "subset", default)]
    pub subset_size: Option<usize>,
    /// The dependency that is called where this one can't be.
    #[serde(rename = "instead", default)]
    pub fallback_dependency: Option<String>,
}

/// One server of a dependency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// IP address and port.
    pub address: String,
    /// Its zone; empty: none.
    #[serde(default)]
    pub zone: String,
    /// Its capacity relative to the others', above 0.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// The calls of an operation's runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// In the order in which they are made.
    pub calls: Vec<Call>,
    /// All calls concurrently instead of one after the other; not supported yet.
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
    /// The share of the caller's remaining time that the call may take, 0 to 1; absent: by measured
    /// durations.
    #[serde(rename = "share", default)]
    pub deadline_share: Option<f64>,
    /// The run fails without it.
    #[serde(rename = "needed", default)]
    pub is_required: bool,
    /// The part of the billed value that is lost without it, 0 to 1.
    #[serde(rename = "cost", default)]
    pub value_loss: f64,
    /// The result where the call can't be made; the run's result is then marked as partial.
    #[serde(rename = "instead", default)]
    pub fallback: Fallback,
}

/// The result in place of a reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Fallback {
    /// None: the run continues without the call, or fails where it is required.
    #[default]
    Nothing,
    /// This text.
    Fixed(String),
    /// The last good reply to the same request, up to a maximal age; without one, nothing.
    #[serde(rename = "kept")]
    Cached {
        /// The maximal age of the reply in seconds, above 0.
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
