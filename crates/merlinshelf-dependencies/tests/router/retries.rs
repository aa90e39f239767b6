//! Retries and hedged requests.

use crate::simulation::{Simulation, becomes_slow};

#[test]
fn no_server_is_ejected_and_hedged_requests_stay_few_when_all_become_slow() {
    let mut simulation = Simulation::new("{to: 'a', needed: true}", becomes_slow);
    let completion = simulation.run_load(100.0, 15.0);
    assert!(completion.is_at_least(95), "{completion:?}");
    let attempts = simulation.attempts();
    assert!(
        attempts as usize * 100 <= completion.calls * 112,
        "{attempts}: {completion:?}"
    );
    let report = simulation.router.report();
    assert!(
        report[0].servers.iter().all(|server| server.health == "in"),
        "{report:?}"
    );
}
