//! The predecessor's state about its successor during an upgrade: the process, the channel, copies
//! of all descriptors, and the image, updated from the successor's journal during its probation.

use std::fs::File;
use std::io::{self, Write};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use log::warn;
use merlinshelf_admission::LearnedState;
use merlinshelf_handover::{Image, Key, Message, Role, records};
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

use super::channel::{Channel, HANDOVER_VARIABLE, MAX_DESCRIPTORS_PER_MESSAGE};
use crate::exchange::PassedDescriptors;
use crate::instance::FrozenInstance;
use crate::journal::{JournalReader, memory_file};

/// The successor, from its start to its end or release.
pub struct SuccessorGuard {
    child: Child,
    /// Process descriptor, readable once the process has ended. Unlike the process id, it never
    /// refers to another process.
    process: AsyncFd<OwnedFd>,
    /// The channel to it.
    pub channel: Channel,
    /// The files of the image and of the successor's journal. They are created before the successor,
    /// so that nothing is frozen if that fails.
    image_file: OwnedFd,
    journal_file: OwnedFd,
    retained: Option<Retained>,
}

/// The frozen state, and everything that the successor has opened and recorded since.
struct Retained {
    image: Image,
    /// Copies of all descriptors that were transferred, or opened since.
    connections: PassedDescriptors,
    learned: Option<LearnedState>,
    journal: JournalReader,
}

/// The state in which a failed successor left the instance.
pub struct RecoveredState {
    /// The image, with all changes that the successor recorded.
    pub image: Image,
    /// Copies of the listener and of all connections.
    pub connections: PassedDescriptors,
    /// The estimates of the admission controller at the freeze; journals do not contain them.
    pub learned: Option<LearnedState>,
}

impl SuccessorGuard {
    /// Starts the program with the arguments of this process.
    ///
    /// # Errors
    /// The program can't be started, or no descriptor is available for it.
    pub fn start(program: PathBuf) -> io::Result<SuccessorGuard> {
        let image_file = memory_file("merlinshelf-image")?;
        let journal_file = memory_file("merlinshelf-journal")?;
        let (channel, inherited_end) = Channel::pair()?;
        let mut child = spawn(&program, &inherited_end)?;
        match watch_process(&child) {
            Ok(process) => Ok(SuccessorGuard {
                child,
                process,
                channel,
                image_file,
                journal_file,
                retained: None,
            }),
            Err(error) => {
                // The end of the process could not be observed, so it is killed. Both calls fail
                // only if it has ended already.
                let _ = child.kill();
                let _ = child.wait();
                Err(error)
            }
        }
    }

    /// The process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has ended.
    pub async fn wait_for_exit(&self) {
        // An error means that the runtime shuts down, and this process with it.
        let _ = self.process.readable().await;
    }

    /// Reaps the ended process. Its exit status; `None` if a signal ended it.
    pub fn reap(&mut self) -> Option<i32> {
        match self.child.wait() {
            Ok(status) if status.signal().is_none() => status.code(),
            _ => None,
        }
    }

    /// Kills the process; its end is observed by `wait_for_exit`.
    pub fn kill(&self) {
        if let Err(error) = pidfd_send_signal(self.process.get_ref(), Signal::KILL) {
            warn!(successor = self.process_id(); "successor not killed: {error}");
        }
    }

    /// Retains the frozen state for a recovery, and writes the image for the successor.
    ///
    /// # Errors
    /// The image can't be decoded or written. The frozen state is retained even then.
    pub fn retain(&mut self, mut frozen: FrozenInstance) -> io::Result<()> {
        let bytes = frozen.image.take();
        let mut image = Image::default();
        let applied = image.apply(&bytes).map_err(io::Error::other);
        let mut connections = frozen.connections;
        connections.insert(Role::Listener, frozen.listener);
        self.retained = Some(Retained {
            learned: learned_state(&image),
            image,
            connections,
            journal: JournalReader::new(self.journal_file.try_clone()?),
        });
        applied?;
        File::from(self.image_file.try_clone()?).write_all(&bytes)
    }

    /// Sends copies of all descriptors to the successor; their number.
    ///
    /// # Errors
    /// Nothing was frozen, or the successor has exited or does not read.
    pub async fn transfer(&self) -> io::Result<usize> {
        let Some(retained) = &self.retained else {
            return Err(io::Error::other("nothing is frozen"));
        };
        let mut all: Vec<(Role, BorrowedFd)> = retained
            .connections
            .iter()
            .map(|(role, descriptor)| (*role, descriptor.as_fd()))
            .collect();
        all.push((Role::Image, self.image_file.as_fd()));
        all.push((Role::Journal, self.journal_file.as_fd()));
        for batch in all.chunks(MAX_DESCRIPTORS_PER_MESSAGE) {
            let (roles, descriptors): (Vec<Role>, Vec<BorrowedFd>) = batch.iter().copied().unzip();
            let message = Message::Descriptors { roles };
            self.channel.send(&message, &descriptors).await?;
        }
        Ok(all.len())
    }

