//! The exchange towards the catalogue: calls below, their time-outs and their ends.

use std::rc::Rc;
use std::time::Duration;

use merlinshelf::Outcome;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::Exchange;
use super::alarms::Alarm;
use super::runs::Command;

/// Calls of one invocation take turns on so many connections: a late reply to one that was given up
/// names only the invocation, and must not pass for the reply to the next.
pub const LANES: usize = 3;

/// What the catalogue is to be asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Invoke {
        id: CallId,
        wait: f64,
        body: Rc<[u8]>,
    },
    Cancel {
        id: CallId,
    },
    /// Given up by the next call of the same invocation, which is under way on another lane: a `cancel` that
    /// came after that one might be taken for it.
    Forget {
        id: CallId,
    },
}

/// How a call below has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Called {
    Succeeded(Rc<[u8]>),
    NeverRan,
    /// It may have had its effect.
    Failed,
}

impl Exchange {
    pub fn orders_wake(&self, lane: usize) -> Rc<Notify> {
        self.orders[lane].wake()
    }

    /// The next order on that lane; a call that was given up before it was sent is left out.
    pub fn next_order(&mut self, lane: usize) -> Option<Order> {
        loop {
            match self.orders[lane].pop()? {
                Order::Invoke { id, .. } if !self.awaits(id, lane) => {}
                order => return Some(order),
            }
        }
    }

    pub fn has_orders(&self, lane: usize) -> bool {
        !self.orders[lane].is_empty()
    }

    /// Whether a call of that invocation is open on that lane.
    pub(super) fn awaits(&mut self, id: CallId, lane: usize) -> bool {
        let one = self.hand.find(id).and_then(|inv| self.hand.get(inv));
        one.is_some_and(|one| one.calling && one.calls % LANES == lane)
    }

    /// A call on that lane has ended.
    pub fn call_ended(&mut self, id: CallId, lane: usize, called: Called) {
        let awaited = self.awaits(id, lane);
        let Some(inv) = self.hand.find(id).filter(|_| awaited) else {
            self.counters.late_replies += 1;
            return;
        };
        let outcome = Outcome {
            succeeded: matches!(called, Called::Succeeded(_)),
            never_ran: called == Called::NeverRan,
            stopped: false,
        };
        match &called {
            Called::Succeeded(_) => self.counters.calls_succeeded += 1,
            Called::NeverRan => self.counters.calls_never_ran += 1,
            Called::Failed => self.counters.calls_failed += 1,
        }
        if let Some(one) = self.hand.get(inv) {
            one.calling = false;
            if let Called::Succeeded(reply) = called {
                self.counters.feeds += 1;
                self.commands.push((Command::Feed { id, reply }, one.heard));
            }
        }
        self.decide(|shedder, now| shedder.call_ended(now, inv, outcome, 0.0));
    }

    /// Gives up an open call of this invocation.
    pub(super) fn drop_call(&mut self, inv: usize) -> bool {
        let Some(one) = self.hand.get(inv).filter(|one| one.calling) else { return false };
        one.calling = false;
        self.counters.cancels += 1;
        let (id, lane) = (one.id, one.calls % LANES);
        self.orders[lane].push(Order::Cancel { id });
        true
    }

    pub(super) fn call_timed_out(&mut self, id: CallId, number: usize) {
        let Some(inv) = self.hand.find(id) else { return };
        if self.hand.get(inv).is_some_and(|one| one.calls == number) && self.drop_call(inv) {
            self.counters.calls_timed_out += 1;
            self.decide(|shedder, now| shedder.call_ended(now, inv, Outcome::default(), 0.0));
        }
    }

    pub(super) fn call(&mut self, inv: usize, wait: f64) {
        self.drop_call(inv);
        let Some(one) = self.hand.get(inv) else { return };
        let Some((_, body)) = one.need.clone() else { return };
        let (id, before) = (one.id, one.calls % LANES);
        for order in self.orders[before].iter_mut().filter(|order| **order == Order::Cancel { id }) {
            *order = Order::Forget { id };
        }
        one.calls += 1;
        one.calling = true;
        let calls = one.calls;
        self.counters.calls += 1;
        self.orders[calls % LANES].push(Order::Invoke { id, wait, body });
        let at = self.origin.elapsed() + Duration::from_secs_f64(wait.clamp(0.001, 3600.0));
        self.set_alarm(at, Alarm::Call(id, calls));
    }
}
