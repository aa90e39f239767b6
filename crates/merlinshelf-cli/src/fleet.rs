//! `merlinshelf fleet`: commands that send a request to the agent of a fleet over its socket.

use std::io::{self, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand, ValueHint};
use merlinshelf_agent::control_client::BlockingControlClient;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::{Value, json};

use crate::FAILED;
use crate::remote::{REPLY_TIMEOUT, failed, text};

/// Longest time between two progress reports of a plan.
const PLAN_REPLY_TIMEOUT: Duration = Duration::from_secs(24 * 3600);
/// Time between two updates of `watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Exit code of a plan that was carried out for some of its targets only.
const PARTIAL_SUCCESS: u8 = 3;

#[derive(Args)]
pub struct Agent {
    /// The agent's socket: the file `agent` in the folder that the fleet file names
    #[arg(long, value_name = "SOCKET", env = "MERLINSHELF_AGENT", value_hint = ValueHint::FilePath, global = true, default_value = "/var/lib/merlinshelf/fleet/agent")]
    pub agent: PathBuf,
    /// Print JSON, one object per line
    #[arg(long, global = true)]
    pub json: bool,
}

/// The instances that a command applies to. Queries apply to all instances if none are selected.
#[derive(Args)]
pub struct Targets {
    /// Names of instances, such as web.3
    names: Vec<String>,
    /// All instances of this group
    #[arg(long, value_name = "GROUP")]
    group: Vec<String>,
    /// All instances with this label
    #[arg(long, value_name = "KEY=VALUE")]
    label: Vec<String>,
    /// All instances
    #[arg(long)]
    all: bool,
}

#[derive(Args)]
pub struct PlanOptions {
    /// Show the plan without carrying it out
    #[arg(long)]
    dry_run: bool,
    /// Wait until the plan has ended
    #[arg(long)]
    wait: bool,
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Show the status of the instances
    Status {
        #[command(flatten)]
        targets: Targets,
    },
    /// Start the instances that are stopped
    Start {
        #[command(flatten)]
        targets: Targets,
        #[command(flatten)]
        options: PlanOptions,
    },
    /// Shut down instances gracefully and keep them stopped
    #[command(
        after_help = "Example:\n  merlinshelf fleet drain --group web --slowest-first --at-once 2 --wait"
    )]
    Drain {
        #[command(flatten)]
        targets: Targets,
        #[command(flatten)]
        options: PlanOptions,
        /// Slowest instances first, by the run times that they report
        #[arg(long)]
        slowest_first: bool,
        /// Maximum number of instances to drain at once [default: all]
        #[arg(long, value_name = "COUNT")]
        at_once: Option<u32>,
    },
    /// Shut down instances like drain, and kill those still running after a timeout
    Stop {
        #[command(flatten)]
        targets: Targets,
        #[command(flatten)]
        options: PlanOptions,
        /// Seconds from the start of the shutdown until an instance is killed
        #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
        within: f64,
    },
    /// Drain and start instances in batches, never going below the configured floor
    Restart {
        #[command(flatten)]
        targets: Targets,
        #[command(flatten)]
        options: PlanOptions,
    },
    /// Replace the program of serving instances in batches; roll back if service gets worse
    #[command(
        after_help = "Example:\n  merlinshelf fleet upgrade --group web --program /opt/merlinshelf-2/merlinshelf --wait"
    )]
    Upgrade {
        #[command(flatten)]
        targets: Targets,
        #[command(flatten)]
        options: PlanOptions,
        /// The new program
        #[arg(long, value_name = "FILE", value_hint = ValueHint::FilePath)]
        program: PathBuf,
    },
    /// Set the number of instances of a group
    Scale {
        /// Name of the group
        group: String,
        /// Number of instances
        count: u32,
    },
    /// Show the status of the instances, updated every second until interrupted
    Watch,
    /// Print the last lines of the instances' logs
    Logs {
        #[command(flatten)]
        targets: Targets,
        /// Number of lines for each instance
        #[arg(long, default_value_t = 20)]
        lines: u32,
    },
    /// Show the progress of the last plan
    Plan,
    /// Pause the plan: begin no further steps until it is resumed
    Pause,
    /// Resume a paused plan
    Resume,
    /// Abandon the plan, leaving the instances as they are
    Abandon,
    /// Reload the fleet file
    Apply,
    /// Show the fleet's budgets of downstream calls and how they are shared out
    Budget {
        #[command(subcommand)]
        command: crate::budget::Budget,
    },
    /// Show or change the policy of all instances of all agents
    Policy {
        #[command(subcommand)]
        command: crate::policy::Policy,
    },
    /// Print the last events
    History {
        /// Number of events
        #[arg(long, default_value_t = 50)]
        lines: u32,
    },
}

