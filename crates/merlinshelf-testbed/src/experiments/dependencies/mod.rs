//! `experiment dependencies`: the billed value served while dependencies fail as scripted. Compares the program's routing with the
//! previous version, which calls one address per dependency, and with round-robin and retries. Also simulates many instances
//! in virtual time.

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
    /// Number of concurrent runs, each on its own thread.
    pub at_once: u8,
    /// Indexes of the faults to run; all if empty.
    pub faults: Vec<usize>,
    pub program: PathBuf,
}

type Job = (usize, Routing);

fn run_jobs(plan: &Plan, jobs: Vec<Job>) -> io::Result<BTreeMap<Job, Outcome>> {
    let jobs = Mutex::new(jobs.into_iter());
    let outcomes: Mutex<BTreeMap<Job, Outcome>> = Mutex::default();
    let work = |worker: u8| -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let local = LocalSet::new();
        loop {
            let job = jobs.lock().ok().and_then(|mut jobs| jobs.next());
            let Some((fault, routing)) = job else {
                return Ok(());
            };
            let outcome = local.block_on(
                &runtime,
                scenario::run(plan, &FAULTS[fault], routing, 60 + worker),
            )?;
            if let Ok(mut outcomes) = outcomes.lock() {
                outcomes.insert((fault, routing), outcome);
            }
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.at_once.max(1))
            .map(|worker| scope.spawn(move || work(worker)))
            .collect();
        workers
            .into_iter()
            .map(|worker| {
                worker
                    .join()
                    .unwrap_or_else(|_| Err(io::Error::other("a run panicked")))
            })
            .collect::<io::Result<Vec<()>>>()
    })?;
    outcomes
        .into_inner()
        .map_err(|_| io::Error::other("a run panicked"))
}

/// Runs all faults and the simulation. Returns the JSON object of the last line and whether no rule was broken and the value
/// and the number of attempts stayed within their bounds.
///
/// # Errors
/// Fails if an instance or a server can't be started or queried.
pub fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let faults: Vec<usize> = match plan.faults.is_empty() {
        true => (0..FAULTS.len()).collect(),
        false => std::iter::once(0)
            .chain(
                plan.faults
                    .iter()
                    .copied()
                    .filter(|fault| (1..FAULTS.len()).contains(fault)),
            )
            .collect(),
    };
    let jobs = faults
        .iter()
        .flat_map(|fault| Routing::ALL.map(|routing| (*fault, routing)))
        .collect();
    let outcomes = run_jobs(plan, jobs)?;
    println!(
        "{:<44} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "billed value served, of the value requested",
        "routed",
        "before",
        "round",
        "attempts",
        "partial"
    );
    let (mut rows, mut best_count, mut clean) = (Vec::new(), 0, true);
    let (mut first_case, mut worst_attempts) = (f64::NAN, 0.0_f64);
    for &fault in &faults {
        let outcome_of = |routing: Routing| &outcomes[&(fault, routing)];
        let [routed, before, round] = Routing::ALL.map(|routing| outcome_of(routing).value_share);
        let outcome = outcome_of(Routing::Routed);
        println!(
            "{:<44} {routed:>8.3} {before:>8.3} {round:>8.3} {:>9.3} {:>9}{}",
            FAULTS[fault].name,
            outcome.attempts,
            outcome.partial_counted,
            if outcome.partial_counted == outcome.partial_seen {
                ""
            } else {
                " differs from the clients' count"
            }
        );
        clean &= Routing::ALL
            .iter()
            .all(|routing| outcome_of(*routing).broken_rules == 0)
            && outcome.partial_counted == outcome.partial_seen;
        if fault > 0 {
            best_count += usize::from(routed >= before && routed >= round);
            if FAULTS[fault].fails_whole_dependency {
                worst_attempts = worst_attempts.max(outcome.attempts);
            }
        }
        if fault == 1 {
            first_case = routed / outcomes[&(0, Routing::Routed)].value_share;
        }
        rows.push(json!({
            "fault": FAULTS[fault].name, "routed": routed, "before": before, "round": round, "attempts": outcome.attempts,
            "partial": outcome.partial_counted, "partial_seen": outcome.partial_seen, "load": outcome.load,
        }));
    }
    let fleet = simulation::run(300, 100, plan.seed);
    println!(
        "{} instances, {} servers: largest load is {:.3} of the mean, {:.1} connections per instance, a slow server receives less than half its load \
         after {:.2} s, standard deviation of the limits is {:.3} of their mean",
        fleet.instances,
        fleet.servers,
        fleet.evenness,
        fleet.connections,
        fleet.reaction_s,
        fleet.swing
    );
    let line = json!({
        "trial": "dependencies", "seed": plan.seed, "hard_case_1": first_case, "at_least_both": best_count, "faults": faults.len() - 1,
        "attempts_when_all_fails": worst_attempts, "rows": rows, "evenness": fleet.evenness, "connections": fleet.connections,
        "reaction_s": fleet.reaction_s, "swing": fleet.swing, "rules": clean,
    });
    println!("{line}");
    Ok((
        line,
        clean && (first_case.is_nan() || first_case >= 0.85) && worst_attempts <= 1.1,
    ))
}
