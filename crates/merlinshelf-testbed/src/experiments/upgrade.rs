//! `experiment upgrade`: upgrades one after the other under full load, some of which fail in ways drawn by seed.

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
    /// Whether some of these hang rather than die: nobody serves until that is found.
    pub hangs: bool,
    pub rate: f64,
    pub connections: usize,
    /// The instance; its program is the one that serves first.
    pub setup: Setup,
    /// The program of the first successor. After each upgrade that succeeds the two change places.
    pub successor: PathBuf,
}

/// How a round's successor fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Succeeds,
    CanNotBeExecuted,
    RefusesItsConfiguration,
    ExitsAtOnce,
    HangsAtOnce,
    /// Killed so long after it was started.
    KilledEarly(u64),
    /// Killed so long after it took over.
    Killed(u64),
    /// Stopped so long after it took over.
    Stopped(u64),
}

impl Fate {
    fn draw(rng: &mut Pcg64Mcg, fail: f64, hangs: bool, watched_ms: u64) -> Fate {
        if !rng.random_bool(fail) {
            return Fate::Succeeds;
        }
        match rng.random_range(0..12) {
            0 => Fate::CanNotBeExecuted,
            1 => Fate::RefusesItsConfiguration,
            2 => Fate::ExitsAtOnce,
            3 => Fate::HangsAtOnce,
            4 | 5 => Fate::KilledEarly(rng.random_range(0..40)),
            6 | 7 => Fate::Killed(500),
            8..=10 => Fate::Killed(rng.random_range(0..watched_ms * 9 / 10)),
            _ if hangs => Fate::Stopped(rng.random_range(0..watched_ms / 2)),
            _ => Fate::Killed(500),
        }
    }

    /// The lines of the successor's program.
    fn program(self, successor: &Path) -> String {
        let good = format!("exec '{}' \"$@\"", successor.display());
        match self {
            Fate::CanNotBeExecuted => "exec /nowhere/merlinshelf \"$@\"".into(),
            Fate::RefusesItsConfiguration => {
                format!(
                    "exec '{}' serve --config /nowhere/config.json",
                    successor.display()
                )
            }
            Fate::ExitsAtOnce => "exit 3".into(),
            Fate::HangsAtOnce => "exec sleep 1000".into(),
            _ => good,
        }
    }
}

/// One upgrade, as its clients saw it.
struct Round {
    fate: Fate,
    ended: String,
    from: Instant,
    until: Instant,
    stall: Duration,
    /// Memory in KB and descriptors of both processes, at the highest that was seen.
    together: (u64, u64),
}

/// Plays it; the last line that is printed is the JSON object. False where a rule broke.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut instance = Instance::start(&plan.setup, 1).await?;
    let load = Load::of_all(&instance.address, plan.connections, plan.rate, plan.seed);
    let playing = load.start().await?;
    sleep(Duration::from_millis(1500)).await;
    let before = instance.status().await?;
    let mut rounds = Vec::new();
    let (mut serving, mut successor) = (&plan.setup.program, &plan.successor);
    let (mut memory, mut descriptors) = (0, 0);
    for number in 0..plan.rounds {
        let fate = Fate::draw(
            &mut rng,
            plan.fail,
            plan.hangs,
            plan.setup.watched.as_millis() as u64,
        );
        let round = upgrade(&instance, successor, fate).await?;
        if round.ended == "done" {
            std::mem::swap(&mut serving, &mut successor);
        }
        println!(
            "round {:>3}  {:<28} {}",
            number + 1,
            format!("{fate:?}"),
            round.ended
        );
        rounds.push(round);
        let (kb, open) = rounds.last().map_or((0, 0), |round: &Round| round.together);
        (memory, descriptors) = (memory.max(kb), descriptors.max(open));
        sleep(Duration::from_millis(150)).await;
    }
    sleep(Duration::from_millis(500)).await;
    let after = instance.status().await?;
    let seen = playing.stop().await.take();
    let verdict = seen.check(&instance.records.borrow(), load.patience);
    let ordinary = {
        let mut all = histogram();
        let mut from =
            rounds.first().map_or(Instant::now(), |round| round.from) - Duration::from_secs(1);
        for round in &rounds {
            all += seen.latencies(from, round.from - Duration::from_millis(20));
            from = round.until + Duration::from_millis(100);
        }
        all
    };
    for round in &mut rounds {
        let worst = seen
            .latencies(round.from, round.until + Duration::from_millis(20))
            .max();
        round.stall = Duration::from_micros(worst.saturating_sub(ordinary.value_at_quantile(0.5)));
    }
    instance.leave().await?;
    let _ = instance.first_ended().await;
    Ok(report(
        plan,
        &rounds,
        verdict,
        &ordinary,
        (&before, &after),
        (memory, descriptors),
    ))
}

