//! Rolling upgrades and restarts, and the conditions under which they wait, roll back or end.

use merlinshelf_fleet::{Command, Host, PlanState, State};

use crate::simulation::{Simulation, serving_fleet, spec, upgrade};

#[test]
fn rolling_upgrade_reaches_all_instances_and_preserves_the_minimum_capacity() {
    let mut simulation = serving_fleet(20);
    simulation.begin_plan(&upgrade());
    let mut min_serving = 20;
    while !simulation.is_plan_over() {
        simulation.tick();
        min_serving = min_serving.min(simulation.serving_count());
        let upgrading = simulation
            .fleet
            .instances()
            .filter(|instance| instance.state == State::Upgrading)
            .count();
        assert!(upgrading <= 2, "{upgrading}");
    }
    assert_eq!(
        simulation.plan_state(),
        &PlanState::Done,
        "{}",
        simulation.events()
    );
    assert!(
        simulation
            .programs()
            .iter()
            .all(|program| *program == "/v2")
    );
    assert!(min_serving >= 15, "{min_serving}");
}

#[test]
fn program_that_serves_worse_is_rolled_back() {
    let mut simulation = serving_fleet(12);
    simulation.success_ratios.insert("/v2".into(), 0.9);
    simulation.run_for(5.0);
    simulation.begin_plan(&upgrade());
    let mut max_upgraded = 0;
    while !simulation.is_plan_over() {
        simulation.tick();
        max_upgraded = max_upgraded.max(simulation.program_count("/v2"));
    }
    let PlanState::Stopped(reason) = simulation.plan_state() else {
        panic!("{:?}", simulation.plan_state())
    };
    assert!(
        reason.contains("serves 0.9") && reason.contains("0.99"),
        "{reason}"
    );
    assert!(
        simulation
            .programs()
            .iter()
            .all(|program| *program == "/v1"),
        "{:?}",
        simulation.programs()
    );
    assert!(
        max_upgraded <= 4,
        "too many upgrades before the rollback: {max_upgraded}"
    );
}

/// Checks that the plan ends because a process has crashed, and that all instances run the former
/// program again.
fn check_crash_is_rolled_back(simulation: &mut Simulation, count: usize) {
    simulation.run_until(60.0, Simulation::is_plan_over);
    assert!(
        matches!(simulation.plan_state(), PlanState::Stopped(reason) if reason.contains("ended by itself")),
        "{:?}",
        simulation.plan_state()
    );
    simulation.crash_after.clear();
    simulation.run_until(60.0, |simulation| simulation.serving_count() == count);
    assert!(
        simulation
            .programs()
            .iter()
            .all(|program| *program == "/v1"),
        "{:?}",
        simulation.programs()
    );
}

/// The new program crashes soon after each handover.
#[test]
fn program_that_crashes_is_rolled_back() {
    let mut simulation = serving_fleet(8);
    simulation.crash_after.insert("/v2".into(), 1.5);
    simulation.begin_plan(&upgrade());
    check_crash_is_rolled_back(&mut simulation, 8);
}

/// The new program runs without becoming healthy.
#[test]
fn program_that_does_not_get_warm_is_rolled_back() {
    let mut simulation = serving_fleet(8);
    simulation.success_ratios.remove("/v2");
    simulation.begin_plan(&upgrade());
    let min_serving = std::cell::Cell::new(8);
    simulation.run_until(100.0, |simulation| {
        min_serving.set(min_serving.get().min(simulation.serving_count()));
        simulation.is_plan_over()
    });
    assert!(
        min_serving.get() >= 6,
        "the other instances do not keep serving: {min_serving:?}"
    );
    assert!(
        matches!(simulation.plan_state(), PlanState::Stopped(reason) if reason.contains("does not get warm within 10.0 s")),
        "{:?}",
        simulation.plan_state()
    );
    simulation.run_until(60.0, |simulation| simulation.serving_count() == 8);
    assert!(
        simulation
            .programs()
            .iter()
            .all(|program| *program == "/v1"),
        "{:?}",
        simulation.programs()
    );
}

