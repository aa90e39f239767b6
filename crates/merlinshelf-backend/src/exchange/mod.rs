//! Where the server side and the client side meet. The exchange owns the module and all invocations in
//! hand; it tells the module what happens and carries out what was decided, field by field in the order
//! of the interface. Neither side knows of the other.

mod alarms;
mod arrivals;
mod budgets;
mod calls;
mod carry;
mod decisions;
mod doors;
mod hand;
mod outbox;
mod policy;
mod runs;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use merlinshelf_admission::{AdmissionController, LearnedState, PriorEstimates, Settings};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::config::Config;
use crate::counters::Counters;
use crate::journal::Journal;
use alarms::{Alarm, Alarms};
pub use arrivals::{Answer, Arrival, Place};
pub use budgets::Wanting;
pub use calls::{CallNumber, Called, Order, Wanted};
pub use carry::{Deposit, Passed, Passing, monotonic, pass};
pub use doors::Door;
use doors::Doors;
use hand::Hand;
pub use hand::Reply;
use outbox::Outbox;
pub use policy::Laid;
pub use runs::Command;

pub type Shared = Rc<RefCell<Exchange>>;

/// Of the memory told, a quarter is for invocations in hand at 20 KB each: a body, a result and a call's two
/// by the page's sizes, and as much again. Far more than the module ever holds: it bounds what a broken peer can do.
const HAND_KB: usize = 4 * 20;
/// A sixteenth is for those that are being read, by the bytes that have come, so that many that are begun and left
/// keep no place from those that come whole.
const READING_PART: usize = 16;

pub struct Exchange {
    settings: Settings,
    seed: u64,
    operations: HashMap<Vec<u8>, usize>,
    names: Vec<Rc<str>>,
    /// By operation, whether it may run and call again.
    idempotent: Vec<bool>,
    /// By operation, whether a run was ever seen to make more than one call.
    calls_again: Vec<bool>,
    meters: Vec<String>,
    origin: Instant,
    /// The module's clock at the origin: Unix time then, so that its hours are those of the day.
    epoch: f64,
    shedder: Option<AdmissionController>,
    leaving: Option<Instant>,
    hand: Hand,
    doors: Doors,
    alarms: Alarms,
    alarmed: Rc<Notify>,
    commands: Outbox<(Command, u64)>,
    orders: Outbox<Order>,
    left: Rc<Notify>,
    healthy: bool,
    trim_after: Duration,
    closing: bool,
    /// Bytes of invocations that are being read on all connections, how many these may be, and how many
    /// invocations may be in hand.
    reading: Rc<Cell<usize>>,
    reading_most: usize,
    hand_most: usize,
    /// The number of the next connection, of whatever kind.
    next_stream: u64,
    /// Told once when everything is to stop where it stands, to be carried on elsewhere.
    freeze: watch::Sender<bool>,
    /// What was handed in since then, and how many connections are done with it.
    deposits: Vec<Deposit>,
    handed_in: usize,
    /// Where changes are noted before they show, as long as a predecessor watches.
    journal: Option<Journal>,
    /// Where new connections are passed to it.
    passing: Option<mpsc::UnboundedSender<Passing>>,
    /// Commands that were on the link when another process left it.
    inherited: Vec<(Command, u64)>,
    /// By operation, the dependencies of its calls; none where there is but the one catalogue.
    parts: Option<Vec<Vec<Rc<str>>>>,
    /// What is believed on the word of others, for whichever module runs.
    beliefs: PriorEstimates,
    /// What is known, in the form of its file, for whoever carries this on.
    pub knowledge: Vec<u8>,
    /// The policy for all, where that is on.
    policy: Option<policy::Policed>,
    /// What it may spend of the fleet's budgets, where policies are on.
    spending: Option<budgets::Spending>,
    pub counters: Counters,
}

impl Exchange {
    /// One for a configuration.
    pub fn of(config: &Config) -> Result<Exchange, String> {
        Exchange::new(config.settings.clone(), config.seed, config.memory_mb)
    }

