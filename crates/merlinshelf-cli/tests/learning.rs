//! Learning between real programs on loopback: from a peer, from one's own past, from teachers that are slow, endless, silent
//! or lie, in the midst of an upgrade or a notice to leave; and commands that show and forget.

use std::io;
use std::process::Command;
use std::time::Duration;

use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use merlinshelf_testbed::experiments::learning::worth;
use merlinshelf_testbed::instance::{Instance, Setup, peer_address, signal};
use merlinshelf_testbed::load::{Load, Playing, Verdict};
use merlinshelf_testbed::play::play_within;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Plays on one thread, within a time.
fn play<T>(what: impl Future<Output = io::Result<T>>) -> T {
    play_within(Duration::from_secs(60), what)
}

fn setup(number: u8, seeds: &[u8]) -> Setup {
    let seeds: Vec<String> = seeds.iter().map(|seed| peer_address(*seed)).collect();
    let learning = json!({
        "engine": "lab", "folder": true, "save_ms": 100,
        "peers": { "listen": peer_address(number), "seeds": seeds },
    });
    let mut setup = Setup::small(PROGRAM);
    (setup.watched, setup.silent) = (Duration::from_millis(700), Duration::from_millis(2000));
    (setup.name, setup.learning) = (format!("n{number}"), Some(learning));
    setup
}

/// Each with ids of its own.
async fn load(instance: &Instance, seed: u64) -> io::Result<(Load, Playing)> {
    let load = Load::of_all(&instance.address, 8, 120.0, seed);
    let playing = load.start().await?;
    Ok((load, playing))
}

/// Lets it go on until so many more were answered, and checks everything.
async fn check(instance: &Instance, load: &Load, playing: Playing) -> Verdict {
    let answered = |playing: &Playing| {
        playing
            .seen
            .borrow()
            .sent
            .values()
            .filter(|sent| !sent.answers.is_empty())
            .count()
    };
    let (until, wanted) = (
        Instant::now() + Duration::from_secs(10),
        answered(&playing) + 30,
    );
    while answered(&playing) < wanted && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    let seen = playing.stop().await;
    seen.take().check(&instance.records.borrow(), load.patience)
}

fn is_taught_by(status: &Value, name: &str) -> bool {
    let all = status["learning"]["taught_by"].as_array();
    all.is_some_and(|all| {
        all.iter()
            .any(|one| one["by"].as_str().is_some_and(|by| by.starts_with(name)))
    })
}

/// One that serves a load and knows its servers by its own samples.
async fn experienced(number: u8) -> io::Result<(Instance, Load, Playing)> {
    let instance = Instance::start(&setup(number, &[]), number).await?;
    let (load, playing) = load(&instance, number.into()).await?;
    instance
        .says("steady", |status| {
            status["learning"]["standing"] == "steady"
        })
        .await?;
    Ok((instance, load, playing))
}

fn run(arguments: &[&str]) -> (i32, String, String) {
    let done = Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        done.status.code().unwrap_or(-1),
        text(&done.stdout),
        text(&done.stderr),
    )
}

