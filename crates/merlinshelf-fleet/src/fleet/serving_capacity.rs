//! The fleet's serving capacity, and whether a change may take an instance out of service.

use super::Fleet;
use crate::instance::{Instance, State};

/// Window over which the rate of service is measured, in seconds.
const RATE_WINDOW_SECONDS: f64 = 20.0;
/// Tolerance for rounding errors when capacities are compared.
const ROUNDING: f64 = 1e-9;

/// Serving capacity, as a sum of the instances' weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServingCapacity {
    /// Sum over the instances that serve.
    pub serving: f64,
    /// Sum over all instances that should serve.
    pub total: f64,
}

/// Why an instance can't be changed now.
#[derive(Debug, thiserror::Error)]
pub(super) enum Blocked {
    /// It is in a state in which it can't be changed.
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
        /// Instances that should serve and do not.
        down: Vec<String>,
    },
}

impl Blocked {
    /// Whether waiting is useless: no instance is down that could come back.
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
    /// The capacity in service, and the total if all desired instances served.
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

    /// The weight of an instance: its rate of service, or its group's weight until the rates are
    /// known.
    fn weight(&self, now: f64, instance: &Instance) -> f64 {
        let rate_of = |instance: &Instance| instance.success_rate(now, RATE_WINDOW_SECONDS);
        let serving = || {
            self.instances
                .values()
                .filter(|other| other.state.is_serving())
        };
        // Rates are used only if all serving instances have one: rates and specified weights must
        // not be mixed.
        let has_rates = serving().all(|serving| rate_of(serving) > 0.0) && serving().count() > 0;
        if !has_rates {
            return self.specified_weight(instance);
        }
        let rate = rate_of(instance);
        if rate > 0.0 {
            return rate;
        }
        // An instance that is down has the mean weight of its group.
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

    /// Checks that enough capacity would serve without an instance.
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
