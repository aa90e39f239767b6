//! The real program with listeners in place of the services it talks to, for scripted peers.

use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep};
use std::time::Instant;

use rustix::process::{Pid, Signal, kill_process_group};

use super::peer::Peer;
use super::{TIMEOUT, millis};

/// The configuration that all tests start from.
pub const EXAMPLE_CONFIG: &str = include_str!("../../../../examples/config.json");

/// The program as a child process, with the listeners of its scripted peers.
pub struct ProgramUnderTest {
    pub child: Child,
    log: Arc<Mutex<String>>,
    reader: Option<JoinHandle<()>>,
    pub address: String,
    pub config: PathBuf,
    pub engine_listener: TcpListener,
    pub catalogue_listener: TcpListener,
    pub members_listener: TcpListener,
}

impl Drop for ProgramUnderTest {
    fn drop(&mut self) {
        // Its successors are in the same process group.
        if let Some(group) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process_group(group, Signal::KILL);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let _ = self.reader.take().map(JoinHandle::join);
            eprintln!("the program's log:\n{}", self.log());
        }
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn bind_loopback() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
    let address = listener
        .local_addr()
        .expect("the local address")
        .to_string();
    (listener, address)
}

/// An address that no other process uses. A port found free by binding to 0 could be taken by another process before the
/// program binds it, so the address is derived from the process id.
pub fn unique_address() -> String {
    static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(1);
    let ([.., high, low], number) = (
        std::process::id().to_be_bytes(),
        NEXT_NUMBER.fetch_add(1, Ordering::SeqCst),
    );
    format!("127.{}.{low}.{number}:6565", 1 + high % 250)
}

/// Starts the program in its own process group, with a limit on file descriptors and additional environment variables.
pub fn spawn_program(
    path: &str,
    config: &PathBuf,
    descriptors: usize,
    variables: &[(&str, &str)],
) -> Child {
    let start = format!("ulimit -n {descriptors}; exec {path}");
    let mut command = Command::new("/bin/sh");
    let command = command
        .args(["-c", &start])
        .env("PROXY_CONFIG", config)
        .envs(variables.iter().copied());
    let command = command
        .process_group(0)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command.spawn().expect("starting a shell")
}

/// Writes the example configuration to a temporary file, with some texts replaced.
pub fn write_config(changes: &[(&str, &str)]) -> PathBuf {
    let text = changes
        .iter()
        .fold(EXAMPLE_CONFIG.to_owned(), |text, (from, to)| {
            text.replace(from, to)
        });
    static FILES_WRITTEN: AtomicUsize = AtomicUsize::new(0);
    let unique = format!(
        "{}-{}",
        std::process::id(),
        FILES_WRITTEN.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(format!("merlinshelf-{unique}.json"));
    std::fs::write(&path, text).expect("writing the configuration");
    path
}

impl ProgramUnderTest {
    /// Starts the program with the example configuration, with the texts in `changes` replaced.
    pub fn start(path: &str, descriptors: usize, changes: &[(&str, &str)]) -> ProgramUnderTest {
        ProgramUnderTest::start_with_env(path, descriptors, changes, &[])
    }

    /// Like [`ProgramUnderTest::start`], with additional environment variables.
    pub fn start_with_env(
        path: &str,
        descriptors: usize,
        changes: &[(&str, &str)],
        variables: &[(&str, &str)],
    ) -> ProgramUnderTest {
        let ((engine_listener, engine_address), (catalogue_listener, catalogue_address)) =
            (bind_loopback(), bind_loopback());
        let ((members_listener, members_address), address) = (bind_loopback(), unique_address());
        let addresses = [
            ("127.0.0.1:9300", engine_address.as_str()),
            ("127.0.0.1:5432", &catalogue_address),
            ("127.0.0.1:8761", &members_address),
            ("127.0.0.1:6565", &address),
        ];
        let config = write_config(&[&addresses, changes].concat());
        let mut child = spawn_program(path, &config, descriptors, variables);
        let (log, pipe) = (
            Arc::<Mutex<String>>::default(),
            child.stderr.take().expect("the piped standard error"),
        );
        let lines = log.clone();
        let reader = Some(std::thread::spawn(move || {
            for line in BufReader::new(pipe).lines().map_while(Result::ok) {
                lines
                    .lock()
                    .expect("the log's lock")
                    .extend([line.as_str(), "\n"]);
            }
        }));
        ProgramUnderTest {
            child,
            log,
            reader,
            address,
            config,
            engine_listener,
            catalogue_listener,
            members_listener,
        }
    }

    /// What the program has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log's lock").clone()
    }

    /// Waits until the log contains `text` at least `times` times.
    pub fn wait_for_log(&self, text: &str, times: usize) {
        let until = Instant::now() + TIMEOUT;
        while self.log().matches(text).count() < times {
            assert!(
                Instant::now() < until,
                "the log does not contain {text:?} {times} times"
            );
            sleep(millis(2));
        }
    }

    /// Waits until a counter has reached this value, as logged on `SIGUSR1`.
    pub fn wait_for_counter(&self, name: &str, value: u64) {
        let until = Instant::now() + TIMEOUT;
        let expected = format!(" {name}={value} ");
        while !self
            .log()
            .lines()
            .last()
            .is_some_and(|line| line.contains(&expected))
        {
            assert!(
                Instant::now() < until,
                "counter {name} does not reach {value}"
            );
            let before = self.log().matches("counters: ").count();
            self.signal("USR1");
            self.wait_for_log("counters: ", before + 1);
        }
    }

    /// Accepts the program's engine link, attaches as a warm engine and answers the first five gauge requests.
    pub fn accept_engine(&self) -> Peer {
        let mut engine = Peer::accept(&self.engine_listener);
        assert_eq!(engine.next_message(), "ATTACH 0");
        engine.send("HELLO WARM 5000\r\n");
        engine.answer_stats(5);
        engine
    }

    /// Connects to the program as an edge node, as soon as it listens.
    pub fn connect_edge(&self) -> Peer {
        let until = Instant::now() + TIMEOUT;
        loop {
            match TcpStream::connect(&self.address) {
                Ok(stream) => return Peer::new(stream),
                Err(_) if Instant::now() < until => sleep(millis(5)),
                Err(error) => panic!("the program does not listen: {error}"),
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Waits until the program exits by itself; returns its status and its log.
    pub fn wait_for_exit(&mut self) -> (ExitStatus, String) {
        let until = Instant::now() + TIMEOUT;
        while self
            .child
            .try_wait()
            .expect("waiting for the child")
            .is_none()
        {
            assert!(Instant::now() < until, "the program does not exit");
            sleep(millis(5));
        }
        let _ = self.reader.take().map(JoinHandle::join);
        (
            self.child.wait().expect("waiting for the child"),
            self.log(),
        )
    }
}
