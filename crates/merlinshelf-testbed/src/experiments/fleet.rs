//! `trial fleet`: many real instances under load, a rolling upgrade with kills of the agent and of instances, then a drain of all; what was lost
//! and how much was served, against the plain way; what the agent costs, and how long it takes to say how all stand.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::median;
use crate::fleet::{Rig, sum};
use crate::instance::signal;
use crate::load::{Load, Playing, Verdict};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    pub instances: u16,
    /// Invocations a second to each.
    pub rate: f64,
    /// Kills of the agent in each rolling upgrade.
    pub kills: u32,
    /// Kills of instances after these.
    pub kill_instances: u32,
    pub program: PathBuf,
}

fn change() -> Value {
    json!({ "out_at_once": 2, "floor": 0.75, "warm_ms": 300, "looked_ms": 500, "worse": 0.05, "warm_within_ms": 20000 })
}

/// Served and sent, all together, of what was sent between two moments.
fn served(playing: &[(Load, Playing)], from: Instant, until: Instant) -> (u64, u64) {
    let mut sums = (0, 0);
    for (_, playing) in playing {
        let seen = playing.seen.borrow();
        for sent in seen
            .sent
            .values()
            .filter(|sent| sent.at >= from && sent.at < until)
        {
            sums.1 += 1;
            sums.0 += u64::from(
                sent.answers
                    .first()
                    .is_some_and(|(_, status)| *status == 200),
            );
        }
    }
    sums
}

fn share((served, sent): (u64, u64)) -> f64 {
    served as f64 / sent.max(1) as f64
}