fn request_body(op: &str, targets: &Targets) -> Result<Value, &'static str> {
    let is_selective =
        !targets.names.is_empty() || !targets.group.is_empty() || !targets.label.is_empty();
    if !is_selective && !targets.all && !matches!(op, "status" | "logs") {
        return Err("no instances selected: name instances, or use --group, --label or --all");
    }
    if targets.label.iter().any(|label| !label.contains('=')) {
        return Err("a label must have the form KEY=VALUE");
    }
    Ok(
        json!({ "op": op, "names": targets.names, "groups": targets.group, "labels": targets.label }),
    )
}

pub fn run(agent: &Agent, command: &Fleet) -> ExitCode {
    let request = |op: &str| json!({ "op": op });
    let run_plan = |op: &str, targets: &Targets, options: &PlanOptions, parameters: Value| {
        let mut body = match request_body(op, targets) {
            Ok(body) => body,
            Err(error) => return usage_error(error),
        };
        (body["dry_run"], body["wait"]) = (json!(options.dry_run), json!(options.wait));
        for (name, value) in parameters.as_object().into_iter().flatten() {
            body[name] = value.clone();
        }
        send_plan_request(agent, &body, options.wait && !options.dry_run)
    };
    match command {
        Fleet::Status { targets } => match request_body("status", targets) {
            Ok(body) => status(agent, &body),
            Err(error) => usage_error(error),
        },
        Fleet::Logs { targets, lines } => match request_body("logs", targets) {
            Ok(mut body) => {
                body["lines"] = json!(lines);
                logs(agent, &body)
            }
            Err(error) => usage_error(error),
        },
        Fleet::Start { targets, options } => run_plan("start", targets, options, json!({})),
        Fleet::Drain {
            targets,
            options,
            slowest_first,
            at_once,
        } => run_plan(
            "drain",
            targets,
            options,
            json!({ "slowest_first": slowest_first, "at_once": at_once }),
        ),
        Fleet::Stop {
            targets,
            options,
            within,
        } => run_plan("stop", targets, options, json!({ "within_s": within })),
        Fleet::Restart { targets, options } => run_plan("restart", targets, options, json!({})),
        Fleet::Upgrade {
            targets,
            options,
            program,
        } => match std::path::absolute(program) {
            Ok(program) => run_plan("upgrade", targets, options, json!({ "program": program })),
            Err(error) => usage_error(&error.to_string()),
        },
        Fleet::Scale { group, count } => send_simple_request(
            agent,
            &json!({ "op": "scale", "group": group, "count": count }),
        ),
        Fleet::Pause => send_simple_request(agent, &request("pause")),
        Fleet::Resume => send_simple_request(agent, &request("resume")),
        Fleet::Abandon => send_simple_request(agent, &request("abandon")),
        Fleet::Apply => send_simple_request(agent, &request("apply")),
        Fleet::Plan => send_plan_request(agent, &request("plan"), false),
        Fleet::Budget { command } => crate::budget::run(agent, command),
        Fleet::Policy { command } => crate::policy::run(agent, command),
        Fleet::History { lines } => history(agent, *lines),
        Fleet::Watch => watch(agent),
    }
}

