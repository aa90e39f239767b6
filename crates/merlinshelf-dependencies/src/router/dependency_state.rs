//! The router's state of one dependency: its servers, limits, budgets and calls in flight.

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_quota::Remaining;

use super::call_state::{AttemptKind, CallState};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::config::{Dependency, ServerConfig};
use crate::counters::Counters;
use crate::retry_budget::RetryBudget;
use crate::samples::push_bounded;
use crate::server::Server;
use crate::server_pool::ServerPool;
use crate::wait_queue::WaitQueue;

/// Start and maximum of concurrency limits: the start does not overload a small pool of servers,
/// and no instance has more calls in flight than the maximum.
const INITIAL_LIMIT: f64 = 32.0;
const MAX_LIMIT: f64 = 4096.0;
/// Number of latest durations from which the duration of a call is predicted.
const DURATION_WINDOW: usize = 24;
/// Maximum number of concurrent probes of a dependency that fails as a whole.
const MAX_PROBES: usize = 1;
/// Seconds from the start of a probe that fails to the next one. Without a pause, probes that fail
/// immediately would follow each other as fast as calls arrive. Ten probes a second detect a
/// recovery within about a second; a successful probe is followed by the next one without a pause.
const PROBE_INTERVAL_SECONDS: f64 = 0.1;

/// Whether a call may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Granted,
    /// The call may be made once there is capacity.
    Deferred,
    Denied,
}

/// Why an attempt can't be sent to any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unavailable {
    /// All usable servers have reached their concurrency limits.
    AllFull,
    NoServer,
}

/// One dependency as seen by this instance.
#[derive(Clone, Debug)]
pub(crate) struct DependencyState {
    pub(super) config: Dependency,
    pub(crate) pool: ServerPool,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    /// Concurrency limits by server, so that a server with less capacity gets fewer calls than the
    /// pool's limit would allow.
    pub(crate) server_limits: BTreeMap<String, ConcurrencyLimit>,
    pub(crate) wait_queue: WaitQueue,
    /// Attempts in flight of all operations.
    pub(crate) in_flight: usize,
    /// Earliest time of the next probe while the dependency as a whole fails.
    next_probe_at: f64,
    /// Durations of the latest attempts that succeeded.
    durations_seconds: VecDeque<f64>,
    /// The lowest of these durations; 0 before the first one.
    pub(super) lowest_seconds: f64,
    pub(crate) counters: Counters,
    /// What remains of the fleet's budgets for calls to the dependency.
    pub(super) quota: Remaining,
}

impl DependencyState {
    pub(super) fn new(
        now: f64,
        config: &Dependency,
        servers: &[ServerConfig],
        zone: &str,
    ) -> DependencyState {
        DependencyState {
            config: config.clone(),
            pool: ServerPool::new(now, servers, zone, config.max_ejected_share),
            retry_budget: RetryBudget::default(),
            concurrency_limit: ConcurrencyLimit::new(INITIAL_LIMIT, MAX_LIMIT),
            server_limits: BTreeMap::new(),
            wait_queue: WaitQueue::default(),
            in_flight: 0,
            next_probe_at: now,
            durations_seconds: VecDeque::new(),
            lowest_seconds: 0.0,
            counters: Counters::default(),
            quota: Remaining::UNLIMITED,
        }
    }

    /// Applies new settings; servers that remain keep their state.
    pub(super) fn update_config(
        &mut self,
        now: f64,
        config: &Dependency,
        servers: &[ServerConfig],
    ) {
        self.pool.update_servers(now, servers);
        self.server_limits
            .retain(|name, _| servers.iter().any(|server| server.address == *name));
        self.config = config.clone();
    }

    /// Whether the dependency as a whole fails, by this instance's calls or by the fleet's.
    pub(super) fn is_failing(&self) -> bool {
        self.retry_budget.is_failing() || self.quota.probes_only
    }

    /// Whether the fleet's budgets allow a retry or a hedged request, which they never do to a
    /// dependency that fails for the fleet.
    pub(super) fn has_retry_quota(&self) -> bool {
        !self.quota.probes_only && self.quota.retries > 0
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.concurrency_limit.has_capacity(self.in_flight)
    }

