//! Restoring the exchange from a handover image, in a successor or in a predecessor that recovers.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use log::error;
use merlinshelf_admission::AdmissionController;
use merlinshelf_handover::records;
use merlinshelf_handover::{Image, Key};
use merlinshelf_protocol::CallId;

use super::in_flight::{InFlightInvocation, ReplyAddress};
use super::runs::Command;
use super::snapshot::monotonic_seconds;
use super::timers::Timer;
use super::{CallCommand, Exchange};

impl Exchange {
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

    /// Takes up the instance and all invocations in hand from an image whose connections have come
    /// as well. The doors must be open by now; `lines` are the calls below that go on.
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
        let (now, since_origin) = (monotonic_seconds(), self.origin.elapsed());
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
            self.caller_disconnected(index);
        }
    }

    /// Commands that another process had put on the link and that may not have been read, to be
    /// looked after by the link's part.
    pub fn take_inherited_commands(&mut self) -> Vec<(Command, u64)> {
        std::mem::take(&mut self.inherited_commands)
    }
}
