//! Requests of operators' tools on the agent's control socket.

use std::io;

use log::warn;
use merlinshelf_backend::control::PendingRequest;
use merlinshelf_fleet::{Command, FleetError, Selector};
use serde_json::{Value, json};

use super::Agent;
use super::fleet_report::{StatusReport, plan_report, round_to_tenth, status_report};
use super::plan_progress::PlanFollower;
use crate::instance_files;
use crate::reply::ReplySender;

/// Maximum and default number of lines of a log or history in the replies to a request.
const MAX_LINES: u64 = 1000;
const DEFAULT_LOG_LINES: u64 = 20;
const DEFAULT_HISTORY_LINES: u64 = 50;
/// Maximum number of history events in one reply.
const EVENTS_PER_PAGE: usize = 100;
/// Default and maximum time for a stop, in seconds.
const DEFAULT_STOP_SECONDS: f64 = 30.0;
const MAX_STOP_SECONDS: f64 = 86_400.0;

/// Why a request can't be decoded as a command.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("it names no program")]
    NoProgram,
    #[error("{program}: {source}")]
    Program { program: String, source: io::Error },
    #[error("{operation:?} is nothing that is done here")]
    UnknownOperation { operation: String },
}

impl Agent {
    /// Handles a request of the control socket.
    pub(super) fn handle_request(&mut self, request: PendingRequest) {
        match request {
            PendingRequest::Fleet(body, reply) => {
                self.handle_fleet_request(&body, ReplySender::new(reply));
            }
            PendingRequest::Status(reply) => {
                let status = status_report(&self.fleet, self.now(), &self.instance_names());
                let _ = reply.send(status.summary); // the client may have disconnected
            }
            // These requests are for instances: the connection is closed without a reply.
            PendingRequest::Drain(_)
            | PendingRequest::Upgrade(_)
            | PendingRequest::Knowledge(_)
            | PendingRequest::Forget(..)
            | PendingRequest::Policy(..) => {}
        }
    }

    fn handle_fleet_request(&mut self, body: &Value, reply: ReplySender) {
        let now = self.now();
        match body["op"].as_str().unwrap_or("") {
            "status" => self.send_status(body, &reply),
            "policy" => match &mut self.policy {
                Some(policy) => policy.handle_request(now, body, reply),
                None => reply.rejected("policies are off: the fleet's file has no `council`"),
            },
            "watch" => self.status_watchers.push(reply),
            "plan" => reply.done(match self.fleet.plan() {
                Some(plan) => plan_report(plan),
                None => json!({ "plan": null }),
            }),
            "pause" => send_result(&reply, self.fleet.pause()),
            "resume" => send_result(&reply, self.fleet.resume(now)),
            "abandon" => send_result(&reply, self.fleet.abandon()),
            "apply" => match self.apply_file() {
                Ok(()) => reply.done(json!({ "text": "the file is read anew" })),
                Err(error) => reply.rejected(error.to_string()),
            },
            "scale" => {
                let group = body["group"].as_str().unwrap_or("");
                let count = body["count"].as_u64().map(u32::try_from);
                // A count that is not a number becomes one that does not fit the host: rejected.
                let count = count.and_then(Result::ok).unwrap_or(u32::MAX);
                send_result(&reply, self.fleet.scale(now, group, count));
            }
            "logs" => self.send_logs(body, &reply),
            "history" => self.send_history(body, &reply),
            _ => self.handle_command(now, body, reply),
        }
    }

    fn send_status(&self, body: &Value, reply: &ReplySender) {
        let names = match self.fleet.select(&decode_selector(body)) {
            Ok(names) => names,
            Err(error) => return reply.rejected(error.to_string()),
        };
        let now = self.now();
        let StatusReport { pages, summary } = status_report(&self.fleet, now, &names);
        for page in pages {
            reply.more(page);
        }
        let policy = self.policy.as_ref();
        for peer in policy
            .map(|policy| policy.peer_status_reports(now))
            .unwrap_or_default()
        {
            reply.more(json!({
                "agent": peer.agent,
                "age_s": round_to_tenth(peer.age_seconds),
                "others": peer.status["instances"],
            }));
        }
        reply.done(summary);
    }

