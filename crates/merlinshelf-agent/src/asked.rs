//! What the operators' tool asks for: its words as commands, and what is shown of the fleet.

use merlinshelf_fleet::plan::{Plan, Stage};
use merlinshelf_fleet::{Command, Fleet, Instance, Selector};
use serde_json::{Value, json};

/// Whom it means.
pub fn selector(body: &Value) -> Selector {
    let texts = |name: &str| -> Vec<String> {
        let all = body[name].as_array();
        all.into_iter()
            .flatten()
            .filter_map(|one| one.as_str().map(str::to_owned))
            .collect()
    };
    let pair = |text: &String| {
        text.split_once('=')
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
    };
    Selector {
        names: texts("names"),
        groups: texts("groups"),
        labels: texts("labels").iter().filter_map(pair).collect(),
    }
}

/// The change that it asks for; none where it is no change.
///
/// # Errors
/// What it lacks.
pub fn command(body: &Value) -> Result<Option<Command>, String> {
    Ok(Some(match body["op"].as_str().unwrap_or("") {
        "start" => Command::Start,
        "drain" => Command::Drain {
            slowest_first: body["slowest_first"] == true,
            at_once: body["at_once"]
                .as_u64()
                .and_then(|count| u32::try_from(count).ok()),
        },
        "stop" => Command::Stop {
            within: body["within_s"]
                .as_f64()
                .unwrap_or(30.0)
                .clamp(0.0, 86_400.0),
        },
        "restart" => Command::Restart,
        "upgrade" => {
            let program = body["program"].as_str().ok_or("it names no program")?;
            let program =
                std::fs::canonicalize(program).map_err(|error| format!("{program}: {error}"))?;
            Command::Upgrade {
                program: program.to_string_lossy().into_owned(),
            }
        }
        _ => return Ok(None),
    }))
}

/// One instance, for reports.
pub fn instance(now: f64, one: &Instance) -> Value {
    let report = one.report.as_ref();
    json!({
        "name": one.name,
        "group": one.group,
        "state": one.state.name(),
        "since_s": round(now - one.since),
        "process": one.identity.as_ref().map(|of| of.pid),
        "down": one.down,
        "in_hand": report.map(|of| of.in_hand),
        "served_per_s": round(one.rate(now, 10.0)),
        "run_ms": report.and_then(|of| of.run_ms).map(round),
        "memory_kb": report.map(|of| of.memory_kb),
        "program": one.program,
        "crashes": one.crashes.in_a_row,
    })
}

pub fn plan(plan: &Plan) -> Value {
    let (done, all) = plan.progress();
    let stage = |stage: &Stage| match stage {
        Stage::Todo => "to do".to_owned(),
        Stage::Under { .. } => "under way".to_owned(),
        Stage::Looking { .. } => "looked at".to_owned(),
        Stage::Done { .. } => "done".to_owned(),
        Stage::Back => "put back".to_owned(),
        Stage::Left(why) => format!("left: {why}"),
    };
    let targets: Vec<Value> = plan
        .targets
        .iter()
        .map(|of| json!({ "name": of.name, "stage": stage(&of.stage) }))
        .collect();
    json!({
        "plan": plan.number, "kind": plan.kind.name(), "state": plan.state.text(), "over": plan.state.is_over(),
        "done": done, "of": all, "at_once": plan.at_once, "targets": targets,
    })
}

/// Instances in one answer of the control socket.
const PAGE: usize = 100;

/// The instances that are meant, in pages, and a sum.
pub fn status(fleet: &Fleet, now: f64, names: &[String]) -> (Vec<Value>, Value) {
    let meant: Vec<Value> = names
        .iter()
        .filter_map(|name| fleet.get(name))
        .map(|one| instance(now, one))
        .collect();
    let pages = meant
        .chunks(PAGE)
        .map(|page| json!({ "instances": page }))
        .collect();
    let (serving, whole) = fleet.capacity(now);
    let mut states = std::collections::BTreeMap::<&str, u32>::new();
    for one in fleet.instances() {
        *states.entry(one.state.name()).or_default() += 1;
    }
    let mut short = fleet.plan().map(plan);
    if let Some(targets) = short.as_mut().and_then(Value::as_object_mut) {
        targets.remove("targets");
    }
    let sum = json!({ "states": states, "capacity": round(serving / whole.max(1e-9) * 100.0), "plan": short });
    (pages, sum)
}

pub fn round(number: f64) -> f64 {
    (number * 10.0).round() / 10.0
}
