//! The exchange connects the server side (clients) with the client side (engine, dependencies).
//!
//! It owns the admission controller and all invocations in flight. It passes events to the
//! controller and carries out its decisions, field by field in the order in which [`Decisions`]
//! declares them. Neither side depends on the other.
//!
//! [`Decisions`]: merlinshelf_admission::Decisions

mod answer_records;
mod arrivals;
mod calls;
mod connections;
mod decisions;
mod in_flight;
mod journaling;
mod policy;
mod quota;
mod recent_runs;
mod restoration;
mod restored_calls;
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

use merlinshelf_admission::{
    AdmissionController, Decisions, LearnedState, PriorEstimates, Settings,
};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::config::Config;
use crate::counters::Counters;
use crate::journal::Journal;
pub use arrivals::{Answer, Arrival, ReadReservation};
pub use calls::{CallCommand, CallContext, CallNumber, CallOutcome, ResumedCall};
pub use connections::ConnectionHandle;
use connections::ConnectionTable;
use in_flight::InFlightTable;
pub use in_flight::ReplyAddress;
pub use policy::PolicyOverlay;
pub use quota::CallDemand;
use recent_runs::RecentRuns;
pub use runs::{Command, START_TOLERANCE};
use send_queue::SendQueue;
pub use snapshot::{
    FrozenConnection, OpenedConnection, PassedDescriptors, monotonic_seconds, pass_to_predecessor,
};
use timers::{Timer, TimerQueue};

/// The exchange, shared by all tasks of an instance, which run on one thread.
pub type Shared = Rc<RefCell<Exchange>>;

/// Kilobytes of the memory limit per invocation in flight. A quarter of the limit is for invocations
/// in flight, at 20 KB each: an invocation, its result, a call and its reply at the protocol's sizes,
/// and the same amount again. The admission controller admits far fewer; this bounds the damage of
/// a broken peer.
const LIMIT_KILOBYTES_PER_INVOCATION: usize = 4 * 20;
/// One sixteenth of the memory limit is for invocations that are still being read, counted by
/// received bytes. Invocations that clients begin and abandon then take no capacity from those that
/// arrive completely.
const READ_MEMORY_DIVISOR: usize = 16;

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    requested_at: Instant,
    /// By when the process must have exited.
    deadline: Instant,
}

impl Shutdown {
    /// Notifies a controller, whose clock shows `now`. The grace counts from the request, also for a
    /// controller that is started later.
    fn notify(self, controller: &mut AdmissionController, now: f64) -> Decisions {
        let total = self.deadline.saturating_duration_since(self.requested_at);
        let elapsed = self.requested_at.elapsed();
        controller.shutdown_requested(now - elapsed.as_secs_f64(), total.as_secs_f64())
    }
}

