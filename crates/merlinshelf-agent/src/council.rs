//! The agent's seat in the council, carried out: its log in a folder of its own, words to and from other agents, and what is
//! decided, in the agent's own copy of the ledger. A thread of its own keeps the log: while a disk is slow nothing is promised, and
//! all else goes on.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Sender, channel};

use log::{error, info, warn};
use merlinshelf_backend::learning::folder::Disk;
use merlinshelf_consensus::{
    Action, FILE_HEADER, Message, Record, Replica, ReplicaStatus, recover,
};
use merlinshelf_gossip::Files;
use merlinshelf_policy::replicated_state::ReplicatedEvent;
use merlinshelf_policy::{Entry, ReplicatedState};
use tokio::sync::mpsc::UnboundedSender;

const FILE: &str = "council";
const NEXT: &str = "council.new";
const ASIDE: &str = "council.aside";
/// After a failure of the disk it is tried again after so long, seconds.
const AGAIN_AFTER: f64 = 0.5;

/// What the disk's thread is to do.
enum Work {
    Append(Vec<Record>),
    Anew(Vec<Record>),
}

/// What came of it, and in which life of the thread.
pub type Kept = (u64, Result<(), String>);

/// What comes of a turn.
#[derive(Debug)]
pub enum Came {
    Send(String, Message),
    /// Something was decided, or all is another by now.
    Decided(Option<ReplicatedEvent>),
    Confirmed(u64),
}

/// One agent's seat, and what it has decided with the others.
pub struct Seat {
    name: String,
    wanted: BTreeSet<String>,
    folder: PathBuf,
    held: Option<(Replica, Sender<Work>)>,
    /// Which life of the disk's thread this is: what a former one reports does not count.
    life: u64,
    /// Something is being kept; no step behind it is carried out before.
    keeping: bool,
    kept: UnboundedSender<Kept>,
    failed_at: Option<f64>,
    complained: bool,
    ticket: u64,
    pub ledger: ReplicatedState,
    came: Vec<Came>,
}

impl Seat {
    /// `ticket` is a new number of its own.
    /// What the disk's thread reports goes to `kept`, and comes back by [`Seat::kept`].
    pub fn new(
        name: &str,
        agents: &BTreeMap<String, String>,
        folder: &Path,
        ticket: u64,
        kept: UnboundedSender<Kept>,
    ) -> Seat {
        Seat {
            name: name.to_owned(),
            wanted: agents.keys().cloned().collect(),
            folder: folder.join("council"),
            held: None,
            life: 0,
            keeping: false,
            kept,
            failed_at: None,
            complained: false,
            ticket: ticket.max(1),
            ledger: ReplicatedState::default(),
            came: Vec::new(),
        }
    }

    pub fn council(&self) -> Option<&Replica> {
        self.held.as_ref().map(|(council, _)| council)
    }

    pub fn leader(&self) -> Option<&str> {
        self.council()?.leader()
    }

    /// The term in which this agent leads.
    pub fn leads(&self) -> Option<u64> {
        self.council()?.leading_term()
    }

