//! Processes of instances. A process is identified by its PID and start time, since PIDs are
//! reused; a pidfd refers to the same process even after its exit.

use std::fs::OpenOptions;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};

use log::warn;
use merlinshelf_fleet::Identity;
use rustix::process::{
    Pid, PidfdFlags, Signal, WaitOptions, pidfd_open, pidfd_send_signal, waitpid,
};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

use crate::instance_files::InstancePaths;

/// A supervised process.
pub(crate) struct Process {
    pid: Pid,
    pidfd: AsyncFd<OwnedFd>,
}

/// Makes this process the subreaper of orphans. Successors of instances become orphans when their
/// predecessors exit after the handover; as children of the agent their exit statuses are known.
pub(crate) fn adopt_orphans() {
    if let Err(error) = rustix::process::set_child_subreaper(Some(rustix::process::getpid())) {
        warn!(error:% = error; "exit statuses of upgraded instances will not be known: {error}");
    }
}

/// Start time of the process in clock ticks since boot; `None` if it does not exist or is a zombie.
fn start_time(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // proc(5): the command in parentheses may contain any character; the start time is the 20th
    // field after it.
    let fields = stat.rsplit_once(") ")?.1;
    if fields.starts_with('Z') {
        return None;
    }
    fields.split(' ').nth(19)?.parse().ok()
}

/// Identity of the process that currently has this PID.
pub(crate) fn identity(pid: u32) -> Option<Identity> {
    start_time(pid).map(|start_ticks| Identity { pid, start_ticks })
}

/// The executable file of a process.
pub(crate) fn executable(pid: u32) -> Option<String> {
    std::fs::read_link(format!("/proc/{pid}/exe"))
        .ok()
        .map(|path| path.to_string_lossy().into_owned())
}

/// Starts an instance in its own process group; its output is appended to its log.
///
/// # Errors
/// The program can't be started, or the log can't be opened.
pub(crate) fn start(program: &Path, paths: &InstancePaths) -> io::Result<Identity> {
    let with_program =
        |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", program.display()));
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&paths.log)
        .map_err(with_program)?;
    let child = Command::new(program)
        .arg("serve")
        .arg("--config")
        .arg(&paths.config)
        .arg("--operator")
        .arg(&paths.operator)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .process_group(0)
        .spawn()
        .map_err(with_program)?;
    identity(child.id())
        .ok_or_else(|| io::Error::other(format!("{}: it ended at once", program.display())))
}

impl Process {
    /// Opens the process.
    ///
    /// # Errors
    /// It has exited, or another process has its PID.
    pub fn open(identity: &Identity) -> io::Result<Process> {
        let pid = i32::try_from(identity.pid)
            .ok()
            .and_then(Pid::from_raw)
            .ok_or(io::ErrorKind::NotFound)?;
        let pidfd = pidfd_open(pid, PidfdFlags::empty())?;
        // Checked after the pidfd is open: from then on it can't refer to another process.
        if start_time(identity.pid) != Some(identity.start_ticks) {
            return Err(io::ErrorKind::NotFound.into());
        }
        // SAFETY: the descriptor is owned, and stays open until the registration ends.
        let pidfd = unsafe { AsyncFd::register_with_interest(pidfd, Interest::READABLE) }?;
        Ok(Process { pid, pidfd })
    }

    /// Waits until the process exits; returns its exit status if it was a child of this process and
    /// was not killed by a signal.
    pub async fn wait(&self) -> Option<i32> {
        // A failure here means that the runtime is shutting down.
        let _ = self.pidfd.readable().await;
        let (_, status) = waitpid(Some(self.pid), WaitOptions::NOHANG).ok()??;
        status.exit_status()
    }

    /// Sends a signal; does nothing if the process has exited.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(self.pidfd.get_ref(), signal);
    }
}

/// Whether this process was started with the file as one of its arguments.
pub(crate) fn was_started_with(process: &Identity, file: &Path) -> bool {
    // A process that has exited counts as one with another command line.
    let command_line = std::fs::read(format!("/proc/{}/cmdline", process.pid)).unwrap_or_default();
    let has_argument = command_line
        .split(|byte| *byte == 0)
        .any(|argument| argument == file.as_os_str().as_encoded_bytes());
    has_argument && identity(process.pid).as_ref() == Some(process)
}
