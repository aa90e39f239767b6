//! Decodes the bench's wire into calls of the decision module and encodes what they return.

use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use merlinshelf_admission::{AdmissionController, Decisions, Invocation, Outcome, Settings};

/// One hosted instance and the numbers by which it knows invocations.
struct Instance {
    shedder: AdmissionController,
    numbers: HashMap<String, usize>,
    names: Vec<String>,
    free: Vec<usize>,
    /// Freed at the end of the batch, since a later line of it may still name them.
    released: Vec<usize>,
}

impl Instance {
    fn number(&mut self, name: &str) -> usize {
        let number = self.free.pop().unwrap_or(self.names.len());
        if number == self.names.len() {
            self.names.push(String::new());
        }
        self.names[number] = name.to_owned();
        self.numbers.insert(name.to_owned(), number);
        number
    }

    fn end_batch(&mut self) {
        for number in self.released.drain(..) {
            self.numbers.remove(&self.names[number]);
            self.names[number].clear();
            self.free.push(number);
        }
    }
}

/// The named parts of one line.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn parse(parts: std::str::Split<'a, char>) -> Result<Self, String> {
        parts
            .filter(|part| !part.is_empty())
            .map(|part| part.split_once('=').ok_or(format!("no '=' in {part:?}")))
            .collect::<Result<_, _>>()
            .map(Fields)
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find(|field| field.0 == name)
            .map(|field| field.1)
    }

    fn need(&self, name: &str) -> Result<&'a str, String> {
        self.text(name)
            .filter(|text| !text.is_empty())
            .ok_or(format!("{name} is missing"))
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.text(name)
            .map(|text| {
                text.parse()
                    .map_err(|_| format!("{name}={text:?} is no number of its kind"))
            })
            .transpose()
    }

    fn real(&self, name: &str) -> Result<Option<f64>, String> {
        match self.number::<f64>(name)? {
            Some(value) if !value.is_finite() || value < 0.0 => {
                Err(format!("{name} is out of range"))
            }
            value => Ok(value),
        }
    }

    fn seconds(&self, name: &str) -> Result<Option<f64>, String> {
        Ok(self.number::<u64>(name)?.map(|us| us as f64 / 1e6))
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(format!("{name}={text:?} is neither 0 nor 1")),
        }
    }

    fn outcome(&self) -> Result<Outcome, String> {
        let code = self.need("StateCode")?;
        Ok(Outcome {
            succeeded: code == "completed",
            never_ran: matches!(code, "saturated" | "refused_conn" | "superseded"),
            stopped: code == "recalled",
        })
    }

    fn gauges(&self) -> Result<BTreeMap<String, f64>, String> {
        let pairs = self
            .text("Stats")
            .unwrap_or("")
            .split(',')
            .filter(|pair| !pair.is_empty());
        pairs
            .map(|pair| {
                let (name, value) = pair
                    .split_once(':')
                    .ok_or(format!("no ':' in gauge {pair:?}"))?;
                let value = value
                    .parse()
                    .map_err(|_| format!("gauge {pair:?} is no number"))?;
                Ok((name.to_owned(), value))
            })
            .collect()
    }
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    now_us: u64,
    turn: Option<String>,
    reply: String,
}

impl Host {
    fn line(&mut self, line: &str) -> Result<bool, String> {
        let mut parts = line.split('\t');
        let kind = parts.next().unwrap_or("");
        if self.turn.is_none() && kind != "SYNC" {
            return if matches!(kind, "" | "\r") {
                Ok(false)
            } else {
                Err(format!("{kind:?} outside a batch"))
            };
        }
        match kind {
            "SYNC" if self.turn.is_some() => return Err("a batch within a batch".into()),
            "SYNC" => {
                let fields = Fields::parse(parts)?;
                self.now_us = fields.number("TimeUs")?.ok_or("TimeUs is missing")?;
                self.turn = Some(
                    fields
                        .number::<u64>("turn")?
                        .ok_or("turn is missing")?
                        .to_string(),
                );
            }
            "EOB" => {
                let turn = self.turn.take().unwrap_or_default();
                let _ = writeln!(self.reply, "OK\tturn={turn}");
                self.instances.values_mut().for_each(Instance::end_batch);
                return Ok(true);
            }
            "INIT" => self.init(&Fields::parse(parts)?)?,
            "CRASH_NOW" => {
                let fields = Fields::parse(parts)?;
                self.instances.remove(fields.need("Backend")?);
            }
            "SUBMIT" | "RESULT" | "EXPIRED" | "WANTS_CALL" | "CALL_ENDED" | "NOTICE" | "ALARM" => {
                self.event(kind, &Fields::parse(parts)?)?;
            }
            _ => {}
        }
        Ok(false)
    }