    pub fn standing(&self) -> &'static str {
        match self.council().map(Replica::status) {
            None => "without its disk",
            Some(ReplicaStatus::Joining) => "seeks a seat",
            Some(ReplicaStatus::Verifying) => "asks whether it remembers all",
            Some(ReplicaStatus::Active) => "sits",
        }
    }

    fn begin(&mut self) -> Result<(), String> {
        let mut disk = Disk::lock(&self.folder).map_err(|error| error.to_string())?;
        let kept = match disk.read(FILE).map_err(|error| error.to_string())? {
            None => {
                write(&mut disk, &[]).map_err(|error| error.to_string())?;
                Vec::new()
            }
            Some(bytes) => match recover(&bytes) {
                Ok(log) => {
                    if log.used_bytes < bytes.len() || log.used_bytes == 0 {
                        // What is torn must not stand in the midst of what is written behind it.
                        write(&mut disk, &log.records).map_err(|error| error.to_string())?;
                    }
                    log.records
                }
                Err(why) => {
                    error!(
                        "the council's file can't be used: {why}; it is set aside as {ASIDE}, and a new seat is asked for"
                    );
                    disk.rename(FILE, ASIDE)
                        .map_err(|error| error.to_string())?;
                    Vec::new()
                }
            },
        };
        self.ticket = self
            .ticket
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F)
            | 1;
        let council = Replica::start(
            &self.name,
            &self.wanted,
            self.ticket,
            (self.ticket >> 33) as usize,
            &kept,
        )
        .map_err(|error| error.to_string())?;
        self.ledger = ReplicatedState::default();
        self.came.push(Came::Decided(None));
        let (work, todo) = channel();
        (self.life, self.keeping) = (self.life + 1, false);
        let (life, kept, file) = (self.life, self.kept.clone(), self.folder.join(FILE));
        let keep = move || {
            while let Ok(work) = todo.recv() {
                let done = match work {
                    Work::Append(records) => {
                        let bytes: Vec<u8> =
                            records.iter().flat_map(Record::encode_frame).collect();
                        disk.append(FILE, &bytes).and_then(|()| disk.sync(FILE))
                    }
                    Work::Anew(records) => write(&mut disk, &records),
                };
                let done = done.map_err(|error| format!("{}: {error}", file.display()));
                if kept.send((life, done)).is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .name("council".into())
            .spawn(keep)
            .map_err(|error| error.to_string())?;
        self.held = Some((council, work));
        self.carry_out();
        Ok(())
    }

    /// Time goes on by one tick.
    pub fn tick(&mut self, now: f64) {
        if self.held.is_none() && self.failed_at.is_none_or(|at| now >= at + AGAIN_AFTER) {
            match self.begin() {
                Ok(()) => {
                    if std::mem::take(&mut self.complained) {
                        info!("the council's file can be used again");
                    }
                    self.failed_at = None;
                }
                Err(why) => self.fail(now, &why),
            }
        }
        self.with(now, Replica::tick);
    }

    /// The disk's thread is done with what it was given last.
    pub fn kept(&mut self, now: f64, (life, done): Kept) {
        if life != self.life || self.held.is_none() {
            return;
        }
        self.keeping = false;
        match done {
            Ok(()) => self.carry_out(),
            Err(why) => self.fail(now, &why),
        }
    }

    pub fn heard(&mut self, now: f64, from: &str, word: Message) {
        self.with(now, |council| council.handle_message(from, word));
    }

    /// Puts an entry into the log; false where this agent does not lead.
    pub fn propose(&mut self, now: f64, entry: &Entry) -> bool {
        let bytes = rmp_serde::to_vec_named(entry).unwrap_or_default();
        let mut put = false;
        self.with(now, |council| put = council.propose(bytes));
        put
    }

    /// An agent is gone for good: its seat is given up, where this agent leads.
    pub fn remove(&mut self, now: f64, name: &str) {
        self.with(now, |council| council.remove_member(name));
    }

    pub fn confirm(&mut self, now: f64, number: u64) {
        self.with(now, |council| council.confirm_leadership(number));
    }

    /// What has come of all that by now.
    pub fn take(&mut self) -> Vec<Came> {
        std::mem::take(&mut self.came)
    }

    fn with(&mut self, now: f64, what: impl FnOnce(&mut Replica)) {
        let Some((council, _)) = &mut self.held else {
            return;
        };
        // The log library ends loudly where what it is told can't be: then all goes on from what is kept.
        let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| what(council)));
        if done.is_err() {
            return self.fail(now, "what another agent said can't be");
        }
        self.carry_out();
    }

    fn fail(&mut self, now: f64, why: &str) {
        if !self.complained {
            warn!("this agent is out of the council: {why}");
        }
        (self.complained, self.held, self.failed_at) = (true, None, Some(now));
    }

    /// All steps in their order, up to one that waits for the disk.
    fn carry_out(&mut self) {
        while !self.keeping {
            let Some((council, work)) = self.held.as_mut() else {
                return;
            };
            if council.needs_compaction() {
                council.compact(rmp_serde::to_vec_named(&self.ledger).unwrap_or_default());
            }
            let Some(step) = council.poll_action() else {
                return;
            };
            match step {
                Action::Append(records) => {
                    self.keeping = true;
                    let _ = work.send(Work::Append(records)); // its end shows in what it does not report
                }
                Action::ReplaceLog(records) => {
                    self.keeping = true;
                    let _ = work.send(Work::Anew(records));
                }
                Action::Send { to, message } => {
                    self.came.push(Came::Send(to, message));
                }
                Action::Apply { index, data } => match rmp_serde::from_slice(&data) {
                    Ok(entry) => {
                        let news = self.ledger.apply(entry);
                        self.came.extend(news.map(|news| Came::Decided(Some(news))));
                    }
                    Err(error) => error!("entry {index} is of a later version: {error}"),
                },
                Action::Restore { index, state } => {
                    self.ledger = if state.is_empty() {
                        ReplicatedState::default()
                    } else {
                        rmp_serde::from_slice(&state).unwrap_or_else(|error| {
                            error!("the state at {index} is of a later version: {error}");
                            ReplicatedState::default()
                        })
                    };
                    self.came.push(Came::Decided(None));
                }
                Action::LeadershipConfirmed { request_id } => {
                    self.came.push(Came::Confirmed(request_id));
                }
                Action::ReportDecodeError(error) => error!("{error}; it is skipped"),
            }
        }
    }
}

fn write(disk: &mut Disk, records: &[Record]) -> io::Result<()> {
    let mut bytes = FILE_HEADER.to_vec();
    bytes.extend(records.iter().flat_map(Record::encode_frame));
    disk.create(NEXT)?;
    disk.append(NEXT, &bytes)?;
    disk.sync(NEXT)?;
    disk.rename(NEXT, FILE)?;
    disk.sync_folder()
}
