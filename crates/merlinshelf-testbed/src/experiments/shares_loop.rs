//! `experiment shares --loops`: whether an overload outlasts its cause. The load is a fixed part of the catalogue's capacity,
//! which falls to a third for ten seconds. Every call is required, and callers retry at once what is not served.

use std::io;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::shares::{BudgetMode, Plan};
use crate::budgets::{budget_policy, propose_until_committed};
use crate::fakes::ServerBehavior;
use crate::installation::{Installation, InstallationConfig, check_load};
use crate::load::{Load, RunningLoad};

/// Duration of a catalogue call and the number of concurrent calls, which give a capacity of 400 calls per second.
const CATALOGUE_CALLS: (Duration, usize) = (Duration::from_millis(20), 8);
const CATALOGUE_CAPACITY_PER_S: f64 = 400.0;
const SLOWDOWN_S: f64 = 10.0;
/// Service counts as recovered from this fraction of the share that was served before the slowdown.
const RECOVERED_FRACTION: f64 = 0.95;
const OBSERVED_AFTER_S: f64 = 20.0;
/// How long a caller waits. An invocation counts as served if it is answered within this time of its first attempt.
const CALLER_TIMEOUT_S: f64 = 1.5;

struct Outcome {
    before: f64,
    during: f64,
    /// Seconds from the end of the slowdown until service has recovered for two consecutive seconds. None if that does not
    /// happen within the observed time.
    recovered_after_s: Option<f64>,
    tries: f64,
    lost: u64,
    doubled: u64,
}

/// The share of invocations first sent in this time that any attempt got served within the caller's timeout.
fn served(loads: &[(usize, u16, Load, RunningLoad)], from: Instant, until: Instant) -> f64 {
    let (mut sent, mut served) = (0_u32, 0_u32);
    for (.., load) in loads {
        for (sent_at, served_at) in load.record.borrow().first_attempts.values() {
            if *sent_at >= from && *sent_at < until {
                sent += 1;
                served += u32::from(served_at.is_some_and(|served_at| {
                    (served_at - *sent_at).as_secs_f64() <= CALLER_TIMEOUT_S
                }));
            }
        }
    }
    f64::from(served) / f64::from(sent.max(1))
}

async fn run_once(
    plan: &Plan,
    mode: BudgetMode,
    load_fraction: f64,
    tries: u32,
    seed: u64,
    address_number: u8,
) -> io::Result<Outcome> {
    let reserve = json!({ "catalogue": { "again": 1, "probes": 1, "first": 4, "opened": 10 } });
    let budgets = if mode == BudgetMode::Before {
        json!({})
    } else {
        reserve
    };
    let instances = plan.instances / 3;
    let made = InstallationConfig {
        instances,
        lease_ms: 2000,
        budgets,
        calls_required: true,
        catalogue_capacity: CATALOGUE_CALLS,
        ..InstallationConfig::default()
    };
    let program = plan
        .against
        .as_ref()
        .filter(|_| mode == BudgetMode::Before)
        .unwrap_or(&plan.program);
    let installation = Installation::start(program, address_number, &made).await?;
    let catalogue = installation
        .shared_catalogue
        .clone()
        .ok_or(io::ErrorKind::NotFound)?;
    if mode != BudgetMode::Before {
        propose_until_committed(
            &installation,
            &budget_policy(&[("first", 300), ("again", 40), ("opened", 400)]),
            "budgets",
        )
        .await?;
    }
    // Two of the three operations call the catalogue.
    let rate = load_fraction * CATALOGUE_CAPACITY_PER_S * 1.5 / f64::from(3 * instances);
    let mut loads = Vec::new();
    for host in 0..3 {
        for instance in 0..instances {
            let seed = seed * 1000 + host as u64 * 50 + u64::from(instance);
            let mut load =
                Load::with_example_operations(&installation.address(host, instance), 4, rate, seed);
            (load.max_attempts, load.patience) = (tries, Duration::from_secs_f64(CALLER_TIMEOUT_S));
            let running_load = load.start().await?;
            loads.push((host, instance, load, running_load));
        }
    }
    let pause = |seconds: f64| sleep(Duration::from_secs_f64(seconds));
    pause(6.0).await;
    let baseline_start = Instant::now();
    pause(4.0).await;
    let slowdown_start = Instant::now();
    catalogue.set_behavior(ServerBehavior::Slow(3.0));
    pause(SLOWDOWN_S).await;
    let slowdown_end = Instant::now();
    catalogue.set_behavior(ServerBehavior::Normal);
    pause(OBSERVED_AFTER_S).await;
    let before = served(
        &loads,
        baseline_start,
        slowdown_start - Duration::from_secs_f64(CALLER_TIMEOUT_S),
    );
    let during = served(&loads, slowdown_start, slowdown_end);
    let second = Duration::from_secs(1);
    let is_recovered = |from: Instant| {
        served(&loads, from, from + second) >= RECOVERED_FRACTION * before
            && served(&loads, from + second, from + 2 * second) >= RECOVERED_FRACTION * before
    };
    let recovered_after_s = (0..((OBSERVED_AFTER_S - 2.0 - CALLER_TIMEOUT_S) * 4.0) as u32)
        .map(|quarter| f64::from(quarter) / 4.0)
        .find(|after| is_recovered(slowdown_end + Duration::from_secs_f64(*after)));
    let (mut attempts, mut invocations) = (0, 0);
    for (.., load) in &loads {
        attempts += load.record.borrow().sent.len();
        invocations += load.record.borrow().first_attempts.len();
    }
    let verdict = check_load(&installation, loads).await;
    let (lost, doubled) = (verdict.lost, verdict.doubled + verdict.run_twice);
    Ok(Outcome {
        before,
        during,
        recovered_after_s,
        tries: attempts as f64 / invocations.max(1) as f64,
        lost,
        doubled,
    })
}

