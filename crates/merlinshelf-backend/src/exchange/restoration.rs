//! Restores the exchange from a handover image, in a successor or in a predecessor that recovers.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::error;
use merlinshelf_admission::{AdmissionController, LearnedState};
use merlinshelf_handover::records::{self, EngineConnectionRecord};
use merlinshelf_handover::{Image, Key};
use merlinshelf_protocol::CallId;

use super::in_flight::{InFlightInvocation, ReplyAddress};
use super::restored_calls::SentAttempts;
use super::runs::{Command, START_TOLERANCE};
use super::snapshot::monotonic_seconds;
use super::{Exchange, Shutdown};

/// A call whose deadline passed during the handover ends by its timer, after this.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(1);
/// No point in time of an image is further ahead than this.
const MAX_SECONDS_AHEAD: f64 = 1e6;

/// The time until a point on the monotonic clock; zero if that has passed.
fn seconds_until(at: f64, now: f64) -> Duration {
    Duration::from_secs_f64((at - now).clamp(0.0, MAX_SECONDS_AHEAD))
}

/// The invocations of an image, in the order of their arrival.
fn invocations_in_order(image: &Image) -> Vec<(CallId, records::Invocation)> {
    let mut invocations: Vec<(CallId, records::Invocation)> = image
        .keys()
        .filter_map(|key| match key {
            Key::Invocation(id) => CallId::parse(&id).zip(image.get(key)),
            _ => None,
        })
        .collect();
    invocations.sort_by_key(|(_, invocation)| invocation.arrival_order);
    invocations
}

impl Exchange {
    /// Whether the image can be continued with these settings.
    ///
    /// # Errors
    /// The image has no instance, or its operations differ from those of the settings.
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

