//! The program itself between stand-ins of all that it talks to, on loopback sockets and in real time.

use std::fmt::Write as _;
use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use merlinshelf_testbed::script::{
    PATIENCE, Peer, Rig, ask_until_stalled, bind, configuration, millis, program, serve_all,
};
use merlinshelf_testbed::wire::{ask, id, record, unix_ms};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

#[test]
fn interleaved_invocations_are_answered_in_any_order_and_unchanged() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    let mut trace = String::new();
    // The second comes byte by byte, the first is answered after it.
    edge.send(ask(1, "transcript-search", b"\0\xff\r\n", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    for byte in ask(
        2,
        "transcript-search",
        b"",
        &[("HTTP_X_REPEAT", "1"), ("HTTP_X_ENTITY", "7f")],
    ) {
        edge.send([byte]);
        edge.stream.flush().expect("a stream");
    }
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!("DONE 1 {} OK 12 6\r\n\r\n\0é\n\r\n", id(2)));
    let _ = writeln!(trace, "{}", edge.answer());
    engine.send(format!(
        "NOTE 2 still here\r\nDONE 3 {} ERROR 12 0\r\n\r\n",
        id(1)
    ));
    let _ = writeln!(trace, "{}", edge.answer());
    let check = ask(
        3,
        "",
        b"",
        &[("SCRIPT_NAME", "/status/live"), ("REQUEST_METHOD", "GET")],
    );
    edge.send(check);
    let _ = writeln!(trace, "{}", edge.answer());
    // One whose time is used up is turned away at once and told when to come back.
    let stamp = (unix_ms() - 4001).to_string();
    edge.send(ask(
        4,
        "thumbnail",
        b"",
        &[("HTTP_X_QUEUE_START", &stamp), ("HTTP_X_REPEAT", "1")],
    ));
    let _ = writeln!(trace, "{}", edge.answer());
    assert_snapshot!(trace);
}

#[test]
fn what_is_bad_touches_nothing_else() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    let mut trace = String::new();
    edge.send(ask(1, "transcript-search", b"good", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    let long = [b'x'; 2049];
    let cases = [
        ask(2, "transcript-search", b"", &[("HTTP_X_CALL_ID", "")]),
        ask(2, "transcript-search", b"", &[("HTTP_X_CALL_ID", "9b1f")]),
        ask(
            2,
            "transcript-search",
            b"",
            &[("HTTP_X_QUEUE_START", "soon")],
        ),
        ask(2, "transcript-search", b"", &[("HTTP_X_PATIENCE_MS", "")]),
        ask(
            2,
            "transcript-search",
            b"",
            &[("HTTP_X_PATIENCE_MS", "1e300")],
        ),
        ask(2, "transcript-search", b"", &[("HTTP_X_HEAP_KB", "nan")]),
        ask(2, "transcript-search", b"", &[("HTTP_X_IMPORTANCE", "1")]),
        ask(2, "transcript-search", b"", &[("HTTP_X_SOURCE", "-1")]),
        ask(2, "transcript-search", b"abc", &[("CONTENT_LENGTH", "4")]),
        ask(2, "transcript-search", b"", &[("REQUEST_METHOD", "PUT")]),
        ask(2, "transcript-search", b"", &[("HTTP_X_CALL_ID", &id(1))]),
        ask(2, "transcript-search", b"", &[("X", &"y".repeat(5000))]),
        ask(2, "transcript-search", &long, &[]),
        ask(2, "thumbnails", b"", &[]),
        ask(2, "", b"", &[("SCRIPT_NAME", "/")]),
        [
            record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
            record(5, 2, b"", 0),
        ]
        .concat(),
        [
            record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
            record(4, 2, b"\x05\x05a", 0),
        ]
        .concat(),
        [record(4, 2, b"", 0), record(5, 2, b"", 0)].concat(),
        record(1, 2, &[0, 2, 1, 0, 0, 0, 0, 0], 0),
        record(33, 0, b"odd", 0),
        record(9, 0, b"\x0f\0FCGI_MPXS_CONNS\x0d\0FCGI_MAX_REQS", 0),
        [ask(2, "transcript-search", b"", &[]), record(2, 2, b"", 0)].concat(),
    ];
    // Ten on a connection: with more it ends.
    for cases in cases.chunks(10) {
        let mut rude = rig.edge();
        for bytes in cases {
            rude.send(bytes);
            if !matches!(bytes[bytes.len() - 8..], [1, 4, ..]) && !bytes.ends_with(b"\x05\x05a") {
                let _ = writeln!(trace, "{}", rude.answer());
            }
        }
    }
    // No FastCGI ends this connection alone, and only once all that was read on it is answered.
    let mut other = rig.edge();
    edge.send("GET / HTTP/1.1\r\n\r\n");
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", id(1)));
    let _ = writeln!(trace, "{}\n{}", edge.answer(), edge.answer());
    other.send(ask(9, "transcript-search", b"good", &[]));
    while !engine.message().starts_with("RUN 0000000000000009") {}
    engine.send(format!("DONE 2 {} OK 12 4\r\nfine\r\n", id(9)));
    let _ = writeln!(trace, "{}", other.answer());
    assert_snapshot!(trace);
}

#[test]
fn more_than_32_on_one_connection_are_turned_away() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let (_engine, mut edge) = (rig.engine(), rig.edge());
    // Begun only, so that nothing of them is decided.
    let begun: Vec<u8> = (1..=33)
        .flat_map(|tag| record(1, tag, &[0, 1, 1, 0, 0, 0, 0, 0], 0))
        .collect();
    edge.send(begun);
    assert_eq!(edge.answer(), "33 ended with status 2");
}

