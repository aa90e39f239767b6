//! An installation under test: several hosts, each with the real agent and its real instances between fakes, forwarders for the
//! agents' connections, load for every instance, and the check that all instances apply policies in one order.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

use crate::fakes::{Catalogue, Engine, MembershipService, Records, Server, SharedRecords};
use crate::fleet::{ask_agent, combined_verdict};
use crate::instance::{Setup, process_address_at, processes_with_argument, signal};
use crate::link::{Fault, Link};
use crate::load::{Load, RunningLoad, Verdict};
use crate::script::EXAMPLE_CONFIG;

/// How long to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(30);
const LISTEN_PORT: u16 = 6600;
const ENGINE_PORT: u16 = 9300;
const CONSENSUS_PORT: u16 = 7700;
const AGENT_LINK_PORT: u16 = 7800;
const CATALOGUE_LINK_PORT: u16 = 8700;
/// Duration of a call and concurrency: 2,000 calls per second.
const DEFAULT_CATALOGUE_CAPACITY: (Duration, usize) = (Duration::from_millis(8), 16);

/// Marker operations. Each policy of the experiments admits exactly one of them, so that a served answer proves by which policy it
/// was admitted, independently of what any process reports. The base policy admits none.
pub const MARKER_OPERATIONS: [&str; 3] = ["sign-0", "sign-1", "sign-2"];

/// A policy that admits this marker operation and no other.
pub fn policy_admitting(marker: usize) -> Value {
    let closed = (0..MARKER_OPERATIONS.len()).filter(|other| *other != marker);
    let operations: BTreeMap<&str, Value> = closed
        .map(|other| (MARKER_OPERATIONS[other], json!({ "admit": false })))
        .collect();
    json!({ "note": MARKER_OPERATIONS[marker], "operations": operations })
}

/// One host of the installation.
pub struct Host {
    pub name: String,
    pub folder: PathBuf,
    number: u8,
    agent: Option<Child>,
    pub records: Vec<SharedRecords>,
    /// The rate of the agent's clock, to make clocks drift apart.
    pub clock_rate: Option<f64>,
    /// The fault to inject into the next agent started here, in the format of `MERLINSHELF_FAULT`. Only debug builds apply it.
    pub fault: Option<String>,
}

/// The configuration of an installation.
#[derive(Clone, Debug)]
pub struct InstallationConfig {
    pub hosts: u8,
    pub instances: u16,
    pub lease_ms: u64,
    pub watch_ms: u64,
    /// Whether the agents form a consensus group. Without one there is no installation-wide policy, and changes need new files and
    /// restarts.
    pub with_consensus: bool,
    /// Budgets of the base policy, with one catalogue shared by all hosts. If null, there are no budgets, and each host has its own
    /// catalogue.
    pub budgets: Value,
    /// Whether each host is in its own zone.
    pub zone_per_host: bool,
    /// Whether every operation requires its call, so that none can be served with a skipped call.
    pub calls_required: bool,
    /// How long the shared catalogue takes for a call, and how many calls it processes concurrently.
    pub catalogue_capacity: (Duration, usize),
}

impl Default for InstallationConfig {
    fn default() -> InstallationConfig {
        let (hosts, instances, lease_ms, watch_ms) = (3, 2, 1000, 0);
        InstallationConfig {
            hosts,
            instances,
            lease_ms,
            watch_ms,
            with_consensus: true,
            budgets: Value::Null,
            zone_per_host: false,
            calls_required: false,
            catalogue_capacity: DEFAULT_CATALOGUE_CAPACITY,
        }
    }
}

/// A running installation; dropping it kills all its processes and removes its files.
pub struct Installation {
    pub program: PathBuf,
    pub config: InstallationConfig,
    pub hosts: Vec<Host>,
    /// The agents' connections, from one host to another.
    pub links: BTreeMap<(usize, usize), Link>,
    /// The catalogue shared by all hosts, if there are budgets.
    pub shared_catalogue: Option<Rc<Server>>,
    /// Each host's connections to the shared catalogue.
    pub catalogue_links: Vec<Link>,
}

impl Drop for Installation {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(agent) = host.agent.as_ref().and_then(Child::id) {
                signal(agent, Signal::KILL);
            }
            for pid in host.processes() {
                signal(pid, Signal::KILL);
            }
            if std::env::var_os("MERLINSHELF_LAB_LOG").is_some() {
                eprintln!("--- {}\n{}", host.name, host.log());
            }
            let _ = std::fs::remove_dir_all(&host.folder);
        }
    }
}