/// The new program crashes while other instances are being upgraded.
#[test]
fn program_that_crashes_later_is_rolled_back() {
    let mut simulation = serving_fleet(12);
    simulation.crash_after.insert("/v2".into(), 9.0);
    simulation.begin_plan(&upgrade());
    check_crash_is_rolled_back(&mut simulation, 12);
}

/// The handover fails, and the instances keep the former program.
#[test]
fn failed_handover_ends_the_plan() {
    let mut simulation = serving_fleet(8);
    simulation.upgrades_fail = true;
    simulation.begin_plan(&upgrade());
    simulation.run_until(60.0, Simulation::is_plan_over);
    assert!(
        matches!(simulation.plan_state(), PlanState::Stopped(reason) if reason.contains("taken back")),
        "{:?}",
        simulation.plan_state()
    );
    simulation.run_until(60.0, |simulation| simulation.serving_count() == 8);
    assert!(
        simulation
            .programs()
            .iter()
            .all(|program| *program == "/v1")
    );
}

#[test]
fn rolling_upgrade_continues_after_a_restart_of_the_agent() {
    for case in 0..24 {
        let mut simulation = serving_fleet(12);
        simulation.begin_plan(&upgrade());
        simulation.run_for(0.05 + 0.37 * f64::from(case));
        simulation.restart_agent(if case % 2 == 0 { 0.2 } else { 1.4 });
        simulation.run_until(120.0, Simulation::is_plan_over);
        assert_eq!(
            simulation.plan_state(),
            &PlanState::Done,
            "{case}: {}",
            simulation.events()
        );
        assert!(
            simulation
                .programs()
                .iter()
                .all(|program| *program == "/v2"),
            "{case}: {:?}",
            simulation.programs()
        );
        assert_eq!(
            simulation.max_shutdown_requests, 0,
            "{case}: a shutdown was requested"
        );
        assert_eq!(simulation.serving_count(), 12);
    }
}

#[test]
fn plan_waits_for_the_minimum_capacity_and_names_instances_that_are_down() {
    let mut simulation = serving_fleet(8);
    simulation.crash_after.insert("/v1".into(), 0.1);
    for name in ["web.3", "web.6"] {
        simulation.processes.get_mut(name).expect("it runs").exit_at = Some(simulation.now);
    }
    simulation.run_for(1.0);
    simulation.begin_plan(&Command::Restart);
    simulation.run_for(2.0);
    let PlanState::Waiting(condition) = simulation.plan_state() else {
        panic!("{:?}", simulation.plan_state())
    };
    assert!(
        condition.contains("under the floor of 75%")
            && condition.contains("web.3")
            && condition.contains("web.6"),
        "{condition}"
    );
    assert!(!simulation.trace.iter().any(|line| line.contains("Drain")));
    simulation.crash_after.clear();
    simulation.run_until(200.0, Simulation::is_plan_over);
    assert_eq!(
        (simulation.plan_state(), simulation.serving_count()),
        (&PlanState::Done, 8),
        "{}",
        simulation.events()
    );
}

#[test]
fn rolling_upgrade_of_five_thousand_instances_is_completed() {
    let mut large_spec = spec(5000);
    large_spec.host = Host {
        memory_mb: 1 << 30,
        cores: 1e6,
        descriptors: 1 << 40,
    };
    large_spec
        .groups
        .get_mut("web")
        .expect("it is there")
        .listen = "127.0.0.1:1000".into();
    large_spec.restarts.at_once = 500;
    large_spec.change.out_at_once = 500;
    large_spec.change.looked_ms = 500;
    let mut simulation = Simulation::new(large_spec);
    simulation.run_until(60.0, |simulation| simulation.serving_count() == 5000);
    simulation.begin_plan(&upgrade());
    simulation.run_until(90.0, Simulation::is_plan_over);
    assert_eq!(simulation.plan_state(), &PlanState::Done);
}
