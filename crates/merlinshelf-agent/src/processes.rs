//! Processes by all that tells them apart: started in groups of their own, seen to end, told by signal, never by their number
//! alone.

use std::fs::OpenOptions;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};

use merlinshelf_fleet::Identity;
use rustix::process::{
    Pid, PidfdFlags, Signal, WaitOptions, pidfd_open, pidfd_send_signal, waitpid,
};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

/// A process that is held, so that its number can't be another one's meanwhile.
pub struct Process {
    pid: Pid,
    held: AsyncFd<OwnedFd>,
}

fn pid_of(number: u32) -> io::Result<Pid> {
    i32::try_from(number)
        .ok()
        .and_then(Pid::from_raw)
        .ok_or_else(|| io::ErrorKind::NotFound.into())
}

/// Successors of instances, whose parents end, become children of this process: so their status is known.
pub fn inherit_orphans() {
    let _ = rustix::process::set_child_subreaper(Some(rustix::process::getpid()));
}

/// When the kernel started the process of this number, in its ticks; none where there is none.
pub fn started(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in brackets may hold anything; the 22nd field counts from before it.
    let rest = stat.rsplit_once(") ")?.1;
    if rest.starts_with('Z') {
        return None;
    }
    rest.split(' ').nth(19)?.parse().ok()
}

/// Who has this number now.
pub fn identity(pid: u32) -> Option<Identity> {
    started(pid).map(|started| Identity { pid, started })
}

/// The file that it runs.
pub fn program(pid: u32) -> Option<String> {
    std::fs::read_link(format!("/proc/{pid}/exe"))
        .ok()
        .map(|path| path.to_string_lossy().into_owned())
}

/// Starts a program in a group of its own, its log behind what the file holds.
///
/// # Errors
/// The program or the log can't be had.
pub fn start(program: &Path, arguments: &[&Path], log: &Path) -> io::Result<Identity> {
    let named =
        |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", program.display()));
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .map_err(named)?;
    let mut command = Command::new(program);
    command
        .arg("serve")
        .arg("--config")
        .arg(arguments[0])
        .arg("--operator")
        .arg(arguments[1]);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .process_group(0);
    let child = command.spawn().map_err(named)?;
    identity(child.id())
        .ok_or_else(|| io::Error::other(format!("{}: it ended at once", program.display())))
}

impl Process {
    /// Holds the process, if it is still the one that is meant.
    ///
    /// # Errors
    /// It is gone, or another one has its number.
    pub fn hold(identity: &Identity) -> io::Result<Process> {
        let pid = pid_of(identity.pid)?;
        let held = pidfd_open(pid, PidfdFlags::empty())?;
        if started(identity.pid) != Some(identity.started) {
            return Err(io::ErrorKind::NotFound.into());
        }
        // SAFETY: the descriptor is owned, and stays inside until the registration ends.
        let held = unsafe { AsyncFd::register_with_interest(held, Interest::READABLE) }?;
        Ok(Process { pid, held })
    }

    /// Waits for its end; its status where it was a child of this process and ended by itself.
    pub async fn ended(&self) -> Option<i32> {
        let _ = self.held.readable().await;
        let status = waitpid(Some(self.pid), WaitOptions::NOHANG).ok()??.1;
        status.exit_status()
    }

    /// Nothing where it is gone.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(self.held.get_ref(), signal);
    }
}

/// Whether this very process was started with that file as one of its arguments.
pub fn was_started_with(of: &Identity, file: &Path) -> bool {
    let line = std::fs::read(format!("/proc/{}/cmdline", of.pid)).unwrap_or_default();
    let named = line
        .split(|byte| *byte == 0)
        .any(|word| word == file.as_os_str().as_encoded_bytes());
    named && identity(of.pid).as_ref() == Some(of)
}
