//! `experiment upgrade`: consecutive upgrades under full load, some of which fail in ways drawn by seed.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hdrhistogram::Histogram;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::instance::{Instance, Setup, signal};
use crate::load::{Load, Verdict};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub rounds: u32,
    /// The share of rounds whose successor fails.
    pub fail: f64,
    /// Whether some of these successors hang instead of dying. Nothing is served until a hang is detected.
    pub hangs: bool,
    pub rate: f64,
    pub connections: usize,
    /// Configures the instance; its program is the first predecessor.
    pub setup: Setup,
    /// The program of the first successor. The two programs swap roles after each successful upgrade.
    pub successor: PathBuf,
}

/// What happens to the successor of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuccessorBehavior {
    Succeeds,
    ExecFails,
    RejectsConfig,
    ExitsOnStart,
    HangsOnStart,
    /// Killed this many milliseconds after it was started.
    KilledAfterStart(u64),
    /// Killed this many milliseconds after it took over.
    KilledAfterTakeover(u64),
    /// Stopped by SIGSTOP this many milliseconds after it took over.
    StoppedAfterTakeover(u64),
}

impl SuccessorBehavior {
    fn draw(rng: &mut Pcg64Mcg, fail: f64, hangs: bool, watched_ms: u64) -> SuccessorBehavior {
        if !rng.random_bool(fail) {
            return SuccessorBehavior::Succeeds;
        }
        match rng.random_range(0..12) {
            0 => SuccessorBehavior::ExecFails,
            1 => SuccessorBehavior::RejectsConfig,
            2 => SuccessorBehavior::ExitsOnStart,
            3 => SuccessorBehavior::HangsOnStart,
            4 | 5 => SuccessorBehavior::KilledAfterStart(rng.random_range(0..40)),
            6 | 7 => SuccessorBehavior::KilledAfterTakeover(500),
            8..=10 => {
                SuccessorBehavior::KilledAfterTakeover(rng.random_range(0..watched_ms * 9 / 10))
            }
            _ if hangs => {
                SuccessorBehavior::StoppedAfterTakeover(rng.random_range(0..watched_ms / 2))
            }
            _ => SuccessorBehavior::KilledAfterTakeover(500),
        }
    }

    /// The shell script that runs as the successor.
    fn script(self, successor: &Path) -> String {
        let working = format!("exec '{}' \"$@\"", successor.display());
        match self {
            SuccessorBehavior::ExecFails => "exec /nowhere/merlinshelf \"$@\"".into(),
            SuccessorBehavior::RejectsConfig => {
                format!(
                    "exec '{}' serve --config /nowhere/config.json",
                    successor.display()
                )
            }
            SuccessorBehavior::ExitsOnStart => "exit 3".into(),
            SuccessorBehavior::HangsOnStart => "exec sleep 1000".into(),
            _ => working,
        }
    }
}

/// One upgrade, and its effect as its clients measured it.
struct Round {
    behavior: SuccessorBehavior,
    final_stage: String,
    started: Instant,
    ended: Instant,
    stall: Duration,
    /// Peak memory in KB and peak descriptor count of both processes together.
    peak_usage: (u64, u64),
}

