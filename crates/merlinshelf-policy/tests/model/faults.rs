//! Injects random faults, and checks that the system recovers from them.

use rand::RngExt;

use crate::world::{DRIFT, Faults, Instance, LEASE_SECONDS, SeededBug, World};
use merlinshelf_policy::EffectivePolicy;
use merlinshelf_policy::replicated_state::ReplicatedState;

/// The time that a change may take in addition to the longest possible lease, seconds.
const CHANGE_SLACK_SECONDS: f64 = 2.0;

impl World {
    pub fn inject_faults(&mut self) {
        let agent_count = self.agents.len();
        if self.rng.random_bool(0.004) {
            let agent = self.rng.random_range(0..agent_count);
            if self.agents[agent].is_up && !self.agents[agent].is_partitioned {
                self.elect(agent);
            }
        }
        if self.rng.random_bool(0.004) {
            let agent = self.rng.random_range(0..agent_count);
            self.agents[agent].is_partitioned = !self.agents[agent].is_partitioned;
        }
        self.inject_agent_fault();
        self.inject_instance_fault();
        if self.rng.random_bool(0.01) {
            self.propose_change();
        }
    }

    fn inject_agent_fault(&mut self) {
        let agent = self.rng.random_range(0..self.agents.len());
        let is_up = self.agents[agent].is_up;
        // A stopped agent usually restarts before the leases of its instances expire.
        let probability = if is_up { 0.004 } else { 0.06 };
        if !self.rng.random_bool(probability) {
            return;
        }
        let incarnation = self.next_incarnation();
        if is_up {
            self.stop_agent(agent);
        } else {
            self.start_agent(agent, incarnation, self.seeded_bug);
        }
    }

    fn inject_instance_fault(&mut self) {
        let names: Vec<String> = self.instances.keys().cloned().collect();
        let name = &names[self.rng.random_range(0..names.len())];
        let is_toggled = self.rng.random_bool(0.02);
        if let (true, Some(instance)) = (is_toggled, self.instances.get_mut(name)) {
            instance.is_stopped = !instance.is_stopped;
        }
        if self.rng.random_bool(0.004) {
            self.restart_instance(name);
        }
    }

    /// Ends all faults. The pending change and one further change must complete in time, and all
    /// instances must then act on the new version.
    pub fn recover(&mut self) {
        self.end_faults();
        self.elect(0);
        self.await_pending_change();
        self.propose_change();
        self.await_pending_change();
        let until = self.time + 2.0 * LEASE_SECONDS;
        while self.time < until {
            self.step(Faults::Off);
        }
        let version = self.agents[0].state.current_version;
        let is_current = |instance: &Instance| {
            let now = instance.clock.read(self.time);
            instance.lease_holder.effective_policy(now) == EffectivePolicy::Leased(version)
        };
        if version == 0 || !self.instances.values().all(is_current) {
            self.violations
                .push(format!("not all instances act on {version} after recovery"));
        }
    }

    fn end_faults(&mut self) {
        for agent in 0..self.agents.len() {
            self.agents[agent].is_partitioned = false;
            if !self.agents[agent].is_up {
                let incarnation = self.next_incarnation();
                self.start_agent(agent, incarnation, SeededBug::None);
            }
            self.agents[agent].leadership = None;
        }
        for instance in self.instances.values_mut() {
            instance.is_stopped = false;
        }
    }

    fn await_pending_change(&mut self) {
        let started_at = self.time;
        while self.has_pending_change() && self.time < started_at + 2.0 * LEASE_SECONDS + 6.0 {
            self.step(Faults::Off);
        }
        if self.has_pending_change() {
            self.violations.push(format!(
                "a change does not complete: {:?}",
                self.agents[0].state.pending_change
            ));
        }
        let duration_seconds = self.time - started_at;
        self.longest_change_seconds = self.longest_change_seconds.max(duration_seconds);
        if duration_seconds > LEASE_SECONDS * (1.0 + DRIFT) + CHANGE_SLACK_SECONDS {
            self.violations
                .push(format!("a change took {duration_seconds:.2} s to complete"));
        }
    }

    fn has_pending_change(&self) -> bool {
        let state = self.true_state();
        state.bootstrap.is_none() || state.pending_change.is_some()
    }

    /// The state after applying the whole log.
    pub fn true_state(&self) -> ReplicatedState {
        let mut state = ReplicatedState::default();
        for entry in &self.log {
            state.apply(entry.clone());
        }
        state
    }
}
