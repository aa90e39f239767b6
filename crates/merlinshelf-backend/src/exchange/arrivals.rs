//! The exchange's interface to the server side: client connections and arriving invocations.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use merlinshelf_admission::Invocation;
use merlinshelf_protocol::CallId;
use tokio::sync::Notify;

use super::in_flight::InFlightInvocation;
use super::{Exchange, ReplyAddress, unix_ms};

/// An invocation that was read completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    pub caller: u64,
    /// When it arrived at this host, in Unix milliseconds, and how long its caller waits from then.
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
    /// Succeeded without the replies of these dependencies, whose names the caller receives.
    Partial(Rc<[u8]>, Rc<str>),
    Rejected {
        retry_after_seconds: f64,
        no_failover: bool,
    },
    Failed,
    /// The engine knows of no such invocation.
    Unknown,
}

/// The share of the read memory that one invocation holds while it is being read. Dropping it
/// returns the bytes.
#[derive(Debug)]
pub struct ReadReservation {
    /// Bytes that all reservations hold together.
    reserved: Rc<Cell<usize>>,
    /// Maximum of `reserved`.
    limit: usize,
    bytes: usize,
}

/// Bytes that each invocation needs besides its content.
const READ_OVERHEAD_BYTES: usize = 256;

impl ReadReservation {
    /// Reserves more bytes; false, and unchanged, if that would exceed the limit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.reserved.get() + bytes;
        let fits = reserved <= self.limit;
        if fits {
            self.reserved.set(reserved);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for ReadReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.bytes);
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

    /// The client has disconnected: reports this to the admission controller for each invocation
    /// that was to be answered on this connection.
    pub(super) fn close_connection(&mut self, number: usize) {
        if self.is_frozen() {
            // Another process continues the connection, and the image still names it.
            self.closed_after_freeze += 1;
            return;
        }
        for index in self.invocations.answered_on(number) {
            self.caller_disconnected(index);
        }
        self.counters.unheard += self.connections.close(number) as u64;
    }

    pub(super) fn caller_disconnected(&mut self, index: usize) {
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.reply = None;
        }
        self.counters.unheard += 1;
        self.decide(|controller, now| controller.caller_disconnected(now, index));
    }

    pub fn open_connections(&self) -> usize {
        self.connections.len() - self.closed_after_freeze
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

    /// How long a connection without open invocations may stay idle; zero during the shutdown.
    pub fn idle_timeout(&self) -> Duration {
        if self.is_closing {
            Duration::ZERO
        } else {
            self.idle_timeout
        }
    }

    /// A reservation for reading one more invocation; `None` if the read memory is used up or the
    /// maximum number of invocations is in flight.
    pub fn reserve_read(&self) -> Option<ReadReservation> {
        let mut reservation = ReadReservation {
            reserved: self.reading_bytes.clone(),
            limit: self.max_reading_bytes,
            bytes: 0,
        };
        (!self.is_full() && reservation.grow(READ_OVERHEAD_BYTES)).then_some(reservation)
    }

    /// The reservation of an invocation that another process had begun to read. It is granted even
    /// above the limit, since that process had reserved it already.
    pub fn restore_read_reservation(&self, bytes: usize) -> ReadReservation {
        let mut reservation = ReadReservation {
            reserved: self.reading_bytes.clone(),
            limit: usize::MAX,
            bytes: 0,
        };
        reservation.grow(READ_OVERHEAD_BYTES + bytes);
        reservation.limit = self.max_reading_bytes;
        reservation
    }

    /// Whether the maximum number of invocations is in flight.
    pub fn is_full(&self) -> bool {
        self.invocations.len() >= self.max_in_flight
    }

    /// From now on, connections without open invocations are closed.
    pub fn close_idle_connections(&mut self) {
        self.is_closing = true;
        self.connections.wake_all();
    }

    /// An invocation was read completely. False if another one with the same id is in flight, since
    /// the two could not be distinguished, or was run before.
    pub fn invocation_read(&mut self, reply: ReplyAddress, arrival: Arrival) -> bool {
        if self.invocations.find(arrival.id).is_some() || self.recent_runs.contains(arrival.id) {
            return false;
        }
        self.counters.invocations += 1;
        let admission_request = admission_request(&arrival, unix_ms());
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
            due_at: admission_request.caller_timeout.map(|timeout| {
                self.origin.elapsed() + Duration::from_secs_f64(timeout.clamp(0.0, 1e6))
            }),
            calls: 0,
            is_calling: false,
            routed_call: None,
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
        if let Some(retry_after_seconds) = self.rejection_by_policy() {
            self.answer(
                index,
                Answer::Rejected {
                    retry_after_seconds,
                    no_failover: false,
                },
            );
            self.invocations.remove(index);
            return true;
        }
        if self.controller.is_none() {
            warn!("invocation {id} rejected: the engine is not up yet");
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
        self.decide(|controller, now| controller.invocation_arrived(now, index, admission_request));
        true
    }

    /// An edge node has aborted this invocation explicitly.
    pub fn invocation_aborted(&mut self, reply: ReplyAddress) {
        let on_connection = self.invocations.answered_on(reply.connection);
        let is_aborted = |index: &usize| {
            self.invocations
                .get_mut(*index)
                .is_some_and(|invocation| invocation.reply == Some(reply))
        };
        if let Some(index) = on_connection.into_iter().find(is_aborted) {
            self.counters.aborted += 1;
            self.answer(index, Answer::Failed);
            self.decide(|controller, now| controller.caller_disconnected(now, index));
        }
    }
}

/// The arrival as the admission controller receives it, with its age and its remaining timeout at
/// this moment. If the wall clock was stepped, neither is negative nor longer than the caller waits.
/// An expired timeout stays zero, which differs from no timeout.
pub(super) fn admission_request(arrival: &Arrival, unix_ms: f64) -> Invocation {
    let age = (unix_ms - arrival.received_at_ms).max(0.0);
    let caller_timeout = arrival
        .timeout_ms
        .map(|timeout| (timeout - age).max(0.0) / 1e3);
    let max_age = arrival.timeout_ms.unwrap_or(f64::INFINITY);
    Invocation {
        operation: arrival.operation,
        caller: arrival.caller,
        caller_timeout,
        age: age.min(max_age) / 1e3,
        held_kilobytes: arrival.held_kilobytes,
        rank: arrival.rank,
        is_retry: arrival.is_retry,
        has_subject: arrival.has_subject,
        ..Invocation::default()
    }
}
