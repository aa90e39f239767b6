//! The phase of a dependency for all instances of one zone: while it fails for most of them, only
//! probes are sent; once it responds again, first calls are allowed in increasing steps.

use crate::phase::{DependencyHealth, HealthReports, Phase};

/// The time between two steps of a recovery, seconds. It equals two rounds of messages while a
/// dependency is unhealthy, so the effect of a step is known at the next one; until then the limit
/// at most doubles. With 0.5 s the fleet took one second longer to recover.
const STEP_SECONDS: f64 = 0.2;
/// The limit of the first step is the budget of first calls divided by this, so that two doublings
/// reach the budget, which is the load that the dependency can serve just after it comes back. With
/// a divisor of 8, an outage of 8 s lost 3% of the billed value, most of it after the outage.
const FIRST_STEP_DIVISOR: u32 = 4;
/// The minimum ratio of succeeded calls for doubling the limit.
const GOOD_RATIO: f64 = 0.9;
/// The ratio of succeeded calls below which the dependency counts as failing. While more than one
/// in five succeeds, a limit costs more than it saves.
const FAILING_RATIO: f64 = 0.2;
/// Halving the limit should raise the ratio by more than this; otherwise the failures are not
/// caused by load, and a limit does not help.
const EXPECTED_IMPROVEMENT: f64 = 0.1;
/// After this many steps without any call the limit is doubled anyway: without calls there is
/// nothing to observe.
const MAX_IDLE_STEPS: u32 = 4;

/// Calls that have ended since the last step.
#[derive(Clone, Copy, Debug, Default)]
struct EndedCalls {
    succeeded: u32,
    failed: u32,
}

impl EndedCalls {
    fn add(&mut self, health: &DependencyHealth) {
        self.succeeded = self.succeeded.saturating_add(health.succeeded_calls);
        self.failed = self.failed.saturating_add(health.failed_calls);
    }

    fn total(self) -> u32 {
        self.succeeded + self.failed
    }

    /// The ratio of succeeded calls; 0 if there were no calls.
    fn success_ratio(self) -> f64 {
        f64::from(self.succeeded) / f64::from(self.total().max(1))
    }
}

/// The state machine of one dependency in one zone. `now` is the leading agent's clock in seconds;
/// `first_call_budget` is the budget of first calls per second, `None` if they are not limited.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// How long a host's report remains valid, in seconds.
    report_lifetime_seconds: f64,
    reports: HealthReports,
    phase: Phase,
    /// Whether the phase was observed or taken over from an earlier leader, rather than assumed.
    is_known: bool,
    /// The current limit on first calls per second while the dependency recovers.
    step: u32,
    stepped_at: f64,
    ended_calls: EndedCalls,
    idle_steps: u32,
    /// The ratio of succeeded calls that caused the last halving of the step.
    ratio_before_halving: Option<f64>,
}

