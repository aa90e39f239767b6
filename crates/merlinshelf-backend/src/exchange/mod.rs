//! Where the server side and the client side meet.
//!
//! The exchange owns the admission controller and all invocations in flight. It feeds the
//! controller with events and carries out its decisions, field by field in the order of the
//! interface. Neither side knows of the other.

mod answer_records;
mod arrivals;
mod calls;
mod connections;
mod decisions;
mod in_flight;
mod journaling;
mod policy;
mod quota;
mod restoration;
mod runs;
mod send_queue;
mod snapshot;
#[cfg(test)]
mod tests;
mod timers;

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
pub use arrivals::{Answer, Arrival, ReadReservation};
pub use calls::{CallCommand, CallContext, CallNumber, CallOutcome};
pub use connections::ConnectionHandle;
use connections::ConnectionTable;
use in_flight::InFlightTable;
pub use in_flight::ReplyAddress;
pub use policy::PolicyOverlay;
pub use quota::CallDemand;
pub use runs::Command;
use send_queue::SendQueue;
pub use snapshot::{
    OpenedConnection, PassedDescriptors, StoppedPart, monotonic_seconds, pass_to_predecessor,
};
use timers::{Timer, TimerQueue};

/// The exchange as all parts of an instance, on one thread, share it.
pub type Shared = Rc<RefCell<Exchange>>;

/// A quarter of the memory limit is for invocations in flight at 20 KB each: a body, a result and a
/// call's two by the protocol's sizes, and as much again. Far more than the controller ever admits:
/// it bounds what a broken peer can do.
const IN_FLIGHT_KILOBYTES: usize = 4 * 20;
/// A sixteenth is for those that are being read, by the bytes that were received, so that many that
/// are begun and abandoned keep nothing from those that arrive completely.
const READING_PART: usize = 16;

/// The invocations of one instance, and what stands between its two sides.
pub struct Exchange {
    settings: Settings,
    seed: u64,
    operations: HashMap<Vec<u8>, usize>,
    operation_names: Vec<Rc<str>>,
    /// By operation, whether it may run and call again.
    idempotent: Vec<bool>,
    /// By operation, whether a run was ever seen to make more than one call.
    makes_several_calls: Vec<bool>,
    gauge_names: Vec<String>,
    origin: Instant,
    /// The module's clock at the origin: Unix time then, so that its hours are those of the day.
    epoch: f64,
    controller: Option<AdmissionController>,
    shutdown_at: Option<Instant>,
    invocations: InFlightTable,
    connections: ConnectionTable,
    timers: TimerQueue,
    timers_changed: Rc<Notify>,
    commands: SendQueue<(Command, u64)>,
    call_commands: SendQueue<CallCommand>,
    shutdown_notice: Rc<Notify>,
    is_healthy: bool,
    idle_timeout: Duration,
    is_closing: bool,
    /// Bytes of invocations that are being read on all connections, how many these may be, and how
    /// many invocations may be in hand.
    reading_bytes: Rc<Cell<usize>>,
    max_reading_bytes: usize,
    max_in_flight: usize,
    /// The number of the next connection, of whatever kind.
    next_stream: u64,
    /// Told once when everything is to stop where it stands, to be carried on elsewhere.
    freeze: watch::Sender<bool>,
    /// What was handed in since then, and how many connections are done with it.
    stopped_parts: Vec<StoppedPart>,
    stopped_connections: usize,
    /// Where changes are noted before they show, as long as a predecessor watches.
    journal: Option<Journal>,
    /// Where new connections are passed to it.
    opened_connections: Option<mpsc::UnboundedSender<OpenedConnection>>,
    /// Commands that were on the link when another process left it.
    inherited_commands: Vec<(Command, u64)>,
    /// By operation, the dependencies of its calls; none where there is but the one catalogue.
    dependency_names: Option<Vec<Vec<Rc<str>>>>,
    /// What is believed on the word of others, for whichever module runs.
    prior_estimates: PriorEstimates,
    /// What is known, in the form of its file, for whoever carries this on.
    pub gossip_state: Vec<u8>,
    /// The policy for all, where that is on.
    policy: Option<policy::ActivePolicy>,
    /// What it may spend of the fleet's budgets, where policies are on.
    quota: Option<quota::QuotaSpending>,
    pub counters: Counters,
}

