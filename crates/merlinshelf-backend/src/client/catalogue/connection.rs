//! A connection to the catalogue or to a server of a dependency.

use std::io;
use std::net::SocketAddr;

use merlinshelf_handover::{Flow, Key, Role, records};
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::catalogue::{self, Reply};
use rustix::net::{Shutdown, shutdown};
use serde_bytes::ByteBuf;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::Instant;

use super::attempt::AttemptKey;
use crate::client::{connect, invalid_message};
use crate::exchange::{CallOutcome, Shared, pass_to_predecessor};
use crate::fault;
use crate::ring::{IoProgress, Ring};

/// The maximum number of calls on one connection, all of different invocations: a duplicate reply
/// that arrives late names only its invocation, and must not be taken for the reply to its next
/// call.
const MAX_CALLS: usize = 16;

/// A connection that a predecessor opened, with its call.
pub struct ResumedConnection {
    /// Its socket; `None` if the connection was lost.
    pub socket: Option<TcpStream>,
    /// Its stream number.
    pub stream: u64,
    /// Its state.
    pub record: records::DownstreamConnectionRecord,
}

impl ResumedConnection {
    /// The attempt that it carries; `None` if the record is invalid.
    pub(super) fn key(&self) -> Option<AttemptKey> {
        let id = CallId::parse(&self.record.invocation_id)?;
        let number = self.record.call_index;
        Some(match self.record.attempt_id {
            Some(attempt_id) => AttemptKey {
                id,
                number,
                attempt_id,
            },
            None => AttemptKey::unrouted(id, number),
        })
    }

    /// The connection; `None` if it was lost or its record is invalid.
    pub(super) fn restore(self) -> Option<DownstreamConnection> {
        let record = self.record;
        let address = record.address.parse().ok()?;
        let flow = record.flow;
        Some(DownstreamConnection {
            socket: self.socket?,
            stream: self.stream,
            address,
            read_buffer: Ring::restore(flow.read_buffer, flow.read_bytes),
            write_buffer: Ring::restore(flow.write_buffer, flow.written_bytes),
            carried_ids: record
                .carried_invocation_ids
                .iter()
                .filter_map(|id| CallId::parse(id))
                .collect(),
            idle_since: Instant::now(),
        })
    }
}

/// A connection, and the invocations whose calls it has carried.
pub(super) struct DownstreamConnection {
    socket: TcpStream,
    /// Its number among all connections, also of earlier processes.
    pub(super) stream: u64,
    pub(super) address: SocketAddr,
    read_buffer: Ring,
    write_buffer: Ring,
    carried_ids: Vec<CallId>,
    pub(super) idle_since: Instant,
}

impl DownstreamConnection {
    /// A new connection, which a watching predecessor knows before anything is sent on it.
    pub(super) async fn open(
        address: SocketAddr,
        exchange: &Shared,
    ) -> io::Result<DownstreamConnection> {
        let socket = connect(address).await?;
        let stream = exchange.borrow_mut().next_stream();
        pass_to_predecessor(exchange, Role::DownstreamConnection(stream), &socket).await?;
        Ok(DownstreamConnection {
            socket,
            stream,
            address,
            read_buffer: Ring::default(),
            write_buffer: Ring::default(),
            carried_ids: Vec::new(),
            idle_since: Instant::now(),
        })
    }

    pub(super) fn has_carried(&self, id: CallId) -> bool {
        self.carried_ids.contains(&id)
    }

    /// Whether it can carry another call.
    pub(super) fn is_reusable(&self) -> bool {
        self.read_buffer.is_empty() && self.carried_ids.len() < MAX_CALLS
    }

    pub(super) fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Reads from an idle connection. If it is still usable, there is nothing to read.
    pub(super) fn check_idle(&mut self) -> io::Result<IoProgress> {
        self.read_buffer.fill(&self.socket)
    }

    /// Puts a request into the buffer.
    pub(super) fn enqueue_request(&mut self, id: CallId, timeout_seconds: f64, body: &[u8]) {
        self.carried_ids.push(id);
        let timeout_ms = (timeout_seconds * 1e3).ceil() as u64;
        catalogue::write_invoke(&mut self.write_buffer, id, timeout_ms, body);
    }

