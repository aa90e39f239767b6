//! `trial shares --loops`: whether an overload outlives its cause. The catalogue works at a third for ten seconds under a load of so much of
//! its capacity, no operation can do without its call, and callers send again at once what is not served.

use std::io;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::shares::{BudgetMode, Plan};
use crate::budgets::{hold, policy};
use crate::fakes::Manners;
use crate::installation::{Installation, Made, check};
use crate::load::{Load, Playing};

/// The catalogue's: 20 ms a call, 8 at one time, so that it bears 400 a second.
const BELOW: (Duration, usize) = (Duration::from_millis(20), 8);
const CAPACITY: f64 = 400.0;
const CAUSE: f64 = 10.0;
/// Of what was served before, so much must be served again.
const AGAIN_FROM: f64 = 0.95;
const LOOKED: f64 = 20.0;
/// How long a caller waits, and within which of its first try an invocation counts as served.
const PATIENCE: f64 = 1.5;

struct Played {
    before: f64,
    during: f64,
    /// Seconds from the cause's end until service is back for two seconds on end; none: not while it was looked at.
    back_s: Option<f64>,
    tries: f64,
    lost: u64,
    doubled: u64,
}

/// The share of what was first sent in this time that was served within a caller's patience, by whichever try.
fn served(playing: &[(usize, u16, Load, Playing)], from: Instant, until: Instant) -> f64 {
    let (mut sent, mut served) = (0_u32, 0_u32);
    for (.., playing) in playing {
        for (at, got) in playing.seen.borrow().wished.values() {
            if *at >= from && *at < until {
                sent += 1;
                served += u32::from(got.is_some_and(|got| (got - *at).as_secs_f64() <= PATIENCE));
            }
        }
    }
    f64::from(served) / f64::from(sent.max(1))
}

async fn one(
    plan: &Plan,
    way: BudgetMode,
    part: f64,
    tries: u32,
    seed: u64,
    number: u8,
) -> io::Result<Played> {
    let set_aside = json!({ "catalogue": { "again": 1, "probes": 1, "first": 4, "opened": 10 } });
    let budgets = if way == BudgetMode::Before {
        json!({})
    } else {
        set_aside
    };
    let instances = plan.instances / 3;
    let made = Made {
        instances,
        lease_ms: 2000,
        budgets,
        needed: true,
        below: BELOW,
        ..Made::default()
    };
    let program = plan
        .against
        .as_ref()
        .filter(|_| way == BudgetMode::Before)
        .unwrap_or(&plan.program);
    let all = Installation::start(program, number, &made).await?;
    let door = all.door.clone().ok_or(io::ErrorKind::NotFound)?;
    if way != BudgetMode::Before {
        hold(
            &all,
            &policy(&[("first", 300), ("again", 40), ("opened", 400)]),
            "budgets",
        )
        .await?;
    }
    // Two of three operations call below.
    let rate = part * CAPACITY * 1.5 / f64::from(3 * instances);
    let mut playing = Vec::new();
    for host in 0..3 {
        for place in 0..instances {
            let seed = seed * 1000 + host as u64 * 50 + u64::from(place);
            let mut load = Load::of_all(&all.address(host, place), 4, rate, seed);
            (load.tries, load.patience) = (tries, Duration::from_secs_f64(PATIENCE));
            let started = load.start().await?;
            playing.push((host, place, load, started));
        }
    }
    let pause = |seconds: f64| sleep(Duration::from_secs_f64(seconds));
    pause(6.0).await;
    let calm = Instant::now();
    pause(4.0).await;
    let began = Instant::now();
    door.does(Manners::Slow(3.0));
    pause(CAUSE).await;
    let ended = Instant::now();
    door.does(Manners::Well);
    pause(LOOKED).await;
    let before = served(&playing, calm, began - Duration::from_secs_f64(PATIENCE));
    let during = served(&playing, began, ended);
    let second = Duration::from_secs(1);
    let good = |from: Instant| {
        served(&playing, from, from + second) >= AGAIN_FROM * before
            && served(&playing, from + second, from + 2 * second) >= AGAIN_FROM * before
    };
    let back_s = (0..((LOOKED - 2.0 - PATIENCE) * 4.0) as u32)
        .map(|quarter| f64::from(quarter) / 4.0)
        .find(|after| good(ended + Duration::from_secs_f64(*after)));
    let (mut sent, mut wished) = (0, 0);
    for (.., playing) in &playing {
        sent += playing.seen.borrow().sent.len();
        wished += playing.seen.borrow().wished.len();
    }
    let verdict = check(&all, playing).await;
    let (lost, doubled) = (verdict.lost, verdict.doubled + verdict.run_twice);
    Ok(Played {
        before,
        during,
        back_s,
        tries: sent as f64 / wished.max(1) as f64,
        lost,
        doubled,
    })
}

/// Plays loads and tries with all of it off, and then on.
///
/// # Errors
/// It can't be played.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    println!(
        "{} instances, one catalogue of {CAPACITY} calls a second that works at a third for {CAUSE} s; seeds {} to {}\n",
        plan.instances,
        plan.seed,
        plan.seed + plan.seeds - 1
    );
    let mut numbers = (10_u8..240).step_by(3);
    let (mut worst, mut clean, mut rows) = (0.0_f64, true, Vec::new());
    for seed in plan.seed..plan.seed + plan.seeds {
        for (part, tries) in [(0.7, 3), (0.9, 1), (0.9, 3)] {
            for way in [BudgetMode::Before, BudgetMode::Shares] {
                if plan.only.is_some_and(|only| only != way)
                    || plan.seeds > 2 && (part, tries) != (0.9, 3)
                {
                    continue;
                }
                let number = numbers
                    .next()
                    .ok_or_else(|| io::Error::other("too many seeds in one run"))?;
                let played = one(plan, way, part, tries, seed, number).await?;
                println!(
                    "seed {seed} load {part} tries {tries} {way:?}: served {:.3} before, {:.3} during; back {} after its end; {:.2} \
                     tries each; {} lost, {} doubled",
                    played.before,
                    played.during,
                    played
                        .back_s
                        .map_or(format!("not within {LOOKED} s"), |back| format!(
                            "{back:.2} s"
                        )),
                    played.tries,
                    played.lost,
                    played.doubled
                );
                if way == BudgetMode::Shares {
                    worst = worst.max(played.back_s.unwrap_or(LOOKED));
                    clean &= played.lost + played.doubled == 0;
                }
                rows.push(json!({
                    "seed": seed, "load": part, "tries": tries, "way": format!("{way:?}").to_lowercase(), "before": played.before,
                    "during": played.during, "back_s": played.back_s,
                }));
            }
        }
    }
    clean &= worst <= 5.0;
    let line = json!({ "trial": "shares-loops", "worst_back_s": worst, "plays": rows });
    println!("\n{line}");
    Ok((line, clean))
}
