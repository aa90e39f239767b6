//! Why a process can't start, or ends with an error.

use std::io;
use std::path::PathBuf;

use merlinshelf_handover::image::DecodeError;
use thiserror::Error;

use crate::config::ConfigFileError;
use crate::instance::{FreezeError, IncompatibleImage};
use crate::operator::OperatorFileError;

/// Settings or a base policy that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct InvalidSettings {
    /// Which setting or field, and why.
    pub reason: String,
}

/// Why the files that a process is started with can't be used.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The platform's configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// Its settings can't be used.
    #[error(transparent)]
    Settings(#[from] InvalidSettings),
    /// The operators' file can't be used.
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
}

/// Why a process can't serve, or stops serving.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A file can't be used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Another process listens on the control socket.
    #[error("control: {}: another process listens there", path.display())]
    ControlSocketInUse {
        /// The control socket.
        path: PathBuf,
    },
    /// The base policy does not fit this instance.
    #[error(transparent)]
    Policy(#[from] InvalidSettings),
    /// A successor can't take over.
    #[error("{reason}")]
    Declined {
        /// Why the successor can't take over.
        reason: String,
    },
    /// The state of a failed successor can't be recovered.
    #[error(transparent)]
    Recovery(#[from] RestoreError),
    /// A system call failed: an address in use, or no descriptors.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why an instance can't be restored from the state of another process. The texts are sent on the
/// control socket when an upgrade fails.
#[derive(Debug, Error)]
pub enum RestoreError {
    /// The predecessor has not sent the file of the image.
    #[error("the image did not come")]
    MissingImage,
    /// The predecessor has not sent the file of the journal.
    #[error("the journal did not come")]
    MissingJournal,
    /// The listening socket is missing.
    #[error("no listener came")]
    MissingListener,
    /// There is no successor to recover from.
    #[error("there is no failed successor to recover from")]
    NothingToRecover,
    /// The image can't be decoded.
    #[error(transparent)]
    InvalidImage(#[from] DecodeError),
    /// The image does not fit the configuration.
    #[error(transparent)]
    IncompatibleImage(#[from] IncompatibleImage),
    /// The configuration or the base policy can't be used.
    #[error(transparent)]
    Settings(#[from] InvalidSettings),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why the instance can't be frozen for a successor. The texts are sent on the control socket when
/// an upgrade fails.
#[derive(Debug, Error)]
pub(super) enum FreezeFailure {
    #[error("nothing serves here")]
    NotServing,
    #[error("there is no successor")]
    NoSuccessor,
    #[error(transparent)]
    Instance(#[from] FreezeError),
    #[error(transparent)]
    Image(#[from] io::Error),
}
