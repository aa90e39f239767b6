//! The real program while its peers misbehave: links that break, clients that write slowly, flood or leave.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use merlinshelf_testbed::script::{Peer, ProgramUnderTest, complete_all_runs, millis};
use merlinshelf_testbed::wire::{fastcgi_invocation, fastcgi_record, invocation_id};

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

/// Guards against requests that are run although their client has reset the connection with them unread.
#[test]
fn requests_unread_when_their_client_left_are_not_run() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    // An answer that is not read turns the close into a reset.
    edge.send(fastcgi_invocation(1, "no-such", b"", &[]));
    sleep(millis(200));
    rig.signal("STOP");
    for tag in 2..=30 {
        edge.send(fastcgi_invocation(tag, "transcript-search", b"", &[]));
    }
    drop(edge);
    sleep(millis(50));
    rig.signal("CONT");
    let seen = engine.answer_stats_for(millis(500));
    assert!(seen.is_empty(), "{seen:?}");
}

/// Guards against a second run of an id that comes again after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_not_run_twice() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let request = fastcgi_invocation(1, "transcript-search", b"", &[]);
    edge.send(&request);
    expect_run(&mut engine, 1);
    drop(edge);
    let mut edge = rig.connect_edge();
    edge.send(&request);
    engine.answer_stats_for(millis(100));
    assert!(edge.next_answer().starts_with("1 400"));
    engine.send(format!("DONE 1 {} OK 1 4\r\nfine\r\n", invocation_id(1)));
    engine.answer_stats_for(millis(100));
    edge.send(&request);
    let seen = engine.answer_stats_for(millis(300));
    assert!(seen.is_empty(), "{seen:?}");
    assert!(edge.next_answer().starts_with("1 400"));
    // One that the engine did not start may come again.
    let request = fastcgi_invocation(2, "transcript-search", b"", &[]);
    let mut leaving = rig.connect_edge();
    leaving.send(&request);
    expect_run(&mut engine, 2);
    drop(leaving);
    engine.send(format!("DONE 2 {} MOOT 0 0\r\n\r\n", invocation_id(2)));
    engine.answer_stats_for(millis(100));
    edge.send(&request);
    expect_run(&mut engine, 2);
}

/// Guards against complete requests that are lost with the bytes after them that can't be parsed, or
/// with two requests under one number.
#[test]
fn requests_before_unparsable_bytes_on_a_connection_are_all_answered() {
    let begin_twice = fastcgi_record(1, 9, &[0, 1, 1, 0, 0, 0, 0, 0], 0).repeat(2);
    for (index, rest) in [vec![0xFF; 64], begin_twice].into_iter().enumerate() {
        let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
        let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
        let mut bytes = Vec::new();
        for tag in 1..=2 {
            bytes.extend(fastcgi_invocation(tag, "transcript-search", b"", &[]));
        }
        bytes.extend(rest);
        edge.send(bytes);
        expect_run(&mut engine, 2);
        engine.answer_stats_for(millis(400));
        engine.send(format!(
            "DONE 1 {} OK 9 4\r\nfine\r\nDONE 2 {} OK 9 4\r\nfine\r\n",
            invocation_id(1),
            invocation_id(2)
        ));
        let mut fine = 0;
        loop {
            let answer = edge.next_answer();
            if answer == "closed" {
                break;
            }
            fine += u32::from(answer.ends_with("fine"));
        }
        assert_eq!(fine, 2, "case {index}");
    }
}

/// Guards against a second RUN of an id that was answered before its client left: the engine passes
/// over it, so the caller would wait for its whole timeout while a core is held.
#[test]
fn an_id_that_was_answered_is_not_run_again_whether_or_not_its_client_left() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let request = fastcgi_invocation(1, "transcript-search", b"", &[]);
    edge.send(&request);
    expect_run(&mut engine, 1);
    engine.send(format!("DONE 1 {} OK 1 4\r\nfine\r\n", invocation_id(1)));
    assert!(edge.next_answer().ends_with("fine"));
    let mut expect_rejection = |edge: &mut Peer| {
        edge.send(&request);
        let seen = engine.answer_stats_for(millis(300));
        assert!(seen.is_empty(), "{seen:?}");
        assert!(edge.next_answer().starts_with("1 400"));
    };
    expect_rejection(&mut edge);
    drop(edge);
    expect_rejection(&mut rig.connect_edge());
}

/// Guards against a process that outgrows its memory limit with clients that never complete a request.
#[test]
fn clients_that_stop_within_a_request_leave_the_memory_within_its_limit() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[MEMORY_LIMIT]);
    let engine = rig.accept_engine();
    complete_all_runs(engine, "fine");
    let begin = fastcgi_record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0);
    let short_fields = fastcgi_record(4, 1, &[0; 4096], 0);
    let large_body = [
        &fastcgi_invocation(1, "transcript-search", b"", &[])[..],
        &fastcgi_record(5, 1, &[b'x'; 60_000], 0)[..40_000],
    ]
    .concat();
    let slow = fastcgi_invocation(1, "transcript-search", &[b'p'; 2000], &[]);
    let forms = [
        [begin, short_fields.clone(), short_fields].concat(),
        large_body,
        slow[..slow.len() - 100].to_vec(),
    ];
    let mut clients = Vec::new();
    for number in 0..600 {
        let mut client = rig.connect_edge();
        let _ = client.stream.write_all(&forms[number % forms.len()]);
        clients.push(client);
    }
    let mut edge = rig.connect_edge();
    for tag in 1..=20 {
        edge.send(fastcgi_invocation(
            1000 + tag,
            "transcript-search",
            b"",
            &[],
        ));
        assert!(edge.next_answer().ends_with("fine"));
        for client in &mut clients {
            let _ = client.stream.write_all(b"\0");
        }
        sleep(millis(100));
    }
    let peak_mb = peak_memory_kb(&rig) / 1024;
    println!("{peak_mb} MB");
    assert!(peak_mb < MEMORY_LIMIT_MB, "{peak_mb} MB");
}

