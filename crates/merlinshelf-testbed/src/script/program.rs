//! The real program with listeners in the place of all that it talks to, for peers played by hand.

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

/// The configuration that all rigs start from.
pub const EXAMPLE_CONFIG: &str = include_str!("../../../../examples/config.json");

/// The program and the addresses of its stand-ins.
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
        // Its successors are in the same group.
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
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// An address that nobody else has: a port that was free a moment ago may be anybody's by now.
pub fn unique_address() -> String {
    static TAKEN: AtomicUsize = AtomicUsize::new(1);
    let ([.., high, low], number) = (
        std::process::id().to_be_bytes(),
        TAKEN.fetch_add(1, Ordering::SeqCst),
    );
    format!("127.{}.{low}.{number}:6565", 1 + high % 250)
}

/// Starts the program in a process group of its own, with further variables.
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
    command.spawn().expect("a shell")
}

/// Writes the example's configuration with some texts replaced.
pub fn write_config(changes: &[(&str, &str)]) -> PathBuf {
    let text = changes
        .iter()
        .fold(EXAMPLE_CONFIG.to_owned(), |text, (from, to)| {
            text.replace(from, to)
        });
    static WRITTEN: AtomicUsize = AtomicUsize::new(0);
    let unique = format!(
        "{}-{}",
        std::process::id(),
        WRITTEN.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(format!("merlinshelf-{unique}.json"));
    std::fs::write(&path, text).expect("a file");
    path
}

impl ProgramUnderTest {
    pub fn start(path: &str, descriptors: usize, changes: &[(&str, &str)]) -> ProgramUnderTest {
        ProgramUnderTest::start_with_env(path, descriptors, changes, &[])
    }

    /// The same with further variables for the program.
    pub fn start_with_env(
        path: &str,
        descriptors: usize,
        changes: &[(&str, &str)],
        variables: &[(&str, &str)],
    ) -> ProgramUnderTest {
        let ((engine, at_engine), (catalogue, at_catalogue)) = (bind_loopback(), bind_loopback());
        let ((members, at_members), address) = (bind_loopback(), unique_address());
        let addresses = [
            ("127.0.0.1:9300", at_engine.as_str()),
            ("127.0.0.1:5432", &at_catalogue),
            ("127.0.0.1:8761", &at_members),
            ("127.0.0.1:6565", &address),
        ];
        let config = write_config(&[&addresses, changes].concat());
        let mut child = spawn_program(path, &config, descriptors, variables);
        let (log, pipe) = (
            Arc::<Mutex<String>>::default(),
            child.stderr.take().expect("a pipe"),
        );
        let into = log.clone();
        let reader = Some(std::thread::spawn(move || {
            for line in BufReader::new(pipe).lines().map_while(Result::ok) {
                into.lock().expect("a log").extend([line.as_str(), "\n"]);
            }
        }));
        ProgramUnderTest {
            child,
            log,
            reader,
            address,
            config,
            engine_listener: engine,
            catalogue_listener: catalogue,
            members_listener: members,
        }
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("a log").clone()
    }

    /// Waits until the log says this, so many times.
    pub fn wait_for_log(&self, text: &str, times: usize) {
        let until = Instant::now() + TIMEOUT;
        while self.log().matches(text).count() < times {
            assert!(
                Instant::now() < until,
                "the log does not say {text:?} {times} times"
            );
            sleep(millis(2));
        }
    }

    /// Waits until a counter has come to a figure.
    pub fn wait_for_counter(&self, name: &str, figure: u64) {
        let until = Instant::now() + TIMEOUT;
        let wanted = format!(" {name}={figure} ");
        while !self
            .log()
            .lines()
            .last()
            .is_some_and(|line| line.contains(&wanted))
        {
            assert!(Instant::now() < until, "{name} does not come to {figure}");
            let before = self.log().matches("counters: ").count();
            self.signal("USR1");
            self.wait_for_log("counters: ", before + 1);
        }
    }

    /// Takes the engine's link and says how it is.
    pub fn accept_engine(&self) -> Peer {
        let mut engine = Peer::accept(&self.engine_listener);
        assert_eq!(engine.next_message(), "ATTACH 0");
        engine.send("HELLO WARM 5000\r\n");
        engine.answer_stats(5);
        engine
    }

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

    /// Waits for the program's own end and hands out what it logged.
    pub fn wait_for_exit(&mut self) -> (ExitStatus, String) {
        let until = Instant::now() + TIMEOUT;
        while self.child.try_wait().expect("a child").is_none() {
            assert!(Instant::now() < until, "the program does not end");
            sleep(millis(5));
        }
        let _ = self.reader.take().map(JoinHandle::join);
        (self.child.wait().expect("a child"), self.log())
    }
}
