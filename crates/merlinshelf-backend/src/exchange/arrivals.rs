//! The exchange towards the server side: doors, arrivals, and what connections ask of it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use merlinshelf_admission::Invocation;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::in_flight::InFlightInvocation;
use super::{Exchange, ReplyAddress, unix_ms};

/// An invocation as it was read.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    pub caller: u64,
    /// When it came to the machine and how long its caller waits from then on.
    pub received_at_ms: f64,
    pub timeout_ms: Option<f64>,
    pub is_retry: bool,
    pub held_kilobytes: f64,
    pub rank: f64,
    pub has_subject: bool,
}

/// The final answer to an invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Succeeded(Rc<[u8]>),
    /// Succeeded without these parts, as the caller is told.
    Partial(Rc<[u8]>, Rc<str>),
    Rejected {
        retry_after_seconds: f64,
        no_failover: bool,
    },
    Failed,
    /// The engine knows of no such invocation.
    Unknown,
}

/// The bytes that an invocation holds while it is being read, of those that all may hold: dropping
/// it gives them back.
#[derive(Debug)]
pub struct ReadReservation {
    taken: Rc<Cell<usize>>,
    most: usize,
    bytes: usize,
}

/// What each needs beside the bytes that came.
const PLACE_BYTES: usize = 256;

impl ReadReservation {
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

impl Drop for ReadReservation {
    fn drop(&mut self) {
        self.taken.set(self.taken.get() - self.bytes);
    }
}

impl Exchange {
    pub(super) fn open_connection(&mut self, stream: Option<u64>) -> (usize, u64, Rc<Notify>) {
        let stream = stream.unwrap_or_else(|| {
            self.counters.connections += 1;
            self.next_stream()
        });
        let (number, wake) = self.connections.open(stream);
        let opened = (number, stream, wake);
        self.counters.most_doors = self.counters.most_doors.max(self.connections.len() as u64);
        opened
    }

    /// Nobody is left behind it: the module is told of all that would have been answered there.
    pub(super) fn close_connection(&mut self, number: usize) {
        if self.is_frozen() {
            self.stopped_connections += 1; // it goes on elsewhere, and the image still names it
            return;
        }
        for index in self.invocations.answered_on(number) {
            self.caller_gone(index);
        }
        self.counters.unheard += self.connections.close(number) as u64;
    }

    pub(super) fn caller_gone(&mut self, index: usize) {
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.reply = None;
        }
        self.counters.unheard += 1;
        self.decide(|controller, now| controller.caller_disconnected(now, index));
    }

    pub fn open_connections(&self) -> usize {
        self.connections.len() - self.stopped_connections
    }

    pub fn operation(&self, name: &[u8]) -> Option<usize> {
        self.operations.get(name).copied()
    }

    pub fn passes_caller_timeout(&self) -> bool {
        self.settings
            .get("FamilyInfo.PassesDeadline")
            .is_some_and(|text| text == "true")
    }

    pub fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// How long a connection with nothing open may stay; none at all once the program is closing.
    pub fn idle_timeout(&self) -> Duration {
        if self.is_closing {
            Duration::ZERO
        } else {
            self.idle_timeout
        }
    }

    /// A place for one more invocation to be read, if there is one beside all that are read and
    /// those in hand.
    pub fn reserve_read(&self) -> Option<ReadReservation> {
        let mut place = ReadReservation {
            taken: self.reading_bytes.clone(),
            most: self.max_reading_bytes,
            bytes: 0,
        };
        (!self.is_full() && place.grow(PLACE_BYTES)).then_some(place)
    }

    /// The place of one that another process was reading: it had one, and what was begun is not cut
    /// off by a bound.
    pub fn restore_read_reservation(&self, bytes: usize) -> ReadReservation {
        let mut place = ReadReservation {
            taken: self.reading_bytes.clone(),
            most: usize::MAX,
            bytes: 0,
        };
        place.grow(PLACE_BYTES + bytes);
        place.most = self.max_reading_bytes;
        place
    }

    /// Whether as many are in hand as there may be.
    pub fn is_full(&self) -> bool {
        self.invocations.len() >= self.max_in_flight
    }

    /// From now on connections with nothing open are closed.
    pub fn close_idle_connections(&mut self) {
        self.is_closing = true;
        self.connections.wake_all();
    }

    /// An invocation was read whole. False where its id is in hand already, so that it can't be
    /// told apart.
    pub fn invocation_read(&mut self, reply: ReplyAddress, arrival: Arrival) -> bool {
        if self.invocations.find(arrival.id).is_some() {
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
        let invocation = InFlightInvocation {
            id,
            operation,
            body,
            reply: Some(reply),
            call_request: None,
            named_dependency: None,
            calls_requested: 0,
            missing_parts: Vec::new(),
            due_at: told.caller_timeout.map(|budget| {
                self.origin.elapsed() + Duration::from_secs_f64(budget.clamp(0.0, 1e6))
            }),
            calls: 0,
            is_calling: false,
            has_started: false,
            notifications: 0,
            call_timeout_at: None,
            command: None,
            arrival_order: 0,
        };
        let index = self.invocations.insert(invocation);
        self.counters.most_in_hand = self
            .counters
            .most_in_hand
            .max(self.invocations.len() as u64);
        self.apply_current_policy();
        if let Some(away) = self.rejection_by_policy() {
            self.answer(
                index,
                Answer::Rejected {
                    retry_after_seconds: away,
                    no_failover: false,
                },
            );
            self.invocations.remove(index);
            return true;
        }
        if self.controller.is_none() {
            warn!("{id} came before the engine was up");
            self.answer(
                index,
                Answer::Rejected {
                    retry_after_seconds: 0.0,
                    no_failover: false,
                },
            );
            self.invocations.remove(index);
            return true;
        }
        self.decide(|controller, now| controller.invocation_arrived(now, index, told));
        true
    }

    /// An edge node has given one up by name.
    pub fn invocation_aborted(&mut self, reply: ReplyAddress) {
        let behind = self.invocations.answered_on(reply.connection);
        let same = |index: &usize| {
            self.invocations
                .get_mut(*index)
                .is_some_and(|invocation| invocation.reply == Some(reply))
        };
        if let Some(index) = behind.into_iter().find(same) {
            self.counters.aborted += 1;
            self.answer(index, Answer::Failed);
            self.decide(|controller, now| controller.caller_disconnected(now, index));
        }
    }
}

/// What the module is told of an arrival: its age and what is left of its budget at this moment. A
/// wall clock that was stepped makes neither negative nor longer than its caller waits; a budget
/// that is used up stays one of nothing, which is not the same as none.
pub(super) fn told(arrival: &Arrival, unix_ms: f64) -> Invocation {
    let age = (unix_ms - arrival.received_at_ms).max(0.0);
    let budget = arrival
        .timeout_ms
        .map(|patience| (patience - age).max(0.0) / 1e3);
    let most = arrival.timeout_ms.unwrap_or(f64::INFINITY);
    Invocation {
        operation: arrival.operation,
        caller: arrival.caller,
        caller_timeout: budget,
        age: age.min(most) / 1e3,
        held_kilobytes: arrival.held_kilobytes,
        rank: arrival.rank,
        is_retry: arrival.is_retry,
        has_subject: arrival.has_subject,
        ..Invocation::default()
    }
}