#[test]
fn a_broken_engine_link_is_taken_up_again() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    edge.send(ask(1, "transcript-search", b"first", &[]));
    let mut trace = engine.message() + "\n";
    engine.send(format!(
        "NOTE 9 ahead\r\nDONE 2 {} OK 12 3\r\none\r\n",
        id(1)
    ));
    let _ = writeln!(trace, "{}", edge.answer());
    // The link breaks on a line that can't be read; what comes meanwhile waits, a lost run is given again.
    let mut dry = Duration::ZERO;
    for _ in 0..8 {
        engine.idle(millis(60)); // a link that stood for longer than the pause between two is replaced at once
        engine.questions(2);
        engine.send("WHAT\r\n");
        let broke = Instant::now();
        engine = Peer::accept(&rig.engine);
        dry += broke.elapsed();
        assert_eq!(engine.message(), "ATTACH 2");
        engine.send("HELLO WARM 6000\r\n");
    }
    assert!(dry < millis(300), "the cores run dry for {dry:?}");
    engine.questions(2);
    edge.send(ask(2, "transcript-search", b"second", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    engine.send("WHAT\r\n");
    let mut engine = Peer::accept(&rig.engine);
    let _ = writeln!(trace, "{}", engine.message());
    edge.send(ask(3, "transcript-search", b"third", &[]));
    rig.counted("invocations", 3);
    engine.send("HELLO WARM 6000\r\n");
    engine.send(format!("DONE 2 {} OK 12 3\r\nbad\r\n", id(1)));
    let mut runs = [engine.message(), engine.message()];
    runs.sort();
    let _ = writeln!(trace, "{}", runs.join("\n"));
    engine.send(format!("DONE 3 {} OK 12 3\r\ntwo\r\n", id(2)));
    let _ = writeln!(trace, "{}", edge.answer());
    engine.send(format!("DONE 4 {} OK 12 5\r\nthree\r\n", id(3)));
    let _ = writeln!(trace, "{}", edge.answer());
    assert_snapshot!(trace);
}

#[test]
fn a_link_that_falls_silent_is_replaced() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let mut silent = rig.engine();
    // Questions go unanswered from here on, and so does the next ATTACH.
    let mut waits = Vec::new();
    for _ in 0..2 {
        let began = Instant::now();
        silent = Peer::accept(&rig.engine);
        assert_eq!(silent.message(), "ATTACH 0");
        waits.push(began.elapsed().as_secs());
    }
    assert!(waits.iter().all(|wait| (2..=4).contains(wait)), "{waits:?}");
    silent.send("HELLO WARM 12000\r\n");
    let mut edge = rig.edge();
    edge.send(ask(1, "transcript-search", b"", &[]));
    assert!(silent.message().starts_with("RUN"));
}

#[test]
fn calls_below_are_made_and_their_ends_told_apart() {
    let mut rig = Rig::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    let mut trace = String::new();
    edge.send(ask(1, "thumbnail", b"", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!("NEED 1 {} 3\r\na\0b\r\n", id(1)));
    let mut below = Peer::accept(&rig.catalogue);
    let called = below.message();
    let _ = writeln!(
        trace,
        "{} ... {}",
        &called[..23],
        &called[called.len() - 8..]
    );
    below.send(format!("{} ok 5\r\n\r\n\0\r\n\r\n", id(1)));
    let _ = writeln!(trace, "{}", engine.message());
    // A connection that breaks under a call proves nothing: the call may be made again, as all are idempotent.
    engine.send(format!("NEED 2 {} 3\r\ntwo\r\n", id(1)));
    let mut second = Peer::accept(&rig.catalogue);
    let _ = writeln!(trace, "{}", &second.message()[..23]);
    second.send("what is this\r\n");
    let _ = writeln!(trace, "{:?}", second.line());
    // A refused connection ends the next one at once: left out, or made again and refused again.
    rig.catalogue = TcpListener::bind("127.0.0.1:0").expect("a port");
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!("DONE 3 {} OK 90 2\r\nok\r\n", id(1)));
    let _ = writeln!(trace, "{}", edge.answer());
    assert_snapshot!(trace);
}

