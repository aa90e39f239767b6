//! Parsers on complete, split and malformed input, and the output of encoders.

use insta::assert_snapshot;
use merlinshelf_protocol::fastcgi::{self, Fragment, Records};
use merlinshelf_protocol::{CallId, Parsed, catalogue, engine, registration};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

fn record(kind: u8, id: u8, content: &[u8], padding: u8) -> Vec<u8> {
    let length = (content.len() as u16).to_be_bytes();
    let head = [1, kind, 0, id, length[0], length[1], padding, 0];
    [&head, content, &vec![7; padding.into()]].concat()
}

/// Two interleaved invocations with management records, records of unknown types and padding.
fn stream() -> Vec<u8> {
    [
        record(9, 0, b"\x0f\0FCGI_MPXS_CONNS\x03\0ANY", 3),
        record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
        record(4, 1, b"\x04\x02NA", 5),
        record(1, 2, &[0, 3, 0, 0, 0, 0, 0, 0], 1),
        record(4, 1, b"MEv1", 0),
        record(77, 0, b"what", 4),
        record(77, 1, b"passed over", 5),
        record(4, 1, b"", 0),
        record(5, 1, b"a\r\n\0b", 255),
        record(2, 2, b"", 0),
        record(5, 1, b"", 8),
    ]
    .concat()
}

/// The fragments of a stream that is received in parts of at most `part` bytes.
fn fragments(bytes: &[u8], part: usize) -> Vec<String> {
    let mut records = Records::default();
    let mut seen = Vec::<String>::new();
    let mut from = 0;
    let mut received = 0;
    while received < bytes.len() {
        received = bytes.len().min(received + part);
        loop {
            match records.next(&bytes[from..received]) {
                Ok((0, None)) => break,
                Ok((used, None)) => from += used,
                Ok((used, Some(fragment))) => {
                    from += used;
                    // Contents are split at arbitrary places: consecutive parts are joined.
                    match (fragment, seen.last_mut()) {
                        (
                            Fragment::Params { bytes, .. } | Fragment::Stdin { bytes, .. },
                            Some(last),
                        ) if !bytes.is_empty() && last.ends_with('+') => {
                            last.insert_str(last.len() - 1, &bytes.escape_ascii().to_string());
                        }
                        (Fragment::Params { id, bytes }, _) if !bytes.is_empty() => {
                            seen.push(format!("params {id} {}+", bytes.escape_ascii()));
                        }
                        (Fragment::Stdin { id, bytes }, _) if !bytes.is_empty() => {
                            seen.push(format!("stdin {id} {}+", bytes.escape_ascii()));
                        }
                        (Fragment::GetValues { names }, _) => {
                            seen.push(format!("values {}", names.len()));
                        }
                        (fragment, _) => seen.push(format!("{fragment:?}")),
                    }
                }
                Err(fault) => {
                    seen.push(format!("fault: {fault}"));
                    return seen;
                }
            }
        }
    }
    seen
}

#[test]
fn records_may_be_split_anywhere() {
    let unsplit = fragments(&stream(), usize::MAX);
    assert_snapshot!(unsplit.join("\n"));
    for part in 1..stream().len() {
        assert_eq!(fragments(&stream(), part), unsplit, "in parts of {part}");
    }
}

#[test]
fn malformed_fastcgi_records_are_faults() {
    let long = record(9, 0, &[0; 2000], 0);
    let trace = [
        &b"GET / HTTP/1.1\r\n"[..],
        &record(1, 1, b"short", 0),
        &long,
    ]
    .map(|bytes| fragments(bytes, 16));
    assert_snapshot!(format!("{trace:#?}"));
}

#[test]
fn names_and_values_have_short_and_long_lengths() {
    let long = vec![b'x'; 300];
    let bytes = [
        b"\x01\x80\x00\x01\x2cA".as_slice(),
        &long,
        b"\x80\x00\x00\x02\x00BB",
    ]
    .concat();
    let pairs = fastcgi::pairs(&bytes).expect("complete pairs");
    assert_eq!(pairs, [(&b"A"[..], &long[..]), (b"BB", b"")]);
    for cut in 1..bytes.len() {
        let is_complete = cut == 306; // the end of the first pair
        assert_eq!(
            fastcgi::pairs(&bytes[..cut]).is_ok(),
            is_complete,
            "cut at {cut}"
        );
    }
    assert!(fastcgi::pairs(b"\xff\xff\xff\xff\xff\xff\xff\xff").is_err());
}

