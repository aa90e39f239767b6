//! `trial shares`: many real processes under load on one catalogue that fails and comes back, with faults between them by seed; what is
//! spent is counted at the catalogue's door, second by second. The same for a fixed part of the budget for each host, and for the
//! version before.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::median;
use crate::budgets::{Door, OPENED, PROBES, aside, hold, policy, worst_second};
use crate::fakes::Manners;
use crate::installation::{Installation, Made, check};
use crate::instance::signal;
use crate::link::Fault;
use crate::load::{Load, Playing};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    pub instances: u16,
    /// Invocations a second to each instance.
    pub rate: f64,
    pub program: PathBuf,
    /// The version before; none: this one, with all of it off.
    pub against: Option<PathBuf>,
    /// Only this way.
    pub only: Option<BudgetMode>,
}

/// How what is spent is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum BudgetMode {
    Shares,
    /// Each host has its part of the budget for good. How the catalogue fares is told as with shares.
    Fixed,
    Before,
}

const WAYS: [BudgetMode; 3] = [BudgetMode::Shares, BudgetMode::Fixed, BudgetMode::Before];

/// What becomes of the catalogue.
const MANNERS: [Manners; 4] = [
    Manners::Errors,
    Manners::Hangs,
    Manners::HalfErrors,
    Manners::Slow(60.0),
];

/// What happens between the processes meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    KillLeader,
    StopLeader,
    CutLeader,
    HoldHost,
    StopInstances,
    KillInstances,
    Restarts,
}

const TROUBLES: [Trouble; 8] = [
    Trouble::Nothing,
    Trouble::KillLeader,
    Trouble::StopLeader,
    Trouble::CutLeader,
    Trouble::HoldHost,
    Trouble::StopInstances,
    Trouble::KillInstances,
    Trouble::Restarts,
];

/// First calls a second while it comes back: twice what is called in calm.
const FIRST: usize = 240;
/// Further attempts: as many as are called in calm.
const AGAIN: usize = 120;
/// All know that it fails by then, seconds.
const KNOWN: f64 = 3.0;
const FAILS_FOR: f64 = 8.0;
const LOOKED_AFTER: f64 = 7.0;
/// First calls are bounded for so long after its return at the least: three steps.
const STEPS: f64 = 0.6;

/// What came of one play.
#[derive(Clone, Debug, Default)]
struct Played {
    /// The worst second of each kind against its budget.
    worst: BTreeMap<&'static str, f64>,
    probes_s: f64,
    /// Seconds from its return to the first call that it answered well, and until calls come as before.
    seen_s: f64,
    back_s: Option<f64>,
    /// Billed value within its objective, by invocation sent.
    worth: f64,
    sent: u64,
    lost: u64,
    doubled: u64,
    attempts: f64,
}

/// Of the example's operations: billed value, objective in seconds, and what of it a result without its call has.
fn worth_of(operation: &str) -> (f64, f64, f64) {
    match operation {
        "thumbnail" => (1.0, 1.7, 0.3),
        "transcript-search" => (2.0, 2.3, 1.0),
        "playback-token" => (3.0, 1.0, 0.5),
        _ => (0.0, 1.0, 0.0),
    }
}

/// Billed value within its objective, of what was sent in this time, and of how many.
fn worth(playing: &[(usize, u16, Load, Playing)], from: Instant, until: Instant) -> (f64, u64) {
    let (mut sum, mut count) = (0.0, 0);
    for (.., playing) in playing {
        for sent in playing
            .seen
            .borrow()
            .sent
            .values()
            .filter(|sent| sent.at >= from && sent.at < until)
        {
            let (full, objective, without) = worth_of(&sent.operation);
            if full == 0.0 {
                continue;
            }
            count += 1;
            if let Some((at, 200)) = sent.answers.first()
                && (*at - sent.at).as_secs_f64() <= objective
            {
                sum += full * if sent.poorer { without } else { 1.0 };
            }
        }
    }
    (sum, count)
}

async fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}

