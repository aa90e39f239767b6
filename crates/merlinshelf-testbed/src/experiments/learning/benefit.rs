//! The benefit of prior observations, measured on loopback. The real program starts during an outage of its dependency, either
//! cold or with observations from sources of varying quality. Measures how long it takes until the value served within the
//! latency objective reaches its steady level. Also measures the cost of observations of an outage that does not exist.

use std::io;
use std::time::Duration;

use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_gossip::{MembershipUpdate, Message};
use merlinshelf_protocol::gossip::{MessageKind, MessageReader, write_message};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::instance::{Instance, Setup, peer_address};
use crate::load::{Load, LoadRecord};

/// The source of the observations that a new instance starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriorSource {
    Cold,
    /// A peer that has served the same load for 3.5 s.
    SteadyPeer,
    /// The store of its own previous incarnation.
    OwnStore,
    /// A peer that started 0.9 s ago.
    RecoveringPeer,
    /// A peer with observations from two minutes ago, when servers were four times as fast.
    StalePeer,
    /// A peer whose values are alternately ten times too high and too low.
    WrongPeer,
    /// A peer whose values are alternately as high and as low as the accepted range allows.
    LyingPeer,
}

pub const ALL: [PriorSource; 7] = [
    PriorSource::Cold,
    PriorSource::SteadyPeer,
    PriorSource::OwnStore,
    PriorSource::RecoveringPeer,
    PriorSource::StalePeer,
    PriorSource::WrongPeer,
    PriorSource::LyingPeer,
];

impl PriorSource {
    pub fn name(self) -> &'static str {
        match self {
            PriorSource::Cold => "cold",
            PriorSource::SteadyPeer => "steady peer",
            PriorSource::OwnStore => "own file",
            PriorSource::RecoveringPeer => "recovering peer",
            PriorSource::StalePeer => "stale peer",
            PriorSource::WrongPeer => "wrong peer",
            PriorSource::LyingPeer => "lying peer",
        }
    }

    /// Whether its observations are incomplete or wrong.
    pub fn is_bad(self) -> bool {
        matches!(
            self,
            PriorSource::RecoveringPeer
                | PriorSource::StalePeer
                | PriorSource::WrongPeer
                | PriorSource::LyingPeer
        )
    }
}

/// Each operation: its name, value, latency objective in ms, and the part of the value that a result without its call has.
const OPERATIONS: [(&str, f64, u64, f64); 3] = [
    ("thumbnail", 1.0, 1700, 0.3),
    ("transcript-search", 2.0, 2300, 1.0),
    ("playback-token", 3.0, 1000, 0.5),
];
const CORES: u32 = 8;
/// Two thirds of the invocations make a call. The rate is so high that invocations waiting for an unanswered call block others.
const INVOCATIONS_PER_S: f64 = 1200.0;
const CALL_DURATION: Duration = Duration::from_millis(20);
/// Duration of a call during an outage, longer than any run waits.
const HANGING_CALL_DURATION: Duration = Duration::from_secs(60);
/// How long an instance is observed, the resolution of the series, and the window over which shares are averaged.
const OBSERVED_FOR: Duration = Duration::from_millis(8000);
pub const STEP: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_millis(1000);

fn setup(program: &std::path::Path, outage: bool) -> Setup {
    let mut setup = Setup::small(program);
    setup.cores = CORES;
    setup.fakes.cores = f64::from(CORES);
    setup.fakes.call_duration = if outage {
        HANGING_CALL_DURATION
    } else {
        CALL_DURATION
    };
    setup
}

fn learning(number: u8, seeds: &[String], folder: bool) -> Value {
    let mut learning = json!({
        "engine": "lab", "dependency": "catalogue", "save_ms": 500, "share": 0.02,
        "peers": { "listen": peer_address(number), "seeds": seeds },
    });
    if folder {
        learning["folder"] = json!(true);
    }
    learning
}

/// The value offered and served over time, by the step in which an invocation was sent.
#[derive(Clone, Debug, Default)]
pub struct ValueSeries {
    /// Value served within the latency objective.
    served: Vec<f64>,
    offered: Vec<f64>,
}

impl ValueSeries {
    fn of(seen: &LoadRecord, from: Instant) -> ValueSeries {
        let count = (OBSERVED_FOR.as_millis() / STEP.as_millis()) as usize;
        let mut series = ValueSeries {
            served: vec![0.0; count],
            offered: vec![0.0; count],
        };
        for sent in seen.sent.values() {
            let Some(since) = sent.sent_at.checked_duration_since(from) else {
                continue;
            };
            let step = (since.as_millis() / STEP.as_millis()) as usize;
            let operation = OPERATIONS.iter().find(|(name, ..)| *name == sent.operation);
            let (Some((_, value, objective_ms, degraded_part)), true) = (operation, step < count)
            else {
                continue;
            };
            series.offered[step] += value;
            if let Some((at, 200)) = sent.answers.first()
                && *at <= sent.sent_at + Duration::from_millis(*objective_ms)
            {
                series.served[step] += if sent.answered_without_call {
                    value * degraded_part
                } else {
                    *value
                };
            }
        }
        series
    }

