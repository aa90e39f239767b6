//! `experiment policy --switch`: service around policy changes without faults, compared with the minute before them, and
//! the longest stall of an instance. Stalls are measured by health checks on separate connections, 500 per second and instance.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::experiments::policy::Plan;
use crate::installation::{Installation, MARKER_OPERATIONS, check_load, policy_admitting};
use crate::load::{Load, RunningLoad};
use crate::wire::fastcgi_invocation;

/// How long service is measured before the first change.
const BASELINE_DURATION: Duration = Duration::from_secs(60);
/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// How long after a proposal service counts as being around the change.
const CHANGE_WINDOW: Duration = Duration::from_secs(1);

/// The time at which each health check was sent, and how long its response took.
type Checks = Rc<RefCell<Vec<(Instant, Duration)>>>;

/// Sends health checks to one instance, each after the response to the one before, until the connection ends.
async fn send_health_checks(address: String, checks: Checks) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let bytes = fastcgi_invocation(
        1,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live"), ("REQUEST_METHOD", "GET")],
    );
    let mut ticks = interval(Duration::from_millis(2));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let sent = Instant::now();
        stream.write_all(&bytes).await?;
        loop {
            let mut head = [0; 8];
            stream.read_exact(&mut head).await?;
            let rest = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
            stream.read_exact(&mut vec![0; rest]).await?;
            if head[1] == 3 {
                break; // FCGI_END_REQUEST
            }
        }
        checks.borrow_mut().push((sent, sent.elapsed()));
    }
}

/// The longest response time to checks sent within `CHANGE_WINDOW` of each of these times, in milliseconds, sorted.
fn longest_responses(checks: &[Checks], times: &[Instant]) -> Vec<f64> {
    let within = |from: Instant| {
        let per_instance = checks.iter().map(|checks| {
            let checks = checks.borrow();
            let in_window = checks
                .iter()
                .filter(|(sent, _)| *sent >= from && *sent < from + CHANGE_WINDOW);
            // An instance that received no check counts as stalled for the whole window.
            in_window
                .map(|(_, took)| *took)
                .max()
                .unwrap_or(CHANGE_WINDOW)
                .as_secs_f64()
                * 1e3
        });
        per_instance.fold(0.0, f64::max)
    };
    let mut longest: Vec<f64> = times.iter().map(|from| within(*from)).collect();
    longest.sort_by(f64::total_cmp);
    longest
}

/// Sent and served invocations of these time ranges, only of the operations that every policy treats alike.
fn served(loads: &[(usize, u16, Load, RunningLoad)], times: &[(Instant, Instant)]) -> (u64, u64) {
    let (mut sent, mut served) = (0, 0);
    for (.., running_load) in loads {
        let seen = running_load.record.borrow();
        let counted = seen.sent.values().filter(|invocation| {
            !MARKER_OPERATIONS.contains(&invocation.operation.as_str())
                && times
                    .iter()
                    .any(|(from, until)| invocation.sent_at >= *from && invocation.sent_at < *until)
        });
        for invocation in counted {
            sent += 1;
            served += u64::from(
                invocation
                    .answers
                    .first()
                    .is_some_and(|(_, status)| *status == 200),
            );
        }
    }
    (sent, served)
}

/// Runs the policy changes and returns the JSON object of the last line and whether service stayed within its bounds.
///
/// # Errors
/// Fails if the installation can't be started, or an agent does not respond to a proposal.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let installation = Installation::start(&plan.program, 10, &plan.made).await?;
    let loads = installation.start_load(plan.rate, plan.seed).await?;
    let mut checks: Vec<Checks> = Vec::new();
    for host in 0..installation.hosts.len() {
        for instance in 0..plan.made.instances {
            let own = Checks::default();
            // A connection that ends early counts as a stall in each window without a check.
            spawn_local(send_health_checks(
                installation.address(host, instance),
                own.clone(),
            ));
            checks.push(own);
        }
    }
    sleep(Duration::from_secs(5)).await; // warm up
    let started = Instant::now();
    sleep(BASELINE_DURATION).await;
    let (mut changes, mut held) = (Vec::new(), 0);
    for round in 0..plan.rounds {
        let proposed = Instant::now();
        let body = json!({ "id": format!("switch-{round}"), "policy": policy_admitting(round as usize % 3), "wait": true });
        let (_, reply) = installation.hosts[round as usize % installation.hosts.len()]
            .policy_request("propose", body)
            .await?;
        held += u64::from(reply["state"] == "held");
        changes.push(proposed);
        sleep(CHANGE_INTERVAL.saturating_sub(proposed.elapsed())).await;
    }
    sleep(Duration::from_secs(4)).await; // let open invocations be answered
    let quiet: Vec<Instant> = (0..plan.rounds)
        .map(|index| started + CHANGE_INTERVAL * index)
        .collect();
    let (at_change, at_rest) = (
        longest_responses(&checks, &changes),
        longest_responses(&checks, &quiet),
    );
    let (sent, served_before) = served(&loads, &[(started, started + BASELINE_DURATION)]);
    let share_before = served_before as f64 / sent.max(1) as f64;
    let around: Vec<_> = changes
        .iter()
        .map(|at| (*at, *at + CHANGE_WINDOW))
        .collect();
    let (sent, served_around) = served(&loads, &around);
    let share_around = served_around as f64 / sent.max(1) as f64;
    let verdict = check_load(&installation, loads).await;
    let doubled = verdict.doubled + verdict.run_twice + verdict.spoilt;
    let median = |sorted: &[f64]| sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN);
    let max = |sorted: &[f64]| sorted.last().copied().unwrap_or(f64::NAN);
    let line = json!({
        "trial": "policy-switch", "seed": plan.seed, "instances": checks.len(), "changes": changes.len(), "held": held,
        "served_before": share_before, "served_around": share_around, "ratio": share_around / share_before, "counted_around": sent,
        "stall_ms": median(&at_change), "stall_ms_most": max(&at_change),
        "stall_ms_at_rest": median(&at_rest), "stall_ms_at_rest_most": max(&at_rest),
        "lost": verdict.lost, "doubled": doubled,
    });
    println!("{line}");
    Ok((
        line,
        verdict.lost + doubled == 0
            && held == changes.len() as u64
            && share_around >= 0.995 * share_before,
    ))
}
