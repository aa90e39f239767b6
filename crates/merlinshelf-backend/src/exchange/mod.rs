//! Where the server side and the client side meet. The exchange owns the module and all invocations in
//! hand; it tells the module what happens and carries out what was decided, field by field in the order
//! of the interface. Neither side knows of the other.

mod alarms;
mod doors;
mod hand;
mod outbox;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{debug, error, info, warn};
use merlinshelf::{Decided, Invocation, Outcome, Settings, Shedder};
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::engine::End;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::counters::Counters;
use alarms::{Alarm, Alarms};
pub use doors::Door;
use doors::Doors;
pub use hand::Reply;
use hand::{Hand, InHand};
pub use outbox::Outbox;

pub type Shared = Rc<RefCell<Exchange>>;

/// Calls of one invocation take turns on so many connections: a late reply to one that was given up
/// names only the invocation, and must not pass for the reply to the next.
pub const LANES: usize = 3;

/// Of the memory told, a quarter is for invocations in hand at 20 KB each: a body, a result and a call's two
/// by the page's sizes, and as much again. Far more than the module ever holds: it bounds what a broken peer can do.
const HAND_KB: usize = 4 * 20;

/// With a full table of connections, idle ones stay no longer than this, so that others get in.
const CROWDED_IDLE: Duration = Duration::from_millis(20);

/// Gauges that are older than this say nothing about now.
const GAUGES_AGE: Duration = Duration::from_millis(100);

/// An invocation as it was read.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    pub caller: u64,
    /// When it came to the machine and how long its caller waits from then on.
    pub stamp_ms: f64,
    pub patience_ms: Option<f64>,
    pub again: bool,
    pub held_kb: f64,
    pub rank: f64,
    pub has_subject: bool,
}

/// The final answer to an invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Succeeded(Rc<[u8]>),
    Throttled { away: f64, last: bool },
    Errored,
}

/// What the engine is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Run { id: CallId, operation: Rc<str>, body: Rc<[u8]> },
    Feed { id: CallId, reply: Rc<[u8]> },
    Skip { id: CallId, need: u64 },
}

impl Command {
    fn id(&self) -> CallId {
        match self {
            Command::Run { id, .. } | Command::Feed { id, .. } | Command::Skip { id, .. } => *id,
        }
    }
}

/// What the catalogue is to be asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Invoke { id: CallId, wait: f64, body: Rc<[u8]> },
    Cancel { id: CallId },
}

/// How a call below has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Called {
    Succeeded(Rc<[u8]>),
    NeverRan,
    /// It may have had its effect.
    Failed,
}

pub struct Exchange {
    settings: Settings,
    seed: u64,
    operations: HashMap<Vec<u8>, usize>,
    names: Vec<Rc<str>>,
    meters: Vec<String>,
    origin: Instant,
    /// The module's clock at the origin: Unix time then, so that its hours are those of the day.
    epoch: f64,
    shedder: Option<Shedder>,
    leaving: Option<Instant>,
    hand: Hand,
    doors: Doors,
    alarms: Alarms,
    alarmed: Rc<Notify>,
    gauges: Option<(Instant, BTreeMap<String, f64>)>,
    commands: Outbox<(Command, u64)>,
    orders: [Outbox<Order>; LANES],
    left: Rc<Notify>,
    healthy: bool,
    trim_after: Duration,
    crowded: bool,
    closing: bool,
    hand_most: usize,
    pub counters: Counters,
}

impl Exchange {
    /// Fails where the module can't read a setting, naming it.
    pub fn new(settings: Settings, seed: u64, memory_mb: u64) -> Result<Exchange, String> {
        Shedder::start(0.0, seed, settings.clone())?;
        let count = settings.get("Classes.count").and_then(|count| count.parse().ok()).unwrap_or(0);
        let names = (0..count).map(|place| {
            let name: &str = settings.get(&format!("Classes.{place}.Name")).map_or("", String::as_str);
            Rc::from(name)
        });
        let names: Vec<Rc<str>> = names.collect();
        if names.is_empty() || names.iter().any(|name| name.is_empty()) {
            return Err("settings: Classes lacks an operation or one's Name".into());
        }
        // The wire brings no token by which a repeat could be known, so that such an operation might run twice.
        let tokened = |place: &usize| {
            let effect = settings.get(&format!("Classes.{place}.Effect"));
            effect.is_some_and(|effect| effect == "idempotency_key")
        };
        if let Some(place) = (0..count).find(tokened) {
            return Err(format!("settings: Classes.{place}.Effect: repeats can't be known on this wire"));
        }
        let operations = names.iter().enumerate().map(|(place, name)| (name.as_bytes().to_vec(), place));
        let meters = settings.get("FamilyInfo.Meters").map_or("", String::as_str);
        let idle = settings.get("FamilyInfo.CallerIdleUs").and_then(|us| us.parse().ok()).unwrap_or(0);
        Ok(Exchange {
            operations: operations.collect(),
            names,
            meters: meters.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect(),
            trim_after: idle_time(idle as f64 / 1e6),
            settings,
            seed,
            origin: Instant::now(),
            epoch: unix_ms() / 1e3,
            shedder: None,
            leaving: None,
            hand: Hand::default(),
            doors: Doors::default(),
            alarms: Alarms::default(),
            alarmed: Rc::default(),
            gauges: None,
            commands: Outbox::default(),
            orders: Default::default(),
            left: Rc::default(),
            healthy: true,
            crowded: false,
            closing: false,
            hand_most: (memory_mb as usize * 1024 / HAND_KB).max(1),
            counters: Counters::default(),
        })
    }

