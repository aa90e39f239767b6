//! Calls that a successor's router continues.

use merlinshelf_dependencies::{
    Action, AttemptOutcome, CallEnd, CallRequest, CallSnapshot, Effect, Router,
};

use crate::simulation::settings;

const SETTINGS: &str = "{to: 'c', needed: true}, {to: 'a'}";

fn request(effect: Effect) -> CallRequest<'static> {
    CallRequest {
        operation: "page",
        call_index: 0,
        named_dependency: None,
        max_wait_seconds: 1.0,
        remaining_seconds: Some(1.0),
        effect,
        payload: b"q",
    }
}

/// A router with a call in progress, and the server of its latest attempt.
struct Routed {
    router: Router,
    call_id: u64,
    attempt_id: u64,
    server: String,
}

impl Routed {
    fn start(effect: Effect) -> Routed {
        let mut router = Router::new(0.0, settings(SETTINGS), "n1");
        let call_id = router.start_call(0.0, &request(effect), &mut || 0.0);
        Routed::with_attempt(router, call_id)
    }

    /// Takes the attempt that the router makes now.
    fn with_attempt(mut router: Router, call_id: u64) -> Routed {
        match router.poll_action() {
            Some(Action::Attempt {
                attempt_id, server, ..
            }) => Routed {
                router,
                call_id,
                attempt_id,
                server,
            },
            other => panic!("{other:?} instead of an attempt"),
        }
    }

    fn end_attempt(&mut self, now: f64, outcome: AttemptOutcome) {
        self.router
            .attempt_ended(now, self.attempt_id, outcome, b"good", &mut || 0.0);
    }

    /// Lets the attempts fail until one is made at the fallback dependency.
    fn fail_until_fallback(mut self, outcome: AttemptOutcome) -> Routed {
        while !is_server_of_fallback(&self.server) {
            self.end_attempt(0.0, outcome);
            self = Routed::with_attempt(self.router, self.call_id);
        }
        self
    }

    fn snapshot(&self) -> CallSnapshot {
        self.router.call_snapshot(self.call_id).expect("a call")
    }

    fn end(&mut self) -> Option<CallEnd> {
        match self.router.poll_action() {
            Some(Action::Complete { end, .. }) => Some(end),
            _ => None,
        }
    }
}

/// The servers of `b`, the fallback of `c`, have ports from 11.
fn is_server_of_fallback(server: &str) -> bool {
    server.contains(":1")
}

/// A successor's router with the call.
fn successor(settings_text: &str, effect: Effect, snapshot: CallSnapshot) -> (Router, u64) {
    let mut router = Router::new(0.0, settings(settings_text), "n1");
    let attempts = snapshot.attempts.iter();
    let last_id = attempts.map(|attempt| attempt.attempt_id).max();
    router.reserve_ids(last_id.unwrap_or(0));
    let call_id = router.restore_call(0.1, &request(effect), snapshot, &mut || 0.0);
    (router, call_id)
}

fn continued(call: &Routed, settings_text: &str) -> Routed {
    let (router, call_id) = successor(settings_text, Effect::Idempotent, call.snapshot());
    Routed {
        router,
        call_id,
        attempt_id: call.attempt_id,
        server: call.server.clone(),
    }
}

fn marked() -> Option<CallEnd> {
    Some(CallEnd::Reply {
        missing: Some("c".into()),
    })
}

#[test]
fn reply_of_a_fallback_dependency_is_marked_by_the_successor() {
    let call = Routed::start(Effect::Idempotent).fail_until_fallback(AttemptOutcome::Refused);
    let mut continued = continued(&call, SETTINGS);
    continued.end_attempt(0.2, AttemptOutcome::Succeeded);
    assert_eq!(continued.end(), marked());
    assert_eq!(continued.router.calls_in_flight(), 0);
}

/// The mark names what the predecessor's settings named, also if the successor's name something else.
#[test]
fn reply_of_a_fallback_dependency_is_marked_under_changed_settings() {
    let call = Routed::start(Effect::Idempotent).fail_until_fallback(AttemptOutcome::Refused);
    let mut continued = continued(&call, "{to: 'a'}");
    continued.end_attempt(0.2, AttemptOutcome::Succeeded);
    assert_eq!(continued.end(), marked());
}

#[test]
fn failed_attempt_is_retried_at_another_server_by_the_successor() {
    let call = Routed::start(Effect::Idempotent);
    let mut continued = continued(&call, SETTINGS);
    continued.end_attempt(0.2, AttemptOutcome::Refused);
    let retried = Routed::with_attempt(continued.router, continued.call_id);
    assert!(retried.attempt_id > call.attempt_id);
    assert_ne!(retried.server, call.server);
}

#[test]
fn deadline_of_the_predecessor_stays_in_force() {
    let call = Routed::start(Effect::Idempotent);
    let deadline = call.snapshot().deadline_at;
    let (mut router, _) = successor(SETTINGS, Effect::Idempotent, call.snapshot());
    while let Some(timeout) = router.next_timeout() {
        assert!(timeout <= deadline, "{timeout} after {deadline}");
        router.handle_timeout(timeout, &mut || 0.0);
    }
    assert_eq!(router.calls_in_flight(), 0);
}

/// An attempt that may have had its effect must not be followed by another, whichever process makes it.
#[test]
fn call_that_may_have_run_is_not_repeated_by_the_successor() {
    let call = Routed::start(Effect::NonIdempotent);
    let (router, call_id) = successor(SETTINGS, Effect::NonIdempotent, call.snapshot());
    let mut continued = Routed {
        router,
        call_id,
        ..call
    };
    continued.end_attempt(0.2, AttemptOutcome::Unknown);
    assert_eq!(continued.end(), Some(CallEnd::Failed));
}

/// An attempt that was decided on but not sent is made again, at the same dependency.
#[test]
fn unsent_attempt_is_made_by_the_successor() {
    let call = Routed::start(Effect::NonIdempotent).fail_until_fallback(AttemptOutcome::Refused);
    let mut snapshot = call.snapshot();
    snapshot.retain_sent(|_| false);
    let (router, call_id) = successor(SETTINGS, Effect::NonIdempotent, snapshot);
    let mut continued = Routed::with_attempt(router, call_id);
    assert!(is_server_of_fallback(&continued.server));
    continued.end_attempt(0.2, AttemptOutcome::Succeeded);
    assert_eq!(continued.end(), marked());
}
