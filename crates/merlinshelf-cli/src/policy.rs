//! `merlinshelf fleet policy`: shows and changes the policy of all instances of all agents.

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
use crate::fleet::{Agent, request};
use crate::remote::{REPLY_TIMEOUT, failed, text};

/// A change ends within a lease and two seconds, and the longest lease is ten minutes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(11 * 60);

#[derive(Args)]
pub struct ChangeOptions {
    /// Show the change without proposing it
    #[arg(long)]
    dry_run: bool,
    /// Wait until the change is in force or rejected
    #[arg(long)]
    wait: bool,
    /// Id of the change: a repeated request with the same id is not a second change
    #[arg(long, value_name = "ID")]
    id: Option<String>,
}

#[derive(Subcommand)]
pub enum Policy {
    /// Show the current policy, a change in progress and the leader
    Show {
        /// Print the document of the current policy instead
        #[arg(long)]
        document: bool,
    },
    /// Validate a policy document without contacting an agent
    #[command(
        after_help = "Example:\n  merlinshelf fleet policy check evening.json5\n  \
                      merlinshelf fleet policy check --schema > policy.schema.json"
    )]
    Check {
        /// The policy document, in JSON5
        #[arg(value_name = "FILE", value_hint = ValueHint::FilePath, required_unless_present = "schema")]
        file: Option<PathBuf>,
        /// Print the JSON schema of a policy instead
        #[arg(long)]
        schema: bool,
    },
    /// Propose a new policy; it comes into force for all agents or for none
    #[command(
        after_help = "Exit code 0 means that the policy is in force (with --wait) or proposed, 1 that it was rejected or that the\n\
                      outcome is not known yet.\n\n\
                      Example:\n  merlinshelf fleet policy propose evening.json5 --wait"
    )]
    Propose {
        /// The policy document, in JSON5
        #[arg(value_name = "FILE", value_hint = ValueHint::FilePath)]
        file: PathBuf,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Restore the previous policy by a new change
    Undo {
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Show the outcome of a change
    Outcome {
        /// Id of the change
        #[arg(value_name = "ID")]
        id: String,
        /// Wait until the change is in force or rejected
        #[arg(long)]
        wait: bool,
    },
    /// Print completed changes
    History,
    /// Remove an agent that will not return from the consensus group
    #[command(
        after_help = "First remove it from the fleet file of every other agent and restart those agents, one at a time.\n\n\
                      Example:\n  merlinshelf fleet policy remove c"
    )]
    Remove {
        /// Name of the agent
        #[arg(value_name = "AGENT")]
        name: String,
    },
}

/// Reads a policy document. Errors name the file and, where known, the line.
fn read_policy(file: &Path) -> Result<merlinshelf_policy::Policy, String> {
    let with_path = |reason: String| format!("{}:{reason}", file.display());
    let mut text = String::new();
    let opened = std::fs::File::open(file).map_err(|error| with_path(format!(" {error}")))?;
    // One byte beyond the limit is enough to detect a document that is too long.
    opened
        .take(MAX_DOCUMENT_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|error| with_path(format!(" {error}")))?;
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(with_path(format!(
            " the document is longer than the maximum of {MAX_DOCUMENT_BYTES} bytes"
        )));
    }
    parse_json5(&text).map_err(|error| with_path(error.to_string()))
}

fn new_change_id() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{:x}-{:x}", now.as_micros(), std::process::id())
}

fn print_failure(agent: &Agent, reason: &str) -> ExitCode {
    if agent.json {
        print_line!("{}", json!({ "failed": reason }));
    }
    eprintln!("merlinshelf: {reason}");
    ExitCode::from(FAILED)
}

