//! Windows of recent samples, and their combination with prior estimates.

use std::collections::VecDeque;

use crate::PriorEstimate;

/// Number of samples in a window. It covers one or two seconds of a busy operation: recent enough,
/// and large enough for a stable mean.
pub(crate) const WINDOW: usize = 24;

/// Number of own samples from which a prior estimate is ignored.
const SUFFICIENT_SAMPLES: usize = 8;
/// Number of samples that a prior estimate of full weight counts as.
const MAX_PRIOR_SAMPLES: f64 = 3.0;

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

/// A prior estimate expressed as a number of samples of the same value.
#[derive(Clone, Copy)]
pub(crate) struct WeightedPrior {
    pub value: f64,
    /// Number of samples, not necessarily an integer.
    pub samples: f64,
}

/// Weighs a prior estimate against a number of own samples: it counts as at most three samples, and
/// as none from eight own samples on.
pub(crate) fn weigh_prior(own_samples: usize, prior: Option<PriorEstimate>) -> WeightedPrior {
    match prior {
        Some(prior) if own_samples < SUFFICIENT_SAMPLES => WeightedPrior {
            value: prior.value,
            samples: MAX_PRIOR_SAMPLES * prior.weight.clamp(0.0, 1.0),
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

/// Whether there are fewer samples than make a prior estimate unnecessary.
pub(crate) fn lacks_samples(samples: &VecDeque<f64>) -> bool {
    samples.len() < SUFFICIENT_SAMPLES
}
