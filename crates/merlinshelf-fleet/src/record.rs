//! What outlives the agent. The agent stores it with fields by name: serialized names stay.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::history::History;
use crate::instance::Identity;
use crate::plan::Plan;

/// What is stored of one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct InstanceRecord {
    /// Its process, where there is one.
    pub identity: Option<Identity>,
    /// The program that it runs, or that its next start runs.
    pub program: String,
    /// The operators have shut it down.
    #[serde(rename = "down")]
    pub is_disabled: bool,
    /// A graceful shutdown was requested: it must not be requested again.
    #[serde(rename = "told")]
    pub is_shutdown_requested: bool,
    /// Crashes without a steady run between them.
    pub crashes_in_a_row: u32,
}

/// The state of the fleet that outlives the agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// By name.
    pub instances: BTreeMap<String, InstanceRecord>,
    /// By group, counts that replace the specification's.
    #[serde(rename = "counts")]
    pub group_counts: BTreeMap<String, u32>,
    /// By group, programs that replace the specification's.
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
