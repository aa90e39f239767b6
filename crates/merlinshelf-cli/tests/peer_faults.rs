//! The real program while its peers misbehave: links that break, clients that write slowly, flood or leave.

use std::time::Instant;

use merlinshelf_testbed::script::{Peer, ProgramUnderTest, millis};
use merlinshelf_testbed::wire::{fastcgi_invocation, invocation_id};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Breaks the engine's link by an invalid line, and answers ATTACH on the next one. `started` is when the engine had been up for
/// 5 s.
fn break_engine_link(rig: &ProgramUnderTest, mut engine: Peer, started: Instant) -> Peer {
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&rig.engine_listener);
    assert!(engine.next_message().starts_with("ATTACH"));
    let uptime_ms = 5000 + started.elapsed().as_millis();
    engine.send(format!("HELLO WARM {uptime_ms}\r\n"));
    engine
}

/// Expects that the run of an invocation is started within two seconds.
fn expect_run(engine: &mut Peer, tag: u16) {
    let run = format!("RUN {} ", invocation_id(tag));
    let until = Instant::now() + millis(2000);
    let mut seen = Vec::new();
    while Instant::now() < until && !seen.iter().any(|line: &String| line.starts_with(&run)) {
        seen.extend(engine.answer_stats_for(millis(10)));
    }
    assert!(Instant::now() < until, "{run}: {seen:?}");
}

/// Guards against a core that is lost for good with a run that the engine read and lost.
#[test]
fn a_run_that_the_engine_read_just_before_its_link_broke_is_sent_again() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let started = Instant::now();
    for tag in 1..=8 {
        edge.send(fastcgi_invocation(tag, "transcript-search", b"body", &[]));
        let run = engine.next_message();
        assert!(run.starts_with("RUN"), "{run}");
        // Gauges are answered up to the break: commands of the last 50 ms may be lost all the same.
        engine.answer_stats_for(millis(35));
        engine = break_engine_link(&rig, engine, started);
        let seen = engine.answer_stats_for(millis(300));
        assert!(
            seen.iter()
                .any(|line| line.starts_with("RUN ") && run.starts_with(line)),
            "{seen:?}"
        );
        engine.send(format!(
            "DONE {tag} {} OK 1 4\r\nfine\r\n",
            invocation_id(tag)
        ));
        assert!(edge.next_answer().ends_with("fine"));
    }
    // A run that the link outlived by more than that is not lost.
    edge.send(fastcgi_invocation(9, "transcript-search", b"body", &[]));
    assert!(engine.next_message().starts_with("RUN"));
    engine.answer_stats_for(millis(200));
    engine = break_engine_link(&rig, engine, started);
    let seen = engine.answer_stats_for(millis(200));
    assert!(seen.is_empty(), "{seen:?}");
}

/// Guards against requests that are lost since a slow one beside them ended the reading of their connection.
#[test]
fn requests_beside_a_slow_one_on_a_connection_are_all_answered() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let slow = fastcgi_invocation(1, "transcript-search", &[b'p'; 200], &[]);
    let (begin, end) = slow.split_at(slow.len() - 8);
    edge.send(begin);
    engine.answer_stats_for(millis(1300));
    // Another request is in flight while the slow one times out.
    edge.send(fastcgi_invocation(2, "transcript-search", b"", &[]));
    expect_run(&mut engine, 2);
    engine.answer_stats_for(millis(500));
    assert!(edge.next_answer().starts_with("1 408"));
    edge.send(fastcgi_invocation(3, "transcript-search", b"", &[]));
    expect_run(&mut engine, 3);
    for (number, tag) in [(1, 3), (2, 2)] {
        engine.send(format!(
            "DONE {number} {} OK 1 4\r\nfine\r\n",
            invocation_id(tag)
        ));
        assert!(edge.next_answer().starts_with(&format!("{tag} 200")));
    }
    // The connection stays open for its edge node, and the end of the slow request is skipped.
    edge.send(end);
    edge.send(fastcgi_invocation(4, "transcript-search", b"", &[]));
    expect_run(&mut engine, 4);
}

/// Guards against requests that are lost since unsound ones beside them ended the reading of their connection.
#[test]
fn requests_beside_unsound_ones_on_a_connection_are_all_answered() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    expect_run(&mut engine, 1);
    for tag in 2..=25 {
        edge.send(fastcgi_invocation(tag, "no-such", b"", &[]));
    }
    edge.send(fastcgi_invocation(26, "transcript-search", b"", &[]));
    expect_run(&mut engine, 26);
    for tag in 2..=25 {
        assert!(edge.next_answer().starts_with(&format!("{tag} 404")));
    }
    for (number, tag) in [(1, 26), (2, 1)] {
        engine.send(format!(
            "DONE {number} {} OK 1 4\r\nfine\r\n",
            invocation_id(tag)
        ));
        assert!(edge.next_answer().starts_with(&format!("{tag} 200")));
    }
}
