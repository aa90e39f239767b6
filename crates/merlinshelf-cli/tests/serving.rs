//! The real program on loopback sockets and in real time, with the test playing the edge nodes, the
//! engine, the catalogue and the membership service.

use std::fmt::Write as _;
use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use merlinshelf_testbed::script::{
    Peer, ProgramUnderTest, TIMEOUT, bind_loopback, complete_all_runs, millis, send_until_stalled,
    spawn_program, write_config,
};
use merlinshelf_testbed::wire::{fastcgi_invocation, fastcgi_record, invocation_id, unix_ms};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

#[test]
fn interleaved_invocations_are_answered_in_completion_order_with_bodies_unchanged() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let mut trace = String::new();
    // The second request arrives byte by byte and is answered before the first.
    edge.send(fastcgi_invocation(
        1,
        "transcript-search",
        b"\0\xff\r\n",
        &[],
    ));
    let _ = writeln!(trace, "{}", engine.next_message());
    for byte in fastcgi_invocation(
        2,
        "transcript-search",
        b"",
        &[("HTTP_X_REPEAT", "1"), ("HTTP_X_ENTITY", "7f")],
    ) {
        edge.send([byte]);
        edge.stream.flush().expect("a stream");
    }
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!(
        "DONE 1 {} OK 12 6\r\n\r\n\0é\n\r\n",
        invocation_id(2)
    ));
    let _ = writeln!(trace, "{}", edge.next_answer());
    engine.send(format!(
        "NOTE 2 still here\r\nDONE 3 {} ERROR 12 0\r\n\r\n",
        invocation_id(1)
    ));
    let _ = writeln!(trace, "{}", edge.next_answer());
    let check = fastcgi_invocation(
        3,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live"), ("REQUEST_METHOD", "GET")],
    );
    edge.send(check);
    let _ = writeln!(trace, "{}", edge.next_answer());
    // A request whose deadline has passed is rejected at once, with the time after which to retry.
    let stamp = (unix_ms() - 4001).to_string();
    edge.send(fastcgi_invocation(
        4,
        "thumbnail",
        b"",
        &[("HTTP_X_QUEUE_START", &stamp), ("HTTP_X_REPEAT", "1")],
    ));
    let _ = writeln!(trace, "{}", edge.next_answer());
    assert_snapshot!(trace);
}

#[test]
fn malformed_requests_do_not_affect_other_requests() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let mut trace = String::new();
    edge.send(fastcgi_invocation(1, "transcript-search", b"good", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    let long = [b'x'; 2049];
    let cases = [
        fastcgi_invocation(2, "transcript-search", b"", &[("HTTP_X_CALL_ID", "")]),
        fastcgi_invocation(2, "transcript-search", b"", &[("HTTP_X_CALL_ID", "9b1f")]),
        fastcgi_invocation(
            2,
            "transcript-search",
            b"",
            &[("HTTP_X_QUEUE_START", "soon")],
        ),
        fastcgi_invocation(2, "transcript-search", b"", &[("HTTP_X_PATIENCE_MS", "")]),
        fastcgi_invocation(
            2,
            "transcript-search",
            b"",
            &[("HTTP_X_PATIENCE_MS", "1e300")],
        ),
        fastcgi_invocation(2, "transcript-search", b"", &[("HTTP_X_HEAP_KB", "nan")]),
        fastcgi_invocation(2, "transcript-search", b"", &[("HTTP_X_IMPORTANCE", "1")]),
        fastcgi_invocation(2, "transcript-search", b"", &[("HTTP_X_SOURCE", "-1")]),
        fastcgi_invocation(2, "transcript-search", b"abc", &[("CONTENT_LENGTH", "4")]),
        fastcgi_invocation(2, "transcript-search", b"", &[("REQUEST_METHOD", "PUT")]),
        fastcgi_invocation(
            2,
            "transcript-search",
            b"",
            &[("HTTP_X_CALL_ID", &invocation_id(1))],
        ),
        fastcgi_invocation(2, "transcript-search", b"", &[("X", &"y".repeat(5000))]),
        fastcgi_invocation(2, "transcript-search", &long, &[]),
        fastcgi_invocation(2, "thumbnails", b"", &[]),
        fastcgi_invocation(2, "", b"", &[("SCRIPT_NAME", "/")]),
        [
            fastcgi_record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
            fastcgi_record(5, 2, b"", 0),
        ]
        .concat(),
        [
            fastcgi_record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
            fastcgi_record(4, 2, b"\x05\x05a", 0),
        ]
        .concat(),
        [fastcgi_record(4, 2, b"", 0), fastcgi_record(5, 2, b"", 0)].concat(),
        fastcgi_record(1, 2, &[0, 2, 1, 0, 0, 0, 0, 0], 0),
        fastcgi_record(33, 0, b"odd", 0),
        fastcgi_record(9, 0, b"\x0f\0FCGI_MPXS_CONNS\x0d\0FCGI_MAX_REQS", 0),
        [
            fastcgi_invocation(2, "transcript-search", b"", &[]),
            fastcgi_record(2, 2, b"", 0),
        ]
        .concat(),
    ];
    // Ten on each connection: a connection is closed after too many faults.
    for cases in cases.chunks(10) {
        let mut faulty = rig.connect_edge();
        for bytes in cases {
            faulty.send(bytes);
            if !matches!(bytes[bytes.len() - 8..], [1, 4, ..]) && !bytes.ends_with(b"\x05\x05a") {
                let _ = writeln!(trace, "{}", faulty.next_answer());
            }
        }
    }
    // Bytes that are not FastCGI close only this connection, after every request read on it is
    // answered.
    let mut other = rig.connect_edge();
    edge.send("GET / HTTP/1.1\r\n\r\n");
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}\n{}", edge.next_answer(), edge.next_answer());
    other.send(fastcgi_invocation(9, "transcript-search", b"good", &[]));
    while !engine.next_message().starts_with("RUN 0000000000000009") {}
    engine.send(format!("DONE 2 {} OK 12 4\r\nfine\r\n", invocation_id(9)));
    let _ = writeln!(trace, "{}", other.next_answer());
    assert_snapshot!(trace);
}

