//! `experiment uwsgi`: the same overload through FastCGI, through uwsgi and through both, ended by a graceful shutdown.
//! Compares the shares of each operation that are served, throttled and errored, and the CPU time per invocation.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::instance::{Instance, Setup};
use crate::load::{FrontProtocol, Load};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    /// Invocations per second; at 300 about half of them are admitted.
    pub rate: f64,
    pub program: PathBuf,
}

const FRONTS: [(FrontProtocol, &str); 3] = [
    (FrontProtocol::FastCgi, "fastcgi"),
    (FrontProtocol::Uwsgi, "uwsgi"),
    (FrontProtocol::Both, "both"),
];
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// CPU time of one run; two runs fit on the cores at a time.
const RUN_DURATION: Duration = Duration::from_millis(10);

/// Counts of sent, served, throttled and errored invocations by operation.
type OperationCounts = BTreeMap<String, [u64; 4]>;

struct Outcome {
    counts: OperationCounts,
    lost: u64,
    doubled: u64,
    /// CPU time of the program per invocation, in microseconds.
    cpu_us: f64,
}

async fn run_once(
    plan: &Plan,
    seed: u64,
    front: FrontProtocol,
    address_number: u8,
) -> io::Result<Outcome> {
    let mut setup = Setup::small(&plan.program);
    (
        setup.uwsgi,
        setup.fakes.run_duration,
        setup.cores,
        setup.fakes.cores,
    ) = (true, RUN_DURATION, 2, 2.0);
    let mut instance = Instance::start(&setup, address_number).await?;
    let load = Load {
        front_protocol: front,
        ..Load::with_example_operations(&instance.address, 24, plan.rate, seed)
    };
    let cpu_before = instance.cpu_time()?;
    let running_load = load.start().await?;
    sleep(LOAD_DURATION).await;
    let cpu = instance.cpu_time()? - cpu_before;
    let sent_count = running_load.record.borrow().sent.len();
    instance.drain().await?;
    let seen = running_load.stop().await.take();
    let verdict = seen.check(&instance.records.borrow(), load.patience);
    instance.kill_all().await;
    let mut counts = OperationCounts::new();
    for sent in seen.sent.values() {
        let count = counts.entry(sent.operation.clone()).or_default();
        count[0] += 1;
        match sent.answers.first().map(|(_, status)| *status) {
            Some(200) => count[1] += 1,
            Some(429 | 503) => count[2] += 1,
            // Sent after the listener closed, so no process received it: not counted as sent.
            Some(599) => count[0] -= 1,
            _ => count[3] += 1,
        }
    }
    let lost = verdict.lost + verdict.run_twice + verdict.spoilt + verdict.wrong_feeds;
    Ok(Outcome {
        counts,
        lost,
        doubled: verdict.doubled,
        cpu_us: cpu.as_secs_f64() * 1e6 / sent_count.max(1) as f64,
    })
}

/// The mean and the half-width of its 95% confidence interval. Uses Student's t, since the samples are few.
fn mean(values: &[f64]) -> (f64, f64) {
    const T: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    let variance = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0).max(1.0);
    let t = T
        .get(values.len().saturating_sub(2))
        .copied()
        .unwrap_or(2.0);
    (
        mean,
        if values.len() < 2 {
            f64::NAN
        } else {
            t * (variance / count).sqrt()
        },
    )
}

/// Runs all seeds and returns the JSON object of the last line and whether nothing was lost or doubled.
///
/// # Errors
/// Fails if an instance or its load can't be started or controlled.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut shares: BTreeMap<(&str, String), [Vec<f64>; 3]> = BTreeMap::new();
    let mut costs: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let (mut lost, mut doubled, mut sent) = (0, 0, 0);
    for seed in plan.seed..plan.seed + plan.seeds {
        for (index, (front, name)) in FRONTS.into_iter().enumerate() {
            let outcome = run_once(plan, seed, front, 80 + index as u8).await?;
            (lost, doubled) = (lost + outcome.lost, doubled + outcome.doubled);
            costs.entry(name).or_default().push(outcome.cpu_us);
            for (operation, [total, served, throttled, errored]) in outcome.counts {
                sent += total;
                let values_by_result = shares.entry((name, operation)).or_default();
                for (values, count) in values_by_result
                    .iter_mut()
                    .zip([served, throttled, errored])
                {
                    values.push(count as f64 / total.max(1) as f64);
                }
            }
        }
    }
    println!(
        "{:<10} {:<20} {:>17} {:>17} {:>17}",
        "front", "operation", "served", "throttled", "errored"
    );
    let mut rows = Vec::new();
    for ((front, operation), values) in &shares {
        let [served, throttled, errored] = [0, 1, 2].map(|result| mean(&values[result]));
        let text = |(mean, half_width): (f64, f64)| format!("{mean:.3} +- {half_width:.3}");
        println!(
            "{front:<10} {operation:<20} {:>17} {:>17} {:>17}",
            text(served),
            text(throttled),
            text(errored)
        );
        rows.push(json!({
            "front": front, "operation": operation, "served": served.0, "served_95": served.1, "throttled": throttled.0,
            "errored": errored.0,
        }));
    }
    // Differences are paired by seed, which cancels the variation of the load between seeds.
    let mut differences = Vec::new();
    for ((front, operation), values) in shares.iter().filter(|((front, _), _)| *front != "fastcgi")
    {
        let base = &shares[&("fastcgi", operation.clone())];
        let paired: Vec<f64> = values[0]
            .iter()
            .zip(&base[0])
            .map(|(value, baseline)| value - baseline)
            .collect();
        let (mean, half_width) = mean(&paired);
        println!(
            "{front:<10} {operation:<20} served, difference to fastcgi: {mean:+.3} +- {half_width:.3}"
        );
        differences.push(
            json!({ "front": front, "operation": operation, "apart": mean, "apart_95": half_width }),
        );
    }
    let cost = |name: &str| mean(&costs[name]).0;
    println!(
        "{sent} sent, {lost} lost, {doubled} doubled; CPU time per invocation relative to FastCGI: uwsgi {:.3}, both {:.3}",
        cost("uwsgi") / cost("fastcgi"),
        cost("both") / cost("fastcgi")
    );
    let line = json!({
        "trial": "uwsgi", "seed": plan.seed, "seeds": plan.seeds, "sent": sent, "lost": lost, "doubled": doubled, "rows": rows,
        "apart": differences, "cost_uwsgi": cost("uwsgi") / cost("fastcgi"), "cost_both": cost("both") / cost("fastcgi"),
    });
    println!("{line}");
    Ok((line, lost + doubled == 0))
}