/// Runs each combination of load and retries without and with budgets. Returns the JSON object of the last line and whether
/// service recovered in time with nothing lost or doubled.
///
/// # Errors
/// Fails if an installation or its load can't be started.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    println!(
        "{} instances, one catalogue of {CATALOGUE_CAPACITY_PER_S} calls per second that slows down to a third for {SLOWDOWN_S} s; seeds {} to {}\n",
        plan.instances,
        plan.seed,
        plan.seed + plan.seeds - 1
    );
    let mut address_numbers = (10_u8..240).step_by(3);
    let (mut worst_recovery_s, mut clean, mut rows) = (0.0_f64, true, Vec::new());
    for seed in plan.seed..plan.seed + plan.seeds {
        for (load_fraction, tries) in [(0.7, 3), (0.9, 1), (0.9, 3)] {
            for mode in [BudgetMode::Before, BudgetMode::Shares] {
                if plan.only.is_some_and(|only| only != mode)
                    || plan.seeds > 2 && (load_fraction, tries) != (0.9, 3)
                {
                    continue;
                }
                let address_number = address_numbers.next().ok_or_else(|| {
                    io::Error::other("no address is left: run fewer seeds at a time")
                })?;
                let outcome =
                    run_once(plan, mode, load_fraction, tries, seed, address_number).await?;
                println!(
                    "seed {seed} load {load_fraction} tries {tries} {mode:?}: served {:.3} before, {:.3} during; recovered {} after the slowdown; {:.2} \
                     tries per invocation; {} lost, {} doubled",
                    outcome.before,
                    outcome.during,
                    outcome.recovered_after_s.map_or(
                        format!("not within {OBSERVED_AFTER_S} s"),
                        |seconds| format!("{seconds:.2} s")
                    ),
                    outcome.tries,
                    outcome.lost,
                    outcome.doubled
                );
                if mode == BudgetMode::Shares {
                    worst_recovery_s =
                        worst_recovery_s.max(outcome.recovered_after_s.unwrap_or(OBSERVED_AFTER_S));
                    clean &= outcome.lost + outcome.doubled == 0;
                }
                rows.push(json!({
                    "seed": seed, "load": load_fraction, "tries": tries, "way": format!("{mode:?}").to_lowercase(), "before": outcome.before,
                    "during": outcome.during, "back_s": outcome.recovered_after_s,
                }));
            }
        }
    }
    clean &= worst_recovery_s <= 5.0;
    let line = json!({ "trial": "shares-loops", "worst_back_s": worst_recovery_s, "plays": rows });
    println!("\n{line}");
    Ok((line, clean))
}
