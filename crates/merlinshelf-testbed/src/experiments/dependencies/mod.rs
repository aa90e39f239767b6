//! `trial dependencies`: what is served while dependencies fail by script, by the program with its routes, by the version before (one
//! address each) and by plain round-robin with tries; and many instances in virtual time.

pub mod scenario;
pub mod simulation;

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Mutex;

use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

pub use scenario::{FAULTS, Fault, Outcome, Routing};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub rate: f64,
    /// Plays at one time, each on a thread of its own.
    pub at_once: u8,
    /// Places of the faults that are played; none: all.
    pub faults: Vec<usize>,
    pub program: PathBuf,
}

type Job = (usize, Routing);

fn plays(plan: &Plan, jobs: Vec<Job>) -> io::Result<BTreeMap<Job, Outcome>> {
    let jobs = Mutex::new(jobs.into_iter());
    let found: Mutex<BTreeMap<Job, Outcome>> = Mutex::default();
    let work = |worker: u8| -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let local = LocalSet::new();
        loop {
            let job = jobs.lock().ok().and_then(|mut jobs| jobs.next());
            let Some((fault, how)) = job else {
                return Ok(());
            };
            let played = local.block_on(
                &runtime,
                scenario::run(plan, &FAULTS[fault], how, 60 + worker),
            )?;
            if let Ok(mut found) = found.lock() {
                found.insert((fault, how), played);
            }
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.at_once.max(1))
            .map(|worker| scope.spawn(move || work(worker)))
            .collect();
        let ended = workers.into_iter();
        ended
            .map(|worker| {
                worker
                    .join()
                    .unwrap_or_else(|_| Err(io::Error::other("a play panicked")))
            })
            .collect::<io::Result<Vec<()>>>()
    })?;
    found
        .into_inner()
        .map_err(|_| io::Error::other("a play panicked"))
}

/// Plays everything; the last line, and whether the rules held.
///
/// # Errors
/// What can't be played.
pub fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let all: Vec<usize> = match plan.faults.is_empty() {
        true => (0..FAULTS.len()).collect(),
        false => std::iter::once(0)
            .chain(
                plan.faults
                    .iter()
                    .copied()
                    .filter(|one| (1..FAULTS.len()).contains(one)),
            )
            .collect(),
    };
    let jobs = all
        .iter()
        .flat_map(|fault| Routing::ALL.map(|how| (*fault, how)))
        .collect();
    let found = plays(plan, jobs)?;
    println!(
        "{:<44} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "billed value in the objective, of what was asked",
        "routed",
        "before",
        "round",
        "attempts",
        "partial"
    );
    let (mut rows, mut above, mut clean) = (Vec::new(), 0, true);
    let (mut first_case, mut worst_attempts) = (f64::NAN, 0.0_f64);
    for &fault in &all {
        let of = |how: Routing| &found[&(fault, how)];
        let [routed, before, round] = Routing::ALL.map(|how| of(how).share);
        let one = of(Routing::Routed);
        println!(
            "{:<44} {routed:>8.3} {before:>8.3} {round:>8.3} {:>9.3} {:>9}{}",
            FAULTS[fault].name,
            one.attempts,
            one.partial_told,
            if one.partial_told == one.partial_seen {
                ""
            } else {
                " not as clients saw"
            }
        );
        clean &= Routing::ALL.iter().all(|how| of(*how).broken_rules == 0)
            && one.partial_told == one.partial_seen;
        if fault > 0 {
            above += usize::from(routed >= before && routed >= round);
            if FAULTS[fault].whole {
                worst_attempts = worst_attempts.max(one.attempts);
            }
        }
        if fault == 1 {
            first_case = routed / found[&(0, Routing::Routed)].share;
        }
        rows.push(json!({
            "fault": FAULTS[fault].name, "routed": routed, "before": before, "round": round, "attempts": one.attempts,
            "partial": one.partial_told, "partial_seen": one.partial_seen, "load": one.load,
        }));
    }
    let many = simulation::run(300, 100, plan.seed);
    println!(
        "{} instances, {} servers: largest load over mean {:.3}, {:.1} connections an instance, a slow server gets half its share after {:.2} s, \
         the limit swings by {:.3} of its mean",
        many.instances, many.servers, many.evenness, many.connections, many.reaction_s, many.swing
    );
    let line = json!({
        "trial": "dependencies", "seed": plan.seed, "hard_case_1": first_case, "at_least_both": above, "faults": all.len() - 1,
        "attempts_when_all_fails": worst_attempts, "rows": rows, "evenness": many.evenness, "connections": many.connections,
        "reaction_s": many.reaction_s, "swing": many.swing, "rules": clean,
    });
    println!("{line}");
    Ok((
        line,
        clean && (first_case.is_nan() || first_case >= 0.85) && worst_attempts <= 1.1,
    ))
}
