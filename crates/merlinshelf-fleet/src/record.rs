//! What outlives the agent: who runs where, what was wanted otherwise than in the file, the plan, and what happened.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::history::History;
use crate::instance::Identity;
use crate::plan::Plan;

/// Of one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct InstanceRecord {
    /// Its process, where there is one.
    pub identity: Option<Identity>,
    /// The program that it runs.
    pub program: String,
    /// The operators want it down.
    pub down: bool,
    /// It was told to leave, so that it must not be told again.
    pub told: bool,
    pub crashes_in_a_row: u32,
}

/// The whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    pub instances: BTreeMap<String, InstanceRecord>,
    /// Counts that were set by `scale`, by group.
    pub counts: BTreeMap<String, u32>,
    /// Programs that were set by `upgrade`, by group.
    pub programs: BTreeMap<String, String>,
    pub plan: Option<Plan>,
    pub plans: u64,
    pub history: History,
}