/// All invocations of one instance, and the queues between its server side and its client side.
pub struct Exchange {
    settings: Settings,
    seed: u64,
    operations: HashMap<Vec<u8>, usize>,
    operation_names: Vec<Rc<str>>,
    /// By operation, whether its runs and calls may be repeated.
    idempotent: Vec<bool>,
    /// By operation, whether any run has made more than one call so far.
    makes_several_calls: Vec<bool>,
    gauge_names: Vec<String>,
    /// When the exchange was created, which is the zero of its timers' clock.
    origin: Instant,
    /// The admission controller's clock at the origin: Unix time, so that its hours are hours of
    /// the day.
    epoch: f64,
    controller: Option<AdmissionController>,
    shutdown: Option<Shutdown>,
    invocations: InFlightTable,
    recent_runs: RecentRuns,
    connections: ConnectionTable,
    timers: TimerQueue,
    timers_changed: Rc<Notify>,
    commands: SendQueue<(Command, u64)>,
    call_commands: SendQueue<CallCommand>,
    shutdown_notice: Rc<Notify>,
    is_healthy: bool,
    idle_timeout: Duration,
    is_closing: bool,
    /// Bytes of the invocations that are being read on all connections.
    reading_bytes: Rc<Cell<usize>>,
    max_reading_bytes: usize,
    max_in_flight: usize,
    /// The number of the next connection, whether of a client, the engine or a dependency.
    next_stream: u64,
    /// Becomes true once all tasks are to stop, so that a successor can continue their work.
    freeze: watch::Sender<bool>,
    /// Connections that frozen tasks have deposited, with their records.
    frozen_connections: Vec<FrozenConnection>,
    /// Number of client connections that were closed here after the freeze.
    closed_after_freeze: usize,
    /// Records each change before its effect is visible, while the predecessor observes this
    /// process.
    journal: Option<Journal>,
    /// This process has detached from its predecessor, which may be suspended.
    is_detached: bool,
    /// Sends opened connections to the task that passes them to the predecessor.
    opened_connections: Option<mpsc::UnboundedSender<OpenedConnection>>,
    /// Commands that another process wrote to the engine connection and whose receipt the engine
    /// has not acknowledged.
    inherited_commands: Vec<(Command, u64)>,
    /// Calls of another process's router that this process's router has not taken yet.
    resumed_calls: Vec<ResumedCall>,
    /// By operation, the names of the dependencies that its calls go to; `None` where the catalogue
    /// is the only dependency.
    dependency_names: Option<Vec<Vec<Rc<str>>>>,
    /// Estimates of other instances, for this admission controller and those that replace it.
    prior_estimates: PriorEstimates,
    /// Gossip observations in the format of their file, which a successor continues with.
    pub gossip_state: Vec<u8>,
    /// The policy by lease, if enabled.
    policy: Option<policy::ActivePolicy>,
    /// This instance's quota of the fleet's call budgets, if policies are enabled.
    quota: Option<quota::QuotaSpending>,
    pub counters: Counters,
}

impl Exchange {
    /// An exchange for this configuration.
    ///
    /// # Errors
    /// The admission controller rejects a setting; the text names it.
    pub fn from_config(config: &Config) -> Result<Exchange, String> {
        Exchange::new(config.settings.clone(), config.seed, config.memory_mb)
    }