    fn send_logs(&self, body: &Value, reply: &ReplySender) {
        let names = match self.fleet.select(&decode_selector(body)) {
            Ok(names) => names,
            Err(error) => return reply.rejected(error.to_string()),
        };
        let count = line_count(body, DEFAULT_LOG_LINES);
        for name in names {
            // An instance that was never started has no log; the logs of the others are still sent.
            let lines =
                instance_files::last_lines(&self.paths(&name).log, count).unwrap_or_else(|error| {
                    if error.kind() != io::ErrorKind::NotFound {
                        warn!(error:% = error, instance:% = name; "log of {name} not read: {error}");
                    }
                    Vec::new()
                });
            reply.more(json!({ "name": name, "lines": lines }));
        }
        reply.done(json!({}));
    }

    fn send_history(&self, body: &Value, reply: &ReplySender) {
        let count = line_count(body, DEFAULT_HISTORY_LINES);
        let mut events: Vec<_> = self.fleet.history().events().rev().take(count).collect();
        events.reverse();
        for events in events.chunks(EVENTS_PER_PAGE) {
            let page: Vec<Value> = events
                .iter()
                .map(|event| {
                    json!({
                        "number": event.number,
                        "at": event.unix_seconds,
                        "instance": event.instance,
                        "text": event.text,
                    })
                })
                .collect();
            reply.more(json!({ "events": page }));
        }
        reply.done(json!({}));
    }

    /// Plans a command, and starts the plan unless the request is a dry run.
    fn handle_command(&mut self, now: f64, body: &Value, reply: ReplySender) {
        let command = match decode_command(body) {
            Ok(command) => command,
            Err(error) => return reply.rejected(error.to_string()),
        };
        let selector = decode_selector(body);
        if body["dry_run"] == true {
            return match self.fleet.plan_for(&selector, &command) {
                Ok(plan) => reply.done(plan_report(&plan)),
                Err(error) => reply.rejected(error.to_string()),
            };
        }
        match self.fleet.begin_plan(now, &selector, &command) {
            Ok(plan_number) if body["wait"] == true => {
                self.plan_followers
                    .push(PlanFollower::new(plan_number, reply));
            }
            Ok(_) => reply.done(self.fleet.plan().map(plan_report).unwrap_or_default()),
            Err(error) => reply.rejected(error.to_string()),
        }
    }
}

fn send_result(reply: &ReplySender, result: Result<(), FleetError>) {
    match result {
        Ok(()) => reply.done(json!({ "text": "done" })),
        Err(error) => reply.rejected(error.to_string()),
    }
}

fn line_count(body: &Value, default: u64) -> usize {
    body["lines"].as_u64().unwrap_or(default).min(MAX_LINES) as usize
}

/// Decodes the instances that a request selects.
fn decode_selector(body: &Value) -> Selector {
    let labels = decode_texts(body, "labels");
    Selector {
        names: decode_texts(body, "names"),
        groups: decode_texts(body, "groups"),
        labels: labels
            .iter()
            .filter_map(|label| label.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect(),
    }
}

fn decode_texts(body: &Value, field: &str) -> Vec<String> {
    let values = body[field].as_array();
    values
        .into_iter()
        .flatten()
        .filter_map(|value| value.as_str().map(str::to_owned))
        .collect()
}

fn decode_command(body: &Value) -> Result<Command, CommandError> {
    match body["op"].as_str().unwrap_or("") {
        "start" => Ok(Command::Start),
        "drain" => Ok(Command::Drain {
            slowest_first: body["slowest_first"] == true,
            max_in_progress: body["at_once"]
                .as_u64()
                .and_then(|count| u32::try_from(count).ok()),
        }),
        "stop" => {
            let seconds = body["within_s"].as_f64().unwrap_or(DEFAULT_STOP_SECONDS);
            Ok(Command::Stop {
                timeout_seconds: seconds.clamp(0.0, MAX_STOP_SECONDS),
            })
        }
        "restart" => Ok(Command::Restart),
        "upgrade" => Ok(Command::Upgrade {
            program: decode_program(body)?,
        }),
        other => Err(CommandError::UnknownOperation {
            operation: other.to_owned(),
        }),
    }
}

fn decode_program(body: &Value) -> Result<String, CommandError> {
    let program = body["program"].as_str().ok_or(CommandError::NoProgram)?;
    match std::fs::canonicalize(program) {
        Ok(path) => Ok(path.to_string_lossy().into_owned()),
        Err(source) => Err(CommandError::Program {
            program: program.to_owned(),
            source,
        }),
    }
}
