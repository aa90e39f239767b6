//! The platform's configuration of a backend: one JSON file, read at the start and again on SIGHUP.

mod error;
#[cfg(test)]
mod tests;

use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use merlinshelf_admission::Settings;
use serde_json::{Map, Value};

pub use error::{ConfigError, ConfigFileError};

/// The maximum size that is read. The file has a few KB; a far larger one is not a configuration.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Longer times are limited to this, which fits into a `Duration`.
const MAX_MILLISECONDS: f64 = 1e9;

/// The addresses of the servers that this process connects to. They may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The engine that runs invocations.
    pub engine: SocketAddr,
    /// The service at which instances register.
    pub registration: SocketAddr,
    /// The platform's catalogue, called by invocations.
    pub catalogue: SocketAddr,
}

/// The configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this backend.
    pub name: String,
    /// Where edge nodes connect.
    pub listen: SocketAddr,
    /// The servers that this process connects to.
    pub peers: Peers,
    /// The seed of all random decisions.
    pub seed: u64,
    /// The time from the shutdown signal until the process is killed.
    pub drain_timeout: Duration,
    /// The memory limit, in MB.
    pub memory_mb: u64,
    /// The limit of open sockets.
    pub sockets: usize,
    /// The settings of the admission controller, flattened to dotted names.
    pub settings: Settings,
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// The file can't be read or used.
    pub fn load(path: &Path) -> Result<Config, ConfigFileError> {
        let text = read_file(path).map_err(|source| ConfigFileError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Config::parse(&text).map_err(|source| ConfigFileError::Invalid {
            path: path.to_owned(),
            source,
        })
    }

    /// The fields that differ in `reloaded` although they can't change while the process runs.
    pub fn changed_fixed_fields(&self, reloaded: &Config) -> Vec<&'static str> {
        let has_same_limits =
            self.memory_mb == reloaded.memory_mb && self.sockets == reloaded.sockets;
        let fields = [
            ("name", self.name == reloaded.name),
            ("listen", self.listen == reloaded.listen),
            ("stop_ms", self.drain_timeout == reloaded.drain_timeout),
            ("limits", has_same_limits),
            ("settings", self.settings == reloaded.settings),
        ];
        fields
            .iter()
            .filter(|(_, is_same)| !is_same)
            .map(|(field, _)| *field)
            .collect()
    }

    /// Parses the text of the file.
    ///
    /// # Errors
    /// A field is missing or can't be used.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let document: Value = serde_json::from_str(text)?;
        let root = document.as_object().ok_or(ConfigError::NotAnObject)?;
        let seed = string(root, "seed")?;
        let limits = object(root, "limits")?;
        let settings = settings(root)?;
        let name = name(root)?;
        Ok(Config {
            name,
            listen: address(root, "listen")?,
            peers: Peers {
                engine: address(root, "engine")?,
                registration: address(root, "members")?,
                catalogue: address(root, "backend")?,
            },
            seed: parse_seed(seed)?,
            drain_timeout: drain_timeout(root)?,
            memory_mb: positive(limits, "memory_mb")? as u64,
            sockets: positive(limits, "sockets")? as usize,
            settings,
        })
    }
}

fn read_file(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_FILE_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}

fn parse_seed(seed: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidSeed {
        seed: seed.to_owned(),
    })
}

fn name(root: &Map<String, Value>) -> Result<String, ConfigError> {
    let name = string(root, "name")?.to_owned();
    let is_path_safe = name
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if is_path_safe {
        Ok(name)
    } else {
        Err(ConfigError::InvalidName { name })
    }
}

fn drain_timeout(root: &Map<String, Value>) -> Result<Duration, ConfigError> {
    let milliseconds = positive(root, "stop_ms")?.min(MAX_MILLISECONDS);
    Ok(Duration::from_secs_f64(milliseconds / 1e3))
}

fn settings(root: &Map<String, Value>) -> Result<Settings, ConfigError> {
    let mut settings = Settings::new();
    for (name, value) in object(root, "settings")? {
        flatten(name, value, &mut settings);
    }
    if settings.is_empty() {
        return Err(ConfigError::EmptyField { field: "settings" });
    }
    Ok(settings)
}

fn value<'a>(map: &'a Map<String, Value>, field: &'static str) -> Result<&'a Value, ConfigError> {
    map.get(field).ok_or(ConfigError::MissingField { field })
}

fn object<'a>(
    map: &'a Map<String, Value>,
    field: &'static str,
) -> Result<&'a Map<String, Value>, ConfigError> {
    value(map, field)?
        .as_object()
        .ok_or(ConfigError::ObjectExpected { field })
}

fn string<'a>(map: &'a Map<String, Value>, field: &'static str) -> Result<&'a str, ConfigError> {
    let text = value(map, field)?
        .as_str()
        .ok_or(ConfigError::StringExpected { field })?;
    if text.is_empty() {
        return Err(ConfigError::EmptyField { field });
    }
    Ok(text)
}

fn address(map: &Map<String, Value>, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = string(map, field)?;
    text.parse().map_err(|_| ConfigError::InvalidAddress {
        field,
        address: text.to_owned(),
    })
}

fn positive(map: &Map<String, Value>, field: &'static str) -> Result<f64, ConfigError> {
    let value = value(map, field)?;
    value
        .as_f64()
        .filter(|number| number.is_finite() && *number > 0.0)
        .ok_or_else(|| ConfigError::NotPositive {
            field,
            value: value.to_string(),
        })
}

/// Flattens a value to dotted names and plain texts, as in the first message of the platform's
/// benchmark, so that the admission controller can read its settings from either.
fn flatten(path: &str, value: &Value, settings: &mut Settings) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                flatten(&format!("{path}.{name}"), value, settings);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            settings.insert(format!("{path}.count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&format!("{path}.{index}"), item, settings);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(plain_text).collect();
            settings.insert(path.into(), texts.join(","));
        }
        Value::Null => {}
        value => {
            settings.insert(path.into(), plain_text(value));
        }
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        value => value.to_string(),
    }
}