#[test]
fn each_reply_word_is_taken_for_what_it_proves_and_idle_lines_are_retired() {
    let mut rig = Rig::start(PROGRAM, 1024, &[("\"stop_ms\": 3200", "\"stop_ms\": 400")]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    let mut below: Option<Peer> = None;
    for (number, word) in (1..).zip(["overload", "stale", "internal", "deadline"]) {
        edge.send(ask(number, "thumbnail", b"", &[]));
        assert!(engine.message().starts_with("RUN"));
        engine.send(format!("NEED {} {} 0\r\n\r\n", 2 * number - 1, id(number)));
        let lane = below.get_or_insert_with(|| Peer::accept(&rig.catalogue));
        assert!(
            lane.message()
                .starts_with(&format!("invoke {}", id(number)))
        );
        lane.send(format!("{} {word}\r\n", id(number)));
        let ends = ["calls_never_ran", "calls_failed"][usize::from(number > 2)];
        rig.counted(
            ends,
            u64::from(if number > 2 { number - 2 } else { number }),
        );
        // The run ends by itself, whatever the module does about the call.
        engine.send(format!(
            "DONE {} {} OK 50 0\r\n\r\n",
            2 * number,
            id(number)
        ));
        assert!(edge.answer().contains("200 OK"));
    }
    // All went over one line. Its far end may close or forget an idle one: a call that met that proves nothing.
    let (mut lane, idle) = (below.expect("a lane"), Instant::now());
    while lane.stream.peek(&mut [0]).is_err() || lane.line().is_some() {
        engine.idle(millis(20));
        assert!(idle.elapsed() < millis(2500), "it stays open");
    }
    assert!(
        idle.elapsed() > millis(500),
        "it is closed too soon to be of use"
    );
    rig.signal("TERM");
    let (_, log) = rig.end();
    let counts = log.lines().last().unwrap_or("");
    assert!(
        counts.contains(" calls_never_ran=2 calls_failed=2 calls_timed_out=0 "),
        "{counts}"
    );
}

#[test]
fn a_call_without_a_reply_is_given_up_in_time_with_its_connection() {
    let rig = Rig::start(PROGRAM, 1024, &[("1700000", "1200000")]); // a latency objective of 1.2 s
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    edge.send(ask(1, "thumbnail", b"", &[]));
    let mut trace = engine.message() + "\n";
    engine.send(format!("NEED 1 {} 3\r\none\r\n", id(1)));
    // Each call goes on a connection of its own, which is closed when the call is given up.
    let called = Instant::now();
    let mut lanes: Vec<Peer> = Vec::new();
    for _ in 0..3 {
        lanes.push(Peer::accept(&rig.catalogue));
        let call = lanes.last_mut().expect("a lane").message();
        let _ = writeln!(trace, "{} ... {}", &call[..23], &call[call.len() - 5..]);
    }
    let _ = writeln!(trace, "{}", engine.message());
    assert!(
        lanes.iter_mut().all(|lane| lane.line().is_none()),
        "a connection without a reply stays open"
    );
    assert!(
        called.elapsed() < millis(1600),
        "given up after {:?}",
        called.elapsed()
    );
    // The run goes on to its next call, which is left out at once after three.
    engine.send(format!("NEED 2 {} 3\r\ntwo\r\n", id(1)));
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!("DONE 3 {} OK 400 4\r\nfine\r\n", id(1)));
    let _ = writeln!(trace, "{}", edge.answer());
    assert_snapshot!(trace);
}

