//! A real agent in a separate process with its own folder, and an instance that it finds there.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use merlinshelf_agent::control_client::BlockingControlClient;
use merlinshelf_fleet::Identity;
use merlinshelf_protocol::control::{self, ControlMessage, ControlRequest};
use serde_json::{Value, json};

use super::wait_for;

/// Environment variable with the path of the fleet file, read by the agent's process.
pub const FLEET_FILE: &str = "MERLINSHELF_GOLDEN_FLEET_FILE";
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// A loopback address that no other test uses, not even in another process.
pub fn own_host() -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    format!("127.{}.{low}.251", 1 + high % 250)
}

pub fn own_address(port: u16) -> String {
    format!("{}:{port}", own_host())
}

/// A folder that is removed on drop.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("merlinshelf-golden-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder for the test");
        Folder(std::fs::canonicalize(path).expect("a folder for the test"))
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, bytes: &[u8]) {
        let path = self.path(name);
        std::fs::create_dir_all(path.parent().expect("it is inside"))
            .expect("a folder can be made");
        std::fs::write(path, bytes).expect("a file can be written");
    }

    /// Replaces the folder's path in all strings of a JSON value with a placeholder.
    pub fn replace_in(&self, value: &Value) -> Value {
        let text = value
            .to_string()
            .replace(&self.0.to_string_lossy().into_owned(), "FOLDER");
        serde_json::from_str(&text).expect("JSON still")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = std::fs::read_to_string(self.path("agent.log")).unwrap_or_default();
            eprintln!("the agent's log:\n{log}");
        }
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running agent.
pub struct Agent {
    _process: Process,
    socket: PathBuf,
}

impl Agent {
    /// Starts an agent with a fleet file in the folder; the agent's own folder is `run`.
    pub fn start(folder: &Folder, spec: &Value) -> Agent {
        folder.write("fleet.json5", spec.to_string().as_bytes());
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.path("agent.log"));
        let mut command = Command::new(std::env::current_exe().expect("the test's own program"));
        command
            .args(["--exact", "agent_process", "--ignored", "--nocapture"])
            .env(FLEET_FILE, folder.path("fleet.json5"))
            .env_remove("MERLINSHELF_CLOCK_RATE")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("the log can be opened"));
        let process = Process(
            command
                .spawn()
                .expect("the test's own program can be started"),
        );
        let socket = folder.path("run/agent");
        wait_for("the agent's control socket", || {
            UnixStream::connect(&socket).ok()
        });
        Agent {
            _process: process,
            socket,
        }
    }

    /// Sends a request as operators' tools do, without waiting for a reply.
    pub fn begin_request(&self, body: &Value) -> BlockingControlClient {
        let client = BlockingControlClient::request(
            &self.socket,
            ControlRequest::Fleet,
            body,
            REPLY_TIMEOUT,
        );
        client.expect("the agent accepts the request")
    }

    /// The replies to a request, each with its kind and its body. The text of a rejection is not
    /// part of the interface, so a placeholder replaces it.
    pub fn request(&self, body: &Value) -> Vec<Value> {
        let mut client = self.begin_request(body);
        let mut replies = Vec::new();
        loop {
            let (message, mut report) = client.next_reply().expect("the agent replies");
            if message == ControlMessage::Refused && report["text"].is_string() {
                report["text"] = json!("TEXT");
            }
            replies.push(json!([format!("{message:?}").to_lowercase(), report]));
            if message != ControlMessage::More {
                return replies;
            }
        }
    }
}

/// Start time of the process with this PID, in clock ticks since boot.
fn start_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process is there");
    let (_, fields) = stat.rsplit_once(") ").expect("its name in brackets");
    fields
        .split(' ')
        .nth(19)
        .and_then(|field| field.parse().ok())
        .expect("its start")
}

/// An instance that an earlier agent started: a process, a server on its control socket, and a
/// listener for its clients.
pub struct FakeInstance {
    process: Process,
    _clients: TcpListener,
    /// The bodies of the last requests, by kind.
    requests: Arc<Mutex<BTreeMap<&'static str, Vec<u8>>>>,
}

impl FakeInstance {
    /// Answers `status` and `policy` with these bodies; the PID of the process is added to the
    /// status.
    pub fn start(
        control_socket: &Path,
        listen: &str,
        mut status: Value,
        policy: Value,
    ) -> FakeInstance {
        std::fs::create_dir_all(control_socket.parent().expect("a folder"))
            .expect("a folder can be made");
        let listener = UnixListener::bind(control_socket).expect("its control socket");
        let clients = TcpListener::bind(listen).expect("its clients' address");
        let mut command = Command::new("sleep");
        let process = Process(
            command
                .arg("600")
                .spawn()
                .expect("a process that does nothing"),
        );
        status["process"] = json!(process.0.id());
        let requests = Arc::new(Mutex::new(BTreeMap::new()));
        let received = requests.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut bytes = Vec::new();
                let mut part = [0; 65536];
                // A busy agent times out and closes the connection; its next request uses
                // another one.
                while let Ok(count @ 1..) = stream.read(&mut part) {
                    bytes.extend(&part[..count]);
                    let Ok(Some((frame, _))) = control::read_request(&bytes) else {
                        continue;
                    };
                    let (name, answer) = match frame.message {
                        ControlRequest::Status => ("status", &status),
                        ControlRequest::Policy => ("policy", &policy),
                        other => panic!("{other:?} is no request to an instance that serves"),
                    };
                    let mut reply = Vec::new();
                    control::write_message(
                        &mut reply,
                        ControlMessage::Done,
                        answer.to_string().as_bytes(),
                    );
                    received
                        .lock()
                        .expect("no poison")
                        .insert(name, frame.body.to_vec());
                    let _ = stream.write_all(&reply);
                    break;
                }
            }
        });
        FakeInstance {
            process,
            _clients: clients,
            requests,
        }
    }

    pub fn identity(&self) -> Identity {
        let pid = self.process.0.id();
        Identity {
            pid,
            start_ticks: start_ticks(pid),
        }
    }

    /// The body of the agent's last heartbeat.
    pub fn last_heartbeat(&self) -> Option<Vec<u8>> {
        self.requests
            .lock()
            .expect("no poison")
            .get("policy")
            .cloned()
    }
}