/// Guards against a process that reads on, and serves nobody else, as long as a client sends what completes no request.
#[test]
fn a_flood_that_completes_no_request_affects_neither_others_nor_the_memory() {
    // Longer than the read timeout and the patience of the others together.
    check_others_during_flood(millis(7000), |_| fastcgi_record(2, 77, b"", 0));
}

#[test]
fn a_flood_of_unknown_names_affects_neither_others_nor_the_memory() {
    check_others_during_flood(millis(4000), |number| {
        fastcgi_invocation(1, &format!("no-such-{number}"), b"", &[])
    });
}

#[test]
fn a_flood_of_health_checks_affects_neither_others_nor_the_memory() {
    check_others_during_flood(millis(4000), |_| {
        fastcgi_invocation(1, "", b"", &[("SCRIPT_NAME", "/status/live")])
    });
}

#[test]
fn a_flood_by_ever_new_callers_affects_neither_others_nor_the_memory() {
    check_others_during_flood(millis(4000), |number| {
        let (id, caller) = (format!("{:016x}", 1_000_000 + number), number.to_string());
        let names = [("HTTP_X_CALL_ID", &id[..]), ("HTTP_X_SOURCE", &caller)];
        let tag = 1 + (number % 60_000) as u16;
        fastcgi_invocation(tag, "transcript-search", b"", &names)
    });
}

/// How long an edge node waits for an answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// The memory limit of a process whose memory is checked.
const MEMORY_LIMIT_MB: u64 = 32;
const MEMORY_LIMIT: (&str, &str) = ("\"memory_mb\": 192", "\"memory_mb\": 32");

/// Floods one connection for `time`, and expects that the requests of others are answered in their time.
fn check_others_during_flood(time: Duration, request: fn(u64) -> Vec<u8>) {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[MEMORY_LIMIT]);
    complete_all_runs(rig.accept_engine(), "fine");
    let flood = flood_for(&rig, time, request);
    let mut edge = rig.connect_edge();
    let (mut worst, until) = (Duration::ZERO, Instant::now() + time);
    for tag in (1..).take_while(|_| Instant::now() < until) {
        let (request, sent) = (
            fastcgi_invocation(tag, "transcript-search", b"", &[]),
            Instant::now(),
        );
        edge.send(&request);
        let mut answer = edge.next_answer();
        if answer == "closed" {
            // An idle connection may be closed; a request that crosses the close is sent once more.
            edge = rig.connect_edge();
            edge.send(&request);
            answer = edge.next_answer();
        }
        assert!(
            answer.ends_with("fine"),
            "{answer} after {:?}",
            sent.elapsed()
        );
        worst = worst.max(sent.elapsed());
        sleep(millis(100));
    }
    let count = flood.join().expect("the flood");
    let peak_mb = peak_memory_kb(&rig) / 1024;
    println!("{count} requests, {peak_mb} MB, worst answer after {worst:?}");
    assert!(worst < PATIENCE, "{worst:?}");
    assert!(
        peak_mb < MEMORY_LIMIT_MB,
        "{peak_mb} MB after {count} requests"
    );
}

/// Requests in one write of a flood, which keep the connection readable all the time.
const FLOOD_BATCH: u64 = 200;

/// Sends ever new requests at full speed on one connection, anew where it is closed, and reads what comes back; the number sent.
fn flood_for(
    rig: &ProgramUnderTest,
    time: Duration,
    request: fn(u64) -> Vec<u8>,
) -> JoinHandle<u64> {
    let address = rig.address.clone();
    std::thread::spawn(move || {
        let (until, mut number) = (Instant::now() + time, 0);
        while Instant::now() < until {
            let Ok(mut stream) = TcpStream::connect(&address) else {
                continue;
            };
            let mut answers = stream.try_clone().expect("a second handle");
            let reader =
                std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
            while Instant::now() < until {
                let batch: Vec<u8> = (number..number + FLOOD_BATCH).flat_map(request).collect();
                if stream.write_all(&batch).is_err() {
                    break;
                }
                number += FLOOD_BATCH;
            }
            let _ = stream.shutdown(Shutdown::Both);
            let _ = reader.join();
        }
        number
    })
}

fn peak_memory_kb(rig: &ProgramUnderTest) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", rig.child.id()));
    let status = status.expect("the process's status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let figure = line.and_then(|line| line.split_whitespace().next());
    figure
        .and_then(|figure| figure.parse().ok())
        .expect("the peak memory")
}
