//! `merlinshelf fleet`: what is asked of the agent of a fleet over its socket.

use std::io::{self, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand, ValueHint};
use merlinshelf_agent::control_client::BlockingControlClient;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::{Value, json};

use crate::FAILED;
use crate::remote::{WITHIN, failed, text};

/// A plan is followed for a day at the longest.
const FOLLOWED: Duration = Duration::from_secs(24 * 3600);
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Some of a plan's targets are as they should be, others not.
const PARTLY: u8 = 3;

#[derive(Args)]
pub struct Agent {
    /// The agent's socket: `agent` in the folder that the fleet's file names
    #[arg(long, value_name = "SOCKET", env = "MERLINSHELF_AGENT", value_hint = ValueHint::FilePath, global = true, default_value = "/var/lib/merlinshelf/fleet/agent")]
    pub agent: PathBuf,
    /// Print JSON, one object a line
    #[arg(long, global = true)]
    pub json: bool,
}

/// Whom it means; all where nothing is named.
#[derive(Args)]
pub struct Whom {
    /// Instances by name, like web.3
    names: Vec<String>,
    /// All of a group
    #[arg(long, value_name = "GROUP")]
    group: Vec<String>,
    /// All with a label
    #[arg(long, value_name = "KEY=VALUE")]
    label: Vec<String>,
    /// All there are
    #[arg(long)]
    all: bool,
}

#[derive(Args)]
pub struct How {
    /// Show the plan and begin nothing
    #[arg(long)]
    dry_run: bool,
    /// Wait until the plan is over
    #[arg(long)]
    wait: bool,
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Say how the instances stand
    Status {
        #[command(flatten)]
        whom: Whom,
    },
    /// Bring up what is down
    Start {
        #[command(flatten)]
        whom: Whom,
        #[command(flatten)]
        how: How,
    },
    /// Tell instances to leave, each once, and keep them down
    #[command(
        after_help = "Example:\n  merlinshelf fleet drain --group web --slowest-first --at-once 2 --wait"
    )]
    Drain {
        #[command(flatten)]
        whom: Whom,
        #[command(flatten)]
        how: How,
        /// By their own figures
        #[arg(long)]
        slowest_first: bool,
        /// So many at one time; else all
        #[arg(long, value_name = "COUNT")]
        at_once: Option<u32>,
    },
    /// The same, and kill what is left after a time
    Stop {
        #[command(flatten)]
        whom: Whom,
        #[command(flatten)]
        how: How,
        /// Seconds from the notice until what is left is killed
        #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
        within: f64,
    },
    /// Drain and start, some at a time, never under the floor
    Restart {
        #[command(flatten)]
        whom: Whom,
        #[command(flatten)]
        how: How,
    },
    /// Replace the program under load, some at a time; what makes service worse is put back
    #[command(
        after_help = "Example:\n  merlinshelf fleet upgrade --group web --program /opt/merlinshelf-2/merlinshelf --wait"
    )]
    Upgrade {
        #[command(flatten)]
        whom: Whom,
        #[command(flatten)]
        how: How,
        #[arg(long, value_name = "FILE", value_hint = ValueHint::FilePath)]
        program: PathBuf,
    },
    /// Have so many of a group
    Scale { group: String, count: u32 },
    /// Show the instances until interrupted
    Watch,
    /// Print the last lines of their logs
    Logs {
        #[command(flatten)]
        whom: Whom,
        #[arg(long, default_value_t = 20)]
        lines: u32,
    },
    /// Say how the last plan stands
    Plan,
    /// Begin nothing further of the plan, for now
    Pause,
    /// Go on with the plan
    Resume,
    /// End the plan where it stands
    Abandon,
    /// Read the fleet's file anew
    Apply,
    /// What the whole fleet may spend on calls below, and who has how much of it
    Budget {
        #[command(subcommand)]
        what: crate::budget::Budget,
    },
    /// The policy that holds for all instances of all agents
    Policy {
        #[command(subcommand)]
        what: crate::policy::Policy,
    },
    /// Print what happened
    History {
        #[arg(long, default_value_t = 50)]
        lines: u32,
    },
}

fn body(op: &str, whom: &Whom) -> Result<Value, &'static str> {
    let named = !whom.names.is_empty() || !whom.group.is_empty() || !whom.label.is_empty();
    if !named && !whom.all && !matches!(op, "status" | "logs") {
        return Err("name instances, --group, --label or --all");
    }
    if whom.label.iter().any(|label| !label.contains('=')) {
        return Err("a label is KEY=VALUE");
    }
    Ok(json!({ "op": op, "names": whom.names, "groups": whom.group, "labels": whom.label }))
}