#[test]
fn a_new_instance_is_taught_by_a_running_one_and_tells_by_whom() {
    play(async {
        let (teacher, teachers_load, teaching) = experienced(10).await?;
        let pupil = Instance::start(&setup(11, &[10]), 11).await?;
        pupil
            .says("taught", |status| is_taught_by(status, "n10"))
            .await?;
        let figures = pupil.figures().await?;
        let of = |kind: &str| {
            figures
                .iter()
                .filter(|one| one["kind"] == kind && one["origin"] == "n10")
                .count()
        };
        assert_eq!(
            (of("run-recent"), of("call-recent"), of("limit")),
            (3, 1, 1),
            "{figures:?}"
        );
        assert!(
            figures
                .iter()
                .all(|one| one["hops"].as_u64() >= Some(1) && one["own"] == false)
        );
        // Both serve on, and the teacher's clients are none the worse.
        let (load, playing) = load(&pupil, 7).await?;
        let verdict = check(&pupil, &load, playing).await;
        assert!(verdict.is_clean() && verdict.served > 20, "{verdict:?}");
        let verdict = check(&teacher, &teachers_load, teaching).await;
        assert!(verdict.is_clean() && verdict.served > 20, "{verdict:?}");
        // What operators see of it.
        let control = pupil.control().to_string_lossy().into_owned();
        let (code, shown, _) = run(&["knowledge", "show", "--control", &control]);
        assert!(
            code == 0 && shown.starts_with("kind ") && shown.contains("n10"),
            "{shown}"
        );
        assert!(
            shown.contains("(own)"),
            "its own samples are told apart: {shown}"
        );
        let (code, exported, _) = run(&["knowledge", "export", "--control", &control]);
        let lines: Vec<Value> = exported
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect();
        assert!(
            code == 0
                && lines
                    .iter()
                    .any(|line| line["origin"] == "n10" && line["age_s"].is_number())
        );
        let (code, said, _) = run(&[
            "knowledge",
            "forget",
            "--control",
            &control,
            "--origin",
            "n10",
        ]);
        assert!(
            code == 0 && said.contains("observations forgotten") && !said.starts_with('0'),
            "{said}"
        );
        // The peer tells it again in its time; of the life before nothing else is left.
        let (code, _, error) = run(&["knowledge", "show", "--folder", "/nowhere/at/all"]);
        assert_eq!((code, error.as_str()), (0, ""));
        Ok(())
    });
}

#[test]
fn its_own_past_outlives_a_crash_and_a_file_that_can_not_be_read_costs_nothing_but_the_past() {
    play(async {
        let (mut instance, _, playing) = experienced(20).await?;
        instance
            .says("saved", |status| {
                status["learning"]["saved"]["ago_s"].is_number()
            })
            .await?;
        // A saving from after it was steady.
        let saved = |status: &Value| {
            status["learning"]["saved"]["ago_s"]
                .as_f64()
                .is_some_and(|ago| ago < 0.1)
        };
        instance.says("saved again", saved).await?;
        playing.leave();
        instance.crash().await?;
        instance.logged("of earlier incarnations", 1).await?;
        instance
            .says("taught by its past", |status| {
                is_taught_by(status, "n20 (its own past)")
            })
            .await?;
        let figures = instance.figures().await?;
        assert!(
            figures
                .iter()
                .any(|one| one["kind"] == "run-recent" && one["own"] == false),
            "{figures:?}"
        );
        let folder = instance.kept();
        let (code, shown, _) = run(&["knowledge", "show", "--folder", &folder.to_string_lossy()]);
        assert!(code == 0 && shown.contains("run-recent"), "{shown}");
        // Garbled in the middle, of a stranger, and no folder at all.
        for (times, spoil) in [(1, "garbled"), (2, "foreign"), (3, "no folder")] {
            instance.end().await;
            let file = folder.join("knowledge");
            match spoil {
                "garbled" => {
                    let mut bytes = std::fs::read(&file)?;
                    let middle = bytes.len() / 2;
                    bytes[middle] ^= 0x40;
                    std::fs::write(&file, bytes)?;
                }
                "foreign" => std::fs::write(&file, b"SQLite format 3\0")?,
                _ => {
                    std::fs::remove_dir_all(&folder)?;
                    std::fs::write(&folder, b"a file, not a folder")?;
                }
            }
            instance.crash().await?;
            instance.logged("the engine is up", 2 + times).await?;
            if spoil == "no folder" {
                instance.logged("gossip store not written", 1).await?;
            } else {
                instance
                    .logged("gossip store not read completely", times)
                    .await?;
                instance.logged("moved aside", times).await?;
                assert!(folder.join("knowledge.aside").exists());
            }
            let (load, playing) = load(&instance, 100 + times as u64).await?;
            let verdict = check(&instance, &load, playing).await;
            assert!(
                verdict.is_clean() && verdict.served > 20,
                "{spoil}: {verdict:?}"
            );
        }
        let report = instance.status().await?;
        assert!(
            report["learning"]["saved"]["failed"].is_string(),
            "{report}"
        );
        Ok(())
    });
}

