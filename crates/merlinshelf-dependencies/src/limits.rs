//! How many calls are at a dependency at one time, and who is next where there is no room: a limit that follows what calls take
//! against the least that they took, and a queue that is fair between operations and bounded by time.

use std::collections::{BTreeMap, VecDeque};

/// A limit in the design's spirit: it rises while calls take little more than the least, and falls while they queue.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    most: f64,
    recent: VecDeque<f64>,
    lowest: f64,
    until_probe: u32,
    /// Calls that have ended since the last step.
    since_step: f64,
    /// The limit to go back to, while the lowest is taken anew.
    probing: Option<f64>,
    /// The limit and the mean from which it fell last.
    fell_from: Option<(f64, f64)>,
}

/// Means of 8 stray by a third, the lowest of many lies as far under: twice that may be chance, three times is not.
const RISES_UNDER: f64 = 0.5;
const FALLS_OVER: f64 = 0.67;
const RECENT: usize = 8;
/// Steps until the lowest is taken anew, at a quarter of the limit for one step: under its own queue (which at half would still be half) it would only rise.
const PROBE: u32 = 100;
const STEP: f64 = 0.1;
/// A queue of calls halves with them. Where half as many take more than so much of what all took, it was no queue: the dependency has
/// become slower by itself, and to fall further would only cost.
const HALVED: f64 = 0.5;
const NO_QUEUE_FROM: f64 = 0.8;

impl ConcurrencyLimit {
    pub fn new(first: f64, most: f64) -> ConcurrencyLimit {
        let most = most.max(1.0);
        ConcurrencyLimit {
            limit: first.clamp(1.0, most),
            most,
            recent: VecDeque::new(),
            lowest: f64::INFINITY,
            until_probe: PROBE,
            since_step: 0.0,
            probing: None,
            fell_from: None,
        }
    }

    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Whether one more may be open.
    pub fn has_room(&self, open: usize) -> bool {
        (open as f64) < self.limit.floor().max(1.0)
    }

    /// A call has ended well, after so many seconds, with so many open beside it. What is not used up is not raised.
    pub fn ended(&mut self, took: f64, open: usize) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(took.max(1e-6));
        if self.recent.len() < RECENT {
            return;
        }
        let recent = self.recent.iter().sum::<f64>() / RECENT as f64;
        self.lowest = self.lowest.min(recent);
        // What a step does shows only once the calls that were open have ended: a step for each of these would overshoot.
        self.since_step += 1.0;
        if self.since_step < self.limit.max(self.probing.unwrap_or(0.0)) {
            return;
        }
        self.since_step = 0.0;
        if let Some(limit) = self.probing.take() {
            // At a quarter little queues: what it takes now is near the least.
            (self.limit, self.lowest, self.until_probe) = (limit, recent, PROBE);
            return;
        }
        self.until_probe -= 1;
        if self.until_probe == 0 {
            self.probing = Some(self.limit);
            self.limit = (0.25 * self.limit).max(1.0);
            return;
        }
        let queued = 1.0 - self.lowest / recent;
        let used = 2.0 * (open as f64 + 1.0) >= self.limit.floor();
        if queued > FALLS_OVER {
            let (from, took) = *self.fell_from.get_or_insert((self.limit, recent));
            self.limit *= 1.0 - STEP;
            if self.limit <= HALVED * from || self.limit <= 1.0 {
                if recent > NO_QUEUE_FROM * took {
                    self.lowest = recent;
                }
                self.fell_from = None;
            }
        } else if queued < RISES_UNDER && used {
            self.fell_from = None;
            self.limit *= 1.0 + STEP;
        }
        self.limit = self.limit.clamp(1.0, self.most);
    }
}

/// Calls that wait for room, by operation.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<usize, VecDeque<(u64, f64)>>,
    open: BTreeMap<usize, u32>,
}

impl WaitQueue {
    /// A call of an operation waits, until this moment at the longest.
    pub fn wait(&mut self, operation: usize, call: u64, until: f64) {
        self.queues
            .entry(operation)
            .or_default()
            .push_back((call, until));
    }

    /// Calls whose time to wait is over: they are not made.
    pub fn late(&mut self, now: f64) -> Vec<u64> {
        let mut late = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|(call, until)| {
                let waits = now < *until;
                if !waits {
                    late.push(*call);
                }
                waits
            });
        }
        late
    }

    /// The next one to be made: of the operation that has the fewest open, so that none is kept out by a busier one.
    pub fn take(&mut self) -> Option<(usize, u64)> {
        let waits = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let open = |operation: &usize| self.open.get(operation).copied().unwrap_or(0);
        let operation = *waits.min_by_key(|(operation, _)| open(operation))?.0;
        let (call, _) = self.queues.get_mut(&operation)?.pop_front()?;
        self.began(operation);
        Some((operation, call))
    }

    /// A call of it was made, without waiting.
    pub fn began(&mut self, operation: usize) {
        *self.open.entry(operation).or_default() += 1;
    }

    /// A call that waited is wanted no more.
    pub fn forget(&mut self, call: u64) {
        self.queues
            .values_mut()
            .for_each(|queue| queue.retain(|(known, _)| *known != call));
    }

    pub fn ended(&mut self, operation: usize) {
        if let Some(open) = self.open.get_mut(&operation) {
            *open = open.saturating_sub(1);
        }
    }

    pub fn len(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
