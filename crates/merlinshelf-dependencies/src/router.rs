//! Calls below from their question to their end: which dependency, which server, how long, whether again or beside itself, and
//! what instead. It is fed what happens with the time at which it happened, and says the steps that a host carries out.

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_quota::Remaining;

use crate::attempts::{AttemptOutcome, Effect, RetryBudget};
use crate::budget::allowance;
use crate::config::{Call, Dependencies, Dependency, Fallback};
use crate::counts::Counts;
use crate::fallback::{CallResult, DegradedResult, instead};
use crate::limits::{ConcurrencyLimit, WaitQueue};
use crate::servers::{Outcome, Pool, Server};
use crate::subset::subset;

/// One call that a run wants.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    pub operation: &'a str,
    /// Which call of its run it is, from 0.
    pub place: usize,
    /// The dependency by name, where the run names one.
    pub named: Option<&'a str>,
    /// Seconds that it may take at the most, as the decision module says.
    pub wait: f64,
    /// Seconds that its caller still waits; none where nobody has told.
    pub left: Option<f64>,
    pub effect: Effect,
    /// What is asked, so that the same question is known again.
    pub question: &'a [u8],
}

/// How a call has ended, for the run that wants it.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The reply of the attempt that was reported last. `missing` names the dependency for which another one stood in.
    Reply { missing: Option<String> },
    /// A lesser answer: these bytes, or nothing in its place.
    Degraded {
        bytes: Option<Vec<u8>>,
        missing: String,
    },
    /// It may have had its effect.
    Failed,
    /// Nothing of it was ever run.
    NeverRan,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// CallRequest this server, telling it that so many seconds are waited; reported by `ended`.
    Attempt {
        ticket: u64,
        attempt: u64,
        server: String,
        wait: f64,
    },
    /// Nobody waits for that attempt any more.
    GiveUp { attempt: u64 },
    /// The call is over.
    Over { ticket: u64, end: End },
}

#[derive(Clone, Debug)]
struct Open {
    attempt: u64,
    server: String,
    at: f64,
    /// It was made beside another one.
    beside: bool,
}

#[derive(Clone, Debug)]
struct Ticket {
    group: usize,
    dependency: String,
    spec: Call,
    /// The dependency that the run wanted, where another one stands in.
    wanted: Option<String>,
    deadline: f64,
    effect: Effect,
    question: Vec<u8>,
    open: Vec<Open>,
    tried: Vec<String>,
    hedge_at: Option<f64>,
    waits: bool,
    /// An attempt may have taken effect.
    unsure: bool,
}

/// What is known and going on at one dependency.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    wanted: Dependency,
    pub(crate) pool: Pool,
    pub(crate) attempts: RetryBudget,
    pub(crate) limit: ConcurrencyLimit,
    /// By server: one that bears less than its share gets less, whatever the whole bears.
    pub(crate) limits: BTreeMap<String, ConcurrencyLimit>,
    pub(crate) waiting: WaitQueue,
    /// RetryBudget that are open now, of all operations.
    pub(crate) open: usize,
    /// While the whole of it fails, no trial before this.
    trial_at: f64,
    /// The last durations that went well, and the least ever.
    took: VecDeque<f64>,
    lowest: f64,
    pub(crate) counts: Counts,
    /// What a fleet's budgets leave of calls to it.
    left: Remaining,
}

/// Limits begin where a small pool of servers is surely not hurt, and end at what no instance has open.
const LIMIT_FIRST: f64 = 32.0;
const LIMIT_MOST: f64 = 4096.0;
/// Durations by which is reckoned what a call is going to take.
const TOOK: usize = 24;
/// Before anything was measured: a call on one network.
const UNMEASURED: f64 = 0.01;
/// Of what the module allows this much: its own time-out leaves no time for a lesser answer.
const WITHIN: f64 = 0.95;
/// Where there is a lesser answer, a call is given up that takes so many times as long as the slowest of the last ones: it is likelier
/// never to come, and its run's objective passes meanwhile. A trial of a dependency that fails has all of its time.
const LONGER: f64 = 10.0;
/// Good replies that are kept for questions that can't be asked, of all dependencies.
const KEPT_MOST: usize = 512;
/// While the whole of a dependency fails, so many calls are at it at one time: trials, by which its recovery is found.
const TRIALS: usize = 1;
/// From a trial that fails to the next one: those that fail at once would follow each other as fast as calls come. Ten a second find a
/// recovery within about one, and one that goes well is followed at once.
const TRIAL_PAUSE: f64 = 0.1;

