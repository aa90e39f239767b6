//! The exchange towards the catalogue: calls below, their time-outs and their ends.

use std::rc::Rc;
use std::time::Duration;

use merlinshelf::Outcome;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::Exchange;
use super::alarms::Alarm;
use super::runs::Command;

/// Which call of its invocation one is: the first is 1.
pub type CallNumber = usize;

/// What the catalogue is to be asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Invoke { id: CallId, number: CallNumber, wait: f64, body: Rc<[u8]> },
    GiveUp { id: CallId, number: CallNumber },
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
    pub fn orders_wake(&self) -> Rc<Notify> {
        self.orders.wake()
    }

    pub fn next_order(&mut self) -> Option<Order> {
        self.orders.pop()
    }

    /// Whether that call of that invocation is open.
    pub(super) fn awaits(&mut self, id: CallId, number: CallNumber) -> bool {
        let one = self.hand.find(id).and_then(|inv| self.hand.get(inv));
        one.is_some_and(|one| one.calling && one.calls == number)
    }

    /// A call has ended.
    pub fn call_ended(&mut self, id: CallId, number: CallNumber, called: Called) {
        let awaited = self.awaits(id, number);
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
            (one.calling, one.calling_until) = (false, None);
        }
        if let Called::Succeeded(reply) = called {
            self.counters.feeds += 1;
            self.give(inv, Command::Feed { id, reply });
        }
        self.decide(|shedder, now| shedder.call_ended(now, inv, outcome, 0.0));
    }

    /// Gives up an open call of this invocation.
    pub(super) fn drop_call(&mut self, inv: usize) -> bool {
        let Some(one) = self.hand.get(inv).filter(|one| one.calling) else { return false };
        (one.calling, one.calling_until) = (false, None);
        self.counters.cancels += 1;
        let (id, number) = (one.id, one.calls);
        self.orders.push(Order::GiveUp { id, number });
        true
    }

    pub(super) fn call_timed_out(&mut self, id: CallId, number: CallNumber) {
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
        let at = self.origin.elapsed() + Duration::from_secs_f64(wait.clamp(0.001, 3600.0));
        one.calls += 1;
        (one.calling, one.calling_until) = (true, Some(at));
        let (id, number) = (one.id, one.calls);
        self.counters.calls += 1;
        self.orders.push(Order::Invoke { id, number, wait, body });
        self.set_alarm(at, Alarm::Call(id, number));
    }
}
