//! `trial restart`: service in the seconds after an upgrade under load, against a drain and a cold start.

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
    /// The program that is drained and started anew.
    pub against: PathBuf,
    /// How long the service is looked at from the change on.
    pub observed_for: Duration,
    pub setup: Setup,
}

/// The share of what was sent that was served, and the worst served latency in milliseconds.
async fn play(plan: &Plan, upgrades: bool) -> io::Result<(f64, f64)> {
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
    let load = Load::of_all(&instance.address, 100, plan.rate, plan.seed);
    let playing = load.start().await?;
    sleep(Duration::from_secs(2)).await;
    let from = Instant::now();
    if upgrades {
        let ended =
            request_upgrade(&instance, &format!("exec '{}' \"$@\"", program.display())).await?;
        if ended != "done" {
            return Err(io::Error::other(format!("the upgrade ended {ended}")));
        }
    } else {
        instance.restart(program).await?;
    }
    tokio::time::sleep_until(from + plan.observed_for).await;
    let until = Instant::now();
    let seen = playing.stop().await.take();
    instance.end().await;
    let sent = seen
        .sent
        .values()
        .filter(|sent| sent.at >= from && sent.at <= until);
    let (mut all, mut served) = (0_u64, 0_u64);
    for one in sent {
        all += 1;
        served += u64::from(
            one.answers
                .first()
                .is_some_and(|(_, status)| *status == 200),
        );
    }
    Ok((
        served as f64 / all.max(1) as f64,
        seen.latencies(from, until).max() as f64 / 1e3,
    ))
}

pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let upgraded = play(plan, true).await?;
    println!(
        "upgrade under load:   {:.4} served, worst {:.1} ms",
        upgraded.0, upgraded.1
    );
    let restarted = play(plan, false).await?;
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