/// What came of looking for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    Made,
    /// There are some, and each has as many calls as it bears.
    Full,
    Nobody,
}

/// All dependencies, as one instance sees them.
#[derive(Clone, Debug)]
pub struct Router {
    wanted: Dependencies,
    instance: u64,
    pub(crate) places: BTreeMap<String, Place>,
    groups: BTreeMap<String, usize>,
    tickets: BTreeMap<u64, Ticket>,
    by_attempt: BTreeMap<u64, u64>,
    kept: BTreeMap<(String, Vec<u8>), (Vec<u8>, f64)>,
    next: u64,
    steps: VecDeque<Action>,
}

fn number_of(name: &str) -> u64 {
    // FNV-1a: the same in every process and version, as ranks must be.
    name.bytes().fold(0xCBF2_9CE4_8422_2325, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3)
    })
}

impl Router {
    /// `wanted` must hold together (`Dependencies::check`); `instance` is this one's name.
    pub fn new(now: f64, wanted: Dependencies, instance: &str) -> Router {
        let mut router = Router {
            wanted: Dependencies::default(),
            instance: number_of(instance),
            places: BTreeMap::new(),
            groups: BTreeMap::new(),
            tickets: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            kept: BTreeMap::new(),
            next: 1,
            steps: VecDeque::new(),
        };
        router.replace(now, wanted);
        router
    }

    /// Other lists and settings. What is known of those that stay is kept; calls that are open end where they are.
    pub fn replace(&mut self, now: f64, wanted: Dependencies) {
        for (name, of) in &wanted.dependencies {
            let numbers: Vec<u64> = of
                .servers
                .iter()
                .map(|server| number_of(&server.address))
                .collect();
            let mut chosen = subset(self.instance, &numbers, of.subset.unwrap_or(numbers.len()));
            chosen.sort_unstable();
            let of_server = |place: usize| {
                let server = &of.servers[place];
                (server.address.clone(), server.zone.clone(), server.weight)
            };
            let list: Vec<(String, String, f64)> = chosen.into_iter().map(of_server).collect();
            match self.places.get_mut(name) {
                Some(place) => {
                    place.pool.replace(now, &list);
                    place
                        .limits
                        .retain(|name, _| list.iter().any(|(known, ..)| known == name));
                    place.wanted = of.clone();
                }
                None => {
                    let place = Place {
                        wanted: of.clone(),
                        pool: Pool::new(now, &list, &wanted.zone, of.out_most),
                        attempts: RetryBudget::default(),
                        limit: ConcurrencyLimit::new(LIMIT_FIRST, LIMIT_MOST),
                        limits: BTreeMap::new(),
                        waiting: WaitQueue::default(),
                        open: 0,
                        trial_at: now,
                        took: VecDeque::new(),
                        lowest: 0.0,
                        counts: Counts::default(),
                        left: Remaining::ALL,
                    };
                    self.places.insert(name.clone(), place);
                }
            }
        }
        self.places
            .retain(|name, place| wanted.dependencies.contains_key(name) || place.open > 0);
        for name in wanted.operations.keys() {
            let next = self.groups.len();
            self.groups.entry(name.clone()).or_insert(next);
        }
        self.wanted = wanted;
    }

    /// What a fleet's budgets leave of calls to a dependency from here on, and how it fares for all; says what of the last was left
    /// over, and whether it fails here.
    pub fn spend(&mut self, name: &str, left: Remaining) -> Option<(Remaining, bool)> {
        let place = self.places.get_mut(name)?;
        let fails = place.attempts.fails();
        if left.reopened {
            place.attempts.forget_failures();
        }
        Some((std::mem::replace(&mut place.left, left), fails))
    }

