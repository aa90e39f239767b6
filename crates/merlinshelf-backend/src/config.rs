//! What the platform tells a backend: one JSON file, read at the start and again on SIGHUP.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use merlinshelf_admission::Settings;
use serde_json::{Map, Value};

/// Where the client side finds its far ends: all that may change while the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    pub engine: SocketAddr,
    pub registration: SocketAddr,
    pub catalogue: SocketAddr,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Peers,
    pub seed: u64,
    /// From the notice to leave until the process is killed.
    pub drain_timeout: Duration,
    pub memory_mb: u64,
    pub sockets: usize,
    pub settings: Settings,
}

/// The file is a few KB long; a far larger one is none of ours and is not read to its end.
const FILE_MOST: u64 = 1024 * 1024;

impl Config {
    /// Reads the file. What can't be used is named, and the file with it.
    pub fn load(path: &Path) -> Result<Config, String> {
        let named = |reason: String| format!("{}: {reason}", path.display());
        let read = |file: std::fs::File| {
            let mut text = String::new();
            file.take(FILE_MOST).read_to_string(&mut text).map(|_| text)
        };
        let text = std::fs::File::open(path)
            .and_then(read)
            .map_err(|error| named(error.to_string()))?;
        Config::parse(&text).map_err(named)
    }

    /// What a file read later says otherwise and can't be heeded before the next start.
    pub fn fixed(&self, later: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == later.name),
            ("listen", self.listen == later.listen),
            ("stop_ms", self.drain_timeout == later.drain_timeout),
            (
                "limits",
                (self.memory_mb, self.sockets) == (later.memory_mb, later.sockets),
            ),
            ("settings", self.settings == later.settings),
        ];
        same.iter()
            .filter(|(_, same)| !same)
            .map(|(name, _)| *name)
            .collect()
    }

    /// Reads the text of the file. What can't be used is named.
    pub fn parse(text: &str) -> Result<Config, String> {
        let whole: Value =
            serde_json::from_str(text).map_err(|error| format!("no JSON: {error}"))?;
        let whole = whole.as_object().ok_or("the configuration is no object")?;
        let seed = string(whole, "seed")?;
        let limits = object(whole, "limits")?;
        let mut settings = Settings::new();
        for (name, value) in object(whole, "settings")? {
            flatten(name, value, &mut settings);
        }
        if settings.is_empty() {
            return Err("settings: empty".into());
        }
        let name = string(whole, "name")?;
        if !name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        {
            return Err(format!("name: {name:?} can't stand in a path"));
        }
        Ok(Config {
            name: name.into(),
            listen: address(whole, "listen")?,
            peers: Peers {
                engine: address(whole, "engine")?,
                registration: address(whole, "members")?,
                catalogue: address(whole, "backend")?,
            },
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?,
            drain_timeout: Duration::from_secs_f64(positive(whole, "stop_ms")?.min(1e9) / 1e3),
            memory_mb: positive(limits, "memory_mb")? as u64,
            sockets: positive(limits, "sockets")? as usize,
            settings,
        })
    }
}

fn need<'a>(map: &'a Map<String, Value>, name: &str) -> Result<&'a Value, String> {
    map.get(name).ok_or(format!("{name}: missing"))
}

fn object<'a>(map: &'a Map<String, Value>, name: &str) -> Result<&'a Map<String, Value>, String> {
    need(map, name)?
        .as_object()
        .ok_or(format!("{name}: no object"))
}

fn string<'a>(map: &'a Map<String, Value>, name: &str) -> Result<&'a str, String> {
    let text = need(map, name)?
        .as_str()
        .ok_or(format!("{name}: no text"))?;
    if text.is_empty() {
        Err(format!("{name}: empty"))
    } else {
        Ok(text)
    }
}

fn address(map: &Map<String, Value>, name: &str) -> Result<SocketAddr, String> {
    let text = string(map, name)?;
    text.parse()
        .map_err(|_| format!("{name}: {text:?} is no address with a port"))
}

fn positive(map: &Map<String, Value>, name: &str) -> Result<f64, String> {
    let value = need(map, name)?;
    let number = value
        .as_f64()
        .filter(|number| number.is_finite() && *number > 0.0);
    number.ok_or(format!("{name}: {value} is no number above 0"))
}

/// Names and texts just as the bench's first message has them, so that the module reads the same.
fn flatten(path: &str, value: &Value, settings: &mut Settings) {
    match value {
        Value::Object(map) => {
            map.iter()
                .for_each(|(name, value)| flatten(&format!("{path}.{name}"), value, settings));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            settings.insert(format!("{path}.count"), items.len().to_string());
            for (place, item) in items.iter().enumerate() {
                flatten(&format!("{path}.{place}"), item, settings);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(plain).collect();
            settings.insert(path.into(), texts.join(","));
        }
        Value::Null => {}
        value => {
            settings.insert(path.into(), plain(value));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        value => value.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = include_str!("../../../examples/config.json");

    #[test]
    fn settings_read_as_in_the_benchs_first_message() {
        let config = Config::parse(EXAMPLE).expect("the example can be read");
        assert_eq!(
            (config.seed, config.drain_timeout),
            (0x8c1f_30d2_7a5b_e964, Duration::from_millis(3200))
        );
        let lines: Vec<String> = config
            .settings
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        insta::assert_snapshot!(lines.join("\n"));
    }

    #[test]
    fn what_is_missing_or_garbled_is_named() {
        let changes = [
            ("{", "["),
            ("\"listen\": \"127.0.0.1:6565\"", "\"listen\": \"nowhere\""),
            ("\"engine\"", "\"motor\""),
            ("\"members\": \"127.0.0.1:8761\"", "\"members\": 8761"),
            ("8c1f30d27a5be964", "8c1f30d27a5be96x"),
            ("\"stop_ms\": 3200", "\"stop_ms\": -1"),
            ("\"memory_mb\": 192", "\"memory_mb\": \"192\""),
            ("\"sockets\"", "\"plugs\""),
            ("\"name\": \"n0\"", "\"name\": \"a b\""),
            ("\"settings\"", "\"set\""),
        ];
        let read = changes.map(|(from, to)| Config::parse(&EXAMPLE.replacen(from, to, 1)).err());
        insta::assert_snapshot!(format!("{read:#?}"));
    }
}
