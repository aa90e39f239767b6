//! Quotas from the fleet's budgets.

use merlinshelf_dependencies::AttemptOutcome;
use merlinshelf_quota::Remaining;

use crate::simulation::{ServerReply, Simulation, succeeds};

#[test]
fn fleet_quota_limits_attempts_and_fleet_health_overrides_local_health() {
    let mut simulation = Simulation::new("{to: 'a'}", |_, _| {
        Some(ServerReply {
            duration_seconds: 0.005,
            outcome: AttemptOutcome::Refused,
        })
    });
    let three_first_calls = Remaining {
        first_calls: 3,
        retries: 1,
        probes: 0,
        ..Remaining::UNLIMITED
    };
    simulation.router.update_quota("a", three_first_calls);
    // Three first calls are made and one of them is retried; then the quota is used up.
    for _ in 0..5 {
        simulation.start_call();
        simulation.run_for(0.02);
    }
    assert_eq!(simulation.attempts(), 4);
    let two_probes = Remaining {
        probes_only: true,
        first_calls: 9,
        retries: 9,
        probes: 2,
        ..Remaining::UNLIMITED
    };
    let usage = simulation
        .router
        .update_quota("a", two_probes)
        .expect("a configured dependency");
    let used_up = Remaining {
        first_calls: 0,
        retries: 0,
        probes: 0,
        ..Remaining::UNLIMITED
    };
    assert_eq!(usage.unused, used_up);
    assert!(!usage.is_failing);
    // The dependency fails for the fleet: only probes are sent, one at a time.
    for _ in 0..9 {
        simulation.start_call();
        simulation.run_for(0.2);
    }
    assert_eq!(simulation.attempts(), 6);
    // The dependency has recovered for the fleet: local failures are discarded.
    simulation.behaviour = succeeds;
    let reopened = Remaining {
        reopened: true,
        ..Remaining::UNLIMITED
    };
    let usage = simulation
        .router
        .update_quota("a", reopened)
        .expect("a configured dependency");
    assert_eq!(usage.unused.probes, 0);
    assert!(usage.unused.probes_only);
    let completion = simulation.run_load(50.0, simulation.now + 0.5);
    assert_eq!(completion.complete, completion.calls);
}
