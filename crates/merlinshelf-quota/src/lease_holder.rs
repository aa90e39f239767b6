//! Who spends: asks whether a call may be made now, and is told so at once.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::LeaseTerms;
use crate::messages::{QuotaGrant, QuotaRequest};

/// Askings whose answers are waited for.
const ASKS_MOST: usize = 16;

/// The state machine of one holder, for one budget. `now` is its own clock in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaLeaseHolder {
    life: u64,
    lease: LeaseTerms,
    /// What it goes by: whose and which number, calls a second, until when.
    share: ((u64, u64), u32, f64),
    /// The last share than which nothing more is spent here, or by those it was shared out among.
    settled: (u64, u64),
    token: u64,
    asks: VecDeque<(u64, f64)>,
    /// When calls were made, of the last window.
    made: VecDeque<f64>,
    /// Since the last asking: calls wanted, how many of them were made, and the worth of those wanted together.
    wanted: u32,
    spent: u32,
    worth: f64,
    /// What was wanted in the rounds of the last window, and when each ended.
    lately: VecDeque<(f64, u32)>,
    need: f64,
}

impl QuotaLeaseHolder {
    /// One that holds nothing yet. `life` is a number that no other process of this holder has.
    pub fn new(life: u64, lease: LeaseTerms) -> QuotaLeaseHolder {
        QuotaLeaseHolder {
            life,
            lease,
            share: ((0, 0), 0, 0.0),
            settled: (0, 0),
            token: 0,
            asks: VecDeque::new(),
            made: VecDeque::new(),
            wanted: 0,
            spent: 0,
            worth: 0.0,
            lately: VecDeque::new(),
            need: 0.0,
        }
    }

    /// Calls a second that may be made now, and until when; none where that ends with nothing that was given.
    pub fn usable(&self, now: f64) -> (u32, Option<f64>) {
        let (_, calls, until) = self.share;
        if now < until && calls > 0 {
            (calls, Some(until))
        } else {
            (0, None)
        }
    }

    /// Calls that may be made at this very moment.
    pub fn remaining(&mut self, now: f64) -> u32 {
        let window = self.lease.window();
        while self.made.front().is_some_and(|at| *at <= now - window) {
            self.made.pop_front();
        }
        self.usable(now).0.saturating_sub(self.made.len() as u32)
    }

    /// So many were made, of those that were left.
    pub fn record_spent(&mut self, now: f64, calls: u32) {
        self.made.extend((0..calls).map(|_| now));
        self.spent += calls;
    }

    /// A call is wanted, whether it can be made or not. `worth` is what is lost where it can't.
    pub fn record_demand(&mut self, worth: f64) {
        self.wanted += 1;
        self.worth += worth;
    }

    /// Whether a call that is wanted may be made now; it is counted as made where it may.
    pub fn try_spend(&mut self, now: f64, worth: f64) -> bool {
        self.record_demand(worth);
        let may = self.remaining(now) > 0;
        if may {
            self.record_spent(now, 1);
        }
        may
    }

    /// A round: says what is needed. Of a need that is there no more half is left each time.
    pub fn request(&mut self, now: f64) -> QuotaRequest {
        let wanted = self.wanted.max(self.spent);
        self.lately.push_back((now, wanted));
        while self
            .lately
            .front()
            .is_some_and(|(at, _)| *at <= now - self.lease.window())
        {
            self.lately.pop_front();
        }
        let rate: u32 = self.lately.iter().map(|(_, wanted)| wanted).sum();
        // Twice the root by which wishes stray from their mean: with the mean alone a third found nothing left.
        let rate = f64::from(rate) + 2.0 * f64::from(rate).sqrt();
        let refused = self.wanted > self.spent;
        self.need = rate
            .max(self.need / 2.0)
            .max(if refused { 1.0 } else { 0.0 });
        let worth = if refused {
            self.worth / f64::from(self.wanted)
        } else {
            0.0
        };
        let spent = self.spent;
        (self.wanted, self.spent, self.worth) = (0, 0, 0.0);
        let need = if self.need < 0.05 {
            0
        } else {
            self.need.ceil() as u32
        };
        QuotaRequest {
            calls_spent: spent,
            ..self.request_for(now, need, worth, 0)
        }
    }

    /// The same where others' needs are added up, as a host does for its instances. `held`: the most that they may be spending.
    pub fn request_for(&mut self, now: f64, need: u32, worth: f64, held: u32) -> QuotaRequest {
        if held <= self.usable(now).0 {
            self.settled = self.share.0;
        }
        self.token += 1;
        self.asks.push_back((self.token, now));
        if self.asks.len() > ASKS_MOST {
            self.asks.pop_front();
        }
        QuotaRequest {
            incarnation: self.life,
            request_id: self.token,
            calls_needed: need,
            priority_weight: worth,
            acknowledged_grant: self.settled,
            calls_spent: 0,
        }
    }

    /// A share has come, however late. One that answers an asking before another answer's says nothing any more.
    pub fn handle_grant(&mut self, share: &QuotaGrant) {
        let asked = self
            .asks
            .iter()
            .find(|(token, _)| *token == share.request_id)
            .map(|(_, at)| *at);
        let Some(asked) = asked.filter(|_| share.incarnation == self.life) else {
            return;
        };
        self.asks.retain(|(token, _)| *token > share.request_id);
        self.share = (
            (share.allocator_id, share.grant_number),
            share.calls_per_second,
            asked + self.lease.holder_duration(share.duration_seconds),
        );
    }
}
