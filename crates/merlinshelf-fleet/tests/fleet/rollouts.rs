//! Rolling upgrades and restarts, and what makes them wait, roll back or end.

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
    let PlanState::Stopped(why) = simulation.plan_state() else {
        panic!("{:?}", simulation.plan_state())
    };
    assert!(why.contains("serves 0.9") && why.contains("0.99"), "{why}");
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
        "few were upgraded before it was observed: {max_upgraded}"
    );
}

/// The plan ends since a process has crashed, and all run the program before again.
fn check_crash_is_rolled_back(simulation: &mut Simulation, count: usize) {
    simulation.run_until(60.0, Simulation::is_plan_over);
    assert!(
        matches!(simulation.plan_state(), PlanState::Stopped(why) if why.contains("ended by itself")),
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

/// It crashes after a second.
#[test]
fn program_that_crashes_is_rolled_back() {
    let mut simulation = serving_fleet(8);
    simulation.crash_after.insert("/v2".into(), 1.5);
    simulation.begin_plan(&upgrade());
    check_crash_is_rolled_back(&mut simulation, 8);
}

/// It hangs about, is observed, and the former program is restored.
#[test]
fn program_that_never_gets_warm_is_rolled_back() {
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
        "the others serve on: {min_serving:?}"
    );
    assert!(
        matches!(simulation.plan_state(), PlanState::Stopped(why) if why.contains("does not get warm within 10.0 s")),
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

/// It crashes while other instances are being upgraded.
#[test]
fn program_that_crashes_later_is_rolled_back() {
    let mut simulation = serving_fleet(12);
    simulation.crash_after.insert("/v2".into(), 9.0);
    simulation.begin_plan(&upgrade());
    check_crash_is_rolled_back(&mut simulation, 12);
}

/// The handover itself fails.
#[test]
fn program_that_does_not_take_over_ends_the_plan() {
    let mut simulation = serving_fleet(8);
    simulation.upgrades_fail = true;
    simulation.begin_plan(&upgrade());
    simulation.run_until(60.0, Simulation::is_plan_over);
    assert!(
        matches!(simulation.plan_state(), PlanState::Stopped(why) if why.contains("taken back")),
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
fn rolling_upgrade_survives_the_agents_death_at_any_time() {
    for death in 0..24 {
        let mut simulation = serving_fleet(12);
        simulation.begin_plan(&upgrade());
        simulation.run_for(0.05 + 0.37 * f64::from(death));
        simulation.restart_agent(if death % 2 == 0 { 0.2 } else { 1.4 });
        simulation.run_until(120.0, Simulation::is_plan_over);
        assert_eq!(
            simulation.plan_state(),
            &PlanState::Done,
            "{death}: {}",
            simulation.events()
        );
        assert!(
            simulation
                .programs()
                .iter()
                .all(|program| *program == "/v2"),
            "{death}: {:?}",
            simulation.programs()
        );
        assert_eq!(
            simulation.max_shutdown_requests, 0,
            "{death}: no shutdown was requested"
        );
        assert_eq!(simulation.serving_count(), 12);
    }
}

#[test]
fn plan_waits_for_the_minimum_capacity_and_names_what_is_down() {
    let mut simulation = serving_fleet(8);
    simulation.crash_after.insert("/v1".into(), 0.1);
    for name in ["web.3", "web.6"] {
        simulation.processes.get_mut(name).expect("it runs").exit_at = Some(simulation.now);
    }
    simulation.run_for(1.0);
    simulation.begin_plan(&Command::Restart);
    simulation.run_for(2.0);
    let PlanState::Waiting(what) = simulation.plan_state() else {
        panic!("{:?}", simulation.plan_state())
    };
    assert!(
        what.contains("under the floor of 75%") && what.contains("web.3") && what.contains("web.6"),
        "{what}"
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
fn five_thousand_instances_are_upgraded() {
    let mut big = spec(5000);
    big.host = Host {
        memory_mb: 1 << 30,
        cores: 1e6,
        descriptors: 1 << 40,
    };
    big.groups.get_mut("web").expect("it is there").listen = "127.0.0.1:1000".into();
    big.restarts.at_once = 500;
    big.change.out_at_once = 500;
    big.change.looked_ms = 500;
    let mut simulation = Simulation::new(big);
    simulation.run_until(60.0, |simulation| simulation.serving_count() == 5000);
    simulation.begin_plan(&upgrade());
    simulation.run_until(90.0, Simulation::is_plan_over);
    assert_eq!(simulation.plan_state(), &PlanState::Done);
}
