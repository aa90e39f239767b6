//! The admission controller: its state, its event methods and the evaluation of the rules.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::advertisement::Advertisement;
use crate::callers::{CallerHistory, OfferedWork};
use crate::deadline::{Deadlines, deadlines_of};
use crate::deduplication::RepeatTable;
use crate::downstream::{BREAKER_FAILURES, DownstreamState, INITIAL_LIMIT_FRACTION};
use crate::drain::Shutdown;
use crate::estimator::{Operation, OperationSamples};
use crate::invocations::InvocationTable;
use crate::limiter::FinishedRun;
use crate::load::LoadGauges;
use crate::rules::RULES;
use crate::samples::push;
use crate::settings::{OperationSettings, SettingsReader};
use crate::{
    Decisions, DownstreamQuota, DownstreamUsage, Invocation, InvocationState, Outcome,
    PriorEstimates, SettingError, Settings, Stage,
};

#[cfg(test)]
mod tests;

/// Interval of the timer that re-evaluates the rules, in seconds. It is well below the slack of any
/// deadline, and a hundred timers a second cost little.
pub(crate) const TICK_SECONDS: f64 = 0.01;
/// How long before its deadline an answer is sent, in seconds: two ticks.
pub(crate) const ANSWER_MARGIN_SECONDS: f64 = 0.02;
/// Lower bound of a measured run duration, in seconds.
const MIN_RUN_SECONDS: f64 = 1e-6;

/// Decides what a backend admits, queues, runs, calls downstream, rejects, and advertises.
///
/// A host calls one method for each event, with the clock in seconds, and carries out the returned
/// [`Decisions`]. Each method records its event and then evaluates the rules until none applies.
/// The controller does no I/O, reads no clock and takes random numbers only from a seeded
/// generator, so that the same events yield the same decisions.
#[derive(Default)]
pub struct AdmissionController {
    pub(crate) settings: SettingsReader,
    /// Time of the current event, in seconds of the controller's clock.
    pub(crate) now: f64,
    /// Decisions collected during the current event.
    pub(crate) decisions: Decisions,
    random: Option<Pcg32>,
    pub(crate) seed: u64,
    /// Seconds of the controller's clock.
    pub(crate) engine_started_at: f64,
    pub(crate) shutdown: Option<Shutdown>,
    /// By index in the settings.
    pub(crate) operations: Vec<Operation>,
    /// Whether billed value is proportional to work instead of per invocation.
    pub(crate) counts_value_by_work: bool,
    /// Whether callers mark retries.
    pub(crate) marks_retries: bool,
    /// Expected core seconds per unit of cost, by operation.
    pub(crate) core_seconds_per_cost: Vec<f64>,
    pub(crate) invocations: InvocationTable,
    /// Limit of invocations in flight.
    pub(crate) limit: f64,
    pub(crate) load: LoadGauges,
    pub(crate) repeats: RepeatTable,
    pub(crate) downstream: DownstreamState,
    pub(crate) callers: CallerHistory,
    pub(crate) advertisement: Advertisement,
    /// Estimates made by other instances; empty unless the host sets them.
    pub(crate) prior_estimates: PriorEstimates,
}

impl AdmissionController {
    /// Creates a controller and returns it with its first decisions. `seed` is the instance's
    /// number among all instances.
    ///
    /// # Errors
    /// Returns an error if a required setting is missing or a numeric setting is not a finite
    /// number.
    pub fn start(
        now: f64,
        seed: u64,
        settings: Settings,
    ) -> Result<(AdmissionController, Decisions), SettingError> {
        let (settings, warnings) = SettingsReader::new(settings)?;
        let operations = read_operations(&settings)?;
        let mut controller = AdmissionController {
            now,
            seed,
            random: Some(Pcg32::seed_from_u64(seed)),
            engine_started_at: now,
            operations,
            counts_value_by_work: settings.text("CountedBy") == "work",
            marks_retries: settings.text("Callers.MarksRetry") != "false",
            limit: settings.cores(),
            load: LoadGauges {
                busy_at: now,
                ..LoadGauges::default()
            },
            downstream: DownstreamState {
                limit: settings.call_quota() * INITIAL_LIMIT_FRACTION,
                ..DownstreamState::default()
            },
            settings,
            ..AdmissionController::default()
        };
        controller.decisions.notes = warnings;
        controller.decisions.timers.push((TICK_SECONDS, 0));
        let decisions = controller.decide();
        Ok((controller, decisions))
    }

