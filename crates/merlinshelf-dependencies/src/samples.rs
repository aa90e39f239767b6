//! Bounded windows of the latest samples.

use std::collections::VecDeque;

/// Appends a sample; a full window first drops its oldest one.
pub(crate) fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T, capacity: usize) {
    if samples.len() == capacity {
        samples.pop_front();
    }
    samples.push_back(sample);
}
