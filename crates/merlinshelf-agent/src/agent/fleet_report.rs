//! Instances and plans as JSON, for the replies of the control socket. Keys and texts are part of
//! its interface.

use std::collections::BTreeMap;

use merlinshelf_fleet::plan::{Plan, Stage};
use merlinshelf_fleet::{Fleet, Instance};
use serde_json::{Value, json};

/// Maximum number of instances in one reply.
const INSTANCES_PER_PAGE: usize = 100;
/// Time over which the rate of served invocations is measured, in seconds.
const RATE_WINDOW_SECONDS: f64 = 10.0;

/// Reports on selected instances, in pages, and a summary of all instances.
pub(super) struct StatusReport {
    pub pages: Vec<Value>,
    pub summary: Value,
}

/// Reports the status of the named instances.
pub(super) fn status_report(fleet: &Fleet, now: f64, names: &[String]) -> StatusReport {
    let instances: Vec<Value> = names
        .iter()
        .filter_map(|name| fleet.get(name))
        .map(|instance| instance_report(now, instance))
        .collect();
    let pages = instances
        .chunks(INSTANCES_PER_PAGE)
        .map(|page| json!({ "instances": page }))
        .collect();
    let summary = fleet_summary(fleet, now);
    StatusReport { pages, summary }
}

fn fleet_summary(fleet: &Fleet, now: f64) -> Value {
    let mut states = BTreeMap::<&str, u32>::new();
    for instance in fleet.instances() {
        *states.entry(instance.state.name()).or_default() += 1;
    }
    let mut plan = fleet.plan().map(plan_report);
    if let Some(fields) = plan.as_mut().and_then(Value::as_object_mut) {
        fields.remove("targets");
    }
    let capacity = fleet.capacity(now);
    let capacity_percent = capacity.serving / capacity.total.max(1e-9) * 100.0;
    json!({
        "states": states,
        "capacity": round_to_tenth(capacity_percent),
        "plan": plan,
    })
}

/// Reports the status of one instance.
pub(super) fn instance_report(now: f64, instance: &Instance) -> Value {
    let report = instance.report.as_ref();
    json!({
        "name": instance.name,
        "group": instance.group,
        "state": instance.state.name(),
        "since_s": round_to_tenth(now - instance.state_entered_at),
        "process": instance.identity.as_ref().map(|identity| identity.pid),
        "down": instance.is_disabled,
        "in_hand": report.map(|report| report.in_flight),
        "served_per_s": round_to_tenth(instance.success_rate(now, RATE_WINDOW_SECONDS)),
        "run_ms": report.and_then(|report| report.run_ms).map(round_to_tenth),
        "memory_kb": report.map(|report| report.memory_kb),
        "program": instance.program,
        "crashes": instance.backoff.crashes_in_a_row,
    })
}

/// Reports a plan with all its targets.
pub(super) fn plan_report(plan: &Plan) -> Value {
    let progress = plan.progress();
    let targets: Vec<Value> = plan
        .targets
        .iter()
        .map(|target| json!({ "name": target.name, "stage": stage_text(&target.stage) }))
        .collect();
    json!({
        "plan": plan.number,
        "kind": plan.kind.name(),
        "state": plan.state.text(),
        "over": plan.state.is_over(),
        "done": progress.done,
        "of": progress.total,
        "at_once": plan.max_in_progress,
        "targets": targets,
    })
}

fn stage_text(stage: &Stage) -> String {
    match stage {
        Stage::Pending => "to do".to_owned(),
        Stage::InProgress { .. } => "under way".to_owned(),
        Stage::Observing { .. } => "looked at".to_owned(),
        Stage::Done { .. } => "done".to_owned(),
        Stage::RollingBack => "put back".to_owned(),
        Stage::Skipped(reason) => format!("left: {reason}"),
    }
}

/// Rounds a number to one decimal place.
pub(super) fn round_to_tenth(number: f64) -> f64 {
    (number * 10.0).round() / 10.0
}
