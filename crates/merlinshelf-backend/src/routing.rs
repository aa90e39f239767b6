//! Runs the router of `merlinshelf-dependencies`: provides its clock and its randomness, maps its
//! call numbers to calls, and keeps the exchange's copies of them up to date for a successor. It outlives the task that makes the calls, so that what the router
//! has learned about servers is kept.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_dependencies::{
    Action, AttemptOutcome, CallEnd, CallRequest, Dependencies, Effect, Report, Router,
};
use merlinshelf_policy::Policy;
use merlinshelf_protocol::CallId;
use merlinshelf_quota::{CallKind, Remaining};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::exchange::{
    self, CallContext, CallDemand, CallNumber, CallOutcome, ResumedCall, monotonic_seconds,
};

/// A call: its invocation, and its number among the invocation's calls.
pub type CallKey = (CallId, CallNumber);

/// A call that the router makes.
#[derive(Clone)]
pub struct RoutedCall {
    /// The call.
    pub key: CallKey,
    /// The request.
    pub body: Rc<[u8]>,
}

/// The router of calls to dependencies, with its clock and its randomness.
pub struct Routing {
    router: Router,
    started_at: Instant,
    /// The start on the machine's monotonic clock, which is the router's, so that a successor's
    /// router has the same.
    started_at_seconds: f64,
    random: Pcg64Mcg,
    /// Calls in progress by the router's number.
    calls: HashMap<u64, RoutedCall>,
    call_ids: HashMap<CallKey, u64>,
    /// Attempts that are to be made or cancelled.
    actions: VecDeque<Action>,
    waker: Rc<Notify>,
}

/// The routing, shared by the process and its instance.
pub type SharedRouting = Rc<RefCell<Routing>>;

/// The operators' dependencies, which the policy in force overlays.
pub struct DependencyOverlay {
    /// The dependencies of the operators' file.
    pub configured: Rc<RefCell<Option<Dependencies>>>,
    /// Where calls are routed.
    pub routing: Option<SharedRouting>,
}

impl exchange::PolicyOverlay for DependencyOverlay {
    fn check(&self, policy: &Policy) -> Result<(), String> {
        policy
            .dependencies(self.configured.borrow().as_ref())
            .map(|_| ())
            .map_err(|mismatch| mismatch.to_string())
    }

    fn apply(&self, policy: &Policy) {
        let overlaid = policy.dependencies(self.configured.borrow().as_ref());
        if let (Some(routing), Ok(Some(dependencies))) = (&self.routing, overlaid) {
            routing.borrow_mut().update_config(dependencies);
        }
    }
}

impl Routing {
    /// Routing with these settings, for the instance of this name.
    pub fn new(dependencies: Dependencies, instance: &str, seed: u64) -> Routing {
        let started_at_seconds = monotonic_seconds();
        Routing {
            router: Router::new(started_at_seconds, dependencies, instance),
            started_at: Instant::now(),
            started_at_seconds,
            random: Pcg64Mcg::seed_from_u64(seed),
            calls: HashMap::new(),
            call_ids: HashMap::new(),
            actions: VecDeque::new(),
            waker: Rc::default(),
        }
    }

    /// Seconds on the router's clock.
    fn now(&self) -> f64 {
        self.started_at_seconds + self.started_at.elapsed().as_secs_f64()
    }

    /// Applies new settings.
    pub fn update_config(&mut self, dependencies: Dependencies) {
        self.router.update_config(self.now(), dependencies);
    }

    /// The dependencies of an operation's calls, by index. Clients are notified of missing ones.
    pub fn dependencies_of_operation(&self, operation: &str) -> Vec<Rc<str>> {
        self.router
            .dependencies_of_operation(operation)
            .into_iter()
            .map(Rc::from)
            .collect()
    }

    /// Reports of all dependencies.
    pub fn report(&self) -> Vec<Report> {
        self.router.report()
    }

    /// Notified when there is an action.
    pub fn waker(&self) -> Rc<Notify> {
        self.waker.clone()
    }

    /// When [`handle_timeout`](Routing::handle_timeout) must be called.
    pub fn next_timeout(&self) -> Option<Instant> {
        let seconds = self.router.next_timeout()? - self.started_at_seconds;
        let timeout = Duration::from_secs_f64(seconds.max(0.0));
        // Rounded up: if called too early, the router would find nothing due, and the task would
        // not sleep.
        Some(self.started_at + timeout + Duration::from_micros(1))
    }

    /// The next attempt to be made or cancelled.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Puts back an attempt that there was no capacity for, as the next action.
    pub fn requeue_action(&mut self, action: Action) {
        self.actions.push_front(action);
    }

    /// Whether the router makes that call.
    pub fn routes_call(&self, context: &CallContext) -> bool {
        self.router.routes_call(
            &context.operation,
            context.call_index,
            context.named_dependency.as_deref(),
        )
    }