impl Host {
    pub fn socket(&self) -> PathBuf {
        self.folder.join("run").join("agent")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("agent.log")).unwrap_or_default()
    }

    /// The control socket of one instance.
    pub fn control_socket(&self, index: u16) -> PathBuf {
        self.folder
            .join("run")
            .join(format!("web.{index}"))
            .join("control")
    }

    /// The folder of the agent's consensus log.
    pub fn consensus_folder(&self) -> PathBuf {
        self.folder.join("run").join("council").join("council")
    }

    pub fn agent_pid(&self) -> Option<u32> {
        self.agent.as_ref().and_then(Child::id)
    }

    /// Starts the agent.
    ///
    /// # Errors
    /// Returns an error if the program can't be started.
    pub fn start_agent(&mut self, program: &Path) -> io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("agent.log"))?;
        let mut command = Command::new(program);
        command.arg("agent").arg(self.folder.join("fleet.json5"));
        if let Some(rate) = self.clock_rate {
            command.env("MERLINSHELF_CLOCK_RATE", rate.to_string());
        }
        if let Some(fault) = &self.fault {
            command.env("MERLINSHELF_FAULT", fault);
        }
        self.agent = Some(
            command
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()?,
        );
        Ok(())
    }

    /// Whether the agent has exited, or was never started.
    pub fn agent_exited(&mut self) -> bool {
        self.agent
            .as_mut()
            .is_none_or(|agent| !matches!(agent.try_wait(), Ok(None)))
    }

    /// Kills the agent with `SIGKILL`.
    pub async fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill().await;
        }
    }

    /// All processes of the instances, found by this host's files on their command line.
    pub fn processes(&self) -> Vec<u32> {
        let run_folder = self.folder.join("run").to_string_lossy().into_owned();
        processes_with_argument(|argument| argument.starts_with(&run_folder))
    }

    /// The processes of one instance.
    pub fn processes_of(&self, index: u16) -> Vec<u32> {
        let config = self
            .folder
            .join("run")
            .join(format!("web.{index}"))
            .join("config.json");
        processes_with_argument(|argument| Path::new(argument) == config)
    }

    /// Sends a request to the agent and returns all its replies, the final one last.
    ///
    /// # Errors
    /// Returns an error if it does not answer.
    pub async fn ask(&self, body: &Value) -> io::Result<Vec<(ControlMessage, Value)>> {
        ask_agent(&self.socket(), body, TIMEOUT).await
    }

    /// Waits until the agent's plan has ended, and returns the plan's report.
    ///
    /// # Errors
    /// Returns an error if it does not answer.
    pub async fn wait_for_plan_end(&self) -> io::Result<Value> {
        loop {
            let plan = self
                .ask(&json!({ "op": "plan" }))
                .await?
                .pop()
                .map(|(_, plan)| plan)
                .unwrap_or_default();
            if plan["over"] == true {
                return Ok(plan);
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends one policy request and returns the final reply.
    ///
    /// # Errors
    /// Returns an error if it does not answer.
    pub async fn policy_request(
        &self,
        what: &str,
        fields: Value,
    ) -> io::Result<(ControlMessage, Value)> {
        let mut body = json!({ "op": "policy", "what": what });
        for (name, value) in fields.as_object().into_iter().flatten() {
            body[name] = value.clone();
        }
        self.ask(&body)
            .await?
            .pop()
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

impl Installation {
    /// Starts fakes, links and agents, and waits until all agents are members of the consensus group and all instances serve under a
    /// lease.
    ///
    /// # Errors
    /// Returns an error if a part of it can't be started.
    pub async fn start(
        program: &Path,
        number: u8,
        options: &InstallationConfig,
    ) -> io::Result<Installation> {
        let behavior = Setup::small(program).fakes;
        let names: Vec<String> = (0..options.hosts)
            .map(|index| format!("h{index}"))
            .collect();
        let mut hosts = Vec::new();
        let mut links = BTreeMap::new();
        let with_budgets = !options.budgets.is_null();
        let shared_catalogue = if with_budgets {
            Some(
                Server::with_concurrency(
                    options.catalogue_capacity.0,
                    options.catalogue_capacity.1,
                )
                .await?,
            )
        } else {
            None
        };
        let mut catalogue_links = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let host_number = number + index as u8;
            let folder = std::env::temp_dir().join(format!(
                "merlinshelf-hosts-{}-{host_number}",
                std::process::id()
            ));
            let _ = std::fs::remove_dir_all(&folder);
            std::fs::create_dir_all(&folder)?;
            let bind = || TcpListener::bind("127.0.0.1:0");
            let (catalogue, members) = (bind().await?, bind().await?);
            let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
            config["backend"] = json!(catalogue.local_addr()?.to_string());
            if let Some(shared) = &shared_catalogue {
                let address = process_address_at(host_number, CATALOGUE_LINK_PORT);
                catalogue_links.push(Link::start(&address, shared.address.clone()).await?);
                config["backend"] = json!(address);
            }
            config["members"] = json!(members.local_addr()?.to_string());
            let info = &mut config["settings"]["FamilyInfo"];
            (info["Cores"], info["HeapKb"], info["CallShare"]) =
                (json!(8), json!(152_880.0), json!(32));
            info["ClassCalls"] = json!([true, false, true, false, false, false]);
            info["ClassSkipWorth"] = json!([0.3, 0.0, 0.5, 0.0, 0.0, 0.0]);
            if options.calls_required {
                info["ClassSkipWorth"] = json!([0.0, 0.0, 0.0, 0.0, 0.0, 0.0]);
            }
            for marker in MARKER_OPERATIONS {
                if let Some(classes) = config["settings"]["Classes"].as_array_mut() {
                    classes.push(json!({
                        "Name": marker, "AimUs": 2_000_000, "DeadlineUs": 4_000_000, "Effect": "read_like",
                        "LateWorth": 0.2, "Worth": 1.0,
                    }));
                }
            }
            std::fs::write(folder.join("config.json"), config.to_string())?;
            let shared_records: SharedRecords = Rc::new(RefCell::new(Records::default()));
            Catalogue::start(catalogue, behavior.clone(), shared_records);
            MembershipService::start(members, false);
            let mut records = Vec::new();
            for instance in 0..options.instances {
                let record: SharedRecords = Rc::new(RefCell::new(Records::default()));
                let listener =
                    TcpListener::bind(process_address_at(host_number, ENGINE_PORT + instance))
                        .await?;
                Engine::start(listener, behavior.clone(), record.clone());
                records.push(record);
            }
            let mut agents: BTreeMap<&String, String> = BTreeMap::new();
            for (other, to) in names.iter().enumerate() {
                let address = process_address_at(number + other as u8, CONSENSUS_PORT);
                if other == index {
                    agents.insert(to, address);
                } else {
                    let at = process_address_at(host_number, AGENT_LINK_PORT + other as u16);
                    links.insert((index, other), Link::start(&at, address).await?);
                    agents.insert(to, at);
                }
            }
            let closed: BTreeMap<&str, Value> = MARKER_OPERATIONS
                .iter()
                .map(|marker| (*marker, json!({ "admit": false })))
                .collect();
            let mut fleet_file = json!({
                "folder": "run",
                "host": { "memory_mb": 1 << 20, "cores": 1000, "descriptors": 1 << 20 },
                "change": { "out_at_once": 1, "floor": 0.5, "warm_ms": 200, "looked_ms": 300, "worse": 0.5 },
                "restarts": { "pause_ms": 200, "at_once": 8, "hangs_ms": 60000 },
                "council": {
                    "name": name, "listen": process_address_at(host_number, CONSENSUS_PORT), "agents": agents, "lease_ms": options.lease_ms,
                    "base": { "note": "lets no sign in", "operations": closed }, "watch_ms": options.watch_ms,
                },
                "groups": { "web": {
                    "count": options.instances, "program": program, "config": "config.json",
                    "listen": process_address_at(host_number, LISTEN_PORT), "engine": process_address_at(host_number, ENGINE_PORT), "descriptors": 2048,
                } },
            });
            if with_budgets {
                fleet_file["council"]["base"]["budgets"] = options.budgets.clone();
            }
            if options.zone_per_host {
                fleet_file["council"]["zone"] = json!(format!("z{index}"));
            }
            if !options.with_consensus {
                fleet_file
                    .as_object_mut()
                    .map(|fields| fields.remove("council"));
                let path = folder.join("config.json");
                std::fs::write(
                    &path,
                    config_admitting(&std::fs::read_to_string(&path)?, 0)?,
                )?;
            }
            std::fs::write(folder.join("fleet.json5"), fleet_file.to_string())?;
            hosts.push(Host {
                name: name.clone(),
                folder,
                number: host_number,
                agent: None,
                records,
                clock_rate: None,
                fault: None,
            });
        }
        let mut installation = Installation {
            program: program.into(),
            config: options.clone(),
            hosts,
            links,
            shared_catalogue,
            catalogue_links,
        };
        for host in &mut installation.hosts {
            host.start_agent(program)?;
        }
        if !options.with_consensus {
            let all_serving = |replies: &[(ControlMessage, Value)]| {
                replies
                    .last()
                    .and_then(|(_, sum)| sum["states"]["serving"].as_u64())
                    == Some(options.instances.into())
            };
            for host in &installation.hosts {
                while !host
                    .ask(&json!({ "op": "status" }))
                    .await
                    .is_ok_and(|replies| all_serving(&replies))
                {
                    sleep(Duration::from_millis(50)).await;
                }
            }
            return Ok(installation);
        }
        installation
            .wait_until(
                "all agents are members and all instances serve",
                |reports| {
                    reports.iter().all(|report| {
                        let instances = report["instances"].as_array().map_or(0, Vec::len);
                        report["leader"].is_string()
                            && report["lease"].is_object()
                            && instances == usize::from(options.instances)
                    })
                },
            )
            .await?;
        Ok(installation)
    }

    /// The policy status reported by each agent; null for an agent that does not answer.
    pub async fn policy_reports(&self) -> Vec<Value> {
        let mut reports = Vec::new();
        for host in &self.hosts {
            let reply = tokio::time::timeout(
                Duration::from_secs(2),
                host.policy_request("show", json!({})),
            )
            .await;
            reports.push(
                reply
                    .ok()
                    .and_then(Result::ok)
                    .map(|(_, report)| report)
                    .unwrap_or_default(),
            );
        }
        reports
    }

    /// Waits until the agents' policy status fulfils a condition, which `what` describes in the error.
    ///
    /// # Errors
    /// Returns an error if that does not happen in time.
    pub async fn wait_until(
        &self,
        what: &str,
        is: impl Fn(&[Value]) -> bool,
    ) -> io::Result<Vec<Value>> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let policy_reports = self.policy_reports().await;
            if is(&policy_reports) {
                return Ok(policy_reports);
            }
            if Instant::now() >= deadline {
                let logs: Vec<String> = self.hosts.iter().map(Host::log).collect();
                let shows: Vec<String> = policy_reports.iter().map(Value::to_string).collect();
                return Err(io::Error::other(format!(
                    "timed out waiting until {what}\n{}\n{}",
                    shows.join("\n"),
                    logs.join("\n")
                )));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// The leader's host, according to the majority of the agents that answer.
    pub async fn leader(&self) -> Option<usize> {
        let shows = self.policy_reports().await;
        let named = shows.iter().filter_map(|show| show["leader"].as_str());
        let mut votes: BTreeMap<&str, usize> = BTreeMap::new();
        named.for_each(|name| *votes.entry(name).or_default() += 1);
        let (name, _) = votes.into_iter().max_by_key(|(_, count)| *count)?;
        self.hosts.iter().position(|host| host.name == name)
    }

    /// Sets a fault on all links between one host and the others: to it, from it, or both.
    pub fn set_link_fault(&self, host: usize, to: bool, from: bool, fault: Fault) {
        for ((one, other), link) in &self.links {
            if from && *one == host || to && *other == host {
                link.set(fault);
            }
        }
    }

    /// Removes the faults from all links between agents.
    pub fn clear_link_faults(&self) {
        self.links.values().for_each(|link| link.set(Fault::None));
    }

    pub fn address(&self, host: usize, index: u16) -> String {
        process_address_at(self.hosts[host].number, LISTEN_PORT + index)
    }

    /// Starts load on every instance of every host, with the marker operations and others.
    ///
    /// # Errors
    /// Returns an error if an instance can't be reached.
    pub async fn start_load(
        &self,
        rate: f64,
        seed: u64,
    ) -> io::Result<Vec<(usize, u16, Load, RunningLoad)>> {
        let mut all = Vec::new();
        for host in 0..self.hosts.len() {
            for index in 0..self.config.instances {
                let seed = seed * 1000 + host as u64 * 50 + u64::from(index);
                let mut load =
                    Load::with_example_operations(&self.address(host, index), 4, rate, seed);
                load.operations.extend(MARKER_OPERATIONS.map(str::to_owned));
                // An instance that is still starting does not listen yet.
                let deadline = Instant::now() + Duration::from_secs(5);
                let running_load = loop {
                    match load.start().await {
                        Err(_) if Instant::now() < deadline => {
                            sleep(Duration::from_millis(20)).await
                        }
                        started => break started?,
                    }
                };
                all.push((host, index, load, running_load));
            }
        }
        Ok(all)
    }
}

/// Changes a configuration so that it admits this marker operation and no other, for an installation without a consensus group.
///
/// # Errors
/// Returns an error if `config` is not valid JSON.
pub fn config_admitting(config: &str, marker: usize) -> io::Result<String> {
    let mut config: Value = serde_json::from_str(config)?;
    for class in config["settings"]["Classes"]
        .as_array_mut()
        .into_iter()
        .flatten()
    {
        if let Some(index) = MARKER_OPERATIONS
            .iter()
            .position(|name| class["Name"] == *name)
        {
            class["AimUs"] = json!(if index == marker { 2_000_000 } else { 0 });
        }
    }
    Ok(config.to_string())
}

/// A policy change as its proposer observed it: when it was proposed, which marker operation it admits, and whether it was
/// committed.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    pub proposed_at: Instant,
    pub marker: usize,
    pub committed: bool,
}

/// A served marker operation: when it was sent, when it was answered, and which one it is.
pub type Evidence = (Instant, Instant, usize);

/// All evidence in a load, by the time of the answer.
pub fn collect_evidence(loads: &[(usize, u16, Load, RunningLoad)]) -> Vec<Evidence> {
    let mut all = Vec::new();
    for (.., running_load) in loads {
        for sent in running_load.record.borrow().sent.values() {
            let marker = MARKER_OPERATIONS
                .iter()
                .position(|marker| *marker == sent.operation);
            if let (Some(marker), Some((at, 200))) = (marker, sent.answers.first()) {
                all.push((sent.sent_at, *at, marker));
            }
        }
    }
    all.sort_by_key(|(_, at, _)| *at);
    all
}

/// Counts violations: invocations admitted by an old policy although a later one had already been observed, and invocations
/// admitted by a policy that was refused or not yet proposed. Consecutive changes must admit different marker operations, even if
/// one of them is refused.
pub fn count_violations(changes: &[ProposedChange], evidence: &[Evidence]) -> (u64, u64) {
    let committed: Vec<&ProposedChange> =
        changes.iter().filter(|change| change.committed).collect();
    // The first evidence of a change: from its proposal until the proposal of the third change after it, which may admit the same
    // marker operation again.
    let first = |index: usize| {
        let (from, marker) = (committed[index].proposed_at, committed[index].marker);
        let until = committed.get(index + 3).map(|later| later.proposed_at);
        evidence.iter().find(|(sent, at, of)| {
            *of == marker && *at >= from && until.is_none_or(|until| *sent < until)
        })
    };
    let firsts: Vec<Option<Instant>> = (0..committed.len())
        .map(|index| first(index).map(|(_, at, _)| *at))
        .collect();
    let (mut outdated, mut invalid) = (0, 0);
    for (sent, at, marker) in evidence {
        // The change that admitted this: the last one with its marker operation that was proposed before the answer.
        let admitted_by = (0..committed.len()).rev().find(|index| {
            committed[*index].marker == *marker && committed[*index].proposed_at <= *at
        });
        match admitted_by {
            None => invalid += 1,
            Some(index) => {
                let superseded = firsts[index + 1..]
                    .iter()
                    .flatten()
                    .any(|observed| sent > observed);
                outdated += u64::from(superseded);
            }
        }
    }
    (outdated, invalid)
}

/// Stops the load, and compares what was sent with the answers and the runs.
pub async fn check_load(
    installation: &Installation,
    loads: Vec<(usize, u16, Load, RunningLoad)>,
) -> Verdict {
    loads
        .iter()
        .for_each(|(.., running_load)| running_load.record.borrow_mut().stop_sending());
    let mut verdicts = Vec::new();
    for (host, index, load, running_load) in loads {
        let record = running_load.stop().await;
        let records = &installation.hosts[host].records[usize::from(index)];
        verdicts.push(record.borrow().check(&records.borrow(), load.patience));
    }
    combined_verdict(&verdicts)
}