fn usage_error(error: &str) -> ExitCode {
    eprintln!("merlinshelf: {error}");
    ExitCode::from(crate::WRONG_USAGE)
}

/// Sends a request and passes each reply to `on_progress` up to the last one, which is returned.
pub fn request(
    agent: &Path,
    body: &Value,
    reply_timeout: Duration,
    mut on_progress: impl FnMut(&Value),
) -> io::Result<(ControlMessage, Value)> {
    let mut client =
        BlockingControlClient::request(agent, ControlRequest::Fleet, body, reply_timeout)?;
    loop {
        match client.next_reply()? {
            (ControlMessage::More, report) => on_progress(&report),
            last => return Ok(last),
        }
    }
}

/// Prints the last reply, or the error, and returns the exit code for it.
fn finish(
    agent: &Agent,
    last: io::Result<(ControlMessage, Value)>,
    print: impl FnOnce(&Value),
) -> ExitCode {
    match last {
        Ok((ControlMessage::Done, report)) => {
            if agent.json {
                print_line!("{report}");
            } else {
                print(&report);
            }
            ExitCode::SUCCESS
        }
        Ok((ControlMessage::Failed, report)) if report["plan"].is_u64() => {
            if agent.json {
                print_line!("{report}");
            } else {
                print_line!("{}", plan_summary(&report));
                print_targets(&report);
            }
            let any_done = report["done"].as_u64() > Some(0);
            ExitCode::from(if any_done { PARTIAL_SUCCESS } else { FAILED })
        }
        Ok((_, report)) => failed(&agent.agent, &io::Error::other(text(&report)), agent.json),
        Err(error) => failed(&agent.agent, &error, agent.json),
    }
}

fn send_simple_request(agent: &Agent, body: &Value) -> ExitCode {
    let last = request(&agent.agent, body, REPLY_TIMEOUT, |_| {});
    finish(agent, last, |report| print_line!("{}", text(report)))
}

fn plan_summary(plan: &Value) -> String {
    if plan["plan"].is_null() {
        return "no plan".into();
    }
    let text = |name: &str| plan[name].as_str().unwrap_or("").to_owned();
    format!(
        "plan {} {}: {} of {}, {}",
        plan["plan"],
        text("kind"),
        plan["done"],
        plan["of"],
        text("state")
    )
}

fn print_targets(plan: &Value) {
    for target in plan["targets"].as_array().into_iter().flatten() {
        print_line!(
            "  {:<16} {}",
            target["name"].as_str().unwrap_or(""),
            target["stage"].as_str().unwrap_or("")
        );
    }
}

