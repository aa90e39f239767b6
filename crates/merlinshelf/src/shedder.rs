//! The decisions. A host calls one method of [`Shedder`] for each thing that happens (`start`, `arrived`,
//! `ended`, `caller_left`, `wants_call`, `call_ended`, `leave`, `woken`), with the clock in seconds, and
//! carries out the [`Decided`] that comes back. The interface's types are defined in `lib.rs`.
//!
//! A method notes what happened; then the table `RULES` is gone through from the top until no rule fires.
//! A rule names a condition, which picks an invocation, and an effect on it. Each effect moves that
//! invocation on (answered, held, started, called) or settles a value, so that the going-through ends.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{Decided, Invocation, Outcome, Settings};

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Read,
    Held,
    Running,
    AtCall,
    Calling,
    Joined,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Kind {
    Idempotent,
    Tokened,
    #[default]
    NonIdempotent,
}

/// One operation's settings and the last few samples of what its runs took.
#[derive(Default)]
struct Operation {
    kind: Kind,
    objective: f64,
    stretch: f64,
    timeout: f64,
    value: f64,
    late_value: f64,
    window: f64,
    skip_value: f64,
    calls: bool,
    /// Run durations without calls, and the hinted costs of those runs (1 where there are no hints).
    runs: VecDeque<f64>,
    costs: VecDeque<f64>,
    /// Time at calls and waiting for them, by run.
    below: VecDeque<f64>,
    lowest: f64,
    until_probe: f64,
}

#[derive(Default)]
struct Inv {
    told: Invocation,
    arrived: f64,
    due: f64,
    /// When its answer still makes the latency objective.
    by: f64,
    stage: Stage,
    since: f64,
    began: f64,
    /// Time since `began` that was not spent on the cores.
    away: f64,
    answered: bool,
    stopping: bool,
    ran: bool,
    entry: bool,
    over_share: bool,
    calls: u32,
    /// A call of it may have taken effect without its outcome being known.
    unsure: bool,
}

const BEAT: f64 = 0.01; // between looks at the clock: well under any slack, 100 cheap timers a second
const MARGIN: f64 = 0.02; // two beats before what is due

