//! `trial cost`: time on the cores an invocation, of one program against another, played in turn.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::instance::{Instance, Setup};
use crate::load::Load;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub pairs: u32,
    pub rate: f64,
    pub against: PathBuf,
    pub setup: Setup,
}

/// One play: microseconds on the cores an invocation, and the most memory in KB.
async fn play(plan: &Plan, program: &Path, seed: u64) -> io::Result<(f64, u64)> {
    let setup = Setup { program: program.into(), ..plan.setup.clone() };
    let mut instance = Instance::start(&setup, 3).await?;
    let load = Load::of_all(&instance.address, 100, plan.rate, seed);
    let playing = load.start().await?;
    sleep(Duration::from_millis(700)).await;
    let (before, sent) = (instance.cpu()?, playing.seen.borrow().sent.len());
    sleep(Duration::from_secs(3)).await;
    let (after, now) = (instance.cpu()?, playing.seen.borrow().sent.len());
    let memory = instance.memory_most_kb().unwrap_or(0);
    playing.stop().await;
    instance.end().await;
    Ok(((after - before).as_secs_f64() * 1e6 / (now - sent).max(1) as f64, memory))
}

/// Plays pairs in turn, first one first, then the other first.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let (mut ratios, mut costs, mut memory) = (Vec::new(), (Vec::new(), Vec::new()), (0, 0));
    for pair in 0..plan.pairs {
        let seed = plan.seed + u64::from(pair);
        let (own, other) = if pair % 2 == 0 {
            let own = play(plan, &plan.setup.program, seed).await?;
            (own, play(plan, &plan.against, seed).await?)
        } else {
            let other = play(plan, &plan.against, seed).await?;
            (play(plan, &plan.setup.program, seed).await?, other)
        };
        println!(
            "pair {:>2}  {:.1} against {:.1} us an invocation, ratio {:.3}",
            pair + 1,
            own.0,
            other.0,
            own.0 / other.0
        );
        ratios.push(own.0 / other.0);
        costs.0.push(own.0);
        costs.1.push(other.0);
        memory = (memory.0.max(own.1), memory.1.max(other.1));
    }
    let median = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        let (low, high) = (values.len().saturating_sub(1) / 2, values.len() / 2);
        values.get(low).zip(values.get(high)).map_or(f64::NAN, |(low, high)| (low + high) / 2.0)
    };
    let (least, most) =
        ratios.iter().fold((f64::MAX, 0.0_f64), |(least, most), &one| (least.min(one), most.max(one)));
    let line = json!({
        "trial": "cost", "seed": plan.seed, "pairs": plan.pairs, "rate": plan.rate,
        "ratio": median(&mut ratios), "ratio_least": least, "ratio_most": most,
        "us": median(&mut costs.0), "us_against": median(&mut costs.1),
        "memory_kb": memory.0, "memory_kb_against": memory.1,
    });
    println!("{line}");
    Ok((line, true))
}