    /// An exchange with these settings of the admission controller.
    ///
    /// # Errors
    /// The admission controller rejects a setting; the text names it.
    pub fn new(settings: Settings, seed: u64, memory_mb: u64) -> Result<Exchange, String> {
        let count = settings
            .get("Classes.count")
            .and_then(|count| count.parse().ok())
            .unwrap_or(0);
        let names = (0..count).map(|index| {
            let name: &str = settings
                .get(&format!("Classes.{index}.Name"))
                .map_or("", String::as_str);
            Rc::from(name)
        });
        let names: Vec<Rc<str>> = names.collect();
        if names.is_empty() || names.iter().any(|name| name.is_empty()) {
            return Err("settings: Classes has no operation, or an operation without Name".into());
        }
        // The protocol carries no idempotency key, so a repeated invocation can't be recognised and
        // such an operation might run twice.
        let has_effect = |index: usize, effect: &str| {
            settings
                .get(&format!("Classes.{index}.Effect"))
                .is_some_and(|configured| configured == effect)
        };
        let needs_key = |index: &usize| has_effect(*index, "idempotency_key");
        if let Some(index) = (0..count).find(needs_key) {
            return Err(format!(
                "settings: Classes.{index}.Effect: this protocol carries no idempotency key"
            ));
        }
        AdmissionController::start(0.0, seed, settings.clone())
            .map_err(|error| error.to_string())?;
        let operations = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.as_bytes().to_vec(), index));
        let meters = settings.get("FamilyInfo.Meters").map_or("", String::as_str);
        let idle = settings
            .get("FamilyInfo.CallerIdleUs")
            .and_then(|us| us.parse().ok())
            .unwrap_or(0);
        Ok(Exchange {
            operations: operations.collect(),
            idempotent: (0..count)
                .map(|index| has_effect(index, "read_like"))
                .collect(),
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
            shutdown: None,
            invocations: InFlightTable::default(),
            recent_runs: RecentRuns::new(memory_mb),
            connections: ConnectionTable::default(),
            timers: TimerQueue::default(),
            timers_changed: Rc::default(),
            commands: SendQueue::default(),
            call_commands: SendQueue::default(),
            shutdown_notice: Rc::default(),
            is_healthy: true,
            is_closing: false,
            reading_bytes: Rc::default(),
            max_reading_bytes: memory_mb as usize * 1024 * 1024 / READ_MEMORY_DIVISOR,
            max_in_flight: (memory_mb as usize * 1024 / LIMIT_KILOBYTES_PER_INVOCATION).max(1),
            next_stream: 1,
            freeze: watch::Sender::new(false),
            frozen_connections: Vec::new(),
            closed_after_freeze: 0,
            journal: None,
            is_detached: false,
            opened_connections: None,
            inherited_commands: Vec::new(),
            resumed_calls: Vec::new(),
            dependency_names: None,
            prior_estimates: PriorEstimates::default(),
            gossip_state: Vec::new(),
            policy: None,
            quota: None,
            counters: Counters::default(),
        })
    }

    /// Notified when the next timer has become earlier.
    pub fn timers_changed(&self) -> Rc<Notify> {
        self.timers_changed.clone()
    }

    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next().map(|at| self.origin + at)
    }

    /// Handles all timers that are due.
    pub fn fire_timers(&mut self) {
        let now = self.origin.elapsed();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::CallTimeout(id, number) => self.call_timed_out(id, number),
                Timer::Admission(handle) => self.fire_admission_timer(handle, &BTreeMap::new()),
            }
        }
    }

    /// Begins the graceful shutdown, which was requested `elapsed` ago. The process must have exited
    /// by `deadline`. The grace counts from the request.
    pub fn begin_shutdown(&mut self, deadline: Instant, elapsed: Duration) {
        let now = Instant::now();
        let shutdown = Shutdown {
            requested_at: now.checked_sub(elapsed).unwrap_or(now),
            deadline,
        };
        self.shutdown = Some(shutdown);
        self.shutdown_notice.notify_one();
        self.decide(|controller, now| shutdown.notify(controller, now));
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Notified once, when the graceful shutdown begins.
    pub fn shutdown_notice(&self) -> Rc<Notify> {
        self.shutdown_notice.clone()
    }

    /// The admission controller's clock and estimates; `None` until the engine has been up once.
    pub fn learned_state(&self) -> Option<(f64, LearnedState)> {
        self.controller
            .as_ref()
            .map(|controller| (self.seconds(), controller.learned_state()))
    }

    /// Mean duration of recent runs over all operations, in milliseconds.
    pub fn run_ms(&self) -> Option<f64> {
        let learned = self.controller.as_ref()?.learned_state();
        let durations = || {
            learned
                .operations
                .iter()
                .flat_map(|operation| &operation.run_durations)
        };
        let count = durations().count();
        (count > 0).then(|| durations().sum::<f64>() * 1e3 / count as f64)
    }

    /// Replaces the estimates that were received from other instances.
    pub fn set_prior_estimates(&mut self, estimates: PriorEstimates) {
        if estimates != self.prior_estimates {
            if let Some(controller) = &mut self.controller {
                controller.set_prior_estimates(estimates.clone());
            }
            self.prior_estimates = estimates;
        }
    }

    pub fn in_flight(&self) -> usize {
        self.invocations.len()
    }

    /// The admission controller's clock.
    fn seconds(&self) -> f64 {
        self.epoch + self.origin.elapsed().as_secs_f64()
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) {
        if self.timers.next().is_none_or(|next| at < next) {
            self.timers_changed.notify_one();
        }
        self.timers.set(at, timer);
    }
}

/// An idle timeout within the supported range.
fn idle_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.01, 3600.0))
}

/// Milliseconds since the Unix epoch, by the wall clock.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}
