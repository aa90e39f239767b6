//! `experiment cost`: CPU time per invocation of one program compared with another, measured in alternating runs.

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
    /// How long each run is measured after it has warmed up.
    pub measured_for: Duration,
    pub setup: Setup,
    /// Whether the program under test runs with a policy that has budgets for all kinds of calls.
    pub policy: bool,
}

/// Keeps the instance's policy lease and its quota shares renewed in place of its agent and the leader, with four
/// heartbeats a second.
async fn renew_leases(control: PathBuf) {
    let (mut incarnation, mut requested_at) = (0, 0.0);
    let calls_per_second = [
        (CallKind::Retry, 1000),
        (CallKind::Probe, 8),
        (CallKind::FirstCall, 4000),
        (CallKind::NewConnection, 4000),
    ];
    let budgets = Budgets::from([(CATALOGUE.to_owned(), calls_per_second.into_iter().collect())]);
    let lease = LeaseTerms {
        lease_seconds: 2.0,
        drift: 0.02,
    };
    let (mut fleet_allocator, mut host_allocator) = (
        FleetAllocator::elected(lease, 1),
        HostAllocator::new(1, lease, ""),
    );
    fleet_allocator.set_budgets(&budgets, &Budgets::new(), 1);
    host_allocator.set_budgets(0.0, &budgets);
    let started = Instant::now();
    loop {
        let now = started.elapsed().as_secs_f64();
        let grants = fleet_allocator.handle_request(now, "h", &host_allocator.request(now));
        host_allocator.handle_grants(now, &grants);
        let heartbeat = Heartbeat {
            incarnation,
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
                requested_at,
                duration_seconds: 2.0,
            }),
            quota_grants: host_allocator.take_grants(now, "i"),
        };
        let body = serde_json::to_value(&heartbeat).unwrap_or_default();
        if let Ok(mut client) = ControlClient::request(
            &control,
            ControlRequest::Policy,
            &body,
            Duration::from_secs(1),
        )
        .await
            && let Ok((_, reply)) = client.next_reply().await
            && let Ok(status) = serde_json::from_value::<InstanceStatus>(reply)
        {
            (incarnation, requested_at) = (status.incarnation, status.reported_at);
            status
                .quota_requests
                .into_iter()
                .for_each(|request| _ = host_allocator.handle_request(now, "i", request));
        }
        sleep(Duration::from_millis(250)).await;
    }
}

/// One run: CPU time per invocation in microseconds, and peak memory in KB.
async fn run_once(plan: &Plan, program: &Path, seed: u64) -> io::Result<(f64, u64)> {
    let policy = plan.policy && program == plan.setup.program;
    let setup = Setup {
        program: program.into(),
        policy,
        ..plan.setup.clone()
    };
    let mut instance = Instance::start(&setup, 3).await?;
    let renewing = policy.then(|| spawn_local(renew_leases(instance.control.clone())));
    let load = Load::with_example_operations(&instance.address, 100, plan.rate, seed);
    let running_load = load.start().await?;
    // A new leader grants no shares before one lease has passed.
    sleep(Duration::from_millis(if policy { 5000 } else { 700 })).await;
    let (cpu_before, sent_before) = (
        instance.cpu_time()?,
        running_load.record.borrow().sent.len(),
    );
    sleep(plan.measured_for).await;
    let (cpu_after, sent_after) = (
        instance.cpu_time()?,
        running_load.record.borrow().sent.len(),
    );
    let memory = instance.peak_memory_kb().unwrap_or(0);
    running_load.stop().await;
    if let Some(renewing) = renewing {
        renewing.abort();
    }
    instance.kill_all().await;
    Ok((
        (cpu_after - cpu_before).as_secs_f64() * 1e6 / (sent_after - sent_before).max(1) as f64,
        memory,
    ))
}

/// Runs the pairs, alternating which of the two programs goes first.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let (mut ratios, mut costs, mut memory) = (Vec::new(), (Vec::new(), Vec::new()), (0, 0));
    for pair in 0..plan.pairs {
        let seed = plan.seed + u64::from(pair);
        let (own, against) = if pair % 2 == 0 {
            let own = run_once(plan, &plan.setup.program, seed).await?;
            (own, run_once(plan, &plan.against, seed).await?)
        } else {
            let against = run_once(plan, &plan.against, seed).await?;
            (run_once(plan, &plan.setup.program, seed).await?, against)
        };
        println!(
            "pair {:>2}  {:.1} against {:.1} us per invocation, ratio {:.3}",
            pair + 1,
            own.0,
            against.0,
            own.0 / against.0
        );
        ratios.push(own.0 / against.0);
        costs.0.push(own.0);
        costs.1.push(against.0);
        memory = (memory.0.max(own.1), memory.1.max(against.1));
    }
    let median = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        let (low, high) = (values.len().saturating_sub(1) / 2, values.len() / 2);
        values
            .get(low)
            .zip(values.get(high))
            .map_or(f64::NAN, |(low, high)| (low + high) / 2.0)
    };
    let (min_ratio, max_ratio) = ratios
        .iter()
        .fold((f64::MAX, 0.0_f64), |(min, max), &ratio| {
            (min.min(ratio), max.max(ratio))
        });
    let line = json!({
        "trial": "cost", "seed": plan.seed, "pairs": plan.pairs, "rate": plan.rate,
        "ratio": median(&mut ratios), "ratio_least": min_ratio, "ratio_most": max_ratio,
        "us": median(&mut costs.0), "us_against": median(&mut costs.1),
        "memory_kb": memory.0, "memory_kb_against": memory.1,
    });
    println!("{line}");
    Ok((line, true))
}
