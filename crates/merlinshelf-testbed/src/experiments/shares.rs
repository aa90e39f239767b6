//! `experiment shares`: many real processes under load on one catalogue that fails and recovers, with faults between the
//! processes drawn by seed. Calls and connections are counted where they arrive at the catalogue, second by second. Compares
//! the fleet's shared budget with a fixed part of it for each host, and with the previous version.

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
use crate::budgets::{
    CONNECTION_BUDGET, CatalogueTraffic, PROBE_BUDGET, base_budgets, budget_policy,
    max_in_a_second, propose_until_committed,
};
use crate::fakes::ServerBehavior;
use crate::installation::{Installation, InstallationConfig, check_load};
use crate::instance::signal;
use crate::link::Fault;
use crate::load::{Load, RunningLoad};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    pub instances: u16,
    /// Invocations per second to each instance.
    pub rate: f64,
    pub program: PathBuf,
    /// The program of the previous version. If none, this version runs without budgets instead.
    pub against: Option<PathBuf>,
    /// The only mode to run; all if none.
    pub only: Option<BudgetMode>,
}

/// How the calls to the catalogue are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum BudgetMode {
    /// The fleet shares one budget by lease.
    Shares,
    /// Each host has a fixed part of the budget. Dependency health is shared between hosts as in `Shares`.
    Fixed,
    /// The previous version, or this one without budgets.
    Before,
}

const MODES: [BudgetMode; 3] = [BudgetMode::Shares, BudgetMode::Fixed, BudgetMode::Before];

/// The ways in which the catalogue fails.
const CATALOGUE_FAILURES: [ServerBehavior; 4] = [
    ServerBehavior::Errors,
    ServerBehavior::Hangs,
    ServerBehavior::HalfErrors,
    ServerBehavior::Slow(60.0),
];

/// The fault that is injected between the processes while the catalogue fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessFault {
    Nothing,
    KillLeader,
    StopLeader,
    CutLeader,
    HoldHost,
    StopInstances,
    KillInstances,
    Restarts,
}

const PROCESS_FAULTS: [ProcessFault; 8] = [
    ProcessFault::Nothing,
    ProcessFault::KillLeader,
    ProcessFault::StopLeader,
    ProcessFault::CutLeader,
    ProcessFault::HoldHost,
    ProcessFault::StopInstances,
    ProcessFault::KillInstances,
    ProcessFault::Restarts,
];

/// Budget of first calls per second during recovery: twice the rate before the failure.
const FIRST_CALLS_PER_S: usize = 240;
/// Budget of retries per second: the rate of all calls before the failure.
const RETRIES_PER_S: usize = 120;
/// Time after which every process knows that the catalogue fails.
const DETECTED_AFTER_S: f64 = 3.0;
const FAILURE_S: f64 = 8.0;
const OBSERVED_AFTER_S: f64 = 7.0;
/// Minimum time for which first calls stay limited after the catalogue recovers: three steps of the recovery.
const MIN_RECOVERY_S: f64 = 0.6;

/// The results of one run.
#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Calls in the worst second divided by the budget, by kind of call.
    worst_second: BTreeMap<&'static str, f64>,
    probes_s: f64,
    /// Seconds from the recovery of the catalogue until the first call reaches it.
    first_call_s: f64,
    /// Seconds from the recovery until calls arrive at 80% of the rate before the failure; none if that was not observed.
    full_rate_s: Option<f64>,
    /// Billed value within the latency objective, per invocation sent.
    value: f64,
    sent: u64,
    lost: u64,
    doubled: u64,
    attempts_per_call: f64,
}

/// The billed value of an operation, its latency objective in seconds, and the part of the value that a degraded result has.
fn value_of(operation: &str) -> (f64, f64, f64) {
    match operation {
        "thumbnail" => (1.0, 1.7, 0.3),
        "transcript-search" => (2.0, 2.3, 1.0),
        "playback-token" => (3.0, 1.0, 0.5),
        _ => (0.0, 1.0, 0.0),
    }
}

