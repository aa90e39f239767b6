//! The real program as an instance under trial: its files, its processes one after the other, and its control socket.

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

/// How long anything that must happen is waited for.
const PATIENCE: Duration = Duration::from_secs(20);

/// What an instance is given.
#[derive(Clone, Debug)]
pub struct Setup {
    pub program: PathBuf,
    pub cores: u32,
    pub memory_mb: u64,
    pub sockets: u64,
    pub probation: Duration,
    pub heartbeat_timeout: Duration,
    /// From the notice to leave until the process must be gone.
    pub stop_deadline: Duration,
    /// What two processes together may hold and use.
    pub descriptors: u64,
    pub combined_memory_mb: u64,
    /// What the operations do, in the words of the settings: `read_like` may be run and called again.
    pub effect: String,
    pub fakes: FakeBehavior,
    /// The instance's name where it is not n0, so that peers tell each other apart.
    pub name: String,
    /// What the operators' file says of learning; none: off. The folder is one of the instance's own where it says `true`.
    pub learning: Option<Value>,
    /// What the operators' file says of dependencies; none: there is but the catalogue.
    pub dependencies: Option<Value>,
    /// Where calls go that go to no dependency; none: to a catalogue of its own.
    pub catalogue: Option<String>,
    /// Callers may speak uwsgi.
    pub uwsgi: bool,
    /// It takes part in a policy for all.
    pub policy: bool,
}

impl Setup {
    /// A small one with all that a trial needs.
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

/// An address that no other process of this machine uses: a port that was free a moment ago may be anybody's by now.
pub fn process_address(number: u8) -> String {
    process_address_at(number, 6565)
}

/// Where an instance is asked by its peers.
pub fn peer_address(number: u8) -> String {
    process_address_at(number, 7400)
}

/// The same, with a port of one's own choice.
pub fn process_address_at(number: u8, port: u16) -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    format!("127.{}.{low}.{number}:{port}", 1 + high % 250)
}

pub fn signal(process: u32, signal: Signal) {
    if let Some(process) = i32::try_from(process).ok().and_then(Pid::from_raw) {
        let _ = kill_process(process, signal); // it may be gone by now
    }
}

/// Processes one of whose words on the command line is as it should be, by the pages that they have under `/proc`.
pub fn processes_with_argument(is: impl Fn(&str) -> bool) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let pids = all.filter_map(|one| one.file_name().to_str()?.parse::<u32>().ok());
    let started = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).split('\0').any(&is)
    };
    pids.filter(started).collect()
}

impl Instance {
    /// Starts stand-ins and the program between them, and waits until it serves.
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
            let figures = json!({ "again": 1, "probes": 1, "first": 1, "opened": 1 });
            operator["policy"] =
                json!({ "wait_ms": 0, "base": { "budgets": { "catalogue": figures } } });
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

    /// What the successor's program is from here on, as lines of a shell.
    pub fn set_successor_script(&self, lines: &str) -> io::Result<()> {
        use std::os::unix::fs::PermissionsExt;
        let (path, beside) = (
            self.folder.join("successor"),
            self.folder.join("successor.new"),
        );
        std::fs::write(&beside, format!("#!/bin/sh\n{lines}\n"))?;
        std::fs::set_permissions(&beside, std::fs::Permissions::from_mode(0o755))?;
        std::fs::rename(beside, path)
    }

    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Waits until the log holds so many lines with this text.
    pub async fn wait_for_log(&self, text: &str, times: usize) -> io::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self.count_log_lines(text) < times {
            if Instant::now() >= until {
                let log: Vec<String> = self.log.borrow().iter().map(Value::to_string).collect();
                return Err(io::Error::other(format!(
                    "the log does not say {text:?}:\n{}",
                    log.join("\n")
                )));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(())
    }

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

    /// The values of a key in the log's lines, in order.
    pub fn log_values(&self, key: &str) -> Vec<u64> {
        self.log
            .borrow()
            .iter()
            .filter_map(|line| line[key].as_u64())
            .collect()
    }

    /// The whole log, a line each.
    pub fn log(&self) -> String {
        self.log
            .borrow()
            .iter()
            .map(|line| line.to_string() + "\n")
            .collect()
    }

    /// Names other dependencies in the operators' file, and tells the one that serves by SIGHUP.
    ///
    /// # Errors
    /// The file can't be written.
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

    /// All processes that were ever started here, the last one last.
    pub fn processes(&self) -> Vec<u32> {
        let successors = self
            .log_values("successor")
            .into_iter()
            .filter_map(|id| u32::try_from(id).ok());
        self.child.id().into_iter().chain(successors).collect()
    }

    pub async fn ask(&self, question: ControlRequest) -> io::Result<ControlClient> {
        ControlClient::request(&self.control, question, &json!({}), PATIENCE).await
    }

    /// The report of the one who serves.
    pub async fn status(&self) -> io::Result<Value> {
        let until = Instant::now() + PATIENCE;
        loop {
            let answer = async { self.ask(ControlRequest::Status).await?.next_reply().await };
            match answer.await {
                Ok((_, report)) => return Ok(report),
                Err(error) if Instant::now() >= until => return Err(error),
                Err(_) => sleep(Duration::from_millis(5)).await, // between two processes
            }
        }
    }

    /// Time on the cores of the process that was started first, of all its threads.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let id = self
            .child
            .id()
            .ok_or_else(|| io::Error::other("it has ended"))?;
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

    /// Memory in KB and descriptors of all processes that live now, together.
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

    /// Most memory of the process that was started first, in KB.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().split(' ').next()?.parse().ok()
    }

