//! Admission, choice of a server, and changed settings.

use std::cell::Cell;

use merlinshelf_dependencies::{AttemptOutcome, CallEnd, Dependencies, Router};

use crate::simulation::{Completion, ServerReply, Simulation, settings, succeeds};

#[test]
fn calls_that_succeed_need_about_one_attempt_each() {
    let mut simulation = Simulation::new("{to: 'a'}", succeeds);
    let expected = Completion {
        complete: 2000,
        calls: 2000,
    };
    assert_eq!(simulation.run_load(200.0, 10.0), expected);
    assert!(simulation.attempts() <= 2200, "{}", simulation.attempts());
    assert_eq!(simulation.router.calls_in_flight(), 0);
}

#[test]
fn server_that_never_replies_gets_few_attempts() {
    let mut simulation = Simulation::new("{to: 'a'}", |_, server| {
        (server != "127.0.0.1:3").then_some(ServerReply::success(0.004))
    });
    let completion = simulation.run_load(200.0, 20.0);
    assert!(completion.is_at_least(99), "{completion:?}");
    let attempts = simulation.attempts_by_server["127.0.0.1:3"];
    assert!(attempts < 100, "{attempts}: {completion:?}");
}

#[test]
fn no_call_waits_for_a_dependency_that_fails() {
    let mut simulation = Simulation::new("{to: 'a', instead: {fixed: 'less'}}", |_, _| {
        Some(ServerReply {
            duration_seconds: 0.02,
            outcome: AttemptOutcome::Unknown,
        })
    });
    // Far more calls than the limit, so that most wait for capacity.
    let calls: Vec<u64> = (0..400).map(|_| simulation.start_call()).collect();
    assert!(simulation.router.report()[0].waiting > 300);
    simulation.run_until(0.1);
    let ended = calls
        .iter()
        .filter(|call_id| simulation.ends.contains_key(call_id))
        .count();
    assert_eq!(ended, 400, "calls wait although the dependency fails");
}

#[test]
fn calls_without_enough_remaining_time_are_not_made() {
    let mut simulation = Simulation::new("{to: 'a', needed: true}, {to: 'b'}", |_, _| {
        Some(ServerReply::success(0.025))
    });
    for call_index in [0, 1].repeat(40) {
        simulation.start_call_at(call_index, None);
        simulation.run_for(0.05);
    }
    let attempts_before = simulation.attempts();
    // Two calls of 25 ms don't fit into 40 ms: the first one's share of 20 ms is less than the
    // lowest measured duration.
    for remaining_seconds in [0.04, 0.0, -1.0] {
        let call_id = simulation.start_call_at(0, Some(remaining_seconds));
        assert_eq!(simulation.ends[&call_id], CallEnd::NeverRan);
    }
    assert_eq!(simulation.attempts(), attempts_before);
    // The last call may use all of the remaining time.
    let last = simulation.start_call_at(1, Some(0.04));
    simulation.run_for(1.0);
    assert_eq!(simulation.ends[&last], CallEnd::Reply { missing: None });
}

#[test]
fn calls_in_flight_complete_after_servers_and_dependencies_are_removed() {
    let mut simulation = Simulation::new("{to: 'a'}", succeeds);
    simulation.run_load(100.0, 1.0);
    let in_flight = simulation.start_call();
    let mut changed = settings("{to: 'a'}");
    changed.dependencies.remove("b");
    changed.dependencies.remove("c");
    let dependency = changed
        .dependencies
        .get_mut("a")
        .expect("a configured dependency");
    dependency.servers.truncate(2);
    simulation.router.update_config(simulation.now, changed);
    simulation.run_for(1.0);
    assert_eq!(
        simulation.ends[&in_flight],
        CallEnd::Reply { missing: None }
    );
    let report = simulation.router.report();
    assert_eq!(report.len(), 1);
    assert_eq!(report[0].servers.len(), 2);
    assert!(report[0].servers.iter().all(|server| server.in_flight == 0));
    let router = &simulation.router;
    assert!(!router.routes_call("page", 1, None) && !router.routes_call("other", 0, None));
    assert!(router.routes_call("page", 0, Some("a")) && !router.routes_call("page", 0, Some("b")));
}

/// One server serves calls sequentially while its peers serve many concurrently.
#[test]
fn server_with_less_capacity_gets_fewer_calls_and_no_call_is_lost() {
    thread_local!(static IDLE_AT: Cell<f64> = const { Cell::new(0.0) });
    IDLE_AT.set(0.0);
    let mut simulation = Simulation::new("{to: 'a', needed: true}", |now, server| {
        if server != "127.0.0.1:2" {
            return Some(ServerReply::success(0.004));
        }
        let ends_at = IDLE_AT.get().max(now) + 0.004;
        IDLE_AT.set(ends_at);
        Some(ServerReply::success(ends_at - now))
    });
    let completion = simulation.run_load(2000.0, 8.0);
    assert!(
        completion.complete * 1000 >= completion.calls * 999,
        "{completion:?}"
    );
    let report = simulation.router.report();
    let limit = |address: &str| {
        let mut servers = report[0].servers.iter();
        servers
            .find(|server| server.address == address)
            .and_then(|server| server.concurrency_limit)
    };
    assert!(limit("127.0.0.1:2") <= limit("127.0.0.1:1"), "{report:?}");
    let attempts = &simulation.attempts_by_server;
    assert!(
        attempts["127.0.0.1:2"] < attempts["127.0.0.1:1"],
        "{attempts:?}"
    );
}

#[test]
fn fifty_dependencies_are_independent() {
    let mut config = settings("{to: 'a'}");
    let dependency = config.dependencies["a"].clone();
    let calls: Vec<String> = (0..50).map(|index| format!("{{to: 'd{index}'}}")).collect();
    let text = format!(
        "{{operations: {{page: {{calls: [{}]}}}}}}",
        calls.join(", ")
    );
    let parsed: Dependencies = json5::from_str(&text).expect("decodable settings");
    config.operations = parsed.operations;
    config.dependencies = (0..50)
        .map(|index| (format!("d{index}"), dependency.clone()))
        .collect();
    assert_eq!(config.check(), Ok(()));
    let mut simulation = Simulation::new("{to: 'a'}", succeeds);
    simulation.router = Router::new(0.0, config, "n1");
    let calls: Vec<u64> = (0..50)
        .map(|call_index| simulation.start_call_at(call_index, Some(1.0)))
        .collect();
    simulation.run_until(1.0);
    for call_id in calls {
        assert_eq!(simulation.ends[&call_id], CallEnd::Reply { missing: None });
    }
    let reports = simulation.router.report();
    assert_eq!(reports.len(), 50);
    for report in reports {
        assert_eq!(report.counters.succeeded, 1);
        assert_eq!(report.in_flight, 0);
    }
}
