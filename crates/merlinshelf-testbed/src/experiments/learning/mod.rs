//! `trial learning`: what being taught is worth, what bad teachers cost, what it costs a fleet, and what crashes leave.

pub mod benefit;
pub mod cost;
pub mod crashes;
pub mod fleet;

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Mutex;

use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use benefit::{PriorSource, STEP, ValueSeries};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    /// Plays at one time, each on a thread of its own.
    pub at_once: u8,
    pub program: PathBuf,
    /// Fleet sizes in virtual time.
    pub fleets: Vec<usize>,
    /// How often each of the three cases of what teaching costs is played.
    pub costs: u64,
    /// Operations of a life at each of which it crashes, twice in a row.
    pub crashes: u32,
}

/// Median and the middle 90%.
fn spread(values: &mut [f64]) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
    (at(0.5), at(0.05), at(0.95))
}

/// Whether there is an outage, the seed, and the teacher.
type Job = (bool, u64, PriorSource);

/// All plays of all seeds, some at one time.
fn plays(plan: &Plan) -> io::Result<BTreeMap<Job, ValueSeries>> {
    let outage = |seed: u64| benefit::ALL.map(|teacher| (true, seed, teacher));
    let none = |seed: u64| {
        [PriorSource::Nobody, PriorSource::Wrong, PriorSource::Lying].map(|of| (false, seed, of))
    };
    let seeds = plan.seed..plan.seed + plan.seeds;
    let jobs: Vec<Job> = seeds
        .flat_map(|seed| outage(seed).into_iter().chain(none(seed)))
        .collect();
    let jobs = Mutex::new(jobs.into_iter());
    let found: Mutex<BTreeMap<Job, ValueSeries>> = Mutex::default();
    let work = |worker: u8| -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let local = LocalSet::new();
        loop {
            let job = jobs.lock().ok().and_then(|mut jobs| jobs.next());
            let Some((outage, seed, teacher)) = job else {
                return Ok(());
            };
            let play = benefit::run(outage, &plan.program, seed, teacher, 2 + 2 * worker);
            let steps = local.block_on(&runtime, play)?;
            if let Ok(mut found) = found.lock() {
                found.insert((outage, seed, teacher), steps);
            }
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.at_once)
            .map(|worker| scope.spawn(move || work(worker)))
            .collect();
        workers.into_iter().try_for_each(|worker| {
            worker
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("a play panicked")))
        })
    })?;
    found
        .into_inner()
        .map_err(|_| io::Error::other("a play panicked"))
}

/// Median costs with learning off, on, and asked by many, played in turn.
fn costs(plan: &Plan) -> io::Result<Value> {
    use cost::Case;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let mut found: [(Vec<f64>, Vec<f64>, Vec<f64>); 3] = Default::default();
    for round in 0..plan.costs {
        for (place, case) in [Case::Off, Case::On, Case::Asked].into_iter().enumerate() {
            let seed = plan.seed + 3 * round + place as u64;
            let cost = local.block_on(&runtime, cost::run(&plan.program, case, seed))?;
            found[place].0.push(cost.us);
            found[place].1.push(cost.p99_ms);
            found[place].2.push(cost.answered);
        }
    }
    if plan.costs == 0 {
        return Ok(Value::Null);
    }
    let [off, on, asked] = found.map(|(mut us, mut p99, mut answered)| {
        (
            spread(&mut us).0,
            spread(&mut p99).0,
            spread(&mut answered).0,
        )
    });
    println!(
        "learning on: {:.3} of the time on the cores without it, 99th latency {:.3}; asked {:.0} times a second: {:.3} and {:.3}",
        on.0 / off.0,
        on.1 / off.1,
        asked.2,
        asked.0 / off.0,
        asked.1 / off.1
    );
    Ok(json!({
        "on": on.0 / off.0, "on_p99": on.1 / off.1, "asked": asked.0 / off.0, "asked_p99": asked.1 / off.1,
        "answered_per_s": asked.2,
    }))
}

