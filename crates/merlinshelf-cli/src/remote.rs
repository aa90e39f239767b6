//! What is asked of an instance over its control socket.

use std::io::{self, IsTerminal};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use merlinshelf_agent::control_client::BlockingControlClient;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::{Value, json};

use crate::FAILED;

/// An instance answers at once; only an upgrade takes its time between two words.
pub const WITHIN: Duration = Duration::from_secs(10);
const UPGRADE_WITHIN: Duration = Duration::from_secs(2 * 3600);
/// Between two looks at whether an instance has left.
const LOOK_EVERY: Duration = Duration::from_millis(50);

pub fn failed(socket: &Path, error: &io::Error, as_json: bool) -> ExitCode {
    if as_json {
        tell!(
            "{}",
            json!({ "failed": error.to_string(), "control": socket })
        );
    }
    eprintln!("merlinshelf: {}: {error}", socket.display());
    ExitCode::from(FAILED)
}

pub fn status(socket: &Path, as_json: bool, dependencies: bool) -> ExitCode {
    let answer = BlockingControlClient::request(socket, ControlRequest::Status, &json!({}), WITHIN)
        .and_then(|mut client| client.next_reply());
    match answer {
        Ok((ControlMessage::Done, report)) if dependencies => {
            let all = &report["dependencies"];
            if all.is_null() {
                let why = "the operators' file of this instance names no dependencies";
                return failed(socket, &io::Error::other(why), as_json);
            }
            if as_json {
                tell!("{all}");
            } else {
                tell!("{}", table(all).trim_end());
            }
            ExitCode::SUCCESS
        }
        Ok((ControlMessage::Done, report)) => {
            if as_json {
                tell!("{report}");
            } else {
                tell!("{}", page(&report).trim_end());
            }
            ExitCode::SUCCESS
        }
        Ok((_, report)) => failed(socket, &io::Error::other(text(&report)), as_json),
        Err(error) => failed(socket, &error, as_json),
    }
}

/// Each dependency with its budgets, and a line for each of its servers.
fn table(all: &Value) -> String {
    let mut page = String::new();
    for of in all.as_array().into_iter().flatten() {
        let number = |name: &str| of[name].as_f64().unwrap_or(0.0);
        let word = |value: &Value| value.as_str().unwrap_or("").to_owned();
        page += &format!(
            "{}{}: {} open of {:.0}, {} wait, {:.1} attempts left\n  calls {}, attempts {}, succeeded {}, again {}, second calls {} (won {}, lost {}), lesser {}, \
             not made {}, out of time {}\n",
            word(&of["name"]),
            if of["fails"] == true {
                " (fails as a whole)"
            } else {
                ""
            },
            of["open"],
            number("limit"),
            of["waiting"],
            number("attempts_left"),
            of["calls"],
            of["attempts"],
            of["succeeded"],
            of["again"],
            of["hedges"],
            of["hedges_won"],
            of["hedges_lost"],
            of["lesser"],
            of["not_made"],
            of["out_of_time"],
        );
        for server in of["servers"].as_array().into_iter().flatten() {
            let mean = server["mean_ms"]
                .as_f64()
                .map_or("-".to_owned(), |ms| format!("{ms:.2} ms"));
            let failures = 100.0 * server["failures"].as_f64().unwrap_or(0.0);
            page += &format!(
                "  {:<22} {:<8} {:>3} open of {:<5} {mean:>11} {failures:>5.1}% fail  {}\n",
                word(&server["address"]),
                word(&server["state"]),
                server["open"],
                server["limit"]
                    .as_f64()
                    .map_or("-".to_owned(), |limit| limit.to_string()),
                word(&server["why"]),
            );
        }
    }
    page
}

/// A line a figure; counters that stand at nothing are left out.
fn page(report: &Value) -> String {
    let mut page = String::new();
    for (name, value) in report.as_object().into_iter().flatten() {
        match value {
            Value::Object(counters) if name == "counters" => {
                let counted = counters
                    .iter()
                    .filter(|(_, count)| count.as_u64() != Some(0));
                page.extend(counted.map(|(name, count)| format!("  {name}: {count}\n")));
            }
            Value::String(text) => page += &format!("{name}: {text}\n"),
            value if name == "dependencies" => page += &table(value),
            value => page += &format!("{name}: {value}\n"),
        }
    }
    page
}

pub fn text(report: &Value) -> String {
    report["text"]
        .as_str()
        .map_or_else(|| report.to_string(), str::to_owned)
}

pub fn drain(socket: &Path, as_json: bool, wait: bool) -> ExitCode {
    let answer = BlockingControlClient::request(socket, ControlRequest::Drain, &json!({}), WITHIN)
        .and_then(|mut client| client.next_reply());
    let report = match answer {
        Ok((ControlMessage::Done, report)) => report,
        Ok((_, report)) => return failed(socket, &io::Error::other(text(&report)), as_json),
        Err(error) => return failed(socket, &error, as_json),
    };
    if as_json {
        tell!("{report}");
    } else {
        tell!("{}", text(&report));
    }
    if wait {
        let most = Duration::from_millis(report["stop_ms"].as_u64().unwrap_or(60_000)) + WITHIN;
        let until = Instant::now() + most;
        while UnixStream::connect(socket).is_ok() {
            if Instant::now() >= until {
                return failed(
                    socket,
                    &io::Error::other("it has not left in its time"),
                    as_json,
                );
            }
            std::thread::sleep(LOOK_EVERY);
        }
        if !as_json {
            tell!("it has left");
        }
    }
    ExitCode::SUCCESS
}

pub fn upgrade(socket: &Path, as_json: bool) -> ExitCode {
    let began = Instant::now();
    let client =
        BlockingControlClient::request(socket, ControlRequest::Upgrade, &json!({}), UPGRADE_WITHIN);
    let mut client = match client {
        Ok(client) => client,
        Err(error) => return failed(socket, &error, as_json),
    };
    loop {
        let (word, report) = match client.next_reply() {
            Ok(said) => said,
            Err(error) => return failed(socket, &error, as_json),
        };
        if as_json {
            tell!("{report}");
        } else if word != ControlMessage::More || io::stderr().is_terminal() {
            eprintln!("{:>6} ms  {}", began.elapsed().as_millis(), text(&report));
        }
        match word {
            ControlMessage::More => {}
            ControlMessage::Done => return ExitCode::SUCCESS,
            ControlMessage::Failed | ControlMessage::Refused => return ExitCode::from(FAILED),
        }
    }
}
