//! Whether a call is made again, or a second one beside it: out of a budget that successes fill, never where an effect might
//! happen twice, and not while the dependency as a whole fails.

use std::collections::VecDeque;

/// What a call may do if it is made twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same again.
    Idempotent,
    /// Something twice.
    NonIdempotent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Succeeded,
    /// It never reached the server: the connection was refused.
    NeverSent,
    /// The server said that it failed and did nothing.
    Refused,
    /// Whatever else: it may have taken effect.
    Unknown,
}

/// Further attempts that each success pays for: a tenth keeps all attempts under 1.1 a call.
const EACH_SUCCESS: f64 = 0.1;
/// RetryBudget that may be saved up, and with how many one begins.
const SAVED_MOST: f64 = 10.0;
/// The last calls by which the dependency as a whole is judged, and from which share of failures on it fails: while more than one in
/// five still goes well, to hold them all back costs more than it saves.
const LAST: usize = 50;
const FAILS_FROM: f64 = 0.8;
/// Durations by which a call is found slow, and the part of them that is quicker.
const DURATIONS: usize = 100;
const QUICKER: f64 = 0.95;

/// The budget of one dependency.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
    last: VecDeque<bool>,
    durations: VecDeque<f64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            saved: SAVED_MOST,
            last: VecDeque::new(),
            durations: VecDeque::new(),
        }
    }
}

fn keep<T>(samples: &mut VecDeque<T>, value: T, most: usize) {
    if samples.len() == most {
        samples.pop_front();
    }
    samples.push_back(value);
}

impl RetryBudget {
    /// An attempt has ended, after so many seconds.
    pub fn ended(&mut self, ended: AttemptOutcome, took: f64) {
        let well = ended == AttemptOutcome::Succeeded;
        keep(&mut self.last, well, LAST);
        if well {
            self.saved = (self.saved + EACH_SUCCESS).min(SAVED_MOST);
            keep(&mut self.durations, took, DURATIONS);
        }
    }

    /// Whether the dependency as a whole fails: no further attempt helps, each only adds to its load.
    pub fn fails(&self) -> bool {
        let failures = self.last.iter().filter(|well| !**well).count();
        self.last.len() >= 10 && failures as f64 >= FAILS_FROM * self.last.len() as f64
    }

    /// That it failed counts no more: others found that it is back.
    pub fn forget_failures(&mut self) {
        self.last.clear();
    }

    /// Whether it may be made again after this end; it is paid for at once.
    pub fn again(&mut self, effect: Effect, ended: AttemptOutcome) -> bool {
        let harmless = match ended {
            AttemptOutcome::Succeeded => false,
            AttemptOutcome::NeverSent | AttemptOutcome::Refused => true,
            AttemptOutcome::Unknown => effect == Effect::Idempotent,
        };
        harmless && self.pay()
    }

    /// After how many seconds a second call may be made beside the first; none where that is never.
    pub fn hedge_after(&self, effect: Effect) -> Option<f64> {
        if effect != Effect::Idempotent || self.durations.len() < DURATIONS / 5 {
            return None;
        }
        let mut sorted: Vec<f64> = self.durations.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted
            .get(((sorted.len() - 1) as f64 * QUICKER).ceil() as usize)
            .copied()
    }

    /// Whether the second call is made now; it is paid for at once.
    pub fn hedge(&mut self, effect: Effect) -> bool {
        effect == Effect::Idempotent && self.pay()
    }

    /// RetryBudget that are left.
    pub fn left(&self) -> f64 {
        self.saved
    }

    fn pay(&mut self) -> bool {
        let may = self.saved >= 1.0 && !self.fails();
        if may {
            self.saved -= 1.0;
        }
        may
    }
}
