//! Upgrades checked message by message: what the predecessor began continues in the successor, on
//! the same connections. Also tests of the command line itself.

use std::fmt::Write as _;
use std::process::Command;
use std::time::Instant;

use insta::assert_snapshot;
use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::script::{
    Peer, ProgramUnderTest, TIMEOUT, Upgradable, UpgradableOptions, complete_all_runs,
    send_until_stalled,
};
use merlinshelf_testbed::wire::{fastcgi_invocation, invocation_id};
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

fn start_upgradable(watched_ms: u64, changes: &[(&str, &str)]) -> Upgradable {
    start_upgradable_with_fault(watched_ms, changes, "")
}

/// The same, with a fault injected at one of the injection points.
fn start_upgradable_with_fault(
    watched_ms: u64,
    changes: &[(&str, &str)],
    fault: &str,
) -> Upgradable {
    Upgradable::start(&UpgradableOptions {
        program: PROGRAM,
        watched_ms,
        config_changes: changes,
        fault,
        operator_sections: "",
    })
}

#[test]
fn invocations_in_flight_continue_in_the_successor() {
    let mut instance = start_upgradable(
        300,
        &[
            ("\"Cores\": 2", "\"Cores\": 60"),
            ("\"CallShare\": 6.25", "\"CallShare\": 60"),
        ],
    );
    let mut engine = instance.rig.accept_engine();
    let (mut half, mut running, mut calling, mut full) = (
        instance.rig.connect_edge(),
        instance.rig.connect_edge(),
        instance.rig.connect_edge(),
        instance.rig.connect_edge(),
    );
    let mut trace = String::new();
    // A partial request, a running invocation, one in a downstream call, and 32 on one connection.
    let bytes = fastcgi_invocation(1, "transcript-search", b"first", &[]);
    half.send(&bytes[..bytes.len() / 2]);
    running.send(fastcgi_invocation(2, "transcript-search", b"second", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    calling.send(fastcgi_invocation(3, "thumbnail", b"third", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!("NEED 1 {} 4\r\nmore\r\n", invocation_id(3)));
    let mut catalogue = Peer::accept(&instance.rig.catalogue_listener);
    assert!(
        catalogue
            .next_message()
            .starts_with(&format!("invoke {}", invocation_id(3)))
    );
    catalogue.send(format!("{} ok 5\r\nre", invocation_id(3))); // half of the reply
    for tag in 100..132 {
        full.send(fastcgi_invocation(tag, "transcript-search", b"", &[]));
    }
    let runs: Vec<String> = (0..32).map(|_| engine.next_message()).collect();
    assert!(runs.iter().all(|run| run.starts_with("RUN 00000000000000")));
    let before = instance.status()["process"].as_u64();

    assert!(
        instance
            .start_upgrade_until("done")
            .wait()
            .expect("an end")
            .success()
    );
    let until = Instant::now() + TIMEOUT;
    while instance.rig.child.try_wait().expect("a child").is_none() {
        assert!(Instant::now() < until, "the old process does not end");
    }
    let status = instance.status();
    assert_ne!(status["process"].as_u64(), before);
    assert_eq!(
        (status["in_hand"].as_u64(), status["connections"].as_u64()),
        (Some(34), Some(4))
    );

    // Everything continues where it was, on the same connections and the same link.
    half.send(&bytes[bytes.len() / 2..]);
    let _ = writeln!(trace, "{}", engine.next_message());
    catalogue.send("ply\r\n");
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!(
        "DONE 2 {} OK 9 3\r\none\r\nDONE 3 {} OK 9 5\r\nthree\r\n",
        invocation_id(1),
        invocation_id(3)
    ));
    engine.send(format!("DONE 4 {} OK 9 3\r\ntwo\r\n", invocation_id(2)));
    let _ = writeln!(
        trace,
        "{}\n{}\n{}",
        half.next_answer(),
        running.next_answer(),
        calling.next_answer()
    );
    for (number, tag) in (5..).zip((100..132).rev()) {
        engine.send(format!(
            "DONE {number} {} OK 9 4\r\nfine\r\n",
            invocation_id(tag)
        ));
    }
    let mut answers: Vec<String> = (0..32).map(|_| full.next_answer()).collect();
    answers.sort();
    answers.dedup();
    assert!(
        answers.len() == 32
            && answers
                .iter()
                .all(|answer| answer.ends_with("200 OK||fine")),
        "{answers:?}"
    );
    assert!(
        instance.rig.engine_listener.accept().is_err(),
        "a new link was made"
    );
    let counters = instance.status()["counters"].clone();
    let _ = writeln!(
        trace,
        "{} {} {}",
        counters["invocations"], counters["succeeded"], counters["engine_links"]
    );
    assert_snapshot!(trace);
}

#[test]
fn a_link_replaced_during_probation_is_returned_with_its_sequence_number() {
    let instance = start_upgradable(30_000, &[]);
    let (mut engine, mut first, mut second) = (
        instance.rig.accept_engine(),
        instance.rig.connect_edge(),
        instance.rig.connect_edge(),
    );
    first.send(fastcgi_invocation(1, "transcript-search", b"one", &[]));
    let mut trace = engine.next_message() + "\n";
    let mut command = instance.start_upgrade_until("took_over");
    engine.send(format!("DONE 1 {} OK 9 3\r\none\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", first.next_answer());
    // The link breaks, and the successor opens a new one.
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&instance.rig.engine_listener);
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send("HELLO WARM 9000\r\n");
    engine.answer_stats(2);
    second.send(fastcgi_invocation(2, "transcript-search", b"two", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.answer_stats(2);
    signal(instance.serving_process(), Signal::KILL);
    assert_eq!(command.wait().expect("an end").code(), Some(1));
    // The predecessor continues on the successor's link and repeats nothing.
    engine.answer_stats(3);
    engine.send(format!("DONE 2 {} OK 9 3\r\ntwo\r\n", invocation_id(2)));
    let _ = writeln!(trace, "{}", second.next_answer());
    assert_eq!(
        instance.status()["process"].as_u64(),
        Some(instance.rig.child.id().into())
    );
    // When that link breaks too, the predecessor resumes at the last sequence number that the
    // successor recorded, or a later one.
    first.send(fastcgi_invocation(3, "transcript-search", b"three", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&instance.rig.engine_listener);
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!(
        "HELLO WARM 9100\r\nDONE 3 {} OK 9 5\r\nthree\r\n",
        invocation_id(3)
    ));
    let _ = writeln!(trace, "{}", first.next_answer());
    assert_snapshot!(trace);
}

#[test]
fn a_link_that_breaks_during_the_freeze_resumes_at_its_sequence_number() {
    let instance = start_upgradable_with_fault(300, &[], "successor.restored:1:pause");
    let (mut engine, mut edge) = (instance.rig.accept_engine(), instance.rig.connect_edge());
    edge.send(fastcgi_invocation(1, "transcript-search", b"one", &[]));
    let mut trace = engine.next_message() + "\n";
    engine.send(format!("DONE 1 {} OK 9 3\r\none\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", edge.next_answer());
    edge.send(fastcgi_invocation(2, "transcript-search", b"two", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.answer_stats(2);
    let mut command = instance.start_upgrade_until("ready");
    // Neither process reads for half a second.
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&instance.rig.engine_listener);
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!(
        "HELLO WARM 9000\r\nDONE 2 {} OK 9 3\r\ntwo\r\n",
        invocation_id(2)
    ));
    let _ = writeln!(trace, "{}", edge.next_answer());
    engine.answer_stats(3); // gauge queries only, and no second RUN
    assert!(command.wait().expect("an end").success());
    assert_snapshot!(trace);
}

#[test]
fn a_handover_at_the_connection_limit_keeps_the_connection_that_waits() {
    let instance = start_upgradable(300, &[("\"sockets\": 1024", "\"sockets\": 64")]);
    let mut engine = instance.rig.accept_engine();
    let mut busy: Vec<Peer> = (0..32).map(|_| instance.rig.connect_edge()).collect();
    (1..)
        .zip(&mut busy)
        .for_each(|(tag, edge)| edge.send(fastcgi_invocation(tag, "transcript-search", b"", &[])));
    let mut waiting = instance.rig.connect_edge();
    waiting.send(fastcgi_invocation(
        99,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live")],
    ));
    let run = engine.next_message();
    instance
        .rig
        .wait_for_log("all 32 connections are in use", 1);
    let first = u16::from_str_radix(&run[4..20], 16).expect("an id");
    let answered = &mut busy[usize::from(first) - 1];
    let mut command = instance.start_upgrade_until("took_over");
    assert_eq!(instance.status()["connections"], 32);
    // Once one connection is answered, it can be closed in favour of the waiting one.
    engine.send(format!(
        "DONE 1 {} OK 9 4\r\nfine\r\n",
        invocation_id(first)
    ));
    assert!(answered.next_answer().ends_with("fine"));
    std::thread::spawn(move || while !engine.next_message().is_empty() {});
    assert!(waiting.next_answer().starts_with("99 200"));
    assert_eq!(answered.next_answer(), "closed");
    assert!(command.wait().expect("an end").success());
}

#[test]
fn a_stalled_reader_receives_every_answer_from_the_successor() {
    let instance = start_upgradable(300, &[("\"Cores\": 2", "\"Cores\": 60")]);
    let (engine, mut slow) = (instance.rig.accept_engine(), instance.rig.connect_edge());
    let result = "r".repeat(4000);
    let answered = complete_all_runs(engine, &result);
    let sent = send_until_stalled(&mut slow, &answered);
    assert!(
        instance
            .start_upgrade_until("done")
            .wait()
            .expect("an end")
            .success()
    );
    let mut tags = Vec::new();
    for _ in 0..sent {
        let answer = slow.next_answer();
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
fn commands_report_their_results() {
    let run = |arguments: &[&str]| {
        Command::new(PROGRAM)
            .args(arguments)
            .env_remove("PROXY_CONFIG")
            .output()
            .expect("the output")
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    // Commands about files.
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let operator = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.json5");
    let valid = run(&["check", "--config", config, "--operator", operator]);
    assert!(
        valid.status.success() && text(&valid.stdout).matches(": valid").count() == 2,
        "{valid:?}"
    );
    let invalid = run(&["check", "--operator", config, "--json"]);
    assert_eq!(invalid.status.code(), Some(1));
    assert!(
        text(&invalid.stdout).contains("unknown field `name`"),
        "{}",
        text(&invalid.stdout)
    );
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["dance"]).status.code(), Some(2));
    assert_eq!(
        run(&["check", "--schema"]).stdout,
        include_bytes!("../../../deploy/operator.schema.json")
    );
    assert!(text(&run(&["completions", "bash"]).stdout).contains("complete"));
    assert!(text(&run(&["upgrade", "--help"]).stdout).contains("Example"));
    let without_arguments = run(&[]);
    assert_eq!(
        (
            without_arguments.status.code(),
            text(&without_arguments.stderr).as_str()
        ),
        (
            Some(1),
            "merlinshelf: PROXY_CONFIG names no configuration\n"
        )
    );
    // Commands about an instance.
    let unreachable = run(&["status", "--control", "/nowhere/control", "--json"]);
    assert!(unreachable.status.code() == Some(1) && text(&unreachable.stdout).contains("failed"));
    let mut instance = start_upgradable(300, &[("\"stop_ms\": 3200", "\"stop_ms\": 600")]);
    let _engine = instance.rig.accept_engine();
    let status = text(&instance.run(&["status"]).stdout);
    assert!(
        status.contains("state: serving\n") && status.contains("  stats: "),
        "{status}"
    );
    // A second instance does not take over the control socket.
    let operator = instance.operator_file();
    let second = Command::new(PROGRAM)
        .args(["serve", "--operator"])
        .arg(&operator)
        .env("PROXY_CONFIG", &instance.rig.config)
        .output()
        .expect("the output");
    assert!(
        second.status.code() == Some(1) && text(&second.stderr).contains("another process listens"),
        "{second:?}"
    );
    let drained = instance.run(&["drain", "--wait"]);
    assert!(
        drained.status.success() && text(&drained.stdout).ends_with("the instance has stopped\n"),
        "{drained:?}"
    );
    assert!(instance.rig.wait_for_exit().0.success());
}

#[test]
fn json_log_format_writes_one_object_per_line() {
    let instance = start_upgradable(300, &[]);
    let operator = instance.operator_file();
    std::fs::write(&operator, "{ log: { format: 'json' } }").expect("a file");
    let variables = [("MERLINSHELF_OPERATOR", operator.to_str().expect("text"))];
    let mut rig = ProgramUnderTest::start_with_env(
        PROGRAM,
        1024,
        &[("\"stop_ms\": 3200", "\"stop_ms\": 300")],
        &variables,
    );
    let _engine = rig.accept_engine();
    rig.signal("TERM");
    let (status, log) = rig.wait_for_exit();
    assert!(status.success());
    for line in log.lines() {
        let line: serde_json::Value =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}"));
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
