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