    fn share(&self, from: usize, until: usize) -> f64 {
        self.served[from..until].iter().sum::<f64>()
            / self.offered[from..until].iter().sum::<f64>().max(1e-9)
    }

    /// The served share of the first second.
    pub fn first_second(&self) -> f64 {
        self.share(
            0,
            (Duration::from_secs(1).as_millis() / STEP.as_millis()) as usize,
        )
    }

    /// The served share of the second half, in which an instance with good observations is steady.
    pub fn steady_share(&self) -> f64 {
        self.share(self.served.len() / 2, self.served.len())
    }

    /// The time from which the share of every window is at least 95% of `steady_share`. The whole observed time if never.
    pub fn settling_time(&self, steady_share: f64) -> Duration {
        let window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let last = self.served.len() - window;
        let last_short_window =
            (0..last + 1).rposition(|from| self.share(from, from + window) < 0.95 * steady_share);
        STEP * last_short_window.map_or(0, |window_start| {
            if window_start == last {
                self.served.len()
            } else {
                window_start + 1
            }
        }) as u32
    }

    /// The served share of each step as text.
    pub fn text(&self) -> String {
        let percent =
            |(served, offered): (&f64, &f64)| format!("{:.0}%", 100.0 * served / offered.max(1e-9));
        self.served
            .iter()
            .zip(&self.offered)
            .map(percent)
            .collect::<Vec<_>>()
            .join(" ")
    }
}

/// Applies load for this time, so that the instance collects observations, and abandons the load without stopping it.
async fn warm_up(instance: &Instance, seed: u64, time: Duration) -> io::Result<()> {
    let running_load =
        Load::with_example_operations(&instance.address, 32, INVOCATIONS_PER_S, seed + 1000)
            .start()
            .await?;
    sleep(time).await;
    running_load.abandon();
    Ok(())
}

/// Runs one instance and returns the value it served over time.
///
/// # Errors
/// Fails if an instance, its load or its peer can't be started.
pub async fn run(
    outage: bool,
    program: &std::path::Path,
    seed: u64,
    source: PriorSource,
    address_number: u8,
) -> io::Result<ValueSeries> {
    let (own, other) = (address_number, address_number + 1);
    let folder = source == PriorSource::OwnStore;
    let setup_with_seeds = |seeds: &[String]| Setup {
        name: format!("n{own}"),
        learning: Some(learning(own, seeds, folder)),
        ..setup(program, outage)
    };
    let seeds = [peer_address(other)];
    // The source starts first.
    let mut peer: Option<Instance> = None;
    let mut previous_incarnation: Option<Instance> = None;
    let mut bad_peer = None;
    match source {
        PriorSource::Cold => {}
        PriorSource::SteadyPeer | PriorSource::RecoveringPeer => {
            let setup = Setup {
                name: format!("n{other}"),
                learning: Some(learning(other, &[], false)),
                ..setup(program, outage)
            };
            let instance = Instance::start(&setup, other).await?;
            let time = if source == PriorSource::SteadyPeer {
                3500
            } else {
                900
            };
            warm_up(&instance, seed, Duration::from_millis(time)).await?;
            peer = Some(instance);
        }
        PriorSource::OwnStore => {
            let instance = Instance::start(&setup_with_seeds(&[]), own).await?;
            warm_up(&instance, seed, Duration::from_millis(3500)).await?;
            previous_incarnation = Some(instance);
        }
        PriorSource::StalePeer | PriorSource::WrongPeer | PriorSource::LyingPeer => {
            let listener = TcpListener::bind(&seeds[0]).await?;
            let observations = bad_observations(source, outage, seed);
            bad_peer = Some(spawn_local(serve_observations(
                listener,
                seeds[0].clone(),
                observations,
            )));
        }
    }
    let mut instance = match previous_incarnation {
        Some(mut instance) => {
            // Crashes, so that only what was saved is available.
            instance.kill_and_restart().await?;
            instance.wait_for_log("the engine is up", 2).await?;
            instance
        }
        None => {
            Instance::start(
                &setup_with_seeds(if source == PriorSource::Cold {
                    &[]
                } else {
                    &seeds
                }),
                own,
            )
            .await?
        }
    };
    if source != PriorSource::Cold {
        instance
            .wait_for_report("observations were received", |status| {
                status["learning"]["taught_by"] != json!([])
            })
            .await?;
    }
    let from = Instant::now();
    let running_load =
        Load::with_example_operations(&instance.address, 32, INVOCATIONS_PER_S, seed)
            .start()
            .await?;
    sleep_until(from + OBSERVED_FOR).await;
    if std::env::var_os("MERLINSHELF_LAB_STEPS").is_some() {
        println!("{} {}", source.name(), instance.status().await?);
    }
    let seen = running_load.stop().await.take();
    instance.kill_all().await;
    if let Some(mut peer) = peer {
        peer.kill_all().await;
    }
    if let Some(bad_peer) = bad_peer {
        bad_peer.abort();
        let _ = bad_peer.await; // closes its listener
    }
    Ok(ValueSeries::of(&seen, from))
}