    pub fn next_step(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    /// When it wants to be woken though nothing happens.
    pub fn wake_at(&self) -> Option<f64> {
        let of = |ticket: &Ticket| {
            ticket
                .hedge_at
                .map_or(ticket.deadline, |at| at.min(ticket.deadline))
        };
        self.tickets.values().map(of).min_by(f64::total_cmp)
    }

    /// What the operators say of that call; none where they say nothing of it, so that it goes where all calls went before.
    fn spec(&self, operation: &str, place: usize, named: Option<&str>) -> Option<&Call> {
        let of = self.wanted.operations.get(operation)?;
        match named {
            Some(name) => of.calls.iter().find(|call| call.to == name),
            None => of.calls.get(place),
        }
    }

    /// The dependency that such a call goes to.
    pub fn dependency(&self, operation: &str, place: usize, named: Option<&str>) -> Option<&str> {
        self.spec(operation, place, named)
            .map(|call| call.to.as_str())
    }

    /// The dependency that an open attempt is at.
    pub fn at(&self, attempt: u64) -> Option<&str> {
        self.tickets
            .get(self.by_attempt.get(&attempt)?)
            .map(|ticket| ticket.dependency.as_str())
    }

    /// Whether that call is this one's to make.
    pub fn knows(&self, operation: &str, place: usize, named: Option<&str>) -> bool {
        self.spec(operation, place, named).is_some()
    }

    /// A run wants a call that it `knows`. Its ticket.
    pub fn ask(&mut self, now: f64, ask: &CallRequest, chance: &mut dyn FnMut() -> f64) -> u64 {
        let number = self.next;
        self.next += 1;
        let Some(spec) = self.spec(ask.operation, ask.place, ask.named).cloned() else {
            self.steps.push_back(Action::Over {
                ticket: number,
                end: End::NeverRan,
            });
            return number;
        };
        let allowed = self.allowed(ask, &spec);
        let ticket = Ticket {
            group: self.groups.get(ask.operation).copied().unwrap_or(0),
            dependency: spec.to.clone(),
            spec,
            wanted: None,
            deadline: now + allowed.unwrap_or(0.0),
            effect: ask.effect,
            question: ask.question.to_vec(),
            open: Vec::new(),
            tried: Vec::new(),
            hedge_at: None,
            waits: false,
            unsure: false,
        };
        self.tickets.insert(number, ticket);
        match allowed {
            Some(_) => self.begin(now, number, chance),
            None => self.instead(now, number, chance, true),
        }
        number
    }

    /// Seconds that a call may take: its part of what is left, and no longer than the module says.
    fn allowed(&self, ask: &CallRequest, spec: &Call) -> Option<f64> {
        let left = ask.left.unwrap_or(ask.wait);
        let usual = |call: &Call| {
            self.places
                .get(&call.to)
                .and_then(Place::usual)
                .unwrap_or(UNMEASURED)
        };
        let share = match spec.share {
            Some(share) => (left > 0.0).then_some(left * share),
            None => {
                let calls = self
                    .wanted
                    .operations
                    .get(ask.operation)
                    .map(|of| of.calls.as_slice());
                let later = calls.unwrap_or_default().iter().skip(ask.place + 1);
                let parts: Vec<f64> = std::iter::once(spec).chain(later).map(usual).collect();
                let lowest = self.places.get(&spec.to).map_or(0.0, |place| place.lowest);
                allowance(left, &parts, lowest)
            }
        };
        let place = self
            .places
            .get(&spec.to)
            .filter(|place| !place.attempts.fails());
        let slowest = place
            .map(|place| place.took.iter().copied().fold(0.0, f64::max))
            .unwrap_or(0.0);
        let has_lesser = !spec.needed || spec.instead != Fallback::Nothing;
        let patience = if has_lesser && slowest > 0.0 {
            LONGER * slowest
        } else {
            f64::INFINITY
        };
        share
            .map(|share| share.min(ask.wait * WITHIN).min(patience))
            .filter(|share| *share > 0.0)
    }

    /// The call's first attempt at the dependency that it is at, or a place among those that wait.
    fn begin(&mut self, now: f64, number: u64, chance: &mut dyn FnMut() -> f64) {
        let Some(ticket) = self.tickets.get_mut(&number) else {
            return;
        };
        let Some(place) = self.places.get_mut(&ticket.dependency) else {
            return self.instead(now, number, chance, true);
        };
        place.counts.calls += 1;
        if place.fails() {
            if place.open >= TRIALS || now < place.trial_at || place.left.probes == 0 {
                return self.instead(now, number, chance, true);
            }
            place.trial_at = now + TRIAL_PAUSE;
        } else if place.left.first_calls == 0 {
            return self.instead(now, number, chance, true);
        } else if !place.limit.has_room(place.open) {
            // Time for the call itself must be left once its turn comes.
            let until = ticket.deadline - place.lowest;
            ticket.waits = true;
            place.waiting.wait(ticket.group, number, until);
            return;
        }
        place.waiting.began(ticket.group);
        match self.attempt(now, number, false, chance) {
            Tried::Made => {}
            Tried::Full => self.wait_again(number),
            Tried::Nobody => {
                self.leave_room(now, number, chance);
                self.instead(now, number, chance, true);
            }
        }
    }

    /// Its turn had come, and all servers are full: it waits for the next one.
    fn wait_again(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get_mut(&number) else {
            return;
        };
        if let Some(place) = self.places.get_mut(&ticket.dependency) {
            ticket.waits = true;
            place.waiting.ended(ticket.group);
            place
                .waiting
                .wait(ticket.group, number, ticket.deadline - place.lowest);
        }
    }

    /// One attempt at a server that was not tried yet and has room.
    fn attempt(
        &mut self,
        now: f64,
        number: u64,
        beside: bool,
        chance: &mut dyn FnMut() -> f64,
    ) -> Tried {
        let Some(ticket) = self.tickets.get_mut(&number) else {
            return Tried::Nobody;
        };
        let Some(place) = self.places.get_mut(&ticket.dependency) else {
            return Tried::Nobody;
        };
        let mut but: Vec<usize> = ticket
            .tried
            .iter()
            .filter_map(|name| place.pool.place(name))
            .collect();
        let tried = but.len();
        let limits = &place.limits;
        let full = |server: &Server| {
            limits
                .get(&server.name)
                .is_some_and(|limit| !limit.has_room(server.open as usize))
        };
        let servers = place.pool.servers().iter().enumerate();
        but.extend(
            servers
                .filter(|(_, server)| server.open > 0 && full(server))
                .map(|(at, _)| at),
        );
        let Some(chosen) = place.pool.pick(now, &but, chance) else {
            return if but.len() > tried {
                Tried::Full
            } else {
                Tried::Nobody
            };
        };
        let server = place.pool.servers()[chosen].name.clone();
        let attempt = self.next;
        self.next += 1;
        place.open += 1;
        place.counts.attempts += 1;
        let further = beside || !ticket.tried.is_empty();
        let left = &mut place.left;
        let of = match (place.attempts.fails() || left.probes_only, further) {
            (true, _) => &mut left.probes,
            (false, true) => &mut left.retries,
            (false, false) => &mut left.first_calls,
        };
        *of = of.saturating_sub(1);
        if !beside {
            ticket.hedge_at = place
                .attempts
                .hedge_after(ticket.effect)
                .map(|after| now + after);
        }
        ticket.open.push(Open {
            attempt,
            server: server.clone(),
            at: now,
            beside,
        });
        ticket.tried.push(server.clone());
        self.by_attempt.insert(attempt, number);
        let wait = (ticket.deadline - now).max(0.001);
        self.steps.push_back(Action::Attempt {
            ticket: number,
            attempt,
            server,
            wait,
        });
        Tried::Made
    }

    /// An attempt has ended; with its reply where it went well. Late words of what was given up count for nothing.
    pub fn ended(
        &mut self,
        now: f64,
        attempt: u64,
        ended: AttemptOutcome,
        reply: &[u8],
        chance: &mut dyn FnMut() -> f64,
    ) {
        let Some(number) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let well = ended == AttemptOutcome::Succeeded;
        let outcome = if well {
            Outcome::Succeeded
        } else {
            Outcome::Failed
        };
        let Some(one) = self.close(now, number, attempt, outcome, ended) else {
            return;
        };
        let Some(ticket) = self.tickets.get_mut(&number) else {
            return;
        };
        ticket.unsure |= ended == AttemptOutcome::Unknown;
        let place = self.places.get_mut(&ticket.dependency);
        if well {
            if let Some(place) = place {
                place.counts.succeeded += 1;
                place.counts.hedges_won += u64::from(one.beside);
                place.counts.hedges_lost += u64::from(!one.beside && !ticket.open.is_empty());
            }
            if matches!(ticket.spec.instead, Fallback::Kept { .. }) && ticket.wanted.is_none() {
                let key = (ticket.spec.to.clone(), ticket.question.clone());
                self.kept.insert(key, (reply.to_vec(), now));
                if self.kept.len() > KEPT_MOST {
                    let oldest = self.kept.iter().min_by(|a, b| a.1.1.total_cmp(&b.1.1));
                    if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                        self.kept.remove(&key);
                    }
                }
            }
            let missing = ticket.wanted.clone();
            return self.over(now, number, End::Reply { missing }, chance);
        }
        if !ticket.open.is_empty() {
            return; // the other one may still come
        }
        let in_time = place
            .as_ref()
            .is_some_and(|place| now + place.usual().unwrap_or(0.0) < ticket.deadline);
        let pays =
            |place: &mut Place| place.has_again() && place.attempts.again(ticket.effect, ended);
        let again = in_time && place.is_some_and(pays);
        if again && self.attempt(now, number, false, chance) == Tried::Made {
            let of = self
                .tickets
                .get(&number)
                .map(|ticket| ticket.dependency.clone());
            if let Some(place) = of.and_then(|of| self.places.get_mut(&of)) {
                place.counts.again += 1;
            }
            return;
        }
        self.leave_room(now, number, chance);
        self.instead(now, number, chance, false);
    }