#[test]
fn a_33rd_open_request_on_a_connection_is_rejected() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (_engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    // The requests are begun and not completed, so that none is admitted or rejected before the
    // limit is reached.
    let begin_records: Vec<u8> = (1..=33)
        .flat_map(|tag| fastcgi_record(1, tag, &[0, 1, 1, 0, 0, 0, 0, 0], 0))
        .collect();
    edge.send(begin_records);
    assert_eq!(edge.next_answer(), "33 ended with status 2");
}

#[test]
fn a_broken_engine_link_is_replaced_and_lost_runs_are_sent_again() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    edge.send(fastcgi_invocation(1, "transcript-search", b"first", &[]));
    let mut trace = engine.next_message() + "\n";
    engine.send(format!(
        "NOTE 9 ahead\r\nDONE 2 {} OK 12 3\r\none\r\n",
        invocation_id(1)
    ));
    let _ = writeln!(trace, "{}", edge.next_answer());
    // An invalid line breaks the link. Requests that arrive meanwhile wait, and a lost run is sent
    // again.
    let mut time_without_link = Duration::ZERO;
    for _ in 0..8 {
        engine.answer_stats_for(millis(60)); // a link that lasted longer than the reconnect delay is replaced at once
        engine.answer_stats(2);
        engine.send("WHAT\r\n");
        let broken_at = Instant::now();
        engine = Peer::accept(&rig.engine_listener);
        time_without_link += broken_at.elapsed();
        assert_eq!(engine.next_message(), "ATTACH 2");
        engine.send("HELLO WARM 6000\r\n");
    }
    assert!(
        time_without_link < millis(300),
        "without a link for {time_without_link:?}"
    );
    engine.answer_stats(2);
    edge.send(fastcgi_invocation(2, "transcript-search", b"second", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&rig.engine_listener);
    let _ = writeln!(trace, "{}", engine.next_message());
    edge.send(fastcgi_invocation(3, "transcript-search", b"third", &[]));
    rig.wait_for_counter("invocations", 3);
    engine.send("HELLO WARM 6000\r\n");
    engine.send(format!("DONE 2 {} OK 12 3\r\nbad\r\n", invocation_id(1)));
    let mut runs = [engine.next_message(), engine.next_message()];
    runs.sort();
    let _ = writeln!(trace, "{}", runs.join("\n"));
    engine.send(format!("DONE 3 {} OK 12 3\r\ntwo\r\n", invocation_id(2)));
    let _ = writeln!(trace, "{}", edge.next_answer());
    engine.send(format!("DONE 4 {} OK 12 5\r\nthree\r\n", invocation_id(3)));
    let _ = writeln!(trace, "{}", edge.next_answer());
    assert_snapshot!(trace);
}

#[test]
fn a_silent_engine_link_is_replaced() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let mut engine = rig.accept_engine();
    // From here on, neither gauge queries nor the next ATTACH are answered.
    let mut waits = Vec::new();
    for _ in 0..2 {
        let start = Instant::now();
        engine = Peer::accept(&rig.engine_listener);
        assert_eq!(engine.next_message(), "ATTACH 0");
        waits.push(start.elapsed().as_secs());
    }
    assert!(waits.iter().all(|wait| (2..=4).contains(wait)), "{waits:?}");
    engine.send("HELLO WARM 12000\r\n");
    let mut edge = rig.connect_edge();
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN"));
}

