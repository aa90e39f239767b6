//! Gossip with other instances and with earlier incarnations of this one. This module provides the
//! sockets, the folder and the clock for the decisions of `merlinshelf-gossip`. Service neither
//! waits for any of it nor ends if it fails.

mod answering;
pub mod disk;
mod messages;
mod polling;
mod report;
mod store_thread;
mod task;
pub mod transport;

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use log::warn;
use merlinshelf_gossip::gossip_node::{GossipNode, Settings};
use merlinshelf_gossip::store_format::{PersistedObservation, Record};
use merlinshelf_gossip::{Scope, membership, store_format};
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};

use crate::exchange::{Shared as Exchange, monotonic_seconds, unix_ms};
use crate::operator;
use store_thread::StoreThread;
use task::GossipTask;

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// How the latest save ended.
struct SaveOutcome {
    /// When it ended, monotonic seconds.
    ended_at: f64,
    error: Option<String>,
}

/// The state shared by the tasks of one process.
#[derive(Default)]
struct State {
    /// The node, once the number of its incarnation is known.
    node: Option<GossipNode>,
    save_outcome: Option<SaveOutcome>,
    /// Observations were removed: the file must be rewritten.
    needs_rewrite: bool,
    is_leaving: bool,
}

type Shared = Rc<RefCell<State>>;

/// Gossip with the settings of an operators' file, from its start to the end of the process.
pub struct Gossip {
    name: String,
    operations: Vec<String>,
    keep_alive_seconds: Option<u64>,
    settings: operator::Learning,
    state: Shared,
    /// Notified when priors must be updated, or the file be written, at once.
    changed: Rc<Notify>,
    tasks: Vec<AbortOnDrop>,
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Gossip {
    /// Gossip of the instance of this name, with the platform's and the operators' settings.
    pub fn new(
        name: &str,
        settings: &merlinshelf_admission::Settings,
        operator: operator::Learning,
    ) -> Gossip {
        Gossip {
            name: name.into(),
            operations: operation_names(settings),
            keep_alive_seconds: keep_alive_seconds(settings),
            settings: operator,
            state: Shared::default(),
            changed: Rc::default(),
            tasks: Vec::new(),
        }
    }

    /// Starts, or continues with another exchange. `inherited` is a predecessor's export.
    pub fn start(&mut self, exchange: &Exchange, inherited: Vec<u8>) {
        let task = GossipTask::new(
            exchange.clone(),
            self.state.clone(),
            self.changed.clone(),
            self.node_settings(),
            self.settings.save_every(),
            self.settings.folder.clone().and_then(open_store),
            inherited,
        );
        self.tasks = vec![AbortOnDrop(spawn_local(task.run()))];
        if let Some(peers) = &self.settings.peers {
            let answering = answering::run(peers.listen.clone(), self.state.clone());
            self.tasks.push(AbortOnDrop(spawn_local(answering)));
        }
    }

    /// Stops polling, answering and saving. The observations stay.
    pub fn stop(&mut self) {
        self.tasks.clear();
    }

    /// All observations, for a successor.
    pub fn export(&self) -> Vec<u8> {
        let state = self.state.borrow();
        let Some(node) = &state.node else {
            return Vec::new();
        };
        let saved_at = unix_ms() / 1e3;
        let mut bytes = store_format::header();
        for observation in node.export(monotonic_seconds()) {
            let record = Record::Observation(PersistedObservation {
                saved_at,
                observation,
            });
            match store_format::encode_record(&record) {
                Ok(record) => bytes.extend(record),
                // The successor starts without it, as without an observation that has aged out.
                Err(error) => warn!("observation not handed over: {error}"),
            }
        }
        bytes
    }

    /// A successor failed and this process serves again.
    pub fn handover_rolled_back(&mut self) {
        if let Some(node) = &mut self.state.borrow_mut().node {
            node.handover_rolled_back(monotonic_seconds());
        }
    }

    /// Announces to the peers that the instance is leaving.
    pub fn leave(&mut self) {
        let mut state = self.state.borrow_mut();
        state.is_leaving = true;
        if let Some(node) = &mut state.node {
            node.leave();
        }
    }

    /// The part of the instance's status report.
    pub fn status(&self) -> Value {
        report::status(&self.state.borrow())
    }

    /// All observations, in pages that each fit one message of the control socket.
    pub fn observation_pages(&self) -> Vec<Value> {
        report::observation_pages(&self.state.borrow())
    }

    /// Removes the observations of this source, or of all other instances. Returns how many these
    /// were.
    pub fn remove_observations(&mut self, source: Option<&str>) -> usize {
        let mut state = self.state.borrow_mut();
        let Some(node) = &mut state.node else {
            return 0;
        };
        let count_before = node.store().observations().count();
        match source {
            Some(source) => node.store_mut().remove_source(source),
            None => node.store_mut().remove_gossiped(),
        }
        let removed = count_before - node.store().observations().count();
        state.needs_rewrite = true;
        drop(state);
        self.changed.notify_one();
        removed
    }

    fn node_settings(&self) -> Settings {
        let peers = self.settings.peers.clone();
        let (address, seeds) =
            peers.map_or_else(Default::default, |peers| (peers.listen, peers.seeds));
        let own_engine = format!("of {}", self.name);
        Settings {
            name: self.name.clone(),
            address,
            seeds,
            scope: Scope {
                engine: self.settings.engine.clone().unwrap_or(own_engine),
                dependency: self.settings.dependency.clone(),
                operations: self.operations.clone(),
                keep_alive_seconds: self.keep_alive_seconds,
            },
            cpu_share: self.settings.share,
            membership: membership::Settings::default(),
        }
    }
}

fn operation_names(settings: &merlinshelf_admission::Settings) -> Vec<String> {
    let count = settings.get("Classes.count");
    let count = count.and_then(|count| count.parse().ok()).unwrap_or(0);
    let name = |index: usize| settings.get(&format!("Classes.{index}.Name")).cloned();
    (0..count)
        .map(|index| name(index).unwrap_or_default())
        .collect()
}

fn keep_alive_seconds(settings: &merlinshelf_admission::Settings) -> Option<u64> {
    let microseconds: f64 = settings.get("FamilyInfo.CallerIdleUs")?.parse().ok()?;
    let seconds = microseconds as u64 / MICROSECONDS_PER_SECOND;
    (seconds > 0).then_some(seconds)
}

fn open_store(folder: PathBuf) -> Option<StoreThread> {
    match StoreThread::start(folder) {
        Ok(store) => Some(store),
        Err(error) => {
            warn!("gossip store not opened: {error}");
            None
        }
    }
}
