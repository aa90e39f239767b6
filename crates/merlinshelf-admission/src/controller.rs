//! The decisions. A host calls one method of [`AdmissionController`] for each thing that happens (`start`, `arrived`,
//! `ended`, `caller_left`, `wants_call`, `call_ended`, `leave`, `woken`), with the clock in seconds, and
//! carries out the [`Decisions`] that comes back. The interface's types are defined in `lib.rs`.
//! A method notes what happened; then the table `RULES` is gone through from the top until no rule fires.
//! A rule names a condition, which picks an invocation, and an effect on it. Each effect moves that
//! invocation on (answered, held, started, called) or settles a value, so that the going-through ends.

use std::cell::LazyCell;
use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    Decisions, DownstreamQuota, Invocation, InvocationState, LearnedOperation, LearnedState,
    Outcome, PriorEstimate, PriorEstimates, Settings, Stage,
};

#[cfg(test)]
mod tests;

/// One operation's settings and the last few samples of what its runs took.
#[derive(Default)]
struct Operation {
    idempotent: bool,
    tokened: bool,
    objective: f64,
    stretch: f64,
    timeout: f64,
    value: f64,
    late_value: f64,
    window: f64,
    skip_value: f64,
    calls: bool,
    runs: VecDeque<f64>,    // durations without calls
    costs: VecDeque<f64>,   // hinted costs of those runs, 1 where there are no hints
    below: VecDeque<f64>,   // time at calls and waiting for them, by run
    budgets: VecDeque<f64>, // how long callers would wait, at arrival
    lowest: f64,
    until_probe: f64,
}

const BEAT: f64 = 0.01; // between looks at the clock: well under any slack, 100 cheap timers a second
const MARGIN: f64 = 0.02; // two beats before what is due

type Rule = (
    &'static str,
    fn(&AdmissionController) -> Option<usize>,
    fn(&mut AdmissionController, usize),
);

/// All that is decided, in order of precedence.
const RULES: &[Rule] = &[
    (
        "answer what falls due",
        AdmissionController::falls_due,
        AdmissionController::give_up,
    ),
    (
        "stop work that nobody waits for",
        AdmissionController::unwanted_run,
        AdmissionController::stop,
    ),
    (
        "keep within memory",
        AdmissionController::over_memory,
        AdmissionController::give_up,
    ),
    (
        "join repeats",
        |s| s.first(|it| it.stage == Stage::Read && it.request.is_repeat),
        AdmissionController::join,
    ),
    (
        "turn away after the grace",
        AdmissionController::after_grace,
        AdmissionController::throttle,
    ),
    (
        "raise the limit while cores idle",
        AdmissionController::cores_idle,
        AdmissionController::raise,
    ),
    (
        "cut by group over the limit",
        AdmissionController::over_limit,
        AdmissionController::throttle,
    ),
    (
        "turn away what comes too late",
        AdmissionController::too_late,
        AdmissionController::throttle,
    ),
    (
        "hold the rest",
        AdmissionController::newly_read,
        AdmissionController::hold,
    ),
    (
        "drop held work past its objective",
        AdmissionController::hopeless,
        AdmissionController::throttle,
    ),
    (
        "give up calls that lead nowhere",
        AdmissionController::call_is_lost,
        AdmissionController::give_up,
    ),
    (
        "leave out calls that come too late",
        AdmissionController::call_to_skip,
        AdmissionController::degrade,
    ),
    (
        "call below within the share",
        AdmissionController::call_to_make,
        AdmissionController::call,
    ),
    (
        "start the best while cores are free",
        AdmissionController::startable,
        AdmissionController::begin,
    ),
    (
        "tell checks and callers",
        AdmissionController::word_is_old,
        AdmissionController::tell,
    ),
];

#[derive(Default)]
pub struct AdmissionController {
    settings: Settings,
    now: f64,
    out: Decisions,
    rng: Option<Pcg32>,
    salt: u64,
    born: f64,
    leave_at: Option<(f64, f64)>,
    ops: Vec<Operation>,
    by_work: bool, // whether billed value is counted by work
    marked: bool,  // whether callers mark further tries
    rates: Vec<f64>,
    invs: Vec<InvocationState>,
    live: Vec<usize>,  // in order of arrival
    unrun: Vec<usize>, // turned away unrun at this very time: a repeat read with them starts afresh
    limit: f64,
    busy: f64,
    busy_at: f64,
    others: VecDeque<f64>, // what else needed a core at the last beats: reading, checks, new connections
    progress: f64,
    entries: VecDeque<(f64, usize)>,
    calls: VecDeque<(f64, f64)>, // start and end of the last ones, of abandoned ones with their stay below
    call_times: VecDeque<f64>, // durations; then their lowest mean, and calls until it is taken anew
    call_lowest: f64,
    call_probe: u32,
    call_limit: f64,
    call_failures: u32,
    call_failed_at: f64,
    arrivals: BTreeMap<usize, VecDeque<f64>>,
    turned: Vec<bool>, // the arrivals since callers were last told: whether they were turned away
    level: f64,
    level_at: f64,
    told: Option<(bool, Option<f64>, f64)>, // health, level, idle time of connections
    callers: BTreeMap<u64, f64>,            // when each came last
    asked: VecDeque<(f64, f64)>, // when the last arrivals came, and their expected time on a core
    gaps: VecDeque<f64>,         // after how long the callers of the last arrivals had come back
    agains: VecDeque<f64>, // whether the last arrivals were further tries, unmarked: the last decided refused
    beliefs: PriorEstimates, // on the word of others: nothing on the ordinary path
    spend: DownstreamQuota, // what a fleet's budgets leave: all of it on the ordinary path
}

/// Keeps the last few samples. 24 spans a second or two of a busy operation: recent, not jumpy.
fn sample<T>(samples: &mut VecDeque<T>, value: T) {
    if samples.len() == 24 {
        samples.pop_front();
    }
    samples.push_back(value);
}

fn mean(samples: &VecDeque<f64>) -> f64 {
    samples.iter().sum::<f64>() / samples.len().max(1) as f64
}

/// What others' word counts beside so many own samples: as three at the most, nothing beside eight.
fn told(own: usize, word: Option<PriorEstimate>) -> (f64, f64) {
    word.filter(|_| own < 8)
        .map_or((0.0, 0.0), |it| (it.value, 3.0 * it.weight.clamp(0.0, 1.0)))
}

fn mean_beside(samples: &VecDeque<f64>, word: Option<PriorEstimate>) -> f64 {
    let (value, weight) = told(samples.len(), word);
    let sum = samples.iter().sum::<f64>() + value * weight;
    sum / (samples.len() as f64 + weight).max(1e-9)
}

