//! The real program as an instance under test: its files, its successive processes and its control socket.

use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_agent::control_client::ControlClient;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, UnixStream};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::fakes::{Catalogue, Engine, FakeBehavior, MembershipService, Records, SharedRecords};
use crate::script::EXAMPLE_CONFIG;

/// How long to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The configuration of an instance and of its fakes.
#[derive(Clone, Debug)]
pub struct Setup {
    pub program: PathBuf,
    pub cores: u32,
    pub memory_mb: u64,
    pub sockets: u64,
    /// How long a successor is on probation after an upgrade.
    pub probation: Duration,
    /// How long a successor may send no heartbeat.
    pub heartbeat_timeout: Duration,
    /// Time limit of a graceful shutdown, until the process must have exited.
    pub stop_deadline: Duration,
    /// Limits for both processes together during an upgrade: file descriptors, and memory.
    pub descriptors: u64,
    pub combined_memory_mb: u64,
    /// The effect of the operations, as in the settings. Invocations of a `read_like` operation may be run and called again.
    pub effect: String,
    pub fakes: FakeBehavior,
    /// The instance's name, by which peers distinguish instances.
    pub name: String,
    /// The section `learning` of the operator's file; `None` turns it off. If its folder is `true`, the instance uses a folder of its
    /// own.
    pub learning: Option<Value>,
    /// The section `dependencies` of the operator's file; `None` if the catalogue is the only dependency.
    pub dependencies: Option<Value>,
    /// The address of the catalogue; `None` starts a fake catalogue for the instance.
    pub catalogue: Option<String>,
    /// Whether callers may use uwsgi.
    pub uwsgi: bool,
    /// Whether the instance applies policies.
    pub policy: bool,
}

impl Setup {
    /// A small instance with short timeouts.
    pub fn small(program: impl Into<PathBuf>) -> Setup {
        let calling = vec!["thumbnail".into(), "playback-token".into()];
        let (work, below) = (Duration::from_millis(5), Duration::from_millis(3));
        Setup {
            program: program.into(),
            cores: 8,
            memory_mb: 192,
            sockets: 1024,
            probation: Duration::from_millis(800),
            heartbeat_timeout: Duration::from_millis(250),
            stop_deadline: Duration::from_millis(3200),
            descriptors: 4096,
            combined_memory_mb: 1024,
            effect: "read_like".into(),
            fakes: FakeBehavior {
                run_duration: work,
                cores: 8.0,
                calling_operations: calling,
                called_dependencies: Vec::new(),
                call_duration: below,
                verbose: false,
            },
            name: "n0".into(),
            learning: None,
            dependencies: None,
            catalogue: None,
            uwsgi: false,
            policy: false,
        }
    }
}

/// A running instance; dropping it kills all its processes and removes its files.
pub struct Instance {
    pub address: String,
    setup: Setup,
    pub records: SharedRecords,
    folder: PathBuf,
    pub control: PathBuf,
    child: Child,
    log: Rc<RefCell<Vec<Value>>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        if std::env::var_os("MERLINSHELF_LAB_LOG").is_some() {
            eprint!("{}", self.log());
        }
        for process in self.processes() {
            signal(process, Signal::KILL);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address that no other process on this machine uses. A port found free by binding to 0 could be taken by another process
/// before the instance binds it, so the address is derived from the process id.
pub fn process_address(number: u8) -> String {
    process_address_at(number, 6565)
}

/// The address at which an instance answers its peers.
pub fn peer_address(number: u8) -> String {
    process_address_at(number, 7400)
}

/// Like [`process_address`], with a given port.
pub fn process_address_at(number: u8, port: u16) -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    format!("127.{}.{low}.{number}:{port}", 1 + high % 250)
}

/// Sends a signal to a process; an error is ignored.
pub fn signal(process: u32, signal: Signal) {
    if let Some(process) = i32::try_from(process).ok().and_then(Pid::from_raw) {
        let _ = kill_process(process, signal); // the process may have exited already
    }
}

/// All processes with a command line argument that matches, found under `/proc`.
pub fn processes_with_argument(matches: impl Fn(&str) -> bool) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let pids = all.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let has_argument = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).split('\0').any(&matches)
    };
    pids.filter(has_argument).collect()
}

