//! Applying log entries to the replicated state.

use merlinshelf_policy::replicated_state::ReplicatedEvent;
use merlinshelf_policy::{Bootstrap, Entry, Policy, ReplicatedState};

fn propose(change_id: &str) -> Entry {
    Entry::Propose {
        change_id: change_id.into(),
        policy: Box::new(Policy {
            note: "the 1th".into(),
            call_share: Some(2.0),
            ..Policy::default()
        }),
        proposed_by: "a".into(),
        proposed_at: 0.0,
    }
}

fn decide(version: u64, accepted: bool) -> Entry {
    Entry::Decide {
        version,
        accepted,
        rejections: vec![],
    }
}

fn bootstrapped_state() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    state.apply(Entry::Bootstrap(Bootstrap {
        lease_ms: 2000,
        base_fingerprint: Policy::default().fingerprint(),
    }));
    state
}

#[test]
fn an_installation_is_bootstrapped_once_and_before_any_change() {
    let mut state = ReplicatedState::default();
    assert_eq!(
        state.apply(propose("early")),
        None,
        "a proposal before the bootstrap has no effect"
    );
    let bootstrap = Bootstrap {
        lease_ms: 2000,
        base_fingerprint: Policy::default().fingerprint(),
    };
    assert_eq!(
        state.apply(Entry::Bootstrap(bootstrap.clone())),
        Some(ReplicatedEvent::Bootstrapped(bootstrap))
    );
    assert_eq!(state.apply(Entry::Bootstrap(Bootstrap::default())), None);
}

#[test]
fn a_repeated_proposal_has_no_effect_and_a_concurrent_one_is_rejected() {
    let mut state = bootstrapped_state();
    assert_eq!(
        state.apply(propose("one")),
        Some(ReplicatedEvent::Proposed { version: 1 })
    );
    assert_eq!(state.apply(propose("one")), None);
    assert_eq!(
        state.apply(propose("two")),
        Some(ReplicatedEvent::Decided {
            version: 2,
            accepted: false
        })
    );
    assert_eq!(state.fence_version(), 0);
    assert_eq!(
        state.outcome("two").map(|completed| completed.version),
        Some(2)
    );
}

#[test]
fn only_the_first_decision_and_activation_of_a_change_take_effect() {
    let mut state = bootstrapped_state();
    state.apply(propose("one"));
    state.apply(propose("two"));
    assert_eq!(
        state.apply(decide(1, true)),
        Some(ReplicatedEvent::Decided {
            version: 1,
            accepted: true
        })
    );
    assert_eq!(
        state.apply(decide(1, false)),
        None,
        "only the first decision counts"
    );
    assert_eq!(
        state.apply(Entry::Activate { version: 1 }),
        Some(ReplicatedEvent::Committed { version: 1 })
    );
    assert_eq!(state.current_version, 1);
    assert_eq!(state.fence_version(), 0);
    assert_eq!(state.apply(Entry::Activate { version: 1 }), None);
    assert_eq!(
        state.outcome("two").map(|completed| completed.version),
        Some(2)
    );
    assert_eq!(
        state.apply(propose("three")),
        Some(ReplicatedEvent::Proposed { version: 3 })
    );
    state.apply(decide(3, true));
    assert_eq!(state.fence_version(), 2);
}
