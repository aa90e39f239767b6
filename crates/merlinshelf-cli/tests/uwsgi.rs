//! Callers that speak uwsgi beside those that speak FastCGI, on one address: the same answers and counters for the same input,
//! a notice to leave and upgrades in the midst of both, and bytes of neither.

use std::io;
use std::time::Duration;

use merlinshelf_testbed::experiments::upgrade::request_upgrade;
use merlinshelf_testbed::instance::{Instance, Setup};
use merlinshelf_testbed::load::{Front, Load};
use merlinshelf_testbed::play::play_within;
use merlinshelf_testbed::wire::{ask, ask_uwsgi};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Plays on one thread, within a time.
fn play<T>(what: impl Future<Output = io::Result<T>>) -> T {
    play_within(Duration::from_secs(60), what)
}

fn setup() -> Setup {
    let mut setup = Setup::small(PROGRAM);
    (setup.watched, setup.silent, setup.uwsgi) = (
        Duration::from_millis(700),
        Duration::from_millis(2000),
        true,
    );
    setup
}

fn load(instance: &Instance, seed: u64) -> Load {
    Load {
        front: Front::Both,
        ..Load::of_all(&instance.address, 8, 150.0, seed)
    }
}

/// Writes, and reads until the connection ends or says nothing for a while; the status it answered with.
async fn status_of(
    address: &str,
    bytes: &[u8],
    within: Duration,
) -> io::Result<(Option<u16>, String)> {
    let mut stream = TcpStream::connect(address).await?;
    let _ = stream.write_all(bytes).await; // it may end before all is written
    let mut out = Vec::new();
    let until = Instant::now() + within;
    let text = loop {
        let mut gulp = [0; 4096];
        let read = timeout(
            until.saturating_duration_since(Instant::now()),
            stream.read(&mut gulp),
        )
        .await;
        let ended = !matches!(read, Ok(Ok(count)) if count > 0);
        if let Ok(Ok(count)) = read {
            out.extend(&gulp[..count]);
        }
        let text = String::from_utf8_lossy(&out).into_owned();
        if ended || text.contains("\r\n\r\n") {
            break text;
        }
    };
    let after = |mark: &str| {
        text.split_once(mark)
            .and_then(|(_, rest)| rest.get(..3)?.parse().ok())
    };
    Ok((after("Status: ").or_else(|| after("HTTP/1.1 ")), text))
}

/// Writes the rest of what is half read after so many ms, and reads the answer to its end.
async fn the_rest(mut half: TcpStream, rest: &[u8], after_ms: u64) -> io::Result<String> {
    sleep(Duration::from_millis(after_ms)).await;
    half.write_all(rest).await?;
    let mut out = Vec::new();
    half.read_to_end(&mut out).await?;
    Ok(String::from_utf8_lossy(&out).into_owned())
}

async fn counter(instance: &Instance, name: &str) -> io::Result<u64> {
    Ok(instance.status().await?["counters"][name]
        .as_u64()
        .unwrap_or(0))
}

/// Operation, body, changed fields, and the status that it gets.
type Case<'a> = (&'a str, Vec<u8>, Vec<(&'a str, &'a str)>, u16);

#[test]
fn the_same_input_gets_the_same_answer_and_counts_alike_whatever_is_spoken() {
    play(async {
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
        for (class, body, changes, status) in &cases {
            let fronts = [
                ask(1, class, body, changes),
                ask_uwsgi(class, body, changes),
            ];
            for (front, bytes) in ["fastcgi", "uwsgi"].into_iter().zip(fronts) {
                let names = ["bad", "succeeded", "invocations", "checks"];
                let mut before = Vec::new();
                for name in names {
                    before.push(counter(&instance, name).await?);
                }
                let (said, text) =
                    status_of(&instance.address, &bytes, Duration::from_secs(3)).await?;
                assert_eq!(said, Some(*status), "{front} {class} {changes:?}: {text}");
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
                assert_eq!(counted, expected, "{front} {class} {changes:?}");
            }
        }
        // What does not come whole is told so, and ends.
        let whole = [
            ask(1, "thumbnail", b"page", &[]),
            ask_uwsgi("thumbnail", b"page", &[]),
        ];
        for bytes in whole {
            let (said, text) = status_of(
                &instance.address,
                &bytes[..bytes.len() - 3],
                Duration::from_secs(3),
            )
            .await?;
            assert_eq!(said, Some(408), "{text}");
        }
        Ok(())
    });
}