/// Stale, wrong or extreme observations.
fn bad_observations(source: PriorSource, outage: bool, seed: u64) -> Vec<GossipedObservation> {
    let factor = |index: u64| match source {
        PriorSource::StalePeer => 0.25,
        PriorSource::WrongPeer if (index + seed).is_multiple_of(2) => 10.0,
        PriorSource::WrongPeer => 0.1,
        _ if index.is_multiple_of(2) => 1e4,
        _ => 1e-4,
    };
    let (engine, dependency) = (|| "lab".to_owned(), || "catalogue".to_owned());
    let mut base_values = Vec::new();
    for (name, ..) in OPERATIONS {
        base_values.push((
            Metric::RunRecent {
                engine: engine(),
                operation: name.into(),
            },
            0.005,
        ));
        base_values.push((
            Metric::RunLowest {
                engine: engine(),
                operation: name.into(),
            },
            0.005,
        ));
        base_values.push((
            Metric::RunDownstream {
                dependency: dependency(),
                operation: name.into(),
            },
            0.1,
        ));
    }
    base_values.push((Metric::Limit { engine: engine() }, 16.0));
    base_values.push((
        Metric::CallRecent {
            dependency: dependency(),
        },
        0.1,
    ));
    base_values.push((
        Metric::CallLowest {
            dependency: dependency(),
        },
        0.05,
    ));
    base_values.push((
        Metric::CallLimit {
            dependency: dependency(),
        },
        8.0,
    ));
    base_values.push((Metric::RetryShare, 0.01));
    base_values.push((Metric::ReturningCallerShare, 0.9));
    // The reported failures contradict the actual state of the dependency.
    let failures = if outage { 0.0 } else { 50.0 };
    base_values.push((
        Metric::CallFailures {
            dependency: dependency(),
        },
        failures,
    ));
    let observation = |(index, (metric, value)): (usize, (Metric, f64))| {
        let is_share = matches!(metric, Metric::RetryShare | Metric::ReturningCallerShare);
        let max = if is_share { 1.0 } else { 600.0 };
        let is_failures = matches!(metric, Metric::CallFailures { .. });
        GossipedObservation {
            value: if is_failures {
                value
            } else {
                (value * factor(index as u64)).clamp(0.01, max)
            },
            metric,
            source: Source {
                name: "bad".into(),
                incarnation: 1,
            },
            sample_count: 24,
            age_seconds: if source == PriorSource::StalePeer {
                120.0
            } else {
                0.0
            },
            sequence: 1,
            hops: 1,
            status: SourceStatus::Steady,
        }
    };
    base_values
        .into_iter()
        .enumerate()
        .map(observation)
        .collect()
}

/// Answers every poll with these observations.
pub async fn serve_observations(
    listener: TcpListener,
    address: String,
    observations: Vec<GossipedObservation>,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let from = MembershipUpdate {
            name: "bad".into(),
            address: address.clone(),
            incarnation: 1,
            refutations: 0,
            state: merlinshelf_gossip::State::Alive,
        };
        let observations = observations.clone();
        spawn_local(async move {
            let (mut reader, mut received) = (MessageReader::default(), Vec::new());
            loop {
                match stream.read_buf(&mut received).await {
                    Ok(count) if count > 0 => {}
                    _ => return,
                }
                match reader.read(&received) {
                    Ok((used, None)) => _ = received.drain(..used),
                    _ => break,
                }
            }
            let answer = Message {
                from,
                status: SourceStatus::Steady,
                wants_observations: false,
                updates: Vec::new(),
                observations,
            };
            let mut bytes: Vec<u8> = Vec::new();
            write_message(&mut bytes, MessageKind::Answer, &answer);
            let _ = stream.write_all(&bytes).await; // the peer may have closed the connection
        });
    }
}