    // ---- the server side

    fn open_door(&mut self) -> (usize, Rc<Notify>) {
        self.counters.connections += 1;
        let opened = self.doors.open();
        self.counters.most_doors = self.counters.most_doors.max(self.doors.len() as u64);
        opened
    }

    /// Nobody is left behind it: the module is told of all that would have been answered there.
    fn close_door(&mut self, number: usize) {
        for inv in self.hand.behind(number) {
            self.gone(inv);
        }
        while let Some(outbox) = self.doors.outbox(number) {
            match outbox.pop() {
                Some(_) => self.counters.unheard += 1,
                None => break,
            }
        }
        self.doors.close(number);
    }

    fn gone(&mut self, inv: usize) {
        if let Some(one) = self.hand.get(inv) {
            one.reply = None;
        }
        self.counters.unheard += 1;
        self.decide(|shedder, now| shedder.caller_left(now, inv));
    }

    pub fn doors_open(&self) -> usize {
        self.doors.len()
    }

    pub fn operation(&self, name: &[u8]) -> Option<usize> {
        self.operations.get(name).copied()
    }

    pub fn passes_budget(&self) -> bool {
        self.settings.get("FamilyInfo.PassesDeadline").is_some_and(|text| text == "true")
    }

    pub fn healthy(&self) -> bool {
        self.healthy
    }

    /// How long a connection with nothing open may stay; none at all once the program is closing.
    pub fn trim_after(&self) -> Duration {
        match (self.closing, self.crowded) {
            (true, _) => Duration::ZERO,
            (_, true) => self.trim_after.min(CROWDED_IDLE),
            _ => self.trim_after,
        }
    }

    /// Whether all connections there may be are in use.
    pub fn set_crowded(&mut self, crowded: bool) {
        if crowded != self.crowded {
            self.crowded = crowded;
            self.doors.nudge_all();
        }
    }

    /// Whether one more invocation can be taken in hand.
    pub fn has_room(&self) -> bool {
        self.hand.len() < self.hand_most
    }

    /// From now on connections with nothing open are closed.
    pub fn close(&mut self) {
        self.closing = true;
        self.doors.nudge_all();
    }

    /// An invocation was read whole. False where its id is in hand already, so that it can't be told apart.
    pub fn arrived(&mut self, reply: Reply, arrival: Arrival) -> bool {
        if self.hand.find(arrival.id).is_some() {
            return false;
        }
        self.counters.invocations += 1;
        let told = told(&arrival, unix_ms());
        let Arrival { id, operation, body, .. } = arrival;
        let one = InHand {
            id,
            operation,
            body,
            reply: Some(reply),
            need: None,
            calls: 0,
            calling: false,
            begun: false,
            heard: 0,
        };
        let inv = self.hand.take(one);
        self.counters.most_in_hand = self.counters.most_in_hand.max(self.hand.len() as u64);
        if self.shedder.is_none() {
            warn!("{id} came before the engine was up");
            self.answer(inv, Answer::Throttled { away: 0.0, last: false });
            self.hand.give_back(inv);
            return true;
        }
        self.decide(|shedder, now| shedder.arrived(now, inv, told));
        true
    }

    /// An edge node has given one up by name.
    pub fn aborted(&mut self, reply: Reply) {
        let behind = self.hand.behind(reply.door);
        let same = |inv: &usize| self.hand.get(*inv).is_some_and(|one| one.reply == Some(reply));
        if let Some(inv) = behind.into_iter().find(same) {
            self.counters.aborted += 1;
            self.answer(inv, Answer::Errored);
            self.decide(|shedder, now| shedder.caller_left(now, inv));
        }
    }

