//! `merlinshelf fleet policy`: what holds for all instances of all agents, and changes of it.

use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand, ValueHint};
use merlinshelf_backend::operator::parse_json5;
use merlinshelf_policy::document::MAX_DOCUMENT_BYTES;
use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};

use crate::FAILED;
use crate::fleet::{Agent, ask};
use crate::remote::{WITHIN, failed, text};

/// A change ends within a lease and two seconds; the longest lease is ten minutes.
const CHANGED_WITHIN: Duration = Duration::from_secs(11 * 60);

#[derive(Args)]
pub struct How {
    /// Say what it would be, and change nothing
    #[arg(long)]
    dry_run: bool,
    /// Wait until it holds or is refused
    #[arg(long)]
    wait: bool,
    /// The change's own id: asking again by the same one is the same change
    #[arg(long, value_name = "ID")]
    id: Option<String>,
}

#[derive(Subcommand)]
pub enum Policy {
    /// Say what holds, what is under way, and who leads
    Show {
        /// Print the document that holds instead
        #[arg(long)]
        document: bool,
    },
    /// Say whether a document is a policy, without asking anybody
    #[command(
        after_help = "Example:\n  merlinshelf fleet policy check evening.json5\n  \
                      merlinshelf fleet policy check --schema > policy.schema.json"
    )]
    Check {
        #[arg(value_name = "FILE", value_hint = ValueHint::FilePath, required_unless_present = "schema")]
        file: Option<PathBuf>,
        /// Print the schema of a policy instead
        #[arg(long)]
        schema: bool,
    },
    /// Change the policy for all, or for none
    #[command(
        after_help = "Exit code 0 says that it holds (with --wait) or is proposed, 1 that it was refused or is not known yet.\n\n\
                      Example:\n  merlinshelf fleet policy propose evening.json5 --wait"
    )]
    Propose {
        #[arg(value_name = "FILE", value_hint = ValueHint::FilePath)]
        file: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// Bring the former policy back, by one further change
    Undo {
        #[command(flatten)]
        how: How,
    },
    /// Say what became of a change
    Outcome {
        #[arg(value_name = "ID")]
        id: String,
        /// Wait until it holds or is refused
        #[arg(long)]
        wait: bool,
    },
    /// Print ended changes
    History,
    /// Take an agent that is gone for good out of those that decide
    #[command(
        after_help = "First take it out of the file of every other agent, and start those anew, one at a time.\n\n\
                      Example:\n  merlinshelf fleet policy remove c"
    )]
    Remove {
        #[arg(value_name = "AGENT")]
        name: String,
    },
}

/// Reads a document. What can't be used is named, with its file and line.
fn read(file: &Path) -> Result<merlinshelf_policy::Policy, String> {
    let named = |why: String| format!("{}:{why}", file.display());
    let mut text = String::new();
    let opened = std::fs::File::open(file).map_err(|error| named(format!(" {error}")))?;
    // One byte more than there may be shows that there is more.
    opened
        .take(MAX_DOCUMENT_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|error| named(format!(" {error}")))?;
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(named(format!(
            " it is longer than the {MAX_DOCUMENT_BYTES} bytes that a policy may have"
        )));
    }
    parse_json5(&text).map_err(|error| named(error.to_string()))
}

fn new_id() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{:x}-{:x}", now.as_micros(), std::process::id())
}

fn wrong(agent: &Agent, why: &str) -> ExitCode {
    if agent.json {
        tell!("{}", json!({ "failed": why }));
    }
    eprintln!("merlinshelf: {why}");
    ExitCode::from(FAILED)
}