impl AdmissionController {
    /// A new instance. Fails on a setting that it uses and cannot read, naming it.
    pub fn start(now: f64, seed: u64, settings: Settings) -> Result<(Self, Decisions), String> {
        let numeric = [
            "Us",
            "Kb",
            ".Worth",
            "eWorth",
            "Cores",
            "CallShare",
            "Factor",
            "Multiple",
            "count",
        ];
        let also = ["Total", "PerS", "Capacity", "Stretch", "Servers"];
        let number = |name: &str| numeric.iter().chain(&also).any(|end| name.ends_with(end));
        let unread = |text: &str| text.parse::<f64>().map_or(true, |value| !value.is_finite());
        let mut out = Decisions::default();
        // What is no known word is named, and taken for the strictest: it runs once, and nothing is halted.
        let words = [
            (".Effect", "read_like idempotency_key non_idempotent"),
            (".Halt", "silent discard freeze"),
        ];
        for (name, text) in &settings {
            if number(name) && unread(text) {
                return Err(format!("setting {name}={text:?} is no number"));
            }
            let known = words
                .iter()
                .find(|(end, _)| name.ends_with(end))
                .map_or("", |(_, known)| known);
            if !known.is_empty() && known.split(' ').all(|word| word != text) {
                out.notes
                    .push(format!("setting {name}={text:?} is none of: {known}"));
            }
        }
        let mut new = AdmissionController {
            settings,
            now,
            out,
            salt: seed,
            born: now,
            busy_at: now,
            ..AdmissionController::default()
        };
        new.rng = Some(Pcg32::seed_from_u64(seed));
        new.ops = (0..new.num("Classes.count", 0.0).max(1.0) as usize)
            .map(|op| new.operation(op))
            .collect();
        if let Some(op) = new.ops.iter().position(|op| op.tokened && op.window <= 0.0) {
            return Err(format!(
                "setting Classes.{op}.MemorySpanUs is missing or 0, but its effect needs it"
            ));
        }
        new.by_work = new.text("CountedBy") == "work";
        new.marked = new.text("Callers.MarksRetry") != "false";
        new.limit = new.cores();
        // The dependency slows well before its share is full: half of it at the start let all backends jam
        // it together before they had samples, a quarter took long to rise where it had room.
        new.call_limit = new.num("FamilyInfo.CallShare", f64::INFINITY) * 0.4;
        new.out.timers.push((BEAT, 0));
        let decided = new.settle();
        Ok((new, decided))
    }

    fn operation(&self, op: usize) -> Operation {
        let path = |name: &str| format!("Classes.{op}.{name}");
        let listed = |name: &str| self.text(name).split(',').nth(op).unwrap_or("").to_owned();
        let timeout = self.secs(&path("DeadlineUs"), 1.0);
        Operation {
            idempotent: self.text(&path("Effect")) == "read_like",
            tokened: self.text(&path("Effect")) == "idempotency_key",
            objective: self.secs(&path("AimUs"), timeout),
            stretch: self.num(&path("AimStretch"), 0.0),
            timeout,
            value: self.num(&path("Worth"), 1.0),
            late_value: self.num(&path("LateWorth"), 0.0),
            window: self.secs(&path("MemorySpanUs"), 0.0),
            skip_value: listed("FamilyInfo.ClassSkipWorth").parse().unwrap_or(0.0),
            calls: matches!(listed("FamilyInfo.ClassCalls").as_str(), "true" | "1"),
            ..Operation::default()
        }
    }

    /// What this one has learnt, for a successor.
    pub fn learnt(&self) -> LearnedState {
        let of = |op: &Operation| LearnedOperation {
            run_durations: op.runs.clone(),
            run_costs: op.costs.clone(),
            downstream_durations: op.below.clone(),
            lowest_duration: op.lowest,
            finishes_until_probe: op.until_probe,
        };
        LearnedState {
            born: self.born,
            leave_at: self.leave_at,
            operations: self.ops.iter().map(of).collect(),
            limit: self.limit,
            busy: self.busy,
            busy_at: self.busy_at,
            others: self.others.clone(),
            progress: self.progress,
            calls: self.calls.clone(),
            call_times: self.call_times.clone(),
            call_lowest: self.call_lowest,
            call_probe: self.call_probe,
            call_limit: self.call_limit,
            call_failures: self.call_failures,
            call_failed_at: self.call_failed_at,
            arrivals: self.arrivals.clone(),
            callers: self.callers.clone(),
            gaps: self.gaps.clone(),
            agains: self.agains.clone(),
        }
    }

    /// Takes up what a predecessor on the same engine and clock had learnt, right after the start.
    pub fn take_up(&mut self, learnt: LearnedState) {
        for (op, of) in self.ops.iter_mut().zip(learnt.operations) {
            (op.runs, op.costs, op.below) =
                (of.run_durations, of.run_costs, of.downstream_durations);
            (op.lowest, op.until_probe) = (of.lowest_duration, of.finishes_until_probe);
        }
        (self.born, self.leave_at, self.progress) = (learnt.born, learnt.leave_at, learnt.progress);
        (self.limit, self.busy, self.busy_at) =
            (learnt.limit.max(self.cores()), learnt.busy, learnt.busy_at);
        (self.others, self.arrivals, self.callers) =
            (learnt.others, learnt.arrivals, learnt.callers);
        (self.gaps, self.agains, self.calls) = (learnt.gaps, learnt.agains, learnt.calls);
        (self.call_times, self.call_lowest) = (learnt.call_times, learnt.call_lowest);
        (self.call_probe, self.call_limit) = (learnt.call_probe, learnt.call_limit);
        (self.call_failures, self.call_failed_at) = (learnt.call_failures, learnt.call_failed_at);
    }

    /// Takes what is believed on the word of others, as often as it changes. Limits start from it and move by
    /// one's own samples alone; durations count beside the first few of these (`told`).
    pub fn believe(&mut self, beliefs: PriorEstimates) {
        let towards = |from: f64, word: PriorEstimate| {
            from + (word.value - from) * word.weight.clamp(0.0, 1.0)
        };
        if self.call_times.is_empty() && self.call_failures == 0 {
            let share = self.num("FamilyInfo.CallShare", f64::INFINITY);
            if let Some(word) = beliefs.call_limit.filter(|_| share.is_finite()) {
                self.call_limit =
                    towards(0.4 * share, word).clamp((0.25 * share).min(1.0), 0.4 * share);
            }
            if let Some(word) = beliefs.call_lowest {
                (self.call_lowest, self.call_probe) = (word.value, 24); // then taken anew from own ones
            }
            if beliefs
                .call_failures
                .is_some_and(|word| word.value >= 5.0 && word.weight > 0.2)
            {
                (self.call_failures, self.call_failed_at) = (5, self.now - 0.5); // one trial, at once
            }
        }
        if let Some(word) = beliefs
            .concurrency_limit
            .filter(|_| self.ops.iter().all(|op| op.runs.is_empty()))
        {
            let most = self.survivable().min(2.0 * self.cores());
            self.limit = towards(self.cores(), word).min(most).max(self.cores());
        }
        for (op, word) in self.ops.iter_mut().zip(&beliefs.lowest_durations) {
            if let Some(word) = word.filter(|_| op.runs.is_empty()) {
                (op.lowest, op.until_probe) = (word.value, 8.0);
            }
        }
        self.beliefs = beliefs;
    }

