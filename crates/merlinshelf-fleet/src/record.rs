//! The state that the agent stores across restarts, encoded by field name: serialized names must
//! not change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::history::History;
use crate::instance::Identity;
use crate::plan::Plan;

/// The stored state of one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct InstanceRecord {
    /// Its process, if there is one.
    pub identity: Option<Identity>,
    /// The program that it runs, or that its next start runs.
    pub program: String,
    /// The operators have shut it down.
    #[serde(rename = "down")]
    pub is_disabled: bool,
    /// A graceful shutdown was requested: it must not be requested again.
    #[serde(rename = "told")]
    pub is_shutdown_requested: bool,
    /// The time that its process has for a graceful shutdown, in seconds, if it is known.
    #[serde(rename = "stop_s", skip_serializing_if = "Option::is_none")]
    pub shutdown_timeout_seconds: Option<f64>,
    /// Consecutive crashes without a steady run between them.
    pub crashes_in_a_row: u32,
}

/// The stored state of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// The instances by name.
    pub instances: BTreeMap<String, InstanceRecord>,
    /// Counts by group that override the specification.
    #[serde(rename = "counts")]
    pub group_counts: BTreeMap<String, u32>,
    /// Programs by group that override the specification.
    #[serde(rename = "programs")]
    pub group_programs: BTreeMap<String, String>,
    /// The last plan.
    pub plan: Option<Plan>,
    /// The number of the last plan.
    #[serde(rename = "plans")]
    pub last_plan_number: u64,
    /// The latest events.
    pub history: History,
}