/// `number` is the first of the addresses that it takes, one for each host.
async fn one(plan: &Plan, way: BudgetMode, seed: u64, number: u8) -> io::Result<Played> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let manners = MANNERS[rng.random_range(0..MANNERS.len())];
    let trouble = TROUBLES[rng.random_range(0..TROUBLES.len())];
    let begins: f64 = rng.random_range(0.0..5.0);
    let hosts = 3;
    let part = |figure: usize| json!((figure / usize::from(hosts)).max(1));
    let budgets = match way {
        BudgetMode::Shares => aside(),
        BudgetMode::Fixed => json!({ "catalogue": {
            "again": part(AGAIN), "probes": part(PROBES), "first": part(FIRST), "opened": part(OPENED),
        } }),
        BudgetMode::Before => json!({}),
    };
    let instances = plan.instances / u16::from(hosts);
    let made = Made {
        hosts,
        instances,
        lease_ms: 2000,
        budgets,
        ..Made::default()
    };
    let program = plan
        .against
        .as_ref()
        .filter(|_| way == BudgetMode::Before)
        .unwrap_or(&plan.program);
    let mut all = Installation::start(program, number, &made).await?;
    let door = all.door.clone().ok_or(io::ErrorKind::NotFound)?;
    match way {
        BudgetMode::Shares => {
            _ = hold(
                &all,
                &policy(&[("first", FIRST), ("again", AGAIN)]),
                "budgets",
            )
            .await?
        }
        BudgetMode::Fixed | BudgetMode::Before => {}
    }
    let playing = all.load(plan.rate, seed).await?;
    pause(4.0).await;
    let calm = Instant::now();
    pause(2.0).await;
    let before = Door::of(&door, calm, Instant::now()).calls.len() as f64 / 2.0;
    let leader = all.leader().await.unwrap_or(0);
    let died = Instant::now();
    door.does(manners);
    pause(begins).await;
    let stood: Vec<u32> = match trouble {
        Trouble::StopLeader => all.hosts[leader].agent().into_iter().collect(),
        Trouble::StopInstances | Trouble::KillInstances => (0..usize::from(hosts))
            .flat_map(|host| all.hosts[host].processes_of(0))
            .collect(),
        _ => Vec::new(),
    };
    match trouble {
        Trouble::Nothing => {}
        Trouble::KillLeader => all.hosts[leader].kill_agent().await,
        Trouble::StopLeader | Trouble::StopInstances => {
            stood.iter().for_each(|pid| signal(*pid, Signal::STOP))
        }
        Trouble::CutLeader => all.set_links(leader, true, true, Fault::Cut),
        Trouble::HoldHost => {
            all.set_links((leader + 1) % usize::from(hosts), true, true, Fault::Held)
        }
        Trouble::KillInstances => {
            let now = Instant::now();
            stood.iter().for_each(|pid| signal(*pid, Signal::KILL));
            let killed = playing.iter().filter(|(_, place, ..)| *place == 0);
            killed.for_each(|(.., playing)| playing.seen.borrow_mut().killed.push(now));
        }
        Trouble::Restarts => {
            playing
                .iter()
                .step_by(4)
                .for_each(|(.., playing)| playing.seen.borrow_mut().restarts += 1);
        }
    }
    pause(2.5).await;
    match trouble {
        Trouble::StopLeader | Trouble::StopInstances => {
            stood.iter().for_each(|pid| signal(*pid, Signal::CONT))
        }
        Trouble::KillLeader => all.hosts[leader].start_agent(program)?,
        _ => all.heal(),
    }
    pause((FAILS_FOR - 2.5 - begins).max(0.0)).await;
    let back = Instant::now();
    door.does(Manners::Well);
    pause(LOOKED_AFTER).await;
    let end = Instant::now();
    let mut played = Played::default();
    let seconds = Duration::from_secs_f64;
    // What fails by half or is slow is called on; where it fails, all that comes is a probe.
    let fails = matches!(manners, Manners::Errors | Manners::Hangs);
    let failing = Door::of(&door, died + seconds(KNOWN), back);
    let returning = Door::of(&door, back, back + seconds(STEPS));
    let ever = Door::of(&door, calm, end);
    let mut put = |kind, moments: &[Instant], budget: usize| {
        played
            .worst
            .insert(kind, worst_second(moments) as f64 / budget as f64);
    };
    if fails {
        put("probes", &failing.calls, PROBES);
        put("first", &returning.calls, FIRST);
        let repeated = Door::of(&door, calm, died);
        put("again", &repeated.again, AGAIN);
    } else {
        put("again", &ever.again, AGAIN);
    }
    put("opened", &ever.opened, OPENED);
    played.probes_s = failing.calls.len() as f64 / (back - died - seconds(KNOWN)).as_secs_f64();
    let first = Door::of(&door, back, end).calls;
    played.seen_s = first
        .first()
        .map_or(LOOKED_AFTER, |at| (*at - back).as_secs_f64());
    played.back_s = (0..((LOOKED_AFTER - 1.0) * 10.0) as u32)
        .map(|tenth| f64::from(tenth) / 10.0)
        .find(|from| {
            let within = |at: &&Instant| {
                let at = (**at - back).as_secs_f64();
                at >= *from && at < from + 1.0
            };
            first.iter().filter(within).count() as f64 >= 0.8 * before
        });
    played.attempts = ever.calls.len() as f64 / (ever.calls.len() - ever.again.len()).max(1) as f64;
    let (sum, count) = worth(&playing, died, end);
    played.worth = sum / count.max(1) as f64;
    let verdict = check(&all, playing).await;
    (played.sent, played.lost, played.doubled) = (
        verdict.sent,
        verdict.lost,
        verdict.doubled + verdict.run_twice,
    );
    let worst: Vec<String> = played
        .worst
        .iter()
        .map(|(kind, of)| format!("{kind} {of:.2}"))
        .collect();
    println!(
        "seed {seed} {way:?}: {manners:?}, {trouble:?} after {begins:.1} s: worst second {}; {:.1} calls a second while it failed; \
         first call {:.2} s after its return, as before {}; worth {:.3}; {} sent, {} lost, {} doubled",
        worst.join(", "),
        played.probes_s,
        played.seen_s,
        played
            .back_s
            .map_or("not within 6 s".into(), |back| format!("after {back:.1} s")),
        played.worth,
        played.sent,
        played.lost,
        played.doubled,
    );
    Ok(played)
}