    /// An attempt is open no longer.
    fn close(
        &mut self,
        now: f64,
        number: u64,
        attempt: u64,
        outcome: Outcome,
        ended: AttemptOutcome,
    ) -> Option<Open> {
        self.by_attempt.remove(&attempt);
        let ticket = self.tickets.get_mut(&number)?;
        let at = ticket.open.iter().position(|one| one.attempt == attempt)?;
        let one = ticket.open.swap_remove(at);
        let took = (now - one.at).max(0.0);
        if let Some(place) = self.places.get_mut(&ticket.dependency) {
            place.open = place.open.saturating_sub(1);
            if let Some(server) = place.pool.place(&one.server) {
                place.pool.ended(now, server, outcome, took);
            }
            if outcome != Outcome::GivenUp {
                place.attempts.ended(ended, took);
            }
            if ended == AttemptOutcome::Succeeded {
                place.trial_at = now;
                place.limit.ended(took, place.open);
                let open = place
                    .pool
                    .place(&one.server)
                    .map_or(0, |at| place.pool.servers()[at].open);
                let limit = place.limits.entry(one.server.clone());
                limit
                    .or_insert_with(|| ConcurrencyLimit::new(LIMIT_FIRST, LIMIT_MOST))
                    .ended(took, open as usize);
                if place.took.len() == TOOK {
                    place.took.pop_front();
                }
                place.took.push_back(took);
                place.lowest = place.took.iter().copied().fold(f64::INFINITY, f64::min);
            }
        }
        Some(one)
    }

