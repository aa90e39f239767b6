//! `trial uwsgi`: the same mix in overload by FastCGI, by uwsgi and by both, with a notice to leave at its end: whether the same share
//! of each operation is served, throttled and errored, and what an invocation costs.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::instance::{Instance, Setup};
use crate::load::{Front, Load};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    /// Invocations a second; of 300 about half is taken in.
    pub rate: f64,
    pub program: PathBuf,
}

const FRONTS: [(Front, &str); 3] = [
    (Front::FastCgi, "fastcgi"),
    (Front::Uwsgi, "uwsgi"),
    (Front::Both, "both"),
];
const PLAYS: Duration = Duration::from_secs(5);
/// A run's time on one of two cores.
const WORK: Duration = Duration::from_millis(10);

/// By operation: sent, served, throttled, errored.
type Sums = BTreeMap<String, [u64; 4]>;

struct Played {
    sums: Sums,
    lost: u64,
    doubled: u64,
    /// Time on the cores of the program, by invocation, in microseconds.
    us: f64,
}

async fn play(plan: &Plan, seed: u64, front: Front, number: u8) -> io::Result<Played> {
    let mut setup = Setup::small(&plan.program);
    (
        setup.uwsgi,
        setup.manner.work,
        setup.cores,
        setup.manner.cores,
    ) = (true, WORK, 2, 2.0);
    let mut instance = Instance::start(&setup, number).await?;
    let load = Load {
        front,
        ..Load::of_all(&instance.address, 24, plan.rate, seed)
    };
    let before = instance.cpu()?;
    let playing = load.start().await?;
    sleep(PLAYS).await;
    let cpu = instance.cpu()? - before;
    let until = playing.seen.borrow().sent.len();
    instance.leave().await?;
    let seen = playing.stop().await.take();
    let verdict = seen.check(&instance.records.borrow(), load.patience);
    instance.end().await;
    let mut sums = Sums::new();
    for sent in seen.sent.values() {
        let sum = sums.entry(sent.operation.clone()).or_default();
        sum[0] += 1;
        match sent.answers.first().map(|(_, status)| *status) {
            Some(200) => sum[1] += 1,
            Some(429 | 503) => sum[2] += 1,
            // Found nobody after the listener closed: neither the program's nor anybody's.
            Some(599) => sum[0] -= 1,
            _ => sum[3] += 1,
        }
    }
    let lost = verdict.lost + verdict.run_twice + verdict.spoilt + verdict.wrong_feeds;
    Ok(Played {
        sums,
        lost,
        doubled: verdict.doubled,
        us: cpu.as_secs_f64() * 1e6 / until.max(1) as f64,
    })
}

/// Mean and half of a 95% interval by Student's t, for few plays.
fn mean(values: &[f64]) -> (f64, f64) {
    const T: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    let square = values
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
            t * (square / count).sqrt()
        },
    )
}

/// Plays all; the last line, and whether nothing was lost or doubled.
///
/// # Errors
/// What can't be played.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut shares: BTreeMap<(&str, String), [Vec<f64>; 3]> = BTreeMap::new();
    let mut costs: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let (mut lost, mut doubled, mut sent) = (0, 0, 0);
    for seed in plan.seed..plan.seed + plan.seeds {
        for (place, (front, name)) in FRONTS.into_iter().enumerate() {
            let played = play(plan, seed, front, 80 + place as u8).await?;
            (lost, doubled) = (lost + played.lost, doubled + played.doubled);
            costs.entry(name).or_default().push(played.us);
            for (operation, [all, served, throttled, errored]) in played.sums {
                sent += all;
                let of = shares.entry((name, operation)).or_default();
                for (values, count) in of.iter_mut().zip([served, throttled, errored]) {
                    values.push(count as f64 / all.max(1) as f64);
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
        let [served, throttled, errored] = [0, 1, 2].map(|which| mean(&values[which]));
        let text = |(mean, half): (f64, f64)| format!("{mean:.3} +- {half:.3}");
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
    // Paired by seed, so that what the load does to all counts for none.
    let mut apart = Vec::new();
    for ((front, operation), values) in shares.iter().filter(|((front, _), _)| *front != "fastcgi")
    {
        let base = &shares[&("fastcgi", operation.clone())];
        let differences: Vec<f64> = values[0]
            .iter()
            .zip(&base[0])
            .map(|(one, other)| one - other)
            .collect();
        let (mean, half) = mean(&differences);
        println!("{front:<10} {operation:<20} served less fastcgi's: {mean:+.3} +- {half:.3}");
        apart.push(
            json!({ "front": front, "operation": operation, "apart": mean, "apart_95": half }),
        );
    }
    let of = |name: &str| mean(&costs[name]).0;
    println!(
        "{sent} sent, {lost} lost, {doubled} doubled; time on the cores an invocation: uwsgi {:.3} and both {:.3} of FastCGI's",
        of("uwsgi") / of("fastcgi"),
        of("both") / of("fastcgi")
    );
    let line = json!({
        "trial": "uwsgi", "seed": plan.seed, "seeds": plan.seeds, "sent": sent, "lost": lost, "doubled": doubled, "rows": rows,
        "apart": apart, "cost_uwsgi": of("uwsgi") / of("fastcgi"), "cost_both": of("both") / of("fastcgi"),
    });
    println!("{line}");
    Ok((line, lost + doubled == 0))
}
