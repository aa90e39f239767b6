//! `experiment fleet`: many real instances under load, a rolling upgrade with kills of the agent and of instances, and a
//! drain of all. Measures lost and served invocations, also for a rolling restart, what the agent costs, and how long a
//! status request takes.

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
use crate::fleet::{FleetUnderTest, combined_verdict};
use crate::instance::signal;
use crate::load::{Load, RunningLoad, Verdict};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    pub instances: u16,
    /// Invocations per second to each instance.
    pub rate: f64,
    /// Kills of the agent in each rolling upgrade.
    pub kills: u32,
    /// Kills of instances in each rolling upgrade, after the kills of the agent.
    pub kill_instances: u32,
    pub program: PathBuf,
}

fn rollout_settings() -> Value {
    json!({ "out_at_once": 2, "floor": 0.75, "warm_ms": 300, "looked_ms": 500, "worse": 0.05, "warm_within_ms": 20000 })
}

/// Served and sent invocations, of those that were sent in this time.
fn served(loads: &[(Load, RunningLoad)], from: Instant, until: Instant) -> (u64, u64) {
    let (mut served, mut sent_count) = (0, 0);
    for (_, load) in loads {
        let seen = load.record.borrow();
        for sent in seen
            .sent
            .values()
            .filter(|sent| sent.sent_at >= from && sent.sent_at < until)
        {
            sent_count += 1;
            served += u64::from(
                sent.answers
                    .first()
                    .is_some_and(|(_, status)| *status == 200),
            );
        }
    }
    (served, sent_count)
}

fn share((served, sent): (u64, u64)) -> f64 {
    served as f64 / sent.max(1) as f64
}

