//! Windows of the last few samples.

use std::collections::VecDeque;

use crate::PriorEstimate;

/// Samples that a window holds: a second or two of a busy operation, recent but not jumpy.
pub(crate) const WINDOW: usize = 24;

/// Own samples from which on a prior estimate counts nothing.
const PRIOR_UNTIL: usize = 8;
/// What a prior estimate counts for, in samples, at its full weight.
const PRIOR_SAMPLES: f64 = 3.0;

/// Adds a sample and drops the oldest one of a full window.
pub(crate) fn push<T>(samples: &mut VecDeque<T>, value: T) {
    if samples.len() == WINDOW {
        samples.pop_front();
    }
    samples.push_back(value);
}

/// The mean of a window, 0 where it is empty.
pub(crate) fn mean(samples: &VecDeque<f64>) -> f64 {
    samples.iter().sum::<f64>() / samples.len().max(1) as f64
}

/// A prior estimate as so many samples of one value.
#[derive(Clone, Copy)]
pub(crate) struct WeightedPrior {
    pub value: f64,
    pub samples: f64,
}

/// What a prior estimate counts beside so many own samples: as three at the most, nothing beside
/// eight.
pub(crate) fn weigh_prior(own_samples: usize, prior: Option<PriorEstimate>) -> WeightedPrior {
    match prior {
        Some(prior) if own_samples < PRIOR_UNTIL => WeightedPrior {
            value: prior.value,
            samples: PRIOR_SAMPLES * prior.weight.clamp(0.0, 1.0),
        },
        _ => WeightedPrior {
            value: 0.0,
            samples: 0.0,
        },
    }
}

/// The mean of own samples and a prior estimate.
pub(crate) fn mean_with_prior(samples: &VecDeque<f64>, prior: Option<PriorEstimate>) -> f64 {
    let prior = weigh_prior(samples.len(), prior);
    let sum = samples.iter().sum::<f64>() + prior.value * prior.samples;
    sum / (samples.len() as f64 + prior.samples).max(1e-9)
}

/// Whether fewer samples are there than make a prior estimate unnecessary.
pub(crate) fn are_few(samples: &VecDeque<f64>) -> bool {
    samples.len() < PRIOR_UNTIL
}
