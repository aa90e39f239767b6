//! Downstream calls: their quota, their own Vegas limit, the circuit breaker, and the choice of the
//! runs that call and of those that continue without a call.

use std::cell::LazyCell;
use std::collections::VecDeque;

use crate::controller::AdmissionController;
use crate::estimator::Operation;
use crate::limiter::vegas_step;
use crate::samples::{WINDOW, lacks_samples, mean, mean_with_prior, push};
use crate::{DownstreamQuota, InvocationState, Outcome, Stage};

/// Consecutive failures that open the breaker: five are unlikely to be chance.
pub(crate) const BREAKER_FAILURES: u32 = 5;
/// Time after a failure before an open breaker lets the next trial call through, in seconds.
pub(crate) const BREAKER_PAUSE_SECONDS: f64 = 0.5;
/// Maximum number of call attempts of one run.
const MAX_CALL_ATTEMPTS: u32 = 3;

/// Fraction of its quota that an instance uses; the rest covers additional calls while other
/// instances start cold. With 0.5, too few calls were made.
const USABLE_QUOTA_FRACTION: f64 = 0.8;
/// Initial limit on calls, as a fraction of the quota. The dependency slows down well before its
/// quota is used up: starting at 0.5, all backends together overloaded it before they had samples;
/// starting at 0.25, the limit rose too slowly while the dependency had spare capacity.
pub(crate) const INITIAL_LIMIT_FRACTION: f64 = 0.4;
/// Lower bound of the limit on calls, as a fraction of the quota, but at most one call. With 0.1,
/// no call fitted into the limit, and some instances never called again.
const MIN_LIMIT_FRACTION: f64 = 0.25;
/// Step by which the limit on calls changes, as a fraction of the limit.
const LIMIT_STEP_FRACTION: f64 = 0.05;
/// The limit rises while the fraction of a mean call that counts as queueing time is below this.
///
/// The mean of 8 calls deviates by a third from the true mean, and the lowest of many means of 24
/// calls lies as far below it. A ratio of two between the means can therefore be chance, a ratio of
/// three can't. With 0.4, calls to an idle dependency were held back.
const QUEUE_ALPHA: f64 = 0.5;
/// The limit falls while the fraction of a mean call that counts as queueing time is above this.
const QUEUE_BETA: f64 = 0.67;
/// The recent mean covers the calls of this many seconds.
const RECENT_SECONDS: f64 = 2.0;
/// The recent mean covers at least this many calls. A full window would reach ten seconds back on a
/// small backend.
const MIN_RECENT_CALLS: usize = 8;
/// Calls after which the lowest mean is reset, about a minute's worth.
const PROBE_AFTER_CALLS: u32 = 400;

/// Fraction of the call window over which the current use of the limit is measured.
const PACE_WINDOW_FRACTION: f64 = 0.2;
/// Fraction of the limit that is reserved for operations that need their call.
const RESERVED_LIMIT_FRACTION: f64 = 0.5;
/// A call starts only if the remaining time budget covers this many calls of mean duration, since
/// the dependency keeps processing a call that times out early.
const MIN_BUDGET_IN_MEAN_CALLS: f64 = 4.0;
/// The call window is at least so long that the quota covers the processing of this many abandoned
/// calls.
const MIN_ABANDONED_CALLS_PER_WINDOW: f64 = 3.0;
/// Timeout of a call that can be skipped, as a fraction of the time to its objective. The rest is
/// left to finish the run without the call in time.
const SKIPPABLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Lower bound of the timeout of a call, in seconds.
const MIN_CALL_TIMEOUT_SECONDS: f64 = 0.02;
/// Fraction of the expected run that follows the call.
const RUN_FRACTION_AFTER_CALL: f64 = 0.5;

/// Start and end of a finished call. Times are seconds of the controller's clock.
#[derive(Clone, Copy)]
pub(crate) struct CallSpan {
    pub started_at: f64,
    /// End of the call; for an abandoned call, when the dependency is expected to stop processing
    /// it.
    pub ended_at: f64,
}

