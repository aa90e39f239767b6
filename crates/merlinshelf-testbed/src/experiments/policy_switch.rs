//! `trial policy --switch`: service around changes without faults, against the minute before, and the longest that an instance
//! says nothing, asked five hundred times a second by checks on connections of their own.

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
use crate::installation::{Installation, SIGNS, check, policy_of};
use crate::load::{Load, Playing};
use crate::wire::ask;

/// Without changes, so long before the first.
const BEFORE: Duration = Duration::from_secs(60);
/// From one change to the next; as much of it as `AROUND` counts as around the change.
const EACH: Duration = Duration::from_secs(5);
const AROUND: Duration = Duration::from_secs(1);

/// When a check was sent, and how long its answer took.
type Checks = Rc<RefCell<Vec<(Instant, Duration)>>>;

/// Checks one instance after the other answer, until its connection ends.
async fn check_on(address: String, checks: Checks) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let bytes = ask(
        1,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live"), ("REQUEST_METHOD", "GET")],
    );
    let mut beats = interval(Duration::from_millis(2));
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beats.tick().await;
        let sent = Instant::now();
        stream.write_all(&bytes).await?;
        loop {
            let mut head = [0; 8];
            stream.read_exact(&mut head).await?;
            let rest = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
            stream.read_exact(&mut vec![0; rest]).await?;
            if head[1] == 3 {
                break; // the end of the request
            }
        }
        checks.borrow_mut().push((sent, sent.elapsed()));
    }
}

/// The longest answer to a check that was sent in one of these times of `AROUND`, each; in milliseconds, sorted.
fn longest(checks: &[Checks], times: &[Instant]) -> Vec<f64> {
    let within = |from: Instant| {
        let all = checks.iter().map(|of| {
            let of = of.borrow();
            let of = of
                .iter()
                .filter(|(sent, _)| *sent >= from && *sent < from + AROUND);
            // Who was not asked at all says nothing for all of it.
            of.map(|(_, took)| *took)
                .max()
                .unwrap_or(AROUND)
                .as_secs_f64()
                * 1e3
        });
        all.fold(0.0, f64::max)
    };
    let mut all: Vec<f64> = times.iter().map(|from| within(*from)).collect();
    all.sort_by(f64::total_cmp);
    all
}

/// How much of what was sent in these times was served, of what every policy lets in alike.
fn served(playing: &[(usize, u16, Load, Playing)], times: &[(Instant, Instant)]) -> (u64, u64) {
    let (mut sent, mut served) = (0, 0);
    for (.., playing) in playing {
        let seen = playing.seen.borrow();
        let counted = seen.sent.values().filter(|one| {
            !SIGNS.contains(&one.operation.as_str())
                && times
                    .iter()
                    .any(|(from, until)| one.at >= *from && one.at < *until)
        });
        for one in counted {
            sent += 1;
            served += u64::from(
                one.answers
                    .first()
                    .is_some_and(|(_, status)| *status == 200),
            );
        }
    }
    (sent, served)
}

/// # Errors
/// What can't be played.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let all = Installation::start(&plan.program, 10, &plan.made).await?;
    let playing = all.load(plan.rate, plan.seed).await?;
    let mut checks: Vec<Checks> = Vec::new();
    for host in 0..all.hosts.len() {
        for place in 0..plan.made.instances {
            let own = Checks::default();
            // One that ends early counts as a stall of every second that it was not asked in.
            spawn_local(check_on(all.address(host, place), own.clone()));
            checks.push(own);
        }
    }
    sleep(Duration::from_secs(5)).await; // warm
    let began = Instant::now();
    sleep(BEFORE).await;
    let (mut changes, mut held) = (Vec::new(), 0);
    for round in 0..plan.rounds {
        let proposed = Instant::now();
        let body = json!({ "id": format!("switch-{round}"), "policy": policy_of(round as usize % 3), "wait": true });
        let (_, said) = all.hosts[round as usize % all.hosts.len()]
            .policy("propose", body)
            .await?;
        held += u64::from(said["state"] == "held");
        changes.push(proposed);
        sleep(EACH.saturating_sub(proposed.elapsed())).await;
    }
    sleep(Duration::from_secs(4)).await; // what is open is answered
    let quiet: Vec<Instant> = (0..plan.rounds).map(|place| began + EACH * place).collect();
    let (at_change, at_rest) = (longest(&checks, &changes), longest(&checks, &quiet));
    let (sent, before) = served(&playing, &[(began, began + BEFORE)]);
    let share_before = before as f64 / sent.max(1) as f64;
    let around: Vec<_> = changes.iter().map(|at| (*at, *at + AROUND)).collect();
    let (sent, after) = served(&playing, &around);
    let share = after as f64 / sent.max(1) as f64;
    let verdict = check(&all, playing).await;
    let doubled = verdict.doubled + verdict.run_twice + verdict.spoilt;
    let median = |all: &[f64]| all.get(all.len() / 2).copied().unwrap_or(f64::NAN);
    let most = |all: &[f64]| all.last().copied().unwrap_or(f64::NAN);
    let line = json!({
        "trial": "policy-switch", "seed": plan.seed, "instances": checks.len(), "changes": changes.len(), "held": held,
        "served_before": share_before, "served_around": share, "ratio": share / share_before, "counted_around": sent,
        "stall_ms": median(&at_change), "stall_ms_most": most(&at_change),
        "stall_ms_at_rest": median(&at_rest), "stall_ms_at_rest_most": most(&at_rest),
        "lost": verdict.lost, "doubled": doubled,
    });
    println!("{line}");
    Ok((
        line,
        verdict.lost + doubled == 0
            && held == changes.len() as u64
            && share >= 0.995 * share_before,
    ))
}