    /// What a fleet's budgets leave for calls below until told anew, and what it knows of the dependency;
    /// says what of the last was left over, and whether the dependency fails here.
    pub fn spend(&mut self, left: DownstreamQuota) -> (DownstreamQuota, bool) {
        let (fails, most) = (
            self.call_failures >= 5,
            if left.opens { 4 } else { u32::MAX },
        );
        self.call_failures = self
            .call_failures
            .min(most)
            .max(if left.closed { 5 } else { 0 });
        (std::mem::replace(&mut self.spend, left), fails)
    }

    /// All that is held of an invocation in hand.
    pub fn invocation(&self, inv: usize) -> Option<&InvocationState> {
        self.lives(inv).then(|| &self.invs[inv])
    }

    /// Takes one up where a predecessor left it, in the order of arrival; decided on with what happens next.
    pub fn carry_on(&mut self, inv: usize, mut it: InvocationState) {
        it.request.operation = it.request.operation.min(self.ops.len() - 1);
        self.invs
            .resize_with(self.invs.len().max(inv + 1), InvocationState::default);
        self.invs[inv] = it;
        self.live.push(inv);
    }

    pub fn arrived(&mut self, now: f64, inv: usize, mut told: Invocation) -> Decisions {
        self.at(now);
        told.operation = told.operation.min(self.ops.len() - 1);
        // Unmarked, a passed time under three quarters of the longest lately tells a further try: first
        // tries wait alike, further ones with what is left. Harm: callers who wait less are taken for these.
        if let Some(budget) = told.caller_timeout.filter(|_| !self.marked) {
            let budgets = &mut self.ops[told.operation].budgets;
            sample(budgets, budget + told.age);
            told.is_retry =
                budget + told.age < 0.75 * budgets.iter().fold(0.0, |most, &it| it.max(most));
        }
        let op = &self.ops[told.operation];
        let arrived = now - told.age;
        let due = told
            .caller_timeout
            .map_or(arrived + op.timeout, |budget| now + budget);
        let stretched = op.objective + op.stretch * told.cost_hint.unwrap_or(0.0);
        // A further try has spent four tenths of the objective elsewhere (0 tried), or less by its budget.
        let aim = stretched.min(op.timeout);
        let bound = told
            .caller_timeout
            .map_or(aim, |budget| op.timeout - budget - told.age);
        let spent = bound.clamp(0.0, 0.4 * aim);
        let by = (arrived + aim - if told.is_retry { spent } else { 0.0 }).min(due);
        let over_share = self.beyond_share(told.customer);
        let before = self
            .callers
            .insert(told.caller, now)
            .unwrap_or(f64::NEG_INFINITY);
        sample(&mut self.gaps, now - before);
        if self.marked {
            sample(&mut self.agains, f64::from(u8::from(told.is_retry)));
        }
        told.is_repeat &= !told
            .original
            .is_some_and(|earlier| self.unrun.contains(&earlier));
        self.invs
            .resize_with(self.invs.len().max(inv + 1), InvocationState::default);
        self.invs[inv] = InvocationState {
            request: told,
            arrived_at: arrived,
            due_at: due,
            objective_deadline: by,
            stage_entered_at: now,
            exceeds_quota: over_share,
            ..InvocationState::default()
        };
        let work = self.core_time(&self.invs[inv]);
        sample(&mut self.asked, (now, work));
        self.live.push(inv);
        self.turned.push(false); // cleared at every telling
        self.settle()
    }

    pub fn ended(&mut self, now: f64, inv: usize, outcome: Outcome, took: f64) -> Decisions {
        self.at(now);
        if !self.lives(inv) {
            return self.settle();
        }
        self.leave_call(inv, outcome);
        let it = &self.invs[inv];
        let (op, away, cost, entry) = (
            it.request.operation,
            it.off_core_seconds,
            it.request.cost_hint.unwrap_or(1.0),
            it.has_table_entry,
        );
        let (ran, whole) = (
            it.stage != Stage::Joined,
            outcome.succeeded && !it.is_stopping,
        );
        self.progress = if ran { now } else { self.progress };
        if ran && whole {
            self.measured(op, (took - away).max(1e-6), cost, away);
        }
        let share_for = self.secs("FamilyInfo.ShareForUs", 0.0);
        if outcome.succeeded && share_for > 0.0 && entry && self.ops[op].idempotent {
            self.keep(inv, share_for);
        }
        self.release(inv);
        self.settle()
    }

    pub fn caller_left(&mut self, now: f64, inv: usize) -> Decisions {
        self.at(now);
        if self.lives(inv) {
            self.invs[inv].is_answered = true;
            self.drop_waiting(inv);
        }
        self.settle()
    }

    pub fn wants_call(&mut self, now: f64, inv: usize) -> Decisions {
        self.at(now);
        if self.lives(inv) {
            (self.invs[inv].stage, self.invs[inv].stage_entered_at) = (Stage::AtCall, now);
            self.progress = now;
        }
        self.settle()
    }

    pub fn call_ended(&mut self, now: f64, inv: usize, outcome: Outcome, _took: f64) -> Decisions {
        self.at(now);
        if self.lives(inv) && self.invs[inv].stage == Stage::Calling {
            self.leave_call(inv, outcome);
            let it = &mut self.invs[inv];
            it.has_uncertain_call = !outcome.succeeded && !outcome.never_ran;
            it.stage = if outcome.succeeded {
                Stage::Running
            } else {
                Stage::AtCall
            };
            self.progress = now;
        }
        self.settle()
    }

    pub fn leave(&mut self, now: f64, budget: f64) -> Decisions {
        self.at(now);
        self.leave_at = Some((now + self.secs("Rules.DrainGraceUs", 0.0), now + budget));
        self.settle()
    }

    /// A timer; gauges come with it. One beat keeps all that waits on the clock moving.
    pub fn woken(&mut self, now: f64, _handle: u64, gauges: &BTreeMap<String, f64>) -> Decisions {
        self.at(now);
        if let Some(&busy) = gauges.get("cpu_busy") {
            (self.busy, self.busy_at) = (busy.clamp(0.0, 1.0), now);
        }
        if let (Some(&all), on) = (gauges.get("runnable"), self.on_cores() as f64) {
            sample(&mut self.others, (all - on).max(0.0));
        }
        self.out.timers.push((BEAT, 0));
        self.settle()
    }

