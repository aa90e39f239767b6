//! The real program with a control socket, so that scripted tests can upgrade it.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use super::{ProgramUnderTest, TIMEOUT};

/// A rig whose program has a control socket and can be upgraded.
pub struct Upgradable {
    pub rig: ProgramUnderTest,
    program: String,
    folder: PathBuf,
}

/// How the program of an [`Upgradable`] is started.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpgradableOptions<'a> {
    /// The program's path.
    pub program: &'a str,
    /// How long a successor is on probation, in milliseconds.
    pub watched_ms: u64,
    /// Texts of the example configuration, and what replaces them.
    pub config_changes: &'a [(&'a str, &'a str)],
    /// The fault to inject into a successor; empty for none.
    pub fault: &'a str,
    /// Further sections of the operators' file, each followed by a comma.
    pub operator_sections: &'a str,
}

fn operator_file(folder: &Path) -> PathBuf {
    folder.join("operator.json5")
}

impl Drop for Upgradable {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Upgradable {
    pub fn start(options: &UpgradableOptions) -> Upgradable {
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!(
            "merlinshelf-{}-handover-{number}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let text = format!(
            "{{ {} control: {{ socket: {:?} }}, upgrade: {{ watched_ms: {}, silent_ms: 5000, \
             descriptors: 4096, memory_mb: 999 }} }}",
            options.operator_sections,
            folder.join("control"),
            options.watched_ms
        );
        let operator = operator_file(&folder);
        std::fs::write(&operator, text).expect("a file");
        let variables = [
            ("MERLINSHELF_OPERATOR", operator.to_str().expect("text")),
            ("MERLINSHELF_FAULT", options.fault),
        ];
        Upgradable {
            rig: ProgramUnderTest::start_with_env(
                options.program,
                1024,
                options.config_changes,
                &variables,
            ),
            program: options.program.to_owned(),
            folder,
        }
    }

    /// The operators' file.
    pub fn operator_file(&self) -> PathBuf {
        operator_file(&self.folder)
    }

    pub fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(&self.program);
        command
            .args(arguments)
            .arg("--control")
            .arg(self.folder.join("control"));
        command
    }

    pub fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().expect("the output")
    }

    pub fn status(&self) -> serde_json::Value {
        let until = Instant::now() + TIMEOUT;
        loop {
            let output = self.run(&["status", "--json"]);
            match serde_json::from_slice(&output.stdout) {
                Ok(status) if output.status.success() => return status,
                _ => assert!(Instant::now() < until, "{output:?}"), // no process may answer during the handover
            }
        }
    }

    /// The process that serves now.
    pub fn serving_process(&self) -> u32 {
        self.status()["process"]
            .as_u64()
            .and_then(|id| u32::try_from(id).ok())
            .expect("a process")
    }

    /// Starts an upgrade and waits until it reports this stage.
    pub fn start_upgrade_until(&self, stage: &str) -> Child {
        let mut command = self
            .command(&["upgrade", "--json"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a command");
        let mut lines = BufReader::new(command.stdout.as_mut().expect("a pipe")).lines();
        let expected = format!("\"stage\":\"{stage}\"");
        assert!(
            lines.any(|line| line.expect("text").contains(&expected)),
            "{}",
            self.rig.log()
        );
        command
    }

    /// Upgrades the program, and waits until the predecessor is no longer needed.
    pub fn upgrade(&self) {
        let mut command = self.start_upgrade_until("done");
        assert!(command.wait().expect("an end").success());
    }
}
