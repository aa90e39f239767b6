//! Reads the fleet file that operators write, and checks it against the host.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use merlinshelf_backend::LoadError;
use merlinshelf_backend::operator::{Json5Error, parse_json5};
use merlinshelf_fleet::capacity::{self, CapacityError};
use merlinshelf_fleet::{FleetSpec, Group};
use serde_json::Value;

/// Maximum length of the fleet file, which normally has a few pages.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Minimum time for a graceful shutdown; a group's configuration may set a longer one.
const MIN_STOP_MILLISECONDS: f64 = 1000.0;

/// Why the fleet file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FleetFileError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// Path of the fleet file.
        file: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The text is no valid fleet specification.
    #[error("{}:{error}", file.display())]
    Invalid {
        /// Path of the fleet file.
        file: PathBuf,
        /// What is wrong, with its line and field.
        error: Json5Error,
    },
    /// The agent's folder has no absolute path.
    #[error("{}: folder: {source}", file.display())]
    Folder {
        /// Path of the fleet file.
        file: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// A file that a group names does not exist.
    #[error("{}: groups.{group}.{field}: {}: {source}", file.display(), path.display())]
    GroupPath {
        /// Path of the fleet file.
        file: PathBuf,
        /// Name of the group.
        group: String,
        /// The group's field.
        field: &'static str,
        /// The path as written in the fleet file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// A group's configuration can't be used by instances.
    #[error("{}: groups.{group}.config: {error}", file.display())]
    GroupConfig {
        /// Path of the fleet file.
        file: PathBuf,
        /// Name of the group.
        group: String,
        /// What is wrong with the configuration.
        error: Box<LoadError>,
    },
    /// The instances do not fit the host.
    #[error("{}: {error}", file.display())]
    Capacity {
        /// Path of the fleet file.
        file: PathBuf,
        /// Which limit of the host is exceeded.
        error: CapacityError,
    },
}

/// Reads the fleet file and checks it: the instances fit the host, and each group's program and
/// configuration exist.
///
/// # Errors
/// [`FleetFileError`], with the file, and the line and field where there is one.
pub fn load(path: &Path) -> Result<FleetSpec, FleetFileError> {
    let file = || path.to_path_buf();
    let text = read_limited(path).map_err(|source| FleetFileError::Read {
        file: file(),
        source,
    })?;
    let mut spec: FleetSpec = parse_json5(&text).map_err(|error| FleetFileError::Invalid {
        file: file(),
        error,
    })?;
    let base = path.parent().unwrap_or(Path::new("."));
    spec.folder =
        std::path::absolute(base.join(&spec.folder)).map_err(|source| FleetFileError::Folder {
            file: file(),
            source,
        })?;
    for (name, group) in &mut spec.groups {
        resolve_group(path, base, name, group)?;
    }
    capacity::check(&spec).map_err(|error| FleetFileError::Capacity {
        file: file(),
        error,
    })?;
    Ok(spec)
}

fn read_limited(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_FILE_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}

/// Makes the group's paths absolute and checks its configuration.
fn resolve_group(
    file: &Path,
    base: &Path,
    name: &str,
    group: &mut Group,
) -> Result<(), FleetFileError> {
    let resolve = |field: &'static str, path: &Path| {
        std::fs::canonicalize(base.join(path)).map_err(|source| FleetFileError::GroupPath {
            file: file.to_path_buf(),
            group: name.to_owned(),
            field,
            path: path.to_path_buf(),
            source,
        })
    };
    group.program = resolve("program", &group.program)?;
    group.config = resolve("config", &group.config)?;
    merlinshelf_backend::check_config(&group.config).map_err(|error| FleetFileError::GroupConfig {
        file: file.to_path_buf(),
        group: name.to_owned(),
        error: Box::new(error),
    })
}

/// Maximum time for a graceful shutdown over the instances of all groups, in seconds.
pub(crate) fn shutdown_timeout_seconds(spec: &FleetSpec) -> f64 {
    let milliseconds = spec
        .groups
        .values()
        .filter_map(|group| stop_milliseconds(&group.config))
        .fold(MIN_STOP_MILLISECONDS, f64::max);
    milliseconds / 1e3
}

/// The time for a graceful shutdown by a configuration. `None` if that has changed since it was
/// checked and is no longer valid; instances then report the error.
pub(crate) fn stop_milliseconds(config: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(config).ok()?;
    let config: Value = serde_json::from_str(&text).ok()?;
    config["stop_ms"].as_f64()
}

/// The agent's own control socket.
pub(crate) fn agent_socket(spec: &FleetSpec) -> PathBuf {
    spec.folder.join("agent")
}