/// Runs all rounds and prints the JSON object as the last line. Returns false if an invocation or an upgrade broke a rule.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut instance = Instance::start(&plan.setup, 1).await?;
    let load =
        Load::with_example_operations(&instance.address, plan.connections, plan.rate, plan.seed);
    let running_load = load.start().await?;
    sleep(Duration::from_millis(1500)).await;
    let status_before = instance.status().await?;
    let mut rounds = Vec::new();
    let (mut serving, mut successor) = (&plan.setup.program, &plan.successor);
    let (mut memory, mut descriptors) = (0, 0);
    for number in 0..plan.rounds {
        let behavior = SuccessorBehavior::draw(
            &mut rng,
            plan.fail,
            plan.hangs,
            plan.setup.probation.as_millis() as u64,
        );
        let round = run_round(&instance, successor, behavior).await?;
        if round.final_stage == "done" {
            std::mem::swap(&mut serving, &mut successor);
        }
        println!(
            "round {:>3}  {:<28} {}",
            number + 1,
            format!("{behavior:?}"),
            round.final_stage
        );
        rounds.push(round);
        let (kb, open) = rounds
            .last()
            .map_or((0, 0), |round: &Round| round.peak_usage);
        (memory, descriptors) = (memory.max(kb), descriptors.max(open));
        sleep(Duration::from_millis(150)).await;
    }
    sleep(Duration::from_millis(500)).await;
    let status_after = instance.status().await?;
    let seen = running_load.stop().await.take();
    let verdict = seen.check(&instance.records.borrow(), load.patience);
    let ordinary = {
        let mut all = histogram();
        let mut from =
            rounds.first().map_or(Instant::now(), |round| round.started) - Duration::from_secs(1);
        for round in &rounds {
            all += seen.latencies(from, round.started - Duration::from_millis(20));
            from = round.ended + Duration::from_millis(100);
        }
        all
    };
    for round in &mut rounds {
        let worst = seen
            .latencies(round.started, round.ended + Duration::from_millis(20))
            .max();
        round.stall = Duration::from_micros(worst.saturating_sub(ordinary.value_at_quantile(0.5)));
    }
    instance.drain().await?;
    let _ = instance.wait_for_first_exit().await;
    Ok(report(
        plan,
        &rounds,
        verdict,
        &ordinary,
        (&status_before, &status_after),
        (memory, descriptors),
    ))
}

/// Requests an upgrade to a successor that runs this shell script, and returns the final stage of the upgrade.
pub async fn request_upgrade(instance: &Instance, script: &str) -> io::Result<String> {
    instance.set_successor_script(script)?;
    let mut client = instance.ask(ControlRequest::Upgrade).await?;
    loop {
        let (message, report) = client.next_reply().await?;
        if message != ControlMessage::More {
            return Ok(report["stage"].as_str().unwrap_or("").to_owned());
        }
    }
}

/// Requests an upgrade and injects the drawn failure into its successor.
async fn run_round(
    instance: &Instance,
    successor: &Path,
    behavior: SuccessorBehavior,
) -> io::Result<Round> {
    instance.set_successor_script(&behavior.script(successor))?;
    let successors_before = instance.log_values("successor").len();
    let started = Instant::now();
    let mut client = instance.ask(ControlRequest::Upgrade).await?;
    let mut final_stage = String::new();
    let mut peak_usage = (0, 0);
    loop {
        let (message, report) = client.next_reply().await?;
        let usage = instance.memory_and_descriptors();
        peak_usage = (usage.0.max(peak_usage.0), usage.1.max(peak_usage.1));
        match (message, report["stage"].as_str().unwrap_or(""), behavior) {
            (ControlMessage::More, "starting", SuccessorBehavior::KilledAfterStart(after)) => {
                sleep(Duration::from_millis(after)).await;
                instance.wait_for_successor(successors_before).await?;
                instance.signal_newest(Signal::KILL);
            }
            (ControlMessage::More, "took_over", SuccessorBehavior::KilledAfterTakeover(after)) => {
                sleep(Duration::from_millis(after)).await;
                instance.signal_newest(Signal::KILL);
            }
            (ControlMessage::More, "took_over", SuccessorBehavior::StoppedAfterTakeover(after)) => {
                sleep(Duration::from_millis(after)).await;
                instance.signal_newest(Signal::STOP);
            }
            (ControlMessage::More, ..) => {}
            (_, stage, _) => {
                final_stage += stage;
                break;
            }
        }
    }
    Ok(Round {
        behavior,
        final_stage,
        started,
        ended: Instant::now(),
        stall: Duration::ZERO,
        peak_usage,
    })
}