impl Recovery {
    /// Starts with an unknown dependency: if first calls have a budget, they are allowed in steps,
    /// as after a failure.
    pub fn new(now: f64, report_lifetime_seconds: f64, first_call_budget: Option<u32>) -> Recovery {
        Recovery {
            report_lifetime_seconds,
            reports: HealthReports::default(),
            phase: if first_call_budget.is_some() {
                Phase::Recovering
            } else {
                Phase::Healthy
            },
            is_known: false,
            step: first_step(first_call_budget),
            stepped_at: now,
            ended_calls: EndedCalls::default(),
            idle_steps: 0,
            ratio_before_halving: None,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// First calls per second that the whole zone may make while the dependency recovers; 0 in
    /// other phases.
    pub fn calls_per_second(&self) -> u32 {
        if self.phase == Phase::Recovering {
            self.step
        } else {
            0
        }
    }

    /// Resumes from the phase that an earlier leader announced, as reported by a host, unless the
    /// phase is already known.
    pub fn resume_from(&mut self, now: f64, phase: Phase, first_call_budget: Option<u32>) {
        if !self.is_known {
            self.enter(now, phase, first_step(first_call_budget));
        }
    }

    /// Records the observations that a host reports for its instances.
    pub fn record_health(&mut self, now: f64, host: &str, health: DependencyHealth) {
        self.ended_calls.add(&health);
        self.reports.record(now, host, health);
        self.reports
            .discard_older(now, self.report_lifetime_seconds);
    }

    /// Updates the phase from the reports received so far.
    pub fn advance(&mut self, now: f64, first_call_budget: Option<u32>) {
        match self.phase {
            Phase::Healthy => self.advance_healthy(now),
            Phase::Failing => self.advance_failing(now, first_call_budget),
            Phase::Recovering => self.advance_recovering(now, first_call_budget.unwrap_or(0)),
        }
    }

    fn is_step_over(&self, now: f64) -> bool {
        now >= self.stepped_at + STEP_SECONDS
    }

    fn advance_healthy(&mut self, now: f64) {
        // The dependency must fail for most of its callers: a report by a single instance does not
        // affect the others.
        let health = self.reports.sum();
        let fails_for_most = 2 * health.failing_instances > health.calling_instances;
        if fails_for_most && self.ended_calls.success_ratio() < FAILING_RATIO {
            self.enter(now, Phase::Failing, 1);
        } else if self.is_step_over(now) {
            self.enter(now, Phase::Healthy, 1);
        }
    }

    fn advance_failing(&mut self, now: f64, first_call_budget: Option<u32>) {
        let responds =
            self.ended_calls.succeeded > 0 && self.ended_calls.success_ratio() >= FAILING_RATIO;
        if responds && first_call_budget.is_some() {
            self.enter(now, Phase::Recovering, first_step(first_call_budget));
        } else if responds {
            self.enter(now, Phase::Healthy, 1);
        } else if self.is_step_over(now) {
            self.enter(now, Phase::Failing, 1);
        }
    }

    fn advance_recovering(&mut self, now: f64, first_call_budget: u32) {
        if !self.is_step_over(now) {
            return;
        }
        if self.ended_calls.total() == 0 {
            self.advance_idle(now, first_call_budget);
            return;
        }
        let ratio = self.ended_calls.success_ratio();
        let halving_did_not_help = self
            .ratio_before_halving
            .is_some_and(|before| ratio <= before + EXPECTED_IMPROVEMENT);
        if ratio >= GOOD_RATIO || halving_did_not_help && ratio >= FAILING_RATIO {
            self.double_step(now, first_call_budget);
        } else if ratio < FAILING_RATIO {
            self.enter(now, Phase::Failing, 1);
        } else {
            self.ratio_before_halving = Some(ratio);
            self.enter(now, Phase::Recovering, (self.step / 2).max(1));
        }
    }

    fn advance_idle(&mut self, now: f64, first_call_budget: u32) {
        let idle_steps = self.idle_steps + 1;
        if idle_steps >= MAX_IDLE_STEPS {
            self.double_step(now, first_call_budget);
        } else {
            self.enter(now, Phase::Recovering, self.step.max(1));
            self.idle_steps = idle_steps;
        }
    }

    fn double_step(&mut self, now: f64, first_call_budget: u32) {
        if self.step >= first_call_budget {
            self.enter(now, Phase::Healthy, 1);
        } else {
            let step = (2 * self.step).min(first_call_budget);
            self.enter(now, Phase::Recovering, step);
        }
    }

    fn enter(&mut self, now: f64, phase: Phase, step: u32) {
        self.phase = phase;
        self.step = step;
        self.stepped_at = now;
        self.is_known = true;
        self.ended_calls = EndedCalls::default();
        self.idle_steps = 0;
        if phase == Phase::Recovering {
            // An instance that has not called the dependency since the failure keeps reporting it
            // as failing until its next call.
            self.reports.clear_failing();
        } else {
            self.ratio_before_halving = None;
        }
    }
}

fn first_step(first_call_budget: Option<u32>) -> u32 {
    first_call_budget.map_or(1, |budget| (budget / FIRST_STEP_DIVISOR).max(1))
}
