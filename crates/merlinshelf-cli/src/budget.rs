//! `merlinshelf fleet budget`: the fleet's budgets of downstream calls and how they are shared out.

use std::process::ExitCode;

use clap::Subcommand;
use serde_json::{Value, json};

use crate::fleet::Agent;
use crate::policy::request_and_print;
use crate::remote::REPLY_TIMEOUT;

#[derive(Subcommand)]
pub enum Budget {
    /// Show what is budgeted, reserved, granted and spent, and by which hosts and instances
    #[command(
        after_help = "Any agent can answer; its figures for other hosts may be out of date.\n\n\
                      Example:\n  merlinshelf fleet budget show --json"
    )]
    Show,
}

pub fn run(agent: &Agent, command: &Budget) -> ExitCode {
    match command {
        Budget::Show => request_and_print(
            agent,
            &json!({ "op": "policy", "what": "budgets" }),
            REPLY_TIMEOUT,
            budgets_text,
        ),
    }
}

/// Formats the fleet's budgets and the grants of this host.
fn budgets_text(report: &Value) -> String {
    let string = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut text = format!(
        "policy {}, {} hosts, allocator {}",
        report["policy"],
        report["hosts"],
        string(&report["leader"])
    );
    let budgets = report["budgets"].as_array();
    if budgets.is_none_or(Vec::is_empty) {
        text += "\nno budgets are set, or the leader has not reported them";
    }
    for budget in budgets.into_iter().flatten() {
        let phases = budget["fares"]
            .as_object()
            .into_iter()
            .flatten()
            .map(|(zone, phase)| {
                if zone.is_empty() {
                    string(phase)
                } else {
                    format!("{zone}: {}", string(phase))
                }
            });
        text += &format!(
            "\n{} {}: {} per second; {} reserved per host, {} shared, {} granted, {:.1} spent per second ({})",
            string(&budget["dependency"]),
            string(&budget["kind"]),
            budget["budget"],
            budget["aside_each"],
            budget["shared"],
            budget["granted"],
            budget["spent_s"].as_f64().unwrap_or(0.0),
            phases.collect::<Vec<_>>().join(", "),
        );
        text += &recipients_text(&budget["to"]);
    }
    for grant in report["here"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|grant| grant["held"].as_u64() > Some(0))
    {
        text += &format!(
            "\n{} holds {} per second of {} {}",
            string(&report["agent"]),
            grant["held"],
            string(&grant["dependency"]),
            string(&grant["kind"])
        );
        text += &recipients_text(&grant["to"]);
    }
    text
}

fn recipients_text(to: &Value) -> String {
    let nonzero = to
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(_, calls)| calls.as_u64() > Some(0));
    nonzero
        .map(|(name, calls)| format!("\n  {name:<16} {calls}"))
        .collect()
}
