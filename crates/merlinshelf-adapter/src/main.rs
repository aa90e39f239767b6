//! Connects a simulator to the admission controller: decodes the simulator's lines into events and
//! encodes the decisions as reply lines.

use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use merlinshelf_admission::{AdmissionController, Decisions, Invocation, Outcome, Settings};

/// One simulated backend: its controller, and the numbers by which the controller identifies
/// invocations.
struct Instance {
    controller: AdmissionController,
    /// Numbers of the invocations, by job name.
    numbers: HashMap<String, usize>,
    /// Job names, by number.
    names: Vec<String>,
    /// Numbers that may be assigned again.
    free: Vec<usize>,
    /// Numbers to free at the end of the batch, since a later line of the batch may still refer to
    /// them.
    released: Vec<usize>,
}

impl Instance {
    /// Assigns a number to an invocation.
    fn assign_number(&mut self, name: &str) -> usize {
        let number = self.free.pop().unwrap_or(self.names.len());
        if number == self.names.len() {
            self.names.push(String::new());
        }
        self.names[number] = name.to_owned();
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Frees the numbers that were released during the batch.
    fn end_batch(&mut self) {
        for number in self.released.drain(..) {
            self.numbers.remove(&self.names[number]);
            self.names[number].clear();
            self.free.push(number);
        }
    }
}

/// The `name=value` fields of one line.
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

    /// The text of a field that must be present and not empty.
    fn required(&self, name: &str) -> Result<&'a str, String> {
        self.text(name)
            .filter(|text| !text.is_empty())
            .ok_or(format!("{name} is missing"))
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.text(name)
            .map(|text| {
                text.parse()
                    .map_err(|_| format!("{name}={text:?} is not a valid number"))
            })
            .transpose()
    }

    /// A finite number that is not negative.
    fn non_negative(&self, name: &str) -> Result<Option<f64>, String> {
        match self.number::<f64>(name)? {
            Some(value) if !value.is_finite() || value < 0.0 => {
                Err(format!("{name} is out of range"))
            }
            value => Ok(value),
        }
    }

    /// A time in microseconds, converted to seconds.
    fn seconds(&self, name: &str) -> Result<Option<f64>, String> {
        Ok(self.number::<u64>(name)?.map(|us| us as f64 / 1e6))
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(format!("{name}={text:?} is not 0 or 1")),
        }
    }

    /// The outcome of a run or a downstream call, from its state code.
    fn outcome(&self) -> Result<Outcome, String> {
        let code = self.required("StateCode")?;
        Ok(Outcome {
            succeeded: code == "completed",
            never_ran: matches!(code, "saturated" | "refused_conn" | "superseded"),
            stopped: code == "recalled",
        })
    }

    /// The gauges by name, from comma-separated `name:value` pairs.
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
                    .map_err(|_| format!("gauge {pair:?} is not a valid number"))?;
                Ok((name.to_owned(), value))
            })
            .collect()
    }
}

/// All simulated backends, and the state of the current batch.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    /// Simulated time in microseconds.
    now_us: u64,
    /// Number of the open batch.
    turn: Option<String>,
    /// Reply lines of the current batch.
    reply: String,
}

