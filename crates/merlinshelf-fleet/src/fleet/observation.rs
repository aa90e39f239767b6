//! Events of instances that the host observes and reports.

use super::failure::TargetFailure;
use super::{Fleet, SHUTDOWN_MARGIN_SECONDS};
use crate::instance::{Identity, Instance, Report, State};
use crate::plan::Stage;

impl Fleet {
    /// A running process of an instance was found: an earlier agent started it, or it took over while
    /// no agent was running.
    pub fn process_found(&mut self, now: f64, name: &str, identity: Identity) {
        let kill_at = self.shutdown_deadline(now, name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let shutdown_timeout_seconds = instance.shutdown_timeout_seconds;
        if instance.is_shutdown_requested {
            instance.process_started(now, identity, State::Draining);
            instance.is_shutdown_requested = true;
            instance.kill_at = Some(kill_at);
        } else {
            instance.process_started(now, identity, State::Adopted);
        }
        instance.shutdown_timeout_seconds = shutdown_timeout_seconds;
        self.add_event(Some(name), "adopted");
    }

    /// A process was started.
    pub fn process_started(&mut self, now: f64, name: &str, identity: Identity) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let text = format!("started as process {}", identity.pid);
        instance.process_started(now, identity, State::Starting);
        self.add_event(Some(name), text);
    }

    /// The configuration of an instance's process gives it this time for a graceful shutdown. Must
    /// follow [`process_started`](Fleet::process_started) or
    /// [`process_found`](Fleet::process_found).
    pub fn set_shutdown_timeout(&mut self, name: &str, seconds: f64) {
        if let Some(instance) = self.instances.get_mut(name) {
            instance.shutdown_timeout_seconds = Some(seconds);
            self.is_record_changed = true;
        }
    }

    /// A process could not be started. `jitter` is from 0 to below 1.
    pub fn start_failed(&mut self, now: f64, name: &str, reason: &str, jitter: f64) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        instance.process_exited(now, State::Failed);
        instance
            .backoff
            .record_crash(now, 0.0, &self.spec.restarts, jitter);
        self.add_event(Some(name), format!("not started: {reason}"));
        let text = format!("{name} does not start: {reason}");
        self.fail_target(name, &TargetFailure::Process(text));
    }

    /// A process has exited, with its status if known. `jitter` is from 0 to below 1.
    pub fn process_exited(&mut self, now: f64, name: &str, status: Option<i32>, jitter: f64) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if !instance.state.has_process() {
            return;
        }
        let is_requested = instance.is_shutdown_requested || instance.state.is_shutting_down();
        let is_killed = instance.is_kill_sent;
        let uptime_seconds = now - instance.process_started_at;
        let text = exit_text(instance, status, is_requested, uptime_seconds);
        if is_requested && (!is_killed || instance.is_disabled) {
            instance.process_exited(now, State::Absent);
            if !is_killed {
                instance.backoff.reset();
            }
        } else {
            instance.process_exited(now, State::Failed);
            instance
                .backoff
                .record_crash(now, uptime_seconds, &self.spec.restarts, jitter);
        }
        self.add_event(Some(name), text);
        if !is_requested {
            let text = format!("{name} ended by itself {}", status_text(status));
            self.fail_target(name, &TargetFailure::Process(text));
        }
    }

    /// An instance has answered a health check.
    pub fn report_received(&mut self, now: f64, name: &str, report: Report) {
        let warm_seconds = self.spec.change.warm_ms as f64 / 1e3;
        let kill_at = self.shutdown_deadline(now, name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let pid = report.identity.pid;
        let known = instance.identity.as_ref();
        let is_known = known.is_some_and(|known| *known == report.identity);
        let is_successor = known.is_some_and(|known| report.predecessor == Some(known.pid));
        if !is_known && !is_successor {
            return self.foreign_process_answered(now, name, pid);
        }
        let former_state = instance.state;
        instance.record_report(now, report);
        let state = reported_state(instance, instance.is_warm(now, warm_seconds));
        if state == State::Draining && !instance.is_shutdown_requested {
            instance.is_shutdown_requested = true;
            instance.kill_at = Some(kill_at);
        }
        instance.enter_state(now, state);
        if !is_known {
            self.add_event(Some(name), format!("process {pid} has taken over"));
        }
        if former_state != state && matches!(state, State::Serving | State::Draining) {
            self.add_event(Some(name), format!("is {}", state.name()));
        }
    }

    /// Another process answers on the instance's socket. It must not be signalled, since it does not
    /// belong to the fleet.
    fn foreign_process_answered(&mut self, now: f64, name: &str, pid: u32) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if instance.state != State::Lost {
            instance.enter_state(now, State::Lost);
            let text = format!("process {pid} answers in its place, and is not touched");
            self.add_event(Some(name), text);
        }
    }

    /// An instance has handed over to the requested program.
    pub fn upgrade_succeeded(&mut self, now: f64, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        instance.is_upgrade_requested = false;
        if instance.state == State::Upgrading {
            instance.enter_state(now, State::Warming);
            instance.healthy_since = None;
        }
        self.add_event(Some(name), "upgraded");
    }

    /// An instance has not handed over and continues to serve with its former program.
    pub fn upgrade_failed(&mut self, now: f64, name: &str, reason: &str) {
        let former_program = self.former_program(name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        instance.is_upgrade_requested = false;
        if instance.state == State::Upgrading {
            instance.enter_state(now, State::Warming);
        }
        if let Some(program) = former_program {
            instance.program = program;
        }
        self.add_event(Some(name), format!("not upgraded: {reason}"));
        let text = format!("{name} was not upgraded: {reason}");
        self.fail_target(name, &TargetFailure::Upgrade(text));
    }

    /// The program that an instance ran before its change in progress.
    fn former_program(&self, name: &str) -> Option<String> {
        let targets = &self.plan.as_ref()?.targets;
        match &targets.iter().find(|target| target.name == name)?.stage {
            Stage::InProgress { program } => Some(program.clone()),
            _ => None,
        }
    }

    /// Time at which the process of an instance is killed if its graceful shutdown begins now.
    pub(super) fn shutdown_deadline(&self, now: f64, name: &str) -> f64 {
        let own = self
            .instances
            .get(name)
            .and_then(|instance| instance.shutdown_timeout_seconds);
        let timeout_seconds = own.unwrap_or(self.default_shutdown_timeout_seconds);
        now + timeout_seconds + SHUTDOWN_MARGIN_SECONDS
    }
}