/// Asks for an upgrade to a successor whose program is these lines of a shell, and says how it ended.
pub async fn request_upgrade(instance: &Instance, program: &str) -> io::Result<String> {
    instance.successor_is(program)?;
    let mut talk = instance.ask(ControlRequest::Upgrade).await?;
    loop {
        let (word, report) = talk.next_reply().await?;
        if word != ControlMessage::More {
            return Ok(report["stage"].as_str().unwrap_or("").to_owned());
        }
    }
}

/// Asks for an upgrade and lets the successor fare as drawn.
async fn upgrade(instance: &Instance, successor: &Path, fate: Fate) -> io::Result<Round> {
    instance.successor_is(&fate.program(successor))?;
    let started = instance.values("successor").len();
    let from = Instant::now();
    let mut talk = instance.ask(ControlRequest::Upgrade).await?;
    let mut ended = String::new();
    let mut together = (0, 0);
    loop {
        let (word, report) = talk.next_reply().await?;
        let now = instance.together();
        together = (now.0.max(together.0), now.1.max(together.1));
        match (word, report["stage"].as_str().unwrap_or(""), fate) {
            (ControlMessage::More, "starting", Fate::KilledEarly(after)) => {
                sleep(Duration::from_millis(after)).await;
                instance.logged_successor(started).await?;
                instance.signal_newest(Signal::KILL);
            }
            (ControlMessage::More, "took_over", Fate::Killed(after)) => {
                sleep(Duration::from_millis(after)).await;
                instance.signal_newest(Signal::KILL);
            }
            (ControlMessage::More, "took_over", Fate::Stopped(after)) => {
                sleep(Duration::from_millis(after)).await;
                instance.signal_newest(Signal::STOP);
            }
            (ControlMessage::More, ..) => {}
            (_, stage, _) => {
                ended += stage;
                break;
            }
        }
    }
    Ok(Round {
        fate,
        ended,
        from,
        until: Instant::now(),
        stall: Duration::ZERO,
        together,
    })
}

impl Instance {
    async fn logged_successor(&self, before: usize) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(5);
        while self.values("successor").len() <= before {
            if Instant::now() >= until {
                return Err(io::Error::other("no successor was started"));
            }
            sleep(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    fn signal_newest(&self, what: Signal) {
        if let Some(newest) = self.processes().last() {
            signal(*newest, what);
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
    let stalls = |which: &dyn Fn(&Round) -> bool| {
        let mut all = histogram();
        rounds
            .iter()
            .filter(|round| which(round))
            .for_each(|round| {
                all.saturating_record((round.stall.as_micros() as u64).max(1));
            });
        all
    };
    let millis = |micros: u64| (micros as f64 / 100.0).round() / 10.0;
    let hung = |round: &Round| matches!(round.fate, Fate::Stopped(_));
    let kinds: [(&str, Histogram<u64>); 4] = [
        ("done", stalls(&|round| round.ended == "done")),
        ("given_up", stalls(&|round| round.ended == "given_up")),
        (
            "taken_back",
            stalls(&|round| round.ended == "taken_back" && !hung(round)),
        ),
        // Nobody serves from the hang until it is found: that takes `silent_ms`.
        (
            "after a hang",
            stalls(&|round| round.ended == "taken_back" && hung(round)),
        ),
    ];
    println!(
        "\n{:<12} {:>7} {:>12} {:>12} {:>12}",
        "upgrades", "count", "stall p50", "p99", "worst"
    );
    for (name, of) in &kinds {
        let figures = [
            of.value_at_quantile(0.5),
            of.value_at_quantile(0.99),
            of.max(),
        ]
        .map(millis);
        println!(
            "{name:<12} {:>7} {:>9} ms {:>9} ms {:>9} ms",
            of.len(),
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
    // A successor that should have lived and did not, or the other way round, is a finding as well. One that is killed
    // early may have had time to take over.
    let unexpected = rounds.iter().filter(|round| match round.fate {
        Fate::Succeeds => round.ended != "done",
        Fate::KilledEarly(_) => round.ended == "refused",
        Fate::Killed(_) | Fate::Stopped(_) => round.ended != "taken_back",
        _ => round.ended != "given_up",
    });
    let unexpected = unexpected.count();
    let clean = verdict.is_clean() && unexpected == 0;
    let stall = |of: &Histogram<u64>| {
        json!({
            "count": of.len(), "p50_ms": millis(of.value_at_quantile(0.5)),
            "p99_ms": millis(of.value_at_quantile(0.99)), "worst_ms": millis(of.max()),
        })
    };
    let failed = rounds
        .iter()
        .filter(|round| round.fate != Fate::Succeeds)
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