    // ---- the engine

    pub fn commands_wake(&self) -> Rc<Notify> {
        self.commands.wake()
    }

    /// The next command, and how much had been heard of its invocation when it was given.
    pub fn next_command(&mut self) -> Option<(Command, u64)> {
        self.commands.pop()
    }

    /// The engine has said HELLO: the module starts, cold or warm as the engine did. Starts it anew where the
    /// engine has been started anew, whose runs are then all gone.
    pub fn engine_up(&mut self, warm: bool, up: f64, anew: bool) {
        if self.shedder.is_some() && !anew {
            return;
        }
        let name = "FamilyInfo.FreshStart";
        let fresh = if warm { "false" } else { "true" };
        if self.settings.insert(name.into(), fresh.into()).is_some_and(|told| told != fresh) {
            info!("the engine started {}, other than {name} says", if warm { "warm" } else { "cold" });
        }
        if anew {
            return self.start_over(up);
        }
        self.start(up);
    }

    /// Starts the module as of the engine's own start.
    fn start(&mut self, up: f64) {
        let (seed, settings) = (self.seed, self.settings.clone());
        let born = (self.seconds() - up).max(0.0);
        match catch_unwind(|| Shedder::start(born, seed, settings)) {
            Ok(Ok((shedder, decided))) => {
                self.shedder = Some(shedder);
                self.carry_out(decided);
            }
            Ok(Err(reason)) => error!("the module does not start: {reason}"),
            Err(_) => error!("the module panicked at its start"),
        }
        if let Some(stop) = self.leaving {
            let left = stop.saturating_duration_since(Instant::now()).as_secs_f64();
            self.decide(|shedder, now| shedder.leave(now, left));
        }
    }

    /// A run is over.
    pub fn ended(&mut self, id: CallId, end: End, took: f64, result: &[u8]) {
        self.counters.done += 1;
        let Some(inv) = self.heard(id) else { return debug!("{id} is over, and not in hand") };
        match end {
            End::Succeeded => self.answer(inv, Answer::Succeeded(result.into())),
            End::Errored => self.answer(inv, Answer::Errored),
            End::Stopped | End::Moot => {}
        }
        let outcome = Outcome {
            succeeded: end == End::Succeeded,
            never_ran: end == End::Moot,
            stopped: end == End::Stopped,
        };
        self.decide(|shedder, now| shedder.ended(now, inv, outcome, took));
    }

    /// A run waits for a call with this body.
    pub fn wants_call(&mut self, id: CallId, number: u64, body: &[u8]) {
        self.counters.needs += 1;
        let Some(inv) = self.heard(id) else { return debug!("{id} wants a call, and is not in hand") };
        self.drop_call(inv);
        if let Some(one) = self.hand.get(inv) {
            one.need = Some((number, body.into()));
        }
        self.decide(|shedder, now| shedder.wants_call(now, inv));
    }

    fn heard(&mut self, id: CallId) -> Option<usize> {
        let inv = self.hand.find(id)?;
        self.hand.get(inv)?.heard += 1;
        Some(inv)
    }

    /// The gauges, in the order of the settings.
    pub fn gauges(&mut self, values: &[f64]) {
        self.counters.stats += 1;
        let named = self.meters.iter().cloned().zip(values.iter().copied());
        self.gauges = Some((Instant::now(), named.filter(|(_, value)| value.is_finite()).collect()));
    }

    /// The engine did not carry out a command.
    pub fn command_refused(&mut self, word: &[u8], id: CallId) {
        self.counters.refused_commands += 1;
        warn!("the engine refused {} {id}", word.escape_ascii());
        if let (b"RUN", Some(inv)) = (word, self.hand.find(id)) {
            self.answer(inv, Answer::Errored);
            let outcome = Outcome { never_ran: true, ..Outcome::default() };
            self.decide(|shedder, now| shedder.ended(now, inv, outcome, 0.0));
        }
    }

    /// A command may have been lost with a link, and all notices since have been read. It is given again
    /// where that can do no harm: a run that goes on is not started twice, and a skip names its notice. A
    /// reply that was fed names neither, so the module is asked about that call once more.
    pub fn command_lost(&mut self, command: Command, heard: u64) {
        let Some(inv) = self.hand.find(command.id()) else { return };
        let Some(one) = self.hand.get(inv) else { return };
        if one.heard != heard {
            return;
        }
        match command {
            Command::Feed { .. } => {
                let idempotent = self.settings.get(&format!("Classes.{}.Effect", one.operation));
                if idempotent.is_some_and(|effect| effect == "read_like") {
                    self.decide(|shedder, now| shedder.wants_call(now, inv));
                }
            }
            command => self.commands.push((command, heard)),
        }
    }