/// The state of an instance that has answered.
fn reported_state(instance: &Instance, is_warm: bool) -> State {
    let report = instance.report.as_ref();
    let reported = report.map_or("", |report| report.state.as_str());
    let is_healthy = report.is_some_and(|report| report.healthy == Some(true));
    match (instance.state, reported) {
        (State::Stopping, _) => State::Stopping,
        // Operators may have requested the shutdown from the instance itself.
        (_, "leaving") => State::Draining,
        (State::Draining, _) if instance.is_shutdown_requested => State::Draining,
        (State::Upgrading, _) if instance.is_upgrade_requested => State::Upgrading,
        // An earlier agent or an operator may have requested the handover.
        (
            _,
            "starting" | "readying" | "freezing" | "passing" | "taking" | "watching" | "watched",
        ) => State::Upgrading,
        (former @ (State::Absent | State::Failed), _) => former,
        _ if is_warm => State::Serving,
        // An instance that became unhealthy must get warm again.
        (State::Serving, _) if is_healthy => State::Serving,
        _ => State::Warming,
    }
}

fn status_text(status: Option<i32>) -> String {
    match status {
        Some(status) => format!("with status {status}"),
        None => "by a signal or unseen".to_owned(),
    }
}

fn exit_text(
    instance: &Instance,
    status: Option<i32>,
    is_requested: bool,
    uptime_seconds: f64,
) -> String {
    let status = status_text(status);
    let in_flight = instance
        .report
        .as_ref()
        .map_or(0, |report| report.in_flight);
    if instance.is_kill_sent {
        format!("killed; {in_flight} were in hand when it was last heard of")
    } else if is_requested {
        format!("ended {status}")
    } else {
        format!(
            "ended by itself {status} after {uptime_seconds:.1} s; {in_flight} were in hand when it was last heard of"
        )
    }
}