/// Waits until the plan has ended, also while the agent is restarted.
async fn plan_ended(rig: &FleetUnderTest) -> io::Result<Value> {
    let deadline = Instant::now() + Duration::from_secs(120);
    loop {
        let replies = rig.ask(&json!({ "op": "plan" })).await;
        if let Some((ControlMessage::Done, plan)) =
            replies.ok().and_then(|mut replies| replies.pop())
            && plan["over"] == true
        {
            return Ok(plan);
        }
        if Instant::now() >= deadline {
            return Err(io::Error::other(format!(
                "the plan has not ended after 120 s; log of the agent:\n{}",
                rig.log()
            )));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

struct Outcome {
    verdict: Verdict,
    /// Served shares before the upgrade, during it, and during the rolling restart.
    before: f64,
    during: f64,
    by_restart: f64,
    upgrade_s: f64,
    /// Plans that stopped because an instance was killed.
    plans_stopped: u32,
}

/// Runs one seed.
async fn run_seed(plan: &Plan, seed: u64, address_number: u8) -> io::Result<Outcome> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut rig = FleetUnderTest::start(
        &plan.program,
        address_number,
        plan.instances,
        &rollout_settings(),
    )
    .await?;
    rig.wait_for_state("serving", plan.instances.into()).await?;
    let loads = rig.start_load(plan.rate, seed).await?;
    sleep(Duration::from_secs(1)).await;
    let baseline_start = Instant::now();
    sleep(Duration::from_secs(3)).await;
    let upgrade_start = Instant::now();
    let copy = rig.folder.join("merlinshelf-2");
    std::fs::copy(&plan.program, &copy)?;
    rig.ask(&json!({ "op": "upgrade", "program": copy }))
        .await?;
    for _ in 0..plan.kills {
        sleep(Duration::from_millis(rng.random_range(200..1800))).await;
        rig.kill_agent().await;
        sleep(Duration::from_millis(rng.random_range(0..600))).await;
        rig.start_agent()?;
    }
    for _ in 0..plan.kill_instances {
        sleep(Duration::from_millis(rng.random_range(200..1800))).await;
        kill_instance(&rig, &loads, rng.random_range(0..plan.instances)).await?;
    }
    let mut ended_plan = plan_ended(&rig).await?;
    let plans_stopped = u32::from(ended_plan["state"] != "done");
    if plans_stopped > 0 && plan.kill_instances > 0 {
        // The killed instance was being upgraded. The plan ends then, as it does for a version that crashes, and the operator
        // starts it again.
        println!(
            "seed {seed}: the plan ended as {}; starting it again",
            ended_plan["state"]
        );
        rig.wait_for_state("serving", plan.instances.into()).await?;
        rig.ask(&json!({ "op": "upgrade", "program": copy }))
            .await?;
        ended_plan = plan_ended(&rig).await?;
    }
    if ended_plan["state"] != "done" {
        let history = rig.history().await?;
        return Err(io::Error::other(format!(
            "seed {seed}: the upgrade ended as {}; history of the plan:\n{history}",
            ended_plan["state"]
        )));
    }
    let upgrade_end = Instant::now();
    // The baseline: drain and start one instance after the other.
    rig.ask(&json!({ "op": "restart" })).await?;
    plan_ended(&rig).await?;
    let restart_end = Instant::now();
    // Drains all instances; every other one has received SIGTERM before.
    let (instances, _) = rig.status().await?;
    for instance in instances.iter().step_by(2) {
        if let Some(pid) = instance["process"]
            .as_u64()
            .and_then(|pid| u32::try_from(pid).ok())
        {
            signal(pid, Signal::TERM);
        }
    }
    rig.ask(&json!({ "op": "drain", "slowest_first": true }))
        .await?;
    plan_ended(&rig).await?;
    if !rig.processes().is_empty() {
        return Err(io::Error::other(format!(
            "seed {seed}: some instances still run after the drain"
        )));
    }
    let (before, during) = (
        served(&loads, baseline_start, upgrade_start),
        served(&loads, upgrade_start, upgrade_end),
    );
    let by_restart = served(&loads, upgrade_end, restart_end);
    let verdict = combined_verdict(&rig.stop_and_check(loads).await);
    Ok(Outcome {
        verdict,
        before: share(before),
        during: share(during),
        upgrade_s: (upgrade_end - upgrade_start).as_secs_f64(),
        by_restart: share(by_restart),
        plans_stopped,
    })
}

/// Kills an instance with SIGKILL, in whatever step of the plan it is.
async fn kill_instance(
    rig: &FleetUnderTest,
    loads: &[(Load, RunningLoad)],
    index: u16,
) -> io::Result<()> {
    let (instances, _) = rig.status().await?;
    let name = format!("web.{index}");
    let process = instances
        .iter()
        .find(|instance| instance["name"] == name.as_str())
        .and_then(|instance| instance["process"].as_u64());
    let Some(process) = process.and_then(|process| u32::try_from(process).ok()) else {
        return Ok(());
    };
    let address = rig.address(index);
    if let Some((_, running_load)) = loads.iter().find(|(load, _)| load.address == address) {
        running_load
            .record
            .borrow_mut()
            .killed_at
            .push(Instant::now());
    }
    signal(process, Signal::KILL);
    Ok(())
}

/// What the agent costs with this many idle instances: share of a core, memory in KB, and the median time of a status
/// request in ms.
async fn agent_cost(plan: &Plan, count: u16, address_number: u8) -> io::Result<(f64, u64, f64)> {
    let rig =
        FleetUnderTest::start(&plan.program, address_number, count, &rollout_settings()).await?;
    rig.wait_for_state("serving", count.into()).await?;
    let agent_pid = rig
        .agent_pid()
        .ok_or_else(|| io::Error::other("the agent has ended"))?;
    let cpu = || -> io::Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{agent_pid}/schedstat"))?;
        Ok(text
            .split(' ')
            .next()
            .and_then(|nanos| nanos.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1e9)
    };
    let (started, cpu_before) = (Instant::now(), cpu()?);
    sleep(Duration::from_secs(4)).await;
    let share = (cpu()? - cpu_before) / started.elapsed().as_secs_f64();
    let status = std::fs::read_to_string(format!("/proc/{agent_pid}/status"))?;
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
        let started = Instant::now();
        rig.status().await?;
        times.push(started.elapsed().as_secs_f64() * 1e3);
    }
    Ok((share, memory, median(&mut times).unwrap_or(f64::NAN)))
}

/// Runs all seeds and returns the JSON object of the last line and whether nothing was lost, doubled or damaged and service
/// during the upgrades stayed above its bound.
///
/// # Errors
/// Fails if a fleet can't be started or controlled, a plan does not end, or instances remain after the drain.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut total = Verdict::default();
    let (mut upgrade_ratios, mut restart_ratios, mut plans_stopped) = (Vec::new(), Vec::new(), 0);
    for (address_number, seed) in (100_u8..230).cycle().zip(plan.seed..plan.seed + plan.seeds) {
        // The fakes of earlier seeds still listen, so each seed uses its own addresses.
        let outcome = run_seed(plan, seed, address_number).await?;
        let Outcome {
            verdict,
            before,
            during,
            by_restart,
            upgrade_s,
            plans_stopped: stopped,
        } = outcome;
        plans_stopped += stopped;
        println!(
            "seed {seed}: {} sent, {} lost, {} held by a killed instance, {} doubled, {} run twice; served {during:.4} during the upgrade of {upgrade_s:.1} s, {before:.4} \
             before it, {by_restart:.4} during the rolling restart",
            verdict.sent, verdict.lost, verdict.held_by_killed, verdict.doubled, verdict.run_twice
        );
        upgrade_ratios.push(during / before.max(1e-9));
        restart_ratios.push(by_restart / before.max(1e-9));
        total = combined_verdict(&[total, verdict]);
    }
    let [upgrade_ratio, restart_ratio] =
        [&mut upgrade_ratios, &mut restart_ratios].map(|values| median(values).unwrap_or(f64::NAN));
    let mut costs = Vec::new();
    for (address_number, count) in [(240, 20), (241, 200)] {
        let (share, memory_kb, status_ms) = agent_cost(plan, count, address_number).await?;
        println!(
            "agent with {count} instances: {:.2}% of a core, {memory_kb} KB, a status request in {status_ms:.1} ms",
            share * 100.0
        );
        costs.push(
            json!({ "instances": count, "core": share, "memory_kb": memory_kb, "status_ms": status_ms }),
        );
    }
    let line = json!({
        "trial": "fleet", "seed": plan.seed, "seeds": plan.seeds, "instances": plan.instances, "sent": total.sent,
        "lost": total.lost, "held_by_killed": total.held_by_killed, "plans_stopped": plans_stopped, "doubled": total.doubled, "run_twice": total.run_twice, "spoilt": total.spoilt,
        "served_in_upgrade": upgrade_ratio, "served_by_restart": restart_ratio, "agent": costs,
    });
    println!("{line}");
    Ok((
        line,
        total.lost + total.doubled + total.run_twice + total.spoilt == 0 && upgrade_ratio >= 0.98,
    ))
}
