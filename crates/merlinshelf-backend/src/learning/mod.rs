//! Learning from other instances and from one's own past: the sockets, the folder and the clock round what
//! `merlinshelf-gossip` decides. Service neither waits for any of it nor ends by it.

pub mod folder;
mod peers;
mod report;
pub mod secure;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use merlinshelf_gossip::gossip_node::{Action, GossipNode, Settings};
use merlinshelf_gossip::store_format::{PersistedObservation, Record, recover};
use merlinshelf_gossip::{GossipedObservation, Scope, membership, store_format};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::select;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::exchange::{Shared as Exchange, monotonic, unix_ms};
use crate::operator;
use folder::{Came, Folder};

/// Between two looks at what the module has learnt.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Beliefs age meanwhile; the first few seconds of a start see each lesson at once.
const LATE_PAST: Duration = Duration::from_millis(300);

/// The learner, once its life has a number, and what there is to report of the folder.
#[derive(Default)]
pub struct State {
    learner: Option<GossipNode>,
    /// How the last saving ended, with the time of it, monotonic seconds.
    saved: Option<(f64, Result<(), String>)>,
    /// Something was forgotten: the file must be written anew.
    anew: bool,
    leaves: bool,
}

pub type Shared = Rc<RefCell<State>>;

/// What an operators' file switches on, from its start to the process's end.
pub struct Learning {
    name: String,
    operations: Vec<String>,
    keep_idle: Option<u64>,
    settings: operator::Learning,
    state: Shared,
    /// Told when something is to be believed or saved at once.
    nudge: Rc<Notify>,
    tasks: Vec<Task>,
}

struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Learning {
    pub fn new(
        name: &str,
        settings: &merlinshelf_admission::Settings,
        operator: operator::Learning,
    ) -> Learning {
        let count = settings
            .get("Classes.count")
            .and_then(|count| count.parse().ok())
            .unwrap_or(0);
        let name_of = |place: usize| settings.get(&format!("Classes.{place}.Name")).cloned();
        let idle_us: Option<u64> = settings
            .get("FamilyInfo.CallerIdleUs")
            .and_then(|us| us.parse::<f64>().ok())
            .map(|us| us as u64);
        Learning {
            name: name.into(),
            operations: (0..count)
                .map(|place| name_of(place).unwrap_or_default())
                .collect(),
            keep_idle: idle_us.map(|us| us / 1_000_000).filter(|idle| *idle > 0),
            settings: operator,
            state: Shared::default(),
            nudge: Rc::default(),
            tasks: Vec::new(),
        }
    }

    /// Begins, or goes on with another exchange. `past` is what a predecessor passed on.
    pub fn go(&mut self, exchange: &Exchange, past: Vec<u8>) {
        let (folder, came) = match self.settings.folder.clone().map(Folder::open) {
            None => (None, None),
            Some(Ok(folder)) => (Some(folder), Some(())),
            Some(Err(error)) => {
                warn!("nothing is kept: {error}");
                (None, None)
            }
        };
        let study = Study {
            exchange: exchange.clone(),
            state: self.state.clone(),
            nudge: self.nudge.clone(),
            settings: self.learner_settings(),
            save_every: self.settings.save_every(),
            awaits_past: came.is_some(),
            folder,
            save_at: Instant::now() + self.settings.save_every(),
            looked_at: Instant::now() - LOOK_EVERY,
            past,
        };
        self.tasks = vec![Task(spawn_local(study.run()))];
        if let Some(peers) = &self.settings.peers {
            let teaching = peers::teach(peers.listen.clone(), self.state.clone());
            self.tasks.push(Task(spawn_local(teaching)));
        }
    }

    /// Stops asking, teaching and saving. What was learnt stays.
    pub fn stop(&mut self) {
        self.tasks.clear();
    }

    /// All that is known, for another process.
    pub fn pass_on(&self) -> Vec<u8> {
        let state = self.state.borrow();
        let Some(learner) = &state.learner else {
            return Vec::new();
        };
        let at = unix_ms() / 1e3;
        let mut bytes = store_format::header();
        for told in learner.export(monotonic()) {
            let record = Record::Observation(PersistedObservation {
                saved_at: at,
                observation: told,
            });
            match store_format::record(&record) {
                Ok(record) => bytes.extend(record),
                // The successor starts without it, as without what no longer counts.
                Err(error) => warn!("observation not handed over: {error}"),
            }
        }
        bytes
    }

    /// Everything was taken back from a failed successor.
    pub fn taken_back(&mut self) {
        if let Some(learner) = &mut self.state.borrow_mut().learner {
            learner.handover_rolled_back(monotonic());
        }
    }

    pub fn leave(&mut self) {
        let mut state = self.state.borrow_mut();
        state.leaves = true;
        if let Some(learner) = &mut state.learner {
            learner.leave();
        }
    }

    /// For the report of the status.
    pub fn status(&self) -> serde_json::Value {
        report::status(&self.state.borrow())
    }

    /// All figures, in pages that fit an answer each.
    pub fn knowledge(&self) -> Vec<serde_json::Value> {
        report::pages(&self.state.borrow())
    }

    /// Forgets what was told by this origin, or by all; how many figures these were.
    pub fn forget(&mut self, origin: Option<&str>) -> usize {
        let mut state = self.state.borrow_mut();
        let Some(learner) = &mut state.learner else {
            return 0;
        };
        let before = learner.store().observations().count();
        match origin {
            Some(origin) => learner.store_mut().remove_source(origin),
            None => learner.store_mut().remove_gossiped(),
        }
        let gone = before - learner.store().observations().count();
        state.anew = true;
        drop(state);
        self.nudge.notify_one();
        gone
    }

    fn learner_settings(&self) -> Settings {
        let peers = self.settings.peers.clone();
        let (address, seeds) =
            peers.map_or_else(Default::default, |peers| (peers.listen, peers.seeds));
        let own_kind = format!("of {}", self.name);
        Settings {
            name: self.name.clone(),
            address,
            seeds,
            scope: Scope {
                engine: self.settings.engine.clone().unwrap_or(own_kind),
                dependency: self.settings.dependency.clone(),
                operations: self.operations.clone(),
                keep_alive_seconds: self.keep_idle,
            },
            cpu_share: self.settings.share,
            membership: membership::Settings::default(),
        }
    }
}

