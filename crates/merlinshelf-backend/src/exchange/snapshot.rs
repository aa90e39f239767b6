//! Taking a snapshot: how the exchange stops and is written into a handover image.
//!
//! [`Exchange::freeze`] tells all parts to stop where they stand. Each hands in its record and its
//! connection as a [`StoppedPart`]; once all have, [`Exchange::take_snapshot`] writes the image.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use merlinshelf_admission::AdmissionController;
use merlinshelf_handover::records;
use merlinshelf_handover::{Key, Role, Transaction};
use rustix::time::{ClockId, clock_gettime};
use serde_bytes::ByteBuf;
use tokio::sync::{oneshot, watch};

use super::runs::Command;
use super::{Exchange, Shared};

/// What a part hands in when it stops where it stands: its record, and its connection where it has
/// one.
#[derive(Debug)]
pub enum StoppedPart {
    Client(u64, records::ClientConnectionRecord, TcpStream),
    Downstream(u64, records::DownstreamConnectionRecord, TcpStream),
    Engine(records::EngineConnectionRecord, Option<TcpStream>),
}

/// A connection on its way to the predecessor, and where to say that it has arrived there.
pub struct OpenedConnection {
    pub role: Role,
    pub descriptor: OwnedFd,
    pub acknowledged: oneshot::Sender<()>,
}

/// Connections that a process hands over, by what they are.
pub type PassedDescriptors = BTreeMap<Role, OwnedFd>;

/// Now, by the clock that all processes of the machine read alike.
pub fn monotonic_seconds() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

impl Exchange {
    pub fn next_stream(&mut self) -> u64 {
        self.next_stream += 1;
        self.next_stream - 1
    }

    // To be carried on elsewhere.

    /// Turns true when every part is to stop where it stands and to hand itself in.
    pub fn freeze_notice(&self) -> watch::Receiver<bool> {
        self.freeze.subscribe()
    }

    pub fn is_frozen(&self) -> bool {
        *self.freeze.borrow()
    }

    /// Stops everything where it stands.
    pub fn freeze(&mut self) {
        self.freeze.send_replace(true);
        self.connections.wake_all();
    }

    pub fn add_stopped_part(&mut self, deposit: StoppedPart) {
        self.stopped_parts.push(deposit);
    }

    /// The image of what is here, once all parts have handed themselves in, and their connections.
    pub fn take_snapshot(&mut self) -> (Transaction, PassedDescriptors) {
        let (mut image, mut passed) = (Transaction::default(), PassedDescriptors::new());
        let mut instance = self.instance_record(true);
        let (policy, shares) = self.begin_policy_handover();
        (instance.policy, instance.quota) = (ByteBuf::from(policy), ByteBuf::from(shares));
        image.put(Key::Instance, &instance);
        for number in self.invocations.all() {
            if let Some((key, record)) = self.invocation_record(number) {
                image.put(key, &record);
            }
        }
        for (stream, connection) in self.queues_with_answers() {
            image.put(Key::ResponseQueue(stream), &connection);
        }
        for deposit in std::mem::take(&mut self.stopped_parts) {
            match deposit {
                StoppedPart::Client(stream, edge, socket) => {
                    image.put(Key::ClientConnection(stream), &edge);
                    passed.insert(Role::ClientConnection(stream), socket.into());
                }
                StoppedPart::Downstream(stream, line, socket) => {
                    image.put(Key::DownstreamConnection(stream), &line);
                    passed.insert(Role::DownstreamConnection(stream), socket.into());
                }
                StoppedPart::Engine(link, socket) => {
                    image.put(Key::EngineConnection, &link);
                    if let (Some(stream), Some(socket)) = (link.stream, socket) {
                        passed.insert(Role::EngineConnection(stream), socket.into());
                    }
                }
            }
        }
        (image, passed)
    }