#[test]
fn a_spoilt_reply_costs_the_call_it_struck_and_no_other() {
    let rig = Rig::start(PROGRAM, 1024, &[("\"Cores\": 2", "\"Cores\": 12")]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    let mut calls = |number: u16| {
        edge.send(ask(number, "thumbnail", b"", &[]));
        assert!(engine.message().starts_with("RUN"));
        engine.send(format!("NEED {number} {} 0\r\n\r\n", id(number)));
        let mut line = Peer::accept(&rig.catalogue);
        assert!(
            line.message()
                .starts_with(&format!("invoke {}", id(number)))
        );
        line
    };
    let (mut neighbour, mut line, sent) = (calls(1), calls(2), Instant::now());
    line.send("noise");
    assert_eq!(
        line.line(),
        None,
        "the connection of a spoilt reply stays open"
    );
    assert!(
        sent.elapsed() < millis(500),
        "ended only after {:?}",
        sent.elapsed()
    );
    // Its next try has a connection of its own again.
    let mut again = Peer::accept(&rig.catalogue);
    assert!(again.message().starts_with(&format!("invoke {}", id(2))));
    // A reply under another id ahead and a second copy behind do no harm, and the line is not kept.
    neighbour.send(format!(
        "{} ok 3\r\nbad\r\n{} ok 4\r\ngood\r\n",
        id(77),
        id(1)
    ));
    neighbour.send(format!("{} ok 4\r\ngood\r\n", id(1)));
    assert_eq!(engine.message(), format!("FEED {} 4 good", id(1)));
    assert_eq!(
        neighbour.line(),
        None,
        "what brought more than its reply is kept"
    );
}

#[test]
fn a_new_configuration_moves_all_that_is_in_hand() {
    let mut rig = Rig::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    let mut members = Peer::accept(&rig.members);
    assert_eq!(members.line().as_deref(), Some("PUT /members/n0 HTTP/1.1"));
    edge.send(ask(1, "thumbnail", b"", &[]));
    let mut trace = engine.message() + "\n";
    engine.send(format!("NEED 1 {} 3\r\none\r\n", id(1)));
    let mut below = Peer::accept(&rig.catalogue);
    let _ = writeln!(trace, "{}", &below.message()[..23]);
    let before = std::fs::read_to_string(&rig.config).expect("a file");
    // Files that can't be used leave everything as it was.
    let unusable = [
        "",
        "{",
        &before.replace("members", "numbers"),
        &before.replace("\"Cores\": 2", "\"Cores\": []"),
    ];
    for (times, text) in (1..).zip(unusable) {
        std::fs::write(&rig.config, text).expect("a file");
        rig.signal("HUP");
        rig.logged("the old configuration stays in force", times);
    }
    std::fs::remove_file(&rig.config).expect("a file");
    rig.signal("HUP");
    rig.logged("the old configuration stays in force", unusable.len() + 1);
    // The new one moves all three at once; its other name is not heeded.
    let ((new_engine, at_engine), (new_catalogue, at_catalogue), (new_members, at_members)) =
        (bind(), bind(), bind());
    let mut text = before.replace("\"n0\"", "\"n7\"");
    for (old, new) in [
        (&rig.engine, at_engine),
        (&rig.catalogue, at_catalogue),
        (&rig.members, at_members),
    ] {
        text = text.replace(&old.local_addr().expect("one").to_string(), &new);
    }
    std::fs::write(&rig.config, text).expect("a file");
    rig.signal("HUP");
    let mut engine = Peer::accept(&new_engine);
    let _ = writeln!(trace, "{}", engine.message());
    engine.send("HELLO WARM 7000\r\n");
    let _ = writeln!(trace, "{:?}", Peer::accept(&new_members).line());
    // The reply that is due on the old connection is used, the next call goes to the new address.
    below.send(format!("{} ok 3\r\nold\r\n", id(1)));
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!("NEED 2 {} 3\r\ntwo\r\n", id(1)));
    let mut below = Peer::accept(&new_catalogue);
    let _ = writeln!(trace, "{}", &below.message()[..23]);
    below.send(format!("{} ok 3\r\nnew\r\n", id(1)));
    let _ = writeln!(trace, "{}", engine.message());
    engine.send(format!("DONE 3 {} OK 90 2\r\nok\r\n", id(1)));
    let _ = writeln!(trace, "{}", edge.answer());
    rig.signal("TERM");
    let (status, log) = rig.end();
    let told = log.lines().filter(|line| line.contains("onfiguration"));
    let told = told.map(|line| line.split(' ').skip(1).collect::<Vec<_>>().join(" "));
    let told = told.map(|line| line.replace(&rig.config.display().to_string(), "FILE"));
    let told = told.map(|line| line.split(": engine").next().unwrap_or("").to_owned() + "\n");
    let _ = write!(trace, "{status}\n{}", told.collect::<String>());
    assert_snapshot!(trace);
}