    /// Fails where the module can't read a setting, naming it.
    pub fn new(settings: Settings, seed: u64, memory_mb: u64) -> Result<Exchange, String> {
        let count = settings
            .get("Classes.count")
            .and_then(|count| count.parse().ok())
            .unwrap_or(0);
        let names = (0..count).map(|place| {
            let name: &str = settings
                .get(&format!("Classes.{place}.Name"))
                .map_or("", String::as_str);
            Rc::from(name)
        });
        let names: Vec<Rc<str>> = names.collect();
        if names.is_empty() || names.iter().any(|name| name.is_empty()) {
            return Err("settings: Classes lacks an operation or one's Name".into());
        }
        // The wire brings no token by which a repeat could be known, so that such an operation might run twice.
        let has = |place: usize, effect: &str| {
            settings
                .get(&format!("Classes.{place}.Effect"))
                .is_some_and(|known| known == effect)
        };
        let tokened = |place: &usize| has(*place, "idempotency_key");
        if let Some(place) = (0..count).find(tokened) {
            return Err(format!(
                "settings: Classes.{place}.Effect: repeats can't be known on this wire"
            ));
        }
        AdmissionController::start(0.0, seed, settings.clone())
            .map_err(|error| error.to_string())?;
        let operations = names
            .iter()
            .enumerate()
            .map(|(place, name)| (name.as_bytes().to_vec(), place));
        let meters = settings.get("FamilyInfo.Meters").map_or("", String::as_str);
        let idle = settings
            .get("FamilyInfo.CallerIdleUs")
            .and_then(|us| us.parse().ok())
            .unwrap_or(0);
        Ok(Exchange {
            operations: operations.collect(),
            idempotent: (0..count).map(|place| has(place, "read_like")).collect(),
            calls_again: vec![false; names.len()],
            names,
            meters: meters
                .split(',')
                .filter(|name| !name.is_empty())
                .map(str::to_owned)
                .collect(),
            trim_after: idle_time(idle as f64 / 1e6),
            settings,
            seed,
            origin: Instant::now(),
            epoch: unix_ms() / 1e3,
            shedder: None,
            leaving: None,
            hand: Hand::default(),
            doors: Doors::default(),
            alarms: Alarms::default(),
            alarmed: Rc::default(),
            commands: Outbox::default(),
            orders: Outbox::default(),
            left: Rc::default(),
            healthy: true,
            closing: false,
            reading: Rc::default(),
            reading_most: memory_mb as usize * 1024 * 1024 / READING_PART,
            hand_most: (memory_mb as usize * 1024 / HAND_KB).max(1),
            next_stream: 1,
            freeze: watch::Sender::new(false),
            deposits: Vec::new(),
            handed_in: 0,
            journal: None,
            passing: None,
            inherited: Vec::new(),
            parts: None,
            beliefs: PriorEstimates::default(),
            knowledge: Vec::new(),
            policy: None,
            spending: None,
            counters: Counters::default(),
        })
    }

    pub fn alarmed(&self) -> Rc<Notify> {
        self.alarmed.clone()
    }

    pub fn next_alarm(&self) -> Option<Instant> {
        self.alarms.next().map(|at| self.origin + at)
    }

    /// Lets all happen whose time has come.
    pub fn ring_alarms(&mut self) {
        let now = self.origin.elapsed();
        while let Some(alarm) = self.alarms.take(now) {
            match alarm {
                Alarm::Call(id, number) => self.call_timed_out(id, number),
                Alarm::Wake(handle) => self.wake(handle, &BTreeMap::new()),
            }
        }
    }

    /// The notice to leave, which came `late` ago: by `stop` the process has to be gone. The grace counts from the
    /// notice.
    pub fn leave(&mut self, stop: Instant, late: Duration) {
        self.leaving = Some(stop);
        self.left.notify_one();
        let left = stop.saturating_duration_since(Instant::now()).as_secs_f64();
        let late = late.as_secs_f64();
        self.decide(|shedder, now| shedder.shutdown_requested(now - late, left + late));
    }

    pub fn leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Told once, when the notice to leave comes.
    pub fn left(&self) -> Rc<Notify> {
        self.left.clone()
    }

    /// What the module has learnt by now, and its clock; none while the engine was never up.
    pub fn learnt(&self) -> Option<(f64, LearnedState)> {
        self.shedder
            .as_ref()
            .map(|shedder| (self.seconds(), shedder.learned_state()))
    }

    /// How long runs take lately, of all operations together, in ms.
    pub fn run_ms(&self) -> Option<f64> {
        let learnt = self.shedder.as_ref()?.learned_state();
        let all = || learnt.operations.iter().flat_map(|of| &of.run_durations);
        let count = all().count();
        (count > 0).then(|| all().sum::<f64>() * 1e3 / count as f64)
    }

    /// What is believed on the word of others from here on.
    pub fn believe(&mut self, beliefs: PriorEstimates) {
        if beliefs != self.beliefs {
            if let Some(shedder) = &mut self.shedder {
                shedder.set_prior_estimates(beliefs.clone());
            }
            self.beliefs = beliefs;
        }
    }

    pub fn in_hand(&self) -> usize {
        self.hand.len()
    }

    fn seconds(&self) -> f64 {
        self.epoch + self.origin.elapsed().as_secs_f64()
    }

    fn set_alarm(&mut self, at: Duration, alarm: Alarm) {
        if self.alarms.next().is_none_or(|next| at < next) {
            self.alarmed.notify_one();
        }
        self.alarms.set(at, alarm);
    }
}

fn idle_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.01, 3600.0))
}

pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}
