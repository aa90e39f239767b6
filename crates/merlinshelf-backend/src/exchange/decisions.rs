//! The exchange towards the module: it is told what happens, and what it decides is carried out.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use log::{error, info, warn};
use merlinshelf_admission::{AdmissionController, Decisions};
use tokio::time::Instant;

use super::alarms::Alarm;
use super::{Answer, Exchange, Wanting, idle_time};

impl Exchange {
    /// Starts the module as of the engine's own start.
    pub(super) fn start(&mut self, up: f64) {
        let (seed, settings) = (self.seed, self.settings.clone());
        let born = (self.seconds() - up).max(0.0);
        match catch_unwind(|| AdmissionController::start(born, seed, settings)) {
            Ok(Ok((mut shedder, decided))) => {
                shedder.set_prior_estimates(self.beliefs.clone());
                self.shedder = Some(shedder);
                self.carry_out(decided);
            }
            Ok(Err(reason)) => error!("the module does not start: {reason}"),
            Err(_) => error!("the module panicked at its start"),
        }
        if let Some(stop) = self.leaving {
            let left = stop.saturating_duration_since(Instant::now()).as_secs_f64();
            if !self.attempt(|shedder, now| shedder.shutdown_requested(now, left)) {
                self.shedder = None; // and everything is throttled until the end
            }
        }
    }

    /// Tells the module something and carries out what it decides.
    pub(super) fn decide(&mut self, tell: impl FnOnce(&mut AdmissionController, f64) -> Decisions) {
        self.decide_on(Wanting::default(), tell);
    }

    /// The same where it is about a call below.
    pub(super) fn decide_on(
        &mut self,
        wanting: Wanting,
        tell: impl FnOnce(&mut AdmissionController, f64) -> Decisions,
    ) {
        self.mind_policy();
        self.lay_budgets(wanting);
        if !self.attempt(tell) {
            self.start_over(0.0);
        }
    }

    /// False if the module panicked.
    fn attempt(&mut self, tell: impl FnOnce(&mut AdmissionController, f64) -> Decisions) -> bool {
        let now = self.seconds();
        let Some(shedder) = &mut self.shedder else {
            return true;
        };
        let decided = catch_unwind(AssertUnwindSafe(|| tell(shedder, now)));
        decided.map(|decided| self.carry_out(decided)).is_ok()
    }

    /// What the module had in hand is lost to it: all is answered at once, and it starts afresh.
    pub(super) fn start_over(&mut self, up: f64) {
        error!("starts over with {} in hand", self.hand.len());
        self.shedder = None;
        self.alarms.clear();
        for inv in self.hand.all() {
            if self.hand.get(inv).is_some_and(|one| !one.begun) {
                self.answer(
                    inv,
                    Answer::Throttled {
                        away: 0.0,
                        last: false,
                    },
                );
            }
            self.release(inv);
        }
        self.commands.clear();
        self.start(up);
    }

    /// Carries out what was decided, in the order in which the interface lists it.
    pub(super) fn carry_out(&mut self, decided: Decisions) {
        for rejection in decided.rejected {
            let inv = rejection.invocation;
            let (away, last) = (rejection.retry_after_seconds, rejection.no_failover);
            self.answer(inv, Answer::Throttled { away, last });
        }
        for inv in decided.failed {
            self.drop_call(inv);
            self.answer(inv, Answer::Errored);
        }
        for inv in decided.stopped {
            warn!("invocation {inv} can't be stopped: this engine has no command for it");
        }
        for inv in decided.started {
            self.begin(inv);
        }
        for (inv, wait) in decided.called {
            self.call(inv, wait);
        }
        for inv in decided.degraded {
            self.note_left_out(inv);
            self.degrade(inv);
        }
        if let Some(good) = decided.health {
            info!("health is now {}", if good { "good" } else { "bad" });
            self.healthy = good;
        }
        if let Some(idle) = decided.idle_timeout {
            self.trim_after = idle_time(idle);
            self.doors.nudge_all();
        }
        for (after, handle) in decided.timers {
            let at = self.origin.elapsed() + Duration::from_secs_f64(after.clamp(0.001, 3600.0));
            self.set_alarm(at, Alarm::Wake(handle));
        }
        for note in decided.notes {
            info!("module: {note}");
        }
        for inv in decided.released {
            self.release(inv);
        }
    }

    pub(super) fn answer(&mut self, inv: usize, answer: Answer) {
        let Some(reply) = self.hand.get(inv).and_then(|one| one.reply.take()) else {
            return;
        };
        match answer {
            Answer::Succeeded(_) => self.counters.succeeded += 1,
            Answer::Partial(..) => {
                self.counters.succeeded += 1;
                self.counters.partial += 1;
            }
            Answer::Throttled { .. } => self.counters.throttled += 1,
            Answer::Errored | Answer::Unknown => self.counters.errored += 1,
        }
        if let Some(outbox) = self.doors.outbox(reply.door) {
            outbox.push((reply.tag, answer));
        }
    }

    /// The module has done with it. Whatever happened, nothing read is left without its answer.
    pub(super) fn release(&mut self, inv: usize) {
        self.drop_call(inv);
        self.answer(inv, Answer::Errored);
        self.hand.give_back(inv);
    }
}