#[test]
fn idle_connections_are_closed_and_no_others() {
    let rig = Rig::start(PROGRAM, 1024, &[("30000000", "600000")]); // the module trims at a third of that
    let (mut engine, mut idle, mut edge) = (rig.engine(), rig.edge(), rig.edge());
    let began = Instant::now();
    edge.send(ask(1, "transcript-search", b"", &[]));
    assert!(engine.message().starts_with("RUN"));
    let half = ask(2, "transcript-search", b"", &[]);
    let mut reading = rig.edge();
    reading.send(&half[..half.len() / 2]);
    assert_eq!(idle.answer(), "closed");
    assert!(
        began.elapsed() > millis(150),
        "closed after {:?}",
        began.elapsed()
    );
    engine.idle(millis(500));
    reading.send(&half[half.len() / 2..]);
    assert!(engine.message().starts_with("RUN"));
    for (number, open) in [(1, &mut edge), (2, &mut reading)] {
        engine.send(format!("DONE {number} {} OK 700 4\r\nfine\r\n", id(number)));
        assert!(open.answer().ends_with("fine"));
        assert_eq!(open.answer(), "closed");
    }
}

#[test]
fn a_membership_service_that_never_answers_is_asked_again() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let (mut first, began) = (Peer::accept(&rig.members), Instant::now());
    assert_eq!(first.line().as_deref(), Some("PUT /members/n0 HTTP/1.1"));
    let mut second = Peer::accept(&rig.members);
    assert_eq!(second.line().as_deref(), Some("PUT /members/n0 HTTP/1.1"));
    assert!(
        began.elapsed() < millis(1500),
        "asked again after {:?}",
        began.elapsed()
    );
}

#[test]
fn a_slow_reader_holds_up_nobody_and_loses_nothing() {
    let rig = Rig::start(PROGRAM, 1024, &[("\"Cores\": 2", "\"Cores\": 40")]);
    let (engine, mut slow, mut edge) = (rig.engine(), rig.edge(), rig.edge());
    let result = "r".repeat(4096);
    let answered = serve_all(engine, &result);
    let sent = ask_until_stalled(&mut slow, &answered);
    let asked = Instant::now();
    edge.send(ask(65535, "transcript-search", b"", &[]));
    assert!(edge.answer().ends_with(&result));
    assert!(
        asked.elapsed() < millis(500),
        "held up for {:?}",
        asked.elapsed()
    );
    // Each has its one answer, whole; a few were over the 32 that may be open.
    let mut tags: Vec<String> = Vec::new();
    for _ in 0..sent {
        let answer = slow.answer();
        assert!(
            answer.ends_with(&result) || answer.ends_with("ended with status 2"),
            "{answer:.200}"
        );
        tags.push(answer.split(' ').next().unwrap_or("").into());
    }
    tags.sort();
    tags.dedup();
    assert_eq!(tags.len(), sent);
    // One that never reads is closed in the end: what is written to it then comes back as a reset.
    let mut dead = rig.edge();
    dead.stream
        .set_write_timeout(Some(millis(100)))
        .expect("a time-out");
    let stopped = Instant::now();
    for tag in (1..60_000).cycle() {
        let bytes = ask(
            tag,
            "transcript-search",
            b"",
            &[("HTTP_X_PATIENCE_MS", "60000")],
        );
        match dead.stream.write_all(&bytes) {
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
                ) =>
            {
                break;
            }
            _ => assert!(stopped.elapsed() < millis(20_000), "it is kept for good"),
        }
    }
}

#[test]
fn a_pause_of_the_process_is_survived() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let (mut engine, mut edge) = (rig.engine(), rig.edge());
    edge.send(ask(
        1,
        "transcript-search",
        b"",
        &[("HTTP_X_PATIENCE_MS", "300")],
    ));
    assert!(engine.message().starts_with("RUN"));
    rig.signal("STOP");
    edge.send(ask(
        2,
        "transcript-search",
        b"",
        &[("HTTP_X_PATIENCE_MS", "300")],
    ));
    sleep(millis(500));
    edge.send(ask(3, "transcript-search", b"", &[]));
    rig.signal("CONT");
    // Late ones at once, the other as if nothing had been.
    let mut ends = [edge.answer(), edge.answer()];
    ends.sort();
    assert!(
        ends[0].starts_with("1 500") && ends[1].starts_with("2 503"),
        "{ends:?}"
    );
    while engine.message() != format!("RUN {} transcript-search 0 ", id(3)) {}
    engine.send(format!(
        "DONE 1 {} OK 700 4\r\nlate\r\nDONE 2 {} OK 12 4\r\nfine\r\n",
        id(1),
        id(3)
    ));
    assert!(edge.answer().ends_with("3 200 OK||fine"));
}