    /// It counts no longer among its operation's calls there.
    fn free(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get(&number) else {
            return;
        };
        if let Some(place) = self.places.get_mut(&ticket.dependency) {
            place.waiting.ended(ticket.group);
        }
    }

    /// The call has left its dependency: whoever waits there may be next.
    fn leave_room(&mut self, now: f64, number: u64, chance: &mut dyn FnMut() -> f64) {
        let Some(ticket) = self.tickets.get(&number) else {
            return;
        };
        let dependency = ticket.dependency.clone();
        self.free(number);
        loop {
            let Some(place) = self.places.get_mut(&dependency) else {
                return;
            };
            // Where the whole of it fails nobody is kept waiting for a turn that does not come.
            let fails = place.fails() || place.left.first_calls == 0;
            if !fails && !place.limit.has_room(place.open) {
                return;
            }
            let Some((_, next)) = place.waiting.take() else {
                return;
            };
            if let Some(ticket) = self.tickets.get_mut(&next) {
                ticket.waits = false;
                if fails {
                    self.free(next);
                    self.instead(now, next, chance, true);
                    continue;
                }
                match self.attempt(now, next, false, chance) {
                    Tried::Made => {}
                    Tried::Full => return self.wait_again(next),
                    Tried::Nobody => {
                        self.free(next);
                        self.instead(now, next, chance, true);
                    }
                }
            }
        }
    }

