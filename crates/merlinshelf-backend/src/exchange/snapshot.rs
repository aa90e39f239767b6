//! Snapshots: how the exchange is frozen and written into a handover image.
//!
//! [`Exchange::freeze`] notifies all tasks to stop at their next turn. Each deposits the records of
//! its connections, with their sockets, as [`FrozenConnection`]; once all have done so,
//! [`Exchange::take_snapshot`] writes the image.

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

/// What a task deposits when it is frozen: the record of a connection, and its socket if it is
/// established.
#[derive(Debug)]
pub enum FrozenConnection {
    Client(u64, records::ClientConnectionRecord, TcpStream),
    Downstream(u64, records::DownstreamConnectionRecord, TcpStream),
    Engine(records::EngineConnectionRecord, Option<TcpStream>),
}

/// A connection that is to be sent to the predecessor, and the channel that acknowledges that.
pub struct OpenedConnection {
    pub role: Role,
    pub descriptor: OwnedFd,
    pub acknowledged: oneshot::Sender<()>,
}

/// Descriptors that a process hands over, by their role.
pub type PassedDescriptors = BTreeMap<Role, OwnedFd>;

/// Seconds on the monotonic clock, which all processes of the host share.
pub fn monotonic_seconds() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

impl Exchange {
    /// A new connection number.
    pub fn next_stream(&mut self) -> u64 {
        self.next_stream += 1;
        self.next_stream - 1
    }

    /// Becomes true when every task is to stop and to deposit its connections.
    pub fn freeze_notice(&self) -> watch::Receiver<bool> {
        self.freeze.subscribe()
    }

    pub fn is_frozen(&self) -> bool {
        *self.freeze.borrow()
    }

    /// Notifies all tasks to stop and to deposit their connections.
    pub fn freeze(&mut self) {
        self.freeze.send_replace(true);
        self.connections.wake_all();
    }

    /// Deposits a connection of a frozen task.
    pub fn add_frozen_connection(&mut self, connection: FrozenConnection) {
        self.frozen_connections.push(connection);
    }

    /// The complete image and the descriptors of its connections, once all tasks have deposited
    /// theirs.
    pub fn take_snapshot(&mut self) -> (Transaction, PassedDescriptors) {
        let (mut image, mut descriptors) = (Transaction::default(), PassedDescriptors::new());
        let mut instance = self.instance_record(true);
        let (policy, quota) = self.begin_policy_handover();
        (instance.policy, instance.quota) = (ByteBuf::from(policy), ByteBuf::from(quota));
        image.put(Key::Instance, &instance);
        for index in self.invocations.all() {
            if let Some((key, record)) = self.invocation_record(index) {
                image.put(key, &record);
            }
        }
        for (number, record) in self.recent_runs.records() {
            image.put(Key::RecentRuns(number), &record);
        }
        for (stream, connection) in self.queues_with_answers() {
            image.put(Key::ResponseQueue(stream), &connection);
        }
        for connection in std::mem::take(&mut self.frozen_connections) {
            match connection {
                FrozenConnection::Client(stream, record, socket) => {
                    image.put(Key::ClientConnection(stream), &record);
                    descriptors.insert(Role::ClientConnection(stream), socket.into());
                }
                FrozenConnection::Downstream(stream, record, socket) => {
                    image.put(Key::DownstreamConnection(stream), &record);
                    descriptors.insert(Role::DownstreamConnection(stream), socket.into());
                }
                FrozenConnection::Engine(record, socket) => {
                    image.put(Key::EngineConnection, &record);
                    if let (Some(stream), Some(socket)) = (record.stream, socket) {
                        descriptors.insert(Role::EngineConnection(stream), socket.into());
                    }
                }
            }
        }
        (image, descriptors)
    }

    /// The record of the instance; learned state and gossip observations only if `is_complete`.
    pub(super) fn instance_record(&self, is_complete: bool) -> records::Instance {
        let learned = self
            .controller
            .as_ref()
            .filter(|_| is_complete)
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
            drain_deadline_at: self.shutdown.map(|shutdown| {
                monotonic_seconds()
                    + shutdown
                        .deadline
                        .saturating_duration_since(tokio::time::Instant::now())
                        .as_secs_f64()
            }),
            fresh_start,
            repeats_calls: self.makes_several_calls.clone(),
            counters: self.counters.by_name(),
            learned,
            gossip: ByteBuf::from(if is_complete {
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

    pub(super) fn invocation_record(&self, index: usize) -> Option<(Key, records::Invocation)> {
        let invocation = self.invocations.get(index)?;
        let state = self.controller.as_ref()?.invocation(index)?.clone();
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
        let monotonic_time = |at: Duration| {
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
                .map(monotonic_time),
            due_at: invocation.due_at.map(monotonic_time),
            routed_call: invocation.routed_call.clone(),
            has_started: invocation.has_started,
            notification_count: invocation.notifications,
            command,
            arrival_order: invocation.arrival_order,
            state,
        };
        let mut id = [0; 16];
        id.copy_from_slice(invocation.id.as_bytes());
        Some((Key::Invocation(id), record))
    }
}

/// Sends a copy of a new connection to the predecessor and waits for the acknowledgement, before
/// any byte passes on the connection. Does nothing unless a predecessor observes this process.
///
/// # Errors
/// The descriptor can't be duplicated.
pub async fn pass_to_predecessor(
    exchange: &Shared,
    role: Role,
    socket: &impl AsFd,
) -> std::io::Result<()> {
    let opened_connections = exchange.borrow().opened_connections.clone();
    let Some(opened_connections) = opened_connections else {
        return Ok(());
    };
    let (acknowledged, acknowledgement) = oneshot::channel();
    let descriptor = socket.as_fd().try_clone_to_owned()?;
    if opened_connections
        .send(OpenedConnection {
            role,
            descriptor,
            acknowledged,
        })
        .is_ok()
    {
        // An error means that no predecessor observes this process any more.
        let _ = acknowledgement.await;
    }
    Ok(())
}
