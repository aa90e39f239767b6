//! Invocations of one connection that are still being read.

use std::collections::HashMap;
use std::time::Duration;

use merlinshelf_handover::records;
use tokio::time::Instant;

use super::rejection::Rejection;
use crate::exchange::ReadReservation;

/// The protocol's limit on bodies.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// Twice the size of the parameters that an edge node sends.
const MAX_PARAMS_BYTES: usize = 4 * 1024;

/// An invocation that has not been received completely.
#[derive(Debug)]
pub struct PartialInvocation {
    reservation: ReadReservation,
    started_at: Instant,
    pub keeps_connection: bool,
    pub params: Vec<u8>,
    has_all_params: bool,
    pub body: Vec<u8>,
}

/// The state of an invocation after more bytes were received.
pub enum ReadStep {
    /// It is not complete yet.
    Incomplete,
    Complete(PartialInvocation),
    /// It is rejected with what was received so far; the rest of it is skipped.
    Rejected(PartialInvocation, Rejection),
    /// No invocation with that id is being read.
    UnknownId,
}

/// The partial invocations by request id.
#[derive(Debug, Default)]
pub struct Assembly(HashMap<u16, PartialInvocation>);

impl Assembly {
    pub fn begin(&mut self, id: u16, keeps_connection: bool, reservation: ReadReservation) {
        let (params, body) = Default::default();
        let partial = PartialInvocation {
            reservation,
            started_at: Instant::now(),
            keeps_connection,
            params,
            has_all_params: false,
            body,
        };
        self.0.insert(id, partial);
    }

    pub fn contains(&self, id: u16) -> bool {
        self.0.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// When the oldest one began.
    pub fn oldest_start(&self) -> Option<Instant> {
        self.0.values().map(|partial| partial.started_at).min()
    }

    /// Removes and returns those that began at least `timeout` before `now`.
    pub fn take_overdue(
        &mut self,
        now: Instant,
        timeout: Duration,
    ) -> Vec<(u16, PartialInvocation)> {
        self.0
            .extract_if(|_, partial| now >= partial.started_at + timeout)
            .collect()
    }

    pub fn take_all(&mut self) -> Vec<(u16, PartialInvocation)> {
        self.0.drain().collect()
    }

    pub fn add_params(&mut self, id: u16, bytes: &[u8]) -> ReadStep {
        let Some(partial) = self.0.get_mut(&id) else {
            return ReadStep::UnknownId;
        };
        if bytes.is_empty() {
            partial.has_all_params = true;
            return ReadStep::Incomplete;
        }
        if partial.has_all_params || partial.params.len() + bytes.len() > MAX_PARAMS_BYTES {
            return self.reject(
                id,
                Rejection::new(400, "parameters too long, or received after their end"),
            );
        }
        if !partial.reservation.grow(bytes.len()) {
            return self.reject(id, out_of_memory());
        }
        partial.params.extend(bytes);
        ReadStep::Incomplete
    }

    /// Adds bytes of the body. An empty slice ends the invocation, which is returned complete.
    pub fn add_body(&mut self, id: u16, bytes: &[u8]) -> ReadStep {
        let Some(partial) = self.0.get_mut(&id) else {
            return ReadStep::UnknownId;
        };
        match bytes.len() {
            0 if !partial.has_all_params => self.reject(
                id,
                Rejection::new(400, "the body ended before the parameters"),
            ),
            0 => self
                .remove(id)
                .map_or(ReadStep::UnknownId, ReadStep::Complete),
            count if partial.body.len() + count > MAX_BODY_BYTES => {
                self.reject(id, Rejection::new(413, "the body is too large"))
            }
            count if !partial.reservation.grow(count) => self.reject(id, out_of_memory()),
            _ => {
                partial.body.extend(bytes);
                ReadStep::Incomplete
            }
        }
    }

    fn reject(&mut self, id: u16, rejection: Rejection) -> ReadStep {
        self.remove(id).map_or(ReadStep::UnknownId, |partial| {
            ReadStep::Rejected(partial, rejection)
        })
    }

    /// The partial invocations, for a handover to another process.
    pub fn records(&self) -> Vec<records::PartialInvocation> {
        let record = |(tag, partial): (&u16, &PartialInvocation)| records::PartialInvocation {
            tag: *tag,
            keeps_connection: partial.keeps_connection,
            params: partial.params.clone().into(),
            has_all_params: partial.has_all_params,
            body: partial.body.clone().into(),
        };
        self.0.iter().map(record).collect()
    }

    /// Continues one that another process was reading; its timeout starts again.
    pub fn resume(&mut self, record: records::PartialInvocation, reservation: ReadReservation) {
        let records::PartialInvocation {
            tag,
            keeps_connection,
            params,
            has_all_params,
            body,
        } = record;
        let (params, body) = (params.into_vec(), body.into_vec());
        self.0.insert(
            tag,
            PartialInvocation {
                reservation,
                started_at: Instant::now(),
                keeps_connection,
                params,
                has_all_params,
                body,
            },
        );
    }

    pub fn remove(&mut self, id: u16) -> Option<PartialInvocation> {
        self.0.remove(&id)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}

fn out_of_memory() -> Rejection {
    Rejection::new(503, "no memory left for invocations that are being read")
}
