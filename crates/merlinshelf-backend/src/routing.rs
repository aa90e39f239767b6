//! Carries out what `merlinshelf-dependencies` decides of calls below: keeps its clock and chance, and which call has which ticket.
//! It outlives the part that makes calls, so that what is known of servers does.

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

use crate::exchange::{self, CallContext, CallDemand, CallNumber, CallOutcome};

/// One call: its invocation, and which of its calls it is.
pub type CallKey = (CallId, CallNumber);

pub struct Routing {
    router: Router,
    began: Instant,
    chance: Pcg64Mcg,
    /// By ticket, with what is asked.
    calls: HashMap<u64, (CallKey, Rc<[u8]>)>,
    tickets: HashMap<CallKey, u64>,
    /// Attempts to be made and given up.
    todo: VecDeque<Action>,
    wake: Rc<Notify>,
}

pub type Shared = Rc<RefCell<Routing>>;

/// The operators' dependencies, and the policy that is laid over them.
pub struct LaidOver {
    /// As the operators' file has them.
    pub own: Rc<RefCell<Option<Dependencies>>>,
    pub routing: Option<Shared>,
}

impl exchange::PolicyOverlay for LaidOver {
    fn fits(&self, policy: &Policy) -> Result<(), String> {
        policy
            .dependencies(self.own.borrow().as_ref())
            .map(|_| ())
            .map_err(|mismatch| mismatch.to_string())
    }

    fn lay(&self, policy: &Policy) {
        if let (Some(routing), Ok(Some(wanted))) = (
            &self.routing,
            policy.dependencies(self.own.borrow().as_ref()),
        ) {
            routing.borrow_mut().replace(wanted);
        }
    }
}