type Rule = (&'static str, fn(&Shedder) -> Option<usize>, fn(&mut Shedder, usize));

/// All that is decided, in order of precedence.
const RULES: &[Rule] = &[
    (
        "answer what falls due",
        |s| s.first(|it| !it.answered && s.now + MARGIN >= s.due(it)),
        Shedder::give_up,
    ),
    ("stop work that nobody waits for", Shedder::unwanted_run, Shedder::stop),
    ("keep within memory", Shedder::over_memory, Shedder::give_up),
    ("join repeats", |s| s.first(|it| it.stage == Stage::Read && it.told.repeats), Shedder::join),
    ("turn away after the grace", Shedder::after_grace, Shedder::throttle),
    ("raise the limit while cores idle", Shedder::cores_idle, Shedder::raise),
    ("cut by group over the limit", Shedder::over_limit, Shedder::throttle),
    ("turn away what comes too late", Shedder::too_late, Shedder::throttle),
    ("hold the rest", Shedder::newly_read, Shedder::hold),
    ("drop held work past its objective", Shedder::hopeless, Shedder::throttle),
    ("give up calls that lead nowhere", Shedder::call_is_lost, Shedder::give_up),
    ("leave out calls that come too late", Shedder::call_to_skip, Shedder::degrade),
    ("call below within the share", Shedder::call_to_make, Shedder::call),
    ("start the best while cores are free", Shedder::startable, Shedder::begin),
    ("tell checks and callers", Shedder::word_is_old, Shedder::tell),
];

#[derive(Default)]
pub struct Shedder {
    settings: Settings,
    now: f64,
    out: Decided,
    rng: Option<Pcg32>,
    salt: u64,
    born: f64,
    leave_at: Option<(f64, f64)>,
    ops: Vec<Operation>,
    /// By operation, worked out once for each input.
    rates: Vec<f64>,
    invs: Vec<Inv>,
    /// Numbers of live invocations in order of arrival.
    live: Vec<usize>,
    /// Those turned away unrun at this very time: a repeat read with them starts afresh.
    unrun: Vec<usize>,
    limit: f64,
    busy: f64,
    busy_at: f64,
    /// What else than runs needed a core at the last beats: reading, checks, new connections.
    others: VecDeque<f64>,
    progress: f64,
    entries: VecDeque<(f64, usize)>,
    /// Start and end of the last calls, ends of abandoned ones including their stay below.
    calls: VecDeque<(f64, f64)>,
    /// Durations of the last calls that went well, the lowest mean of them, calls until it is taken anew.
    call_times: VecDeque<f64>,
    call_lowest: f64,
    call_probe: u32,
    call_limit: f64,
    call_failures: u32,
    call_failed_at: f64,
    arrivals: BTreeMap<usize, VecDeque<f64>>,
    /// The arrivals since callers were last told: whether they were turned away.
    turned: Vec<bool>,
    level: f64,
    level_at: f64,
    told: Option<(bool, Option<f64>)>,
}

/// Keeps the last few samples. 24 spans a second or two of a busy operation: recent, not jumpy.
fn sample(samples: &mut VecDeque<f64>, value: f64) {
    if samples.len() == 24 {
        samples.pop_front();
    }
    samples.push_back(value);
}

fn mean(samples: &VecDeque<f64>) -> f64 {
    samples.iter().sum::<f64>() / samples.len().max(1) as f64
}

impl Shedder {
    /// A new instance. Fails on a setting that it uses and cannot read, naming it.
    pub fn start(now: f64, seed: u64, settings: Settings) -> Result<(Self, Decided), String> {
        let numeric = ["Us", "Kb", "Worth", "Cores", "CallShare", "Factor", "Multiple", "count", "Total"];
        for (name, text) in &settings {
            let number = numeric.iter().any(|end| name.ends_with(end)) && !name.ends_with("ClassSkipWorth");
            if number && text.parse::<f64>().map_or(true, |value| !value.is_finite()) {
                return Err(format!("setting {name}={text:?} is no number"));
            }
        }
        let mut new = Shedder { settings, now, salt: seed, born: now, busy_at: now, ..Shedder::default() };
        new.rng = Some(Pcg32::seed_from_u64(seed));
        new.ops = (0..new.num("Classes.count", 0.0).max(1.0) as usize).map(|op| new.operation(op)).collect();
        new.limit = new.cores();
        new.call_limit = (new.num("FamilyInfo.CallShare", f64::INFINITY) / 2.0).max(1.0);
        new.out.wake.push((BEAT, 0));
        // Idle connections tax the cores, opening one costs about a tenth of a run: a third of the callers'
        // own idle time keeps those in use and lets those of a burst go.
        new.out.trim_after =
            Some(new.secs("FamilyInfo.CallerIdleUs", 0.0) / 3.0).filter(|&idle| idle >= 0.01);
        let decided = new.settle();
        Ok((new, decided))
    }

    fn operation(&self, op: usize) -> Operation {
        let path = |name: &str| format!("Classes.{op}.{name}");
        let listed = |name: &str| self.text(name).split(',').nth(op).unwrap_or("").to_owned();
        let timeout = self.secs(&path("DeadlineUs"), 1.0);
        Operation {
            kind: match self.text(&path("Effect")) {
                "idempotency_key" => Kind::Tokened,
                "read_like" => Kind::Idempotent,
                _ => Kind::NonIdempotent,
            },
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

    // ---- what happens ----

    pub fn arrived(&mut self, now: f64, inv: usize, mut told: Invocation) -> Decided {
        self.at(now);
        told.operation = told.operation.min(self.ops.len() - 1);
        let op = &self.ops[told.operation];
        let arrived = now - told.age;
        let due = told.budget.map_or(arrived + op.timeout, |budget| now + budget);
        let stretched = op.objective + op.stretch * told.cost.unwrap_or(0.0);
        let left = if told.again { 0.6 } else { 1.0 }; // the rest was spent elsewhere; 0.6 and 1 were tried
        let by = (arrived + stretched.min(op.timeout) * left).min(due);
        let over_share = self.beyond_share(told.customer);
        // A repeat of what was turned away unrun in this very batch is a first try.
        told.repeats &= !told.earlier.is_some_and(|earlier| self.unrun.contains(&earlier));
        self.invs.resize_with(self.invs.len().max(inv + 1), Inv::default);
        self.invs[inv] = Inv { told, arrived, due, by, since: now, over_share, ..Inv::default() };
        self.live.push(inv);
        self.turned.push(false); // cleared at every telling
        self.settle()
    }

    pub fn ended(&mut self, now: f64, inv: usize, outcome: Outcome, took: f64) -> Decided {
        self.at(now);
        if !self.lives(inv) {
            return self.settle();
        }
        self.leave_call(inv, outcome);
        let it = self.inv(inv);
        let (op, away, cost, entry) = (it.told.operation, it.away, it.told.cost.unwrap_or(1.0), it.entry);
        if it.stage != Stage::Joined {
            self.progress = now;
            if outcome.succeeded && !self.inv(inv).stopping {
                self.measured(op, (took - away).max(1e-6), cost, away);
            }
        }
        // A read's answer may serve others for a while where that is allowed.
        let share_for = self.secs("FamilyInfo.ShareForUs", 0.0);
        if outcome.succeeded && share_for > 0.0 && entry && self.ops[op].kind == Kind::Idempotent {
            self.keep(inv, share_for);
        }
        self.release(inv);
        self.settle()
    }

    pub fn caller_left(&mut self, now: f64, inv: usize) -> Decided {
        self.at(now);
        if self.lives(inv) {
            self.inv_mut(inv).answered = true;
            self.drop_waiting(inv);
        }
        self.settle()
    }

    pub fn wants_call(&mut self, now: f64, inv: usize) -> Decided {
        self.at(now);
        if self.lives(inv) {
            let it = self.inv_mut(inv);
            (it.stage, it.since) = (Stage::AtCall, now);
            self.progress = now;
        }
        self.settle()
    }

    pub fn call_ended(&mut self, now: f64, inv: usize, outcome: Outcome, _took: f64) -> Decided {
        self.at(now);
        if self.lives(inv) && self.inv(inv).stage == Stage::Calling {
            self.leave_call(inv, outcome);
            let it = self.inv_mut(inv);
            it.unsure = !outcome.succeeded && !outcome.never_ran;
            it.stage = if outcome.succeeded { Stage::Running } else { Stage::AtCall };
            self.progress = now;
        }
        self.settle()
    }

    pub fn leave(&mut self, now: f64, budget: f64) -> Decided {
        self.at(now);
        self.leave_at = Some((now + self.secs("Rules.DrainGraceUs", 0.0), now + budget));
        self.settle()
    }

    /// A timer; gauges come with it. One beat keeps all that waits on the clock moving.
    pub fn woken(&mut self, now: f64, _handle: u64, gauges: &BTreeMap<String, f64>) -> Decided {
        self.at(now);
        if let Some(&busy) = gauges.get("cpu_busy") {
            (self.busy, self.busy_at) = (busy.clamp(0.0, 1.0), now);
        }
        if let Some(&all) = gauges.get("runnable") {
            let others = (all - self.on_cores() as f64).max(0.0);
            sample(&mut self.others, others);
        }
        self.out.wake.push((BEAT, 0));
        self.settle()
    }

    // ---- the ordinary path: limit and cut ----

    /// The Vegas update at a finish, on a duration without calls and, where hinted, by unit of cost, so
    /// that a long invocation does not read as a queue.
    fn measured(&mut self, op: usize, took: f64, cost: f64, below: f64) {
        // The design's 3 and 6 take every run above the shortest for a queue; durations here vary by more
        // than a half of their mean, which alone makes 7/10 of the limit look queued.
        const ALPHA: f64 = 8.0;
        const BETA: f64 = 16.0;
        // Invocations until the lowest duration is taken anew, by the limit: the guide's value.
        const PROBE: f64 = 30.0;
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
        let step = f64::from(u8::from(queue < ALPHA * log)) - f64::from(u8::from(queue > BETA * log));
        self.limit = (limit + step * log).min(most).max(self.cores());
    }

    fn cores_idle(&self) -> Option<usize> {
        let waits = self.in_hand() as f64 > self.limit && self.limit < self.survivable();
        self.newly_read().filter(|_| waits && self.load() <= Self::CUT_FROM)
    }

    fn raise(&mut self, _: usize) {
        self.limit = (self.limit + self.limit.max(2.0).log10()).min(self.survivable());
    }

    const CUT_FROM: f64 = 0.8; // the design's own: below it the cut does not act

    fn over_limit(&self) -> Option<usize> {
        let load = self.load();
        let over = self.in_hand() as f64 > self.limit && load > Self::CUT_FROM;
        self.newly_read().filter(|&inv| over && self.group(inv) > 640.0 * (1.0 - load.powi(3)))
    }

    /// Five bands from rank, the lowest rank with the highest number, and 128 cohorts of callers. The seed
    /// goes into the cohort, so that no caller is shut out on all servers for the same hour.
    fn group(&self, inv: usize) -> f64 {
        let it = self.inv(inv);
        let rank = if it.over_share { 0.0 } else { it.told.rank.clamp(0.0, 0.999) };
        let hour = (self.now / 3600.0) as u64;
        let mixed = (it.told.caller ^ self.salt.rotate_left(17) ^ hour.rotate_left(40))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (4.0 - (rank * 5.0).floor()) * 128.0 + (mixed >> 57) as f64 + 1.0
    }

    /// Share of the cores busy. Where the gauge is old, or falls because work has stopped while reading
    /// goes on, all cores count as busy: the cut must not then admit everything.
    fn load(&self) -> f64 {
        if self.now - self.busy_at > 0.5 || self.hangs() { 1.0 } else { self.busy }
    }

    /// Every core has a run and none has moved for long. Three mean runs without one step of at least
    /// a core's number of them is far outside chance; harm: throttles through a pause of the same length.
    fn hangs(&self) -> bool {
        let longest = self.ops.iter().map(|op| mean(&op.runs)).fold(0.0, f64::max);
        self.on_cores() as f64 >= self.for_runs() && self.now - self.progress > 3.0 * longest.clamp(0.3, 1.5)
    }

    /// One place for due times: the budget or the client timeout, and the stop of a leaving process.
    fn due(&self, it: &Inv) -> f64 {
        self.leave_at.map_or(it.due, |(_, stop)| it.due.min(stop - MARGIN))
    }

    /// The final answer to what can't be had any more: turned away if it never ran, else errored. A joined
    /// repeat counts as run, since the one that it repeats may have.
    fn give_up(&mut self, inv: usize) {
        let (now, it) = (self.now, &mut self.invs[inv]);
        if matches!(it.stage, Stage::Read | Stage::Held) && !it.told.repeats {
            return self.throttle(inv);
        }
        it.answered = true;
        if matches!(it.stage, Stage::AtCall | Stage::Calling) {
            // Its time below counts, else a slow dependency shows only in the calls that it let through.
            sample(&mut self.ops[it.told.operation].below, it.away + now - it.since);
        }
        self.out.errored.push(inv);
        self.drop_waiting(inv);
    }

    fn throttle(&mut self, inv: usize) {
        let allowed = self.text("Allowed.RetryAfter") == "true";
        let most = if allowed { self.secs("Allowed.MaxRetryAfterUs", 0.0) } else { 0.0 };
        // Half the work in hand, spread by chance so that callers don't come back together.
        let work: f64 = self.all(|_| true).map(|it| self.core_time(it)).sum();
        let clear = work / self.cores() * (0.25 + 0.5 * self.chance());
        let away = if self.leave_at.is_some() { most } else { clear.min(most) };
        self.out.throttled.push((inv, away, false));
        if let Some(last) = self.turned.last_mut() {
            *last = true;
        }
        self.unrun.push(inv);
        self.release(inv);
    }

    fn unwanted_run(&self) -> Option<usize> {
        let offered = matches!(self.text("FamilyInfo.Halt"), "discard" | "freeze");
        self.first(|it| {
            let waste = it.answered && it.stage == Stage::Running && !it.stopping;
            offered && waste && self.ops[it.told.operation].kind == Kind::Idempotent
        })
    }

    fn stop(&mut self, inv: usize) {
        self.invs[inv].stopping = true;
        self.out.stopped.push(inv);
    }

    fn join(&mut self, inv: usize) {
        self.inv_mut(inv).stage = Stage::Joined;
        self.out.joined.push(inv);
    }

    fn keep(&mut self, inv: usize, span: f64) {
        self.entries.retain(|&(_, holder)| holder != inv);
        self.entries.push_back((self.now + span, inv));
        self.out.kept.push((inv, span));
    }

    fn after_grace(&self) -> Option<usize> {
        let (grace, _) = self.leave_at?;
        self.first(|it| matches!(it.stage, Stage::Read | Stage::Held) && it.arrived > grace)
    }

    fn over_memory(&self) -> Option<usize> {
        let heap = self.num("FamilyInfo.HeapKb", f64::INFINITY);
        let inv = self.newly_read()?;
        let tokened = self.ops[self.inv(inv).told.operation].kind == Kind::Tokened;
        let entry = if tokened { self.num("FamilyInfo.KeyKb", 0.0) } else { 0.0 };
        // A tenth stays free for what is read before the next answer can be given.
        (self.memory() + entry > 0.9 * heap).then_some(inv)
    }

    fn memory(&self) -> f64 {
        let factor = self.num("FamilyInfo.RunFactor", 1.0);
        let needs = |it: &Inv| match it.stage {
            Stage::Read | Stage::Held | Stage::Joined => it.told.held_kb,
            _ => it.told.held_kb * factor,
        };
        let invs: f64 = self.all(|_| true).map(needs).sum();
        invs + self.entries.len() as f64 * self.num("FamilyInfo.KeyKb", 0.0)
    }

    /// How many may be on the cores or about to come back to them: the told crowd, of a cold process only
    /// what its least possible speed lets it survive.
    fn survivable(&self) -> f64 {
        let from = self.num("Rules.StartCapacity", 0.0);
        let over = self.secs("Rules.WarmUpUs", 0.0).max(1e-6);
        let cold = self.text("FamilyInfo.FreshStart") == "true";
        let warm = if cold { (from + (1.0 - from) * (self.now - self.born) / over).min(1.0) } else { 1.0 };
        let crowd = self.cores() * (1.0 + (self.num("Rules.FallMultiple", 2.0) - 1.0) * warm);
        (crowd * 0.9).floor().max(1.0) // a tenth less, since the mean is taken over finer steps than ours
    }

    /// What can't make its objective behind the better work in hand. A first try is turned away even with
    /// cores idle, since others may be faster (guards against slow and cold machines; harm: where nobody
    /// tries again it is lost); one of an operation runs all the same, to see whether it is still so.
    fn too_late(&self) -> Option<usize> {
        self.newly_read().filter(|&inv| {
            let it = self.inv(inv);
            let ahead = |one: &Inv| match one.stage {
                Stage::Running => (self.core_time(one) - (self.now - one.began - one.away)).max(0.0),
                Stage::Held if self.density(one) >= self.density(it) => self.core_time(one),
                _ => 0.0,
            };
            let work: f64 = self.all(|_| true).map(ahead).sum();
            let full = self.on_cores() as f64 >= self.for_runs();
            let like = |one: &Inv| one.stage == Stage::Running && one.told.operation == it.told.operation;
            let tried = self.first(like).is_some();
            let wait = if full { work / self.for_runs() } else { 0.0 };
            (full || !it.told.again && tried) && self.now + wait + self.whole_time(it) > it.by
        })
    }

    /// Tokened ones enter the table for their window, reads with a subject until due where answers may serve
    /// others and the table leaves most of the memory to work.
    fn hold(&mut self, inv: usize) {
        let it = self.inv(inv);
        let op = &self.ops[it.told.operation];
        let shares = self.secs("FamilyInfo.ShareForUs", 0.0) > 0.0 && it.told.has_subject;
        let table = (self.entries.len() + 1) as f64 * self.num("FamilyInfo.KeyKb", 0.0);
        let span = match op.kind {
            Kind::Tokened => (it.arrived + op.window - self.now).max(0.0) + 0.001,
            Kind::Idempotent if shares && table < self.num("FamilyInfo.HeapKb", 0.0) / 5.0 => {
                it.due - self.now
            }
            _ => 0.0,
        };
        (self.invs[inv].stage, self.invs[inv].entry) = (Stage::Held, span > 0.0);
        if span > 0.0 {
            self.keep(inv, span);
        }
    }

    /// Held work that can't make its objective any more: of no value, or of little while better waits.
    fn hopeless(&self) -> Option<usize> {
        let held = self.count(|it| it.stage == Stage::Held);
        self.first(|it| {
            let late = self.now + 0.7 * self.whole_time(it) > it.by; // 1 tried: no better
            let none = self.now > it.by && self.ops[it.told.operation].late_value == 0.0;
            it.stage == Stage::Held && (late && held > 1 || none)
        })
    }

    fn startable(&self) -> Option<usize> {
        let heap = self.num("FamilyInfo.HeapKb", f64::INFINITY);
        let factor = self.num("FamilyInfo.RunFactor", 1.0);
        let below = self.count(|it| matches!(it.stage, Stage::AtCall | Stage::Calling));
        let on = self.on_cores();
        if on as f64 >= self.for_runs() || (on + below) as f64 >= self.survivable() || self.hangs() {
            return None;
        }
        let free = 0.9 * heap - self.memory();
        // Behind a jam below, work that calls only fills memory; half the cores' number may wait there.
        let stuck = |it: &Inv| it.stage == Stage::AtCall && self.ops[it.told.operation].skip_value == 0.0;
        let jam = self.breaker_holds() || self.count(stuck) as f64 >= 0.5 * self.cores();
        let fits = |it: &Inv| {
            let op = &self.ops[it.told.operation];
            let blocked = op.calls && op.skip_value == 0.0 && jam;
            it.stage == Stage::Held && !blocked && it.told.held_kb * (factor - 1.0) <= free
        };
        self.best(fits, |it| self.density(it))
    }

    /// Cores that reading and the like leave to runs. Past their number all slow each other down, so this
    /// counts in what costs much to read, or floods of checks and connections; half stay for runs anyway.
    fn for_runs(&self) -> f64 {
        (self.cores() - mean(&self.others)).max(0.5 * self.cores())
    }

    fn begin(&mut self, inv: usize) {
        self.progress = if self.on_cores() == 0 { self.now } else { self.progress };
        let (now, it) = (self.now, &mut self.invs[inv]);
        (it.stage, it.began, it.since, it.ran) = (Stage::Running, now, now, true);
        self.out.started.push(inv);
    }

    /// Billed value by second of core. A marked further try has spent an unknown part of its objective
    /// elsewhere, so that its answer is likelier to come too late: half. Guards against storms of retries
    /// that take the cores from first tries; harm: one that was only turned away at once waits longer.
    fn density(&self, it: &Inv) -> f64 {
        let op = &self.ops[it.told.operation];
        let again = if it.told.again { 0.5 } else { 1.0 }; // 0.2 tried: no better
        let share = again * if it.over_share { self.num("OverShareWorth", 1.0) } else { 1.0 };
        let work = if self.text("CountedBy") == "work" { 1.0 } else { self.core_time(it).max(1e-3) };
        op.value * share / work
    }

    /// Expected run time of an operation for each unit of cost, by its last runs. Those that now last twice
    /// as long count too, so that sudden slowness (a cold start, a slow machine, a hang) shows before the
    /// first of them ends; harm: one long run by chance makes the next look long.
    fn rate(&self, op: usize) -> f64 {
        let mut took = self.ops[op].runs.iter().sum::<f64>();
        let mut cost = self.ops[op].costs.iter().sum::<f64>().max(1e-9);
        let twice = 2.0 * took / cost;
        for one in self.all(|one| one.stage == Stage::Running && one.told.operation == op) {
            let (lasts, of) = (self.now - one.began - one.away, one.told.cost.unwrap_or(1.0));
            if lasts > twice * of {
                (took, cost) = (took + lasts, cost + of);
            }
        }
        took / cost
    }

    fn core_time(&self, it: &Inv) -> f64 {
        self.rates[it.told.operation] * it.told.cost.unwrap_or(1.0)
    }

    fn whole_time(&self, it: &Inv) -> f64 {
        self.core_time(it) + mean(&self.ops[it.told.operation].below)
    }

    /// Whether this arrival is over its customer's share, as seen by one of the backends: by chance, in
    /// proportion to what is over, once the rate here times the backends is clearly above the share.
    fn beyond_share(&mut self, customer: usize) -> bool {
        let quota = self.num(&format!("Tenants.{customer}.QuotaPerS"), 0.0);
        if quota <= 0.0 || customer >= self.num("Tenants.count", 0.0) as usize {
            return false;
        }
        let (now, servers) = (self.now, self.num("Servers", 1.0));
        let times = self.arrivals.entry(customer).or_default();
        sample(times, now);
        let rate = servers * times.len() as f64 / (now - times[0]).max(0.5);
        // 24 arrivals stray by a fifth of their number.
        rate > 1.2 * quota && self.chance() < 1.0 - quota / rate
    }

    const BREAK_AT: u32 = 5; // failures in a row: chance ones hardly make five

    fn leave_call(&mut self, inv: usize, outcome: Outcome) {
        let (now, stays) = (self.now, self.secs("FamilyInfo.StaysForUs", 0.0));
        let it = self.inv_mut(inv);
        let (stage, since) = (it.stage, it.since);
        if matches!(stage, Stage::AtCall | Stage::Calling) {
            (it.away, it.since) = (it.away + now - since, now);
        }
        if stage == Stage::Calling {
            let lingers = !outcome.succeeded && !outcome.never_ran;
            self.calls.push_back((since, if lingers { now + stays } else { now }));
            if outcome.succeeded {
                self.call_failures = 0;
                self.call_measured(now - since);
            } else if !outcome.stopped {
                self.call_failures += 1;
                self.call_failed_at = now;
            }
        }
    }

    /// The Vegas update for calls: what lies below slows well before its told share is full, and whatever
    /// crowds it (other backends too) shows in the mean of the last calls against the lowest such mean.
    /// Guards against a slow, crowded or shrunken dependency; harm: holds calls back for a time after it
    /// has turned slower for good, until the lowest is taken anew.
    fn call_measured(&mut self, took: f64) {
        // Single call times scatter about as much as their mean, the mean of 24 by a fifth: a third more
        // than the lowest may be chance, twice as much is not.
        const ALPHA: f64 = 0.25;
        const BETA: f64 = 0.5;
        sample(&mut self.call_times, took);
        if self.call_times.len() < 12 {
            return;
        }
        let recent = mean(&self.call_times);
        self.call_probe = self.call_probe.saturating_sub(1);
        if self.call_probe == 0 {
            (self.call_lowest, self.call_probe) = (recent, 400); // half a minute or so, untried
        }
        self.call_lowest = self.call_lowest.min(recent);
        let queued = 1.0 - self.call_lowest / recent;
        let step = f64::from(u8::from(queued < ALPHA)) - f64::from(u8::from(queued > BETA));
        let most = self.num("FamilyInfo.CallShare", f64::INFINITY) * 0.8;
        self.call_limit = (self.call_limit + 0.1 * step).min(most).max(1.0);
    }

    /// Time that calls may still take below in this window: the told share less what they have taken,
    /// abandoned ones with their stay, less a part for what others' cold starts add.
    fn room_below(&self) -> f64 {
        let share = self.num("FamilyInfo.CallShare", f64::INFINITY) * 0.8; // 0.5 tried: too few calls
        let window = self.secs("FamilyInfo.DepWindowUs", 5.0);
        let from = self.now - window;
        let past: f64 = self.calls.iter().map(|&(a, b)| (b - a.max(from)).max(0.0)).sum();
        let open: Vec<f64> =
            self.all(|it| it.stage == Stage::Calling).map(|it| self.now - it.since.max(from)).collect();
        let lingering = self.calls.iter().filter(|&&(_, end)| end > self.now).count();
        let full = (open.len() + lingering) as f64 >= self.call_limit.round().min(share.floor()).max(1.0);
        let stays = self.secs("FamilyInfo.StaysForUs", 0.0);
        if full { 0.0 } else { (share * window - past - open.iter().sum::<f64>() - stays).max(0.0) }
    }

    /// The breaker: after failures in a row one trial at a time, a pause after each failed one.
    fn breaker_holds(&self) -> bool {
        let trial = self.count(|it| it.stage == Stage::Calling) > 0;
        self.call_failures >= Self::BREAK_AT && (trial || self.now < self.call_failed_at + 0.5) // untried
    }

    fn may_call(&self, it: &Inv) -> bool {
        let once = self.ops[it.told.operation].kind != Kind::Idempotent && it.unsure;
        it.calls < 3 && !once
    }

    fn call_is_lost(&self) -> Option<usize> {
        self.first(|it| {
            let op = &self.ops[it.told.operation];
            let past = self.now > it.by && op.late_value == 0.0;
            it.stage == Stage::AtCall && !it.answered && (past || op.skip_value == 0.0 && !self.may_call(it))
        })
    }

    fn call_to_skip(&self) -> Option<usize> {
        self.first(|it| {
            let op = &self.ops[it.told.operation];
            let late = self.now + mean(&op.below) + 0.5 * self.core_time(it) > it.by;
            let dearer = |one: &Inv| one.stage == Stage::AtCall && self.stake(one) > self.stake(it);
            let short = || self.room_below() == 0.0 && self.first(dearer).is_some();
            let skip = || !self.may_call(it) || self.breaker_holds() || late || short();
            it.stage == Stage::AtCall && !it.answered && op.skip_value > 0.0 && skip()
        })
    }

    fn degrade(&mut self, inv: usize) {
        self.leave_call(inv, Outcome { succeeded: true, ..Outcome::default() });
        self.inv_mut(inv).stage = Stage::Running;
        self.out.degraded.push(inv);
    }

    /// Billed value that is lost with the call.
    fn stake(&self, it: &Inv) -> f64 {
        let op = &self.ops[it.told.operation];
        self.density(it) * (1.0 - op.skip_value)
    }

    fn call_to_make(&self) -> Option<usize> {
        let waiting = |it: &Inv| it.stage == Stage::AtCall && !it.answered && self.may_call(it);
        let best = self.best(waiting, |it| self.stake(it))?;
        (self.room_below() > 0.0 && !self.breaker_holds()).then_some(best)
    }

    fn call(&mut self, inv: usize) {
        let (now, it) = (self.now, self.inv(inv));
        let op = &self.ops[it.told.operation];
        let until = if op.late_value > 0.0 && op.skip_value == 0.0 { self.due(it) } else { it.by };
        let part = if op.skip_value > 0.0 { 0.7 } else { 1.0 }; // in time to earn what skipping earns
        let patience = ((until - now) * part).min(self.room_below()).max(0.02);
        let it = self.inv_mut(inv);
        it.away += now - it.since;
        (it.stage, it.since, it.calls) = (Stage::Calling, now, it.calls + 1);
        self.out.called.push((inv, patience));
    }

    fn word_is_old(&self) -> Option<usize> {
        let due = self.now >= self.level_at + 0.25; // a quarter of how long callers keep a value
        (due || self.told.is_none_or(|(good, _)| good == (self.leave_at.is_some() || self.hangs())))
            .then_some(0)
    }

    fn tell(&mut self, _: usize) {
        // Rises fast while more than one in ten is turned away, and sinks slowly back.
        let turned = self.turned.iter().filter(|&&turned| turned).count();
        let more = turned * 10 > self.turned.len() && self.load() > Self::CUT_FROM;
        self.level = (self.level + if more { 0.05 } else { -0.025 }).clamp(0.0, 0.7);
        self.turned.clear();
        self.level_at = self.now;
        let good = self.leave_at.is_none() && !self.hangs();
        let level = if good { self.level } else { 1.0 };
        let each = 2.0 * self.limit / self.num("FamilyInfo.ClientsTotal", 1.0).max(1.0);
        let value = match self.text("FamilyInfo.Say") {
            "floor" => Some(level.min(0.999)),
            "weight" => Some(1.0 - level),
            "allowance" => Some(each * (1.0 - level)),
            _ => None,
        };
        self.out.health = Some(good).filter(|_| self.told.is_none_or(|(was, _)| was != good));
        self.out.level = value.filter(|_| self.told.is_none_or(|(_, was)| was != value));
        self.told = Some((good, value));
    }

    fn settle(&mut self) -> Decided {
        self.rates = (0..self.ops.len()).map(|op| self.rate(op)).collect();
        while let Some((inv, effect)) =
            RULES.iter().find_map(|(_, when, then)| when(self).map(|inv| (inv, then)))
        {
            effect(self, inv);
        }
        std::mem::take(&mut self.out)
    }

    fn at(&mut self, now: f64) {
        if now > self.now {
            self.unrun.clear();
        }
        self.now = now;
        self.entries.retain(|&(end, _)| end > now);
        let from = now - self.secs("FamilyInfo.DepWindowUs", 5.0);
        self.calls.retain(|&(_, end)| end > from);
    }

    fn drop_waiting(&mut self, inv: usize) {
        if matches!(self.inv(inv).stage, Stage::Read | Stage::Held | Stage::Joined) {
            self.release(inv);
        }
    }

    /// What leaves unrun leaves the table too, so that a later try of it starts afresh.
    fn release(&mut self, inv: usize) {
        if self.inv(inv).entry && !self.inv(inv).ran {
            self.out.forgotten.push(inv);
            self.entries.retain(|&(_, holder)| holder != inv);
        }
        self.live.retain(|&one| one != inv);
        self.out.released.push(inv);
    }

    fn lives(&self, inv: usize) -> bool {
        self.live.contains(&inv)
    }

    fn inv(&self, inv: usize) -> &Inv {
        &self.invs[inv]
    }

    fn inv_mut(&mut self, inv: usize) -> &mut Inv {
        &mut self.invs[inv]
    }

    fn first(&self, when: impl Fn(&Inv) -> bool) -> Option<usize> {
        self.live.iter().copied().find(|&inv| when(self.inv(inv)))
    }

    /// The one of most worth, of these the one whose objective comes first.
    fn best(&self, when: impl Fn(&Inv) -> bool, worth: impl Fn(&Inv) -> f64) -> Option<usize> {
        let all = self.live.iter().copied().filter(|&inv| when(self.inv(inv)));
        all.max_by(|&a, &b| {
            let (a, b) = (self.inv(a), self.inv(b));
            worth(a).total_cmp(&worth(b)).then(b.by.total_cmp(&a.by))
        })
    }

    fn all(&self, when: impl Fn(&Inv) -> bool) -> impl Iterator<Item = &Inv> {
        self.live.iter().map(|&inv| self.inv(inv)).filter(move |it| when(it))
    }

    fn count(&self, when: impl Fn(&Inv) -> bool) -> usize {
        self.all(when).count()
    }

    fn newly_read(&self) -> Option<usize> {
        self.first(|it| it.stage == Stage::Read)
    }

    fn on_cores(&self) -> usize {
        self.count(|it| it.stage == Stage::Running)
    }

    /// What counts against the limit: all but joined repeats and those at a call.
    fn in_hand(&self) -> usize {
        self.count(|it| matches!(it.stage, Stage::Read | Stage::Held | Stage::Running))
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
        self.settings.get(name).and_then(|text| text.parse().ok()).unwrap_or(absent)
    }

    fn secs(&self, name: &str, absent: f64) -> f64 {
        self.settings.get(name).and_then(|text| text.parse().ok()).map_or(absent, |us: f64| us / 1e6)
    }
}