#[test]
fn what_came_while_the_process_stood_still_is_read_before_anybody_is_given_up() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    serve_all(rig.engine(), "fine");
    // On the one nothing has come yet, on the other a part; both are whole, with more behind, by the time it goes on.
    let (mut fresh, mut half) = (rig.edge(), rig.edge());
    let first = ask(1, "transcript-search", b"", &[]);
    half.send(&first[..50]);
    sleep(millis(300));
    rig.signal("STOP");
    half.send(&first[50..]);
    (2..6).for_each(|tag| half.send(ask(tag, "transcript-search", b"", &[])));
    (6..11).for_each(|tag| fresh.send(ask(tag, "transcript-search", b"", &[])));
    sleep(millis(1800));
    rig.signal("CONT");
    for edge in [&mut fresh, &mut half] {
        let answers: Vec<String> = (0..5).map(|_| edge.answer()).collect();
        // What the module turns away is answered too; nothing is cut off with its connection.
        let ended = |answer: &String| answer.ends_with("fine") || answer.contains(" 503");
        assert!(answers.iter().all(ended), "{answers:?}");
        edge.send(ask(12, "transcript-search", b"", &[]));
        assert!(edge.answer().ends_with("fine"), "the connection goes on");
    }
}

/// Begins an invocation of the operation without calls, its parameters whole.
fn begun(tag: u16) -> Vec<u8> {
    let mut bytes = ask(tag, "transcript-search", b"", &[]);
    bytes.truncate(bytes.len() - 8);
    bytes
}

#[test]
fn what_is_turned_down_half_read_is_answered_at_once() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    serve_all(rig.engine(), "fine");
    let (mut edge, sent) = (rig.edge(), Instant::now());
    edge.send([begun(1), record(5, 1, &[b'x'; 3000], 0)].concat());
    assert!(edge.answer().starts_with("1 413"));
    edge.send(
        [
            record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
            record(4, 2, &[b'y'; 5000], 0),
        ]
        .concat(),
    );
    assert!(edge.answer().starts_with("2 400"));
    assert!(
        sent.elapsed() < millis(500),
        "told after {:?}",
        sent.elapsed()
    );
    // What still comes of it is passed over, and the next one is served.
    edge.send(
        [
            record(5, 1, &[b'x'; 3000], 0),
            record(5, 1, b"", 0),
            record(4, 2, b"", 0),
        ]
        .concat(),
    );
    edge.send(ask(3, "transcript-search", b"", &[]));
    assert!(edge.answer().ends_with("fine"));
    // Up to a bound, after which it is told so by a close.
    let until = Instant::now() + PATIENCE;
    while edge
        .stream
        .write_all(&record(5, 1, &[b'x'; 60_000], 0))
        .is_ok()
    {
        assert!(Instant::now() < until, "60 MB would be read");
    }
}

#[test]
fn who_never_comes_to_a_whole_word_is_closed_in_time() {
    let rig = Rig::start(PROGRAM, 1024, &[]);
    let mut engine = rig.engine();
    let (mut silent, mut half, mut trickle, mut odd) =
        (rig.edge(), rig.edge(), rig.edge(), rig.edge());
    let (mut known, opened) = (rig.edge(), Instant::now());
    known.send(ask(9, "transcript-search", b"", &[]));
    half.send(begun(1));
    odd.send(record(77, 5, &[0; 100], 0));
    let word = begun(2);
    for byte in word.iter().cycle().take(60) {
        if trickle.stream.write_all(&[*byte]).is_err() {
            break;
        }
        engine.idle(millis(30));
    }
    assert!(half.answer().starts_with("1 408") && trickle.answer().starts_with("2 408"));
    for (what, edge) in [
        ("half", &mut half),
        ("silent", &mut silent),
        ("trickle", &mut trickle),
        ("odd", &mut odd),
    ] {
        assert_eq!(edge.answer(), "closed", "{what}");
    }
    assert!(
        opened.elapsed() < millis(2600),
        "closed after {:?}",
        opened.elapsed()
    );
    // Who waits for an answer, or had one, stays.
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", id(9)));
    assert!(known.answer().ends_with("fine"));
    engine.idle(millis(1700));
    known.send(ask(10, "transcript-search", b"", &[]));
    assert!(engine.message().starts_with("RUN 000000000000000a"));
}

