//! `experiment learning`: the benefit of observations from peers, the damage done by bad peers, the cost of gossip for an instance
//! and a fleet, and the state of the gossip store after crashes.

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
    /// Number of concurrent runs, each on its own thread.
    pub at_once: u8,
    pub program: PathBuf,
    /// Fleet sizes that are simulated in virtual time.
    pub fleets: Vec<usize>,
    /// Number of runs of each case of the cost measurement.
    pub costs: u64,
    /// Number of file operations at each of which an incarnation crashes, twice in a row.
    pub crashes: u32,
}

/// The median and the 5th and 95th percentile.
fn percentiles(values: &mut [f64]) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |quantile: f64| values[((values.len() - 1) as f64 * quantile).round() as usize];
    (at(0.5), at(0.05), at(0.95))
}

/// Whether there is an outage, the seed, and the source of observations.
type Job = (bool, u64, PriorSource);

/// Runs all jobs of all seeds, some of them concurrently.
fn run_jobs(plan: &Plan) -> io::Result<BTreeMap<Job, ValueSeries>> {
    let with_outage = |seed: u64| benefit::ALL.map(|source| (true, seed, source));
    let without_outage = |seed: u64| {
        [
            PriorSource::Cold,
            PriorSource::WrongPeer,
            PriorSource::LyingPeer,
        ]
        .map(|source| (false, seed, source))
    };
    let seeds = plan.seed..plan.seed + plan.seeds;
    let jobs: Vec<Job> = seeds
        .flat_map(|seed| with_outage(seed).into_iter().chain(without_outage(seed)))
        .collect();
    let jobs = Mutex::new(jobs.into_iter());
    let results: Mutex<BTreeMap<Job, ValueSeries>> = Mutex::default();
    let work = |worker: u8| -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let local = LocalSet::new();
        loop {
            let job = jobs.lock().ok().and_then(|mut jobs| jobs.next());
            let Some((outage, seed, source)) = job else {
                return Ok(());
            };
            let run = benefit::run(outage, &plan.program, seed, source, 2 + 2 * worker);
            let series = local.block_on(&runtime, run)?;
            if let Ok(mut results) = results.lock() {
                results.insert((outage, seed, source), series);
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
                .unwrap_or_else(|_| Err(io::Error::other("a run panicked")))
        })
    })?;
    results
        .into_inner()
        .map_err(|_| io::Error::other("a run panicked"))
}

/// Median costs with learning off, on, and on while peers poll, measured in alternating runs.
fn measure_costs(plan: &Plan) -> io::Result<Value> {
    use cost::Case;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let mut measured: [(Vec<f64>, Vec<f64>, Vec<f64>); 3] = Default::default();
    for round in 0..plan.costs {
        for (index, case) in [Case::Off, Case::On, Case::Polled].into_iter().enumerate() {
            let seed = plan.seed + 3 * round + index as u64;
            let cost = local.block_on(&runtime, cost::run(&plan.program, case, seed))?;
            measured[index].0.push(cost.cpu_us);
            measured[index].1.push(cost.p99_ms);
            measured[index].2.push(cost.answered_per_s);
        }
    }
    if plan.costs == 0 {
        return Ok(Value::Null);
    }
    let [off, on, polled] = measured.map(|(mut us, mut p99, mut answered)| {
        (
            percentiles(&mut us).0,
            percentiles(&mut p99).0,
            percentiles(&mut answered).0,
        )
    });
    println!(
        "relative to learning off: on, CPU time {:.3} and p99 latency {:.3}; polled {:.0} times per second, {:.3} and {:.3}",
        on.0 / off.0,
        on.1 / off.1,
        polled.2,
        polled.0 / off.0,
        polled.1 / off.1
    );
    Ok(json!({
        "on": on.0 / off.0, "on_p99": on.1 / off.1, "asked": polled.0 / off.0, "asked_p99": polled.1 / off.1,
        "answered_per_s": polled.2,
    }))
}

