//! `experiment compatibility`: two versions of the program over the same stored data, and beside each other.
//!
//! - Agents of one version write an installation's log and store; agents of the other one open the folders.
//! - Agents of both versions decide on a change together, with either version in the majority.
//! - An instance of one version writes its gossip store; one of the other version opens the folder.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::installation::{Installation, Made, policy_of};
use crate::instance::{Instance, Setup};
use crate::load::Load;

/// How long anything that must happen is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// Load until an instance has something to store, and time for it to be stored.
const OBSERVED_FOR: Duration = Duration::from_secs(4);

/// What is held against each other.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The version that writes first.
    pub from: PathBuf,
    /// The version that goes on with it.
    pub to: PathBuf,
    /// Seeds the load.
    pub seed: u64,
}

/// Plays both directions of each part. The last line that is printed is a JSON object; false where something was lost
/// or the agents did not agree.
///
/// # Errors
/// A process can't be started, or does not answer.
pub async fn run(plan: &Plan) -> io::Result<(Value, bool)> {
    let agents = agents(plan).await?;
    let gossip = gossip_store(plan).await?;
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

/// What came of the agents.
struct AgentsOutcome {
    /// The versions of the policy that all agents came to, one for each mixture.
    agreed_versions: Vec<u64>,
    /// The version was the same after all agents were replaced.
    versions_kept: bool,
}

async fn agents(plan: &Plan) -> io::Result<AgentsOutcome> {
    let made = Made {
        instances: 1,
        ..Made::default()
    };
    let mut all = Installation::start(&plan.from, 1, &made).await?;
    let mut agreed_versions = Vec::new();
    agreed_versions.extend(change(&all, 0, "one version").await?);
    println!("agents of one version agreed on version {agreed_versions:?}");
    for host in 0..3 {
        restart_agent(&mut all, host, &plan.to).await?;
    }
    let shows = all
        .when("all agents are back", |shows| shows.iter().all(has_lease))
        .await?;
    let after: BTreeSet<Option<u64>> = shows.iter().map(current_version).collect();
    let versions_kept = after == BTreeSet::from([agreed_versions.last().copied()]);
    println!("agents of the other version opened the folders: version {after:?}");
    restart_agent(&mut all, 2, &plan.from).await?;
    agreed_versions.extend(change(&all, 1, "one agent of the first version").await?);
    println!("two and one agreed on version {:?}", agreed_versions.last());
    restart_agent(&mut all, 0, &plan.from).await?;
    agreed_versions.extend(change(&all, 2, "two agents of the first version").await?);
    println!("one and two agreed on version {:?}", agreed_versions.last());
    Ok(AgentsOutcome {
        agreed_versions,
        versions_kept,
    })
}

async fn restart_agent(all: &mut Installation, host: usize, program: &Path) -> io::Result<()> {
    all.hosts[host].kill_agent().await;
    all.hosts[host].start_agent(program)
}

/// Proposes a policy until it is known what became of it; the version at which all agents and hosts then are.
async fn change(all: &Installation, sign: usize, id: &str) -> io::Result<Option<u64>> {
    let body = json!({ "id": id, "policy": policy_of(sign), "wait": true });
    let until = Instant::now() + PATIENCE;
    let version = loop {
        let answer = all.hosts[sign % 3].policy("propose", body.clone()).await;
        if let Ok((ControlMessage::Done, report)) = &answer
            && let Some(version) = report["number"].as_u64()
        {
            break version;
        }
        if Instant::now() >= until {
            return Err(io::Error::other(format!("{id}: {answer:?}")));
        }
        sleep(Duration::from_millis(100)).await;
    };
    let shows = all
        .when(id, |shows| {
            shows
                .iter()
                .all(|show| has_lease(show) && current_version(show) == Some(version))
        })
        .await?;
    Ok(shows.first().and_then(current_version))
}

fn has_lease(show: &Value) -> bool {
    show["leader"].is_string() && show["lease"].is_object()
}

fn current_version(show: &Value) -> Option<u64> {
    show["lease"]["number"].as_u64()
}

/// What came of the gossip store.
struct GossipOutcome {
    stored: usize,
    lost: usize,
}

async fn gossip_store(plan: &Plan) -> io::Result<GossipOutcome> {
    let mut setup = Setup::small(&plan.from);
    setup.learning = Some(json!({ "engine": "compatibility", "folder": true }));
    let mut instance = Instance::start(&setup, 40).await?;
    let load = Load::of_all(&instance.address, 20, 400.0, plan.seed);
    let playing = load.start().await?;
    sleep(OBSERVED_FOR).await;
    playing.stop().await;
    let mut outcome = GossipOutcome { stored: 0, lost: 0 };
    for program in [&plan.to, &plan.from] {
        let before = observed(&instance).await?;
        instance.restart(program).await?;
        let after = observed(&instance).await?;
        outcome.stored += before.len();
        outcome.lost += before.difference(&after).count();
        println!(
            "gossip store: {} observations, {} after a restart",
            before.len(),
            after.len()
        );
    }
    instance.end().await;
    Ok(outcome)
}

/// What is observed of what, by kind and names.
async fn observed(instance: &Instance) -> io::Result<BTreeSet<String>> {
    let until = Instant::now() + PATIENCE;
    loop {
        match instance.figures().await {
            Ok(figures) => return Ok(figures.iter().map(metric).collect()),
            Err(error) if Instant::now() >= until => return Err(error),
            Err(_) => sleep(Duration::from_millis(20)).await, // it is starting
        }
    }
}

fn metric(figure: &Value) -> String {
    ["kind", "server", "operation"]
        .map(|key| figure[key].as_str().unwrap_or("").to_owned())
        .join(" ")
}