#[test]
fn answers_keep_every_byte() {
    let mut out = Vec::new();
    fastcgi::write_answer(&mut out, 258, "Status: 200 OK\r\n\r\n", b"\0\xff\r\n");
    fastcgi::write_end(&mut out, 3, fastcgi::Status::Overloaded);
    fastcgi::write_unknown(&mut out, 77);
    fastcgi::write_values(&mut out, b"\x01\0A\x01\0B", &[("B", "32".into())])
        .expect("complete names");
    assert_snapshot!(
        out.chunks(8)
            .map(|row| format!("{}\n", row.escape_ascii()))
            .collect::<String>()
    );
    // A body longer than one record is split without losing bytes.
    let body: Vec<u8> = (0..70_000u32).map(|n| n as u8).collect();
    let mut out = Vec::new();
    fastcgi::write_answer(&mut out, 1, "", &body);
    let first = usize::from(u16::from_be_bytes([out[4], out[5]]));
    let second = usize::from(u16::from_be_bytes([out[first + 12], out[first + 13]]));
    assert_eq!(
        [&out[8..8 + first], &out[first + 16..first + 16 + second]].concat(),
        body
    );
}

/// Reads consecutive messages and asserts that no prefix of a message is read as a complete one.
fn messages<T: std::fmt::Debug>(bytes: &[u8], read: impl Fn(&[u8]) -> Parsed<T>) -> String {
    let (mut from, mut trace) = (0, String::new());
    while from < bytes.len() {
        match read(&bytes[from..]) {
            Ok(Some((message, used))) => {
                for cut in 0..used {
                    assert!(
                        matches!(read(&bytes[from..from + cut]), Ok(None)),
                        "cut at {cut} of {message:?}"
                    );
                }
                trace += &format!("{message:?}\n");
                from += used;
            }
            Ok(None) => return trace + "more must come\n",
            Err(fault) => return trace + &format!("fault: {fault}\n"),
        }
    }
    trace
}

fn notifications(bytes: &[u8]) -> String {
    messages(bytes, |bytes| {
        engine::read_notification(bytes)
            .map(|read| read.map(|(notification, used)| (format!("{notification:?}"), used)))
    })
}

#[test]
fn engine_notifications_are_read() {
    let bytes = b"HELLO COLD 120\r\nDONE 1 9b1f03aa5c7e2d41 OK 88 6\r\na\r\nb\0c\r\n\
        NEED 2 9b1f03aa5c7e2d42 0\r\n\r\n\
        STATS 17 0.62 3 0.41 120\r\nNO RUN 9b1f03aa5c7e2d41\r\nNOTE 3 all is well\r\n\
        DONE 4 9b1f03aa5c7e2d41 MOOT 0 0\r\n\r\n\
        DONE 5 9b1f03aa5c7e2d41 STOPPED 0.5 0\r\n\r\nHELLO WA";
    let mut trace = notifications(bytes);
    for bad in [
        &b"DONE x 9b1f03aa5c7e2d41 OK 88 6\r\n"[..],
        b"DONE 1 9b1f OK 88 0\r\n\r\n",
        b"NEED 1 9b1f03aa5c7e2d41 99999999\r\n",
        b"NEED 1 9b1f03aa5c7e2d41 2\r\nabcd",
        b"\xff\xfe\r\n",
        &[b'a'; 70_000],
    ] {
        trace += &notifications(bad);
    }
    let rejected =
        [&b"RUN 9b1f03aa5c7e2d41"[..], b"ODD", b"RUN 12"].map(engine::parse_rejected_command);
    assert_snapshot!(format!("{trace}{rejected:?}"));
}

#[test]
fn catalogue_replies_are_read() {
    let id = "9b1f03aa5c7e2d41";
    let bytes = format!(
        "{id} ok 4\r\n\r\n\r\n\r\n{id} overload\r\n{id} internal\r\n{id} deadline\r\n{id} stale\r\n"
    );
    let read = |bytes: &[u8]| {
        catalogue::read_reply(bytes)
            .map(|read| read.map(|(reply, used)| (format!("{reply:?}"), used)))
    };
    let bad = [
        format!("{id} maybe\r\n"),
        "x\r\n".into(),
        format!("{id} ok 2\r\nabc\r\n"),
    ];
    let bad = bad.map(|bytes| messages(bytes.as_bytes(), read)).concat();
    assert_snapshot!(messages(bytes.as_bytes(), read) + &bad);
    // Input that cannot become a reply is rejected without waiting for more, however short it is.
    for prefix in [
        "noise",
        &format!("{id} ok 3000000000\r\n"),
        &format!("{id} ok {}", "1".repeat(60)),
    ] {
        assert!(
            read(prefix.as_bytes()).is_err(),
            "{prefix} is accepted as an incomplete reply"
        );
    }
}

