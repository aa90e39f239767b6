//! uwsgi and FastCGI clients on one address: the same answers and counters for the same input, a
//! drain and upgrades under load of both, and bytes of neither protocol.

use std::io;
use std::time::Duration;

use merlinshelf_testbed::experiments::upgrade::request_upgrade;
use merlinshelf_testbed::instance::{Instance, Setup};
use merlinshelf_testbed::load::{FrontProtocol, Load};
use merlinshelf_testbed::runtime::run_with_timeout;
use merlinshelf_testbed::wire::{fastcgi_invocation, uwsgi_invocation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Runs a test on one thread, with a timeout.
fn run_test<T>(test: impl Future<Output = io::Result<T>>) -> T {
    run_with_timeout(Duration::from_secs(60), test)
}

fn setup() -> Setup {
    let mut setup = Setup::small(PROGRAM);
    (setup.probation, setup.heartbeat_timeout, setup.uwsgi) = (
        Duration::from_millis(700),
        Duration::from_millis(2000),
        true,
    );
    setup
}

fn load(instance: &Instance, seed: u64) -> Load {
    Load {
        front_protocol: FrontProtocol::Both,
        ..Load::with_example_operations(&instance.address, 8, 150.0, seed)
    }
}

/// Sends the bytes and reads until the headers of an answer, the end of the connection or the
/// timeout. Returns the status of the answer, if there is one, and the text that was read.
async fn exchange(
    address: &str,
    bytes: &[u8],
    max_wait: Duration,
) -> io::Result<(Option<u16>, String)> {
    let mut stream = TcpStream::connect(address).await?;
    let _ = stream.write_all(bytes).await; // the server may close it before everything is written
    let mut out = Vec::new();
    let until = Instant::now() + max_wait;
    let text = loop {
        let mut chunk = [0; 4096];
        let read = timeout(
            until.saturating_duration_since(Instant::now()),
            stream.read(&mut chunk),
        )
        .await;
        let ended = !matches!(read, Ok(Ok(count)) if count > 0);
        if let Ok(Ok(count)) = read {
            out.extend(&chunk[..count]);
        }
        let text = String::from_utf8_lossy(&out).into_owned();
        if ended || text.contains("\r\n\r\n") {
            break text;
        }
    };
    let status_after = |prefix: &str| {
        text.split_once(prefix)
            .and_then(|(_, rest)| rest.get(..3)?.parse().ok())
    };
    let status = status_after("Status: ").or_else(|| status_after("HTTP/1.1 "));
    Ok((status, text))
}

/// Sends the rest of a partial request after a delay, and reads the whole answer.
async fn send_rest(mut partial: TcpStream, rest: &[u8], delay_ms: u64) -> io::Result<String> {
    sleep(Duration::from_millis(delay_ms)).await;
    partial.write_all(rest).await?;
    let mut out = Vec::new();
    partial.read_to_end(&mut out).await?;
    Ok(String::from_utf8_lossy(&out).into_owned())
}

async fn counter(instance: &Instance, name: &str) -> io::Result<u64> {
    Ok(instance.status().await?["counters"][name]
        .as_u64()
        .unwrap_or(0))
}

/// Operation, body, changed fields, and the expected status.
type Case<'a> = (&'a str, Vec<u8>, Vec<(&'a str, &'a str)>, u16);

#[test]
fn fastcgi_and_uwsgi_requests_get_the_same_answers_and_counters() {
    run_test(async {
        let instance = Instance::start(&setup(), 11).await?;
        let long = "x".repeat(5000);
        let cases: [Case; 10] = [
            ("thumbnail", b"page".to_vec(), vec![], 200),
            ("nothing", b"page".to_vec(), vec![], 404),
            (
                "thumbnail",
                b"page".to_vec(),
                vec![("REQUEST_METHOD", "GET")],
                405,
            ),
            (
                "thumbnail",
                b"page".to_vec(),
                vec![("SCRIPT_NAME", "/elsewhere")],
                404,
            ),
            (
                "thumbnail",
                b"page".to_vec(),
                vec![("HTTP_X_CALL_ID", "short")],
                400,
            ),
            (
                "thumbnail",
                b"page".to_vec(),
                vec![("HTTP_X_HEAP_KB", "-1")],
                400,
            ),
            (
                "thumbnail",
                b"page".to_vec(),
                vec![("HTTP_X_IMPORTANCE", "NaN")],
                400,
            ),
            (
                "thumbnail",
                b"page".to_vec(),
                vec![("HTTP_X_LONG", &long)],
                400,
            ),
            ("thumbnail", vec![7; 3000], vec![], 413),
            (
                "thumbnail",
                b"".to_vec(),
                vec![("SCRIPT_NAME", "/status/live")],
                200,
            ),
        ];
        for (operation, body, changes, status) in &cases {
            // The uwsgi request has the id 1, and no id may come twice.
            let requests = [
                fastcgi_invocation(2, operation, body, changes),
                uwsgi_invocation(operation, body, changes),
            ];
            for (protocol, read_bytes) in ["fastcgi", "uwsgi"].into_iter().zip(requests) {
                let names = ["bad", "succeeded", "invocations", "checks"];
                let mut before = Vec::new();
                for name in names {
                    before.push(counter(&instance, name).await?);
                }
                let (received, text) =
                    exchange(&instance.address, &read_bytes, Duration::from_secs(3)).await?;
                assert_eq!(
                    received,
                    Some(*status),
                    "{protocol} {operation} {changes:?}: {text}"
                );
                let mut counted = Vec::new();
                for (name, before) in names.into_iter().zip(before) {
                    counted.push(counter(&instance, name).await? - before);
                }
                let is_check = changes.contains(&("SCRIPT_NAME", "/status/live"));
                let expected = match status {
                    200 if is_check => [0, 0, 0, 1],
                    200 => [0, 1, 1, 0],
                    _ => [1, 0, 0, 0],
                };
                assert_eq!(counted, expected, "{protocol} {operation} {changes:?}");
            }
        }
        // An incomplete request is answered with 408.
        let whole = [
            fastcgi_invocation(1, "thumbnail", b"page", &[]),
            uwsgi_invocation("thumbnail", b"page", &[]),
        ];
        for bytes in whole {
            let (status, text) = exchange(
                &instance.address,
                &bytes[..bytes.len() - 3],
                Duration::from_secs(3),
            )
            .await?;
            assert_eq!(status, Some(408), "{text}");
        }
        Ok(())
    });
}

