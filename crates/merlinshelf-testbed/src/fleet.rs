//! A fleet under test on one host: the real agent and its real instances, each with its own fake engine and all with shared other
//! fakes, and load for every instance.

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

/// How long to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(40);
const LISTEN_PORT: u16 = 6600;
const ENGINE_PORT: u16 = 9300;

pub struct FleetUnderTest {
    pub folder: PathBuf,
    pub program: PathBuf,
    agent: Option<Child>,
    number: u8,
    pub count: u16,
    pub records: Vec<SharedRecords>,
}

/// Sends a request to an agent and returns all its replies, the final one last.
///
/// # Errors
/// Returns an error if it does not answer.
pub async fn ask_agent(
    socket: &Path,
    body: &Value,
    patience: Duration,
) -> io::Result<Vec<(ControlMessage, Value)>> {
    let mut client = ControlClient::request(socket, ControlRequest::Fleet, body, patience).await?;
    let mut all = Vec::new();
    loop {
        let reply = client.next_reply().await?;
        let last = reply.0 != ControlMessage::More;
        all.push(reply);
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
    /// Starts the fakes and the agent in a new folder; `change` is the section `change` of the fleet file.
    ///
    /// # Errors
    /// Returns an error if a part of it can't be started.
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
        let behavior = Setup::small(program).fakes;
        let bind = || TcpListener::bind("127.0.0.1:0");
        let (catalogue, members) = (bind().await?, bind().await?);
        let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
        config["backend"] = json!(catalogue.local_addr()?.to_string());
        config["members"] = json!(members.local_addr()?.to_string());
        config["settings"]["FamilyInfo"]["Cores"] = json!(8);
        config["settings"]["FamilyInfo"]["HeapKb"] = json!(152_880.0);
        config["settings"]["FamilyInfo"]["CallShare"] = json!(32);
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let shared_records: SharedRecords = Rc::new(RefCell::new(Records::default()));
        Catalogue::start(catalogue, behavior.clone(), shared_records.clone());
        MembershipService::start(members, false);
        let mut records = Vec::new();
        for index in 0..count {
            let engine_records: SharedRecords = Rc::new(RefCell::new(Records::default()));
            let listener =
                TcpListener::bind(process_address_at(number, ENGINE_PORT + index)).await?;
            Engine::start(listener, behavior.clone(), engine_records.clone());
            records.push(engine_records);
        }
        let fleet_file = json!({
            "folder": "run",
            "host": { "memory_mb": 1 << 20, "cores": 1000, "descriptors": 1 << 20 },
            "change": change,
            "restarts": { "pause_ms": 200, "at_once": 8, "hangs_ms": 2500 },
            "groups": { "web": {
                "count": count, "program": program, "config": "config.json",
                "listen": process_address_at(number, LISTEN_PORT), "engine": process_address_at(number, ENGINE_PORT),
                "learning": true, "descriptors": 2048,
            } },
        });
        std::fs::write(folder.join("fleet.json5"), fleet_file.to_string())?;
        let mut fleet = FleetUnderTest {
            folder,
            program: program.into(),
            agent: None,
            number,
            count,
            records,
        };
        fleet.start_agent()?;
        Ok(fleet)
    }

    /// Starts the agent.
    ///
    /// # Errors
    /// Returns an error if the program can't be started.
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

    /// Kills the agent with `SIGKILL`.
    pub async fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill().await;
        }
    }

    pub fn agent_pid(&self) -> Option<u32> {
        self.agent.as_ref().and_then(Child::id)
    }

    /// Terminates the agent with `SIGTERM`, as an operator would, and waits for its exit code.
    ///
    /// # Errors
    /// Returns an error if it does not exit in time.
    pub async fn terminate_agent(&mut self) -> io::Result<Option<i32>> {
        let Some(mut agent) = self.agent.take() else {
            return Ok(None);
        };
        if let Some(id) = agent.id() {
            signal(id, Signal::TERM);
        }
        Ok(tokio::time::timeout(TIMEOUT, agent.wait()).await??.code())
    }

    pub fn socket(&self) -> PathBuf {
        self.folder.join("run").join("agent")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("agent.log")).unwrap_or_default()
    }

    /// Sends a request to the agent and returns all its replies, the final one last.
    ///
    /// # Errors
    /// Returns an error if it does not answer.
    pub async fn ask(&self, body: &Value) -> io::Result<Vec<(ControlMessage, Value)>> {
        ask_agent(&self.socket(), body, TIMEOUT * 4).await
    }

    /// The status of each instance, and the summary of the fleet.
    ///
    /// # Errors
    /// Returns an error if the agent does not answer.
    pub async fn status(&self) -> io::Result<(Vec<Value>, Value)> {
        let replies = self.ask(&json!({ "op": "status" })).await?;
        let (summary, pages) = replies.split_last().ok_or(io::ErrorKind::UnexpectedEof)?;
        let instances = |page: &(ControlMessage, Value)| {
            page.1["instances"].as_array().cloned().unwrap_or_default()
        };
        Ok((
            pages.iter().flat_map(instances).collect(),
            summary.1.clone(),
        ))
    }

    /// Waits until exactly `count` instances are in a state. An agent that does not answer is asked again.
    ///
    /// # Errors
    /// Returns an error if that does not happen in time.
    pub async fn wait_for_state(&self, state: &str, count: usize) -> io::Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let found = self.status().await;
            if let Ok((all, _)) = &found
                && all
                    .iter()
                    .filter(|instance| instance["state"] == state)
                    .count()
                    == count
            {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let log = self.log();
                return Err(io::Error::other(format!(
                    "not {count} instances in state {state:?} in time: {found:?}\n{log}"
                )));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The agent's history of events, one line each.
    ///
    /// # Errors
    /// Returns an error if the agent does not answer.
    pub async fn history(&self) -> io::Result<String> {
        let replies = self.ask(&json!({ "op": "history", "lines": 1000 })).await?;
        let events = replies
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

    /// All processes of the instances, found by the folder's path on their command line.
    pub fn processes(&self) -> Vec<u32> {
        let run_folder = self.folder.join("run").to_string_lossy().into_owned();
        processes_with_argument(|argument| argument.starts_with(&run_folder))
    }

    pub fn address(&self, index: u16) -> String {
        process_address_at(self.number, LISTEN_PORT + index)
    }

    /// Starts load on every instance, each with its own invocation ids.
    ///
    /// # Errors
    /// Returns an error if an instance can't be reached.
    pub async fn start_load(&self, rate: f64, seed: u64) -> io::Result<Vec<(Load, RunningLoad)>> {
        let mut all = Vec::new();
        for index in 0..self.count {
            let load = Load::with_example_operations(
                &self.address(index),
                6,
                rate,
                seed * 1000 + u64::from(index),
            );
            let running_load = load.start().await?;
            all.push((load, running_load));
        }
        Ok(all)
    }

    /// Stops the load, and compares what was sent with the answers and the runs, for each instance.
    pub async fn stop_and_check(&self, loads: Vec<(Load, RunningLoad)>) -> Vec<Verdict> {
        // All loads stop sending before the first one is waited for.
        loads
            .iter()
            .for_each(|(_, running_load)| running_load.record.borrow_mut().stop_sending());
        let mut verdicts = Vec::new();
        for ((load, running_load), records) in loads.into_iter().zip(&self.records) {
            let record = running_load.stop().await;
            verdicts.push(record.borrow().check(&records.borrow(), load.patience));
        }
        verdicts
    }
}

/// The sum of all verdicts.
pub fn combined_verdict(verdicts: &[Verdict]) -> Verdict {
    let mut sum = Verdict::default();
    for verdict in verdicts {
        sum.sent += verdict.sent;
        sum.served += verdict.served;
        sum.refused += verdict.refused;
        sum.failed += verdict.failed;
        sum.lost += verdict.lost;
        sum.held_by_killed += verdict.held_by_killed;
        sum.doubled += verdict.doubled;
        sum.spoilt += verdict.spoilt;
        sum.run_twice += verdict.run_twice;
        sum.wrong_feeds += verdict.wrong_feeds;
        sum.broken += verdict.broken;
    }
    sum
}
