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
        /// The error of the system.
        source: io::Error,
    },
    /// Its contents can't be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: ConfigError,
    },
}

/// Why the text of a configuration can't be used. `field` is the name of the field concerned.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("no JSON: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The text is JSON, but not an object.
    #[error("the configuration is not an object")]
    NotAnObject,
    /// A required field is missing.
    #[error("{field}: missing")]
    MissingField {
        /// The field.
        field: &'static str,
    },
    /// A field is not an object.
    #[error("{field}: not an object")]
    ObjectExpected {
        /// The field.
        field: &'static str,
    },
    /// A field is not a string.
    #[error("{field}: not a string")]
    StringExpected {
        /// The field.
        field: &'static str,
    },
    /// A field is empty.
    #[error("{field}: empty")]
    EmptyField {
        /// The field.
        field: &'static str,
    },
    /// The name of the backend, which is used in paths, contains other characters than letters,
    /// digits, `-`, `_` and `.`.
    #[error("name: {name:?} can't be used in a path")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: {seed:?} is not hexadecimal")]
    InvalidSeed {
        /// The seed.
        seed: String,
    },
    /// A field is not an address with a port.
    #[error("{field}: {address:?} is no address with a port")]
    InvalidAddress {
        /// The field.
        field: &'static str,
        /// Its value.
        address: String,
    },
    /// A field is not a number above 0.
    #[error("{field}: {value} is no number above 0")]
    NotPositive {
        /// The field.
        field: &'static str,
        /// Its value as JSON.
        value: String,
    },
}