    /// Records that an invocation was read. It is identified by `number` until it is released.
    pub fn invocation_arrived(
        &mut self,
        now: f64,
        number: usize,
        mut request: Invocation,
    ) -> Decisions {
        self.advance_to(now);
        request.operation = request.operation.min(self.operations.len() - 1);
        self.detect_unmarked_retry(&mut request);
        let operation = &self.operations[request.operation];
        let Deadlines {
            due_at,
            objective_deadline,
        } = deadlines_of(&request, operation, now);
        let exceeds_quota = self.record_customer_arrival(request.customer);
        self.callers.record_arrival(now, request.caller);
        if self.marks_retries {
            let mark = if request.is_retry { 1.0 } else { 0.0 };
            push(&mut self.callers.retry_marks, mark);
        }
        let repeats_released = request
            .original
            .is_some_and(|original| self.repeats.released_without_run.contains(&original));
        request.is_repeat &= !repeats_released;
        let state = InvocationState {
            arrived_at: now - request.age,
            request,
            due_at,
            objective_deadline,
            stage_entered_at: now,
            exceeds_quota,
            ..InvocationState::default()
        };
        let offered = OfferedWork {
            arrived_at: now,
            core_seconds: self.expected_run(&state),
        };
        push(&mut self.callers.offered_work, offered);
        self.invocations.insert(number, state);
        self.advertisement.arrivals_rejected.push(false);
        self.decide()
    }

    /// Records the end of a run, or of the wait of a repeat that joined another invocation.
    /// `duration` is in seconds and includes downstream calls.
    pub fn run_ended(
        &mut self,
        now: f64,
        number: usize,
        outcome: Outcome,
        duration: f64,
    ) -> Decisions {
        self.advance_to(now);
        if !self.invocations.contains(number) {
            return self.decide();
        }
        self.record_call_end(number, outcome);
        let invocation = &self.invocations[number];
        let operation = invocation.request.operation;
        let has_table_entry = invocation.has_table_entry;
        if invocation.stage != Stage::Joined {
            self.load.last_progress_at = now;
            if outcome.succeeded && !invocation.is_stopping {
                let downstream = invocation.off_core_seconds;
                self.record_run(&FinishedRun {
                    operation,
                    duration: (duration - downstream).max(MIN_RUN_SECONDS),
                    cost: invocation.request.cost_hint.unwrap_or(1.0),
                    downstream,
                });
            }
        }
        let sharing_seconds = self.settings.seconds("FamilyInfo.ShareForUs", 0.0);
        let is_idempotent = self.operations[operation].settings.is_idempotent;
        if outcome.succeeded && sharing_seconds > 0.0 && has_table_entry && is_idempotent {
            self.cache_for_repeats(number, sharing_seconds);
        }
        self.release(number);
        self.decide()
    }

    /// Records that the caller of an invocation disconnected or timed out.
    pub fn caller_disconnected(&mut self, now: f64, number: usize) -> Decisions {
        self.advance_to(now);
        if self.invocations.contains(number) {
            self.invocations[number].is_answered = true;
            self.release_if_not_run(number);
        }
        self.decide()
    }

    /// Records that a run waits for permission to make its downstream call.
    pub fn call_requested(&mut self, now: f64, number: usize) -> Decisions {
        self.advance_to(now);
        if self.invocations.contains(number) {
            let invocation = &mut self.invocations[number];
            invocation.stage = Stage::AwaitingCall;
            invocation.stage_entered_at = now;
            self.load.last_progress_at = now;
        }
        self.decide()
    }

