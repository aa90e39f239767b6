//! An installation under trial: several hosts, each with the real agent and its real instances between stand-ins, the agents' links
//! through forwarders, edge nodes that send to all, and the checker of one order of policies.

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

const PATIENCE: Duration = Duration::from_secs(30);
const LISTEN: u16 = 6600;
const ENGINE: u16 = 9300;
const COUNCIL: u16 = 7700;
const LINK: u16 = 7800;
const WAY: u16 = 8700;
/// 2,000 calls a second.
const BELOW: (Duration, usize) = (Duration::from_millis(8), 16);

/// Operations of which each policy of the trial lets one in: an answer to it shows by which policy it was admitted, whatever
/// anybody says. The base policy lets in none.
pub const MARKER_OPERATIONS: [&str; 3] = ["sign-0", "sign-1", "sign-2"];

/// A policy that lets this sign in and no other.
pub fn policy_admitting(sign: usize) -> Value {
    let closed = (0..MARKER_OPERATIONS.len()).filter(|other| *other != sign);
    let operations: BTreeMap<&str, Value> = closed
        .map(|other| (MARKER_OPERATIONS[other], json!({ "admit": false })))
        .collect();
    json!({ "note": MARKER_OPERATIONS[sign], "operations": operations })
}

pub struct Host {
    pub name: String,
    pub folder: PathBuf,
    number: u8,
    agent: Option<Child>,
    pub records: Vec<SharedRecords>,
    /// Set for clocks that run apart.
    pub clock_rate: Option<f64>,
    /// Where the next agent that is started here fails, as `MERLINSHELF_FAULT` has it; debug builds alone heed it.
    pub fault: Option<String>,
}

/// What an installation is made of.
#[derive(Clone, Debug)]
pub struct InstallationConfig {
    pub hosts: u8,
    pub instances: u16,
    pub lease_ms: u64,
    pub watch_ms: u64,
    /// Without one there is no policy for all: files and restarts, as before there was.
    pub with_consensus: bool,
    /// Budgets of the base policy, with one catalogue for all hosts; null: none, and a catalogue for each host.
    pub budgets: Value,
    /// Each host stands in a zone of its own.
    pub zone_per_host: bool,
    /// No operation can do without its call.
    pub calls_required: bool,
    /// How long the catalogue of all takes for a call, and on how many it works at one time.
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
            catalogue_capacity: BELOW,
        }
    }
}

pub struct Installation {
    pub program: PathBuf,
    pub config: InstallationConfig,
    pub hosts: Vec<Host>,
    /// From one host to another.
    pub links: BTreeMap<(usize, usize), Link>,
    /// The catalogue of all, and each host's way to it, where there are budgets.
    pub shared_catalogue: Option<Rc<Server>>,
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
    pub fn control_socket(&self, place: u16) -> PathBuf {
        self.folder
            .join("run")
            .join(format!("web.{place}"))
            .join("control")
    }

    /// Where the agent keeps its part of the log.
    pub fn consensus_folder(&self) -> PathBuf {
        self.folder.join("run").join("council").join("council")
    }

    pub fn agent_pid(&self) -> Option<u32> {
        self.agent.as_ref().and_then(Child::id)
    }

    /// Starts an agent.
    ///
    /// # Errors
    /// The program can't be started.
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

    /// Whether the agent that was started here is no more.
    pub fn agent_exited(&mut self) -> bool {
        self.agent
            .as_mut()
            .is_none_or(|agent| !matches!(agent.try_wait(), Ok(None)))
    }