pub fn run(agent: &Agent, command: &Policy) -> ExitCode {
    match command {
        Policy::Check { schema: true, .. } => {
            print_line!(
                "{}",
                serde_json::to_string_pretty(&merlinshelf_policy::Policy::schema())
                    .unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Policy::Check { file, .. } => {
            let file = file.clone().unwrap_or_default();
            match read_policy(&file) {
                Ok(_) if agent.json => print_line!("{}", json!({ "file": file, "usable": true })),
                Ok(_) => print_line!(
                    "{}: valid; each instance still checks it against its own configuration",
                    file.display()
                ),
                Err(error) => return print_failure(agent, &error),
            }
            ExitCode::SUCCESS
        }
        Policy::Show { document: true } => request_and_print(
            agent,
            &json!({ "op": "policy", "what": "document" }),
            REPLY_TIMEOUT,
            |document| serde_json::to_string_pretty(document).unwrap_or_default(),
        ),
        Policy::Show { .. } => request_and_print(
            agent,
            &json!({ "op": "policy", "what": "show" }),
            REPLY_TIMEOUT,
            policy_text,
        ),
        Policy::History => request_and_print(
            agent,
            &json!({ "op": "policy", "what": "history" }),
            REPLY_TIMEOUT,
            |summary| format!("current {}", summary["current"]),
        ),
        Policy::Remove { name } => request_and_print(
            agent,
            &json!({ "op": "policy", "what": "remove", "name": name }),
            REPLY_TIMEOUT,
            |report| {
                format!(
                    "{} is no longer a member",
                    report["removed"].as_str().unwrap_or("the agent")
                )
            },
        ),
        Policy::Outcome { id, wait } => request_and_print(
            agent,
            &json!({ "op": "policy", "what": "outcome", "id": id, "wait": wait }),
            CHANGE_TIMEOUT,
            change_line,
        ),
        Policy::Propose { file, options } => match read_policy(file) {
            Ok(policy) => propose(
                agent,
                json!({ "op": "policy", "what": "propose", "policy": policy }),
                options,
            ),
            Err(error) => print_failure(agent, &error),
        },
        Policy::Undo { options } => {
            propose(agent, json!({ "op": "policy", "what": "undo" }), options)
        }
    }
}

fn propose(agent: &Agent, mut body: Value, options: &ChangeOptions) -> ExitCode {
    body["id"] = json!(options.id.clone().unwrap_or_else(new_change_id));
    (body["dry_run"], body["wait"]) = (json!(options.dry_run), json!(options.wait));
    if let Ok(user) = std::env::var("USER") {
        body["by"] = json!(user);
    }
    request_and_print(agent, &body, CHANGE_TIMEOUT, change_line)
}

/// Sends a request, prints its replies as JSON or as text, and returns the exit code.
pub fn request_and_print(
    agent: &Agent,
    body: &Value,
    reply_timeout: Duration,
    to_text: impl Fn(&Value) -> String,
) -> ExitCode {
    let last = request(&agent.agent, body, reply_timeout, |progress| {
        if agent.json {
            print_line!("{progress}")
        } else {
            print_line!("{}", change_line(progress))
        }
    });
    match last {
        Ok((ControlMessage::Done, report)) => {
            if agent.json {
                print_line!("{report}")
            } else {
                print_line!("{}", to_text(&report))
            }
            ExitCode::SUCCESS
        }
        Ok((_, report)) if report["number"].is_u64() => {
            if agent.json {
                print_line!("{report}")
            } else {
                print_line!("{}", change_line(&report))
            }
            ExitCode::from(FAILED)
        }
        Ok((_, report)) => failed(&agent.agent, &io::Error::other(text(&report)), agent.json),
        Err(error) => failed(&agent.agent, &error, agent.json),
    }
}

/// Formats a change as one line.
fn change_line(change: &Value) -> String {
    let field = |name: &str| change[name].as_str().unwrap_or("").to_owned();
    if change["would_be"].is_u64() {
        let unchanged = if change["same"] == true {
            "; it is the same as the current policy"
        } else {
            ""
        };
        return format!(
            "the change would become policy {} and replace policy {}{unchanged}",
            change["would_be"], change["in_place_of"]
        );
    }
    let reason = if field("why").is_empty() {
        String::new()
    } else {
        format!(": {}", field("why"))
    };
    let note = if field("note").is_empty() {
        String::new()
    } else {
        format!(" ({})", field("note"))
    };
    format!(
        "policy {} {}{reason}{note}, id {}",
        change["number"],
        field("state"),
        field("id")
    )
}

/// Formats the status of the policy on this host and its instances.
fn policy_text(report: &Value) -> String {
    let string = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut text = format!(
        "policy {} in force{}\nagent {} ({}), leader {}, members {}\n",
        report["current"],
        if report["note"] == "" {
            String::new()
        } else {
            format!(" ({})", string(&report["note"]))
        },
        string(&report["agent"]),
        string(&report["council"]),
        string(&report["leader"]),
        report["members"]
            .as_object()
            .map(|all| all.keys().cloned().collect::<Vec<_>>().join(", "))
            .unwrap_or_default(),
    );
    if let Some(change) = report["under_way"].as_object() {
        text += &format!(
            "change {} is {}, proposed by {}\n",
            change["number"],
            string(&change["stage"]),
            string(&change["by"])
        );
    }
    text += &match report["lease"].as_object() {
        Some(lease) => format!(
            "this host has a lease for policy {} for another {:.1} s\n",
            lease["number"],
            lease["left_s"].as_f64().unwrap_or(0.0)
        ),
        None => "this host has no lease\n".to_owned(),
    };
    for instance in report["instances"].as_array().into_iter().flatten() {
        let status = match instance["acts"].as_u64() {
            Some(0) => "uses the base policy".to_owned(),
            Some(number) => format!(
                "uses policy {number} for another {:.1} s",
                instance["left_s"].as_f64().unwrap_or(0.0)
            ),
            None => "rejects invocations".to_owned(),
        };
        text += &format!("  {:<16} {status}\n", string(&instance["name"]));
    }
    text.trim_end().to_owned()
}