/// A teacher that behaves like this to whoever asks.
async fn odd_teacher(manner: &'static str, listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        spawn_local(async move {
            let mut question = [0; 2048];
            let _ = stream.read(&mut question).await;
            let head = b"tell 1 odd 1 0 alive 127.0.0.1:1 steady 0 0 60\r\n";
            let figure = b"figure call-limit catalogue - odd 1 5 24 1 1 1 steady\r\n";
            match manner {
                "silent" => sleep(Duration::from_secs(30)).await,
                "trickles" => {
                    for byte in head.iter().chain(figure.iter().cycle().take(4000)) {
                        if stream.write_all(&[*byte]).await.is_err() {
                            return;
                        }
                        sleep(Duration::from_millis(3)).await;
                    }
                }
                "endless" => while stream.write_all(&[b'x'; 4096]).await.is_ok() {},
                "closes midway" => {
                    _ = stream
                        .write_all(&[head.as_slice(), &figure[..20]].concat())
                        .await
                }
                _ => _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await,
            }
        });
    }
}

#[test]
fn teachers_that_trickle_never_end_close_midway_or_keep_silent_delay_neither_start_nor_service() {
    play(async {
        let manners = [
            "silent",
            "trickles",
            "endless",
            "closes midway",
            "speaks something else",
        ];
        let mut places = Vec::new();
        for (place, manner) in manners.into_iter().enumerate() {
            let number = 31 + place as u8;
            let listener = TcpListener::bind(peer_address(number)).await?;
            spawn_local(odd_teacher(manner, listener));
            places.push(number);
        }
        let setup = setup(30, &places);
        let instance = Instance::start(&setup, 30).await?;
        let up = instance.status().await?["up_ms"]
            .as_u64()
            .unwrap_or(u64::MAX);
        assert!(up < 5000, "it serves although nobody teaches it: {up} ms"); // busy machines are slow
        let (load, playing) = load(&instance, 7).await?;
        // Each was asked, and none keeps a connection for long.
        sleep(Duration::from_millis(1500)).await;
        let verdict = check(&instance, &load, playing).await;
        assert!(verdict.is_clean() && verdict.served > 20, "{verdict:?}");
        let report = instance.status().await?;
        assert_eq!(report["learning"]["taught_by"], json!([]));
        assert!(report["descriptors"].as_u64() < Some(80), "{report}");
        Ok(())
    });
}

#[test]
fn lies_are_named_and_a_wrong_teacher_alone_costs_a_few_samples() {
    play(async {
        let listener = TcpListener::bind(peer_address(41)).await?;
        let told = |subject: Metric, value: f64| GossipedObservation {
            metric: subject,
            source: Source {
                name: "bad".into(),
                incarnation: 1,
            },
            value,
            sample_count: 24,
            age_seconds: 0.0,
            sequence: 1,
            hops: 1,
            status: SourceStatus::Steady,
        };
        let run = |operation: &str| Metric::RunRecent {
            engine: "lab".into(),
            operation: operation.into(),
        };
        let figures = vec![
            // What can't be, and what might be and is not so: runs of minutes, and calls that fail.
            told(run("thumbnail"), f64::NAN),
            told(
                Metric::Limit {
                    engine: "lab".into(),
                },
                5e6,
            ),
            GossipedObservation {
                age_seconds: -3600.0,
                ..told(run("thumbnail"), 0.01)
            },
            told(run("playback-token"), 300.0),
            told(run("transcript-search"), 500.0),
            told(
                Metric::CallFailures {
                    dependency: "catalogue".into(),
                },
                1000.0,
            ),
        ];
        spawn_local(worth::teach(listener, peer_address(41), figures));
        let instance = Instance::start(&setup(40, &[41]), 40).await?;
        instance
            .says("taught", |status| is_taught_by(status, "bad"))
            .await?;
        instance
            .logged("rejected 2 observations of bad: values that can't be", 1)
            .await?;
        instance
            .logged("rejected 1 observations of bad: ages that can't be", 1)
            .await?;
        let (load, playing) = load(&instance, 7).await?;
        let verdict = check(&instance, &load, playing).await;
        assert!(verdict.is_clean(), "{verdict:?}");
        assert!(
            verdict.served * 10 >= verdict.sent * 8,
            "most is served all the same: {verdict:?}"
        );
        let report = instance.status().await?;
        assert!(
            report["counters"]["calls_succeeded"].as_u64() > Some(0),
            "the one trial showed that calls go well"
        );
        Ok(())
    });
}