impl Host {
    /// Handles one line and returns whether it ends the batch.
    fn handle_line(&mut self, line: &str) -> Result<bool, String> {
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
            "SYNC" if self.turn.is_some() => return Err("SYNC inside an open batch".into()),
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
                self.instances.remove(fields.required("Backend")?);
            }
            "SUBMIT" | "RESULT" | "EXPIRED" | "WANTS_CALL" | "CALL_ENDED" | "NOTICE" | "ALARM" => {
                self.event(kind, &Fields::parse(parts)?)?;
            }
            _ => {}
        }
        Ok(false)
    }

    /// Starts the controller of a backend.
    fn init(&mut self, fields: &Fields) -> Result<(), String> {
        let name = fields.required("Backend")?.to_owned();
        let seed = fields.number::<u64>("Salt")?.unwrap_or(0);
        let settings: Settings = fields
            .0
            .iter()
            .map(|&(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let now = self.now_us as f64 / 1e6;
        match catch_unwind(|| AdmissionController::start(now, seed, settings)) {
            Ok(started) => {
                let (controller, decisions) = started.map_err(|error| error.to_string())?;
                let (numbers, names, free, released) = Default::default();
                let mut instance = Instance {
                    controller,
                    numbers,
                    names,
                    free,
                    released,
                };
                encode(
                    &mut self.reply,
                    &name,
                    &mut instance,
                    self.now_us,
                    decisions,
                );
                self.instances.insert(name, instance);
            }
            Err(panic) => write_fault(&mut self.reply, &name, &*panic),
        }
        Ok(())
    }

    /// Passes an event to the controller of its backend and encodes the decisions. Events of
    /// unknown backends and invocations are ignored.
    fn event(&mut self, kind: &str, fields: &Fields) -> Result<(), String> {
        let name = fields.required("Backend")?;
        let now = self.now_us as f64 / 1e6;
        // The whole line is parsed first, so that a malformed line is reported even if its backend
        // or invocation is unknown.
        let (mut arrival, mut outcome, mut gauges) = Default::default();
        let (mut original, mut handle, mut seconds, mut job) = (None, 0, 0.0, "");
        match kind {
            "SUBMIT" => {
                job = fields.required("Job")?;
                original = fields
                    .text("Prior")
                    .filter(|original| !matches!(*original, "" | "0"));
                arrival = Invocation {
                    operation: fields.number("Band")?.unwrap_or(0),
                    customer: fields.number("Team")?.unwrap_or(0),
                    caller: fields.number("Neighbour")?.unwrap_or(0),
                    caller_timeout: fields
                        .seconds("TimeBudgetUs")?
                        .filter(|budget| *budget > 0.0),
                    age: fields.seconds("AgeUs")?.unwrap_or(0.0),
                    cost_hint: fields.seconds("ExpectedUs")?.filter(|cost| *cost > 0.0),
                    held_kilobytes: fields.non_negative("HeldKb")?.unwrap_or(0.0),
                    rank: fields.non_negative("Rank")?.unwrap_or(0.0),
                    is_retry: fields.flag("AgainByClient")?,
                    has_subject: fields.text("NameKey").is_some_and(|key| !key.is_empty()),
                    is_repeat: original.is_some(),
                    original: None,
                };
                fields.flag("IsWrite")?;
            }
            "RESULT" | "CALL_ENDED" => {
                job = fields.required("Job")?;
                outcome = fields.outcome()?;
                seconds = fields.seconds("ElapsedUs")?.unwrap_or(0.0);
            }
            "NOTICE" => seconds = fields.seconds("TimeBudgetUs")?.unwrap_or(0.0),
            "ALARM" => {
                handle = fields.number("Handle")?.unwrap_or(0);
                gauges = fields.gauges()?;
            }
            _ => job = fields.required("Job")?,
        }
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        arrival.original = original.and_then(|original| instance.numbers.get(original).copied());
        let invocation = match kind {
            "SUBMIT" => Some(instance.assign_number(job)),
            _ => instance.numbers.get(job).copied(),
        };
        let controller = &mut instance.controller;
        let decisions = catch_unwind(AssertUnwindSafe(|| match (kind, invocation) {
            ("SUBMIT", Some(invocation)) => controller.invocation_arrived(now, invocation, arrival),
            ("RESULT", Some(invocation)) => controller.run_ended(now, invocation, outcome, seconds),
            ("EXPIRED", Some(invocation)) => controller.caller_disconnected(now, invocation),
            ("WANTS_CALL", Some(invocation)) => controller.call_requested(now, invocation),
            ("CALL_ENDED", Some(invocation)) => controller.call_ended(now, invocation, outcome),
            ("NOTICE", _) => controller.shutdown_requested(now, seconds),
            ("ALARM", _) => controller.timer_fired(now, handle, &gauges),
            _ => Decisions::default(),
        }));
        match decisions {
            Ok(decisions) => encode(&mut self.reply, name, instance, self.now_us, decisions),
            Err(panic) => write_fault(&mut self.reply, name, &*panic),
        }
        Ok(())
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round().max(0.0) as u64
}

/// Encodes decisions, in the order of their fields.
fn encode(
    out: &mut String,
    name: &str,
    instance: &mut Instance,
    now_us: u64,
    decisions: Decisions,
) {
    let job = |invocation: usize| &instance.names[invocation];
    let mut write_line = |verb: &str, rest: std::fmt::Arguments| {
        let _ = writeln!(out, "{verb}\tBackend={name}\t{rest}");
    };
    for rejection in decisions.rejected {
        let (invocation, cool_down) = (rejection.invocation, micros(rejection.retry_after_seconds));
        let no_retry = u8::from(rejection.no_failover);
        write_line(
            "OVERLOAD_REPLY",
            format_args!(
                "Job={}\tCoolDownUs={cool_down}\tNoRetry={no_retry}",
                job(invocation)
            ),
        );
    }
    let mut write_each = |verb: &str, list: &[usize]| {
        list.iter()
            .for_each(|&invocation| write_line(verb, format_args!("Job={}", job(invocation))));
    };
    write_each("ERROR", &decisions.failed);
    write_each("PREEMPT", &decisions.stopped);
    for (invocation, span) in decisions.cached {
        write_line(
            "REMEMBER",
            format_args!("Job={}\tSpanUs={}", job(invocation), micros(span)),
        );
    }
    let mut write_each = |verb: &str, list: &[usize]| {
        list.iter()
            .for_each(|&invocation| write_line(verb, format_args!("Job={}", job(invocation))));
    };
    write_each("ERASE", &decisions.evicted);
    write_each("SHARE", &decisions.joined);
    write_each("DISPATCH", &decisions.started);
    for (invocation, timeout) in decisions.called {
        write_line(
            "CALL",
            format_args!("Job={}\tPatienceUs={}", job(invocation), micros(timeout)),
        );
    }
    for invocation in decisions.degraded {
        write_line("DEGRADE", format_args!("Job={}", job(invocation)));
    }
    if let Some(is_healthy) = decisions.health {
        write_line(
            "SET_HEALTH",
            format_args!("Cached=1\tEnable={}", u8::from(is_healthy)),
        );
    }
    if let Some(level) = decisions.level {
        write_line("SIGNAL", format_args!("X={level:.4}"));
    }
    if let Some(idle) = decisions.idle_timeout {
        write_line("TRIM_AFTER", format_args!("SpanUs={}", micros(idle)));
    }
    for (after, handle) in decisions.timers {
        write_line(
            "SLEEP",
            format_args!("AtUs={}\tHandle={handle}", now_us + micros(after).max(1)),
        );
    }
    for note in decisions.notes {
        write_line("TRACE", format_args!("Msg={note}"));
    }
    instance.released.extend(decisions.released);
}

/// Reports a panic of the controller as a FAULT line.
fn write_fault(out: &mut String, name: &str, panic: &(dyn Any + Send)) {
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
    for line_number in 1u64.. {
        line.clear();
        if input
            .read_until(b'\n', &mut line)
            .map_err(|error| error.to_string())?
            == 0
        {
            break;
        }
        let text =
            std::str::from_utf8(&line).map_err(|_| format!("line {line_number}: not UTF-8"))?;
        let text = text.trim_end_matches(['\n', '\r']);
        if host
            .handle_line(text)
            .map_err(|error| format!("line {line_number}: {error}"))?
        {
            let written = output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|error| error.to_string())?;
            host.reply.clear();
        }
    }
    match host.turn {
        Some(turn) => Err(format!("the input ends inside batch {turn}")),
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