    /// Restores the instance and all invocations in flight from an image. Its client connections must
    /// have been reopened before. `downstream_connections` are those of calls in progress, also if
    /// they were lost; `learned` is used if the image has no learned state.
    pub fn restore(
        &mut self,
        image: &Image,
        downstream_connections: &[records::DownstreamConnectionRecord],
        learned: Option<LearnedState>,
    ) {
        let instance: records::Instance = image.get(Key::Instance).unwrap_or_default();
        let next_streams = image.keys().filter_map(|key| match key {
            Key::ClientConnection(stream) | Key::DownstreamConnection(stream) => Some(stream + 1),
            _ => None,
        });
        self.next_stream = next_streams.fold(self.next_stream, u64::max);
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
            // The process that restores is notified of the shutdown and its start anew.
            let restored_at = tokio::time::Instant::now();
            self.shutdown = Some(Shutdown {
                requested_at: restored_at,
                deadline: restored_at + seconds_until(stop, now),
            });
        }
        self.gossip_state = instance.gossip.into_vec();
        self.restore_recent_runs(image);
        self.restore_controller(image, instance.learned.or(learned), now);
        let connections = self.connection_by_stream();
        self.restore_answers(image, &connections);
        let sent_attempts = SentAttempts::new(downstream_connections);
        for (id, invocation) in invocations_in_order(image) {
            self.restore_invocation(id, invocation, &connections, &sent_attempts, now);
        }
        if self.controller.is_none() {
            self.fail_all_invocations();
        }
    }

    /// Starts the admission controller as of the recorded start of the engine, with what was learned
    /// about that start. A process that journals records no learned state, and its engine may have
    /// come up or was restarted since the image was taken. Without a recorded start the engine has
    /// not been up yet, and its HELLO starts the controller.
    fn restore_controller(&mut self, image: &Image, learned: Option<LearnedState>, now: f64) {
        let engine: EngineConnectionRecord = image.get(Key::EngineConnection).unwrap_or_default();
        let engine_uptime = engine.engine_started_at.map(|started_at| now - started_at);
        let clock = self.seconds();
        let is_current = |learned: &LearnedState| {
            let latest_start = learned.engine_started_at + START_TOLERANCE.as_secs_f64();
            engine_uptime.is_none_or(|uptime| clock - uptime <= latest_start)
        };
        match (learned.filter(is_current), engine_uptime) {
            (Some(learned), _) => self.continue_controller(learned),
            (None, Some(uptime)) => self.start_controller(uptime),
            (None, None) => {}
        }
    }

    fn continue_controller(&mut self, learned: LearnedState) {
        let started =
            AdmissionController::start(learned.engine_started_at, self.seed, self.settings.clone());
        match started {
            Ok((mut controller, decisions)) => {
                controller.restore_learned_state(learned);
                self.controller = Some(controller);
                self.carry_out(decisions);
            }
            Err(reason) => error!("admission controller not started: {reason}"),
        }
    }

    fn connection_by_stream(&self) -> HashMap<u64, usize> {
        self.connections
            .numbers()
            .filter_map(|number| Some((self.connections.queue(number)?.0, number)))
            .collect()
    }

    fn restore_answers(&mut self, image: &Image, connections: &HashMap<u64, usize>) {
        for key in image.keys() {
            let Key::ResponseQueue(stream) = key else {
                continue;
            };
            let record: records::ResponseQueueRecord = image.get(key).unwrap_or_default();
            let queue = connections
                .get(&stream)
                .and_then(|connection| self.connections.queue_mut(*connection));
            if let Some(queue) = queue {
                for (tag, answer) in record.answers {
                    queue.push((tag, answer.into()));
                }
            }
        }
    }

    /// Answers the invocations that no admission controller can decide on.
    fn fail_all_invocations(&mut self) {
        for index in self.invocations.all() {
            self.release(index);
        }
    }

    fn restore_recent_runs(&mut self, image: &Image) {
        for key in image.keys() {
            if let (Key::RecentRuns(number), Some(record)) = (key, image.get(key)) {
                self.recent_runs.restore(number, &record);
            }
        }
    }

    fn restore_invocation(
        &mut self,
        id: CallId,
        invocation: records::Invocation,
        connections: &HashMap<u64, usize>,
        sent_attempts: &SentAttempts,
        now: f64,
    ) {
        if invocation.operation >= self.operation_names.len() || self.invocations.find(id).is_some()
        {
            return error!(
                "invocation {id} not restored: operation {} does not exist, or the id is in use",
                invocation.operation
            );
        }
        let call_timeout = invocation
            .call_deadline_at
            .map(|deadline| seconds_until(deadline, now).max(MIN_CALL_TIMEOUT));
        let reply = invocation.response_target.and_then(|(stream, tag)| {
            Some(ReplyAddress {
                connection: *connections.get(&stream)?,
                tag,
            })
        });
        let is_client_lost = reply.is_none() && invocation.response_target.is_some();
        let call_request = invocation
            .call_notification
            .map(|(number, body)| (number, body.as_slice().into()));
        let index = self.invocations.insert(InFlightInvocation {
            id,
            operation: invocation.operation,
            body: invocation.body.as_slice().into(),
            reply,
            call_request,
            named_dependency: invocation.dependency.map(Rc::from),
            calls_requested: invocation.requested_calls,
            missing_parts: invocation.missing_parts.into_iter().map(Rc::from).collect(),
            due_at: invocation
                .due_at
                .map(|due| self.origin.elapsed() + seconds_until(due, now)),
            calls: invocation.call_count,
            is_calling: call_timeout.is_some(),
            routed_call: invocation.routed_call,
            has_started: invocation.has_started,
            notifications: invocation.notification_count,
            call_timeout_at: call_timeout.map(|timeout| self.origin.elapsed() + timeout),
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
                if let Some(restored) = self.invocations.get_mut(index) {
                    restored.command = Some((command, true));
                }
            } else {
                self.send_command(index, command);
            }
        }
        if let Some(timeout) = call_timeout {
            self.restore_call(index, timeout, sent_attempts);
        }
        if is_client_lost {
            self.caller_disconnected(index);
        }
    }

    /// Commands that another process wrote to the engine connection and that the engine may not have
    /// read; the task of the engine connection repeats those that were lost.
    pub fn take_inherited_commands(&mut self) -> Vec<(Command, u64)> {
        std::mem::take(&mut self.inherited_commands)
    }
}
