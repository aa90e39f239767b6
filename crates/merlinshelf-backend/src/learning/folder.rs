//! The folder in which what is known outlives the process. A thread of its own works on it, so that a disk that is slow, full
//! or stuck costs the saving and nothing else; who holds the lock writes, nobody beside it.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use merlinshelf_gossip::GossipedObservation;
use merlinshelf_gossip::store::{Files, Found, MAX_STORE_BYTES, Store};
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::exchange::unix_ms;

/// What comes of the work.
#[derive(Debug)]
pub enum Came {
    /// What was there, and the number of the life that begins.
    Found(Found, u64),
    Saved,
    Failed(String),
}

enum Job {
    Save(Vec<GossipedObservation>),
    /// Something was forgotten: the file is written anew.
    Anew(Vec<GossipedObservation>),
}

/// The thread at work; dropping this ends it after the job in hand.
pub struct Folder {
    jobs: SyncSender<Job>,
    pub came: UnboundedReceiver<Came>,
}

impl Folder {
    pub fn open(path: PathBuf) -> io::Result<Folder> {
        let (jobs, work) = sync_channel(1);
        let (tell, came) = unbounded_channel();
        std::thread::Builder::new()
            .name("knowledge".into())
            .spawn(move || keep(&path, &work, &tell))?;
        Ok(Folder { jobs, came })
    }

    /// False where the saving before is still under way.
    pub fn save(&self, all: Vec<GossipedObservation>) -> bool {
        !matches!(
            self.jobs.try_send(Job::Save(all)),
            Err(TrySendError::Full(_))
        )
    }

    pub fn anew(&self, all: Vec<GossipedObservation>) -> bool {
        !matches!(
            self.jobs.try_send(Job::Anew(all)),
            Err(TrySendError::Full(_))
        )
    }
}

fn keep(path: &Path, work: &Receiver<Job>, tell: &UnboundedSender<Came>) {
    let mut held: Option<(Disk, Store)> = None;
    let open = || -> io::Result<(Disk, Store)> {
        let mut disk = Disk::lock(path)?;
        let opened = Store::open(&mut disk);
        let (mut store, found) = match opened {
            Ok(opened) => opened,
            // Nothing is known of the past; saving is tried all the same.
            Err(error) => {
                let _ = tell.send(Came::Failed(format!(
                    "what was kept can't be read: {error}"
                )));
                (Store::default(), Found::default())
            }
        };
        let life = store.begin_incarnation(unix_ms() as u64);
        let _ = tell.send(Came::Found(found, life));
        Ok((disk, store))
    };
    match open() {
        Ok(opened) => held = Some(opened),
        Err(error) => _ = tell.send(Came::Failed(error.to_string())),
    }
    while let Ok(job) = work.recv() {
        if held.is_none() {
            match open() {
                Ok(opened) => held = Some(opened),
                Err(error) => {
                    let _ = tell.send(Came::Failed(error.to_string()));
                    continue;
                }
            }
        }
        let Some((disk, store)) = &mut held else {
            continue;
        };
        let all = match job {
            Job::Save(all) => all,
            Job::Anew(all) => {
                store.invalidate();
                all
            }
        };
        let came = match store.save(disk, unix_ms() / 1e3, &all) {
            Ok(()) => Came::Saved,
            Err(error) => Came::Failed(error.to_string()),
        };
        let _ = tell.send(came);
    }
}

/// What was kept in a folder, read without its lock and without changing anything, with what was wrong with it.
///
/// # Errors
/// The file system's.
pub fn look(path: &Path) -> io::Result<Found> {
    struct Looked<'a>(&'a Path);
    impl Files for Looked<'_> {
        fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
            read(&self.0.join(name))
        }
        fn create(&mut self, _: &str) -> io::Result<()> {
            Err(io::ErrorKind::ReadOnlyFilesystem.into())
        }
        fn append(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
            Err(io::ErrorKind::ReadOnlyFilesystem.into())
        }
        fn sync(&mut self, _: &str) -> io::Result<()> {
            Err(io::ErrorKind::ReadOnlyFilesystem.into())
        }
        fn rename(&mut self, _: &str, _: &str) -> io::Result<()> {
            Err(io::ErrorKind::ReadOnlyFilesystem.into())
        }
        fn sync_folder(&mut self) -> io::Result<()> {
            Err(io::ErrorKind::ReadOnlyFilesystem.into())
        }
    }
    Store::open(&mut Looked(path)).map(|(_, found)| found)
}

/// The real files of a folder, for whoever holds its lock.
pub struct Disk {
    folder: PathBuf,
    _lock: File,
}

impl Disk {
    /// Makes the folder where there is none.
    ///
    /// # Errors
    /// Another process holds it, or the file system's.
    pub fn lock(folder: &Path) -> io::Result<Disk> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|error| match error {
            Errno::WOULDBLOCK => io::Error::other("another process holds the folder"),
            error => error.into(),
        })?;
        Ok(Disk {
            folder: folder.to_path_buf(),
            _lock: lock,
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    // One byte more than there may be shows that there is more.
    file.take(MAX_STORE_BYTES as u64 + 1)
        .read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

impl Files for Disk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        read(&self.path(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        File::create(self.path(name)).map(|_| ())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new()
            .append(true)
            .open(self.path(name))?
            .write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.path(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