#[test]
fn bytes_of_neither_end_at_once_and_without_the_setting_uwsgi_is_neither() {
    play(async {
        let instance = Instance::start(&setup(), 12).await?;
        let hello = [&[22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3][..], &[7; 500]].concat();
        let other_kind = [&[0, 4, 0, 9][..], b"\x01\0a\x01\0b"].concat();
        for bytes in [
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
            hello,
            other_kind,
            vec![0, 0, 0, 0],
        ] {
            let began = Instant::now();
            let (said, text) = status_of(&instance.address, &bytes, Duration::from_secs(3)).await?;
            assert_eq!((said, text.as_str()), (None, ""));
            assert!(began.elapsed() < Duration::from_secs(2), "it hangs");
        }
        instance.logged("a connection ends: ", 4).await?;
        let plain = Instance::start(
            &Setup {
                uwsgi: false,
                ..setup()
            },
            13,
        )
        .await?;
        let (said, text) = status_of(
            &plain.address,
            &ask_uwsgi("thumbnail", b"page", &[]),
            Duration::from_secs(3),
        )
        .await?;
        assert_eq!((said, text.as_str()), (None, ""));
        Ok(())
    });
}

#[test]
fn a_notice_to_leave_in_the_midst_of_both_loses_nothing() {
    play(async {
        let instance = Instance::start(&setup(), 14).await?;
        let load = load(&instance, 14);
        let playing = load.start().await?;
        sleep(Duration::from_millis(600)).await;
        // One that is half read by then, and comes whole within the grace.
        let whole = ask_uwsgi(
            "transcript-search",
            b"words",
            &[("HTTP_X_CALL_ID", "00000000000000aa")],
        );
        let mut half = TcpStream::connect(&instance.address).await?;
        half.write_all(&whole[..40]).await?;
        sleep(Duration::from_millis(50)).await;
        let leaving = instance.leave();
        let rest = the_rest(half, &whole[40..], 100);
        let (left, answer) = tokio::join!(leaving, rest);
        left?;
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
fn upgrades_carry_both_also_one_that_is_half_read_and_one_that_is_taken_back() {
    play(async {
        let instance = Instance::start(&setup(), 15).await?;
        let load = load(&instance, 15);
        let playing = load.start().await?;
        sleep(Duration::from_millis(400)).await;
        let good = format!("exec '{PROGRAM}' \"$@\"");
        let crashes = format!("export MERLINSHELF_FAULT=successor.heartbeat:9:abort\n{good}");
        for (number, (program, ended)) in
            [(&good, "done"), (&crashes, "taken_back"), (&good, "done")]
                .into_iter()
                .enumerate()
        {
            let id = format!("{:016x}", 0xb0 + number);
            let whole = ask_uwsgi("thumbnail", &[b'w'; 200], &[("HTTP_X_CALL_ID", &id)]);
            // In the midst of the variables, and in that of the body.
            let cut = if number == 1 { whole.len() - 100 } else { 60 };
            let mut half = TcpStream::connect(&instance.address).await?;
            half.write_all(&whole[..cut]).await?;
            sleep(Duration::from_millis(30)).await;
            let began = Instant::now();
            let said = request_upgrade(&instance, program);
            let rest = the_rest(half, &whole[cut..], 150);
            let (said, answer) = tokio::join!(said, rest);
            let (said, answer) = (said?, answer?);
            assert_eq!(
                said,
                ended,
                "after {:?}\n{}",
                began.elapsed(),
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
