//! What an old process holds of its successor: the process, the channel, copies of all descriptors, and the image that
//! it keeps up with while it watches.

use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command};

use log::warn;
use merlinshelf_admission::LearnedState;
use merlinshelf_handover::{Image, Key, Message, Role, records};
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

use super::channel::{BATCH, Channel, HANDOVER};
use crate::exchange::PassedDescriptors;
use crate::instance::FrozenInstance;
use crate::journal::{JournalReader, memory_file};

/// The successor, from its start to its end or release.
pub struct SuccessorGuard {
    child: Child,
    /// Readable once the process has ended: never another one that got its number.
    process: AsyncFd<OwnedFd>,
    pub channel: Channel,
    /// Where the image is written for it, and where it notes; made first, so that nothing is frozen without them.
    file: OwnedFd,
    journal: OwnedFd,
    held: Option<Held>,
}

/// What was frozen, and everything of the successor's since.
struct Held {
    image: Image,
    /// Copies of all that was handed over or opened since, by what it is.
    passed: PassedDescriptors,
    learnt: Option<LearnedState>,
    follower: JournalReader,
}

impl SuccessorGuard {
    /// Starts the program with this process's own arguments.
    pub fn start(program: PathBuf) -> io::Result<SuccessorGuard> {
        let (file, journal) = (
            memory_file("merlinshelf-image")?,
            memory_file("merlinshelf-journal")?,
        );
        let (channel, theirs) = Channel::pair()?;
        let number = std::os::fd::AsRawFd::as_raw_fd(&theirs).to_string();
        let arguments = std::env::args_os().skip(1);
        let named = |error: io::Error| {
            io::Error::new(error.kind(), format!("{}: {error}", program.display()))
        };
        let mut child = Command::new(&program)
            .args(arguments)
            .env(HANDOVER, number)
            .spawn()
            .map_err(named)?;
        let watched = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let watched = watched
            .ok_or_else(|| io::Error::other("it has no process number"))
            .and_then(|id| {
                let process = pidfd_open(id, PidfdFlags::empty())?;
                // SAFETY: the descriptor is owned, and stays inside until the registration ends.
                Ok(unsafe { AsyncFd::register_with_interest(process, Interest::READABLE) }?)
            });
        match watched {
            Ok(process) => Ok(SuccessorGuard {
                child,
                process,
                channel,
                file,
                journal,
                held: None,
            }),
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(error)
            }
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the process's end and says its status, none where a signal ended it.
    pub async fn ended(&self) {
        let _ = self.process.readable().await;
    }

    /// Gives the ended process back to the kernel.
    pub fn reap(&mut self) -> Option<i32> {
        match self.child.wait() {
            Ok(status) if status.signal().is_none() => status.code(),
            _ => None,
        }
    }

    pub fn kill(&self) {
        if let Err(error) = pidfd_send_signal(self.process.get_ref(), Signal::KILL) {
            warn!("the successor can't be killed: {error}");
        }
    }

    /// Keeps what was frozen, whatever becomes of it, and writes it down for the successor.
    pub fn hold(&mut self, mut frozen: FrozenInstance, listener: OwnedFd) -> io::Result<()> {
        let bytes = frozen.image.take();
        let mut image = Image::default();
        let read = image
            .apply(&bytes)
            .map_err(|why| io::Error::other(why.to_string()));
        let instance: Option<records::Instance> = image.get(Key::Instance);
        let mut passed = frozen.passed;
        passed.insert(Role::Listener, listener);
        let learnt = instance.and_then(|instance| instance.learned);
        let follower = JournalReader::new(self.journal.try_clone()?);
        self.held = Some(Held {
            image,
            passed,
            learnt,
            follower,
        });
        read?;
        std::io::Write::write_all(&mut std::fs::File::from(self.file.try_clone()?), &bytes)
    }

    /// Hands over copies of everything; how many descriptors these were.
    pub async fn pass(&self) -> io::Result<usize> {
        let held = self
            .held
            .as_ref()
            .ok_or_else(|| io::Error::other("nothing is frozen"))?;
        let mut all: Vec<(Role, BorrowedFd)> = held
            .passed
            .iter()
            .map(|(role, descriptor)| (*role, descriptor.as_fd()))
            .collect();
        all.extend([
            (Role::Image, self.file.as_fd()),
            (Role::Journal, self.journal.as_fd()),
        ]);
        for batch in all.chunks(BATCH) {
            let (roles, descriptors): (Vec<Role>, Vec<BorrowedFd>) = batch.iter().copied().unzip();
            self.channel
                .send(&Message::Descriptors { roles }, &descriptors)
                .await?;
        }
        Ok(all.len())
    }

    /// Keeps a copy of what the successor has opened.
    pub fn opened(&mut self, role: Role, descriptors: Vec<OwnedFd>) {
        if let Some(held) = &mut self.held {
            held.passed
                .extend(descriptors.into_iter().map(|one| (role, one)));
        }
    }

    /// Keeps up with what the successor noted; copies of what it has closed are closed.
    pub fn follow(&mut self) -> io::Result<()> {
        let Some(held) = &mut self.held else {
            return Ok(());
        };
        held.follower.follow(&mut held.image)?;
        for key in held.image.take_removed() {
            match key {
                Key::ClientConnection(stream) => {
                    _ = held.passed.remove(&Role::ClientConnection(stream))
                }
                Key::DownstreamConnection(stream) => {
                    _ = held.passed.remove(&Role::DownstreamConnection(stream))
                }
                _ => {}
            }
        }
        // Of the engine's links only the last one counts.
        let link: Option<records::EngineConnectionRecord> = held.image.get(Key::EngineConnection);
        let current = link.and_then(|link| link.stream);
        let newest = held.passed.keys().filter_map(|role| match role {
            Role::EngineConnection(stream) => Some(*stream),
            _ => None,
        });
        let newest = newest.max();
        held.passed.retain(|role, _| match role {
            Role::EngineConnection(stream) => Some(*stream) == current || Some(*stream) == newest,
            _ => true,
        });
        Ok(())
    }

    /// What the successor, whose process has ended, had still said, as far as it counts after its end: that it leaves, or
    /// that it notes nothing any more. What was passed with its words is kept.
    pub fn last_words(&mut self) -> Vec<Message> {
        let mut last = Vec::new();
        while let Some((word, descriptors)) = self.channel.receive_now() {
            match word {
                Message::ConnectionOpened { role } => self.opened(role, descriptors),
                Message::Detached | Message::Draining { .. } => last.push(word),
                _ => {}
            }
        }
        last
    }

    /// Everything as the successor left it, whose process has ended and whose last words were heard: image, descriptors, what was learnt before.
    pub fn take(&mut self) -> io::Result<(Image, PassedDescriptors, Option<LearnedState>)> {
        self.follow()?;
        let held = self
            .held
            .take()
            .ok_or_else(|| io::Error::other("nothing is held"))?;
        Ok((held.image, held.passed, held.learnt))
    }
}

impl Drop for SuccessorGuard {
    fn drop(&mut self) {
        // Nobody else gives the process back to the kernel; one that was released is no child to wait for.
        let _ = self.child.try_wait();
    }
}
