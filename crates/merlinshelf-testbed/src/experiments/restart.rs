//! `experiment restart`: service in the seconds after an upgrade under load, compared with a drain and a cold start.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::experiments::upgrade::request_upgrade;
use crate::instance::{Instance, Setup};
use crate::load::Load;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub rate: f64,
    /// The program that is drained and then started cold.
    pub against: PathBuf,
    /// How long the service is observed after the upgrade or restart begins.
    pub observed_for: Duration,
    pub setup: Setup,
}

/// The share of sent invocations that was served, and the worst latency of the served ones in milliseconds.
async fn run_once(plan: &Plan, upgrades: bool) -> io::Result<(f64, f64)> {
    let program = if upgrades {
        &plan.setup.program
    } else {
        &plan.against
    };
    let setup = Setup {
        program: program.clone(),
        ..plan.setup.clone()
    };
    let mut instance = Instance::start(&setup, 4).await?;
    let load = Load::with_example_operations(&instance.address, 100, plan.rate, plan.seed);
    let running_load = load.start().await?;
    sleep(Duration::from_secs(2)).await;
    let from = Instant::now();
    if upgrades {
        let stage =
            request_upgrade(&instance, &format!("exec '{}' \"$@\"", program.display())).await?;
        if stage != "done" {
            return Err(io::Error::other(format!(
                "the upgrade ended in stage {stage:?} instead of \"done\""
            )));
        }
    } else {
        instance.terminate_and_restart(program).await?;
    }
    tokio::time::sleep_until(from + plan.observed_for).await;
    let until = Instant::now();
    let seen = running_load.stop().await.take();
    instance.kill_all().await;
    let sent = seen
        .sent
        .values()
        .filter(|sent| sent.sent_at >= from && sent.sent_at <= until);
    let (mut total, mut served) = (0_u64, 0_u64);
    for invocation in sent {
        total += 1;
        served += u64::from(
            invocation
                .answers
                .first()
                .is_some_and(|(_, status)| *status == 200),
        );
    }
    Ok((
        served as f64 / total.max(1) as f64,
        seen.latencies(from, until).max() as f64 / 1e3,
    ))
}

pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let upgraded = run_once(plan, true).await?;
    println!(
        "upgrade under load:   {:.4} served, worst {:.1} ms",
        upgraded.0, upgraded.1
    );
    let restarted = run_once(plan, false).await?;
    println!(
        "drain and cold start: {:.4} served, worst {:.1} ms",
        restarted.0, restarted.1
    );
    let line = json!({
        "trial": "restart", "seed": plan.seed, "rate": plan.rate, "looked_ms": plan.observed_for.as_millis() as u64,
        "served": upgraded.0, "worst_ms": upgraded.1, "served_restart": restarted.0, "worst_ms_restart": restarted.1,
    });
    println!("{line}");
    Ok((line, true))
}
