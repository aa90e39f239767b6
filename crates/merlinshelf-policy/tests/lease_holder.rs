//! An instance's lease under a script of heartbeats.

use merlinshelf_policy::messages::{Heartbeat, LeaseGrant};
use merlinshelf_policy::{EffectivePolicy, LeaseExpiryMode, LeaseHolder, Policy, PolicyRejection};

const INCARNATION: u64 = 7;
const OTHER_INCARNATION: u64 = 8;

/// A heartbeat of the script; by default without an offer, a fence or a grant.
#[derive(Default)]
struct Input {
    incarnation: u64,
    offered_version: Option<u64>,
    fence_version: u64,
    grant: Option<LeaseGrant>,
}

impl Input {
    fn for_incarnation(incarnation: u64) -> Input {
        Input {
            incarnation,
            ..Input::default()
        }
    }

    fn offer(self, version: u64) -> Input {
        Input {
            offered_version: Some(version),
            ..self
        }
    }

    fn fence(self, version: u64) -> Input {
        Input {
            fence_version: version,
            ..self
        }
    }

    fn grant(self, version: u64, requested_at: f64) -> Input {
        Input {
            grant: Some(LeaseGrant {
                version,
                requested_at,
                duration_seconds: 2.0,
            }),
            ..self
        }
    }

    fn heartbeat(self) -> Heartbeat {
        let policy = |version: u64| Policy {
            call_share: Some(version as f64),
            ..Policy::default()
        };
        Heartbeat {
            incarnation: self.incarnation,
            offered_policy: self
                .offered_version
                .map(|version| (version, policy(version)).into()),
            fence_version: self.fence_version,
            grant: self.grant,
            quota_grants: None,
        }
    }
}

/// A heartbeat that an instance handles at a time of its clock, in seconds.
struct Step {
    label: &'static str,
    now: f64,
    input: Input,
}

fn step(label: &'static str, now: f64, input: Input) -> Step {
    Step { label, now, input }
}

fn to_instance() -> Input {
    Input::for_incarnation(INCARNATION)
}

fn script() -> Vec<Step> {
    vec![
        step(
            "for an unknown incarnation",
            0.0,
            Input::for_incarnation(0).offer(1).grant(1, 0.0),
        ),
        step(
            "grant without its document",
            0.1,
            to_instance().grant(1, 0.0),
        ),
        step(
            "grant with its document",
            0.2,
            to_instance().offer(1).grant(1, 0.1),
        ),
        step("renewed", 1.0, to_instance().grant(1, 0.9)),
        step("delayed older grant", 1.1, to_instance().grant(1, 0.2)),
        step(
            "for another incarnation",
            1.2,
            Input::for_incarnation(OTHER_INCARNATION).fence(1),
        ),
        step("expired", 2.9, Input::for_incarnation(0)),
        step(
            "renewed after a pause",
            3.0,
            to_instance().offer(2).grant(1, 2.9),
        ),
        step("fenced", 3.1, to_instance().fence(1)),
        step(
            "grant of a fenced version",
            3.2,
            to_instance().grant(1, 3.1),
        ),
        step(
            "grant of the next version",
            3.3,
            to_instance().grant(2, 3.2),
        ),
        step("offer that is rejected", 3.4, to_instance().offer(3)),
        step(
            "grant of a rejected version",
            3.5,
            to_instance().grant(3, 3.4),
        ),
        step(
            "grant read minutes later",
            300.0,
            to_instance().grant(2, 3.5),
        ),
        step(
            "grant requested in the future",
            300.1,
            to_instance().grant(2, 400.0),
        ),
    ]
}

/// Runs the script and records the effective policy and the status after each heartbeat.
#[test]
fn an_instance_acts_on_its_lease_and_never_on_a_delayed_grant() {
    let mut holder = LeaseHolder::new(
        INCARNATION,
        Policy::default(),
        LeaseExpiryMode::BasePolicy,
        0.01,
    );
    let mut lines = Vec::new();
    for Step { label, now, input } in script() {
        let status = holder.handle_heartbeat(now, input.heartbeat(), |policy| {
            if policy.call_share.is_some_and(|share| share < 3.0) {
                Ok(())
            } else {
                Err(PolicyRejection::from("no room".to_owned()))
            }
        });
        lines.push(format!(
            "{now:>5} {label}: {:?}, fenced {}, knows {:?}, rejected {:?}, {:.2} s remaining",
            holder.effective_policy(now),
            status.fenced_version,
            status.known_versions,
            status
                .rejected_version
                .map(|rejected| (rejected.version, rejected.reason)),
            status.lease_remaining_seconds
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_handover_moves_the_lease_to_the_successor_even_if_it_is_aborted() {
    let new_holder = |incarnation| {
        LeaseHolder::new(
            incarnation,
            Policy::default(),
            LeaseExpiryMode::RejectAll,
            0.01,
        )
    };
    let mut predecessor = new_holder(INCARNATION);
    assert_eq!(
        predecessor.effective_policy(0.0),
        EffectivePolicy::RejectAll
    );
    assert!(!predecessor.is_ready());
    let heartbeat = Input::for_incarnation(INCARNATION)
        .offer(1)
        .grant(1, 0.0)
        .heartbeat();
    predecessor.handle_heartbeat(0.1, heartbeat, |_| Ok(()));
    assert_eq!(
        predecessor.effective_policy(0.2),
        EffectivePolicy::Leased(1)
    );
    assert!(predecessor.is_ready());

    let state = predecessor.begin_handover(OTHER_INCARNATION);
    assert_eq!(
        predecessor.effective_policy(0.2),
        EffectivePolicy::RejectAll,
        "the handover may be aborted long after the successor fenced the version"
    );
    let mut successor = new_holder(9);
    successor.resume(state);
    assert_eq!(successor.effective_policy(0.3), EffectivePolicy::Leased(1));
    assert_eq!(successor.effective_policy(2.0), EffectivePolicy::RejectAll);

    // A heartbeat that was in flight to the predecessor has no effect on either process.
    let late = || {
        Input::for_incarnation(INCARNATION)
            .grant(1, 1.0)
            .heartbeat()
    };
    let status = successor.handle_heartbeat(1.9, late(), |_| Ok(()));
    assert_eq!(
        status.lease_remaining_seconds,
        successor.status(1.9).lease_remaining_seconds
    );
    predecessor.handle_heartbeat(1.9, late(), |_| Ok(()));
    assert_eq!(
        predecessor.effective_policy(1.9),
        EffectivePolicy::RejectAll
    );
}
