//! Operators' commands: draining, stopping, scaling, selection, and control of the plan.

use std::collections::BTreeMap;

use merlinshelf_fleet::{Command, Fleet, Group, PlanState, Record, Selector, capacity};

use crate::simulation::{Simulation, all, group, serving_fleet, spec, upgrade};

#[test]
fn draining_instances_receive_no_second_shutdown_request() {
    let mut simulation = serving_fleet(20);
    simulation.drain_seconds = 2.5;
    // An operator drains some instances directly: they report it themselves.
    for number in 0..7 {
        let name = format!("web.{number}");
        let process = simulation.processes.get_mut(&name).expect("it runs");
        process.shutdown_requests = 1;
        process.exit_at = Some(simulation.now + 2.0);
    }
    // The agent drains others because of an earlier command.
    let selector = Selector {
        names: (7..10).map(|number| format!("web.{number}")).collect(),
        ..all()
    };
    simulation
        .fleet
        .begin_plan(
            simulation.now,
            &selector,
            &Command::Drain {
                slowest_first: false,
                max_in_progress: None,
            },
        )
        .expect("it begins");
    simulation.run_for(0.5);
    simulation.fleet.abandon().expect("it is under way");
    simulation.begin_plan(&Command::Drain {
        slowest_first: true,
        max_in_progress: None,
    });
    simulation.run_until(30.0, Simulation::is_plan_over);
    assert_eq!(
        (
            simulation.plan_state(),
            simulation.processes.len(),
            simulation.max_shutdown_requests
        ),
        (&PlanState::Done, 0, 1),
        "{}",
        simulation.events()
    );
    // Drained instances stay down until they are started.
    simulation.run_for(10.0);
    assert_eq!(simulation.processes.len(), 0);
    simulation.begin_plan(&Command::Start);
    simulation.run_until(60.0, |simulation| simulation.serving_count() == 20);
}

#[test]
fn slowest_instances_are_drained_first_on_request() {
    let mut simulation = serving_fleet(6);
    let drain = Command::Drain {
        slowest_first: true,
        max_in_progress: Some(1),
    };
    let slowest = simulation
        .processes
        .iter()
        .max_by_key(|(_, process)| process.pid)
        .map(|(name, _)| name.clone());
    simulation.begin_plan(&drain);
    simulation.tick();
    let draining: Vec<&str> = simulation
        .fleet
        .instances()
        .filter(|instance| instance.state.is_shutting_down())
        .map(|instance| instance.name.as_str())
        .collect();
    assert_eq!(draining, [slowest.expect("an instance")]);
}

#[test]
fn stop_with_a_short_timeout_reports_killed_instances_and_their_invocations_in_flight() {
    let mut simulation = serving_fleet(3);
    simulation.drain_seconds = 30.0;
    simulation.begin_plan(&Command::Stop {
        timeout_seconds: 0.5,
    });
    let elapsed_seconds = simulation.run_until(10.0, Simulation::is_plan_over);
    assert!((0.4..1.5).contains(&elapsed_seconds), "{elapsed_seconds}");
    assert_eq!(
        simulation
            .events()
            .matches("killed; 3 were in hand when it was last heard of")
            .count(),
        3,
        "{}",
        simulation.events()
    );
}

#[test]
fn plan_can_be_paused_resumed_and_abandoned_and_excludes_a_second_plan() {
    let mut simulation = serving_fleet(10);
    simulation.begin_plan(&upgrade());
    let error = simulation
        .fleet
        .begin_plan(simulation.now, &all(), &Command::Restart)
        .expect_err("a plan is in progress");
    assert!(
        error
            .to_string()
            .contains("plan 1 (upgrade, 0 of 10) is under way"),
        "{error}"
    );
    simulation.run_for(1.0);
    simulation.fleet.pause().expect("it runs");
    simulation.run_for(20.0);
    let upgraded = simulation.program_count("/v2");
    assert_eq!(
        (upgraded, simulation.plan_state()),
        (2, &PlanState::Paused),
        "changes in progress are completed"
    );
    simulation
        .fleet
        .resume(simulation.now)
        .expect("it is paused");
    simulation.run_for(4.0);
    simulation.fleet.abandon().expect("it runs");
    let changed = simulation.program_count("/v2");
    simulation.run_for(20.0);
    assert!((3..10).contains(&changed) && simulation.serving_count() == 10);
    // The upgrade can be started again; instances that run the program already are skipped.
    simulation.begin_plan(&upgrade());
    simulation.run_until(120.0, Simulation::is_plan_over);
    assert_eq!(simulation.plan_state(), &PlanState::Done);
}

#[test]
fn scaling_drains_and_starts_instances_and_rejects_counts_that_exceed_the_host() {
    let mut simulation = serving_fleet(6);
    simulation
        .fleet
        .scale(simulation.now, "web", 4)
        .expect("it fits");
    simulation.run_until(30.0, |simulation| simulation.processes.len() == 4);
    assert!(
        simulation
            .fleet
            .instances()
            .all(|instance| instance.index < 4)
            && simulation.max_shutdown_requests == 1
    );
    simulation
        .fleet
        .scale(simulation.now, "web", 9)
        .expect("it fits");
    simulation.run_until(60.0, |simulation| simulation.serving_count() == 9);
    let error = simulation
        .fleet
        .scale(simulation.now, "web", 400)
        .expect_err("too little capacity");
    insta::assert_snapshot!(error);
    let mut conflicting = spec(10);
    conflicting.groups.insert("api".into(), group(3, 7005));
    insta::assert_snapshot!(
        capacity::check(&conflicting)
            .expect_err("an address conflict")
            .to_string()
    );
}

#[test]
fn selectors_match_names_groups_and_labels() {
    let mut two_groups = spec(2);
    two_groups.groups.insert(
        "api".into(),
        Group {
            labels: BTreeMap::new(),
            ..group(2, 7100)
        },
    );
    let fleet = Fleet::new(0.0, 0.0, two_groups, Record::default(), 3.0);
    let select = |selector: Selector| fleet.select(&selector);
    assert_eq!(select(all()).map(|names| names.len()), Ok(4));
    assert_eq!(
        select(Selector {
            groups: vec!["api".into()],
            ..all()
        }),
        Ok(vec!["api.0".into(), "api.1".into()])
    );
    let front = vec![("tier".to_owned(), "front".to_owned())];
    assert_eq!(
        select(Selector {
            labels: front,
            ..all()
        }),
        Ok(vec!["web.0".into(), "web.1".into()])
    );
    assert!(
        select(Selector {
            names: vec!["web.9".into()],
            ..all()
        })
        .is_err_and(|error| error.to_string() == "there is no instance web.9")
    );
    assert!(
        select(Selector {
            groups: vec!["x".into()],
            ..all()
        })
        .is_err()
    );
}