/// The task that looks, asks, believes and saves.
struct Study {
    exchange: Exchange,
    state: Shared,
    nudge: Rc<Notify>,
    settings: Settings,
    save_every: Duration,
    folder: Option<Folder>,
    /// The folder has not said yet what was kept.
    awaits_past: bool,
    save_at: Instant,
    looked_at: Instant,
    past: Vec<u8>,
}

impl Study {
    async fn run(mut self) {
        self.begin().await;
        let mut chance =
            Pcg64Mcg::seed_from_u64(unix_ms().to_bits() ^ u64::from(std::process::id()));
        loop {
            self.look();
            let steps = match &mut self.state.borrow_mut().learner {
                Some(learner) => learner.timer_expired(monotonic(), &mut || chance.random()),
                None => Vec::new(),
            };
            for Action::Poll {
                address,
                poll: question,
            } in steps
            {
                let (state, nudge) = (self.state.clone(), self.nudge.clone());
                let within =
                    Duration::from_secs_f64(self.settings.membership.answer_timeout_seconds);
                spawn_local(
                    async move { peers::ask(address, question, within, state, nudge).await },
                );
            }
            self.believe();
            self.save();
            let wake = self
                .state
                .borrow()
                .learner
                .as_ref()
                .and_then(GossipNode::next_timeout);
            let wake = wake.map(|at| {
                Instant::now() + Duration::from_secs_f64((at - monotonic()).clamp(0.002, 60.0))
            });
            let until = wake.map_or(self.looked_at + LOOK_EVERY, |wake| {
                wake.min(self.looked_at + LOOK_EVERY)
            });
            select! {
                () = sleep_until(until) => {}
                () = self.nudge.notified() => {}
                came = came(&mut self.folder) => self.came(came),
            }
        }
    }