    /// Starts a call that may take at most `max_wait_seconds`.
    pub fn start_call(
        &mut self,
        exchange: &exchange::Shared,
        key: CallKey,
        max_wait_seconds: f64,
        body: &Rc<[u8]>,
        context: &CallContext,
    ) {
        let request = call_request(context, max_wait_seconds, body);
        let dependency = self
            .router
            .dependency_of_call(
                request.operation,
                request.call_index,
                request.named_dependency,
            )
            .map(str::to_owned);
        let demand = CallDemand {
            wants_call: true,
            wants_retry: false,
        };
        self.renew_quotas(exchange, dependency.as_deref(), demand);
        if let Some(name) = &dependency {
            let kind = self.first_call_kind(name);
            exchange
                .borrow_mut()
                .record_dependency_call(name, Some(kind), None);
        }
        let now = self.now();
        let random = &mut self.random;
        let call_id = self
            .router
            .start_call(now, &request, &mut || random.random());
        self.insert_call(call_id, key, body);
        self.process_actions(exchange, None);
    }

    fn insert_call(&mut self, call_id: u64, key: CallKey, body: &Rc<[u8]>) {
        let call = RoutedCall {
            key,
            body: body.clone(),
        };
        self.calls.insert(call_id, call);
        self.call_ids.insert(key, call_id);
    }

    /// Continues calls of another process's router. Their attempts in flight keep their numbers.
    pub fn resume_calls(&mut self, exchange: &exchange::Shared, calls: &[ResumedCall]) {
        self.renew_quotas(exchange, None, CallDemand::default());
        let attempts = calls.iter().flat_map(|call| &call.snapshot.attempts);
        let last_id = attempts.map(|attempt| attempt.attempt_id).max();
        self.router.reserve_ids(last_id.unwrap_or(0));
        for call in calls {
            let now = self.now();
            let random = &mut self.random;
            let request = call_request(&call.context, call.timeout_seconds, &call.body);
            let call_id =
                self.router
                    .restore_call(now, &request, call.snapshot.clone(), &mut || {
                        random.random()
                    });
            self.insert_call(call_id, (call.id, call.number), &call.body);
        }
        self.process_actions(exchange, None);
    }

    /// Whether the router awaits the outcome of this attempt.
    pub fn awaits_attempt(&self, attempt_id: u64) -> bool {
        self.router.dependency_of_attempt(attempt_id).is_some()
    }

    /// The kind of a first call: to a failing dependency it is a probe.
    fn first_call_kind(&mut self, dependency: &str) -> CallKind {
        let usage = self.router.update_quota(dependency, Remaining::UNLIMITED);
        let is_failing = usage.is_some_and(|usage| {
            self.router.update_quota(dependency, usage.unused);
            usage.is_failing || usage.unused.probes_only
        });
        if is_failing {
            CallKind::Probe
        } else {
            CallKind::FirstCall
        }
    }

    /// Reports the end of an attempt to the router.
    pub fn attempt_ended(
        &mut self,
        exchange: &exchange::Shared,
        attempt_id: u64,
        result: &CallOutcome,
    ) {
        let (outcome, reply): (AttemptOutcome, &[u8]) = match result {
            CallOutcome::Succeeded(reply) => (AttemptOutcome::Succeeded, reply),
            CallOutcome::NeverRan => (AttemptOutcome::Refused, b""),
            CallOutcome::Failed | CallOutcome::Degraded { .. } => (AttemptOutcome::Unknown, b""),
        };
        let succeeded = outcome == AttemptOutcome::Succeeded;
        let dependency = self
            .router
            .dependency_of_attempt(attempt_id)
            .map(str::to_owned);
        if let Some(name) = &dependency {
            let retry = (!succeeded).then_some(CallKind::Retry);
            exchange
                .borrow_mut()
                .record_dependency_call(name, retry, Some(succeeded));
        }
        let demand = CallDemand {
            wants_call: false,
            wants_retry: !succeeded,
        };
        self.renew_quotas(exchange, dependency.as_deref(), demand);
        let now = self.now();
        let random = &mut self.random;
        self.router
            .attempt_ended(now, attempt_id, outcome, reply, &mut || random.random());
        self.process_actions(exchange, Some(result));
    }

    /// Cancels a call whose outcome is no longer needed, if the router makes it.
    pub fn cancel_call(&mut self, exchange: &exchange::Shared, key: CallKey) {
        let Some(cancelled) = self.call_ids.remove(&key) else {
            return;
        };
        self.calls.remove(&cancelled);
        self.renew_quotas(exchange, None, CallDemand::default());
        let now = self.now();
        let random = &mut self.random;
        self.router
            .cancel_call(now, cancelled, &mut || random.random());
        // Its attempts that have not been made yet are dropped.
        self.actions.retain(|action| match action {
            Action::Attempt { call_id, .. } => *call_id != cancelled,
            Action::Cancel { .. } | Action::Complete { .. } => true,
        });
        self.process_actions(exchange, None);
    }