#[test]
fn downstream_calls_are_made_and_their_outcomes_distinguished() {
    let mut rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let mut trace = String::new();
    edge.send(fastcgi_invocation(1, "thumbnail", b"", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!("NEED 1 {} 3\r\na\0b\r\n", invocation_id(1)));
    let mut first = Peer::accept(&rig.catalogue_listener);
    let call = first.next_message();
    let _ = writeln!(trace, "{} ... {}", &call[..23], &call[call.len() - 8..]);
    first.send(format!("{} ok 5\r\n\r\n\0\r\n\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", engine.next_message());
    // A connection that breaks during a call leaves its outcome unknown. The call may be retried,
    // since all calls are idempotent.
    engine.send(format!("NEED 2 {} 3\r\ntwo\r\n", invocation_id(1)));
    let mut second = Peer::accept(&rig.catalogue_listener);
    let _ = writeln!(trace, "{}", &second.next_message()[..23]);
    second.send("what is this\r\n");
    let _ = writeln!(trace, "{:?}", second.read_line());
    // With connections refused, the call ends at once: it is skipped, or retried and refused again.
    rig.catalogue_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!("DONE 3 {} OK 90 2\r\nok\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", edge.next_answer());
    assert_snapshot!(trace);
}

#[test]
fn call_reply_statuses_are_counted_and_idle_catalogue_connections_closed() {
    let mut rig =
        ProgramUnderTest::start(PROGRAM, 1024, &[("\"stop_ms\": 3200", "\"stop_ms\": 400")]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let mut catalogue: Option<Peer> = None;
    for (number, status) in (1..).zip(["overload", "stale", "internal", "deadline"]) {
        edge.send(fastcgi_invocation(number, "thumbnail", b"", &[]));
        assert!(engine.next_message().starts_with("RUN"));
        engine.send(format!(
            "NEED {} {} 0\r\n\r\n",
            2 * number - 1,
            invocation_id(number)
        ));
        let connection = catalogue.get_or_insert_with(|| Peer::accept(&rig.catalogue_listener));
        assert!(
            connection
                .next_message()
                .starts_with(&format!("invoke {}", invocation_id(number)))
        );
        connection.send(format!("{} {status}\r\n", invocation_id(number)));
        let counter = ["calls_never_ran", "calls_failed"][usize::from(number > 2)];
        rig.wait_for_counter(
            counter,
            u64::from(if number > 2 { number - 2 } else { number }),
        );
        // The engine ends the run itself, whether or not the call is retried.
        engine.send(format!(
            "DONE {} {} OK 50 0\r\n\r\n",
            2 * number,
            invocation_id(number)
        ));
        assert!(edge.next_answer().contains("200 OK"));
    }
    // All calls used one connection. It is closed after a while of idleness: a server may drop an
    // idle connection, and a call sent on it would then have an unknown outcome.
    let (mut connection, idle_since) = (catalogue.expect("a connection"), Instant::now());
    while connection.stream.peek(&mut [0]).is_err() || connection.read_line().is_some() {
        engine.answer_stats_for(millis(20));
        assert!(
            idle_since.elapsed() < millis(2500),
            "the idle connection stays open"
        );
    }
    assert!(
        idle_since.elapsed() > millis(500),
        "the connection is closed too early to be reused"
    );
    rig.signal("TERM");
    let (_, log) = rig.wait_for_exit();
    let counts = log.lines().last().unwrap_or("");
    assert!(
        counts.contains(" calls_never_ran=2 calls_failed=2 calls_timed_out=0 "),
        "{counts}"
    );
}

#[test]
fn a_call_without_a_reply_times_out_and_its_connection_is_closed() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[("1700000", "1200000")]); // a latency objective of 1.2 s
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    edge.send(fastcgi_invocation(1, "thumbnail", b"", &[]));
    let mut trace = engine.next_message() + "\n";
    engine.send(format!("NEED 1 {} 3\r\none\r\n", invocation_id(1)));
    // Each attempt uses its own connection, which is closed when the attempt times out.
    let start = Instant::now();
    let mut connections: Vec<Peer> = Vec::new();
    for _ in 0..3 {
        connections.push(Peer::accept(&rig.catalogue_listener));
        let call = connections.last_mut().expect("a connection").next_message();
        let _ = writeln!(trace, "{} ... {}", &call[..23], &call[call.len() - 5..]);
    }
    let _ = writeln!(trace, "{}", engine.next_message());
    assert!(
        connections
            .iter_mut()
            .all(|connection| connection.read_line().is_none()),
        "a connection without a reply stays open"
    );
    assert!(
        start.elapsed() < millis(1600),
        "timed out after {:?}",
        start.elapsed()
    );
    // The run continues with its next call, which is skipped at once after three failed attempts.
    engine.send(format!("NEED 2 {} 3\r\ntwo\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!("DONE 3 {} OK 400 4\r\nfine\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", edge.next_answer());
    assert_snapshot!(trace);
}

#[test]
fn a_malformed_reply_fails_only_its_own_call() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[("\"Cores\": 2", "\"Cores\": 12")]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let mut start_call = |number: u16| {
        edge.send(fastcgi_invocation(number, "thumbnail", b"", &[]));
        assert!(engine.next_message().starts_with("RUN"));
        engine.send(format!("NEED {number} {} 0\r\n\r\n", invocation_id(number)));
        let mut connection = Peer::accept(&rig.catalogue_listener);
        assert!(
            connection
                .next_message()
                .starts_with(&format!("invoke {}", invocation_id(number)))
        );
        connection
    };
    let (mut good, mut bad, sent) = (start_call(1), start_call(2), Instant::now());
    bad.send("noise");
    assert_eq!(
        bad.read_line(),
        None,
        "the connection of a malformed reply stays open"
    );
    assert!(
        sent.elapsed() < millis(500),
        "closed after {:?}",
        sent.elapsed()
    );
    // The retry uses a new connection.
    let mut retry = Peer::accept(&rig.catalogue_listener);
    assert!(
        retry
            .next_message()
            .starts_with(&format!("invoke {}", invocation_id(2)))
    );
    // A reply with another id before the right one and a duplicate after it are ignored, and the
    // connection is not reused.
    good.send(format!(
        "{} ok 3\r\nbad\r\n{} ok 4\r\ngood\r\n",
        invocation_id(77),
        invocation_id(1)
    ));
    good.send(format!("{} ok 4\r\ngood\r\n", invocation_id(1)));
    assert_eq!(
        engine.next_message(),
        format!("FEED {} 4 good", invocation_id(1))
    );
    assert_eq!(
        good.read_line(),
        None,
        "a connection with more than its reply is reused"
    );
}

#[test]
fn a_reloaded_configuration_moves_calls_in_flight_to_the_new_addresses() {
    let mut rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    let mut members = Peer::accept(&rig.members_listener);
    assert_eq!(
        members.read_line().as_deref(),
        Some("PUT /members/n0 HTTP/1.1")
    );
    edge.send(fastcgi_invocation(1, "thumbnail", b"", &[]));
    let mut trace = engine.next_message() + "\n";
    engine.send(format!("NEED 1 {} 3\r\none\r\n", invocation_id(1)));
    let mut catalogue = Peer::accept(&rig.catalogue_listener);
    let _ = writeln!(trace, "{}", &catalogue.next_message()[..23]);
    let before = std::fs::read_to_string(&rig.config).expect("a file");
    // Invalid files change nothing.
    let unusable = [
        "",
        "{",
        &before.replace("members", "numbers"),
        &before.replace("\"Cores\": 2", "\"Cores\": []"),
    ];
    for (times, text) in (1..).zip(unusable) {
        std::fs::write(&rig.config, text).expect("a file");
        rig.signal("HUP");
        rig.wait_for_log("the old configuration stays in force", times);
    }
    std::fs::remove_file(&rig.config).expect("a file");
    rig.signal("HUP");
    rig.wait_for_log("the old configuration stays in force", unusable.len() + 1);
    // A valid file changes all three addresses at once; its changed name is ignored.
    let (new_engine, engine_address) = bind_loopback();
    let (new_catalogue, catalogue_address) = bind_loopback();
    let (new_members, members_address) = bind_loopback();
    let mut text = before.replace("\"n0\"", "\"n7\"");
    for (old, new) in [
        (&rig.engine_listener, engine_address),
        (&rig.catalogue_listener, catalogue_address),
        (&rig.members_listener, members_address),
    ] {
        text = text.replace(&old.local_addr().expect("an address").to_string(), &new);
    }
    std::fs::write(&rig.config, text).expect("a file");
    rig.signal("HUP");
    let mut engine = Peer::accept(&new_engine);
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send("HELLO WARM 7000\r\n");
    let _ = writeln!(trace, "{:?}", Peer::accept(&new_members).read_line());
    // The pending reply on the old connection is used, and the next call goes to the new address.
    catalogue.send(format!("{} ok 3\r\nold\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!("NEED 2 {} 3\r\ntwo\r\n", invocation_id(1)));
    let mut catalogue = Peer::accept(&new_catalogue);
    let _ = writeln!(trace, "{}", &catalogue.next_message()[..23]);
    catalogue.send(format!("{} ok 3\r\nnew\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", engine.next_message());
    engine.send(format!("DONE 3 {} OK 90 2\r\nok\r\n", invocation_id(1)));
    let _ = writeln!(trace, "{}", edge.next_answer());
    rig.signal("TERM");
    let (status, log) = rig.wait_for_exit();
    let logged = log.lines().filter(|line| line.contains("onfiguration"));
    let logged = logged.map(|line| line.split(' ').skip(1).collect::<Vec<_>>().join(" "));
    let logged = logged.map(|line| line.replace(&rig.config.display().to_string(), "FILE"));
    let logged = logged.map(|line| line.split(": engine").next().unwrap_or("").to_owned() + "\n");
    let _ = write!(trace, "{status}\n{}", logged.collect::<String>());
    assert_snapshot!(trace);
}

#[test]
fn only_idle_edge_connections_are_closed() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[("30000000", "600000")]); // connections are closed after a third of that
    let (mut engine, mut idle, mut edge) =
        (rig.accept_engine(), rig.connect_edge(), rig.connect_edge());
    let start = Instant::now();
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN"));
    let half = fastcgi_invocation(2, "transcript-search", b"", &[]);
    let mut reading = rig.connect_edge();
    reading.send(&half[..half.len() / 2]);
    assert_eq!(idle.next_answer(), "closed");
    assert!(
        start.elapsed() > millis(150),
        "closed after {:?}",
        start.elapsed()
    );
    engine.answer_stats_for(millis(500));
    reading.send(&half[half.len() / 2..]);
    assert!(engine.next_message().starts_with("RUN"));
    for (number, open) in [(1, &mut edge), (2, &mut reading)] {
        engine.send(format!(
            "DONE {number} {} OK 700 4\r\nfine\r\n",
            invocation_id(number)
        ));
        assert!(open.next_answer().ends_with("fine"));
        assert_eq!(open.next_answer(), "closed");
    }
}

#[test]
fn an_unanswered_membership_report_is_sent_again() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut first, sent) = (Peer::accept(&rig.members_listener), Instant::now());
    assert_eq!(
        first.read_line().as_deref(),
        Some("PUT /members/n0 HTTP/1.1")
    );
    let mut second = Peer::accept(&rig.members_listener);
    assert_eq!(
        second.read_line().as_deref(),
        Some("PUT /members/n0 HTTP/1.1")
    );
    assert!(
        sent.elapsed() < millis(1500),
        "sent again after {:?}",
        sent.elapsed()
    );
}

#[test]
fn a_slow_reader_does_not_delay_others_and_receives_every_answer() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[("\"Cores\": 2", "\"Cores\": 40")]);
    let (engine, mut slow, mut edge) =
        (rig.accept_engine(), rig.connect_edge(), rig.connect_edge());
    let result = "r".repeat(4096);
    let answered = complete_all_runs(engine, &result);
    let sent = send_until_stalled(&mut slow, &answered);
    let asked = Instant::now();
    edge.send(fastcgi_invocation(65535, "transcript-search", b"", &[]));
    assert!(edge.next_answer().ends_with(&result));
    assert!(
        asked.elapsed() < millis(500),
        "delayed for {:?}",
        asked.elapsed()
    );
    // Each request has exactly one complete answer; a few exceeded the limit of 32 open requests.
    let mut tags: Vec<String> = Vec::new();
    for _ in 0..sent {
        let answer = slow.next_answer();
        assert!(
            answer.ends_with(&result) || answer.ends_with("ended with status 2"),
            "{answer:.200}"
        );
        tags.push(answer.split(' ').next().unwrap_or("").into());
    }
    tags.sort();
    tags.dedup();
    assert_eq!(tags.len(), sent);
    // A connection whose answers are never read is closed eventually: further writes to it fail.
    let mut stalled = rig.connect_edge();
    stalled
        .stream
        .set_write_timeout(Some(millis(100)))
        .expect("a time-out");
    let start = Instant::now();
    for tag in (1..60_000).cycle() {
        let bytes = fastcgi_invocation(
            tag,
            "transcript-search",
            b"",
            &[("HTTP_X_PATIENCE_MS", "60000")],
        );
        match stalled.stream.write_all(&bytes) {
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
                ) =>
            {
                break;
            }
            _ => assert!(
                start.elapsed() < millis(20_000),
                "the stalled connection stays open"
            ),
        }
    }
}

