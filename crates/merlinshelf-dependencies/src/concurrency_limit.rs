//! A concurrency limit based on measured queueing, as in TCP Vegas: it rises while calls take
//! little longer than the lowest measured duration, and falls while they queue.

use std::collections::VecDeque;

use crate::samples::push_bounded;

/// Number of durations in the mean that is compared with the lowest one.
const WINDOW: usize = 8;
/// Shortest duration that is recorded, in seconds.
const MIN_DURATION_SECONDS: f64 = 1e-6;
/// Share of queueing in a call's duration below which the limit rises, and above which it falls.
/// Means of 8 durations deviate by up to a third, and the lowest of many means lies as far below
/// the true one. A mean of twice the lowest may therefore be noise; three times the lowest is
/// queueing.
const RISE_BELOW_QUEUEING: f64 = 0.5;
const FALL_ABOVE_QUEUEING: f64 = 0.67;
/// Relative size of a step.
const STEP: f64 = 0.1;
/// Steps between probes, which measure the lowest duration again. A probe reduces the limit to a
/// quarter for one step: at half of the limit, half of the queue would remain and be mistaken for
/// part of the lowest duration, so that the limit would only rise.
const STEPS_BETWEEN_PROBES: u32 = 100;
const PROBE_SHARE: f64 = 0.25;
/// Halving the limit halves a queue. If calls at half of the limit still take more than this share
/// of their previous duration, there was no queue: the dependency itself has become slower, and a
/// lower limit would only reduce throughput.
const HALVED_SHARE: f64 = 0.5;
const NO_QUEUE_SHARE: f64 = 0.8;

/// The limit and the mean duration at the start of a decrease.
#[derive(Clone, Copy, Debug)]
struct FallStart {
    limit: f64,
    mean_seconds: f64,
}

/// The number of calls that may be in flight concurrently.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    recent_seconds: VecDeque<f64>,
    lowest_seconds: f64,
    steps_until_probe: u32,
    calls_since_step: f64,
    /// During a probe: the limit to restore after it.
    limit_before_probe: Option<f64>,
    fall_start: Option<FallStart>,
}

impl ConcurrencyLimit {
    /// A limit that starts at `initial` and stays between 1 and `max`.
    pub fn new(initial: f64, max: f64) -> ConcurrencyLimit {
        let max = max.max(1.0);
        ConcurrencyLimit {
            limit: initial.clamp(1.0, max),
            max,
            recent_seconds: VecDeque::new(),
            lowest_seconds: f64::INFINITY,
            steps_until_probe: STEPS_BETWEEN_PROBES,
            calls_since_step: 0.0,
            limit_before_probe: None,
            fall_start: None,
        }
    }

    /// The present limit; its integer part is the number of calls.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Whether one more call may be made in addition to those in flight.
    pub fn has_capacity(&self, in_flight: usize) -> bool {
        (in_flight as f64) < self.limit.floor().max(1.0)
    }

    /// Records a call that succeeded after `duration_seconds`, with `in_flight` others still in
    /// flight. A limit of which less than half is in use is not raised.
    pub fn record_success(&mut self, duration_seconds: f64, in_flight: usize) {
        let duration_seconds = duration_seconds.max(MIN_DURATION_SECONDS);
        push_bounded(&mut self.recent_seconds, duration_seconds, WINDOW);
        if self.recent_seconds.len() < WINDOW {
            return;
        }
        let mean_seconds = self.recent_seconds.iter().sum::<f64>() / WINDOW as f64;
        self.lowest_seconds = self.lowest_seconds.min(mean_seconds);
        // The effect of a step is visible only after the calls in flight have ended; a step per
        // call would overshoot.
        self.calls_since_step += 1.0;
        if self.calls_since_step < self.limit.max(self.limit_before_probe.unwrap_or(0.0)) {
            return;
        }
        self.calls_since_step = 0.0;
        if let Some(limit) = self.limit_before_probe.take() {
            self.finish_probe(limit, mean_seconds);
            return;
        }
        self.steps_until_probe -= 1;
        if self.steps_until_probe == 0 {
            self.limit_before_probe = Some(self.limit);
            self.limit = (PROBE_SHARE * self.limit).max(1.0);
            return;
        }
        self.step(mean_seconds, in_flight);
    }

    /// Ends a probe. At a quarter of the limit there is little queueing, so that the mean is close
    /// to the lowest duration.
    fn finish_probe(&mut self, limit: f64, mean_seconds: f64) {
        self.limit = limit;
        self.lowest_seconds = mean_seconds;
        self.steps_until_probe = STEPS_BETWEEN_PROBES;
    }

    fn step(&mut self, mean_seconds: f64, in_flight: usize) {
        let queueing = 1.0 - self.lowest_seconds / mean_seconds;
        let is_used = 2.0 * (in_flight as f64 + 1.0) >= self.limit.floor();
        if queueing > FALL_ABOVE_QUEUEING {
            self.fall(mean_seconds);
        } else if queueing < RISE_BELOW_QUEUEING && is_used {
            self.fall_start = None;
            self.limit *= 1.0 + STEP;
        }
        self.limit = self.limit.clamp(1.0, self.max);
    }

    fn fall(&mut self, mean_seconds: f64) {
        let start = *self.fall_start.get_or_insert(FallStart {
            limit: self.limit,
            mean_seconds,
        });
        self.limit *= 1.0 - STEP;
        if self.limit <= HALVED_SHARE * start.limit || self.limit <= 1.0 {
            if mean_seconds > NO_QUEUE_SHARE * start.mean_seconds {
                self.lowest_seconds = mean_seconds;
            }
            self.fall_start = None;
        }
    }
}