#[test]
fn the_same_fault_again_and_again_takes_nothing_from_others() {
    let mut rig = Rig::start(PROGRAM, 1024, &[("\"stop_ms\": 3200", "\"stop_ms\": 400")]);
    let (mut engine, mut rude, mut edge) = (rig.engine(), rig.edge(), rig.edge());
    // The engine does not know this one: it is told at once, and this counts as a fault too.
    rude.send(ask(1, "transcript-search", b"", &[]));
    assert!(engine.message().starts_with("RUN"));
    engine.send(format!("NO RUN {}\r\n", id(1)));
    let mut answers = vec![rude.answer()];
    let wrong = ask(1, "no-such", b"", &[]);
    let began = Instant::now();
    while answers.len() < 100 && rude.stream.write_all(&wrong).is_ok() {
        answers.push(rude.answer());
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
    assert!(began.elapsed() > millis(300), "it is not slowed down");
    for _ in 0..3 {
        let mut flood = rig.edge();
        let _ = flood.stream.write_all(&wrong.repeat(300));
    }
    edge.send(ask(2, "transcript-search", b"", &[]));
    assert!(engine.message().starts_with("RUN 0000000000000002"));
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", id(2)));
    assert!(edge.answer().ends_with("fine"));
    rig.signal("TERM");
    let (_, log) = rig.end();
    assert!(
        log.lines()
            .filter(|line| line.contains("turned down"))
            .count()
            <= 60,
        "{log}"
    );
}

#[test]
fn a_newcomer_takes_the_seat_of_who_is_idle_for_longest() {
    let rig = Rig::start(PROGRAM, 64, &[("\"sockets\": 1024", "\"sockets\": 64")]);
    serve_all(rig.engine(), "fine");
    let mut known = rig.edge();
    known.send(ask(1, "transcript-search", b"", &[]));
    assert!(known.answer().ends_with("fine"));
    let mut silent: Vec<Peer> = (0..200).map(|_| rig.edge()).collect();
    let (mut edge, asked) = (rig.edge(), Instant::now());
    edge.send(ask(2, "transcript-search", b"", &[]));
    assert!(edge.answer().ends_with("fine"));
    assert!(
        asked.elapsed() < millis(1000),
        "it waited {:?}",
        asked.elapsed()
    );
    assert_eq!(silent[0].answer(), "closed");
    // Those that ask for health and stay come and go without holding up each other.
    let mut checked = Vec::new();
    for tag in 1..=600 {
        checked.push(rig.edge());
        let check = ask(tag, "", b"", &[("SCRIPT_NAME", "/status/live")]);
        checked.last_mut().expect("one").send(check);
        assert!(checked.last_mut().expect("one").answer().contains("200 OK"));
    }
    assert!(
        asked.elapsed() < millis(4000),
        "600 checks took {:?}",
        asked.elapsed()
    );
    known.send(ask(3, "transcript-search", b"", &[]));
    assert!(
        known.answer().ends_with("fine"),
        "one that had been served was closed before the silent ones"
    );
}

#[test]
fn garbled_bytes_end_nothing_but_their_own_connection() {
    let mut rig = Rig::start(PROGRAM, 1024, &[("\"stop_ms\": 3200", "\"stop_ms\": 400")]);
    serve_all(rig.engine(), "fine");
    let mut rng = Pcg32::seed_from_u64(11);
    for tag in 1..=300 {
        let mut bytes = ask(tag, "transcript-search", b"body", &[]);
        for _ in 0..rng.random_range(1..5) {
            let place = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes[place] = rng.random(),
                1 => drop(bytes.drain(place..)),
                _ => bytes.insert(place, rng.random()),
            }
            bytes.push(0);
        }
        // Whatever comes of it, the far end may be gone before all is written.
        let _ = rig.edge().stream.write_all(&bytes);
    }
    let mut edge = rig.edge();
    edge.send(ask(301, "transcript-search", b"", &[]));
    assert!(edge.answer().ends_with("fine"));
    rig.signal("TERM");
    let (status, log) = rig.end();
    assert!(
        status.success() && !log.contains("panic") && log.contains("a connection ends"),
        "{log}"
    );
}

#[test]
fn a_full_table_of_descriptors_is_survived() {
    let rig = Rig::start(PROGRAM, 64, &[("\"sockets\": 1024", "\"sockets\": 64")]);
    let mut engine = rig.engine();
    // More than may be open. Those that say nothing make room for those that wait.
    let mut edges: Vec<Peer> = (0..80).map(|_| rig.edge()).collect();
    for tag in [79, 40, 60] {
        engine.idle(millis(50));
        let check = ask(tag, "", b"", &[("SCRIPT_NAME", "/status/live")]);
        let mut edge = edges.remove(tag.into());
        if edge.stream.write_all(&check).is_ok() {
            let answer = edge.answer();
            assert!(
                answer == "closed" || answer.starts_with(&format!("{tag} 200")),
                "{answer}"
            );
        }
    }
    drop(edges);
    let mut edge = rig.edge();
    edge.send(ask(1, "transcript-search", b"", &[]));
    engine.message();
    engine.send(format!("DONE 1 {} OK 12 4\r\nfine\r\n", id(1)));
    assert!(edge.answer().ends_with("fine"));
}