    pub(super) fn instance_record(&self, whole: bool) -> records::Instance {
        let learned = self
            .controller
            .as_ref()
            .filter(|_| whole)
            .map(AdmissionController::learned_state);
        let fresh_start = self.settings.get("FamilyInfo.FreshStart").cloned();
        records::Instance {
            clock_offset_seconds: self.seconds() - monotonic_seconds(),
            operations: self
                .operation_names
                .iter()
                .map(|name| name.to_string())
                .collect(),
            next_stream: self.next_stream,
            is_healthy: self.is_healthy,
            idle_timeout_seconds: self.idle_timeout.as_secs_f64(),
            drain_deadline_at: self.shutdown_at.map(|stop| {
                monotonic_seconds()
                    + stop
                        .saturating_duration_since(tokio::time::Instant::now())
                        .as_secs_f64()
            }),
            fresh_start,
            repeats_calls: self.makes_several_calls.clone(),
            counters: self.counters.by_name(),
            learned,
            gossip: ByteBuf::from(if whole {
                self.gossip_state.clone()
            } else {
                Vec::new()
            }),
            policy: ByteBuf::new(),
            quota: ByteBuf::new(),
        }
    }

    fn queues_with_answers(&self) -> Vec<(u64, records::ResponseQueueRecord)> {
        let connections = self
            .connections
            .numbers()
            .filter_map(|number| self.response_queue(number));
        connections
            .filter(|(_, connection)| !connection.answers.is_empty())
            .collect()
    }

    pub(super) fn response_queue(
        &self,
        number: usize,
    ) -> Option<(u64, records::ResponseQueueRecord)> {
        let (stream, answers) = self.connections.queue(number)?;
        let answers = answers
            .iter()
            .map(|(tag, answer)| (*tag, answer.record()))
            .collect();
        Some((stream, records::ResponseQueueRecord { answers }))
    }

    pub(super) fn invocation_record(&self, number: usize) -> Option<(Key, records::Invocation)> {
        let invocation = self.invocations.get(number)?;
        let index = self.controller.as_ref()?.invocation(number)?.clone();
        let bytes = |bytes: &[u8]| ByteBuf::from(bytes);
        let reply = invocation
            .reply
            .and_then(|reply| Some((self.connections.queue(reply.connection)?.0, reply.tag)));
        let command = invocation.command.as_ref().map(|(command, sent)| {
            let command = match command {
                Command::Run { .. } => records::Command::Run,
                Command::Feed { reply, .. } => records::Command::Feed(bytes(reply)),
                Command::Skip { need, .. } => records::Command::Skip(*need),
            };
            (command, *sent)
        });
        let until = |at: Duration| {
            monotonic_seconds() + at.as_secs_f64() - self.origin.elapsed().as_secs_f64()
        };
        let record = records::Invocation {
            operation: invocation.operation,
            body: bytes(&invocation.body),
            response_target: reply,
            call_notification: invocation
                .call_request
                .as_ref()
                .map(|(number, body)| (*number, bytes(body))),
            dependency: invocation.named_dependency.as_deref().map(str::to_owned),
            requested_calls: invocation.calls_requested,
            missing_parts: invocation
                .missing_parts
                .iter()
                .map(|part| part.to_string())
                .collect(),
            call_count: invocation.calls,
            call_deadline_at: invocation
                .call_timeout_at
                .filter(|_| invocation.is_calling)
                .map(until),
            has_started: invocation.has_started,
            notification_count: invocation.notifications,
            command,
            arrival_order: invocation.arrival_order,
            state: index,
        };
        let mut id = [0; 16];
        id.copy_from_slice(invocation.id.as_bytes());
        Some((Key::Invocation(id), record))
    }
}

/// Passes a new connection to the predecessor, before anything goes over it. Without one it costs
/// nothing.
pub async fn pass_to_predecessor(
    exchange: &Shared,
    role: Role,
    socket: &impl AsFd,
) -> std::io::Result<()> {
    let passing = exchange.borrow().opened_connections.clone();
    let Some(passing) = passing else {
        return Ok(());
    };
    let (acknowledged, acknowledgement) = oneshot::channel();
    let descriptor = socket.as_fd().try_clone_to_owned()?;
    if passing
        .send(OpenedConnection {
            role,
            descriptor,
            acknowledged,
        })
        .is_ok()
    {
        let _ = acknowledgement.await; // an error: nobody watches any more
    }
    Ok(())
}