    /// It can't be had here: another dependency, a lesser answer, or its end. `unmade`: nothing was sent this time.
    fn instead(&mut self, now: f64, number: u64, chance: &mut dyn FnMut() -> f64, unmade: bool) {
        let Some(ticket) = self.tickets.get_mut(&number) else {
            return;
        };
        let mut other = None;
        if let Some(place) = self.places.get_mut(&ticket.dependency) {
            place.counts.not_made += u64::from(unmade);
            other = place.wanted.instead.clone();
        }
        // What may have had its effect is not done elsewhere, and what has no time left is not begun.
        let harmless = !ticket.unsure || ticket.effect == Effect::Idempotent;
        if let Some(other) = other.filter(|_| harmless && now < ticket.deadline) {
            ticket.wanted.get_or_insert_with(|| ticket.spec.to.clone());
            ticket.dependency = other;
            ticket.tried.clear();
            ticket.hedge_at = None;
            return self.begin(now, number, chance);
        }
        let lesser = match &ticket.spec.instead {
            _ if ticket.spec.needed && ticket.spec.instead == Fallback::Nothing => {
                DegradedResult::Needed
            }
            Fallback::Nothing => DegradedResult::Nothing,
            Fallback::Fixed(text) => DegradedResult::Fixed(text.clone().into_bytes()),
            Fallback::Kept { within_s } => DegradedResult::Kept { within: *within_s },
        };
        let key = (ticket.spec.to.clone(), ticket.question.clone());
        let kept = self
            .kept
            .get(&key)
            .map(|(bytes, at)| (bytes.as_slice(), now - at));
        let end = match instead(&lesser, kept) {
            CallResult::Degraded(bytes) => End::Degraded {
                bytes,
                missing: ticket.spec.to.clone(),
            },
            // Nothing is kept: what is not needed is left out.
            _ if !ticket.spec.needed => End::Degraded {
                bytes: None,
                missing: ticket.spec.to.clone(),
            },
            _ if ticket.unsure => End::Failed,
            _ => End::NeverRan,
        };
        if matches!(end, End::Degraded { .. })
            && let Some(place) = self.places.get_mut(&ticket.spec.to)
        {
            place.counts.lesser += 1;
        }
        self.tickets.remove(&number);
        self.steps.push_back(Action::Over {
            ticket: number,
            end,
        });
    }

    /// It is over: what is still open of it is given up.
    fn over(&mut self, now: f64, number: u64, end: End, chance: &mut dyn FnMut() -> f64) {
        self.give_up_attempts(now, number, Outcome::GivenUp);
        self.leave_room(now, number, chance);
        self.tickets.remove(&number);
        self.steps.push_back(Action::Over {
            ticket: number,
            end,
        });
    }

    fn give_up_attempts(&mut self, now: f64, number: u64, outcome: Outcome) {
        let open = self
            .tickets
            .get(&number)
            .map(|ticket| ticket.open.clone())
            .unwrap_or_default();
        for Open { attempt, .. } in open {
            self.close(now, number, attempt, outcome, AttemptOutcome::Unknown);
            self.steps.push_back(Action::GiveUp { attempt });
        }
    }