#[test]
fn who_waits_behind_a_full_table_is_answered_before_the_end() {
    let changes = [
        ("\"sockets\": 1024", "\"sockets\": 64"),
        ("\"stop_ms\": 3200", "\"stop_ms\": 1200"),
    ];
    let mut rig = Rig::start(PROGRAM, 64, &changes);
    let mut engine = rig.engine();
    // Its gauges stay fresh, so that nothing is cut and all 32 have something in hand.
    std::thread::spawn(move || while !engine.message().is_empty() {});
    let mut busy: Vec<Peer> = (0..32).map(|_| rig.edge()).collect();
    (1..)
        .zip(&mut busy)
        .for_each(|(tag, edge)| edge.send(ask(tag, "transcript-search", b"", &[])));
    let mut waiting = rig.edge();
    waiting.send(ask(1, "", b"", &[("SCRIPT_NAME", "/status/live")]));
    // All 32 have been written to by the time the newcomer stands there, so that none may go for it.
    rig.logged("all 32 connections are in use", 1);
    rig.signal("TERM");
    assert!(waiting.answer().starts_with("1 503"));
    let (status, log) = rig.end();
    assert!(
        status.success() && log.contains("drain started: 32 invocations in flight"),
        "{log}"
    );
}

#[test]
fn reports_go_out_and_sigterm_ends_it_with_all_answered() {
    let mut rig = Rig::start(
        PROGRAM,
        1024,
        &[
            ("3200", "900"),
            ("\"DrainGraceUs\": 2000000", "\"DrainGraceUs\": 200000"),
        ],
    );
    let (mut engine, mut edge, mut quiet) = (rig.engine(), rig.edge(), rig.edge());
    let mut trace = String::new();
    let mut members = Peer::accept(&rig.members);
    let until = Instant::now() + PATIENCE;
    while !members.text().ends_with("}") {
        assert!(members.fill(until));
    }
    let _ = writeln!(
        trace,
        "{}",
        members
            .text()
            .replace(&rig.members.local_addr().expect("one").to_string(), "M")
    );
    members.come.clear();
    members.send("HTTP/1.1 204 No Content\r\n\r\n");
    edge.send(ask(1, "transcript-search", b"", &[]));
    let _ = writeln!(trace, "{}", engine.message());
    rig.signal("USR1");
    rig.signal("TERM");
    let noticed = Instant::now();
    while !members.text().ends_with("}") {
        assert!(members.fill(until));
    }
    let _ = writeln!(trace, "{}", &members.text()[members.come.len() - 15..]);
    assert!(
        noticed.elapsed() < millis(300),
        "told late: {:?}",
        noticed.elapsed()
    );
    edge.send(ask(2, "", b"", &[("SCRIPT_NAME", "/status/live")]));
    let _ = writeln!(trace, "{}", edge.answer());
    engine.idle(millis(400));
    edge.send(ask(3, "transcript-search", b"", &[]));
    let _ = writeln!(trace, "{}", edge.answer());
    let _ = writeln!(
        trace,
        "{}\n{}\n{}",
        edge.answer(),
        edge.answer(),
        quiet.answer()
    );
    let (status, log) = rig.end();
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
fn peers_that_are_away_do_no_harm() {
    let mut rig = Rig::start(PROGRAM, 1024, &[]);
    rig.members = TcpListener::bind("127.0.0.1:0").expect("a port"); // the real one refuses from now on
    let mut early = rig.edge();
    early.send(ask(1, "", b"", &[("SCRIPT_NAME", "/status/live")]));
    assert!(early.answer().contains("200 OK"));
    early.send(ask(2, "transcript-search", b"", &[]));
    assert!(
        early.answer().starts_with("2 503"),
        "nothing runs before the engine is up"
    );
    let mut engine = rig.engine();
    early.send(ask(3, "transcript-search", b"", &[]));
    assert!(engine.message().starts_with("RUN"));
    drop(engine);
    rig.engine = TcpListener::bind("127.0.0.1:0").expect("a port"); // and the engine's too
    early.send(ask(
        4,
        "transcript-search",
        b"",
        &[("HTTP_X_PATIENCE_MS", "300")],
    ));
    assert!(
        early.answer().starts_with("4 5"),
        "answered by its due time without a link"
    );
}

#[test]
fn a_bad_configuration_is_named_and_ends_it() {
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
        let path = configuration(&[change]);
        let ended = program(PROGRAM, &path, 1024, &[])
            .wait_with_output()
            .expect("an end");
        let text =
            String::from_utf8_lossy(&ended.stderr).replace(&path.display().to_string(), "FILE");
        let _ = write!(trace, "{} {text}", ended.status);
        std::fs::remove_file(&path).expect("a file");
    }
    // An address that is taken is named too.
    let (_taken, address) = bind();
    let path = configuration(&[("127.0.0.1:6565", &address)]);
    let ended = program(PROGRAM, &path, 1024, &[])
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
    let ended = program(PROGRAM, &missing, 1024, &[])
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
