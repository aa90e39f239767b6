//! `experiment policy`: several agents with several instances each, under load, with one policy change per round and a fault
//! drawn by seed. Whether the guarantees hold is decided only from the responses that clients received.

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
    Installation, InstallationConfig, ProposedChange, check_load, collect_evidence,
    config_admitting, count_violations, policy_admitting,
};
use crate::instance::signal;
use crate::link::Fault;
use crate::load::{Load, RunningLoad};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub seeds: u64,
    /// Policy changes in each seed.
    pub rounds: u32,
    pub made: InstallationConfig,
    /// Invocations per second to each instance.
    pub rate: f64,
    pub program: PathBuf,
    /// The fault of every round. If none, faults are drawn by seed.
    pub only: Option<RoundFault>,
}

/// The fault that is injected in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum RoundFault {
    Nothing,
    /// An instance is stopped by SIGSTOP before the change and continued after it.
    StopInstance,
    KillInstance,
    /// An agent that is not the leader is killed and started again.
    KillAgent,
    KillLeader,
    KillAllAgents,
    /// The leader is stopped by SIGSTOP and continued later.
    StopLeader,
    /// One host is disconnected: its links are closed, or delay everything that is sent.
    CutHost,
    HoldHost,
    /// One host can send but receives nothing.
    DeafHost,
    /// An agent is killed and started again with its stored log deleted.
    LoseDisk,
    /// A policy that every instance must reject.
    BadDocument,
    /// Two operators propose policies at two agents.
    TwoAtOnce,
}

const ALL_FAULTS: [RoundFault; 13] = [
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

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    rounds: u64,
    held: u64,
    refused: u64,
    unended: u64,
    out_of_order: u64,
    halves: u64,
    sent: u64,
    lost: u64,
    doubled: u64,
    evidence: u64,
    /// Seconds from the proposal until the policy held, by fault.
    durations: BTreeMap<RoundFault, Vec<f64>>,
}