pub fn run(agent: &Agent, command: &Fleet) -> ExitCode {
    let plain = |op: &str| json!({ "op": op });
    let changed = |op: &str, whom: &Whom, how: &How, more: Value| match body(op, whom) {
        Ok(mut body) => {
            (body["dry_run"], body["wait"]) = (json!(how.dry_run), json!(how.wait));
            for (name, value) in more.as_object().into_iter().flatten() {
                body[name] = value.clone();
            }
            change(agent, &body, how.wait && !how.dry_run)
        }
        Err(why) => wrong(why),
    };
    match command {
        Fleet::Status { whom } => match body("status", whom) {
            Ok(body) => status(agent, &body),
            Err(why) => wrong(why),
        },
        Fleet::Logs { whom, lines } => match body("logs", whom) {
            Ok(mut body) => {
                body["lines"] = json!(lines);
                logs(agent, &body)
            }
            Err(why) => wrong(why),
        },
        Fleet::Start { whom, how } => changed("start", whom, how, json!({})),
        Fleet::Drain {
            whom,
            how,
            slowest_first,
            at_once,
        } => changed(
            "drain",
            whom,
            how,
            json!({ "slowest_first": slowest_first, "at_once": at_once }),
        ),
        Fleet::Stop { whom, how, within } => {
            changed("stop", whom, how, json!({ "within_s": within }))
        }
        Fleet::Restart { whom, how } => changed("restart", whom, how, json!({})),
        Fleet::Upgrade { whom, how, program } => match std::path::absolute(program) {
            Ok(program) => changed("upgrade", whom, how, json!({ "program": program })),
            Err(error) => wrong(&error.to_string()),
        },
        Fleet::Scale { group, count } => simple(
            agent,
            &json!({ "op": "scale", "group": group, "count": count }),
        ),
        Fleet::Pause => simple(agent, &plain("pause")),
        Fleet::Resume => simple(agent, &plain("resume")),
        Fleet::Abandon => simple(agent, &plain("abandon")),
        Fleet::Apply => simple(agent, &plain("apply")),
        Fleet::Plan => change(agent, &plain("plan"), false),
        Fleet::Budget { what } => crate::budget::run(agent, what),
        Fleet::Policy { what } => crate::policy::run(agent, what),
        Fleet::History { lines } => history(agent, *lines),
        Fleet::Watch => watch(agent),
    }
}

fn wrong(why: &str) -> ExitCode {
    eprintln!("merlinshelf: {why}");
    ExitCode::from(crate::WRONG_USAGE)
}

/// All that is said until the last word.
pub fn ask(
    agent: &Path,
    body: &Value,
    within: Duration,
    mut each: impl FnMut(&Value),
) -> io::Result<(ControlMessage, Value)> {
    let mut client = BlockingControlClient::request(agent, ControlRequest::Fleet, body, within)?;
    loop {
        match client.next_reply()? {
            (ControlMessage::More, said) => each(&said),
            last => return Ok(last),
        }
    }
}

fn ended(
    agent: &Agent,
    last: io::Result<(ControlMessage, Value)>,
    done: impl FnOnce(&Value),
) -> ExitCode {
    match last {
        Ok((ControlMessage::Done, report)) => {
            if agent.json {
                tell!("{report}");
            } else {
                done(&report);
            }
            ExitCode::SUCCESS
        }
        Ok((ControlMessage::Failed, report)) if report["plan"].is_u64() => {
            if agent.json {
                tell!("{report}");
            } else {
                tell!("{}", plan_line(&report));
                targets(&report);
            }
            let some = report["done"].as_u64() > Some(0);
            ExitCode::from(if some { PARTLY } else { FAILED })
        }
        Ok((_, report)) => failed(&agent.agent, &io::Error::other(text(&report)), agent.json),
        Err(error) => failed(&agent.agent, &error, agent.json),
    }
}

fn simple(agent: &Agent, body: &Value) -> ExitCode {
    let last = ask(&agent.agent, body, WITHIN, |_| {});
    ended(agent, last, |report| tell!("{}", text(report)))
}

