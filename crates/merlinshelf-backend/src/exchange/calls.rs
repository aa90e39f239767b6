//! The exchange towards the catalogue: calls below, their time-outs and their ends.

use std::rc::Rc;
use std::time::Duration;

use merlinshelf_admission::Outcome;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::alarms::Alarm;
use super::runs::Command;
use super::{Exchange, Wanting};

/// Which call of its invocation one is: the first is 1.
pub type CallNumber = usize;

/// What the catalogue is to be asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Invoke {
        id: CallId,
        number: CallNumber,
        wait: f64,
        body: Rc<[u8]>,
        wanted: Wanted,
    },
    GiveUp {
        id: CallId,
        number: CallNumber,
    },
}

/// Whose call it is, as far as dependencies are told apart.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    pub operation: Rc<str>,
    /// Which of the calls that its run wants it is, from 0.
    pub place: usize,
    /// The dependency that the run named.
    pub named: Option<Rc<str>>,
    /// Seconds that its caller still waits.
    pub left: Option<f64>,
    pub idempotent: bool,
}

/// How a call below has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Called {
    Succeeded(Rc<[u8]>),
    /// A lesser answer, or nothing, in place of the reply of this dependency.
    Lesser {
        reply: Option<Rc<[u8]>>,
        missing: Rc<str>,
    },
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
            // With a lesser answer the run goes on as with any other.
            succeeded: matches!(called, Called::Succeeded(_) | Called::Lesser { .. }),
            never_ran: called == Called::NeverRan,
            stopped: false,
        };
        match &called {
            Called::Succeeded(_) => self.counters.calls_succeeded += 1,
            Called::Lesser { .. } => self.counters.calls_lesser += 1,
            Called::NeverRan => self.counters.calls_never_ran += 1,
            Called::Failed => self.counters.calls_failed += 1,
        }
        if let Some(one) = self.hand.get(inv) {
            (one.calling, one.calling_until) = (false, None);
        }
        match called {
            Called::Succeeded(reply) => {
                self.counters.feeds += 1;
                self.give(inv, Command::Feed { id, reply });
            }
            Called::Lesser { reply, missing } => {
                self.note_missing(inv, missing);
                match reply {
                    Some(reply) => {
                        self.counters.feeds += 1;
                        self.give(inv, Command::Feed { id, reply });
                    }
                    None => self.degrade(inv),
                }
            }
            Called::NeverRan | Called::Failed => {}
        }
        self.call_is_over(inv, outcome);
    }

    /// Whose call the one is that this invocation's run wants now.
    pub(super) fn wanted(&mut self, inv: usize) -> Wanted {
        let now = self.origin.elapsed();
        let Some(one) = self.hand.look(inv) else {
            unreachable!("a call of nobody")
        };
        Wanted {
            operation: self.names[one.operation].clone(),
            place: one.wanted.saturating_sub(1),
            named: one.named.clone(),
            left: one.due.map(|due| due.saturating_sub(now).as_secs_f64()),
            idempotent: self.idempotent[one.operation],
        }
    }

    /// The result will be without this part.
    fn note_missing(&mut self, inv: usize, part: Rc<str>) {
        if let Some(one) = self
            .hand
            .get(inv)
            .filter(|one| !one.missing.contains(&part))
        {
            one.missing.push(part);
        }
    }

    /// By operation, what its calls are called where dependencies are told apart; a result that is without one says so.
    pub fn set_parts(&mut self, parts: impl Fn(&str) -> Vec<Rc<str>>) {
        self.parts = Some(self.names.iter().map(|name| parts(name)).collect());
    }

    /// Whether runs may name the dependencies of their calls.
    pub fn names_dependencies(&self) -> bool {
        self.parts.is_some()
    }

    /// The module leaves a call out: the result is without that part.
    pub(super) fn note_left_out(&mut self, inv: usize) {
        let Some(parts) = &self.parts else { return };
        let Some(one) = self.hand.look(inv) else {
            return;
        };
        let part = one.named.clone().or_else(|| {
            parts
                .get(one.operation)?
                .get(one.wanted.saturating_sub(1))
                .cloned()
        });
        if let Some(part) = part {
            self.note_missing(inv, part);
        }
    }

    /// Gives up an open call of this invocation.
    pub(super) fn drop_call(&mut self, inv: usize) -> bool {
        let Some(one) = self.hand.get(inv).filter(|one| one.calling) else {
            return false;
        };
        (one.calling, one.calling_until) = (false, None);
        self.counters.cancels += 1;
        let (id, number) = (one.id, one.calls);
        self.orders.push(Order::GiveUp { id, number });
        true
    }

    pub(super) fn call_timed_out(&mut self, id: CallId, number: CallNumber) {
        let Some(inv) = self.hand.find(id) else {
            return;
        };
        if self.hand.get(inv).is_some_and(|one| one.calls == number) && self.drop_call(inv) {
            self.counters.calls_timed_out += 1;
            self.call_is_over(inv, Outcome::default());
        }
    }

    fn call_is_over(&mut self, inv: usize, outcome: Outcome) {
        // Only what may be called again spends a further call.
        let repeats = self
            .hand
            .look(inv)
            .is_some_and(|one| self.idempotent[one.operation])
            || outcome.never_ran;
        let again = !outcome.succeeded && repeats;
        self.note_end(outcome.succeeded, again);
        let wanting = Wanting { call: false, again };
        self.decide_on(wanting, |shedder, now| {
            shedder.call_ended(now, inv, outcome)
        });
    }

    pub(super) fn call(&mut self, inv: usize, wait: f64) {
        self.drop_call(inv);
        let Some(one) = self.hand.get(inv) else {
            return;
        };
        let Some((_, body)) = one.need.clone() else {
            return;
        };
        let at = self.origin.elapsed() + Duration::from_secs_f64(wait.clamp(0.001, 3600.0));
        one.calls += 1;
        (one.calling, one.calling_until) = (true, Some(at));
        let (id, number) = (one.id, one.calls);
        self.counters.calls += 1;
        let wanted = self.wanted(inv);
        self.orders.push(Order::Invoke {
            id,
            number,
            wait,
            body,
            wanted,
        });
        self.set_alarm(at, Alarm::Call(id, number));
    }
}
