//! The thread that saves observations in a folder, so that they outlive the process. A disk that is
//! slow, full or stuck delays only saving. Only the process that holds the folder's lock writes to
//! it.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use merlinshelf_gossip::GossipedObservation;
use merlinshelf_gossip::store::{Store, StoreContents};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::disk::Disk;
use crate::exchange::unix_ms;

/// Why the store failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    /// The file exists and can't be read.
    #[error("what was kept can't be read: {0}")]
    Read(io::Error),
    /// The folder can't be locked, or the file can't be written.
    #[error("{0}")]
    Write(io::Error),
}

/// What the thread reports.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// The folder was locked and read.
    Opened {
        found: StoreContents,
        /// The number of the incarnation that begins.
        incarnation: u64,
    },
    Saved,
    Failed(StoreError),
}

enum Job {
    Save(Vec<GossipedObservation>),
    /// Observations were removed: the file is rewritten.
    Rewrite(Vec<GossipedObservation>),
}

/// The handle of the thread. Dropping it ends the thread after its current job.
pub(super) struct StoreThread {
    jobs: SyncSender<Job>,
    events: UnboundedReceiver<StoreEvent>,
}

impl StoreThread {
    /// Starts the thread, which opens the folder first.
    ///
    /// # Errors
    /// The thread can't be started.
    pub(super) fn start(folder: PathBuf) -> io::Result<StoreThread> {
        let (jobs, job_queue) = sync_channel(1);
        let (event_sender, events) = unbounded_channel();
        let worker = Worker {
            folder,
            events: event_sender,
            open_store: None,
        };
        std::thread::Builder::new()
            .name("knowledge".into())
            .spawn(move || worker.run(&job_queue))?;
        Ok(StoreThread { jobs, events })
    }

    /// The next event; `None` once the thread has ended.
    pub(super) async fn next_event(&mut self) -> Option<StoreEvent> {
        self.events.recv().await
    }

    /// Saves these observations, unless an earlier job is still running.
    pub(super) fn save(&self, observations: Vec<GossipedObservation>) {
        self.submit(Job::Save(observations));
    }

    /// Rewrites the file with these observations. Returns false if an earlier job is still running.
    pub(super) fn rewrite(&self, observations: Vec<GossipedObservation>) -> bool {
        self.submit(Job::Rewrite(observations))
    }

    fn submit(&self, job: Job) -> bool {
        !matches!(self.jobs.try_send(job), Err(TrySendError::Full(_)))
    }
}

struct OpenStore {
    disk: Disk,
    store: Store,
}

struct Worker {
    folder: PathBuf,
    events: UnboundedSender<StoreEvent>,
    /// `None` while the folder can't be locked, which each job retries.
    open_store: Option<OpenStore>,
}

impl Worker {
    fn run(mut self, jobs: &Receiver<Job>) {
        self.open();
        while let Ok(job) = jobs.recv() {
            if self.open_store.is_none() {
                self.open();
            }
            if let Some(open_store) = &mut self.open_store {
                let event = match save(open_store, job) {
                    Ok(()) => StoreEvent::Saved,
                    Err(error) => StoreEvent::Failed(StoreError::Write(error)),
                };
                report(&self.events, event);
            }
        }
    }

    fn open(&mut self) {
        match open(&self.folder, &self.events) {
            Ok(open_store) => self.open_store = Some(open_store),
            Err(error) => report(&self.events, StoreEvent::Failed(StoreError::Write(error))),
        }
    }
}

fn open(folder: &Path, events: &UnboundedSender<StoreEvent>) -> io::Result<OpenStore> {
    let mut disk = Disk::lock(folder)?;
    let (mut store, found) = Store::open(&mut disk).unwrap_or_else(|error| {
        // The instance starts without observations, and saving is still tried.
        report(events, StoreEvent::Failed(StoreError::Read(error)));
        (Store::default(), StoreContents::default())
    });
    let incarnation = store.begin_incarnation(unix_ms() as u64);
    report(events, StoreEvent::Opened { found, incarnation });
    Ok(OpenStore { disk, store })
}

fn save(open_store: &mut OpenStore, job: Job) -> io::Result<()> {
    let OpenStore { disk, store } = open_store;
    let observations = match job {
        Job::Save(observations) => observations,
        Job::Rewrite(observations) => {
            store.invalidate();
            observations
        }
    };
    store.save(disk, unix_ms() / 1e3, &observations)
}

fn report(events: &UnboundedSender<StoreEvent>, event: StoreEvent) {
    // The receiver is dropped when the process ends.
    let _ = events.send(event);
}
