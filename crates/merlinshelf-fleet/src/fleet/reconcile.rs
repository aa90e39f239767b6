//! Periodic reconciliation: hanging instances are terminated, processes that exceed their shutdown
//! deadline are killed, and specified instances are started.

use super::failure::TargetFailure;
use super::{Action, Fleet};
use crate::instance::{Instance, State};

/// Interval between repeated kills of a process that has not exited, in seconds.
const KILL_RETRY_SECONDS: f64 = 1.0;

/// Calls of [`Fleet::advance`] that are further apart mean that this process was suspended. The host
/// calls it every 50 ms; a busy machine delays that by far less than this.
const MAX_ADVANCE_GAP_SECONDS: f64 = 1.0;

impl Fleet {
    /// Performs everything that is due.
    pub fn advance(&mut self, now: f64) {
        self.discount_suspension(now);
        self.fail_cold_targets(now);
        self.check_instances(now);
        self.advance_plan(now);
        self.start_instances(now);
        self.remove_instances();
    }

    /// Time in which this process itself was suspended is no silence of the instances, and nothing
    /// that they were observed to do.
    fn discount_suspension(&mut self, now: f64) {
        let gap_seconds = now - self.advanced_at.replace(now).unwrap_or(now);
        if gap_seconds <= MAX_ADVANCE_GAP_SECONDS {
            return;
        }
        for instance in self.instances.values_mut() {
            instance.discount_suspension(now, gap_seconds);
        }
        self.add_event(
            None,
            format!("the agent itself stood still for {gap_seconds:.1} s"),
        );
    }

    /// Fails targets of the plan that do not get warm in time. Other instances are ignored, since
    /// their engines may be the cause.
    fn fail_cold_targets(&mut self, now: f64) {
        let timeout_seconds = self.warm_timeout_seconds();
        let is_late = |instance: &&Instance| {
            instance.state == State::Warming && now - instance.state_entered_at > timeout_seconds
        };
        let late = self.instances.values().filter(is_late);
        let names: Vec<String> = late.map(|instance| instance.name.clone()).collect();
        for name in names {
            let reason = format!("{name} does not get warm within {timeout_seconds:.1} s");
            self.fail_target(&name, &TargetFailure::Process(reason));
        }
    }

    fn warm_timeout_seconds(&self) -> f64 {
        self.spec.change.warm_within_ms as f64 / 1e3
    }

    /// Terminates instances that do not answer, and kills processes past their deadline.
    fn check_instances(&mut self, now: f64) {
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for name in names {
            self.check_silence(now, &name);
            self.check_kill(now, &name);
        }
    }

    fn check_silence(&mut self, now: f64, name: &str) {
        let hang_seconds = self.spec.restarts.hangs_ms as f64 / 1e3;
        let answer_timeout_seconds = self.warm_timeout_seconds().max(hang_seconds);
        let kill_at = self.shutdown_deadline(now, name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let state_seconds = now - instance.state_entered_at;
        let silent_seconds = now - instance.answered_at;
        let text = match instance.state {
            State::Starting | State::Adopted if state_seconds > answer_timeout_seconds => {
                format!("has not answered within {state_seconds:.1} s")
            }
            // A handover interrupts answers for far less than the time after which an instance
            // counts as hanging.
            State::Warming | State::Serving | State::Upgrading if silent_seconds > hang_seconds => {
                format!("hangs: no answer for {silent_seconds:.1} s")
            }
            _ => return,
        };
        instance.enter_state(now, State::Lost);
        instance.kill_at = Some(kill_at);
        let name = name.to_owned();
        self.add_event(Some(&name), text);
        self.actions.push_back(Action::Terminate { name });
    }

    fn check_kill(&mut self, now: f64, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let is_due = instance.kill_at.is_some_and(|kill_at| now >= kill_at);
        if !is_due || !instance.state.has_process() {
            return;
        }
        let is_repeated = instance.is_kill_sent;
        instance.is_kill_sent = true;
        instance.kill_at = Some(now + KILL_RETRY_SECONDS);
        let name = name.to_owned();
        if !is_repeated {
            self.add_event(Some(&name), "its time is over: it is killed");
        }
        self.actions.push_back(Action::Kill { name });
    }

    /// Starts the instances that should have a process, a limited number at a time, and drains those
    /// that are no longer specified.
    fn start_instances(&mut self, now: f64) {
        let is_starting = |instance: &&Instance| instance.state == State::Starting;
        let starting = self.instances.values().filter(is_starting).count();
        let mut free_starts = (self.spec.restarts.at_once as usize).saturating_sub(starting);
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for name in names {
            let Some(instance) = self.instances.get(&name) else {
                continue;
            };
            let is_specified = self.is_specified(instance);
            let may_start = free_starts > 0 && instance.backoff.may_start(now);
            match instance.state {
                State::Absent | State::Failed if may_start && self.is_desired(instance) => {
                    free_starts -= 1;
                    self.start_instance(now, name);
                }
                State::Warming | State::Serving
                    if !is_specified && !instance.is_shutdown_requested =>
                {
                    self.request_shutdown(now, &name, None);
                }
                _ => {}
            }
        }
    }

    fn start_instance(&mut self, now: f64, name: String) {
        let Some(instance) = self.instances.get_mut(&name) else {
            return;
        };
        instance.enter_state(now, State::Starting);
        instance.answered_at = now;
        let program = instance.program.clone();
        self.is_record_changed = true;
        self.actions.push_back(Action::Start { name, program });
    }

    /// Removes instances that are no longer specified and have no process.
    fn remove_instances(&mut self) {
        let is_obsolete =
            |instance: &&Instance| !instance.state.has_process() && !self.is_specified(instance);
        let obsolete = self.instances.values().filter(is_obsolete);
        let names: Vec<String> = obsolete.map(|instance| instance.name.clone()).collect();
        for name in names {
            self.instances.remove(&name);
            self.is_record_changed = true;
        }
    }

    /// Requests a graceful shutdown. Repeated calls send no second request, since that might shorten
    /// the time for the shutdown; a `timeout_seconds` can bring the kill forward.
    pub(super) fn request_shutdown(&mut self, now: f64, name: &str, timeout_seconds: Option<f64>) {
        let default_kill_at = self.shutdown_deadline(now, name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if !instance.state.has_process() {
            return;
        }
        let kill_at = match (instance.kill_at, timeout_seconds) {
            (None, None) => default_kill_at,
            (None, Some(seconds)) => now + seconds,
            (Some(kill_at), None) => kill_at,
            (Some(kill_at), Some(seconds)) => kill_at.min(now + seconds),
        };
        instance.kill_at = Some(kill_at);
        let is_repeated = instance.is_shutdown_requested;
        instance.is_shutdown_requested = true;
        if instance.state != State::Lost {
            let state = match timeout_seconds {
                Some(_) => State::Stopping,
                None => State::Draining,
            };
            instance.enter_state(now, state);
        }
        self.is_record_changed = true;
        if !is_repeated {
            let name = name.to_owned();
            self.actions.push_back(Action::Drain { name: name.clone() });
            self.add_event(Some(&name), "told to leave");
        }
    }
}