    /// The Vegas update at a finish, on a duration without calls and, where hinted, by unit of cost, so
    /// that a long invocation does not read as a queue.
    fn measured(&mut self, op: usize, took: f64, cost: f64, below: f64) {
        // The design's 3 and 6 take every run above the shortest for a queue; durations here vary by more
        // than a half of their mean, which alone makes 7/10 of the limit look queued.
        const ALPHA: f64 = 8.0;
        const BETA: f64 = 16.0;
        const PROBE: f64 = 30.0; // invocations until the lowest is taken anew, by the limit: the guide's
        let (limit, most) = (self.limit, self.survivable());
        let it = &mut self.ops[op];
        let duration = took / cost;
        sample(&mut it.runs, took);
        sample(&mut it.costs, cost);
        sample(&mut it.below, below);
        it.until_probe -= 1.0;
        if it.until_probe <= 0.0 {
            (it.lowest, it.until_probe) = (duration, PROBE * limit);
        }
        it.lowest = it.lowest.min(duration);
        let queue = limit * (1.0 - it.lowest / duration);
        let log = limit.max(2.0).log10();
        let step =
            f64::from(u8::from(queue < ALPHA * log)) - f64::from(u8::from(queue > BETA * log));
        self.limit = (limit + step * log).min(most).max(self.cores());
    }

    fn cores_idle(&self) -> Option<usize> {
        let waits = self.in_hand() as f64 > self.limit && self.limit < self.survivable();
        self.newly_read()
            .filter(|_| waits && self.load() <= Self::CUT_FROM)
    }

    fn raise(&mut self, _: usize) {
        self.limit = (self.limit + self.limit.max(2.0).log10()).min(self.survivable());
    }

    const CUT_FROM: f64 = 0.8; // the design's own: below it the cut does not act

    fn over_limit(&self) -> Option<usize> {
        let load = self.load();
        let over = self.in_hand() as f64 > self.limit && load > Self::CUT_FROM;
        self.newly_read()
            .filter(|&inv| over && self.group(inv) > 640.0 * (1.0 - load.powi(3)))
    }

    /// Five bands from rank, the lowest rank with the highest number, and 128 cohorts of callers. The seed
    /// goes into the cohort, so that no caller is shut out on all servers for the same hour.
    fn group(&self, inv: usize) -> f64 {
        let it = &self.invs[inv];
        let rank = if it.exceeds_quota {
            0.0
        } else {
            it.request.rank.clamp(0.0, 0.999)
        };
        let hour = (self.now / 3600.0) as u64;
        let mixed = (it.request.caller ^ self.salt.rotate_left(17) ^ hour.rotate_left(40))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (4.0 - (rank * 5.0).floor()) * 128.0 + (mixed >> 57) as f64 + 1.0
    }

    /// Share of the cores busy; all where the gauge is old, or falls because work has stopped while reading
    /// goes on: the cut must not then admit everything.
    fn load(&self) -> f64 {
        if self.now - self.busy_at > 0.5 || self.hangs() {
            1.0
        } else {
            self.busy
        }
    }

    /// Every core has a run, none has moved for three mean runs, and the gauge has fallen: two long runs on
    /// two cores move as little, but keep them busy. Harm: throttles through a long pause.
    fn hangs(&self) -> bool {
        let longest = self.ops.iter().map(|op| mean(&op.runs)).fold(0.0, f64::max);
        let idle = self.now - self.busy_at > 0.5 || self.busy <= Self::CUT_FROM;
        let still = self.now - self.progress > 3.0 * longest.clamp(0.3, 1.5);
        idle && still && self.on_cores() as f64 >= self.for_runs()
    }

    fn falls_due(&self) -> Option<usize> {
        self.first(|it| !it.is_answered && self.now + MARGIN >= self.due(it))
    }

    fn due(&self, it: &InvocationState) -> f64 {
        self.leave_at
            .map_or(it.due_at, |(_, stop)| it.due_at.min(stop - MARGIN))
    }

    /// The final answer to what can't be had: turned away if unrun, else errored, as is a joined repeat.
    fn give_up(&mut self, inv: usize) {
        let (now, it) = (self.now, &mut self.invs[inv]);
        if matches!(it.stage, Stage::Read | Stage::Queued) && !it.request.is_repeat {
            return self.throttle(inv);
        }
        it.is_answered = true;
        if matches!(it.stage, Stage::AtCall | Stage::Calling) {
            // Its time below counts, else a slow dependency shows only in the calls that it let through.
            sample(
                &mut self.ops[it.request.operation].below,
                it.off_core_seconds + now - it.stage_entered_at,
            );
        }
        self.out.failed.push(inv);
        self.drop_waiting(inv);
    }

    fn throttle(&mut self, inv: usize) {
        let allowed = self.text("Allowed.RetryAfter") == "true";
        let most = if allowed {
            self.secs("Allowed.MaxRetryAfterUs", 0.0)
        } else {
            0.0
        };
        let work: f64 = self.all(|_| true).map(|it| self.core_time(it)).sum();
        let clear = work / self.cores() * (0.25 + 0.5 * self.chance()); // half of it, spread
        let never = self.ops[self.invs[inv].request.operation].objective == 0.0; // switched off for all
        let away = if never || self.leave_at.is_some() {
            most
        } else {
            clear.max(BEAT).min(most)
        };
        // Not elsewhere where it has been, nor while over a seventh of the last arrivals were further tries:
        // all turn away then. Guards against storms of tries; harm: lost where others have room.
        let last = never
            || self.invs[inv].request.is_retry
            || mean_beside(&self.agains, self.beliefs.retry_share) > 0.15;
        self.out.rejected.push((inv, away, last));
        self.turned
            .iter_mut()
            .rev()
            .take(1)
            .for_each(|last| *last = true);
        self.decided_on(1.0);
        self.release(inv);
    }

    fn unwanted_run(&self) -> Option<usize> {
        let waste =
            |it: &InvocationState| it.is_answered && it.stage == Stage::Running && !it.is_stopping;
        let found = self.first(|it| waste(it) && self.ops[it.request.operation].idempotent);
        found.filter(|_| matches!(self.text("FamilyInfo.Halt"), "discard" | "freeze"))
    }

    /// Unmarked further tries show by what this one turns away of the last that it decided on.
    fn decided_on(&mut self, turned: f64) {
        if !self.marked {
            sample(&mut self.agains, turned);
        }
    }

    fn stop(&mut self, inv: usize) {
        self.invs[inv].is_stopping = true;
        self.out.stopped.push(inv);
    }

    fn join(&mut self, inv: usize) {
        self.invs[inv].stage = Stage::Joined;
        self.out.joined.push(inv);
    }

    fn keep(&mut self, inv: usize, span: f64) {
        self.entries.retain(|&(_, holder)| holder != inv);
        self.entries.push_back((self.now + span, inv));
        self.out.cached.push((inv, span));
    }