/// Polls all agents until one of them knows the outcome of the change. None if none does within `max_wait`.
async fn outcome(installation: &Installation, id: &str, max_wait: Duration) -> Option<Value> {
    let deadline = Instant::now() + max_wait;
    while Instant::now() < deadline {
        for host in &installation.hosts {
            let request = host.policy_request("outcome", json!({ "id": id }));
            if let Ok(Ok((ControlMessage::Done | ControlMessage::Failed, reply))) =
                timeout(Duration::from_millis(400), request).await
                && reply["number"].is_u64()
                && reply["state"] != "proposed"
            {
                return Some(reply);
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

struct FaultInjection<'a> {
    installation: &'a mut Installation,
    rng: &'a mut Pcg64Mcg,
    fault: RoundFault,
    stopped_processes: Vec<u32>,
    agents_down: Vec<usize>,
    delete_log: bool,
}

impl FaultInjection<'_> {
    /// Injects the faults that start before the proposal. Returns the instances that were killed.
    async fn before_proposal(&mut self) -> Vec<(usize, u16)> {
        let hosts = self.installation.hosts.len();
        let host = self.rng.random_range(0..hosts);
        let instance = self.rng.random_range(0..self.installation.config.instances);
        let leader = self.installation.leader().await.unwrap_or(0);
        let other = (leader + 1 + self.rng.random_range(0..hosts.max(2) - 1)) % hosts;
        match self.fault {
            RoundFault::StopInstance => {
                self.stopped_processes = self.installation.hosts[host].processes_of(instance);
                self.stopped_processes
                    .iter()
                    .for_each(|pid| signal(*pid, Signal::STOP));
            }
            RoundFault::KillInstance => {
                self.installation.hosts[host]
                    .processes_of(instance)
                    .iter()
                    .for_each(|pid| signal(*pid, Signal::KILL));
                return vec![(host, instance)];
            }
            RoundFault::KillAgent | RoundFault::LoseDisk => {
                self.agents_down = vec![other];
                self.delete_log = self.fault == RoundFault::LoseDisk;
            }
            RoundFault::KillLeader => self.agents_down = vec![leader],
            RoundFault::KillAllAgents => self.agents_down = (0..hosts).collect(),
            RoundFault::StopLeader => {
                self.stopped_processes = self.installation.hosts[leader]
                    .agent_pid()
                    .into_iter()
                    .collect();
            }
            RoundFault::CutHost => self
                .installation
                .set_link_fault(host, true, true, Fault::Cut),
            RoundFault::HoldHost => {
                self.installation
                    .set_link_fault(host, true, true, Fault::Stalled)
            }
            RoundFault::DeafHost => {
                self.installation
                    .set_link_fault(host, true, false, Fault::Stalled)
            }
            RoundFault::Nothing | RoundFault::BadDocument | RoundFault::TwoAtOnce => {}
        }
        Vec::new()
    }

    /// Injects the faults that start shortly after the proposal.
    async fn after_proposal(&mut self) {
        if self.fault == RoundFault::StopLeader {
            self.stopped_processes
                .iter()
                .for_each(|pid| signal(*pid, Signal::STOP));
        }
        for host in self.agents_down.clone() {
            self.installation.hosts[host].kill_agent().await;
            if self.delete_log {
                let _ = std::fs::remove_file(self.installation.hosts[host].consensus_folder());
            }
        }
    }

    /// Ends all faults and starts the killed agents again.
    async fn end_faults(&mut self) -> io::Result<()> {
        self.stopped_processes
            .drain(..)
            .for_each(|pid| signal(pid, Signal::CONT));
        self.installation.clear_link_faults();
        let program = self.installation.program.clone();
        for host in std::mem::take(&mut self.agents_down) {
            self.installation.hosts[host].start_agent(&program)?;
        }
        Ok(())
    }
}

/// Prints each invocation that was not answered in time or ran twice, with its instance and round, to help find the cause.
fn print_violations(
    installation: &Installation,
    loads: &[(usize, u16, Load, RunningLoad)],
    rounds: &[(Instant, RoundFault)],
) {
    for (host, instance, load, running_load) in loads {
        let seen = running_load.record.borrow();
        let records = installation.hosts[*host].records[usize::from(*instance)].borrow();
        let violations = seen.sent.iter().filter(|(id, sent)| {
            let limit = load.patience + Duration::from_millis(50);
            let answered = sent.answers.first().map(|(at, _)| *at - sent.sent_at);
            let ran_twice = records.runs.get(*id).is_some_and(|runs| *runs > 1);
            ran_twice || sent.sent_at.elapsed() > limit && answered.is_none_or(|took| took > limit)
        });
        for (id, sent) in violations.take(20) {
            let round = rounds
                .iter()
                .rposition(|(started, _)| *started <= sent.sent_at);
            let since = round.map(|index| (sent.sent_at - rounds[index].0).as_secs_f64());
            println!(
                "h{host}/web.{instance}: {id} {} ran {} times, sent {since:.2?} s into round {round:?} {:?}, answered {:?}, killed {:?}",
                sent.operation,
                records.runs.get(id).copied().unwrap_or_default(),
                round.map(|index| rounds[index].1),
                sent.answers
                    .first()
                    .map(|(at, status)| (*at - sent.sent_at, *status)),
                seen.killed_at
                    .iter()
                    .map(|at| at.saturating_duration_since(sent.sent_at))
                    .collect::<Vec<_>>(),
            );
        }
    }
}

async fn run_seed(
    plan: &Plan,
    seed: u64,
    address_number: u8,
    totals: &mut Totals,
) -> io::Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut installation = Installation::start(&plan.program, address_number, &plan.made).await?;
    let loads = installation.start_load(plan.rate, seed).await?;
    let lease = Duration::from_millis(plan.made.lease_ms);
    let mut changes: Vec<ProposedChange> = Vec::new();
    let mut remaining_faults: Vec<RoundFault> = Vec::new();
    // The sign of each proposal differs from the last one that held and from the last one that was proposed.
    let (mut held_sign, mut last_proposed_sign) = (None, None);
    let mut rounds: Vec<(Instant, RoundFault)> = Vec::new();
    for round in 0..plan.rounds {
        if remaining_faults.is_empty() {
            remaining_faults = ALL_FAULTS.to_vec();
            (1..remaining_faults.len())
                .rev()
                .for_each(|index| remaining_faults.swap(index, rng.random_range(0..=index)));
        }
        let fault = plan
            .only
            .or(remaining_faults.pop())
            .unwrap_or(RoundFault::Nothing);
        let sign = (0..3)
            .find(|sign| Some(*sign) != held_sign && Some(*sign) != last_proposed_sign)
            .unwrap_or(0);
        let mut injection = FaultInjection {
            installation: &mut installation,
            rng: &mut rng,
            fault,
            stopped_processes: Vec::new(),
            agents_down: Vec::new(),
            delete_log: false,
        };
        for (host, instance) in injection.before_proposal().await {
            let own = loads
                .iter()
                .find(|(of_host, of_instance, ..)| (*of_host, *of_instance) == (host, instance));
            own.into_iter().for_each(|(.., running_load)| {
                running_load
                    .record
                    .borrow_mut()
                    .killed_at
                    .push(Instant::now())
            });
        }
        let id = format!("{seed}-{round}");
        let mut document = policy_admitting(sign);
        if fault == RoundFault::BadDocument {
            document["operations"]["unheard-of"] = json!({ "worth": 1.0 });
        }
        let proposed = Instant::now();
        rounds.push((proposed, fault));
        let proposer = injection
            .rng
            .random_range(0..injection.installation.hosts.len());
        let body = json!({ "id": id, "policy": document, "wait": true });
        let pause = Duration::from_millis(injection.rng.random_range(0..40));
        {
            let request = injection.installation.hosts[proposer].policy_request("propose", body);
            // The request is cut off after the pause and its reply ignored. The loop below proposes again.
            let _ = timeout(pause, request).await;
        }
        if fault == RoundFault::TwoAtOnce {
            let other = (proposer + 1) % injection.installation.hosts.len();
            let body = json!({ "id": format!("{id}-other"), "policy": document, "wait": false });
            let _ = timeout(
                Duration::from_millis(300),
                injection.installation.hosts[other].policy_request("propose", body),
            )
            .await;
        }
        injection.after_proposal().await;
        // Repeats the proposal under the same id at any agent, as an operator's tool does.
        let mut result = None;
        let (retrying_since, heals_after) = (
            Instant::now(),
            lease + Duration::from_millis(injection.rng.random_range(0..1500)),
        );
        let mut faults_ended = false;
        while result.is_none()
            && retrying_since.elapsed() < heals_after + lease + Duration::from_secs(14)
        {
            if retrying_since.elapsed() >= heals_after && !faults_ended {
                injection.end_faults().await?;
                faults_ended = true;
            }
            let agent = injection
                .rng
                .random_range(0..injection.installation.hosts.len());
            let body = json!({ "id": id, "policy": document, "wait": false });
            let request = injection.installation.hosts[agent].policy_request("propose", body);
            let _ = timeout(Duration::from_millis(300), request).await;
            result = outcome(injection.installation, &id, Duration::from_millis(300)).await;
        }
        let known_at = Instant::now();
        if !faults_ended {
            sleep(heals_after.saturating_sub(retrying_since.elapsed())).await;
            injection.end_faults().await?;
        }
        totals.rounds += 1;
        last_proposed_sign = Some(sign);
        let held = result
            .as_ref()
            .is_some_and(|result| result["state"] == "held");
        match &result {
            None => totals.unended += 1,
            Some(_) if held => {
                totals.held += 1;
                totals
                    .durations
                    .entry(fault)
                    .or_default()
                    .push((known_at - proposed).as_secs_f64());
            }
            Some(_) => totals.refused += 1,
        }
        println!(
            "seed {seed} round {round}: {fault:?}: {} after {:.2} s",
            result.as_ref().map_or("not known".into(), |result| format!(
                "{} {}",
                result["number"], result["state"]
            )),
            (known_at - proposed).as_secs_f64()
        );
        let other = format!("{id}-other");
        if fault == RoundFault::TwoAtOnce
            && let Some(result) = outcome(&installation, &other, Duration::from_secs(6)).await
            && result["state"] == "held"
        {
            changes.push(ProposedChange {
                proposed_at: proposed,
                marker: sign,
                committed: true,
            });
        }
        changes.push(ProposedChange {
            proposed_at: proposed,
            marker: sign,
            committed: held,
        });
        if held {
            held_sign = Some(sign);
        }
        installation
            .wait_until(
                "all agents are back and all hosts have a lease",
                |statuses| {
                    statuses.iter().all(|status| {
                        status["leader"].is_string()
                            && status["lease"].is_object()
                            && status["under_way"].is_null()
                    })
                },
            )
            .await?;
        sleep(Duration::from_millis(300)).await;
    }
    let shown = collect_evidence(&loads);
    let (changes_out_of_order, halves) = count_violations(&changes, &shown);
    print_violations(&installation, &loads, &rounds);
    let verdict = check_load(&installation, loads).await;
    totals.out_of_order += changes_out_of_order;
    totals.halves += halves;
    totals.evidence += shown.len() as u64;
    totals.sent += verdict.sent;
    totals.lost += verdict.lost;
    totals.doubled += verdict.doubled + verdict.run_twice + verdict.spoilt;
    Ok(())
}

/// The baseline without a shared policy: the configuration file is changed and all instances are restarted one after the
/// other. Prints how many decisions were out of order and how long the fleet was mixed.
///
/// # Errors
/// Fails if the installation can't be started, its file can't be changed, or a restart fails.
pub async fn by_restart(plan: &Plan) -> io::Result<Value> {
    let installation = Installation::start(&plan.program, 10, &plan.made).await?;
    let loads = installation.start_load(plan.rate, plan.seed).await?;
    let mut changes = vec![ProposedChange {
        proposed_at: Instant::now(),
        marker: 0,
        committed: true,
    }];
    sleep(Duration::from_secs(1)).await;
    let file = installation.hosts[0].folder.join("config.json");
    let mut mixed = Vec::new();
    for round in 1..=plan.rounds {
        let sign = round as usize % 3;
        std::fs::write(
            &file,
            config_admitting(&std::fs::read_to_string(&file)?, sign)?,
        )?;
        let proposed = Instant::now();
        installation.hosts[0]
            .ask(&json!({ "op": "restart", "wait": true }))
            .await?;
        changes.push(ProposedChange {
            proposed_at: proposed,
            marker: sign,
            committed: true,
        });
        sleep(Duration::from_millis(500)).await;
        let shown = collect_evidence(&loads);
        let first = shown
            .iter()
            .find(|(sent, _, shown_sign)| *shown_sign == sign && *sent >= proposed)
            .map(|(_, at, _)| *at);
        let previous_sign = (sign + 2) % 3;
        let last = shown
            .iter()
            .filter(|(_, _, shown_sign)| *shown_sign == previous_sign)
            .map(|(sent, ..)| *sent)
            .max();
        if let (Some(first), Some(last)) = (first, last) {
            mixed.push(last.saturating_duration_since(first).as_secs_f64());
        }
    }
    let (changes_out_of_order, _) = count_violations(&changes, &collect_evidence(&loads));
    let verdict = check_load(&installation, loads).await;
    let line = json!({
        "trial": "policy", "by": "restart", "instances": plan.made.instances, "rounds": plan.rounds, "out_of_order": changes_out_of_order,
        "mixed_s": mixed, "sent": verdict.sent, "lost": verdict.lost,
    });
    println!("{line}");
    Ok(line)
}

/// Runs all seeds and returns the JSON object of the last line and whether the guarantees held.
///
/// # Errors
/// Fails if an installation can't be started or does not recover from a round.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let mut totals = Totals::default();
    let step = usize::from(plan.made.hosts);
    for (address_number, seed) in (10_u8..240)
        .step_by(step)
        .cycle()
        .zip(plan.seed..plan.seed + plan.seeds)
    {
        run_seed(plan, seed, address_number, &mut totals).await?;
    }
    let mut durations_by_fault = serde_json::Map::new();
    for (fault, times) in &mut totals.durations {
        times.sort_by(f64::total_cmp);
        let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{fault:?}: held after {median:.2} s (median of {}), {worst:.2} s in the worst round",
            times.len()
        );
        durations_by_fault.insert(
            format!("{fault:?}"),
            json!({ "count": times.len(), "median_s": median, "worst_s": worst }),
        );
    }
    let line = json!({
        "trial": "policy", "seed": plan.seed, "seeds": plan.seeds, "agents": plan.made.hosts,
        "instances": plan.made.instances, "lease_ms": plan.made.lease_ms, "rounds": totals.rounds, "held": totals.held,
        "refused": totals.refused, "out_of_order": totals.out_of_order, "halves": totals.halves, "unended": totals.unended,
        "sent": totals.sent, "shown_by": totals.evidence, "lost": totals.lost, "doubled": totals.doubled, "took": durations_by_fault,
    });
    println!("{line}");
    let violations =
        totals.out_of_order + totals.halves + totals.unended + totals.lost + totals.doubled;
    Ok((line, violations == 0 && totals.evidence > 0))
}
