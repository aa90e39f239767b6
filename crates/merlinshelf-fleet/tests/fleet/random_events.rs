//! Checks the invariants of plans under random sequences of events.

use merlinshelf_fleet::plan::PlanKind;
use merlinshelf_fleet::{Command, PlanState, State};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};

use crate::simulation::{Simulation, all, serving_fleet};

/// Initial number of instances.
const INSTANCE_COUNT: u8 = 8;

/// An event in a fleet. Instances are selected by a number, modulo the number of instances.
#[derive(Clone, Debug)]
enum Event {
    TimePasses(f64),
    Crash(u8),
    Hang(u8),
    ShutdownByOperator(u8),
    Command(u8),
    Pause,
    Resume,
    Abandon,
    AgentDies(f64),
    Scale(u8),
}

fn event_sequences() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => (0.05f64..4.0).prop_map(Event::TimePasses),
        2 => any::<u8>().prop_map(Event::Crash),
        1 => any::<u8>().prop_map(Event::Hang),
        1 => any::<u8>().prop_map(Event::ShutdownByOperator),
        3 => any::<u8>().prop_map(Event::Command),
        1 => Just(Event::Pause),
        1 => Just(Event::Resume),
        1 => Just(Event::Abandon),
        1 => (0.0f64..2.0).prop_map(Event::AgentDies),
        1 => (2u8..12).prop_map(Event::Scale),
    ];
    proptest::collection::vec(event, 1..14)
}

/// A fleet under random events.
struct RandomRun {
    simulation: Simulation,
    /// The fleet was scaled: surplus instances drain regardless of the minimum capacity.
    is_scaled: bool,
}

impl RandomRun {
    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        let simulation = &mut self.simulation;
        match event {
            Event::TimePasses(seconds) => self.run_for(seconds)?,
            Event::Crash(number) => {
                if let Some(process) = simulation.processes.get_mut(&instance_name(number)) {
                    process.exit_at = Some(simulation.now);
                }
            }
            Event::Hang(number) => {
                if let Some(process) = simulation.processes.get_mut(&instance_name(number)) {
                    process.is_hanging = true;
                }
            }
            Event::ShutdownByOperator(number) => {
                let process = simulation.processes.get_mut(&instance_name(number));
                if let Some(process) = process.filter(|process| process.shutdown_requests == 0) {
                    process.shutdown_requests = 1;
                    process.exit_at = Some(simulation.now + 1.0);
                }
            }
            Event::Command(number) => {
                let _ = simulation
                    .fleet
                    .begin_plan(simulation.now, &all(), &command(number));
                // Actions are carried out before the next event.
                simulation.carry_out_actions();
            }
            Event::Pause => _ = simulation.fleet.pause(),
            Event::Resume => _ = simulation.fleet.resume(simulation.now),
            Event::Abandon => _ = simulation.fleet.abandon(),
            Event::AgentDies(seconds) => {
                if simulation.replace_agent() {
                    simulation.run_for(seconds);
                }
            }
            Event::Scale(count) => {
                let scaled = simulation.fleet.scale(simulation.now, "web", count.into());
                self.is_scaled = scaled.is_ok();
            }
        }
        Ok(())
    }

    /// Checks that a rolling restart preserves the minimum capacity.
    fn run_for(&mut self, seconds: f64) -> Result<(), TestCaseError> {
        let simulation = &mut self.simulation;
        let end = simulation.now + seconds;
        while simulation.now < end {
            let actions_before = simulation.trace.len();
            simulation.tick();
            let capacity = simulation.fleet.capacity(simulation.now);
            let plan = simulation.fleet.plan();
            let is_restart = plan.is_some_and(|plan| matches!(plan.kind, PlanKind::Restart));
            let mut actions = simulation.trace[actions_before..].iter();
            let has_drained = actions.any(|action| action.contains("Drain"));
            if is_restart && has_drained && !self.is_scaled {
                // The tolerance is needed because an instance that is down has the mean weight of
                // its group, not its own.
                prop_assert!(
                    capacity.serving >= 0.74 * capacity.total,
                    "{} of {}",
                    capacity.serving,
                    capacity.total
                );
            }
        }
        Ok(())
    }

    /// The agent requests a shutdown only once; a second request may come from an operator or be the
    /// signal to a hanging process.
    fn check_invariants(&self) -> Result<(), TestCaseError> {
        let simulation = &self.simulation;
        prop_assert!(
            simulation.max_shutdown_requests <= 2,
            "{}",
            simulation.trace.join("\n")
        );
        let has_unnamed_wait = simulation.fleet.plan().is_some_and(
            |plan| matches!(&plan.state, PlanState::Waiting(condition) if condition.is_empty()),
        );
        prop_assert!(!has_unnamed_wait);
        Ok(())
    }

    /// Without further events the plan ends and all enabled instances serve.
    fn check_end(&mut self) -> Result<(), TestCaseError> {
        let simulation = &mut self.simulation;
        let _ = simulation.fleet.resume(simulation.now);
        simulation.run_for(150.0);
        let plan = simulation.fleet.plan();
        prop_assert!(
            plan.is_none_or(|plan| plan.state.is_over()),
            "{plan:?}\n{}\n{}",
            simulation.events(),
            simulation.trace.join("\n")
        );
        let down = simulation
            .fleet
            .instances()
            .filter(|instance| !instance.is_disabled && instance.state != State::Serving)
            .count();
        prop_assert_eq!(down, 0, "{}", simulation.events());
        Ok(())
    }
}

fn instance_name(number: u8) -> String {
    format!("web.{}", number % INSTANCE_COUNT)
}

fn command(number: u8) -> Command {
    match number % 5 {
        0 => Command::Restart,
        1 => Command::Upgrade {
            program: "/v2".into(),
        },
        2 => Command::Drain {
            slowest_first: true,
            max_in_progress: Some(2),
        },
        3 => Command::Start,
        _ => Command::Upgrade {
            program: "/v1".into(),
        },
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(18),
        ..ProptestConfig::default()
    })]

    /// A rolling restart preserves the minimum capacity, the agent requests no shutdown twice, and
    /// every plan ends or states what it waits for.
    #[test]
    fn random_events_preserve_the_invariants_of_plans(events in event_sequences()) {
        let mut run = RandomRun {
            simulation: serving_fleet(INSTANCE_COUNT.into()),
            is_scaled: false,
        };
        for event in events {
            run.handle(event)?;
            run.check_invariants()?;
        }
        run.check_end()?;
    }
}
