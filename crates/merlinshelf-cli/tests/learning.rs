//! Gossip between real programs on loopback: learning from a peer, from the own store, and from
//! peers that are slow, silent or wrong or that never stop sending; an upgrade and a drain during
//! learning; and the commands that show and forget observations.

use std::io;
use std::process::Command;
use std::time::Duration;

use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use merlinshelf_testbed::experiments::learning::benefit;
use merlinshelf_testbed::instance::{Instance, Setup, peer_address, signal};
use merlinshelf_testbed::load::{Load, RunningLoad, Verdict};
use merlinshelf_testbed::runtime::run_with_timeout;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Runs a test on one thread, with a timeout.
fn run_test<T>(test: impl Future<Output = io::Result<T>>) -> T {
    run_with_timeout(Duration::from_secs(60), test)
}

fn setup(number: u8, seeds: &[u8]) -> Setup {
    let seeds: Vec<String> = seeds.iter().map(|seed| peer_address(*seed)).collect();
    let learning = json!({
        "engine": "lab", "folder": true, "save_ms": 100,
        "peers": { "listen": peer_address(number), "seeds": seeds },
    });
    let mut setup = Setup::small(PROGRAM);
    (setup.probation, setup.heartbeat_timeout) =
        (Duration::from_millis(700), Duration::from_millis(2000));
    (setup.name, setup.learning) = (format!("n{number}"), Some(learning));
    setup
}

/// Starts a load whose invocation ids depend on the seed.
async fn load(instance: &Instance, seed: u64) -> io::Result<(Load, RunningLoad)> {
    let load = Load::with_example_operations(&instance.address, 8, 120.0, seed);
    let playing = load.start().await?;
    Ok((load, playing))
}

/// Waits until 30 more invocations are answered, or 10 s have passed. Stops the load and checks all
/// answers.
async fn check(instance: &Instance, load: &Load, playing: RunningLoad) -> Verdict {
    let answered = |playing: &RunningLoad| {
        playing
            .record
            .borrow()
            .sent
            .values()
            .filter(|sent| !sent.answers.is_empty())
            .count()
    };
    let (until, target) = (
        Instant::now() + Duration::from_secs(10),
        answered(&playing) + 30,
    );
    while answered(&playing) < target && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    let seen = playing.stop().await;
    seen.take().check(&instance.records.borrow(), load.patience)
}

/// Whether the instance has received observations from an origin whose name starts like this.
fn learned_from(status: &Value, name: &str) -> bool {
    let origins = status["learning"]["taught_by"].as_array();
    origins.is_some_and(|origins| {
        origins
            .iter()
            .any(|origin| origin["by"].as_str().is_some_and(|by| by.starts_with(name)))
    })
}

/// Starts an instance under load and waits until it is steady, with observations from its own
/// samples.
async fn start_steady(number: u8) -> io::Result<(Instance, Load, RunningLoad)> {
    let instance = Instance::start(&setup(number, &[]), number).await?;
    let (load, playing) = load(&instance, number.into()).await?;
    instance
        .wait_for_report("steady", |status| {
            status["learning"]["standing"] == "steady"
        })
        .await?;
    Ok((instance, load, playing))
}

