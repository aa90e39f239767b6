//! Commands that send a request to an instance over its control socket.

use std::io::{self, IsTerminal};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use merlinshelf_agent::control_client::BlockingControlClient;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::{Value, json};

use crate::FAILED;

/// Time for each reply. Only an upgrade takes longer between two replies.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
const UPGRADE_REPLY_TIMEOUT: Duration = Duration::from_secs(2 * 3600);
/// Time between two checks of whether an instance has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

pub fn failed(socket: &Path, error: &io::Error, as_json: bool) -> ExitCode {
    if as_json {
        print_line!(
            "{}",
            json!({ "failed": error.to_string(), "control": socket })
        );
    }
    eprintln!("merlinshelf: {}: {error}", socket.display());
    ExitCode::from(FAILED)
}

pub fn status(socket: &Path, as_json: bool, dependencies: bool) -> ExitCode {
    let answer =
        BlockingControlClient::request(socket, ControlRequest::Status, &json!({}), REPLY_TIMEOUT)
            .and_then(|mut client| client.next_reply());
    match answer {
        Ok((ControlMessage::Done, report)) if dependencies => {
            let dependencies = &report["dependencies"];
            if dependencies.is_null() {
                let reason = "the operator's file of this instance configures no dependencies";
                return failed(socket, &io::Error::other(reason), as_json);
            }
            if as_json {
                print_line!("{dependencies}");
            } else {
                print_line!("{}", dependencies_table(dependencies).trim_end());
            }
            ExitCode::SUCCESS
        }
        Ok((ControlMessage::Done, report)) => {
            if as_json {
                print_line!("{report}");
            } else {
                print_line!("{}", status_text(&report).trim_end());
            }
            ExitCode::SUCCESS
        }
        Ok((_, report)) => failed(socket, &io::Error::other(text(&report)), as_json),
        Err(error) => failed(socket, &error, as_json),
    }
}

/// Formats each dependency with its budgets, and one line per server.
fn dependencies_table(dependencies: &Value) -> String {
    let mut text = String::new();
    for dependency in dependencies.as_array().into_iter().flatten() {
        let number = |name: &str| dependency[name].as_f64().unwrap_or(0.0);
        let string = |value: &Value| value.as_str().unwrap_or("").to_owned();
        text += &format!(
            "{}{}: {} calls open, limit {:.0}, {} waiting, {:.1} attempts left in the budget\n  calls {}, attempts {}, succeeded {}, retries {}, \
             hedged requests {} (won {}, lost {}), degraded results {}, not made {}, timed out {}\n",
            string(&dependency["name"]),
            if dependency["fails"] == true {
                " (failing)"
            } else {
                ""
            },
            dependency["open"],
            number("limit"),
            dependency["waiting"],
            number("attempts_left"),
            dependency["calls"],
            dependency["attempts"],
            dependency["succeeded"],
            dependency["again"],
            dependency["hedges"],
            dependency["hedges_won"],
            dependency["hedges_lost"],
            dependency["lesser"],
            dependency["not_made"],
            dependency["out_of_time"],
        );
        for server in dependency["servers"].as_array().into_iter().flatten() {
            let mean = server["mean_ms"]
                .as_f64()
                .map_or("-".to_owned(), |ms| format!("{ms:.2} ms"));
            let failures = 100.0 * server["failures"].as_f64().unwrap_or(0.0);
            text += &format!(
                "  {:<22} {:<8} {:>3} open, limit {:<5} {mean:>11} {failures:>5.1}% failed  {}\n",
                string(&server["address"]),
                string(&server["state"]),
                server["open"],
                server["limit"]
                    .as_f64()
                    .map_or("-".to_owned(), |limit| limit.to_string()),
                string(&server["why"]),
            );
        }
    }
    text
}

/// Formats a report with one line per value; counters at zero are left out.
fn status_text(report: &Value) -> String {
    let mut text = String::new();
    for (name, value) in report.as_object().into_iter().flatten() {
        match value {
            Value::Object(counters) if name == "counters" => {
                let nonzero = counters
                    .iter()
                    .filter(|(_, count)| count.as_u64() != Some(0));
                text.extend(nonzero.map(|(name, count)| format!("  {name}: {count}\n")));
            }
            Value::String(string) => text += &format!("{name}: {string}\n"),
            value if name == "dependencies" => text += &dependencies_table(value),
            value => text += &format!("{name}: {value}\n"),
        }
    }
    text
}

/// The `text` of a report, or the whole report if it has none.
pub fn text(report: &Value) -> String {
    report["text"]
        .as_str()
        .map_or_else(|| report.to_string(), str::to_owned)
}

pub fn drain(socket: &Path, as_json: bool, wait: bool) -> ExitCode {
    let answer =
        BlockingControlClient::request(socket, ControlRequest::Drain, &json!({}), REPLY_TIMEOUT)
            .and_then(|mut client| client.next_reply());
    let report = match answer {
        Ok((ControlMessage::Done, report)) => report,
        Ok((_, report)) => return failed(socket, &io::Error::other(text(&report)), as_json),
        Err(error) => return failed(socket, &error, as_json),
    };
    if as_json {
        print_line!("{report}");
    } else {
        print_line!("{}", text(&report));
    }
    if wait {
        let timeout =
            Duration::from_millis(report["stop_ms"].as_u64().unwrap_or(60_000)) + REPLY_TIMEOUT;
        let deadline = Instant::now() + timeout;
        while UnixStream::connect(socket).is_ok() {
            if Instant::now() >= deadline {
                return failed(
                    socket,
                    &io::Error::other("the instance has not stopped in time"),
                    as_json,
                );
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        if !as_json {
            print_line!("the instance has stopped");
        }
    }
    ExitCode::SUCCESS
}

pub fn upgrade(socket: &Path, as_json: bool) -> ExitCode {
    let start = Instant::now();
    let client = BlockingControlClient::request(
        socket,
        ControlRequest::Upgrade,
        &json!({}),
        UPGRADE_REPLY_TIMEOUT,
    );
    let mut client = match client {
        Ok(client) => client,
        Err(error) => return failed(socket, &error, as_json),
    };
    loop {
        let (kind, report) = match client.next_reply() {
            Ok(reply) => reply,
            Err(error) => return failed(socket, &error, as_json),
        };
        if as_json {
            print_line!("{report}");
        } else if kind != ControlMessage::More || io::stderr().is_terminal() {
            eprintln!("{:>6} ms  {}", start.elapsed().as_millis(), text(&report));
        }
        match kind {
            ControlMessage::More => {}
            ControlMessage::Done => return ExitCode::SUCCESS,
            ControlMessage::Failed | ControlMessage::Refused => return ExitCode::from(FAILED),
        }
    }
}