#[test]
fn after_a_pause_of_the_process_only_late_invocations_fail() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.accept_engine(), rig.connect_edge());
    edge.send(fastcgi_invocation(
        1,
        "transcript-search",
        b"",
        &[("HTTP_X_PATIENCE_MS", "300")],
    ));
    assert!(engine.next_message().starts_with("RUN"));
    rig.signal("STOP");
    edge.send(fastcgi_invocation(
        2,
        "transcript-search",
        b"",
        &[("HTTP_X_PATIENCE_MS", "300")],
    ));
    sleep(millis(500));
    edge.send(fastcgi_invocation(3, "transcript-search", b"", &[]));
    rig.signal("CONT");
    // The late ones are answered at once, and the third is served as usual.
    let mut answers = [edge.next_answer(), edge.next_answer()];
    answers.sort();
    assert!(
        answers[0].starts_with("1 500") && answers[1].starts_with("2 503"),
        "{answers:?}"
    );
    while engine.next_message() != format!("RUN {} transcript-search 0 ", invocation_id(3)) {}
    engine.send(format!(
        "DONE 1 {} OK 700 4\r\nlate\r\nDONE 2 {} OK 12 4\r\nfine\r\n",
        invocation_id(1),
        invocation_id(3)
    ));
    assert!(edge.next_answer().ends_with("3 200 OK||fine"));
}

