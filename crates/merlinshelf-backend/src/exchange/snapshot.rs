//! The exchange as it passes from one process to another: taken down into an image, noted change by change while a
//! predecessor watches, and taken up again.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;

use log::error;
use merlinshelf_admission::AdmissionController;
use merlinshelf_handover::records;
use merlinshelf_handover::{Image, Key, Role, Transaction};
use merlinshelf_protocol::CallId;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use serde_bytes::ByteBuf;
use tokio::sync::{mpsc, oneshot, watch};

use super::in_flight::{InFlightInvocation, ReplyAddress};
use super::runs::Command;
use super::timers::Timer;
use super::{Answer, CallCommand, Exchange, Shared};
use crate::journal::Journal;

/// What a part hands in when it stops where it stands: its record, and its connection where it has one.
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
    pub passed: oneshot::Sender<()>,
}

/// Connections that a process hands over, by what they are.
pub type PassedDescriptors = BTreeMap<Role, OwnedFd>;

/// Now, by the clock that all processes of the machine read alike.
pub fn monotonic() -> f64 {
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

    fn instance_record(&self, whole: bool) -> records::Instance {
        let learned = self
            .controller
            .as_ref()
            .filter(|_| whole)
            .map(AdmissionController::learned_state);
        let fresh_start = self.settings.get("FamilyInfo.FreshStart").cloned();
        records::Instance {
            clock_offset_seconds: self.seconds() - monotonic(),
            operations: self
                .operation_names
                .iter()
                .map(|name| name.to_string())
                .collect(),
            next_stream: self.next_stream,
            is_healthy: self.is_healthy,
            idle_timeout_seconds: self.idle_timeout.as_secs_f64(),
            drain_deadline_at: self.shutdown_at.map(|stop| {
                monotonic()
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

    fn response_queue(&self, number: usize) -> Option<(u64, records::ResponseQueueRecord)> {
        let (stream, answers) = self.connections.queue(number)?;
        let answers = answers
            .iter()
            .map(|(tag, answer)| (*tag, answer.record()))
            .collect();
        Some((stream, records::ResponseQueueRecord { answers }))
    }

    fn invocation_record(&self, number: usize) -> Option<(Key, records::Invocation)> {
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
        let until =
            |at: Duration| monotonic() + at.as_secs_f64() - self.origin.elapsed().as_secs_f64();
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

    // While a predecessor watches.

    /// From here on every change is noted before it shows.
    pub fn start_journal(
        &mut self,
        journal: Journal,
        passing: mpsc::UnboundedSender<OpenedConnection>,
    ) {
        (self.journal, self.opened_connections) = (Some(journal), Some(passing));
        (self.invocations.unsaved, self.connections.unsaved) =
            (Some(Default::default()), Some(Default::default()));
    }

    /// Nobody watches any more.
    pub fn stop_journal(&mut self) {
        (self.journal, self.opened_connections) = (None, None);
        (self.invocations.unsaved, self.connections.unsaved) = (None, None);
    }

    pub fn is_journaling(&self) -> bool {
        self.journal.is_some()
    }

    /// Memory that notes take which the predecessor has not read, in bytes.
    pub fn unread_journal_bytes(&self) -> u64 {
        self.journal.as_ref().map_or(0, Journal::unread_bytes)
    }

    /// Puts a part's own record with what is noted next.
    pub fn journal_record(&mut self, key: Key, record: &impl Serialize) {
        if let Some(journal) = &mut self.journal {
            journal.put(key, record);
        }
    }

    /// What stood under these keys is gone.
    pub fn journal_removal(&mut self, keys: &[Key]) {
        if let Some(journal) = &mut self.journal {
            keys.iter().for_each(|key| journal.remove(*key));
        }
    }

    /// Notes all that has changed. Whatever shows outside comes after this.
    pub fn write_journal(&mut self) {
        let Some(mut journal) = self.journal.take() else {
            return;
        };
        if let Some((changed, gone)) = self.invocations.unsaved.replace(Default::default()) {
            for id in gone {
                let mut name = [0; 16];
                name.copy_from_slice(id.as_bytes());
                journal.remove(Key::Invocation(name));
            }
            for number in changed {
                if let Some((key, record)) = self.invocation_record(number) {
                    journal.put(key, &record);
                }
            }
        }
        for number in self
            .connections
            .unsaved
            .replace(Default::default())
            .unwrap_or_default()
        {
            if let Some((stream, connection)) = self.response_queue(number) {
                journal.put(Key::ResponseQueue(stream), &connection);
            }
        }
        journal.write();
        self.journal = Some(journal);
    }

    /// Notes the instance as a whole, without what was learnt.
    pub fn write_instance_to_journal(&mut self) {
        if self.is_journaling() {
            let instance = self.instance_record(false);
            self.journal_record(Key::Instance, &instance);
            self.write_journal();
        }
    }

    // Taken up from another process.

    /// Whether what the image holds can go on under these settings.
    pub fn check_image(&self, image: &Image) -> Result<(), String> {
        let instance: records::Instance = image
            .get(Key::Instance)
            .ok_or("the image holds no instance")?;
        if instance
            .operations
            .iter()
            .map(String::as_str)
            .ne(self.operation_names.iter().map(AsRef::as_ref))
        {
            return Err("the settings name other operations than the image".into());
        }
        Ok(())
    }

    /// Takes up the instance and all invocations in hand from an image whose connections have come as well. The doors
    /// must be open by now; `lines` are the calls below that go on.
    pub fn restore(
        &mut self,
        image: &Image,
        lines: &[records::DownstreamConnectionRecord],
        learned: Option<merlinshelf_admission::LearnedState>,
    ) {
        let instance: records::Instance = image.get(Key::Instance).unwrap_or_default();
        let numbers = image.keys().filter_map(|key| match key {
            Key::ClientConnection(stream) | Key::DownstreamConnection(stream) => Some(stream + 1),
            _ => None,
        });
        self.next_stream = numbers.fold(self.next_stream, u64::max);
        let (now, since_origin) = (monotonic(), self.origin.elapsed());
        self.epoch = instance.clock_offset_seconds + now - since_origin.as_secs_f64();
        self.next_stream = self.next_stream.max(instance.next_stream);
        self.is_healthy = instance.is_healthy;
        self.idle_timeout = super::idle_time(instance.idle_timeout_seconds);
        self.counters.set(&instance.counters);
        if instance.repeats_calls.len() == self.makes_several_calls.len() {
            self.makes_several_calls = instance.repeats_calls;
        }
        if let Some(fresh) = instance.fresh_start {
            self.settings.insert("FamilyInfo.FreshStart".into(), fresh);
        }
        if let Some(stop) = instance.drain_deadline_at {
            let left = Duration::from_secs_f64((stop - now).clamp(0.0, 1e6));
            self.shutdown_at = Some(tokio::time::Instant::now() + left);
        }
        self.gossip_state = instance.gossip.into_vec();
        let Some(learned) = instance.learned.or(learned) else {
            return;
        };
        match AdmissionController::start(
            learned.engine_started_at,
            self.seed,
            self.settings.clone(),
        ) {
            Ok((mut controller, decisions)) => {
                controller.restore_learned_state(learned);
                self.controller = Some(controller);
                self.carry_out(decisions);
            }
            Err(reason) => return error!("the module does not start: {reason}"),
        }
        let connections: HashMap<u64, usize> = self
            .connections
            .numbers()
            .filter_map(|number| Some((self.connections.queue(number)?.0, number)))
            .collect();
        let mut invocations: Vec<(CallId, records::Invocation)> = Vec::new();
        for key in image.keys() {
            match key {
                Key::Invocation(name) => {
                    let id = CallId::parse(&name);
                    invocations.extend(id.zip(image.get(key)));
                }
                Key::ResponseQueue(stream) => {
                    let answers: records::ResponseQueueRecord = image.get(key).unwrap_or_default();
                    if let Some(queue) = connections
                        .get(&stream)
                        .and_then(|connection| self.connections.queue_mut(*connection))
                    {
                        answers
                            .answers
                            .into_iter()
                            .for_each(|(tag, invocation)| queue.push((tag, invocation.into())));
                    }
                }
                _ => {}
            }
        }
        invocations.sort_by_key(|(_, invocation)| invocation.arrival_order);
        let called: HashSet<(&[u8], usize)> = lines
            .iter()
            .map(|line| (line.invocation_id.as_slice(), line.call_index))
            .collect();
        for (id, invocation) in invocations {
            let called = called.contains(&(id.as_bytes() as &[u8], invocation.call_count));
            self.restore_invocation(id, invocation, &connections, called, now);
        }
    }

    fn restore_invocation(
        &mut self,
        id: CallId,
        invocation: records::Invocation,
        connections: &HashMap<u64, usize>,
        called: bool,
        now: f64,
    ) {
        if invocation.operation >= self.operation_names.len() || self.invocations.find(id).is_some()
        {
            return error!(
                "{id} can't be carried on: operation {}",
                invocation.operation
            );
        }
        let until = invocation
            .call_deadline_at
            .map(|until| Duration::from_secs_f64((until - now).clamp(0.001, 3600.0)));
        let reply = invocation.response_target.and_then(|(stream, tag)| {
            Some(ReplyAddress {
                connection: *connections.get(&stream)?,
                tag,
            })
        });
        let unheard = reply.is_none() && invocation.response_target.is_some();
        let need = invocation
            .call_notification
            .map(|(number, body)| (number, body.as_slice().into()));
        let index = self.invocations.insert(InFlightInvocation {
            id,
            operation: invocation.operation,
            body: invocation.body.as_slice().into(),
            reply,
            call_request: need,
            named_dependency: invocation.dependency.map(Rc::from),
            calls_requested: invocation.requested_calls,
            missing_parts: invocation.missing_parts.into_iter().map(Rc::from).collect(),
            due_at: None,
            calls: invocation.call_count,
            is_calling: until.is_some(),
            has_started: invocation.has_started,
            notifications: invocation.notification_count,
            call_timeout_at: until.map(|until| self.origin.elapsed() + until),
            command: None,
            arrival_order: 0,
        });
        if let Some(controller) = &mut self.controller {
            controller.restore_invocation(index, invocation.state);
        }
        if let Some((command, sent)) = invocation.command {
            let command = match command {
                records::Command::Run => Command::Run {
                    id,
                    operation: self.operation_names[invocation.operation].clone(),
                    body: invocation.body.as_slice().into(),
                },
                records::Command::Feed(reply) => Command::Feed {
                    id,
                    reply: reply.as_slice().into(),
                },
                records::Command::Skip(need) => Command::Skip { id, need },
            };
            if sent {
                self.inherited_commands
                    .push((command.clone(), invocation.notification_count));
                if let Some(known) = self.invocations.get_mut(index) {
                    known.command = Some((command, true));
                }
            } else {
                self.send_command(index, command);
            }
        }
        if let Some(until) = until {
            let at = self.origin.elapsed() + until;
            self.set_timer(at, Timer::CallTimeout(id, invocation.call_count));
            let body = self
                .invocations
                .get(index)
                .and_then(|invocation| invocation.call_request.as_ref())
                .map(|(_, body)| body.clone());
            if let (false, Some(body)) = (called, body) {
                // It was decided on and never sent: its line would be here otherwise.
                let (wait, wanted) = (until.as_secs_f64(), self.call_context(index));
                self.call_commands.push(CallCommand::Invoke {
                    id,
                    number: invocation.call_count,
                    timeout_seconds: wait,
                    body,
                    context: wanted,
                });
            }
        }
        if unheard {
            self.caller_gone(index);
        }
    }

    /// Commands that another process had put on the link and that may not have been read, to be looked after by the
    /// link's part.
    pub fn take_inherited_commands(&mut self) -> Vec<(Command, u64)> {
        std::mem::take(&mut self.inherited_commands)
    }
}

/// Passes a new connection to the predecessor, before anything goes over it. Without one it costs nothing.
pub async fn pass(exchange: &Shared, role: Role, socket: &impl AsFd) -> std::io::Result<()> {
    let passing = exchange.borrow().opened_connections.clone();
    let Some(passing) = passing else {
        return Ok(());
    };
    let (told, passed) = oneshot::channel();
    let descriptor = socket.as_fd().try_clone_to_owned()?;
    if passing
        .send(OpenedConnection {
            role,
            descriptor,
            passed: told,
        })
        .is_ok()
    {
        let _ = passed.await; // an error: nobody watches any more
    }
    Ok(())
}

impl Answer {
    fn record(&self) -> records::Answer {
        match self {
            Answer::Succeeded(result) => records::Answer::Succeeded(ByteBuf::from(result.as_ref())),
            Answer::Partial(result, missing) => {
                records::Answer::Partial(ByteBuf::from(result.as_ref()), missing.to_string())
            }
            Answer::Rejected {
                retry_after_seconds: away,
                no_failover: last,
            } => records::Answer::Throttled {
                retry_after_seconds: *away,
                forbids_failover: *last,
            },
            Answer::Failed => records::Answer::Errored,
            Answer::Unknown => records::Answer::Unknown,
        }
    }
}

impl From<records::Answer> for Answer {
    fn from(record: records::Answer) -> Answer {
        match record {
            records::Answer::Succeeded(result) => Answer::Succeeded(result.as_slice().into()),
            records::Answer::Partial(result, missing) => {
                Answer::Partial(result.as_slice().into(), missing.into())
            }
            records::Answer::Throttled {
                retry_after_seconds: away,
                forbids_failover: last,
            } => Answer::Rejected {
                retry_after_seconds: away,
                no_failover: last,
            },
            records::Answer::Errored => Answer::Failed,
            records::Answer::Unknown => Answer::Unknown,
        }
    }
}
