//! Downstream calls: their quota, their own Vegas limit, the circuit breaker, which run calls and
//! which does without.

use std::cell::LazyCell;
use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::estimator::Operation;
use crate::limiter::vegas_step;
use crate::samples::{WINDOW, are_few, mean, mean_with_prior, push};
use crate::{DownstreamQuota, InvocationState, Outcome, Stage};

/// Failures in a row that open the breaker: hardly chance.
pub(crate) const BREAKER_FAILURES: u32 = 5;
/// Seconds after a failure before an open breaker lets the next trial call through. Not tuned.
pub(crate) const BREAKER_PAUSE: f64 = 0.5;
/// Attempts of one run.
const ATTEMPTS_MOST: u32 = 3;

/// The part of its quota that an instance uses, guarding against what others' cold starts add. 0.5
/// measured: too few calls.
const QUOTA_PART: f64 = 0.8;
/// The limit starts at this part of the quota. The dependency slows well before its quota is full:
/// half of it at the start let all backends jam it together before they had samples; a quarter took
/// long to rise where it had room.
pub(crate) const START_PART: f64 = 0.4;
/// The limit falls to this part of the quota, but not under one call. A tenth fitted no call and
/// shut some for good.
const FLOOR_PART: f64 = 0.25;
/// The limit moves by this part of itself.
const LIMIT_STEP: f64 = 0.05;
/// Bounds of the part of a mean call that counts as time in a queue. The mean of 8 calls strays by
/// a third and the lowest of many means of 24 lies as far under: twice that may be chance (0.4 held
/// a free dependency's calls back), three times is not.
const ALPHA: f64 = 0.5;
const BETA: f64 = 0.67;
/// The recent mean is of the calls of the last seconds; where they are few, of the last eight: a
/// full window would be ten seconds old on a small backend.
const RECENT_SECONDS: f64 = 2.0;
const RECENT_LEAST: usize = 8;
/// Calls until the lowest mean is measured anew: a minute or so. Not tuned.
const PROBE_AFTER_CALLS: u32 = 400;

/// Part of the window over which the pace of calls is measured.
const PACE_PART: f64 = 0.2;
/// Half of the limit is kept for operations that can't do without their call.
const KEPT_FOR_NEEDS: f64 = 0.5;
/// A call cut short stays downstream all the same: none starts without time for so many mean ones.
const MEAN_CALLS_OF_ROOM: f64 = 4.0;
/// Stays of an abandoned call that the window holds at the least.
const STAYS_IN_WINDOW: f64 = 3.0;
/// A call that can be skipped may take this part of the time, so that what skipping earns is still
/// earned.
const SKIPPABLE_TIMEOUT_PART: f64 = 0.7;
/// The shortest timeout of a call, seconds.
const LEAST_CALL_TIMEOUT: f64 = 0.02;
/// Part of the expected run that is still to come after a call.
const RUN_PART_AFTER_CALL: f64 = 0.5;

/// A call that has ended. Times are seconds of the controller's clock.
#[derive(Clone, Copy)]
pub(crate) struct CallSpan {
    pub started_at: f64,
    /// Its end; of an abandoned call, the end of its stay downstream.
    pub ended_at: f64,
}

/// What is known of the dependency and of this instance's calls to it.
#[derive(Default)]
pub(crate) struct DownstreamState {
    /// The last calls, as long as they count in the window.
    pub calls: VecDeque<CallSpan>,
    /// Durations of the last calls, seconds.
    pub durations: VecDeque<f64>,
    /// The lowest mean duration, and how many more calls end before it is measured anew.
    pub lowest_mean: f64,
    pub calls_until_probe: u32,
    /// Calls at once, as a mean.
    pub limit: f64,
    pub consecutive_failures: u32,
    pub last_failure_at: f64,
    /// What the fleet's budgets leave: all of it on the ordinary path.
    pub quota: DownstreamQuota,
}

impl DownstreamState {
    /// Whether so many calls failed in a row that the breaker is open.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= BREAKER_FAILURES
    }
}

