//! All instances and the plan. The host reports each event with its time by calling a method, and
//! polls for actions with [`Fleet::poll_action`].

mod command;
mod commands;
mod failure;
mod observation;
mod reconcile;
mod rolling;
mod rollout;
mod serving_capacity;

use std::collections::{BTreeMap, VecDeque};

use crate::fleet_spec::{FleetSpec, instance_name};
use crate::history::History;
use crate::instance::Instance;
use crate::plan::Plan;
use crate::record::{InstanceRecord, Record};

pub use command::{Action, Command, Selector};
pub use serving_capacity::ServingCapacity;

/// Added to the time for a graceful shutdown, so that a process that exits just in time is not
/// killed.
const SHUTDOWN_MARGIN_SECONDS: f64 = 2.0;

/// The state machine of all instances.
#[derive(Debug)]
pub struct Fleet {
    spec: FleetSpec,
    /// By name.
    instances: BTreeMap<String, Instance>,
    plan: Option<Plan>,
    last_plan_number: u64,
    /// Counts and programs by group that override the specification.
    group_counts: BTreeMap<String, u32>,
    group_programs: BTreeMap<String, String>,
    history: History,
    /// The time for a graceful shutdown of a process whose own is unknown: the longest of all
    /// configurations so far.
    default_shutdown_timeout_seconds: f64,
    /// When [`advance`](Fleet::advance) was called last.
    advanced_at: Option<f64>,
    actions: VecDeque<Action>,
    /// The record has changed since the last `take_record`.
    is_record_changed: bool,
    /// The wall clock, for the history.
    unix_seconds: f64,
}

impl Fleet {
    /// Creates a fleet from its specification and the record of an earlier agent. The host reports
    /// processes that still exist by [`Fleet::process_found`].
    pub fn new(
        now: f64,
        unix_seconds: f64,
        spec: FleetSpec,
        record: Record,
        shutdown_timeout_seconds: f64,
    ) -> Fleet {
        let mut fleet = Fleet {
            spec,
            instances: BTreeMap::new(),
            plan: record.plan,
            last_plan_number: record.last_plan_number,
            group_counts: record.group_counts,
            group_programs: record.group_programs,
            history: record.history,
            default_shutdown_timeout_seconds: shutdown_timeout_seconds,
            advanced_at: None,
            actions: VecDeque::new(),
            is_record_changed: true,
            unix_seconds,
        };
        fleet.create_instances(now);
        for (name, instance) in record.instances {
            fleet.restore_instance(name, instance);
        }
        fleet
    }

    /// Restores an instance from its record, even if it is no longer specified, since its process may
    /// still exist.
    fn restore_instance(&mut self, name: String, record: InstanceRecord) {
        let Some((group, index)) = parse_instance_name(&name) else {
            return;
        };
        let group = group.to_owned();
        let program = record.program.clone();
        let instance = self
            .instances
            .entry(name.clone())
            .or_insert_with(|| Instance::new(name, group, index, program));
        instance.is_disabled = record.is_disabled;
        instance.is_shutdown_requested = record.is_shutdown_requested;
        instance.shutdown_timeout_seconds = record.shutdown_timeout_seconds;
        instance.backoff.crashes_in_a_row = record.crashes_in_a_row;
        if !record.program.is_empty() {
            instance.program = record.program;
        }
    }

    /// A configuration gives its processes this time for a graceful shutdown. Processes of earlier
    /// configurations may still exist, so that a shorter time changes nothing.
    pub fn extend_default_shutdown_timeout(&mut self, seconds: f64) {
        self.default_shutdown_timeout_seconds = self.default_shutdown_timeout_seconds.max(seconds);
    }

    /// The next action for the host; `None` until another event occurs.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The specification.
    pub fn spec(&self) -> &FleetSpec {
        &self.spec
    }

    /// All instances, by name.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// The instance with a name.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// The last plan.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The latest events.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The record for the next agent, if it has changed since the last call.
    pub fn take_record(&mut self) -> Option<Record> {
        if !std::mem::take(&mut self.is_record_changed) {
            return None;
        }
        let instances = self.instances.values().map(|instance| {
            let record = InstanceRecord {
                identity: instance.identity.clone(),
                program: instance.program.clone(),
                is_disabled: instance.is_disabled,
                is_shutdown_requested: instance.is_shutdown_requested,
                shutdown_timeout_seconds: instance.shutdown_timeout_seconds,
                crashes_in_a_row: instance.backoff.crashes_in_a_row,
            };
            (instance.name.clone(), record)
        });
        Some(Record {
            instances: instances.collect(),
            group_counts: self.group_counts.clone(),
            group_programs: self.group_programs.clone(),
            plan: self.plan.clone(),
            last_plan_number: self.last_plan_number,
            history: self.history.clone(),
        })
    }

    /// Sets the wall clock, which is used for the history only.
    pub fn set_wall_clock(&mut self, unix_seconds: f64) {
        self.unix_seconds = unix_seconds;
    }

    /// Adds an event to the history.
    fn add_event(&mut self, instance: Option<&str>, text: impl Into<String>) {
        self.is_record_changed = true;
        self.history.add(self.unix_seconds, instance, text);
    }

    fn group_count(&self, group: &str) -> u32 {
        let specified = self.spec.groups.get(group).map_or(0, |group| group.count);
        self.group_counts.get(group).copied().unwrap_or(specified)
    }

    /// Adds specified instances that do not exist yet.
    fn create_instances(&mut self, now: f64) {
        for (group_name, group) in &self.spec.groups {
            let specified = || group.program.to_string_lossy().into_owned();
            let program = self.group_programs.get(group_name).cloned();
            let program = program.unwrap_or_else(specified);
            for index in 0..self.group_count(group_name) {
                let name = instance_name(group_name, index);
                self.instances.entry(name.clone()).or_insert_with(|| {
                    let mut instance =
                        Instance::new(name, group_name.clone(), index, program.clone());
                    instance.state_entered_at = now;
                    instance
                });
            }
        }
    }

    /// Whether an instance should have a process.
    fn is_desired(&self, instance: &Instance) -> bool {
        !instance.is_disabled && self.is_specified(instance)
    }

    /// Whether an instance is within the count of its group.
    fn is_specified(&self, instance: &Instance) -> bool {
        instance.index < self.group_count(&instance.group)
    }
}

/// The group and the index in an instance's name.
fn parse_instance_name(name: &str) -> Option<(&str, u32)> {
    let (group, index) = name.rsplit_once('.')?;
    Some((group, index.parse().ok()?))
}
