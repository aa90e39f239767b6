//! Upgrades checked message by message: what the predecessor began continues in the successor, on
//! the same connections. Also tests of the command line itself.

use std::fmt::Write as _;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::script::{
    Peer, ProgramUnderTest, TIMEOUT, Upgradable, UpgradableOptions, bind_loopback,
    complete_all_runs, millis, send_until_stalled,
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

/// Runs an invocation to its end.
fn run_once(engine: &mut Peer, edge: &mut Peer, tag: u16) {
    edge.send(fastcgi_invocation(tag, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN "));
    engine.send(format!(
        "DONE {tag} {} OK 9 4\r\nfine\r\n",
        invocation_id(tag)
    ));
    assert!(edge.next_answer().ends_with("fine"));
}

/// Asserts that ids that were run are rejected and not sent to the engine.
fn expect_rejections(engine: &mut Peer, edge: &mut Peer, tags: &[u16]) {
    for tag in tags {
        edge.send(fastcgi_invocation(*tag, "transcript-search", b"", &[]));
        let seen = engine.answer_stats_for(millis(100));
        assert!(seen.is_empty(), "{seen:?}");
        let answer = edge.next_answer();
        assert!(answer.starts_with(&format!("{tag} 400")), "{answer}");
    }
}

/// Guards against an id that is run twice, before an upgrade and after it.
#[test]
fn ids_that_were_run_before_an_upgrade_are_not_run_again() {
    let instance = start_upgradable(300, &[]);
    let (mut engine, mut edge) = (instance.rig.accept_engine(), instance.rig.connect_edge());
    run_once(&mut engine, &mut edge, 1);
    instance.upgrade();
    run_once(&mut engine, &mut edge, 2);
    expect_rejections(&mut engine, &mut edge, &[1, 2]);
    instance.upgrade();
    expect_rejections(&mut engine, &mut edge, &[1, 2]);
}

/// Guards against an id that is run twice, by a successor that fails and by the predecessor.
#[test]
fn ids_that_were_run_by_a_failed_successor_are_not_run_again() {
    let instance = start_upgradable(30_000, &[]);
    let (mut engine, mut edge) = (instance.rig.accept_engine(), instance.rig.connect_edge());
    run_once(&mut engine, &mut edge, 1);
    let mut command = instance.start_upgrade_until("took_over");
    run_once(&mut engine, &mut edge, 2);
    signal(instance.serving_process(), Signal::KILL);
    assert_eq!(command.wait().expect("an end").code(), Some(1));
    expect_rejections(&mut engine, &mut edge, &[1, 2]);
    run_once(&mut engine, &mut edge, 3);
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

/// Guards against a take-back without an admission controller: the engine came up after the freeze,
/// so that the frozen state knows nothing of it.
#[test]
fn a_predecessor_that_takes_back_knows_an_engine_that_came_up_meanwhile() {
    let instance = start_upgradable(30_000, &[]);
    let mut engine = Peer::accept(&instance.rig.engine_listener);
    assert_eq!(engine.next_message(), "ATTACH 0");
    let mut command = instance.start_upgrade_until("took_over");
    engine.send("HELLO COLD 10\r\n");
    engine.answer_stats(5);
    let mut edge = instance.rig.connect_edge();
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN "));
    signal(instance.serving_process(), Signal::KILL);
    assert_eq!(command.wait().expect("an end").code(), Some(1));
    engine.send(format!("DONE 1 {} OK 9 4\r\nfine\r\n", invocation_id(1)));
    assert!(edge.next_answer().ends_with("fine"));
    run_once(&mut engine, &mut edge, 2);
}

/// Guards against a take-back with the runs and the state of an engine that was restarted since.
#[test]
fn a_predecessor_that_takes_back_knows_that_the_engine_was_restarted() {
    let instance = start_upgradable(30_000, &[]);
    let (mut engine, mut edge) = (instance.rig.accept_engine(), instance.rig.connect_edge());
    run_once(&mut engine, &mut edge, 1);
    let mut command = instance.start_upgrade_until("took_over");
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&instance.rig.engine_listener);
    assert!(engine.next_message().starts_with("ATTACH "));
    engine.send("HELLO COLD 10\r\n");
    engine.answer_stats(5);
    edge.send(fastcgi_invocation(2, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN "));
    signal(instance.serving_process(), Signal::KILL);
    assert_eq!(command.wait().expect("an end").code(), Some(1));
    engine.send(format!("DONE 1 {} OK 9 4\r\nfine\r\n", invocation_id(2)));
    assert!(edge.next_answer().ends_with("fine"));
}

/// Suspends the predecessor right after the take-over, until the successor serves alone. Returns the
/// client of the upgrade.
fn suspend_predecessor_until_detached(
    instance: &Upgradable,
    engine: &mut Peer,
    mut meanwhile: impl FnMut(&mut Peer),
) -> Child {
    let command = instance.start_upgrade_until("took_over");
    signal(instance.rig.child.id(), Signal::STOP);
    let until = Instant::now() + DETACH_TIMEOUT;
    while !instance.rig.log().contains("recording stopped") {
        assert!(Instant::now() < until, "the successor does not detach");
        meanwhile(engine);
    }
    command
}

/// Longer than a successor waits for a predecessor that is suspended.
const DETACH_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a successor that stops answering on new connections while its predecessor is
/// suspended and takes no descriptors.
#[test]
fn new_connections_are_served_while_the_predecessor_is_suspended() {
    let instance = start_upgradable(500, &[]);
    let mut engine = instance.rig.accept_engine();
    let mut tag = 0;
    let mut slowest = Duration::ZERO;
    let mut command = suspend_predecessor_until_detached(&instance, &mut engine, |engine| {
        tag += 1;
        let sent_at = Instant::now();
        run_once(engine, &mut instance.rig.connect_edge(), tag);
        slowest = slowest.max(sent_at.elapsed());
    });
    assert!(tag > 50, "{tag} connections");
    assert!(slowest < CALLER_PATIENCE, "answered after {slowest:?}");
    // Its end after it is resumed changes nothing.
    signal(instance.rig.child.id(), Signal::CONT);
    command.wait().expect("an end");
    run_once(&mut engine, &mut instance.rig.connect_edge(), tag + 1);
}

/// The default of `fastcgi_invocation`.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

/// Guards against a predecessor that is resumed after a suspension and kills the successor, which has
/// gone on alone.
#[test]
fn a_predecessor_that_is_resumed_takes_nothing_back_from_a_detached_successor() {
    let instance = start_upgradable(500, &[]);
    let mut engine = instance.rig.accept_engine();
    let mut command = suspend_predecessor_until_detached(&instance, &mut engine, |engine| {
        engine.answer_stats_for(millis(50));
    });
    let successor = instance.serving_process();
    let mut edge = instance.rig.connect_edge();
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN "));
    signal(instance.rig.child.id(), Signal::CONT);
    assert!(command.wait().expect("an end").success());
    engine.answer_stats_for(millis(300));
    engine.send(format!("DONE 1 {} OK 9 4\r\nfine\r\n", invocation_id(1)));
    assert!(edge.next_answer().ends_with("fine"));
    assert_eq!(instance.serving_process(), successor);
}

/// Guards against a notice that reaches nobody: a process that was itself started by an upgrade takes
/// it while it observes its own successor, and must pass it on.
#[test]
fn a_drain_during_a_second_upgrade_ends_the_successor() {
    let instance = start_upgradable(700, &[]);
    let _engine = instance.rig.accept_engine();
    instance.upgrade();
    let predecessor = instance.serving_process();
    let mut command = instance.start_upgrade_until("took_over");
    let successor = instance.serving_process();
    signal(predecessor, Signal::TERM);
    let until = Instant::now() + TIMEOUT;
    while has_process(predecessor) || has_process(successor) {
        assert!(Instant::now() < until, "the instance does not drain");
        std::thread::sleep(millis(10));
    }
    command
        .kill()
        .and_then(|()| command.wait())
        .expect("an end");
}

/// Whether a process runs; one that has ended and was not reaped does not.
fn has_process(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let state = status
        .rsplit(')')
        .next()
        .and_then(|rest| rest.trim_start().chars().next());
    state.is_some_and(|state| state != 'Z')
}

#[test]
fn a_configuration_reloaded_during_probation_reaches_the_successor() {
    let instance = start_upgradable(30_000, &[]);
    let engine = instance.rig.accept_engine();
    expect_reload_in_an_upgrade(&instance, engine);
}

/// Guards against a reload that reaches nobody, as above.
#[test]
fn a_configuration_reloaded_during_a_second_upgrade_reaches_the_successor() {
    let instance = start_upgradable(700, &[]);
    let engine = instance.rig.accept_engine();
    instance.upgrade();
    expect_reload_in_an_upgrade(&instance, engine);
}

/// Moves the engine's address during an upgrade, sends SIGHUP to the process that began it, and
/// expects the successor's link at the new address.
fn expect_reload_in_an_upgrade(instance: &Upgradable, mut engine: Peer) {
    let predecessor = instance.serving_process();
    let mut edge = instance.rig.connect_edge();
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN"));
    let mut command = instance.start_upgrade_until("took_over");
    let (new_engine, engine_address) = bind_loopback();
    let text = std::fs::read_to_string(&instance.rig.config).expect("a file");
    let old = instance
        .rig
        .engine_listener
        .local_addr()
        .expect("an address")
        .to_string();
    std::fs::write(&instance.rig.config, text.replace(&old, &engine_address)).expect("a file");
    signal(predecessor, Signal::HUP);
    let mut engine = Peer::accept(&new_engine);
    assert_eq!(engine.next_message(), "ATTACH 0");
    engine.send(format!(
        "HELLO WARM 9000\r\nDONE 1 {} OK 9 4\r\nfine\r\n",
        invocation_id(1)
    ));
    assert!(edge.next_answer().ends_with("200 OK||fine"));
    command
        .kill()
        .and_then(|()| command.wait())
        .expect("an end");
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
