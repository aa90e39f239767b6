//! The invariants, checked at every step against the version that each instance acts on.

use merlinshelf_policy::EffectivePolicy;
use merlinshelf_policy::replicated_state::{ChangeOutcome, ReplicatedState};

use crate::world::World;

/// The prefix of violations in which a version is acted on after a higher one.
pub const ORDER_VIOLATION: &str = "order";

impl World {
    /// Checks the policy that each running instance would act on now.
    pub fn check_instances(&mut self) {
        let state = self.true_state();
        let highest_before = self.highest_effective_version;
        let time = self.time;
        for (name, instance) in &mut self.instances {
            if instance.is_stopped {
                continue;
            }
            let now = instance.clock.read(time);
            let EffectivePolicy::Leased(version) = instance.lease_holder.effective_policy(now)
            else {
                continue;
            };
            instance.effective_versions.insert(version);
            self.highest_effective_version = self.highest_effective_version.max(version);
            if version < highest_before {
                self.violations.push(format!(
                    "{ORDER_VIOLATION}: {time:.2} {name} acts on {version} after {highest_before} was acted on"
                ));
            }
            if !is_accepted(&state, version) {
                self.violations.push(format!(
                    "acceptance: {time:.2} {name} acts on {version}, which is not accepted"
                ));
            }
        }
        self.record_visited_state(&state);
    }

    fn record_visited_state(&mut self, state: &ReplicatedState) {
        let instances: Vec<String> = self
            .instances
            .values()
            .map(|instance| {
                let now = instance.clock.read(self.time);
                let effective = instance.lease_holder.effective_policy(now);
                format!("{effective:?}{}", u8::from(instance.is_stopped))
            })
            .collect();
        let agents: Vec<String> = self
            .agents
            .iter()
            .map(|agent| {
                format!(
                    "{}{}{}",
                    u8::from(agent.is_up),
                    u8::from(agent.is_partitioned),
                    u8::from(agent.leadership.is_some())
                )
            })
            .collect();
        let stage = state.pending_change.as_ref().map(|change| change.stage);
        self.visited_states.insert(format!(
            "{} {stage:?} {}",
            instances.join(","),
            agents.join(",")
        ));
    }
}

fn is_accepted(state: &ReplicatedState, version: u64) -> bool {
    let is_rejected = state.completed_changes.iter().any(|completed| {
        completed.version == version && matches!(completed.outcome, ChangeOutcome::Rejected(_))
    });
    let is_decided = version <= state.fence_version() + 1 && version <= state.last_version;
    is_decided && !is_rejected
}
