//! The start of a process: its files, its runtime, and the predecessor that may have started it.

use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::time::Duration;

use merlinshelf_handover::{Successor, successor};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use super::Process;
use super::error::{InvalidSettings, LoadError, ServeError};
use crate::config::Config;
use crate::exchange::Exchange;
use crate::fault;
use crate::logger;
use crate::operator::Operator;
use crate::upgrade::channel::Channel;

/// What a process is started with.
#[derive(Clone, Debug)]
pub struct Start {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operators' file; without one, everything that it can enable is disabled.
    pub operator: Option<PathBuf>,
}

/// The version that a successor and its predecessor advertise to each other.
pub const VERSION: &str = concat!("merlinshelf ", env!("CARGO_PKG_VERSION"));

/// The files as read at the start.
pub(super) struct LoadedFiles {
    pub config: Config,
    pub operator: Operator,
    /// Created from the configuration, which validates its settings.
    pub exchange: Exchange,
}

/// Serves until the process is notified to shut down, or until a successor owns everything. Returns
/// the exit status.
///
/// # Errors
/// A file that can't be used, an address that is in use, or a successor that can't take over.
pub fn serve(start: &Start) -> Result<i32, ServeError> {
    let predecessor = Channel::take_inherited()?;
    fault::injection_point("successor.start");
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let files = match load_files(start) {
        Ok(files) => files,
        Err(error) => {
            if let Some(predecessor) = predecessor {
                runtime.block_on(decline(predecessor, &error.to_string()));
            }
            return Err(error.into());
        }
    };
    logger::start(files.operator.log.level(), files.operator.log.format);
    let result = LocalSet::new().block_on(&runtime, run(start, files, predecessor));
    logger::finish();
    result
}

async fn run(
    start: &Start,
    files: LoadedFiles,
    predecessor: Option<OwnedFd>,
) -> Result<i32, ServeError> {
    let exchange = files.exchange;
    let process = Process::new(start.clone(), files.config, files.operator, predecessor)?;
    process.run(exchange).await
}

fn load_files(start: &Start) -> Result<LoadedFiles, LoadError> {
    let (config, exchange) = load_config(&start.config)?;
    let operator = Operator::load(start.operator.as_deref())?;
    Ok(LoadedFiles {
        config,
        operator,
        exchange,
    })
}

/// Reads the configuration and creates an exchange from it, which validates its settings.
pub(super) fn load_config(path: &Path) -> Result<(Config, Exchange), LoadError> {
    let config = Config::load(path)?;
    let exchange = Exchange::from_config(&config).map_err(|reason| InvalidSettings { reason })?;
    Ok((config, exchange))
}

/// Checks whether a configuration can be used.
///
/// # Errors
/// The first problem, with the file and the field.
pub fn check_config(path: &Path) -> Result<(), LoadError> {
    load_config(path).map(|_| ())
}

/// Notifies the predecessor that this process can't take over. If that fails, the predecessor
/// observes the exit of this process instead.
async fn decline(predecessor: OwnedFd, reason: &str) {
    let Ok(channel) = Channel::new(predecessor) else {
        return;
    };
    let mut successor = Successor::new(Duration::ZERO, VERSION);
    successor.decline(reason);
    while let Some(action) = successor.poll_action() {
        if let successor::Action::Send(message) = action {
            let _ = channel.send(&message, &[]).await;
        }
    }
}