#[test]
fn requests_received_during_a_pause_are_read_before_connections_time_out() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    complete_all_runs(rig.accept_engine(), "fine");
    // Before the pause, one connection has sent nothing and the other a partial request. By the end
    // of the pause, both have sent complete requests.
    let (mut fresh, mut half) = (rig.connect_edge(), rig.connect_edge());
    let first = fastcgi_invocation(1, "transcript-search", b"", &[]);
    half.send(&first[..50]);
    sleep(millis(300));
    rig.signal("STOP");
    half.send(&first[50..]);
    (2..6).for_each(|tag| half.send(fastcgi_invocation(tag, "transcript-search", b"", &[])));
    (6..11).for_each(|tag| fresh.send(fastcgi_invocation(tag, "transcript-search", b"", &[])));
    sleep(millis(1800));
    rig.signal("CONT");
    for (edge, unused_tag) in [(&mut fresh, 12), (&mut half, 13)] {
        let answers: Vec<String> = (0..5).map(|_| edge.next_answer()).collect();
        // Rejected requests are answered too; no connection is closed with requests on it
        // unanswered.
        let is_complete = |answer: &String| answer.ends_with("fine") || answer.contains(" 503");
        assert!(answers.iter().all(is_complete), "{answers:?}");
        edge.send(fastcgi_invocation(
            unused_tag,
            "transcript-search",
            b"",
            &[],
        ));
        assert!(
            edge.next_answer().ends_with("fine"),
            "the next request is not served"
        );
    }
}

/// A request without its body, for the operation without downstream calls: its parameters are
/// complete.
fn without_body(tag: u16) -> Vec<u8> {
    let mut bytes = fastcgi_invocation(tag, "transcript-search", b"", &[]);
    bytes.truncate(bytes.len() - 8);
    bytes
}