    /// Gives this life its number, for which the folder is waited for a moment: service does not wait for this.
    async fn begin(&mut self) {
        if self.state.borrow().learner.is_some() {
            return; // it goes on after a failed successor
        }
        let mut life = unix_ms() as u64;
        let mut kept = Vec::new();
        if self.folder.is_some() {
            select! {
                first = came(&mut self.folder) => match first {
                    Some(Came::Found(found, number)) => {
                        self.awaits_past = false;
                        life = life.max(number);
                        kept = self.found(found);
                    }
                    other => self.came(other),
                },
                () = sleep(LATE_PAST) => warn!("the folder is slow; it is read beside the service"),
            }
        }
        let now = monotonic();
        let mut learner = GossipNode::new(now, life, self.settings.clone());
        if self.state.borrow().leaves {
            learner.leave();
        }
        let passed = recover(&std::mem::take(&mut self.past)).records.into_iter();
        let passed = passed.filter_map(|record| match record {
            Record::Observation(kept) => Some(kept.aged_to(unix_ms() / 1e3)),
            Record::Incarnation(_) => None,
        });
        kept.extend(passed);
        let taken = learner.restore(now, kept);
        if taken > 0 {
            info!(figures = taken; "knows {taken} figures from its own past");
        }
        self.state.borrow_mut().learner = Some(learner);
    }

    fn found(&mut self, found: merlinshelf_gossip::store::Found) -> Vec<GossipedObservation> {
        if let Some(flaw) = found.error {
            let aside = if found.was_set_aside {
                ", and set aside"
            } else {
                ""
            };
            warn!("what was kept can't be read whole: {flaw}{aside}");
        }
        let unix = unix_ms() / 1e3;
        found
            .observations
            .into_iter()
            .map(|kept| kept.aged_to(unix))
            .collect()
    }

    fn came(&mut self, came: Option<Came>) {
        let now = monotonic();
        match came {
            Some(Came::Found(found, _)) => {
                let late = std::mem::take(&mut self.awaits_past);
                let kept = self.found(found);
                if let (true, Some(learner)) = (late, &mut self.state.borrow_mut().learner) {
                    let taken = learner.restore(now, kept);
                    info!(figures = taken; "knows {taken} figures from its own past");
                }
            }
            Some(Came::Saved) => {
                let before = self.state.borrow_mut().saved.replace((now, Ok(())));
                if matches!(before, Some((_, Err(_)))) {
                    info!("what is known is kept again");
                }
            }
            Some(Came::Failed(why)) => {
                let before = self
                    .state
                    .borrow_mut()
                    .saved
                    .replace((now, Err(why.clone())));
                if !matches!(before, Some((_, Err(before))) if before == why) {
                    warn!("what is known is not kept: {why}");
                }
            }
            None => self.folder = None,
        }
    }

    /// Looks at what the module has learnt by now.
    fn look(&mut self) {
        if self.looked_at.elapsed() < LOOK_EVERY {
            return;
        }
        self.looked_at = Instant::now();
        let seen = self.exchange.borrow().learned_state();
        if let (Some((clock, learnt)), Some(learner)) = (seen, &mut self.state.borrow_mut().learner)
        {
            learner.record_own_samples(monotonic(), clock, &learnt);
        }
    }

    fn believe(&mut self) {
        if let Some(learner) = &self.state.borrow().learner {
            self.exchange
                .borrow_mut()
                .set_prior_estimates(learner.prior_estimates(monotonic()));
        }
    }

    fn save(&mut self) {
        let Some(folder) = &self.folder else { return };
        let mut state = self.state.borrow_mut();
        if Instant::now() < self.save_at && !state.anew {
            return;
        }
        let Some(learner) = &state.learner else {
            return;
        };
        let all = learner.export(monotonic());
        if state.anew {
            state.anew = !folder.anew(all);
        } else {
            folder.save(all);
        }
        self.save_at = Instant::now() + self.save_every;
    }
}

async fn came(folder: &mut Option<Folder>) -> Option<Came> {
    match folder {
        Some(folder) => folder.came.recv().await,
        None => std::future::pending().await,
    }
}