    /// Retains a copy of a connection that the successor has opened.
    pub fn retain_opened(&mut self, role: Role, descriptors: Vec<OwnedFd>) {
        if let Some(retained) = &mut self.retained {
            for descriptor in descriptors {
                retained.connections.insert(role, descriptor);
            }
        }
    }

    /// Applies the changes that the successor has recorded since the last call.
    ///
    /// # Errors
    /// The journal can't be read or decoded.
    pub fn read_journal(&mut self) -> io::Result<()> {
        match &mut self.retained {
            Some(retained) => retained.read_journal(),
            None => Ok(()),
        }
    }

    /// Whether the successor has recorded that it goes on alone, and records nothing more.
    pub fn has_detached(&self) -> bool {
        let retained = self.retained.as_ref();
        retained.is_some_and(|retained| retained.image.contains(Key::Detached))
    }

    /// The remaining messages of a successor whose process has ended, as far as they matter now: that
    /// it drains, or that it has stopped recording. Descriptors of opened connections are retained.
    pub fn last_messages(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        while let Some(received) = self.channel.try_receive() {
            match received.message {
                Message::ConnectionOpened { role } => {
                    self.retain_opened(role, received.descriptors);
                }
                Message::Detached | Message::Draining { .. } => messages.push(received.message),
                _ => {}
            }
        }
        messages
    }

    /// The state in which the successor left the instance. Its process must have ended, and its last
    /// messages must have been handled.
    ///
    /// # Errors
    /// Nothing was frozen, or the journal can't be read.
    pub fn take_recovered_state(&mut self) -> io::Result<RecoveredState> {
        self.read_journal()?;
        let Some(retained) = self.retained.take() else {
            return Err(io::Error::other("no frozen state is retained"));
        };
        Ok(RecoveredState {
            image: retained.image,
            connections: retained.connections,
            learned: retained.learned,
        })
    }
}

impl Drop for SuccessorGuard {
    fn drop(&mut self) {
        // Reaps the process if it has ended. A successor that completed the upgrade still runs and
        // is not awaited.
        let _ = self.child.try_wait();
    }
}

impl Retained {
    fn read_journal(&mut self) -> io::Result<()> {
        self.journal.read(&mut self.image)?;
        self.close_removed_connections();
        self.close_replaced_engine_connections();
        Ok(())
    }

    /// Closes the copies of connections that the successor has closed: a copy would keep the
    /// connection open.
    fn close_removed_connections(&mut self) {
        for key in self.image.take_removed() {
            match key {
                Key::ClientConnection(stream) => {
                    self.connections.remove(&Role::ClientConnection(stream));
                }
                Key::DownstreamConnection(stream) => {
                    self.connections.remove(&Role::DownstreamConnection(stream));
                }
                _ => {}
            }
        }
    }

    /// Closes all connections to the engine but the recorded one and the newest, which may not be
    /// recorded yet.
    fn close_replaced_engine_connections(&mut self) {
        let record: Option<records::EngineConnectionRecord> = self.image.get(Key::EngineConnection);
        let recorded = record.and_then(|record| record.stream);
        let newest = self
            .connections
            .keys()
            .filter_map(|role| match role {
                Role::EngineConnection(stream) => Some(*stream),
                _ => None,
            })
            .max();
        self.connections.retain(|role, _| match role {
            Role::EngineConnection(stream) => Some(*stream) == recorded || Some(*stream) == newest,
            _ => true,
        });
    }
}

fn spawn(program: &Path, inherited_end: &OwnedFd) -> io::Result<Child> {
    Command::new(program)
        .args(std::env::args_os().skip(1))
        .env(HANDOVER_VARIABLE, inherited_end.as_raw_fd().to_string())
        .spawn()
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", program.display())))
}

fn watch_process(child: &Child) -> io::Result<AsyncFd<OwnedFd>> {
    let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    let id = id.ok_or_else(|| io::Error::other("it has no process number"))?;
    let process = pidfd_open(id, PidfdFlags::empty())?;
    // SAFETY: `AsyncFd` owns the descriptor, which stays open until the registration ends.
    let registered = unsafe { AsyncFd::register_with_interest(process, Interest::READABLE) }?;
    Ok(registered)
}

fn learned_state(image: &Image) -> Option<LearnedState> {
    match image.decode::<records::Instance>(Key::Instance) {
        Ok(instance) => instance.and_then(|instance| instance.learned),
        // Everything but the estimates can still be recovered.
        Err(error) => {
            warn!("estimates of the admission controller not retained: {error}");
            None
        }
    }
}