    /// Mean duration of the latest calls that succeeded; `None` before the first one.
    pub(super) fn mean_seconds(&self) -> Option<f64> {
        let sum: f64 = self.durations_seconds.iter().sum();
        let count = self.durations_seconds.len();
        (count > 0).then(|| sum / count as f64)
    }

    /// The longest of the latest durations; 0 before the first one.
    pub(super) fn slowest_seconds(&self) -> f64 {
        self.durations_seconds.iter().copied().fold(0.0, f64::max)
    }

    /// Whether a call may be made now. While the dependency fails, admitted calls are probes.
    pub(super) fn admit(&mut self, now: f64) -> Admission {
        if self.is_failing() {
            let is_too_early = self.in_flight >= MAX_PROBES || now < self.next_probe_at;
            if is_too_early || self.quota.probes == 0 {
                return Admission::Denied;
            }
            self.next_probe_at = now + PROBE_INTERVAL_SECONDS;
            Admission::Granted
        } else if self.quota.first_calls == 0 {
            Admission::Denied
        } else if self.has_capacity() {
            Admission::Granted
        } else {
            Admission::Deferred
        }
    }

    /// Queues a call until there is capacity, or until too little time remains to make it.
    pub(super) fn enqueue(&mut self, call_id: u64, call: &mut CallState) {
        call.is_waiting = true;
        let expires_at = call.deadline - self.lowest_seconds;
        self.wait_queue.enqueue(call.operation, call_id, expires_at);
    }

    /// Picks a server that has capacity and was not tried by the call yet, and counts the attempt
    /// as in flight there.
    pub(super) fn pick_server(
        &mut self,
        now: f64,
        tried_servers: &[String],
        random: &mut dyn FnMut() -> f64,
    ) -> Result<String, Unavailable> {
        let mut excluded: Vec<usize> = tried_servers
            .iter()
            .filter_map(|name| self.pool.index_of(name))
            .collect();
        let tried_count = excluded.len();
        let servers = self.pool.servers();
        excluded.extend((0..servers.len()).filter(|index| self.is_full(&servers[*index])));
        match self.pool.pick(now, &excluded, random) {
            Some(index) => Ok(self.pool.servers()[index].name.clone()),
            None if excluded.len() > tried_count => Err(Unavailable::AllFull),
            None => Err(Unavailable::NoServer),
        }
    }

    fn is_full(&self, server: &Server) -> bool {
        server.in_flight > 0
            && self
                .server_limits
                .get(&server.name)
                .is_some_and(|limit| !limit.has_capacity(server.in_flight as usize))
    }

    /// Counts an attempt of a call as in flight, and deducts it from the fleet's budgets.
    pub(super) fn attempt_started(&mut self, call: &CallState, kind: AttemptKind) {
        self.in_flight += 1;
        self.counters.attempts += 1;
        let is_first = kind == AttemptKind::Sequential && call.tried_servers.is_empty();
        let remaining = if self.is_failing() {
            &mut self.quota.probes
        } else if is_first {
            &mut self.quota.first_calls
        } else {
            &mut self.quota.retries
        };
        *remaining = remaining.saturating_sub(1);
    }

    /// Counts a call of another router, with its attempts, as in flight. The other router has
    /// deducted them from the fleet's budgets.
    pub(super) fn call_restored(&mut self, call: &CallState) {
        self.counters.calls += 1;
        self.wait_queue.call_started(call.operation);
        for attempt in &call.attempts {
            self.in_flight += 1;
            self.pool.attempt_restored(&attempt.server);
        }
    }

    /// Records an attempt that succeeded and is no longer in flight.
    pub(super) fn record_success(&mut self, now: f64, server: &str, duration_seconds: f64) {
        self.next_probe_at = now;
        self.concurrency_limit
            .record_success(duration_seconds, self.in_flight);
        let server_in_flight = self
            .pool
            .index_of(server)
            .map_or(0, |index| self.pool.servers()[index].in_flight);
        self.server_limits
            .entry(server.to_owned())
            .or_insert_with(|| ConcurrencyLimit::new(INITIAL_LIMIT, MAX_LIMIT))
            .record_success(duration_seconds, server_in_flight as usize);
        push_bounded(
            &mut self.durations_seconds,
            duration_seconds,
            DURATION_WINDOW,
        );
        self.lowest_seconds = self
            .durations_seconds
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
    }
}