    fn after_grace(&self) -> Option<usize> {
        let (grace, _) = self.leave_at?;
        self.first(|it| matches!(it.stage, Stage::Read | Stage::Queued) && it.arrived_at > grace)
    }

    fn over_memory(&self) -> Option<usize> {
        let inv = self.newly_read()?;
        let tokened = self.ops[self.invs[inv].request.operation].tokened;
        let entry = if tokened {
            self.num("FamilyInfo.KeyKb", 0.0)
        } else {
            0.0
        };
        (entry > self.spare_memory()).then_some(inv)
    }

    /// Memory less what is in use and a tenth for what is read before an answer can be given.
    fn spare_memory(&self) -> f64 {
        let factor = self.num("FamilyInfo.RunFactor", 1.0);
        let needs = |it: &InvocationState| match it.stage {
            Stage::Read | Stage::Queued | Stage::Joined => it.request.held_kilobytes,
            _ => it.request.held_kilobytes * factor,
        };
        let invs: f64 = self.all(|_| true).map(needs).sum();
        let used = invs + self.entries.len() as f64 * self.num("FamilyInfo.KeyKb", 0.0);
        0.9 * self.num("FamilyInfo.HeapKb", f64::INFINITY) - used
    }

    fn warmth(&self) -> f64 {
        let from = self.num("Rules.StartCapacity", 0.0);
        let over = self.secs("Rules.WarmUpUs", 0.0).max(1e-6);
        let cold = matches!(self.text("FamilyInfo.FreshStart"), "true" | "1");
        if cold {
            (from + (1.0 - from) * (self.now - self.born) / over).min(1.0)
        } else {
            1.0
        }
    }

    /// How many may be on the cores or about to come back to them: the told crowd, less while cold.
    fn survivable(&self) -> f64 {
        let crowd =
            self.cores() * (1.0 + (self.num("Rules.FallMultiple", 2.0) - 1.0) * self.warmth());
        (crowd * 0.9).floor().max(1.0) // a tenth less, since the mean is taken over finer steps than ours
    }

    /// What can't make its objective behind the better work in hand. A first try goes even with cores idle,
    /// since others may be faster (harm: else it is lost); one of an operation stays, to see if that holds.
    fn too_late(&self) -> Option<usize> {
        self.newly_read().filter(|&inv| {
            let it = &self.invs[inv];
            let ahead = |one: &InvocationState| match one.stage {
                Stage::Running => (self.core_time(one)
                    - (self.now - one.started_at - one.off_core_seconds))
                    .max(0.0),
                Stage::Queued if self.density(one) >= self.density(it) => self.core_time(one),
                _ => 0.0,
            };
            let work: f64 = self.all(|_| true).map(ahead).sum();
            let full = self.on_cores() as f64 >= self.for_runs();
            let never = self.ops[it.request.operation].objective == 0.0; // switched off by the operators
            let like = |one: &InvocationState| {
                one.stage == Stage::Running && one.request.operation == it.request.operation
            };
            let ends =
                self.now + if full { work / self.for_runs() } else { 0.0 } + self.whole_time(it);
            never
                || (full || !it.request.is_retry && self.first(like).is_some())
                    && ends > it.objective_deadline
        })
    }

    /// Tokened ones enter the table for their window, reads with a subject until due where answers may serve
    /// others and the table leaves most of the memory to work.
    fn hold(&mut self, inv: usize) {
        let it = &self.invs[inv];
        let op = &self.ops[it.request.operation];
        let shares = self.secs("FamilyInfo.ShareForUs", 0.0) > 0.0 && it.request.has_subject;
        let table = (self.entries.len() + 1) as f64 * self.num("FamilyInfo.KeyKb", 0.0);
        let span = if op.tokened {
            (it.arrived_at + op.window - self.now).max(0.0) + 0.001
        } else if op.idempotent && shares && table < self.num("FamilyInfo.HeapKb", 0.0) / 5.0 {
            it.due_at - self.now
        } else {
            0.0
        };
        (self.invs[inv].stage, self.invs[inv].has_table_entry) = (Stage::Queued, span > 0.0);
        if span > 0.0 {
            self.keep(inv, span);
        }
    }

    /// Held work that can't make its objective any more: of no value, or of little while better waits.
    fn hopeless(&self) -> Option<usize> {
        let held = self.count(|it| it.stage == Stage::Queued);
        self.first(|it| {
            let late = self.now + 0.7 * self.whole_time(it) > it.objective_deadline; // 1 tried: no better
            let none = self.now > it.objective_deadline
                && self.ops[it.request.operation].late_value == 0.0;
            it.stage == Stage::Queued && (late && held > 1 || none)
        })
    }

    fn startable(&self) -> Option<usize> {
        let factor = self.num("FamilyInfo.RunFactor", 1.0);
        let below = self.count(|it| matches!(it.stage, Stage::AtCall | Stage::Calling));
        let on = self.on_cores();
        if on as f64 >= self.for_runs() || (on + below) as f64 >= self.survivable() || self.hangs()
        {
            return None;
        }
        let free = self.spare_memory();
        // Behind a jam below, work that calls only fills memory; half the cores' number may wait there.
        let stuck = |it: &InvocationState| {
            it.stage == Stage::AtCall && self.ops[it.request.operation].skip_value == 0.0
        };
        let jam = self.breaker_holds() || self.count(stuck) as f64 >= 0.5 * self.cores();
        let fits = |it: &InvocationState| {
            let op = &self.ops[it.request.operation];
            let blocked = op.calls && op.skip_value == 0.0 && jam;
            it.stage == Stage::Queued
                && !blocked
                && it.request.held_kilobytes * (factor - 1.0) <= free
        };
        self.best(fits, |it| self.density(it))
    }

    /// Cores that reading and the like leave to runs. Past their number all slow each other down, so this
    /// counts in what costs much to read, or floods of checks and connections; half stay for runs anyway.
    fn for_runs(&self) -> f64 {
        (self.cores() - mean(&self.others)).max(0.5 * self.cores())
    }

    fn begin(&mut self, inv: usize) {
        self.progress = if self.on_cores() == 0 {
            self.now
        } else {
            self.progress
        };
        let (now, it) = (self.now, &mut self.invs[inv]);
        (it.stage, it.started_at, it.stage_entered_at, it.has_run) =
            (Stage::Running, now, now, true);
        self.out.started.push(inv);
        self.decided_on(0.0);
    }

    /// Billed value by second of core. A marked further try counts half: guards against retries that take the
    /// cores from first tries; harm: one turned away at once waits longer.
    fn density(&self, it: &InvocationState) -> f64 {
        let op = &self.ops[it.request.operation];
        let again = if it.request.is_retry { 0.5 } else { 1.0 }; // 0.2 tried: no better
        let share = again
            * if it.exceeds_quota {
                self.num("OverShareWorth", 1.0)
            } else {
                1.0
            };
        let work = if self.by_work {
            1.0
        } else {
            self.core_time(it).max(1e-3)
        };
        op.value * share / work
    }

