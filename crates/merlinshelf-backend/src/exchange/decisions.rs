//! The exchange's interface to the admission controller: passes events to it and carries out its
//! decisions.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use log::{error, info, warn};
use merlinshelf_admission::{AdmissionController, Decisions};

use super::timers::Timer;
use super::{Answer, CallDemand, Exchange, idle_time};

impl Exchange {
    /// Starts the admission controller as of the engine's start, which was `engine_uptime` seconds
    /// ago.
    pub(super) fn start_controller(&mut self, engine_uptime: f64) {
        let (seed, settings) = (self.seed, self.settings.clone());
        let engine_started_at = (self.seconds() - engine_uptime).max(0.0);
        match catch_unwind(|| AdmissionController::start(engine_started_at, seed, settings)) {
            Ok(Ok((mut controller, decisions))) => {
                controller.set_prior_estimates(self.prior_estimates.clone());
                self.controller = Some(controller);
                self.carry_out(decisions);
            }
            Ok(Err(reason)) => error!("admission controller not started: {reason}"),
            Err(_) => error!("admission controller panicked at its start"),
        }
        if let Some(shutdown) = self.shutdown
            && !self.attempt(|controller, now| shutdown.notify(controller, now))
        {
            // Everything is throttled until the process exits.
            self.controller = None;
        }
    }

    /// Passes an event to the admission controller and carries out its decisions.
    pub(super) fn decide(
        &mut self,
        event: impl FnOnce(&mut AdmissionController, f64) -> Decisions,
    ) {
        self.decide_with_demand(CallDemand::default(), event);
    }

    /// As [`Exchange::decide`], for an event that may need quota for downstream calls.
    pub(super) fn decide_with_demand(
        &mut self,
        demand: CallDemand,
        event: impl FnOnce(&mut AdmissionController, f64) -> Decisions,
    ) {
        self.apply_current_policy();
        self.apply_quota(demand);
        if !self.attempt(event) {
            self.start_over(0.0);
        }
    }

    /// False if the admission controller panicked.
    fn attempt(&mut self, event: impl FnOnce(&mut AdmissionController, f64) -> Decisions) -> bool {
        let now = self.seconds();
        let Some(controller) = &mut self.controller else {
            return true;
        };
        let decisions = catch_unwind(AssertUnwindSafe(|| event(controller, now)));
        decisions.map(|decisions| self.carry_out(decisions)).is_ok()
    }

    /// The admission controller's state is lost: answers all invocations at once and starts a new
    /// controller.
    pub(super) fn start_over(&mut self, engine_uptime: f64) {
        error!(
            "restarting the admission controller, answering {} invocations in flight",
            self.invocations.len()
        );
        self.controller = None;
        self.timers.clear();
        for index in self.invocations.all() {
            if self
                .invocations
                .get_mut(index)
                .is_some_and(|invocation| !invocation.has_started)
            {
                self.answer(
                    index,
                    Answer::Rejected {
                        retry_after_seconds: 0.0,
                        no_failover: false,
                    },
                );
            }
            self.release(index);
        }
        self.commands.clear();
        self.start_controller(engine_uptime);
    }

    /// Carries out decisions, in the order in which [`Decisions`] declares them.
    pub(super) fn carry_out(&mut self, decisions: Decisions) {
        for rejection in decisions.rejected {
            let index = rejection.invocation;
            self.answer(
                index,
                Answer::Rejected {
                    retry_after_seconds: rejection.retry_after_seconds,
                    no_failover: rejection.no_failover,
                },
            );
        }
        for index in decisions.failed {
            self.abandon_call(index);
            self.answer(index, Answer::Failed);
        }
        for index in decisions.stopped {
            warn!("run of invocation {index} not stopped: the engine has no command for that");
        }
        for index in decisions.started {
            self.start_run(index);
        }
        for (index, timeout_seconds) in decisions.called {
            self.start_call(index, timeout_seconds);
        }
        for index in decisions.degraded {
            self.record_skipped_call(index);
            self.skip_call(index);
        }
        if let Some(is_healthy) = decisions.health {
            info!(
                "health changed to {}",
                if is_healthy { "healthy" } else { "unhealthy" }
            );
            self.is_healthy = is_healthy;
        }
        if let Some(idle) = decisions.idle_timeout {
            self.idle_timeout = idle_time(idle);
            self.connections.wake_all();
        }
        for (delay, handle) in decisions.timers {
            let fires_at =
                self.origin.elapsed() + Duration::from_secs_f64(delay.clamp(0.001, 3600.0));
            self.set_timer(fires_at, Timer::Admission(handle));
        }
        for note in decisions.notes {
            info!("admission controller: {note}");
        }
        for index in decisions.released {
            self.release(index);
        }
    }

    /// Queues the answer to an invocation, unless it was answered before or its client has
    /// disconnected.
    pub(super) fn answer(&mut self, index: usize, answer: Answer) {
        let Some(reply) = self
            .invocations
            .get_mut(index)
            .and_then(|invocation| invocation.reply.take())
        else {
            return;
        };
        match answer {
            Answer::Succeeded(_) => self.counters.succeeded += 1,
            Answer::Partial(..) => {
                self.counters.succeeded += 1;
                self.counters.partial += 1;
            }
            Answer::Rejected { .. } => self.counters.throttled += 1,
            Answer::Failed | Answer::Unknown => self.counters.errored += 1,
        }
        if let Some(queue) = self.connections.queue_mut(reply.connection) {
            queue.push((reply.tag, answer));
        }
    }

    /// Removes an invocation that the admission controller has released. One that is still without
    /// an answer is answered as failed. The id of one that was run is remembered.
    pub(super) fn release(&mut self, index: usize) {
        self.abandon_call(index);
        self.answer(index, Answer::Failed);
        let released = self.invocations.remove(index);
        if let Some(invocation) = released
            && invocation.has_started
        {
            self.recent_runs.insert(invocation.id);
        }
    }
}