/// The mean with half of its 95% interval.
fn mean(values: &[f64]) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let spread = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0).max(1.0);
    (mean, 1.96 * (spread / count).sqrt())
}

/// Plays all; whether no rule and no budget was broken.
///
/// # Errors
/// It can't be played.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    println!(
        "{} instances of three agents, {} invocations a second each, one catalogue; seeds {} to {}\n",
        plan.instances,
        plan.rate,
        plan.seed,
        plan.seed + plan.seeds - 1
    );
    let ways: Vec<BudgetMode> = WAYS
        .into_iter()
        .filter(|way| plan.only.is_none_or(|only| only == *way))
        .collect();
    let mut all: BTreeMap<BudgetMode, Vec<Played>> = BTreeMap::new();
    // What was played before still holds its addresses.
    let mut numbers = (10_u8..240).step_by(3);
    for seed in plan.seed..plan.seed + plan.seeds {
        for way in &ways {
            let number = numbers
                .next()
                .ok_or_else(|| io::Error::other("more than 25 seeds in one run"))?;
            all.entry(*way)
                .or_default()
                .push(one(plan, *way, seed, number).await?);
        }
    }
    println!(
        "\n{:<8} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10} {:>16}",
        "", "probes", "first", "again", "opened", "probes/s", "seen s", "back s", "worth to shares"
    );
    let mut line = json!({ "trial": "shares", "seed": plan.seed, "seeds": plan.seeds, "instances": plan.instances });
    let mut clean = true;
    for (way, played) in &all {
        let worst = |kind: &str| {
            played
                .iter()
                .filter_map(|one| one.worst.get(kind))
                .copied()
                .fold(0.0, f64::max)
        };
        let failing: Vec<f64> = played
            .iter()
            .filter(|one| one.worst.contains_key("probes"))
            .map(|one| one.probes_s)
            .collect();
        let mut back: Vec<f64> = played
            .iter()
            .map(|one| one.back_s.unwrap_or(LOOKED_AFTER))
            .collect();
        let mut seen: Vec<f64> = played
            .iter()
            .filter(|one| one.worst.contains_key("probes"))
            .map(|one| one.seen_s)
            .collect();
        let ours = all.get(&BudgetMode::Shares);
        let ratios: Vec<f64> = ours.map_or(Vec::new(), |ours| {
            ours.iter()
                .zip(played)
                .map(|(ours, one)| ours.worth / one.worth.max(1e-9))
                .collect()
        });
        let (ratio, half) = mean(&ratios);
        let kinds = ["probes", "first", "again", "opened"].map(worst);
        let most = kinds.iter().copied().fold(0.0, f64::max);
        println!(
            "{:<8} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>10.1} {:>10.2} {:>10.1} {:>9.3} ± {:.3}",
            format!("{way:?}").to_lowercase(),
            kinds[0],
            kinds[1],
            kinds[2],
            kinds[3],
            mean(&failing).0,
            median(&mut seen).unwrap_or(0.0),
            median(&mut back).unwrap_or(0.0),
            ratio,
            half
        );
        let sum = |of: fn(&Played) -> u64| played.iter().map(of).sum::<u64>();
        let (sent, lost, doubled) = (
            sum(|one| one.sent),
            sum(|one| one.lost),
            sum(|one| one.doubled),
        );
        if *way == BudgetMode::Shares {
            line["worst_second"] = json!((most * 100.0).round() / 100.0);
            line["probes_s"] = json!((mean(&failing).0 * 10.0).round() / 10.0);
            (line["sent"], line["lost"], line["doubled"]) =
                (json!(sent), json!(lost), json!(doubled));
            clean = most <= 1.0 && lost == 0 && doubled == 0;
        } else {
            let name = format!("{way:?}").to_lowercase();
            line[&name] = json!({
                "worst_second": (most * 100.0).round() / 100.0, "worth_ratio": (ratio * 1000.0).round() / 1000.0,
                "lost": lost, "doubled": doubled,
            });
        }
    }
    println!("\n{line}");
    Ok((line, clean))
}
