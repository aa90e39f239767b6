//! Upgrades in which something is suspended, dies, restarts or is notified at a stage of the handover.

use std::process::Child;
use std::time::{Duration, Instant};

use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::script::{
    Peer, TIMEOUT, Upgradable, UpgradableOptions, bind_loopback, millis,
};
use merlinshelf_testbed::wire::{fastcgi_invocation, invocation_id};
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");
/// Longer than a successor waits for a predecessor that is suspended.
const DETACH_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the caller waits, which is the default of `fastcgi_invocation`.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

fn start_upgradable(watched_ms: u64) -> Upgradable {
    Upgradable::start(&UpgradableOptions {
        program: PROGRAM,
        watched_ms,
        ..UpgradableOptions::default()
    })
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
    let instance = start_upgradable(300);
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
    let instance = start_upgradable(30_000);
    let (mut engine, mut edge) = (instance.rig.accept_engine(), instance.rig.connect_edge());
    run_once(&mut engine, &mut edge, 1);
    let mut command = instance.start_upgrade_until("took_over");
    run_once(&mut engine, &mut edge, 2);
    signal(instance.serving_process(), Signal::KILL);
    assert_eq!(command.wait().expect("an end").code(), Some(1));
    expect_rejections(&mut engine, &mut edge, &[1, 2]);
    run_once(&mut engine, &mut edge, 3);
}

/// Guards against a take-back without an admission controller: the engine came up after the freeze,
/// so that the frozen state knows nothing of it.
#[test]
fn a_predecessor_that_takes_back_knows_an_engine_that_came_up_meanwhile() {
    let instance = start_upgradable(30_000);
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
    let instance = start_upgradable(30_000);
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

/// Guards against a successor that stops answering on new connections while its predecessor is
/// suspended and takes no descriptors.
#[test]
fn new_connections_are_served_while_the_predecessor_is_suspended() {
    let instance = start_upgradable(500);
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

/// Guards against a predecessor that is resumed after a suspension and kills the successor, which has
/// gone on alone.
#[test]
fn a_predecessor_that_is_resumed_takes_nothing_back_from_a_detached_successor() {
    let instance = start_upgradable(500);
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
    let instance = start_upgradable(700);
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
    let instance = start_upgradable(30_000);
    let engine = instance.rig.accept_engine();
    expect_reload_in_an_upgrade(&instance, engine);
}

/// Guards against a reload that reaches nobody, as above.
#[test]
fn a_configuration_reloaded_during_a_second_upgrade_reaches_the_successor() {
    let instance = start_upgradable(700);
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