/// Plays everything; the last line, and whether what must hold holds.
///
/// # Errors
/// What can't be played.
pub fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let found = plays(plan)?;
    if std::env::var_os("MERLINSHELF_LAB_STEPS").is_some() {
        found.iter().for_each(|((outage, seed, of), steps)| {
            println!(
                "{seed} {} {}: {}",
                if *outage { "outage" } else { "none" },
                of.name(),
                steps.text()
            );
        });
    }
    let mut settled = BTreeMap::new();
    println!(
        "{:<16} {:>8} {:>19} {:>13} {:>8}",
        "taught by", "settled", "90% of plays", "against cold", "share"
    );
    for teacher in benefit::ALL {
        let (mut times, mut shares, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
        for seed in plan.seed..plan.seed + plan.seeds {
            // What a steady one comes to under the same load is what all are held against.
            if let (Some(steady), Some(steps)) = (
                found.get(&(true, seed, PriorSource::Steady)),
                found.get(&(true, seed, teacher)),
            ) {
                let settled = |steps: &ValueSeries| steps.settled(steady.steady()).as_secs_f64();
                times.push(settled(steps));
                // Of the same seed, so that what the load does to all counts for none.
                if let Some(cold) = found.get(&(true, seed, PriorSource::Nobody)) {
                    ratios.push(settled(steps) / settled(cold).max(STEP.as_secs_f64()));
                }
                shares.push(steps.steady());
            }
        }
        let ((median, low, high), (share, ..)) = (spread(&mut times), spread(&mut shares));
        let ratio = spread(&mut ratios).0;
        println!(
            "{:<16} {median:>6.2} s {low:>8.2} to {high:>5.2} s {ratio:>13.3} {share:>8.3}",
            teacher.name()
        );
        settled.insert(teacher, (median, ratio));
    }
    let of = |teacher: PriorSource| {
        settled
            .get(&teacher)
            .map_or(f64::NAN, |(median, _)| *median)
    };
    let cold = of(PriorSource::Nobody);
    let taught = of(PriorSource::Steady).max(of(PriorSource::OwnFile));
    let bad = || settled.iter().filter(|(teacher, _)| teacher.is_bad());
    let worst = bad().map(|(_, (median, _))| *median).fold(0.0, f64::max);
    let worst_ratio = bad().map(|(_, (_, ratio))| *ratio).fold(0.0, f64::max);
    // Told of an outage where there is none: the first second, against a cold one's.
    let first = |teacher: PriorSource| {
        let seeds = plan.seed..plan.seed + plan.seeds;
        let mut shares: Vec<f64> = seeds
            .filter_map(|seed| found.get(&(false, seed, teacher)).map(ValueSeries::first))
            .collect();
        spread(&mut shares).0
    };
    let (calm, lied) = (
        first(PriorSource::Nobody),
        first(PriorSource::Lying).min(first(PriorSource::Wrong)),
    );
    println!(
        "without an outage: first second {calm:.3} cold, {lied:.3} told of one by bad teachers"
    );
    let costs = costs(plan)?;
    let mut fleets = Vec::new();
    for &count in &plan.fleets {
        let fleet = fleet::run(count, plan.seed);
        println!(
            "{count:>5} peers: {:.2} messages and {:.0} bytes a peer and second, a change is known to all within \
             {:.1} s, {:.0} KB a peer",
            fleet.messages, fleet.bytes, fleet.known_s, fleet.memory_kb
        );
        fleets.push(json!({
            "peers": count, "messages": fleet.messages, "bytes": fleet.bytes, "known_s": fleet.known_s,
            "memory_kb": fleet.memory_kb,
        }));
    }
    let crashes = crashes::run(plan.seed, plan.crashes);
    println!(
        "{} crashes, {} stores read back, {} wrong",
        crashes.crashes, crashes.read_back, crashes.wrong
    );
    let line = json!({
        "trial": "learning", "seed": plan.seed, "seeds": plan.seeds, "cold_s": cold, "taught_s": taught,
        "worst_bad_teacher": worst, "worst_bad_teacher_against_cold": worst_ratio, "calm_first_second": calm, "calm_first_second_lied_to": lied, "teacher": costs, "fleets": fleets, "crashes": crashes.crashes,
        "stores_read_back": crashes.read_back, "stores_wrong": crashes.wrong,
    });
    println!("{line}");
    let holds =
        crashes.wrong == 0 && taught <= 0.5 * cold && worst_ratio <= 1.05 && lied >= 0.95 * calm;
    Ok((line, holds))
}