impl Routing {
    pub fn new(wanted: Dependencies, name: &str, seed: u64) -> Routing {
        Routing {
            router: Router::new(0.0, wanted, name),
            began: Instant::now(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            calls: HashMap::new(),
            tickets: HashMap::new(),
            todo: VecDeque::new(),
            wake: Rc::default(),
        }
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Other lists and settings from here on.
    pub fn replace(&mut self, wanted: Dependencies) {
        self.router.update_config(self.now(), wanted);
    }

    /// By place, what each call of an operation is called: told to callers where it is missing.
    pub fn parts(&self, operation: &str) -> Vec<Rc<str>> {
        self.router
            .dependencies_of_operation(operation)
            .into_iter()
            .map(Rc::from)
            .collect()
    }

    pub fn report(&self) -> Vec<Report> {
        self.router.report()
    }

    /// Told when there is something to do.
    pub fn wake(&self) -> Rc<Notify> {
        self.wake.clone()
    }

    pub fn wake_at(&self) -> Option<Instant> {
        let at = self.router.next_timeout()?;
        // A moment late rather than early: woken early it would ask for the same moment again.
        Some(self.began + Duration::from_secs_f64(at.max(0.0)) + Duration::from_micros(1))
    }

    /// The next attempt to be made or given up.
    pub fn next(&mut self) -> Option<Action> {
        self.todo.pop_front()
    }

    /// There was no room for it yet.
    pub fn put_back(&mut self, step: Action) {
        self.todo.push_front(step);
    }

    /// Whether that call is the router's to make.
    pub fn knows(&self, wanted: &CallContext) -> bool {
        self.router.routes_call(
            &wanted.operation,
            wanted.call_index,
            wanted.named_dependency.as_deref(),
        )
    }

    /// A call is wanted.
    pub fn ask(
        &mut self,
        exchange: &exchange::Shared,
        key: CallKey,
        wait: f64,
        question: &Rc<[u8]>,
        wanted: &CallContext,
    ) {
        let ask = CallRequest {
            operation: &wanted.operation,
            call_index: wanted.call_index,
            named_dependency: wanted.named_dependency.as_deref(),
            max_wait_seconds: wait,
            remaining_seconds: wanted.caller_timeout,
            effect: if wanted.is_idempotent {
                Effect::Idempotent
            } else {
                Effect::NonIdempotent
            },
            payload: question,
        };
        let of = self
            .router
            .dependency_of_call(ask.operation, ask.call_index, ask.named_dependency)
            .map(str::to_owned);
        self.lay_budgets(
            exchange,
            of.as_deref(),
            CallDemand {
                wants_call: true,
                wants_retry: false,
            },
        );
        if let Some(name) = &of {
            let usage = self.router.update_quota(name, Remaining::ALL);
            let failing = usage.is_some_and(|usage| {
                self.router.update_quota(name, usage.unused);
                usage.is_failing || usage.unused.probes_only
            });
            let kind = if failing {
                CallKind::Probe
            } else {
                CallKind::FirstCall
            };
            exchange
                .borrow_mut()
                .note_dependency_call(name, Some(kind), None);
        }
        let (now, chance) = (self.now(), &mut self.chance);
        let ticket = self.router.start_call(now, &ask, &mut || chance.random());
        self.calls.insert(ticket, (key, question.clone()));
        self.tickets.insert(key, ticket);
        self.follow(exchange, None);
    }

    /// An attempt has ended.
    pub fn ended(&mut self, exchange: &exchange::Shared, attempt: u64, called: &CallOutcome) {
        let (ended, reply): (AttemptOutcome, &[u8]) = match called {
            CallOutcome::Succeeded(reply) => (AttemptOutcome::Succeeded, reply),
            CallOutcome::NeverRan => (AttemptOutcome::Refused, b""),
            CallOutcome::Failed | CallOutcome::Degraded { .. } => (AttemptOutcome::Unknown, b""),
        };
        let again = ended != AttemptOutcome::Succeeded;
        let of = self
            .router
            .dependency_of_attempt(attempt)
            .map(str::to_owned);
        if let Some(name) = &of {
            exchange.borrow_mut().note_dependency_call(
                name,
                again.then_some(CallKind::Retry),
                Some(!again),
            );
        }
        self.lay_budgets(
            exchange,
            of.as_deref(),
            CallDemand {
                wants_call: false,
                wants_retry: again,
            },
        );
        let (now, chance) = (self.now(), &mut self.chance);
        self.router
            .attempt_ended(now, attempt, ended, reply, &mut || chance.random());
        self.follow(exchange, Some(called));
    }

    /// Nobody waits for that call any more. False: it is none of these.
    pub fn give_up(&mut self, exchange: &exchange::Shared, key: CallKey) -> bool {
        let Some(ticket) = self.tickets.remove(&key) else {
            return false;
        };
        self.calls.remove(&ticket);
        self.lay_budgets(exchange, None, CallDemand::default());
        let (now, chance) = (self.now(), &mut self.chance);
        self.router
            .cancel_call(now, ticket, &mut || chance.random());
        // An attempt of it that has not been made yet need not be.
        self.todo
            .retain(|step| !matches!(step, Action::Attempt { call_id, .. } if *call_id == ticket));
        self.follow(exchange, None);
        true
    }

    pub fn woken(&mut self, exchange: &exchange::Shared) {
        self.lay_budgets(exchange, None, CallDemand::default());
        let (now, chance) = (self.now(), &mut self.chance);
        self.router.handle_timeout(now, &mut || chance.random());
        self.follow(exchange, None);
    }

    /// Everything stops where it stands.
    pub fn forget_open(&mut self) {
        self.router.discard_calls();
        (self.calls, self.tickets, self.todo) = Default::default();
    }

    /// The dependency that an open attempt is at.
    pub fn dependency_of(&self, attempt: u64) -> Rc<str> {
        Rc::from(
            self.router
                .dependency_of_attempt(attempt)
                .unwrap_or_default(),
        )
    }

    /// The call whose attempt it is, and what is asked.
    pub fn call_of(&self, ticket: u64) -> Option<(CallKey, Rc<[u8]>)> {
        self.calls.get(&ticket).cloned()
    }

    /// Tells the router what the fleet's budgets leave; of one dependency something may be wanted now.
    fn lay_budgets(
        &mut self,
        exchange: &exchange::Shared,
        wanted: Option<&str>,
        wanting: CallDemand,
    ) {
        let mut exchange = exchange.borrow_mut();
        for name in exchange.limited_dependencies() {
            let Some(usage) = self.router.update_quota(&name, Remaining::ALL) else {
                continue;
            };
            let wanting = if wanted == Some(name.as_str()) {
                wanting
            } else {
                CallDemand::default()
            };
            self.router.update_quota(
                &name,
                exchange
                    .renew_quota(&name, usage.unused, usage.is_failing, wanting)
                    .unwrap_or(Remaining::ALL),
            );
        }
    }

    /// Ends are told at once, so that what a reply changes and that its line is gone can be noted together.
    fn follow(&mut self, exchange: &exchange::Shared, called: Option<&CallOutcome>) {
        while let Some(step) = self.router.poll_action() {
            let Action::Complete {
                call_id: ticket,
                end,
            } = step
            else {
                self.todo.push_back(step);
                self.wake.notify_one();
                continue;
            };
            let Some(((id, number), _)) = self.calls.remove(&ticket) else {
                continue;
            };
            self.tickets.remove(&(id, number));
            let end = match (end, called) {
                (CallEnd::Reply { missing: None }, Some(called)) => called.clone(),
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
            };
            exchange.borrow_mut().call_ended(id, number, end);
        }
    }
}