    /// Advances the router; must be called at [`next_timeout`](Routing::next_timeout).
    pub fn handle_timeout(&mut self, exchange: &exchange::Shared) {
        self.renew_quotas(exchange, None, CallDemand::default());
        let now = self.now();
        let random = &mut self.random;
        self.router.handle_timeout(now, &mut || random.random());
        self.process_actions(exchange, None);
    }

    /// Drops all calls, since a successor continues them.
    pub fn discard_calls(&mut self) {
        self.router.discard_calls();
        self.calls.clear();
        self.call_ids.clear();
        self.actions.clear();
    }

    /// The dependency that an attempt in flight was sent to.
    pub fn dependency_of_attempt(&self, attempt_id: u64) -> Rc<str> {
        Rc::from(
            self.router
                .dependency_of_attempt(attempt_id)
                .unwrap_or_default(),
        )
    }

    /// A call by the router's number.
    pub fn call(&self, call_id: u64) -> Option<RoutedCall> {
        self.calls.get(&call_id).cloned()
    }

    /// Updates the router's quotas to what the fleet's budgets leave. `demand` is that of
    /// `dependency`.
    fn renew_quotas(
        &mut self,
        exchange: &exchange::Shared,
        dependency: Option<&str>,
        demand: CallDemand,
    ) {
        let mut exchange = exchange.borrow_mut();
        for name in exchange.limited_dependencies() {
            let Some(usage) = self.router.update_quota(&name, Remaining::UNLIMITED) else {
                continue;
            };
            let demand = if dependency == Some(name.as_str()) {
                demand
            } else {
                CallDemand::default()
            };
            let quota = exchange
                .update_quota(&name, usage.unused, usage.is_failing, demand)
                .unwrap_or(Remaining::UNLIMITED);
            self.router.update_quota(&name, quota);
        }
    }

    /// Reports calls that ended, and queues attempts. Ends are reported at once, so that the
    /// changes of a reply and the end of its connection can be journaled together.
    fn process_actions(&mut self, exchange: &exchange::Shared, result: Option<&CallOutcome>) {
        while let Some(action) = self.router.poll_action() {
            let Action::Complete { call_id, end } = action else {
                self.actions.push_back(action);
                self.waker.notify_one();
                continue;
            };
            let Some(call) = self.calls.remove(&call_id) else {
                continue;
            };
            self.call_ids.remove(&call.key);
            let (id, number) = call.key;
            let outcome = call_outcome(end, result);
            exchange.borrow_mut().call_ended(id, number, outcome);
        }
        self.update_snapshots(exchange);
    }

    /// Replaces the exchange's snapshots of the calls that have changed.
    fn update_snapshots(&mut self, exchange: &exchange::Shared) {
        for call_id in self.router.take_changed_calls() {
            let snapshot = self.router.call_snapshot(call_id);
            if let Some((call, snapshot)) = self.calls.get(&call_id).zip(snapshot) {
                let (id, number) = call.key;
                exchange
                    .borrow_mut()
                    .set_call_snapshot(id, number, snapshot);
            }
        }
    }
}

fn call_request<'a>(
    context: &'a CallContext,
    max_wait_seconds: f64,
    payload: &'a [u8],
) -> CallRequest<'a> {
    CallRequest {
        operation: &context.operation,
        call_index: context.call_index,
        named_dependency: context.named_dependency.as_deref(),
        max_wait_seconds,
        remaining_seconds: context.caller_timeout,
        effect: if context.is_idempotent {
            Effect::Idempotent
        } else {
            Effect::NonIdempotent
        },
        payload,
    }
}

/// The outcome of a call, from its end and the result of the attempt that ended it.
fn call_outcome(end: CallEnd, result: Option<&CallOutcome>) -> CallOutcome {
    match (end, result) {
        (CallEnd::Reply { missing: None }, Some(result)) => result.clone(),
        (
            CallEnd::Reply {
                missing: Some(missing),
            },
            Some(CallOutcome::Succeeded(reply)),
        ) => CallOutcome::Degraded {
            reply: Some(reply.clone()),
            missing: missing.into(),
        },
        (CallEnd::Degraded { bytes, missing }, _) => CallOutcome::Degraded {
            reply: bytes.map(Rc::from),
            missing: missing.into(),
        },
        (CallEnd::NeverRan, _) => CallOutcome::NeverRan,
        (CallEnd::Failed | CallEnd::Reply { .. }, _) => CallOutcome::Failed,
    }
}
