//! The subcommands `stand-ins` and `ask`: fakes at the addresses of a configuration, and an edge node that sends invocations.

use std::io::{self, Read, Write};
use std::path::Path;

use serde_json::Value;
use tokio::net::TcpListener;

use crate::fakes::{Catalogue, Engine, FakeBehavior, MembershipService, SharedRecords};
use crate::wire::{fastcgi_invocation, unix_ms};

/// Maximum number of open invocations on one connection.
const MAX_OPEN: u16 = 32;

fn read_config(path: &Path) -> io::Result<Value> {
    let with_path =
        |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(with_path)?;
    serde_json::from_str(&text).map_err(|error| with_path(error.into()))
}

fn address(config: &Value, name: &str) -> io::Result<String> {
    let text = config[name].as_str().map(str::to_owned);
    text.ok_or_else(|| io::Error::other(format!("the configuration has no address {name:?}")))
}

/// The operations that make calls, according to the configuration.
pub fn calling_operations(config: &Value) -> Vec<String> {
    let calls = config["settings"]["FamilyInfo"]["ClassCalls"]
        .as_array()
        .into_iter()
        .flatten();
    let names = config["settings"]["Classes"]
        .as_array()
        .into_iter()
        .flatten();
    let calling = names
        .zip(calls)
        .filter(|(_, calls)| calls.as_bool() == Some(true));
    calling
        .filter_map(|(class, _)| class["Name"].as_str().map(str::to_owned))
        .collect()
}

/// Runs the fake engine, catalogue and membership service until the process is terminated.
pub async fn serve_fakes(path: &Path, mut behavior: FakeBehavior) -> io::Result<()> {
    let config = read_config(path)?;
    let bind = async |name: &str| {
        let address = address(&config, name)?;
        let listener = TcpListener::bind(&address).await;
        let listener = listener.map_err(|error| {
            io::Error::new(error.kind(), format!("{name} at {address}: {error}"))
        })?;
        println!("{name} at {address}");
        io::Result::Ok(listener)
    };
    behavior.calling_operations = calling_operations(&config);
    let records = SharedRecords::default();
    let (engine, catalogue, members) = (
        bind("engine").await?,
        bind("backend").await?,
        bind("members").await?,
    );
    Engine::start(engine, behavior.clone(), records.clone());
    Catalogue::start(catalogue, behavior, records);
    MembershipService::start(members, true);
    std::future::pending().await
}

/// Sends `count` invocations on one connection and prints the answers as they arrive.
pub fn send_invocations(path: &Path, operation: &str, body: &str, count: u16) -> io::Result<()> {
    let mut stream = std::net::TcpStream::connect(address(&read_config(path)?, "listen")?)?;
    let count = count.clamp(1, MAX_OPEN);
    for tag in 1..=count {
        let id = format!(
            "{:016x}",
            (unix_ms() as u64)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .wrapping_add(tag.into())
        );
        stream.write_all(&fastcgi_invocation(
            tag,
            operation,
            body.as_bytes(),
            &[("HTTP_X_CALL_ID", &id)],
        ))?;
    }
    let mut open = count;
    while open > 0 {
        let mut head = [0; 8];
        stream.read_exact(&mut head)?;
        let (tag, length) = (
            u16::from_be_bytes([head[2], head[3]]),
            u16::from_be_bytes([head[4], head[5]]),
        );
        let mut content = vec![0; usize::from(length) + usize::from(head[6])];
        stream.read_exact(&mut content)?;
        match head[1] {
            6 if length > 0 => {
                println!(
                    "answer {tag}:\n{}\n",
                    String::from_utf8_lossy(&content[..length.into()])
                );
            }
            3 => {
                if content.get(4) == Some(&2) {
                    println!("answer {tag}: refused (overloaded)\n");
                }
                open -= 1;
            }
            _ => {}
        }
    }
    Ok(())
}