impl Instance {
    async fn wait_for_successor(&self, successors_before: usize) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(5);
        while self.log_values("successor").len() <= successors_before {
            if Instant::now() >= deadline {
                return Err(io::Error::other(
                    "no successor was started within 5 s of the upgrade request",
                ));
            }
            sleep(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    fn signal_newest(&self, sent: Signal) {
        if let Some(newest) = self.processes().last() {
            signal(*newest, sent);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("bounds"))
}

fn report(
    plan: &Plan,
    rounds: &[Round],
    verdict: Verdict,
    ordinary: &Histogram<u64>,
    (before, after): (&Value, &Value),
    (memory, descriptors): (u64, u64),
) -> (Value, bool) {
    let stalls = |matches: &dyn Fn(&Round) -> bool| {
        let mut all = histogram();
        rounds
            .iter()
            .filter(|round| matches(round))
            .for_each(|round| {
                all.saturating_record((round.stall.as_micros() as u64).max(1));
            });
        all
    };
    let millis = |micros: u64| (micros as f64 / 100.0).round() / 10.0;
    let hung = |round: &Round| matches!(round.behavior, SuccessorBehavior::StoppedAfterTakeover(_));
    let kinds: [(&str, Histogram<u64>); 4] = [
        ("done", stalls(&|round| round.final_stage == "done")),
        ("given_up", stalls(&|round| round.final_stage == "given_up")),
        (
            "taken_back",
            stalls(&|round| round.final_stage == "taken_back" && !hung(round)),
        ),
        // Nothing is served from the hang until it is detected, which takes `silent_ms`.
        (
            "after a hang",
            stalls(&|round| round.final_stage == "taken_back" && hung(round)),
        ),
    ];
    println!(
        "\n{:<12} {:>7} {:>12} {:>12} {:>12}",
        "upgrades", "count", "stall p50", "p99", "worst"
    );
    for (name, stalls) in &kinds {
        let figures = [
            stalls.value_at_quantile(0.5),
            stalls.value_at_quantile(0.99),
            stalls.max(),
        ]
        .map(millis);
        println!(
            "{name:<12} {:>7} {:>9} ms {:>9} ms {:>9} ms",
            stalls.len(),
            figures[0],
            figures[1],
            figures[2]
        );
    }
    println!(
        "ordinary latency: median {} ms, p99 {} ms\n{verdict:?}",
        millis(ordinary.value_at_quantile(0.5)),
        millis(ordinary.value_at_quantile(0.99))
    );
    // An upgrade that succeeds or fails against expectation counts as a failure of the experiment. A successor that is killed
    // early may have had time to take over, so several outcomes are accepted for it.
    let unexpected = rounds.iter().filter(|round| match round.behavior {
        SuccessorBehavior::Succeeds => round.final_stage != "done",
        SuccessorBehavior::KilledAfterStart(_) => round.final_stage == "refused",
        SuccessorBehavior::KilledAfterTakeover(_) | SuccessorBehavior::StoppedAfterTakeover(_) => {
            round.final_stage != "taken_back"
        }
        _ => round.final_stage != "given_up",
    });
    let unexpected = unexpected.count();
    let clean = verdict.is_clean() && unexpected == 0;
    let stall = |stalls: &Histogram<u64>| {
        json!({
            "count": stalls.len(), "p50_ms": millis(stalls.value_at_quantile(0.5)),
            "p99_ms": millis(stalls.value_at_quantile(0.99)), "worst_ms": millis(stalls.max()),
        })
    };
    let failed = rounds
        .iter()
        .filter(|round| round.behavior != SuccessorBehavior::Succeeds)
        .count();
    let line = json!({
        "trial": "upgrade", "seed": plan.seed, "rounds": rounds.len(), "failed": failed, "unexpected": unexpected,
        "lost": verdict.lost, "doubled": verdict.doubled, "spoilt": verdict.spoilt, "run_twice": verdict.run_twice,
        "wrong_feeds": verdict.wrong_feeds, "broken": verdict.broken, "sent": verdict.sent, "served": verdict.served,
        "refused": verdict.refused, "errored": verdict.failed, "rate": plan.rate, "connections": plan.connections,
        "stall_done": stall(&kinds[0].1), "stall_given_up": stall(&kinds[1].1), "stall_taken_back": stall(&kinds[2].1), "stall_hang": stall(&kinds[3].1),
        "ordinary_p50_ms": millis(ordinary.value_at_quantile(0.5)),
        "ordinary_p99_ms": millis(ordinary.value_at_quantile(0.99)),
        "memory_kb": { "before": before["memory_kb"], "after": after["memory_kb"], "both": memory },
        "descriptors": { "before": before["descriptors"], "after": after["descriptors"], "both": descriptors },
    });
    println!("{line}");
    (line, clean)
}