/// Waits for the end of the plan, whatever happens to the agent meanwhile.
async fn over(rig: &Rig) -> io::Result<Value> {
    let until = Instant::now() + Duration::from_secs(120);
    loop {
        let said = rig.ask(&json!({ "op": "plan" })).await;
        if let Some((ControlMessage::Done, plan)) = said.ok().and_then(|mut said| said.pop())
            && plan["over"] == true
        {
            return Ok(plan);
        }
        if Instant::now() >= until {
            return Err(io::Error::other(format!(
                "the plan does not end\n{}",
                rig.log()
            )));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

struct Played {
    verdict: Verdict,
    before: f64,
    during: f64,
    took: f64,
    plain: f64,
    /// Plans that a kill stopped.
    stopped: u32,
}

/// One seed.
async fn play(plan: &Plan, seed: u64, number: u8) -> io::Result<Played> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut rig = Rig::start(&plan.program, number, plan.instances, &change()).await?;
    rig.when("serving", plan.instances.into()).await?;
    let playing = rig.load(plan.rate, seed).await?;
    sleep(Duration::from_secs(1)).await;
    let steady = Instant::now();
    sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    let copy = rig.folder.join("merlinshelf-2");
    std::fs::copy(&plan.program, &copy)?;
    rig.ask(&json!({ "op": "upgrade", "program": copy }))
        .await?;
    for _ in 0..plan.kills {
        sleep(Duration::from_millis(rng.random_range(200..1800))).await;
        rig.kill_agent().await;
        sleep(Duration::from_millis(rng.random_range(0..600))).await;
        rig.agent()?;
    }
    for _ in 0..plan.kill_instances {
        sleep(Duration::from_millis(rng.random_range(200..1800))).await;
        kill_one(&rig, &playing, rng.random_range(0..plan.instances)).await?;
    }
    let mut ended = over(&rig).await?;
    let stopped = u32::from(ended["state"] != "done");
    if stopped > 0 && plan.kill_instances > 0 {
        // The one that was killed was under way: the plan says so and ends, as it does for a version that crashes. Whoever
        // looks after it starts it again.
        println!("seed {seed}: the plan is {}; started again", ended["state"]);
        rig.when("serving", plan.instances.into()).await?;
        rig.ask(&json!({ "op": "upgrade", "program": copy }))
            .await?;
        ended = over(&rig).await?;
    }
    if ended["state"] != "done" {
        let history = rig.history().await?;
        return Err(io::Error::other(format!(
            "seed {seed}: the upgrade is {}\n{history}",
            ended["state"]
        )));
    }
    let upgraded = Instant::now();
    // The plain way: drain and start, one after the other.
    rig.ask(&json!({ "op": "restart" })).await?;
    over(&rig).await?;
    let restarted = Instant::now();
    // All leave; half of them were told by hand already.
    let (all, _) = rig.status().await?;
    for one in all.iter().step_by(2) {
        if let Some(pid) = one["process"]
            .as_u64()
            .and_then(|pid| u32::try_from(pid).ok())
        {
            signal(pid, Signal::TERM);
        }
    }
    rig.ask(&json!({ "op": "drain", "slowest_first": true }))
        .await?;
    over(&rig).await?;
    if !rig.processes().is_empty() {
        return Err(io::Error::other(format!("seed {seed}: some have not left")));
    }
    let (before, during) = (
        served(&playing, steady, began),
        served(&playing, began, upgraded),
    );
    let plain = served(&playing, upgraded, restarted);
    let verdict = sum(&rig.check(playing).await);
    Ok(Played {
        verdict,
        before: share(before),
        during: share(during),
        took: (upgraded - began).as_secs_f64(),
        plain: share(plain),
        stopped,
    })
}

/// Kills an instance outright, wherever the plan has got to with it.
async fn kill_one(rig: &Rig, playing: &[(Load, Playing)], place: u16) -> io::Result<()> {
    let (all, _) = rig.status().await?;
    let name = format!("web.{place}");
    let process = all
        .iter()
        .find(|one| one["name"] == name.as_str())
        .and_then(|one| one["process"].as_u64());
    let Some(process) = process.and_then(|process| u32::try_from(process).ok()) else {
        return Ok(());
    };
    let address = rig.address(place);
    if let Some((_, playing)) = playing.iter().find(|(load, _)| load.address == address) {
        playing.seen.borrow_mut().killed.push(Instant::now());
    }
    signal(process, Signal::KILL);
    Ok(())
}

/// What the agent costs with so many instances that nobody sends to: share of a core, memory in KB, and how long it takes to say
/// how all stand, in ms.
async fn cost(plan: &Plan, count: u16, number: u8) -> io::Result<(f64, u64, f64)> {
    let rig = Rig::start(&plan.program, number, count, &change()).await?;
    rig.when("serving", count.into()).await?;
    let id = rig
        .agent_id()
        .ok_or_else(|| io::Error::other("the agent is gone"))?;
    let cpu = || -> io::Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{id}/schedstat"))?;
        Ok(text
            .split(' ')
            .next()
            .and_then(|nanos| nanos.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1e9)
    };
    let (from, before) = (Instant::now(), cpu()?);
    sleep(Duration::from_secs(4)).await;
    let share = (cpu()? - before) / from.elapsed().as_secs_f64();
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("");
    let memory = line
        .trim()
        .split(' ')
        .next()
        .and_then(|kb| kb.parse().ok())
        .unwrap_or(0);
    let mut times = Vec::new();
    for _ in 0..9 {
        let from = Instant::now();
        rig.status().await?;
        times.push(from.elapsed().as_secs_f64() * 1e3);
    }
    Ok((share, memory, median(&mut times).unwrap_or(f64::NAN)))
}

/// Plays all seeds; the last line, and whether the rules held.
///
/// # Errors
/// What can't be played.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut all = Verdict::default();
    let (mut ratios, mut plains, mut plans_stopped) = (Vec::new(), Vec::new(), 0);
    for (number, seed) in (100_u8..230).cycle().zip(plan.seed..plan.seed + plan.seeds) {
        // Stand-ins of the seed before still listen: each has addresses of its own.
        let played = play(plan, seed, number).await?;
        let Played {
            verdict,
            before,
            during,
            took,
            plain,
            stopped,
        } = played;
        plans_stopped += stopped;
        println!(
            "seed {seed}: {} sent, {} lost, {} held by a killed one, {} doubled, {} run twice; served {during:.4} in {took:.1} s of upgrade, {before:.4} \
             before it, {plain:.4} by drain and start",
            verdict.sent, verdict.lost, verdict.held_by_killed, verdict.doubled, verdict.run_twice
        );
        ratios.push(during / before.max(1e-9));
        plains.push(plain / before.max(1e-9));
        all = sum(&[all, verdict]);
    }
    let [ratio, plain] =
        [&mut ratios, &mut plains].map(|values| median(values).unwrap_or(f64::NAN));
    let mut costs = Vec::new();
    for (number, count) in [(240, 20), (241, 200)] {
        let (share, memory_kb, status_ms) = cost(plan, count, number).await?;
        println!(
            "agent of {count}: {:.2}% of a core, {memory_kb} KB, a status in {status_ms:.1} ms",
            share * 100.0
        );
        costs.push(
            json!({ "instances": count, "core": share, "memory_kb": memory_kb, "status_ms": status_ms }),
        );
    }
    let line = json!({
        "trial": "fleet", "seed": plan.seed, "seeds": plan.seeds, "instances": plan.instances, "sent": all.sent,
        "lost": all.lost, "held_by_killed": all.held_by_killed, "plans_stopped": plans_stopped, "doubled": all.doubled, "run_twice": all.run_twice, "spoilt": all.spoilt,
        "served_in_upgrade": ratio, "served_by_restart": plain, "agent": costs,
    });
    println!("{line}");
    Ok((
        line,
        all.lost + all.doubled + all.run_twice + all.spoilt == 0 && ratio >= 0.98,
    ))
}
