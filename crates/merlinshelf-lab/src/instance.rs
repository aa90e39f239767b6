//! The real program as an instance under trial: its files, its processes one after the other, and its control socket.

use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_protocol::control::{self, Question, Word};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, UnixStream};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::script::EXAMPLE;
use crate::stand_in::{Catalogue, Engine, Manner, Members, Records, Shared};

/// How long anything that must happen is waited for.
const PATIENCE: Duration = Duration::from_secs(20);

/// What an instance is given.
#[derive(Clone, Debug)]
pub struct Setup {
    pub program: PathBuf,
    pub cores: u32,
    pub memory_mb: u64,
    pub sockets: u64,
    pub watched: Duration,
    pub silent: Duration,
    pub manner: Manner,
}

pub struct Instance {
    pub address: String,
    pub records: Shared,
    folder: PathBuf,
    control: PathBuf,
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
pub fn own_address(number: u8) -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    format!("127.{}.{low}.{number}:6565", 1 + high % 250)
}

pub fn signal(process: u32, signal: Signal) {
    if let Some(process) = i32::try_from(process).ok().and_then(Pid::from_raw) {
        let _ = kill_process(process, signal); // it may be gone by now
    }
}

impl Instance {
    /// Starts stand-ins and the program between them, and waits until it serves.
    pub async fn start(setup: &Setup, number: u8) -> io::Result<Instance> {
        let folder = std::env::temp_dir().join(format!("merlinshelf-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let records: Shared = Rc::new(RefCell::new(Records::default()));
        let bind = || TcpListener::bind("127.0.0.1:0");
        let (engine, catalogue, members) = (bind().await?, bind().await?, bind().await?);
        let mut config: Value = serde_json::from_str(EXAMPLE)?;
        let address = own_address(number);
        config["listen"] = json!(address);
        config["engine"] = json!(engine.local_addr()?.to_string());
        config["backend"] = json!(catalogue.local_addr()?.to_string());
        config["members"] = json!(members.local_addr()?.to_string());
        config["limits"] = json!({ "cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets });
        config["settings"]["FamilyInfo"]["Cores"] = json!(setup.cores);
        config["settings"]["FamilyInfo"]["HeapKb"] = json!(19110.0 * f64::from(setup.cores));
        config["settings"]["FamilyInfo"]["CallShare"] = json!(4 * setup.cores);
        let control = folder.join("control");
        let operator = json!({
            "control": { "socket": control },
            "log": { "format": "json" },
            "upgrade": {
                "program": folder.join("successor"),
                "watched_ms": setup.watched.as_millis() as u64,
                "silent_ms": setup.silent.as_millis() as u64,
                "ready_ms": 3000,
                "descriptors": 4096,
                "memory_mb": 1024,
            },
        });
        std::fs::write(folder.join("config.json"), config.to_string())?;
        std::fs::write(folder.join("operator.json5"), operator.to_string())?;
        let instance_files = (folder.join("config.json"), folder.join("operator.json5"));
        Engine::start(engine, setup.manner.clone(), records.clone());
        Catalogue::start(catalogue, setup.manner.clone(), records.clone());
        Members::start(members, setup.manner.says);
        let mut command = Command::new(&setup.program);
        command.arg("serve").arg("--config").arg(&instance_files.0).arg("--operator").arg(&instance_files.1);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let log = Rc::<RefCell<Vec<Value>>>::default();
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
        let instance = Instance { address, records, folder, control, child, log };
        instance.successor_is(&format!("exec '{}' \"$@\"", setup.program.display()))?;
        instance.logged("the engine is up", 1).await?;
        Ok(instance)
    }

    /// What the successor's program is from here on, as lines of a shell.
    pub fn successor_is(&self, lines: &str) -> io::Result<()> {
        use std::os::unix::fs::PermissionsExt;
        let (path, beside) = (self.folder.join("successor"), self.folder.join("successor.new"));
        std::fs::write(&beside, format!("#!/bin/sh\n{lines}\n"))?;
        std::fs::set_permissions(&beside, std::fs::Permissions::from_mode(0o755))?;
        std::fs::rename(beside, path)
    }

    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Waits until the log holds so many lines with this text.
    pub async fn logged(&self, text: &str, times: usize) -> io::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self.lines_with(text) < times {
            if Instant::now() >= until {
                let log: Vec<String> = self.log.borrow().iter().map(Value::to_string).collect();
                return Err(io::Error::other(format!("the log does not say {text:?}:\n{}", log.join("\n"))));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(())
    }

    pub fn lines_with(&self, text: &str) -> usize {
        let log = self.log.borrow();
        log.iter().filter(|line| line["text"].as_str().is_some_and(|line| line.contains(text))).count()
    }

    /// The values of a key in the log's lines, in order.
    pub fn values(&self, key: &str) -> Vec<u64> {
        self.log.borrow().iter().filter_map(|line| line[key].as_u64()).collect()
    }

    /// The whole log, a line each.
    pub fn log(&self) -> String {
        self.log.borrow().iter().map(|line| line.to_string() + "\n").collect()
    }

    /// All processes that were ever started here, the last one last.
    pub fn processes(&self) -> Vec<u32> {
        let successors = self.values("successor").into_iter().filter_map(|id| u32::try_from(id).ok());
        self.child.id().into_iter().chain(successors).collect()
    }

    pub async fn ask(&self, question: Question) -> io::Result<Talk> {
        Talk::ask(&self.control, question).await
    }

    /// The report of the one who serves.
    pub async fn status(&self) -> io::Result<Value> {
        let until = Instant::now() + PATIENCE;
        loop {
            let answer = async { self.ask(Question::Status).await?.next().await };
            match answer.await {
                Ok((_, report)) => return Ok(report),
                Err(error) if Instant::now() >= until => return Err(error),
                Err(_) => sleep(Duration::from_millis(5)).await, // between two processes
            }
        }
    }

    /// Waits for the end of the process that was started first; its status.
    pub async fn first_ended(&mut self) -> io::Result<Option<i32>> {
        let status = timeout(PATIENCE, self.child.wait()).await??;
        Ok(status.code())
    }

    /// Tells it to leave, and waits until nobody answers at its control socket.
    pub async fn leave(&self) -> io::Result<()> {
        self.ask(Question::Drain).await?.next().await?;
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

/// A question under way.
pub struct Talk {
    stream: UnixStream,
    come: Vec<u8>,
}

impl Talk {
    pub async fn ask(socket: &Path, question: Question) -> io::Result<Talk> {
        let mut stream = UnixStream::connect(socket).await?;
        let mut bytes: Vec<u8> = Vec::new();
        control::ask(&mut bytes, question, b"{}");
        stream.write_all(&bytes).await?;
        Ok(Talk { stream, come: Vec::new() })
    }

    /// The next word and its report.
    pub async fn next(&mut self) -> io::Result<(Word, Value)> {
        loop {
            match control::word(&self.come) {
                Ok(Some(((_, word, body), count))) => {
                    let report = serde_json::from_slice(body)?;
                    self.come.drain(..count);
                    return Ok((word, report));
                }
                Ok(None) => {}
                Err(fault) => return Err(io::Error::other(fault.0)),
            }
            if timeout(PATIENCE, self.stream.read_buf(&mut self.come)).await?? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