fn plan_line(plan: &Value) -> String {
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

fn targets(plan: &Value) {
    for target in plan["targets"].as_array().into_iter().flatten() {
        tell!(
            "  {:<16} {}",
            target["name"].as_str().unwrap_or(""),
            target["stage"].as_str().unwrap_or("")
        );
    }
}

fn change(agent: &Agent, body: &Value, wait: bool) -> ExitCode {
    let within = if wait { FOLLOWED } else { WITHIN };
    let last = ask(&agent.agent, body, within, |plan| {
        if agent.json {
            tell!("{plan}");
        } else {
            eprintln!("{}", plan_line(plan));
        }
    });
    ended(agent, last, |plan| {
        tell!("{}", plan_line(plan));
        targets(plan);
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

fn table(instances: &[Value], sum: &Value) -> String {
    let mut rows = vec![COLUMNS.map(str::to_owned).to_vec()];
    rows.extend(
        instances
            .iter()
            .map(|one| COLUMNS.iter().map(|column| cell(&one[*column])).collect()),
    );
    let wide: Vec<usize> = (0..COLUMNS.len())
        .map(|place| {
            rows.iter()
                .map(|row| row[place].chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in &rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&wide)
            .map(|(cell, wide)| format!("{cell:<wide$}"))
            .collect();
        text += cells.join("  ").trim_end();
        text.push('\n');
    }
    let states = sum["states"].as_object().into_iter().flatten();
    let states: Vec<String> = states
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    text += &format!(
        "{}; {}% of the capacity that is wanted serves",
        states.join(", "),
        cell(&sum["capacity"])
    );
    if !sum["plan"].is_null() {
        text += &format!("\n{}", plan_line(&sum["plan"]));
    }
    text
}

fn all(agent: &Path, body: &Value) -> io::Result<(Vec<Value>, (ControlMessage, Value))> {
    let mut instances = Vec::new();
    let last = ask(agent, body, WITHIN, |page| {
        for one in page["others"].as_array().into_iter().flatten() {
            let mut one = one.clone();
            one["agent"] = page["agent"].clone();
            one["name"] = json!(format!(
                "{}/{}",
                text_of(&page["agent"]),
                text_of(&one["name"])
            ));
            instances.push(one);
        }
        instances.extend(page["instances"].as_array().into_iter().flatten().cloned());
    })?;
    Ok((instances, last))
}

fn text_of(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

fn status(agent: &Agent, body: &Value) -> ExitCode {
    match all(&agent.agent, body) {
        Ok((instances, last)) => {
            if agent.json {
                instances.iter().for_each(|one| tell!("{one}"));
            }
            ended(agent, Ok(last), |sum| tell!("{}", table(&instances, sum)))
        }
        Err(error) => failed(&agent.agent, &error, agent.json),
    }
}

fn watch(agent: &Agent) -> ExitCode {
    loop {
        match all(&agent.agent, &json!({ "op": "watch" })) {
            Ok((instances, (ControlMessage::Done, sum))) => {
                if agent.json {
                    instances.iter().for_each(|one| tell!("{one}"));
                } else {
                    // The page in place of the one before, where there is a page.
                    let clear = if io::stdout().is_terminal() {
                        "\x1b[2J\x1b[H"
                    } else {
                        ""
                    };
                    tell!("{clear}{}", table(&instances, &sum));
                }
            }
            Ok((_, (_, report))) => {
                return failed(&agent.agent, &io::Error::other(text(&report)), agent.json);
            }
            Err(error) => return failed(&agent.agent, &error, agent.json),
        }
        if io::stdout().flush().is_err() {
            return ExitCode::SUCCESS; // nobody watches any more
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

fn logs(agent: &Agent, body: &Value) -> ExitCode {
    let last = ask(&agent.agent, body, WITHIN, |one| {
        if agent.json {
            return tell!("{one}");
        }
        for line in one["lines"].as_array().into_iter().flatten() {
            tell!(
                "{:<12} {}",
                one["name"].as_str().unwrap_or(""),
                line.as_str().unwrap_or("")
            );
        }
    });
    ended(agent, last, |_| {})
}

fn history(agent: &Agent, lines: u32) -> ExitCode {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64();
    let last = ask(
        &agent.agent,
        &json!({ "op": "history", "lines": lines }),
        WITHIN,
        |page| {
            for event in page["events"].as_array().into_iter().flatten() {
                if agent.json {
                    tell!("{event}");
                } else {
                    let ago = now - event["at"].as_f64().unwrap_or(now);
                    let (instance, text) = (
                        event["instance"].as_str().unwrap_or("-"),
                        event["text"].as_str().unwrap_or(""),
                    );
                    tell!("{ago:>8.1} s ago  {instance:<16} {text}");
                }
            }
        },
    );
    ended(agent, last, |_| {})
}
