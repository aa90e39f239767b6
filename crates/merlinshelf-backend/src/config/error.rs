//! Why the platform's configuration can't be used.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// A configuration file that can't be used. The text names the file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Its contents can't be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Which part of it.
        source: ConfigError,
    },
}

/// The text of a configuration that can't be used. `field` is the name of the field concerned.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is no JSON.
    #[error("no JSON: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The text is JSON of another kind than an object.
    #[error("the configuration is no object")]
    NotAnObject,
    /// A required field is missing.
    #[error("{field}: missing")]
    MissingField {
        /// Which one.
        field: &'static str,
    },
    /// A field is not an object.
    #[error("{field}: no object")]
    ObjectExpected {
        /// Which one.
        field: &'static str,
    },
    /// A field is not a string.
    #[error("{field}: no text")]
    StringExpected {
        /// Which one.
        field: &'static str,
    },
    /// A field has no contents.
    #[error("{field}: empty")]
    EmptyField {
        /// Which one.
        field: &'static str,
    },
    /// The name of the backend is used in paths and contains another character than letters,
    /// digits, `-`, `_`, `.`.
    #[error("name: {name:?} can't stand in a path")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// The seed is no hexadecimal number of 64 bits.
    #[error("seed: {seed:?} is not hexadecimal")]
    InvalidSeed {
        /// The seed.
        seed: String,
    },
    /// A field is no address with a port.
    #[error("{field}: {address:?} is no address with a port")]
    InvalidAddress {
        /// Which one.
        field: &'static str,
        /// What it contains.
        address: String,
    },
    /// A field is no number above 0.
    #[error("{field}: {value} is no number above 0")]
    NotPositive {
        /// Which one.
        field: &'static str,
        /// What it contains, as JSON.
        value: String,
    },
}