fn run(arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("the output");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code().unwrap_or(-1),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn a_new_instance_learns_from_a_running_one_and_reports_the_origin() {
    run_test(async {
        let (peer, peer_load, peer_playing) = start_steady(10).await?;
        let learner = Instance::start(&setup(11, &[10]), 11).await?;
        learner
            .wait_for_report("taught", |status| learned_from(status, "n10"))
            .await?;
        let observations = learner.known_observations().await?;
        let count = |kind: &str| {
            observations
                .iter()
                .filter(|observation| observation["kind"] == kind && observation["origin"] == "n10")
                .count()
        };
        assert_eq!(
            (count("run-recent"), count("call-recent"), count("limit")),
            (3, 1, 1),
            "{observations:?}"
        );
        assert!(
            observations
                .iter()
                .all(|observation| observation["hops"].as_u64() >= Some(1)
                    && observation["own"] == false)
        );
        // Both keep serving, and the peer's clients are not affected.
        let (load, playing) = load(&learner, 7).await?;
        let verdict = check(&learner, &load, playing).await;
        assert!(verdict.is_clean() && verdict.served > 20, "{verdict:?}");
        let verdict = check(&peer, &peer_load, peer_playing).await;
        assert!(verdict.is_clean() && verdict.served > 20, "{verdict:?}");
        // The commands for operators.
        let control = learner.control().to_string_lossy().into_owned();
        let (code, shown, _) = run(&["knowledge", "show", "--control", &control]);
        assert!(
            code == 0 && shown.starts_with("kind ") && shown.contains("n10"),
            "{shown}"
        );
        assert!(
            shown.contains("(own)"),
            "the instance's own observations are not marked: {shown}"
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
        let (code, output, _) = run(&[
            "knowledge",
            "forget",
            "--control",
            &control,
            "--origin",
            "n10",
        ]);
        assert!(
            code == 0 && output.contains("observations forgotten") && !output.starts_with('0'),
            "{output}"
        );
        // A folder that does not exist is shown as empty.
        let (code, _, error) = run(&["knowledge", "show", "--folder", "/nowhere/at/all"]);
        assert_eq!((code, error.as_str()), (0, ""));
        Ok(())
    });
}

#[test]
fn stored_observations_survive_a_crash_and_an_unreadable_store_is_ignored() {
    run_test(async {
        let (mut instance, _, playing) = start_steady(20).await?;
        instance
            .wait_for_report("saved", |status| {
                status["learning"]["saved"]["ago_s"].is_number()
            })
            .await?;
        // Wait for a save after the instance became steady.
        let saved_recently = |status: &Value| {
            status["learning"]["saved"]["ago_s"]
                .as_f64()
                .is_some_and(|ago| ago < 0.1)
        };
        instance
            .wait_for_report("saved again", saved_recently)
            .await?;
        playing.abandon();
        instance.kill_and_restart().await?;
        instance.wait_for_log("of earlier incarnations", 1).await?;
        instance
            .wait_for_report("taught by its past", |status| {
                learned_from(status, "n20 (its own past)")
            })
            .await?;
        let observations = instance.known_observations().await?;
        assert!(
            observations
                .iter()
                .any(|observation| observation["kind"] == "run-recent"
                    && observation["own"] == false),
            "{observations:?}"
        );
        let folder = instance.store_folder();
        let (code, shown, _) = run(&["knowledge", "show", "--folder", &folder.to_string_lossy()]);
        assert!(code == 0 && shown.contains("run-recent"), "{shown}");
        // A store with a garbled byte, a file of another format, and a file in place of the folder.
        for (times, fault) in [(1, "garbled"), (2, "foreign"), (3, "no folder")] {
            instance.kill_all().await;
            let file = folder.join("knowledge");
            match fault {
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
            instance.kill_and_restart().await?;
            instance.wait_for_log("the engine is up", 2 + times).await?;
            if fault == "no folder" {
                instance.wait_for_log("gossip store not written", 1).await?;
            } else {
                instance
                    .wait_for_log("gossip store not read completely", times)
                    .await?;
                instance.wait_for_log("moved aside", times).await?;
                assert!(folder.join("knowledge.aside").exists());
            }
            let (load, playing) = load(&instance, 100 + times as u64).await?;
            let verdict = check(&instance, &load, playing).await;
            assert!(
                verdict.is_clean() && verdict.served > 20,
                "{fault}: {verdict:?}"
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

/// A peer that answers every query with this fault.
async fn faulty_peer(fault: &'static str, listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        spawn_local(async move {
            let mut query = [0; 2048];
            let _ = stream.read(&mut query).await;
            let head = b"tell 1 odd 1 0 alive 127.0.0.1:1 steady 0 0 60\r\n";
            let observation = b"figure call-limit catalogue - odd 1 5 24 1 1 1 steady\r\n";
            match fault {
                "silent" => sleep(Duration::from_secs(30)).await,
                "trickles" => {
                    for byte in head.iter().chain(observation.iter().cycle().take(4000)) {
                        if stream.write_all(&[*byte]).await.is_err() {
                            return;
                        }
                        sleep(Duration::from_millis(3)).await;
                    }
                }
                "endless" => while stream.write_all(&[b'x'; 4096]).await.is_ok() {},
                "closes midway" => {
                    _ = stream
                        .write_all(&[head.as_slice(), &observation[..20]].concat())
                        .await
                }
                _ => _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await,
            }
        });
    }
}

#[test]
fn faulty_peers_delay_neither_startup_nor_serving() {
    run_test(async {
        let faults = [
            "silent",
            "trickles",
            "endless",
            "closes midway",
            "speaks HTTP",
        ];
        let mut seeds = Vec::new();
        for (index, fault) in faults.into_iter().enumerate() {
            let number = 31 + index as u8;
            let listener = TcpListener::bind(peer_address(number)).await?;
            spawn_local(faulty_peer(fault, listener));
            seeds.push(number);
        }
        let setup = setup(30, &seeds);
        let instance = Instance::start(&setup, 30).await?;
        let up_ms = instance.status().await?["up_ms"]
            .as_u64()
            .unwrap_or(u64::MAX);
        assert!(up_ms < 5000, "serving only after {up_ms} ms"); // the bound allows for a busy machine
        let (load, playing) = load(&instance, 7).await?;
        // By now each peer has been queried, and no connection to one stays open for long.
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
fn impossible_observations_are_logged_and_wrong_ones_soon_corrected_by_own_samples() {
    run_test(async {
        let listener = TcpListener::bind(peer_address(41)).await?;
        let observation = |metric: Metric, value: f64| GossipedObservation {
            metric,
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
        let run_time = |operation: &str| Metric::RunRecent {
            engine: "lab".into(),
            operation: operation.into(),
        };
        let observations = vec![
            // Impossible values, then possible but wrong ones: runs that take minutes, and calls
            // that fail.
            observation(run_time("thumbnail"), f64::NAN),
            observation(
                Metric::Limit {
                    engine: "lab".into(),
                },
                5e6,
            ),
            GossipedObservation {
                age_seconds: -3600.0,
                ..observation(run_time("thumbnail"), 0.01)
            },
            observation(run_time("playback-token"), 300.0),
            observation(run_time("transcript-search"), 500.0),
            observation(
                Metric::CallFailures {
                    dependency: "catalogue".into(),
                },
                1000.0,
            ),
        ];
        spawn_local(benefit::serve_observations(
            listener,
            peer_address(41),
            observations,
        ));
        let instance = Instance::start(&setup(40, &[41]), 40).await?;
        instance
            .wait_for_report("taught", |status| learned_from(status, "bad"))
            .await?;
        instance
            .wait_for_log("rejected 2 observations of bad: implausible values", 1)
            .await?;
        instance
            .wait_for_log("rejected 1 observations of bad: implausible ages", 1)
            .await?;
        let (load, playing) = load(&instance, 7).await?;
        let verdict = check(&instance, &load, playing).await;
        assert!(verdict.is_clean(), "{verdict:?}");
        assert!(
            verdict.served * 10 >= verdict.sent * 8,
            "less than 80 % is served: {verdict:?}"
        );
        let report = instance.status().await?;
        assert!(
            report["counters"]["calls_succeeded"].as_u64() > Some(0),
            "no call succeeded"
        );
        Ok(())
    });
}

#[test]
fn a_flood_of_gossip_queries_is_rejected_and_clients_are_unaffected() {
    run_test(async {
        let (peer, load, playing) = start_steady(50).await?;
        let query = b"ask 1 flood 1 0 alive 127.0.0.1:1 steady 1 0 0\r\n";
        let flood: Vec<_> = (0..24)
            .map(|_| {
                spawn_local(async move {
                    let until = Instant::now() + Duration::from_millis(1500);
                    let mut answered = 0;
                    while Instant::now() < until {
                        let Ok(mut stream) = TcpStream::connect(peer_address(50)).await else {
                            continue;
                        };
                        let _ = stream.write_all(query).await;
                        let mut answer = Vec::new();
                        let _ = stream.read_to_end(&mut answer).await;
                        answered += u32::from(answer.starts_with(b"tell 1 n50 "));
                    }
                    answered
                })
            })
            .collect();
        let mut answered = 0;
        for client in flood {
            answered += client.await.expect("no panic");
        }
        let verdict = check(&peer, &load, playing).await;
        assert!(verdict.is_clean() && verdict.served > 20, "{verdict:?}");
        assert!(answered > 0, "every query is rejected");
        assert!(peer.status().await?["learning"]["questions_turned_away"].as_u64() > Some(0));
        Ok(())
    });
}

#[test]
fn an_upgrade_or_drain_during_learning_keeps_the_observations() {
    run_test(async {
        let (peer, _, peer_playing) = start_steady(60).await?;
        // The other seed never answers.
        let listener = TcpListener::bind(peer_address(62)).await?;
        spawn_local(faulty_peer("silent", listener));
        let mut learner = Instance::start(&setup(61, &[60, 62]), 61).await?;
        learner
            .wait_for_report("taught", |status| learned_from(status, "n60"))
            .await?;
        let (load, playing) = load(&learner, 7).await?;
        learner
            .wait_for_report("steady", |status| {
                status["learning"]["standing"] == "steady"
            })
            .await?;
        let mut client = learner.ask(ControlRequest::Upgrade).await?;
        loop {
            match client.next_reply().await? {
                (ControlMessage::More, _) => {}
                (kind, report) => {
                    assert_eq!(kind, ControlMessage::Done, "{report}\n{}", learner.log());
                    break;
                }
            }
        }
        // The successor has the observations with their origins, and attributes the predecessor's
        // samples to an earlier incarnation.
        let observations = learner.known_observations().await?;
        assert!(
            observations
                .iter()
                .any(|observation| observation["origin"] == "n60"),
            "{observations:?}"
        );
        assert!(
            observations
                .iter()
                .any(|observation| observation["origin"] == "n61" && observation["own"] == false),
            "{observations:?}"
        );
        learner.wait_for_log("gossip listening at", 2).await?;
        // The successor has taken over the folder.
        learner
            .wait_for_report("saved", |status| {
                status["learning"]["saved"]["ago_s"].is_number()
            })
            .await?;
        let successor = learner.processes().pop().expect("a process");
        signal(successor, Signal::TERM);
        learner.wait_for_log("drain started", 1).await?;
        let verdict = check(&learner, &load, playing).await;
        assert!(verdict.is_clean(), "{verdict:?}\n{}", learner.log());
        assert_eq!(learner.wait_for_first_exit().await?, Some(0));
        peer_playing.abandon();
        // An instance that stops says so to its peers, or no longer answers their queries.
        peer.wait_for_report("alone", |status| status["learning"]["peers"] == 0)
            .await?;
        Ok(())
    });
}

#[test]
fn a_gossip_address_off_loopback_is_rejected_at_startup() {
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