impl Exchange {
    /// One for a configuration.
    pub fn from_config(config: &Config) -> Result<Exchange, String> {
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
        // The wire brings no token by which a repeat could be known, so that such an operation
        // might run twice.
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
            makes_several_calls: vec![false; names.len()],
            operation_names: names,
            gauge_names: meters
                .split(',')
                .filter(|name| !name.is_empty())
                .map(str::to_owned)
                .collect(),
            idle_timeout: idle_time(idle as f64 / 1e6),
            settings,
            seed,
            origin: Instant::now(),
            epoch: unix_ms() / 1e3,
            controller: None,
            shutdown_at: None,
            invocations: InFlightTable::default(),
            connections: ConnectionTable::default(),
            timers: TimerQueue::default(),
            timers_changed: Rc::default(),
            commands: SendQueue::default(),
            call_commands: SendQueue::default(),
            shutdown_notice: Rc::default(),
            is_healthy: true,
            is_closing: false,
            reading_bytes: Rc::default(),
            max_reading_bytes: memory_mb as usize * 1024 * 1024 / READING_PART,
            max_in_flight: (memory_mb as usize * 1024 / IN_FLIGHT_KILOBYTES).max(1),
            next_stream: 1,
            freeze: watch::Sender::new(false),
            stopped_parts: Vec::new(),
            stopped_connections: 0,
            journal: None,
            opened_connections: None,
            inherited_commands: Vec::new(),
            dependency_names: None,
            prior_estimates: PriorEstimates::default(),
            gossip_state: Vec::new(),
            policy: None,
            quota: None,
            counters: Counters::default(),
        })
    }

    pub fn timers_changed(&self) -> Rc<Notify> {
        self.timers_changed.clone()
    }

    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next().map(|at| self.origin + at)
    }

    /// Lets all happen whose time has come.
    pub fn fire_timers(&mut self) {
        let now = self.origin.elapsed();
        while let Some(alarm) = self.timers.pop_due(now) {
            match alarm {
                Timer::CallTimeout(id, number) => self.call_timed_out(id, number),
                Timer::Admission(handle) => self.fire_admission_timer(handle, &BTreeMap::new()),
            }
        }
    }

    /// The notice to leave, which came `late` ago: by `stop` the process has to be gone. The grace
    /// counts from the notice.
    pub fn begin_shutdown(&mut self, stop: Instant, late: Duration) {
        self.shutdown_at = Some(stop);
        self.shutdown_notice.notify_one();
        let left = stop.saturating_duration_since(Instant::now()).as_secs_f64();
        let late = late.as_secs_f64();
        self.decide(|controller, now| controller.shutdown_requested(now - late, left + late));
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// Told once, when the notice to leave comes.
    pub fn shutdown_notice(&self) -> Rc<Notify> {
        self.shutdown_notice.clone()
    }

    /// What the module has learnt by now, and its clock; none while the engine was never up.
    pub fn learned_state(&self) -> Option<(f64, LearnedState)> {
        self.controller
            .as_ref()
            .map(|controller| (self.seconds(), controller.learned_state()))
    }

    /// How long runs take lately, of all operations together, in ms.
    pub fn run_ms(&self) -> Option<f64> {
        let learned = self.controller.as_ref()?.learned_state();
        let all = || learned.operations.iter().flat_map(|of| &of.run_durations);
        let count = all().count();
        (count > 0).then(|| all().sum::<f64>() * 1e3 / count as f64)
    }

    /// What is believed on the word of others from here on.
    pub fn set_prior_estimates(&mut self, beliefs: PriorEstimates) {
        if beliefs != self.prior_estimates {
            if let Some(controller) = &mut self.controller {
                controller.set_prior_estimates(beliefs.clone());
            }
            self.prior_estimates = beliefs;
        }
    }

    pub fn in_flight(&self) -> usize {
        self.invocations.len()
    }

    fn seconds(&self) -> f64 {
        self.epoch + self.origin.elapsed().as_secs_f64()
    }

    fn set_timer(&mut self, at: Duration, alarm: Timer) {
        if self.timers.next().is_none_or(|next| at < next) {
            self.timers_changed.notify_one();
        }
        self.timers.set(at, alarm);
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