    /// Expected run time of an operation by unit of cost, by its last runs. Those that now last twice as long
    /// count too: sudden slowness shows before one ends; harm: a long run by chance makes the next look long.
    fn rate(&self, op: usize) -> f64 {
        let (value, weight) = told(self.ops[op].runs.len(), self.word(op));
        let of = weight
            * if self.ops[op].costs.is_empty() {
                1.0
            } else {
                mean(&self.ops[op].costs)
            };
        let mut took = self.ops[op].runs.iter().sum::<f64>() + value * of;
        let mut cost = (self.ops[op].costs.iter().sum::<f64>() + of).max(1e-9);
        let twice = 2.0 * took / cost;
        for one in self.all(|one| one.stage == Stage::Running && one.request.operation == op) {
            let (lasts, of) = (
                self.now - one.started_at - one.off_core_seconds,
                one.request.cost_hint.unwrap_or(1.0),
            );
            if lasts > twice * of {
                (took, cost) = (took + lasts, cost + of);
            }
        }
        took / cost
    }

    fn core_time(&self, it: &InvocationState) -> f64 {
        // Unsampled: by the hint, longer while cold. Guards successors in a rush; harm: fast ones refuse.
        let op = it.request.operation;
        let unknown = self.ops[op].runs.is_empty() && self.word(op).is_none();
        let least = if unknown && it.request.cost_hint.is_some() {
            1.0 / self.warmth().max(0.1)
        } else {
            0.0
        };
        self.rates[op].max(least) * it.request.cost_hint.unwrap_or(1.0)
    }

    fn whole_time(&self, it: &InvocationState) -> f64 {
        self.core_time(it) + mean(&self.ops[it.request.operation].below)
    }

    /// What others say of an operation, as long as it is to be heeded: not once own runs are twice off, and
    /// of one not seen yet only while a run tries one of these. Else a lie would keep it from running.
    fn word(&self, op: usize) -> Option<PriorEstimate> {
        let word = (*self.beliefs.run_durations.get(op)?)?;
        let (took, cost) = (&self.ops[op].runs, &self.ops[op].costs);
        let off = took.iter().sum::<f64>() / cost.iter().sum::<f64>() / word.value; // no number if none
        let tries =
            |it: &InvocationState| it.has_run && self.ops[it.request.operation].runs.is_empty();
        let heeded = if took.is_empty() {
            self.count(tries) > 0
        } else {
            (0.5..2.0).contains(&off)
        };
        heeded.then_some(word)
    }

    /// Whether this arrival is over its customer's share: by chance, in proportion, once it clearly is here.
    fn beyond_share(&mut self, customer: usize) -> bool {
        let quota = self.num(&format!("Tenants.{customer}.QuotaPerS"), 0.0);
        let (now, servers) = (self.now, self.num("Servers", 1.0));
        let times = self.arrivals.entry(customer).or_default();
        sample(times, now);
        let count = times.len() as f64;
        let rate = servers * (count - 1.0) / (now - times[0]).max(0.5);
        // Twice the root by which arrivals stray: a few at one of hundreds of backends tell little.
        quota > 0.0
            && rate > quota * (1.0 + 2.0 / count.sqrt())
            && self.chance() < 1.0 - quota / rate
    }

    fn leave_call(&mut self, inv: usize, outcome: Outcome) {
        let (now, stays) = (self.now, self.secs("FamilyInfo.StaysForUs", 0.0));
        let InvocationState {
            stage,
            stage_entered_at: since,
            off_core_seconds: away,
            ..
        } = self.invs[inv];
        if matches!(stage, Stage::AtCall | Stage::Calling) {
            (
                self.invs[inv].off_core_seconds,
                self.invs[inv].stage_entered_at,
            ) = (away + now - since, now);
        }
        if stage == Stage::Calling {
            let lingers = !outcome.succeeded && !outcome.never_ran;
            self.calls
                .push_back((since, if lingers { now + stays } else { now }));
            if outcome.succeeded || lingers && !outcome.stopped {
                self.call_measured(now - since); // of an abandoned one the least that it would have taken
            }
            if outcome.succeeded {
                self.call_failures = 0;
            } else if !outcome.stopped {
                (self.call_failures, self.call_failed_at) = (self.call_failures + 1, now);
            }
        }
    }

    /// The Vegas update for calls: guards against a dependency that is slow, shrunken or crowded by whomever;
    /// harm: holds calls back after it has turned slower for good, until the lowest is taken anew.
    fn call_measured(&mut self, took: f64) {
        // The mean of 8 call times strays by a third, the lowest of many means of 24 lies as far under: twice
        // that may be chance (0.4 held a free dependency's calls back), three times is not.
        const ALPHA: f64 = 0.5;
        const BETA: f64 = 0.67;
        sample(&mut self.call_times, took);
        if self.call_times.len() < 8 {
            return;
        }
        // Those of the last 2 s, where they are few the last 8: 24 would be 10 s old on a small backend.
        let last = self
            .calls
            .iter()
            .filter(|&&(_, end)| end > self.now - 2.0)
            .count()
            .clamp(8, 24);
        let recent = mean(&self.call_times.iter().rev().take(last).copied().collect());
        self.call_probe = self.call_probe.saturating_sub(1);
        if self.call_probe == 0 {
            (self.call_lowest, self.call_probe) = (mean(&self.call_times), 400); // a minute or so, untried
        }
        self.call_lowest = self.call_lowest.min(mean(&self.call_times));
        let queued = 1.0 - self.call_lowest / recent;
        let step = f64::from(u8::from(queued < ALPHA)) - f64::from(u8::from(queued > BETA));
        let share = self.num("FamilyInfo.CallShare", f64::INFINITY);
        let least = (0.25 * share).min(1.0); // a tenth of the share fitted no call and shut some for good
        self.call_limit = (self.call_limit * (1.0 + 0.05 * step)).clamp(least, 0.8 * share);
    }

    /// Time that calls have taken below over the last `span`, open ones too, abandoned ones with their stay.
    fn used_below(&self, span: f64) -> f64 {
        let taken = |from: f64, to: f64| (to - from.max(self.now - span)).max(0.0);
        let open = self
            .all(|it| it.stage == Stage::Calling)
            .map(|it| taken(it.stage_entered_at, self.now));
        open.chain(self.calls.iter().map(|&(from, to)| taken(from, to)))
            .sum()
    }