    pub(super) fn into_socket(self) -> io::Result<std::net::TcpStream> {
        self.socket.into_std()
    }

    /// Its state, for a process that continues it.
    pub(super) fn record(&self, key: AttemptKey) -> records::DownstreamConnectionRecord {
        records::DownstreamConnectionRecord {
            address: self.address.to_string(),
            invocation_id: ByteBuf::from(key.id.as_bytes()),
            call_index: key.number,
            attempt_id: key.is_routed().then_some(key.attempt_id),
            carried_invocation_ids: self
                .carried_ids
                .iter()
                .map(|id| ByteBuf::from(id.as_bytes()))
                .collect(),
            flow: Flow {
                read_bytes: self.read_buffer.transferred_bytes(),
                written_bytes: self.write_buffer.transferred_bytes(),
                read_buffer: self.read_buffer.to_vec(),
                write_buffer: self.write_buffer.to_vec(),
            },
        }
    }

    /// Journals its state for a watching predecessor, before anything of it takes effect.
    fn journal(&self, key: AttemptKey, exchange: &Shared) {
        let mut exchange = exchange.borrow_mut();
        if exchange.is_journaling() {
            exchange.journal_record(Key::DownstreamConnection(self.stream), &self.record(key));
            exchange.write_journal();
        }
    }

    /// Closes it also where a predecessor has a copy of the socket that would leave it open.
    pub(super) fn close(&self, exchange: &Shared) {
        let mut exchange = exchange.borrow_mut();
        if exchange.shares_descriptors() {
            exchange.journal_removal(&[Key::DownstreamConnection(self.stream)]);
            exchange.write_journal();
            let _ = shutdown(&self.socket, Shutdown::Both);
        }
    }

    /// Sends the request and receives the reply; returns `None` if the instance froze first.
    pub(super) async fn exchange_messages(
        &mut self,
        key: AttemptKey,
        exchange: &Shared,
    ) -> io::Result<Option<CallOutcome>> {
        let mut freeze_notice = exchange.borrow().freeze_notice();
        loop {
            if !self.write_buffer.is_empty() {
                self.journal(key, exchange);
            }
            let is_blocked = self.write_buffer.drain(&self.socket)? == IoProgress::Blocked;
            fault::injection_point("line.written");
            let interest = if is_blocked {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            select! {
                biased;
                Ok(_) = freeze_notice.wait_for(|is_frozen| *is_frozen) => return Ok(None),
                ready = self.socket.ready(interest) => { ready?; }
            }
            // While a predecessor watches, bytes stay in the kernel until they are journaled.
            let is_journaling = exchange.borrow().is_journaling();
            let fill = if is_journaling {
                Ring::peek
            } else {
                Ring::fill
            };
            if fill(&mut self.read_buffer, &self.socket)? == IoProgress::Closed {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(outcome) = self.parse_reply(key.id, exchange)? {
                return Ok(Some(outcome));
            }
            if is_journaling {
                self.journal(key, exchange);
                fault::injection_point("line.noted");
                self.read_buffer.discard_peeked(&self.socket)?;
            }
        }
    }

    /// The outcome of this invocation's call, if its reply has arrived; other replies are
    /// duplicates or late.
    fn parse_reply(
        &mut self,
        expected: CallId,
        exchange: &Shared,
    ) -> io::Result<Option<CallOutcome>> {
        let mut outcome = None;
        self.read_buffer
            .read(|bytes| match catalogue::read_reply(bytes) {
                _ if outcome.is_some() => Ok(0),
                Ok(None) => Ok(0),
                Ok(Some(((id, reply), count))) => {
                    if id == expected {
                        outcome = Some(call_outcome(reply));
                    } else {
                        exchange.borrow_mut().counters.late_replies += 1;
                    }
                    Ok(count)
                }
                Err(fault) => Err(invalid_message(fault, bytes)),
            })?;
        Ok(outcome)
    }
}

fn call_outcome(reply: Reply<'_>) -> CallOutcome {
    match reply {
        Reply::Succeeded(body) => CallOutcome::Succeeded(body.into()),
        Reply::Overload | Reply::Stale => CallOutcome::NeverRan,
        Reply::Internal | Reply::Deadline => CallOutcome::Failed,
    }
}
