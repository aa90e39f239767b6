//! Property tests with random sequences of events. After each event these invariants are checked:
//! every call ends once, no attempt outlives its call, and no effect happens twice.

use std::collections::{BTreeMap, BTreeSet};

use merlinshelf_dependencies::{Action, AttemptOutcome, CallEnd, CallRequest, Effect, Router};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::simulation::{Random, settings};

const SETTINGS: &str = "{to: 'a', needed: true}";

#[derive(Clone, Debug)]
enum Event {
    StartCall {
        effect: Effect,
        remaining_seconds: f64,
    },
    /// One of the attempts in flight ends.
    AttemptEnds {
        index: usize,
        outcome: AttemptOutcome,
    },
    /// One of the calls is cancelled.
    CancelCall {
        index: usize,
    },
    TimePasses {
        seconds: f64,
    },
    DiscardCalls,
    /// The router of another process continues the calls. Of the attempts, only some were sent.
    HandOver {
        sent: u64,
    },
    ChangeServers {
        count: usize,
    },
}

fn effect() -> impl Strategy<Value = Effect> {
    prop_oneof![Just(Effect::Idempotent), Just(Effect::NonIdempotent)]
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::Succeeded),
        Just(AttemptOutcome::NeverSent),
        Just(AttemptOutcome::Refused),
        Just(AttemptOutcome::Unknown),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (effect(), 0.0..1.0_f64).prop_map(|(effect, remaining_seconds)| Event::StartCall {
            effect,
            remaining_seconds,
        }),
        5 => (0..50_usize, outcome())
            .prop_map(|(index, outcome)| Event::AttemptEnds { index, outcome }),
        1 => (0..50_usize).prop_map(|index| Event::CancelCall { index }),
        3 => (0.0..0.3_f64).prop_map(|seconds| Event::TimePasses { seconds }),
        1 => Just(Event::DiscardCalls),
        1 => any::<u64>().prop_map(|sent| Event::HandOver { sent }),
        1 => (1..5_usize).prop_map(|count| Event::ChangeServers { count }),
    ]
}

#[derive(Clone, Copy, Debug)]
struct AttemptInFlight {
    attempt_id: u64,
    call_id: u64,
    /// Whether `call_id` is a number of the successor already, during a handover.
    is_renumbered: bool,
}

impl AttemptInFlight {
    fn former_call(&self, former_id: u64) -> bool {
        !self.is_renumbered && self.call_id == former_id
    }
}

fn request(effect: Effect, remaining_seconds: f64) -> CallRequest<'static> {
    CallRequest {
        operation: "page",
        call_index: 0,
        named_dependency: None,
        max_wait_seconds: 1.0,
        remaining_seconds: Some(remaining_seconds),
        effect,
        payload: b"",
    }
}

/// A router, and the state expected after the events and actions so far.
struct Model {
    now: f64,
    router: Router,
    random: Random,
    calls: BTreeMap<u64, Effect>,
    attempts: Vec<AttemptInFlight>,
    /// Calls of which an attempt may have taken effect.
    may_have_run: BTreeSet<u64>,
}

impl Model {
    fn new() -> Model {
        Model {
            now: 0.0,
            router: Router::new(0.0, settings(SETTINGS), "n1"),
            random: Random::new(5),
            calls: BTreeMap::new(),
            attempts: Vec::new(),
            may_have_run: BTreeSet::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::StartCall {
                effect,
                remaining_seconds,
            } => self.start_call(effect, remaining_seconds),
            Event::AttemptEnds { index, outcome } => self.end_attempt(index, outcome),
            Event::CancelCall { index } => self.cancel_call(index),
            Event::TimePasses { seconds } => {
                self.now += seconds;
                // Hosts may handle a timeout late, but never early.
                let timeout = self.router.next_timeout();
                if timeout.is_some_and(|timeout| timeout <= self.now) {
                    self.handle_timeout();
                }
            }
            Event::DiscardCalls => {
                self.router.discard_calls();
                self.attempts.clear();
                self.calls.clear();
            }
            Event::HandOver { sent } => self.hand_over(sent),
            Event::ChangeServers { count } => {
                let mut changed = settings(SETTINGS);
                let dependency = changed
                    .dependencies
                    .get_mut("a")
                    .expect("a configured dependency");
                dependency.servers.truncate(count);
                self.router.update_config(self.now, changed);
            }
        }
    }

    fn start_call(&mut self, effect: Effect, remaining_seconds: f64) {
        let request = request(effect, remaining_seconds);
        let random = &mut self.random;
        let call_id = self
            .router
            .start_call(self.now, &request, &mut || random.next());
        self.calls.insert(call_id, effect);
    }

