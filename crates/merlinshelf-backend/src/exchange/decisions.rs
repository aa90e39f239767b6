//! The exchange towards the module: it is told what happens, and what it decides is carried out.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use log::{error, info, warn};
use merlinshelf_admission::{AdmissionController, Decisions};
use tokio::time::Instant;

use super::timers::Timer;
use super::{Answer, CallDemand, Exchange, idle_time};

impl Exchange {
    /// Starts the module as of the engine's own start.
    pub(super) fn start_controller(&mut self, up: f64) {
        let (seed, settings) = (self.seed, self.settings.clone());
        let born = (self.seconds() - up).max(0.0);
        match catch_unwind(|| AdmissionController::start(born, seed, settings)) {
            Ok(Ok((mut controller, decisions))) => {
                controller.set_prior_estimates(self.prior_estimates.clone());
                self.controller = Some(controller);
                self.carry_out(decisions);
            }
            Ok(Err(reason)) => error!("the module does not start: {reason}"),
            Err(_) => error!("the module panicked at its start"),
        }
        if let Some(stop) = self.shutdown_at {
            let left = stop.saturating_duration_since(Instant::now()).as_secs_f64();
            if !self.attempt(|controller, now| controller.shutdown_requested(now, left)) {
                self.controller = None; // and everything is throttled until the end
            }
        }
    }

    /// Tells the module something and carries out what it decides.
    pub(super) fn decide(&mut self, tell: impl FnOnce(&mut AdmissionController, f64) -> Decisions) {
        self.decide_with_demand(CallDemand::default(), tell);
    }

    /// The same where it is about a call below.
    pub(super) fn decide_with_demand(
        &mut self,
        wanting: CallDemand,
        tell: impl FnOnce(&mut AdmissionController, f64) -> Decisions,
    ) {
        self.apply_current_policy();
        self.apply_quota(wanting);
        if !self.attempt(tell) {
            self.start_over(0.0);
        }
    }

    /// False if the module panicked.
    fn attempt(&mut self, tell: impl FnOnce(&mut AdmissionController, f64) -> Decisions) -> bool {
        let now = self.seconds();
        let Some(controller) = &mut self.controller else {
            return true;
        };
        let decisions = catch_unwind(AssertUnwindSafe(|| tell(controller, now)));
        decisions.map(|decisions| self.carry_out(decisions)).is_ok()
    }

    /// What the module had in hand is lost to it: all is answered at once, and it starts afresh.
    pub(super) fn start_over(&mut self, up: f64) {
        error!("starts over with {} in hand", self.invocations.len());
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
        self.start_controller(up);
    }

    /// Carries out what was decided, in the order in which the interface lists it.
    pub(super) fn carry_out(&mut self, decisions: Decisions) {
        for rejection in decisions.rejected {
            let index = rejection.invocation;
            let (away, last) = (rejection.retry_after_seconds, rejection.no_failover);
            self.answer(
                index,
                Answer::Rejected {
                    retry_after_seconds: away,
                    no_failover: last,
                },
            );
        }
        for index in decisions.failed {
            self.abandon_call(index);
            self.answer(index, Answer::Failed);
        }
        for index in decisions.stopped {
            warn!("invocation {index} can't be stopped: this engine has no command for it");
        }
        for index in decisions.started {
            self.start_run(index);
        }
        for (index, wait) in decisions.called {
            self.start_call(index, wait);
        }
        for index in decisions.degraded {
            self.record_skipped_call(index);
            self.skip_call(index);
        }
        if let Some(good) = decisions.health {
            info!("health is now {}", if good { "good" } else { "bad" });
            self.is_healthy = good;
        }
        if let Some(idle) = decisions.idle_timeout {
            self.idle_timeout = idle_time(idle);
            self.connections.wake_all();
        }
        for (after, handle) in decisions.timers {
            let at = self.origin.elapsed() + Duration::from_secs_f64(after.clamp(0.001, 3600.0));
            self.set_timer(at, Timer::Admission(handle));
        }
        for note in decisions.notes {
            info!("module: {note}");
        }
        for index in decisions.released {
            self.release(index);
        }
    }

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

    /// The module has done with it. Whatever happened, nothing read is left without its answer.
    pub(super) fn release(&mut self, index: usize) {
        self.abandon_call(index);
        self.answer(index, Answer::Failed);
        self.invocations.remove(index);
    }
}