    /// Nobody waits for the call any more; nothing further is said of it but which attempts are given up.
    pub fn give_up(&mut self, now: f64, number: u64, chance: &mut dyn FnMut() -> f64) {
        let Some(ticket) = self.tickets.get(&number) else {
            return;
        };
        if ticket.waits {
            if let Some(place) = self.places.get_mut(&ticket.dependency) {
                place.waiting.forget(number);
            }
            self.tickets.remove(&number);
            return;
        }
        self.give_up_attempts(now, number, Outcome::GivenUp);
        self.leave_room(now, number, chance);
        self.tickets.remove(&number);
    }

    /// A moment that it asked for has come.
    pub fn woken(&mut self, now: f64, chance: &mut dyn FnMut() -> f64) {
        let due: Vec<u64> = self
            .tickets
            .iter()
            .filter(|(_, one)| now >= one.deadline || one.hedge_at.is_some_and(|at| now >= at))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let Some(ticket) = self.tickets.get_mut(&number) else {
                continue;
            };
            if now >= ticket.deadline {
                let (waited, dependency) = (ticket.waits, ticket.dependency.clone());
                if let Some(place) = self.places.get_mut(&dependency) {
                    place.counts.out_of_time += 1;
                    place.waiting.forget(number);
                }
                ticket.unsure |= !ticket.open.is_empty();
                self.give_up_attempts(now, number, Outcome::TimedOut);
                if !waited {
                    self.leave_room(now, number, chance);
                }
                self.instead(now, number, chance, waited);
                continue;
            }
            ticket.hedge_at = None;
            let (effect, dependency) = (ticket.effect, ticket.dependency.clone());
            let place = self.places.get_mut(&dependency);
            // Beside a call that is the last one with room no second one is made.
            let may = place.is_some_and(|place| {
                place.limit.has_room(place.open)
                    && place.has_again()
                    && place.attempts.hedge(effect)
            });
            if may
                && self.attempt(now, number, true, chance) == Tried::Made
                && let Some(place) = self.places.get_mut(&dependency)
            {
                place.counts.hedges += 1;
            }
        }
    }

    /// Everything stops where it stands, to be carried on elsewhere: nothing is open here any more, what is known stays.
    pub fn forget_open(&mut self) {
        let numbers: Vec<u64> = self.tickets.keys().copied().collect();
        for number in numbers {
            let Some(ticket) = self.tickets.remove(&number) else {
                continue;
            };
            let Some(place) = self.places.get_mut(&ticket.dependency) else {
                continue;
            };
            place.waiting.forget(number);
            if !ticket.waits {
                place.waiting.ended(ticket.group);
            }
            for one in ticket.open {
                place.open = place.open.saturating_sub(1);
                if let Some(server) = place.pool.place(&one.server) {
                    // A duration of nothing that was given up is no sample.
                    place.pool.ended(one.at, server, Outcome::GivenUp, 0.0);
                }
            }
        }
        self.by_attempt.clear();
        self.steps.clear();
    }

    /// Calls that are going on.
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// By operation in the order of its calls, the names of its dependencies: what a result is without when a call is left out.
    pub fn parts(&self, operation: &str) -> Vec<String> {
        let of = self.wanted.operations.get(operation);
        of.map(|of| of.calls.iter().map(|call| call.to.clone()).collect())
            .unwrap_or_default()
    }
}

impl Place {
    /// Whether a further call may be made now: never to what fails for all.
    fn has_again(&self) -> bool {
        !self.left.probes_only && self.left.retries > 0
    }

    /// It fails here, or for all.
    fn fails(&self) -> bool {
        self.attempts.fails() || self.left.probes_only
    }

    /// What a call takes lately; none before the first.
    fn usual(&self) -> Option<f64> {
        let sum: f64 = self.took.iter().sum();
        (!self.took.is_empty()).then(|| sum / self.took.len() as f64)
    }
}