/// State of the dependency and of this instance's calls to it.
#[derive(Default)]
pub(crate) struct DownstreamState {
    /// Calls that ended within the call window.
    pub calls: VecDeque<CallSpan>,
    /// Durations of the recent calls, in seconds.
    pub durations: VecDeque<f64>,
    /// Lowest mean duration of calls, in seconds.
    pub lowest_mean: f64,
    /// Number of calls that end before the lowest mean is reset.
    pub calls_until_probe: u32,
    /// Limit of the mean number of concurrent calls.
    pub limit: f64,
    pub consecutive_failures: u32,
    /// Seconds of the controller's clock.
    pub last_failure_at: f64,
    /// Remaining calls by the fleet's budgets; unlimited unless the host sets them.
    pub quota: DownstreamQuota,
}

impl DownstreamState {
    /// Whether so many consecutive calls failed that the breaker is open.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= BREAKER_FAILURES
    }
}

impl AdmissionController {
    /// Records the end of a run's call or of its wait for one. `outcome` is that of the call, or of
    /// the run if the run ended.
    pub(crate) fn record_call_end(&mut self, number: usize, outcome: Outcome) {
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
        let may_still_run = !outcome.succeeded && !outcome.never_ran;
        let ended_at = if may_still_run {
            now + self.settings.seconds("FamilyInfo.StaysForUs", 0.0)
        } else {
            now
        };
        self.downstream.calls.push_back(CallSpan {
            started_at,
            ended_at,
        });
        if outcome.succeeded || may_still_run && !outcome.stopped {
            // For an abandoned call this is a lower bound of its duration.
            self.record_call_duration(now - started_at);
        }
        if outcome.succeeded {
            self.downstream.consecutive_failures = 0;
        } else if !outcome.stopped {
            self.downstream.consecutive_failures += 1;
            self.downstream.last_failure_at = now;
        }
    }

    /// The Vegas update of the limit on calls. It protects a dependency that is slow, has lost
    /// capacity or is overloaded by any caller. Drawback: if the dependency becomes slower
    /// permanently, calls are held back until the lowest mean is reset.
    fn record_call_duration(&mut self, duration: f64) {
        let now = self.now;
        let quota = self.settings.call_quota();
        let state = &mut self.downstream;
        push(&mut state.durations, duration);
        if lacks_samples(&state.durations) {
            return;
        }
        let recent_calls = state
            .calls
            .iter()
            .filter(|call| call.ended_at > now - RECENT_SECONDS)
            .count()
            .clamp(MIN_RECENT_CALLS, WINDOW);
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
        let step = vegas_step(queued < QUEUE_ALPHA, queued > QUEUE_BETA);
        let updated = state.limit * (1.0 + LIMIT_STEP_FRACTION * step);
        state.limit = updated.clamp(min_call_limit(quota), USABLE_QUOTA_FRACTION * quota);
    }

    /// Total duration of calls within the last `span` seconds, in seconds. Open calls count too,
    /// and abandoned ones until the dependency is expected to stop processing them.
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

    /// Length of the window over which the quota is enforced, in seconds: the configured one, or a
    /// longer one if the quota is too small for a call in the configured window.
    pub(crate) fn call_window(&self) -> f64 {
        let quota = self.settings.call_quota().max(1e-6);
        let abandoned_call_seconds = self.settings.seconds("FamilyInfo.StaysForUs", 0.0);
        self.configured_call_window()
            .max(MIN_ABANDONED_CALLS_PER_WINDOW * abandoned_call_seconds / quota)
    }

    fn configured_call_window(&self) -> f64 {
        self.settings.seconds("FamilyInfo.DepWindowUs", 5.0)
    }

    /// Whether calls used more than this fraction of their limit over the last fifth of the window.
    fn exceeds_call_pace(&self, fraction: f64) -> bool {
        let span = PACE_WINDOW_FRACTION * self.call_window();
        self.call_seconds(span) > fraction * span * self.downstream.limit
    }