/// Runs all parts. Returns the JSON object of the last line and whether the results are within their bounds.
///
/// # Errors
/// Fails if an instance or its load can't be started.
pub fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let results = run_jobs(plan)?;
    if std::env::var_os("MERLINSHELF_LAB_STEPS").is_some() {
        results.iter().for_each(|((outage, seed, source), series)| {
            println!(
                "{seed} {} {}: {}",
                if *outage { "outage" } else { "none" },
                source.name(),
                series.text()
            );
        });
    }
    let mut settling_times = BTreeMap::new();
    println!(
        "{:<16} {:>8} {:>19} {:>13} {:>8}",
        "observations of", "settled", "90% of runs", "against cold", "share"
    );
    for source in benefit::ALL {
        let (mut times, mut shares, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
        for seed in plan.seed..plan.seed + plan.seeds {
            // All sources are compared with the steady peer under the same load.
            if let (Some(steady), Some(series)) = (
                results.get(&(true, seed, PriorSource::SteadyPeer)),
                results.get(&(true, seed, source)),
            ) {
                let settling_time = |series: &ValueSeries| {
                    series.settling_time(steady.steady_share()).as_secs_f64()
                };
                times.push(settling_time(series));
                // Ratios are paired by seed, which cancels the variation of the load between seeds.
                if let Some(cold) = results.get(&(true, seed, PriorSource::Cold)) {
                    ratios
                        .push(settling_time(series) / settling_time(cold).max(STEP.as_secs_f64()));
                }
                shares.push(series.steady_share());
            }
        }
        let ((median, low, high), (share, ..)) =
            (percentiles(&mut times), percentiles(&mut shares));
        let ratio = percentiles(&mut ratios).0;
        println!(
            "{:<16} {median:>6.2} s {low:>8.2} to {high:>5.2} s {ratio:>13.3} {share:>8.3}",
            source.name()
        );
        settling_times.insert(source, (median, ratio));
    }
    let median_of = |source: PriorSource| {
        settling_times
            .get(&source)
            .map_or(f64::NAN, |(median, _)| *median)
    };
    let cold = median_of(PriorSource::Cold);
    let with_observations =
        median_of(PriorSource::SteadyPeer).max(median_of(PriorSource::OwnStore));
    let bad_sources = || settling_times.iter().filter(|(source, _)| source.is_bad());
    let worst = bad_sources()
        .map(|(_, (median, _))| *median)
        .fold(0.0, f64::max);
    let worst_ratio = bad_sources()
        .map(|(_, (_, ratio))| *ratio)
        .fold(0.0, f64::max);
    // Without an outage: the first second with bad observations that report one, compared with a cold start.
    let first_second = |source: PriorSource| {
        let seeds = plan.seed..plan.seed + plan.seeds;
        let mut shares: Vec<f64> = seeds
            .filter_map(|seed| {
                results
                    .get(&(false, seed, source))
                    .map(ValueSeries::first_second)
            })
            .collect();
        percentiles(&mut shares).0
    };
    let (cold_first_second, misled_first_second) = (
        first_second(PriorSource::Cold),
        first_second(PriorSource::LyingPeer).min(first_second(PriorSource::WrongPeer)),
    );
    println!(
        "without an outage: first second {cold_first_second:.3} cold, {misled_first_second:.3} with bad peers that report an outage"
    );
    let costs = measure_costs(plan)?;
    let mut fleets = Vec::new();
    for &count in &plan.fleets {
        let fleet = fleet::run(count, plan.seed);
        println!(
            "{count:>5} peers: {:.2} messages and {:.0} bytes per peer and second, all peers detect a crash within \
             {:.1} s, {:.0} KB per peer",
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
        "trial": "learning", "seed": plan.seed, "seeds": plan.seeds, "cold_s": cold, "taught_s": with_observations,
        "worst_bad_teacher": worst, "worst_bad_teacher_against_cold": worst_ratio, "calm_first_second": cold_first_second, "calm_first_second_lied_to": misled_first_second, "teacher": costs, "fleets": fleets, "crashes": crashes.crashes,
        "stores_read_back": crashes.read_back, "stores_wrong": crashes.wrong,
    });
    println!("{line}");
    let holds = crashes.wrong == 0
        && with_observations <= 0.5 * cold
        && worst_ratio <= 1.05
        && misled_first_second >= 0.95 * cold_first_second;
    Ok((line, holds))
}