#[test]
fn connections_with_unknown_or_disabled_protocols_are_closed_at_once() {
    run_test(async {
        let instance = Instance::start(&setup(), 12).await?;
        let tls_hello = [&[22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3][..], &[7; 500]].concat();
        let other_kind = [&[0, 4, 0, 9][..], b"\x01\0a\x01\0b"].concat();
        for bytes in [
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
            tls_hello,
            other_kind,
            vec![0, 0, 0, 0],
        ] {
            let start = Instant::now();
            let (status, text) =
                exchange(&instance.address, &bytes, Duration::from_secs(3)).await?;
            assert_eq!((status, text.as_str()), (None, ""));
            assert!(
                start.elapsed() < Duration::from_secs(2),
                "the connection is not closed"
            );
        }
        instance.wait_for_log("a connection ends: ", 4).await?;
        let without_uwsgi = Instance::start(
            &Setup {
                uwsgi: false,
                ..setup()
            },
            13,
        )
        .await?;
        let (status, text) = exchange(
            &without_uwsgi.address,
            &uwsgi_invocation("thumbnail", b"page", &[]),
            Duration::from_secs(3),
        )
        .await?;
        assert_eq!((status, text.as_str()), (None, ""));
        Ok(())
    });
}

#[test]
fn a_drain_under_mixed_load_loses_no_invocation() {
    run_test(async {
        let instance = Instance::start(&setup(), 14).await?;
        let load = load(&instance, 14);
        let playing = load.start().await?;
        sleep(Duration::from_millis(600)).await;
        // A request that is partially read when the drain starts, and completed within the grace.
        let whole = uwsgi_invocation(
            "transcript-search",
            b"words",
            &[("HTTP_X_CALL_ID", "00000000000000aa")],
        );
        let mut partial = TcpStream::connect(&instance.address).await?;
        partial.write_all(&whole[..40]).await?;
        sleep(Duration::from_millis(50)).await;
        let draining = instance.drain();
        let rest = send_rest(partial, &whole[40..], 100);
        let (drained, answer) = tokio::join!(draining, rest);
        drained?;
        let answer = answer?;
        assert!(
            answer.starts_with("HTTP/1.1 200 ") || answer.starts_with("HTTP/1.1 503 "),
            "{answer}"
        );
        let seen = playing.stop().await.take();
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert_eq!(
            (
                verdict.lost,
                verdict.doubled,
                verdict.run_twice,
                verdict.spoilt
            ),
            (0, 0, 0, 0),
            "{verdict:?}"
        );
        assert!(verdict.served > 50, "{verdict:?}");
        Ok(())
    });
}

#[test]
fn upgrades_and_a_rollback_under_mixed_load_keep_partially_read_requests() {
    run_test(async {
        let instance = Instance::start(&setup(), 15).await?;
        let load = load(&instance, 15);
        let playing = load.start().await?;
        sleep(Duration::from_millis(400)).await;
        let working = format!("exec '{PROGRAM}' \"$@\"");
        let crashing = format!("export MERLINSHELF_FAULT=successor.heartbeat:9:abort\n{working}");
        for (number, (program, expected_stage)) in [
            (&working, "done"),
            (&crashing, "taken_back"),
            (&working, "done"),
        ]
        .into_iter()
        .enumerate()
        {
            let id = format!("{:016x}", 0xb0 + number);
            let whole = uwsgi_invocation("thumbnail", &[b'w'; 200], &[("HTTP_X_CALL_ID", &id)]);
            // Cut the request within its variables, or within its body.
            let cut = if number == 1 { whole.len() - 100 } else { 60 };
            let mut partial = TcpStream::connect(&instance.address).await?;
            partial.write_all(&whole[..cut]).await?;
            sleep(Duration::from_millis(30)).await;
            let start = Instant::now();
            let upgrade = request_upgrade(&instance, program);
            let rest = send_rest(partial, &whole[cut..], 150);
            let (stage, answer) = tokio::join!(upgrade, rest);
            let (stage, answer) = (stage?, answer?);
            assert_eq!(
                stage,
                expected_stage,
                "after {:?}\n{}",
                start.elapsed(),
                instance.log()
            );
            assert!(
                answer.starts_with("HTTP/1.1 200 OK\r\n"),
                "{number}: {answer}\n{}",
                instance.log()
            );
        }
        sleep(Duration::from_millis(300)).await;
        let seen = playing.stop().await.take();
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert_eq!(
            (
                verdict.lost,
                verdict.doubled,
                verdict.run_twice,
                verdict.spoilt
            ),
            (0, 0, 0, 0),
            "{verdict:?}"
        );
        assert!(verdict.served > 200, "{verdict:?}");
        Ok(())
    });
}
