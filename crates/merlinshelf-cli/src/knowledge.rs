//! `merlinshelf knowledge`: the observations that an instance has of the servers behind it, with
//! origins and ages.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use merlinshelf_agent::control_client::BlockingControlClient;
use merlinshelf_backend::gossip::disk::read_store;
use merlinshelf_gossip::GossipedObservation;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::{Value, json};

use crate::FAILED;
use crate::remote::{REPLY_TIMEOUT, failed, text};

const COLUMNS: [&str; 10] = [
    "kind",
    "server",
    "operation",
    "value",
    "count",
    "age_s",
    "origin",
    "hops",
    "standing",
    "weight",
];

/// Reads all observations of a running instance.
fn read_from_instance(socket: &Path) -> io::Result<Vec<Value>> {
    let mut client = BlockingControlClient::request(
        socket,
        ControlRequest::Knowledge,
        &json!({}),
        REPLY_TIMEOUT,
    )?;
    let mut all = Vec::new();
    loop {
        match client.next_reply()? {
            (ControlMessage::More, mut page) => {
                if let Some(page) = page["figures"].as_array_mut() {
                    all.append(page);
                }
            }
            (ControlMessage::Done, _) => return Ok(all),
            (_, report) => return Err(io::Error::other(text(&report))),
        }
    }
}

/// Reads all observations stored in a folder, aged to now. A damaged store is reported on standard
/// error.
fn read_from_folder(folder: &Path) -> io::Result<Vec<Value>> {
    let store = read_store(folder)?;
    if let Some(error) = store.error {
        eprintln!(
            "merlinshelf: {}: not read completely: {error}",
            folder.display()
        );
    }
    let unix_now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64();
    // A later record of the same observation replaces an earlier one.
    let mut latest = BTreeMap::new();
    for stored in store.observations {
        let observation = stored.aged_to(unix_now);
        latest.insert(
            (observation.metric.clone(), observation.source.clone()),
            observation,
        );
    }
    let to_json = |observation: &GossipedObservation| {
        let labels = observation.metric.labels();
        json!({
            "kind": observation.metric.kind(), "server": labels.server, "operation": labels.operation, "value": observation.value,
            "count": observation.sample_count, "age_s": (observation.age_seconds * 10.0).round() / 10.0, "origin": observation.source.name,
            "life": observation.source.incarnation, "hops": observation.hops, "standing": observation.status.as_str(),
        })
    };
    Ok(latest.values().map(to_json).collect())
}

/// Reads the observations from the folder or the control socket that is given.
fn read(control: Option<&Path>, folder: Option<&Path>) -> Result<Vec<Value>, String> {
    let with_path = |path: &Path, error: io::Error| format!("{}: {error}", path.display());
    match (control, folder) {
        (_, Some(folder)) => read_from_folder(folder).map_err(|error| with_path(folder, error)),
        (Some(socket), None) => {
            read_from_instance(socket).map_err(|error| with_path(socket, error))
        }
        (None, None) => Err("either --control or --folder is required".into()),
    }
}

fn print(observations: Result<Vec<Value>, String>, print: impl FnOnce(&[Value])) -> ExitCode {
    match observations {
        Ok(observations) => {
            print(&observations);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("merlinshelf: {error}");
            ExitCode::from(FAILED)
        }
    }
}

/// Prints each observation as a JSON object on its own line.
pub fn export(control: Option<&Path>, folder: Option<&Path>) -> ExitCode {
    print(read(control, folder), |all| {
        all.iter().for_each(|line| print_line!("{line}"))
    })
}

/// Prints a table with one line per observation, with age and origin.
pub fn show(control: Option<&Path>, folder: Option<&Path>) -> ExitCode {
    print(read(control, folder), |all| {
        let mut rows: Vec<Vec<String>> = vec![COLUMNS.map(str::to_owned).to_vec()];
        rows.extend(
            all.iter()
                .map(|line| COLUMNS.iter().map(|column| cell(line, column)).collect()),
        );
        let width = |column: usize| {
            rows.iter()
                .map(|row| row[column].chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..COLUMNS.len()).map(width).collect();
        for row in &rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            print_line!("{}", cells.join("  ").trim_end());
        }
    })
}

fn cell(line: &Value, column: &str) -> String {
    let text = match &line[column] {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(number) if number.fract() != 0.0 => format!("{number:.4}"),
            _ => number.to_string(),
        },
        value => value.to_string(),
    };
    if column == "origin" && line["own"] == true {
        format!("{text} (own)")
    } else {
        text
    }
}

pub fn forget(socket: &Path, origin: Option<&str>, as_json: bool) -> ExitCode {
    let body = origin.map_or_else(|| json!({}), |origin| json!({ "origin": origin }));
    let answer =
        BlockingControlClient::request(socket, ControlRequest::Forget, &body, REPLY_TIMEOUT)
            .and_then(|mut client| client.next_reply());
    match answer {
        Ok((ControlMessage::Done, report)) if as_json => print_line!("{report}"),
        Ok((ControlMessage::Done, report)) => {
            print_line!("{} observations forgotten", report["forgotten"])
        }
        Ok((_, report)) => return failed(socket, &io::Error::other(text(&report)), as_json),
        Err(error) => return failed(socket, &error, as_json),
    }
    ExitCode::SUCCESS
}
