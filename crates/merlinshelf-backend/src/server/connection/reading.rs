//! The reading side of a connection: decodes what is received, and ends the reading when something
//! is not completed in time, can't be decoded or exceeds the limits.

use std::io;

use log::warn;
use merlinshelf_protocol::Fault;
use rustix::io::ioctl_fionread;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Instant;

use super::{
    Connection, MAX_FAULTS, MAX_UNASSIGNED_BYTES, MAX_UNSENT_BYTES, READ_TIMEOUT, response_head,
};
use crate::fault;
use crate::ring::{IoProgress, Ring};
use crate::server::codec;
use crate::server::rejection::Rejection;
use crate::server::table::ReceivedKind;

impl Connection {
    /// When something that is incomplete must be complete. While other invocations are unanswered,
    /// only partial invocations have a deadline: the connection stays open for the others.
    pub(super) fn read_deadline(&self) -> Option<Instant> {
        let message_started_at = self.incomplete_since.filter(|_| self.unanswered.is_empty());
        let started_at = self
            .assembly
            .oldest_start()
            .into_iter()
            .chain(message_started_at)
            .min();
        started_at
            .filter(|_| !self.is_read_closed)
            .map(|started_at| started_at + READ_TIMEOUT)
    }

    /// Something was not completed in time. Partial invocations that are overdue are answered with
    /// 408. The connection ends unless it carries other invocations or has served an edge node.
    pub(super) fn read_timed_out(&mut self) {
        let now = Instant::now();
        for (id, partial) in self.assembly.take_overdue(now, READ_TIMEOUT) {
            self.reject(
                id,
                partial.keeps_connection,
                Rejection::new(408, "it was not received completely in time"),
            );
        }
        let is_message_overdue = self
            .incomplete_since
            .is_some_and(|since| now >= since + READ_TIMEOUT);
        let serves_nobody = self.assembly.len() == 0 && self.received != ReceivedKind::Invocations;
        if self.unanswered.is_empty() && (is_message_overdue || serves_nobody) {
            self.count_bad_request();
            self.end_reading(408);
        }
    }

    pub(super) fn is_idle_timeout_over(&self) -> bool {
        Instant::now() >= self.idle_since + self.exchange.borrow().idle_timeout()
    }

    /// Reads everything that the kernel has received by now, so that a connection that this side
    /// closes loses nothing that was sent on it. What a client sends meanwhile is not waited for,
    /// and other tasks run between two reads.
    pub(super) async fn read_remaining(&mut self) -> io::Result<()> {
        let received_bytes = ioctl_fionread(&self.socket)?;
        let end = self.read_buffer.transferred_bytes() + received_bytes;
        while !self.is_read_closed
            && self.write_buffer.len() <= MAX_UNSENT_BYTES
            && self.read_now()?
            && self.read_buffer.transferred_bytes() < end
        {
            self.update_slot();
            yield_now().await;
            if self.exchange.borrow().is_frozen() {
                break;
            }
        }
        self.update_slot();
        Ok(())
    }

    /// Reads one chunk by asking the kernel. While a predecessor watches, what stays in the kernel
    /// is read by the process that continues this connection, which registers for readiness again.
    fn read_now(&mut self) -> io::Result<bool> {
        if self.exchange.borrow().is_journaling() {
            self.read_now_journaled()
        } else {
            self.read_with(Ring::fill_now)
        }
    }

    /// Reads one chunk. Returns whether there was any. While a predecessor watches, the resulting
    /// state is journaled before the bytes are removed from the kernel.
    pub(super) fn read(&mut self) -> io::Result<bool> {
        if !self.exchange.borrow().is_journaling() {
            return self.read_with(Ring::fill);
        }
        let read = self.read_with(Ring::peek)?;
        self.journal_state();
        if read {
            fault::injection_point("edge.noted");
        }
        self.read_buffer.discard_peeked(&self.socket)?;
        Ok(read)
    }

    fn read_now_journaled(&mut self) -> io::Result<bool> {
        let read = self.read_with(Ring::peek_now)?;
        self.journal_state();
        self.read_buffer.discard_peeked(&self.socket)?;
        Ok(read)
    }

    fn read_with(
        &mut self,
        fill: impl FnOnce(&mut Ring, &TcpStream) -> io::Result<IoProgress>,
    ) -> io::Result<bool> {
        match fill(&mut self.read_buffer, &self.socket)? {
            IoProgress::Blocked => return Ok(false),
            IoProgress::Closed => {
                self.stop_reading();
                return Ok(false);
            }
            IoProgress::Advanced => self.idle_since = Instant::now(),
        }
        if let Err(fault) = self.parse() {
            self.end_by_fault(fault);
            return Ok(true);
        }
        let is_partial = self.codec.is_partial() || !self.read_buffer.is_empty();
        let since = self.incomplete_since.unwrap_or_else(Instant::now);
        self.incomplete_since =
            (is_partial || self.received == ReceivedKind::Nothing).then_some(since);
        self.end_if_limits_exceeded();
        Ok(true)
    }

    /// Ends a connection whose client exceeds the limits on what can't be used, but not before the
    /// other invocations on it are answered: more may be written to it until it is closed.
    pub(super) fn end_if_limits_exceeded(&mut self) {
        if self.is_read_closed || !self.unanswered.is_empty() {
            return;
        }
        if self.unassigned_bytes > MAX_UNASSIGNED_BYTES {
            self.end_by_fault(Fault("too many bytes that belong to no request"));
        } else if self.faults >= MAX_FAULTS {
            self.end_by_fault(Fault("too many faults in a row"));
        }
    }

    fn end_by_fault(&mut self, fault: Fault) {
        warn!("a connection ends: {fault}");
        self.count_bad_request();
        self.end_reading(400);
    }

    /// Stops reading while the client may still be sending. Partial invocations are answered with
    /// this status.
    fn end_reading(&mut self, status: u16) {
        for (id, partial) in self.assembly.take_all() {
            let head = response_head(status, "");
            self.write_answer(id, partial.keeps_connection, &head, b"");
        }
        self.must_linger = true;
        self.stop_reading();
    }

    /// Stops reading. Invocations read completely are still answered, partial ones are dropped.
    fn stop_reading(&mut self) {
        self.is_read_closed = true;
        self.assembly.clear();
        self.read_buffer.clear();
    }

    /// Decodes what was read.
    fn parse(&mut self) -> Result<(), Fault> {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        let result = read_buffer.read(|bytes| {
            let (count, fragment) = self.codec.next(bytes)?;
            match fragment {
                Some(codec::Fragment::FastCgi(fragment)) => self.handle_fastcgi(fragment)?,
                Some(codec::Fragment::Uwsgi(fragment)) => self.handle_uwsgi(fragment),
                None => self.unassigned_bytes += count,
            }
            Ok(count)
        });
        self.read_buffer = read_buffer;
        result
    }
}