#[test]
fn a_rejected_request_is_answered_before_it_is_complete() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    complete_all_runs(rig.accept_engine(), "fine");
    let (mut edge, sent) = (rig.connect_edge(), Instant::now());
    edge.send([without_body(1), fastcgi_record(5, 1, &[b'x'; 3000], 0)].concat());
    assert!(edge.next_answer().starts_with("1 413"));
    edge.send(
        [
            fastcgi_record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
            fastcgi_record(4, 2, &[b'y'; 5000], 0),
        ]
        .concat(),
    );
    assert!(edge.next_answer().starts_with("2 400"));
    assert!(
        sent.elapsed() < millis(500),
        "answered after {:?}",
        sent.elapsed()
    );
    // The rest of a rejected request is discarded, and the next one is served.
    edge.send(
        [
            fastcgi_record(5, 1, &[b'x'; 3000], 0),
            fastcgi_record(5, 1, b"", 0),
            fastcgi_record(4, 2, b"", 0),
        ]
        .concat(),
    );
    edge.send(fastcgi_invocation(3, "transcript-search", b"", &[]));
    assert!(edge.next_answer().ends_with("fine"));
    // The discarding has a limit, at which the connection is closed.
    let until = Instant::now() + TIMEOUT;
    while edge
        .stream
        .write_all(&fastcgi_record(5, 1, &[b'x'; 60_000], 0))
        .is_ok()
    {
        assert!(Instant::now() < until, "the connection stays open");
    }
}

