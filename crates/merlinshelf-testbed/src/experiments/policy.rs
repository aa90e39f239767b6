//! `trial policy`: several agents with several instances each, under load, one change of policy a round with a fault drawn by seed;
//! the promises are read from what clients got alone.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::installation::{
    Changed, Installation, Made, check, evidence, out_of_order, policy_of, with_sign,
};
use crate::instance::signal;
use crate::link::Fault;
use crate::load::{Load, Playing};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    /// Changes in each seed.
    pub rounds: u32,
    pub made: Made,
    /// Invocations a second to each instance.
    pub rate: f64,
    pub program: PathBuf,
    /// Only this fault in every round; none: drawn by seed.
    pub only: Option<RoundFault>,
}

/// What happens in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum RoundFault {
    Nothing,
    /// An instance stands still before the change and goes on after it.
    StopInstance,
    KillInstance,
    /// An agent that does not lead dies, and comes back.
    KillAgent,
    KillLeader,
    KillAllAgents,
    /// The agent that leads stands still, and goes on as if nothing had been.
    StopLeader,
    /// One host is cut off, by links that end or that hold what is sent.
    CutHost,
    HoldHost,
    /// One host is heard and hears nothing.
    DeafHost,
    /// An agent dies and comes back without its disk.
    LoseDisk,
    /// A document that no instance can use.
    BadDocument,
    /// Two operators at two agents.
    TwoAtOnce,
}

const ALL: [RoundFault; 13] = [
    RoundFault::Nothing,
    RoundFault::StopInstance,
    RoundFault::KillInstance,
    RoundFault::KillAgent,
    RoundFault::KillLeader,
    RoundFault::KillAllAgents,
    RoundFault::StopLeader,
    RoundFault::CutHost,
    RoundFault::HoldHost,
    RoundFault::DeafHost,
    RoundFault::LoseDisk,
    RoundFault::BadDocument,
    RoundFault::TwoAtOnce,
];

/// What came of a seed.
#[derive(Default)]
struct Sums {
    rounds: u64,
    held: u64,
    refused: u64,
    unended: u64,
    order: u64,
    halves: u64,
    sent: u64,
    lost: u64,
    doubled: u64,
    evidence: u64,
    /// Seconds from proposing to held, by trouble.
    took: BTreeMap<RoundFault, Vec<f64>>,
}