    /// Kills the agent, without a word.
    pub async fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill().await;
        }
    }

    /// Processes of the instances: whoever was started with this host's files.
    pub fn processes(&self) -> Vec<u32> {
        let own = self.folder.join("run").to_string_lossy().into_owned();
        processes_with_argument(|word| word.starts_with(&own))
    }

    /// Processes of one instance.
    pub fn processes_of(&self, place: u16) -> Vec<u32> {
        let own = self
            .folder
            .join("run")
            .join(format!("web.{place}"))
            .join("config.json");
        processes_with_argument(|word| Path::new(word) == own)
    }

    /// Asks the agent; all that it says, the last word last.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn ask(&self, body: &Value) -> io::Result<Vec<(ControlMessage, Value)>> {
        ask_agent(&self.socket(), body, PATIENCE).await
    }

    /// Waits for the end of its plan, and says how that stands.
    ///
    /// # Errors
    /// It does not answer.
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

    /// One question about policies, and its last word.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn policy_request(
        &self,
        what: &str,
        more: Value,
    ) -> io::Result<(ControlMessage, Value)> {
        let mut body = json!({ "op": "policy", "what": what });
        for (name, value) in more.as_object().into_iter().flatten() {
            body[name] = value.clone();
        }
        self.ask(&body)
            .await?
            .pop()
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

impl Installation {
    /// Stand-ins, files, links and agents, once all of them sit and all instances serve by a lease.
    ///
    /// # Errors
    /// What can't be started.
    pub async fn start(
        program: &Path,
        number: u8,
        made: &InstallationConfig,
    ) -> io::Result<Installation> {
        let manner = Setup::small(program).fakes;
        let names: Vec<String> = (0..made.hosts).map(|place| format!("h{place}")).collect();
        let mut hosts = Vec::new();
        let mut links = BTreeMap::new();
        let with_budgets = !made.budgets.is_null();
        let door = if with_budgets {
            Some(
                Server::with_concurrency(made.catalogue_capacity.0, made.catalogue_capacity.1)
                    .await?,
            )
        } else {
            None
        };
        let mut ways = Vec::new();
        for (place, name) in names.iter().enumerate() {
            let own = number + place as u8;
            let folder = std::env::temp_dir()
                .join(format!("merlinshelf-hosts-{}-{own}", std::process::id()));
            let _ = std::fs::remove_dir_all(&folder);
            std::fs::create_dir_all(&folder)?;
            let bind = || TcpListener::bind("127.0.0.1:0");
            let (catalogue, members) = (bind().await?, bind().await?);
            let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
            config["backend"] = json!(catalogue.local_addr()?.to_string());
            if let Some(door) = &door {
                let at = process_address_at(own, WAY);
                ways.push(Link::start(&at, door.address.clone()).await?);
                config["backend"] = json!(at);
            }
            config["members"] = json!(members.local_addr()?.to_string());
            let info = &mut config["settings"]["FamilyInfo"];
            (info["Cores"], info["HeapKb"], info["CallShare"]) =
                (json!(8), json!(152_880.0), json!(32));
            info["ClassCalls"] = json!([true, false, true, false, false, false]);
            info["ClassSkipWorth"] = json!([0.3, 0.0, 0.5, 0.0, 0.0, 0.0]);
            if made.calls_required {
                info["ClassSkipWorth"] = json!([0.0, 0.0, 0.0, 0.0, 0.0, 0.0]);
            }
            for sign in MARKER_OPERATIONS {
                if let Some(classes) = config["settings"]["Classes"].as_array_mut() {
                    classes.push(json!({
                        "Name": sign, "AimUs": 2_000_000, "DeadlineUs": 4_000_000, "Effect": "read_like",
                        "LateWorth": 0.2, "Worth": 1.0,
                    }));
                }
            }
            std::fs::write(folder.join("config.json"), config.to_string())?;
            let every: SharedRecords = Rc::new(RefCell::new(Records::default()));
            Catalogue::start(catalogue, manner.clone(), every);
            MembershipService::start(members, false);
            let mut records = Vec::new();
            for instance in 0..made.instances {
                let record: SharedRecords = Rc::new(RefCell::new(Records::default()));
                let listener =
                    TcpListener::bind(process_address_at(own, ENGINE + instance)).await?;
                Engine::start(listener, manner.clone(), record.clone());
                records.push(record);
            }
            let mut agents: BTreeMap<&String, String> = BTreeMap::new();
            for (other, to) in names.iter().enumerate() {
                let address = process_address_at(number + other as u8, COUNCIL);
                if other == place {
                    agents.insert(to, address);
                } else {
                    let at = process_address_at(own, LINK + other as u16);
                    links.insert((place, other), Link::start(&at, address).await?);
                    agents.insert(to, at);
                }
            }
            let closed: BTreeMap<&str, Value> = MARKER_OPERATIONS
                .iter()
                .map(|sign| (*sign, json!({ "admit": false })))
                .collect();
            let mut wanted = json!({
                "folder": "run",
                "host": { "memory_mb": 1 << 20, "cores": 1000, "descriptors": 1 << 20 },
                "change": { "out_at_once": 1, "floor": 0.5, "warm_ms": 200, "looked_ms": 300, "worse": 0.5 },
                "restarts": { "pause_ms": 200, "at_once": 8, "hangs_ms": 60000 },
                "council": {
                    "name": name, "listen": process_address_at(own, COUNCIL), "agents": agents, "lease_ms": made.lease_ms,
                    "base": { "note": "lets no sign in", "operations": closed }, "watch_ms": made.watch_ms,
                },
                "groups": { "web": {
                    "count": made.instances, "program": program, "config": "config.json",
                    "listen": process_address_at(own, LISTEN), "engine": process_address_at(own, ENGINE), "descriptors": 2048,
                } },
            });
            if with_budgets {
                wanted["council"]["base"]["budgets"] = made.budgets.clone();
            }
            if made.zone_per_host {
                wanted["council"]["zone"] = json!(format!("z{place}"));
            }
            if !made.with_consensus {
                wanted
                    .as_object_mut()
                    .map(|wanted| wanted.remove("council"));
                let path = folder.join("config.json");
                std::fs::write(
                    &path,
                    config_admitting(&std::fs::read_to_string(&path)?, 0)?,
                )?;
            }
            std::fs::write(folder.join("fleet.json5"), wanted.to_string())?;
            hosts.push(Host {
                name: name.clone(),
                folder,
                number: own,
                agent: None,
                records,
                clock_rate: None,
                fault: None,
            });
        }
        let mut all = Installation {
            program: program.into(),
            config: made.clone(),
            hosts,
            links,
            shared_catalogue: door,
            catalogue_links: ways,
        };
        for host in &mut all.hosts {
            host.start_agent(program)?;
        }
        if !made.with_consensus {
            let serving = |said: &[(ControlMessage, Value)]| {
                said.last()
                    .and_then(|(_, sum)| sum["states"]["serving"].as_u64())
                    == Some(made.instances.into())
            };
            for host in &all.hosts {
                while !host
                    .ask(&json!({ "op": "status" }))
                    .await
                    .is_ok_and(|said| serving(&said))
                {
                    sleep(Duration::from_millis(50)).await;
                }
            }
            return Ok(all);
        }
        all.wait_until("all sit and serve", |shows| {
            shows.iter().all(|show| {
                let instances = show["instances"].as_array().map_or(0, Vec::len);
                show["leader"].is_string()
                    && show["lease"].is_object()
                    && instances == usize::from(made.instances)
            })
        })
        .await?;
        Ok(all)
    }

    /// What each agent shows of policies; an empty one of whoever does not answer.
    pub async fn policy_reports(&self) -> Vec<Value> {
        let mut shows = Vec::new();
        for host in &self.hosts {
            let said = tokio::time::timeout(
                Duration::from_secs(2),
                host.policy_request("show", json!({})),
            )
            .await;
            shows.push(
                said.ok()
                    .and_then(Result::ok)
                    .map(|(_, show)| show)
                    .unwrap_or_default(),
            );
        }
        shows
    }

    /// Waits until what the agents show is as it should be.
    ///
    /// # Errors
    /// It never is.
    pub async fn wait_until(
        &self,
        what: &str,
        is: impl Fn(&[Value]) -> bool,
    ) -> io::Result<Vec<Value>> {
        let until = Instant::now() + PATIENCE;
        loop {
            let policy_reports = self.policy_reports().await;
            if is(&policy_reports) {
                return Ok(policy_reports);
            }
            if Instant::now() >= until {
                let logs: Vec<String> = self.hosts.iter().map(Host::log).collect();
                let shows: Vec<String> = policy_reports.iter().map(Value::to_string).collect();
                return Err(io::Error::other(format!(
                    "never: {what}\n{}\n{}",
                    shows.join("\n"),
                    logs.join("\n")
                )));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// The host that leads, as most see it.
    pub async fn leader(&self) -> Option<usize> {
        let shows = self.policy_reports().await;
        let named = shows.iter().filter_map(|show| show["leader"].as_str());
        let mut votes: BTreeMap<&str, usize> = BTreeMap::new();
        named.for_each(|name| *votes.entry(name).or_default() += 1);
        let (name, _) = votes.into_iter().max_by_key(|(_, count)| *count)?;
        self.hosts.iter().position(|host| host.name == name)
    }

    /// A fault on all links between one host and the others, to it, from it, or both.
    pub fn set_link_fault(&self, host: usize, to: bool, from: bool, fault: Fault) {
        for ((one, other), link) in &self.links {
            if from && *one == host || to && *other == host {
                link.set(fault);
            }
        }
    }

    pub fn clear_link_faults(&self) {
        self.links.values().for_each(|link| link.set(Fault::None));
    }

    pub fn address(&self, host: usize, place: u16) -> String {
        process_address_at(self.hosts[host].number, LISTEN + place)
    }

    /// Sends to every instance of every host, signs and other work.
    ///
    /// # Errors
    /// One can't be reached.
    pub async fn start_load(
        &self,
        rate: f64,
        seed: u64,
    ) -> io::Result<Vec<(usize, u16, Load, RunningLoad)>> {
        let mut all = Vec::new();
        for host in 0..self.hosts.len() {
            for place in 0..self.config.instances {
                let seed = seed * 1000 + host as u64 * 50 + u64::from(place);
                let mut load =
                    Load::with_example_operations(&self.address(host, place), 4, rate, seed);
                load.operations.extend(MARKER_OPERATIONS.map(str::to_owned));
                // One that is being started does not listen yet.
                let until = Instant::now() + Duration::from_secs(5);
                let playing = loop {
                    match load.start().await {
                        Err(_) if Instant::now() < until => sleep(Duration::from_millis(20)).await,
                        started => break started?,
                    }
                };
                all.push((host, place, load, playing));
            }
        }
        Ok(all)
    }
}

/// A configuration that lets this sign in and no other, for an installation without a council.
///
/// # Errors
/// It is no configuration.
pub fn config_admitting(config: &str, sign: usize) -> io::Result<String> {
    let mut config: Value = serde_json::from_str(config)?;
    for class in config["settings"]["Classes"]
        .as_array_mut()
        .into_iter()
        .flatten()
    {
        if let Some(of) = MARKER_OPERATIONS
            .iter()
            .position(|name| class["Name"] == *name)
        {
            class["AimUs"] = json!(if of == sign { 2_000_000 } else { 0 });
        }
    }
    Ok(config.to_string())
}

/// A change as whoever proposed it saw it: when, which sign it lets in, and whether it holds in the end.
#[derive(Clone, Debug)]
pub struct Changed {
    pub proposed_at: Instant,
    pub marker: usize,
    pub committed: bool,
}

/// An answer that shows by which policy it was admitted: sent, answered, sign.
pub type Evidence = (Instant, Instant, usize);

/// All evidence of a play.
pub fn collect_evidence(playing: &[(usize, u16, Load, RunningLoad)]) -> Vec<Evidence> {
    let mut all = Vec::new();
    for (.., playing) in playing {
        for sent in playing.record.borrow().sent.values() {
            let sign = MARKER_OPERATIONS
                .iter()
                .position(|sign| *sign == sent.operation);
            if let (Some(sign), Some((at, 200))) = (sign, sent.answers.first()) {
                all.push((sent.sent_at, *at, sign));
            }
        }
    }
    all.sort_by_key(|(_, at, _)| *at);
    all
}

/// What breaks the promises: served after a later policy had shown itself, or by a policy that was refused or not yet
/// proposed. Neighbouring changes let in different signs, also one that is refused and the next one.
pub fn count_violations(changes: &[Changed], evidence: &[Evidence]) -> (u64, u64) {
    let held: Vec<&Changed> = changes.iter().filter(|change| change.committed).collect();
    // From its proposal until the first answer that shows the next one.
    let first = |place: usize| {
        let (from, sign) = (held[place].proposed_at, held[place].marker);
        let until = held.get(place + 3).map(|later| later.proposed_at);
        evidence.iter().find(|(sent, at, of)| {
            *of == sign && *at >= from && until.is_none_or(|until| *sent < until)
        })
    };
    let firsts: Vec<Option<Instant>> = (0..held.len())
        .map(|place| first(place).map(|(_, at, _)| *at))
        .collect();
    let (mut order, mut halves) = (0, 0);
    for (sent, at, sign) in evidence {
        // The change by which this may have been admitted: the last one with its sign that was proposed by then.
        let by = (0..held.len())
            .rev()
            .find(|place| held[*place].marker == *sign && held[*place].proposed_at <= *at);
        match by {
            None => halves += 1,
            Some(place) => {
                let over = firsts[place + 1..]
                    .iter()
                    .flatten()
                    .any(|shown| sent > shown);
                order += u64::from(over);
            }
        }
    }
    (order, halves)
}

/// Stops sending, and holds everything against what came back and what ran.
pub async fn check_load(
    all: &Installation,
    playing: Vec<(usize, u16, Load, RunningLoad)>,
) -> Verdict {
    playing
        .iter()
        .for_each(|(.., playing)| playing.record.borrow_mut().stop_sending());
    let mut verdicts = Vec::new();
    for (host, place, load, playing) in playing {
        let seen = playing.stop().await;
        let records = &all.hosts[host].records[usize::from(place)];
        verdicts.push(seen.borrow().check(&records.borrow(), load.patience));
    }
    combined_verdict(&verdicts)
}