#[test]
fn a_flood_of_questions_is_turned_away_and_costs_the_teachers_clients_nothing() {
    play(async {
        let (teacher, load, playing) = experienced(50).await?;
        let question = b"ask 1 flood 1 0 alive 127.0.0.1:1 steady 1 0 0\r\n";
        let flood: Vec<_> = (0..24)
            .map(|_| {
                spawn_local(async move {
                    let until = Instant::now() + Duration::from_millis(1500);
                    let mut answered = 0;
                    while Instant::now() < until {
                        let Ok(mut stream) = TcpStream::connect(peer_address(50)).await else {
                            continue;
                        };
                        let _ = stream.write_all(question).await;
                        let mut answer = Vec::new();
                        let _ = stream.read_to_end(&mut answer).await;
                        answered += u32::from(answer.starts_with(b"tell 1 n50 "));
                    }
                    answered
                })
            })
            .collect();
        let mut answered = 0;
        for one in flood {
            answered += one.await.expect("no panic");
        }
        let verdict = check(&teacher, &load, playing).await;
        assert!(verdict.is_clean() && verdict.served > 20, "{verdict:?}");
        assert!(answered > 0, "somebody is taught");
        assert!(teacher.status().await?["learning"]["questions_turned_away"].as_u64() > Some(0));
        Ok(())
    });
}

#[test]
fn one_told_to_leave_or_upgraded_in_the_midst_of_being_taught_does_as_told_and_keeps_what_it_knows()
{
    play(async {
        let (teacher, _, teaching) = experienced(60).await?;
        // Its other teacher keeps silent for good.
        let listener = TcpListener::bind(peer_address(62)).await?;
        spawn_local(odd_teacher("silent", listener));
        let mut pupil = Instance::start(&setup(61, &[60, 62]), 61).await?;
        pupil
            .says("taught", |status| is_taught_by(status, "n60"))
            .await?;
        let (load, playing) = load(&pupil, 7).await?;
        pupil
            .says("steady", |status| {
                status["learning"]["standing"] == "steady"
            })
            .await?;
        let mut talk = pupil.ask(ControlRequest::Upgrade).await?;
        loop {
            match talk.next_reply().await? {
                (ControlMessage::More, _) => {}
                (word, report) => {
                    assert_eq!(word, ControlMessage::Done, "{report}\n{}", pupil.log());
                    break;
                }
            }
        }
        // The successor knows it in the same form, and by whom; and that its predecessor's samples were another life's.
        let figures = pupil.figures().await?;
        assert!(
            figures.iter().any(|one| one["origin"] == "n60"),
            "{figures:?}"
        );
        assert!(
            figures
                .iter()
                .any(|one| one["origin"] == "n61" && one["own"] == false),
            "{figures:?}"
        );
        pupil.logged("gossip listening at", 2).await?;
        // The folder is the successor's by now.
        pupil
            .says("saved", |status| {
                status["learning"]["saved"]["ago_s"].is_number()
            })
            .await?;
        let successor = pupil.processes().pop().expect("one");
        signal(successor, Signal::TERM);
        pupil.logged("drain started", 1).await?;
        let verdict = check(&pupil, &load, playing).await;
        assert!(verdict.is_clean(), "{verdict:?}\n{}", pupil.log());
        assert_eq!(pupil.first_ended().await?, Some(0));
        teaching.leave();
        // Who leaves says so, or is not there any more when it is asked.
        teacher
            .says("alone", |status| status["learning"]["peers"] == 0)
            .await?;
        Ok(())
    });
}

#[test]
fn an_address_that_is_no_loopback_one_is_refused_at_the_start_with_the_reason() {
    let folder = std::env::temp_dir().join(format!("merlinshelf-learning-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let operator = folder.join("operator.json5");
    std::fs::write(
        &operator,
        "{ learning: { peers: { listen: '192.168.1.5:7400' } } }",
    )
    .expect("a file");
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let (code, _, error) = run(&[
        "serve",
        "--config",
        config,
        "--operator",
        &operator.to_string_lossy(),
    ]);
    let _ = std::fs::remove_dir_all(&folder);
    assert!(
        code == 1 && error.contains("learning.peers.listen") && error.contains("not encrypted yet"),
        "{error}"
    );
}