    /// The told window, or a longer one where the share is so small that its time would hold no call.
    fn call_window(&self) -> f64 {
        let share = self.num("FamilyInfo.CallShare", f64::INFINITY).max(1e-6);
        self.secs("FamilyInfo.DepWindowUs", 5.0)
            .max(3.0 * self.secs("FamilyInfo.StaysForUs", 0.0) / share)
    }

    /// Whether calls have taken this part of their limit over the last fifth of the window.
    fn paced_below(&self, part: f64) -> bool {
        let span = 0.2 * self.call_window();
        self.used_below(span) > part * span * self.call_limit
    }

    /// Time that a call may take below: what the told share leaves in its window, less a part for what
    /// others' cold starts add and one stay; none over the limit on calls. Under one call it is a mean over a
    /// fifth of the window: guards against hundreds of backends that always keep one, or burst together.
    fn room_below(&self) -> f64 {
        let share = self.num("FamilyInfo.CallShare", f64::INFINITY) * 0.8; // 0.5 tried: too few calls
        let (window, limit) = (self.call_window(), self.call_limit);
        let lingering = self
            .calls
            .iter()
            .filter(|&&(_, end)| end > self.now)
            .count();
        let open = (self.count(|it| it.stage == Stage::Calling) + lingering) as f64;
        let full = open >= (2.0 * limit).ceil().min(share.floor()).max(1.0);
        let room =
            share * window - self.used_below(window) - self.secs("FamilyInfo.StaysForUs", 0.0);
        // A call cut short stays below all the same: none without room for four mean ones.
        let four = if self.call_times.is_empty() {
            f64::MAX
        } else {
            4.0 * mean(&self.call_times)
        };
        // In a window longer than the told one backends take turns by seed: together they keep to the told.
        let told = self.secs("FamilyInfo.DepWindowUs", 5.0).max(1e-6);
        let turns = (window / told).ceil() as u64; // 1 or more
        let others = !((self.now / told) as u64)
            .wrapping_add(self.salt)
            .is_multiple_of(turns);
        let none = full || others || limit < 1.0 && self.paced_below(1.0);
        if none || room < four.min(0.5 * share * window) {
            0.0
        } else {
            room.max(0.0)
        }
    }

    /// The breaker: after five failures in a row (hardly chance) one trial at a time, each after a pause.
    fn breaker_holds(&self) -> bool {
        let trial = self.count(|it| it.stage == Stage::Calling) > 0;
        let pause = trial || self.now < self.call_failed_at + 0.5; // untried
        if self.call_failures >= 5 {
            pause || self.spend.left[2] == 0
        } else {
            self.spend.left[0] == 0
        }
    }

    fn may_call(&self, it: &InvocationState) -> bool {
        let once = !self.ops[it.request.operation].idempotent && it.has_uncertain_call;
        it.calls < 3 && !once && (it.calls == 0 || self.spend.left[1] > 0)
    }

    fn call_is_lost(&self) -> Option<usize> {
        self.first(|it| {
            let op = &self.ops[it.request.operation];
            let past = self.now > it.objective_deadline && op.late_value == 0.0;
            it.stage == Stage::AtCall
                && !it.is_answered
                && (past || op.skip_value == 0.0 && !self.may_call(it))
        })
    }

    fn call_to_skip(&self) -> Option<usize> {
        // What holds for all is found out once: with hundreds at a jam each would look through all others,
        // until nothing but this was done any more.
        let breaker = LazyCell::new(|| self.breaker_holds());
        // Half of the limit is kept for operations that can't do without, if such run here.
        let needs = |op: &Operation| op.calls && op.skip_value == 0.0 && !op.runs.is_empty();
        let kept = LazyCell::new(|| self.ops.iter().any(needs) && self.paced_below(0.5));
        let full = LazyCell::new(|| self.room_below() == 0.0);
        let stakes = || {
            self.all(|it| it.stage == Stage::AtCall)
                .map(|it| self.stake(it))
        };
        let dearest = LazyCell::new(|| stakes().fold(f64::NEG_INFINITY, f64::max));
        self.first(|it| {
            let op = &self.ops[it.request.operation];
            let below = mean_beside(
                &op.below,
                self.beliefs
                    .downstream_durations
                    .get(it.request.operation)
                    .copied()
                    .flatten(),
            );
            let late = || self.now + below + 0.5 * self.core_time(it) > it.objective_deadline;
            let short = || *kept || *full && *dearest > self.stake(it);
            let skip = || !self.may_call(it) || *breaker || late() || short();
            it.stage == Stage::AtCall && !it.is_answered && op.skip_value > 0.0 && skip()
        })
    }

    fn degrade(&mut self, inv: usize) {
        self.leave_call(
            inv,
            Outcome {
                succeeded: true,
                ..Outcome::default()
            },
        );
        self.invs[inv].stage = Stage::Running;
        self.out.degraded.push(inv);
    }

    /// Billed value that is lost with the call.
    fn stake(&self, it: &InvocationState) -> f64 {
        let op = &self.ops[it.request.operation];
        self.density(it) * (1.0 - op.skip_value)
    }

    fn call_to_make(&self) -> Option<usize> {
        let waiting = |it: &InvocationState| {
            it.stage == Stage::AtCall && !it.is_answered && self.may_call(it)
        };
        let best = self.best(waiting, |it| self.stake(it))?;
        (self.room_below() > 0.0 && !self.breaker_holds()).then_some(best)
    }

    fn call(&mut self, inv: usize) {
        let (now, it) = (self.now, &self.invs[inv]);
        let op = &self.ops[it.request.operation];
        let until = if op.late_value > 0.0 && op.skip_value == 0.0 {
            self.due(it)
        } else {
            it.objective_deadline
        };
        let part = if op.skip_value > 0.0 { 0.7 } else { 1.0 }; // in time to earn what skipping earns
        let patience = ((until - now) * part).min(self.room_below()).max(0.02);
        let kind = if self.call_failures >= 5 {
            2
        } else {
            usize::from(it.calls > 0)
        };
        self.spend.left[kind] = self.spend.left[kind].saturating_sub(1);
        let it = &mut self.invs[inv];
        it.off_core_seconds += now - it.stage_entered_at;
        (it.stage, it.stage_entered_at, it.calls) = (Stage::Calling, now, it.calls + 1);
        self.out.called.push((inv, patience));
    }

    fn word_is_old(&self) -> Option<usize> {
        let due = self.now >= self.level_at + 0.25; // a quarter of how long callers keep a value
        (due || self
            .told
            .is_none_or(|told| told.0 == (self.leave_at.is_some() || self.hangs())))
        .then_some(0)
    }

