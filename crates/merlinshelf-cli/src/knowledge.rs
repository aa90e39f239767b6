//! `merlinshelf knowledge`: what an instance knows of the servers behind it, from whom and how old.

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
use crate::remote::{WITHIN, failed, text};

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

/// All figures of a running instance.
fn figures(socket: &Path) -> io::Result<Vec<Value>> {
    let mut client =
        BlockingControlClient::request(socket, ControlRequest::Knowledge, &json!({}), WITHIN)?;
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

/// All figures that a folder keeps, as old as they are by now; what is wrong with the file is said on standard error.
fn kept(folder: &Path) -> io::Result<Vec<Value>> {
    let found = read_store(folder)?;
    if let Some(flaw) = found.error {
        eprintln!("merlinshelf: {}: not read whole: {flaw}", folder.display());
    }
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64();
    // Of the same figure the last one counts.
    let mut last = BTreeMap::new();
    for kept in found.observations {
        let told = kept.aged_to(unix);
        last.insert((told.metric.clone(), told.source.clone()), told);
    }
    let line = |told: &GossipedObservation| {
        let labels = told.metric.labels();
        json!({
            "kind": told.metric.kind(), "server": labels.server, "operation": labels.operation, "value": told.value,
            "count": told.sample_count, "age_s": (told.age_seconds * 10.0).round() / 10.0, "origin": told.source.name,
            "life": told.source.incarnation, "hops": told.hops, "standing": told.status.as_str(),
        })
    };
    Ok(last.values().map(line).collect())
}

/// Of the one that is named.
fn read(control: Option<&Path>, folder: Option<&Path>) -> Result<Vec<Value>, String> {
    let named = |path: &Path, error: io::Error| format!("{}: {error}", path.display());
    match (control, folder) {
        (_, Some(folder)) => kept(folder).map_err(|error| named(folder, error)),
        (Some(socket), None) => figures(socket).map_err(|error| named(socket, error)),
        (None, None) => Err("name --control or --folder".into()),
    }
}

fn print(all: Result<Vec<Value>, String>, print: impl FnOnce(&[Value])) -> ExitCode {
    match all {
        Ok(all) => {
            print(&all);
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("merlinshelf: {why}");
            ExitCode::from(FAILED)
        }
    }
}

/// One JSON object a line.
pub fn export(control: Option<&Path>, folder: Option<&Path>) -> ExitCode {
    print(read(control, folder), |all| {
        all.iter().for_each(|line| tell!("{line}"))
    })
}

/// A line a figure, with age and origin.
pub fn show(control: Option<&Path>, folder: Option<&Path>) -> ExitCode {
    print(read(control, folder), |all| {
        let mut rows: Vec<Vec<String>> = vec![COLUMNS.map(str::to_owned).to_vec()];
        rows.extend(
            all.iter()
                .map(|line| COLUMNS.iter().map(|column| cell(line, column)).collect()),
        );
        let wide = |place: usize| {
            rows.iter()
                .map(|row| row[place].chars().count())
                .max()
                .unwrap_or(0)
        };
        let wide: Vec<usize> = (0..COLUMNS.len()).map(wide).collect();
        for row in &rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&wide)
                .map(|(cell, wide)| format!("{cell:<wide$}"))
                .collect();
            tell!("{}", cells.join("  ").trim_end());
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
        format!("{text} (seen)")
    } else {
        text
    }
}

pub fn forget(socket: &Path, origin: Option<&str>, as_json: bool) -> ExitCode {
    let body = origin.map_or_else(|| json!({}), |origin| json!({ "origin": origin }));
    let answer = BlockingControlClient::request(socket, ControlRequest::Forget, &body, WITHIN)
        .and_then(|mut client| client.next_reply());
    match answer {
        Ok((ControlMessage::Done, report)) if as_json => tell!("{report}"),
        Ok((ControlMessage::Done, report)) => {
            tell!("{} figures are forgotten", report["forgotten"])
        }
        Ok((_, report)) => return failed(socket, &io::Error::other(text(&report)), as_json),
        Err(error) => return failed(socket, &error, as_json),
    }
    ExitCode::SUCCESS
}