#[test]
fn commands_and_calls_are_written() {
    let (mut out, id) = (
        Vec::new(),
        CallId::parse(b"9b1f03aa5c7e2d41").expect("an id"),
    );
    engine::write_attach(&mut out, 7, None);
    engine::write_run(&mut out, id, "thumbnail", b"\0\r\n");
    engine::write_feed(&mut out, id, b"");
    engine::write_skip(&mut out, id, 12);
    engine::write_stat(&mut out, 3);
    catalogue::write_invoke(&mut out, id, 250, b"body");
    registration::write_report(&mut out, "127.0.0.1:8761", "n3", registration::Phase::Out);
    assert_snapshot!(out.escape_ascii().to_string().replace("\\n", "\\n\n"));
    let bad = [
        &b"9b1f03aa5c7e2d4"[..],
        b"9b1f03aa5c7e2d411",
        b"9b1f03aa5c7e2d4g",
    ]
    .map(CallId::parse);
    assert_eq!(bad, [None; 3]);
}

#[test]
fn dependency_names_are_negotiated_and_read() {
    let mut out = Vec::new();
    engine::write_attach(&mut out, 7, Some(engine::NAMES_EXTENSION));
    assert_eq!(out, b"ATTACH 7 NAMES/1\r\n");
    let long = "n".repeat(65);
    let bytes = "HELLO WARM 5 NAMES/1\r\nHELLO COLD 5\r\n\
        NEED 2 9b1f03aa5c7e2d41 thumbs-2 3\r\nabc\r\nNEED 3 9b1f03aa5c7e2d41 0\r\n\r\n";
    let read = |bytes: &[u8]| {
        engine::read_notification(bytes)
            .map(|front| front.map(|(notification, count)| (format!("{notification:?}"), count)))
    };
    assert_snapshot!(messages(bytes.as_bytes(), read));
    for bad in [
        "HELLO WARM 5 NAMES/2",
        "NEED 2 9b1f03aa5c7e2d41 2x 3",
        &format!("NEED 2 9b1f03aa5c7e2d41 {long} 3"),
        "NEED 2 9b1f03aa5c7e2d41 a b 3",
    ] {
        assert!(
            engine::read_notification(format!("{bad}\r\nabc\r\n").as_bytes()).is_err(),
            "{bad}"
        );
    }
}

#[test]
fn membership_service_responses_are_read() {
    let bytes =
        b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503 Busy\r\ncontent-LENGTH: 3 \r\n\r\nnow\
        HTTP/1.1 204 \r\nConnection: close\r\nX: y\r\n\r\nHTTP/1.0 200 OK\r\n\r\n\
        HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/2 200\r\n";
    assert_snapshot!(messages(bytes, registration::read_response));
}

/// Parsers neither panic nor loop forever on messages with changed, removed or inserted bytes.
#[test]
fn corrupted_messages_never_panic_a_parser() {
    let seeds = [
        stream(),
        b"DONE 1 9b1f03aa5c7e2d41 OK 88 6\r\na\r\nb\0c\r\nSTATS 1 0.5 1 2 3\r\n\
          NEED 2 9b1f03aa5c7e2d41 0\r\n\r\n"
            .to_vec(),
        b"9b1f03aa5c7e2d41 ok 4\r\nabcd\r\n9b1f03aa5c7e2d41 stale\r\n".to_vec(),
        b"HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nnow".to_vec(),
    ];
    let mut rng = Pcg32::seed_from_u64(5);
    let mut faults = 0;
    for _ in 0..5000 {
        for seed in &seeds {
            let mut bytes = seed.clone();
            for _ in 0..rng.random_range(1..4) {
                let place = rng.random_range(0..bytes.len());
                match rng.random_range(0..3) {
                    0 => bytes[place] = rng.random(),
                    1 => bytes.truncate(place.max(1)),
                    _ => bytes.insert(place, b"\r\n 9\xff\0"[rng.random_range(0..6)]),
                }
            }
            faults += usize::from(
                fragments(&bytes, 64)
                    .iter()
                    .any(|line| line.starts_with("fault")),
            );
            let _ = fastcgi::pairs(&bytes);
            let _ = engine::parse_rejected_command(&bytes);
            faults += usize::from(has_fault(&bytes));
        }
    }
    assert!(faults > 1000, "only {faults} faults were detected");
}

fn has_fault(bytes: &[u8]) -> bool {
    engine::read_notification(bytes).is_err()
        | catalogue::read_reply(bytes).is_err()
        | registration::read_response(bytes).is_err()
}
