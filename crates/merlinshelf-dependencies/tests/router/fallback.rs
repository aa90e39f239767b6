//! Fallback dependencies, degraded results and cached replies.

use merlinshelf_dependencies::{AttemptOutcome, CallEnd};

use crate::simulation::{ServerReply, Simulation, becomes_slow, succeeds};

#[test]
fn failing_dependency_gets_few_calls_and_callers_get_degraded_results() {
    let mut simulation = Simulation::new("{to: 'a', instead: {fixed: 'less'}}", |_, _| {
        Some(ServerReply {
            duration_seconds: 0.003,
            outcome: AttemptOutcome::Unknown,
        })
    });
    let completion = simulation.run_load(200.0, 10.0);
    assert_eq!(completion.complete, 0);
    let attempts = simulation.attempts();
    assert!(
        attempts as usize * 10 <= completion.calls * 11,
        "{attempts}: {completion:?}"
    );
    // Ten probes a second, once the dependency counts as failing.
    assert!(attempts < 200, "{attempts}");
    let degraded = CallEnd::Degraded {
        bytes: Some(b"less".to_vec()),
        missing: "a".into(),
    };
    assert!(simulation.ends.values().all(|end| *end == degraded));
    // The recovery is detected within seconds.
    simulation.behaviour = succeeds;
    let completion = simulation.run_load(200.0, 15.0);
    assert!(completion.is_at_least(80), "{completion:?}");
}

#[test]
fn reply_of_a_fallback_dependency_marks_the_result_as_partial() {
    let mut simulation = Simulation::new("{to: 'c', needed: true}", |_, server| {
        Some(if server.starts_with("127.0.0.1:2") {
            ServerReply {
                duration_seconds: 0.001,
                outcome: AttemptOutcome::NeverSent,
            }
        } else {
            ServerReply::success(0.004)
        })
    });
    simulation.run_load(100.0, 2.0);
    let marked = CallEnd::Reply {
        missing: Some("c".into()),
    };
    assert!(
        simulation.ends.values().all(|end| *end == marked),
        "{:?}",
        simulation.ends.values().next()
    );
}

#[test]
fn cached_reply_is_used_up_to_its_maximum_age_and_then_a_required_call_fails() {
    let mut simulation = Simulation::new(
        "{to: 'a', needed: true, instead: {kept: {within_s: 30}}}",
        succeeds,
    );
    simulation.start_call();
    simulation.run_until(1.0);
    simulation.behaviour = |_, _| None;
    let call_id = simulation.start_call();
    simulation.run_until(3.0);
    let cached = CallEnd::Degraded {
        bytes: Some(b"good".to_vec()),
        missing: "a".into(),
    };
    assert_eq!(simulation.ends[&call_id], cached);
    simulation.run_until(40.0);
    let call_id = simulation.start_call();
    simulation.run_until(42.0);
    assert_eq!(simulation.ends[&call_id], CallEnd::Failed);
}

/// A call with a fallback waits at most ten times the slowest recent duration. Probes measure the
/// longer durations, after which calls complete again.
#[test]
fn few_calls_fall_back_when_all_servers_become_slow() {
    let mut simulation = Simulation::new("{to: 'a', instead: {fixed: 'less'}}", becomes_slow);
    let completion = simulation.run_load(100.0, 20.0);
    assert!(completion.is_at_least(85), "{completion:?}");
    let ended_before = simulation.ends.len();
    let completion = simulation.run_load(100.0, simulation.now + 5.0);
    assert!(simulation.ends.len() > ended_before);
    assert!(completion.is_at_least(98), "{completion:?}");
}