    /// Ends all processes, without asking.
    pub async fn kill_all(&mut self) {
        self.processes()
            .into_iter()
            .for_each(|process| signal(process, Signal::KILL));
        let _ = self.child.wait().await;
    }

    /// Tells the first process to leave by signal, waits for its end and starts the program anew between the same
    /// stand-ins: the way without upgrades.
    pub async fn terminate_and_restart(&mut self, program: &Path) -> io::Result<()> {
        if let Some(id) = self.child.id() {
            signal(id, Signal::TERM);
        }
        self.child.wait().await?;
        self.child = launch(program, &self.folder, &self.log)?;
        Ok(())
    }

    /// Kills the process, without a word, and starts it anew between the same stand-ins.
    pub async fn kill_and_restart(&mut self) -> io::Result<()> {
        self.kill_all().await;
        self.child = launch(&self.setup.program, &self.folder, &self.log)?;
        Ok(())
    }

    /// The folder in which it keeps what it knows.
    pub fn store_folder(&self) -> PathBuf {
        self.folder.join("kept")
    }

    pub fn control(&self) -> &Path {
        &self.control
    }

    /// Waits until its report says so.
    pub async fn wait_for_report(
        &self,
        what: &str,
        when: impl Fn(&Value) -> bool,
    ) -> io::Result<Value> {
        let until = Instant::now() + PATIENCE;
        loop {
            let report = self.status().await?;
            if when(&report) {
                return Ok(report);
            }
            if Instant::now() >= until {
                return Err(io::Error::other(format!(
                    "never {what}: {report}\n{}",
                    self.log()
                )));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// All figures that it knows.
    pub async fn known_figures(&self) -> io::Result<Vec<Value>> {
        let mut talk = self.ask(ControlRequest::Knowledge).await?;
        let mut all = Vec::new();
        while let (ControlMessage::More, mut page) = talk.next_reply().await? {
            if let Some(page) = page["figures"].as_array_mut() {
                all.append(page);
            }
        }
        Ok(all)
    }

    /// Waits for the end of the process that was started first; its status.
    pub async fn wait_for_first_exit(&mut self) -> io::Result<Option<i32>> {
        let status = timeout(PATIENCE, self.child.wait()).await??;
        Ok(status.code())
    }

    /// Tells it to leave, and waits until nobody answers at its control socket.
    pub async fn drain(&self) -> io::Result<()> {
        self.ask(ControlRequest::Drain).await?.next_reply().await?;
        let until = Instant::now() + PATIENCE;
        while UnixStream::connect(&self.control).await.is_ok() {
            if Instant::now() >= until {
                return Err(io::Error::other("it does not leave"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }
}

/// Starts the program with an instance's files and keeps its log.
fn launch(program: &Path, folder: &Path, log: &Rc<RefCell<Vec<Value>>>) -> io::Result<Child> {
    let (config, operator) = (folder.join("config.json"), folder.join("operator.json5"));
    let mut command = Command::new(program);
    command
        .arg("serve")
        .arg("--config")
        .arg(&config)
        .arg("--operator")
        .arg(&operator);
    // Versions before the command line know this variable only.
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