    fn init(&mut self, fields: &Fields) -> Result<(), String> {
        let name = fields.need("Backend")?.to_owned();
        let seed = fields.number::<u64>("Salt")?.unwrap_or(0);
        let settings: Settings = fields
            .0
            .iter()
            .map(|&(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let now = self.now_us as f64 / 1e6;
        match catch_unwind(|| AdmissionController::start(now, seed, settings)) {
            Ok(started) => {
                let (shedder, decided) = started.map_err(|error| error.to_string())?;
                let (numbers, names, free, released) = Default::default();
                let mut instance = Instance {
                    shedder,
                    numbers,
                    names,
                    free,
                    released,
                };
                encode(&mut self.reply, &name, &mut instance, self.now_us, decided);
                self.instances.insert(name, instance);
            }
            Err(panic) => fault(&mut self.reply, &name, &*panic),
        }
        Ok(())
    }

    fn event(&mut self, kind: &str, fields: &Fields) -> Result<(), String> {
        let name = fields.need("Backend")?;
        let now = self.now_us as f64 / 1e6;
        // The line is read in full before anything is decided, so that a bad one is named in any case.
        let (mut arrival, mut outcome, mut gauges) = Default::default();
        let (mut prior, mut handle, mut span, mut job) = (None, 0, 0.0, "");
        match kind {
            "SUBMIT" => {
                job = fields.need("Job")?;
                prior = fields
                    .text("Prior")
                    .filter(|prior| !matches!(*prior, "" | "0"));
                arrival = Invocation {
                    operation: fields.number("Band")?.unwrap_or(0),
                    customer: fields.number("Team")?.unwrap_or(0),
                    caller: fields.number("Neighbour")?.unwrap_or(0),
                    caller_timeout: fields
                        .seconds("TimeBudgetUs")?
                        .filter(|budget| *budget > 0.0),
                    age: fields.seconds("AgeUs")?.unwrap_or(0.0),
                    cost_hint: fields.seconds("ExpectedUs")?.filter(|cost| *cost > 0.0),
                    held_kilobytes: fields.real("HeldKb")?.unwrap_or(0.0),
                    rank: fields.real("Rank")?.unwrap_or(0.0),
                    is_retry: fields.flag("AgainByClient")?,
                    has_subject: fields.text("NameKey").is_some_and(|key| !key.is_empty()),
                    is_repeat: prior.is_some(),
                    original: None,
                };
                fields.flag("IsWrite")?;
            }
            "RESULT" | "CALL_ENDED" => {
                job = fields.need("Job")?;
                outcome = fields.outcome()?;
                span = fields.seconds("ElapsedUs")?.unwrap_or(0.0);
            }
            "NOTICE" => span = fields.seconds("TimeBudgetUs")?.unwrap_or(0.0),
            "ALARM" => {
                handle = fields.number("Handle")?.unwrap_or(0);
                gauges = fields.gauges()?;
            }
            _ => job = fields.need("Job")?,
        }
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        arrival.original = prior.and_then(|prior| instance.numbers.get(prior).copied());
        let inv = match kind {
            "SUBMIT" => Some(instance.number(job)),
            _ => instance.numbers.get(job).copied(),
        };
        let shedder = &mut instance.shedder;
        let decided = catch_unwind(AssertUnwindSafe(|| match (kind, inv) {
            ("SUBMIT", Some(inv)) => shedder.invocation_arrived(now, inv, arrival),
            ("RESULT", Some(inv)) => shedder.run_ended(now, inv, outcome, span),
            ("EXPIRED", Some(inv)) => shedder.caller_disconnected(now, inv),
            ("WANTS_CALL", Some(inv)) => shedder.call_requested(now, inv),
            ("CALL_ENDED", Some(inv)) => shedder.call_ended(now, inv, outcome),
            ("NOTICE", _) => shedder.shutdown_requested(now, span),
            ("ALARM", _) => shedder.timer_fired(now, handle, &gauges),
            _ => Decisions::default(),
        }));
        match decided {
            Ok(decided) => encode(&mut self.reply, name, instance, self.now_us, decided),
            Err(panic) => fault(&mut self.reply, name, &*panic),
        }
        Ok(())
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round().max(0.0) as u64
}

/// Writes what was decided, in the order in which the interface lists it.
fn encode(out: &mut String, name: &str, instance: &mut Instance, now_us: u64, decided: Decisions) {
    let job = |inv: usize| &instance.names[inv];
    let mut put = |verb: &str, rest: std::fmt::Arguments| {
        let _ = writeln!(out, "{verb}\tBackend={name}\t{rest}");
    };
    for rejection in decided.rejected {
        let (inv, away) = (rejection.invocation, micros(rejection.retry_after_seconds));
        let last = u8::from(rejection.no_failover);
        put(
            "OVERLOAD_REPLY",
            format_args!("Job={}\tCoolDownUs={away}\tNoRetry={last}", job(inv)),
        );
    }
    let mut each = |verb: &str, list: &[usize]| {
        list.iter()
            .for_each(|&inv| put(verb, format_args!("Job={}", job(inv))));
    };
    each("ERROR", &decided.failed);
    each("PREEMPT", &decided.stopped);
    for (inv, span) in decided.cached {
        put(
            "REMEMBER",
            format_args!("Job={}\tSpanUs={}", job(inv), micros(span)),
        );
    }
    let mut each = |verb: &str, list: &[usize]| {
        list.iter()
            .for_each(|&inv| put(verb, format_args!("Job={}", job(inv))));
    };
    each("ERASE", &decided.evicted);
    each("SHARE", &decided.joined);
    each("DISPATCH", &decided.started);
    for (inv, patience) in decided.called {
        put(
            "CALL",
            format_args!("Job={}\tPatienceUs={}", job(inv), micros(patience)),
        );
    }
    for inv in decided.degraded {
        put("DEGRADE", format_args!("Job={}", job(inv)));
    }
    if let Some(good) = decided.health {
        put(
            "SET_HEALTH",
            format_args!("Cached=1\tEnable={}", u8::from(good)),
        );
    }
    if let Some(level) = decided.level {
        put("SIGNAL", format_args!("X={level:.4}"));
    }
    if let Some(idle) = decided.idle_timeout {
        put("TRIM_AFTER", format_args!("SpanUs={}", micros(idle)));
    }
    for (after, handle) in decided.timers {
        put(
            "SLEEP",
            format_args!("AtUs={}\tHandle={handle}", now_us + micros(after).max(1)),
        );
    }
    for note in decided.notes {
        put("TRACE", format_args!("Msg={note}"));
    }
    instance.released.extend(decided.released);
}

fn fault(out: &mut String, name: &str, panic: &(dyn Any + Send)) {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text
        .or(panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic");
    let _ = writeln!(
        out,
        "FAULT\tBackend={name}\tMsg={}",
        text.replace(['\n', '\t'], " ")
    );
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::BufWriter::new(io::stdout().lock()));
    let mut host = Host::default();
    let mut line = Vec::new();
    for count in 1u64.. {
        line.clear();
        if input
            .read_until(b'\n', &mut line)
            .map_err(|error| error.to_string())?
            == 0
        {
            break;
        }
        let text = std::str::from_utf8(&line).map_err(|_| format!("line {count}: not UTF-8"))?;
        let text = text.trim_end_matches(['\n', '\r']);
        if host
            .line(text)
            .map_err(|error| format!("line {count}: {error}"))?
        {
            let written = output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|error| error.to_string())?;
            host.reply.clear();
        }
    }
    match host.turn {
        Some(turn) => Err(format!("the input ends within batch {turn}")),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("merlinshelf-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
