//! A fleet under trial: the real agent and the real instances, each between an engine of its own and shared other stand-ins,
//! and edge nodes that send to all.

use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_agent::control_client::ControlClient;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

use crate::fakes::{Catalogue, Engine, MembershipService, Records, SharedRecords};
use crate::instance::{Setup, process_address_at, processes_with_argument, signal};
use crate::load::{Load, RunningLoad, Verdict};
use crate::script::EXAMPLE_CONFIG;

const PATIENCE: Duration = Duration::from_secs(40);
const LISTEN: u16 = 6600;
const ENGINE: u16 = 9300;

pub struct FleetUnderTest {
    pub folder: PathBuf,
    pub program: PathBuf,
    agent: Option<Child>,
    number: u8,
    pub count: u16,
    pub records: Vec<SharedRecords>,
}

/// Asks an agent; all that it says, the last word last.
///
/// # Errors
/// It does not answer.
pub async fn ask_agent(
    socket: &Path,
    body: &Value,
    patience: Duration,
) -> io::Result<Vec<(ControlMessage, Value)>> {
    let mut talk = ControlClient::request(socket, ControlRequest::Fleet, body, patience).await?;
    let mut all = Vec::new();
    loop {
        let said = talk.next_reply().await?;
        let last = said.0 != ControlMessage::More;
        all.push(said);
        if last {
            return Ok(all);
        }
    }
}