impl AdmissionController {
    /// A run leaves its call, or the wait for one: by its end, without one, or because it ends
    /// itself.
    pub(crate) fn leave_call(&mut self, number: usize, outcome: Outcome) {
        let now = self.now;
        let invocation = &mut self.invocations[number];
        let stage = invocation.stage;
        let entered_at = invocation.stage_entered_at;
        if matches!(stage, Stage::AwaitingCall | Stage::Calling) {
            invocation.off_core_seconds = invocation.off_core_seconds + now - entered_at;
            invocation.stage_entered_at = now;
        }
        if stage == Stage::Calling {
            self.record_call(entered_at, outcome);
        }
    }

    fn record_call(&mut self, started_at: f64, outcome: Outcome) {
        let now = self.now;
        let stays_on = !outcome.succeeded && !outcome.never_ran;
        let ended_at = if stays_on {
            now + self.settings.seconds("FamilyInfo.StaysForUs", 0.0)
        } else {
            now
        };
        self.downstream.calls.push_back(CallSpan {
            started_at,
            ended_at,
        });
        if outcome.succeeded || stays_on && !outcome.stopped {
            // Of an abandoned call this is the least that it would have taken.
            self.record_call_duration(now - started_at);
        }
        if outcome.succeeded {
            self.downstream.consecutive_failures = 0;
        } else if !outcome.stopped {
            self.downstream.consecutive_failures += 1;
            self.downstream.last_failure_at = now;
        }
    }

    /// The Vegas update for calls: guards against a dependency that is slow, shrunken or crowded by
    /// whomever. Harm: it holds calls back after the dependency has turned slower for good, until
    /// the lowest mean is measured anew.
    fn record_call_duration(&mut self, duration: f64) {
        let now = self.now;
        let quota = self.settings.call_quota();
        let state = &mut self.downstream;
        push(&mut state.durations, duration);
        if are_few(&state.durations) {
            return;
        }
        let recent_calls = state
            .calls
            .iter()
            .filter(|call| call.ended_at > now - RECENT_SECONDS)
            .count()
            .clamp(RECENT_LEAST, WINDOW);
        let recent_durations = state.durations.iter().rev().take(recent_calls);
        let recent = mean(&recent_durations.copied().collect());
        let mean_duration = mean(&state.durations);
        state.calls_until_probe = state.calls_until_probe.saturating_sub(1);
        if state.calls_until_probe == 0 {
            state.lowest_mean = mean_duration;
            state.calls_until_probe = PROBE_AFTER_CALLS;
        }
        state.lowest_mean = state.lowest_mean.min(mean_duration);
        let queued = 1.0 - state.lowest_mean / recent;
        let step = vegas_step(queued < ALPHA, queued > BETA);
        let moved = state.limit * (1.0 + LIMIT_STEP * step);
        state.limit = moved.clamp(call_limit_floor(quota), QUOTA_PART * quota);
    }

    /// Time that calls have taken over the last `span` seconds, open ones too, abandoned ones with
    /// their stay.
    fn call_seconds(&self, span: f64) -> f64 {
        let from = self.now - span;
        let within = |start: f64, end: f64| (end - start.max(from)).max(0.0);
        let open = self
            .invocations
            .matching(|invocation| invocation.stage == Stage::Calling)
            .map(|invocation| within(invocation.stage_entered_at, self.now));
        let ended = self.downstream.calls.iter();
        open.chain(ended.map(|call| within(call.started_at, call.ended_at)))
            .sum()
    }

    /// The window that the settings name, seconds, or a longer one where the quota is so small that
    /// its time would hold no call.
    pub(crate) fn call_window(&self) -> f64 {
        let quota = self.settings.call_quota().max(1e-6);
        let stay = self.settings.seconds("FamilyInfo.StaysForUs", 0.0);
        self.configured_call_window()
            .max(STAYS_IN_WINDOW * stay / quota)
    }

    fn configured_call_window(&self) -> f64 {
        self.settings.seconds("FamilyInfo.DepWindowUs", 5.0)
    }

    /// Whether calls have taken this part of their limit over the last fifth of the window.
    fn exceeds_call_pace(&self, part: f64) -> bool {
        let span = PACE_PART * self.call_window();
        self.call_seconds(span) > part * span * self.downstream.limit
    }

