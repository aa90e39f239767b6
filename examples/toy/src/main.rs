//! Everything that a backend talks to, as toys: `serve` plays the engine, the catalogue and the membership
//! service at the addresses of a configuration, `ask` plays an edge node that sends invocations.

mod catalogue;
mod edge;
mod engine;
mod members;

use std::io::{self, BufRead};
use std::net::TcpListener;
use std::process::ExitCode;
use std::thread;

use serde_json::Value;

const USAGE: &str =
    "usage: merlinshelf-toy serve CONFIG\n       merlinshelf-toy ask CONFIG OPERATION [BODY [HOW_MANY]]";

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let done = match words[..] {
        ["serve", config] => read(config).and_then(|config| serve(&config)),
        ["ask", config, operation, ref more @ ..] if more.len() <= 2 => {
            let many = more.get(1).map_or(Ok(1), |count| count.parse());
            let body = more.first().copied().unwrap_or("");
            match many {
                Ok(many) => read(config).and_then(|config| address(&config, "listen")).and_then(|at| {
                    edge::ask(&at, operation, body.as_bytes(), many).map_err(|e| e.to_string())
                }),
                Err(_) => Err(USAGE.into()),
            }
        }
        _ => Err(USAGE.into()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::FAILURE
        }
    }
}

fn read(path: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))
}

fn address(config: &Value, name: &str) -> Result<String, String> {
    config[name].as_str().map(str::to_owned).ok_or(format!("{name} is missing"))
}

fn serve(config: &Value) -> Result<(), String> {
    let bind = |name: &str| {
        let at = address(config, name)?;
        let listener = TcpListener::bind(&at).map_err(|error| format!("{name} at {at}: {error}"))?;
        println!("{name} at {at}");
        Ok::<_, String>(listener)
    };
    let (engine, below, members) = (bind("engine")?, bind("backend")?, bind("members")?);
    let calls: Vec<bool> = config["settings"]["FamilyInfo"]["ClassCalls"]
        .as_array()
        .map(|all| all.iter().map(|calls| calls.as_bool().unwrap_or(false)).collect())
        .unwrap_or_default();
    let names = config["settings"]["Classes"].as_array().into_iter().flatten();
    let calling =
        names.zip(calls).filter(|(_, calls)| *calls).filter_map(|(class, _)| class["Name"].as_str());
    let calling: Vec<String> = calling.map(str::to_owned).collect();
    thread::spawn(move || catalogue::serve(&below));
    thread::spawn(move || members::serve(&members));
    engine::serve(&engine, &calling);
    Ok(())
}

/// One line without its end; none at the end of the stream.
fn line(input: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    let count = input.read_line(&mut text)?;
    Ok((count > 0).then(|| text.trim_end().to_owned()))
}

/// The body that a line announced, without the line end behind it.
fn body(input: &mut impl BufRead, length: &str) -> io::Result<Vec<u8>> {
    let length: usize = length.parse().map_err(io::Error::other)?;
    let mut bytes = vec![0; length + 2];
    input.read_exact(&mut bytes)?;
    bytes.truncate(length);
    Ok(bytes)
}