    /// An attempt was sent if the bit of its number modulo 64 is set in `sent`.
    fn hand_over(&mut self, sent: u64) {
        let was_sent = |attempt_id: u64| sent >> (attempt_id % 64) & 1 == 1;
        let mut successor = Router::new(self.now, settings(SETTINGS), "n1");
        let attempts = self.attempts.iter();
        let last_id = attempts.map(|attempt| attempt.attempt_id).max();
        successor.reserve_ids(last_id.unwrap_or(0));
        self.attempts.retain(|attempt| was_sent(attempt.attempt_id));
        let (mut calls, mut may_have_run) = (BTreeMap::new(), BTreeSet::new());
        for (former_id, effect) in std::mem::take(&mut self.calls) {
            let mut snapshot = self.router.call_snapshot(former_id).expect("a call");
            snapshot.retain_sent(was_sent);
            let random = &mut self.random;
            let call_id =
                successor.restore_call(self.now, &request(effect, 0.0), snapshot, &mut || {
                    random.next()
                });
            calls.insert(call_id, effect);
            if self.may_have_run.contains(&former_id) {
                may_have_run.insert(call_id);
            }
            for attempt in &mut self.attempts {
                if attempt.former_call(former_id) {
                    (attempt.call_id, attempt.is_renumbered) = (call_id, true);
                }
            }
        }
        for attempt in &mut self.attempts {
            attempt.is_renumbered = false;
        }
        (self.router, self.calls, self.may_have_run) = (successor, calls, may_have_run);
    }

    fn end_attempt(&mut self, index: usize, outcome: AttemptOutcome) {
        if self.attempts.is_empty() {
            return;
        }
        let attempt = self.attempts.remove(index % self.attempts.len());
        if outcome == AttemptOutcome::Unknown {
            self.may_have_run.insert(attempt.call_id);
        }
        // The second outcome is late and must be ignored.
        for outcome in [outcome, AttemptOutcome::Succeeded] {
            let random = &mut self.random;
            self.router
                .attempt_ended(self.now, attempt.attempt_id, outcome, b"", &mut || {
                    random.next()
                });
        }
    }

    fn cancel_call(&mut self, index: usize) {
        if self.calls.is_empty() {
            return;
        }
        let mut call_ids = self.calls.keys().copied();
        let call_id = call_ids
            .nth(index % self.calls.len())
            .expect("a call in flight");
        let random = &mut self.random;
        self.router
            .cancel_call(self.now, call_id, &mut || random.next());
        self.calls.remove(&call_id);
    }

    fn handle_timeout(&mut self) {
        let random = &mut self.random;
        self.router.handle_timeout(self.now, &mut || random.next());
    }

    fn check_actions(&mut self) -> Result<(), TestCaseError> {
        while let Some(action) = self.router.poll_action() {
            match action {
                Action::Attempt {
                    call_id,
                    attempt_id,
                    timeout_seconds,
                    ..
                } => {
                    prop_assert!(timeout_seconds > 0.0 && timeout_seconds <= 1.0);
                    self.check_attempt(call_id)?;
                    self.attempts.push(AttemptInFlight {
                        attempt_id,
                        call_id,
                        is_renumbered: false,
                    });
                }
                Action::Cancel { attempt_id } => {
                    let is_cancelled = |attempt: &AttemptInFlight| attempt.attempt_id == attempt_id;
                    let cancelled = self.attempts.iter().copied().find(is_cancelled);
                    self.attempts.retain(|attempt| !is_cancelled(attempt));
                    self.may_have_run
                        .extend(cancelled.map(|attempt| attempt.call_id));
                }
                Action::Complete { call_id, end } => self.check_end(call_id, &end)?,
            }
        }
        Ok(())
    }

    fn attempts_of(&self, call_id: u64) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|attempt| attempt.call_id == call_id)
            .count()
    }

    fn check_attempt(&self, call_id: u64) -> Result<(), TestCaseError> {
        let effect = self.calls.get(&call_id).copied();
        prop_assert!(effect.is_some(), "an attempt of a call that has ended");
        let others = self.attempts_of(call_id);
        prop_assert!(others <= 1);
        let is_safe = effect == Some(Effect::Idempotent)
            || (others == 0 && !self.may_have_run.contains(&call_id));
        prop_assert!(is_safe, "an effect may happen twice");
        Ok(())
    }

    fn check_end(&mut self, call_id: u64, end: &CallEnd) -> Result<(), TestCaseError> {
        prop_assert!(
            self.calls.remove(&call_id).is_some(),
            "a call ended twice or after its cancellation"
        );
        prop_assert_eq!(self.attempts_of(call_id), 0, "an attempt outlives its call");
        prop_assert!(
            *end != CallEnd::NeverRan || !self.may_have_run.contains(&call_id),
            "a call that may have run ended as NeverRan"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
    #[test]
    fn each_call_ends_once_and_no_effect_happens_twice(
        events in prop::collection::vec(event(), 1..200)
    ) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
            model.check_actions()?;
            prop_assert_eq!(model.router.calls_in_flight(), model.calls.len());
            let report = model.router.report();
            prop_assert_eq!(report[0].in_flight, model.attempts.len());
        }
        // All calls end by their deadlines without further events.
        model.now += 10.0;
        model.handle_timeout();
        while let Some(action) = model.router.poll_action() {
            if let Action::Complete { call_id, .. } = action {
                model.calls.remove(&call_id);
            }
        }
        prop_assert!(model.calls.is_empty());
        prop_assert_eq!(model.router.calls_in_flight(), 0);
    }
}
