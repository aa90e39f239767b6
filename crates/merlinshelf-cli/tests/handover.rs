//! Upgrades message by message: what was begun in one process goes on in the next, on the same connections. And the
//! command line itself.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use insta::assert_snapshot;
use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::script::{PATIENCE, Peer, Rig, ask_until_stalled, bind, serve_all};
use merlinshelf_testbed::wire::{ask, id};
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// A rig whose program has a control socket and upgrades.
struct Upgradable {
    rig: Rig,
    folder: PathBuf,
}

impl Drop for Upgradable {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn upgradable(watched_ms: u64, changes: &[(&str, &str)]) -> Upgradable {
    upgradable_to(watched_ms, changes, "")
}

/// The same with a successor that fails so.
fn upgradable_to(watched_ms: u64, changes: &[(&str, &str)], fault: &str) -> Upgradable {
    static TAKEN: AtomicUsize = AtomicUsize::new(0);
    let number = TAKEN.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!(
        "merlinshelf-{}-handover-{number}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let text = format!(
        "{{ control: {{ socket: {:?} }}, upgrade: {{ watched_ms: {watched_ms}, silent_ms: 5000, descriptors: 4096, memory_mb: 999 }} }}",
        folder.join("control")
    );
    let operator = folder.join("operator.json5");
    std::fs::write(&operator, text).expect("a file");
    let variables = [
        ("MERLINSHELF_OPERATOR", operator.to_str().expect("text")),
        ("MERLINSHELF_FAULT", fault),
    ];
    Upgradable {
        rig: Rig::with(PROGRAM, 1024, changes, &variables),
        folder,
    }
}

impl Upgradable {
    fn tool(&self, words: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        command
            .args(words)
            .arg("--control")
            .arg(self.folder.join("control"));
        command
    }

    fn told(&self, words: &[&str]) -> Output {
        self.tool(words).output().expect("it can be run")
    }

    fn status(&self) -> serde_json::Value {
        let until = Instant::now() + PATIENCE;
        loop {
            let output = self.told(&["status", "--json"]);
            match serde_json::from_slice(&output.stdout) {
                Ok(status) if output.status.success() => return status,
                _ => assert!(Instant::now() < until, "{output:?}"), // between two processes
            }
        }
    }