impl Instance {
    /// Starts the fakes and the program, and waits until the program has its engine link.
    pub async fn start(setup: &Setup, number: u8) -> io::Result<Instance> {
        let folder = std::env::temp_dir().join(format!(
            "merlinshelf-testbed-{}-{number}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder)?;
        let records: SharedRecords = Rc::new(RefCell::new(Records::default()));
        let bind = || TcpListener::bind("127.0.0.1:0");
        let (engine, catalogue, members) = (bind().await?, bind().await?, bind().await?);
        let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
        let address = process_address(number);
        config["listen"] = json!(address);
        config["engine"] = json!(engine.local_addr()?.to_string());
        config["backend"] = json!(catalogue.local_addr()?.to_string());
        if let Some(catalogue) = &setup.catalogue {
            config["backend"] = json!(catalogue);
        }
        config["name"] = json!(setup.name);
        config["members"] = json!(members.local_addr()?.to_string());
        config["limits"] =
            json!({ "cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets });
        config["settings"]["FamilyInfo"]["Cores"] = json!(setup.cores);
        config["settings"]["FamilyInfo"]["HeapKb"] = json!(19110.0 * f64::from(setup.cores));
        config["settings"]["FamilyInfo"]["CallShare"] = json!(4 * setup.cores);
        for class in config["settings"]["Classes"]
            .as_array_mut()
            .into_iter()
            .flatten()
        {
            class["Effect"] = json!(setup.effect);
        }
        config["stop_ms"] = json!(setup.stop_deadline.as_millis() as u64);
        let control = folder.join("control");
        let mut operator = json!({
            "control": { "socket": control },
            "log": { "format": "json" },
            "upgrade": {
                "program": folder.join("successor"),
                "watched_ms": setup.probation.as_millis() as u64,
                "silent_ms": setup.heartbeat_timeout.as_millis() as u64,
                "ready_ms": 3000,
                "descriptors": setup.descriptors,
                "memory_mb": setup.combined_memory_mb,
            },
        });
        if let Some(learning) = &setup.learning {
            let mut learning = learning.clone();
            if learning["folder"] == true {
                learning["folder"] = json!(folder.join("kept"));
            }
            operator["learning"] = learning;
        }
        if setup.policy {
            let budgets = json!({ "again": 1, "probes": 1, "first": 1, "opened": 1 });
            operator["policy"] =
                json!({ "wait_ms": 0, "base": { "budgets": { "catalogue": budgets } } });
        }
        if setup.uwsgi {
            operator["uwsgi"] = json!(true);
        }
        if let Some(dependencies) = &setup.dependencies {
            operator["dependencies"] = dependencies.clone();
        }
        std::fs::write(folder.join("config.json"), config.to_string())?;
        std::fs::write(folder.join("operator.json5"), operator.to_string())?;
        Engine::start(engine, setup.fakes.clone(), records.clone());
        Catalogue::start(catalogue, setup.fakes.clone(), records.clone());
        MembershipService::start(members, setup.fakes.verbose);
        let log = Rc::<RefCell<Vec<Value>>>::default();
        let child = launch(&setup.program, &folder, &log)?;
        let setup = setup.clone();
        let instance = Instance {
            address,
            setup,
            records,
            folder,
            control,
            child,
            log,
        };
        instance.set_successor_script(&format!(
            "exec '{}' \"$@\"",
            instance.setup.program.display()
        ))?;
        instance.wait_for_log("the engine is up", 1).await?;
        Ok(instance)
    }

    /// Replaces the successor's program by a shell script with these lines.
    pub fn set_successor_script(&self, lines: &str) -> io::Result<()> {
        use std::os::unix::fs::PermissionsExt;
        let (path, new_path) = (
            self.folder.join("successor"),
            self.folder.join("successor.new"),
        );
        std::fs::write(&new_path, format!("#!/bin/sh\n{lines}\n"))?;
        std::fs::set_permissions(&new_path, std::fs::Permissions::from_mode(0o755))?;
        std::fs::rename(new_path, path)
    }

    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Waits until the log has at least `times` lines with this text.
    pub async fn wait_for_log(&self, text: &str, times: usize) -> io::Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        while self.count_log_lines(text) < times {
            if Instant::now() >= deadline {
                let log: Vec<String> = self.log.borrow().iter().map(Value::to_string).collect();
                return Err(io::Error::other(format!(
                    "the log does not contain {text:?}:\n{}",
                    log.join("\n")
                )));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(())
    }

    /// The number of log lines with this text.
    pub fn count_log_lines(&self, text: &str) -> usize {
        let log = self.log.borrow();
        log.iter()
            .filter(|line| {
                line["text"]
                    .as_str()
                    .is_some_and(|line| line.contains(text))
            })
            .count()
    }

    /// All values of a key in the log, in order.
    pub fn log_values(&self, key: &str) -> Vec<u64> {
        self.log
            .borrow()
            .iter()
            .filter_map(|line| line[key].as_u64())
            .collect()
    }

    /// The whole log as text.
    pub fn log(&self) -> String {
        self.log
            .borrow()
            .iter()
            .map(|line| line.to_string() + "\n")
            .collect()
    }

    /// Replaces the dependencies in the operator's file, and reloads it with `SIGHUP` to the current process.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or written.
    pub fn set_dependencies(&self, dependencies: &Value) -> io::Result<()> {
        let path = self.folder.join("operator.json5");
        let mut operator: Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
        operator["dependencies"] = dependencies.clone();
        std::fs::write(path, operator.to_string())?;
        if let Some(id) = self.processes().last() {
            signal(*id, Signal::HUP);
        }
        Ok(())
    }

    /// All processes ever started for this instance, the latest one last.
    pub fn processes(&self) -> Vec<u32> {
        let successors = self
            .log_values("successor")
            .into_iter()
            .filter_map(|id| u32::try_from(id).ok());
        self.child.id().into_iter().chain(successors).collect()
    }

    /// Sends a request to the control socket.
    pub async fn ask(&self, request: ControlRequest) -> io::Result<ControlClient> {
        ControlClient::request(&self.control, request, &json!({}), TIMEOUT).await
    }

    /// The status of the serving process.
    pub async fn status(&self) -> io::Result<Value> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let answer = async { self.ask(ControlRequest::Status).await?.next_reply().await };
            match answer.await {
                Ok((_, report)) => return Ok(report),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => sleep(Duration::from_millis(5)).await, // no process answers during a handover
            }
        }
    }

    /// CPU time of the first process, over all its threads.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let id = self
            .child
            .id()
            .ok_or_else(|| io::Error::other("the process has exited"))?;
        let mut sum = 0;
        for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            sum += text
                .split(' ')
                .next()
                .and_then(|nanos| nanos.parse::<u64>().ok())
                .unwrap_or(0);
        }
        Ok(Duration::from_nanos(sum))
    }

    /// Memory in KB and open file descriptors, summed over all running processes.
    pub fn memory_and_descriptors(&self) -> (u64, u64) {
        let mut sums = (0, 0);
        for id in self.processes() {
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix("VmRSS:"))
                .unwrap_or("");
            sums.0 += line
                .trim()
                .split(' ')
                .next()
                .and_then(|kb| kb.parse::<u64>().ok())
                .unwrap_or(0);
            sums.1 +=
                std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |all| all.count() as u64);
        }
        sums
    }

    /// Peak memory of the first process, in KB.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().split(' ').next()?.parse().ok()
    }

    /// Kills all processes with `SIGKILL`.
    pub async fn kill_all(&mut self) {
        self.processes()
            .into_iter()
            .for_each(|process| signal(process, Signal::KILL));
        let _ = self.child.wait().await;
    }

    /// Restarts the program without an upgrade: terminates the first process with `SIGTERM`, waits for its exit and starts `program`
    /// with the same fakes.
    pub async fn terminate_and_restart(&mut self, program: &Path) -> io::Result<()> {
        if let Some(id) = self.child.id() {
            signal(id, Signal::TERM);
        }
        self.child.wait().await?;
        self.child = launch(program, &self.folder, &self.log)?;
        Ok(())
    }

    /// Kills all processes with `SIGKILL`, and starts the program again with the same fakes.
    pub async fn kill_and_restart(&mut self) -> io::Result<()> {
        self.kill_all().await;
        self.child = launch(&self.setup.program, &self.folder, &self.log)?;
        Ok(())
    }

    /// The folder of the gossip store.
    pub fn store_folder(&self) -> PathBuf {
        self.folder.join("kept")
    }

    pub fn control(&self) -> &Path {
        &self.control
    }

    /// Waits until its status fulfils a condition, which `what` describes in the error.
    pub async fn wait_for_report(
        &self,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> io::Result<Value> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let report = self.status().await?;
            if condition(&report) {
                return Ok(report);
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!(
                    "timed out waiting for {what:?}: {report}\n{}",
                    self.log()
                )));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// All observations that it knows.
    pub async fn known_observations(&self) -> io::Result<Vec<Value>> {
        let mut client = self.ask(ControlRequest::Knowledge).await?;
        let mut all = Vec::new();
        while let (ControlMessage::More, mut page) = client.next_reply().await? {
            if let Some(page) = page["figures"].as_array_mut() {
                all.append(page);
            }
        }
        Ok(all)
    }

    /// Waits until the first process exits; returns its exit code.
    pub async fn wait_for_first_exit(&mut self) -> io::Result<Option<i32>> {
        let status = timeout(TIMEOUT, self.child.wait()).await??;
        Ok(status.code())
    }

    /// Requests a graceful shutdown, and waits until no process answers at the control socket.
    pub async fn drain(&self) -> io::Result<()> {
        self.ask(ControlRequest::Drain).await?.next_reply().await?;
        let deadline = Instant::now() + TIMEOUT;
        while UnixStream::connect(&self.control).await.is_ok() {
            if Instant::now() >= deadline {
                return Err(io::Error::other("the instance does not shut down"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }
}

/// Starts the program with an instance's files and collects its log.
fn launch(program: &Path, folder: &Path, log: &Rc<RefCell<Vec<Value>>>) -> io::Result<Child> {
    let (config, operator) = (folder.join("config.json"), folder.join("operator.json5"));
    let mut command = Command::new(program);
    command
        .arg("serve")
        .arg("--config")
        .arg(&config)
        .arg("--operator")
        .arg(&operator);
    // Versions without the command line read only this variable.
    command.env("PROXY_CONFIG", &config);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    let mut child = command.spawn()?;
    if let Some(pipe) = child.stderr.take() {
        let log = log.clone();
        spawn_local(async move {
            let mut lines = BufReader::new(pipe).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let line = serde_json::from_str(&line).unwrap_or_else(|_| json!({ "text": line }));
                log.borrow_mut().push(line);
            }
        });
    }
    Ok(child)
}