/// The sum of the billed value served within the latency objective, and the number of invocations, of those sent in this time.
fn served_value(
    loads: &[(usize, u16, Load, RunningLoad)],
    from: Instant,
    until: Instant,
) -> (f64, u64) {
    let (mut sum, mut count) = (0.0, 0);
    for (.., load) in loads {
        for sent in load
            .record
            .borrow()
            .sent
            .values()
            .filter(|sent| sent.sent_at >= from && sent.sent_at < until)
        {
            let (full, objective_s, degraded_part) = value_of(&sent.operation);
            if full == 0.0 {
                continue;
            }
            count += 1;
            if let Some((at, 200)) = sent.answers.first()
                && (*at - sent.sent_at).as_secs_f64() <= objective_s
            {
                sum += full
                    * if sent.answered_without_call {
                        degraded_part
                    } else {
                        1.0
                    };
            }
        }
    }
    (sum, count)
}

async fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}

/// Runs one seed in one mode. Each host uses one address, from `first_address` on.
async fn run_once(
    plan: &Plan,
    mode: BudgetMode,
    seed: u64,
    first_address: u8,
) -> io::Result<Outcome> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let failure = CATALOGUE_FAILURES[rng.random_range(0..CATALOGUE_FAILURES.len())];
    let fault = PROCESS_FAULTS[rng.random_range(0..PROCESS_FAULTS.len())];
    let fault_after_s: f64 = rng.random_range(0.0..5.0);
    let hosts = 3;
    let part = |budget: usize| json!((budget / usize::from(hosts)).max(1));
    let budgets = match mode {
        BudgetMode::Shares => base_budgets(),
        BudgetMode::Fixed => json!({ "catalogue": {
            "again": part(RETRIES_PER_S), "probes": part(PROBE_BUDGET), "first": part(FIRST_CALLS_PER_S), "opened": part(CONNECTION_BUDGET),
        } }),
        BudgetMode::Before => json!({}),
    };
    let instances = plan.instances / u16::from(hosts);
    let made = InstallationConfig {
        hosts,
        instances,
        lease_ms: 2000,
        budgets,
        ..InstallationConfig::default()
    };
    let program = plan
        .against
        .as_ref()
        .filter(|_| mode == BudgetMode::Before)
        .unwrap_or(&plan.program);
    let mut installation = Installation::start(program, first_address, &made).await?;
    let catalogue = installation
        .shared_catalogue
        .clone()
        .ok_or(io::ErrorKind::NotFound)?;
    match mode {
        BudgetMode::Shares => {
            _ = propose_until_committed(
                &installation,
                &budget_policy(&[("first", FIRST_CALLS_PER_S), ("again", RETRIES_PER_S)]),
                "budgets",
            )
            .await?
        }
        BudgetMode::Fixed | BudgetMode::Before => {}
    }
    let loads = installation.start_load(plan.rate, seed).await?;
    pause(4.0).await;
    let baseline_start = Instant::now();
    pause(2.0).await;
    let calls_per_s_before = CatalogueTraffic::between(&catalogue, baseline_start, Instant::now())
        .calls
        .len() as f64
        / 2.0;
    let leader = installation.leader().await.unwrap_or(0);
    let failed_at = Instant::now();
    catalogue.set_behavior(failure);
    pause(fault_after_s).await;
    let target_processes: Vec<u32> = match fault {
        ProcessFault::StopLeader => installation.hosts[leader].agent_pid().into_iter().collect(),
        ProcessFault::StopInstances | ProcessFault::KillInstances => (0..usize::from(hosts))
            .flat_map(|host| installation.hosts[host].processes_of(0))
            .collect(),
        _ => Vec::new(),
    };
    match fault {
        ProcessFault::Nothing => {}
        ProcessFault::KillLeader => installation.hosts[leader].kill_agent().await,
        ProcessFault::StopLeader | ProcessFault::StopInstances => target_processes
            .iter()
            .for_each(|pid| signal(*pid, Signal::STOP)),
        ProcessFault::CutLeader => installation.set_link_fault(leader, true, true, Fault::Cut),
        ProcessFault::HoldHost => installation.set_link_fault(
            (leader + 1) % usize::from(hosts),
            true,
            true,
            Fault::Stalled,
        ),
        ProcessFault::KillInstances => {
            let now = Instant::now();
            target_processes
                .iter()
                .for_each(|pid| signal(*pid, Signal::KILL));
            let killed = loads.iter().filter(|(_, instance, ..)| *instance == 0);
            killed.for_each(|(.., running_load)| {
                running_load.record.borrow_mut().killed_at.push(now)
            });
        }
        ProcessFault::Restarts => {
            loads
                .iter()
                .step_by(4)
                .for_each(|(.., running_load)| running_load.record.borrow_mut().restarts += 1);
        }
    }
    pause(2.5).await;
    match fault {
        ProcessFault::StopLeader | ProcessFault::StopInstances => target_processes
            .iter()
            .for_each(|pid| signal(*pid, Signal::CONT)),
        ProcessFault::KillLeader => installation.hosts[leader].start_agent(program)?,
        _ => installation.clear_link_faults(),
    }
    pause((FAILURE_S - 2.5 - fault_after_s).max(0.0)).await;
    let recovered_at = Instant::now();
    catalogue.set_behavior(ServerBehavior::Normal);
    pause(OBSERVED_AFTER_S).await;
    let end = Instant::now();
    let mut outcome = Outcome::default();
    let seconds = Duration::from_secs_f64;
    // A catalogue that fails completely receives only probes; one that is slow or fails partly is still called.
    let fails = matches!(failure, ServerBehavior::Errors | ServerBehavior::Hangs);
    let failing = CatalogueTraffic::between(
        &catalogue,
        failed_at + seconds(DETECTED_AFTER_S),
        recovered_at,
    );
    let recovering = CatalogueTraffic::between(
        &catalogue,
        recovered_at,
        recovered_at + seconds(MIN_RECOVERY_S),
    );
    let throughout = CatalogueTraffic::between(&catalogue, baseline_start, end);
    let mut record_worst = |kind, moments: &[Instant], budget: usize| {
        outcome
            .worst_second
            .insert(kind, max_in_a_second(moments) as f64 / budget as f64);
    };
    if fails {
        record_worst("probes", &failing.calls, PROBE_BUDGET);
        record_worst("first", &recovering.calls, FIRST_CALLS_PER_S);
        let before_failure = CatalogueTraffic::between(&catalogue, baseline_start, failed_at);
        record_worst("again", &before_failure.retries, RETRIES_PER_S);
    } else {
        record_worst("again", &throughout.retries, RETRIES_PER_S);
    }
    record_worst("opened", &throughout.connections, CONNECTION_BUDGET);
    outcome.probes_s = failing.calls.len() as f64
        / (recovered_at - failed_at - seconds(DETECTED_AFTER_S)).as_secs_f64();
    let after_recovery = CatalogueTraffic::between(&catalogue, recovered_at, end).calls;
    outcome.first_call_s = after_recovery
        .first()
        .map_or(OBSERVED_AFTER_S, |at| (*at - recovered_at).as_secs_f64());
    outcome.full_rate_s = (0..((OBSERVED_AFTER_S - 1.0) * 10.0) as u32)
        .map(|tenth| f64::from(tenth) / 10.0)
        .find(|from| {
            let within = |at: &&Instant| {
                let at = (**at - recovered_at).as_secs_f64();
                at >= *from && at < from + 1.0
            };
            after_recovery.iter().filter(within).count() as f64 >= 0.8 * calls_per_s_before
        });
    outcome.attempts_per_call = throughout.calls.len() as f64
        / (throughout.calls.len() - throughout.retries.len()).max(1) as f64;
    let (sum, count) = served_value(&loads, failed_at, end);
    outcome.value = sum / count.max(1) as f64;
    let verdict = check_load(&installation, loads).await;
    (outcome.sent, outcome.lost, outcome.doubled) = (
        verdict.sent,
        verdict.lost,
        verdict.doubled + verdict.run_twice,
    );
    let worst: Vec<String> = outcome
        .worst_second
        .iter()
        .map(|(kind, ratio)| format!("{kind} {ratio:.2}"))
        .collect();
    println!(
        "seed {seed} {mode:?}: {failure:?}, {fault:?} after {fault_after_s:.1} s: worst second {}; {:.1} calls per second during the failure; \
         first call {:.2} s after the recovery, full rate {}; value {:.3}; {} sent, {} lost, {} doubled",
        worst.join(", "),
        outcome.probes_s,
        outcome.first_call_s,
        outcome
            .full_rate_s
            .map_or("not within 6 s".into(), |seconds| format!(
                "after {seconds:.1} s"
            )),
        outcome.value,
        outcome.sent,
        outcome.lost,
        outcome.doubled,
    );
    Ok(outcome)
}

