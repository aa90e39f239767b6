//! Sends events to one controller and records a line of trace for each event, with its decisions.

use std::collections::BTreeMap;

use merlinshelf_admission::{AdmissionController, Decisions, Invocation, Outcome, Settings};

/// A controller and the trace of its decisions.
pub struct Scenario {
    pub controller: AdmissionController,
    pub trace: String,
}

pub const SUCCEEDED: Outcome = Outcome {
    succeeded: true,
    never_ran: false,
    stopped: false,
};
pub const UNKNOWN_OUTCOME: Outcome = Outcome {
    succeeded: false,
    never_ran: false,
    stopped: false,
};
pub const NEVER_RAN: Outcome = Outcome {
    succeeded: false,
    never_ran: true,
    stopped: false,
};

/// Starts a controller with two cores and three operations: operation 0 is idempotent and can skip
/// its call, operation 1 has an idempotency key, and operation 2 is neither idempotent nor can it
/// skip its call. `extra` adds or replaces settings.
pub fn scenario(extra: &[(&str, &str)]) -> Scenario {
    let mut settings = Settings::new();
    let base = [
        ("Classes.count", "3"),
        ("Classes.0.Effect", "read_like"),
        ("Classes.1.Effect", "idempotency_key"),
        ("Classes.2.Effect", "non_idempotent"),
        ("Classes.1.MemorySpanUs", "5000000"),
        ("Classes.2.Worth", "3"),
        ("FamilyInfo.Cores", "2"),
        ("FamilyInfo.HeapKb", "10000"),
        ("FamilyInfo.RunFactor", "4"),
        ("FamilyInfo.KeyKb", "100"),
        ("FamilyInfo.CallShare", "2.5"),
        ("FamilyInfo.StaysForUs", "200000"),
        ("FamilyInfo.ClassCalls", "true,true,true"),
        ("FamilyInfo.ClassSkipWorth", "0.5,0,0"),
        ("Rules.FallMultiple", "4"),
        ("Rules.DrainGraceUs", "1000000"),
        ("Allowed.RetryAfter", "true"),
        ("Allowed.MaxRetryAfterUs", "1000000"),
    ];
    for (name, value) in base.iter().chain(extra) {
        settings.insert((*name).to_owned(), (*value).to_owned());
    }
    for operation in 0..3 {
        settings
            .entry(format!("Classes.{operation}.AimUs"))
            .or_insert("1000000".into());
        settings
            .entry(format!("Classes.{operation}.DeadlineUs"))
            .or_insert("2000000".into());
    }
    let (controller, decisions) =
        AdmissionController::start(100.0, 7, settings).expect("valid settings");
    let mut scenario = Scenario {
        controller,
        trace: String::new(),
    };
    scenario.append_to_trace("start", &decisions);
    scenario
}

/// Truncates decimal fractions after the third digit.
fn truncate_fractions(text: &str) -> String {
    let mut after_point = None;
    let mut out = String::new();
    for character in text.replace("-0.0", "0.0").chars() {
        after_point = match (after_point, character) {
            (_, '.') => Some(0),
            (Some(digits), '0'..='9') => Some(digits + 1),
            _ => None,
        };
        if after_point.unwrap_or(0) <= 3 {
            out.push(character);
        }
    }
    out
}

/// Formats the non-empty fields as `name: value;`, without timers and released numbers.
fn format_decisions(decisions: &Decisions) -> String {
    let Decisions {
        rejected,
        failed,
        stopped,
        cached,
        evicted,
        joined,
        started,
        called,
        degraded,
        health,
        level,
        idle_timeout,
        timers: _,
        notes,
        released: _,
    } = decisions;
    let rejected: Vec<(usize, f64, bool)> = rejected
        .iter()
        .map(|rejection| {
            (
                rejection.invocation,
                rejection.retry_after_seconds,
                rejection.no_failover,
            )
        })
        .collect();
    let fields: [(&str, String); 13] = [
        ("rejected", format!("{rejected:?}")),
        ("failed", format!("{failed:?}")),
        ("stopped", format!("{stopped:?}")),
        ("cached", format!("{cached:?}")),
        ("evicted", format!("{evicted:?}")),
        ("joined", format!("{joined:?}")),
        ("started", format!("{started:?}")),
        ("called", format!("{called:?}")),
        ("degraded", format!("{degraded:?}")),
        ("health", format!("{health:?}")),
        ("level", format!("{level:?}")),
        ("idle_timeout", format!("{idle_timeout:?}")),
        ("notes", format!("{notes:?}")),
    ];
    fields
        .iter()
        .filter(|(_, value)| value != "[]" && value != "None")
        .map(|(name, value)| format!(" {name}: {value};"))
        .collect()
}

impl Scenario {
    fn append_to_trace(&mut self, what: &str, decisions: &Decisions) {
        let line = truncate_fractions(&format_decisions(decisions));
        self.trace.push_str(&format!("{what} ->{line}\n"));
    }

    pub fn arrive(&mut self, now: f64, number: usize, request: Invocation) {
        let decisions = self
            .controller
            .invocation_arrived(100.0 + now, number, request);
        self.append_to_trace(&format!("{now:.2} arrives {number}"), &decisions);
    }

    pub fn end_run(&mut self, now: f64, number: usize, outcome: Outcome, duration: f64) {
        let decisions = self
            .controller
            .run_ended(100.0 + now, number, outcome, duration);
        self.append_to_trace(&format!("{now:.2} ends {number}"), &decisions);
    }

    pub fn request_call(&mut self, now: f64, number: usize) {
        let decisions = self.controller.call_requested(100.0 + now, number);
        self.append_to_trace(&format!("{now:.2} requests a call {number}"), &decisions);
    }

    pub fn end_call(&mut self, now: f64, number: usize, outcome: Outcome) {
        let decisions = self.controller.call_ended(100.0 + now, number, outcome);
        self.append_to_trace(&format!("{now:.2} call of {number} ends"), &decisions);
    }

    pub fn disconnect(&mut self, now: f64, number: usize) {
        let decisions = self.controller.caller_disconnected(100.0 + now, number);
        self.append_to_trace(
            &format!("{now:.2} caller of {number} disconnected"),
            &decisions,
        );
    }

    pub fn shut_down(&mut self, now: f64, stop_seconds: f64) {
        let decisions = self
            .controller
            .shutdown_requested(100.0 + now, stop_seconds);
        self.append_to_trace(&format!("{now:.2} begins graceful shutdown"), &decisions);
    }

    pub fn tick(&mut self, now: f64, busy: f64) {
        let gauges = BTreeMap::from([("cpu_busy".to_owned(), busy)]);
        let decisions = self.controller.timer_fired(100.0 + now, 0, &gauges);
        self.append_to_trace(&format!("{now:.2} timer, busy {busy}"), &decisions);
    }
}

pub fn invocation(operation: usize) -> Invocation {
    Invocation {
        operation,
        held_kilobytes: 50.0,
        rank: 0.5,
        caller: 3,
        ..Invocation::default()
    }
}