pub fn run(agent: &Agent, what: &Policy) -> ExitCode {
    match what {
        Policy::Check { schema: true, .. } => {
            tell!(
                "{}",
                serde_json::to_string_pretty(&merlinshelf_policy::Policy::schema())
                    .unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Policy::Check { file, .. } => {
            let file = file.clone().unwrap_or_default();
            match read(&file) {
                Ok(_) if agent.json => tell!("{}", json!({ "file": file, "usable": true })),
                Ok(_) => tell!(
                    "{}: is a policy; whether it fits the instances they say themselves",
                    file.display()
                ),
                Err(why) => return wrong(agent, &why),
            }
            ExitCode::SUCCESS
        }
        Policy::Show { document: true } => said(
            agent,
            &json!({ "op": "policy", "what": "document" }),
            WITHIN,
            |said| serde_json::to_string_pretty(said).unwrap_or_default(),
        ),
        Policy::Show { .. } => said(
            agent,
            &json!({ "op": "policy", "what": "show" }),
            WITHIN,
            page,
        ),
        Policy::History => said(
            agent,
            &json!({ "op": "policy", "what": "history" }),
            WITHIN,
            |sum| format!("current {}", sum["current"]),
        ),
        Policy::Remove { name } => said(
            agent,
            &json!({ "op": "policy", "what": "remove", "name": name }),
            WITHIN,
            |said| {
                format!(
                    "{} is a member no more",
                    said["removed"].as_str().unwrap_or("it")
                )
            },
        ),
        Policy::Outcome { id, wait } => said(
            agent,
            &json!({ "op": "policy", "what": "outcome", "id": id, "wait": wait }),
            CHANGED_WITHIN,
            change,
        ),
        Policy::Propose { file, how } => match read(file) {
            Ok(policy) => propose(
                agent,
                json!({ "op": "policy", "what": "propose", "policy": policy }),
                how,
            ),
            Err(why) => wrong(agent, &why),
        },
        Policy::Undo { how } => propose(agent, json!({ "op": "policy", "what": "undo" }), how),
    }
}

fn propose(agent: &Agent, mut body: Value, how: &How) -> ExitCode {
    body["id"] = json!(how.id.clone().unwrap_or_else(new_id));
    (body["dry_run"], body["wait"]) = (json!(how.dry_run), json!(how.wait));
    if let Ok(user) = std::env::var("USER") {
        body["by"] = json!(user);
    }
    said(agent, &body, CHANGED_WITHIN, change)
}

pub fn said(
    agent: &Agent,
    body: &Value,
    within: Duration,
    shown: impl Fn(&Value) -> String,
) -> ExitCode {
    let last = ask(&agent.agent, body, within, |more| {
        if agent.json {
            tell!("{more}")
        } else {
            tell!("{}", change(more))
        }
    });
    match last {
        Ok((ControlMessage::Done, report)) => {
            if agent.json {
                tell!("{report}")
            } else {
                tell!("{}", shown(&report))
            }
            ExitCode::SUCCESS
        }
        Ok((_, report)) if report["number"].is_u64() => {
            if agent.json {
                tell!("{report}")
            } else {
                tell!("{}", change(&report))
            }
            ExitCode::from(FAILED)
        }
        Ok((_, report)) => failed(&agent.agent, &io::Error::other(text(&report)), agent.json),
        Err(error) => failed(&agent.agent, &error, agent.json),
    }
}

/// One change in a line.
fn change(of: &Value) -> String {
    let word = |name: &str| of[name].as_str().unwrap_or("").to_owned();
    if of["would_be"].is_u64() {
        let same = if of["same"] == true {
            "; it says the same as what holds"
        } else {
            ""
        };
        return format!(
            "it would be {} in place of {}{same}",
            of["would_be"], of["in_place_of"]
        );
    }
    let why = if word("why").is_empty() {
        String::new()
    } else {
        format!(": {}", word("why"))
    };
    let note = if word("note").is_empty() {
        String::new()
    } else {
        format!(" ({})", word("note"))
    };
    format!(
        "policy {} {}{why}{note}, id {}",
        of["number"],
        word("state"),
        word("id")
    )
}

fn page(of: &Value) -> String {
    let word = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut page = format!(
        "policy {} holds{}\nagent {} {}, {} leads, members {}\n",
        of["current"],
        if of["note"] == "" {
            String::new()
        } else {
            format!(" ({})", word(&of["note"]))
        },
        word(&of["agent"]),
        word(&of["council"]),
        word(&of["leader"]),
        of["members"]
            .as_object()
            .map(|all| all.keys().cloned().collect::<Vec<_>>().join(", "))
            .unwrap_or_default(),
    );
    if let Some(change) = of["under_way"].as_object() {
        page += &format!(
            "change {} is {}, by {}\n",
            change["number"],
            word(&change["stage"]),
            word(&change["by"])
        );
    }
    page += &match of["lease"].as_object() {
        Some(lease) => format!(
            "this host has a lease on {} for {:.1} s\n",
            lease["number"],
            lease["left_s"].as_f64().unwrap_or(0.0)
        ),
        None => "this host has no lease\n".to_owned(),
    };
    for one in of["instances"].as_array().into_iter().flatten() {
        let acts = match one["acts"].as_u64() {
            Some(0) => "acts on the base policy".to_owned(),
            Some(number) => format!(
                "acts on {number} for {:.1} s",
                one["left_s"].as_f64().unwrap_or(0.0)
            ),
            None => "turns away".to_owned(),
        };
        page += &format!("  {:<16} {acts}\n", word(&one["name"]));
    }
    page.trim_end().to_owned()
}