    /// Records that a downstream call returned a result or timed out.
    pub fn call_ended(&mut self, now: f64, number: usize, outcome: Outcome) -> Decisions {
        self.advance_to(now);
        if self.invocations.contains(number) && self.invocations[number].stage == Stage::Calling {
            self.record_call_end(number, outcome);
            let invocation = &mut self.invocations[number];
            invocation.has_uncertain_call = !outcome.succeeded && !outcome.never_ran;
            invocation.stage = if outcome.succeeded {
                Stage::Running
            } else {
                Stage::AwaitingCall
            };
            self.load.last_progress_at = now;
        }
        self.decide()
    }

    /// Starts the graceful shutdown of the process, which must have exited in `stop_seconds`.
    pub fn shutdown_requested(&mut self, now: f64, stop_seconds: f64) -> Decisions {
        self.advance_to(now);
        self.shutdown = Some(Shutdown {
            grace_ends_at: now + self.settings.seconds("Rules.DrainGraceUs", 0.0),
            stop_at: now + stop_seconds,
        });
        self.decide()
    }

    /// Records the gauges of the engine, by name, and re-evaluates all rules that depend on the
    /// time. One timer per tick serves all deadlines, so the handle is not used.
    pub fn timer_fired(
        &mut self,
        now: f64,
        _handle: u64,
        gauges: &BTreeMap<String, f64>,
    ) -> Decisions {
        self.advance_to(now);
        if let Some(&busy) = gauges.get("cpu_busy") {
            self.load.busy = busy.clamp(0.0, 1.0);
            self.load.busy_at = now;
        }
        if let Some(&runnable) = gauges.get("runnable") {
            let other_work = (runnable - self.invocations.running() as f64).max(0.0);
            push(&mut self.load.other_work, other_work);
        }
        self.decisions.timers.push((TICK_SECONDS, 0));
        self.decide()
    }

    /// Replaces the quota of downstream calls that the fleet's budgets leave to this instance, with
    /// the health of the dependency as the fleet knows it. Returns the usage of the previous quota.
    pub fn set_downstream_quota(&mut self, quota: DownstreamQuota) -> DownstreamUsage {
        let state = &mut self.downstream;
        let is_failing = state.is_failing();
        if quota.reopened {
            // One more failure opens the breaker again.
            state.consecutive_failures = state.consecutive_failures.min(BREAKER_FAILURES - 1);
        }
        if quota.probes_only {
            state.consecutive_failures = state.consecutive_failures.max(BREAKER_FAILURES);
        }
        let unused = std::mem::replace(&mut state.quota, quota);
        DownstreamUsage { unused, is_failing }
    }

    /// Applies the first rule that matches, again and again until none matches, and returns the
    /// decisions.
    fn decide(&mut self) -> Decisions {
        self.update_core_seconds_per_cost();
        while let Some((number, effect)) = RULES
            .iter()
            .find_map(|rule| Some(((rule.condition)(self)?, rule.effect)))
        {
            effect(self, number);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Sets the current time and removes expired entries.
    fn advance_to(&mut self, now: f64) {
        if now > self.now {
            self.repeats.released_without_run.clear();
        }
        self.now = now;
        self.repeats.expire(now);
        let from = now - self.call_window();
        self.downstream.calls.retain(|call| call.ended_at > from);
    }

    /// A random number in the range 0 to 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.random.as_mut().map_or(0.5, RngExt::random)
    }
}

fn read_operations(settings: &SettingsReader) -> Result<Vec<Operation>, SettingError> {
    let count = settings.number("Classes.count", 0.0).max(1.0) as usize;
    let operations: Vec<Operation> = (0..count)
        .map(|operation| Operation {
            settings: OperationSettings::read(settings, operation),
            samples: OperationSamples::default(),
        })
        .collect();
    let lacks_window = |operation: &Operation| {
        operation.settings.has_idempotency_key && operation.settings.idempotency_window <= 0.0
    };
    match operations.iter().position(lacks_window) {
        Some(operation) => Err(SettingError::MissingIdempotencyWindow { operation }),
        None => Ok(operations),
    }
}
