//! `experiment compatibility`: two versions of the program on the same stored data and in one consensus group.
//!
//! - Agents of one version write an installation's log and store; agents of the other one open the same folders.
//! - Agents of both versions decide on a change together, with either version in the majority.
//! - An instance of one version writes its gossip store; one of the other version opens the same folder.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::installation::{Installation, InstallationConfig, policy_admitting};
use crate::instance::{Instance, Setup};
use crate::load::Load;

/// How long to wait for a condition before the experiment fails.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long load is sent, so that an instance has observations and time to store them.
const OBSERVED_FOR: Duration = Duration::from_secs(4);

/// The two versions that are compared.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The version that writes first.
    pub from: PathBuf,
    /// The version that opens the data afterwards.
    pub to: PathBuf,
    /// Seeds the load.
    pub seed: u64,
}

/// Runs both directions of each part and prints a JSON object as its last line. Returns false if stored data was lost or
/// the agents did not agree.
///
/// # Errors
/// Fails if a process can't be started or does not answer.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let agents = run_agents(plan).await?;
    let gossip = run_gossip_store(plan).await?;
    let is_kept = agents.versions_kept && gossip.lost == 0 && gossip.stored > 0;
    let is_agreed = agents.agreed_versions.len() == 3;
    let line = json!({
        "experiment": "compatibility", "seed": plan.seed, "policy_versions": agents.agreed_versions,
        "policy_version_kept": agents.versions_kept, "observations_stored": gossip.stored,
        "observations_lost": gossip.lost,
    });
    println!("{line}");
    Ok((line, is_kept && is_agreed))
}

/// The outcome of the part that tests the agents.
struct AgentsOutcome {
    /// The policy versions that all agents agreed on, one for each mixture of program versions.
    agreed_versions: Vec<u64>,
    /// Whether the policy version stayed the same after all agents were replaced.
    versions_kept: bool,
}

async fn run_agents(plan: &Plan) -> io::Result<AgentsOutcome> {
    let made = InstallationConfig {
        instances: 1,
        ..InstallationConfig::default()
    };
    let mut installation = Installation::start(&plan.from, 1, &made).await?;
    let mut agreed_versions = Vec::new();
    agreed_versions.extend(propose_policy(&installation, 0, "one version").await?);
    println!("agents of one version agreed on version {agreed_versions:?}");
    for host in 0..3 {
        restart_agent(&mut installation, host, &plan.to).await?;
    }
    let statuses = installation
        .wait_until("all agents are back", |statuses| {
            statuses.iter().all(has_lease)
        })
        .await?;
    let after: BTreeSet<Option<u64>> = statuses.iter().map(current_version).collect();
    let versions_kept = after == BTreeSet::from([agreed_versions.last().copied()]);
    println!("agents of the other version opened the same folders: version {after:?}");
    restart_agent(&mut installation, 2, &plan.from).await?;
    agreed_versions
        .extend(propose_policy(&installation, 1, "one agent of the first version").await?);
    println!(
        "two agents of the second and one of the first version agreed on version {:?}",
        agreed_versions.last()
    );
    restart_agent(&mut installation, 0, &plan.from).await?;
    agreed_versions
        .extend(propose_policy(&installation, 2, "two agents of the first version").await?);
    println!(
        "one agent of the second and two of the first version agreed on version {:?}",
        agreed_versions.last()
    );
    Ok(AgentsOutcome {
        agreed_versions,
        versions_kept,
    })
}

async fn restart_agent(
    installation: &mut Installation,
    host: usize,
    program: &Path,
) -> io::Result<()> {
    installation.hosts[host].kill_agent().await;
    installation.hosts[host].start_agent(program)
}

/// Repeats a proposal until its outcome is known and all agents and hosts have applied it, and returns their version.
async fn propose_policy(
    installation: &Installation,
    sign: usize,
    id: &str,
) -> io::Result<Option<u64>> {
    let body = json!({ "id": id, "policy": policy_admitting(sign), "wait": true });
    let deadline = Instant::now() + TIMEOUT;
    let version = loop {
        let answer = installation.hosts[sign % 3]
            .policy_request("propose", body.clone())
            .await;
        if let Ok((ControlMessage::Done, report)) = &answer
            && let Some(version) = report["number"].as_u64()
        {
            break version;
        }
        if Instant::now() >= deadline {
            return Err(io::Error::other(format!(
                "the policy proposal {id:?} did not succeed within {} s; last answer: {answer:?}",
                TIMEOUT.as_secs()
            )));
        }
        sleep(Duration::from_millis(100)).await;
    };
    let statuses = installation
        .wait_until(id, |statuses| {
            statuses
                .iter()
                .all(|status| has_lease(status) && current_version(status) == Some(version))
        })
        .await?;
    Ok(statuses.first().and_then(current_version))
}

fn has_lease(status: &Value) -> bool {
    status["leader"].is_string() && status["lease"].is_object()
}

fn current_version(status: &Value) -> Option<u64> {
    status["lease"]["number"].as_u64()
}

/// The outcome of the part that tests the gossip store.
struct GossipOutcome {
    stored: usize,
    lost: usize,
}

async fn run_gossip_store(plan: &Plan) -> io::Result<GossipOutcome> {
    let mut setup = Setup::small(&plan.from);
    setup.learning = Some(json!({ "engine": "compatibility", "folder": true }));
    let mut instance = Instance::start(&setup, 40).await?;
    let load = Load::with_example_operations(&instance.address, 20, 400.0, plan.seed);
    let running_load = load.start().await?;
    sleep(OBSERVED_FOR).await;
    running_load.stop().await;
    let mut outcome = GossipOutcome { stored: 0, lost: 0 };
    for program in [&plan.to, &plan.from] {
        let before = observed_metrics(&instance).await?;
        instance.terminate_and_restart(program).await?;
        let after = observed_metrics(&instance).await?;
        outcome.stored += before.len();
        outcome.lost += before.difference(&after).count();
        println!(
            "gossip store: {} observations, {} after a restart",
            before.len(),
            after.len()
        );
    }
    instance.kill_all().await;
    Ok(outcome)
}

/// The metrics that the instance has observations of, by kind and names.
async fn observed_metrics(instance: &Instance) -> io::Result<BTreeSet<String>> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match instance.known_observations().await {
            Ok(observations) => return Ok(observations.iter().map(metric).collect()),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => sleep(Duration::from_millis(20)).await, // the instance is still starting
        }
    }
}

fn metric(observation: &Value) -> String {
    ["kind", "server", "operation"]
        .map(|key| observation[key].as_str().unwrap_or("").to_owned())
        .join(" ")
}
