//! Starts, crashes and hangs of individual processes.

use merlinshelf_fleet::{Command, Identity, Report, State};

use crate::simulation::{Simulation, serving_fleet, spec};

#[test]
fn specified_instances_start_within_the_concurrency_limit_and_get_warm() {
    let mut simulation = Simulation::new(spec(20));
    simulation.tick();
    assert_eq!(
        simulation.processes.len(),
        4,
        "the limit of concurrent starts is used"
    );
    simulation.run_until(60.0, |simulation| simulation.serving_count() == 20);
    // All are warm, not only running.
    assert!(simulation.fleet.instances().all(|instance| {
        instance
            .healthy_since
            .is_some_and(|since| simulation.now >= since + 1.0)
    }));
}

#[test]
fn hanging_instance_is_terminated_then_killed_and_restarted() {
    let mut simulation = serving_fleet(4);
    simulation
        .processes
        .get_mut("web.2")
        .expect("it runs")
        .is_hanging = true;
    simulation.run_until(10.0, |simulation| {
        simulation
            .fleet
            .get("web.2")
            .is_some_and(|instance| instance.state == State::Lost)
    });
    let terminated_at = simulation
        .trace
        .iter()
        .position(|line| line.contains("Terminate"))
        .expect("it is terminated first");
    simulation.run_until(20.0, |simulation| {
        simulation.trace.iter().any(|line| line.contains("Kill"))
    });
    assert!(
        simulation
            .trace
            .iter()
            .position(|line| line.contains("Kill"))
            .expect("it is killed then")
            > terminated_at
    );
    simulation.run_until(20.0, |simulation| simulation.serving_count() == 4);
    assert!(
        simulation.events().contains("hangs: no answer for"),
        "{}",
        simulation.events()
    );
}

/// Guards against an agent that was suspended and takes its own silence for that of its instances.
#[test]
fn instances_do_not_count_as_hanging_after_a_suspension_of_the_agent() {
    let mut simulation = serving_fleet(4);
    simulation.is_agent_down = true;
    simulation.run_for(20.0);
    simulation.is_agent_down = false;
    simulation.run_for(5.0);
    assert!(
        simulation
            .trace
            .iter()
            .all(|line| !line.contains("Terminate")),
        "{}",
        simulation.events()
    );
    assert_eq!(simulation.serving_count(), 4);
    // One that hangs since is still found.
    simulation
        .processes
        .get_mut("web.2")
        .expect("it runs")
        .is_hanging = true;
    simulation.run_until(20.0, |simulation| {
        simulation
            .trace
            .iter()
            .any(|line| line.contains("Terminate"))
    });
}

/// Ends processes of a fleet; the command is a drain.
type End = fn(&mut Simulation, &Command);

/// Guards against processes that are killed by the time for a graceful shutdown of an earlier
/// configuration, whatever ends them.
#[test]
fn process_is_killed_by_its_own_time_for_a_graceful_shutdown() {
    let drain = Command::Drain {
        slowest_first: false,
        max_in_progress: None,
    };
    let ends: [(&str, End); 4] = [
        ("drain", |simulation, drain| simulation.begin_plan(drain)),
        ("restart", |simulation, _| {
            simulation.begin_plan(&Command::Restart);
        }),
        ("scaling down", |simulation, _| {
            simulation
                .fleet
                .scale(simulation.now, "web", 1)
                .expect("it fits");
        }),
        ("drain, and another agent", |simulation, drain| {
            simulation.begin_plan(drain);
            simulation.run_for(1.0);
            assert!(simulation.replace_agent());
        }),
    ];
    for (name, end) in ends {
        let mut simulation = serving_fleet(8);
        // A new configuration has given the processes more time than the agent knows from its start.
        for name in simulation.processes.keys() {
            simulation.fleet.set_shutdown_timeout(name, 9.0);
        }
        simulation.drain_seconds = 8.0;
        simulation.run_for(1.0);
        end(&mut simulation, &drain);
        simulation.run_until(30.0, |simulation| {
            let is_killed = simulation.trace.iter().any(|line| line.contains("Kill"));
            is_killed || simulation.events().contains("ended with status 0")
        });
        let killed = simulation.trace.iter().any(|line| line.contains("Kill"));
        assert!(!killed, "{name}: {}", simulation.events());
    }
}

#[test]
fn foreign_process_is_not_signalled() {
    let mut simulation = serving_fleet(3);
    let report = Report {
        identity: Identity {
            pid: 4711,
            start_ticks: 9,
        },
        state: "serving".into(),
        ..Report::default()
    };
    let before = simulation.trace.len();
    simulation
        .fleet
        .report_received(simulation.now, "web.1", report);
    assert_eq!(
        simulation.fleet.get("web.1").map(|instance| instance.state),
        Some(State::Lost)
    );
    assert_eq!(simulation.trace.len(), before);
    assert!(
        simulation
            .events()
            .contains("process 4711 answers in its place, and is not touched")
    );
}

#[test]
fn crash_loops_back_off_exponentially() {
    let mut simulation = Simulation::new(spec(12));
    simulation.crash_after.insert("/v1".into(), 0.2);
    simulation.run_for(30.0);
    let starts = simulation
        .trace
        .iter()
        .filter(|line| line.contains("Start"))
        .count();
    // With a backoff that doubles from 0.5 s, each instance starts six or seven times in 30 s instead
    // of about a hundred times.
    assert!((12 * 4..=12 * 8).contains(&starts), "{starts}");
    simulation.crash_after.clear();
    simulation.run_until(90.0, |simulation| simulation.serving_count() == 12);
}
