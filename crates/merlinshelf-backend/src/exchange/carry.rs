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

use super::alarms::Alarm;
use super::hand::{InHand, Reply};
use super::runs::Command;
use super::{Answer, Exchange, Order, Shared};
use crate::journal::Journal;

/// What a part hands in when it stops where it stands: its record, and its connection where it has one.
#[derive(Debug)]
pub enum Deposit {
    Edge(u64, records::ClientConnectionRecord, TcpStream),
    Line(u64, records::DownstreamConnectionRecord, TcpStream),
    Link(records::EngineConnectionRecord, Option<TcpStream>),
}

/// A connection on its way to the predecessor, and where to say that it has arrived there.
pub struct Passing {
    pub role: Role,
    pub descriptor: OwnedFd,
    pub passed: oneshot::Sender<()>,
}

/// Connections that a process hands over, by what they are.
pub type Passed = BTreeMap<Role, OwnedFd>;

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
    pub fn freezing(&self) -> watch::Receiver<bool> {
        self.freeze.subscribe()
    }

    pub fn is_frozen(&self) -> bool {
        *self.freeze.borrow()
    }

    /// Stops everything where it stands.
    pub fn freeze(&mut self) {
        self.freeze.send_replace(true);
        self.doors.nudge_all();
    }

    pub fn deposit(&mut self, deposit: Deposit) {
        self.deposits.push(deposit);
    }

    /// The image of what is here, once all parts have handed themselves in, and their connections.
    pub fn take_image(&mut self) -> (Transaction, Passed) {
        let (mut image, mut passed) = (Transaction::default(), Passed::new());
        let mut instance = self.instance(true);
        let (policy, shares) = self.pass_policy();
        (instance.policy, instance.quota) = (ByteBuf::from(policy), ByteBuf::from(shares));
        image.put(Key::Instance, &instance);
        for number in self.hand.all() {
            if let Some((key, record)) = self.invocation(number) {
                image.put(key, &record);
            }
        }
        for (stream, door) in self.doors_with_answers() {
            image.put(Key::ResponseQueue(stream), &door);
        }
        for deposit in std::mem::take(&mut self.deposits) {
            match deposit {
                Deposit::Edge(stream, edge, socket) => {
                    image.put(Key::ClientConnection(stream), &edge);
                    passed.insert(Role::ClientConnection(stream), socket.into());
                }
                Deposit::Line(stream, line, socket) => {
                    image.put(Key::DownstreamConnection(stream), &line);
                    passed.insert(Role::DownstreamConnection(stream), socket.into());
                }
                Deposit::Link(link, socket) => {
                    image.put(Key::EngineConnection, &link);
                    if let (Some(stream), Some(socket)) = (link.stream, socket) {
                        passed.insert(Role::EngineConnection(stream), socket.into());
                    }
                }
            }
        }
        (image, passed)
    }

    fn instance(&self, whole: bool) -> records::Instance {
        let learnt = self
            .shedder
            .as_ref()
            .filter(|_| whole)
            .map(AdmissionController::learned_state);
        let fresh_start = self.settings.get("FamilyInfo.FreshStart").cloned();
        records::Instance {
            clock_offset_seconds: self.seconds() - monotonic(),
            operations: self.names.iter().map(|name| name.to_string()).collect(),
            next_stream: self.next_stream,
            is_healthy: self.healthy,
            idle_timeout_seconds: self.trim_after.as_secs_f64(),
            drain_deadline_at: self.leaving.map(|stop| {
                monotonic()
                    + stop
                        .saturating_duration_since(tokio::time::Instant::now())
                        .as_secs_f64()
            }),
            fresh_start,
            repeats_calls: self.calls_again.clone(),
            counters: self.counters.by_name(),
            learned: learnt,
            gossip: ByteBuf::from(if whole {
                self.knowledge.clone()
            } else {
                Vec::new()
            }),
            policy: ByteBuf::new(),
            quota: ByteBuf::new(),
        }
    }

    fn doors_with_answers(&self) -> Vec<(u64, records::ResponseQueueRecord)> {
        let doors = self.doors.numbers().filter_map(|number| self.door(number));
        doors.filter(|(_, door)| !door.answers.is_empty()).collect()
    }

    fn door(&self, number: usize) -> Option<(u64, records::ResponseQueueRecord)> {
        let (stream, answers) = self.doors.look(number)?;
        let answers = answers
            .iter()
            .map(|(tag, answer)| (*tag, answer.record()))
            .collect();
        Some((stream, records::ResponseQueueRecord { answers }))
    }

    fn invocation(&self, number: usize) -> Option<(Key, records::Invocation)> {
        let one = self.hand.look(number)?;
        let inv = self.shedder.as_ref()?.invocation(number)?.clone();
        let bytes = |bytes: &[u8]| ByteBuf::from(bytes);
        let reply = one
            .reply
            .and_then(|reply| Some((self.doors.look(reply.door)?.0, reply.tag)));
        let command = one.command.as_ref().map(|(command, sent)| {
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
            operation: one.operation,
            body: bytes(&one.body),
            response_target: reply,
            call_notification: one
                .need
                .as_ref()
                .map(|(number, body)| (*number, bytes(body))),
            dependency: one.named.as_deref().map(str::to_owned),
            requested_calls: one.wanted,
            missing_parts: one.missing.iter().map(|part| part.to_string()).collect(),
            call_count: one.calls,
            call_deadline_at: one.calling_until.filter(|_| one.calling).map(until),
            has_started: one.begun,
            notification_count: one.heard,
            command,
            arrival_order: one.place,
            state: inv,
        };
        let mut id = [0; 16];
        id.copy_from_slice(one.id.as_bytes());
        Some((Key::Invocation(id), record))
    }

    // While a predecessor watches.

    /// From here on every change is noted before it shows.
    pub fn note(&mut self, journal: Journal, passing: mpsc::UnboundedSender<Passing>) {
        (self.journal, self.passing) = (Some(journal), Some(passing));
        (self.hand.changes, self.doors.changes) =
            (Some(Default::default()), Some(Default::default()));
    }

    /// Nobody watches any more.
    pub fn note_no_more(&mut self) {
        (self.journal, self.passing) = (None, None);
        (self.hand.changes, self.doors.changes) = (None, None);
    }

    pub fn notes(&self) -> bool {
        self.journal.is_some()
    }

    /// Memory that notes take which the predecessor has not read, in bytes.
    pub fn unread_notes(&self) -> u64 {
        self.journal.as_ref().map_or(0, Journal::unread_bytes)
    }

    /// Puts a part's own record with what is noted next.
    pub fn stage(&mut self, key: Key, record: &impl Serialize) {
        if let Some(journal) = &mut self.journal {
            journal.put(key, record);
        }
    }

    /// What stood under these keys is gone.
    pub fn stage_gone(&mut self, keys: &[Key]) {
        if let Some(journal) = &mut self.journal {
            keys.iter().for_each(|key| journal.remove(*key));
        }
    }

    /// Notes all that has changed. Whatever shows outside comes after this.
    pub fn secure(&mut self) {
        let Some(mut journal) = self.journal.take() else {
            return;
        };
        if let Some((changed, gone)) = self.hand.changes.replace(Default::default()) {
            for id in gone {
                let mut name = [0; 16];
                name.copy_from_slice(id.as_bytes());
                journal.remove(Key::Invocation(name));
            }
            for number in changed {
                if let Some((key, record)) = self.invocation(number) {
                    journal.put(key, &record);
                }
            }
        }
        for number in self
            .doors
            .changes
            .replace(Default::default())
            .unwrap_or_default()
        {
            if let Some((stream, door)) = self.door(number) {
                journal.put(Key::ResponseQueue(stream), &door);
            }
        }
        journal.write();
        self.journal = Some(journal);
    }

    /// Notes the instance as a whole, without what was learnt.
    pub fn secure_instance(&mut self) {
        if self.notes() {
            let instance = self.instance(false);
            self.stage(Key::Instance, &instance);
            self.secure();
        }
    }

    // Taken up from another process.

    /// Whether what the image holds can go on under these settings.
    pub fn suits(&self, image: &Image) -> Result<(), String> {
        let instance: records::Instance = image
            .get(Key::Instance)
            .ok_or("the image holds no instance")?;
        if instance
            .operations
            .iter()
            .map(String::as_str)
            .ne(self.names.iter().map(AsRef::as_ref))
        {
            return Err("the settings name other operations than the image".into());
        }
        Ok(())
    }

    /// Takes up the instance and all invocations in hand from an image whose connections have come as well. The doors
    /// must be open by now; `lines` are the calls below that go on.
    pub fn take_up(
        &mut self,
        image: &Image,
        lines: &[records::DownstreamConnectionRecord],
        learnt: Option<merlinshelf_admission::LearnedState>,
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
        self.healthy = instance.is_healthy;
        self.trim_after = super::idle_time(instance.idle_timeout_seconds);
        self.counters.set(&instance.counters);
        if instance.repeats_calls.len() == self.calls_again.len() {
            self.calls_again = instance.repeats_calls;
        }
        if let Some(fresh) = instance.fresh_start {
            self.settings.insert("FamilyInfo.FreshStart".into(), fresh);
        }
        if let Some(stop) = instance.drain_deadline_at {
            let left = Duration::from_secs_f64((stop - now).clamp(0.0, 1e6));
            self.leaving = Some(tokio::time::Instant::now() + left);
        }
        self.knowledge = instance.gossip.into_vec();
        let Some(learnt) = instance.learned.or(learnt) else {
            return;
        };
        match AdmissionController::start(learnt.engine_started_at, self.seed, self.settings.clone())
        {
            Ok((mut shedder, decided)) => {
                shedder.restore_learned_state(learnt);
                self.shedder = Some(shedder);
                self.carry_out(decided);
            }
            Err(reason) => return error!("the module does not start: {reason}"),
        }
        let doors: HashMap<u64, usize> = self
            .doors
            .numbers()
            .filter_map(|number| Some((self.doors.look(number)?.0, number)))
            .collect();
        let mut invocations: Vec<(CallId, records::Invocation)> = Vec::new();
        for key in image.keys() {
            match key {
                Key::Invocation(name) => {
                    let id = CallId::read(&name);
                    invocations.extend(id.zip(image.get(key)));
                }
                Key::ResponseQueue(stream) => {
                    let answers: records::ResponseQueueRecord = image.get(key).unwrap_or_default();
                    if let Some(outbox) =
                        doors.get(&stream).and_then(|door| self.doors.outbox(*door))
                    {
                        answers
                            .answers
                            .into_iter()
                            .for_each(|(tag, one)| outbox.push((tag, one.into())));
                    }
                }
                _ => {}
            }
        }
        invocations.sort_by_key(|(_, one)| one.arrival_order);
        let called: HashSet<(&[u8], usize)> = lines
            .iter()
            .map(|line| (line.invocation_id.as_slice(), line.call_index))
            .collect();
        for (id, one) in invocations {
            let called = called.contains(&(id.as_bytes() as &[u8], one.call_count));
            self.carry_on(id, one, &doors, called, now);
        }
    }

    fn carry_on(
        &mut self,
        id: CallId,
        one: records::Invocation,
        doors: &HashMap<u64, usize>,
        called: bool,
        now: f64,
    ) {
        if one.operation >= self.names.len() || self.hand.find(id).is_some() {
            return error!("{id} can't be carried on: operation {}", one.operation);
        }
        let until = one
            .call_deadline_at
            .map(|until| Duration::from_secs_f64((until - now).clamp(0.001, 3600.0)));
        let reply = one.response_target.and_then(|(stream, tag)| {
            Some(Reply {
                door: *doors.get(&stream)?,
                tag,
            })
        });
        let unheard = reply.is_none() && one.response_target.is_some();
        let need = one
            .call_notification
            .map(|(number, body)| (number, body.as_slice().into()));
        let inv = self.hand.take(InHand {
            id,
            operation: one.operation,
            body: one.body.as_slice().into(),
            reply,
            need,
            named: one.dependency.map(Rc::from),
            wanted: one.requested_calls,
            missing: one.missing_parts.into_iter().map(Rc::from).collect(),
            due: None,
            calls: one.call_count,
            calling: until.is_some(),
            begun: one.has_started,
            heard: one.notification_count,
            calling_until: until.map(|until| self.origin.elapsed() + until),
            command: None,
            place: 0,
        });
        if let Some(shedder) = &mut self.shedder {
            shedder.restore_invocation(inv, one.state);
        }
        if let Some((command, sent)) = one.command {
            let command = match command {
                records::Command::Run => Command::Run {
                    id,
                    operation: self.names[one.operation].clone(),
                    body: one.body.as_slice().into(),
                },
                records::Command::Feed(reply) => Command::Feed {
                    id,
                    reply: reply.as_slice().into(),
                },
                records::Command::Skip(need) => Command::Skip { id, need },
            };
            if sent {
                self.inherited
                    .push((command.clone(), one.notification_count));
                if let Some(known) = self.hand.get(inv) {
                    known.command = Some((command, true));
                }
            } else {
                self.give(inv, command);
            }
        }
        if let Some(until) = until {
            let at = self.origin.elapsed() + until;
            self.set_alarm(at, Alarm::Call(id, one.call_count));
            let body = self
                .hand
                .look(inv)
                .and_then(|one| one.need.as_ref())
                .map(|(_, body)| body.clone());
            if let (false, Some(body)) = (called, body) {
                // It was decided on and never sent: its line would be here otherwise.
                let (wait, wanted) = (until.as_secs_f64(), self.wanted(inv));
                self.orders.push(Order::Invoke {
                    id,
                    number: one.call_count,
                    wait,
                    body,
                    wanted,
                });
            }
        }
        if unheard {
            self.gone(inv);
        }
    }

    /// Commands that another process had put on the link and that may not have been read, to be looked after by the
    /// link's part.
    pub fn inherited(&mut self) -> Vec<(Command, u64)> {
        std::mem::take(&mut self.inherited)
    }
}

/// Passes a new connection to the predecessor, before anything goes over it. Without one it costs nothing.
pub async fn pass(exchange: &Shared, role: Role, socket: &impl AsFd) -> std::io::Result<()> {
    let passing = exchange.borrow().passing.clone();
    let Some(passing) = passing else {
        return Ok(());
    };
    let (told, passed) = oneshot::channel();
    let descriptor = socket.as_fd().try_clone_to_owned()?;
    if passing
        .send(Passing {
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
            Answer::Throttled { away, last } => records::Answer::Throttled {
                retry_after_seconds: *away,
                forbids_failover: *last,
            },
            Answer::Errored => records::Answer::Errored,
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
            } => Answer::Throttled { away, last },
            records::Answer::Errored => Answer::Errored,
            records::Answer::Unknown => Answer::Unknown,
        }
    }
}