#[test]
fn connections_that_never_complete_a_request_are_closed() {
    let rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    let mut engine = rig.accept_engine();
    let (mut silent, mut half, mut trickle, mut unknown) = (
        rig.connect_edge(),
        rig.connect_edge(),
        rig.connect_edge(),
        rig.connect_edge(),
    );
    let (mut active, opened) = (rig.connect_edge(), Instant::now());
    active.send(fastcgi_invocation(9, "transcript-search", b"", &[]));
    half.send(without_body(1));
    unknown.send(fastcgi_record(77, 5, &[0; 100], 0));
    let request = without_body(2);
    for byte in request.iter().cycle().take(60) {
        if trickle.stream.write_all(&[*byte]).is_err() {
            break;
        }
        engine.answer_stats_for(millis(30));
    }
    assert!(half.next_answer().starts_with("1 408") && trickle.next_answer().starts_with("2 408"));
    for (name, edge) in [
        ("half", &mut half),
        ("silent", &mut silent),
        ("trickle", &mut trickle),
        ("unknown", &mut unknown),
    ] {
        assert_eq!(edge.next_answer(), "closed", "{name}");
    }
    assert!(
        opened.elapsed() < millis(2600),
        "closed after {:?}",
        opened.elapsed()
    );
    // A connection with a request in flight or answered stays open.
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", invocation_id(9)));
    assert!(active.next_answer().ends_with("fine"));
    engine.answer_stats_for(millis(1700));
    active.send(fastcgi_invocation(10, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN 000000000000000a"));
}

#[test]
fn repeated_faults_on_one_connection_do_not_affect_others() {
    let mut rig =
        ProgramUnderTest::start(PROGRAM, 1024, &[("\"stop_ms\": 3200", "\"stop_ms\": 400")]);
    let (mut engine, mut faulty, mut edge) =
        (rig.accept_engine(), rig.connect_edge(), rig.connect_edge());
    // The engine does not know this invocation: the edge node is answered at once, and this counts
    // as a fault too.
    faulty.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN"));
    engine.send(format!("NO RUN {}\r\n", invocation_id(1)));
    let mut answers = vec![faulty.next_answer()];
    let invalid = fastcgi_invocation(1, "no-such", b"", &[]);
    let start = Instant::now();
    while answers.len() < 100 && faulty.stream.write_all(&invalid).is_ok() {
        answers.push(faulty.next_answer());
        if answers.last().is_some_and(|answer| answer == "closed") {
            break;
        }
    }
    assert_eq!(
        answers
            .iter()
            .filter(|answer| answer.starts_with("1 404"))
            .count(),
        16,
        "{answers:?}"
    );
    assert!(
        start.elapsed() > millis(300),
        "the faulty connection is not slowed down"
    );
    for _ in 0..3 {
        let mut flood = rig.connect_edge();
        let _ = flood.stream.write_all(&invalid.repeat(300));
    }
    edge.send(fastcgi_invocation(2, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN 0000000000000002"));
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", invocation_id(2)));
    assert!(edge.next_answer().ends_with("fine"));
    rig.signal("TERM");
    let (_, log) = rig.wait_for_exit();
    assert!(
        log.lines()
            .filter(|line| line.contains("turned down"))
            .count()
            <= 60,
        "{log}"
    );
}

#[test]
fn a_new_connection_replaces_the_longest_idle_one_when_all_are_in_use() {
    let rig = ProgramUnderTest::start(PROGRAM, 64, &[("\"sockets\": 1024", "\"sockets\": 64")]);
    complete_all_runs(rig.accept_engine(), "fine");
    let mut served = rig.connect_edge();
    served.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    assert!(served.next_answer().ends_with("fine"));
    let mut silent: Vec<Peer> = (0..200).map(|_| rig.connect_edge()).collect();
    let (mut edge, asked) = (rig.connect_edge(), Instant::now());
    edge.send(fastcgi_invocation(2, "transcript-search", b"", &[]));
    assert!(edge.next_answer().ends_with("fine"));
    assert!(
        asked.elapsed() < millis(1000),
        "waited {:?}",
        asked.elapsed()
    );
    assert_eq!(silent[0].next_answer(), "closed");
    // Connections that send a health check and stay open do not delay each other.
    let mut checked = Vec::new();
    for tag in 1..=600 {
        checked.push(rig.connect_edge());
        let check = fastcgi_invocation(tag, "", b"", &[("SCRIPT_NAME", "/status/live")]);
        checked.last_mut().expect("a connection").send(check);
        assert!(
            checked
                .last_mut()
                .expect("a connection")
                .next_answer()
                .contains("200 OK")
        );
    }
    assert!(
        asked.elapsed() < millis(4000),
        "600 checks took {:?}",
        asked.elapsed()
    );
    served.send(fastcgi_invocation(3, "transcript-search", b"", &[]));
    assert!(
        served.next_answer().ends_with("fine"),
        "a connection that had been served was closed before the silent ones"
    );
}

#[test]
fn garbled_bytes_affect_only_their_own_connection() {
    let mut rig =
        ProgramUnderTest::start(PROGRAM, 1024, &[("\"stop_ms\": 3200", "\"stop_ms\": 400")]);
    complete_all_runs(rig.accept_engine(), "fine");
    let mut rng = Pcg32::seed_from_u64(11);
    for tag in 1..=300 {
        let mut bytes = fastcgi_invocation(tag, "transcript-search", b"body", &[]);
        for _ in 0..rng.random_range(1..5) {
            let offset = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes[offset] = rng.random(),
                1 => drop(bytes.drain(offset..)),
                _ => bytes.insert(offset, rng.random()),
            }
            bytes.push(0);
        }
        // The server may close the connection before everything is written.
        let _ = rig.connect_edge().stream.write_all(&bytes);
    }
    let mut edge = rig.connect_edge();
    edge.send(fastcgi_invocation(301, "transcript-search", b"", &[]));
    assert!(edge.next_answer().ends_with("fine"));
    rig.signal("TERM");
    let (status, log) = rig.wait_for_exit();
    assert!(
        status.success() && !log.contains("panic") && log.contains("a connection ends"),
        "{log}"
    );
}

#[test]
fn serving_continues_after_more_connections_than_descriptors() {
    let rig = ProgramUnderTest::start(PROGRAM, 64, &[("\"sockets\": 1024", "\"sockets\": 64")]);
    let mut engine = rig.accept_engine();
    // More connections than the limit allows: silent ones are closed in favour of waiting ones.
    let mut edges: Vec<Peer> = (0..80).map(|_| rig.connect_edge()).collect();
    for tag in [79, 40, 60] {
        engine.answer_stats_for(millis(50));
        let check = fastcgi_invocation(tag, "", b"", &[("SCRIPT_NAME", "/status/live")]);
        let mut edge = edges.remove(tag.into());
        if edge.stream.write_all(&check).is_ok() {
            let answer = edge.next_answer();
            assert!(
                answer == "closed" || answer.starts_with(&format!("{tag} 200")),
                "{answer}"
            );
        }
    }
    drop(edges);
    let mut edge = rig.connect_edge();
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    engine.next_message();
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", invocation_id(1)));
    assert!(edge.next_answer().ends_with("fine"));
}

#[test]
fn a_connection_waiting_for_a_free_one_is_answered_during_the_drain() {
    let changes = [
        ("\"sockets\": 1024", "\"sockets\": 64"),
        ("\"stop_ms\": 3200", "\"stop_ms\": 1200"),
    ];
    let mut rig = ProgramUnderTest::start(PROGRAM, 64, &changes);
    let mut engine = rig.accept_engine();
    // Gauge queries are answered, so that nothing is rejected and all 32 connections have an
    // invocation in flight.
    std::thread::spawn(move || while !engine.next_message().is_empty() {});
    let mut busy: Vec<Peer> = (0..32).map(|_| rig.connect_edge()).collect();
    (1..)
        .zip(&mut busy)
        .for_each(|(tag, edge)| edge.send(fastcgi_invocation(tag, "transcript-search", b"", &[])));
    let mut waiting = rig.connect_edge();
    waiting.send(fastcgi_invocation(
        1,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live")],
    ));
    // All 32 have an invocation in flight by the time the new connection waits, so none can be
    // closed for it.
    rig.wait_for_log("all 32 connections are in use", 1);
    rig.signal("TERM");
    assert!(waiting.next_answer().starts_with("1 503"));
    let (status, log) = rig.wait_for_exit();
    assert!(
        status.success() && log.contains("drain started: 32 invocations in flight"),
        "{log}"
    );
}

#[test]
fn sigterm_reports_the_out_phase_and_answers_all_requests() {
    let mut rig = ProgramUnderTest::start(
        PROGRAM,
        1024,
        &[
            ("3200", "900"),
            ("\"DrainGraceUs\": 2000000", "\"DrainGraceUs\": 200000"),
        ],
    );
    let (mut engine, mut edge, mut quiet) =
        (rig.accept_engine(), rig.connect_edge(), rig.connect_edge());
    let mut trace = String::new();
    let mut members = Peer::accept(&rig.members_listener);
    let until = Instant::now() + TIMEOUT;
    while !members.text().ends_with("}") {
        assert!(members.read_more(until));
    }
    let _ = writeln!(
        trace,
        "{}",
        members.text().replace(
            &rig.members_listener
                .local_addr()
                .expect("an address")
                .to_string(),
            "M"
        )
    );
    members.received.clear();
    members.send("HTTP/1.1 204 No Content\r\n\r\n");
    edge.send(fastcgi_invocation(1, "transcript-search", b"", &[]));
    let _ = writeln!(trace, "{}", engine.next_message());
    rig.signal("USR1");
    rig.signal("TERM");
    let noticed = Instant::now();
    while !members.text().ends_with("}") {
        assert!(members.read_more(until));
    }
    let _ = writeln!(trace, "{}", &members.text()[members.received.len() - 15..]);
    assert!(
        noticed.elapsed() < millis(300),
        "reported after {:?}",
        noticed.elapsed()
    );
    edge.send(fastcgi_invocation(
        2,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live")],
    ));
    let _ = writeln!(trace, "{}", edge.next_answer());
    engine.answer_stats_for(millis(400));
    edge.send(fastcgi_invocation(3, "transcript-search", b"", &[]));
    let _ = writeln!(trace, "{}", edge.next_answer());
    let _ = writeln!(
        trace,
        "{}\n{}\n{}",
        edge.next_answer(),
        edge.next_answer(),
        quiet.next_answer()
    );
    let (status, log) = rig.wait_for_exit();
    assert!(
        noticed.elapsed() < millis(900),
        "ended after {:?}",
        noticed.elapsed()
    );
    let counts = log.lines().filter(|line| line.contains("counters"));
    let counts = counts.map(|line| {
        line.split("invocations=")
            .nth(1)
            .unwrap_or("")
            .split(" checks")
            .next()
    });
    let _ = writeln!(trace, "{status} {:?}", counts.collect::<Vec<_>>());
    assert_snapshot!(trace);
}

#[test]
fn an_unreachable_engine_or_membership_service_does_not_stop_serving() {
    let mut rig = ProgramUnderTest::start(PROGRAM, 1024, &[]);
    rig.members_listener = TcpListener::bind("127.0.0.1:0").expect("a port"); // the configured address refuses connections from now on
    let mut early = rig.connect_edge();
    early.send(fastcgi_invocation(
        1,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live")],
    ));
    assert!(early.next_answer().contains("200 OK"));
    early.send(fastcgi_invocation(2, "transcript-search", b"", &[]));
    assert!(
        early.next_answer().starts_with("2 503"),
        "rejected while the engine has not attached"
    );
    let mut engine = rig.accept_engine();
    early.send(fastcgi_invocation(3, "transcript-search", b"", &[]));
    assert!(engine.next_message().starts_with("RUN"));
    drop(engine);
    rig.engine_listener = TcpListener::bind("127.0.0.1:0").expect("a port"); // and so does the engine's
    early.send(fastcgi_invocation(
        4,
        "transcript-search",
        b"",
        &[("HTTP_X_PATIENCE_MS", "300")],
    ));
    assert!(
        early.next_answer().starts_with("4 5"),
        "answered by the deadline without a link"
    );
}

#[test]
fn an_invalid_configuration_is_reported_and_ends_the_process() {
    let mut trace = String::new();
    let texts: [(&str, &str); 5] = [
        ("\"seed\"", "\"sead\""),
        ("\"Cores\": 2", "\"Cores\": \"two\""),
        (
            "\"Effect\": \"read_like\"",
            "\"Effect\": \"idempotency_key\"",
        ),
        ("\"Classes\"", "\"Klasses\""),
        ("}", ""),
    ];
    for change in texts {
        let path = write_config(&[change]);
        let ended = spawn_program(PROGRAM, &path, 1024, &[])
            .wait_with_output()
            .expect("an end");
        let text =
            String::from_utf8_lossy(&ended.stderr).replace(&path.display().to_string(), "FILE");
        let _ = write!(trace, "{} {text}", ended.status);
        std::fs::remove_file(&path).expect("a file");
    }
    // An address that is in use is reported too.
    let (_taken, address) = bind_loopback();
    let path = write_config(&[("127.0.0.1:6565", &address)]);
    let ended = spawn_program(PROGRAM, &path, 1024, &[])
        .wait_with_output()
        .expect("an end");
    let log = String::from_utf8_lossy(&ended.stderr).replace(&address, "ADDRESS");
    let named = log
        .lines()
        .last()
        .unwrap_or("")
        .split(" (os")
        .next()
        .unwrap_or("");
    let _ = writeln!(trace, "{} {named}", ended.status);
    std::fs::remove_file(&path).expect("a file");
    let missing = PathBuf::from("/nowhere/config.json");
    let ended = spawn_program(PROGRAM, &missing, 1024, &[])
        .wait_with_output()
        .expect("an end");
    let _ = write!(
        trace,
        "{} {}",
        ended.status,
        String::from_utf8_lossy(&ended.stderr)
    );
    assert_snapshot!(trace);
}