/// The mean and the half-width of its 95% confidence interval.
fn mean(values: &[f64]) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0).max(1.0);
    (mean, 1.96 * (variance / count).sqrt())
}

/// Runs all seeds and modes. Returns the JSON object of the last line and whether no budget was exceeded and nothing was lost
/// or doubled.
///
/// # Errors
/// Fails if an installation or its load can't be started, or the policy does not take effect.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    println!(
        "{} instances of three agents, {} invocations per second each, one catalogue; seeds {} to {}\n",
        plan.instances,
        plan.rate,
        plan.seed,
        plan.seed + plan.seeds - 1
    );
    let modes: Vec<BudgetMode> = MODES
        .into_iter()
        .filter(|mode| plan.only.is_none_or(|only| only == *mode))
        .collect();
    let mut outcomes_by_mode: BTreeMap<BudgetMode, Vec<Outcome>> = BTreeMap::new();
    // The fakes of earlier runs still listen, so each run uses its own addresses.
    let mut address_numbers = (10_u8..240).step_by(3);
    for seed in plan.seed..plan.seed + plan.seeds {
        for mode in &modes {
            let address_number = address_numbers.next().ok_or_else(|| {
                io::Error::other("no address is left: run at most 25 seeds at a time")
            })?;
            outcomes_by_mode
                .entry(*mode)
                .or_default()
                .push(run_once(plan, *mode, seed, address_number).await?);
        }
    }
    println!(
        "\n{:<8} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10} {:>16}",
        "",
        "probes",
        "first",
        "again",
        "opened",
        "probes/s",
        "first s",
        "full s",
        "value of shares"
    );
    let mut line = json!({ "trial": "shares", "seed": plan.seed, "seeds": plan.seeds, "instances": plan.instances });
    let mut clean = true;
    for (mode, outcomes) in &outcomes_by_mode {
        let worst = |kind: &str| {
            outcomes
                .iter()
                .filter_map(|outcome| outcome.worst_second.get(kind))
                .copied()
                .fold(0.0, f64::max)
        };
        let failing: Vec<f64> = outcomes
            .iter()
            .filter(|outcome| outcome.worst_second.contains_key("probes"))
            .map(|outcome| outcome.probes_s)
            .collect();
        let mut full_rate: Vec<f64> = outcomes
            .iter()
            .map(|outcome| outcome.full_rate_s.unwrap_or(OBSERVED_AFTER_S))
            .collect();
        let mut first_call: Vec<f64> = outcomes
            .iter()
            .filter(|outcome| outcome.worst_second.contains_key("probes"))
            .map(|outcome| outcome.first_call_s)
            .collect();
        let shared = outcomes_by_mode.get(&BudgetMode::Shares);
        let ratios: Vec<f64> = shared.map_or(Vec::new(), |shared| {
            shared
                .iter()
                .zip(outcomes)
                .map(|(shared, other)| shared.value / other.value.max(1e-9))
                .collect()
        });
        let (ratio, half_width) = mean(&ratios);
        let kinds = ["probes", "first", "again", "opened"].map(worst);
        let worst_ratio = kinds.iter().copied().fold(0.0, f64::max);
        println!(
            "{:<8} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>10.1} {:>10.2} {:>10.1} {:>9.3} ± {:.3}",
            format!("{mode:?}").to_lowercase(),
            kinds[0],
            kinds[1],
            kinds[2],
            kinds[3],
            mean(&failing).0,
            median(&mut first_call).unwrap_or(0.0),
            median(&mut full_rate).unwrap_or(0.0),
            ratio,
            half_width
        );
        let sum = |field: fn(&Outcome) -> u64| outcomes.iter().map(field).sum::<u64>();
        let (sent, lost, doubled) = (
            sum(|outcome| outcome.sent),
            sum(|outcome| outcome.lost),
            sum(|outcome| outcome.doubled),
        );
        if *mode == BudgetMode::Shares {
            line["worst_second"] = json!((worst_ratio * 100.0).round() / 100.0);
            line["probes_s"] = json!((mean(&failing).0 * 10.0).round() / 10.0);
            (line["sent"], line["lost"], line["doubled"]) =
                (json!(sent), json!(lost), json!(doubled));
            clean = worst_ratio <= 1.0 && lost == 0 && doubled == 0;
        } else {
            let name = format!("{mode:?}").to_lowercase();
            line[&name] = json!({
                "worst_second": (worst_ratio * 100.0).round() / 100.0, "worth_ratio": (ratio * 1000.0).round() / 1000.0,
                "lost": lost, "doubled": doubled,
            });
        }
    }
    println!("\n{line}");
    Ok((line, clean))
}
