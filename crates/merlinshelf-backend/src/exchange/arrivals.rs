//! The exchange towards the server side: doors, arrivals, and what connections ask of it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use merlinshelf::Invocation;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::hand::InHand;
use super::{Exchange, Reply, unix_ms};

/// With a full table of connections, idle ones stay no longer than this, so that others get in.
const CROWDED_IDLE: Duration = Duration::from_millis(20);

/// An invocation as it was read.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    pub caller: u64,
    /// When it came to the machine and how long its caller waits from then on.
    pub stamp_ms: f64,
    pub patience_ms: Option<f64>,
    pub again: bool,
    pub held_kb: f64,
    pub rank: f64,
    pub has_subject: bool,
}

/// The final answer to an invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Succeeded(Rc<[u8]>),
    Throttled { away: f64, last: bool },
    Errored,
}

/// What an invocation holds while it is being read: dropping it gives the place back.
#[derive(Debug)]
pub struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(taken: &Rc<Cell<usize>>) -> Place {
        taken.set(taken.get() + 1);
        Place(taken.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Exchange {
    pub(super) fn open_door(&mut self) -> (usize, Rc<Notify>) {
        self.counters.connections += 1;
        let opened = self.doors.open();
        self.counters.most_doors = self.counters.most_doors.max(self.doors.len() as u64);
        opened
    }

    /// Nobody is left behind it: the module is told of all that would have been answered there.
    pub(super) fn close_door(&mut self, number: usize) {
        for inv in self.hand.behind(number) {
            self.gone(inv);
        }
        self.counters.unheard += self.doors.close(number) as u64;
    }

    pub(super) fn gone(&mut self, inv: usize) {
        if let Some(one) = self.hand.get(inv) {
            one.reply = None;
        }
        self.counters.unheard += 1;
        self.decide(|shedder, now| shedder.caller_left(now, inv));
    }

    pub fn doors_open(&self) -> usize {
        self.doors.len()
    }

    pub fn operation(&self, name: &[u8]) -> Option<usize> {
        self.operations.get(name).copied()
    }

    pub fn passes_budget(&self) -> bool {
        self.settings.get("FamilyInfo.PassesDeadline").is_some_and(|text| text == "true")
    }

    pub fn healthy(&self) -> bool {
        self.healthy
    }

    /// How long a connection with nothing open may stay; none at all once the program is closing.
    pub fn trim_after(&self) -> Duration {
        match (self.closing, self.crowded) {
            (true, _) => Duration::ZERO,
            (_, true) => self.trim_after.min(CROWDED_IDLE),
            _ => self.trim_after,
        }
    }

    /// Whether all connections there may be are in use.
    pub fn set_crowded(&mut self, crowded: bool) {
        if crowded != self.crowded {
            self.crowded = crowded;
            self.doors.nudge_all();
        }
    }

    /// A place for one more invocation to be read, if there is one beside all that are read or in hand.
    pub fn take_place(&self) -> Option<Place> {
        let taken = self.hand.len() + self.reading.get();
        (taken < self.hand_most).then(|| Place::take(&self.reading))
    }

    /// From now on connections with nothing open are closed.
    pub fn close(&mut self) {
        self.closing = true;
        self.doors.nudge_all();
    }

    /// An invocation was read whole. False where its id is in hand already, so that it can't be told apart.
    pub fn arrived(&mut self, reply: Reply, arrival: Arrival) -> bool {
        if self.hand.find(arrival.id).is_some() {
            return false;
        }
        self.counters.invocations += 1;
        let told = told(&arrival, unix_ms());
        let Arrival { id, operation, body, .. } = arrival;
        let one = InHand {
            id,
            operation,
            body,
            reply: Some(reply),
            need: None,
            calls: 0,
            calling: false,
            begun: false,
            heard: 0,
        };
        let inv = self.hand.take(one);
        self.counters.most_in_hand = self.counters.most_in_hand.max(self.hand.len() as u64);
        if self.shedder.is_none() {
            warn!("{id} came before the engine was up");
            self.answer(inv, Answer::Throttled { away: 0.0, last: false });
            self.hand.give_back(inv);
            return true;
        }
        self.decide(|shedder, now| shedder.arrived(now, inv, told));
        true
    }

    /// An edge node has given one up by name.
    pub fn aborted(&mut self, reply: Reply) {
        let behind = self.hand.behind(reply.door);
        let same = |inv: &usize| self.hand.get(*inv).is_some_and(|one| one.reply == Some(reply));
        if let Some(inv) = behind.into_iter().find(same) {
            self.counters.aborted += 1;
            self.answer(inv, Answer::Errored);
            self.decide(|shedder, now| shedder.caller_left(now, inv));
        }
    }
}

/// What the module is told of an arrival: its age and what is left of its budget at this moment. A wall
/// clock that was stepped makes neither negative nor longer than its caller waits; a budget that is used
/// up stays one of nothing, which is not the same as none.
pub(super) fn told(arrival: &Arrival, unix_ms: f64) -> Invocation {
    let age = (unix_ms - arrival.stamp_ms).max(0.0);
    let budget = arrival.patience_ms.map(|patience| (patience - age).max(0.0) / 1e3);
    let most = arrival.patience_ms.unwrap_or(f64::INFINITY);
    Invocation {
        operation: arrival.operation,
        caller: arrival.caller,
        budget,
        age: age.min(most) / 1e3,
        held_kb: arrival.held_kb,
        rank: arrival.rank,
        again: arrival.again,
        has_subject: arrival.has_subject,
        ..Invocation::default()
    }
}