fn send_plan_request(agent: &Agent, body: &Value, wait: bool) -> ExitCode {
    let reply_timeout = if wait {
        PLAN_REPLY_TIMEOUT
    } else {
        REPLY_TIMEOUT
    };
    let last = request(&agent.agent, body, reply_timeout, |plan| {
        if agent.json {
            print_line!("{plan}");
        } else {
            eprintln!("{}", plan_summary(plan));
        }
    });
    finish(agent, last, |plan| {
        print_line!("{}", plan_summary(plan));
        print_targets(plan);
    })
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

const COLUMNS: [&str; 8] = [
    "name",
    "state",
    "since_s",
    "process",
    "in_hand",
    "served_per_s",
    "run_ms",
    "program",
];

fn status_table(instances: &[Value], summary: &Value) -> String {
    let mut rows = vec![COLUMNS.map(str::to_owned).to_vec()];
    rows.extend(instances.iter().map(|instance| {
        COLUMNS
            .iter()
            .map(|column| cell(&instance[*column]))
            .collect()
    }));
    let widths: Vec<usize> = (0..COLUMNS.len())
        .map(|column| {
            rows.iter()
                .map(|row| row[column].chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in &rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text += cells.join("  ").trim_end();
        text.push('\n');
    }
    let states = summary["states"].as_object().into_iter().flatten();
    let states: Vec<String> = states
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    text += &format!(
        "{}; {}% of the desired capacity is serving",
        states.join(", "),
        cell(&summary["capacity"])
    );
    if !summary["plan"].is_null() {
        text += &format!("\n{}", plan_summary(&summary["plan"]));
    }
    text
}

/// Requests a report of the instances. Returns the instances, of other agents too, and the last
/// reply.
fn request_instances(
    agent: &Path,
    body: &Value,
) -> io::Result<(Vec<Value>, (ControlMessage, Value))> {
    let mut instances = Vec::new();
    let last = request(agent, body, REPLY_TIMEOUT, |page| {
        for instance in page["others"].as_array().into_iter().flatten() {
            let mut instance = instance.clone();
            instance["agent"] = page["agent"].clone();
            instance["name"] = json!(format!(
                "{}/{}",
                text_of(&page["agent"]),
                text_of(&instance["name"])
            ));
            instances.push(instance);
        }
        instances.extend(page["instances"].as_array().into_iter().flatten().cloned());
    })?;
    Ok((instances, last))
}

fn text_of(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

fn status(agent: &Agent, body: &Value) -> ExitCode {
    match request_instances(&agent.agent, body) {
        Ok((instances, last)) => {
            if agent.json {
                instances
                    .iter()
                    .for_each(|instance| print_line!("{instance}"));
            }
            finish(agent, Ok(last), |summary| {
                print_line!("{}", status_table(&instances, summary));
            })
        }
        Err(error) => failed(&agent.agent, &error, agent.json),
    }
}

fn watch(agent: &Agent) -> ExitCode {
    loop {
        match request_instances(&agent.agent, &json!({ "op": "watch" })) {
            Ok((instances, (ControlMessage::Done, summary))) => {
                if agent.json {
                    instances
                        .iter()
                        .for_each(|instance| print_line!("{instance}"));
                } else {
                    // On a terminal, each update replaces the one before.
                    let clear = if io::stdout().is_terminal() {
                        "\x1b[2J\x1b[H"
                    } else {
                        ""
                    };
                    print_line!("{clear}{}", status_table(&instances, &summary));
                }
            }
            Ok((_, (_, report))) => {
                return failed(&agent.agent, &io::Error::other(text(&report)), agent.json);
            }
            Err(error) => return failed(&agent.agent, &error, agent.json),
        }
        if io::stdout().flush().is_err() {
            return ExitCode::SUCCESS; // the reader has closed the pipe
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn logs(agent: &Agent, body: &Value) -> ExitCode {
    let last = request(&agent.agent, body, REPLY_TIMEOUT, |log| {
        if agent.json {
            return print_line!("{log}");
        }
        for line in log["lines"].as_array().into_iter().flatten() {
            print_line!(
                "{:<12} {}",
                log["name"].as_str().unwrap_or(""),
                line.as_str().unwrap_or("")
            );
        }
    });
    finish(agent, last, |_| {})
}

fn history(agent: &Agent, lines: u32) -> ExitCode {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64();
    let last = request(
        &agent.agent,
        &json!({ "op": "history", "lines": lines }),
        REPLY_TIMEOUT,
        |page| {
            for event in page["events"].as_array().into_iter().flatten() {
                if agent.json {
                    print_line!("{event}");
                } else {
                    let age_seconds = now - event["at"].as_f64().unwrap_or(now);
                    let (instance, text) = (
                        event["instance"].as_str().unwrap_or("-"),
                        event["text"].as_str().unwrap_or(""),
                    );
                    print_line!("{age_seconds:>8.1} s ago  {instance:<16} {text}");
                }
            }
        },
    );
    finish(agent, last, |_| {})
}