    /// Seconds that a call may take: what the quota leaves in its window, less a part for what
    /// others' cold starts add and one stay; none over the limit on calls. Under one call the limit
    /// is a mean over a fifth of the window: that guards against hundreds of backends that always
    /// keep one, or burst together.
    fn call_room(&self) -> f64 {
        let quota = self.settings.call_quota() * QUOTA_PART;
        let window = self.call_window();
        let limit = self.downstream.limit;
        let has_none = self.is_call_limit_reached(quota)
            || !self.is_own_turn(window)
            || limit < 1.0 && self.exceeds_call_pace(1.0);
        let stay = self.settings.seconds("FamilyInfo.StaysForUs", 0.0);
        let room = quota * window - self.call_seconds(window) - stay;
        let needed = if self.downstream.durations.is_empty() {
            f64::MAX
        } else {
            MEAN_CALLS_OF_ROOM * mean(&self.downstream.durations)
        };
        if has_none || room < needed.min(0.5 * quota * window) {
            0.0
        } else {
            room.max(0.0)
        }
    }

    /// Open calls, abandoned ones during their stay too, against twice the limit.
    fn is_call_limit_reached(&self, quota: f64) -> bool {
        let abandoned = self
            .downstream
            .calls
            .iter()
            .filter(|call| call.ended_at > self.now)
            .count();
        let calling = self
            .invocations
            .count(|invocation| invocation.stage == Stage::Calling);
        let open = (calling + abandoned) as f64;
        let most = (2.0 * self.downstream.limit).ceil().min(quota.floor());
        open >= most.max(1.0)
    }

    /// In a window longer than the configured one backends take turns by seed: together they keep
    /// to the configured.
    fn is_own_turn(&self, window: f64) -> bool {
        let configured = self.configured_call_window().max(1e-6);
        let turns = (window / configured).ceil() as u64; // 1 or more
        let turn = ((self.now / configured) as u64).wrapping_add(self.seed);
        turn.is_multiple_of(turns)
    }

    /// After five failures in a row one trial call at a time, each after a pause; and nothing that
    /// the fleet's budgets do not leave.
    pub(crate) fn is_breaker_open(&self) -> bool {
        let state = &self.downstream;
        if !state.is_failing() {
            return state.quota.first_calls == 0;
        }
        let is_trial_open = self
            .invocations
            .count(|invocation| invocation.stage == Stage::Calling)
            > 0;
        let waits = is_trial_open || self.now < state.last_failure_at + BREAKER_PAUSE;
        waits || state.quota.probes == 0
    }

    /// Whether a run may make another attempt: never after one that may have taken effect, unless
    /// that does no harm.
    fn may_call(&self, invocation: &InvocationState) -> bool {
        let settings = &self.operations[invocation.request.operation].settings;
        let may_repeat = settings.is_idempotent || !invocation.has_uncertain_call;
        let is_first = invocation.calls == 0;
        invocation.calls < ATTEMPTS_MOST
            && may_repeat
            && (is_first || self.downstream.quota.retries > 0)
    }