    fn tell(&mut self, _: usize) {
        let turned = self.turned.iter().filter(|&&turned| turned).count();
        let more = turned * 10 > self.turned.len() && self.load() > Self::CUT_FROM;
        self.level = (self.level + if more { 0.05 } else { -0.025 }).clamp(0.0, 0.7); // rises fast
        self.turned.clear();
        self.level_at = self.now;
        let good = self.leave_at.is_none() && !self.hangs();
        let level = if good { self.level } else { 1.0 };
        // By those who came within the time for which it is heeded, not by all: a hundredth each turned away
        // just those who knew this one. Harm: callers that come back all at once may each have that many.
        let from = self.now - self.secs("FamilyInfo.HeededUs", 1.0);
        let here = || {
            self.callers
                .values()
                .filter(|&&last| last >= from)
                .count()
                .max(1) as f64
        };
        let value = match self.text("FamilyInfo.Say") {
            "floor" => Some(level.min(0.999)),
            "weight" => Some(1.0 - level),
            "allowance" => Some(2.0 * self.limit / here() * (1.0 - level)),
            _ => None,
        };
        let idle = self.keep_idle();
        let was = self.told.replace((good, value, idle));
        self.out.health = Some(good).filter(|_| was.is_none_or(|was| was.0 != good));
        self.out.level = value.filter(|_| was.is_none_or(|was| was.1 != value));
        self.out.idle_timeout =
            Some(idle).filter(|_| idle >= 0.01 && was.is_none_or(|was| was.2 != idle));
    }

    /// What the last arrivals ask for, as a part of what the cores can do, whatever is then decided.
    fn demand(&self) -> f64 {
        let since = self
            .asked
            .front()
            .map_or(0.0, |&(at, _)| self.now - at)
            .max(1e-9);
        self.asked.iter().rev().map(|&(_, work)| work).sum::<f64>() / (self.cores() * since)
    }

    /// How long idle connections stay: a third of the callers' own time while half of the last callers had
    /// come again within that time (a fifth of it: quiet days lose to openings), else hardly at all. Guards
    /// against a table full of callers who don't come back; harm: a few busy ones open anew. All of it where
    /// arrivals ask for more than the cores can do and no mark tells further tries: a full table turns away
    /// at no cost, an opening takes a seventh of a run. Harm: lost in a short rush.
    fn keep_idle(&mut self) -> f64 {
        let idle = self.secs("FamilyInfo.CallerIdleUs", 0.0);
        let from = self.now
            - if self.callers.len() > 4096 {
                idle.min(1.0)
            } else {
                idle
            };
        self.callers.retain(|_, &mut last| last >= from); // a later one counts as new, as it would anyway
        let back = self.gaps.iter().filter(|&&gap| gap <= idle).count() as f64
            / self.gaps.len().max(1) as f64;
        let back = if self.gaps.len() < 8 {
            self.beliefs
                .returning_caller_share
                .map_or(1.0, |word| word.value)
        } else {
            back
        };
        let shorter = if back >= 0.5 {
            idle / 3.0
        } else {
            idle.min(0.01)
        };
        if !self.marked && self.demand() > 1.0 {
            idle
        } else {
            shorter
        }
    }

    fn settle(&mut self) -> Decisions {
        self.rates = (0..self.ops.len()).map(|op| self.rate(op)).collect();
        while let Some((inv, effect)) = RULES
            .iter()
            .find_map(|(_, when, then)| Some((when(self)?, then)))
        {
            effect(self, inv);
        }
        std::mem::take(&mut self.out)
    }

    fn at(&mut self, now: f64) {
        self.unrun.retain(|_| now <= self.now);
        self.now = now;
        self.entries.retain(|&(end, _)| end > now);
        let from = now - self.call_window();
        self.calls.retain(|&(_, end)| end > from);
    }

    fn drop_waiting(&mut self, inv: usize) {
        if matches!(
            self.invs[inv].stage,
            Stage::Read | Stage::Queued | Stage::Joined
        ) {
            self.release(inv);
        }
    }

    /// What leaves unrun leaves the table too, so that a later try of it starts afresh. Repeats that wait for
    /// its result hear now if there is none; its number may be handed out again.
    fn release(&mut self, inv: usize) {
        let InvocationState {
            has_run: ran,
            stage,
            has_table_entry: entry,
            ..
        } = self.invs[inv];
        let unrun = !ran && stage != Stage::Joined;
        self.unrun.extend(Some(inv).filter(|_| unrun));
        if entry && unrun {
            self.out.evicted.push(inv);
            self.entries.retain(|&(_, holder)| holder != inv);
        }
        self.live.retain(|&one| one != inv);
        self.out.released.push(inv);
        let waits =
            |it: &InvocationState| it.stage == Stage::Joined && it.request.original == Some(inv);
        while let Some(one) = self.first(waits) {
            self.invs[one].request.original = None;
            if unrun {
                self.give_up(one);
            }
        }
    }

    fn lives(&self, inv: usize) -> bool {
        self.live.contains(&inv)
    }

    fn first(&self, when: impl Fn(&InvocationState) -> bool) -> Option<usize> {
        self.live.iter().copied().find(|&inv| when(&self.invs[inv]))
    }

    /// The one of most worth, of these the one whose objective comes first.
    fn best(
        &self,
        when: impl Fn(&InvocationState) -> bool,
        worth: impl Fn(&InvocationState) -> f64,
    ) -> Option<usize> {
        let all = self
            .live
            .iter()
            .copied()
            .filter(|&inv| when(&self.invs[inv]));
        all.max_by(|&a, &b| {
            let (a, b) = (&self.invs[a], &self.invs[b]);
            worth(a)
                .total_cmp(&worth(b))
                .then(b.objective_deadline.total_cmp(&a.objective_deadline))
        })
    }

    fn all(
        &self,
        when: impl Fn(&InvocationState) -> bool,
    ) -> impl Iterator<Item = &InvocationState> {
        self.live
            .iter()
            .map(|&inv| &self.invs[inv])
            .filter(move |it| when(it))
    }

    fn count(&self, when: impl Fn(&InvocationState) -> bool) -> usize {
        self.all(when).count()
    }

    fn newly_read(&self) -> Option<usize> {
        self.first(|it| it.stage == Stage::Read)
    }

    fn on_cores(&self) -> usize {
        self.count(|it| it.stage == Stage::Running)
    }

    fn in_hand(&self) -> usize {
        self.count(|it| matches!(it.stage, Stage::Read | Stage::Queued | Stage::Running))
    }

    fn chance(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.5, |rng| rng.random())
    }

    fn cores(&self) -> f64 {
        self.num("FamilyInfo.Cores", 1.0).max(1.0)
    }

    fn text(&self, name: &str) -> &str {
        self.settings.get(name).map_or("", String::as_str)
    }

    fn num(&self, name: &str, absent: f64) -> f64 {
        self.settings
            .get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(absent)
    }

    fn secs(&self, name: &str, absent: f64) -> f64 {
        self.settings
            .get(name)
            .and_then(|text| text.parse().ok())
            .map_or(absent, |us: f64| us / 1e6)
    }
}