impl Drop for FleetUnderTest {
    fn drop(&mut self) {
        if let Some(agent) = self.agent.as_ref().and_then(Child::id) {
            signal(agent, Signal::KILL);
        }
        for pid in self.processes() {
            signal(pid, Signal::KILL);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl FleetUnderTest {
    /// Stand-ins, files and the agent; `change` is what the fleet's file says of changes.
    ///
    /// # Errors
    /// What can't be started.
    pub async fn start(
        program: &Path,
        number: u8,
        count: u16,
        change: &Value,
    ) -> io::Result<FleetUnderTest> {
        let folder =
            std::env::temp_dir().join(format!("merlinshelf-fleet-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let manner = Setup::small(program).fakes;
        let bind = || TcpListener::bind("127.0.0.1:0");
        let (catalogue, members) = (bind().await?, bind().await?);
        let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
        config["backend"] = json!(catalogue.local_addr()?.to_string());
        config["members"] = json!(members.local_addr()?.to_string());
        config["settings"]["FamilyInfo"]["Cores"] = json!(8);
        config["settings"]["FamilyInfo"]["HeapKb"] = json!(152_880.0);
        config["settings"]["FamilyInfo"]["CallShare"] = json!(32);
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let every: SharedRecords = Rc::new(RefCell::new(Records::default()));
        Catalogue::start(catalogue, manner.clone(), every.clone());
        MembershipService::start(members, false);
        let mut records = Vec::new();
        for place in 0..count {
            let own: SharedRecords = Rc::new(RefCell::new(Records::default()));
            let listener = TcpListener::bind(process_address_at(number, ENGINE + place)).await?;
            Engine::start(listener, manner.clone(), own.clone());
            records.push(own);
        }
        let wanted = json!({
            "folder": "run",
            "host": { "memory_mb": 1 << 20, "cores": 1000, "descriptors": 1 << 20 },
            "change": change,
            "restarts": { "pause_ms": 200, "at_once": 8, "hangs_ms": 2500 },
            "groups": { "web": {
                "count": count, "program": program, "config": "config.json",
                "listen": process_address_at(number, LISTEN), "engine": process_address_at(number, ENGINE),
                "learning": true, "descriptors": 2048,
            } },
        });
        std::fs::write(folder.join("fleet.json5"), wanted.to_string())?;
        let mut rig = FleetUnderTest {
            folder,
            program: program.into(),
            agent: None,
            number,
            count,
            records,
        };
        rig.start_agent()?;
        Ok(rig)
    }

    /// Starts an agent.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start_agent(&mut self) -> io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("agent.log"))?;
        let mut command = Command::new(&self.program);
        command.arg("agent").arg(self.folder.join("fleet.json5"));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.agent = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the agent, without a word.
    pub async fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill().await;
        }
    }

    pub fn agent_pid(&self) -> Option<u32> {
        self.agent.as_ref().and_then(Child::id)
    }

    /// Tells the agent to end, as operators do, and waits for it.
    ///
    /// # Errors
    /// It does not end.
    pub async fn terminate_agent(&mut self) -> io::Result<Option<i32>> {
        let Some(mut agent) = self.agent.take() else {
            return Ok(None);
        };
        if let Some(id) = agent.id() {
            signal(id, Signal::TERM);
        }
        Ok(tokio::time::timeout(PATIENCE, agent.wait()).await??.code())
    }

    pub fn socket(&self) -> PathBuf {
        self.folder.join("run").join("agent")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("agent.log")).unwrap_or_default()
    }

    /// Asks the agent; all that it says, the last word last.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn ask(&self, body: &Value) -> io::Result<Vec<(ControlMessage, Value)>> {
        ask_agent(&self.socket(), body, PATIENCE * 4).await
    }

    /// The instances, and the sum.
    ///
    /// # Errors
    /// The agent does not answer.
    pub async fn status(&self) -> io::Result<(Vec<Value>, Value)> {
        let said = self.ask(&json!({ "op": "status" })).await?;
        let (sum, pages) = said.split_last().ok_or(io::ErrorKind::UnexpectedEof)?;
        let of = |page: &(ControlMessage, Value)| {
            page.1["instances"].as_array().cloned().unwrap_or_default()
        };
        Ok((pages.iter().flat_map(of).collect(), sum.1.clone()))
    }

    /// Waits until so many are in a state, the agent's answers included.
    ///
    /// # Errors
    /// They never are.
    pub async fn wait_for_state(&self, state: &str, count: usize) -> io::Result<()> {
        let until = Instant::now() + PATIENCE;
        loop {
            let found = self.status().await;
            if let Ok((all, _)) = &found
                && all.iter().filter(|one| one["state"] == state).count() == count
            {
                return Ok(());
            }
            if Instant::now() >= until {
                let log = self.log();
                return Err(io::Error::other(format!(
                    "never {count} {state}: {found:?}\n{log}"
                )));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// What happened, as texts.
    ///
    /// # Errors
    /// The agent does not answer.
    pub async fn history(&self) -> io::Result<String> {
        let said = self.ask(&json!({ "op": "history", "lines": 1000 })).await?;
        let events = said
            .iter()
            .flat_map(|(_, page)| page["events"].as_array().cloned().unwrap_or_default());
        let line = |event: Value| {
            format!(
                "{} {}",
                event["instance"].as_str().unwrap_or("-"),
                event["text"].as_str().unwrap_or("")
            )
        };
        Ok(events.map(line).collect::<Vec<_>>().join("\n"))
    }

    /// Processes of the instances, whoever was started with this folder's files.
    pub fn processes(&self) -> Vec<u32> {
        let own = self.folder.join("run").to_string_lossy().into_owned();
        processes_with_argument(|word| word.starts_with(&own))
    }

    pub fn address(&self, place: u16) -> String {
        process_address_at(self.number, LISTEN + place)
    }

    /// Sends to every instance, each with ids of its own.
    ///
    /// # Errors
    /// One can't be reached.
    pub async fn start_load(&self, rate: f64, seed: u64) -> io::Result<Vec<(Load, RunningLoad)>> {
        let mut all = Vec::new();
        for place in 0..self.count {
            let load = Load::with_example_operations(
                &self.address(place),
                6,
                rate,
                seed * 1000 + u64::from(place),
            );
            let playing = load.start().await?;
            all.push((load, playing));
        }
        Ok(all)
    }

    /// Stops sending, and holds everything against what came back and what ran, by instance.
    pub async fn stop_and_check(&self, playing: Vec<(Load, RunningLoad)>) -> Vec<Verdict> {
        // All stop at once, then each is waited for.
        playing
            .iter()
            .for_each(|(_, playing)| playing.seen.borrow_mut().stop());
        let mut verdicts = Vec::new();
        for ((load, playing), records) in playing.into_iter().zip(&self.records) {
            let seen = playing.stop().await;
            verdicts.push(seen.borrow().check(&records.borrow(), load.patience));
        }
        verdicts
    }
}

/// All verdicts as one.
pub fn combined_verdict(verdicts: &[Verdict]) -> Verdict {
    let mut sum = Verdict::default();
    for one in verdicts {
        sum.sent += one.sent;
        sum.served += one.served;
        sum.refused += one.refused;
        sum.failed += one.failed;
        sum.lost += one.lost;
        sum.held_by_killed += one.held_by_killed;
        sum.doubled += one.doubled;
        sum.spoilt += one.spoilt;
        sum.run_twice += one.run_twice;
        sum.wrong_feeds += one.wrong_feeds;
        sum.broken += one.broken;
    }
    sum
}
