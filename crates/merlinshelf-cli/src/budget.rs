//! `merlinshelf fleet budget`: what all may spend on calls below, and who has how much of it.

use std::process::ExitCode;

use clap::Subcommand;
use serde_json::{Value, json};

use crate::fleet::Agent;
use crate::policy::said;
use crate::remote::WITHIN;

#[derive(Subcommand)]
pub enum Budget {
    /// Say what is budgeted, granted, spent and set aside, and to whom
    #[command(
        after_help = "Any agent may be asked; what others hold is as old as it says.\n\n\
                      Example:\n  merlinshelf fleet budget show --json"
    )]
    Show,
}

pub fn run(agent: &Agent, what: &Budget) -> ExitCode {
    match what {
        Budget::Show => said(
            agent,
            &json!({ "op": "policy", "what": "budgets" }),
            WITHIN,
            page,
        ),
    }
}

fn page(of: &Value) -> String {
    let word = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut page = format!(
        "policy {}, {} hosts, {} shares out",
        of["policy"],
        of["hosts"],
        word(&of["leader"])
    );
    let all = of["budgets"].as_array();
    if all.is_none_or(Vec::is_empty) {
        page += "\nnothing is bounded, or whoever leads has not said";
    }
    for one in all.into_iter().flatten() {
        let fares = one["fares"]
            .as_object()
            .into_iter()
            .flatten()
            .map(|(zone, phase)| {
                if zone.is_empty() {
                    word(phase)
                } else {
                    format!("{zone}: {}", word(phase))
                }
            });
        page += &format!(
            "\n{} {}: {} a second; {} set aside for each host, {} shared out now, {} granted, {:.1} of it spent a second ({})",
            word(&one["dependency"]),
            word(&one["kind"]),
            one["budget"],
            one["aside_each"],
            one["shared"],
            one["granted"],
            one["spent_s"].as_f64().unwrap_or(0.0),
            fares.collect::<Vec<_>>().join(", "),
        );
        page += &holders(&one["to"]);
    }
    for one in of["here"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|one| one["held"].as_u64() > Some(0))
    {
        page += &format!(
            "\n{} holds {} of {} {}",
            word(&of["agent"]),
            one["held"],
            word(&one["dependency"]),
            word(&one["kind"])
        );
        page += &holders(&one["to"]);
    }
    page
}

fn holders(to: &Value) -> String {
    let some = to
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(_, calls)| calls.as_u64() > Some(0));
    some.map(|(name, calls)| format!("\n  {name:<16} {calls}"))
        .collect()
}