    // ---- calls below

    pub fn orders_wake(&self, lane: usize) -> Rc<Notify> {
        self.orders[lane].wake()
    }

    /// The next order on that lane; a call that was given up before it was sent is left out.
    pub fn next_order(&mut self, lane: usize) -> Option<Order> {
        loop {
            match self.orders[lane].pop()? {
                Order::Invoke { id, .. } if !self.awaits(id, lane) => {}
                order => return Some(order),
            }
        }
    }

    pub fn has_orders(&self, lane: usize) -> bool {
        !self.orders[lane].is_empty()
    }

    /// Whether a call of that invocation is open on that lane.
    fn awaits(&mut self, id: CallId, lane: usize) -> bool {
        let one = self.hand.find(id).and_then(|inv| self.hand.get(inv));
        one.is_some_and(|one| one.calling && one.calls % LANES == lane)
    }

    /// A call on that lane has ended.
    pub fn call_ended(&mut self, id: CallId, lane: usize, called: Called) {
        let awaited = self.awaits(id, lane);
        let Some(inv) = self.hand.find(id).filter(|_| awaited) else {
            self.counters.late_replies += 1;
            return;
        };
        let outcome = Outcome {
            succeeded: matches!(called, Called::Succeeded(_)),
            never_ran: called == Called::NeverRan,
            stopped: false,
        };
        match &called {
            Called::Succeeded(_) => self.counters.calls_succeeded += 1,
            Called::NeverRan => self.counters.calls_never_ran += 1,
            Called::Failed => self.counters.calls_failed += 1,
        }
        if let Some(one) = self.hand.get(inv) {
            one.calling = false;
            if let Called::Succeeded(reply) = called {
                self.counters.feeds += 1;
                self.commands.push((Command::Feed { id, reply }, one.heard));
            }
        }
        self.decide(|shedder, now| shedder.call_ended(now, inv, outcome, 0.0));
    }

    /// Gives up an open call of this invocation.
    fn drop_call(&mut self, inv: usize) -> bool {
        let Some(one) = self.hand.get(inv).filter(|one| one.calling) else { return false };
        one.calling = false;
        self.counters.cancels += 1;
        let (id, lane) = (one.id, one.calls % LANES);
        self.orders[lane].push(Order::Cancel { id });
        true
    }

    fn call_timed_out(&mut self, id: CallId, number: usize) {
        let Some(inv) = self.hand.find(id) else { return };
        if self.hand.get(inv).is_some_and(|one| one.calls == number) && self.drop_call(inv) {
            self.counters.calls_timed_out += 1;
            self.decide(|shedder, now| shedder.call_ended(now, inv, Outcome::default(), 0.0));
        }
    }

    // ---- time

    pub fn alarmed(&self) -> Rc<Notify> {
        self.alarmed.clone()
    }

    pub fn next_alarm(&self) -> Option<Instant> {
        self.alarms.next().map(|at| self.origin + at)
    }

    /// Lets all happen whose time has come.
    pub fn ring_alarms(&mut self) {
        let now = self.origin.elapsed();
        while let Some(alarm) = self.alarms.take(now) {
            match alarm {
                Alarm::Call(id, number) => self.call_timed_out(id, number),
                Alarm::Wake(handle) => {
                    let gauges = self.fresh_gauges();
                    self.decide(|shedder, now| shedder.woken(now, handle, &gauges));
                }
            }
        }
    }

    /// Each answer of the engine is passed on once, and none that is old.
    fn fresh_gauges(&mut self) -> BTreeMap<String, f64> {
        let fresh = self.gauges.take().filter(|(at, _)| at.elapsed() < GAUGES_AGE);
        fresh.map(|(_, gauges)| gauges).unwrap_or_default()
    }

    /// The notice to leave: by `stop` the process has to be gone.
    pub fn leave(&mut self, stop: Instant) {
        self.leaving = Some(stop);
        self.left.notify_one();
        let left = stop.saturating_duration_since(Instant::now()).as_secs_f64();
        self.decide(|shedder, now| shedder.leave(now, left));
    }

    pub fn leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Told once, when the notice to leave comes.
    pub fn left(&self) -> Rc<Notify> {
        self.left.clone()
    }

    pub fn in_hand(&self) -> usize {
        self.hand.len()
    }

    fn seconds(&self) -> f64 {
        self.epoch + self.origin.elapsed().as_secs_f64()
    }

    // ---- the module