    /// How long a new call may take, in seconds; 0 if no call may start.
    ///
    /// It is the unused call time of the usable quota in the window, less the time for which the
    /// dependency may process one abandoned call. It is 0 at the limit on calls. A limit below one
    /// call is enforced as a mean over a fifth of the window: this prevents hundreds of backends
    /// from each keeping one call open all the time, or from bursting at the same time.
    fn call_time_budget(&self) -> f64 {
        let quota = self.settings.call_quota() * USABLE_QUOTA_FRACTION;
        let window = self.call_window();
        let limit = self.downstream.limit;
        let is_blocked = self.is_call_limit_reached(quota)
            || !self.is_own_turn(window)
            || limit < 1.0 && self.exceeds_call_pace(1.0);
        let abandoned_call_seconds = self.settings.seconds("FamilyInfo.StaysForUs", 0.0);
        let budget = quota * window - self.call_seconds(window) - abandoned_call_seconds;
        let needed = if self.downstream.durations.is_empty() {
            f64::MAX
        } else {
            MIN_BUDGET_IN_MEAN_CALLS * mean(&self.downstream.durations)
        };
        if is_blocked || budget < needed.min(0.5 * quota * window) {
            0.0
        } else {
            budget.max(0.0)
        }
    }

    /// Whether the number of open calls has reached twice the limit. Abandoned calls count until
    /// the dependency is expected to stop processing them.
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
        let max_open = (2.0 * self.downstream.limit).ceil().min(quota.floor());
        open >= max_open.max(1.0)
    }

    /// Whether this instance may call now. If the window is longer than the configured one, the
    /// backends take turns by seed, so that together they stay within the configured window.
    fn is_own_turn(&self, window: f64) -> bool {
        let configured = self.configured_call_window().max(1e-6);
        let turns = (window / configured).ceil() as u64; // 1 or more
        let turn = ((self.now / configured) as u64).wrapping_add(self.seed);
        turn.is_multiple_of(turns)
    }

    /// Whether the breaker allows no call now. After five consecutive failures it allows one trial
    /// call at a time, each after a pause. It also blocks calls for which the fleet's budgets leave
    /// nothing.
    pub(crate) fn is_breaker_open(&self) -> bool {
        let state = &self.downstream;
        if !state.is_failing() {
            return state.quota.first_calls == 0;
        }
        let is_trial_open = self
            .invocations
            .count(|invocation| invocation.stage == Stage::Calling)
            > 0;
        let must_wait = is_trial_open || self.now < state.last_failure_at + BREAKER_PAUSE_SECONDS;
        must_wait || state.quota.probes == 0
    }

    /// Whether a run may make another call attempt. After an attempt that may have taken effect
    /// this is allowed only for idempotent operations.
    fn may_call(&self, invocation: &InvocationState) -> bool {
        let settings = &self.operations[invocation.request.operation].settings;
        let may_repeat = settings.is_idempotent || !invocation.has_uncertain_call;
        let is_first = invocation.calls == 0;
        invocation.calls < MAX_CALL_ATTEMPTS
            && may_repeat
            && (is_first || self.downstream.quota.retries > 0)
    }

    /// A run that waits for a call which it may no longer make, or whose answer has no value any
    /// more.
    pub(crate) fn find_run_to_fail(&self) -> Option<usize> {
        self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            let is_worthless =
                self.now > invocation.objective_deadline && settings.late_value == 0.0;
            let cannot_call = settings.value_without_call == 0.0 && !self.may_call(invocation);
            invocation.stage == Stage::AwaitingCall
                && !invocation.is_answered
                && (is_worthless || cannot_call)
        })
    }

    /// A run that should continue without its call. Conditions common to all runs are evaluated
    /// only once: evaluating them for each of hundreds of waiting runs took quadratic time and
    /// starved everything else.
    pub(crate) fn find_skippable_call(&self) -> Option<usize> {
        let is_breaker_open = LazyCell::new(|| self.is_breaker_open());
        let is_reserve_reached = LazyCell::new(|| self.is_call_reserve_reached());
        let is_budget_used = LazyCell::new(|| self.call_time_budget() == 0.0);
        let highest_loss = LazyCell::new(|| self.highest_value_lost_without_call());
        self.invocations.first(|invocation| {
            let settings = &self.operations[invocation.request.operation].settings;
            let lacks_budget = || {
                *is_reserve_reached
                    || *is_budget_used && *highest_loss > self.value_lost_without_call(invocation)
            };
            let should_skip = || {
                !self.may_call(invocation)
                    || *is_breaker_open
                    || self.is_call_too_late(invocation)
                    || lacks_budget()
            };
            invocation.stage == Stage::AwaitingCall
                && !invocation.is_answered
                && settings.value_without_call > 0.0
                && should_skip()
        })
    }

    /// Whether only the part of the limit is left that is reserved for operations that need their
    /// call. Nothing is reserved if no such operation runs here.
    fn is_call_reserve_reached(&self) -> bool {
        let uses_reserve = |operation: &Operation| {
            operation.settings.needs_call() && !operation.samples.run_durations.is_empty()
        };
        self.operations.iter().any(uses_reserve) && self.exceeds_call_pace(RESERVED_LIMIT_FRACTION)
    }

    /// Whether the expected answer after the call misses the objective.
    fn is_call_too_late(&self, invocation: &InvocationState) -> bool {
        let operation = invocation.request.operation;
        let priors = &self.prior_estimates.downstream_durations;
        let downstream = mean_with_prior(
            &self.operations[operation].samples.downstream_durations,
            priors.get(operation).copied().flatten(),
        );
        let run_after = RUN_FRACTION_AFTER_CALL * self.expected_run(invocation);
        self.now + downstream + run_after > invocation.objective_deadline
    }

    /// Lets a run continue without its call.
    pub(crate) fn skip_call(&mut self, number: usize) {
        let outcome = Outcome {
            succeeded: true,
            ..Outcome::default()
        };
        self.record_call_end(number, outcome);
        self.invocations[number].stage = Stage::Running;
        self.decisions.degraded.push(number);
    }

    /// Billed value per core second that is lost if a run skips its call.
    fn value_lost_without_call(&self, invocation: &InvocationState) -> f64 {
        let settings = &self.operations[invocation.request.operation].settings;
        self.priority_weight(invocation) * (1.0 - settings.value_without_call)
    }

    fn highest_value_lost_without_call(&self) -> f64 {
        self.invocations
            .matching(|invocation| invocation.stage == Stage::AwaitingCall)
            .map(|invocation| self.value_lost_without_call(invocation))
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// The run that loses the most value without its call, if a call may start.
    pub(crate) fn find_run_to_call(&self) -> Option<usize> {
        let waits = |invocation: &InvocationState| {
            invocation.stage == Stage::AwaitingCall
                && !invocation.is_answered
                && self.may_call(invocation)
        };
        let best = self
            .invocations
            .highest(waits, |invocation| self.value_lost_without_call(invocation))?;
        (self.call_time_budget() > 0.0 && !self.is_breaker_open()).then_some(best)
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

    /// Timeout of a call, in seconds.
    fn call_timeout(&self, number: usize) -> f64 {
        let invocation = &self.invocations[number];
        let settings = &self.operations[invocation.request.operation].settings;
        let can_skip = settings.value_without_call > 0.0;
        let deadline = if settings.late_value > 0.0 && settings.value_without_call == 0.0 {
            self.due_at(invocation)
        } else {
            invocation.objective_deadline
        };
        let fraction = if can_skip {
            SKIPPABLE_TIMEOUT_FRACTION
        } else {
            1.0
        };
        ((deadline - self.now) * fraction)
            .min(self.call_time_budget())
            .max(MIN_CALL_TIMEOUT_SECONDS)
    }
}

impl DownstreamState {
    /// Counts a call against the remaining calls of the fleet's budgets.
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

/// Lower bound of the limit on calls for a quota.
pub(crate) fn min_call_limit(quota: f64) -> f64 {
    (MIN_LIMIT_FRACTION * quota).min(1.0)
}