    /// Asks for an upgrade and waits until it has come to this stage.
    fn upgrade_to(&self, stage: &str) -> Child {
        let mut tool = self
            .tool(&["upgrade", "--json"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a tool");
        let mut lines = BufReader::new(tool.stdout.as_mut().expect("a pipe")).lines();
        let wanted = format!("\"stage\":\"{stage}\"");
        assert!(
            lines.any(|line| line.expect("text").contains(&wanted)),
            "{}",
            self.rig.log()
        );
        tool
    }
}

#[test]
fn what_was_begun_goes_on_in_the_successor() {
    let mut play = upgradable(
        300,
        &[
            ("\"Cores\": 2", "\"Cores\": 60"),
            ("\"CallShare\": 6.25", "\"CallShare\": 60"),
        ],
    );
    let mut engine = play.rig.engine();
    let (mut half, mut running, mut calling, mut full) = (
        play.rig.edge(),
        play.rig.edge(),
        play.rig.edge(),
        play.rig.edge(),
    );
    let mut trace = String::new();
    // Half of an invocation, one that runs, one at a call below, and 32 on one connection.
    let bytes = ask(1, "transcript-search", b"first", &[]);
    half.send(&bytes[..bytes.len() / 2]);
    running.send(ask(2, "transcript-search", b"second", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    calling.send(ask(3, "thumbnail", b"third", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!("NEED 1 {} 4\r\nmore\r\n", id(3)));
    let mut below = Peer::accept(&play.rig.catalogue);
    assert!(below.message().starts_with(&format!("invoke {}", id(3))));
    below.send(format!("{} ok 5\r\nre", id(3))); // and half of its reply
    for tag in 100..132 {
        full.send(ask(tag, "transcript-search", b"", &[]));
    }
    let runs: Vec<String> = (0..32).map(|_| engine.message()).collect();
    assert!(runs.iter().all(|run| run.starts_with("RUN 00000000000000")));
    let before = play.status()["process"].as_u64();

    assert!(play.upgrade_to("done").wait().expect("an end").success());
    let until = Instant::now() + PATIENCE;
    while play.rig.child.try_wait().expect("a child").is_none() {
        assert!(Instant::now() < until, "the old process does not end");
    }
    let status = play.status();
    assert_ne!(status["process"].as_u64(), before);
    assert_eq!(
        (status["in_hand"].as_u64(), status["connections"].as_u64()),
        (Some(34), Some(4))
    );

    // All goes on where it was, on the same connections and the same link.
    half.send(&bytes[bytes.len() / 2..]);
    let _ = writeln!(trace, "{}", engine.message());
    below.send("ply\r\n");
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!(
        "DONE 2 {} OK 9 3\r\none\r\nDONE 3 {} OK 9 5\r\nthree\r\n",
        id(1),
        id(3)
    ));
    engine.send(format!("DONE 4 {} OK 9 3\r\ntwo\r\n", id(2)));
    let _ = writeln!(
        trace,
        "{}\n{}\n{}",
        half.answer(),
        running.answer(),
        calling.answer()
    );
    for (number, tag) in (5..).zip((100..132).rev()) {
        engine.send(format!("DONE {number} {} OK 9 4\r\nfine\r\n", id(tag)));
    }
    let mut answers: Vec<String> = (0..32).map(|_| full.answer()).collect();
    answers.sort();
    answers.dedup();
    assert!(
        answers.len() == 32
            && answers
                .iter()
                .all(|answer| answer.ends_with("200 OK||fine")),
        "{answers:?}"
    );
    assert!(play.rig.engine.accept().is_err(), "a new link was made");
    let counters = play.status()["counters"].clone();
    let _ = writeln!(
        trace,
        "{} {} {}",
        counters["invocations"], counters["succeeded"], counters["engine_links"]
    );
    assert_snapshot!(trace);
}

#[test]
fn a_link_that_breaks_while_the_successor_is_watched_is_taken_back_with_its_number() {
    let play = upgradable(30_000, &[]);
    let (mut engine, mut first, mut second) = (play.rig.engine(), play.rig.edge(), play.rig.edge());
    first.send(ask(1, "transcript-search", b"one", &[]));
    let mut trace = engine.message() + "\n";
    let mut tool = play.upgrade_to("took_over");
    engine.send(format!("DONE 1 {} OK 9 3\r\none\r\n", id(1)));
    let _ = writeln!(trace, "{}", first.answer());
    // A new link, of the successor.
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&play.rig.engine);
    let _ = writeln!(trace, "{}", engine.message());
    engine.send("HELLO WARM 9000\r\n");
    engine.questions(2);
    second.send(ask(2, "transcript-search", b"two", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    engine.questions(2);
    let successor = play.status()["process"]
        .as_u64()
        .and_then(|id| u32::try_from(id).ok())
        .expect("a process");
    signal(successor, Signal::KILL);
    assert_eq!(tool.wait().expect("an end").code(), Some(1));
    // It goes on over the successor's own link, and nothing is said twice.
    engine.questions(3);
    engine.send(format!("DONE 2 {} OK 9 3\r\ntwo\r\n", id(2)));
    let _ = writeln!(trace, "{}", second.answer());
    assert_eq!(
        play.status()["process"].as_u64(),
        Some(play.rig.child.id().into())
    );
    // And where that breaks, with the last number that the successor had noted, or a later one.
    first.send(ask(3, "transcript-search", b"three", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&play.rig.engine);
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!(
        "HELLO WARM 9100\r\nDONE 3 {} OK 9 5\r\nthree\r\n",
        id(3)
    ));
    let _ = writeln!(trace, "{}", first.answer());
    assert_snapshot!(trace);
}

#[test]
fn a_link_that_breaks_in_the_freeze_is_taken_up_with_its_number() {
    let play = upgradable_to(300, &[], "successor.restored:1:pause");
    let (mut engine, mut edge) = (play.rig.engine(), play.rig.edge());
    edge.send(ask(1, "transcript-search", b"one", &[]));
    let mut trace = engine.message() + "\n";
    engine.send(format!("DONE 1 {} OK 9 3\r\none\r\n", id(1)));
    let _ = writeln!(trace, "{}", edge.answer());
    edge.send(ask(2, "transcript-search", b"two", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    engine.questions(2);
    let mut tool = play.upgrade_to("ready");
    // Nobody reads for half a second.
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&play.rig.engine);
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!(
        "HELLO WARM 9000\r\nDONE 2 {} OK 9 3\r\ntwo\r\n",
        id(2)
    ));
    let _ = writeln!(trace, "{}", edge.answer());
    engine.questions(3); // and no second RUN
    assert!(tool.wait().expect("an end").success());
    assert_snapshot!(trace);
}

#[test]
fn a_full_table_and_who_waits_behind_it_pass_too() {
    let play = upgradable(300, &[("\"sockets\": 1024", "\"sockets\": 64")]);
    let mut engine = play.rig.engine();
    let mut busy: Vec<Peer> = (0..32).map(|_| play.rig.edge()).collect();
    (1..)
        .zip(&mut busy)
        .for_each(|(tag, edge)| edge.send(ask(tag, "transcript-search", b"", &[])));
    let mut waiting = play.rig.edge();
    waiting.send(ask(99, "", b"", &[("SCRIPT_NAME", "/status/live")]));
    let run = engine.message();
    play.rig.logged("all 32 connections are in use", 1);
    let first = u16::from_str_radix(&run[4..20], 16).expect("an id");
    let answered = &mut busy[usize::from(first) - 1];
    let mut tool = play.upgrade_to("took_over");
    assert_eq!(play.status()["connections"], 32);
    // One is answered and may go for the one that waits.
    engine.send(format!("DONE 1 {} OK 9 4\r\nfine\r\n", id(first)));
    assert!(answered.answer().ends_with("fine"));
    std::thread::spawn(move || while !engine.message().is_empty() {});
    assert!(waiting.answer().starts_with("99 200"));
    assert_eq!(answered.answer(), "closed");
    assert!(tool.wait().expect("an end").success());
}

#[test]
fn a_new_configuration_reaches_the_successor_through_the_old_process() {
    let play = upgradable(30_000, &[]);
    let mut engine = play.rig.engine();
    let mut edge = play.rig.edge();
    edge.send(ask(1, "transcript-search", b"", &[]));
    assert!(engine.message().starts_with("RUN"));
    let mut tool = play.upgrade_to("took_over");
    let (new_engine, at_engine) = bind();
    let text = std::fs::read_to_string(&play.rig.config).expect("a file");
    let old = play.rig.engine.local_addr().expect("one").to_string();
    std::fs::write(&play.rig.config, text.replace(&old, &at_engine)).expect("a file");
    play.rig.signal("HUP");
    let mut engine = Peer::accept(&new_engine);
    assert_eq!(engine.message(), "ATTACH 0");
    engine.send(format!(
        "HELLO WARM 9000\r\nDONE 1 {} OK 9 4\r\nfine\r\n",
        id(1)
    ));
    assert!(edge.answer().ends_with("200 OK||fine"));
    tool.kill().and_then(|()| tool.wait()).expect("its end");
}

#[test]
fn a_reader_who_stands_still_gets_everything_from_the_successor() {
    let play = upgradable(300, &[("\"Cores\": 2", "\"Cores\": 60")]);
    let (engine, mut slow) = (play.rig.engine(), play.rig.edge());
    let result = "r".repeat(4000);
    let answered = serve_all(engine, &result);
    let sent = ask_until_stalled(&mut slow, &answered);
    assert!(play.upgrade_to("done").wait().expect("an end").success());
    let mut tags = Vec::new();
    for _ in 0..sent {
        let answer = slow.answer();
        assert!(
            answer.ends_with(&result) || answer.ends_with("ended with status 2"),
            "{answer:.100}"
        );
        tags.push(answer.split(' ').next().unwrap_or("").to_owned());
    }
    tags.sort();
    tags.dedup();
    assert_eq!(tags.len(), sent);
}

#[test]
fn the_command_line_says_what_it_did() {
    let run = |words: &[&str]| {
        Command::new(PROGRAM)
            .args(words)
            .env_remove("PROXY_CONFIG")
            .output()
            .expect("it runs")
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    // Files.
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let operator = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.json5");
    let good = run(&["check", "--config", config, "--operator", operator]);
    assert!(
        good.status.success() && text(&good.stdout).matches("can be used").count() == 2,
        "{good:?}"
    );
    let bad = run(&["check", "--operator", config, "--json"]);
    assert_eq!(bad.status.code(), Some(1));
    assert!(
        text(&bad.stdout).contains("unknown field `name`"),
        "{}",
        text(&bad.stdout)
    );
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["dance"]).status.code(), Some(2));
    assert_eq!(
        run(&["check", "--schema"]).stdout,
        include_bytes!("../../../deploy/operator.schema.json")
    );
    assert!(text(&run(&["completions", "bash"]).stdout).contains("complete"));
    assert!(text(&run(&["upgrade", "--help"]).stdout).contains("Example"));
    let alone = run(&[]);
    assert_eq!(
        (alone.status.code(), text(&alone.stderr).as_str()),
        (
            Some(1),
            "merlinshelf: PROXY_CONFIG names no configuration\n"
        )
    );
    // An instance.
    let nobody = run(&["status", "--control", "/nowhere/control", "--json"]);
    assert!(nobody.status.code() == Some(1) && text(&nobody.stdout).contains("failed"));
    let mut play = upgradable(300, &[("\"stop_ms\": 3200", "\"stop_ms\": 600")]);
    let _engine = play.rig.engine();
    let page = text(&play.told(&["status"]).stdout);
    assert!(
        page.contains("state: serving\n") && page.contains("  stats: "),
        "{page}"
    );
    // A second one does not take its socket away.
    let operator = play.folder.join("operator.json5");
    let second = Command::new(PROGRAM)
        .args(["serve", "--operator"])
        .arg(&operator)
        .env("PROXY_CONFIG", &play.rig.config)
        .output()
        .expect("it runs");
    assert!(
        second.status.code() == Some(1) && text(&second.stderr).contains("another process listens"),
        "{second:?}"
    );
    let drained = play.told(&["drain", "--wait"]);
    assert!(
        drained.status.success() && text(&drained.stdout).ends_with("it has left\n"),
        "{drained:?}"
    );
    assert!(play.rig.end().0.success());
}

#[test]
fn logs_are_lines_of_json_where_the_operators_ask_for_them() {
    let play = upgradable(300, &[]);
    let operator = play.folder.join("operator.json5");
    std::fs::write(&operator, "{ log: { format: 'json' } }").expect("a file");
    let variables = [("MERLINSHELF_OPERATOR", operator.to_str().expect("text"))];
    let mut rig = Rig::with(
        PROGRAM,
        1024,
        &[("\"stop_ms\": 3200", "\"stop_ms\": 300")],
        &variables,
    );
    let _engine = rig.engine();
    rig.signal("TERM");
    let (status, log) = rig.end();
    assert!(status.success());
    for line in log.lines() {
        let line: serde_json::Value =
            serde_json::from_str(line).unwrap_or_else(|why| panic!("{why}: {line}"));
        assert!(
            line["time"].is_number() && line["text"].is_string() && line["part"].is_string(),
            "{line}"
        );
    }
    assert!(
        log.contains("\"text\":\"drain started: 0 invocations in flight"),
        "{log}"
    );
}