    fn decide(&mut self, tell: impl FnOnce(&mut Shedder, f64) -> Decided) {
        let now = self.seconds();
        let Some(shedder) = &mut self.shedder else { return };
        match catch_unwind(AssertUnwindSafe(|| tell(shedder, now))) {
            Ok(decided) => self.carry_out(decided),
            Err(_) => {
                error!("the module panicked");
                self.start_over(0.0);
            }
        }
    }

    /// What the module had in hand is lost to it: all is answered at once, and it starts afresh.
    fn start_over(&mut self, up: f64) {
        error!("starts over with {} in hand", self.hand.len());
        self.shedder = None;
        self.alarms.clear();
        for inv in self.hand.all() {
            if self.hand.get(inv).is_some_and(|one| !one.begun) {
                self.answer(inv, Answer::Throttled { away: 0.0, last: false });
            }
            self.release(inv);
        }
        self.commands.clear();
        self.start(up);
    }

    /// Carries out what was decided, in the order in which the interface lists it.
    fn carry_out(&mut self, decided: Decided) {
        for (inv, away, last) in decided.throttled {
            self.answer(inv, Answer::Throttled { away, last });
        }
        for inv in decided.errored {
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
            self.degrade(inv);
        }
        if let Some(good) = decided.health {
            info!("health is now {}", if good { "good" } else { "bad" });
            self.healthy = good;
        }
        if let Some(idle) = decided.trim_after {
            self.trim_after = idle_time(idle);
            self.doors.nudge_all();
        }
        for (after, handle) in decided.wake {
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

    fn begin(&mut self, inv: usize) {
        let Some(one) = self.hand.get(inv) else { return };
        one.begun = true;
        let (id, operation, body) = (one.id, self.names[one.operation].clone(), one.body.clone());
        self.counters.runs += 1;
        self.commands.push((Command::Run { id, operation, body }, one.heard));
    }

    fn call(&mut self, inv: usize, wait: f64) {
        self.drop_call(inv);
        let Some(one) = self.hand.get(inv) else { return };
        let Some((_, body)) = one.need.clone() else { return };
        one.calls += 1;
        one.calling = true;
        let (id, calls) = (one.id, one.calls);
        self.counters.calls += 1;
        self.orders[calls % LANES].push(Order::Invoke { id, wait, body });
        let at = self.origin.elapsed() + Duration::from_secs_f64(wait.clamp(0.001, 3600.0));
        self.set_alarm(at, Alarm::Call(id, calls));
    }

    fn degrade(&mut self, inv: usize) {
        let Some(one) = self.hand.get(inv) else { return };
        let Some((need, _)) = one.need else { return };
        let (id, heard) = (one.id, one.heard);
        self.counters.skips += 1;
        self.commands.push((Command::Skip { id, need }, heard));
    }

    fn set_alarm(&mut self, at: Duration, alarm: Alarm) {
        if self.alarms.next().is_none_or(|next| at < next) {
            self.alarmed.notify_one();
        }
        self.alarms.set(at, alarm);
    }

    fn answer(&mut self, inv: usize, answer: Answer) {
        let Some(reply) = self.hand.get(inv).and_then(|one| one.reply.take()) else { return };
        match answer {
            Answer::Succeeded(_) => self.counters.succeeded += 1,
            Answer::Throttled { .. } => self.counters.throttled += 1,
            Answer::Errored => self.counters.errored += 1,
        }
        if let Some(outbox) = self.doors.outbox(reply.door) {
            outbox.push((reply.tag, answer));
        }
    }

    /// The module has done with it. Whatever happened, nothing read is left without its answer.
    fn release(&mut self, inv: usize) {
        self.drop_call(inv);
        self.answer(inv, Answer::Errored);
        self.hand.give_back(inv);
    }
}

/// What the module is told of an arrival: its age and what is left of its budget at this moment. A wall
/// clock that was stepped makes neither negative nor longer than its caller waits; a budget that is used
/// up stays one of nothing, which is not the same as none.
fn told(arrival: &Arrival, unix_ms: f64) -> Invocation {
    let age = (unix_ms - arrival.stamp_ms).max(0.0);
    let budget = arrival.patience_ms.map(|patience| (patience - age).max(0.0) / 1e3);
    let most = arrival.patience_ms.unwrap_or(f64::INFINITY);
    Invocation {
        operation: arrival.operation,
        caller: arrival.caller,
        budget,
        age: age.min(most) / 1e3,
        held_kb: arrival.held_kb,
        rank: arrival.rank,
        again: arrival.again,
        has_subject: arrival.has_subject,
        ..Invocation::default()
    }
}

fn idle_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.01, 3600.0))
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3
}
