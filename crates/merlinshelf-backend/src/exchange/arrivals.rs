//! The exchange towards the server side: doors, arrivals, and what connections ask of it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use merlinshelf_admission::Invocation;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::hand::InHand;
use super::{Exchange, Reply, unix_ms};

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
    /// Succeeded without these parts, as the caller is told.
    Partial(Rc<[u8]>, Rc<str>),
    Throttled {
        away: f64,
        last: bool,
    },
    Errored,
    /// The engine knows of no such invocation.
    Unknown,
}

/// The bytes that an invocation holds while it is being read, of those that all may hold: dropping it gives
/// them back.
#[derive(Debug)]
pub struct Place {
    taken: Rc<Cell<usize>>,
    most: usize,
    bytes: usize,
}

/// What each needs beside the bytes that came.
const PLACE_BYTES: usize = 256;

impl Place {
    /// Room for so many bytes more; false where all together would hold too many.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.taken.get() + bytes;
        let fits = taken <= self.most;
        if fits {
            self.taken.set(taken);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.taken.set(self.taken.get() - self.bytes);
    }
}

impl Exchange {
    pub(super) fn open_door(&mut self, stream: Option<u64>) -> (usize, u64, Rc<Notify>) {
        let stream = stream.unwrap_or_else(|| {
            self.counters.connections += 1;
            self.next_stream()
        });
        let (number, wake) = self.doors.open(stream);
        let opened = (number, stream, wake);
        self.counters.most_doors = self.counters.most_doors.max(self.doors.len() as u64);
        opened
    }

    /// Nobody is left behind it: the module is told of all that would have been answered there.
    pub(super) fn close_door(&mut self, number: usize) {
        if self.is_frozen() {
            self.handed_in += 1; // it goes on elsewhere, and the image still names it
            return;
        }
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
        self.decide(|shedder, now| shedder.caller_disconnected(now, inv));
    }

    pub fn doors_open(&self) -> usize {
        self.doors.len() - self.handed_in
    }

    pub fn operation(&self, name: &[u8]) -> Option<usize> {
        self.operations.get(name).copied()
    }

    pub fn passes_budget(&self) -> bool {
        self.settings
            .get("FamilyInfo.PassesDeadline")
            .is_some_and(|text| text == "true")
    }

    pub fn healthy(&self) -> bool {
        self.healthy
    }

    /// How long a connection with nothing open may stay; none at all once the program is closing.
    pub fn trim_after(&self) -> Duration {
        if self.closing {
            Duration::ZERO
        } else {
            self.trim_after
        }
    }

    /// A place for one more invocation to be read, if there is one beside all that are read and those in hand.
    pub fn take_place(&self) -> Option<Place> {
        let mut place = Place {
            taken: self.reading.clone(),
            most: self.reading_most,
            bytes: 0,
        };
        (!self.is_full() && place.grow(PLACE_BYTES)).then_some(place)
    }

    /// The place of one that another process was reading: it had one, and what was begun is not cut off by a bound.
    pub fn keep_place(&self, bytes: usize) -> Place {
        let mut place = Place {
            taken: self.reading.clone(),
            most: usize::MAX,
            bytes: 0,
        };
        place.grow(PLACE_BYTES + bytes);
        place.most = self.reading_most;
        place
    }

    /// Whether as many are in hand as there may be.
    pub fn is_full(&self) -> bool {
        self.hand.len() >= self.hand_most
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
        let Arrival {
            id,
            operation,
            body,
            ..
        } = arrival;
        let one = InHand {
            id,
            operation,
            body,
            reply: Some(reply),
            need: None,
            named: None,
            wanted: 0,
            missing: Vec::new(),
            due: told.caller_timeout.map(|budget| {
                self.origin.elapsed() + Duration::from_secs_f64(budget.clamp(0.0, 1e6))
            }),
            calls: 0,
            calling: false,
            begun: false,
            heard: 0,
            calling_until: None,
            command: None,
            place: 0,
        };
        let inv = self.hand.take(one);
        self.counters.most_in_hand = self.counters.most_in_hand.max(self.hand.len() as u64);
        self.mind_policy();
        if let Some(away) = self.turns_away() {
            self.answer(inv, Answer::Throttled { away, last: false });
            self.hand.give_back(inv);
            return true;
        }
        if self.shedder.is_none() {
            warn!("{id} came before the engine was up");
            self.answer(
                inv,
                Answer::Throttled {
                    away: 0.0,
                    last: false,
                },
            );
            self.hand.give_back(inv);
            return true;
        }
        self.decide(|shedder, now| shedder.invocation_arrived(now, inv, told));
        true
    }

    /// An edge node has given one up by name.
    pub fn aborted(&mut self, reply: Reply) {
        let behind = self.hand.behind(reply.door);
        let same = |inv: &usize| {
            self.hand
                .get(*inv)
                .is_some_and(|one| one.reply == Some(reply))
        };
        if let Some(inv) = behind.into_iter().find(same) {
            self.counters.aborted += 1;
            self.answer(inv, Answer::Errored);
            self.decide(|shedder, now| shedder.caller_disconnected(now, inv));
        }
    }
}

/// What the module is told of an arrival: its age and what is left of its budget at this moment. A wall
/// clock that was stepped makes neither negative nor longer than its caller waits; a budget that is used
/// up stays one of nothing, which is not the same as none.
pub(super) fn told(arrival: &Arrival, unix_ms: f64) -> Invocation {
    let age = (unix_ms - arrival.stamp_ms).max(0.0);
    let budget = arrival
        .patience_ms
        .map(|patience| (patience - age).max(0.0) / 1e3);
    let most = arrival.patience_ms.unwrap_or(f64::INFINITY);
    Invocation {
        operation: arrival.operation,
        caller: arrival.caller,
        caller_timeout: budget,
        age: age.min(most) / 1e3,
        held_kilobytes: arrival.held_kb,
        rank: arrival.rank,
        is_retry: arrival.again,
        has_subject: arrival.has_subject,
        ..Invocation::default()
    }
}
