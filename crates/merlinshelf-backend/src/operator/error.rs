//! Why the operators' file can't be used.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use super::Json5Error;

/// An operators' file can't be used. The text names the file.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file can't be read.
    #[error("{}:{source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// Its contents can't be used.
    #[error("{}:{source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, the field and the reason.
        source: Json5Error,
    },
}
