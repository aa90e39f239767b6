//! `trial cost`: time on the cores an invocation, of one program against another, played in turn.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use merlinshelf_agent::control_client::ControlClient;
use merlinshelf_policy::{Heartbeat, InstanceStatus, LeaseGrant, Policy, VersionedPolicy};
use merlinshelf_protocol::control::ControlRequest;
use merlinshelf_quota::{Budgets, CATALOGUE, CallKind, FleetAllocator, HostAllocator, LeaseTerms};
use serde_json::{Value, json};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::instance::{Instance, Setup};
use crate::load::Load;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub pairs: u32,
    pub rate: f64,
    pub against: PathBuf,
    /// So long of each play, once it is warm.
    pub measured_for: Duration,
    pub setup: Setup,
    /// The own program has a policy for all on, with budgets for all kinds of calls.
    pub policy: bool,
}

/// Holds the instance's lease on a policy and gives it its shares, as its agent and whoever leads do: four beats a second.
async fn beat(control: PathBuf) {
    let (mut life, mut asked) = (0, 0.0);
    let figures = [
        (CallKind::Retry, 1000),
        (CallKind::Probe, 8),
        (CallKind::FirstCall, 4000),
        (CallKind::NewConnection, 4000),
    ];
    let budgets = Budgets::from([(CATALOGUE.to_owned(), figures.into_iter().collect())]);
    let lease = LeaseTerms {
        lease_seconds: 2.0,
        drift: 0.02,
    };
    let (mut bank, mut house) = (
        FleetAllocator::elected(lease, 1),
        HostAllocator::new(1, lease, ""),
    );
    bank.set_budgets(&budgets, &Budgets::new(), 1);
    house.set_budgets(0.0, &budgets);
    let began = Instant::now();
    loop {
        let now = began.elapsed().as_secs_f64();
        let given = bank.handle_request(now, "h", &house.request(now));
        house.handle_grants(now, &given);
        let beat = Heartbeat {
            incarnation: life,
            offered_policy: Some(VersionedPolicy {
                version: 1,
                policy: Policy {
                    call_share: Some(4.0),
                    budgets: budgets.clone(),
                    ..Policy::default()
                },
            }),
            fence_version: 0,
            grant: Some(LeaseGrant {
                version: 1,
                requested_at: asked,
                duration_seconds: 2.0,
            }),
            quota_grants: house.take_grants(now, "i"),
        };
        let body = serde_json::to_value(&beat).unwrap_or_default();
        if let Ok(mut talk) = ControlClient::request(
            &control,
            ControlRequest::Policy,
            &body,
            Duration::from_secs(1),
        )
        .await
            && let Ok((_, said)) = talk.next_reply().await
            && let Ok(said) = serde_json::from_value::<InstanceStatus>(said)
        {
            (life, asked) = (said.incarnation, said.reported_at);
            said.quota_requests
                .into_iter()
                .for_each(|wishes| _ = house.handle_request(now, "i", wishes));
        }
        sleep(Duration::from_millis(250)).await;
    }
}

/// One play: microseconds on the cores an invocation, and the most memory in KB.
async fn play(plan: &Plan, program: &Path, seed: u64) -> io::Result<(f64, u64)> {
    let policy = plan.policy && program == plan.setup.program;
    let setup = Setup {
        program: program.into(),
        policy,
        ..plan.setup.clone()
    };
    let mut instance = Instance::start(&setup, 3).await?;
    let beating = policy.then(|| spawn_local(beat(instance.control.clone())));
    let load = Load::of_all(&instance.address, 100, plan.rate, seed);
    let playing = load.start().await?;
    // Shares begin a lease after whoever leads does.
    sleep(Duration::from_millis(if policy { 5000 } else { 700 })).await;
    let (before, sent) = (instance.cpu()?, playing.seen.borrow().sent.len());
    sleep(plan.measured_for).await;
    let (after, now) = (instance.cpu()?, playing.seen.borrow().sent.len());
    let memory = instance.memory_most_kb().unwrap_or(0);
    playing.stop().await;
    if let Some(beating) = beating {
        beating.abort();
    }
    instance.end().await;
    Ok((
        (after - before).as_secs_f64() * 1e6 / (now - sent).max(1) as f64,
        memory,
    ))
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
        values
            .get(low)
            .zip(values.get(high))
            .map_or(f64::NAN, |(low, high)| (low + high) / 2.0)
    };
    let (least, most) = ratios
        .iter()
        .fold((f64::MAX, 0.0_f64), |(least, most), &one| {
            (least.min(one), most.max(one))
        });
    let line = json!({
        "trial": "cost", "seed": plan.seed, "pairs": plan.pairs, "rate": plan.rate,
        "ratio": median(&mut ratios), "ratio_least": least, "ratio_most": most,
        "us": median(&mut costs.0), "us_against": median(&mut costs.1),
        "memory_kb": memory.0, "memory_kb_against": memory.1,
    });
    println!("{line}");
    Ok((line, true))
}