/// Asks, at whichever agent answers, until it is known what became of the change.
async fn outcome(all: &Installation, id: &str, within: Duration) -> Option<Value> {
    let until = Instant::now() + within;
    while Instant::now() < until {
        for host in &all.hosts {
            let asked = host.policy("outcome", json!({ "id": id }));
            if let Ok(Ok((ControlMessage::Done | ControlMessage::Failed, said))) =
                timeout(Duration::from_millis(400), asked).await
                && said["number"].is_u64()
                && said["state"] != "proposed"
            {
                return Some(said);
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

struct Round<'a> {
    all: &'a mut Installation,
    rng: &'a mut Pcg64Mcg,
    trouble: RoundFault,
    stopped: Vec<u32>,
    agents_down: Vec<usize>,
    lose_disk: bool,
}

impl Round<'_> {
    /// Before the change is proposed; the instances that were killed.
    async fn begin(&mut self) -> Vec<(usize, u16)> {
        let hosts = self.all.hosts.len();
        let host = self.rng.random_range(0..hosts);
        let place = self.rng.random_range(0..self.all.made.instances);
        let leader = self.all.leader().await.unwrap_or(0);
        let other = (leader + 1 + self.rng.random_range(0..hosts.max(2) - 1)) % hosts;
        match self.trouble {
            RoundFault::StopInstance => {
                self.stopped = self.all.hosts[host].processes_of(place);
                self.stopped
                    .iter()
                    .for_each(|pid| signal(*pid, Signal::STOP));
            }
            RoundFault::KillInstance => {
                self.all.hosts[host]
                    .processes_of(place)
                    .iter()
                    .for_each(|pid| signal(*pid, Signal::KILL));
                return vec![(host, place)];
            }
            RoundFault::KillAgent | RoundFault::LoseDisk => {
                self.agents_down = vec![other];
                self.lose_disk = self.trouble == RoundFault::LoseDisk;
            }
            RoundFault::KillLeader => self.agents_down = vec![leader],
            RoundFault::KillAllAgents => self.agents_down = (0..hosts).collect(),
            RoundFault::StopLeader => {
                self.stopped = self.all.hosts[leader].agent().into_iter().collect();
            }
            RoundFault::CutHost => self.all.set_links(host, true, true, Fault::Cut),
            RoundFault::HoldHost => self.all.set_links(host, true, true, Fault::Held),
            RoundFault::DeafHost => self.all.set_links(host, true, false, Fault::Held),
            RoundFault::Nothing | RoundFault::BadDocument | RoundFault::TwoAtOnce => {}
        }
        Vec::new()
    }

    /// A moment after the change was proposed.
    async fn midst(&mut self) {
        if self.trouble == RoundFault::StopLeader {
            self.stopped
                .iter()
                .for_each(|pid| signal(*pid, Signal::STOP));
        }
        for host in self.agents_down.clone() {
            self.all.hosts[host].kill_agent().await;
            if self.lose_disk {
                let _ = std::fs::remove_file(self.all.hosts[host].council());
            }
        }
    }

    async fn end(&mut self) -> io::Result<()> {
        self.stopped
            .drain(..)
            .for_each(|pid| signal(pid, Signal::CONT));
        self.all.heal();
        let program = self.all.program.clone();
        for host in std::mem::take(&mut self.agents_down) {
            self.all.hosts[host].start_agent(&program)?;
        }
        Ok(())
    }
}

/// Says of each invocation that was not answered in time, or ran twice, where and in which round it was sent, for whoever looks for
/// the cause.
fn tell_wrong(
    all: &Installation,
    playing: &[(usize, u16, Load, Playing)],
    rounds: &[(Instant, RoundFault)],
) {
    for (host, place, load, playing) in playing {
        let seen = playing.seen.borrow();
        let records = all.hosts[*host].records[usize::from(*place)].borrow();
        let late = seen.sent.iter().filter(|(id, sent)| {
            let bound = load.patience + Duration::from_millis(50);
            let answered = sent.answers.first().map(|(at, _)| *at - sent.at);
            let twice = records.runs.get(*id).is_some_and(|runs| *runs > 1);
            twice || sent.at.elapsed() > bound && answered.is_none_or(|took| took > bound)
        });
        for (id, sent) in late.take(20) {
            let round = rounds.iter().rposition(|(at, _)| *at <= sent.at);
            let since = round.map(|of| (sent.at - rounds[of].0).as_secs_f64());
            println!(
                "h{host}/web.{place}: {id} {} ran {} times, sent {since:.2?} s into round {round:?} {:?}, answered {:?}, killed {:?}",
                sent.operation,
                records.runs.get(id).copied().unwrap_or_default(),
                round.map(|of| rounds[of].1),
                sent.answers
                    .first()
                    .map(|(at, status)| (*at - sent.at, *status)),
                seen.killed
                    .iter()
                    .map(|at| at.saturating_duration_since(sent.at))
                    .collect::<Vec<_>>(),
            );
        }
    }
}

async fn play(plan: &Plan, seed: u64, number: u8, sums: &mut Sums) -> io::Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut all = Installation::start(&plan.program, number, &plan.made).await?;
    let playing = all.load(plan.rate, seed).await?;
    let lease = Duration::from_millis(plan.made.lease_ms);
    let mut changes: Vec<Changed> = Vec::new();
    let mut troubles: Vec<RoundFault> = Vec::new();
    // Each refused or held sign is another one than the last that held and the last that was proposed.
    let (mut held_sign, mut last_sign) = (None, None);
    let mut rounds: Vec<(Instant, RoundFault)> = Vec::new();
    for round in 0..plan.rounds {
        if troubles.is_empty() {
            troubles = ALL.to_vec();
            (1..troubles.len())
                .rev()
                .for_each(|place| troubles.swap(place, rng.random_range(0..=place)));
        }
        let trouble = plan.only.or(troubles.pop()).unwrap_or(RoundFault::Nothing);
        let free = (0..3)
            .find(|sign| Some(*sign) != held_sign && Some(*sign) != last_sign)
            .unwrap_or(0);
        let mut acting = Round {
            all: &mut all,
            rng: &mut rng,
            trouble,
            stopped: Vec::new(),
            agents_down: Vec::new(),
            lose_disk: false,
        };
        for (host, place) in acting.begin().await {
            let own = playing
                .iter()
                .find(|(of, at, ..)| (*of, *at) == (host, place));
            own.into_iter()
                .for_each(|(.., playing)| playing.seen.borrow_mut().killed.push(Instant::now()));
        }
        let id = format!("{seed}-{round}");
        let mut document = policy_of(free);
        if trouble == RoundFault::BadDocument {
            document["operations"]["unheard-of"] = json!({ "worth": 1.0 });
        }
        let proposed = Instant::now();
        rounds.push((proposed, trouble));
        let at = acting.rng.random_range(0..acting.all.hosts.len());
        let body = json!({ "id": id, "policy": document, "wait": true });
        let pause = Duration::from_millis(acting.rng.random_range(0..40));
        {
            let asked = acting.all.hosts[at].policy("propose", body);
            // The tool asks on its own; what it is told does not count before it is asked anew.
            let _ = timeout(pause, asked).await;
        }
        if trouble == RoundFault::TwoAtOnce {
            let other = (at + 1) % acting.all.hosts.len();
            let body = json!({ "id": format!("{id}-other"), "policy": document, "wait": false });
            let _ = timeout(
                Duration::from_millis(300),
                acting.all.hosts[other].policy("propose", body),
            )
            .await;
        }
        acting.midst().await;
        // Again and again by the same id, at any agent, as an operator's tool does.
        let mut said = None;
        let (began, heals) = (
            Instant::now(),
            lease + Duration::from_millis(acting.rng.random_range(0..1500)),
        );
        let mut ended = false;
        while said.is_none() && began.elapsed() < heals + lease + Duration::from_secs(14) {
            if began.elapsed() >= heals && !ended {
                acting.end().await?;
                ended = true;
            }
            let at = acting.rng.random_range(0..acting.all.hosts.len());
            let body = json!({ "id": id, "policy": document, "wait": false });
            let asked = acting.all.hosts[at].policy("propose", body);
            let _ = timeout(Duration::from_millis(300), asked).await;
            said = outcome(acting.all, &id, Duration::from_millis(300)).await;
        }
        let known = Instant::now();
        if !ended {
            sleep(heals.saturating_sub(began.elapsed())).await;
            acting.end().await?;
        }
        sums.rounds += 1;
        last_sign = Some(free);
        let held = said.as_ref().is_some_and(|said| said["state"] == "held");
        match &said {
            None => sums.unended += 1,
            Some(_) if held => {
                sums.held += 1;
                sums.took
                    .entry(trouble)
                    .or_default()
                    .push((known - proposed).as_secs_f64());
            }
            Some(_) => sums.refused += 1,
        }
        println!(
            "seed {seed} round {round}: {trouble:?}: {} after {:.2} s",
            said.as_ref().map_or("not known".into(), |said| format!(
                "{} {}",
                said["number"], said["state"]
            )),
            (known - proposed).as_secs_f64()
        );
        let other = format!("{id}-other");
        if trouble == RoundFault::TwoAtOnce
            && let Some(said) = outcome(&all, &other, Duration::from_secs(6)).await
            && said["state"] == "held"
        {
            changes.push(Changed {
                proposed,
                sign: free,
                held: true,
            });
        }
        changes.push(Changed {
            proposed,
            sign: free,
            held,
        });
        if held {
            held_sign = Some(free);
        }
        all.when("all agents are back and all hosts have a lease", |shows| {
            shows.iter().all(|show| {
                show["leader"].is_string()
                    && show["lease"].is_object()
                    && show["under_way"].is_null()
            })
        })
        .await?;
        sleep(Duration::from_millis(300)).await;
    }
    let shown = evidence(&playing);
    let (order, halves) = out_of_order(&changes, &shown);
    tell_wrong(&all, &playing, &rounds);
    let verdict = check(&all, playing).await;
    sums.order += order;
    sums.halves += halves;
    sums.evidence += shown.len() as u64;
    sums.sent += verdict.sent;
    sums.lost += verdict.lost;
    sums.doubled += verdict.doubled + verdict.run_twice + verdict.spoilt;
    Ok(())
}

/// The way before there was a policy for all: another file, and all are restarted one after the other. How many were decided
/// on out of order, and how long the fleet was mixed.
///
/// # Errors
/// What can't be played.
pub async fn by_restart(plan: &Plan) -> io::Result<Value> {
    let all = Installation::start(&plan.program, 10, &plan.made).await?;
    let playing = all.load(plan.rate, plan.seed).await?;
    let mut changes = vec![Changed {
        proposed: Instant::now(),
        sign: 0,
        held: true,
    }];
    sleep(Duration::from_secs(1)).await;
    let file = all.hosts[0].folder.join("config.json");
    let mut mixed = Vec::new();
    for round in 1..=plan.rounds {
        let sign = round as usize % 3;
        std::fs::write(&file, with_sign(&std::fs::read_to_string(&file)?, sign)?)?;
        let proposed = Instant::now();
        all.hosts[0]
            .ask(&json!({ "op": "restart", "wait": true }))
            .await?;
        changes.push(Changed {
            proposed,
            sign,
            held: true,
        });
        sleep(Duration::from_millis(500)).await;
        let shown = evidence(&playing);
        let first = shown
            .iter()
            .find(|(sent, _, of)| *of == sign && *sent >= proposed)
            .map(|(_, at, _)| *at);
        let former = (sign + 2) % 3;
        let last = shown
            .iter()
            .filter(|(_, _, of)| *of == former)
            .map(|(sent, ..)| *sent)
            .max();
        if let (Some(first), Some(last)) = (first, last) {
            mixed.push(last.saturating_duration_since(first).as_secs_f64());
        }
    }
    let (order, _) = out_of_order(&changes, &evidence(&playing));
    let verdict = check(&all, playing).await;
    let line = json!({
        "trial": "policy", "by": "restart", "instances": plan.made.instances, "rounds": plan.rounds, "out_of_order": order,
        "mixed_s": mixed, "sent": verdict.sent, "lost": verdict.lost,
    });
    println!("{line}");
    Ok(line)
}

/// Plays all seeds; the last line, and whether the promises held.
///
/// # Errors
/// What can't be played.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut sums = Sums::default();
    let step = usize::from(plan.made.hosts);
    for (number, seed) in (10_u8..240)
        .step_by(step)
        .cycle()
        .zip(plan.seed..plan.seed + plan.seeds)
    {
        play(plan, seed, number, &mut sums).await?;
    }
    let mut took = serde_json::Map::new();
    for (trouble, times) in &mut sums.took {
        times.sort_by(f64::total_cmp);
        let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{trouble:?}: held after {median:.2} s (median of {}), {worst:.2} s at the worst",
            times.len()
        );
        took.insert(
            format!("{trouble:?}"),
            json!({ "count": times.len(), "median_s": median, "worst_s": worst }),
        );
    }
    let line = json!({
        "trial": "policy", "seed": plan.seed, "seeds": plan.seeds, "agents": plan.made.hosts,
        "instances": plan.made.instances, "lease_ms": plan.made.lease_ms, "rounds": sums.rounds, "held": sums.held,
        "refused": sums.refused, "out_of_order": sums.order, "halves": sums.halves, "unended": sums.unended,
        "sent": sums.sent, "shown_by": sums.evidence, "lost": sums.lost, "doubled": sums.doubled, "took": took,
    });
    println!("{line}");
    let broken = sums.order + sums.halves + sums.unended + sums.lost + sums.doubled;
    Ok((line, broken == 0 && sums.evidence > 0))
}