    /// A run that waits for a call which can't come any more, or for an answer that is worth
    /// nothing any more.
    pub(crate) fn find_lost_call(&self) -> Option<usize> {
        self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            let is_worthless =
                self.now > invocation.objective_deadline && settings.late_value == 0.0;
            let can_not_call = settings.value_without_call == 0.0 && !self.may_call(invocation);
            invocation.stage == Stage::AwaitingCall
                && !invocation.is_answered
                && (is_worthless || can_not_call)
        })
    }

    /// A run that does better without its call. What holds for all of them is found out once: with
    /// hundreds waiting each would look through all others, until nothing but this was done any
    /// more.
    pub(crate) fn find_skippable_call(&self) -> Option<usize> {
        let is_breaker_open = LazyCell::new(|| self.is_breaker_open());
        let is_rest_kept = LazyCell::new(|| self.keeps_calls_for_needs());
        let is_full = LazyCell::new(|| self.call_room() == 0.0);
        let highest_stake = LazyCell::new(|| self.highest_call_stake());
        self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            let lacks_room =
                || *is_rest_kept || *is_full && *highest_stake > self.call_stake(invocation);
            let does_better_without = || {
                !self.may_call(invocation)
                    || *is_breaker_open
                    || self.is_call_too_late(invocation)
                    || lacks_room()
            };
            invocation.stage == Stage::AwaitingCall
                && !invocation.is_answered
                && settings.value_without_call > 0.0
                && does_better_without()
        })
    }

    /// Half of the limit is kept for operations that can't do without, if such run here.
    fn keeps_calls_for_needs(&self) -> bool {
        let needs = |operation: &Operation| {
            operation.settings.needs_call() && !operation.samples.run_durations.is_empty()
        };
        self.operations.iter().any(needs) && self.exceeds_call_pace(KEPT_FOR_NEEDS)
    }

    fn is_call_too_late(&self, invocation: &InvocationState) -> bool {
        let operation = invocation.request.operation;
        let priors = &self.prior_estimates.downstream_durations;
        let downstream = mean_with_prior(
            &self.operations[operation].samples.downstream_durations,
            priors.get(operation).copied().flatten(),
        );
        let run_after = RUN_PART_AFTER_CALL * self.expected_run(invocation);
        self.now + downstream + run_after > invocation.objective_deadline
    }

    /// The run goes on without its call.
    pub(crate) fn skip_call(&mut self, number: usize) {
        let outcome = Outcome {
            succeeded: true,
            ..Outcome::default()
        };
        self.leave_call(number, outcome);
        self.invocations[number].stage = Stage::Running;
        self.decisions.degraded.push(number);
    }

    /// Billed value, by second of core, that is lost with the call.
    fn call_stake(&self, invocation: &InvocationState) -> f64 {
        let settings = &self.operations[invocation.request.operation].settings;
        self.priority_weight(invocation) * (1.0 - settings.value_without_call)
    }

    fn highest_call_stake(&self) -> f64 {
        self.invocations
            .matching(|invocation| invocation.stage == Stage::AwaitingCall)
            .map(|invocation| self.call_stake(invocation))
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// The run that loses most without its call, while there is room for one.
    pub(crate) fn find_callable(&self) -> Option<usize> {
        let waits = |invocation: &InvocationState| {
            invocation.stage == Stage::AwaitingCall
                && !invocation.is_answered
                && self.may_call(invocation)
        };
        let best = self
            .invocations
            .highest(waits, |invocation| self.call_stake(invocation))?;
        (self.call_room() > 0.0 && !self.is_breaker_open()).then_some(best)
    }

    pub(crate) fn start_call(&mut self, number: usize) {
        let now = self.now;
        let timeout = self.call_timeout(number);
        let is_retry = self.invocations[number].calls > 0;
        self.downstream.spend_quota(is_retry);
        let invocation = &mut self.invocations[number];
        invocation.off_core_seconds += now - invocation.stage_entered_at;
        invocation.stage = Stage::Calling;
        invocation.stage_entered_at = now;
        invocation.calls += 1;
        self.decisions.called.push((number, timeout));
    }

    /// Seconds that a call may take.
    fn call_timeout(&self, number: usize) -> f64 {
        let invocation = &self.invocations[number];
        let settings = &self.operations[invocation.request.operation].settings;
        let can_skip = settings.value_without_call > 0.0;
        let until = if settings.late_value > 0.0 && settings.value_without_call == 0.0 {
            self.due_at(invocation)
        } else {
            invocation.objective_deadline
        };
        let part = if can_skip {
            SKIPPABLE_TIMEOUT_PART
        } else {
            1.0
        };
        ((until - self.now) * part)
            .min(self.call_room())
            .max(LEAST_CALL_TIMEOUT)
    }
}

impl DownstreamState {
    /// Counts a call against what the fleet's budgets leave.
    fn spend_quota(&mut self, is_retry: bool) {
        let is_failing = self.is_failing();
        let left = if is_failing {
            &mut self.quota.probes
        } else if is_retry {
            &mut self.quota.retries
        } else {
            &mut self.quota.first_calls
        };
        *left = left.saturating_sub(1);
    }
}

/// The lowest limit on calls for a quota.
pub(crate) fn call_limit_floor(quota: f64) -> f64 {
    (FLOOR_PART * quota).min(1.0)
}
