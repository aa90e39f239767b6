//! The fleet's serving capacity, and whether a change may take an instance out of service.

use super::Fleet;
use crate::instance::{Instance, State};

/// Over how long the rate of service is measured, in seconds.
const RATE_WINDOW_SECONDS: f64 = 20.0;
/// Absorbs rounding where capacities are compared.
const ROUNDING: f64 = 1e-9;

/// Capacity by weight of the instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServingCapacity {
    /// Of the instances that serve.
    pub serving: f64,
    /// Of all instances that are to serve.
    pub total: f64,
}

/// Why an instance can't be taken out of service now.
#[derive(Debug, thiserror::Error)]
pub(super) enum Blocked {
    /// It is not in a state to be changed.
    #[error("{name} is {}", state.name())]
    NotReady { name: String, state: State },
    /// Too little capacity would be left.
    #[error(
        "without {name} {:.0}% of all capacity would serve, under the floor of {:.0}%; {}",
        100.0 * serving_fraction, 100.0 * min_capacity, down_text(down)
    )]
    TooLittleCapacity {
        name: String,
        serving_fraction: f64,
        min_capacity: f64,
        /// Instances that are to serve and do not.
        down: Vec<String>,
    },
}

impl Blocked {
    /// Whether no instance could come back and end the blockade.
    pub fn is_permanent(&self) -> bool {
        matches!(self, Blocked::TooLittleCapacity { down, .. } if down.is_empty())
    }
}

fn down_text(down: &[String]) -> String {
    if down.is_empty() {
        "nobody is down".into()
    } else {
        format!("down: {}", down.join(", "))
    }
}

impl Fleet {
    /// The capacity that serves, and that would serve if all instances did that are to.
    pub fn capacity(&self, now: f64) -> ServingCapacity {
        let mut capacity = ServingCapacity::default();
        let desired = self.instances.values();
        for instance in desired.filter(|instance| self.is_desired(instance)) {
            let weight = self.weight(now, instance);
            if instance.state.is_serving() {
                capacity.serving += weight;
            }
            capacity.total += weight;
        }
        capacity
    }

    /// What an instance counts: its rate of service, or its group's weight until the rates are
    /// known.
    fn weight(&self, now: f64, instance: &Instance) -> f64 {
        let rate_of = |instance: &Instance| instance.success_rate(now, RATE_WINDOW_SECONDS);
        let serving = || {
            self.instances
                .values()
                .filter(|other| other.state.is_serving())
        };
        // Rates count only where all serving instances have one: the two measures must not be
        // mixed.
        let has_rates = serving().all(|serving| rate_of(serving) > 0.0) && serving().count() > 0;
        if !has_rates {
            return self.specified_weight(instance);
        }
        let rate = rate_of(instance);
        if rate > 0.0 {
            return rate;
        }
        // An instance that is down counts as much as others of its group.
        let group_rates: Vec<f64> = serving()
            .filter(|serving| serving.group == instance.group)
            .map(rate_of)
            .collect();
        if group_rates.is_empty() {
            self.specified_weight(instance)
        } else {
            group_rates.iter().sum::<f64>() / group_rates.len() as f64
        }
    }

    fn specified_weight(&self, instance: &Instance) -> f64 {
        let group = self.spec.groups.get(&instance.group);
        group.map_or(1.0, |group| group.weight)
    }

    /// Checks that enough capacity serves without an instance.
    pub(super) fn check_min_capacity(&self, now: f64, instance: &Instance) -> Result<(), Blocked> {
        let capacity = self.capacity(now);
        let min_capacity = self.spec.change.floor;
        let remaining = capacity.serving - self.weight(now, instance);
        if remaining + ROUNDING >= min_capacity * capacity.total {
            return Ok(());
        }
        let is_down =
            |instance: &&Instance| self.is_desired(instance) && !instance.state.is_serving();
        let down = self.instances.values().filter(is_down);
        Err(Blocked::TooLittleCapacity {
            name: instance.name.clone(),
            serving_fraction: remaining / capacity.total.max(ROUNDING),
            min_capacity,
            down: down.map(|instance| instance.name.clone()).collect(),
        })
    }
}
